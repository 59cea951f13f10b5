"""Forwards requests to the entry gateways of other cells.

An entry gateway is reached like a host, over the KServe protocol. It gets the time left in the same header
field as from a client, computed when the request is sent, so that it does not answer after that time.
"""

from collections.abc import Callable

from gaproute.core.in_flight import AttemptHandle
from gaproute.decisions.cells.entries import ForwardAttempt
from gaproute.decisions.cells.table import CellTable
from gaproute.decisions.connections.pooling import ConnectionReusePolicy
from gaproute.hosts import forwarding
from gaproute.hosts.attempts import OnAttemptEnded, UnsentAttempt
from gaproute.hosts.endpoints import Endpoint
from gaproute.hosts.kserve import messages
from gaproute.hosts.kserve.client import KServeClient
from gaproute.hosts.kserve.host_connections import HostConnections
from gaproute.hosts.kserve.settings import ClientSettings
from gaproute.interface import Idempotency, ListedHost, ListedHostState, Result
from gaproute.interface.call import Call
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address
from gaproute.units import MILLI


class EntryGatewayClient(KServeClient):
    """Sends requests to entry gateways as to hosts; each entry gateway is named by its address."""

    forwards = True

    def encode_attempt(
        self, call: Call, gateway_request_id: str, host: HostConnections, start_before: int
    ) -> Callable[[int], bytes]:
        """A function that encodes the attempt when it is sent.

        The entry gateway must answer by `start_before`, so the attempt states the time left until then.
        """

        def encode(now: int) -> bytes:
            time_left_ms = max(1, (start_before - now) // MILLI)
            limit_field = (b"Gaproute-Limit-Ms", b"%d" % time_left_ms)
            limited_call = call._replace(fields=(*call.fields, limit_field))
            return messages.encode_infer(limited_call, gateway_request_id, host.address_text)

        return encode


class ForwardingClient:
    """Sends one request to one entry gateway, as `KServeClient` sends requests to a host."""

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
        """Sends an attempt as `KServeClient.send` does, but to the entry gateway; ignores `host_name`."""
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
    """The entry gateways in use: each from its first request until the cell table no longer names it."""

    def __init__(self, loop: Loop, settings: ClientSettings, gateway_name: str) -> None:
        self.loop = loop
        self.client = EntryGatewayClient(loop, ConnectionReusePolicy(), settings, gateway_name)

    def client_for(self, forward: ForwardAttempt) -> ForwardingClient:
        """The client that sends the request of this forward attempt."""
        return ForwardingClient(self, forward)

    def add(self, address: str) -> bool:
        """Adds the entry gateway at that address; False where the address is malformed."""
        if address in self.client.hosts:
            return True
        try:
            parse_address(address)
        except (ValueError, OSError):
            return False
        self.client.update([_endpoint(address)], complete=False)
        return True

    def apply_table(self, table: CellTable) -> None:
        """Removes the entry gateways that a newer cell table does not name."""
        addresses_in_table = {entry.address for cell in table.cells for entry in cell.entries}
        kept_addresses = [address for address in self.client.hosts if address in addresses_in_table]
        self.client.update([_endpoint(address) for address in kept_addresses], complete=True)

    def close(self) -> None:
        """Closes all connections."""
        self.client.close()


def _endpoint(address: str) -> Endpoint:
    return Endpoint(ListedHost(address, 0, 0, ListedHostState.ACTIVE, 1.0, None), address)
