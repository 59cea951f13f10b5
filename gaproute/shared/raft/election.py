"""Elections: who asks, who gives (Raft 5.2, 5.4.1; pre-vote and the leader's protection: dissertation 9.6,
4.2.3).

A vote is given once a term, to a log that knows at least what the own does, and is on disk before it is
told.
"""

from gaproute.shared.raft.messages import EntryKind, RequestVote, RequestVoteResponse
from gaproute.shared.raft.role import Role
from gaproute.shared.raft.timing import ELECTION_TIMEOUT


def _request_votes(node, out, term, pre):
    log = node.log
    for name in node.peer_names():
        out.append((name, RequestVote(term, node.incarnation, log.last_index, log.last_term, pre)))


def start_pre_vote(node, now, out):
    """Would a majority vote? Only then is the term raised: one that was cut off disturbs nobody when it is
    back."""
    node.role, node.leader = Role.PRE_CANDIDATE, ""
    node.granted_votes = {node.name: node.incarnation}
    _request_votes(node, out, node.term + 1, True)


def on_majority(node, now, out):
    """A majority: of the first asking, then it asks in earnest; of the votes, then it leads."""
    if node.role == Role.PRE_CANDIDATE:
        node.role = Role.CANDIDATE
        node.store.save_vote(node.term + 1, node.name, node.incarnation)
        node.granted_votes = {node.name: node.incarnation}
        _request_votes(node, out, node.term, False)
        return
    node.become_leader(now)
    # Entries of past terms are committed by one of the own term only (5.4.2).
    node.propose(EntryKind.NOOP)


def on_request_vote(node, now, sender, ask, out):
    fresh = node.role == Role.LEADER or now - node.leader_heard_at < ELECTION_TIMEOUT
    if fresh and ask.term > node.term:
        node.reject("asked while a leader is heard")
        return
    known = node.log.is_up_to_date(ask.last_log_index, ask.last_log_term)
    if ask.pre_vote:
        out.append(
            (sender, RequestVoteResponse(node.term, node.incarnation, True, ask.term > node.term and known))
        )
        return
    if ask.term > node.term:
        node.enter_term(now, ask.term)
    given = ask.term == node.term and known and node.store.voted_for in (("", 0), (sender, ask.incarnation))
    if given and node.store.voted_for == ("", 0):
        node.store.save_vote(node.term, sender, ask.incarnation)
        node.reset_election_timer(now)
    out.append((sender, RequestVoteResponse(node.term, node.incarnation, False, given)))


def on_vote_response(node, now, sender, vote, out):
    if vote.term > node.term:
        node.enter_term(now, vote.term)
    elif vote.vote_granted and (
        node.role == Role.PRE_CANDIDATE
        if vote.pre_vote
        else node.role == Role.CANDIDATE and vote.term == node.term
    ):
        node.granted_votes[sender] = vote.incarnation
