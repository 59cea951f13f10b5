"""What must hold of each Raft node, given the messages that all nodes have sent."""

from collections.abc import Iterator, Mapping
from itertools import pairwise
from typing import TypeVar

from gaproute.shared.raft import RaftNode
from gaproute.simulation.process_slot import ProcessSlot
from gaproute.simulation.raft_group import check_names as names
from gaproute.simulation.raft_group.message_checks import SentMessageChecks
from gaproute.simulation.simulation import Simulation

Value = TypeVar("Value")


class NodeStateChecks:
    """A check after each step: a node knows what it said before, and a leader has what a leader needs.

    What breaks the rules of the agreement is found at once, not only where harm comes of it, which takes
    several accidents more.
    """

    def __init__(self, sent: SentMessageChecks) -> None:
        self.sent = sent
        self._terms: dict[tuple[str, int], int] = {}  # by name and incarnation
        self._commit_indexes: dict[tuple[str, int, int], int] = {}  # of leaders, by name, incarnation, term

    def __call__(self, simulation: Simulation, slot: ProcessSlot) -> Iterator[str]:
        """Looks at the node that has just acted."""
        node = slot.process
        if isinstance(node, RaftNode):
            yield from self._check_term(node)
            yield from self._check_memberships(node)
            yield from self._check_followed(node)
            if node.is_leader:
                yield from self._check_leader(node)

    def _check_term(self, node: RaftNode) -> Iterator[str]:
        itself, term = (node.name, node.incarnation), node.term
        before = self._terms.get(itself, 0)
        if term < before and not node.storage_failure:
            yield f"{names.TERM_GROWS}: {node.name} was in {before}, is in {term}"
        self._terms[itself] = before if node.storage_failure else max(term, before)
        sent = self.sent.votes.get((*itself, term))
        if sent is not None and node.store.voted_for[0] != sent:
            known = node.store.voted_for
            yield f"{names.VOTE_REMEMBERED}: {node.name} gave {term} to {sent}, knows of {known}"

    @staticmethod
    def _check_memberships(node: RaftNode) -> Iterator[str]:
        for (_, before), (_, after) in pairwise(node.log.membership_history):
            if before and len({*before} ^ {*after}) > 1:
                yield f"{names.ONE_MEMBER_AT_A_TIME}: {node.name}, {before} to {after}"

    def _check_followed(self, node: RaftNode) -> Iterator[str]:
        leader = self.sent.leaders.get(node.term)
        if node.leader and leader is not None and leader[0] != node.leader:
            yield f"{names.ONE_LEADER}: {node.name} follows {node.leader} in {node.term}, led by {leader[0]}"

    def _check_leader(self, node: RaftNode) -> Iterator[str]:
        key = node.name, node.incarnation, node.term
        before, commit = self._commit_indexes.get(key), node.commit_index
        self._commit_indexes[key] = commit
        if before is None:
            if not self._is_majority(node, self._voters(node)):
                yield f"{names.MAJORITY_OF_VOTES}: {node.name} leads {node.term} without"
        elif commit > before:
            if node.log.term_at(commit) != node.term:
                yield f"{names.COMMITS_OWN_TERM}: {node.name} {commit} in {node.term}"
            if not self._is_majority(node, self._holders(node, commit)):
                yield f"{names.COMMITTED_BY_MAJORITY}: {node.name} {commit} in {node.term}"

    def _voters(self, node: RaftNode) -> list[str]:
        """The members that granted the node their vote, each under the incarnation that is a member."""
        votes = self._by_member(node, self.sent.votes)
        return [name for name, candidate in votes.items() if candidate == node.name]

    def _holders(self, node: RaftNode, index: int) -> list[str]:
        """The members that acknowledged the leader's entries up to `index`."""
        acknowledged = self._by_member(node, self.sent.acknowledged)
        return [name for name, match_index in acknowledged.items() if match_index >= index]

    @staticmethod
    def _by_member(node: RaftNode, sent: Mapping[tuple[str, int, int], Value]) -> dict[str, Value]:
        return {
            member.name: sent[key]
            for member in node.members
            if (key := (member.name, member.incarnation, node.term)) in sent
        }

    @staticmethod
    def _is_majority(node: RaftNode, others: list[str]) -> bool:
        """Whether these, with the node itself where it is a member, are more than half of the members."""
        count = sum(member.name == node.name or member.name in others for member in node.members)
        return 2 * count > len(node.members)
