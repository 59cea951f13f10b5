"""Membership at scale, simulated: how soon a dead gateway is known to all, what it costs, how often it errs.

    python benchmarks/membership.py [--sizes 10,60,230,1000] [--seeds 1,2,3,4,5] [--out docs/measured]

Gateways on a simulated clock and network (gaproute/standins/net.py), the decisions and the bytes being the
product's own. For each size and share of lost messages, each seed once: a minute of calm, then one gateway
dies (seconds until the first and the last of the others hold it dead), then a newcomer that knows one gateway
(seconds until it knows all; until all know it). Without loss also: two halves cut off for two minutes
(seconds from healing until all hold all alive; `heal, s`), and seven tenths killed, and a minute later all
started at once with an empty memory (seconds until all hold all alive; `roll, s`). CPU a gateway: of the
process in the calm minute, the simulation's own cost in it. Figures are the median of the seeds, in brackets
the least and the most.
"""
import argparse
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import median

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rows import write

from gaproute.decisions.chance import Chance
from gaproute.peers.gossip import decode, encode
from gaproute.shared.membership import ALIVE, DEAD, LEFT
from gaproute.shared.membership.invariants import check
from gaproute.standins.net import LINK, Net

SECOND = 1_000_000_000
CALM = 60                # s
LONG = 240               # s, until which something is waited for


class Bytes(Net):
    """Words travel as bytes."""

    def send(self, sender, words):
        for to, word in words:
            data = encode(word)
            self.sizes.append(len(data))
            if not self.lost(sender, to):
                self.push(self.now + LINK, "hear", to, decode(data))

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
        net.lost = lambda sender, to: chance.below(1000) < 1000 * loss
    net.run(10 * SECOND)
    net.sizes.clear()
    spent = time.process_time()
    net.run(CALM * SECOND)
    spent = time.process_time() - spent
    nodes = list(net.nodes.values())
    told = {"messages/s": len(net.sizes) / CALM / size, "bytes/s": sum(net.sizes) / CALM / size,
            "largest": max(net.sizes), "CPU, %": 100 * spent / CALM / size,
            "suspicions": sum(node.suspicions for node in nodes),
            "wrongly dead": sum(member.state in (DEAD, LEFT) for node in nodes
                                for member in node.members.values())}
    net.down.add("g1")
    others = [node for name, node in net.nodes.items() if name != "g1"]
    told["first knows, s"] = net.until(lambda: any(node.members["g1"].state == DEAD for node in others))
    told["all know, s"] = (told["first knows, s"] or 0) + net.until(
        lambda: all(node.members["g1"].state == DEAD for node in others))
    net.start("new", 77 + seed, {"g2": "g2"})
    born = net.now
    told["it knows, s"] = net.until(lambda: len(net.nodes["new"].table.alive) >= size * 0.99 - 1)
    known = net.until(lambda: all("new" in node.members for node in others))
    told["known, s"] = None if known is None else (net.now - born) / SECOND
    assert not [breach for node in net.nodes.values() for breach in check(node, True)]
    return told


def heal(size, seed):
    net = Bytes(size, seed)
    half = {f"g{number}" for number in range(size // 2)}
    net.run(5 * SECOND)
    net.lost = lambda sender, to: (sender in half) != (to in half)
    net.run(120 * SECOND)
    net.lost = lambda sender, to: False
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
    return net.until(lambda: net.whole() and all(member.state == ALIVE for node in net.nodes.values()
                                                 for member in node.members.values()))


def play(size, loss, seed):
    """All of one seed; dear parts where nothing is lost alone."""
    return calm_and_death(size, loss, seed) | {"heal, s": None if loss else heal(size, seed),
                                               "roll, s": None if loss else roll(size, seed)}


def told_of(runs, name):
    found = sorted(run[name] for run in runs if run[name] is not None)
    if not found:
        return f"not in {LONG}"
    middle, low, high = (f"{figure:.3g}" if figure < 1000 else f"{figure:.0f}"
                         for figure in (median(found), found[0], found[-1]))
    missed = len(runs) - len(found)
    return middle + (f" ({low}-{high})" if low != high else "") + (f", {missed} never" if missed else "")


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument("--sizes", default="10,60,230,1000")
    arguments.add_argument("--seeds", default="1,2,3,4,5")
    arguments.add_argument("--jobs", type=int, default=4)
    arguments.add_argument("--out", default="docs/measured")
    told = arguments.parse_args()
    seeds = [int(seed) for seed in told.seeds.split(",")]
    cases = [(size, loss) for size in map(int, told.sizes.split(",")) for loss in (0.0, 0.05, 0.2)]
    rows = []
    with ProcessPoolExecutor(told.jobs) as pool:
        plays = {(*case, seed): pool.submit(play, *case, seed) for case in reversed(cases) for seed in seeds}
        for size, loss in cases:
            runs = [plays[size, loss, seed].result() for seed in seeds]
            row = {"gateways": size, "lost": f"{loss:.0%}"} | {name: told_of(runs, name) for name in runs[0]}
            rows.append(row | ({"heal, s": "-", "roll, s": "-"} if loss else {}))
            print(rows[-1], flush=True)
    write(told.out, "membership", rows, plays=len(seeds))


if __name__ == "__main__":
    main()
