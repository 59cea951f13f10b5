"""The order in which hosts are scored, chosen so that hosts that cannot win need not be scored."""

from collections.abc import Iterator, Sequence

from gaproute.decisions.routing.functions import Function
from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.parameters import NEVER
from gaproute.decisions.routing.tables import Tables

# Factor on the points of the stable hash from each choice to the next: where the first choices are full, all
# gateways go to the same next ones, about ten of them.
HASH_DECAY = 0.85
RANK_DEPTH_FACTOR = 4  # times as many hosts are ranked where those ranked so far did not settle a choice
UNBOUNDED = NEVER  # more points than any host can have

# (host, warmth, rank, max_score points). A plain tuple, as one is made for each host that is scored.
Candidate = tuple[Host, float, int, float]


class CandidateOrder:
    """Yields the hosts that are eligible to get a request, the likeliest first."""

    def __init__(self, tables: Tables) -> None:
        self.hosts, self.functions, self.ranking = tables.hosts, tables.functions, tables.ranking

    def candidates(
        self,
        now: int,
        name: str,
        function: Function,
        eligible: Sequence[Host],
        hash_points: float,
        equal_ranks: int,
    ) -> Iterator[Candidate]:
        """The eligible hosts: first those that are expected to have an instance, then the others by rank.

        The last field of a candidate bounds the score, before the cost of a queue, of this host and of all
        that follow. Hosts with an instance are not bounded; the others can have no more than the points of
        the stable hash. The caller stops at a bound below the best score so far. The caller thus scores few
        hosts of a large fleet and makes the same choice as if it had scored all of them. `equal_ranks` is the
        number of first ranks that get the same points.
        """
        active, ranking = self.hosts.active, self.ranking
        ranks = ranking.ranks(name, function)
        done = set() if eligible is active else set(active).difference(eligible)
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
                ranking.ranks(name, function, RANK_DEPTH_FACTOR * rank)
            if (host := function.ranked_hosts[rank]) not in done:
                yield host, 0.0, rank, hash_points * HASH_DECAY ** (rank // equal_ranks)
