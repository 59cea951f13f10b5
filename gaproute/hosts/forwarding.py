"""The header fields that mark a request that one gateway forwards to another.

`Gaproute-Forwarded: HOPS CELL` has the number of times that the request has been forwarded, this time
included, and the cell that its first gateway chose, percent-encoded. A malformed field is ignored, so the
request counts as sent by a client. More than `MAX_HOPS` hops count as `MAX_HOPS`, so that the request is not
forwarded again.

`Gaproute-Task` is the id that the first gateway gave the request. Each gateway passes it on, and hosts
recognize a repeat by it, also one that comes through another entry gateway.
"""

import re
from collections.abc import Mapping
from urllib.parse import quote, unquote

from gaproute.decisions.cells.bounds import MAX_NAME_LENGTH
from gaproute.decisions.cells.entries import MAX_HOPS, Forwarded

FORWARDED_HEADER = b"gaproute-forwarded"
ORIGIN_HEADER, ORIGIN_PATTERN = b"gaproute-task", re.compile(rb"[!-~]{1,256}")
MAX_FORWARDED_VALUE_BYTES = 3 + 12 * MAX_NAME_LENGTH  # a percent-encoded character takes at most 12 bytes
MAX_HOP_DIGITS = 2


def encode_forwarded(forwarded: Forwarded) -> tuple[bytes, bytes]:
    """Encodes the header field of a forwarded request."""
    return b"Gaproute-Forwarded", f"{forwarded.hops} {quote(forwarded.cell, safe='')}".encode()


def decode_forwarded(headers: Mapping[bytes, bytes]) -> Forwarded | None:
    """Decodes how a request was forwarded; None where the header field is missing or malformed."""
    value = headers.get(FORWARDED_HEADER)
    if value is None or len(value) > MAX_FORWARDED_VALUE_BYTES:
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
    """The id that the first gateway gave the request; "" where the field is missing or malformed."""
    value = headers.get(ORIGIN_HEADER, b"")
    return value.decode("ascii") if ORIGIN_PATTERN.fullmatch(value) else ""
