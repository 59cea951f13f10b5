"""Types of the values in directives: durations, sizes, switches, names, addresses and start times."""

import datetime
from typing import Annotated

from pydantic import BeforeValidator, Field

from gaproute.loop.addresses import parse_address

NANOSECONDS_BY_UNIT = {
    "ns": 1,
    "us": 1_000,
    "ms": 1_000_000,
    "s": 1_000_000_000,
    "m": 60_000_000_000,
    "h": 3_600_000_000_000,
}
BYTES_BY_UNIT = {"": 1, "k": 1 << 10, "m": 1 << 20, "g": 1 << 30}
DURATION_LIMIT_NS = 1 << 62
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$"


def _parse_duration(value: object) -> object:
    """Converts a number with its unit to ns; a value that is not text is returned unchanged."""
    if not isinstance(value, str):
        return value
    number = value.rstrip("abcdefghijklmnopqrstuvwxyz")
    unit = value[len(number) :]
    try:
        duration = float(number) * NANOSECONDS_BY_UNIT[unit]
    except (ValueError, KeyError):
        raise ValueError(
            f"{value!r} is not a duration: expected a number with ms, s, m or h, such as 250ms"
        ) from None
    if not 0 <= duration < DURATION_LIMIT_NS:
        raise ValueError(f"{value!r} is out of range: expected 0 or more and less than 2**62 ns")
    return round(duration)


def _parse_size(value: object) -> object:
    """Converts a number with its unit to bytes; a value that is not text is returned unchanged."""
    if not isinstance(value, str):
        return value
    number = value.rstrip("kmg")
    unit = value[len(number) :]
    if not number.isdigit() or unit not in BYTES_BY_UNIT:
        raise ValueError(f"{value!r} is not a size: expected a whole number with k, m or g, such as 16m")
    return int(number) * BYTES_BY_UNIT[unit]


def _parse_yes_or_no(value: object) -> bool:
    if value in ("yes", "no"):
        return value == "yes"
    if isinstance(value, bool):
        return value
    raise ValueError(f"{value!r} is neither yes nor no")


def split_commas(value: object) -> object:
    """Splits text at commas; a value that is not text is returned unchanged."""
    return tuple(value.split(",")) if isinstance(value, str) else value


def _check_address(value: str) -> str:
    parse_address(value)
    return value


def _parse_start_time(value: str) -> int:
    """Converts seconds since 1970, or an ISO 8601 time with its UTC offset, to ns since 1970."""
    try:
        return round(float(value) * 1e9)
    except ValueError:
        pass  # the value may be an ISO 8601 time
    try:
        time = datetime.datetime.fromisoformat(value)
    except ValueError:
        raise ValueError(
            f"{value!r} is not a time: expected 2026-12-01T18:00:00Z or seconds since 1970"
        ) from None
    if time.tzinfo is None:
        raise ValueError(f"{value!r} has no UTC offset, such as Z")
    return round(time.timestamp() * 1e9)


Duration = Annotated[int, BeforeValidator(_parse_duration)]  # ns
Size = Annotated[int, BeforeValidator(_parse_size)]  # bytes
YesNo = Annotated[bool, BeforeValidator(_parse_yes_or_no)]
Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Address = Annotated[str, BeforeValidator(_check_address)]
StartTime = Annotated[int, BeforeValidator(_parse_start_time)]  # ns since 1970
