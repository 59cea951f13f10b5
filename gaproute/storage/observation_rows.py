"""Encoding of observations as rows of the store, without I/O: each with a checksum and two clocks.

A row has its time by the monotonic clock together with the boot that this clock belongs to, and by the wall
clock for a read after the machine was booted again. So setting the wall clock makes no observation of the
same boot younger.
"""

from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import xxhash

from gaproute.errors import GaprouteError

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
UNKNOWN_BOOT = ""  # equal to no boot; then the wall clock is used
SIGNED_OFFSET = 1 << 63  # SQLite's integers are signed

Subject = tuple[Any, ...]  # (kind, name, ...), see decisions/reports/observation_kinds.py
Value = tuple[Any, ...]


class TornRowError(GaprouteError):
    """A row differs from what was written."""


class StoredRow(NamedTuple):
    """The columns of a row, in their order in the table."""

    subject: bytes
    data: bytes
    checksum: int
    written_at: int  # ns since 1970, by which rows are ordered and deleted


class Observation(NamedTuple):
    """What was read about one subject; a row with a time in the future has a negative age."""

    subject: Subject
    value: Value
    age: int  # ns


class ClockReadings(NamedTuple):
    """The clocks at one moment."""

    monotonic: int  # ns
    wall: int  # ns since 1970
    boot: str  # which the monotonic clock belongs to


class _RowData(msgspec.Struct, array_like=True):
    at: int  # by the monotonic clock of the boot, ns
    wall: int  # ns since 1970
    boot: str
    value: Value


def boot_id() -> str:
    """Return the identifier of this boot of the machine, UNKNOWN_BOOT where the kernel gives none."""
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return UNKNOWN_BOOT


def encode_row(subject: Subject, value: Value, at: int, clocks: ClockReadings, written_at: int) -> StoredRow:
    """Return the row of an observation made at `at` by the monotonic clock (ns)."""
    key = msgspec.msgpack.encode(subject)
    data = msgspec.msgpack.encode(_RowData(at, clocks.wall - (clocks.monotonic - at), clocks.boot, value))
    return StoredRow(key, data, _checksum(key, data), written_at)


def decode_row(subject: bytes, data: bytes, checksum: int, clocks: ClockReadings) -> Observation:
    """Return the observation of a row, its age by `clocks`. Errors: TornRowError."""
    try:
        if checksum != _checksum(subject, data):
            raise TornRowError("the checksum differs")
        name = msgspec.msgpack.decode(subject, type=tuple)
        row = msgspec.msgpack.decode(data, type=_RowData)
    except (ValueError, TypeError, msgspec.DecodeError) as error:
        raise TornRowError(str(error)) from error
    same_boot = clocks.boot != UNKNOWN_BOOT and row.boot == clocks.boot
    age = clocks.monotonic - row.at if same_boot else clocks.wall - row.wall
    return Observation(name, row.value, age)


def _checksum(subject: bytes, data: bytes) -> int:
    return xxhash.xxh3_64_intdigest(subject + data) - SIGNED_OFFSET
