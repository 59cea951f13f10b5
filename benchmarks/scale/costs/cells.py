"""Costs of a gateway of many cells: a function's first call, a changed line, the memory of its view."""

import gc
import multiprocessing
import os
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from random import Random

from benchmarks.scale.cells.evenness import KEEP_ALIVE
from benchmarks.scale.cells.fleet import Shape, location_of, make_table
from benchmarks.scale.cells.popularity import Popularity
from benchmarks.scale.cells.terms import CALL_TIME, cell_routing_settings
from benchmarks.scale.measurement import Measurements, measure
from benchmarks.scale.meters import processor_us
from gaproute import interface as face
from gaproute.decisions.cells.cellular import CellularGateway
from gaproute.decisions.cells.change import TableChange, TableHolder
from gaproute.decisions.cells.entries import Forwarded, trim_entries
from gaproute.decisions.cells.table import CellTable
from gaproute.decisions.cells.version import Version

HOSTS = 51  # in a cell
TIMED = "processor time of the process, medians within a play; 16,000 gateways, 32 entries a cell"
SECOND = 1_000_000_000
CELLS = (100, 250, 500, 1_000, 2_450)
GATEWAYS = (1_000, 4_000, 8_000, 16_000)
CALLS = 60_000  # of own clients, and as many forwarded
Meter = Callable[[Callable[[], object]], float]  # the cost of one call of a function

CALL_EVERY = KEEP_ALIVE // CALLS


def made(cells: int, gateways: int = 16_000, entries: int = 32) -> tuple[CellularGateway, TableHolder]:
    """A gateway with its host lists, and the holder of its table."""
    shape = Shape(cells, HOSTS, gateways, entries)
    gateway = CellularGateway(7, cell_routing_settings(gateways, KEEP_ALIVE), 0, location_of(1, shape))
    stands = location_of(1, shape)
    holder = TableHolder("play", lambda cell: trim_entries(cell, stands.name))
    holder.replace(make_table(shape))
    gateway.adopt(0, table_of(holder))
    for name in gateway.cells_to_follow():
        rows = [
            face.ListedHost(f"{name}-{host}", 0, 0, face.ListedHostState.ACTIVE, 1.0, None)
            for host in range(HOSTS)
        ]
        gateway.update_hosts(0, rows, complete=True, cell=name)
    return gateway, holder


def table_of(holder: TableHolder) -> CellTable:
    """The table in force."""
    assert holder.table is not None
    return holder.table


def request(name: str, function: str) -> face.Request:
    """A request for the function."""
    return face.Request(f"t{name}", 0, CALL_TIME, function, 4, None, 0)


def serve(
    gateway: CellularGateway, name: str, function: str, now: int, forwarded: Forwarded | None = None
) -> None:
    """Serve one request that is answered well."""
    asked = request(name, function)
    serving = gateway.serve(now, asked, forwarded)
    action = next(serving)
    if not isinstance(action, face.Attempt):
        return
    serving.send(0)
    outcome = face.Outcome(
        asked.id, 0, action.host, face.Result.OK, SECOND // 20, True, face.InstanceStatus.WARM, None, None
    )
    gateway.attempt_ended(now + SECOND // 20, outcome)
    serving.close()


def first_call(cells: int, seed: int, gateways: int = 16_000, meter: Meter = processor_us) -> float:
    """Median cost of 200 first calls in a known cell, plus that of as many that are forwarded.

    The cost is CPU time in us by default.
    """
    gateway, _ = made(cells, gateways)
    own = gateway.cells_to_follow()[0]
    costs: dict[str, list[float]] = {"known": [], "forwarded": []}
    for number in range(200):
        for kind, forwarded in (("known", Forwarded(own, 1)), ("forwarded", None)):
            serving = gateway.serve(0, request(f"{kind}{number}", f"{kind}{seed}-{number}"), forwarded)
            costs[kind].append(meter(partial(next, serving)))
    return float(sum(sorted(each)[len(each) // 2] for each in costs.values()))


def changed_line(cells: int, seed: int, gateways: int = 16_000, meter: Meter = processor_us) -> float:
    """Median cost of taking a change that moves one cell's ring points; CPU time in us by default."""
    gateway, holder = made(cells, gateways)
    costs: list[float] = []
    random = Random(seed)
    for number in range(2, 32):
        table = table_of(holder)
        cell = random.choice(table.cells)
        shorter = cell.points[0]._replace(size=max(1, cell.points[0].size - 1))
        row = replace(cell, points=(shorter,), capacity=cell.capacity + 1)
        change = TableChange(table.fleet, table.version, Version(1, number), (row,))
        costs.append(meter(partial(_apply, gateway, holder, change)))
    return sorted(costs)[len(costs) // 2]


def _apply(gateway: CellularGateway, holder: TableHolder, change: TableChange) -> None:
    holder.apply(change)
    gateway.adopt(0, table_of(holder))


def resident() -> int:
    """Memory of this process, bytes."""
    with open("/proc/self/statm") as statistics:
        return int(statistics.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def _measure_memory(gateways: int, seed: int, answer: "multiprocessing.Queue[int]") -> None:
    """Put into `answer` by how many bytes this process grew; run in a process of its own."""
    random = Random(seed)
    popularity = Popularity(390_000, 1.0, random)
    gc.collect()
    before = resident()
    gateway, _ = made(490, gateways)
    own = gateway.cells_to_follow()
    homes = gateway.homes
    assert homes is not None
    popular: dict[str, list[str]] = {name: [] for name in own}
    for number in range(60_000):
        name = f"rare{number}"
        home = homes.first(name)
        if home in popular:
            popular[home].append(name)
    housekeeping, due = gateway.housekeep(0), 0
    next(housekeeping)
    for number in range(CALLS):
        now = number * CALL_EVERY
        serve(gateway, f"own{number}", popularity.draw(), now)
        name = own[number % len(own)]
        serve(gateway, f"in{number}", random.choice(popular[name] or ["f"]), now, Forwarded(name, 1))
        if now >= due:
            due = now + SECOND
            while not isinstance(housekeeping.send((now, None)), face.Wait):
                pass
    gc.collect()
    answer.put(resident() - before)


def memory(gateways: int, seed: int) -> float:
    """Growth of a process of its own by one gateway, after a keep-alive's time of calls, MB."""
    context = multiprocessing.get_context("spawn")
    answer = context.Queue()
    process = context.Process(target=_measure_memory, args=(gateways, seed, answer))
    process.start()
    used: int = answer.get()
    process.join()
    return used / 1e6


MEASUREMENTS: Measurements = {
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
