"""Elections: who asks, who gives (Raft 5.2, 5.4.1; pre-vote and the leader's protection: dissertation 9.6,
4.2.3).

A vote is given once a term, to a log that knows at least what the own does, and is on disk before it is
told.
"""

from gaproute.shared.raft.messages import EntryKind, RequestVote, RequestVoteResponse
from gaproute.shared.raft.role import Role
from gaproute.shared.raft.timing import ELECTION


def _ask(keeper, out, term, pre):
    log = keeper.log
    for name in keeper.others():
        out.append((name, RequestVote(term, keeper.life, log.last, log.last_term, pre)))


def ask_first(keeper, now, out):
    """Would a majority vote? Only then is the term raised: one that was cut off disturbs nobody when it is
    back."""
    keeper.role, keeper.leader = Role.PRE_CANDIDATE, ""
    keeper.votes = {keeper.name: keeper.life}
    _ask(keeper, out, keeper.term + 1, True)


def won(keeper, now, out):
    """A majority: of the first asking, then it asks in earnest; of the votes, then it leads."""
    if keeper.role == Role.PRE_CANDIDATE:
        keeper.role = Role.CANDIDATE
        keeper.store.vote(keeper.term + 1, keeper.name, keeper.life)
        keeper.votes = {keeper.name: keeper.life}
        _ask(keeper, out, keeper.term, False)
        return
    keeper.lead_now(now)
    # Entries of past terms are committed by one of the own term only (5.4.2).
    keeper.propose(EntryKind.NOOP)


def asked(keeper, now, sender, ask, out):
    fresh = keeper.role == Role.LEADER or now - keeper.heard < ELECTION
    if fresh and ask.term > keeper.term:
        keeper.refuse("asked while a leader is heard")
        return
    known = keeper.log.after(ask.index, ask.last)
    if ask.pre:
        out.append(
            (sender, RequestVoteResponse(keeper.term, keeper.life, True, ask.term > keeper.term and known))
        )
        return
    if ask.term > keeper.term:
        keeper.enter(now, ask.term)
    given = ask.term == keeper.term and known and keeper.store.voted in (("", 0), (sender, ask.life))
    if given and keeper.store.voted == ("", 0):
        keeper.store.vote(keeper.term, sender, ask.life)
        keeper.put_off(now)
    out.append((sender, RequestVoteResponse(keeper.term, keeper.life, False, given)))


def voted(keeper, now, sender, vote, out):
    if vote.term > keeper.term:
        keeper.enter(now, vote.term)
    elif vote.given and (
        keeper.role == Role.PRE_CANDIDATE
        if vote.pre
        else keeper.role == Role.CANDIDATE and vote.term == keeper.term
    ):
        keeper.votes[sender] = vote.life
