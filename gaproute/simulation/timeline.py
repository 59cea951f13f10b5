"""True time, the events to come, and a record of those that happened."""

from collections import deque

import xxhash

from gaproute.simulation.events import Event, EventQueue, QueuedEvent
from gaproute.simulation.fault_schedule import FaultSchedule
from gaproute.simulation.violation import InvariantViolationError, RunPosition

REPORTED_EVENTS = 60  # the last ones stand in the report of a violation
MAX_STEPS = 40_000  # three times any run: messages that cause messages for ever must not hang a hunt


class Timeline:
    """`now` is true time in ns; `step` counts the events that had an effect, which `digest` takes in."""

    def __init__(self, schedule: FaultSchedule) -> None:
        self.now = self.step = 0
        self.digest = xxhash.xxh3_64()
        self._schedule = schedule
        self._queue = EventQueue()
        self._last_events: deque[QueuedEvent] = deque(maxlen=REPORTED_EVENTS)

    def push(self, when: int, event: Event) -> None:
        """The event happens at this true time."""
        self._queue.push(when, event)

    def advance(self, until: int) -> QueuedEvent | None:
        """Goes on to the next event up to `until`; None, at `until`, where there is none."""
        queued = self._queue.pop(until)
        self.now = until if queued is None else queued.when
        return queued

    def record(self, queued: QueuedEvent) -> None:
        """The event has an effect. Raises InvariantViolationError where a run has too many."""
        self.step += 1
        self._last_events.append(queued)
        if self.step > MAX_STEPS:
            raise self.violation(f"messages without end: {MAX_STEPS} steps")
        self.digest.update(self._queue.digest_form(queued))

    def violation(self, text: str) -> InvariantViolationError:
        """The error for a violation that was found now; `text` is "name: what was found"."""
        events = tuple(map(str, self._last_events))
        return InvariantViolationError(text, RunPosition(self._schedule, self.step, self.now, events))
