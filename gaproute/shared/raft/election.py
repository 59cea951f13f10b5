"""Elections (Raft paper, 5.2 and 5.4.1), with pre-vote and with protection against disruptive candidates.

Pre-vote is described in section 9.6 of Ongaro's dissertation. By section 4.2.3, a node ignores vote requests
while messages of a leader arrive. A node votes once per term, for a candidate whose log is at least as
up-to-date as its own; the vote is durable before it is sent.
"""

from __future__ import annotations

from gaproute.shared.raft.messages import EntryKind, Outbox, RequestVote, RequestVoteResponse
from gaproute.shared.raft.node_state import NodeState
from gaproute.shared.raft.rejections import MessageRejection
from gaproute.shared.raft.role import Role
from gaproute.shared.raft.store import NO_CANDIDATE
from gaproute.shared.raft.timing import ELECTION_TIMEOUT


def _request_votes(node: NodeState, outbox: Outbox, term: int, *, pre_vote: bool) -> None:
    log = node.log
    request = RequestVote(term, node.incarnation, log.last_index, log.last_term, pre_vote)
    outbox.extend((name, request) for name in node.peer_names())


def start_pre_vote(node: NodeState, outbox: Outbox) -> None:
    """Asks the other nodes whether they would vote for this node.

    The term is raised only after a majority has agreed, so that a node that returns from a network partition
    does not depose a working leader with a higher term.
    """
    node.role, node.leader = Role.PRE_CANDIDATE, ""
    node.granted_votes = {node.name: node.incarnation}
    _request_votes(node, outbox, node.term + 1, pre_vote=True)


def on_majority(node: NodeState, now: int, outbox: Outbox) -> None:
    """Starts the election after a won pre-vote; makes this node the leader after a won election."""
    if node.role is Role.PRE_CANDIDATE:
        node.role = Role.CANDIDATE
        node.store.save_vote(node.term + 1, node.name, node.incarnation)
        node.granted_votes = {node.name: node.incarnation}
        _request_votes(node, outbox, node.term, pre_vote=False)
        return
    node.become_leader(now)
    # A leader commits entries of earlier terms only with an entry of its own term (Raft paper, 5.4.2).
    node.propose(EntryKind.NOOP)


def on_request_vote(node: NodeState, now: int, sender: str, request: RequestVote, outbox: Outbox) -> None:
    """Grants or denies a vote; a request with a higher term is not answered while a leader is alive."""
    leader_is_alive = node.is_leader or now - node.leader_message_at < ELECTION_TIMEOUT
    if leader_is_alive and request.term > node.term:
        node.reject(MessageRejection.LEADER_IS_ALIVE)
        return
    up_to_date = node.log.is_up_to_date(request.last_log_index, request.last_log_term)
    if request.pre_vote:
        granted = request.term > node.term and up_to_date
        outbox.append((sender, RequestVoteResponse(node.term, node.incarnation, True, granted)))
        return
    if request.term > node.term:
        node.enter_term(now, request.term)
    voted_for, candidate = node.store.voted_for, (sender, request.incarnation)
    granted = request.term == node.term and up_to_date and voted_for in (NO_CANDIDATE, candidate)
    if granted and voted_for == NO_CANDIDATE:
        node.store.save_vote(node.term, sender, request.incarnation)
        node.reset_election_timer(now)
    outbox.append((sender, RequestVoteResponse(node.term, node.incarnation, False, granted)))


def on_vote_response(
    node: NodeState, now: int, sender: str, response: RequestVoteResponse, outbox: Outbox
) -> None:
    """Counts a granted vote in the current election; `RaftNode` detects the majority."""
    if response.term > node.term:
        node.enter_term(now, response.term)
        return
    if response.pre_vote:
        is_awaited = node.role is Role.PRE_CANDIDATE
    else:
        is_awaited = node.role is Role.CANDIDATE and response.term == node.term
    if is_awaited and response.vote_granted:
        node.granted_votes[sender] = response.incarnation
