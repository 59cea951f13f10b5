"""The core, the real decisions and the hosts that speak lines, on streams of memory.

A test gives the streams' room, bytes and ends one event after the other; the time stands still between them.
What is judged is what a host was handed, at the moment at which it was.
"""

import errno
import json
from types import SimpleNamespace

from helpers import TERMS, row
from scripted import MILLI, SECOND, HeldDials

from gaproute import interface as face
from gaproute.core.core import Core
from gaproute.decisions.connections.pooling import Pooling
from gaproute.decisions.routing import Gateway
from gaproute.hosts.endpoints import Endpoint
from gaproute.hosts.jsonlines import connection as connections
from gaproute.hosts.jsonlines.client import JsonLinesClient
from gaproute.interface.call import Call, Ending
from gaproute.loop import Loop, SteppedClock
from gaproute.telemetry.record import Record

HOSTS = ("a", "b")
CLIENT_LIMIT = 3 * SECOND  # that each client waits
REPEAT_WINDOW = 300 * MILLI  # in which hosts recognize an idempotency key
REQUEST_CLASSES = tuple(
    each._replace(repeat_window=REPEAT_WINDOW, latency_objective=200 * MILLI)
    for each in TERMS.request_classes
)
NEVER_RAN = ("overload", "not_here", "nobody")
ANSWERS = ("served", "served", "served", "crashed", "garbled", *NEVER_RAN)
ENDS = (None, ConnectionResetError(errno.ECONNRESET, "reset"))
FAILS = (
    ConnectionRefusedError(errno.ECONNREFUSED, "refused"),
    OSError(errno.EMFILE, "too many open files"),
    TimeoutError("no answer"),
)


class Ticking(SteppedClock):
    """Each look takes a microsecond: no answer comes in no time."""

    def __call__(self):
        self.now += 1000
        return self.now


class Wire:
    """Stands for a `Stream`. `room`: bytes that the kernel takes at a time; the rest waits for `take`."""

    def __init__(self, loop, incarnation, on_bytes, on_end):
        self.world, self.incarnation = incarnation.world, incarnation
        self.on_bytes, self.on_end = on_bytes, on_end
        self.on_writable, self.bytes_sent, self.bytes_unsent, self.open = None, 0, 0, True
        self.world.wires.append(self)

    def try_write(self, data):
        if not self.open or self.bytes_unsent or not self.world.room:
            return False
        self.world.begins(self, json.loads(data), len(data))
        self.write(data)
        return True

    def write(self, data):
        if self.open:
            sent = 0 if self.bytes_unsent else min(len(data), self.world.room)
            self.bytes_sent, self.bytes_unsent = self.bytes_sent + sent, self.bytes_unsent + len(data) - sent

    def take(self):
        """The kernel takes what waits."""
        self.bytes_sent, self.bytes_unsent = self.bytes_sent + self.bytes_unsent, 0
        if self.open:
            self.on_writable()

    def say(self, kind, name, **fields):
        if self.open:
            self.on_bytes(json.dumps({"type": kind, "req": name} | fields).encode() + b"\n")

    def is_quiet(self):
        return True

    def end(self, error):
        if self.open:
            self.open = False
            self.on_end(error)

    def abort(self):
        self.open = False


