"""Builders shared by the tests: routing settings, lists, tasks, outcomes, a driver for one generator,
a gateway on sockets."""

import io
import json
import tempfile
import time
from pathlib import Path

from gaproute import interface as face
from gaproute.appliance import Appliance
from gaproute.config import read_configuration
from gaproute.decisions.routing import Gateway
from gaproute.http1 import Exchange
from gaproute.loop import Loop, Promise
from gaproute.loop.addresses import parse_address
from gaproute.standins.kserve import KServeHost
from gaproute.standins.model_server import HostProfile, HostSetup, ModelProfile
from gaproute.standins.model_store import ModelStore, StoreProfile
from gaproute.standins.tap import Tap
from gaproute.telemetry.logs import logger
from gaproute.units import MILLI, SECOND

IDEMPOTENT = face.RequestClass(
    face.Idempotency.IDEMPOTENT, face.IdempotencyScope.ALL, 0, SECOND, 4 * SECOND, 1.0
)
IDEMPOTENT_WITH_KEY = IDEMPOTENT._replace(
    idempotency=face.Idempotency.IDEMPOTENT_WITH_KEY, deduplication_window=2 * SECOND
)
NON_IDEMPOTENT = IDEMPOTENT._replace(idempotency=face.Idempotency.NON_IDEMPOTENT)
ROUTING_SETTINGS = face.RoutingSettings(
    (IDEMPOTENT, IDEMPOTENT_WITH_KEY, NON_IDEMPOTENT),
    (),
    1.0,
    10 * SECOND,
    True,
    3,
    0.1,
    5 * SECOND,
    True,
    True,
    True,
    False,
    (),
    0.0,
    0.0,
    False,
    1,
    True,
    True,
    4,
    SECOND,
    0.2,
    10 * SECOND,
    False,
    -1,
    0.0,
)


def row(name, **fields):
    return face.ListedHost(
        name,
        fields.get("zone", 0),
        fields.get("cell", 0),
        fields.get("state", face.ListedHostState.ACTIVE),
        fields.get("capacity", 1.0),
        fields.get("started"),
    )


def gateway(*rows, **routing_settings):
    made = Gateway(7, ROUTING_SETTINGS._replace(**routing_settings), 0)
    made.update_hosts(0, rows or [row("a"), row("b"), row("c")], complete=True)
    return made


def task(name="t", function="f", request_class=0, time_left=4 * SECOND):
    return face.Request(name, 0, time_left, function, 4, None, request_class)


class Drive:
    """Plays the caller for one task: numbers its attempts, records its actions, passes on their outcomes."""

    def __init__(self, made, asked, now=0):
        self.gateway, self.name, self.sent, self.ended = made, asked.id, [], False
        self.serve = made.serve(now, asked)
        self.wishes = self.go(None)

    def go(self, value):
        wishes = []
        try:
            while True:
                wish = self.serve.send(value)
                wishes.append(wish)
                value = None
                if isinstance(wish, face.Wait):
                    break
                if isinstance(wish, face.Attempt):
                    value = len(self.sent)
                    self.sent.append(wish.host)
        except StopIteration:
            self.ended = True
        self.wishes = wishes
        return wishes

    def hears(self, now, result, relay=0, **fields):
        heard = face.Outcome(
            self.name,
            relay,
            self.sent[relay],
            result,
            fields.get("took", 100 * MILLI),
            fields.get("ended", result is face.Result.OK),
            fields.get("found", face.InstanceStatus.WARM),
            fields.get("same_function_requests"),
            None,
        )
        self.gateway.attempt_ended(now, heard)
        return self.go((now, heard))

    def late(self, now):
        return self.go((now, None))


def makers(kind):
    """For a fixture: a call that makes one, whatever it is given; all are closed after the test."""
    made = []

    def make(*args, **options):
        made.append(kind(*args, **options))
        return made[-1]

    yield make
    for each in made:
        each.close()


def turn_until(loop, condition, within=5):
    """Turns of the loop until the condition holds."""
    end = loop.now() + within * SECOND
    while not condition():
        assert loop.now() < end, "waited too long"
        loop.call_later(MILLI, lambda: None)
        loop.turn()


class Steady:
    """A loop's clock on which the machine never stalls: no step without a wait is longer than `STEP`.

    For tests of several gateways on one loop whose times are short: a slow sync of a file, or a process that
    is not run for a while, would else end what one of them holds.
    """

    STEP = 20 * MILLI

    def __init__(self):
        self.now = self.last = time.monotonic_ns()

    def __call__(self):
        return self._step(self.STEP)

    def poll(self, epoll, span):
        """As a loop polls; what it waits counts."""
        self._step(self.STEP)
        ready = epoll.poll(max(0, span) / SECOND)
        self._step(max(0, span) + self.STEP)
        return ready

    def _step(self, most):
        real = time.monotonic_ns()
        self.now += min(real - self.last, most)
        self.last = real
        return self.now


