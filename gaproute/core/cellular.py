"""Extends the core for a fleet of cells: it forwards requests to other gateways and serves forwarded ones."""

from collections.abc import Sequence
from typing import Protocol, cast

from gaproute import interface
from gaproute.core.core import Core
from gaproute.core.ports import ActionGenerator, Hosts, RequestSender
from gaproute.decisions.cells.cellular import CellularGateway
from gaproute.decisions.cells.entries import CellUnknown, ForwardAttempt, Forwarded
from gaproute.loop import Loop
from gaproute.telemetry.record import GatewayRecord


class EntryGatewayClients(Protocol):
    """The clients for requests to entry gateways of other cells."""

    def client_for(self, forward: ForwardAttempt, /) -> RequestSender:
        """Returns the sender of requests to the entry gateway that `forward` names."""


class CellularCore(Core):
    """A core that also sends attempts to entry gateways of other cells."""

    gateway: CellularGateway

    def __init__(
        self,
        loop: Loop,
        gateway: CellularGateway,
        routing_settings: interface.RoutingSettings,
        hosts: Hosts,
        record: GatewayRecord,
        id_prefix: str,
        entry_gateways: EntryGatewayClients,
    ) -> None:
        super().__init__(loop, gateway, routing_settings, hosts, record, id_prefix)
        self.entry_gateways = entry_gateways
        self.forwarded_in = 0  # requests received from other gateways
        self.forwarded_out = 0  # attempts sent to other gateways

    def request_generator(self, now: int, request: interface.Request) -> ActionGenerator:
        """Creates the generator of a request and passes it what a forwarding gateway said of the request."""
        forwarded = cast("Forwarded | None", self.in_flight[request.id].call.forwarded)
        if forwarded is not None:
            self.forwarded_in += 1
        generator: ActionGenerator = self.gateway.serve(now, request, forwarded)
        return generator

    def start_attempt(self, key: str, number: int, attempt: interface.Attempt, now: int) -> None:
        """Sends a request to a host, or to an entry gateway of another cell."""
        if isinstance(attempt, ForwardAttempt):
            self.forwarded_out += 1
            self._send_attempt(self.entry_gateways.client_for(attempt), key, number, attempt, now)
        else:
            super().start_attempt(key, number, attempt, now)

    def reject_request(self, key: str, rejection: interface.Reject) -> None:
        """Rejects a request; the final answer also says whether this gateway does not know the cell."""
        self.in_flight[key].cell_unknown = isinstance(rejection, CellUnknown)
        super().reject_request(key, rejection)

    def update_cell_hosts(self, cell: str, rows: Sequence[interface.ListedHost]) -> None:
        """Applies a complete host list of a cell."""
        now = self.loop.now()
        self.gateway.update_hosts(now, rows, complete=True, cell=cell)
        self.start_housekeeping(now)
