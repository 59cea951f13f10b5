"""Hollow gateways with real sockets: `python -m gaproute.hollow CONFIG --first N --count N`.

CONFIG is a gateway's configuration with a `peers-file` that names all gateways; this process runs `count` of
them from the row `first` on. None of them may be a member of the Raft group (`keepers`).
"""

from __future__ import annotations

import argparse

from gaproute.config import read_configuration, read_peers
from gaproute.hollow.process import HollowProcess


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(prog="python -m gaproute.hollow", description=__doc__)
    parser.add_argument("config")
    parser.add_argument("--first", type=int, required=True)
    parser.add_argument("--count", type=int, required=True)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    configuration = read_configuration(arguments.config)
    assert configuration.peers_file is not None  # as for any configuration with `listen peers`
    assert configuration.raft_group is not None
    rows = read_peers(configuration.peers_file.path)
    own_rows = rows[arguments.first : arguments.first + arguments.count]
    if {row.name for row in own_rows} & set(configuration.raft_group.names):
        parser.error("a keeper is among the hollow gateways")
    process = HollowProcess(
        configuration, rows, first=arguments.first, count=arguments.count, seed=arguments.seed
    )
    process.run()


if __name__ == "__main__":
    main()
