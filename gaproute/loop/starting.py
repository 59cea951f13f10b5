"""The start of a process while system calls fail for a moment: steps are tried again for a bounded time."""

import time

from gaproute.loop.faults import ADDRESS_UNAVAILABLE_ERRNOS, Backoff, cause_of, is_transient_read

MILLI, SECOND = 1_000_000, 1_000_000_000
START_TIME = 6 * SECOND  # for all steps together: a process is to serve, or to have told why not, within 10 s
ADDRESS_TIME = 2 * SECOND  # for an address that cannot be had: usually it is a wrong one
FIRST, LONGEST = 5 * MILLI, 50 * MILLI  # between tries: over a hundred in all, as a step may be of several
#                          calls of which one in three fails


class StartupRetries:
    """Calls the steps of a start; a step that fails for a moment is called again, and so has to leave nothing
    behind when it fails. Waits for real: nothing else is to be done meanwhile."""

    def __init__(self, clock=time.monotonic_ns, sleep=time.sleep):
        self.clock, self.sleep = clock, sleep
        self.began = clock()

    def call(self, step):
        """What the step returns. Errors: its last one, once its time is up or where waiting is of no use."""
        backoff = Backoff(FIRST, LONGEST)
        while True:
            try:
                return step()
            except Exception as fault:
                if self.clock() + backoff.pause > self.began + retry_time(cause_of(fault)):
                    raise
            self.sleep(backoff.next_pause() / SECOND)


def retry_time(fault):
    """How long after its begin a start waits for the end of such a failure, ns."""
    if fault is None:
        return 0
    if is_transient_read(fault):
        return START_TIME
    return ADDRESS_TIME if fault.errno in ADDRESS_UNAVAILABLE_ERRNOS else 0
