"""Lease clients of a cluster: they acquire, extend and release leases at the operators' addresses, and note
what they held when, by the machine's one monotonic clock. Stand-ins for whoever does what must not be done
twice.

A gateway draws the numbers of its lease requests anew at each start. So a crew that finds its gateway gone
takes its request for gone, and never asks the next process for it.
"""

from typing import ClassVar

from pydantic import Field

from gaproute.cluster.operator_client import LOST, SILENT, ask
from gaproute.config.parsing import Directive
from gaproute.config.values import Duration
from gaproute.judge import leases
from gaproute.standins.tap import read_tap

MILLI, SECOND = 1_000_000, 1_000_000_000
LOOK = 40 * MILLI  # between questions about a request
REST = 60 * MILLI  # between requests of one crew, at most
# That a gateway holds a request which nobody extends: a crew that died holds a resource for so long, and a
# request waits for so long.
EXTENSION = 1200 * MILLI
BREACH = b'"event":"raft_invariant_violated"'  # in a gateway's log: one of its own checks does not hold
RELEASED = 5  # of ten requests; two are extended, of the rest the crew says nothing more


class LeaseClientsLine(Directive):
    example: ClassVar = "crews count 6 resources 3 keepers 3 longest 1s span 600ms hold 700ms fell-leader 3s"
    once: ClassVar = True
    count: int = Field(6, ge=1, le=256)
    resources: int = Field(3, ge=1, le=256)
    keepers: int = Field(3, ge=1, le=7)  # the first gateways; each with its votes in the run's folder
    longest: Duration = SECOND  # of a lease; a new log grants nothing for so long
    span: Duration = 600 * MILLI
    hold: Duration = 700 * MILLI  # that a crew works, at most
    fell_leader: Duration = 0  # when the leader's process is killed; 0: never
    back: Duration = 500 * MILLI  # until it is started again, with its disk


def wrong(line, day):
    if line.keepers > day.gateways:
        yield f"{line.keepers} keepers of {day.gateways} gateways"
    if not day.peers:
        yield "keepers speak as peers: day ... peers yes"
    if line.span > line.longest:
        yield "a span is not above longest"


class LeaseClients:
    """`harness.script.crews` is the line, None where the day has none."""

    def __init__(self, harness):
        self.harness, self.loop, self.line = harness, harness.loop, harness.script.crews
        self.over = False

    def lines(self, number):
        """What a gateway's configuration has beside: its operators' address, the group's members."""
        if self.line is None:
            return []
        names = ",".join(f"g{keeper}" for keeper in range(self.line.keepers))
        votes = f" votes {self.harness.out}/g{number}.votes" if number < self.line.keepers else ""
        return [
            f"listen operator {self.harness.table.operator(number)}",
            f"keepers {names}{votes} longest {self.line.longest}ns",
        ]

    def begin(self):
        """What happens during the day, as coroutines."""
        if self.line is None:
            return []
        fell = [self.fell()] if self.line.fell_leader else []
        return [self.end(), *fell, *map(self.crew, range(self.line.count))]

    def end(self):
        yield self.loop.sleep(self.harness.script.day.length)
        self.over = True
        self.harness.tap.note("crews over")

    def ask(self, number, order=None):
        return ask(self.loop, self.harness.table.operator(number), "/permits", order)

    def crew(self, place):
        """A coroutine: one request after another, each at a gateway that is drawn anew."""
        random, line, name = self.harness.chance(self.line, f"crew {place}"), self.line, f"crew-{place}"
        while not self.over:
            yield self.loop.sleep(random.randrange(REST))
            number = random.randrange(self.harness.script.day.gateways)
            resource = f"r{random.randrange(line.resources)}"
            told = yield self.ask(
                number, {"take": resource, "span_ms": line.span // MILLI, "for_ms": EXTENSION // MILLI}
            )
            if told in (LOST, SILENT) or "errand" not in told:
                continue
            yield from self.work(name, number, told["errand"], resource, random)

    def work(self, name, number, request, resource, random):
        """A coroutine: one request to its end. A moment in which it may act ends `ms_left` after the question
        was sent, not after the answer came."""
        note, fence, until = self.harness.tap.note, None, 0
        end = self.loop.now() + EXTENSION
        while not self.over:
            sent = self.loop.now()
            told = yield self.ask(number)
            if told is LOST:
                return
            rows = [] if told is SILENT else [row for row in told["errands"] if row["errand"] == request]
            row = rows[0] if rows else None
            if row and row["state"] == "held":
                if fence is None:
                    fence, end = row["fence"], self.loop.now() + random.randrange(self.line.hold)
                if row["fence"] != fence:
                    return
                until = sent + row["ms_left"] * MILLI
                if until > self.loop.now():
                    note("hold", crew=name, resource=resource, fence=fence, until=until, gateway=number)
            elif told is not SILENT and (row is None or row["state"] != "asked"):
                return
            if self.loop.now() >= end:
                drawn = random.randrange(10)
                if fence is not None and RELEASED <= drawn < RELEASED + 2:
                    end = self.loop.now() + random.randrange(self.line.hold)
                    yield self.ask(number, {"keep": request, "for_ms": EXTENSION // MILLI})
                    continue
                if fence is not None and drawn >= RELEASED:
                    return  # as if it had died: its lease expires
                if fence is not None:
                    note("let go", crew=name, resource=resource, fence=fence)
                yield self.ask(number, {"give": request})
                return
            yield self.loop.sleep(LOOK)

    def fell(self):
        """A coroutine: whoever leads at that time is killed, and started again with its disk."""
        yield self.loop.sleep(self.line.fell_leader)
        while not self.over:
            for number in range(self.line.keepers):
                told = yield self.ask(number)
                if told not in (LOST, SILENT) and told["keeper"]["role"] == "leader":
                    self.harness.tap.note("strike", kind="kill", gateways=[number], leader=True)
                    yield from self.harness.gateways.restart(number, "KILL", self.line.back)
                    return
            yield self.loop.sleep(LOOK)

    def judged(self):
        """What the verdict has of them: counts, and breaches as text; None where the day has no crews."""
        if self.line is None:
            return None
        run = read_tap(self.harness.out / "run.tap")
        progress = leases.judge_progress(run)
        broken = [
            f"permits, {breach.check}: {breach.text}"
            for breach in leases.judge_leases(run) + progress.violations
        ]
        broken += [
            f"{path.stem}: {line.decode()[:300]}"
            for path in sorted(self.harness.out.glob("g*.log"))
            for line in path.read_bytes().split(b"\n")
            if BREACH in line.replace(b" ", b"")
        ]
        return {"granted": len(leases.grant_times(run)), "healed": progress.healings, "broken": broken}
