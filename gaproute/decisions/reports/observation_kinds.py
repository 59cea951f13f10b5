"""Facts: what one gateway saw of a subject, and which are refused."""

from typing import NamedTuple

SECOND = 1_000_000_000

OLDEST = 300 * SECOND  # facts older than this are refused: no copy is kept so long, no clock is so right


class SharedObservation(NamedTuple):
    at: int  # observed, by this gateway's clock, ns
    origin: str  # who observed it
    hops: int
    value: tuple


def _warm(lanes, started):
    return None if 1 <= lanes <= 1024 and started >= 0 else "lanes" if started >= 0 else "start"


def _listed(state, started):
    return "state" if state not in ("active", "draining", "gone") else "start" if started < 0 else None


def _time(took):
    return None if 0 < took <= OLDEST else "time"


def _part(part):
    return None if 0 < part <= 1 else "share"


# kind: (names in its subject, what is wrong with a value or None)
KINDS = {
    "warm": (2, _warm),  # (lanes, start of the worker's life by the giver's list as below)
    "listed": (1, _listed),  # (state by the giver's list, start)
    "doubt": (2, _part),  # (weight of the last bad result, 0 to 1)
    "pace": (1, lambda slow: None if 1 <= slow < float("inf") else "pace"),  # (times slower than usual)
    "usual": (1, _time),  # (answer time where a copy stands, ns)
    "load": (0, _time),  # (answer time where a load is waited for, ns)
    "share": (1, _part),  # (of the giver's last tasks)
}
