"""Rows of what gateways share: the Raft group, and what an operator reads."""

from benchmarks.scale import size
from benchmarks.scale.row import Row
from benchmarks.scale.row_sizes import BYTES_TO_MB, HOSTS, LEASES, RAFT

ROWS = (
    Row(
        "operator-hosts-table",
        "operator",
        "the table of hosts",
        "hosts-table-bytes-by-hosts",
        HOSTS,
        BYTES_TO_MB,
        size.CONTROL_MEMORY,
        "MB",
        "told whole",
    ),
    Row(
        "raft-leader-cpu",
        RAFT,
        "leader's processor time, were each gateway a holder of leases",
        "consensus-leader-cpu-by-holders",
        size.GATEWAYS,
        1,
        1_000,
        "ms a second",
        "one Raft group",
    ),
    Row(
        "raft-leader-planners",
        RAFT,
        "leader's processor time, planners and schedulers alone hold leases",
        "consensus-leader-cpu-by-leases",
        LEASES,
        1,
        1_000,
        "ms a second",
        "one Raft group",
    ),
    Row(
        "raft-memory",
        RAFT,
        "memory of a lease for each host",
        "consensus-memory-by-leases",
        HOSTS,
        BYTES_TO_MB,
        24_000,
        "MB",
        "one Raft group",
    ),
)
