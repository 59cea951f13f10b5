"""What a gateway of many cells costs: a function's first call, a changed line, the memory of its view."""

import gc
import multiprocessing
import os
from dataclasses import replace
from random import Random

from benchmarks.scale.cells.evenness import KEEP_ALIVE
from benchmarks.scale.cells.fleet import Shape, location_of, make_table
from benchmarks.scale.cells.popularity import Popularity
from benchmarks.scale.cells.terms import CALL_TIME, cell_terms
from benchmarks.scale.measurement import measure
from benchmarks.scale.meters import processor_us
from gaproute import interface as face
from gaproute.decisions.cells.cellular import CellularGateway
from gaproute.decisions.cells.change import TableChange, TableHolder
from gaproute.decisions.cells.entries import Forwarded, trim_entries
from gaproute.decisions.cells.version import Version

HOSTS = 51  # in a cell
TIMED = "processor time of the process, medians within a play; 16,000 gateways, 32 entries a cell"
SECOND = 1_000_000_000
CELLS = (100, 250, 500, 1_000, 2_450)
GATEWAYS = (1_000, 4_000, 8_000, 16_000)
CALLS = 60_000  # of own clients, and as many forwarded
CALL_EVERY = KEEP_ALIVE // CALLS


def made(cells, gateways=16_000, entries=32):
    """A gateway with its host lists, and its table."""
    shape = Shape(cells, HOSTS, gateways, entries)
    gateway = CellularGateway(7, cell_terms(gateways, KEEP_ALIVE), 0, location_of(1, shape))
    stands = location_of(1, shape)
    holder = TableHolder("play", lambda cell: trim_entries(cell, stands.name))
    holder.replace(make_table(shape))
    gateway.adopt(0, holder.table)
    for name in gateway.wanted():
        rows = [
            face.ListedHost(f"{name}-{host}", 0, 0, face.State.ACTIVE, 1.0, None) for host in range(HOSTS)
        ]
        gateway.update_hosts(0, rows, True, name)
    return gateway, holder


def task(number, function):
    """A call."""
    return face.Request(f"t{number}", 0, CALL_TIME, function, 4, None, 0)


def serve(gateway, number, function, now, forwarded=None):
    """One call that is answered well."""
    asked = task(number, function)
    serving = gateway.serve(now, asked, forwarded)
    wish = next(serving)
    if not isinstance(wish, face.Attempt):
        return
    serving.send(0)
    outcome = face.Outcome(
        asked.id, 0, wish.host, face.Result.OK, SECOND // 20, True, face.Found.WARM, None, None
    )
    gateway.attempt_ended(now + SECOND // 20, outcome)
    serving.close()


def first_call(cells, seed, gateways=16_000, meter=processor_us):
    """Median cost of 200 first calls in a known cell, plus that of as many that are forwarded; CPU time in us
    by default."""
    gateway, _ = made(int(cells), gateways)
    own, spans = gateway.wanted()[0], {"known": [], "forwarded": []}
    for number in range(200):
        for kind, forwarded in (("known", Forwarded(own, 1)), ("forwarded", None)):
            serving = gateway.serve(0, task(f"{kind}{number}", f"{kind}{seed}-{number}"), forwarded)
            spans[kind].append(meter(lambda serving=serving: next(serving)))
    return sum(sorted(each)[len(each) // 2] for each in spans.values())


def changed_line(cells, seed, gateways=16_000, meter=processor_us):
    """Median cost of taking a change that moves one cell's ring points; CPU time in us by default."""
    gateway, holder = made(int(cells), gateways)
    spans, random = [], Random(seed)
    for number in range(2, 32):
        held = holder.table
        cell = random.choice(held.cells)
        shorter = cell.points[0]._replace(size=max(1, cell.points[0].size - 1))
        row = replace(cell, points=(shorter,), capacity=cell.capacity + 1)
        change = TableChange(held.fleet, held.version, Version(1, number), (row,))
        spans.append(meter(lambda change=change: _take(gateway, holder, change)))
    return sorted(spans)[len(spans) // 2]


def _take(gateway, holder, change):
    holder.apply(change)
    gateway.adopt(0, holder.table)


def resident():
    """Memory of this process, bytes."""
    with open("/proc/self/statm") as told:
        return int(told.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def _used(gateways, seed, answer):
    random = Random(seed)
    popularity = Popularity(390_000, 1.0, random)
    gc.collect()
    before = resident()
    gateway, _ = made(490, gateways)
    own = gateway.wanted()
    popular = {name: [] for name in own}
    for number in range(60_000):
        name = f"rare{number}"
        home = gateway.homes.first(name)
        if home in popular:
            popular[home].append(name)
    keeper, due = gateway.housekeep(0), 0
    next(keeper)
    for number in range(CALLS):
        now = number * CALL_EVERY
        serve(gateway, f"own{number}", popularity.draw(), now)
        name = own[number % len(own)]
        serve(gateway, f"in{number}", random.choice(popular[name] or ["f"]), now, Forwarded(name, 1))
        if now >= due:
            due = now + SECOND
            while not isinstance(keeper.send((now, None)), face.Wait):
                pass
    gc.collect()
    answer.put(resident() - before)


def memory(gateways, seed):
    """Growth of a process of its own by one gateway, after a keep-alive's time of calls, MB."""
    context = multiprocessing.get_context("spawn")
    answer = context.Queue()
    process = context.Process(target=_used, args=(int(gateways), seed, answer))
    process.start()
    used = answer.get()
    process.join()
    return used / 1e6


MEASUREMENTS = {
    "cells-first-call": lambda: measure(
        "cells-first-call",
        "CPU of an unseen function's first call: half known cell, half forwarded, both added",
        "us",
        "cells of 51 hosts",
        CELLS,
        first_call,
        TIMED,
    ),
    "cells-changed-line": lambda: measure(
        "cells-changed-line",
        "CPU of taking a table change of one row that moves ring points",
        "us",
        "cells of 51 hosts",
        CELLS,
        changed_line,
        TIMED,
    ),
    "cells-memory": lambda: measure(
        "cells-memory",
        "memory of one gateway's decisions after 60,000 own and 60,000 forwarded calls in a keep-alive",
        "MB",
        "gateways in the fleet",
        GATEWAYS,
        memory,
        "490 cells of 51 hosts, 32 entries at most, 390,000 functions by Zipf's law; growth of a process",
    ),
}
