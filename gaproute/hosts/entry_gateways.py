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
from gaproute.loop.addresses import address as parse_address
from gaproute.units import MILLI


class EntryGatewayClient(KServeClient):
    """Entry gateways as hosts, each named by its address."""

    forwards = True

    def encode_attempt(
        self, call: Call, gateway_request_id: str, host: HostConnections, start_before: int
    ) -> Callable[[int], bytes]:
        """What makes the bytes of an attempt when they are sent; it must be answered by `until`."""

        def encode(now: int) -> bytes:
            time_left_ms = max(1, (start_before - now) // MILLI)
            limit_field = (b"Gaproute-Limit-Ms", b"%d" % time_left_ms)
            limited_call = call._replace(fields=(*call.fields, limit_field))
            return messages.encode_infer(limited_call, gateway_request_id, host.address_text)

        return encode


class ForwardingClient:
    """Sends one call to one entry gateway, as `KServeClient` sends to a host."""

    __slots__ = ("entry_gateways", "forward")

    def __init__(self, entry_gateways: "EntryGateways", forward: ForwardAttempt) -> None:
        self.entry_gateways, self.forward = entry_gateways, forward

    def send(
        self,
        host_name: str,
        call: Call,
        idempotency: Idempotency,
        gateway_request_id: str,
        deadline: int,
        start_before: int,
        on_ended: OnAttemptEnded,
    ) -> AttemptHandle:
        """As `KServeClient.send`, to the entry gateway whatever the host's name."""
        address = self.forward.address
        if not self.entry_gateways.add(address):
            return UnsentAttempt(self.entry_gateways.loop, on_ended, Result.CONNECT_FAILED)
        fields = [*call.fields, forwarding.encode_forwarded(self.forward.forwarded)]
        if call.tenant:
            fields.append((b"Gaproute-Tenant", call.tenant))
        call = call._replace(fields=tuple(fields))
        return self.entry_gateways.client.send(
            address, call, idempotency, gateway_request_id, deadline, start_before, on_ended
        )


class EntryGateways:
    """The entry gateways in use: each from the first call to it, for as long as the cell table names it."""

    def __init__(self, loop: Loop, settings: ClientSettings, gateway_name: str) -> None:
        self.loop = loop
        self.client = EntryGatewayClient(loop, Pooling(), settings, gateway_name)

    def client_for(self, forward: ForwardAttempt) -> ForwardingClient:
        """What sends the call that is to be forwarded."""
        return ForwardingClient(self, forward)

    def add(self, address: str) -> bool:
        """Have the entry gateway at that address in use; False where it is no address."""
        if address in self.client.hosts:
            return True
        try:
            parse_address(address)
        except (ValueError, OSError):
            return False
        self.client.update([_endpoint(address)], complete=False)
        return True

    def apply_table(self, table: CellTable) -> None:
        """Let go of those that a newer table does not name."""
        named = {entry.address for cell in table.cells for entry in cell.entries}
        named_addresses = [address for address in self.client.hosts if address in named]
        self.client.update([_endpoint(address) for address in named_addresses], complete=True)

    def close(self) -> None:
        """Close all connections."""
        self.client.close()


def _endpoint(address: str) -> Endpoint:
    return Endpoint(ListedHost(address, 0, 0, State.ACTIVE, 1.0, None), address)
