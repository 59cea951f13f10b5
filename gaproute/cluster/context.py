"""What all parts of a harness share: the script, the folder, the loop, the addresses."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from gaproute.cluster.address_plan import AddressPlan
from gaproute.cluster.script import ClusterScript
from gaproute.cluster.script_lines import (
    ClusterLine,
    HostListFaultLine,
    LeaseClientsLine,
    LinkFaultLine,
    ProcessFaultLine,
)
from gaproute.config.parsing import Directive
from gaproute.loop import Loop
from gaproute.scenarios.script_lines import DayFaultLine, DayLine
from gaproute.standins.tap import Tap

# What a line's chance is seeded with beside its number: an unchanged name here keeps the plays of a seed.
SEED_NAMES: dict[type[Directive], str] = {
    LinkFaultLine: "FaultLine",
    ProcessFaultLine: "StrikeLine",
    HostListFaultLine: "ListLine",
    LeaseClientsLine: "CrewsLine",
    DayFaultLine: "TroubleLine",
}


@dataclass(frozen=True)
class ClusterContext:
    """One played day: its script and seed, its folder `out`, the tap `run.tap`, the loop, the addresses.

    `report(text)` prints progress for a person.
    """

    loop: Loop
    tap: Tap
    script: ClusterScript
    seed: int
    out: Path
    plan: AddressPlan
    report: Callable[[str], object]

    @property
    def day(self) -> DayLine:
        """The script's `day` line."""
        return self.script.day

    @property
    def settings(self) -> ClusterLine:
        """The script's `cluster` line."""
        return self.script.settings

    def line_random(self, line: Directive, part: str = "") -> random.Random:
        """The random generator of one line: what it draws does not depend on what other lines drew before."""
        return random.Random(f"{self.seed} {SEED_NAMES[type(line)]} {line.line}{part}")
