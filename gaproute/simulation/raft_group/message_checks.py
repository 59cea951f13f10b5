"""What must hold of the messages that Raft nodes send."""

from collections.abc import Iterable, Iterator

from gaproute.shared.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    Reply,
    ReplyStatus,
    RequestVoteResponse,
)
from gaproute.shared.raft.records import VoteRecord, decode
from gaproute.simulation.process_slot import ProcessSlot
from gaproute.simulation.raft_group import check_names as names
from gaproute.simulation.simulation import Simulation


class SentMessageChecks:
    """A check before each send: what a node says rests on its disk and is not contradicted later.

    It remembers the messages themselves, and so finds a node that forgot in a crash what it had said.
    """

    def __init__(self, nodes: Iterable[str]) -> None:
        self.nodes = frozenset(nodes)  # for membership tests only
        self.votes: dict[tuple[str, int, int], str] = {}  # by node, incarnation and term: who got it
        self.leaders: dict[int, tuple[str, int]] = {}  # by term: name and incarnation
        self.acknowledged: dict[tuple[str, int, int], int] = {}  # by node, incarnation and term: up to where
        self._answers: dict[tuple[str, int, int], bytes] = {}  # by client, session and nonce

    def __call__(self, simulation: Simulation, slot: ProcessSlot, to: str, message: object) -> Iterator[str]:
        """Looks at one message of the process in the slot."""
        if slot.name not in self.nodes:
            return
        if unsynced := len(slot.disk.pending):
            yield f"{names.DURABLE_BEFORE_SENT}: {slot.name}, {message}, {unsynced} unsynced"
        match message:
            case RequestVoteResponse(vote_granted=True, pre_vote=False):
                yield from self._check_vote(slot, to, message)
            case AppendEntriesResponse(success=True):
                key = slot.name, message.incarnation, message.term
                self.acknowledged[key] = max(message.match_index, self.acknowledged.get(key, 0))
            case AppendEntries() | InstallSnapshot():
                itself = slot.name, message.incarnation
                first = self.leaders.setdefault(message.term, itself)
                if first != itself:
                    yield f"{names.ONE_LEADER}: {first[0]} and {slot.name} in {message.term}"
            case Reply(state=ReplyStatus.DONE) if message.session:
                request = to, message.session, message.nonce
                answer = self._answers.setdefault(request, message.body)
                if answer != message.body:
                    yield f"{names.ONE_ANSWER}: {to} got {answer!r} and {message.body!r}"

    def _check_vote(self, slot: ProcessSlot, to: str, message: RequestVoteResponse) -> Iterator[str]:
        before = self.votes.setdefault((slot.name, message.incarnation, message.term), to)
        if before != to:
            yield f"{names.ONE_VOTE}: {slot.name} gave {message.term} to {before} and {to}"
        records = map(decode, reversed(slot.disk.durable))
        last = next((record for record in records if isinstance(record, VoteRecord)), None)
        if last is None or (last.term, last.name) != (message.term, to):
            yield f"{names.VOTE_DURABLE_BEFORE_SENT}: {slot.name}, {message.term} to {to}, disk has {last}"
