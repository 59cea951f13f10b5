"""A running round: what it does next, from what is shown and believed, under permits. No I/O.

Rules, by number in the code:
1. Nothing is begun, and nothing given out, without the turn: the permit TURN, which one round of the fleet
   holds at a time. So two rounds never count on the same warm lanes. After TURN_LONG it begins nothing, lets
   its hosts come back and gives the turn back for a while.
2. With a new turn belief begins anew: only hosts that answered after it was granted count, with copies seen
   after it. Whoever had the turn before may have taken hosts until its end; such a host drains, is gone, or
   has another start. Hosts that still drain by an older mark are told to serve again.
3. The turn lost (not renewed, nobody heard): what has not been given out is given back, hosts out are
   followed.
4. The floor not kept as believed, one more failure looked ahead for: what has not been given out is given
   back; nothing new is begun; copies are loaded; it goes on by itself once the floor is kept again.
5. A host goes when the floor is kept without it and all that are away; where it is not, copies are loaded
   elsewhere.
6. `out` is given when the host is drained (`drained.py`), turn and its own permit hold, and the floor is kept
   then.
7. Given out and still in its old life after the crew's time: the crew never began; given back.
8. Not back in time: lost. It counts as away until it is seen; the round goes on while `together` and the
   floor allow.
9. Another life that this round's crew did not begin: belief of it is void; the host is still to go.
10. Withdrawn, or `by` is over: nothing new, what has not been given out is given back, ends when all others
    are back.
After a restart of the scheduler: hosts whose `done` names the round are done, hosts that drain by old marks
serve again, hosts that are away show another start when they come; the turn is asked for anew and old permits
lapse.
"""
from gaproute.maintenance import drained, floor, schedule, warm, words
from gaproute.maintenance.place import AWAY, UNDONE, Lives, Place, there

SECOND = 1_000_000_000

TURN = "maintenance turn"
AGAIN = 2 * SECOND       # until a permit that was refused is asked for again
LOOK = 4 * SECOND        # after a turn is granted: hosts have to be seen anew before anything is judged
TURN_LONG = 300 * SECOND     # that one round keeps the turn while another may wait
REST = 3 * SECOND        # without the turn then, longer than another's AGAIN
DRAIN = 120 * SECOND     # a host that has not drained by then is given back
GRACE = 10 * SECOND      # beyond a host's time away until it is lost
FILL = 60 * SECOND       # until a host that came back is given up on getting all that it had
OUT_AGAIN = 10 * SECOND      # a crew that asks again is answered again, as its order may have been lost
TOLD = 15 * SECOND       # without a word of demand: nothing is judged to be kept
JUDGE = 20 * SECOND      # of a turn until a round without a lawful schedule is refused: belief fills first
ORDERED = 10 * SECOND    # a load that was ordered and not seen to begin or end is forgotten


