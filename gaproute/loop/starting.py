"""The start of a process while system calls fail for a moment: steps are retried for a bounded time."""

import time
from collections.abc import Callable
from typing import TypeVar

from gaproute.loop.faults import ADDRESS_UNAVAILABLE_ERRNOS, Backoff, cause_of, is_transient_read
from gaproute.loop.timers import Clock

MILLI, SECOND = 1_000_000, 1_000_000_000
START_TIME = 6 * SECOND  # for all steps together: a process is to serve, or to say why not, within 10 s
ADDRESS_TIME = 2 * SECOND  # for an address that cannot be had: usually it is a wrong one
# Between attempts: over a hundred in all, as a step may be of several calls of which one in three fails.
FIRST_PAUSE, MAX_PAUSE = 5 * MILLI, 50 * MILLI

Result = TypeVar("Result")


class StartupRetries:
    """Calls the steps of a start. A step that fails for a moment is called again, and so must leave nothing
    behind when it fails. Sleeps in between: nothing else is to be done meanwhile."""

    def __init__(
        self, clock: Clock = time.monotonic_ns, sleep: Callable[[float], object] = time.sleep
    ) -> None:
        self.clock, self.sleep = clock, sleep
        self.began = clock()

    def call(self, step: Callable[[], Result]) -> Result:
        """What the step returns. Errors: its last one, once its time is up or where retries are of no use."""
        backoff = Backoff(FIRST_PAUSE, MAX_PAUSE)
        while True:
            try:
                return step()
            except Exception as fault:
                if self.clock() + backoff.pause > self.began + retry_time(cause_of(fault)):
                    raise
            self.sleep(backoff.next_pause() / SECOND)


def retry_time(fault: OSError | None) -> int:
    """For how long after its begin a start is retried after such a failure, ns."""
    if fault is None:
        return 0
    if is_transient_read(fault):
        return START_TIME
    return ADDRESS_TIME if fault.errno in ADDRESS_UNAVAILABLE_ERRNOS else 0
