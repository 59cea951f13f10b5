"""What a worker may be sent: by the rules on further relays, the cold ones' share, the load ration."""
from gaproute.decisions.route.beliefs import SECOND
from gaproute.decisions.route.hints import Hints
from gaproute.interface import Effect, Group

CREDIT_LIFE = SECOND   # over which unspent credit fades: about the time in which a cold worker falls over


class Allowed(Hints):
    def allowed(self, worker, track, trail, now):
        """The rules on further relays, strictly by track; a relay still out may have run."""
        if not worker.active or trail.out and not self.terms.twins_allowed:
            return False
        if trail.first is None or track.effect is Effect.PURE:
            return True
        if track.effect is Effect.EFFECTFUL:
            return False
        first, sent = trail.first
        same = {Group.ALL: True, Group.ZONE: worker.zone == first.zone,
                Group.CELL: worker.cell == first.cell}[track.group]
        return same and now < sent + track.repeat_window

    def spread_credit(self, now):
        """Each answer of a warm worker earns every cold one its share of the mean per warm peer.

        Counted in answers it holds for bursts, storms of refusals and fresh gateways. Half the fleet stands
        for the warm peers when fewer are warm, as those carry more each. What is unspent fades, so that many
        gateways save up no burst, and is spent by chance, so that those with few tasks use cold ones too.
        """
        if now >= self.all_warm_at:
            return
        cold = [worker for worker in self.fleet if now < worker.warm_at]
        peers = max(len(self.fleet) - len(cold), len(self.fleet) / 2)
        for worker in cold:
            kept = max(0.0, 1 - (now - worker.credited) / CREDIT_LIFE)
            worker.credit, worker.credited = worker.credit * kept + self.power(worker, now) / peers, now

    def may_order(self, now, function):
        """Within the load ration; one open order for a function."""
        return self.terms.orders_allowed and not function.ordered and self.ration.may(now)

    def ordered(self, now, function):
        function.ordered, function.since = True, now
        self.ration.ordered()
