"""The graceful shutdown of a gateway process after SIGTERM; all times are ns.

The process may be killed `min_kill_delay` after SIGTERM; every request has its final answer before that.
"""

from gaproute.appliance.running_gateway import RunningGateway
from gaproute.config.configuration import Configuration
from gaproute.core.termination import min_kill_delay
from gaproute.units import MILLI

# Time after the stop in which connections accepted before it may still bring requests; longer than an active
# connection takes to be parked
LATE_REQUEST_TIME = 1_500 * MILLI
LEAVE_TIME = (
    200 * MILLI
)  # from the end of the last client connection to the end of the loop, for messages to other gateways
ANSWER_MARGIN = 100 * MILLI  # between the final answers to the last requests and the earliest SIGKILL


def max_answer_time(configuration: Configuration) -> int:
    """How long requests may stay in flight after the stop; then the rest get their final answers at once."""
    return min_kill_delay(configuration.max_deadline) - ANSWER_MARGIN - configuration.client_limits.way_back


def max_shutdown_time(configuration: Configuration) -> int:
    """The time from the stop until the process ends even if requests or connections are left."""
    return LATE_REQUEST_TIME + configuration.max_deadline + LEAVE_TIME


class GracefulShutdown:
    """Stops accepting connections, answers all requests that are in flight or arrive on open connections, and
    then ends the loop.

    Host lists are followed until the end, as hosts may begin to drain in the meantime.
    """

    def __init__(self, appliance: RunningGateway) -> None:
        self.appliance, self.loop = appliance, appliance.loop

    def begin(self) -> None:
        """Stops the parts; the loop ends once no request and no client connection is left."""
        appliance = self.appliance
        for front in appliance.client_fronts:
            front.stop(LATE_REQUEST_TIME)
        appliance.peers.stop()
        if appliance.cells is not None:
            appliance.cells.stop()
        appliance.core.end_requests_by(self.loop.now() + max_answer_time(appliance.configuration))
        appliance.core.on_idle = self._end_if_idle
        for front in appliance.client_fronts:
            front.notify_when_emptied(self._end_if_idle)
        self.loop.call_later(max_shutdown_time(appliance.configuration), self.loop.stop)
        self._end_if_idle()

    def _end_if_idle(self) -> None:
        """Ends the loop after `LEAVE_TIME` if no request is in flight and no client connection is left."""
        appliance = self.appliance
        if appliance.core.in_flight or any(front.connection_count for front in appliance.client_fronts):
            return
        self.loop.call_later(LEAVE_TIME, self.loop.stop)
