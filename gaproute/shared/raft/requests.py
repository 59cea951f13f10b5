"""The leader's handling of client requests: it checks them, logs each once, and replies after the commit."""

from __future__ import annotations

from gaproute.shared.messages import MAX_NAME_LENGTH
from gaproute.shared.raft.leader_state import LeaderState, PendingReply
from gaproute.shared.raft.messages import EntryKind, Outbox, Reply, ReplyStatus, Request
from gaproute.shared.raft.node_state import NodeState
from gaproute.shared.raft.rejections import MessageRejection
from gaproute.shared.raft.sessions import OLD_NONCE, EntryResult

MAX_PENDING_REQUESTS_PER_CLIENT = 4  # uncommitted requests; a client sends one at a time
NOT_THE_OWNER = "not the holder's own"


def on_request(node: NodeState, sender: str, request: Request, outbox: Outbox) -> None:
    """Appends a request to the log, or answers it immediately."""
    if not 0 < len(sender) <= MAX_NAME_LENGTH or not request.nonce:
        node.reject(MessageRejection.INVALID_REQUEST)
        return
    leader = node.leader_state
    if leader is None:
        reply = Reply(request.session, request.nonce, ReplyStatus.NOT_LEADER, leader=node.leader)
        outbox.append((sender, reply))
        return
    result = _answer_without_entry(node, leader, sender, request)
    if result is None:
        result = _append_request(node, leader, sender, request)
    if result is not None:
        reply = Reply(request.session, request.nonce, result.status, result.body)
        outbox.append((sender, reply))


def _answer_without_entry(
    node: NodeState, leader: LeaderState, sender: str, request: Request
) -> EntryResult | None:
    """The result of a request that needs no log entry; None if the request needs one."""
    # Until an entry of its own term is committed, a new leader may not know all committed entries
    if node.commit_index < leader.first_index_of_term:
        return EntryResult(ReplyStatus.BUSY)
    if not request.session:
        return None
    session = node.sessions.table.get(request.session)
    if session is None:
        return EntryResult(ReplyStatus.UNKNOWN_SESSION)
    reason = NOT_THE_OWNER if session.owner != sender else node.machine.check(sender, request.body)
    if not reason and request.nonce < session.nonce:
        reason = OLD_NONCE
    if reason:
        node.reject(MessageRejection.REFUSED_REQUEST)
        return EntryResult(ReplyStatus.REFUSED, reason.encode())
    if request.nonce == session.nonce:
        return EntryResult(ReplyStatus.DONE, session.result)
    return None


def _append_request(
    node: NodeState, leader: LeaderState, sender: str, request: Request
) -> EntryResult | None:
    """Appends the request to the log and returns None, or returns that the leader is busy.

    The client of an appended request gets its reply after the commit.
    """
    pending = PendingReply(sender, request.session, request.nonce)
    pending_of_sender = [reply for reply in leader.pending_replies.values() if reply.client == sender]
    if pending in pending_of_sender:
        return None  # the request is in the log already and is answered after its commit
    kind, body = EntryKind.COMMAND, request.body
    if not request.session:
        kind, body = EntryKind.OPEN_SESSION, sender.encode()
    index = 0
    if len(pending_of_sender) < MAX_PENDING_REQUESTS_PER_CLIENT:
        index = node.propose(kind, request.session, request.nonce, body)
    if not index:
        node.reject(MessageRejection.BUSY)
        return EntryResult(ReplyStatus.BUSY)
    leader.pending_replies[index] = pending
    return None


def reply_to_client(leader: LeaderState, index: int, result: EntryResult, outbox: Outbox) -> None:
    """Sends the result to the client that waits for the entry at `index`, if there is one."""
    pending = leader.pending_replies.pop(index, None)
    if pending is not None:
        reply = Reply(pending.session, pending.nonce, result.status, result.body, opened=result.opened)
        outbox.append((pending.client, reply))
