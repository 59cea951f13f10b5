"""Plays of the dissemination on a simulated fleet: how soon all gateways hold a change, and what it costs.

Each play is fixed by the number of gateways and a seed. Bytes include headers, as counted by the simulated
network (`dissemination_fleet`).
"""

from dataclasses import dataclass
from functools import cache

from benchmarks.scale.dissemination_fleet import DisseminationFleet
from benchmarks.scale.stub_document import change_from
from gaproute.decisions.cells.version import Version
from gaproute.shared.dissemination.bounds import MILLISECOND, SECOND
from gaproute.shared.dissemination.messages import NOTHING

CHANGE_INTERVAL = 1_878 * MILLISECOND  # 46,000 a day
WARM_CHANGES = 2  # of a play at that pace, which are not counted
LOAD_CHANGES = 6  # of it after these
REST_SECONDS = 10
LONGEST_PLAY = 600  # seconds, after which a play that has not come to its end is given up
STEP = 50 * MILLISECOND
HOUR_CHANGES = 1_917  # at 46,000 a day
PUBLISHER = 0
NEWCOMER = 7
CUT_REGION = 2


class PlayError(RuntimeError):
    """A play did not come to its end."""


@dataclass(frozen=True)
class Spread:
    """Milliseconds from a change until so many of all living gateways held it."""

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
    """Seconds until all that were behind hold the newest version, bytes that each of them received, and the
    greatest bytes that any gateway sent and received within one second."""

    seconds: float
    received: float
    greatest_second: float


@cache
def spread(count: int, seed: int, loss: int = 0, slow: int = 0, killed: bool = False) -> Spread:
    """One change; `killed`: its source dies after one push. `loss` and `slow` in parts of a thousand."""
    net = DisseminationFleet(count, seed, loss, slow)
    source, start = net.nodes[PUBLISHER], net.now
    if killed:
        sends = source.disseminator.publish(net.now, change_from(Version(1, 1)))
        net.handle(source, sends[:1])
        source.alive = False
    else:
        net.publish(source)
    _play_until(net, lambda: _all_hold(net, net.nodes, Version(1, 2)))
    times = sorted((node.taken_at - start) / MILLISECOND for node in net.nodes if node.alive)
    return Spread(times[len(times) // 2], times[len(times) * 99 // 100], times[-1])


@cache
def load(count: int, seed: int, loss: int = 0) -> Traffic:
    """46,000 changes a day, once that pace has lasted a while."""
    net = DisseminationFleet(count, seed, loss)
    _publish_on(net, WARM_CHANGES)
    return _counted(net, lambda: _publish_on(net, LOAD_CHANGES))


@cache
def rest(count: int, seed: int) -> Traffic:
    """No changes at all."""
    net = DisseminationFleet(count, seed)
    return _counted(net, lambda: net.run(net.now + REST_SECONDS * SECOND))


@cache
def newcomer(count: int, seed: int, loss: int = 0) -> Recovery:
    """One gateway that holds nothing joins while changes come at the usual pace."""
    net = DisseminationFleet(count, seed, loss)
    net.nodes[NEWCOMER].disseminator.document.version = NOTHING
    return _recovery(net, [net.nodes[NEWCOMER]])


@cache
def heal(count: int, seed: int, loss: int = 0) -> Recovery:
    """A region that was cut off for an hour is reached again, while changes come on.

    The hour itself is not played: those outside are set to hold its changes.
    """
    net = DisseminationFleet(count, seed, loss)
    behind = [node for node in net.nodes if node.region == CUT_REGION]
    net.advance([node for node in net.nodes if node.region != CUT_REGION], HOUR_CHANGES)
    return _recovery(net, behind)


def _publish_on(net, changes):
    for _ in range(changes):
        net.publish(net.nodes[PUBLISHER])
        net.run(net.now + CHANGE_INTERVAL)


def _counted(net, act):
    """What is sent and received while it acts."""
    sent, received, messages = list(net.sent), list(net.received), sum(net.messages)
    start = net.now
    act()
    seconds, count = (net.now - start) / SECOND, len(net.nodes)
    both = [net.sent[place] - sent[place] + net.received[place] - received[place] for place in range(count)]
    return Traffic(
        (sum(net.messages) - messages) / count / seconds,
        (sum(net.sent) - sum(sent)) / count / seconds,
        max(both) / seconds,
    )


def _recovery(net, behind):
    """Play on with changes until those behind are as far as the publisher was one change ago."""
    start, publisher = net.now, net.nodes[PUBLISHER].disseminator
    received = sum(net.received[node.index] for node in behind)
    while net.now - start < LONGEST_PLAY * SECOND:
        wanted = publisher.document.version
        net.publish(net.nodes[PUBLISHER])
        published = net.now
        while net.now - published < CHANGE_INTERVAL:
            net.run(min(net.now + STEP, published + CHANGE_INTERVAL))
            if _all_hold(net, behind, wanted):
                received = sum(net.received[node.index] for node in behind) - received
                return Recovery((net.now - start) / SECOND, received / len(behind), _greatest_second(net))
    raise PlayError(f"{len(behind)} gateways have not caught up after {LONGEST_PLAY} s")


def _greatest_second(net):
    """The most bytes that a gateway sent and received within a second."""
    return max(
        max(map(sum, zip(net.sent_in[second], net.received_in[second], strict=True)))
        for second in sorted(net.sent_in.keys() | net.received_in.keys())
    )


def _all_hold(net, nodes, version):
    return all(node.disseminator.document.version >= version for node in nodes if node.alive)


def _play_until(net, done):
    start = net.now
    while not done():
        if net.now - start > LONGEST_PLAY * SECOND:
            raise PlayError(f"not done after {LONGEST_PLAY} s")
        net.run(net.now + STEP)