# A gateway, stand-in hosts and a store on one loop, on loopback sockets

CONFIGURATION = """
name g
listen kserve 127.0.0.1:0
track check pure contract 1s limit 4s earnings 3
track order effectful contract 600ms limit 1200ms earnings 3
track plan receipted group rack remembers 2s contract 1s limit 3s
model lamp track check lanes 4 load 20ms versions 1,2
model crew track order lanes 4
model dim track plan lanes 4
copies keep 10s orders yes free 6 share 0.3 window 10s
"""


class Rig:
    """`more`: further lines of the configuration. Hosts stand on the same loop; `make` overrides their
    make."""

    def __init__(
        self,
        hosts=2,
        more="",
        configuration=CONFIGURATION,
        decisions=None,
        make=(),
        *,
        warm=True,
        clock=time.monotonic_ns,
    ):
        self.loop, self.taps, self.hosts = Loop(clock), [], []
        self.folder = Path(tempfile.mkdtemp(prefix="gaproute-test-"))
        profile = StoreProfile(rate=200.0, limit=100, thrash=0.0)
        self.store = ModelStore(self.loop, parse_address("127.0.0.1:0"), profile, Tap(None, self.loop.clock))
        work = {"lamp": ("check", 4), "crew": ("order", 4), "dim": ("plan", 4)}
        self.models = {
            name: ModelProfile(name, track, lanes, 5 * MILLI, 10 * MILLI)
            for name, (track, lanes) in work.items()
        }
        lines = []
        for number in range(hosts):
            host = self.add_host(f"h{number}", dict(make), warm=warm)
            lines.append(f"host h{number} {host.address} rack r{number} capacity 4")
        self.list = self.folder / "hosts.list"
        self.list.write_text("\n".join(lines) + "\n")
        text = f"{configuration}hosts-file {self.list} look 5ms\n{more}"
        if decisions is not None:
            text += f"\ndecisions {decisions}\n"
        self.gate = Appliance(read_configuration("test", text), self.loop, 5, logger(io.StringIO()))
        self.gate.start()
        self.at = parse_address(self.gate.fronts[0].address)

    def add_host(self, name, make=None, *, warm=True, seed=3, where="127.0.0.1:0"):
        tap = ListTap(self.loop.clock)
        profile = HostProfile(name, **(make or {}))
        setup = HostSetup(profile=profile, models=self.models, store=self.store.address, seed=seed, warm=warm)
        host = KServeHost(self.loop, parse_address(where), setup, tap)
        self.hosts.append(host)
        self.taps.append(tap)
        return host

    def relist(self, *lines):
        fresh = self.folder / "new"
        fresh.write_text("\n".join(lines) + "\n")
        fresh.replace(self.list)

    def seen(self, what, **fields):
        return [
            event
            for tap in self.taps
            for event in tap.events
            if event["what"] == what and all(event.get(key) == value for key, value in fields.items())
        ]

    def ask(self, model="lamp", name="t", fields="", path=None, body=None):
        """A call as bytes on a connection of its own; a promise of the answer, or of None where none came."""
        body = json.dumps({"id": name, "inputs": []}).encode() if body is None else body
        data = (
            f"POST {path or f'/v2/models/{model}/infer'} HTTP/1.1\r\nHost: g\r\n{fields}"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        return self.exchange(data)

    def get(self, path):
        return self.exchange(f"GET {path} HTTP/1.1\r\nHost: g\r\n\r\n".encode())

    def exchange(self, data):
        came = Promise()
        exchange = Exchange(self.loop, data, lambda answer, fault: came.set(answer))
        exchange.connect(self.at, SECOND, 65536, 1 << 24)
        self.last = exchange
        return came

    def wait(self, promise, within=10):
        """The promise's value; a test that waits longer than `within` seconds has failed."""
        timer = self.loop.call_later(within * SECOND, promise.fail, TimeoutError("waited too long"))
        value = self.loop.run(until=promise)
        timer.cancel()
        return value

    def until(self, condition, within=10):
        """Turns of the loop until the condition holds."""

        def watch():
            while not condition():
                yield self.loop.sleep(2 * MILLI)

        self.wait(self.loop.spawn(watch()).done, within)

    def rest(self, span):
        self.wait(self.loop.sleep(span))

    def close(self):
        self.gate.close()
        for host in self.hosts:
            host.server.close()
        self.store.server.close()
        self.loop.close()


class ListTap:
    def __init__(self, clock):
        self.clock, self.events = clock, []

    def note(self, what, **fields):
        self.events.append({"at": self.clock(), "what": what, **fields})

    def flush(self):
        pass
