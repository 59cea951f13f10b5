"""What a running round believes, and what it begins by that: hosts that go, copies that are loaded.

Rules by number: see `controller.py`.
"""

from gaproute.maintenance import capacity_floor, schedule, warm_capacity
from gaproute.maintenance.hands import Hands
from gaproute.maintenance.host_progress import there

SECOND = 1_000_000_000

TURN_LONG = 300 * SECOND  # that one round keeps the turn while another may wait
TOLD = 15 * SECOND  # without a word of demand: nothing is judged to be kept
JUDGE = 20 * SECOND  # of a turn until a round without a lawful schedule is refused: belief fills first


class Going(Hands):
    """The part of `round.RoundController` that judges and begins; all state is there."""

    def _believe(self, now, view):
        turn = self.turned if self.holds(now) else now
        since = self.lives.counting(now, turn, view.fleet, view.shown)
        self.believed = warm_capacity.lanes(now, self.me, view.fleet, view.sights, view.shown, since)
        self.needs = capacity_floor.needs((self.asked, *self.beside), view.demand, view.zones)
        self.missing = capacity_floor.kept(
            view.fleet, self.believed, self.needs, self.asked.survive, self.away()
        )
        if not view.demand or view.told > TOLD:
            self.missing = capacity_floor.UNHEARD

    def _go(self, now, view):
        out = []
        for name, seen in view.shown.items():  # rule 2, hosts of other rounds
            if (
                name not in self.places
                and seen.draining
                and 0 < seen.mark[0] < self.turn.fencing_token
                and there(now, seen)
                and ("serve", name) not in self.ordered
            ):
                self.ordered["serve", name] = now
                out.append(("serve", name, self._mark()))
        if not self.planned and not self._plan(now, view):
            return out
        if self.missing:  # rule 4
            out += self._back(now, capacity_floor.worded(self.missing))
            self._stage("paused", capacity_floor.worded(self.missing))
        waiting = [
            place.name
            for place in self.places.values()
            if place.state == "waiting"
            and there(now, view.shown.get(place.name))
            and not view.shown[place.name].draining
        ]
        going, first = [], None
        if not self.missing and now - self.turned <= TURN_LONG:
            down = [name for name in view.fleet if not there(now, view.shown.get(name))]
            going, first = self._choose(view, waiting, down)
            self._stage("going", first[1] if first and not going and not self.away() else "")
        for name in going:  # rule 5
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
            self.planned = True  # begun already, by the process before this one
            return True
        free = {name: seen.free for name, seen in view.shown.items() if name in view.fleet}
        why = (
            capacity_floor.worded(self.missing)
            if self.missing == capacity_floor.UNHEARD
            else schedule.plan(
                self.asked, view.fleet, self.believed, self.needs, list(self.places), free, self.paces
            ).why
        )
        self.planned = not why
        if why and now - self.turned > JUDGE:
            self._end(now, why)
            self._stage("refused", why)
        elif why:
            self._stage("asking", why)
        return self.planned

    def _loads(self, now, view, waiting):
        under = {(name, function) for name, seen in view.shown.items() for function in seen.loading}
        loading = sorted(
            under
            | {key for key in self.ordered if key[0] != "serve" and not self.believed[key[0]].get(key[1])}
        )
        free = {
            name: seen.free
            for name, seen in view.shown.items()
            if there(now, seen) and not seen.draining and name in view.fleet and name not in self.away()
        }
        had = {place.name: place.had for place in self.places.values() if place.state == "back"}
        orders = schedule.loads(
            self.asked,
            view.fleet,
            self.believed,
            self.needs,
            waiting,
            self.away(),
            free,
            loading,
            had,
            self.paces.ration,
        )
        self.ordered.update(dict.fromkeys(orders, now))
        return [("load", *order) for order in orders]
