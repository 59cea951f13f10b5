"""The processes of hollow gateways in a rung on loopback, which take orders as lines of JSON."""

from __future__ import annotations

import json
import subprocess
from collections import Counter
from collections.abc import Mapping
from typing import Any, NamedTuple

Process = subprocess.Popen[bytes]
Answer = dict[str, Any]


class GatewayRange(NamedTuple):
    """The hollow gateways of one process."""

    first: int
    size: int


class HollowProcesses:
    """The hollow gateways `numbers`, at most `each` of them in a process."""

    def __init__(self, numbers: range, each: int) -> None:
        self.ranges = [
            GatewayRange(first, min(each, numbers.stop - first))
            for first in range(numbers.start, numbers.stop, each)
        ]
        self._last_number = numbers.stop - 1
        self._processes: dict[int, Process] = {}  # by the number of their first gateway
        self._lateness = 0  # ns, the greatest of all snapshots
        self._killed = ""

    def add(self, first: int, process: Process) -> None:
        """A process was started for the range that begins with this number."""
        self._processes[first] = process

    def processes(self) -> list[Process]:
        """All that were started."""
        return list(self._processes.values())

    def kill_last(self) -> str:
        """End the last hollow gateway without notifying others; its name."""
        self._killed = f"g{self._last_number}"
        self._order(self._process_of(self._last_number), {"kill": self._killed})
        return self._killed

    def start_killed(self) -> str:
        """Start the hollow gateway that was ended, empty; its name."""
        self._order(self._process_of(self._last_number), {"start": self._killed})
        return self._killed

    def snapshots(self) -> list[Answer]:
        """What each process reports of itself now."""
        answers = self._ask({"snapshot": True})
        self._lateness = max(self._lateness, *(answer["late_ns"] for answer in answers))
        return answers

    def take_lateness(self) -> int:
        """The greatest lateness of the snapshots since the last call, ns."""
        lateness, self._lateness = self._lateness, 0
        return lateness

    def totals(self) -> dict[str, int]:
        """Sums over all hollow gateways, and how many are up by the one that knows fewest."""
        totals: Counter[str] = Counter()
        answers = self.snapshots()
        for answer in answers:
            totals["gateways"] += answer["gateways"]
            for name, value in answer["totals"].items():
                totals[name] += value
        return {**totals, "least_up": min(answer["least_up"] for answer in answers)}

    def last_noticed(self, name: str, state: str, since: float = 0.0) -> float | None:
        """When the last hollow gateway noticed the state after `since`; None until all others have."""
        answers, noticed, last = self._ask({"changes": name}), 0, 0.0
        for answer in answers:
            for member, new_state, _, gateways, _, at in answer["changes"]:
                if member == name and new_state == state and at > since:
                    noticed, last = noticed + gateways, max(last, at)
        others = sum(answer["gateways"] for answer in answers) - (state == "alive")
        return last if noticed >= others else None

    def _process_of(self, number: int) -> Process:
        """The process that runs this hollow gateway."""
        first = next(each.first for each in self.ranges if each.first <= number < each.first + each.size)
        return self._processes[first]

    def _ask(self, order: Mapping[str, Any]) -> list[Answer]:
        """The answers of all processes."""
        for process in self.processes():
            self._order(process, order)
        return [self._read_answer(process) for process in self.processes()]

    @staticmethod
    def _order(process: Process, order: Mapping[str, Any]) -> None:
        assert process.stdin is not None
        process.stdin.write(json.dumps(order).encode() + b"\n")
        process.stdin.flush()

    @staticmethod
    def _read_answer(process: Process) -> Answer:
        assert process.stdout is not None
        answer: Answer = json.loads(process.stdout.readline())
        return answer
