"""Hollow gateways with real sockets: `python -m gaproute.hollow CONFIG --first N --count N`.

CONFIG is a gateway's configuration with a `peers-file` that names all gateways; this process runs `count` of
them from the row `first` on. None of them may be a keeper.
"""

import argparse

from gaproute.config import read_configuration, read_peers
from gaproute.hollow.process import HollowProcess


def main():
    """The command line."""
    parser = argparse.ArgumentParser(prog="python -m gaproute.hollow", description=__doc__)
    parser.add_argument("config")
    parser.add_argument("--first", type=int, required=True)
    parser.add_argument("--count", type=int, required=True)
    parser.add_argument("--seed", type=int, default=1)
    told = parser.parse_args()
    configuration = read_configuration(told.config)
    rows = read_peers(configuration.peers_file.path)
    own = {row.name for row in rows[told.first : told.first + told.count]}
    if own & set(configuration.raft_group.names):
        parser.error("a keeper is among the hollow gateways")
    HollowProcess(configuration, rows, told.first, told.count, told.seed).run()


if __name__ == "__main__":
    main()
