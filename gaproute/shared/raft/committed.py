"""What becomes of committed entries: they are applied, and in time a snapshot takes their place."""

from __future__ import annotations

from gaproute.shared.raft.messages import EntryKind, Outbox
from gaproute.shared.raft.node_state import NodeState
from gaproute.shared.raft.requests import reply_to

COMPACT_AFTER = 1024  # entries applied that the log holds before a snapshot takes their place
COMPACT_ANYWAY = 4  # times that many: then also while a follower that answers lacks some of them


def apply_entries(node: NodeState, now: int, outbox: Outbox) -> None:
    """What is committed and durable here comes into force; a leader replies to the clients."""
    while node.last_applied < node.commit_index:
        node.last_applied += 1
        entry = node.log.entry_at(node.last_applied)
        outcome = node.sessions.apply(node.last_applied, entry)
        change = node.machine.pop_change()
        leader = node.leader_state
        if leader is None:
            continue
        if change is not None:
            leader.timers.update(now, *change)
        reply_to(leader, node.last_applied, outcome, outbox)
        if entry.kind == EntryKind.MEMBERSHIP and not node.is_member:
            node.step_down(now)


def compact_log(node: NodeState, now: int) -> None:
    """Puts a snapshot in place of what is applied once that is much.

    Not while a follower that answers would have to fetch the snapshot, unless it is very much.
    """
    applied, leader = node.last_applied - node.log.snapshot_index, node.leader_state
    if applied < COMPACT_AFTER:
        return
    waits = leader is not None and not leader.all_answering_have(now, node.last_applied)
    if not waits or applied >= COMPACT_ANYWAY * COMPACT_AFTER:
        node.store.compact(node.last_applied, node.sessions.pack())
