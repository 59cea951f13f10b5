"""A host list for each gateway, with the addresses by which it alone finds the hosts."""

from __future__ import annotations

import os
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

from gaproute.cluster.context import ClusterContext
from gaproute.cluster.script_lines import HostListFaultKind, HostListFaultLine
from gaproute.scenarios.hosts import DayHost, DayHosts, ListedState
from gaproute.scenarios.processes import Routine
from gaproute.units import MILLI

WRITES_PER_TURN = 16  # some milliseconds, so that the parent keeps time
GATHER_TIME = 5 * MILLI  # changes that come within it are written together
ADDRESS_MARK = "@"  # in a line before a gateway's own address takes its place


class SplitLine(NamedTuple):
    """A host's line without the address."""

    before: str
    after: str


class ListEntry(NamedTuple):
    """A host in a snapshot. `line` is None where the host is not listed."""

    host: DayHost
    state: str
    line: SplitLine | None


class ListSnapshot(NamedTuple):
    """All hosts as of one moment; `number` grows with each."""

    number: int
    entries: list[ListEntry]


@dataclass
class GatewayList:
    """One gateway's file: the number of the snapshot in it (0: none yet), and the state of each host."""

    path: Path
    number: int = 0
    states: dict[str, str] = field(default_factory=dict)


def list_path(out: Path, number: int) -> Path:
    """The file of a gateway's host list, in the folder of a play."""
    return out / "lists" / f"g{number}.list"


class HostPublisher(ABC):
    """Notifies the gateways of the hosts. `delay`: ns by which a fault of the day makes that late."""

    def __init__(self, context: ClusterContext, hosts: DayHosts) -> None:
        self.context, self.loop, self.hosts = context, context.loop, hosts
        self.delay = 0

    @abstractmethod
    def publish(self) -> None:
        """Notifies all gateways soon of the hosts as they are then."""

    @abstractmethod
    def publish_all_now(self) -> None:
        """Notifies all gateways at once of the hosts as they are now."""

    @abstractmethod
    def run_fault(self, line: HostListFaultLine, gateways: Sequence[int]) -> Routine:
        """A coroutine: carries out a `list` line on these gateways, from its time to its end."""

    def publish_state(self, host: DayHost, state: str, delay: int) -> Routine:
        """A coroutine: changes a host's state after `delay` + `self.delay` ns, and publishes it."""
        yield self.loop.sleep(delay + self.delay)
        host.state = state
        self.publish()


class GatewayHostLists(HostPublisher):
    """The lists of all gateways.

    A gateway's own list is late, or not updated at all, while a `list` line says so.
    """

    def __init__(self, context: ClusterContext, hosts: DayHosts) -> None:
        super().__init__(context, hosts)
        paths = [list_path(context.out, number) for number in range(context.day.gateways)]
        paths[0].parent.mkdir(exist_ok=True)
        self.lists = [GatewayList(path) for path in paths]
        self._delays: dict[int, int | None] = {}  # by gateway, ns; None: it is not updated
        self._publishing = False
        self._snapshots = 0

    def publish(self) -> None:
        """Writes all lists soon, and those that are late with the same content later."""
        if not self._publishing:
            self._publishing = True
            self.loop.spawn(self._publish())

    def publish_all_now(self) -> None:
        """Writes all lists at once, before the gateways start."""
        snapshot = self.take_snapshot()
        for number in range(len(self.lists)):
            self.write(number, snapshot)
        self.context.tap.flush()

    def run_fault(self, line: HostListFaultLine, gateways: Sequence[int]) -> Routine:
        """A coroutine: carries out a `list` line; when it ends, these lists are up to date at once."""
        yield self.loop.sleep(line.at)
        self._delays |= dict.fromkeys(gateways, line.back if line.kind is HostListFaultKind.LATE else None)
        self.context.tap.note("list", kind=line.kind, gateways=list(gateways), lasts=line.lasts)
        yield self.loop.sleep(line.lasts)
        for number in gateways:
            self._delays.pop(number, None)
        snapshot = self.take_snapshot()
        for place, number in enumerate(gateways):
            self.write(number, snapshot)
            if place % WRITES_PER_TURN == WRITES_PER_TURN - 1:
                yield self.loop.sleep(0)

    def take_snapshot(self) -> ListSnapshot:
        """Takes a snapshot of all hosts that have been started."""
        self._snapshots += 1
        started = [host for host in self.hosts.by_name.values() if host.process is not None]
        return ListSnapshot(self._snapshots, [_entry(host) for host in started])

    def write(self, number: int, snapshot: ListSnapshot) -> None:
        """Writes a gateway's file, whole and at once, unless it has a newer snapshot; notes what is new."""
        gateway_list = self.lists[number]
        previous = gateway_list.number
        if snapshot.number <= previous:
            return
        gateway_list.number = snapshot.number
        self._replace_file(gateway_list.path, previous, snapshot.number, self._text(number, snapshot))
        for host, state, _ in snapshot.entries:
            if gateway_list.states.get(host.name) != state:
                gateway_list.states[host.name] = state
                self.context.tap.note("told", gateway=number, host=host.name, state=str(state))

    def _publish(self) -> Routine:
        yield self.loop.sleep(GATHER_TIME)
        self._publishing = False
        snapshot = self.take_snapshot()
        for number in range(len(self.lists)):
            delay = self._delays.get(number, 0)
            if delay:
                self.loop.call_later(delay, self.write, number, snapshot)
            elif delay == 0:
                self.write(number, snapshot)
            if number % WRITES_PER_TURN == WRITES_PER_TURN - 1:
                yield self.loop.sleep(0)

    def _text(self, number: int, snapshot: ListSnapshot) -> str:
        lines = [
            f"{entry.line.before}{self.context.plan.host(number, entry.host)}{entry.line.after}\n"
            for entry in snapshot.entries
            if entry.line is not None
        ]
        return "".join(lines)

    @staticmethod
    def _replace_file(path: Path, previous: int, number: int, text: str) -> None:
        """Replaces a symbolic link by another one.

        When a file replaces a file, ext4 first writes it to the disk, which takes 40 ms on a busy one.
        """
        fresh, link = path.with_suffix(f".{number}"), path.with_suffix(".new")
        fresh.write_text(text)
        os.symlink(fresh.name, link)
        os.replace(link, path)
        if previous:
            path.with_suffix(f".{previous}").unlink()


def _entry(host: DayHost) -> ListEntry:
    if host.state == ListedState.ABSENT:
        return ListEntry(host, ListedState.GONE, None)
    before, _, after = host.list_line(ADDRESS_MARK).partition(ADDRESS_MARK)
    return ListEntry(host, host.state, SplitLine(before, after))
