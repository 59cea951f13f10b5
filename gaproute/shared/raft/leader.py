"""The leader's side: entries to all, commits by majority (Raft 5.3, 5.4.2), and stepping down when a
majority is not heard any more (dissertation 6.2), so that holders are sent elsewhere."""

import msgspec

from gaproute.shared.raft.membership import next_membership
from gaproute.shared.raft.messages import AppendEntries, Entry, EntryKind, InstallSnapshot, Membership
from gaproute.shared.raft.role import Role
from gaproute.shared.raft.timing import (
    HEARTBEAT_INTERVAL,
    MEMBERSHIP_CHANGE_INTERVAL,
    QUORUM_TIMEOUT,
    SNAPSHOT_RESEND_INTERVAL,
)

MAX_UNCOMMITTED = 512  # entries not yet agreed on: a megabyte at most; beyond it holders are told `busy`
MAX_EXPIRIES_A_TURN = 64  # permits let go in one turn; a leader that was stopped may find many


class FollowerProgress:
    """What is known of another node's log."""

    def __init__(self, following):
        self.next_index, self.match_index = following, 0
        self.incarnation = 0  # by its last answer
        self.answered_at = None  # when that came
        self.in_flight = False  # entries are on their way
        self.snapshot_sent_at = None  # when a snapshot was sent

    def restart(self, incarnation, last_index):
        """The name has another disk: what was known of the old one is nothing to this."""
        self.incarnation, self.match_index, self.next_index = incarnation, 0, last_index + 1
        self.snapshot_sent_at = None


class LeaderState:
    def __init__(self, now, first, clocks):
        self.elected_at, self.first_index, self.clocks = now, first, clocks
        self.heartbeat_due = now  # when the next words are due
        self.followers = {}  # name: FollowerProgress
        self.pending_replies = {}  # index: (holder, session, nonce) to be answered
        self.membership_changed_at = now  # when members last changed

    def follower(self, name):
        if name not in self.followers:
            self.followers[name] = FollowerProgress(self.first_index)
        return self.followers[name]


def propose(node, kind, session, nonce, body):
    """Puts an entry into the leader's log; its index, or 0 where too many are not yet agreed on.

    The entry with which a term begins is always taken: after a restart of all, nothing of a long log is
    known to be agreed on, and it is this entry that brings the agreement (5.4.2)."""
    index = node.log.last_index + 1
    if kind != EntryKind.NOOP and index - node.commit_index > MAX_UNCOMMITTED:
        return 0
    node.store.append(index, Entry(node.term, kind, session, nonce, body))
    return index


def answering_incarnations(node, now):
    """name: incarnation of those who answered lately, itself among them."""
    return {
        node.name: node.incarnation,
        **{
            name: progress.incarnation
            for name, progress in node.leader_state.followers.items()
            if progress.answered_at is not None and now - progress.answered_at < QUORUM_TIMEOUT
        },
    }


def all_answering_have(node, now, index):
    """Whether all that answer have the entries up to `index`: then a snapshot makes nobody fetch it."""
    return all(
        progress.match_index >= index
        for progress in node.leader_state.followers.values()
        if progress.answered_at is not None and now - progress.answered_at < QUORUM_TIMEOUT
    )


def tick(node, now, out):
    lead = node.leader_state
    if now - lead.elected_at >= QUORUM_TIMEOUT and not node.is_majority(answering_incarnations(node, now)):
        node.step_down(now)
        return
    for fence, at in lead.clocks.pop_expired(now, MAX_EXPIRIES_A_TURN):
        if not node.propose_expiry(fence, at):
            lead.clocks.update(now, fence, at, HEARTBEAT_INTERVAL)
    if now >= lead.heartbeat_due:
        lead.heartbeat_due = now + HEARTBEAT_INTERVAL
        for name in [name for name in lead.followers if name not in node.peer_names()]:
            del lead.followers[name]
        for name in node.peer_names():
            lead.follower(name).in_flight = False
            _send_entries(node, now, name, out)
        _change_membership(node, now)


def _change_membership(node, now):
    """One step of the members towards the configuration, once the last one is agreed on and so is an entry
    of the own term (the flaw of single-server changes that Ongaro published in 2015)."""
    lead = node.leader_state
    if (
        node.log.membership_history[-1][0] > node.commit_index
        or node.commit_index < lead.first_index
        or now - lead.membership_changed_at < MEMBERSHIP_CHANGE_INTERVAL
    ):
        return
    matches = {
        name: (progress.incarnation, progress.match_index) for name, progress in lead.followers.items()
    }
    members = next_membership(
        node.members, node.configured_members, answering_incarnations(node, now), matches, node.commit_index
    )
    if members is not None and node.propose(
        EntryKind.MEMBERSHIP, body=msgspec.msgpack.encode(Membership(members))
    ):
        lead.membership_changed_at = now


def advance_commit_index(node, now, out):
    """Commits what a majority of the members has on disk, itself by what is synced."""
    have = sorted((_match_index(node, member) for member in node.members), reverse=True)
    index = have[len(have) // 2]
    if index > node.commit_index and node.log.term_at(index) == node.term:
        node.commit_index = index


def _match_index(node, member):
    if member.name == node.name:
        return node.log.last_index if member.incarnation == node.incarnation else 0
    progress = node.leader_state.followers.get(member.name)
    return progress.match_index if progress is not None and progress.incarnation == member.incarnation else 0


def replicate(node, now, out):
    """New entries to all that are not busy with others."""
    for name in node.peer_names():
        progress = node.leader_state.follower(name)
        if not progress.in_flight and node.log.snapshot_index < progress.next_index <= node.log.last_index:
            _send_entries(node, now, name, out)


def _snapshot_due(progress, now):
    return progress.snapshot_sent_at is None or now - progress.snapshot_sent_at >= SNAPSHOT_RESEND_INTERVAL


def _send_entries(node, now, name, out):
    progress, log = node.leader_state.follower(name), node.log
    if progress.next_index <= log.snapshot_index:
        if _snapshot_due(progress, now):
            progress.snapshot_sent_at = now
            out.append(
                (
                    name,
                    InstallSnapshot(
                        node.term,
                        node.incarnation,
                        log.snapshot_index,
                        log.snapshot_term,
                        log.members_at(log.snapshot_index),
                        node.store.snapshot,
                    ),
                )
            )
            return
        entries, before = (), log.snapshot_index  # a heartbeat: it is not to run for office while it unpacks
    else:
        entries, before = log.entries_from(progress.next_index), progress.next_index - 1
        progress.in_flight = bool(entries)
    out.append(
        (
            name,
            AppendEntries(
                node.term, node.incarnation, before, log.term_at(before), node.commit_index, entries
            ),
        )
    )


def on_append_response(node, now, sender, ack, out):
    if ack.term > node.term:
        node.enter_term(now, ack.term)
        return
    if node.role != Role.LEADER or ack.term < node.term:
        node.reject("late")
        return
    progress = node.leader_state.follower(sender)
    if progress.incarnation != ack.incarnation:
        progress.restart(ack.incarnation, node.log.last_index)
    progress.answered_at, progress.in_flight = now, False
    if ack.success and ack.match_index > node.log.last_index:
        node.reject("acknowledged what was not sent")
    elif ack.success:
        progress.match_index = max(progress.match_index, ack.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
    else:
        progress.next_index = max(progress.match_index, min(progress.next_index - 1, ack.match_index)) + 1
        if progress.next_index > node.log.snapshot_index or _snapshot_due(progress, now):
            _send_entries(node, now, sender, out)
