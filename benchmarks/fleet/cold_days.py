"""Days on which hosts warm up, by a seed: how many hosts and gateways, what happens to them, the load."""

from __future__ import annotations

from random import Random
from typing import Literal, NamedTuple, get_args

Kind = Literal["one", "join", "all", "zone", "most", "twice", "row"]
SeededKind = Literal["one", "join", "all", "zone"]
Gain = Literal["step", "even", "unlike"]
SeededGain = Literal["step", "even"]

KINDS: tuple[Kind, ...] = get_args(SeededKind)
MORE_KINDS: tuple[Kind, ...] = ("most", "twice", "row")
GAINS: tuple[SeededGain, ...] = get_args(SeededGain)
GATEWAYS = (3, 20, 30, 200)
HOSTS = (12, 16, 20, 24, 32, 40, 88)
SHARES = (0.17, 0.25)
PACE = 12.0  # requests of mean work a second that a warm host of size 1 does


class ColdDay(NamedTuple):
    """A day. `kind` says which hosts warm up, `gain` how soon each gets its strength.

    Kinds: `one` new host; six in ten replaced in turn (`join`) or all (`row`); `all` back at once, or but one
    in sixteen (`most`); six in ten back twice (`twice`); a `zone` back. Gains: nothing until the end
    (`step`), evenly (`even`), or some hosts soon and others not (`unlike`).
    """

    kind: Kind
    gateways: int
    hosts: int
    busy: float  # of the warm hosts' pace
    share: float  # of its strength that a warming host has at least
    gain: Gain
    uneven: bool  # some gateways have ten times or a thirtieth of the usual traffic
    idle: bool  # a minute without traffic comes before
    restart: bool  # seven in ten gateways restart
    late: bool  # lists come up to 4 s late
    pace: float = PACE
    sizes: tuple[float, ...] = (1.0,)  # dealt out to the hosts
    sizes_listed: bool = True  # by the list
    rolling_restart: bool = False  # a tenth of the gateways restarts each 0.4 s from the begin on
    clients_retry: bool = False  # clients retry what was rejected and what a killed gateway had in flight
    surge: bool = False  # little traffic, then a burst
    stall: bool = False  # no answer comes in for a while
    probes: bool = False  # probes and load orders are allowed, and count at the hosts
    free_probes: bool = False
    heavy_functions: bool = False  # the work of a request depends on its function, not on chance


def day(seed: int, gain: Gain | None = None, kind: Kind | None = None) -> ColdDay:
    """The day of a seed; `gain` and `kind` take the place of the seed's."""
    random = Random(seed)
    return ColdDay(
        kind=kind or KINDS[seed % len(KINDS)],
        gateways=GATEWAYS[seed // len(KINDS) % len(GATEWAYS)],
        hosts=random.choice(HOSTS),
        busy=random.uniform(0.3, 0.6),
        share=random.choice(SHARES),
        gain=gain or _draw_gain(random),
        uneven=random.random() < 0.6,
        idle=random.random() < 0.25,
        restart=random.random() < 0.3,
        late=random.random() < 0.3,
    )


def _draw_gain(random: Random) -> Gain:
    return random.choice(GAINS)
