"""Faults as the script tells them, read and checked; whom they concern.

A fault lies on what travels from a seat of `from` to a seat of `to`, whoever opened the connection; with
`both` on the way back as well. `share` is the share of messages that it touches, 1 if not said.

| kind | datagrams | streams |
| --- | --- | --- |
| delay | `delay_ms` and up to `jitter_ms` later, in order | the same; order and bytes stay |
| delay with `bytes_per_s` | a queue of a second, beyond it lost | a queue, then the sender is held back |
| lose | lost | 200 ms late, twice that if lost again, and so on; all behind it wait |
| double | come twice | nothing: TCP hides it |
| reorder | come `delay_ms` (10 if not said) and up to `jitter_ms` late, overtaken by others | nothing |
| cut | lost | kept back, flow on when the cut ends; a new connection does not open |
| hold | kept, all at once when it ends | the same; a new connection waits for it |
| reset | nothing | those that stand when it begins are reset at both ends, once |

Where this is kinder than a network: what was kept back flows at once when a cut ends, TCP would try again
only after up to as long as the cut was; in a one-way cut the way back goes on, though its acknowledgements
are lost; a loss is drawn for each piece read (up to 64 KiB), not for each packet; a sender under
TCP_USER_TIMEOUT never learns of a cut, as the wire has acknowledged its bytes.
"""

from socket import AF_INET
from typing import NamedTuple

from gaproute.loop.addresses import address

MILLI = 1_000_000
KINDS = ("delay", "lose", "double", "reorder", "cut", "hold", "reset")
WHAT = ("streams", "datagrams", "all")
GROUPS = {"gateways": "gateway", "hosts": "host", "lists": "list"}  # words for all seats of a kind
OVERTAKEN = 10.0  # ms that a reordered message is late if not said: many others pass meanwhile
NUMBERS = {"share": 1.0, "delay_ms": 0.0, "jitter_ms": 0.0, "bytes_per_s": 0.0}
WORDS = {"kind", "from", "to", "both", "what", *NUMBERS}


class Slot(NamedTuple):
    """A process's end of the wire. `tcp`, `udp`: its own addresses as text, None where it has none: then
    it is like a dead machine. `refuses`: its process is down, its machine answers."""

    name: str
    kind: str = ""
    zone: str = ""
    tcp: str | None = None
    udp: str | None = None
    refuses: bool = False
    whose: bool = False  # told who calls in a first line, as the platform's stand-in hosts read it


class LinkFault(NamedTuple):
    """`sources`, `sinks`: numbers of seats; spans in ns; `pace` in bytes a second, 0 without a limit."""

    kind: str
    sources: frozenset
    sinks: frozenset
    both: bool
    streams: bool
    datagrams: bool
    share: float
    delay: int
    jitter: int
    pace: float

    def touches(self, a, b):
        """Whether it lies on what travels from seat `a` to seat `b`."""
        return a in self.sources and b in self.sinks or self.both and b in self.sources and a in self.sinks


def seat(told):
    """Errors: ValueError for what is no seat."""
    if not isinstance(told, dict) or not isinstance(told.get("name"), str):
        raise ValueError("a seat is an object with a name")
    places = [told.get(word) or None for word in ("tcp", "udp")]
    for place in places:
        if place is not None and (not isinstance(place, str) or address(place)[0] != AF_INET):
            raise ValueError(f"{place!r} is no IPv4 address and port")
    return Slot(
        told["name"],
        *(told.get(word) or "" for word in ("kind", "zone")),
        *places,
        bool(told.get("refuses")),
        bool(told.get("whose")),
    )


def fault(told, seats):
    """`told` as the script has it, over `seats` (number: Slot). Errors: ValueError, naming word and value."""
    if not isinstance(told, dict) or not set(told) <= WORDS:
        raise ValueError(f"a fault has the words {', '.join(sorted(WORDS))}")
    kind, what = told.get("kind"), told.get("what", "all")
    if kind not in KINDS or what not in WHAT:
        raise ValueError(f"no fault is called {kind!r} over {what!r}")
    numbers = {word: told.get(word, usual) for word, usual in NUMBERS.items()}
    for word, value in numbers.items():
        if type(value) not in (int, float) or not 0 <= value < 1e12:
            raise ValueError(f"{word} is a number from 0 on, not {value!r}")
    if numbers["share"] > 1:
        raise ValueError(f"share is at most 1, not {numbers['share']!r}")
    delay = numbers["delay_ms"] or (OVERTAKEN if kind == "reorder" else 0)
    return LinkFault(
        kind,
        members(told.get("from", ["*"]), seats),
        members(told.get("to", ["*"]), seats),
        bool(told.get("both")),
        what != "datagrams",
        what != "streams",
        float(numbers["share"]),
        int(delay * MILLI),
        int(numbers["jitter_ms"] * MILLI),
        float(numbers["bytes_per_s"]),
    )


def members(words, seats):
    """Numbers of the seats that any of `words` names. Errors: ValueError for a word that names nothing."""
    if not isinstance(words, list) or not all(isinstance(word, str) for word in words):
        raise ValueError("from and to are lists of words")
    found = set()
    for word in words:
        bare = word.removeprefix("not:")
        named = {number for number, one in seats.items() if _names(bare, one)}
        if not named and bare not in GROUPS and bare != "*":
            raise ValueError(f"{word!r} names no seat")  # a slip in the script would else be a calm day
        found |= named if bare == word else seats.keys() - named
    return frozenset(found)


def _names(word, one):
    if word.startswith("zone:"):
        return one.zone == word[5:]
    return word == "*" or word == one.name or word in GROUPS and one.kind == GROUPS[word]
