"""Comparisons that see what no gateway can: true queues, as they are or were, and true copies."""

from benchmarks.fleet.parted import Alike
from gaproute.decisions.routing.parameters import MILLI, USUAL_CONCURRENCY

POINT = 0.5  # points a task in hand, where queues are true: a copy is worth twelve


class Sees(Alike):
    """The same score with the true queues, as old as `lag`."""

    lag = 0

    def true(self, host):
        if not self.lag:
            return self.world.hosts[host.id].busy
        return self.world.past.busy(host.id, self.lag)

    def queue(self, host, request, now):
        return self.true(host)


class Level(Sees):
    """True queues and true copies: the least load among hosts where a copy stands, another where it pays."""

    slack = 100.0  # all are scored

    def queue_weight(self, heat):
        return POINT * USUAL_CONCURRENCY

    def copy(self, name, host, rank, width, warmth):
        return 1.0 if name in self.world.hosts[host.id].copies else 0.0


class Least(Level):
    """True queues and nothing else: the least load, whatever it costs in loads."""

    def copy(self, name, host, rank, width, warmth):
        return 1.0


class Told(Sees):
    """(e) Tasks in hand told by all each 500 ms, beside reports: as old as that at most, half in the mean."""

    lag = 250 * MILLI


def lagging(base, milli):
    return type(f"{base.__name__}{milli}", (base,), {"lag": milli * MILLI})
