"""Many gateways' decision modules in one process on a clock of their own: no sockets and no protocol.

    python -m benchmarks.fleet [--gateways 3,20,60,200] [--hosts 88] [--rate 1000] [--seconds 20]
    python -m benchmarks.fleet --even [--gateways 200] [--rates 1000,3000] [--seconds 12] [--since 2]
        [--seeds 1,2,3] [--variants today,sees] [--faults none,deaf] [--jobs 4]
        [--out docs/measured --name evenness]
    python -m benchmarks.fleet --follow [--gateways 200] [--rates 1000,3000] [--seconds 12] [--seeds 1]

The first tells what a fleet costs its hosts (`costs`), the second how evenly it loads them (`evenness`,
`docs/evenness.md`), the third which points decided each relay (`follow`).
"""

import argparse

from benchmarks.fleet import costs, evenness, follow
from benchmarks.fleet.faults import KINDS
from benchmarks.fleet.variants import VARIANTS


def main():
    asked = argparse.ArgumentParser()
    way = asked.add_mutually_exclusive_group()
    way.add_argument("--even", action="store_true")
    way.add_argument("--follow", action="store_true")
    asked.add_argument("--gateways")
    asked.add_argument("--hosts", type=int, default=88)
    asked.add_argument("--rate", type=int, default=1000)
    asked.add_argument("--rates", default="1000,3000")
    asked.add_argument("--seconds", type=int)
    asked.add_argument("--since", type=int, default=2, help="first second that is measured")
    asked.add_argument("--seeds", default="1,2,3")
    asked.add_argument("--variants", default="today", help=", ".join(VARIANTS))
    asked.add_argument("--faults", default="none", help=", ".join(KINDS))
    asked.add_argument("--jobs", type=int, default=1)
    asked.add_argument("--out")
    asked.add_argument("--name", default="evenness")
    told = asked.parse_args()
    told.gateways = told.gateways or ("200" if told.even or told.follow else "3,20,60,200")
    told.seconds = told.seconds or (12 if told.even or told.follow else 20)
    (evenness.show if told.even else follow.show if told.follow else costs.table)(told)


if __name__ == "__main__":
    main()
