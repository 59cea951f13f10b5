"""When a test ends the process that uses a faulty disk."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class ProcessKilled(BaseException):
    """The process ended in the middle of a call. Not an Exception, so that no `except Exception` lives on."""


class Moment(Enum):
    """When the kill comes, seen from the call's effect."""

    BEFORE = "before"
    WITHIN = "within"  # of a write a part was done; any other call is whole or not begun
    AFTER = "after"


@dataclass(frozen=True, slots=True)
class KillPoint:
    """A kill at the `call`th call of any name, counted from 1."""

    call: int
    moment: Moment
