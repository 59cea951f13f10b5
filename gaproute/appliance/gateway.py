"""One gateway as a process: its parts wired, started and stopped. Decides nothing."""

import os
import secrets
import signal
from functools import partial

from gaproute.appliance.cells import Cells
from gaproute.appliance.operator import Operator
from gaproute.appliance.others import Others
from gaproute.connections import AcceptedConnections
from gaproute.connections.descriptors import descriptors
from gaproute.core.core import Core
from gaproute.decisions.admission.admission import Admission
from gaproute.decisions.chance import Chance
from gaproute.decisions.connections.pooling import Pooling
from gaproute.discovery.file_watch import FileWatch
from gaproute.discovery.host_lines import HostLineConverter
from gaproute.fronts.kserve import KServeFront
from gaproute.hosts.kserve.client import KServeClient
from gaproute.hosts.kserve.settings import ClientSettings
from gaproute.interface import State
from gaproute.loop import Loop
from gaproute.loop.addresses import address
from gaproute.loop.descriptors import READ
from gaproute.telemetry.logs import logger
from gaproute.telemetry.record import Record

LAST_REQUEST = 1_500_000_000  # ns after a stop, for requests on connections accepted before to come in:
#                               more than until a connection that was at work is parked
LONGEST_GRANTED = 3_000_000_000  # ns, as which longer deadlines count for the time of a SIGKILL
GRANTED = 700_000_000  # ns beyond the longest deadline, after SIGTERM, from which on SIGKILL may come
AHEAD = 100_000_000  # ns before that, by which what is held has its answer
LAST_WORDS = 200_000_000  # ns, after the last client's connection, for words to other gateways to leave


