"""Membership at scale, simulated: how soon a dead gateway is known to all, what it costs, how often it errs.

    python benchmarks/membership.py [--sizes 1000,230,60,10] [--seeds 1,2,3,4,5] [--out docs/measured]

Gateways on a simulated clock and network (gaproute/standins/membership_network.py), the decisions and the
bytes being the product's own. For each size and share of lost messages, each seed once: a minute of calm,
then one gateway dies (seconds until the first and the last of the others hold it dead), then a newcomer that
knows one gateway (seconds until it knows all; until all know it). Without loss also: two halves cut off for
two minutes (seconds from healing until all hold all alive; `heal, s`), and seven tenths killed, and a minute
later all started at once with an empty memory (seconds until all hold all alive; `roll, s`). CPU a gateway:
of the process in the calm minute, the simulation's own cost in it. Figures are the median of the seeds, in
brackets the least and the most.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from concurrent.futures import Future, ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import Any, NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.rows import median_with_range, write
from gaproute.decisions.chance import RandomGenerator
from gaproute.peers.membership_wire import decode, encode
from gaproute.shared.membership import MembershipMessage, MemberState
from gaproute.shared.membership.invariants import check_membership
from gaproute.standins.membership_network import MembershipNetwork

SECOND = 1_000_000_000
CALM = 60  # s
LONG = 240  # s, until which something is waited for

Figure = float | None  # None: not in time
Figures = dict[str, Figure]  # of one play, by name


class Play(NamedTuple):
    """Which play it is."""

    part: str  # calm, heal or roll
    size: int
    loss: float
    seed: int


class EncodingNetwork(MembershipNetwork):
    """A network whose messages travel as bytes."""

    def send(self, sender: str, messages: Iterable[tuple[str, MembershipMessage]]) -> None:
        """Send each message (receiver, message) as its bytes; some are lost."""
        for receiver, message in messages:
            data = encode(message)
            self.sizes.append(len(data))
            if not self.is_lost(sender, receiver):
                decoded = decode(data)
                assert decoded is not None
                self.deliver(receiver, decoded)

    def until(self, holds: Callable[[], bool]) -> Figure:
        """Seconds until it holds, None where it did not in time."""
        began = self.now
        while self.now - began < LONG * SECOND:
            if holds():
                return (self.now - began) / SECOND
            self.run(SECOND // 4)
        return None

    def all_alive(self) -> bool:
        """Whether each gateway holds all others alive."""
        return all(len(node.table.alive) == len(self.nodes) - 1 for node in self.nodes.values())


def calm_and_death(size: int, loss: float, seed: int) -> Figures:
    """Figures of a calm minute, then of one gateway's death and a newcomer."""
    net, chance = EncodingNetwork(size, seed), RandomGenerator(seed)
    if loss:
        net.is_lost = lambda sender, to: chance.below(1000) < 1000 * loss
    net.run(10 * SECOND)
    figures = _calm(net, size) | _death(net)
    figures |= _newcomer(net, size, seed)
    assert not [
        violation for node in net.nodes.values() for violation in check_membership(node, thorough=True)
    ]
    return figures


def _calm(net: EncodingNetwork, size: int) -> Figures:
    """Traffic, processor time and errors of a minute in which nothing happens."""
    net.sizes.clear()
    began = time.process_time()
    net.run(CALM * SECOND)
    spent = time.process_time() - began
    nodes = list(net.nodes.values())
    return {
        "messages/s": len(net.sizes) / CALM / size,
        "bytes/s": sum(net.sizes) / CALM / size,
        "largest": max(net.sizes),
        "CPU, %": 100 * spent / CALM / size,
        "suspicions": sum(node.suspicion_count for node in nodes),
        "wrongly dead": sum(
            member.state in (MemberState.DEAD, MemberState.LEFT)
            for node in nodes
            for member in node.members.values()
        ),
    }


def _death(net: EncodingNetwork) -> Figures:
    """Seconds until the first of the others and all of them know that a gateway is dead."""
    net.down.add("g1")
    others = [node for name, node in net.nodes.items() if name != "g1"]
    first = net.until(lambda: any(node.members["g1"].state == MemberState.DEAD for node in others))
    more = net.until(lambda: all(node.members["g1"].state == MemberState.DEAD for node in others))
    return {"first knows, s": first, "all know, s": None if more is None else (first or 0) + more}


