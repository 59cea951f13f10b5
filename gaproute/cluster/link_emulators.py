"""Starts and commands the link emulators of a cluster, and reads what they report."""

from __future__ import annotations

import os
from collections.abc import Generator, Mapping

from gaproute.cluster.links.codec import decode_answer, encode_command
from gaproute.cluster.links.counts import LinkCounts
from gaproute.cluster.links.messages import (
    Answer,
    Command,
    CommandFailed,
    PlaceSlots,
    Ready,
    ReportCounts,
    StartEmulator,
)
from gaproute.cluster.links.slots import Slot
from gaproute.cluster.processes import ClusterProcesses
from gaproute.loop import Loop, Promise
from gaproute.loop.descriptors import HANGUP, READ
from gaproute.scenarios.errors import NotReadyError
from gaproute.scenarios.processes import DayProcess, Routine
from gaproute.units import MILLI, SECOND

MODULE = "gaproute.cluster.links"
REPORT_TIMEOUT = 5 * SECOND  # for an emulator's counts: one that takes longer ran late anyway
POLL_INTERVAL = 10 * MILLI  # between looks whether all have reported
READ_SIZE = 1 << 16  # bytes


class EmulatorAnswerReader:
    """Reads the answers of one emulator after its first line.

    `reports` has its counts; `errors` has commands that failed, which are errors of the harness.
    """

    def __init__(self, loop: Loop, process: DayProcess) -> None:
        self.loop = loop
        self.reports: list[LinkCounts] = []
        self.errors: list[str] = []
        if process.child.stdout is None:
            raise ValueError("reading a link emulator's answers: its output is not a pipe")
        self._fd = process.child.stdout.fileno()
        self._unread = b""
        loop.watch(self._fd, READ, self._ready)

    def _ready(self, events: int) -> None:
        data = os.read(self._fd, READ_SIZE) if events & (READ | HANGUP) else b""
        *lines, self._unread = (self._unread + data).split(b"\n")
        for line in lines:
            self._handle(decode_answer(line))
        if not data:
            self.loop.unwatch(self._fd)

    def _handle(self, answer: Answer) -> None:
        match answer:
            case CommandFailed(reason):
                self.errors.append(reason)
            case LinkCounts():
                self.reports.append(answer)
            case Ready():
                pass


class LinkEmulators:
    """Several processes behind the same ports; each command goes to all of them."""

    def __init__(self, loop: Loop, processes: ClusterProcesses, *, port: int, seed: int) -> None:
        self.loop, self.processes, self.port, self.seed = loop, processes, port, seed
        self.running: list[DayProcess] = []
        self._readers: list[EmulatorAnswerReader] = []

    def start(self, count: int, slots: Mapping[int, Slot]) -> Routine:
        """A coroutine: starts `count` emulators and waits until all serve. Errors: `NotReadyError`."""
        first = encode_command(StartEmulator(self.port, self.port, slots, self.seed))
        for place in range(count):
            self.running.append(self.processes.start([MODULE], first, f"wire-{place}.err"))
        for process in self.running:
            answer = decode_answer((yield self.processes.first_line(process, "a wire")))
            if not isinstance(answer, Ready):
                raise NotReadyError(f"a wire did not start: {answer}")
            self._readers.append(EmulatorAnswerReader(self.loop, process))

    @property
    def errors(self) -> list[str]:
        """The commands that could not be carried out."""
        return [error for reader in self._readers for error in reader.errors]

    def send(self, command: Command) -> None:
        """Sends a command to all emulators."""
        for process in self.running:
            process.send(encode_command(command))

    def place_slots(self, slots: Mapping[int, Slot]) -> None:
        """Sends slots that are new or have moved; does nothing in a cluster without emulated links."""
        if self.running:
            self.send(PlaceSlots(slots))

    def report(self) -> Generator[Promise, object, list[LinkCounts | None]]:
        """A coroutine: asks all for their counts; the result is None for one that does not answer in time."""
        before = [len(reader.reports) for reader in self._readers]
        self.send(ReportCounts())
        end = self.loop.now() + REPORT_TIMEOUT
        while self.loop.now() < end and not all(self._new_reports(before)):
            yield self.loop.sleep(POLL_INTERVAL)
        return [
            reader.reports[-1] if new else None
            for reader, new in zip(self._readers, self._new_reports(before), strict=True)
        ]

    def _new_reports(self, before: list[int]) -> list[bool]:
        return [len(reader.reports) > count for reader, count in zip(self._readers, before, strict=True)]
