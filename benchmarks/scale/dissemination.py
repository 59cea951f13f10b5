"""Plays of the dissemination on a simulated fleet: how soon all gateways hold a change, and what it costs.

Each play is fixed by the number of gateways and a seed. Bytes include headers, as counted by the simulated
network (`dissemination_fleet`).
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from functools import cache

from benchmarks.scale.dissemination_fleet import DisseminationFleet, DisseminationGateway
from benchmarks.scale.stub_document import change_from
from gaproute.decisions.cells.version import Version
from gaproute.errors import GaprouteError
from gaproute.shared.dissemination.messages import NO_VERSION
from gaproute.units import MILLI, SECOND

CHANGE_INTERVAL = 1_878 * MILLI  # 46,000 a day
WARM_CHANGES = 2  # of a play at that pace, which are not counted
LOAD_CHANGES = 6  # of it after these
REST_SECONDS = 10
LONGEST_PLAY = 600  # seconds, after which a play that has not come to its end is given up
STEP = 50 * MILLI
HOUR_CHANGES = 1_917  # at 46,000 a day
PUBLISHER = 0
NEWCOMER = 7
CUT_REGION = 2


class PlayError(GaprouteError, RuntimeError):
    """A play did not come to its end in time."""


@dataclass(frozen=True)
class Spread:
    """Milliseconds from a change until so many of all running gateways had it."""

    half: float
    most: float  # 99 of 100
    all: float


@dataclass(frozen=True)
class Traffic:
    """What one gateway sends a second, and what the busiest one sends and receives."""

    messages: float
    sent: float
    busiest: float


@dataclass(frozen=True)
class Recovery:
    """How gateways that were behind caught up.

    Seconds until all of them had the newest version, the bytes that each of them received, and the most bytes
    that any gateway sent and received within one second.
    """

    seconds: float
    received: float
    greatest_second: float


@cache
def spread(count: int, seed: int, *, loss: int = 0, slow: int = 0, killed: bool = False) -> Spread:
    """One change; `killed`: its source dies after one push. `loss` and `slow` in parts of a thousand."""
    fleet = DisseminationFleet(count, seed, loss, slow)
    source, start = fleet.gateways[PUBLISHER], fleet.now
    if killed:
        sends = source.disseminator.publish(fleet.now, change_from(Version(1, 1)))
        fleet.handle(source, sends[:1])
        source.alive = False
    else:
        fleet.publish(source)
    _play_until(fleet, lambda: _all_have(fleet.gateways, Version(1, 2)))
    times = sorted((gateway.taken_at - start) / MILLI for gateway in fleet.gateways if gateway.alive)
    return Spread(times[len(times) // 2], times[len(times) * 99 // 100], times[-1])


@cache
def load(count: int, seed: int, loss: int = 0) -> Traffic:
    """46,000 changes a day, once that pace has lasted a while."""
    fleet = DisseminationFleet(count, seed, loss)
    _publish_on(fleet, WARM_CHANGES)
    return _counted(fleet, lambda: _publish_on(fleet, LOAD_CHANGES))


@cache
def rest(count: int, seed: int) -> Traffic:
    """No changes at all."""
    fleet = DisseminationFleet(count, seed)
    return _counted(fleet, lambda: fleet.run(fleet.now + REST_SECONDS * SECOND))


@cache
def newcomer(count: int, seed: int, loss: int = 0) -> Recovery:
    """One gateway that holds nothing joins while changes come at the usual pace."""
    fleet = DisseminationFleet(count, seed, loss)
    fleet.gateways[NEWCOMER].document.version = NO_VERSION
    return _recovery(fleet, [fleet.gateways[NEWCOMER]])


@cache
def heal(count: int, seed: int, loss: int = 0) -> Recovery:
    """A region that was cut off for an hour is reached again, while changes come on.

    The hour itself is not played: those outside are set to have its changes.
    """
    fleet = DisseminationFleet(count, seed, loss)
    behind = [gateway for gateway in fleet.gateways if gateway.region == CUT_REGION]
    fleet.advance([gateway for gateway in fleet.gateways if gateway.region != CUT_REGION], HOUR_CHANGES)
    return _recovery(fleet, behind)


def _publish_on(fleet: DisseminationFleet, changes: int) -> None:
    """Publish so many changes at the usual pace."""
    for _ in range(changes):
        fleet.publish(fleet.gateways[PUBLISHER])
        fleet.run(fleet.now + CHANGE_INTERVAL)


def _counted(fleet: DisseminationFleet, act: Callable[[], None]) -> Traffic:
    """What is sent and received during `act()`."""
    traffic = fleet.traffic
    sent, received, messages = list(traffic.sent), list(traffic.received), sum(traffic.messages)
    start = fleet.now
    act()
    seconds, count = (fleet.now - start) / SECOND, len(fleet.gateways)
    both = [
        traffic.sent[place] - sent[place] + traffic.received[place] - received[place]
        for place in range(count)
    ]
    return Traffic(
        (sum(traffic.messages) - messages) / count / seconds,
        (sum(traffic.sent) - sum(sent)) / count / seconds,
        max(both) / seconds,
    )


def _recovery(fleet: DisseminationFleet, behind: Sequence[DisseminationGateway]) -> Recovery:
    """Play on with changes until those behind are as far as the publisher was one change ago."""
    start, publisher = fleet.now, fleet.gateways[PUBLISHER]
    received = _received(fleet, behind)
    while fleet.now - start < LONGEST_PLAY * SECOND:
        wanted = publisher.document.version
        fleet.publish(publisher)
        published = fleet.now
        while fleet.now - published < CHANGE_INTERVAL:
            fleet.run(min(fleet.now + STEP, published + CHANGE_INTERVAL))
            if _all_have(behind, wanted):
                each = (_received(fleet, behind) - received) / len(behind)
                return Recovery((fleet.now - start) / SECOND, each, fleet.traffic.greatest_second())
    raise PlayError(f"{len(behind)} gateways have not caught up after {LONGEST_PLAY} s")


def _received(fleet: DisseminationFleet, gateways: Iterable[DisseminationGateway]) -> int:
    """Bytes that these gateways together have received so far."""
    return sum(fleet.traffic.received[gateway.index] for gateway in gateways)


def _all_have(gateways: Iterable[DisseminationGateway], version: Version) -> bool:
    """Whether all of these that run have the version, or a newer one."""
    return all(gateway.document.version >= version for gateway in gateways if gateway.alive)


def _play_until(fleet: DisseminationFleet, done: Callable[[], bool]) -> None:
    start = fleet.now
    while not done():
        if fleet.now - start > LONGEST_PLAY * SECOND:
            raise PlayError(f"not done after {LONGEST_PLAY} s")
        fleet.run(fleet.now + STEP)