class World:
    """The gateway before two hosts, and what clients, hosts and the kernel do, an event each.

    `place` and `way` of an event choose which of the things there it is about, and how it goes.
    """

    def __init__(self, patch, cancel, hedging, shared, answers):
        patch.setattr(connections, "connect", dials := HeldDials())
        patch.setattr(connections, "Stream", Wire)
        self.dials, self.wires, self.room, self.errors = dials, [], 1 << 20, []
        self.loop = Loop(Ticking(1000 * SECOND))
        self.loop.on_error = self.errors.append
        self.hedging, self.answers = hedging, answers
        site = SimpleNamespace(
            idle_time=15 * SECOND,
            connect_time=0,
            order_time=SECOND,
            requests_per_connection=shared,
            same_function_counted=True,
            cancel_allowed=cancel,
        )
        self.hosts = JsonLinesClient(self.loop, Pooling(), site, 64)
        terms = TERMS._replace(
            request_classes=REQUEST_CLASSES, cancel_allowed=cancel, hedging_allowed=hedging
        )
        self.record = Record(
            SimpleNamespace(error=lambda what, **fields: self.errors.append(fields)), "pgs", 0
        )
        self.hosts.on_removed = self.record.forget_host
        self.core = Core(self.loop, Gateway(7, terms, self.loop.now()), terms, self.hosts, self.record, "g")
        self.rows = {name: row(name, started=0) for name in HOSTS}
        self.incarnations = {name: SimpleNamespace(world=self, name=name) for name in HOSTS}
        self.tasks, self.named, self.attempts = [], {}, []  # `named`: by the client's own id, the last one
        self.last = 1 << 62
        self.change()

    # What hosts are handed

    def begins(self, wire, command, size):
        if command["type"] != "go":
            return
        now, task = self.loop.now(), self.named[command["req"]]
        incarnation = wire.incarnation
        held = [
            each
            for each in self.core.in_flight.values()
            if each.call.request_id == command["req"] and each.on_final
        ]
        assert held, "begun for nobody"
        assert not task.finals, "begun after the final answer"
        assert not task.left, "begun for a client that left"
        assert now < min(task.end, self.last), "begun too late"
        assert self.incarnations[incarnation.name] is incarnation
        assert self.rows[incarnation.name].state is face.State.ACTIVE
        before = [each for each in self.attempts if each.task is task]
        unclear = [each for each in before if each.said not in NEVER_RAN]
        if task.idempotency is face.Idempotency.NON_IDEMPOTENT:
            assert not unclear, "may have run already"
        if task.idempotency is face.Idempotency.IDEMPOTENT_WITH_KEY and unclear:
            assert now < unclear[0].at + REPEAT_WINDOW, "no host knows the repeat any more"
        if not self.hedging:
            assert all(each.said or not each.wire.open for each in before), "two are out"
        stop = wire.bytes_sent + size
        self.attempts.append(
            SimpleNamespace(
                task=task,
                wire=wire,
                at=now,
                said=None,
                name=command["req"],
                whole=lambda: wire.bytes_sent >= stop,
            )
        )

    # Events

    def take(self, place, way):
        """A task; also under the id of one that is over."""
        over = [name for name, task in self.named.items() if task.finals or task.left]
        name = over[-1] if over and way == 0 else str(len(self.tasks))
        task = SimpleNamespace(
            finals=[],
            left=False,
            idempotency=REQUEST_CLASSES[place % 3].idempotency,
            end=self.loop.now() + CLIENT_LIMIT,
        )
        self.named[name] = task
        self.tasks.append(task)
        call = Call(f"m{place % 2}", "", (), b"", name, "x")
        task.key = self.core.submit(
            call, place % 3, 0, 1, None, self.loop.now(), CLIENT_LIMIT, task.finals.append
        )

    def leave(self, place, _):
        if waits := [task for task in self.tasks if not task.finals and not task.left]:
            task = waits[place % len(waits)]
            held = self.core.in_flight.get(task.key)
            task.left = held is not None and held.on_final is not None  # else its answer is on its way
            self.core.client_left(task.key)

    def dialled(self, place):
        waits = [entry for entry in self.dials.held if entry[4]]
        if not waits:
            return None
        entry = waits[place % len(waits)]
        entry[4] = False
        return entry

    def up(self, place, _):
        if entry := self.dialled(place):
            entry[3](entry[1], None)

    def fail(self, place, way):
        if entry := self.dialled(place):
            entry[3](None, FAILS[way % len(FAILS)])

    def pick(self, place, of):
        """One of the attempts, of those that the host has whole."""
        some = [each for each in self.attempts if each.wire.open and each.whole() and of(each)]
        return some[place % len(some)] if some else None

    def answer(self, place, way):
        self.passes(20 * MILLI)  # no host answers at once
        if each := self.pick(place, lambda each: each.said is None):
            each.said = self.answers[way % len(self.answers)]
            kind, data = ("served", "?") if each.said == "garbled" else (each.said, self.body(each))
            each.wire.say(kind, each.name, data=data, meta={"queue_fn": way})

    def body(self, each):
        return f"{self.attempts.index(each):04}"

    def again(self, place, way):
        if each := self.pick(place, lambda each: each.said not in (None, "served")):
            each.wire.say(ANSWERS[way % 4], each.name, data="oddd")

    def stranger(self, place, way):
        """An answer for an id never sent, or not yet sent whole."""
        if wire := self.wire(place):
            known = [each.name for each in self.attempts if each.wire is wire and each.whole()]
            names = [name for name in ("x", *self.named) if name not in known]
            wire.say("served", names[-1 - way % len(names)], data="oddd")

    def wire(self, place):
        some = [wire for wire in self.wires if wire.open]
        return some[place % len(some)] if some else None

    def spoil(self, place, _):
        if wire := self.wire(place):
            wire.on_bytes(b"no line\n")

    def end(self, place, way):
        if wire := self.wire(place):
            wire.end(ENDS[way % len(ENDS)])

    def change(self, place=0, way=None):
        """The host drains, is gone, is named no more, or is there again."""
        name = HOSTS[place % 2]
        if way is not None:
            state = list(face.State)[way % 3]
            self.rows[name] = self.rows[name]._replace(state=state)
        shown = [
            Endpoint(self.rows[each], f"127.0.0.1:{self.place(each)}")
            for each in HOSTS
            if way != 5 or each != name
        ]
        if way == 5:
            self.rows[name] = self.rows[name]._replace(state=face.State.GONE)
        self.hosts.update(shown, complete=True)
        self.core.update_hosts([each.listed for each in shown], complete=True)
        for host in self.hosts.hosts.values():
            host.address = self.incarnations[host.name]

    def place(self, name):
        return 1000 + self.rows[name].cell

    def back(self, place, way):
        """It is there at another address, or in a new incarnation."""
        name = HOSTS[place % 2]
        old = self.rows[name]
        self.incarnations[name] = SimpleNamespace(world=self, name=name)
        self.rows[name] = old._replace(
            state=face.State.ACTIVE, cell=old.cell + way % 2, started=old.started + 1 - way % 2
        )
        self.change()

    def takes(self, place, way):
        self.room = (0, 5, 1 << 20, 1 << 20)[way % 4]
        for wire in list(self.wires) if self.room else ():
            wire.take()

    def connections(self, place, way):
        self.hosts.max_connections = (1, 2, 64, 64)[way % 4]

    def end_by(self, place, way):
        if place < 3 and self.last > self.loop.now() + SECOND:
            self.last = self.loop.now() + (way + 1) * 100 * MILLI
            self.core.end_by(self.last)

    def passes(self, span):
        self.loop.run(until=self.loop.sleep(span))

    def ends(self):
        """Nothing more comes from anywhere; each task has had its one answer and nothing is left."""
        self.room = 1 << 20
        self.passes(CLIENT_LIMIT)
        for task in self.tasks:
            assert len(task.finals) == (not task.left), (task, task.finals)
            if task.finals and task.finals[0].ending is Ending.DELIVERED:
                assert task.finals[0].answer.body.decode() in [
                    self.body(each) for each in self.attempts if each.task is task and each.said == "served"
                ]
        core, gateway = self.core, self.core.gateway
        assert not core.in_flight
        assert not core.generators
        assert not core.attempt_counts
        assert set(core.wait_timers) == {""}
        assert not gateway.tracker.in_flight
        assert not gateway.load_order_limiter.open_orders
        assert not any(each.in_flight or each.overdue for each in gateway.hosts_by_id.values())
        self.passes(30 * SECOND)
        assert not any(link.pending for host in self.hosts.hosts.values() for link in host.connections)
        assert not self.hosts.connection_count()
        assert not any(entry[4] for entry in self.dials.held)
        named = {name for name in HOSTS if self.rows[name].state is not face.State.GONE}
        assert set(self.hosts.hosts) == named
        assert {key[1] for key in self.record.counts if key[0] in ("attempts", "load_orders")} <= named
        assert sum(timer.call is not None for _, _, timer in self.loop.timers) == 2, "timers are left"
        assert not self.errors, self.errors
