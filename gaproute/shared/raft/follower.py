"""The follower's side: entries and snapshots from the leader of the term (Raft 5.3, 7)."""

from gaproute.shared.raft.messages import AppendEntriesResponse
from gaproute.shared.raft.role import Role


def _follow(node, now, sender, message, out):
    """Whether the sender leads a term that is not over; then it is followed."""
    if message.term < node.term:
        out.append((sender, AppendEntriesResponse(node.term, node.incarnation, False, 0)))
        return False
    if message.term > node.term:
        node.enter_term(now, message.term)
    if node.role == Role.LEADER:
        node.record_breaches([f"one leader a term: {sender} and {node.name} lead {node.term}"])
        return False
    node.step_down(now)
    node.leader, node.leader_heard_at = sender, now
    node.reset_election_timer(now)
    return True


def on_append_entries(node, now, sender, message, out):
    if not _follow(node, now, sender, message, out):
        return
    log, index, entries = node.log, message.prev_log_index, message.entries
    if index < log.snapshot_index:  # what the snapshot holds is committed: as the leader's
        entries = entries[log.snapshot_index - index :]
        index = log.snapshot_index
    elif log.term_at(index) != message.prev_log_term:
        out.append(
            (sender, AppendEntriesResponse(node.term, node.incarnation, False, _conflict_hint(log, index)))
        )
        return
    for at, entry in enumerate(entries, index + 1):
        if log.term_at(at) == entry.term:
            continue
        if at <= node.commit_index:
            node.record_breaches([f"never unsaid: {sender} replaces {at}, committed to {node.commit_index}"])
            return
        try:
            node.store.append(at, entry)
        except ValueError:
            node.reject("entry not understood")
            return
    end = index + len(entries)
    node.commit_index = max(node.commit_index, min(message.leader_commit, end))
    out.append((sender, AppendEntriesResponse(node.term, node.incarnation, True, end)))


def _conflict_hint(log, index):
    """Where to try next: before the term that differs, so that a leader skips it whole."""
    if index > log.last_index:
        return log.last_index
    term, at = log.term_at(index), index
    while at > log.snapshot_index and log.term_at(at) == term:
        at -= 1
    return at


def on_install_snapshot(node, now, sender, message, out):
    if not _follow(node, now, sender, message, out):
        return
    if message.last_included_index > node.commit_index:
        try:
            node.sessions.unpack(message.state)
        except ValueError:
            node.reject("snapshot not understood")
            return
        node.store.install(
            message.last_included_index, message.last_included_term, message.members, message.state
        )
        node.commit_index = node.last_applied = message.last_included_index
    out.append(
        (sender, AppendEntriesResponse(node.term, node.incarnation, True, message.last_included_index))
    )
