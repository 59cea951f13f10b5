"""Graceful shutdown: after SIGTERM the process answers all requests and exits before SIGKILL may arrive."""

from collections.abc import Iterable
from typing import NamedTuple

from gaproute.core.core import Core
from gaproute.core.termination import min_kill_delay
from gaproute.decisions.admission.admission import response_margin
from gaproute.fronts.jsonrpc.front import JsonRpcFront
from gaproute.loop import Loop
from gaproute.platform.log import Log
from gaproute.units import MILLI

CLIENT_NOTICE_TIME = 600 * MILLI  # time after SIGTERM in which clients may still open connections
ACCEPT_TIME = CLIENT_NOTICE_TIME + 200 * MILLI  # time after SIGTERM in which the gateway accepts connections
CLOSE_MARGIN = 200 * MILLI  # time before SIGKILL that is left for closing connections


class ShutdownTimes(NamedTuple):
    """The times at which the steps of a shutdown are due, ns of the loop's clock."""

    close_at: int  # when open connections are closed
    exit_at: int  # when the process exits, even with requests or connections left


def shutdown_times(deadlines: Iterable[int], signalled_at: int, now: int) -> ShutdownTimes:
    """The shutdown times for a SIGTERM that arrived at `signalled_at` and is handled at `now`; all in ns.

    With short deadlines SIGKILL may arrive soon after the last clients have connected; the time for closing
    connections is then half of the time between these two events.
    """
    kill_after = min_kill_delay(max(deadlines))
    margin = min(CLOSE_MARGIN, (kill_after - CLIENT_NOTICE_TIME) // 2)
    close_at = max(now, signalled_at + kill_after - margin)
    return ShutdownTimes(close_at, close_at + margin // 2)


class GracefulShutdown:
    """Runs the steps of the shutdown, from SIGTERM until the loop stops."""

    def __init__(self, loop: Loop, log: Log, core: Core, deadlines: tuple[int, ...]) -> None:
        """`deadlines`: the deadlines of the request classes, ns."""
        self.loop, self.log, self.core, self.deadlines = loop, log, core, deadlines
        self.front: JsonRpcFront | None = None
        self.times: ShutdownTimes | None = None  # None until the shutdown begins

    @property
    def has_begun(self) -> bool:
        """Whether the shutdown has begun."""
        return self.times is not None

    def begin(self, front: JsonRpcFront) -> None:
        """Begins the shutdown; later calls do nothing.

        New connections are accepted for `ACCEPT_TIME`; open connections are served until shortly before
        SIGKILL may arrive. If the loop is late, the signal may have arrived earlier by that delay, so all
        times count from the earliest possible arrival.
        """
        if self.has_begun:
            return
        self.front = front
        self.log.info("stopping", requests_in_flight=len(self.core.in_flight))
        now = self.loop.now()
        signalled_at = now - self.loop.read_delay
        close_at, exit_at = self.times = shutdown_times(self.deadlines, signalled_at, now)
        self.core.end_requests_by(close_at - response_margin())
        # The exit timer is set first, so that the process exits even if a later step raises an error.
        self.loop.call_at(exit_at, self.loop.stop)
        self.loop.call_at(close_at, front.stop)
        self.loop.call_at(min(signalled_at + ACCEPT_TIME, close_at), self.stop_accepting)

    def stop_accepting(self) -> None:
        """Stops accepting connections, and stops the loop once the last open connection is closed."""
        if self.front is None:
            return
        self.core.on_idle = self.front.on_emptied = self._stop_if_idle
        self.front.stop_accepting()
        self._stop_if_idle()

    def _stop_if_idle(self) -> None:
        """Stops the loop if no request is in flight and no client connection is open."""
        if self.front is not None and not self.core.in_flight and not self.front.connection_count:
            self.loop.stop()
