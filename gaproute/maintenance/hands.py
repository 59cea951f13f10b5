"""One host of a running round at a time: followed, given out, given back. Rules: see `controller.py`."""

from gaproute.maintenance import capacity_floor, drain_proof
from gaproute.maintenance.host_progress import UNDONE, there

SECOND = 1_000_000_000

AGAIN = 2 * SECOND  # until a permit that was refused is asked for again
DRAIN = 120 * SECOND  # a host that has not drained by then is given back
GRACE = 10 * SECOND  # beyond a host's time away until it is lost
FILL = 60 * SECOND  # until a host that came back is given up on getting all that it had
OUT_AGAIN = 10 * SECOND  # a crew that asks again is answered again, as its order may have been lost


class Hands:
    """The part of `round.RoundController` that moves its places; all state is there."""

    def ask(self, now, name, view):
        """The crew asks for a host: (fence, mark, ns that it may still begin in), or a text that says why
        not."""
        place = self.places.get(name)
        if (
            place is None
            or place.state not in ("ready", "out")
            or place.state == "out"
            and now - place.since > OUT_AGAIN
        ):
            return f"{name} is not ready"
        if not (self.holds(now) and place.wish.valid_at(now)):  # rule 1, 6
            return "no permit"
        if place.state == "ready":
            seen = view.shown.get(name)
            if (
                seen is None
                or not drain_proof.proof(now, seen, place.marked, self.bounds)
                or seen.start != place.start
            ):
                return "not drained"
            self._believe(now, view)
            if self.missing:  # rule 6: looked at again at the last moment
                return capacity_floor.worded(self.missing)
            self._to(now, place, "out", f"fence {place.wish.fencing_token}")
        left = min(self.turn.expires_at, place.wish.expires_at) - now
        place.until = max(place.until, now + left + left * 3 * drain_proof.BOUND // 1000)
        return place.wish.fencing_token, place.mark, left

    def _follow(self, now, place, view, anew):
        seen, name = view.shown.get(place.name), place.name
        if place.state in UNDONE and (
            name in anew or now - place.since > DRAIN or not there(now, seen)
        ):  # rule 9
            return self._give(now, place, "another start" if name in anew else "not drained in time")
        if place.state == "waiting" and seen is not None and seen.done == self.asked.name:
            self._to(now, place, "back", "seen done")
        elif (
            place.state == "waiting"
            and seen is not None
            and seen.draining
            and seen.mark[0]
            and self.holds(now)
            and there(now, seen)
            and now - place.since > AGAIN
        ):
            place.since = now  # marked by another turn, or by an order of ours that came late
            return [("serve", name, self._mark())]
        elif place.state == "draining" and drain_proof.proof(now, seen, place.marked, self.bounds):
            self._to(now, place, "asking", drain_proof.proof(now, seen, place.marked, self.bounds))
            place.wish = self.holder.acquire(now, f"out {name}", self.span)
        elif place.state == "asking" and place.wish.valid_at(now):
            self._to(now, place, "ready", f"fence {place.wish.fencing_token}")
        elif place.state in ("asking", "ready") and place.wish.state not in ("asked", "held"):
            return self._give(now, place, f"permit {place.wish.state} {place.wish.reason}")
        elif place.state in ("out", "lost"):
            return self._absent(now, place, seen)
        elif place.state == "back":
            whole = all(self.believed.get(name, {}).get(function) for function in place.had)
            if whole and self.holds(now) or now - place.since > FILL:
                self._to(now, place, "done", "" if whole else "has not all that it had")
        return []

    def _absent(self, now, place, seen):
        if seen is not None and seen.start != place.start:
            self._release(now, place)
            ours = seen.done == self.asked.name  # rule 9
            self._to(now, place, *(("back", "") if ours else ("waiting", "another start, not by its crew")))
        elif place.state == "out" and now > place.until and seen is not None and seen.asked > place.until:
            return self._give(now, place, "the crew never began")  # rule 7
        elif place.state == "out" and now - place.since > self.asked.out + GRACE + max(
            0, place.until - place.since
        ):
            self._to(now, place, "lost", "not back")  # rule 8
        return []

    def _back(self, now, why):
        return [
            order
            for place in self.places.values()
            if place.state in UNDONE
            for order in self._give(now, place, why)
        ]

    def _give(self, now, place, why):
        """What has not begun is given back: the host serves again."""
        self._release(now, place)
        self._to(now, place, "waiting", why)
        return (
            [("serve", place.name, self._mark())] if self.turn is not None and self.turn.fencing_token else []
        )

    def _release(self, now, place):
        if place.wish is not None:
            self.holder.release(now, place.wish)
            place.wish = None

    def _mark(self):
        self.count += 1
        return self.turn.fencing_token, self.count

    def _to(self, now, place, state, why):
        place.to(now, state)
        self.log.append((state, place.name, why))
