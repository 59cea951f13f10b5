"""Retries the steps of a process's start for a bounded time while system calls fail."""

import time
from collections.abc import Callable
from typing import TypeVar

from gaproute.loop.faults import ADDRESS_UNAVAILABLE_ERRNOS, Backoff, find_os_error, is_transient_read
from gaproute.loop.timers import Clock
from gaproute.units import MILLI, SECOND

START_RETRY_TIME = 6 * SECOND  # for all steps together; within 10 s a process must serve or report a failure
# For an address that cannot be bound; shorter, as such an address is usually wrong.
BIND_RETRY_TIME = 2 * SECOND
# Between attempts. These values allow over a hundred attempts, which a step needs if it makes several system
# calls of which one in three fails.
FIRST_RETRY_PAUSE, MAX_RETRY_PAUSE = 5 * MILLI, 50 * MILLI

Result = TypeVar("Result")


class StartupRetries:
    """Calls the steps of a start, and calls a step again that fails for a transient reason.

    So a step must undo its effects when it fails. The process sleeps between attempts.
    """

    def __init__(
        self, clock: Clock = time.monotonic_ns, sleep: Callable[[float], object] = time.sleep
    ) -> None:
        self.clock, self.sleep = clock, sleep
        self.began_at = clock()

    def call(self, step: Callable[[], Result]) -> Result:
        """Returns the result of the step. Errors: that of the last attempt, once the retry time is over."""
        backoff = Backoff(FIRST_RETRY_PAUSE, MAX_RETRY_PAUSE)
        while True:
            try:
                return step()
            except Exception as error:
                if self.clock() + backoff.pause > self.began_at + max_retry_time(find_os_error(error)):
                    raise
            self.sleep(backoff.next_pause() / SECOND)


def max_retry_time(error: OSError | None) -> int:
    """The time (ns) from the beginning of the start for which a step that fails with the error is retried."""
    if error is None:
        return 0
    if is_transient_read(error):
        return START_RETRY_TIME
    return BIND_RETRY_TIME if error.errno in ADDRESS_UNAVAILABLE_ERRNOS else 0
