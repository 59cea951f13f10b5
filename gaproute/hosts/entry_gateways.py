"""Calls forwarded to the entry gateways of other cells.

An entry gateway is reached as a host is, by the KServe form. It gets the time left in the same field as from
a client, counted when the request is sent, so that it does not answer after that.
"""

from collections.abc import Callable

from gaproute.core.in_flight import AttemptHandle
from gaproute.decisions.cells.entries import ForwardAttempt
from gaproute.decisions.cells.table import CellTable
from gaproute.decisions.connections.pooling import Pooling
from gaproute.hosts import forwarding
from gaproute.hosts.attempts import OnAttemptEnded, UnsentAttempt
from gaproute.hosts.endpoints import Endpoint
from gaproute.hosts.kserve import messages
from gaproute.hosts.kserve.client import KServeClient
from gaproute.hosts.kserve.host_connections import HostConnections
from gaproute.hosts.kserve.settings import ClientSettings
from gaproute.interface import Idempotency, ListedHost, Result, State
from gaproute.interface.call import Call
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address
from gaproute.units import MILLI


class EntryGatewayClient(KServeClient):
    """Entry gateways as hosts, each named by its address."""

    forwards = True

    def encode_attempt(
        self, call: Call, request: str, host: HostConnections, until: int
    ) -> Callable[[int], bytes]:
        """What makes the bytes of an attempt when they are sent; it must be answered by `until`."""

        def encode(now: int) -> bytes:
            left = max(1, (until - now) // MILLI)
            limit = (b"Gaproute-Limit-Ms", b"%d" % left)
            limited = call._replace(fields=(*call.fields, limit))
            return messages.encode_infer(limited, request, host.address_text)

        return encode


class ForwardingClient:
    """Sends one call to one entry gateway, as `KServeClient` sends to a host."""

    __slots__ = ("gateways", "forward")

    def __init__(self, gateways: "EntryGateways", forward: ForwardAttempt) -> None:
        self.gateways, self.forward = gateways, forward

    def send(
        self,
        host_name: str,
        call: Call,
        idempotency: Idempotency,
        request: str,
        limit: int,
        until: int,
        on_ended: OnAttemptEnded,
    ) -> AttemptHandle:
        """As `KServeClient.send`, to the entry gateway whatever the host's name."""
        address = self.forward.address
        if not self.gateways.add(address):
            return UnsentAttempt(self.gateways.loop, on_ended, Result.CONNECT_FAILED)
        fields = [*call.fields, forwarding.encode(self.forward.forwarded)]
        if call.tenant:
            fields.append((b"Gaproute-Tenant", call.tenant))
        call = call._replace(fields=tuple(fields))
        return self.gateways.hosts.send(address, call, idempotency, request, limit, until, on_ended)


class EntryGateways:
    """The entry gateways in use: each from the first call to it, for as long as the cell table names it."""

    def __init__(self, loop: Loop, settings: ClientSettings, gateway: str) -> None:
        self.loop = loop
        self.hosts = EntryGatewayClient(loop, Pooling(), settings, gateway)

    def client_for(self, forward: ForwardAttempt) -> ForwardingClient:
        """What sends the call that is to be forwarded."""
        return ForwardingClient(self, forward)

    def add(self, address: str) -> bool:
        """Have the entry gateway at that address in use; False where it is no address."""
        if address in self.hosts.hosts:
            return True
        try:
            parse_address(address)
        except (ValueError, OSError):
            return False
        self.hosts.update([_endpoint(address)], complete=False)
        return True

    def apply_table(self, table: CellTable) -> None:
        """Let go of those that a newer table does not name."""
        named = {entry.address for cell in table.cells for entry in cell.entries}
        still_named = [address for address in self.hosts.hosts if address in named]
        self.hosts.update([_endpoint(address) for address in still_named], complete=True)

    def close(self) -> None:
        """Close all connections."""
        self.hosts.close()


def _endpoint(address: str) -> Endpoint:
    return Endpoint(ListedHost(address, 0, 0, State.ACTIVE, 1.0, None), address)
