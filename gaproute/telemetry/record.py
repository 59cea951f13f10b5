"""Counters and recent events of one gateway, and the log steps of traced requests."""

from collections import Counter, deque
from collections.abc import Mapping, Sequence
from typing import Any, Protocol
from zlib import crc32

from gaproute.interface import Result
from gaproute.interface.call import FinalResult

MAX_EVENTS = 256  # most recent events, which operators can read
DEFAULT_TRACE_ONE_IN = 32  # 1 in 32 requests is traced, chosen by its id: the same requests at every gateway

CounterKey = tuple[str, ...]  # (counter name, label, ...)
CounterTree = dict[str, Any]  # {counter name: {label: count, or {label: count}}}


class Log(Protocol):
    """A structured log that writes one line with its fields for each event."""

    def info(self, event: str, /, **fields: object) -> object:
        """Logs an event of ordinary operation."""

    def warning(self, event: str, /, **fields: object) -> object:
        """Logs an event that an operator may have to look into."""

    def error(self, event: str, /, **fields: object) -> object:
        """Logs an error."""


class GatewayRecord:
    """The counters since the start of one gateway, its recent events and its traces."""

    def __init__(
        self, log: Log, class_names: Sequence[str], trace_one_in: int = DEFAULT_TRACE_ONE_IN
    ) -> None:
        """`class_names`: names of the request classes, by index.

        `trace_one_in`: 1 traces all requests, 0 none.
        """
        self.log, self.class_names = log, class_names
        self.trace_one_in = trace_one_in
        self.counts: Counter[CounterKey] = Counter()  # those that concern no host
        self.host_counts: dict[str, Counter[CounterKey]] = {}  # by host
        self.events: deque[tuple[str, dict[str, object]]] = deque(maxlen=MAX_EVENTS)

    def event(self, level: str, event: str, /, **fields: object) -> None:
        """Logs an event by the log's method `level` and stores it for the operators' address."""
        self.events.append((event, fields))
        getattr(self.log, level)(event, **fields)

    def log_internal_error(self, message: str, gateway_request_id: str) -> None:
        """Logs an internal error in the handling of a request; the id is assigned by the gateway."""
        self.event("error", "internal_error", message=message, gateway_request_id=gateway_request_id)

    # Counters

    def count_request(self, request_class: int) -> None:
        """Counts a received request."""
        self.counts["received", self.class_names[request_class]] += 1

    def count_refused(self, reason: str) -> None:
        """Counts a request that was refused before the decisions saw it."""
        self.counts["refused", reason] += 1

    def count_client_left(self, request_class: int) -> None:
        """Counts a request whose client left before its final answer."""
        self.counts["client_left", self.class_names[request_class]] += 1

    def count_final_answer(self, request_class: int, ending: FinalResult) -> None:
        """Counts a final answer by its request class and ending."""
        self.counts[ending.value, self.class_names[request_class]] += 1

    def count_attempt_result(self, host: str, request_class: int, result: Result) -> None:
        """Counts the result of an attempt by host; a failure also by request class."""
        counts = self._counts_of(host)
        counts["attempts", host, result.value] += 1
        if result is not Result.OK:
            counts["failed_attempts", self.class_names[request_class], host, result.value] += 1

    def count_load_order(self, host: str) -> None:
        """Counts a load order to a host."""
        self._counts_of(host)["load_orders", host] += 1

    def _counts_of(self, host: str) -> Counter[CounterKey]:
        counts = self.host_counts.get(host)
        if counts is None:
            counts = self.host_counts[host] = Counter()
        return counts

    def forget_host(self, host: str) -> None:
        """Deletes the counters of a host that was removed from the fleet."""
        self.host_counts.pop(host, None)

    def all_counts(self) -> dict[CounterKey, int]:
        """All counters."""
        found: dict[CounterKey, int] = dict(self.counts)
        for counts in self.host_counts.values():
            found.update(counts)
        return found

    def snapshot(self) -> CounterTree:
        """The counters as nested dicts."""
        return nested_counters(self.all_counts())

    # Traces

    def is_traced(self, request_id: str) -> bool:
        """Whether to trace the request with this client's id, or the load orders of this function."""
        if not request_id or self.trace_one_in <= 0:
            return False
        return crc32(request_id.encode()) % self.trace_one_in == 0

    def log_step(self, request_id: str, step: str, /, **fields: object) -> None:
        """Logs one step of a traced request; `request_id` is the id that the client gave."""
        self.log.info("request_step", request_id=request_id, step=step, **fields)

    def log_load_order(self, function: str, /, **fields: object) -> None:
        """Logs the end of a load order of a traced function."""
        self.log.info("load_order_ended", function=function, **fields)


def nested_counters(counts: Mapping[tuple[str, ...], int]) -> CounterTree:
    """Converts counters to nested dicts, sorted by key."""
    tree: CounterTree = {}
    for (counter, *labels), count in sorted(counts.items()):
        node = tree.setdefault(counter, {})
        for label in labels[:-1]:
            node = node.setdefault(label, {})
        node[labels[-1]] = count
    return tree
