"""The order in which hosts are scored, so that hosts that cannot win do not have to be scored."""

from collections.abc import Iterator, Sequence

from gaproute.decisions.routing.functions import Function
from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.parameters import NEVER
from gaproute.decisions.routing.tables import Tables

# Factor on the points of the stable hash from one choice to the next. When the first choices are full, all
# gateways use the same next choices, about ten of them.
HASH_DECAY = 0.85
# Factor by which the number of ranked hosts grows when the hosts ranked so far are not enough for a choice.
RANK_DEPTH_FACTOR = 4
UNBOUNDED = NEVER  # a score limit above the score of any host

# (host, warmth, rank, upper limit of the score). A plain tuple, because one is created for each scored host.
Candidate = tuple[Host, float, int, float]


class CandidateOrder:
    """Yields the eligible hosts of a request, those likeliest to win first."""

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
        """Yields the eligible hosts: those expected to have an instance first, then the others by rank.

        The last field of a candidate is an upper limit of the score, without the cost of a queue, of this
        host and of all later hosts. Hosts with an instance have no limit; the others cannot exceed the points
        of the stable hash. The caller stops at the first limit below the best score so far. It thus scores
        few hosts of a large fleet and makes the same choice as if it had scored all of them.
        `equal_ranks` is the number of first ranks that get equal points.
        """
        active, ranking = self.hosts.active, self.ranking
        ranks = ranking.ranks(name, function)
        done = set() if eligible is active else set(active).difference(eligible)
        by_id, warmth_of = self.hosts.by_id, self.functions.warmth
        for host_id in function.last_used:
            host = by_id.get(host_id)  # None: it has departed since the function was last used
            if host is not None and host not in done and (warmth := warmth_of(function, host, now)) > 0:
                if host_id not in ranks:
                    ranks = ranking.ranks(name, function, len(active))
                done.add(host)
                yield host, warmth, ranks[host_id], UNBOUNDED
        for rank in range(len(active)):
            if rank == len(function.ranked_hosts):
                ranking.ranks(name, function, RANK_DEPTH_FACTOR * rank)
            if (host := function.ranked_hosts[rank]) not in done:
                yield host, 0.0, rank, hash_points * HASH_DECAY ** (rank // equal_ranks)
