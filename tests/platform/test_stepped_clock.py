"""The platform's gateway whole, while the wall clock goes an hour ahead and back each two seconds: what its
clients and hosts see is judged as on any other day."""

import inspect
import json
import os
import sys
import time
from collections import Counter

import pytest
from scripted import MILLI, SECOND, Handed

from gaproute.platform.log import MAX_LINES_PER_SECOND, Log
from gaproute.standins.platform import ScriptedHost, event, sse

HOUR = 3600 * SECOND
BEGUN = 1_800_000_000 * SECOND  # ns since 1970 when the tests' monotonic clock reads nought
STEP = 5 * MILLI  # of the handed clock
PACE = 20 * MILLI  # between requests
DEADLINE = 3 * SECOND  # of each request
SLACK = 150 * MILLI  # by which the limit passed to a host may be over what the client has left
GRACE = 500 * MILLI  # in which a draining host may still be sent to
SERVED, LOADED = 30 * MILLI, 400 * MILLI  # time of an answer; of every 9th
JOINS, DRAINS, ENDS = 2500 * MILLI, 4500 * MILLI, 9 * SECOND
FUNCTIONS = 12
MOST_TO_COLD = 70  # of 449 requests: 52 by a right clock, 138 where the host is taken for warm


def true_wall(now):
    return BEGUN + now


def swinging(now):
    """An hour ahead from the second second on, and back each two seconds."""
    return true_wall(now) + (HOUR if now // (2 * SECOND) % 2 else 0)


def swinging_behind(now):
    return true_wall(now) - (HOUR if now // (2 * SECOND) % 2 else 0)


def ahead(now):
    return true_wall(now) + HOUR


def set_wall(monkeypatch, clock, wall):
    """Every module of the program reads this wall clock, also where a function took it as a default."""
    clocks = {time.time_ns: lambda: wall(clock.now), time.time: lambda: wall(clock.now) / SECOND}
    for name, module in list(sys.modules.items()):
        for made in vars(module).values() if name.startswith("gaproute") else ():
            init = made.__dict__.get("__init__") if inspect.isclass(made) else None
            defaults = getattr(init, "__defaults__", None) or ()
            fresh = tuple(clocks.get(each, each) if callable(each) else each for each in defaults)
            if fresh != defaults:
                monkeypatch.setattr(init, "__defaults__", fresh)
    for true, stepped in list(clocks.items()):
        monkeypatch.setattr(time, true.__name__, stepped)


class Day:
    """Requests at a steady pace; a host joins cold at `JOINS` and another drains at `DRAINS`. What hosts and
    client saw is recorded with its time by the handed clock."""

    def __init__(self, gate, monkeypatch, wall):
        self.clock = Handed()
        set_wall(monkeypatch, self.clock, wall)
        self.begun, self.asked, self.came, self.sent = self.clock.now, {}, {}, []
        self.made = gate(None, hosts=2, clock=self.clock)
        self.loop = self.made.loop
        self.joining = ScriptedHost(self.loop)
        self.hosts = {"s-0": self.made.hosts[0], "s-1": self.made.hosts[1], "s-2": self.joining}
        for name, host in self.hosts.items():
            host.answer = lambda stream, command, name=name: self.take(name, stream, command)

    def take(self, name, stream, command):
        """A host's side: every 7th is turned away, every 9th is slow."""
        host = self.hosts[name]
        if command["type"] != "go":
            host.serve(stream, command)
            return
        self.sent.append((self.clock.now, name, command["req"], float(command["meta"]["limit"])))
        count = len(host.seen("go"))
        if count % 7 == 0:
            self.loop.call_later(SERVED, host.reply, stream, command, "overload")
        else:
            self.loop.call_later(LOADED if count % 9 == 0 else SERVED, host.serve, stream, command)

    def send_event(self, number, name, phase, since=0):
        watch_event = event(number, (name, self.hosts[name].address, phase))
        watch_event["fleet"]["members"][0]["up_since_ms"] = since
        self.made.log.streams[-1].write(sse(watch_event))

    def play(self):
        client, number, events_sent = self.made.client(), 0, 0
        while self.clock.now < self.begun + ENDS + DEADLINE:
            since = self.clock.now - self.begun
            if since % SECOND < STEP and self.made.log.streams:
                self.made.log.streams[-1].write(b":\n\n")
            if since >= JOINS and events_sent == 0:
                events_sent = 1
                self.send_event(2, "s-2", "Ready", true_wall(self.clock.now - 200 * MILLI) // MILLI)
            if since >= DRAINS and events_sent == 1:
                events_sent, self.drained_at = 2, self.clock.now
                self.send_event(3, "s-1", "Terminating")
            if since < ENDS and since // PACE > number:
                number += 1
                method = "repair-order" if number % 3 == 0 else "fault-check"
                self.asked[number] = self.clock.now
                client.ask(number, method, o=f"{number % FUNCTIONS:016x}")
            self.clock.now += STEP
            for _ in range(4):
                self.loop.call_soon(lambda: None)
                self.loop.turn()
            for answer in client.answers:
                self.came.setdefault(answer["id"], []).append((self.clock.now, answer))
            client.answers.clear()
        self.joining.close()
        return self

    def faults(self):
        """What breaks a rule, each by its name."""
        found = Counter()
        for number, at in self.asked.items():
            answers = self.came.get(number, [])
            found["answers"] += len(answers) != 1
            found["late"] += any(when > at + DEADLINE for when, _ in answers)
            found["failed"] += any("result" not in answer for _, answer in answers)
        for at, name, mark, limit in self.sent:
            left = self.asked[int(mark, 16)] + DEADLINE - at
            found["limit"] += limit * MILLI > left + SLACK
            found["after the drain"] += name == "s-1" and at > self.drained_at + GRACE
        return +found

    def to_cold(self):
        return sum(name == "s-2" for _, name, _, _ in self.sent)


@pytest.fixture
def day(gate, monkeypatch):
    return lambda wall: Day(gate, monkeypatch, wall)


@pytest.mark.parametrize("wall", [true_wall, swinging, swinging_behind, ahead])
def test_a_wall_clock_that_steps_changes_nothing_that_clients_and_hosts_see(day, wall):
    made = day(wall).play()
    host = made.made.process.core.gateway.hosts_by_id["s-2"]
    joined = made.begun + JOINS
    assert made.faults() == Counter()
    assert joined - SECOND - 4 * STEP <= host.started <= joined + 4 * STEP
    assert 0 < made.to_cold() < MOST_TO_COLD


def test_a_wall_clock_that_steps_lets_no_more_lines_into_the_log_and_bars_none():
    reader, writer = os.pipe()
    clock, walls = [10.0], iter(range(1000, 0, -1))
    log = Log(writer, lambda: next(walls), lambda: clock[0])
    for _ in range(MAX_LINES_PER_SECOND + 50):
        log.info("x")
    clock[0] = 11.0
    log.wall = lambda: 500
    log.info("y")
    os.close(writer)
    with os.fdopen(reader) as file:
        lines = [json.loads(line) for line in file]
    assert len(lines) == MAX_LINES_PER_SECOND + 1
    assert lines[-1]["dropped_lines"] == 50
    assert lines[-1]["at"] == 500
