"""The functions that this gateway knows, within a limit of memory.

Clients name functions, so any number of names may come. Two queues hold the functions in the order of their
last request: those requested once, and those requested again. New names displace each other in the first
queue, so a flood of them does not displace the functions that are requested again and again.
"""

from collections import OrderedDict
from enum import Enum
from itertools import islice

from gaproute.decisions.routing.functions import Function
from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.host_table import HostTable

# Exponent of (age / keep-alive): warmth stays above two thirds for three quarters of the keep-alive time.
WARMTH_EXPONENT = 4
FORGET_AFTER_KEEP_ALIVES = 4  # keep-alive times without a request after which a function is forgotten
DEFAULT_MAX_FUNCTION_BYTES = 64 << 20
REPEATED_SHARE = 0.75  # of the memory, for functions that were requested again
# Bounds on the work of one call.
MAX_EVICTIONS = 8
MAX_FORGOTTEN = 256


class RequestHistory(Enum):
    """Whether a function was requested more than once."""

    ONCE = "once"
    REPEATED = "repeated"


class FunctionQueue(OrderedDict[str, Function]):
    """Functions by name, the one whose last request is longest ago first, and the sum of their sizes."""

    def __init__(self) -> None:
        super().__init__()
        self.bytes = 0

    def append(self, name: str, function: Function) -> None:
        """Adds a function as the last one."""
        self[name] = function
        self.bytes += function.counted_bytes

    def remove(self, name: str) -> Function:
        """Removes a function. Errors: KeyError."""
        function = self.pop(name)
        self.bytes -= function.counted_bytes
        return function


class FunctionTable:
    """The functions by name; `keep_alive` is the minimum time that an idle instance stays loaded (ns).

    Functions with a request in progress or an open load order are never evicted; their number is limited
    where requests and orders are.
    """

    def __init__(
        self, keep_alive: int, hosts: HostTable, max_bytes: int = DEFAULT_MAX_FUNCTION_BYTES
    ) -> None:
        self.keep_alive, self.hosts, self.max_bytes = keep_alive, hosts, max_bytes
        self.by_name: dict[str, Function] = {}
        self.evicted_count = 0
        self._queues = {history: FunctionQueue() for history in RequestHistory}

    @property
    def bytes(self) -> int:
        """The estimated memory of all functions."""
        return sum([queue.bytes for queue in self._queues.values()])

    def find_or_add(self, name: str, lanes: int) -> Function:
        """Returns the function of that name, which is added with `lanes` if it is unknown.

        What the function holds of hosts that have departed since its last use is dropped.
        """
        function = self.by_name.get(name)
        if function is None:
            function = self.by_name[name] = Function(lanes)
            function.departures_seen = self.hosts.departure_count
            once = self._queues[RequestHistory.ONCE]
            once.append(name, function)
            once.move_to_end(name, last=False)  # without a request yet, it is the first to be forgotten
        elif function.departures_seen != self.hosts.departure_count:
            function.departures_seen = self.hosts.departure_count
            function.drop_departed_hosts(self.hosts.by_id)
        return function

    # Requests

    def begin_request(self, name: str, lanes: int, now: int) -> Function:
        """Returns the function of a request, which is kept at least until `end_request`."""
        function = self.find_or_add(name, lanes)
        history = RequestHistory.REPEATED if function.used_at else RequestHistory.ONCE
        function.lanes, function.used_at = lanes, now
        function.requests_in_progress += 1
        self._move_to_end(name, function, history)
        self._evict()
        return function

    def end_request(self, function: Function) -> None:
        """Ends the request that `begin_request` began."""
        function.requests_in_progress -= 1

    def _move_to_end(self, name: str, function: Function, history: RequestHistory) -> None:
        for queue in self._queues.values():
            if name in queue:
                queue.remove(name)
        function.counted_bytes = function.size()
        self._queues[history].append(name, function)
        once, repeated = self._queues[RequestHistory.ONCE], self._queues[RequestHistory.REPEATED]
        while len(repeated) > 1 and repeated.bytes > REPEATED_SHARE * self.max_bytes:
            oldest = next(iter(repeated))
            once.append(oldest, repeated.remove(oldest))

    # Forgetting

    def _evict(self) -> None:
        """Forgets the functions whose last request is longest ago while all use too much memory."""
        for _ in range(MAX_EVICTIONS):
            if self.bytes <= self.max_bytes:
                return
            queue = self._queues[RequestHistory.ONCE] or self._queues[RequestHistory.REPEATED]
            name, function = next(iter(queue.items()))
            if function.requests_in_progress or function.load_order_open:
                queue.remove(name)
                queue.append(name, function)
            else:
                self._forget(queue, name)
                self.evicted_count += 1

    def _forget(self, queue: FunctionQueue, name: str) -> None:
        queue.remove(name)
        del self.by_name[name]

    def forget_unused(self, now: int) -> None:
        """Forgets functions without recent requests, except those with an open load order.

        One call forgets a bounded number, and the next calls go on.
        """
        since = now - FORGET_AFTER_KEEP_ALIVES * self.keep_alive
        for queue in self._queues.values():
            for name, function in list(islice(queue.items(), MAX_FORGOTTEN)):
                if function.used_at < since and not function.load_order_open:
                    self._forget(queue, name)

    # Instances

    def warmth(self, function: Function, host: Host, now: int) -> float:
        """Returns how likely an instance of the function is loaded at the host, from 0 to 1."""
        last = function.last_used.get(host.id)
        if last is None or last < host.instances_lost_at or not host.active:
            return 0.0
        return max(0.0, 1.0 - ((now - last) / self.keep_alive) ** WARMTH_EXPONENT)
