"""The invariants of a Raft group; every check returns violations as texts that begin with the check's name.

`NodeCheck` checks a single node at low cost: the node runs it after every tick and message. `check_nodes`
compares all nodes of a group. The state machine has its own checks.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from hashlib import blake2b
from itertools import combinations
from typing import NamedTuple

import msgspec

from gaproute.shared.raft.messages import MAX_MEMBERS, Entry, Member
from gaproute.shared.raft.node_state import NodeState
from gaproute.shared.raft.sessions import MAX_SESSIONS, MAX_SESSIONS_PER_CLIENT
from gaproute.shared.raft.store import Candidate


class _CheckedState(NamedTuple):
    """The state of a node at its last check."""

    incarnation: int
    term: int
    commit_index: int
    last_token: int
    voted_for: Candidate


class NodeCheck:
    """Checks one node by itself and against its state at the last check."""

    def __init__(self) -> None:
        self.last_checked: _CheckedState | None = None

    def run(self, node: NodeState) -> list[str]:
        """Returns the violations at the node."""
        store, log = node.store, node.log
        violations = self._compare_with_last_check(node)
        if not log.snapshot_index <= node.last_applied <= node.commit_index <= log.last_index:
            indexes = f"{log.snapshot_index}, {node.last_applied}, {node.commit_index}, {log.last_index}"
            violations.append(
                f"applied, committed and last index in order: {node.name}, from snapshot to last: {indexes}"
            )
        if log.last_term > store.term:
            violations.append(
                f"no entry of a later term: last log term {log.last_term} above {store.term} at {node.name}"
            )
        if node.is_leader is not (node.leader_state is not None):
            violations.append(f"a leader has a leader's state: {node.name}")
        followers = node.leader_state.followers if node.leader_state is not None else {}
        if len(node.sessions.table) > MAX_SESSIONS or len(followers) > 2 * MAX_MEMBERS:
            violations.append(f"maps are bounded: {node.name}")
        return violations

    def _compare_with_last_check(self, node: NodeState) -> list[str]:
        store, before = node.store, self.last_checked
        present = _CheckedState(
            store.incarnation, store.term, node.commit_index, node.machine.last_token, store.voted_for
        )
        self.last_checked = present
        if before is None or before.incarnation != present.incarnation:
            return []
        violations = [
            f"{name} only grows: from {old} to {new} at {node.name}"
            for name, old, new in (
                ("term", before.term, present.term),
                ("commit index", before.commit_index, present.commit_index),
                ("fencing token", before.last_token, present.last_token),
            )
            if new < old
        ]
        vote_changed = before.voted_for.name and before.voted_for != present.voted_for
        if before.term == present.term and vote_changed:
            votes = f"{tuple(before.voted_for)} to {tuple(present.voted_for)}"
            violations.append(f"one vote a term: {votes} in term {present.term} at {node.name}")
        return violations


def check_log_and_sessions(node: NodeState) -> list[str]:
    """Returns the violations in the node's whole log and session table; an expensive check."""
    log = node.log
    terms = [log.snapshot_term, *(entry.term for entry in log.entries)]
    violations = [] if terms == sorted(terms) else [f"terms grow along the log: {node.name}"]
    table, numbers_by_owner = node.sessions.table, node.sessions.numbers_by_owner
    if sorted(table) != sorted(number for own in numbers_by_owner.values() for number in own):
        violations.append(f"sessions have owners: {node.name}")
    if any(len(own) > MAX_SESSIONS_PER_CLIENT for own in numbers_by_owner.values()):
        violations.append(f"session table bounded: {node.name}")
    return violations


class CheckHistory:
    """The observations of earlier checks; the caller keeps one history for a whole run."""

    def __init__(self) -> None:
        self.leaders_by_term: dict[int, Member] = {}  # the first known leader of each term
        self.committed_entries: dict[int, Entry] = {}  # by index, as committed first by some node
        self.compared_indexes: dict[Member, int] = {}  # by node, the last index compared
        self.state_digests: dict[int, bytes] = {}  # of `Sessions.pack`, by last applied index


def check_nodes(nodes: Iterable[NodeState], history: CheckHistory) -> list[str]:
    """Returns the violations at each running node and between the running nodes."""
    running_nodes = list(nodes)
    violations: list[str] = []
    for node in running_nodes:
        violations += node.violations + check_log_and_sessions(node)
        if node.is_leader:
            first = history.leaders_by_term.setdefault(node.term, node.identity)
            if first != node.identity:
                violations.append(f"one leader a term: {first.name} and {node.name} in term {node.term}")
        violations += _check_committed_entries(node, history)
    return violations + _check_log_matching(running_nodes)


def _check_committed_entries(node: NodeState, history: CheckHistory) -> list[str]:
    """Checks that committed entries and the states after them are equal at all nodes and never change."""
    log = node.log
    violations: list[str] = []
    compared = history.compared_indexes.get(node.identity)
    first = max(log.snapshot_index, min(compared or 0, node.commit_index))
    for index in range(first + 1, node.commit_index + 1):
        entry = log.entry_at(index)
        if history.committed_entries.setdefault(index, entry) != entry:
            violations.append(f"a committed entry never changes: entry {index} at {node.name}")
    if node.last_applied == node.commit_index != compared:
        state = blake2b(node.sessions.pack(), digest_size=16).digest()
        if history.state_digests.setdefault(node.last_applied, state) != state:
            violations.append(f"same entries, same state: {node.name} after {node.last_applied}")
    history.compared_indexes[node.identity] = node.commit_index
    return violations


def _check_log_matching(nodes: Sequence[NodeState]) -> list[str]:
    """Checks that two logs with equal terms at an index have equal entries up to it (log matching)."""
    violations: list[str] = []
    for one, other in combinations(nodes, 2):
        first = max(one.log.snapshot_index, other.log.snapshot_index)
        last = min(one.log.last_index, other.log.last_index)
        while last > first and one.log.term_at(last) != other.log.term_at(last):
            last -= 1
        if last > first and _entries_between(one, first, last) != _entries_between(other, first, last):
            violations.append(f"log matching: {one.name} and {other.name} up to {last}")
    return violations


def _entries_between(node: NodeState, after: int, last: int) -> list[Entry]:
    base = node.log.snapshot_index
    return node.log.entries[after - base : last - base]


def node_summary_json(node: NodeState) -> str:
    """Encodes the node's state as a line of JSON, for the investigation of a violation."""
    return msgspec.json.encode(
        {
            "name": node.name,
            "incarnation": node.incarnation,
            "term": node.term,
            "role": node.role.value,
            "leader": node.leader,
            "commit_index": node.commit_index,
            "last_applied": node.last_applied,
            "members": node.members,
            "storage_failure": node.storage_failure,
            "snapshot_index": node.log.snapshot_index,
            "last_index": node.log.last_index,
        }
    ).decode()
