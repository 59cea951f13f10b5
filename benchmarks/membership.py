"""Membership at scale, simulated: how soon a dead gateway is known to all, what it costs, how often it errs.

    python benchmarks/membership.py [--sizes 4,16,64,200] [--out docs/measured]

Gateways on a simulated clock and network (gaproute/standins/net.py), the decisions being the product's own.
For each size and share of lost messages: one minute of calm, then one gateway dies; seconds until the first
and the last of the others hold it dead; messages and bytes a second and gateway; suspicions and deaths that
were wrong in the minute, of all gateways together.
"""
import argparse
import sys
from pathlib import Path
from statistics import median

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from gaproute.policy import Chance
from gaproute.shared.membership import DEAD
from gaproute.standins.net import Net
from rows import write

SECOND = 1_000_000_000
CALM = 60                # s


def play(size, loss, seed):
    net = Net(size, seed)
    chance = Chance(seed)
    net.lost = lambda sender, to: chance.below(1000) < 1000 * loss
    net.run(CALM * SECOND)
    names = list(net.nodes)
    wrong = sum(member.state == DEAD for node in net.nodes.values() for member in node.members.values())
    told = {"messages/s": len(net.sizes) / CALM / size, "bytes/s": sum(net.sizes) / CALM / size,
            "largest": max(net.sizes), "suspicions": sum(node.suspicions for node in net.nodes.values()),
            "wrongly dead": wrong}
    net.down.add(names[1])
    died, first = net.now, None
    for _ in range(1200):
        net.run(SECOND // 10)
        held = [node.members[names[1]].state == DEAD for name, node in net.nodes.items() if name != names[1]]
        if any(held) and first is None:
            first = (net.now - died) / SECOND
        if all(held):
            break
    return told | {"first knows, s": first, "all know, s": (net.now - died) / SECOND}


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument("--sizes", default="4,16,64,200")
    arguments.add_argument("--seeds", default="1,2,3")
    arguments.add_argument("--out", default="docs/measured")
    told = arguments.parse_args()
    rows = []
    for size in map(int, told.sizes.split(",")):
        for loss in (0.0, 0.05, 0.2):
            runs = [play(size, loss, int(seed)) for seed in told.seeds.split(",")]
            rows.append({"gateways": size, "lost": f"{loss:.0%}"} | {
                name: round(median(run[name] for run in runs), 1) for name in runs[0]})
            print(rows[-1], flush=True)
    write(told.out, "membership", rows)


if __name__ == "__main__":
    main()
