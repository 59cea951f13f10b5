"""The moment at which a test kills the process that uses a faulty disk."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class ProcessKilled(BaseException):
    """The process was killed at a call. Not an Exception, so that no `except Exception` goes on after it."""


class Moment(Enum):
    """When the kill comes, relative to the effect of the call."""

    BEFORE = "before"
    WITHIN = "within"  # a part of a write has been done; other calls are atomic and have not begun
    AFTER = "after"


@dataclass(frozen=True, slots=True)
class KillPoint:
    """A kill at the `call`th call of any name, counted from 1."""

    call: int
    moment: Moment
