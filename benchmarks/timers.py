"""Ends of very many idle connections: a heap of timers, a hierarchical wheel, and the calendar, one beside
the other.

    python benchmarks/timers.py [--counts 1000,20000,100000] [--out docs/measured]

Each holds so many idle ends of 75 s, spread by 10%. Over 20 s in steps of 10 ms, 1% of them move each second
(a connection spoke). Measured: CPU of the moves and of the steps, memory for each, the longest step; then a
stop of 100 s after which all are due: how much one turn does. In the heap a move cancels and pushes; in the
wheel it takes the entry out of its list of slots; in the calendar it only notes the new time.
"""

import argparse
import heapq
import random
import sys
import time
import tracemalloc
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rows import write

from gaproute.connections import Calendar

MILLI, SECOND = 1_000_000, 1_000_000_000
IDLE, STEP, SPAN = 75 * SECOND, 10 * MILLI, 20 * SECOND
MOST = 256


class Heap:
    """As the loop's timers: an entry that is moved is dead until it is popped or cleared away."""

    def __init__(self, count):
        self.entries, self.live, self.dead = [], [None] * count, 0

    def add(self, thing, due):
        entry = self.live[thing] = [due, thing, True]
        heapq.heappush(self.entries, entry)

    def move(self, thing, due):
        self.live[thing][2] = False
        self.dead += 1
        if self.dead > 1024 and self.dead * 2 > len(self.entries):
            self.entries = [entry for entry in self.entries if entry[2]]
            heapq.heapify(self.entries)
            self.dead = 0
        self.add(thing, due)

    def step(self, now):
        fired = 0
        while self.entries and self.entries[0][0] <= now and fired < MOST:
            entry = heapq.heappop(self.entries)
            fired += entry[2]
        return fired


class Wheel:
    """Three wheels of 256 slots of 10 ms, 2.56 s and 655 s; a slot is a dict, so that an entry can leave
    it."""

    def __init__(self, count):
        self.slots = [[{} for _ in range(256)] for _ in range(3)]
        self.place, self.tick = [None] * count, 0
        self.due = [0] * count

    def add(self, thing, due):
        self.due[thing] = due
        slot = max(self.tick + 1, -(-due // STEP))
        for level in range(3):
            if slot - self.tick < 256 ** (level + 1):
                held = self.slots[level][(slot >> 8 * level) & 255]
                break
        held[thing] = slot
        self.place[thing] = held

    def move(self, thing, due):
        del self.place[thing][thing]
        self.add(thing, due)

    def step(self, now):
        fired = 0
        while self.tick < now // STEP and fired < MOST:
            self.tick += 1
            for level in (2, 1):
                if self.tick & ((1 << 8 * level) - 1) == 0:
                    held = self.slots[level][(self.tick >> 8 * level) & 255]
                    for thing in list(held):
                        del held[thing]
                        self.add(thing, max(self.due[thing], self.tick * STEP + 1))
            held = self.slots[0][self.tick & 255]
            fired += len(held)
            held.clear()
        return fired


class Lazy:
    """The calendar as parked connections use it."""

    def __init__(self, count):
        self.calendar, self.due = Calendar(), [0] * count

    def add(self, thing, due):
        self.due[thing] = due
        self.calendar.add(thing, due)

    def move(self, thing, due):
        self.due[thing] = due

    def step(self, now):
        fired = 0
        for thing, _ in self.calendar.take_due(now, MOST):
            if self.due[thing] > now:
                self.calendar.add(thing, self.due[thing])
            else:
                fired += 1
        return fired


def play(form, count):
    chance = random.Random(1)
    tracemalloc.start()
    made = form(count)
    for thing in range(count):
        made.add(thing, IDLE + chance.randrange(IDLE // 10))
    memory = tracemalloc.get_traced_memory()[0] / count
    tracemalloc.stop()
    moves = steps = longest = moved = 0
    now = 0
    while now < SPAN:
        now += STEP
        begun = time.perf_counter_ns()
        made.step(now)
        took = time.perf_counter_ns() - begun
        steps, longest = steps + took, max(longest, took)
        things = [chance.randrange(count) for _ in range(max(1, count // 10_000))]
        dues = [now + IDLE + chance.randrange(IDLE // 10) for _ in things]
        begun = time.perf_counter_ns()
        for thing, due in zip(things, dues, strict=True):
            made.move(thing, due)
        moves, moved = moves + time.perf_counter_ns() - begun, moved + len(things)
    now += 100 * SECOND
    begun = time.perf_counter_ns()
    fired = made.step(now)
    return {
        "bytes each": round(memory),
        "us a move": round(moves / moved / 1000, 2),
        "us a step": round(steps / (SPAN // STEP) / 1000, 2),
        "longest step, us": round(longest / 1000),
        "first turn after a stop, us": round((time.perf_counter_ns() - begun) / 1000),
        "fired in it": fired,
    }


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument("--counts", default="1000,20000,100000")
    arguments.add_argument("--out", default="docs/measured")
    told = arguments.parse_args()
    rows = []
    for count in map(int, told.counts.split(",")):
        for name, form in (("heap", Heap), ("wheel", Wheel), ("calendar", Lazy)):
            rows.append({"timers": count, "form": name} | play(form, count))
            print(rows[-1], flush=True)
    write(told.out, "timers", rows)


if __name__ == "__main__":
    main()
