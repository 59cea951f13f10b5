"""Costs by size at their smallest: every measurement plays, and counted costs grow no steeper than stated."""

from functools import partial

import pytest

from benchmarks.scale.costs import (
    cell_hosts,
    cell_hosts_rest,
    change_log,
    connections,
    consensus,
    consensus_state,
    gossip,
    gossip_content,
    host_list,
    learning,
    membership,
    status,
)

# name: (play, small size, large size, most that one more of the size may add)
COUNTED = {
    "host-list-bytes-by-hosts": (host_list.list_bytes, 100, 400, 90),
    "change-log-whole-bytes-by-hosts": (change_log.complete_list_bytes, 100, 400, 150),
    "change-log-change-bytes-by-changes": (change_log.change_bytes, 1, 4, 150),
    "membership-bytes-by-members": (membership.bytes_sent, 16, 64, 0),
    "membership-memory-by-members": (membership.memory, 16, 64, 700),
    "membership-table-bytes-by-members": (membership.table_bytes, 16, 64, 40),
    "membership-death-seconds-by-members": (membership.death_seconds, 16, 64, 0.2),
    "membership-newcomer-seconds-by-members": (membership.newcomer_seconds, 16, 64, 0.1),
    "gossip-bytes-by-gateways": (gossip.bytes_sent, 16, 64, 0),
    "gossip-memory-by-gateways": (gossip.memory, 4, 16, 50_000),
    "gossip-round-seconds-by-gateways": (gossip.round_seconds, 16, 64, 0.2),
    "gossip-word-bytes-by-hosts": (gossip_content.message_bytes_by_hosts, 4, 16, 5.5),
    "gossip-word-bytes-by-functions": (gossip_content.message_bytes_by_functions, 4, 16, 6),
    "gossip-memory-by-hosts": (gossip_content.memory_by_hosts, 4, 16, 9_000),
    "gossip-memory-by-functions": (gossip_content.memory_by_functions, 4, 16, 9_000),
    "consensus-bytes-by-holders": (consensus.bytes_by_holders, 4, 16, 95),
    "consensus-messages-by-holders": (consensus.messages_by_holders, 4, 16, 0.65),
    "consensus-bytes-by-leases": (consensus.bytes_by_leases, 1, 4, 750),
    "consensus-memory-by-leases": (consensus_state.memory_by_leases, 64, 256, 900),
    "consensus-memory-by-holders": (consensus_state.memory_by_holders, 64, 256, 900),
    "consensus-snapshot-bytes-by-leases": (consensus_state.snapshot_bytes, 64, 256, 50),
    "consensus-log-bytes-by-entries": (consensus_state.log_bytes, 32, 128, 100),
    "kept-connection-memory-by-connections": (connections.memory, 16, 64, 8_000),
    "probe-bytes-by-hosts": (connections.probe_bytes, 16, 64, 200),
    "learning-bytes-by-facts": (learning.transfer_bytes, 256, 1_024, 50),
    "status-bytes-by-hosts": (status.status_bytes, 16, 64, 60),
    "hosts-table-bytes-by-hosts": (status.hosts_bytes, 16, 64, 160),
    "knows-table-bytes-by-functions": (status.knows_bytes, 16, 64, 140),
    "log-start-bytes-by-hosts": (status.log_bytes, 16, 64, 200),
    "consensus-log-memory-by-entries": (consensus_state.log_memory, 32, 128, 500),
    "cell-follow-memory-by-hosts": (cell_hosts.followed_memory, 16, 32, 6_000),
    "cell-follow-rest-bytes-by-cells": (cell_hosts_rest.followed_rest_bytes, 1, 4, 110),
}
# name: (play, smallest size); each asserts itself what it counts
TIMED = {
    "host-list-read-cpu-by-hosts": (host_list.first_read_cpu, 100),
    "host-list-change-cpu-by-hosts": (host_list.changed_line, 100),
    "change-log-whole-cpu-by-hosts": (change_log.complete_list_cpu, 100),
    "change-log-change-cpu-by-hosts": (change_log.change_cpu, 100),
    "membership-cpu-by-members": (membership.cpu, 16),
    "gossip-cpu-by-gateways": (gossip.cpu, 16),
    "gossip-cpu-by-hosts": (gossip_content.cpu_by_hosts, 4),
    "gossip-cpu-by-functions": (gossip_content.cpu_by_functions, 4),
    "consensus-leader-cpu-by-holders": (consensus.cpu_by_holders, 4),
    "consensus-leader-cpu-by-leases": (consensus.cpu_by_leases, 1),
    "probe-new-connection-cpu-by-hosts": (connections.new_connections_cpu, 64),
    "probe-cpu-by-hosts": (connections.pooled_connections_cpu, 64),
    "learning-giver-cpu-by-facts": (learning.sender_cpu, 256),
    "learning-learner-cpu-by-facts": (learning.receiver_cpu, 256),
    "status-cpu-by-hosts": (status.status_cpu, 16),
    "consensus-replay-cpu-by-entries": (consensus_state.replay_cpu, 32),
    "cell-files-change-cpu-by-hosts": (partial(cell_hosts.change_cpu, followed=False), 32),
    "cell-follow-change-cpu-by-hosts": (partial(cell_hosts.change_cpu, followed=True), 32),
    "cell-files-rest-cpu-by-cells": (partial(cell_hosts_rest.files_rest_cpu, seconds=0.2), 1),
    "cell-follow-rest-cpu-by-cells": (partial(cell_hosts_rest.followed_rest_cpu, seconds=0.2), 1),
}
MODULES = (
    host_list,
    change_log,
    membership,
    gossip,
    gossip_content,
    consensus,
    consensus_state,
    connections,
    learning,
    status,
    cell_hosts,
    cell_hosts_rest,
)


def test_every_measurement_of_the_control_parts_is_played_here():
    named = {name for module in MODULES for name in module.MEASUREMENTS}
    assert named == COUNTED.keys() | TIMED.keys()


@pytest.mark.parametrize("name", COUNTED)
def test_what_is_counted_grows_no_steeper_than_stated(name):
    play, small, large, most = COUNTED[name]
    least = play(small, 1)
    assert least > 0
    assert (play(large, 1) - least) / (large - small) <= most


@pytest.mark.parametrize("name", TIMED)
def test_what_is_timed_plays_at_its_smallest_size(name):
    play, size = TIMED[name]
    assert play(size, 1) >= 0