class Appliance:
    def __init__(self, configuration, loop=None, seed=None, log=None, inherited=()):
        """`inherited`: {address as configured: listening socket that a parent opened}."""
        self.configuration, self.inherited = configuration, dict(inherited)
        self.loop = loop = loop or Loop()
        self.log = log or logger(level=configuration.log_level).bind(gateway=configuration.name)
        loop.on_error = lambda error: self.log.error("error", error=repr(error), exc_info=error)
        seed = secrets.randbits(64) if seed is None else seed
        run = f"{configuration.name}-{secrets.token_hex(3)}"  # task ids stay apart over restarts
        self.record = Record(self.log, [line.name for line in configuration.tracks])
        line = configuration.reach
        reach = ClientSettings(line.connect, line.probe, line.order, line.connections, line.answer)
        if configuration.cells is None:
            gateway = configuration.decisions(seed, configuration.terms, loop.now())
            self.hosts, self.cells = KServeClient(loop, Pooling(), reach, configuration.name), None
            self.core = Core(loop, gateway, configuration.terms, self.hosts, self.record, run)
        else:
            self.cells = Cells(loop, configuration, self.record, seed, reach, run, self.enlisted)
            self.hosts, self.core, gateway = self.cells.hosts, self.cells.core, self.cells.unused
        self.listing = HostLineConverter(loop, use_capacities=configuration.sizes_reported)
        self.rows = {}
        self.stopping = False
        self.shared = False  # other processes serve at the clients' addresses, also after this one's stop
        self.seed = seed
        self.client_fronts = []
        self.fronts, self.watch, self.started = [], None, loop.now()
        self.connections = AcceptedConnections.of(loop)
        clients = configuration.clients
        self.connections.admission = Admission(
            clients.connections, clients.per_address, descriptors(), Chance(seed + 3)
        )
        self.make_others = partial(Others, loop, configuration, gateway, self.record, seed, self.cells)
        self.others = self.make_others()

    def start(self):
        """Errors: OSError where an address cannot be listened on; nothing listens then, and it may be called
        again."""
        try:
            for kind, where in self.configuration.listens:
                if kind == "kserve":
                    front = KServeFront(
                        self.loop,
                        address(where),
                        self.core,
                        self.configuration,
                        self.address_ready,
                        self.inherited.get(where),
                    )
                    self.fronts.append(front)
                    self.client_fronts.append(front)
                elif kind == "peers":
                    self.fronts.append(self.others.listen(where))
                    if self.cells is not None:
                        self.client_fronts.append(self.cells.listen(self.others, self.ready))
                else:
                    self.fronts.append(Operator(self.loop, address(where), self))
        except OSError as fault:
            for front in [*self.fronts, self.others]:
                front.close()
            self.fronts, self.client_fronts, self.others = [], [], self.make_others()
            raise OSError(fault.errno, f"{where}: {fault.strerror}") from fault
        if self.others.gossip is not None:
            self.core.on_arrival = self.others.gossip.arrived
        source = self.configuration.hosts_file
        if self.cells is not None:
            self.cells.start()
        elif source is None:
            self.listed(self.configuration.hosts)
        else:
            self.watch = FileWatch(self.loop, source.path, source.look, self.listed, self.list_refused)
        self.others.start()
        self.log.info(
            "started",
            listens=[front.address for front in self.fronts],
            hosts=len(self.rows),
            descriptors=descriptors(),
            clients=self.connections.admission.max_connections,
        )

    def listed(self, lines):
        """A whole host list. The host connections come first: the module may wish for a new host at once."""
        rows = self.listing.endpoints(lines, self.watch.current_at if self.watch is not None else None)
        self.enlisted(rows)
        self.core.update_hosts([row.listed for row in rows], True)
        self.others.hosts_listed(
            {
                name: (row.listed.state.value, self.listing.start_times.reported(name) or 0)
                for name, row in self.rows.items()
            }
        )

    def enlisted(self, rows):
        """All hosts known: to the connections and the log."""
        before, self.rows = self.rows, {row.listed.host: row for row in rows}
        self.hosts.update(rows, complete=True)
        changed = [name for name, row in self.rows.items() if before.get(name) != row]
        for name in sorted(changed + [name for name in before if name not in self.rows]):
            new = self.rows.get(name)
            self.record.event("info", "host", name=name, state=new.listed.state.value if new else "gone")

    def list_refused(self, mistakes):
        for mistake in mistakes:
            self.record.event("error", "host list refused", mistake=str(mistake))

    def ready(self):
        return not self.stopping and self._has_active()

    def address_ready(self):
        """Whether the clients' addresses are served: where others accept there too, also while this process
        stops."""
        return (self.shared or not self.stopping) and self._has_active()

    def _has_active(self):
        active = any(row.listed.state is State.ACTIVE for row in self.rows.values())
        return active or self.cells is not None and self.cells.leads_on()

    # Stop

    def stop(self):
        """Accepts nothing new, lets what is held and what comes in on connections accepted before come to its
        final answer, then ends the loop. Host lists are followed to the end: a host may drain meanwhile."""
        if self.stopping:
            return
        self.stopping = True
        self.log.info("stopping", held=len(self.core.in_flight))
        for front in self.client_fronts:
            front.stop(LAST_REQUEST)
        for front in self.fronts:
            if front not in self.client_fronts:
                front.stop()
        self.others.stop()
        if self.cells is not None:
            self.cells.stop()
        self.core.end_by(self.loop.now() + self._granted())
        self.core.on_idle = self._emptied
        for front in self.client_fronts:
            front.notify_when_emptied(self._emptied)
        self.loop.after(LAST_REQUEST + self.configuration.longest + LAST_WORDS, self.loop.stop)
        self._emptied()

    def _granted(self):
        """For how long after a stop tasks are held: the process may be killed soon after that."""
        return (
            min(self.configuration.longest, LONGEST_GRANTED)
            + GRANTED
            - AHEAD
            - self.configuration.clients.way_back
        )

    def _emptied(self):
        """Ends the loop once no task is held and no client's connection is left."""
        if not self.core.in_flight and not any(front.connection_count for front in self.client_fronts):
            self.loop.after(LAST_WORDS, self.loop.stop)

    def heed_signals(self):
        """SIGTERM and SIGINT stop, SIGHUP reads the host list again. Before `start`, so that none is
        missed."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.on_signal(number, self.stop)
        self.loop.on_signal(signal.SIGHUP, self.read)

    def read(self):
        """Read the host list again."""
        watch = self.watch or self.cells
        if watch is not None:
            watch.read()

    def under(self, life, ready):
        """Stands under a parent: says that it serves on the descriptor `ready`, stops when `life` ends, which
        is the end of all. A stop before that is this process's alone."""
        self.shared = True
        self.loop.watch(life, READ, lambda events: self._parent_gone(life))
        try:
            os.write(ready, b"ready")
        except OSError:
            pass  # nobody reads: the parent is gone, which `life` tells
        os.close(ready)

    def _parent_gone(self, life):
        self.loop.unwatch(life)
        self.shared = False
        for front in self.client_fronts:
            front.end_queue_sharing()
        self.stop()

    def run(self):
        self.loop.run()
        self.close()
        lived = max(1, self.loop.now() - self.started)
        self.log.info(
            "stopped", held=len(self.core.in_flight), telling_share=round(self.others.spent() / lived, 6)
        )

    def close(self):
        for front in self.fronts:
            front.close()
        for part in (self.watch, self.cells, self.others):
            if part is not None:
                part.close()
        self.hosts.close()
