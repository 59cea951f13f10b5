"""The graceful shutdown of a gateway process, and its times in ns after SIGTERM.

The process may be killed `min_kill_delay` after SIGTERM; by then every request has had its final answer.
"""

from gaproute.appliance.running_gateway import RunningGateway
from gaproute.config.configuration import Configuration
from gaproute.core.termination import min_kill_delay
from gaproute.units import MILLI

# After the stop, while connections that were accepted before may still bring requests: longer than an active
# connection takes to be parked
LATE_REQUEST_TIME = 1_500 * MILLI
LEAVE_TIME = 200 * MILLI  # after the last client's connection, so that messages to other gateways are sent
ANSWER_MARGIN = 100 * MILLI  # between the answers to the last requests in flight and the earliest SIGKILL


def answer_time(configuration: Configuration) -> int:
    """How long requests may be in flight; then the remaining ones get a final answer at once."""
    return min_kill_delay(configuration.max_deadline) - ANSWER_MARGIN - configuration.client_limits.way_back


def max_duration(configuration: Configuration) -> int:
    """The time after which the process ends, whatever is still open."""
    return LATE_REQUEST_TIME + configuration.max_deadline + LEAVE_TIME


class GracefulShutdown:
    """Stops accepting, answers all requests that are in flight or still arrive on open connections, then ends
    the loop.

    Host lists are followed to the end, as a host may drain in the meantime.
    """

    def __init__(self, appliance: RunningGateway) -> None:
        self.appliance, self.loop = appliance, appliance.loop

    def begin(self) -> None:
        """Stops all parts; the loop ends once nothing is left."""
        appliance = self.appliance
        for front in appliance.client_fronts:
            front.stop(LATE_REQUEST_TIME)
        appliance.peers.stop()
        if appliance.cells is not None:
            appliance.cells.stop()
        appliance.core.end_requests_by(self.loop.now() + answer_time(appliance.configuration))
        appliance.core.on_idle = self._end_if_empty
        for front in appliance.client_fronts:
            front.notify_when_emptied(self._end_if_empty)
        self.loop.call_later(max_duration(appliance.configuration), self.loop.stop)
        self._end_if_empty()

    def _end_if_empty(self) -> None:
        """Ends the loop once no request is in flight and no client's connection is left."""
        appliance = self.appliance
        if appliance.core.in_flight or any(front.connection_count for front in appliance.client_fronts):
            return
        self.loop.call_later(LEAVE_TIME, self.loop.stop)
