"""The order in which hosts are scored, so that those that cannot win are spared."""

from collections.abc import Iterator, Sequence

from gaproute.decisions.routing.functions import Function
from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.parameters import NEVER
from gaproute.decisions.routing.tables import Tables

HASH_FALL = 0.85  # of the points of the stable hash, from each choice to the next: gateways agree on where
#                   to spill, ten deep
DEEPER = 4  # times as many hosts are ranked where those ranked so far did not settle a choice
UNBOUNDED = NEVER  # more points than any host can have

# (host, warmth, rank, most points). A plain tuple: there is one for each host that is scored.
Candidate = tuple[Host, float, int, float]


class CandidateOrder:
    """Yields the hosts that are able to get a request, the likeliest first."""

    def __init__(self, tables: Tables) -> None:
        self.hosts, self.functions, self.ranking = tables.hosts, tables.functions, tables.ranking

    def candidates(
        self,
        now: int,
        name: str,
        function: Function,
        able: Sequence[Host],
        hash_points: float,
        width: int,
    ) -> Iterator[Candidate]:
        """The able hosts: those taken to have an instance, then the others by rank.

        The most points are a bound on the score of this host and all that follow, but for the cost of a
        queue: no warm one is given it, and of the others the hash's points are all that they can have. It
        spares scoring those that cannot win, which in a large fleet are nearly all; the choice stays as if
        all were scored. `width`: how many first choices of the hash count alike.
        """
        active, ranking = self.hosts.active, self.ranking
        ranks = ranking.ranks(name, function)
        done = set() if able is active else set(active).difference(able)
        by_id, warmth_of = self.hosts.by_id, self.functions.warmth
        for host_id in function.last_used:
            host = by_id[host_id]
            if host not in done and (warmth := warmth_of(function, host, now)) > 0:
                if host_id not in ranks:
                    ranks = ranking.ranks(name, function, len(active))
                done.add(host)
                yield host, warmth, ranks[host_id], UNBOUNDED
        for rank in range(len(active)):
            if rank == len(function.ranked_hosts):
                ranking.ranks(name, function, DEEPER * rank)
            if (host := function.ranked_hosts[rank]) not in done:
                yield host, 0.0, rank, hash_points * HASH_FALL ** (rank // width)
