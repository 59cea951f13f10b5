"""The bytes of a weak word, little-endian, strict: what is not wholly one is none.

    word:  version u8 (1), incarnation u64, pages u8, then each page
    page:  kind u8, slot u8, counter u32, age u16 (10 ms), rest u8 (scale), entries u16
    entry: tasks in hand, room: host u32, figure u8 (scale)
           demand: function u32, track u8, rate u8 (scale of hundredths), spread u16 (hundredths of the rate)
           warm: host u32, function u32, age u16 (10 ms)

The scale: code c stands for 2^(c/12) - 1; rates and their rest are told in hundredths, so that three a second
stays three.
"""

from bisect import bisect
from itertools import pairwise
from struct import Struct, error

from gaproute.shared.gossip.messages import (
    DEMAND,
    HANDS,
    KINDS,
    LIFE,
    MOST,
    ROOM,
    SCALE,
    SLOTS,
    WARM,
    EntrySet,
    GossipMessage,
)

VERSION = 1
TICK = 10_000_000  # ns of an age's unit: 655 s is the longest, twice what any page lives
FINE = 100  # rates are told in hundredths of a task a second
LONGEST = 1200  # bytes: fits an unfragmented datagram everywhere
HEAD, PAGE = Struct("<BQB"), Struct("<BBIHBH")
ENTRIES = {HANDS: Struct("<IB"), ROOM: Struct("<IB"), DEMAND: Struct("<IBBH"), WARM: Struct("<IIH")}
BETWEEN = [(low * high) ** 0.5 if low else high / 2 for low, high in pairwise(SCALE)]


def code(figure):
    """The step of the scale nearest to it."""
    return bisect(BETWEEN, figure)


def _ticks(age):
    return min(65535, -(-age // TICK))  # rounded up: ages only grow


def encode(word):
    """Bytes of a GossipMessage."""
    parts = [HEAD.pack(VERSION, word.incarnation, len(word.pages))]
    for page in word.pages:
        kind, pack = page.kind, ENTRIES[page.kind].pack
        rest = code(page.rest * FINE if kind == DEMAND else page.rest)
        parts.append(PAGE.pack(kind, page.slot, page.counter, _ticks(page.age), rest, len(page.entries)))
        if kind == DEMAND:
            parts += [
                pack(
                    function, track, code(rate * FINE), round(min(655.0, spread / rate) * FINE) if rate else 0
                )
                for function, track, rate, spread in page.entries
            ]
        elif kind == WARM:
            parts += [pack(host, function, _ticks(age)) for host, function, age in page.entries]
        else:
            parts += [pack(host, code(figure)) for host, figure in page.entries]
    return b"".join(parts)


def decode(data):
    """The GossipMessage, or None where it is none that is understood."""
    if len(data) > LONGEST:
        return None
    try:
        version, incarnation, count = HEAD.unpack_from(data)
        if version != VERSION or count > sum(SLOTS):
            return None
        at, pages = HEAD.size, []
        for _ in range(count):
            kind, slot, counter, age, rest, entries = PAGE.unpack_from(data, at)
            at += PAGE.size
            if kind >= len(KINDS) or entries > MOST[kind]:
                return None
            end = at + entries * ENTRIES[kind].size
            if end > len(data):
                return None
            pages.append(
                EntrySet(
                    kind,
                    slot,
                    counter,
                    age * TICK,
                    SCALE[rest] / (FINE if kind == DEMAND else 1),
                    _entries(kind, data[at:end]),
                )
            )
            at = end
    except error:
        return None
    return GossipMessage(incarnation, tuple(pages)) if at == len(data) else None


def _entries(kind, data):
    found = ENTRIES[kind].iter_unpack(data)
    if kind == DEMAND:
        return tuple(
            [
                (function, track, SCALE[rate] / FINE, SCALE[rate] / FINE * spread / FINE)
                for function, track, rate, spread in found
            ]
        )
    if kind == WARM:
        return tuple([(host, function, min(age * TICK, LIFE[WARM])) for host, function, age in found])
    return tuple([(host, SCALE[figure]) for host, figure in found])