class Running:
    """`holder`: a `permits.Holder`; `beside`: other rounds that may run now, of which it keeps the floor as
    well. `tick(now, view)` and `ask(now, host, view)`; `view`: see `view.py`."""

    def __init__(self, asked, me, holder, now, span, bounds=drained.Bounds(), paces=schedule.Paces(),
                 beside=()):
        self.asked, self.beside = floor.strict(asked, beside), tuple(beside)
        self.me, self.holder, self.span = me, holder, span
        self.bounds, self.paces = bounds, paces
        self.stage, self.why, self.withdrawn = "asking", "", False
        self.begun, self.count, self.planned = now, 0, False
        self.places, self.lives = {}, Lives()
        self.turn, self.turned, self.next = None, None, now      # wish; when it was seen held; next asking
        self.ordered = {}                    # (host, function): when
        self.believed, self.needs, self.missing = {}, {}, []
        self.log = []                        # (state or stage, host or "", why), taken away by the caller

    # Faces

    def withdraw(self, now):
        self.withdrawn = True

    def holds(self, now):
        return self.turn is not None and self.turn.may(now) and self.turned is not None

    def away(self):
        return [place.name for place in self.places.values() if place.state in AWAY]

    def ask(self, now, name, view):
        """The crew asks for a host: (fence, mark, ns that it may still begin in), or a text that says why
        not."""
        place = self.places.get(name)
        if place is None or place.state not in ("ready", "out") \
                or place.state == "out" and now - place.since > OUT_AGAIN:
            return f"{name} is not ready"
        if not (self.holds(now) and place.wish.may(now)):        # rule 1, 6
            return "no permit"
        if place.state == "ready":
            seen = view.shown.get(name)
            if seen is None or not drained.proof(now, seen, place.marked, self.bounds) \
                    or seen.start != place.start:
                return "not drained"
            self._believe(now, view)
            if self.missing:                                     # rule 6: looked at again at the last moment
                return floor.worded(self.missing)
            self._to(now, place, "out", f"fence {place.wish.fence}")
        left = min(self.turn.end, place.wish.end) - now
        place.until = max(place.until, now + left + left * 3 * drained.BOUND // 1000)
        return place.wish.fence, place.mark, left

    def tick(self, now, view):
        """[("drain" or "serve", host, mark) or ("load", host, function)]."""
        if self.stage in ("ended", "refused"):
            return []
        if not self.places and not self._begin(now, view):
            return []
        self.ordered = {key: when for key, when in self.ordered.items() if now - when < ORDERED}
        out, anew = [], self.lives.see(now, view.fleet, view.shown)
        self._turn(now)
        self._believe(now, view)
        for place in self.places.values():
            out += self._follow(now, place, view, anew)
        if self.withdrawn or now - self.begun > self.asked.by:   # rule 10
            out += self._back(now, "withdrawn" if self.withdrawn else "by is over")
            if all(self.places[name].state == "lost" for name in self.away()):
                self._end(now, "withdrawn" if self.withdrawn else "by is over")
            return out
        if all(place.state == "done" for place in self.places.values()):
            self._end(now, "")
            return out
        if not self.holds(now):
            out += self._back(now, "no turn")                    # rule 3
            self._stage("paused" if self.away() else "asking", "no turn")
        elif now - self.turned >= LOOK:
            out += self._go(now, view)
        return out

    # Steps

    def _begin(self, now, view):
        wrong = words.mistakes(self.asked, view.fleet, view.demand)
        for host in [] if wrong else words.named(self.asked, view.fleet):
            self.places[host.name] = Place(host.name)
        if wrong:
            self._stage("refused", "; ".join(wrong))
        return not wrong

    def _turn(self, now):
        held = self.turn is not None and self.turn.may(now)
        if held and self.turned is None:
            self.turned = now
        if held and now - self.turned > TURN_LONG and not self.away():     # rule 1
            self.holder.give(now, self.turn)
            self.turn, self.turned, self.next = None, None, now + REST
        elif not held and self.turn is not None and self.turn.state != "asked":
            self.turn, self.turned, self.next = None, None, now + AGAIN
        if self.turn is None and now >= self.next:
            self.turn = self.holder.take(now, TURN, self.span)

    def _believe(self, now, view):
        turn = self.turned if self.holds(now) else now
        since = self.lives.counting(now, turn, view.fleet, view.shown)
        self.believed = warm.lanes(now, self.me, view.fleet, view.sights, view.shown, since)
        self.needs = floor.needs((self.asked, *self.beside), view.demand, view.zones)
        self.missing = floor.kept(view.fleet, self.believed, self.needs, self.asked.survive, self.away())
        if not view.demand or view.told > TOLD:
            self.missing = floor.UNHEARD

    def _follow(self, now, place, view, anew):
        seen, name = view.shown.get(place.name), place.name
        if place.state in UNDONE and (name in anew or now - place.since > DRAIN
                                      or not there(now, seen)):              # rule 9
            return self._give(now, place, "another start" if name in anew else "not drained in time")
        if place.state == "waiting" and seen is not None and seen.done == self.asked.name:
            self._to(now, place, "back", "seen done")
        elif place.state == "waiting" and seen is not None and seen.draining and seen.mark[0] \
                and self.holds(now) and there(now, seen) and now - place.since > AGAIN:
            place.since = now                # marked by another turn, or by an order of ours that came late
            return [("serve", name, self._mark())]
        elif place.state == "draining" and drained.proof(now, seen, place.marked, self.bounds):
            self._to(now, place, "asking", drained.proof(now, seen, place.marked, self.bounds))
            place.wish = self.holder.take(now, f"out {name}", self.span)
        elif place.state == "asking" and place.wish.may(now):
            self._to(now, place, "ready", f"fence {place.wish.fence}")
        elif place.state in ("asking", "ready") and place.wish.state not in ("asked", "held"):
            return self._give(now, place, f"permit {place.wish.state} {place.wish.why}")
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
            ours = seen.done == self.asked.name                  # rule 9
            self._to(now, place, *(("back", "") if ours else ("waiting", "another start, not by its crew")))
        elif place.state == "out" and now > place.until and seen is not None and seen.asked > place.until:
            return self._give(now, place, "the crew never began")    # rule 7
        elif place.state == "out" and \
                now - place.since > self.asked.out + GRACE + max(0, place.until - place.since):
            self._to(now, place, "lost", "not back")             # rule 8
        return []

    def _go(self, now, view):
        out = []
        for name, seen in view.shown.items():                    # rule 2, hosts of other rounds
            if name not in self.places and seen.draining and 0 < seen.mark[0] < self.turn.fence \
                    and there(now, seen) and ("serve", name) not in self.ordered:
                self.ordered["serve", name] = now
                out.append(("serve", name, self._mark()))
        if not self.planned and not self._plan(now, view):
            return out
        if self.missing:                                         # rule 4
            out += self._back(now, floor.worded(self.missing))
            self._stage("paused", floor.worded(self.missing))
        waiting = [place.name for place in self.places.values() if place.state == "waiting"
                   and there(now, view.shown.get(place.name)) and not view.shown[place.name].draining]
        going, first = [], None
        if not self.missing and now - self.turned <= TURN_LONG:
            down = [name for name in view.fleet if not there(now, view.shown.get(name))]
            going, first = self._choose(view, waiting, down)
            self._stage("going", first[1] if first and not going and not self.away() else "")
        for name in going:                                       # rule 5
            place = self.places[name]
            place.marked, place.mark, place.start = now, self._mark(), view.shown[name].start
            place.had = tuple(function for function, lanes in self.believed[name].items() if lanes)
            self._to(now, place, "draining", "")
            out.append(("drain", name, place.mark))
        return out + self._loads(now, view, [name for name in waiting if name not in going])

    def _choose(self, view, waiting, down):
        return schedule.choose(self.asked, view.fleet, self.believed, self.needs, waiting, self.away(), down)

    def _plan(self, now, view):
        """Whether there is a lawful schedule; asked once, before anything is begun."""
        if any(place.state != "waiting" for place in self.places.values()):
            self.planned = True              # begun already, by the process before this one
            return True
        free = {name: seen.free for name, seen in view.shown.items() if name in view.fleet}
        why = floor.worded(self.missing) if self.missing == floor.UNHEARD else schedule.plan(
            self.asked, view.fleet, self.believed, self.needs, list(self.places), free, self.paces).why
        self.planned = not why
        if why and now - self.turned > JUDGE:
            self._end(now, why)
            self._stage("refused", why)
        elif why:
            self._stage("asking", why)
        return self.planned

    def _loads(self, now, view, waiting):
        under = {(name, function) for name, seen in view.shown.items() for function in seen.loading}
        loading = sorted(under | {key for key in self.ordered if key[0] != "serve"
                                  and not self.believed[key[0]].get(key[1])})
        free = {name: seen.free for name, seen in view.shown.items() if there(now, seen) and not seen.draining
                and name in view.fleet and name not in self.away()}
        had = {place.name: place.had for place in self.places.values() if place.state == "back"}
        orders = schedule.loads(self.asked, view.fleet, self.believed, self.needs, waiting, self.away(), free,
                                loading, had, self.paces.ration)
        self.ordered.update(dict.fromkeys(orders, now))
        return [("load", *order) for order in orders]

    def _mark(self):
        self.count += 1
        return self.turn.fence, self.count

    def _back(self, now, why):
        return [order for place in self.places.values() if place.state in UNDONE
                for order in self._give(now, place, why)]

    def _give(self, now, place, why):
        """What has not begun is given back: the host serves again."""
        self._release(now, place)
        self._to(now, place, "waiting", why)
        return [("serve", place.name, self._mark())] if self.turn is not None and self.turn.fence else []

    def _release(self, now, place):
        if place.wish is not None:
            self.holder.give(now, place.wish)
            place.wish = None

    def _to(self, now, place, state, why):
        place.to(now, state)
        self.log.append((state, place.name, why))

    def _stage(self, stage, why):
        if (stage, why) != (self.stage, self.why):
            self.stage, self.why = stage, why
            self.log.append((stage, "", why))

    def _end(self, now, why):
        if self.turn is not None:
            self.holder.give(now, self.turn)
        for place in self.places.values():
            self._release(now, place)
        self._stage("ended", why)
