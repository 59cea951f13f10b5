"""Applies committed entries to the state machine and compacts the log."""

from __future__ import annotations

from gaproute.shared.raft.messages import EntryKind, Outbox
from gaproute.shared.raft.node_state import NodeState
from gaproute.shared.raft.requests import reply_to_client

# A snapshot replaces the applied entries in the log once there are this many of them.
COMPACTION_THRESHOLD_ENTRIES = 1024
# At this multiple of `COMPACTION_THRESHOLD_ENTRIES` the log is compacted even if a responsive follower lacks
# some of the entries and therefore needs the snapshot.
FORCED_COMPACTION_FACTOR = 4


def apply_entries(node: NodeState, now: int, outbox: Outbox) -> None:
    """Applies the entries that are committed and durable at this node; a leader replies to their clients."""
    while node.last_applied < node.commit_index:
        node.last_applied += 1
        entry = node.log.entry_at(node.last_applied)
        result = node.sessions.apply(node.last_applied, entry)
        deadline_change = node.machine.pop_change()
        leader = node.leader_state
        if leader is None:
            continue
        if deadline_change is not None:
            leader.timers.update(now, *deadline_change)
        reply_to_client(leader, node.last_applied, result, outbox)
        if entry.kind == EntryKind.MEMBERSHIP and not node.is_member:
            node.step_down(now)


def compact_log(node: NodeState, now: int) -> None:
    """Replaces the applied entries by a snapshot once they reach `COMPACTION_THRESHOLD_ENTRIES`.

    While a responsive follower lacks some of these entries, a leader waits until there are
    `FORCED_COMPACTION_FACTOR` times as many, because that follower would then need the whole snapshot.
    """
    applied_count = node.last_applied - node.log.snapshot_index
    if applied_count < COMPACTION_THRESHOLD_ENTRIES:
        return
    leader = node.leader_state
    entries_are_needed = leader is not None and not leader.all_responsive_have(now, node.last_applied)
    if not entries_are_needed or applied_count >= FORCED_COMPACTION_FACTOR * COMPACTION_THRESHOLD_ENTRIES:
        node.store.compact(node.last_applied, node.sessions.pack())
