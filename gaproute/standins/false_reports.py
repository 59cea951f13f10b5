"""Gateways that serve as the product does and tell others wrong things on purpose: a share of the copies that
they tell of stand at other hosts than told."""

from gaproute.decisions.routing import Gateway


class FalseReporter(Gateway):
    SHARE = 1.0

    def observations_since(self, now, since=-1):
        active = [host.id for host in self.active_hosts]
        for kind, names, value, at in super().observations_since(now, since):
            if kind == "warm" and len(active) > 1 and self.chance.below(1000) < 1000 * self.SHARE:
                others = [name for name in active if name != names[0]]
                names = (others[self.chance.below(len(others))], names[1])
            yield kind, names, value, at


class ReportsFalselyAtTimes(FalseReporter):
    SHARE = 0.2


class ReportsFalselyByHalf(FalseReporter):
    SHARE = 0.5


class ReportsFalselyAlways(FalseReporter):
    SHARE = 1.0
