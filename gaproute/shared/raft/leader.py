"""A leader's replication of entries and their commitment by a majority (Raft paper, 5.3 and 5.4.2).

A leader that gets no answers from a majority steps down (Ongaro's dissertation, 6.2), so that clients turn to
another leader.
"""

from gaproute.shared.raft.leader_state import LeaderState
from gaproute.shared.raft.log import encode_membership
from gaproute.shared.raft.membership import MatchedLog, is_majority, next_membership
from gaproute.shared.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    EntryKind,
    InstallSnapshot,
    Member,
    Membership,
    Outbox,
)
from gaproute.shared.raft.node_state import NodeState
from gaproute.shared.raft.rejections import MessageRejection
from gaproute.shared.raft.role import Role
from gaproute.shared.raft.timing import (
    HEARTBEAT_INTERVAL,
    MEMBERSHIP_CHANGE_INTERVAL,
    QUORUM_TIMEOUT,
)

MAX_EXPIRIES_PER_TICK = 64  # deadlines; many may have passed while the leader's process was suspended


def _responsive_incarnations(node: NodeState, leader: LeaderState, now: int) -> dict[str, int]:
    """The incarnations of the responsive followers and of this node, by name."""
    responsive = {
        name: progress.incarnation
        for name, progress in leader.followers.items()
        if progress.is_responsive(now)
    }
    return {node.name: node.incarnation, **responsive}


def tick(node: NodeState, leader: LeaderState, now: int, outbox: Outbox) -> None:
    """Proposes expired deadlines, sends heartbeats and changes the members; steps down without a majority."""
    responsive = _responsive_incarnations(node, leader, now)
    if now - leader.elected_at >= QUORUM_TIMEOUT and not is_majority(node.members, responsive):
        node.step_down(now)
        return
    for token, log_index in leader.timers.pop_expired(now, MAX_EXPIRIES_PER_TICK):
        if not node.propose(EntryKind.COMMAND, body=node.machine.expire_command(token, log_index)):
            leader.timers.update(now, token, log_index, HEARTBEAT_INTERVAL)
    if now < leader.heartbeat_due:
        return
    leader.heartbeat_due = now + HEARTBEAT_INTERVAL
    names = node.peer_names()
    leader.retain_followers(names)
    for name in names:
        leader.progress_of(name).has_entries_in_flight = False
        _send_entries(node, leader, now, name, outbox)
    _change_membership(node, leader, now)


def _change_membership(node: NodeState, leader: LeaderState, now: int) -> None:
    """Adds or removes one member, towards the configured members.

    A change waits until the previous change and an entry of the leader's own term are committed. Without the
    second condition single-server changes are unsafe, as Ongaro reported in 2015.
    """
    uncommitted = node.log.membership_history[-1].log_index > node.commit_index
    if uncommitted or node.commit_index < leader.first_index_of_term:
        return
    if now - leader.membership_changed_at < MEMBERSHIP_CHANGE_INTERVAL:
        return
    matches = {
        name: MatchedLog(progress.incarnation, progress.match_index)
        for name, progress in leader.followers.items()
    }
    responsive = _responsive_incarnations(node, leader, now)
    members = next_membership(node.members, node.configured_members, responsive, matches, node.commit_index)
    if members is None:
        return
    if node.propose(EntryKind.MEMBERSHIP, body=encode_membership(Membership(members))):
        leader.membership_changed_at = now


def advance_commit_index(node: NodeState, leader: LeaderState) -> None:
    """Commits the entries that a majority of the members has on disk; this node's disk is already synced."""
    matched = sorted((_match_index(node, leader, member) for member in node.members), reverse=True)
    index = matched[len(matched) // 2]
    if index > node.commit_index and node.log.term_at(index) == node.term:
        node.commit_index = index


def _match_index(node: NodeState, leader: LeaderState, member: Member) -> int:
    if member.name == node.name:
        return node.log.last_index if member.incarnation == node.incarnation else 0
    progress = leader.followers.get(member.name)
    if progress is not None and progress.incarnation == member.incarnation:
        return progress.match_index
    return 0


def replicate(node: NodeState, leader: LeaderState, now: int, outbox: Outbox) -> None:
    """Sends new entries to the followers to which no entries are in flight."""
    for name in node.peer_names():
        progress = leader.progress_of(name)
        if (
            not progress.has_entries_in_flight
            and node.log.snapshot_index < progress.next_index <= node.log.last_index
        ):
            _send_entries(node, leader, now, name, outbox)


def _send_entries(node: NodeState, leader: LeaderState, now: int, name: str, outbox: Outbox) -> None:
    """Sends a follower the entries or the snapshot that it lacks, or a heartbeat if neither is due."""
    progress, log = leader.progress_of(name), node.log
    entries: tuple[Entry, ...] = ()
    if progress.next_index > log.snapshot_index:
        previous_index = progress.next_index - 1
        entries = log.entries_from(progress.next_index)
        progress.has_entries_in_flight = bool(entries)
    elif progress.is_snapshot_due(now):
        progress.snapshot_sent_at = now
        outbox.append((name, _snapshot_message(node)))
        return
    else:
        # Heartbeats continue, so that the follower starts no election while it decodes the snapshot
        previous_index = log.snapshot_index
    previous_term = log.term_at(previous_index) or 0
    message = AppendEntries(
        node.term, node.incarnation, previous_index, previous_term, node.commit_index, entries
    )
    outbox.append((name, message))


def _snapshot_message(node: NodeState) -> InstallSnapshot:
    log, state = node.log, node.store.snapshot
    members = log.members_at(log.snapshot_index)
    return InstallSnapshot(
        node.term, node.incarnation, log.snapshot_index, log.snapshot_term, members, state or b""
    )


def on_append_response(
    node: NodeState, now: int, sender: str, response: AppendEntriesResponse, outbox: Outbox
) -> None:
    """Handles a follower's answer: it has stored the entries, or lacks the entry that precedes them."""
    leader = node.leader_state
    if response.term > node.term:
        node.enter_term(now, response.term)
        return
    if node.role is not Role.LEADER or leader is None or response.term < node.term:
        node.reject(MessageRejection.LATE)
        return
    progress = leader.progress_of(sender)
    if progress.incarnation != response.incarnation:
        progress.reset(response.incarnation, node.log.last_index)
    progress.answered_at, progress.has_entries_in_flight = now, False
    if response.success and response.match_index > node.log.last_index:
        node.reject(MessageRejection.NEVER_SENT_ENTRY)
    elif response.success:
        progress.match_index = max(progress.match_index, response.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
    else:
        # A delayed conflict hint must not move `next_index` back below the entries that are known to match
        hint = min(progress.next_index - 1, response.match_index)
        progress.next_index = max(progress.match_index, hint) + 1
        if progress.next_index > node.log.snapshot_index or progress.is_snapshot_due(now):
            _send_entries(node, leader, now, sender, outbox)
