"""Which system call fails, and how: by a script, or by seeded chance, with a log that can be played again.

A test double of the operating system asks its `FaultPlan` before each call that it makes. The plan
numbers the calls of each name from 1, asks its source for a fault, and logs what it injected. The log is a
script: `Script(plan.log)` injects the same faults at the same calls.
"""

from __future__ import annotations

import errno
import random
import sys
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Protocol

PACKAGE = __name__.rpartition(".")[0]  # its frames are left out when a call's site is looked for


@dataclass(frozen=True, slots=True)
class Fault:
    """What goes wrong in one system call. Further kinds are subclasses."""


@dataclass(frozen=True, slots=True)
class Failure(Fault):
    """The call fails with this errno and has no effect."""

    errno: int

    def __str__(self) -> str:
        return errno.errorcode.get(self.errno, str(self.errno))


@dataclass(frozen=True, slots=True)
class ShortTransfer(Fault):
    """A read or write moves at most `limit` bytes."""

    limit: int

    def __str__(self) -> str:
        return f"at most {self.limit} bytes"


@dataclass(frozen=True, slots=True)
class ClockStep(Fault):
    """The wall clock is stepped by `span` ns from this reading on; the monotonic clock is not."""

    span: int

    def __str__(self) -> str:
        return f"stepped by {self.span / 1e9:+g} s"


@dataclass(frozen=True, slots=True)
class ScriptedFault:
    """One line of a script: the `occurrence`th call of that name, counted from 1, has this fault."""

    call: str
    occurrence: int
    fault: Fault


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """One line of a plan's log. `site`: the file, line and function that made the call."""

    call: str
    occurrence: int
    fault: Fault
    site: str

    def __str__(self) -> str:
        return f"{self.call} #{self.occurrence}: {self.fault} at {self.site}"


class FaultSource(Protocol):
    """Decides for each call whether it has a fault."""

    def fault(self, call: str, occurrence: int) -> Fault | None:
        """The fault of the `occurrence`th call of that name, or None if it has none."""


class Script:
    """Faults at chosen calls, such as "the 3rd accept fails with EMFILE"."""

    def __init__(self, lines: Iterable[ScriptedFault | InjectedFault]) -> None:
        self._faults = {(line.call, line.occurrence): line.fault for line in lines}

    @classmethod
    def of(cls, *lines: tuple[str, int, Fault]) -> Script:
        """A script of lines that are given as (call, occurrence, fault)."""
        return cls(ScriptedFault(*line) for line in lines)

    def fault(self, call: str, occurrence: int) -> Fault | None:
        """See `FaultSource`."""
        return self._faults.get((call, occurrence))


class Periodic:
    """The last `burst` of each `every` calls of one name have the same fault; other calls have none."""

    def __init__(self, call: str, fault: Fault, every: int, burst: int = 1) -> None:
        self._call, self._fault = call, fault
        self._every, self._burst = every, burst

    def fault(self, call: str, occurrence: int) -> Fault | None:
        """See `FaultSource`."""
        in_burst = (occurrence - 1) % self._every >= self._every - self._burst
        return self._fault if call == self._call and in_burst else None


class RandomFaults:
    """Each call has a fault with a probability of one in `odds`, drawn from the faults of its name.

    Every name draws from a generator of its own, seeded by (seed, name), so that what one call draws does not
    depend on how often others are made. `odds_of`: the odds of names that have other ones.
    """

    def __init__(
        self,
        seed: int,
        odds: int,
        faults: Mapping[str, Sequence[Fault]],
        *,
        odds_of: Mapping[str, int] | None = None,
    ) -> None:
        if odds < 1 or any(each < 1 for each in (odds_of or {}).values()):
            raise ValueError("odds are one in 1 or more")
        self.seed = seed
        self._odds, self._faults, self._odds_of = odds, faults, dict(odds_of or {})
        self._generators: dict[str, random.Random] = {}

    def fault(self, call: str, occurrence: int) -> Fault | None:
        """See `FaultSource`."""
        faults = self._faults.get(call)
        if not faults:
            return None
        generator = self._generators.get(call)
        if generator is None:
            generator = self._generators[call] = random.Random(f"{self.seed}/{call}")
        if generator.randrange(self._odds_of.get(call, self._odds)):
            return None
        return generator.choice(faults)


class FaultPlan:
    """Numbers the calls of each name, asks the source about each, and logs the faults that it injects.

    While it is paused, calls are neither numbered nor failed, so that what a test does to set up and to clean
    up does not shift the faults of what it tests.
    """

    def __init__(self, source: FaultSource) -> None:
        self.log: list[InjectedFault] = []
        self.occurrences: Counter[str] = Counter()
        self.paused = False
        self._source = source

    def inject(self, call: str) -> Fault | None:
        """The fault that the call about to be made must have, or None."""
        if self.paused:
            return None
        self.occurrences[call] += 1
        fault = self._source.fault(call, self.occurrences[call])
        if fault is not None:
            self.log.append(InjectedFault(call, self.occurrences[call], fault, _call_site()))
        return fault

    @contextmanager
    def pause(self) -> Iterator[None]:
        """Pauses the plan inside this block."""
        was_paused, self.paused = self.paused, True
        try:
            yield
        finally:
            self.paused = was_paused

    def report(self) -> str:
        """The log as text, one line for each fault."""
        return "\n".join(str(line) for line in self.log)


def _call_site() -> str:
    """The innermost frame outside this package, as `file:line function`."""
    frame = sys._getframe(1)
    while frame.f_back is not None and frame.f_globals.get("__name__", "").startswith(PACKAGE):
        frame = frame.f_back
    code = frame.f_code
    folder, _, name = code.co_filename.rpartition("/")
    return f"{folder.rpartition('/')[2]}/{name}:{frame.f_lineno} {code.co_name}"
