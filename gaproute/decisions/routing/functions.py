"""What this gateway knows of each function, and at which hosts it expects an instance of the function."""

from collections.abc import Mapping

from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.samples import RecentSamples

FUNCTION_BYTES = 1200  # of a function without its entries of hosts, and of its places in tables
ENTRY_BYTES = 120  # of one host in one of a function's tables of times
RANK_BYTES = 60  # of one host in its ranks


class Function:
    """What this gateway knows of one function; the dicts whose values are times have host ids as keys."""

    __slots__ = (
        "lanes",
        "last_used",
        "proven_at",
        "hinted_at",
        "answer_times",
        "load_order_open",
        "load_ordered_at",
        "ranks",
        "ranked_hosts",
        "ranked_version",
        "used_at",
        "paused_until",
        "answered_at",
        "requests_in_progress",
        "departures_seen",
        "counted_bytes",
    )

    def __init__(self, lanes: int) -> None:
        self.lanes = lanes  # requests that one instance runs at a time
        self.last_used: dict[str, int] = {}  # time of this gateway's last attempt or answer
        self.proven_at: dict[str, int] = {}  # time of the last answer of a loaded instance
        self.hinted_at: dict[str, int] = {}  # hints not followed yet: when an instance was seen
        self.answer_times: RecentSamples[int] = RecentSamples()  # ns, at loaded instances
        self.load_order_open, self.load_ordered_at = False, 0
        self.ranks: dict[str, int] = {}  # rank by the stable hash, of the first hosts only
        self.ranked_hosts: list[Host] = []  # the hosts of `ranks`, by rank
        self.ranked_version = -1  # version of the host table to which the ranks belong
        self.used_at = 0  # time of the last request of the function
        self.paused_until: float = -1  # until then requests wait for a full host
        self.answered_at = -1  # time of the last answer of the function at any host
        self.requests_in_progress = 0
        self.departures_seen = 0  # departures of hosts after which entries of such hosts were last dropped
        self.counted_bytes = FUNCTION_BYTES  # its size when it was last counted

    def record_use(self, host_id: str, now: int) -> None:
        """Records that an attempt uses the instance at the host, or that a load order has loaded it."""
        self.last_used[host_id] = now

    def record_answer(self, host_id: str, now: int) -> None:
        """Records an answer, which proves that an instance is loaded at the host."""
        self.last_used[host_id] = self.proven_at[host_id] = self.answered_at = now

    def record_not_loaded(self, host_id: str) -> None:
        """Records that the host has no instance."""
        self.last_used.pop(host_id, None)
        self.proven_at.pop(host_id, None)

    def size(self) -> int:
        """The estimated memory of the function, in bytes."""
        entries = len(self.last_used) + len(self.proven_at) + len(self.hinted_at)
        return FUNCTION_BYTES + ENTRY_BYTES * entries + RANK_BYTES * len(self.ranks)

    def drop_departed_hosts(self, hosts_by_id: Mapping[str, Host]) -> None:
        """Drops what is known of hosts that are not among these, or were not when it was seen."""
        for table in (self.last_used, self.proven_at, self.hinted_at):
            departed = [
                host_id
                for host_id, seen in table.items()
                if host_id not in hosts_by_id or seen < hosts_by_id[host_id].returned_at
            ]
            for host_id in departed:
                del table[host_id]
