"""One gateway as a process: its parts wired, started and stopped. Decides nothing."""
import os
import secrets
import signal

import msgspec

from gaproute.appliance.keeping import Keeper
from gaproute.conf import read_peers
from gaproute.core.core import Core
from gaproute.decisions.chance import Chance
from gaproute.decisions.door.door import Door
from gaproute.decisions.links.pooling import Pooling
from gaproute.decisions.told.facts import Fact
from gaproute.decisions.told.lore import FACTS, Lore
from gaproute.decisions.told.roll import Roll
from gaproute.discovery.listing import FileWatch, Listing
from gaproute.fronts.kserve import Front
from gaproute.hosts.fleet import Hosts, Reach
from gaproute.http1 import Server
from gaproute.interface import State
from gaproute.ledger import Memory, NoMemory
from gaproute.lobby import Lot
from gaproute.lobby.lot import descriptors
from gaproute.loop import Loop
from gaproute.loop.loop import READ
from gaproute.loop.streams import address
from gaproute.peers import Giver, Gossip, Learner
from gaproute.peers.weak import Carrier
from gaproute.record.logs import logger
from gaproute.record.record import Record

MILLI = 1_000_000
LAST_WORDS = 200 * MILLI     # after the last final answer, for its bytes to leave


class Appliance:
    def __init__(self, charter, loop=None, seed=None, log=None, inherited=()):
        """`inherited`: {address as configured: listening socket that a parent opened}."""
        self.charter, self.inherited = charter, dict(inherited)
        self.loop = loop = loop or Loop()
        self.log = log or logger(level=charter.log_level).bind(gateway=charter.name)
        loop.on_error = lambda error: self.log.error("error", error=repr(error), exc_info=error)
        seed = secrets.randbits(64) if seed is None else seed
        run = f"{charter.name}-{secrets.token_hex(3)}"     # task ids stay apart over restarts
        self.record = Record(self.log, [line.name for line in charter.tracks])
        reach = charter.reach
        self.hosts = Hosts(loop, Pooling(), Reach(reach.connect, reach.probe, reach.order, reach.connections,
                                                  reach.answer), charter.name)
        gateway = charter.decisions(seed, charter.terms, loop.now())
        self.core = Core(loop, gateway, charter.terms, self.hosts, self.record, run)
        self.listing = Listing(loop, sizes=charter.sizes_told)
        self.rows = {}
        self.stopping = False
        self.seed = seed
        self.fronts, self.watch, self.started = [], None, loop.now()
        self.lot = Lot.of(loop)
        clients = charter.clients
        self.lot.door = Door(clients.connections, clients.per_address, descriptors(), Chance(seed + 3))
        self.giver = self.learner = self.gossip = self.keeper = self.peer_watch = self.weak = None
        self.roll, self.lore = Roll(), Lore()
        self.track_names = [line.name for line in charter.tracks]
        self.chance = Chance(seed + 1)

    def start(self):
        """Errors: OSError where an address cannot be listened on; nothing listens then."""
        try:
            for kind, where in self.charter.listens:
                if kind == "kserve":
                    self.fronts.append(Front(self.loop, address(where), self.core, self.charter, self.ready,
                                             self.inherited.get(where)))
                elif kind == "peers":
                    self.giver = Giver(self.loop, address(where), self.core.gateway, self.roll,
                                       self.track_names)
                    self.fronts.append(self.giver)
                    self.gossip = Gossip(self.loop, self.charter.name, self.giver.address,
                                         Chance(self.seed + 2), self.record)
                    if self.charter.weak_word:
                        self.weak = Carrier(self.loop, self.charter.name, self.gossip, self.core.gateway,
                                            Chance(self.seed + 4))
                        self.core.arrived = self.weak.arrived
                else:
                    self.fronts.append(Operator(self.loop, address(where), self))
        except OSError as fault:
            for front in [*self.fronts, *([self.gossip] if self.gossip else [])]:
                front.close()
            raise OSError(fault.errno, f"{where}: {fault.strerror}") from fault
        source = self.charter.hosts_file
        if source is None:
            self.listed(self.charter.hosts)
        else:
            self.watch = FileWatch(self.loop, source.path, source.look, self.listed, self.list_refused)
        self.remember()
        if self.charter.peers or self.charter.peers_file:
            self.learner = Learner(self.loop, (), self.lore, self.follow, self.whole, self.record)
            self.peers_listed(self.charter.peers)
        if self.charter.peers_file:
            told = self.charter.peers_file
            self.peer_watch = FileWatch(self.loop, told.path, told.look, self.peers_listed,
                                        self.peers_refused, read_peers)
        self.log.info("started", listens=[front.address for front in self.fronts], hosts=len(self.rows),
                      descriptors=descriptors(), clients=self.lot.door.most)

    def listed(self, lines):
        """A whole host list. The host connections come first: the module may wish for a new host at once."""
        rows = self.listing.rows(lines)
        before, self.rows = self.rows, {row.listed.worker: row for row in rows}
        self.hosts.listed(rows, True)
        self.core.listed([row.listed for row in rows], True)
        self.roll.listed(self.loop.now(), {
            name: (row.listed.state.value, (self.listing.starts.get(name) or (0,))[0])
            for name, row in self.rows.items()})
        if self.weak is not None:
            self.weak.listed({name: told[1] for name, told in self.roll.told.items() if name in self.rows})
        for name in sorted(before.keys() | self.rows.keys()):
            old, new = (table.get(name) for table in (before, self.rows))
            if old != new:
                self.record.event("info", "host", name=name, state=new.listed.state.value if new else "gone")

    def list_refused(self, mistakes):
        for mistake in mistakes:
            self.record.event("error", "host list refused", mistake=str(mistake))

    # What others and a past life tell

    def remember(self):
        """Opens the memory on disk where there is one, and follows what it tells of the past life."""
        if self.charter.memory is None:
            return
        memory = Memory(self.charter.memory, lambda text: self.record.event("warning", "memory", text=text))
        try:
            memory.open()
        except NoMemory as fault:
            self.record.event("warning", "no memory", text=str(fault))
            return
        now = self.loop.now()
        for subject, value, age in memory.read(FACTS):
            at = self.lore.observed(now, age)
            if at is not None:
                self.lore.tell(subject, Fact(at, "past life", 0, value))
        booked = self.follow(self.lore.facts)
        self.whole()
        self.record.event("info", "remembered", facts=len(self.lore.facts), booked=booked,
                          refused=dict(self.lore.refused))
        self.keeper = Keeper(self.loop, memory, self.core.gateway, self.roll, self.track_names)

    def follow(self, subjects):
        tracks = {name: place for place, name in enumerate(self.track_names)}
        return self.lore.follow(self.core.gateway, self.loop.now(), self.roll.lives(), tracks,
                                self.charter.terms.keep_alive, self.chance, subjects)

    def whole(self):
        """All that one source tells has come: the mix is known now."""
        self.core.gateway.hint_mix(self.lore.mix())

    def peers_listed(self, peers):
        others = [peer for peer in peers if peer.name != self.charter.name]
        if self.gossip is not None:
            self.gossip.listed(others)
        self.learner.listed(others)

    def peers_refused(self, mistakes):
        for mistake in mistakes:
            self.record.event("error", "peer list refused", mistake=str(mistake))

    def ready(self):
        return not self.stopping and any(row.listed.state is State.ACTIVE for row in self.rows.values())

    # Stop

    def stop(self):
        """Takes nothing new, lets what is held come to its final answer, then ends the loop."""
        if self.stopping:
            return
        self.stopping = True
        self.log.info("stopping", held=len(self.core.held))
        for front in self.fronts:
            front.stop()
        if self.gossip is not None:
            self.gossip.stop()
        for watch in (self.watch, self.peer_watch):
            if watch is not None:
                watch.close()
        self.core.emptied = self._emptied
        self.loop.after(self.charter.longest + LAST_WORDS, self.loop.stop)
        if not self.core.held:
            self._emptied()

    def _emptied(self):
        self.loop.after(LAST_WORDS, self.loop.stop)

    def heed_signals(self):
        """SIGTERM and SIGINT stop, SIGHUP reads the host list again. Before `start`, so that none is
        missed."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.on_signal(number, self.stop)
        self.loop.on_signal(signal.SIGHUP, lambda: self.watch and self.watch.read())

    def under(self, life, ready):
        """Stands under a parent: says that it serves on the descriptor `ready`, stops when `life` ends."""
        self.loop.watch(life, READ, lambda events: (self.loop.unwatch(life), self.stop()))
        os.write(ready, b"ready")
        os.close(ready)

    def run(self):
        self.loop.run()
        self.close()
        lived = max(1, self.loop.now() - self.started)
        spent = sum(part.spent for part in (self.giver, self.keeper) if part is not None)
        self.log.info("stopped", held=len(self.core.held), telling_share=round(spent / lived, 6))

    def close(self):
        for front in self.fronts:
            front.close()
        for part in (self.watch, self.peer_watch, self.learner, self.weak, self.gossip, self.keeper):
            if part is not None:
                part.close()
        self.hosts.close()

    # For operators

    def status(self):
        counts = self.record.table()
        return {"name": self.charter.name, "stopping": self.stopping, "ready": self.ready(),
                "up_ms": (self.loop.now() - self.started) // MILLI, "held": len(self.core.held),
                "late_turns": self.loop.late_turns, "counts": counts,
                "clients": {"connections": self.lot.held, "most": self.lot.door.most,
                            "parked": self.lot.parked, "displaced": self.lot.displaced,
                            "turned_away": self.lot.turned_away, "idle_ended": self.lot.expired,
                            "descriptors": descriptors(), "kept_back": self.lot.door.reserve},
                "connections": {"opened": self.hosts.opened, "reused": self.hosts.reused,
                                "raced": self.hosts.raced},
                "gateways": self.gossip.members.up() if self.gossip else None,
                "weak_word": self.weak and self.weak.weak.status(self.loop.now()),
                "learnt": {"facts": len(self.lore.facts), "refused": dict(self.lore.refused),
                           "peers": self.learner.state if self.learner else {},
                           "booked": self.learner.booked if self.learner else 0,
                           "right": self.core.gateway.right, "wrong": self.core.gateway.wrong},
                "telling": self.giver and {"facts": self.giver.told, "put_off": self.giver.put_off,
                                           "cpu_ms": self.giver.spent / MILLI},
                "memory": self.keeper and {"written": self.keeper.memory.written,
                                           "failed": self.keeper.memory.failed,
                                           "cpu_ms": self.keeper.spent / MILLI,
                                           "longest_ms": self.keeper.longest / MILLI}}

    def host_table(self):
        relays = self.record.table().get("relay", {})
        told = []
        for name, row in sorted(self.rows.items()):
            host = self.hosts.hosts.get(name)
            told.append({"name": name, "address": row.where, "state": row.listed.state.value,
                         "capacity": row.listed.capacity, "connections": len(host.open) if host else 0,
                         "relays": relays.get(name, {})})
        return told

    def knowledge(self):
        """Copies that are believed to stand, the latest use first, with what speaks for each: an answer, a
        task sent there, or who told of it; `tried`: whether that was followed yet."""
        now, functions, told = self.loop.now(), self.core.gateway.functions, []
        for name, function in functions.items():
            for tried, table in ((True, function.seen), (False, function.told)):
                for worker, seen in table.items():
                    fact = self.lore.facts.get(("warm", worker, name))
                    told.append({"worker": worker, "function": name, "age_ms": (now - seen) // MILLI,
                                 "tried": tried, "by": "an answer" if worker in function.stands else
                                 fact.origin if fact else "a task sent"})
        return sorted(told, key=lambda each: each["age_ms"])

    def peer_table(self):
        """The gateways that are known: membership's view, and what each told at the start."""
        learnt = self.learner.state if self.learner else {}
        rows = self.gossip.table() if self.gossip else [{"name": name, "state": None} for name in learnt]
        return [row | {"learnt": learnt.get(row["name"])} for row in rows]


class Operator:
    """What the command line reads, over HTTP: `/status`, `/hosts`, `/knows`, `/peers`, `/events`."""

    def __init__(self, loop, where, appliance):
        self.tables = {b"/status": appliance.status, b"/hosts": appliance.host_table,
                       b"/knows": appliance.knowledge, b"/peers": appliance.peer_table,
                       b"/events": lambda: [{"what": what, **told} for what, told in appliance.record.events]}
        self.server = Server(loop, where, self.handle)
        self.address = self.server.address

    def handle(self, request):
        table = self.tables.get(request.target)
        body = msgspec.json.encode(
            table() if table else {"error": "the paths are /status, /hosts, /knows, /peers and /events"}
        )
        self.server.answer(request, 200 if table else 404, ((b"Content-Type", b"application/json"),), body)

    def stop(self):
        """Stays to be asked while the last tasks end; `close` ends it."""

    def close(self):
        self.server.close()
