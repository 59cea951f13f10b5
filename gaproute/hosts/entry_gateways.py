"""Calls forwarded to the entry gateways of other cells, and the hosts of cells that come and go.

An entry is reached as a host is, by the KServe form; it is told the time left as a client tells it, counted
when the request is handed over, so that it does not answer after that.
"""

from gaproute.decisions.connections.pooling import Pooling
from gaproute.hosts import forwarding
from gaproute.hosts.attempts import UnsentAttempt
from gaproute.hosts.endpoints import Endpoint
from gaproute.hosts.kserve import messages
from gaproute.hosts.kserve.client import KServeClient
from gaproute.interface import ListedHost, Result, State
from gaproute.loop.streams import address

MILLI = 1_000_000


class EntryGatewayClient(KServeClient):
    """Entry gateways as hosts, each by its address in place of a name."""

    forwards = True

    def request(self, call, task, host, until):
        """The bytes of a relay, made as they are handed over; the answer must be here by `until`."""

        def made(now):
            left = max(1, (until - now) // MILLI)
            timed = call._replace(fields=(*call.fields, (b"Gaproute-Limit-Ms", b"%d" % left)))
            return messages.encode_infer(timed, task, host.text)

        return made


class ForwardingClient:
    """The way to one entry gateway for one call; sends as `KServeClient` does."""

    def __init__(self, entries, forward):
        self.entries, self.forward = entries, forward

    def send(self, worker, call, effect, task, limit, until, done):
        """As `KServeClient.send`."""
        where, fields = self.forward.address, [forwarding.encode(self.forward.forwarded)]
        if call.tenant:
            fields.append((b"Gaproute-Tenant", call.tenant))
        if not self.entries.known(where):
            return UnsentAttempt(self.entries.loop, done, Result.CONNECT_FAILED)
        call = call._replace(fields=(*call.fields, *fields))
        return self.entries.hosts.send(where, call, effect, task, limit, until, done)


class EntryGateways:
    """The entry gateways in use: one is known from the first call to it, for as long as the cell table names
    it."""

    def __init__(self, loop, reach, gateway):
        self.loop, self.hosts = loop, EntryGatewayClient(loop, Pooling(), reach, gateway)

    def client_for(self, forward):
        """The way that a wish to forward a call asks for."""
        return ForwardingClient(self, forward)

    def known(self, where):
        """Whether calls can go to the address; from now on it is known."""
        if where in self.hosts.hosts:
            return True
        try:
            address(where)
        except (ValueError, OSError):
            return False
        self.hosts.update([_endpoint(where)], complete=False)
        return True

    def apply_table(self, table):
        """Let go of those that a newer table does not name."""
        named = {entry.address for cell in table.cells for entry in cell.entries}
        self.hosts.update([_endpoint(where) for where in self.hosts.hosts if where in named], complete=True)

    def close(self):
        """End all connections."""
        self.hosts.close()


def _endpoint(where):
    return Endpoint(ListedHost(where, 0, 0, State.ACTIVE, 1.0, None), where)


class CellHostClient(KServeClient):
    """Hosts of the cells known. A cell may be let go while a task is at work in it: what is wished then of
    hosts that went with it does not begin."""

    def _gone(self, worker):
        return worker not in self.hosts or not self.hosts[worker].active

    def send(self, worker, call, effect, task, limit, until, done):
        """As `KServeClient.send`."""
        if self._gone(worker):
            return UnsentAttempt(self.loop, done, Result.NOT_SENT)
        return super().send(worker, call, effect, task, limit, until, done)

    def order(self, worker, function, copies, done):
        """As `KServeClient.order`."""
        if self._gone(worker):
            self.loop.soon(done, Result.FULL, 0)
        else:
            super().order(worker, function, copies, done)

    def probe(self, worker, done):
        """As `KServeClient.probe`."""
        if not self._gone(worker):
            super().probe(worker, done)
