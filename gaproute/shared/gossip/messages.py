"""What is told: pages of facts that one gateway saw itself, each with a version and an age.

A page is told and replaced whole. Names travel as 32-bit keys: among 1,000 names two are alike once in 8,000
fleets, and what is told only advises. Figures travel as one byte on a scale of twelfths of an octave.
"""

from typing import NamedTuple

from xxhash import xxh32_intdigest

SECOND = 1_000_000_000

HANDS, ROOM, DEMAND, WARM = range(4)
KINDS = ("hands", "room", "demand", "warm")
SLOTS = (1, 1, 1, 8)  # pages of a kind that one gateway tells: copies are dealt out by function
MOST = (64, 64, 24, 32)  # entries of a page: the greatest, or those seen last
ENTRY = (5, 5, 8, 10)  # bytes of an entry
PAGE, HEAD = 11, 10  # bytes of a page and of a word beside that
AROUND = 60  # bytes around a word: IP and UDP, the sender's name, the fields' marks
LIFE = (15 * SECOND, 20 * SECOND, 120 * SECOND, 300 * SECOND)  # older facts count for nothing: tasks in
#                                  hand end within seconds, demand holds for minutes, idle copies as long
HOP = 5_000_000  # ns that a word travels, as nobody's clock tells
HIGHEST = 1 << 48  # incarnations above it are refused
COUNTERS = 1 << 32
TRACKS = 256
OCTAVE = 12  # steps: a figure is told within 3%
SCALE = tuple(2 ** (code / OCTAVE) - 1 for code in range(256))  # up to 2.4 million


class EntrySet(NamedTuple):
    """`entries`: (host, figure) of tasks in hand or lanes of room, (function, track, rate, spread) of demand,
    both a second, (host, function, age) of warm copies. `rest`: the sum of the figures left out."""

    kind: int
    slot: int
    counter: int
    age: int
    rest: float
    entries: tuple


class GossipMessage(NamedTuple):
    """What its sender tells as seen by itself; it tells nothing of others."""

    incarnation: int
    pages: tuple


def key(name):
    return xxh32_intdigest(name.encode("utf-8", "backslashreplace"))


def size(word):
    """Bytes on the wire, with the headers below it."""
    return AROUND + HEAD + sum(PAGE + ENTRY[page.kind] * len(page.entries) for page in word.pages)


def sound(page):
    """Whether a page can be true at all; `absurd` or `large` or `old` where it cannot, else an empty text."""
    kind = page.kind
    if not (0 <= kind < len(KINDS) and 0 <= page.slot < SLOTS[kind] and 0 <= page.counter < COUNTERS):
        return "absurd"
    if len(page.entries) > MOST[kind]:
        return "large"
    if page.age > LIFE[kind]:
        return "old"
    if page.age < 0 or not 0 <= page.rest <= SCALE[-1]:
        return "absurd"
    for entry in page.entries:
        # NaN fails every comparison. A copy's age stands where the others have a figure.
        if (
            not all(0 <= figure <= SCALE[-1] for figure in (entry[2:] if kind == DEMAND else entry[1:]))
            and kind != WARM
            or kind == WARM
            and not 0 <= entry[2] <= LIFE[WARM]
        ):
            return "absurd"
    return ""
