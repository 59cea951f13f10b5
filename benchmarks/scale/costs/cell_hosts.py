"""The host lists of the cells that a gateway knows, from files and from a source: changes and memory."""

import io
import tempfile
import time
from pathlib import Path
from typing import Any

from benchmarks.scale.costs import change_log
from benchmarks.scale.measurement import Measurements, measure
from benchmarks.scale.meters import CPU_TIME, MS_PER_SECOND, TRACED, retained_bytes
from gaproute.appliance import Appliance
from gaproute.config import read_configuration
from gaproute.discovery.changelog.sse import EventReader
from gaproute.standins.platform.host_list import ListedMember, VersionedHostList, member
from gaproute.telemetry.logs import logger

PARAMETER = "hosts of a cell"
SIZES = (32, 64, 128, 256, 400)  # hosts in each cell
KNOWN = 5  # cells
TABLE_HOSTS = 100  # of a cell by the table: five cells are within the view's bound
CHANGES = 20  # that one play follows
TEXT = """name g
listen kserve 127.0.0.1:0
listen peers 127.0.0.1:0
cells north file {folder}/table look 50ms region r zone z
cell-hosts {lists}
track t pure contract 1s limit 2s
model m track t lanes 4 load 20ms
"""
FOLLOWED = (
    f"mean of {CHANGES} changes, {KNOWN} cells known, until the decisions are told; no function is known"
)


def names(cells: int) -> list[str]:
    """Names of cells."""
    return [f"c{number}" for number in range(cells)]


def members(place: int, hosts: int, seed: int, state: str = "active") -> list[ListedMember]:
    """The hosts of one cell as a change log has them."""
    return [
        member(
            f"{place}-host-{number:04}", f"10.{seed}.{place}.{number % 250 + 1}:{9_000 + number}", state, ""
        )
        for number in range(hosts)
    ]


def lines(place: int, hosts: int, seed: int, state: str = "active") -> str:
    """The hosts of one cell as a file has them; the first one in that state."""
    named = members(place, hosts, seed)
    states = [state] + ["active"] * (hosts - 1)
    return "".join(
        f"host {listed['id']} {listed['host_port']} rack r{listed['cell']} capacity 4 state {each}\n"
        for listed, each in zip(named, states, strict=True)
    )


def table(cells: int) -> str:
    """A table of cells of one zone, all of which name the gateway as an entry."""
    rows = [
        f"cell {name} region r zone z capacity 1 hosts {TABLE_HOSTS} points {name}:0+32 entries g=127.0.0.1:1"
        for name in names(cells)
    ]
    return "\n".join(["table north term 1 number 1", *rows, "end", ""])


class DiscardedLog(io.StringIO):
    """A log of which nothing is stored."""

    def write(self, line: str) -> int:
        """Discard the line."""
        return len(line)


class KnownCells:
    """A gateway that knows five cells of so many hosts, by files or, with `followed`, by their logs."""

    def __init__(self, hosts: int, seed: int, *, followed: bool) -> None:
        self.hosts, self.seed = hosts, seed
        self.folder = tempfile.TemporaryDirectory(prefix="cell-hosts-")
        self.path = Path(self.folder.name)
        (self.path / "table").write_text(table(KNOWN))
        lists = f"from {change_log.NOWHERE}" if followed else self.folder.name
        if not followed:
            for place, cell in enumerate(names(KNOWN)):
                (self.path / f"{cell}.hosts").write_text(lines(place, hosts, seed))
        text = TEXT.format(folder=self.folder.name, lists=lists)
        self.appliance = Appliance(read_configuration("g", text), seed=seed, log=logger(DiscardedLog()))
        self.appliance.start()
        assert self.appliance.cells is not None
        self.lists: Any = self.appliance.cells.host_lists  # CellLists or, with `followed`, FollowedLists
        self.logs = [VersionedHostList() for _ in range(KNOWN)]
        if followed:
            for place in range(KNOWN):
                self._begin(place)
        assert len(self.appliance.endpoints) == KNOWN * hosts, len(self.appliance.endpoints)

    def _begin(self, place: int) -> None:
        """Hand over the complete list of one cell, as though a connection brought it."""
        watcher = self.lists.followed[names(KNOWN)[place]].watcher
        watcher.disconnect()
        watcher.reader, watcher.awaits_first_event = EventReader(), True
        event = self.logs[place].change(*members(place, self.hosts, self.seed))
        self.feed(place, change_log.HEAD + change_log.sent(event))

    def feed(self, place: int, data: bytes) -> None:
        """Hand over bytes of one cell's log and put their events in force."""
        self.lists.followed[names(KNOWN)[place]].watcher.on_bytes(data)
        if self.lists.apply_timer is not None:
            self.lists.apply_timer.cancel()
        self.lists._apply_pending()

    def state(self) -> str:
        """The state of the first cell's first host, as the gateway has it."""
        return str(self.appliance.endpoints["0-host-0000"].listed.state.value)

    def close(self) -> None:
        """Close the gateway and remove its files."""
        self.appliance.close()
        self.appliance.loop.close()
        self.folder.cleanup()


def change_cpu(hosts: int, seed: int, *, followed: bool) -> float:
    """Milliseconds of CPU of one changed host in one of five cells."""
    known, spent = KnownCells(hosts, seed, followed=followed), 0.0
    for number in range(CHANGES):
        state = ("draining", "active")[number % 2]
        data = change_log.sent(known.logs[0].change(members(0, 1, seed, state)[0]))
        if not followed:
            (known.path / "c0.hosts").write_text(lines(0, hosts, seed, state))
        began = time.process_time()
        if followed:
            known.feed(0, data)
        else:
            known.lists.watches["c0"].check()
        spent += time.process_time() - began
        assert known.state() == state
    known.close()
    return spent / CHANGES * MS_PER_SECOND


def followed_memory(hosts: int, seed: int) -> float:
    """Bytes that a known cell adds: of the lists, the connections' table and the decisions."""
    KnownCells(1, seed, followed=True).close()  # what is made once
    known: list[KnownCells] = []
    size = retained_bytes(lambda: known.append(KnownCells(hosts, seed, followed=True)))
    known.pop().close()
    return size / KNOWN


MEASUREMENTS: Measurements = {
    "cell-files-change-cpu-by-hosts": lambda: measure(
        "cell-files-change-cpu-by-hosts",
        "CPU to take in a cell's host file of which one line changed",
        "ms",
        PARAMETER,
        SIZES,
        lambda hosts, seed: change_cpu(hosts, seed, followed=False),
        f"{FOLLOWED}. {CPU_TIME}",
    ),
    "cell-follow-change-cpu-by-hosts": lambda: measure(
        "cell-follow-change-cpu-by-hosts",
        "CPU to take in one changed host of a followed cell",
        "ms",
        PARAMETER,
        SIZES,
        lambda hosts, seed: change_cpu(hosts, seed, followed=True),
        f"{FOLLOWED}; sockets are not in. {CPU_TIME}",
    ),
    "cell-follow-memory-by-hosts": lambda: measure(
        "cell-follow-memory-by-hosts",
        "memory that a followed cell adds to a gateway",
        "bytes",
        PARAMETER,
        SIZES,
        followed_memory,
        f"a fifth of a gateway that knows {KNOWN} cells, no call served. {TRACED}",
    ),
}
