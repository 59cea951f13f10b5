"""A follower's handling of entries and snapshots from the leader of the term (Raft paper, 5.3 and 7)."""

from __future__ import annotations

from gaproute.shared.raft.log import ReplicatedLog
from gaproute.shared.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    InstallSnapshot,
    Outbox,
)
from gaproute.shared.raft.node_state import NodeState
from gaproute.shared.raft.rejections import MessageRejection
from gaproute.shared.raft.role import Role


def _respond(node: NodeState, to: str, outbox: Outbox, match_index: int, *, success: bool) -> None:
    outbox.append((to, AppendEntriesResponse(node.term, node.incarnation, success, match_index)))


def _follow(
    node: NodeState, now: int, sender: str, message: AppendEntries | InstallSnapshot, outbox: Outbox
) -> bool:
    """Follows the sender if it leads the current or a later term; returns whether this node follows it."""
    if message.term < node.term:
        _respond(node, sender, outbox, 0, success=False)
        return False
    if message.term > node.term:
        node.enter_term(now, message.term)
    if node.role is Role.LEADER:
        node.record_violations([f"one leader a term: {sender} and {node.name} both lead term {node.term}"])
        return False
    node.step_down(now)
    node.leader, node.leader_message_at = sender, now
    node.reset_election_timer(now)
    return True


def on_append_entries(node: NodeState, now: int, sender: str, message: AppendEntries, outbox: Outbox) -> None:
    """Appends the leader's entries if this node's log has the entry that precedes them."""
    if not _follow(node, now, sender, message, outbox):
        return
    log, index, entries = node.log, message.prev_log_index, message.entries
    if index < log.snapshot_index:  # the snapshot has committed entries only, which equal the leader's
        entries = entries[log.snapshot_index - index :]
        index = log.snapshot_index
    elif log.term_at(index) != message.prev_log_term:
        _respond(node, sender, outbox, _conflict_hint(log, index), success=False)
        return
    if not _append(node, sender, index, entries):
        return
    end = index + len(entries)
    node.commit_index = max(node.commit_index, min(message.leader_commit, end))
    _respond(node, sender, outbox, end, success=True)


def _append(node: NodeState, sender: str, prev_index: int, entries: tuple[Entry, ...]) -> bool:
    """Appends the entries that the log lacks; False if one would replace a committed entry or is invalid."""
    log = node.log
    for index, entry in enumerate(entries, prev_index + 1):
        if log.term_at(index) == entry.term:
            continue
        if index <= node.commit_index:
            found = f"{sender} replaces entry {index}, commit index {node.commit_index}"
            node.record_violations([f"a committed entry never changes: {found}"])
            return False
        try:
            node.store.append(index, entry)
        except ValueError:
            node.reject(MessageRejection.INVALID_ENTRY)
            return False
    return True


def _conflict_hint(log: ReplicatedLog, index: int) -> int:
    """The index that the leader should try next: the one before the first entry of the conflicting term."""
    if index > log.last_index:
        return log.last_index
    term, hint = log.term_at(index), index
    while hint > log.snapshot_index and log.term_at(hint) == term:
        hint -= 1
    return hint


def on_install_snapshot(
    node: NodeState, now: int, sender: str, message: InstallSnapshot, outbox: Outbox
) -> None:
    """Installs the leader's snapshot if it is ahead of this node's commit index."""
    if not _follow(node, now, sender, message, outbox):
        return
    index = message.last_included_index
    if index > node.commit_index:
        try:
            node.sessions.unpack(message.state)
        except ValueError:
            node.reject(MessageRejection.INVALID_SNAPSHOT)
            return
        node.store.install(index, message.last_included_term, message.members, message.state)
        node.commit_index = node.last_applied = index
    _respond(node, sender, outbox, index, success=True)
