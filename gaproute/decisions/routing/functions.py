"""What this gateway knows of each function, and at which hosts it expects an instance of the function."""

from collections import deque
from collections.abc import Iterable

from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.parameters import MAX_SAMPLES

# Exponent of (age / keep-alive): warmth stays above two thirds for three quarters of the keep-alive time.
WARMTH_EXPONENT = 4
FORGET_AFTER_KEEP_ALIVES = 4  # keep-alive times without a request after which a function is forgotten


class Function:
    """What this gateway knows of one function; the dicts whose values are times have host ids as keys."""

    def __init__(self, lanes: int) -> None:
        self.lanes = lanes  # requests that one instance runs at a time
        self.last_used: dict[str, int] = {}  # time of this gateway's last attempt or answer
        self.proven_at: dict[str, int] = {}  # time of the last answer of a loaded instance
        self.hinted_at: dict[str, int] = {}  # hints not followed yet: when an instance was seen
        self.answer_times: deque[int] = deque(maxlen=MAX_SAMPLES)  # ns, at loaded instances
        self.load_order_open, self.load_ordered_at = False, 0
        self.ranks: dict[str, int] = {}  # rank by the stable hash, of the first hosts only
        self.ranked_hosts: list[Host] = []  # the hosts of `ranks`, by rank
        self.ranked_version = -1  # version of the host table to which the ranks belong
        self.used_at = 0  # time of the last request of the function
        self.paused_until: float = -1  # until then requests wait for a full host
        self.answered_at = -1  # time of the last answer of the function at any host

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


class FunctionTable:
    """The functions by name; `keep_alive` is the minimum time that an idle instance stays loaded (ns)."""

    def __init__(self, keep_alive: int) -> None:
        self.keep_alive = keep_alive
        self.by_name: dict[str, Function] = {}

    def find_or_add(self, name: str, lanes: int) -> Function:
        """Returns the function of that name, which is added with `lanes` if it is unknown."""
        function = self.by_name.get(name)
        if function is None:
            function = self.by_name[name] = Function(lanes)
        return function

    def warmth(self, function: Function, host: Host, now: int) -> float:
        """Returns how likely an instance of the function is loaded at the host, from 0 to 1."""
        last = function.last_used.get(host.id)
        if last is None or last < host.instances_lost_at or not host.active:
            return 0.0
        return max(0.0, 1.0 - ((now - last) / self.keep_alive) ** WARMTH_EXPONENT)

    def forget_hosts(self, host_ids: Iterable[str]) -> None:
        """Forgets everything about these hosts, which are gone."""
        for host_id in host_ids:
            for function in self.by_name.values():
                for table in (function.last_used, function.proven_at, function.hinted_at):
                    table.pop(host_id, None)

    def forget_unused(self, now: int) -> None:
        """Forgets functions without recent requests, except those with an open load order."""
        since = now - FORGET_AFTER_KEEP_ALIVES * self.keep_alive
        self.by_name = {
            name: function
            for name, function in self.by_name.items()
            if function.load_order_open or function.used_at >= since
        }
