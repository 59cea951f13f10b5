"""Counts and the last events of one gateway."""

from collections import Counter, deque
from zlib import crc32

from gaproute.interface import Result

MAX_EVENTS = 256  # events kept for an operator's look
MAX_DURATIONS = 512  # last answer times kept for each request class
TRACE_ONE_IN = 32  # of so many requests one is traced, by its id: the same one at every gateway


class Record:
    def __init__(self, log, class_names, trace_one_in=TRACE_ONE_IN):
        self.trace_one_in = trace_one_in  # 1: each request; 0: none
        self.log, self.class_names = log, class_names  # names of the request classes, in their order
        self.counts = Counter()  # (event, class or host, ...): how often
        self.durations = [
            deque(maxlen=MAX_DURATIONS) for _ in class_names
        ]  # ns from first byte to final answer
        self.events = deque(maxlen=MAX_EVENTS)

    def event(self, level, event, **fields):
        self.events.append((event, fields))
        getattr(self.log, level)(event, **fields)

    def request_received(self, request_class):
        self.counts["taken", self.class_names[request_class]] += 1

    def client_left(self, request_class):
        self.counts["left", self.class_names[request_class]] += 1

    def request_ended(self, request_class, ending, duration):
        self.counts[ending.value, self.class_names[request_class]] += 1
        self.durations[request_class].append(duration)

    def attempt_ended(self, host, request_class, result, duration):
        self.counts["relay", host, result.value] += 1
        if result is not Result.OK:
            self.counts["failed", self.class_names[request_class], host, result.value] += 1

    def load_ordered(self, host, function, copies):
        self.counts["order", host] += 1

    def forget_host(self, host):
        """The host is gone for good: its counts go with it."""
        for key in [key for key in self.counts if host in key]:
            del self.counts[key]

    def is_traced(self, request_id):
        return (
            bool(request_id) and self.trace_one_in > 0 and crc32(request_id.encode()) % self.trace_one_in == 0
        )

    def log_step(self, request_id, event, **fields):
        """One step of a request that is traced."""
        self.log.info("step", mark=request_id, step=event, **fields)

    def fault(self, text, key):
        self.event("error", "fault", text=text, task=key)

    def snapshot(self):
        """The counts as nested plain data: {event: {subject: count or {detail: count}}}."""
        fields = {}
        for (event, *path), count in sorted(self.counts.items()):
            place = fields.setdefault(event, {})
            for part in path[:-1]:
                place = place.setdefault(part, {})
            place[path[-1]] = count
        return fields
