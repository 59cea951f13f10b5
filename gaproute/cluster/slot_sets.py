"""Sets of seats as a script's words: `gateways`, `0.3:gateways/hall-1`, `zone:hall-0,mh07`, `*,not:g0`.

A set is words joined by commas: what any of them names, without what a `not:` word names (only `not:` words:
all others). A share before a word draws so much of what it names, at least one, from the script's seed.
"""

import re
from typing import NamedTuple

WORD = re.compile(
    r"(?P<no>not:)?(?:(?P<share>[0-9.]+):)?"
    r"(?P<what>\*|zone:[\w-]+|lists|(?:gateways|hosts)(?:/[\w-]+)?|g[0-9]+|mh[0-9]+)"
)
# lists: the ways of the change log, of the platform alone
KINDS = {"gateways": "gateway", "hosts": "host", "lists": "list"}


class SetTerm(NamedTuple):
    no: bool
    share: float
    what: str


def parse(text):
    """[SetTerm]. Errors: ValueError that names the word."""
    parts = []
    for word in text.split(","):
        found = WORD.fullmatch(word)
        try:
            share = float(found["share"] or 1)
        except (TypeError, ValueError):
            raise ValueError(
                f"{word!r} names no seats: gateways, hosts, gateways/ZONE, hosts/ZONE, "
                "zone:ZONE, g0, mh00 or *, with a share such as 0.3: or not: before"
            ) from None
        if not 0 < share <= 1:
            raise ValueError(f"{word!r}: a share is more than 0 and 1 at most")
        parts.append(SetTerm(bool(found["no"]), share, found["what"]))
    return parts


def unknown(parts, day):
    """What the parts name that a day of this size has not, as text."""
    for part in parts:
        zone = part.what.partition("zone:")[2] or part.what.partition("/")[2]
        if zone and zone not in {f"hall-{hall}" for hall in range(day.halls)}:
            yield f"no zone {zone!r}: they are hall-0 to hall-{day.halls - 1}"
        if re.fullmatch("g[0-9]+", part.what) and int(part.what[1:]) >= day.gateways:
            yield f"no gateway {part.what!r}: they are g0 to g{day.gateways - 1}"
        if re.fullmatch("mh[0-9]+", part.what) and int(part.what[2:]) >= day.hosts:
            yield f"no host {part.what!r} at the start: they are mh00 to mh{day.hosts - 1:02}"


def names(parts, seats, random):
    """The names in the order of `seats`: [(name, kind, zone)]. `random`: of the script's line, for shares."""

    def named(part):
        what, _, zone = part.what.partition("/")
        found = [
            name
            for name, kind, place in seats
            if part.what in ("*", name, f"zone:{place}") or KINDS.get(what) == kind and zone in ("", place)
        ]
        if part.share < 1 and found:
            found = random.sample(found, max(1, round(part.share * len(found))))
        return found

    wanted = {name for part in parts if not part.no for name in named(part)}
    if all(part.no for part in parts):
        wanted = {name for name, _, _ in seats}
    left = {name for part in parts if part.no for name in named(part)}
    return [name for name, _, _ in seats if name in wanted and name not in left]
