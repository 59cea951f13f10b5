"""The run: a heap of events, the actors, and what befalls them.

An actor is made by `make(name, disk, chance, now)` at each start; it has `due` (ns of its own clock, or
None), `tick(now)` and `hear(now, sender, message)`, both returning [(to, message)], each at its own time. It
may raise OSError, which ends the process as an error that is told does; any other exception is a breach named
`raised`.
"""

import heapq
import struct
import traceback
from collections import deque

import xxhash

from gaproute.simulation import fault_effects
from gaproute.simulation.clock import SimulatedClock
from gaproute.simulation.disk import ProcessCrash, SimulatedDisk
from gaproute.simulation.invariant_checks import InvariantChecks, InvariantViolationError
from gaproute.simulation.network import SimulatedNetwork
from gaproute.simulation.process_slot import ProcessSlot
from gaproute.simulation.seeded_random import NarrowRandom, SeededRandom

MILLI, SECOND = 1_000_000, 1_000_000_000
LAST = 60  # events told with a breach
MOST = 40_000  # steps: thrice any run; words that answer words for ever must not hang a hunt
INBOX = 2_000  # messages kept for a process that is stopped; a socket's buffer is not endless
STEP = 1_000  # ns: an actor whose due is past is called again no sooner: time goes on
AGAIN = 200 * MILLI  # until a process that could not start is started again
SHOWN = 5_000 * SECOND  # where a clock may begin
TICK, HEAR, BEGIN, END, START, ASK = range(6)
KINDS = ("tick", "hear", "fault", "fault ends", "start", "ask")
_event = struct.Struct("<qBHH")


