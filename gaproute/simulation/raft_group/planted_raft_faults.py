"""Faults that can be planted in Raft: votes, terms, the log, snapshots, sessions and memberships."""

from gaproute.shared.raft import bootstrap, election, follower, leader, membership, requests
from gaproute.shared.raft.node import RaftNode
from gaproute.shared.raft.sessions import Sessions
from gaproute.shared.raft.store import LoadedState, Store
from gaproute.simulation.raft_group import check_names as names
from gaproute.simulation.raft_group.planted_faults import Edit, PlantedFault
from gaproute.simulation.raft_group.setup import RunKind

RAFT_FAULTS = (
    PlantedFault(
        "a vote is not written",
        found_by=(names.VOTE_DURABLE_BEFORE_SENT, names.VOTE_REMEMBERED),
        seed=1,
        edits=(Edit(Store.save_vote, "self._write(VoteRecord(term, name, incarnation))", "pass"),),
    ),
    PlantedFault(
        "sent before it is synced",
        found_by=(names.DURABLE_BEFORE_SENT,),
        seed=1,
        edits=(Edit(Store.sync, "self.disk.sync()", "pass"),),
    ),
    PlantedFault(
        "a restart forgets whom it voted for",
        found_by=(names.VOTE_REMEMBERED, names.ONE_VOTE),
        seed=3,
        edits=(
            Edit(
                LoadedState.apply_record,
                "self.term, self.voted_for = record.term, Candidate(record.name, record.incarnation)",
                "self.term = record.term",
            ),
        ),
    ),
    PlantedFault(
        "a rewritten disk has no vote",
        found_by=(names.VOTE_REMEMBERED, names.ONE_VOTE),
        seed=3,
        edits=(
            Edit(Store.rewrite, "VoteRecord(self.term, *self.voted_for)", 'VoteRecord(self.term, "", 0)'),
        ),
    ),
    PlantedFault(
        "a restart forgets the log",
        found_by=(
            names.COMMITTED_NEVER_CHANGES,
            names.ONE_LEADER,
            names.SAME_STATE,
            names.LOG_MATCHING,
            names.LEASE_OUTLASTS_HOLDER,
            names.TERM_GROWS,
            names.ENDLESS_MESSAGES,
        ),
        seed=2,
        edits=(Edit(LoadedState.apply_record, "self.log.append(record.index, record.entry)", "pass"),),
    ),
    PlantedFault(
        "a vote is given twice",
        found_by=(names.VOTE_DURABLE_BEFORE_SENT, names.VOTE_REMEMBERED, names.ONE_VOTE, names.ONE_LEADER),
        seed=25,
        edits=(Edit(election.on_request_vote, " and voted_for in (NO_CANDIDATE, candidate)", ""),),
    ),
    PlantedFault(
        "a vote is given to a log that knows less",
        found_by=(names.COMMITTED_NEVER_CHANGES, names.LOG_MATCHING, names.SAME_STATE),
        seed=15,
        edits=(
            Edit(
                election.on_request_vote,
                "up_to_date = node.log.is_up_to_date(request.last_log_index, request.last_log_term)",
                "up_to_date = True",
            ),
        ),
    ),
    PlantedFault(
        "votes of another incarnation are counted",
        found_by=(
            names.MAJORITY_OF_VOTES,
            names.ONE_LEADER,
            names.COMMITTED_NEVER_CHANGES,
            names.SAME_STATE,
            names.LOG_MATCHING,
        ),
        seed=7,
        edits=(
            Edit(
                membership.is_majority,
                "incarnations.get(member.name) == member.incarnation",
                "member.name in incarnations",
            ),
        ),
    ),
    PlantedFault(
        "a lost disk comes back as if it remembered",
        found_by=(names.ONE_VOTE, names.TERM_GROWS, names.VOTE_REMEMBERED),
        seed=7,
        edits=(Edit(Store.open, "incarnation = 1 + self.random.below(MAX_COUNT)", "incarnation = 1"),),
    ),
    PlantedFault(
        "a node without memory bootstraps anew",
        found_by=(
            names.ONE_LEADER,
            names.COMMITTED_NEVER_CHANGES,
            names.SAME_STATE,
            names.LOG_MATCHING,
            names.ONE_VOTE,
            names.TOKENS_GROW,
        ),
        seed=3,
        edits=(Edit(bootstrap.on_probe, "if message.blank:", "if True:"),),
    ),
    PlantedFault(
        "a leader of an old term is followed",
        found_by=(names.COMMITTED_NEVER_CHANGES, names.LOG_MATCHING, names.SAME_STATE, names.ONE_LEADER),
        seed=13,
        edits=(Edit(follower._follow, "if message.term < node.term:", "if False:"),),
    ),
    PlantedFault(
        "a leader does not step down for a greater term",
        found_by=(names.MAJORITY_OF_VOTES, names.ONE_LEADER, names.NO_LATER_TERM),
        seed=13,
        edits=(Edit(RaftNode.enter_term, "self.step_down(now)", "pass"),),
    ),
    PlantedFault(
        "an entry in conflict is not cut",
        found_by=(names.COMMITTED_NEVER_CHANGES, names.SAME_STATE, names.LOG_MATCHING),
        seed=9,
        edits=(
            Edit(follower._append, "if log.term_at(index) == entry.term:", "if index <= log.last_index:"),
        ),
    ),
    PlantedFault(
        "the entry before is not compared",
        found_by=(names.COMMITTED_NEVER_CHANGES, names.SAME_STATE, names.LOG_MATCHING),
        seed=30,
        edits=(
            Edit(
                follower.on_append_entries,
                "elif log.term_at(index) != message.prev_log_term:",
                "elif index > log.last_index:",
            ),
        ),
    ),
    PlantedFault(
        "committed beyond what was compared",
        found_by=(names.COMMITTED_NEVER_CHANGES, names.SAME_STATE, names.RAISED, names.APPLIED_IN_ORDER),
        seed=2,
        edits=(Edit(follower.on_append_entries, "min(message.leader_commit, end)", "message.leader_commit"),),
    ),
    PlantedFault(
        "committed by a minority",
        found_by=(
            names.COMMITTED_BY_MAJORITY,
            names.COMMITTED_NEVER_CHANGES,
            names.SAME_STATE,
            names.LOG_MATCHING,
            names.LEASE_OUTLASTS_HOLDER,
        ),
        seed=1,
        edits=(Edit(leader.advance_commit_index, "matched[len(matched) // 2]", "matched[0]"),),
    ),
    PlantedFault(
        "committed by an entry of an old term",
        found_by=(
            names.COMMITS_OWN_TERM,
            names.COMMITTED_NEVER_CHANGES,
            names.SAME_STATE,
            names.LEASE_OUTLASTS_HOLDER,
        ),
        seed=15,
        edits=(Edit(leader.advance_commit_index, " and node.log.term_at(index) == node.term", ""),),
    ),
    PlantedFault(
        "what the old disk had is counted for the new one",
        found_by=(
            names.COMMITTED_BY_MAJORITY,
            names.COMMITTED_NEVER_CHANGES,
            names.SAME_STATE,
            names.LEASE_OUTLASTS_HOLDER,
        ),
        seed=3,
        edits=(
            Edit(
                leader.on_append_response,
                "progress.reset(response.incarnation, node.log.last_index)",
                "progress.incarnation = response.incarnation",
            ),
            Edit(leader._match_index, " and progress.incarnation == member.incarnation", ""),
        ),
    ),
    PlantedFault(
        "a snapshot without the sessions",
        found_by=(names.SAME_STATE, names.ONE_ANSWER, names.SESSIONS_HAVE_OWNERS),
        seed=1,
        edits=(Edit(Sessions.pack, "in self.table.items()", "in ()"),),
    ),
    PlantedFault(
        "a request is done twice",
        found_by=(names.ONE_ANSWER,),
        seed=2,
        edits=(
            Edit(Sessions._apply_command, "if entry.nonce > nonce:", "if True:"),
            Edit(requests._answer_without_entry, "if request.nonce == session.nonce:", "if False:"),
        ),
    ),
    PlantedFault(
        "sessions of one client without end",
        found_by=(names.SESSIONS_BOUNDED,),
        seed=11,
        kind=RunKind.TIGHT,
        edits=(Edit(Sessions._open_session, "if len(numbers) >= MAX_SESSIONS_PER_CLIENT:", "if False:"),),
    ),
    PlantedFault(
        "a node changes its members at once",
        found_by=(
            names.ONE_MEMBER_AT_A_TIME,
            names.ONE_LEADER,
            names.COMMITTED_NEVER_CHANGES,
            names.SAME_STATE,
            names.LOG_MATCHING,
        ),
        seed=17,
        edits=(
            Edit(
                membership.next_membership,
                "known = {member.name for member in members}",
                "known = {member.name for member in members}\n"
                "    if known != set(configured) and set(configured) <= set(incarnations):\n"
                "        return tuple(Member(name, incarnations[name]) for name in sorted(configured))",
            ),
        ),
    ),
)
