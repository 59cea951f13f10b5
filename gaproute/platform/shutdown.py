"""Graceful shutdown: after SIGTERM the process answers all requests and exits before SIGKILL may come."""

from collections.abc import Iterable
from typing import NamedTuple

from gaproute.core.core import Core
from gaproute.core.termination import kill_delay
from gaproute.decisions.admission.admission import response_margin
from gaproute.fronts.jsonrpc.front import JsonRpcFront
from gaproute.loop import Loop
from gaproute.platform.log import Log
from gaproute.units import MILLI

CLIENTS_NOTICE = 600 * MILLI  # time after SIGTERM in which clients still open connections
ACCEPT_TIME = CLIENTS_NOTICE + 200 * MILLI  # time after SIGTERM in which connections are accepted
CLOSE_MARGIN = 200 * MILLI  # time before SIGKILL in which connections are closed


class ShutdownTimes(NamedTuple):
    """When the steps of a shutdown are due, ns of the loop's clock."""

    close_at: int  # when open connections are closed
    exit_at: int  # when the process ends, whatever is left


def shutdown_times(deadlines: Iterable[int], signalled_at: int, now: int) -> ShutdownTimes:
    """The times after a SIGTERM that came at `signalled_at` and is handled at `now`; `deadlines`: ns.

    With short deadlines SIGKILL may come soon after the last clients have connected: then closing takes half
    of the time between the two.
    """
    kill_after = kill_delay(max(deadlines))
    margin = min(CLOSE_MARGIN, (kill_after - CLIENTS_NOTICE) // 2)
    close_at = max(now, signalled_at + kill_after - margin)
    return ShutdownTimes(close_at, close_at + margin // 2)


class GracefulShutdown:
    """What happens from SIGTERM until the loop ends."""

    def __init__(self, loop: Loop, log: Log, core: Core, deadlines: tuple[int, ...]) -> None:
        """`deadlines`: of the request classes, ns."""
        self.loop, self.log, self.core, self.deadlines = loop, log, core, deadlines
        self.front: JsonRpcFront | None = None
        self.times: ShutdownTimes | None = None  # None until it has begun

    @property
    def begun(self) -> bool:
        """Whether SIGTERM was handled."""
        return self.times is not None

    def begin(self, front: JsonRpcFront) -> None:
        """Begins the shutdown; later calls do nothing.

        New connections are accepted for `ACCEPT_TIME`; open ones are served until shortly before SIGKILL may
        come. If the loop was late, the signal may have come that long ago, and all times count from then.
        """
        if self.begun:
            return
        self.front = front
        self.log.info("stopping", requests_in_flight=len(self.core.in_flight))
        now = self.loop.now()
        signalled_at = now - self.loop.read_delay
        close_at, exit_at = self.times = shutdown_times(self.deadlines, signalled_at, now)
        self.core.end_by(close_at - response_margin())
        self.loop.call_at(exit_at, self.loop.stop)  # first: an error must not keep the process
        self.loop.call_at(close_at, front.stop)
        self.loop.call_at(min(signalled_at + ACCEPT_TIME, close_at), self.stop_accepting)

    def stop_accepting(self) -> None:
        """Stops accepting connections, and ends the loop once the last open one is closed."""
        if self.front is None:
            return
        self.core.on_idle = self.front.on_emptied = self._stop_if_idle
        self.front.stop_accepting()
        self._stop_if_idle()

    def _stop_if_idle(self) -> None:
        """Ends the loop if no request is in flight and clients have closed all their connections."""
        if self.front is not None and not self.core.in_flight and not self.front.connection_count:
            self.loop.stop()
