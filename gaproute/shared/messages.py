"""The base class of the messages and records that gateways exchange or store, and the limits of their fields.

A decoder rejects values outside these limits, so that no peer can make a gateway store too much.
"""

from typing import Annotated

from msgspec import Meta, Struct

MAX_COUNT = 1 << 48  # largest valid term, index or incarnation; no correct term or index comes near it
MAX_NAME_LENGTH = 128  # characters of a name

Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
Name = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]


class Message(Struct, frozen=True, forbid_unknown_fields=True, array_like=True):
    """An immutable value, compared by value and encoded as an array; a decoder rejects unknown fields."""
