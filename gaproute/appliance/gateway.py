"""One gateway as a process: its parts wired, started and stopped. Decides nothing."""

import os
import secrets
import signal
from functools import partial

from gaproute.appliance.cells import CellServices
from gaproute.appliance.operator import Operator
from gaproute.appliance.peer_services import PeerServices
from gaproute.connections import Lot
from gaproute.connections.descriptors import descriptors
from gaproute.core.core import Core
from gaproute.decisions.admission.admission import Admission
from gaproute.decisions.chance import Chance
from gaproute.decisions.connections.pooling import Pooling
from gaproute.discovery.listing import FileWatch, Listing
from gaproute.fronts.kserve import Front
from gaproute.hosts.fleet import Hosts, Reach
from gaproute.interface import State
from gaproute.loop import Loop
from gaproute.loop.loop import READ
from gaproute.loop.streams import address
from gaproute.telemetry.logs import logger
from gaproute.telemetry.record import Record

LATE_REQUEST_TIME = 1_500_000_000  # ns after a stop, for requests on connections accepted before to come in:
#                               more than until a connection that was at work is parked
MAX_COUNTED_DEADLINE = 3_000_000_000  # ns, as which longer deadlines count for the time of a SIGKILL
KILL_GRACE = 700_000_000  # ns beyond the longest deadline, after SIGTERM, from which on SIGKILL may come
ANSWER_MARGIN = 100_000_000  # ns before that, by which what is held has its answer
LEAVE_TIME = 200_000_000  # ns, after the last client's connection, for words to other gateways to leave


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
        reach = Reach(line.connect, line.probe, line.order, line.connections, line.answer)
        if configuration.cells is None:
            gateway = configuration.decisions(seed, configuration.terms, loop.now())
            self.hosts, self.cells = Hosts(loop, Pooling(), reach, configuration.name), None
            self.core = Core(loop, gateway, configuration.terms, self.hosts, self.record, run)
        else:
            self.cells = CellServices(loop, configuration, self.record, seed, reach, run, self.hosts_changed)
            self.hosts, self.core, gateway = self.cells.hosts, self.cells.core, self.cells.placeholder_gateway
        self.listing = Listing(loop, sizes=configuration.sizes_reported)
        self.rows = {}
        self.stopping = False
        self.address_shared = (
            False  # other processes serve at the clients' addresses, also after this one's stop
        )
        self.seed = seed
        self.client_fronts = []
        self.fronts, self.host_list_watch, self.started = [], None, loop.now()
        self.lot = Lot.of(loop)
        clients = configuration.clients
        self.lot.admission = Admission(
            clients.connections, clients.per_address, descriptors(), Chance(seed + 3)
        )
        self.make_peer_services = partial(
            PeerServices, loop, configuration, gateway, self.record, seed, self.cells
        )
        self.peer_services = self.make_peer_services()

    def start(self):
        """Errors: OSError where an address cannot be listened on; nothing listens then, and it may be called
        again."""
        try:
            for kind, where in self.configuration.listens:
                if kind == "kserve":
                    front = Front(
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
                    self.fronts.append(self.peer_services.listen(where))
                    if self.cells is not None:
                        self.client_fronts.append(self.cells.listen(self.peer_services, self.ready))
                else:
                    self.fronts.append(Operator(self.loop, address(where), self))
        except OSError as fault:
            for front in [*self.fronts, self.peer_services]:
                front.close()
            self.fronts, self.client_fronts, self.peer_services = [], [], self.make_peer_services()
            raise OSError(fault.errno, f"{where}: {fault.strerror}") from fault
        if self.peer_services.gossip_carrier is not None:
            self.core.arrived = self.peer_services.gossip_carrier.arrived
        source = self.configuration.hosts_file
        if self.cells is not None:
            self.cells.start()
        elif source is None:
            self.update_hosts(self.configuration.hosts)
        else:
            self.host_list_watch = FileWatch(
                self.loop, source.path, source.look, self.update_hosts, self.host_list_rejected
            )
        self.peer_services.start()
        self.log.info(
            "started",
            listens=[front.address for front in self.fronts],
            hosts=len(self.rows),
            descriptors=descriptors(),
            clients=self.lot.admission.most,
        )

    def update_hosts(self, lines):
        """A whole host list. The host connections come first: the module may wish for a new host at once."""
        rows = self.listing.rows(
            lines, self.host_list_watch.current_at if self.host_list_watch is not None else None
        )
        self.hosts_changed(rows)
        self.core.listed([row.listed for row in rows], True)
        self.peer_services.update_hosts(
            {
                name: (row.listed.state.value, (self.listing.starts.get(name) or (0,))[0])
                for name, row in self.rows.items()
            }
        )

    def hosts_changed(self, rows):
        """All hosts known: to the connections and the log."""
        before, self.rows = self.rows, {row.listed.host: row for row in rows}
        self.hosts.listed(rows, True)
        changed = [name for name, row in self.rows.items() if before.get(name) != row]
        for name in sorted(changed + [name for name in before if name not in self.rows]):
            new = self.rows.get(name)
            self.record.event("info", "host", name=name, state=new.listed.state.value if new else "gone")

    def host_list_rejected(self, mistakes):
        for mistake in mistakes:
            self.record.event("error", "host list refused", mistake=str(mistake))

    def ready(self):
        return not self.stopping and self._has_active()

    def address_ready(self):
        """Whether the clients' addresses are served: where others accept there too, also while this process
        stops."""
        return (self.address_shared or not self.stopping) and self._has_active()

    def _has_active(self):
        active = any(row.listed.state is State.ACTIVE for row in self.rows.values())
        return active or self.cells is not None and self.cells.can_forward()

    # Stop

    def stop(self):
        """Accepts nothing new, lets what is held and what comes in on connections accepted before come to its
        final answer, then ends the loop. Host lists are followed to the end: a host may drain meanwhile."""
        if self.stopping:
            return
        self.stopping = True
        self.log.info("stopping", held=len(self.core.held))
        for front in self.client_fronts:
            front.stop(LATE_REQUEST_TIME)
        for front in self.fronts:
            if front not in self.client_fronts:
                front.stop()
        self.peer_services.stop()
        if self.cells is not None:
            self.cells.stop()
        self.core.end_by(self.loop.now() + self._answer_time())
        self.core.emptied = self._emptied
        for front in self.client_fronts:
            front.on_emptied(self._emptied)
        self.loop.after(LATE_REQUEST_TIME + self.configuration.longest + LEAVE_TIME, self.loop.stop)
        self._emptied()

    def _answer_time(self):
        """For how long after a stop tasks are held: the process may be killed soon after that."""
        return (
            min(self.configuration.longest, MAX_COUNTED_DEADLINE)
            + KILL_GRACE
            - ANSWER_MARGIN
            - self.configuration.clients.way_back
        )

    def _emptied(self):
        """Ends the loop once no task is held and no client's connection is left."""
        if not self.core.held and not any(front.held for front in self.client_fronts):
            self.loop.after(LEAVE_TIME, self.loop.stop)

    def handle_signals(self):
        """SIGTERM and SIGINT stop, SIGHUP reads the host list again. Before `start`, so that none is
        missed."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.on_signal(number, self.stop)
        self.loop.on_signal(signal.SIGHUP, self.reload_host_lists)

    def reload_host_lists(self):
        """Read the host list again."""
        watch = self.host_list_watch or self.cells
        if watch is not None:
            watch.read()

    def attach_to_parent(self, life, ready):
        """Stands under a parent: says that it serves on the descriptor `ready`, stops when `life` ends, which
        is the end of all. A stop before that is this process's alone."""
        self.address_shared = True
        self.loop.watch(life, READ, lambda events: self._parent_ended(life))
        try:
            os.write(ready, b"ready")
        except OSError:
            pass  # nobody reads: the parent is gone, which `life` tells
        os.close(ready)

    def _parent_ended(self, life):
        self.loop.unwatch(life)
        self.address_shared = False
        for front in self.client_fronts:
            front.alone()
        self.stop()

    def run(self):
        self.loop.run()
        self.close()
        lived = max(1, self.loop.now() - self.started)
        self.log.info(
            "stopped",
            held=len(self.core.held),
            telling_share=round(self.peer_services.cpu_spent() / lived, 6),
        )

    def close(self):
        for front in self.fronts:
            front.close()
        for part in (self.host_list_watch, self.cells, self.peer_services):
            if part is not None:
                part.close()
        self.hosts.close()
