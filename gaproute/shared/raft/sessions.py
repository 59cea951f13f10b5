"""Exactly-once application of client commands (Ongaro's dissertation, 6.3).

Each session stores the nonce and the result of its last command. The session table is part of the replicated
state, so that every node knows after a change of leader which commands were applied. A command of a session
that the table has dropped is rejected, as it may have been applied already.
"""

from typing import NamedTuple

import msgspec

from gaproute.shared.raft.log import decode_membership
from gaproute.shared.raft.messages import Entry, EntryKind, ReplyStatus
from gaproute.shared.raft.state_machine import StateMachine

MAX_SESSIONS = 4096  # 1000 gateways that restarted a few times; 200 bytes per session
MAX_SESSIONS_PER_CLIENT = 4  # a gateway needs one; a lost reply to an opening adds another
OLD_NONCE = "an old nonce"


class Session(NamedTuple):
    """A client's session: the nonce of its last command and the result of that command."""

    owner: str
    nonce: int
    result: bytes


class SessionRow(NamedTuple):
    """A session with its number; part of the snapshot format."""

    number: int
    owner: str
    nonce: int
    result: bytes


# The sessions, and the encoded state of the state machine
_decoder = msgspec.msgpack.Decoder(tuple[list[SessionRow], bytes])


class EntryResult(NamedTuple):
    """The result of an entry. `opened` is the number of the session that the entry opened, or 0."""

    status: ReplyStatus
    body: bytes = b""
    opened: int = 0


class Sessions:
    """The sessions, and the state machine to which their commands are applied; equal at every node.

    `table` maps a session's number to the session, with the least recently used session first.
    `numbers_by_owner` maps a client's name to the numbers of its sessions, with the oldest session first.
    """

    def __init__(self, machine: StateMachine) -> None:
        self.machine = machine
        self.table: dict[int, Session] = {}
        self.numbers_by_owner: dict[str, list[int]] = {}

    def apply(self, index: int, entry: Entry) -> EntryResult:
        """Applies a committed entry."""
        if entry.kind == EntryKind.MEMBERSHIP:
            self.machine.raise_last_token(decode_membership(entry.body).fencing_base)
        elif entry.kind == EntryKind.OPEN_SESSION:
            self._open_session(index, entry.body.decode("utf-8", "replace"))
            return EntryResult(ReplyStatus.DONE, opened=index)
        elif entry.kind == EntryKind.COMMAND and not entry.session:
            self.machine.apply(index, entry.body)  # a command of the leader, not of a client
        elif entry.kind == EntryKind.COMMAND:
            return self._apply_command(index, entry)
        return EntryResult(ReplyStatus.DONE)

    def _apply_command(self, index: int, entry: Entry) -> EntryResult:
        session = self.table.get(entry.session)
        if session is None:
            return EntryResult(ReplyStatus.UNKNOWN_SESSION)
        owner, nonce, result = session
        if entry.nonce < nonce:
            return EntryResult(ReplyStatus.REFUSED, OLD_NONCE.encode())
        if entry.nonce > nonce:
            result = self.machine.apply(index, entry.body, owner)
        del self.table[entry.session]  # moves the session to the end of the table, as the last used one
        self.table[entry.session] = Session(owner, entry.nonce, result)
        return EntryResult(ReplyStatus.DONE, result)

    def _open_session(self, index: int, owner: str) -> None:
        numbers = self.numbers_by_owner.setdefault(owner, [])
        if len(numbers) >= MAX_SESSIONS_PER_CLIENT:
            self._drop_session(numbers[0])
        if len(self.table) >= MAX_SESSIONS:
            self._drop_session(next(iter(self.table)))
        # `_drop_session` may have removed this client's list, so `numbers` may be stale
        self.numbers_by_owner.setdefault(owner, []).append(index)
        self.table[index] = Session(owner, 0, b"")

    def _drop_session(self, number: int) -> None:
        owner = self.table.pop(number).owner
        self.numbers_by_owner[owner].remove(number)
        if not self.numbers_by_owner[owner]:
            del self.numbers_by_owner[owner]

    def pack(self) -> bytes:
        """Encodes the complete state for a snapshot; part of the disk and wire formats."""
        rows = [SessionRow(number, *session) for number, session in self.table.items()]
        return msgspec.msgpack.encode((rows, self.machine.pack()))

    def unpack(self, data: bytes) -> None:
        """Replaces the state by an encoded one. Errors: ValueError if `data` is not an encoded state."""
        rows, state = _decoder.decode(data)
        self.machine.unpack(state)
        self.table = {row.number: Session(row.owner, row.nonce, row.result) for row in rows}
        self.numbers_by_owner = {}
        for number in sorted(self.table):
            self.numbers_by_owner.setdefault(self.table[number].owner, []).append(number)
