"""The header fields by which one gateway marks a call that it forwards to another.

`Gaproute-Forwarded: HOPS CELL` says how often the call has been forwarded, this time included, and the cell
that its first gateway chose, percent-encoded. What is malformed is ignored: the call is then a client's own.
More hops than a gateway may make count as the most, so that such a call is not forwarded again.

`Gaproute-Task` is the first gateway's id of the call, as hosts get it: an entry gateway passes it on to them,
so that they recognize a repeat that comes by another entry.
"""

import re
from collections.abc import Mapping
from urllib.parse import quote, unquote

from gaproute.decisions.cells.bounds import MAX_NAME_LENGTH
from gaproute.decisions.cells.entries import MAX_HOPS, Forwarded

HEADER = b"gaproute-forwarded"
ORIGIN_HEADER, ORIGIN_PATTERN = b"gaproute-task", re.compile(rb"[!-~]{1,256}")
MAX_HEADER_BYTES = 3 + 12 * MAX_NAME_LENGTH  # each character takes 12 at most when it is percent-encoded
MAX_HOP_DIGITS = 2


def encode(forwarded: Forwarded) -> tuple[bytes, bytes]:
    """The header field of a forwarded call."""
    return b"Gaproute-Forwarded", f"{forwarded.hops} {quote(forwarded.cell, safe='')}".encode()


def decode(headers: Mapping[bytes, bytes]) -> Forwarded | None:
    """How a call was forwarded, by its headers; None where it was not, or the field is malformed."""
    value = headers.get(HEADER)
    if value is None or len(value) > MAX_HEADER_BYTES:
        return None
    hops, _, cell = value.partition(b" ")
    if not hops.isdigit() or len(hops) > MAX_HOP_DIGITS or int(hops) < 1:
        return None
    try:
        name = unquote(cell.decode("ascii"), errors="strict")
    except UnicodeDecodeError:
        return None
    if not 0 < len(name) <= MAX_NAME_LENGTH or not name.isprintable():
        return None
    return Forwarded(name, min(int(hops), MAX_HOPS))


def decode_origin(headers: Mapping[bytes, bytes]) -> str:
    """The first gateway's id of a forwarded call; "" where the field is missing or malformed."""
    value = headers.get(ORIGIN_HEADER, b"")
    return value.decode("ascii") if ORIGIN_PATTERN.fullmatch(value) else ""
