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

import argparse
import sys
import time
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from statistics import median

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.rows import write
from gaproute.decisions.chance import Chance
from gaproute.peers.membership_wire import decode, encode
from gaproute.shared.membership import MemberState
from gaproute.shared.membership.invariants import check
from gaproute.standins.membership_network import MembershipNetwork

SECOND = 1_000_000_000
CALM = 60  # s
LONG = 240  # s, until which something is waited for


class Bytes(MembershipNetwork):
    """Words travel as bytes."""

    def send(self, sender, words):
        for to, word in words:
            data = encode(word)
            self.sizes.append(len(data))
            if not self.is_lost(sender, to):
                self.deliver(to, decode(data))

    def until(self, holds):
        """Seconds until it holds, None where it did not in time."""
        began = self.now
        while self.now - began < LONG * SECOND:
            if holds():
                return (self.now - began) / SECOND
            self.run(SECOND // 4)
        return None

    def whole(self):
        return all(len(node.table.alive) == len(self.nodes) - 1 for node in self.nodes.values())


def calm_and_death(size, loss, seed):
    net, chance = Bytes(size, seed), Chance(seed)
    if loss:
        net.is_lost = lambda sender, to: chance.below(1000) < 1000 * loss
    net.run(10 * SECOND)
    net.sizes.clear()
    spent = time.process_time()
    net.run(CALM * SECOND)
    spent = time.process_time() - spent
    nodes = list(net.nodes.values())
    told = {
        "messages/s": len(net.sizes) / CALM / size,
        "bytes/s": sum(net.sizes) / CALM / size,
        "largest": max(net.sizes),
        "CPU, %": 100 * spent / CALM / size,
        "suspicions": sum(node.suspicions for node in nodes),
        "wrongly dead": sum(
            member.state in (MemberState.DEAD, MemberState.LEFT)
            for node in nodes
            for member in node.members.values()
        ),
    }
    net.down.add("g1")
    others = [node for name, node in net.nodes.items() if name != "g1"]
    told["first knows, s"] = net.until(
        lambda: any(node.members["g1"].state == MemberState.DEAD for node in others)
    )
    told["all know, s"] = (told["first knows, s"] or 0) + net.until(
        lambda: all(node.members["g1"].state == MemberState.DEAD for node in others)
    )
    net.start("new", 77 + seed, {"g2": "g2"})
    born = net.now
    told["it knows, s"] = net.until(lambda: len(net.nodes["new"].table.alive) >= size * 0.99 - 1)
    known = net.until(lambda: all("new" in node.members for node in others))
    told["known, s"] = None if known is None else (net.now - born) / SECOND
    assert not [breach for node in net.nodes.values() for breach in check(node, thorough=True)]
    return told


def heal(size, seed):
    net = Bytes(size, seed)
    half = {f"g{number}" for number in range(size // 2)}
    net.run(5 * SECOND)
    net.is_lost = lambda sender, to: (sender in half) != (to in half)
    net.run(120 * SECOND)
    net.is_lost = lambda sender, to: False
    return net.until(net.whole)


def roll(size, seed):
    net, chance = Bytes(size, seed), Chance(seed)
    net.run(40 * SECOND)
    peers = {f"g{number}": f"g{number}" for number in range(size)}
    killed = [name for name in peers if chance.below(10) < 7]
    net.down.update(killed)
    net.run(60 * SECOND)
    for name in killed:
        net.start(name, chance.below(1 << 30), peers)
    return net.until(
        lambda: (
            net.whole()
            and all(
                member.state == MemberState.ALIVE
                for node in net.nodes.values()
                for member in node.members.values()
            )
        )
    )


def told_of(found):
    if not found:
        return "-"
    known = sorted(figure for figure in found if figure is not None)
    missed = len(found) - len(known)
    if not known:
        return f"not in {LONG}"
    middle, low, high = (
        f"{figure:.3g}" if figure < 1000 else f"{figure:.0f}"
        for figure in (median(known), known[0], known[-1])
    )
    return middle + (f" ({low}-{high})" if low != high else "") + (f", {missed} never" if missed else "")


def table(cases, found):
    """A row for each case of which a play has ended; `plays` of the calm and the death."""
    rows = []
    for size, loss in cases:
        runs = [run for (_, *case), run in found.items() if case[:2] == [size, loss]]
        calm = [run for run in runs if "largest" in run]
        if calm:
            more = {
                name: told_of([run[name] for run in runs if name in run]) for name in ("heal, s", "roll, s")
            }
            rows.append(
                {"gateways": size, "lost": f"{loss:.0%}", "plays": len(calm)}
                | {name: told_of([run[name] for run in calm]) for name in calm[0]}
                | more
            )
    return rows


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument("--sizes", default="1000,230,60,10", help="the dearest first")
    arguments.add_argument("--seeds", default="1,2,3,4,5")
    arguments.add_argument("--jobs", type=int, default=4)
    arguments.add_argument("--out", default="docs/measured")
    told = arguments.parse_args()
    cases = [(size, loss) for size in map(int, told.sizes.split(",")) for loss in (0.0, 0.05, 0.2)]
    found = {}
    with ProcessPoolExecutor(told.jobs) as pool:
        plays = {}
        for seed in map(int, told.seeds.split(",")):
            for size, loss in cases:
                plays[pool.submit(calm_and_death, size, loss, seed)] = "calm", size, loss, seed
                for part in () if loss else (heal, roll):
                    plays[pool.submit(part, size, seed)] = part.__name__, size, loss, seed
        for ended in as_completed(plays):
            case = plays[ended]
            found[case] = ended.result() if case[0] == "calm" else {f"{case[0]}, s": ended.result()}
            print(case, found[case], flush=True)
            rows = table(sorted(cases), found)
            if rows:  # what has ended is kept, whatever becomes of the rest
                write(told.out, "membership", rows)


if __name__ == "__main__":
    main()
