"""Violations of a stand-in's own invariants: then the stand-in is wrong, and nothing is judged by it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from gaproute.standins.tap import EventRecorder


class InvariantViolation(NamedTuple):
    """A check that failed, and what it found."""

    check: str  # the check's name
    text: str


def note_violations(tap: EventRecorder, violations: Iterable[InvariantViolation]) -> None:
    """Notes each violation on the tap, as an event `breach`."""
    for violation in violations:
        tap.note("breach", check=violation.check, text=violation.text)
