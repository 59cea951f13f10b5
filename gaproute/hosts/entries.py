"""Calls forwarded to the entry gateways of other cells, and the hosts of cells that come and go.

An entry is reached as a host is, by the KServe form; it is told the time left as a client tells it, counted
when the request is handed over, so that it does not answer after that.
"""

from gaproute.decisions.connections.pooling import Pooling
from gaproute.hosts import forwarded, kserve
from gaproute.hosts.fleet import Hosts
from gaproute.hosts.never import Never
from gaproute.hosts.rows import Row
from gaproute.interface import ListedHost, Result, State
from gaproute.loop.streams import address

MILLI = 1_000_000


class EntryHosts(Hosts):
    """Entry gateways as hosts, each by its address in place of a name."""

    forwards = True

    def request(self, call, task, host, until):
        """The bytes of a relay, made as they are handed over; the answer must be here by `until`."""

        def made(now):
            left = max(1, (until - now) // MILLI)
            timed = call._replace(fields=(*call.fields, (b"Gaproute-Limit-Ms", b"%d" % left)))
            return kserve.infer(timed, task, host.text)

        return made


class Toward:
    """The way to one entry gateway for one call; relays as `Hosts` does."""

    def __init__(self, entries, forward):
        self.entries, self.forward = entries, forward

    def relay(self, worker, call, effect, task, limit, until, done):
        """As `Hosts.relay`."""
        where, fields = self.forward.address, [forwarded.field(self.forward.forwarded)]
        if call.tenant:
            fields.append((b"Gaproute-Tenant", call.tenant))
        if not self.entries.known(where):
            return Never(self.entries.loop, done, Result.CONNECT_FAILED)
        call = call._replace(fields=(*call.fields, *fields))
        return self.entries.hosts.relay(where, call, effect, task, limit, until, done)


class Entries:
    """The entry gateways in use: one is known from the first call to it, for as long as the cell table names
    it."""

    def __init__(self, loop, reach, gateway):
        self.loop, self.hosts = loop, EntryHosts(loop, Pooling(), reach, gateway)

    def toward(self, forward):
        """The way that a wish to forward a call asks for."""
        return Toward(self, forward)

    def known(self, where):
        """Whether calls can go to the address; from now on it is known."""
        if where in self.hosts.hosts:
            return True
        try:
            address(where)
        except (ValueError, OSError):
            return False
        self.hosts.listed([_row(where)], False)
        return True

    def adopt(self, table):
        """Let go of those that a newer table does not name."""
        named = {entry.address for cell in table.cells for entry in cell.entries}
        self.hosts.listed([_row(where) for where in self.hosts.hosts if where in named], True)

    def close(self):
        """End all connections."""
        self.hosts.close()


def _row(where):
    return Row(ListedHost(where, 0, 0, State.ACTIVE, 1.0, None), where)


class CellHosts(Hosts):
    """Hosts of the cells known. A cell may be let go while a task is at work in it: what is wished then of
    hosts that went with it does not begin."""

    def _gone(self, worker):
        return worker not in self.hosts or not self.hosts[worker].active

    def relay(self, worker, call, effect, task, limit, until, done):
        """As `Hosts.relay`."""
        if self._gone(worker):
            return Never(self.loop, done, Result.NOT_SENT)
        return super().relay(worker, call, effect, task, limit, until, done)

    def order(self, worker, function, copies, done):
        """As `Hosts.order`."""
        if self._gone(worker):
            self.loop.soon(done, Result.FULL, 0)
        else:
            super().order(worker, function, copies, done)

    def probe(self, worker, done):
        """As `Hosts.probe`."""
        if not self._gone(worker):
            super().probe(worker, done)
