"""Encoding of observations as rows of the store, without I/O; each row has a checksum and two times.

The first time is of the monotonic clock, with the identifier of the boot that this clock belongs to. The
second is of the wall clock, and it is used only after another boot. So setting the wall clock makes no
observation of the same boot appear younger.
"""

from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import xxhash

from gaproute.errors import GaprouteError

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
UNKNOWN_BOOT = ""  # never the same boot as any other, so that the wall clock is used
SIGNED_OFFSET = 1 << 63  # maps unsigned checksums to SQLite's signed integers

Subject = tuple[Any, ...]  # (kind, name, ...), see decisions/reports/observation_kinds.py
Value = tuple[Any, ...]


class TornRowError(GaprouteError):
    """The content of a row differs from what was written."""


class StoredRow(NamedTuple):
    """The columns of a row, in their order in the table."""

    subject: bytes
    data: bytes
    checksum: int
    written_at: int  # ns since 1970; rows are ordered and deleted by this column


class Observation(NamedTuple):
    """An observation of one subject; its age is negative if its time is in the future."""

    subject: Subject
    value: Value
    age: int  # ns


class ClockReadings(NamedTuple):
    """The times of both clocks at one moment."""

    monotonic: int  # ns
    wall: int  # ns since 1970
    boot: str  # identifier of the boot that the monotonic clock belongs to


class _RowData(msgspec.Struct, array_like=True):
    at: int  # ns, of the monotonic clock of `boot`
    wall: int  # ns since 1970
    boot: str
    value: Value


def boot_id() -> str:
    """Return the identifier of this boot of the machine, or UNKNOWN_BOOT if the kernel has none."""
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return UNKNOWN_BOOT


def encode_row(subject: Subject, value: Value, at: int, clocks: ClockReadings, written_at: int) -> StoredRow:
    """Return the row of an observation that was made at `at` (ns, monotonic clock)."""
    key = msgspec.msgpack.encode(subject)
    data = msgspec.msgpack.encode(_RowData(at, clocks.wall - (clocks.monotonic - at), clocks.boot, value))
    return StoredRow(key, data, _checksum(key, data), written_at)


def decode_row(subject: bytes, data: bytes, checksum: int, clocks: ClockReadings) -> Observation:
    """Return the observation in a row, with its age at `clocks`. Errors: TornRowError."""
    try:
        if checksum != _checksum(subject, data):
            raise TornRowError("the checksum of the row differs")
        name = msgspec.msgpack.decode(subject, type=tuple)
        row = msgspec.msgpack.decode(data, type=_RowData)
    except (ValueError, TypeError, msgspec.DecodeError) as error:
        raise TornRowError(str(error)) from error
    same_boot = clocks.boot != UNKNOWN_BOOT and row.boot == clocks.boot
    age = clocks.monotonic - row.at if same_boot else clocks.wall - row.wall
    return Observation(name, row.value, age)


def _checksum(subject: bytes, data: bytes) -> int:
    return xxhash.xxh3_64_intdigest(subject + data) - SIGNED_OFFSET
