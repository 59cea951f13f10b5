"""What this gateway knows of the functions, and at which hosts it expects an instance of each."""

from collections import deque
from collections.abc import Iterable

from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.parameters import MAX_SAMPLES

WARMTH_EXPONENT = 4  # of age over keep-alive: warmth stays above two thirds for three quarters of it
FORGET_AFTER_KEEP_ALIVES = 4  # times the keep-alive without use after which a function is forgotten


class Function:
    """What this gateway knows of one function. The keys of the tables are ids of hosts."""

    def __init__(self, lanes: int) -> None:
        self.lanes = lanes  # requests that one instance runs at a time
        self.last_used: dict[str, int] = {}  # when this gateway last sent an attempt or got an answer
        self.proven_at: dict[str, int] = {}  # when an answer last showed that an instance was loaded
        self.hinted_at: dict[str, int] = {}  # when other gateways saw an instance; not yet considered
        self.answer_times: deque[int] = deque(maxlen=MAX_SAMPLES)  # where an instance was loaded, ns
        self.load_order_open, self.load_ordered_at = False, 0
        self.ranks: dict[str, int] = {}  # of the first hosts by the stable hash
        self.ranked_hosts: list[Host] = []  # the same hosts, in the order of their ranks
        self.ranked_version = -1  # of the host table
        self.used_at = 0  # when a request of the function last came
        self.paused_until: float = -1  # until then requests of the function wait for a host that is full
        self.answered_at = -1  # when an instance of the function last answered, at any host

    def record_use(self, host_id: str, now: int) -> None:
        """Notes that an attempt uses the instance at this host, or that an order loads it."""
        self.last_used[host_id] = now

    def record_answer(self, host_id: str, now: int) -> None:
        """Notes an answer, which shows that an instance is loaded at this host."""
        self.last_used[host_id] = self.proven_at[host_id] = self.answered_at = now

    def record_not_loaded(self, host_id: str) -> None:
        """Notes that the host has no instance."""
        self.last_used.pop(host_id, None)
        self.proven_at.pop(host_id, None)


class FunctionTable:
    """The functions by name; `keep_alive`: how long an idle instance stays loaded at least, ns."""

    def __init__(self, keep_alive: int) -> None:
        self.keep_alive = keep_alive
        self.by_name: dict[str, Function] = {}

    def find_or_add(self, name: str, lanes: int) -> Function:
        """The function of that name; one that was not known is added with that many lanes."""
        function = self.by_name.get(name)
        if function is None:
            function = self.by_name[name] = Function(lanes)
        return function

    def warmth(self, function: Function, host: Host, now: int) -> float:
        """0 to 1: how much this gateway expects that an instance of the function is loaded at the host."""
        last = function.last_used.get(host.id)
        if last is None or last < host.instances_lost_at or not host.active:
            return 0.0
        return max(0.0, 1.0 - ((now - last) / self.keep_alive) ** WARMTH_EXPONENT)

    def forget_hosts(self, host_ids: Iterable[str]) -> None:
        """Forget what is known of these hosts, which are gone."""
        for host_id in host_ids:
            for function in self.by_name.values():
                for table in (function.last_used, function.proven_at, function.hinted_at):
                    table.pop(host_id, None)

    def forget_unused(self, now: int) -> None:
        """Forget functions without recent requests, except those with an open load order."""
        since = now - FORGET_AFTER_KEEP_ALIVES * self.keep_alive
        self.by_name = {
            name: function
            for name, function in self.by_name.items()
            if function.load_order_open or function.used_at >= since
        }
