"""Addresses of links between process slots: 127.x.y.z, whose lower 24 bits are the two slot numbers.

A link needs neither a socket nor a table: a process that listens on all of 127/8 reads both slots from the
address that was called. The addresses of slots from 16 on are never in 127.0.x.x, where the processes listen.
"""

from __future__ import annotations

from typing import NamedTuple

from gaproute.errors import GaprouteError

SLOT_BITS = 12
MIN_SLOT, MAX_SLOT = 16, 4000  # below lies 127.0.x.x; 12 bits, clear of the broadcast 127.255.255.255
SLOT_MASK = (1 << SLOT_BITS) - 1
LOOPBACK_NET = 127


class LinkAddressError(GaprouteError, ValueError):
    """A number that is no process slot's, or an address that is not between two slots."""


class Link(NamedTuple):
    """The way from one process slot to another. In an address the source is the caller."""

    source: int
    destination: int

    @property
    def number(self) -> int:
        """The link as one number of 24 bits."""
        return self.source << SLOT_BITS | self.destination

    @property
    def reverse(self) -> Link:
        """The link in the opposite direction."""
        return Link(self.destination, self.source)


def link_address(caller: int, callee: int) -> str:
    """The address at which slot `caller` finds slot `callee`.

    The callee sees `link_address(callee, caller)` as its caller's address. Errors: `LinkAddressError` for a
    number that is no slot's.
    """
    for slot in (caller, callee):
        if not MIN_SLOT <= slot <= MAX_SLOT:
            raise LinkAddressError(f"no process slot has number {slot}: they are {MIN_SLOT} to {MAX_SLOT}")
    bits = Link(caller, callee).number
    return f"{LOOPBACK_NET}.{bits >> 16}.{bits >> 8 & 255}.{bits & 255}"


def link_of_address(text: str) -> Link:
    """The link that an IPv4 address names. Errors: `LinkAddressError` where it names none."""
    number = 0
    for part in text.split("."):
        number = number << 8 | int(part)
    return link_of_number(number)


def link_of_number(number: int) -> Link:
    """The link that an address names, given as the number of its four bytes. Errors: `LinkAddressError`."""
    link = Link(number >> SLOT_BITS & SLOT_MASK, number & SLOT_MASK)
    if number >> 24 != LOOPBACK_NET or not all(MIN_SLOT <= slot <= MAX_SLOT for slot in link):
        raise LinkAddressError(f"address {number:#010x} is not between two process slots")
    return link
