"""The processes of a harness: none of them outlives the harness, even if that is killed."""

from __future__ import annotations

import shutil
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import NamedTuple

from gaproute.cluster.priorities import GATEWAY_NICENESS, raise_priority
from gaproute.loop import Loop, Promise
from gaproute.scenarios.processes import DayProcess, DayProcesses
from gaproute.units import MILLI

CHILD_MODULE = "gaproute.cluster.child"


class ClockSkew(NamedTuple):
    """A clock that is wrong: `rate` seconds in a true one, `offset` ns ahead at the start."""

    rate: float = 1.0
    offset: int = 0


TRUE_CLOCK = ClockSkew()


class ClusterProcesses(DayProcesses):
    """All processes of one play, each under `gaproute.cluster.child`."""

    # As a service manager starts them. Linux shares cores among sessions first: in one, 200 gateways would
    # have as much as a single process of somebody else's.
    OWN_SESSION = True

    def __init__(self, loop: Loop, out: Path) -> None:
        super().__init__(loop, out)
        # Whether the harness's own have a real-time priority. What they start must be able to give that up as
        # it starts.
        self.real_time = shutil.which("chrt") is not None and raise_priority(0)

    def command(
        self,
        arguments: Sequence[str],
        clock: ClockSkew = TRUE_CLOCK,
        environment: Mapping[str, str] | None = None,
    ) -> list[str]:
        """The command that runs a module with its arguments. `environment`: variables to add."""
        prefix = self._scheduling(arguments)
        if environment:
            prefix = ["env", *(f"{name}={value}" for name, value in environment.items()), *prefix]
        options = [f"--rate={clock.rate:g}"] * (clock.rate != 1)
        options += [f"--offset-ms={clock.offset / MILLI:g}"] * (clock.offset != 0)
        return [*prefix, sys.executable, "-m", CHILD_MODULE, "--parent-death", *options, "--", *arguments]

    def _scheduling(self, arguments: Sequence[str]) -> list[str]:
        """The command in front of a command that gives a real-time priority up, or makes it nice.

        A new process has its parent's real-time priority until it runs this, as the parent waits for that.
        """
        if self.real_time and "clients" not in arguments:
            return ["chrt", "-o", "0"]
        if not self.real_time and "serve" in arguments:
            return ["nice", "-n", str(GATEWAY_NICENESS)]
        return []

    def first_line(self, process: DayProcess, name: str = "a stand-in") -> Promise:
        """As in the base class; the process gets a real-time priority when it is ready."""
        promise: Promise = super().first_line(process, name)
        promise.then(lambda promise: self.real_time and raise_priority(process.child.pid))
        return promise
