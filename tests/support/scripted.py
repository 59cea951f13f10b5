"""The platform's gateway with scripted peers on loopback: a host, a client and a change log that speak,
stall, half-close and reset byte for byte as a test orders it, on a clock that the test may hold."""

import json
import socket

from helpers import turn_until

from gaproute.decisions.chance import RandomGenerator
from gaproute.discovery.changelog.watcher import ChangeLogWatcher
from gaproute.loop import Loop, connect
from gaproute.platform.configuration import read_configuration
from gaproute.platform.log import Log
from gaproute.platform.process import GatewayProcess
from gaproute.standins.platform import ScriptedChangeLog, ScriptedClient, ScriptedHost, event
from gaproute.standins.platform.deployment_settings import sample_settings
from gaproute.telemetry.record import DEFAULT_TRACE_ONE_IN

MILLI, SECOND = 1_000_000, 1_000_000_000
SETTINGS = sample_settings(
    [
        {"name": "fault-check", "effect": "free", "aim": 500.0, "deadline": 3000.0, "worth": 3.0},
        {"name": "repair-order", "effect": "single_shot", "aim": 500.0, "deadline": 3000.0},
    ]
)


def nothing(stream, command):
    """A host that takes and says nothing."""


class Handed:
    """A clock that moves when the test says so, and by a microsecond a look, as no work takes none; the poll
    looks for bytes and never waits long."""

    def __init__(self, now=1000 * SECOND):
        self.now = now

    def __call__(self):
        return self.now

    def poll(self, epoll, span):
        self.now += 1000
        return epoll.poll(0.001 if span > 0 else 0)


class HeldDials:
    """Stands for `connect` in a module: connections come up, and fail, only when the test lets them.

    `monkeypatch.setattr(module, "connect", dials)`; `let(place)` or `let()` for all, then turns of the loop.
    """

    def __init__(self):
        self.held, self.passing = [], False

    def __call__(self, loop, where, within, done, source=None):
        if self.passing:
            return connect(loop, where, within, done, source)
        entry = [loop, where, within, done, True]
        self.held.append(entry)
        return lambda: entry.__setitem__(4, False)

    def let(self, *places):
        """Those not given up meanwhile are dialled now."""
        for place in places or range(len(self.held)):
            loop, where, within, done, wanted = self.held[place]
            if wanted:
                self.held[place][4] = False
                connect(loop, where, within, done)

    @property
    def waiting(self):
        return sum(entry[4] for entry in self.held)


def half_close(stream):
    """The peer sends no more and goes on reading."""
    stream.sock.shutdown(socket.SHUT_WR)


class Followed:
    """A follower and the log it asks. `received`: the numbers of the events that it passed on."""

    def __init__(self, script, last=0, clock=None, known=(), **log):
        self.clock = clock
        self.loop, self.received = Loop(clock) if clock else Loop(), []
        self.log = ScriptedChangeLog(self.loop, script, **log)
        self.follower = ChangeLogWatcher(
            self.loop,
            self.log.address,
            last,
            lambda each: self.received.append(each.seq),
            RandomGenerator(1),
            known,
        )

    def until(self, condition):
        turn_until(self.loop, condition)

    def passes(self, span, step=10 * MILLI):
        """So much of the handed time goes by, in small steps with turns in between."""
        until = self.clock.now + span
        while self.clock.now < until:
            self.clock.now = min(until, self.clock.now + step)
            for _ in range(6):
                self.loop.call_soon(lambda: None)
                self.loop.turn()

    def close(self):
        self.follower.close()
        self.log.close()
        self.loop.close()


class Gate:
    """`clock`: a `Handed` one where the test holds the time; `settings` stand in place of `SETTINGS`."""

    def __init__(
        self, folder, answer=None, sockets=256, hosts=1, followed=DEFAULT_TRACE_ONE_IN, clock=None, **options
    ):
        self.clock = clock
        self.loop = Loop(clock) if clock else Loop()
        self.hosts = [ScriptedHost(self.loop, answer) for _ in range(hosts)]
        self.log = ScriptedChangeLog(self.loop)
        self.lines = []
        self.path = folder / "config.json"
        self.configuration = {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "seed": "8c1f",
            "changelog": self.log.address,
            "limits": {"cores": 0.5, "memory_mb": 64, "sockets": sockets},
            "settings": SETTINGS,
            "known": {
                "seq": 1,
                "results": [
                    event(
                        1,
                        *[(f"s-{place}", host.address, "Ready") for place, host in enumerate(self.hosts)],
                        complete=True,
                    )
                ],
            },
        } | options
        self.write()
        log = Log(-1)
        log.write_line = lambda level, event, fields: self.lines.append((event, fields))
        self.process = GatewayProcess(
            str(self.path), read_configuration(str(self.path)), loop=self.loop, log=log, trace_one_in=followed
        )
        self.process.start()
        self.where = self.process.front.address
        self.clients = []

    def write(self):
        self.path.write_text(json.dumps(self.configuration))

    def client(self):
        self.clients.append(ScriptedClient(self.loop, self.where))
        return self.clients[-1]

    def until(self, condition):
        if self.clock is None:
            turn_until(self.loop, condition)
            return
        for _ in range(2000):  # turns of a millisecond at most, in which no time passes
            if condition():
                return
            self.loop.turn()
        assert condition(), "waited too long"

    def turns(self, count=20):
        """A few turns, so that whatever is under way on loopback arrives."""
        for _ in range(count):
            self.loop.call_later(0, lambda: None)
            self.loop.turn()

    def passes(self, span):
        """So much of the handed time goes by, and what is due then happens."""
        self.clock.now += span
        self.turns()

    def came(self):
        return sum(len(host.seen("go")) for host in self.hosts)

    def close(self):
        for part in (
            self.process.front,
            self.process.host_list,
            self.process.host_client,
            self.process.peer_reports,
            *self.hosts,
            self.log,
        ):
            if part is not None:
                part.close()
        for client in self.clients:
            if client.stream is not None:
                client.stream.abort()
        self.loop.close()