def _newcomer(net: EncodingNetwork, size: int, seed: int) -> Figures:
    """Seconds until a gateway that knows one other knows all, and all know it."""
    others = [node for name, node in net.nodes.items() if name != "g1"]
    net.start("new", 77 + seed, {"g2": "g2"})
    born = net.now
    knows = net.until(lambda: len(net.nodes["new"].table.alive) >= size * 0.99 - 1)
    known = net.until(lambda: all("new" in node.members for node in others))
    return {"it knows, s": knows, "known, s": None if known is None else (net.now - born) / SECOND}


def time_to_heal(size: int, seed: int) -> Figure:
    """Seconds until all hold all alive after two halves were cut off for two minutes."""
    net = EncodingNetwork(size, seed)
    half = {f"g{number}" for number in range(size // 2)}
    net.run(5 * SECOND)
    net.is_lost = lambda sender, to: (sender in half) != (to in half)
    net.run(120 * SECOND)
    net.is_lost = lambda sender, to: False
    return net.until(net.all_alive)


def time_to_restart(size: int, seed: int) -> Figure:
    """Seconds until all hold all alive after seven tenths were killed and started again."""
    net, chance = EncodingNetwork(size, seed), RandomGenerator(seed)
    net.run(40 * SECOND)
    peers = {f"g{number}": f"g{number}" for number in range(size)}
    killed = [name for name in peers if chance.below(10) < 7]
    net.down.update(killed)
    net.run(60 * SECOND)
    for name in killed:
        net.start(name, chance.below(1 << 30), peers)
    return net.until(
        lambda: (
            net.all_alive()
            and all(
                member.state == MemberState.ALIVE
                for node in net.nodes.values()
                for member in node.members.values()
            )
        )
    )


REPAIRS = {"heal": time_to_heal, "roll": time_to_restart}  # by the part of a play; without loss alone


def summary(figures: Sequence[Figure]) -> str:
    """The median, in brackets the least and the most, and how many plays have none."""
    if not figures:
        return "-"
    known = sorted(figure for figure in figures if figure is not None)
    missed = len(figures) - len(known)
    if not known:
        return f"not in {LONG}"
    return median_with_range(known) + (f", {missed} never" if missed else "")


def table(cases: Iterable[tuple[int, float]], found: Mapping[Play, Figures]) -> list[dict[str, Any]]:
    """A row for each case of which a play has ended; `plays` of the calm and the death."""
    rows = []
    for size, loss in cases:
        runs = [run for play, run in found.items() if (play.size, play.loss) == (size, loss)]
        calm = [run for run in runs if "largest" in run]
        if calm:
            more = {
                name: summary([run[name] for run in runs if name in run]) for name in ("heal, s", "roll, s")
            }
            rows.append(
                {"gateways": size, "lost": f"{loss:.0%}", "plays": len(calm)}
                | {name: summary([run[name] for run in calm]) for name in calm[0]}
                | more
            )
    return rows


def _submit(
    pool: ProcessPoolExecutor, cases: Iterable[tuple[int, float]], seeds: Iterable[int]
) -> dict[Future[Any], Play]:
    plays: dict[Future[Any], Play] = {}
    for seed in seeds:
        for size, loss in cases:
            plays[pool.submit(calm_and_death, size, loss, seed)] = Play("calm", size, loss, seed)
            if loss:
                continue
            for part, measure in REPAIRS.items():
                plays[pool.submit(measure, size, seed)] = Play(part, size, loss, seed)
    return plays


def main() -> None:
    """Play each case with each seed and write the table after each."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="1000,230,60,10", help="the dearest first")
    parser.add_argument("--seeds", default="1,2,3,4,5")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--out", default="docs/measured")
    options = parser.parse_args()
    cases = [(size, loss) for size in map(int, options.sizes.split(",")) for loss in (0.0, 0.05, 0.2)]
    found: dict[Play, Figures] = {}
    with ProcessPoolExecutor(options.jobs) as pool:
        plays = _submit(pool, cases, list(map(int, options.seeds.split(","))))
        for ended in as_completed(plays):
            play = plays[ended]
            found[play] = ended.result() if play.part == "calm" else {f"{play.part}, s": ended.result()}
            print(tuple(play), found[play], flush=True)
            rows = table(sorted(cases), found)
            if rows:  # stored after each play, so that a run which is ended early has its rows
                write(options.out, "membership", rows)


if __name__ == "__main__":
    main()
