"""Values that several lines say: names, addresses, times of a start."""

import datetime
from typing import Annotated

from pydantic import BeforeValidator, Field

from gaproute.loop.streams import address

NAME = Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")


def _address(value):
    address(value)
    return value


def _started(value):
    """Seconds since 1970, or ISO 8601 with its offset, as ns since 1970."""
    try:
        return round(float(value) * 1e9)
    except ValueError:
        pass
    try:
        when = datetime.datetime.fromisoformat(value)
    except ValueError:
        raise ValueError(f"{value!r} is no time: 2026-12-01T18:00:00Z or seconds since 1970") from None
    if when.tzinfo is None:
        raise ValueError(f"{value!r} lacks its offset, such as Z")
    return round(when.timestamp() * 1e9)


Name = Annotated[str, NAME]
Address = Annotated[str, BeforeValidator(_address)]
Started = Annotated[int, BeforeValidator(_started)]
