"""Small faults that are put into the keepers and leases one at a time: the checks must find each, by name.

A mutant changes a few words in the source of functions; where the words are not there (any more) it says so,
as a mutant that changes nothing would be called caught by any breach.
"""

import __future__

import inspect
import textwrap
from contextlib import contextmanager
from typing import NamedTuple

from gaproute.shared.leases import commands
from gaproute.shared.leases.client import LeaseClient
from gaproute.shared.leases.expiry import ExpiryTimers
from gaproute.shared.leases.requests import LeaseRequest
from gaproute.shared.leases.table import LeaseTable
from gaproute.shared.raft import bootstrap, election, follower, leader, membership, requests
from gaproute.shared.raft.node import RaftNode
from gaproute.shared.raft.sessions import Sessions
from gaproute.shared.raft.store import LoadedState, Store

TELLS, VOTE, LEADER = "on disk before it is told", "one vote a term", "one leader a term"
REMEMBERED, TERM, WRITTEN = "a vote is remembered", "term only grows", "a vote is on disk before it is told"
UNSAID, STATE, MATCH = "never unsaid", "same entries, same state", "log matching"
HOLDER, STANDS = "one holder at one true moment", "a lease stands while its holder may"
MOST, OWN_TERM = "a leader has most votes", "a leader commits by its own term"
ONE, HAVE = "members change one at a time", "committed is what most have"
FIRST = "the holder's end comes first"
FENCES = "fencing numbers grow"
ONCE, GROWS, POOL = "a fencing number is given once", "fencing number only grows", "pool never overspent"
SPENT, ANSWER = "one holder, no pool overspent", "one answer a request"


class PlantedFault(NamedTuple):
    """`edits`: (function, words, words in their place). `seed`: where it is caught soonest, a hint. `keepers`
    and `kind`: which play."""

    name: str
    names: tuple
    edits: tuple
    seed: int = 0
    keepers: int = 3
    kind: str = "common"


def _m(name, names, *edits, **told):
    return PlantedFault(name, names, edits, **told)


