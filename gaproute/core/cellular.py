"""The core of a gateway in a fleet of cells: it forwards requests to other gateways and serves theirs."""

from collections.abc import Sequence
from typing import Protocol, cast

from gaproute import interface
from gaproute.core.core import Core
from gaproute.core.ports import Actions, Hosts, RequestSender
from gaproute.decisions.cells.cellular import CellularGateway
from gaproute.decisions.cells.entries import CellUnknown, ForwardAttempt, Forwarded
from gaproute.loop import Loop
from gaproute.telemetry.record import GatewayRecord


class Entries(Protocol):
    """The connections to entry gateways of other cells."""

    def client_for(self, forward: ForwardAttempt, /) -> RequestSender:
        """The sender for requests to the entry gateway that `forward` names."""


class CellularCore(Core):
    """A core whose attempts may lead to other gateways."""

    gateway: CellularGateway

    def __init__(
        self,
        loop: Loop,
        gateway: CellularGateway,
        terms: interface.Terms,
        hosts: Hosts,
        record: GatewayRecord,
        name: str,
        entries: Entries,
    ) -> None:
        super().__init__(loop, gateway, terms, hosts, record, name)
        self.entries = entries
        self.forwarded_in = 0  # requests that other gateways forwarded here
        self.forwarded_out = 0  # attempts at other gateways

    def serve(self, now: int, request: interface.Request) -> Actions:
        """The generator of a request, which is given whether another gateway forwarded the request."""
        forwarded = cast("Forwarded | None", self.in_flight[request.id].call.forwarded)
        if forwarded is not None:
            self.forwarded_in += 1
        generator: Actions = self.gateway.serve(now, request, forwarded)
        return generator

    def start_attempt(self, key: str, number: int, attempt: interface.Attempt, now: int) -> None:
        """Sends a request to a host, or to an entry gateway of another cell."""
        if isinstance(attempt, ForwardAttempt):
            self.forwarded_out += 1
            self._send(self.entries.client_for(attempt), key, number, attempt, now)
        else:
            super().start_attempt(key, number, attempt, now)

    def reject(self, key: str, rejection: interface.Reject) -> None:
        """Rejects a request; the final answer says whether this gateway does not know the cell."""
        self.in_flight[key].cell_unknown = isinstance(rejection, CellUnknown)
        super().reject(key, rejection)

    def update_cell_hosts(self, cell: str, rows: Sequence[interface.ListedHost]) -> None:
        """Takes over the complete host list of a cell."""
        now = self.loop.now()
        self.gateway.update_hosts(now, rows, complete=True, cell=cell)
        self.start_housekeeping(now)
