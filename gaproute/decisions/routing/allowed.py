"""What a worker may be sent: by the rules on further relays, the cold ones' share, the load ration."""

from gaproute.decisions.routing.beliefs import LONG, SECOND
from gaproute.decisions.routing.hints import Hints
from gaproute.interface import Group, Idempotency

SAFE = 0.8  # of the load that pushes a cold worker over: the rest is for chance
FIRST = 0.25  # of the told share, for tasks: answers then show what cold workers can do
FIRST_PACE = 1 / SECOND  # of these at each worker at most: within the slack for chance of the smallest


class Allowed(Hints):
    def allowed(self, worker, track, trail, now):
        """The rules on further relays, strictly by track; a relay still out may have run."""
        barred = trail.relays >= self.terms.attempt_limit or trail.out and not self.terms.hedging_allowed
        if barred or not worker.active:
            return False
        if trail.first is None or track.idempotency is Idempotency.IDEMPOTENT:
            return True
        first, of = trail.first[0], track.group.value  # a field of workers, but for ALL
        same = track.group is Group.ALL or getattr(worker, of) == getattr(first, of)
        return (
            track.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
            and same
            and now < self.begin_by(track, trail, LONG)
        )

    def begin_by(self, track, trail, end):
        """When a relay may begin at the latest, should it wait for its connection."""
        bound = trail.first is not None and track.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        return min(end, trail.first[1] + track.repeat_window) if bound else end

    def spread_credit(self, now, by):
        """Earn the cold workers credit for an answer of the worker `by`.

        Each answer of a warm worker earns every cold one its share of the mean per warm peer by size.
        Counted in answers it holds for bursts, storms of refusals, fresh gateways. Half the fleet stands for
        the warm peers when fewer are warm: then an answer of a cold one earns too, up to one for one with
        none warm, and that one alone: nobody is told how each gains, but what it answers it can do. For the
        same reason none counts for more than what it surely bears."""
        cold, half = [worker for worker in self.fleet if now < worker.warm_at], len(self.fleet) / 2
        warm, most = (
            len(self.fleet) - len(cold),
            SAFE * self.terms.warm_up_overload * self.terms.warm_up_share,
        )
        if now < by.warm_at:
            by.earn(now, max(0.0, 1 - warm / half))
            return
        for worker in cold:
            worker.earn(now, self.size(worker) * min(self.power(worker, now), most) / max(warm, half))

    def spread_first_credit(self, now):
        """With none warm the first relays to each come of tasks, at most so many a second of all gateways
        together: tasks come as fast as clients wish, and the less is answered the more they ask again."""
        share = FIRST * self.terms.warm_up_share / (len(self.fleet) / 2)
        most = FIRST_PACE * (now - self.first_spread) / max(1, self.terms.gateways)
        self.first_spread = now
        for worker in self.fleet:
            worker.earn(now, min(self.size(worker) * share, most))

    def size(self, worker):
        """Of the mean capacity, one at most: what is earned is a share of what the mean worker does."""
        return min(1.0, worker.capacity * len(self.fleet) / self.capacity)

    def may_order(self, now, function):
        """Within the load ration; one open order for a function."""
        return self.terms.load_orders_allowed and not function.ordered and self.ration.may(now)

    def ordered(self, now, function):
        function.ordered, function.since = True, now
        self.ration.ordered()