PLANTED_FAULTS = (
    _m(
        "a vote is not written",
        (WRITTEN, REMEMBERED),
        (Store.save_vote, "self._write(VoteRecord(term, name, incarnation))", "pass"),
        seed=1,
    ),
    _m("told before it is synced", (TELLS,), (Store.sync, "self.disk.sync()", "pass"), seed=1),
    _m(
        "a restart forgets whom it voted for",
        (REMEMBERED, VOTE),
        (
            LoadedState.take,
            "self.term, self.voted_for = record.term, Candidate(record.name, record.incarnation)",
            "self.term = record.term",
        ),
        seed=3,
    ),
    _m(
        "a rewritten disk has no vote",
        (REMEMBERED, VOTE),
        (Store.rewrite, "VoteRecord(self.term, *self.voted_for)", 'VoteRecord(self.term, "", 0)'),
        seed=3,
    ),
    _m(
        "a restart forgets the log",
        (UNSAID, LEADER, STATE, MATCH, STANDS, TERM, "words without end"),
        (LoadedState.take, "self.log.append(record.index, record.entry)", "pass"),
        seed=2,
    ),
    _m(
        "a vote is given twice",
        (WRITTEN, REMEMBERED, VOTE, LEADER),
        (election.on_request_vote, " and voted_for in (NOBODY, candidate)", ""),
        seed=25,
    ),
    _m(
        "a vote is given to a log that knows less",
        (UNSAID, MATCH, STATE),
        (
            election.on_request_vote,
            "known = node.log.is_up_to_date(request.last_log_index, request.last_log_term)",
            "known = True",
        ),
        seed=15,
    ),
    _m(
        "votes of another life are counted",
        (MOST, LEADER, UNSAID, STATE, MATCH),
        (
            membership.is_majority,
            "incarnations.get(member.name) == member.incarnation",
            "member.name in incarnations",
        ),
        seed=7,
    ),
    _m(
        "a lost disk comes back as if it remembered",
        (VOTE, TERM, REMEMBERED),
        (Store.open, "incarnation = 1 + self.chance.below(HIGHEST)", "incarnation = 1"),
        seed=7,
    ),
    _m(
        "a keeper without memory founds anew",
        (LEADER, UNSAID, STATE, MATCH, VOTE, FENCES),
        (bootstrap.on_probe, "if message.blank:", "if True:"),
        seed=3,
    ),
    _m(
        "a leader of an old term is followed",
        (UNSAID, MATCH, STATE, LEADER),
        (follower._follow, "if message.term < node.term:", "if False:"),
        seed=13,
    ),
    _m(
        "a leader does not step down for a greater term",
        (MOST, LEADER, "no entry of a later term"),
        (RaftNode.enter_term, "self.step_down(now)", "pass"),
        seed=13,
    ),
    _m(
        "an entry in conflict is not cut",
        (UNSAID, STATE, MATCH),
        (follower._append, "if log.term_at(at) == entry.term:", "if at <= log.last_index:"),
        seed=9,
    ),
    _m(
        "the entry before is not compared",
        (UNSAID, STATE, MATCH),
        (
            follower.on_append_entries,
            "elif log.term_at(index) != message.prev_log_term:",
            "elif index > log.last_index:",
        ),
        seed=30,
    ),
    _m(
        "committed beyond what was compared",
        (UNSAID, STATE, "raised", "applied after committed after held"),
        (follower.on_append_entries, "min(message.leader_commit, end)", "message.leader_commit"),
        seed=2,
    ),
    _m(
        "committed by a minority",
        (HAVE, UNSAID, STATE, MATCH, STANDS),
        (leader.advance_commit_index, "matched[len(matched) // 2]", "matched[0]"),
        seed=1,
    ),
    _m(
        "committed by an entry of an old term",
        (OWN_TERM, UNSAID, STATE, STANDS),
        (leader.advance_commit_index, " and node.log.term_at(index) == node.term", ""),
        seed=15,
    ),
    _m(
        "what the old disk had is counted for the new one",
        (HAVE, UNSAID, STATE, STANDS),
        (
            leader.on_append_response,
            "progress.restart(response.incarnation, node.log.last_index)",
            "progress.incarnation = response.incarnation",
        ),
        (leader._match_index, " and progress.incarnation == member.incarnation", ""),
        seed=3,
    ),
    _m(
        "a snapshot without the sessions",
        (STATE, ANSWER, "sessions have owners"),
        (Sessions.pack, "in self.table.items()", "in ()"),
        seed=1,
    ),
    _m(
        "a request is done twice",
        (ANSWER,),
        (Sessions._command, "if entry.nonce > nonce:", "if True:"),
        (requests._answer_at_once, "if request.nonce == session.nonce:", "if False:"),
        seed=2,
    ),
    _m(
        "sessions of one holder without end",
        ("session table bounded",),
        (Sessions._open, "if len(own) >= MAX_SESSIONS_PER_CLIENT:", "if False:"),
        kind="tight",
        seed=11,
    ),
    _m(
        "the keepers' end without the clock bound",
        (FIRST, HOLDER, STANDS, SPENT),
        (commands.expiry_wait, "duration + -(-duration * 3 * error_per_mille // 1000)", "duration"),
        kind="tight",
        seed=4,
    ),
    _m(
        "a new leader does not wait for leases of before",
        (FIRST, HOLDER, STANDS, SPENT),
        (
            ExpiryTimers.__init__,
            "self.update(now, fencing_token, log_index, wait)",
            "self.update(now, fencing_token, log_index, 0)",
        ),
        kind="tight",
        seed=1,
    ),
    _m(
        "a holder counts from the answer",
        (FIRST, HOLDER, STANDS, SPENT),
        (LeaseClient._acquired, "self._extend(request, first_sent)", "self._extend(request, now)"),
        (LeaseClient._completed, "self._extend(request, command.first_sent)", "self._extend(request, now)"),
        kind="tight",
        seed=13,
    ),
    _m(
        "a holder goes on after the end",
        (FIRST, HOLDER, STANDS, SPENT),
        (LeaseRequest.valid_at, " and now < self.expires_at", ""),
        (
            LeaseClient._release_expired,
            "request.expires_at is not None and now >= request.expires_at",
            "False",
        ),
        kind="tight",
        seed=7,
    ),
    _m(
        "what is given back is still used",
        (FIRST, HOLDER, STANDS, SPENT),
        (LeaseClient.release, "self._end(request, LeaseState.RELEASED)", "pass"),
        seed=4,
    ),
    _m(
        "a fencing number is used again",
        (GROWS, ONCE, FENCES),
        (
            LeaseTable._acquire,
            "self.last_token += 1",
            "self.last_token = max(self.leases, default=self.last_token) + 1",
        ),
        seed=4,
    ),
    _m(
        "a pool lends one too many",
        (POOL, HOLDER, SPENT),
        (LeaseTable._acquire, "> self.pool_size(command.resource)", "> self.pool_size(command.resource) + 1"),
        seed=1,
    ),
    _m(
        "all that is lent counts as one",
        ("amounts held are those of the leases",),
        (
            LeaseTable._acquire,
            "self.amounts_held[command.resource] = held + command.amount",
            "self.amounts_held[command.resource] = held + 1",
        ),
        seed=1,
    ),
    _m(
        "granted at once after all memory was lost",
        (HOLDER,),
        (LeaseTable._acquire, "if self.initial_wait:", "if False:"),
        kind="forgotten",
        seed=0,
    ),
    _m(
        "fencing numbers begin anew after all memory was lost",
        (FENCES,),
        (LeaseTable.raise_last_token, "max(self.last_token, lowest)", "self.last_token"),
        kind="forgotten",
        seed=0,
    ),
    _m(
        "a keeper changes its members at once",
        (ONE, LEADER, UNSAID, STATE, MATCH),
        (
            membership.next_membership,
            "known = {member.name for member in members}",
            "known = {member.name for member in members}\n"
            "    if known != set(configured) and set(configured) <= set(incarnations):\n"
            "        return tuple(Member(name, incarnations[name]) for name in sorted(configured))",
        ),
        seed=17,
    ),
)


@contextmanager
def planted(mutant):
    """The fault is in the code until the end. Errors: ValueError where the words are not there."""
    before = []
    try:
        for function, words, others in mutant.edits:
            source = textwrap.dedent(inspect.getsource(function))
            if words not in source:
                raise ValueError(f"{mutant.name}: {function.__qualname__} has no {words!r}")
            made = {}
            changed = source.replace(words, others)
            code = compile(changed, f"<{mutant.name}>", "exec", flags=__future__.annotations.compiler_flag)
            exec(code, function.__globals__, made)
            before.append((function, function.__code__))
            function.__code__ = made[function.__name__].__code__
        yield
    finally:
        for function, code in reversed(before):
            function.__code__ = code
