"""When processes waited for a core, and which late answers that explains.

On a busy machine a process may be ready to run for tens of milliseconds before it gets a core: that is no
fault of the gateway. It explains an answer that came late by no more than the gateway and the clients waited
around its deadline, as the kernel counted it. It does not explain an answer that never came.
"""

from collections.abc import Iterable

from gaproute.judge.events import EndKind, ProcessCpuWait, RequestEnd
from gaproute.judge.terms import CPU_WAIT_WINDOW


class CpuWaits:
    """The times that the processes of gateways and clients waited for a core during a day."""

    def __init__(self, waits: Iterable[ProcessCpuWait]) -> None:
        self._waits = list(waits)

    def explain(self, end: RequestEnd) -> bool:
        """Whether an answer was late by no more than its gateway and the clients waited for a core."""
        if end.kind is not EndKind.ANSWERED_LATE:
            return False
        begin, answered_at = end.at - CPU_WAIT_WINDOW, end.at + end.late_by
        waited = sum(
            wait.waited
            for wait in self._waits
            if wait.gateway in (None, end.gateway) and wait.end > begin and wait.begin < answered_at
        )
        return waited >= end.late_by
