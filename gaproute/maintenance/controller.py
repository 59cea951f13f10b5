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
6. `out` is given when the host is drained (`drain_proof.py`), turn and its own permit hold, and the floor
   is kept then.
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

from gaproute.maintenance import capacity_floor, drain_proof, round_spec, schedule
from gaproute.maintenance.going import TURN_LONG, Going
from gaproute.maintenance.hands import AGAIN
from gaproute.maintenance.host_progress import AWAY, HostIncarnations, HostProgress

SECOND = 1_000_000_000

TURN = "maintenance turn"
LOOK = 4 * SECOND  # after a turn is granted: hosts have to be seen anew before anything is judged
REST = 3 * SECOND  # without the turn then, longer than another's AGAIN
ORDERED = 10 * SECOND  # a load that was ordered and not seen to begin or end is forgotten
BOUNDS, PACES = drain_proof.DrainBounds(), schedule.SchedulingEstimates()


class RoundController(Going):
    """`holder`: a `LeaseClient`; `beside`: other rounds that may run now, of which it keeps the floor as
    well. `tick(now, view)` and `ask(now, host, view)`; `view`: see `fleet_status.py`."""

    def __init__(self, asked, me, holder, now, span, bounds=BOUNDS, paces=PACES, beside=()):
        self.asked, self.beside = capacity_floor.strict(asked, beside), tuple(beside)
        self.me, self.holder, self.span = me, holder, span
        self.bounds, self.paces = bounds, paces
        self.stage, self.why, self.withdrawn = "asking", "", False
        self.begun, self.count, self.planned = now, 0, False
        self.places, self.lives = {}, HostIncarnations()
        self.turn, self.turned, self.next = None, None, now  # wish; when it was seen held; next asking
        self.ordered = {}  # (host, function): when
        self.believed, self.needs, self.missing = {}, {}, []
        self.log = []  # (state or stage, host or "", why), taken away by the caller

    # Faces (and `ask`, see `hands.py`)

    def withdraw(self, now):
        self.withdrawn = True

    def holds(self, now):
        return self.turn is not None and self.turn.valid_at(now) and self.turned is not None

    def away(self):
        return [place.name for place in self.places.values() if place.state in AWAY]

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
        if self.withdrawn or now - self.begun > self.asked.by:  # rule 10
            out += self._back(now, "withdrawn" if self.withdrawn else "by is over")
            if all(self.places[name].state == "lost" for name in self.away()):
                self._end(now, "withdrawn" if self.withdrawn else "by is over")
            return out
        if all(place.state == "done" for place in self.places.values()):
            self._end(now, "")
            return out
        if not self.holds(now):
            out += self._back(now, "no turn")  # rule 3
            self._stage("paused" if self.away() else "asking", "no turn")
        elif now - self.turned >= LOOK:
            out += self._go(now, view)
        return out

    # Steps

    def _begin(self, now, view):
        wrong = round_spec.mistakes(self.asked, view.fleet, view.demand)
        for host in [] if wrong else round_spec.named(self.asked, view.fleet):
            self.places[host.name] = HostProgress(host.name)
        if wrong:
            self._stage("refused", "; ".join(wrong))
        return not wrong

    def _turn(self, now):
        held = self.turn is not None and self.turn.valid_at(now)
        if held and self.turned is None:
            self.turned = now
        if held and now - self.turned > TURN_LONG and not self.away():  # rule 1
            self.holder.release(now, self.turn)
            self.turn, self.turned, self.next = None, None, now + REST
        elif not held and self.turn is not None and self.turn.state != "asked":
            self.turn, self.turned, self.next = None, None, now + AGAIN
        if self.turn is None and now >= self.next:
            self.turn = self.holder.acquire(now, TURN, self.span)

    def _stage(self, stage, why):
        if (stage, why) != (self.stage, self.why):
            self.stage, self.why = stage, why
            self.log.append((stage, "", why))

    def _end(self, now, why):
        if self.turn is not None:
            self.holder.release(now, self.turn)
        for place in self.places.values():
            self._release(now, place)
        self._stage("ended", why)
