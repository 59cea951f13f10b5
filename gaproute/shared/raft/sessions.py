"""Exactly-once commands (Ongaro's dissertation, 6.3): the last nonce of each session and its result.

The table is part of the replicated state, so every node knows after a change of leader which commands were
carried out. A command of a session that the table has lost is rejected, as it may have been carried out.
"""

from typing import NamedTuple

import msgspec

from gaproute.shared.raft.log import decode_membership
from gaproute.shared.raft.messages import Entry, EntryKind, ReplyStatus
from gaproute.shared.raft.state_machine import StateMachine

MAX_SESSIONS = 4096  # a thousand gateways that restarted a few times; 200 bytes each
MAX_SESSIONS_PER_CLIENT = 4  # a gateway needs one; lost answers to openings make more
OLD_NONCE = "an old nonce"


class Session(NamedTuple):
    """A client's session: the nonce of the last command, and its result."""

    owner: str
    nonce: int
    result: bytes


class SessionRow(NamedTuple):
    """A session with its number, as it is stored in a snapshot."""

    number: int
    owner: str
    nonce: int
    result: bytes


# The sessions, and the packed state of the machine
_decoder = msgspec.msgpack.Decoder(tuple[list[SessionRow], bytes])


class Outcome(NamedTuple):
    """The result of an entry. `opened`: the session that it opened, or 0."""

    status: ReplyStatus
    body: bytes = b""
    opened: int = 0


class Sessions:
    """The sessions, and the machine to which their commands are applied; the same at every node.

    `table`: by number, the least recently used first; `owned`: by client, the numbers of its sessions.
    """

    def __init__(self, machine: StateMachine) -> None:
        self.machine = machine
        self.table: dict[int, Session] = {}
        self.owned: dict[str, list[int]] = {}

    def apply(self, index: int, entry: Entry) -> Outcome:
        """Applies a committed entry."""
        if entry.kind == EntryKind.MEMBERSHIP:
            self.machine.raise_last_token(decode_membership(entry.body).fencing_base)
        elif entry.kind == EntryKind.OPEN_SESSION:
            self._open(index, entry.body.decode("utf-8", "replace"))
            return Outcome(ReplyStatus.DONE, opened=index)
        elif entry.kind == EntryKind.COMMAND and not entry.session:
            self.machine.apply(index, entry.body)  # a command of the leader itself
        elif entry.kind == EntryKind.COMMAND:
            return self._command(index, entry)
        return Outcome(ReplyStatus.DONE)

    def _command(self, index: int, entry: Entry) -> Outcome:
        session = self.table.get(entry.session)
        if session is None:
            return Outcome(ReplyStatus.UNKNOWN_SESSION)
        owner, nonce, result = session
        if entry.nonce < nonce:
            return Outcome(ReplyStatus.REFUSED, OLD_NONCE.encode())
        if entry.nonce > nonce:
            result = self.machine.apply(index, entry.body, owner)
        del self.table[entry.session]  # so that the session moves to the end of the table
        self.table[entry.session] = Session(owner, entry.nonce, result)
        return Outcome(ReplyStatus.DONE, result)

    def _open(self, index: int, owner: str) -> None:
        own = self.owned.setdefault(owner, [])
        if len(own) >= MAX_SESSIONS_PER_CLIENT:
            self._drop(own[0])
        if len(self.table) >= MAX_SESSIONS:
            self._drop(next(iter(self.table)))
        # The last drop may have removed the list of this client
        self.owned.setdefault(owner, []).append(index)
        self.table[index] = Session(owner, 0, b"")

    def _drop(self, number: int) -> None:
        owner = self.table.pop(number).owner
        self.owned[owner].remove(number)
        if not self.owned[owner]:
            del self.owned[owner]

    def pack(self) -> bytes:
        """Encodes the complete state for a snapshot. A stored form."""
        rows = [SessionRow(number, *session) for number, session in self.table.items()]
        return msgspec.msgpack.encode((rows, self.machine.pack()))

    def unpack(self, data: bytes) -> None:
        """Takes over an encoded state. Errors: ValueError if `data` is none."""
        rows, state = _decoder.decode(data)
        self.machine.unpack(state)
        self.table = {row.number: Session(row.owner, row.nonce, row.result) for row in rows}
        self.owned = {}
        for number in sorted(self.table):
            self.owned.setdefault(self.table[number].owner, []).append(number)
