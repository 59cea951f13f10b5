"""Which gateway sent what a host received.

A request's gateway is known from its client. A load order's is the name that it bears; without one, it is the
gateway whose requests came over the same connection, as a connection is opened by one gateway.
"""

from collections.abc import Iterable, Mapping

from gaproute.judge.events import (
    Attempt,
    GatewayEvent,
    GatewayEventKind,
    GatewayId,
    HostArrival,
    HostRun,
    RequestEnd,
)


class Senders:
    """The gateways behind the arrivals of one day."""

    def __init__(
        self,
        hosts: Mapping[str, list[HostRun]],
        ends: Mapping[str, list[RequestEnd]],
        gateway_events: Iterable[GatewayEvent],
    ) -> None:
        self.gateway_of_request = {request: events[0].gateway for request, events in ends.items()}
        self.names = {
            event.gateway: event.name for event in gateway_events if event.kind is GatewayEventKind.STARTED
        }
        self.numbers = {name: number for number, name in self.names.items()}
        self.gateway_of_connection: dict[tuple[str, int, object], int] = {}
        for runs in hosts.values():
            for run in runs:
                self._read_connections(run)

    def _read_connections(self, run: HostRun) -> None:
        for attempt in run.attempts:
            if attempt.request in self.gateway_of_request:
                connection = attempt.host, attempt.run, attempt.connection
                self.gateway_of_connection[connection] = self.gateway_of_request[attempt.request]

    def gateway_of(self, arrival: HostArrival) -> GatewayId | None:
        """The gateway that sent it, None where it is unknown."""
        if isinstance(arrival, Attempt):
            return self.gateway_of_request.get(arrival.request)
        if arrival.gateway_name:
            return self.numbers.get(arrival.gateway_name, arrival.gateway_name)
        return self.gateway_of_connection.get((arrival.host, arrival.run, arrival.connection))

    def name_of(self, gateway: GatewayId) -> str:
        """The name under which a gateway was started; its number or given name where it never was."""
        return self.names.get(gateway, str(gateway)) if isinstance(gateway, int) else gateway