class Simulation:
    """`makes`: {name: make}. `rates`: {name: millionths}, None: each within `plan.RATE`, drawn. `wire`:
    (encode, decode), where messages are to go in bytes; else an actor must not change what it sent or heard.
    `leader(world)`: the seat that a fault means by plan.LEADER, or None. `narrow`: actors' chance draws from
    such a part only."""

    def __init__(
        self, plan, makes, checks=None, load=None, rates=None, wire=None, rate=100, leader=None, narrow=0
    ):
        self.plan, self.checks, self.load, self.wire = plan, checks or InvariantChecks(), load, wire
        self.leader, self.befell = leader, {}  # fault's number: whom it befell
        self.now = self.step = self.order = self.strays = 0
        self.heap, self.last, self.digest = [], deque(maxlen=LAST), xxhash.xxh3_64()
        self.chance = SeededRandom(plan.seed, "world")
        self.net = SimulatedNetwork(len(makes), SeededRandom(plan.seed, "net"))
        self.seats, self.counts, self.facts = {}, dict.fromkeys(("crashes", "starts", "refused"), 0), {}
        for number, (name, make) in enumerate(makes.items()):
            fast = self.chance.between(-rate, rate) if rates is None else rates.get(name, 0)
            clock = SimulatedClock(0, self.chance.below(SHOWN), fast)
            luck = (
                NarrowRandom(narrow, plan.seed, "actor", name)
                if narrow
                else SeededRandom(plan.seed, "actor", name)
            )
            self.seats[name] = ProcessSlot(name, number, make, SimulatedDisk(), clock, luck, fast)
        self.places = list(self.seats.values())
        for seat in self.places:
            self.push(0, START, seat, None, None)
        for number, fault in enumerate(plan.faults):
            self.push(fault.at, BEGIN, None, fault, number)
            self.push(fault.until, END, None, fault, number)
        if load is not None:
            self.push(load.next(0), ASK, None, None, None)

    def push(self, when, kind, seat, one, two):
        self.order += 1
        heapq.heappush(self.heap, (when, self.order, kind, seat, one, two))

    def run(self, until=None):
        """Plays up to `until` (default: the plan's end and what it settles in). Errors:
        InvariantViolationError."""
        heap, last, pop, update, pack = self.heap, self.last, heapq.heappop, self.digest.update, _event.pack
        until = self.plan.end + self.plan.settle if until is None else until
        while heap and heap[0][0] <= until:
            event = pop(heap)
            self.now, _, kind, seat, one, two = event
            if kind == TICK:
                if seat.actor is None or seat.due != event[0] or seat.paused:
                    continue
                seat.due = None
            elif kind == HEAR:
                if seat.actor is None:
                    seat.lost += 1
                    continue
                if seat.paused:
                    if len(seat.inbox) < INBOX:
                        seat.inbox.append((one, two))
                    continue
            self.step += 1
            last.append(event)
            if self.step > MOST:
                raise InvariantViolationError(f"words without end: {MOST} steps", self)
            update(pack(event[0], kind, seat.number if seat else 0xFFFF, len(heap) & 0xFFFF))
            if kind == TICK:
                self.call(seat, seat.actor.tick)
            elif kind == HEAR:
                self.call(seat, seat.actor.hear, one, two if self.wire is None else self.wire[1](two))
            elif kind == BEGIN:
                fault_effects.begin(self, one, two)
            elif kind == END:
                fault_effects.end(self, one, two)
            elif kind == START:
                self.start(seat)
            else:
                self.load.run(self)
                if (after := self.load.next(self.now)) <= self.plan.end:
                    self.push(after, ASK, None, None, None)
        self.now = until
        self.checks.all(self, last=True)
        return self

    def call(self, seat, what, *told):
        """One call of the actor at its own time; what it returns is sent, unless it ended in the middle."""
        try:
            out = what(seat.clock.own(self.now), *told)
        except (ProcessCrash, OSError) as end:
            self.counts["refused"] += not isinstance(end, ProcessCrash)
            self.crash(seat)
            if isinstance(end, OSError):  # as one that supervises processes does
                self.push(self.now + AGAIN, START, seat, None, None)
            return
        except Exception as fault:
            raise self.raised(seat, fault) from fault
        for to, message in out or ():
            self.checks.sends(self, seat, to, message)
            self.send(seat, to, message)
        self.scheduled(seat)
        self.checks.acted(self, seat)

    def ask(self, name, call, *told):
        """`call(actor, own time, *told)` as by a user of it, if its process runs; returns as tick does.
        Whether it was called."""
        seat = self.seats[name]
        if seat.actor is None or seat.paused:
            return False
        self.call(seat, lambda now: call(seat.actor, now, *told))
        return True

    def send(self, seat, to, message):
        other = self.seats.get(to)
        if other is None:
            self.strays += 1
            return
        if self.wire is not None:
            message = self.wire[0](message)
        for when in self.net.arrivals(self.now, seat.number, other.number):
            self.push(when, HEAR, other, seat.name, message)

    def scheduled(self, seat):
        own = seat.actor.due
        if own is None:
            seat.due = None
            return
        when = seat.clock.true(own)
        if when is not None:
            when = max(when, self.now + STEP)
            if when != seat.due:
                self.push(when, TICK, seat, None, None)
        seat.due = when

    def start(self, seat):
        if seat.actor is not None:
            return
        seat.life += 1
        seat.paused, seat.inbox, seat.due = 0, [], None
        self.counts["starts"] += 1
        try:
            seat.disk.opened()
            seat.actor = seat.make(seat.name, seat.disk, seat.chance, seat.clock.own(self.now))
        except (ProcessCrash, OSError):
            self.crash(seat)
            self.push(self.now + AGAIN, START, seat, None, None)
            return
        except Exception as fault:
            raise self.raised(seat, fault) from fault
        self.scheduled(seat)
        self.checks.acted(self, seat)

    def crash(self, seat):
        """The process is gone, and of what it had not synced perhaps the first few records are there."""
        seat.actor, seat.due, seat.inbox = None, None, []
        self.counts["crashes"] += 1
        seat.disk.crashed(seat.chance)
        if seat.chance.below(2):  # the machine as well: its clock begins anew
            seat.clock.restarted(self.now, seat.chance.below(SHOWN))

    def raised(self, seat, fault):
        return InvariantViolationError(f"raised: {fault!r} at {seat.name}\n{traceback.format_exc()}", self)

    def up(self):
        return [seat for seat in self.places if seat.actor is not None]

    def worded(self, event):
        when, _, kind, seat, one, two = event
        told = "" if one is None else f" {one}" if kind != HEAR else f" {one}: {two}"
        return f"{when / 1e9:.6f} {KINDS[kind]} {seat.name if seat else ''}{told}"
