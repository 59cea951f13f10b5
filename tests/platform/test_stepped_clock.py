"""The whole platform gateway while the wall clock steps an hour ahead and back every two seconds: clients and
hosts must see the same as without steps."""

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
WALL_CLOCK_START = 1_800_000_000 * SECOND  # ns since 1970 at which the tests' monotonic clock reads 0
CLOCK_STEP = 5 * MILLI  # by which the test moves its clock
REQUEST_INTERVAL = 20 * MILLI  # between requests
DEADLINE = 3 * SECOND  # of each request
LIMIT_TOLERANCE = 150 * MILLI  # by which the deadline passed to a host may exceed the client's remaining time
DRAIN_GRACE = 500 * MILLI  # in which requests may still reach a draining host
ANSWER_TIME, SLOW_ANSWER_TIME = 30 * MILLI, 400 * MILLI  # answer time of a request; of every 9th request
JOIN_TIME, DRAIN_TIME, END_TIME = 2500 * MILLI, 4500 * MILLI, 9 * SECOND
FUNCTION_COUNT = 12
MAX_REQUESTS_TO_COLD_HOST = 70  # of 449 requests: 52 with a correct clock, 138 if the host is considered warm


def true_wall(now):
    return WALL_CLOCK_START + now


def stepping_ahead(now):
    """Steps an hour ahead after two seconds, and back or ahead again every two seconds."""
    return true_wall(now) + (HOUR if now // (2 * SECOND) % 2 else 0)


def stepping_behind(now):
    return true_wall(now) - (HOUR if now // (2 * SECOND) % 2 else 0)


def constantly_ahead(now):
    return true_wall(now) + HOUR


def set_wall(monkeypatch, clock, wall):
    """Replaces the wall clock in every module of the program, also in default arguments of constructors."""
    clocks = {time.time_ns: lambda: wall(clock.now), time.time: lambda: wall(clock.now) / SECOND}
    for name, module in list(sys.modules.items()):
        for member in vars(module).values() if name.startswith("gaproute") else ():
            init = member.__dict__.get("__init__") if inspect.isclass(member) else None
            defaults = getattr(init, "__defaults__", None) or ()
            replaced = tuple(clocks.get(value, value) if callable(value) else value for value in defaults)
            if replaced != defaults:
                monkeypatch.setattr(init, "__defaults__", replaced)
    for true, stepped in list(clocks.items()):
        monkeypatch.setattr(time, true.__name__, stepped)


class SteppedClockRun:
    """Sends requests at a steady pace; a cold host joins at `JOIN_TIME` and another drains at `DRAIN_TIME`.
    Records what hosts and clients see, with the time of the test's clock."""

    def __init__(self, gate, monkeypatch, wall):
        self.clock = Handed()
        set_wall(monkeypatch, self.clock, wall)
        self.started_at, self.sent_at, self.answers, self.received_by_hosts = self.clock.now, {}, {}, []
        self.gateway = gate(None, hosts=2, clock=self.clock)
        self.loop = self.gateway.loop
        self.joining = ScriptedHost(self.loop)
        self.hosts = {"s-0": self.gateway.hosts[0], "s-1": self.gateway.hosts[1], "s-2": self.joining}
        for name, host in self.hosts.items():
            host.answer = lambda stream, command, name=name: self.answer(name, stream, command)

    def answer(self, name, stream, command):
        """Answers at a host: rejects every 7th request and answers every 9th slowly."""
        host = self.hosts[name]
        if command["type"] != "go":
            host.serve(stream, command)
            return
        self.received_by_hosts.append((self.clock.now, name, command["req"], float(command["meta"]["limit"])))
        count = len(host.seen("go"))
        if count % 7 == 0:
            self.loop.call_later(ANSWER_TIME, host.reply, stream, command, "overload")
        else:
            self.loop.call_later(
                SLOW_ANSWER_TIME if count % 9 == 0 else ANSWER_TIME, host.serve, stream, command
            )

    def send_event(self, number, name, phase, since=0):
        watch_event = event(number, (name, self.hosts[name].address, phase))
        watch_event["fleet"]["members"][0]["up_since_ms"] = since
        self.gateway.log.streams[-1].write(sse(watch_event))

    def run(self):
        client, number, events_sent = self.gateway.client(), 0, 0
        while self.clock.now < self.started_at + END_TIME + DEADLINE:
            since = self.clock.now - self.started_at
            if since % SECOND < CLOCK_STEP and self.gateway.log.streams:
                self.gateway.log.streams[-1].write(b":\n\n")
            if since >= JOIN_TIME and events_sent == 0:
                events_sent = 1
                self.send_event(2, "s-2", "Ready", true_wall(self.clock.now - 200 * MILLI) // MILLI)
            if since >= DRAIN_TIME and events_sent == 1:
                events_sent, self.drained_at = 2, self.clock.now
                self.send_event(3, "s-1", "Terminating")
            if since < END_TIME and since // REQUEST_INTERVAL > number:
                number += 1
                method = "repair-order" if number % 3 == 0 else "fault-check"
                self.sent_at[number] = self.clock.now
                client.ask(number, method, o=f"{number % FUNCTION_COUNT:016x}")
            self.clock.now += CLOCK_STEP
            for _ in range(4):
                self.loop.call_soon(lambda: None)
                self.loop.turn()
            for answer in client.answers:
                self.answers.setdefault(answer["id"], []).append((self.clock.now, answer))
            client.answers.clear()
        self.joining.close()
        return self

    def violations(self):
        """Counts the rule violations by name."""
        violations = Counter()
        for number, at in self.sent_at.items():
            answers = self.answers.get(number, [])
            violations["answers"] += len(answers) != 1
            violations["late"] += any(when > at + DEADLINE for when, _ in answers)
            violations["failed"] += any("result" not in answer for _, answer in answers)
        for at, name, request_id, limit in self.received_by_hosts:
            left = self.sent_at[int(request_id, 16)] + DEADLINE - at
            violations["limit"] += limit * MILLI > left + LIMIT_TOLERANCE
            violations["after the drain"] += name == "s-1" and at > self.drained_at + DRAIN_GRACE
        return +violations

    def requests_to_cold_host(self):
        return sum(name == "s-2" for _, name, _, _ in self.received_by_hosts)


@pytest.fixture
def make_run(gate, monkeypatch):
    return lambda wall: SteppedClockRun(gate, monkeypatch, wall)


@pytest.mark.parametrize("wall", [true_wall, stepping_ahead, stepping_behind, constantly_ahead])
def test_steps_of_the_wall_clock_change_nothing_that_clients_and_hosts_see(make_run, wall):
    run = make_run(wall).run()
    host = run.gateway.process.core.gateway.hosts_by_id["s-2"]
    joined = run.started_at + JOIN_TIME
    assert run.violations() == Counter()
    assert joined - SECOND - 4 * CLOCK_STEP <= host.started <= joined + 4 * CLOCK_STEP
    assert 0 < run.requests_to_cold_host() < MAX_REQUESTS_TO_COLD_HOST


def test_steps_of_the_wall_clock_do_not_change_the_rate_limit_of_the_log():
    read_end, write_end = os.pipe()
    clock, walls = [10.0], iter(range(1000, 0, -1))
    log = Log(write_end, lambda: next(walls), lambda: clock[0])
    for _ in range(MAX_LINES_PER_SECOND + 50):
        log.info("x")
    clock[0] = 11.0
    log.wall_clock = lambda: 500
    log.info("y")
    os.close(write_end)
    with os.fdopen(read_end) as file:
        lines = [json.loads(line) for line in file]
    assert len(lines) == MAX_LINES_PER_SECOND + 1
    assert lines[-1]["dropped_lines"] == 50
    assert lines[-1]["at"] == 500
