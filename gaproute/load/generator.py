"""Plays a load on the loop: many connections (`connection.py`), opened, asked and lost by script.

Latency counts from when a task was meant to start, not from when a connection was free for it: a stall of the
other side is not hidden by the waiting of this one.
"""

import random
from collections import Counter, deque

from gaproute.load.connection import LoadConnection
from gaproute.load.requests import RequestTemplates
from gaproute.load.results import TrafficResult
from gaproute.loop import Stream, connect
from gaproute.loop.addresses import address

MILLI, SECOND = 1_000_000, 1_000_000_000
OPENING = 200  # connects on their way at once: the other side's accept queue holds the rest
CONNECT_TIME = 5 * SECOND


class LoadGenerator:
    def __init__(self, loop, load, seed=1, report_progress=None):
        self.loop, self.load, self.report_progress = loop, load, report_progress
        self.random = random.Random(seed)
        self.targets = [address(where) for where in load.targets]
        self.results = {line.name: TrafficResult() for line in load.traffic}
        self.idle = {line.name: [] for line in load.traffic}
        self.waiting = {line.name: deque() for line in load.traffic}  # meant starts that found none free
        self.connections, self.counts = [], Counter()
        self.to_open, self.opening = deque(), 0
        self.started_at = self.ends_at = None
        self.settled = False
        self.deadlines = {line.name: deque() for line in load.traffic}  # (when, connection, what it owed)
        self.requests = RequestTemplates(self.random)

    # One task

    def asked(self, connection, due):
        self.counts["asked"] += connection.traffic.pipeline
        self.deadlines[connection.traffic.name].append((due, connection, connection.owed))

    def over(self, connection, meant, outcome):
        now = self.loop.now()
        name = connection.traffic.name
        second = max(0, now - self.started_at) // SECOND if self.started_at else 0
        self.results[name].record(outcome, now - meant, second)
        if connection.storm:
            self.results.setdefault(f"{name} after a storm", TrafficResult()).record(
                outcome, now - meant, second
            )
            connection.storm = False

    def free(self, connection):
        line = connection.traffic
        if line is None:
            return
        if line.think and self.started_at and self.loop.now() < self.ends_at:
            span = round(self.random.expovariate(1 / line.think))
            self.loop.after(span, self._think, connection, connection.stream)
            return
        waiting = self.waiting[line.name]
        if waiting:
            connection.ask(waiting.popleft(), line.pipeline)
            return
        connection.place = len(self.idle[line.name])
        self.idle[line.name].append(connection)

    def _think(self, connection, stream):
        if connection.stream is stream and stream is not None and self.loop.now() < self.ends_at:
            connection.ask(self.loop.now(), connection.traffic.pipeline)

    def take(self, line):
        """Any idle connection of the traffic, or None."""
        idle = self.idle[line.name]
        if not idle:
            return None
        connection = self.random.choice(idle)
        self._out(connection)
        return connection

    # Connections

    def _out(self, connection):
        """Takes it out of the idle ones, where it is among them."""
        if connection.place >= 0:
            idle = self.idle[connection.traffic.name]
            idle[connection.place], idle[-1] = idle[-1], idle[connection.place]
            idle[connection.place].place = connection.place
            idle.pop()
            connection.place = -1

    def lost(self, connection):
        self._out(connection)
        if self.ends_at is None or self.loop.now() < self.ends_at:
            self.loop.after(self.load.hold.again, self.open, connection)

    def open(self, connection):
        self.to_open.append(connection)
        self._next()

    def _next(self):
        while self.to_open and self.opening < OPENING:
            connection = self.to_open.popleft()
            self.opening += 1
            family, target = self.random.choice(self.targets)
            connect(
                self.loop,
                (family, target),
                CONNECT_TIME,
                lambda sock, error, connection=connection: self._opened(connection, sock, error),
                connection.source,
            )

    def _opened(self, connection, sock, error):
        self.opening -= 1
        if error is not None:
            self.counts[f"not connected: {error.strerror or error}"] += 1
            self.loop.after(self.load.hold.again, self.open, connection)
        else:
            self.counts["connected"] += 1
            connection.opened(sock)
            if connection.storm:
                connection.ask(self.loop.now(), connection.traffic.pipeline)
            else:
                self.free(connection)
        self._next()

    def held(self):
        return sum(connection.stream is not None for connection in self.connections)

    # The script

    def play(self):
        """A generator for the loop: opens all, plays the length, gives what is owed time to end."""
        hold, traffic = self.load.hold, self.load.traffic
        for number in range(hold.count):
            line = self.random.choices(traffic, [line.share for line in traffic])[0] if traffic else None
            source = None
            if hold.addresses > 1:
                low = number % hold.addresses + 1
                source = f"127.1.{low >> 8}.{low & 255}"
            connection = LoadConnection(self, source, line)
            self.connections.append(connection)
            self.loop.after(hold.over * number // hold.count, self.open, connection)
        while self.held() < hold.count:
            yield self.loop.sleep(20 * MILLI)
            if self.report_progress:
                self.report_progress(f"open {self.held()} of {hold.count}")
        self.started_at = self.loop.now()
        self.ends_at = self.started_at + self.load.length
        for line in traffic:
            if line.rate:
                self.loop.spawn(self._arrivals(line))
            else:
                thinking, self.idle[line.name] = self.idle[line.name], []
                for connection in thinking:
                    connection.place = -1
                    self.free(connection)
        for line in self.load.slow:
            for _ in range(line.count):
                self.loop.spawn(self._slow(line))
        for line in self.load.storms:
            self.loop.after(line.at, self._storm, line)
        self.loop.spawn(self._impatient())
        while self.loop.now() < self.ends_at:
            yield self.loop.sleep(min(SECOND, self.ends_at - self.loop.now()))
            if self.report_progress:
                ends = sum(sum(result.outcomes.values()) for result in self.results.values())
                self.report_progress(
                    f"{(self.loop.now() - self.started_at) // SECOND} s: {self.held()} held, "
                    f"{self.counts['asked']} asked, {ends} ended"
                )
        last = self.ends_at + max([line.patience for line in traffic], default=0)
        while self.loop.now() < last and (
            any(connection.owed for connection in self.connections) or any(self.waiting.values())
        ):
            yield self.loop.sleep(20 * MILLI)
        for line in traffic:
            for meant in self.waiting[line.name]:
                self.results[line.name].record("never sent", self.loop.now() - meant, 0)
        for connection in self.connections:
            if connection.stream is not None:
                connection.stream.abort()
                connection.stream = None

    def _arrivals(self, line):
        at = self.loop.now()
        while True:
            at += round(self.random.expovariate(line.rate) * SECOND)
            if at >= self.ends_at:
                return
            if at > self.loop.now():
                yield self.loop.sleep(at - self.loop.now())
            connection = self.take(line)
            if connection is None:
                self.waiting[line.name].append(at)
            else:
                connection.ask(at, line.pipeline)

    def _impatient(self):
        """Ends what nobody waits for any longer."""
        while True:
            now = self.loop.now()
            for line in self.deadlines.values():
                while line and (line[0][0] <= now or line[0][1].owed is not line[0][2]):
                    _, connection, owed = line.popleft()
                    if connection.owed is owed and owed:
                        connection.lose("overdue")
            yield self.loop.sleep(50 * MILLI)

    def _storm(self, line):
        held = [connection for connection in self.connections if connection.stream is not None]
        for connection in self.random.sample(held, round(line.share * len(held))):
            connection.drop("given up")
            self._out(connection)
            connection.storm = connection.traffic is not None
            self.loop.after(self.random.randrange(max(1, line.back)), self.open, connection)
        self.counts["storms"] += 1

    def _slow(self, line):
        """A coroutine: a client that sends, or takes, a byte at a time until the day's end."""
        request = b"POST /v2/models/none/infer HTTP/1.1\r\nHost: g\r\nX-Slow: " + b"x" * 4000
        if line.what == "body":
            request = (
                b"POST /v2/models/none/infer HTTP/1.1\r\nHost: g\r\nContent-Length: 4000\r\n\r\n"
                + b"x" * 4000
            )
        while self.loop.now() < self.ends_at:
            opened = yield from self._slow_connection(line, request)
            if opened and not line.again:
                return

    def _slow_connection(self, line, request):
        """A coroutine: one connection of a slow client until its end; whether it was opened at all."""
        state = {}
        give_up = connect(
            self.loop,
            self.random.choice(self.targets),
            CONNECT_TIME,
            lambda sock, error: state.update(sock=sock, over=True),
        )
        while "over" not in state and self.loop.now() < self.ends_at:
            yield self.loop.sleep(20 * MILLI)
        give_up()
        if state.get("sock") is None:
            self.counts["slow ones refused"] += 1
            yield self.loop.sleep(line.every)
            return False
        stream = Stream(self.loop, state["sock"], lambda data: None, lambda error: state.update(ended=True))
        if line.what == "read":
            stream.pause()
            stream.write(b"GET /v2 HTTP/1.1\r\nHost: g\r\n\r\n" * 4000)
        sent = 0
        while "ended" not in state and self.loop.now() < self.ends_at:
            if line.what in ("head", "body") and sent < len(request):
                burst = 60 if sent == 0 else 1
                stream.write(request[sent : sent + burst])
                sent += burst
            yield self.loop.sleep(line.every)
        self.counts["slow ones ended"] += "ended" in state
        stream.abort()
        return True
