"""Plays a load on the loop: a crowd of connections (`member.py`), opened, asked and lost by script.

Latency counts from when a task was meant to start, not from when a connection was free for it: a stall of the
other side is not hidden by the waiting of this one.
"""

import random
from collections import Counter, deque

from gaproute.load.member import Member
from gaproute.load.requests import Requests
from gaproute.load.results import Tally
from gaproute.loop import Stream, connect
from gaproute.loop.addresses import address

MILLI, SECOND = 1_000_000, 1_000_000_000
OPENING = 200  # connects on their way at once: the other side's accept queue holds the rest
CONNECT_TIME = 5 * SECOND


class Crowd:
    def __init__(self, loop, load, seed=1, tell=None):
        self.loop, self.load, self.tell = loop, load, tell
        self.chance = random.Random(seed)
        self.targets = [address(where) for where in load.targets]
        self.tallies = {line.name: Tally() for line in load.traffic}
        self.idle = {line.name: [] for line in load.traffic}
        self.waiting = {line.name: deque() for line in load.traffic}  # meant starts that found none free
        self.members, self.counts = [], Counter()
        self.to_open, self.opening = deque(), 0
        self.begun = self.end = None
        self.settled = False
        self.deadlines = {line.name: deque() for line in load.traffic}  # (when, member, what it owed)
        self.requests = Requests(self.chance)

    # One task

    def asked(self, member, due):
        self.counts["asked"] += member.traffic.pipeline
        self.deadlines[member.traffic.name].append((due, member, member.owed))

    def over(self, member, meant, outcome):
        now = self.loop.now()
        name = member.traffic.name
        second = max(0, now - self.begun) // SECOND if self.begun else 0
        self.tallies[name].ended(outcome, now - meant, second)
        if member.storm:
            self.tallies.setdefault(f"{name} after a storm", Tally()).ended(outcome, now - meant, second)
            member.storm = False

    def free(self, member):
        line = member.traffic
        if line is None:
            return
        if line.think and self.begun and self.loop.now() < self.end:
            span = round(self.chance.expovariate(1 / line.think))
            self.loop.after(span, self._think, member, member.stream)
            return
        waiting = self.waiting[line.name]
        if waiting:
            member.ask(waiting.popleft(), line.pipeline)
            return
        member.place = len(self.idle[line.name])
        self.idle[line.name].append(member)

    def _think(self, member, stream):
        if member.stream is stream and stream is not None and self.loop.now() < self.end:
            member.ask(self.loop.now(), member.traffic.pipeline)

    def take(self, line):
        """Any idle member of the traffic, or None."""
        idle = self.idle[line.name]
        if not idle:
            return None
        member = self.chance.choice(idle)
        self._out(member)
        return member

    # Connections

    def _out(self, member):
        """Takes it out of the idle ones, where it is among them."""
        if member.place >= 0:
            idle = self.idle[member.traffic.name]
            idle[member.place], idle[-1] = idle[-1], idle[member.place]
            idle[member.place].place = member.place
            idle.pop()
            member.place = -1

    def lost(self, member):
        self._out(member)
        if self.end is None or self.loop.now() < self.end:
            self.loop.after(self.load.hold.again, self.open, member)

    def open(self, member):
        self.to_open.append(member)
        self._next()

    def _next(self):
        while self.to_open and self.opening < OPENING:
            member = self.to_open.popleft()
            self.opening += 1
            family, target = self.chance.choice(self.targets)
            connect(
                self.loop,
                (family, target),
                CONNECT_TIME,
                lambda sock, error, member=member: self._opened(member, sock, error),
                member.source,
            )

    def _opened(self, member, sock, error):
        self.opening -= 1
        if error is not None:
            self.counts[f"not connected: {error.strerror or error}"] += 1
            self.loop.after(self.load.hold.again, self.open, member)
        else:
            self.counts["connected"] += 1
            member.opened(sock)
            if member.storm:
                member.ask(self.loop.now(), member.traffic.pipeline)
            else:
                self.free(member)
        self._next()

    def held(self):
        return sum(member.stream is not None for member in self.members)

    # The script

    def play(self):
        """A generator for the loop: opens all, plays the length, gives what is owed time to end."""
        hold, traffic = self.load.hold, self.load.traffic
        for number in range(hold.count):
            line = self.chance.choices(traffic, [line.share for line in traffic])[0] if traffic else None
            source = None
            if hold.addresses > 1:
                low = number % hold.addresses + 1
                source = f"127.1.{low >> 8}.{low & 255}"
            member = Member(self, source, line)
            self.members.append(member)
            self.loop.after(hold.over * number // hold.count, self.open, member)
        while self.held() < hold.count:
            yield self.loop.sleep(20 * MILLI)
            if self.tell:
                self.tell(f"open {self.held()} of {hold.count}")
        self.begun = self.loop.now()
        self.end = self.begun + self.load.length
        for line in traffic:
            if line.rate:
                self.loop.spawn(self._arrivals(line))
            else:
                thinking, self.idle[line.name] = self.idle[line.name], []
                for member in thinking:
                    member.place = -1
                    self.free(member)
        for line in self.load.slow:
            for _ in range(line.count):
                self.loop.spawn(self._slow(line))
        for line in self.load.storms:
            self.loop.after(line.at, self._storm, line)
        self.loop.spawn(self._impatient())
        while self.loop.now() < self.end:
            yield self.loop.sleep(min(SECOND, self.end - self.loop.now()))
            if self.tell:
                ends = sum(sum(tally.ends.values()) for tally in self.tallies.values())
                self.tell(
                    f"{(self.loop.now() - self.begun) // SECOND} s: {self.held()} held, "
                    f"{self.counts['asked']} asked, {ends} ended"
                )
        last = self.end + max([line.patience for line in traffic], default=0)
        while self.loop.now() < last and (
            any(member.owed for member in self.members) or any(self.waiting.values())
        ):
            yield self.loop.sleep(20 * MILLI)
        for line in traffic:
            for meant in self.waiting[line.name]:
                self.tallies[line.name].ended("never sent", self.loop.now() - meant, 0)
        for member in self.members:
            if member.stream is not None:
                member.stream.abort()
                member.stream = None

    def _arrivals(self, line):
        at = self.loop.now()
        while True:
            at += round(self.chance.expovariate(line.rate) * SECOND)
            if at >= self.end:
                return
            if at > self.loop.now():
                yield self.loop.sleep(at - self.loop.now())
            member = self.take(line)
            if member is None:
                self.waiting[line.name].append(at)
            else:
                member.ask(at, line.pipeline)

    def _impatient(self):
        """Ends what nobody waits for any longer."""
        while True:
            now = self.loop.now()
            for line in self.deadlines.values():
                while line and (line[0][0] <= now or line[0][1].owed is not line[0][2]):
                    _, member, owed = line.popleft()
                    if member.owed is owed and owed:
                        member.lose("overdue")
            yield self.loop.sleep(50 * MILLI)

    def _storm(self, line):
        held = [member for member in self.members if member.stream is not None]
        for member in self.chance.sample(held, round(line.share * len(held))):
            member.drop("given up")
            self._out(member)
            member.storm = member.traffic is not None
            self.loop.after(self.chance.randrange(max(1, line.back)), self.open, member)
        self.counts["storms"] += 1

    def _slow(self, line):
        """A coroutine: a client that sends, or takes, a byte at a time until the day's end."""
        request = b"POST /v2/models/none/infer HTTP/1.1\r\nHost: g\r\nX-Slow: " + b"x" * 4000
        if line.what == "body":
            request = (
                b"POST /v2/models/none/infer HTTP/1.1\r\nHost: g\r\nContent-Length: 4000\r\n\r\n"
                + b"x" * 4000
            )
        while self.loop.now() < self.end:
            opened = yield from self._slow_connection(line, request)
            if opened and not line.again:
                return

    def _slow_connection(self, line, request):
        """A coroutine: one connection of a slow client until its end; whether it was opened at all."""
        state = {}
        give_up = connect(
            self.loop,
            self.chance.choice(self.targets),
            CONNECT_TIME,
            lambda sock, error: state.update(sock=sock, over=True),
        )
        while "over" not in state and self.loop.now() < self.end:
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
        while "ended" not in state and self.loop.now() < self.end:
            if line.what in ("head", "body") and sent < len(request):
                burst = 60 if sent == 0 else 1
                stream.write(request[sent : sent + burst])
                sent += burst
            yield self.loop.sleep(line.every)
        self.counts["slow ones ended"] += "ended" in state
        stream.abort()
        return True
