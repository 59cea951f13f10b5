"""What this gateway knows of the functions, and at which hosts it takes an instance of each to be loaded."""

from collections import deque
from collections.abc import Iterable

from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.parameters import SAMPLES

FADE_POWER = 4  # of age over keep-alive: warmth stays above two thirds for three quarters of it
FORGET_AFTER = 4  # times the keep-alive without use after which a function is forgotten


class Function:
    """What this gateway knows of one function. The keys of the tables are ids of hosts."""

    def __init__(self, lanes: int) -> None:
        self.lanes = lanes  # requests that one instance runs at a time
        self.last_used: dict[str, int] = {}  # last own attempt or answer there
        self.proven_at: dict[str, int] = {}  # last answer, which shows that an instance was loaded
        self.hinted_at: dict[str, int] = {}  # when others saw an instance there; not yet considered
        self.answer_times: deque[int] = deque(maxlen=SAMPLES)  # where an instance was loaded, ns
        self.load_order_open, self.load_ordered_at = False, 0
        self.ranks: dict[str, int] = {}  # of the first hosts by the stable hash
        self.ranked_hosts: list[Host] = []  # the same hosts, in the order of their ranks
        self.ranked_version = -1  # of the host table
        self.used_at = 0  # when a request of it last came
        self.paused_until: float = -1  # its requests wait for a host that is full
        self.answered_at = -1  # when an instance of it was last seen anywhere

    def used(self, host_id: str, now: int) -> None:
        """The function's instance at this host is used by an attempt, or loaded by an order."""
        self.last_used[host_id] = now

    def answered(self, host_id: str, now: int) -> None:
        """An answer of this host shows that an instance is loaded there."""
        self.last_used[host_id] = self.proven_at[host_id] = self.answered_at = now

    def not_loaded(self, host_id: str) -> None:
        """The host has no instance."""
        self.last_used.pop(host_id, None)
        self.proven_at.pop(host_id, None)


class FunctionTable:
    """The functions by name; `keep_alive`: for which an idle instance stays loaded at least, ns."""

    def __init__(self, keep_alive: int) -> None:
        self.keep_alive = keep_alive
        self.by_name: dict[str, Function] = {}

    def find_or_add(self, name: str, lanes: int) -> Function:
        """The function of that name; `lanes` counts where it was not known."""
        function = self.by_name.get(name)
        if function is None:
            function = self.by_name[name] = Function(lanes)
        return function

    def warmth(self, function: Function, host: Host, now: int) -> float:
        """0 to 1: how far an instance of the function is taken to be loaded at the host."""
        last = function.last_used.get(host.id)
        if last is None or last < host.instances_lost_at or not host.active:
            return 0.0
        return max(0.0, 1.0 - ((now - last) / self.keep_alive) ** FADE_POWER)

    def forget_hosts(self, host_ids: Iterable[str]) -> None:
        """These hosts are gone."""
        for host_id in host_ids:
            for function in self.by_name.values():
                for table in (function.last_used, function.proven_at, function.hinted_at):
                    table.pop(host_id, None)

    def forget_unused(self, now: int) -> None:
        """Forget the functions that were not asked for lately, but for those with an open load order."""
        since = now - FORGET_AFTER * self.keep_alive
        self.by_name = {
            name: function
            for name, function in self.by_name.items()
            if function.load_order_open or function.used_at >= since
        }
