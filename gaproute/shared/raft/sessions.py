"""Exactly once (Ongaro's dissertation, 6.3): for each session the last nonce and what it was answered.

The table is part of what is agreed, so every node knows after any change of leader what was done
already. A command of a session that the table has lost is refused: it may have been done.
"""

import msgspec

from gaproute.shared.raft.log import decode_membership
from gaproute.shared.raft.messages import EntryKind

MAX_SESSIONS = 4096  # in all: a thousand gateways that restarted a few times; 200 bytes each
MAX_SESSIONS_PER_CLIENT = 4  # of one holder: a gateway needs one, lost openings make more of them

_read = msgspec.msgpack.Decoder(tuple[list[tuple[int, str, int, bytes]], bytes]).decode


class Sessions:
    """`table`: session: (owner, nonce, answer), the longest unused first."""

    def __init__(self, machine):
        self.machine, self.table, self.owned = machine, {}, {}

    def apply(self, index, entry):
        """(state of the reply, its body, the session opened or 0); the same at every node."""
        if entry.kind == EntryKind.MEMBERSHIP:
            self.machine.raise_last_token(decode_membership(entry.body).base)
        elif entry.kind == EntryKind.OPEN_SESSION:
            self._open(index, entry.body.decode("utf-8", "replace"))
            return "done", b"", index
        elif entry.kind == EntryKind.COMMAND and not entry.session:
            self.machine.apply(index, entry.body)  # a keeper's own
        elif entry.kind == EntryKind.COMMAND:
            return self._command(index, entry)
        return "done", b"", 0

    def _command(self, index, entry):
        row = self.table.get(entry.session)
        if row is None:
            return "forgotten", b"", 0
        owner, nonce, answer = row
        if entry.nonce < nonce:
            return "refused", b"an old nonce", 0
        if entry.nonce > nonce:
            answer = self.machine.apply(index, entry.body, owner)
        del self.table[entry.session]
        self.table[entry.session] = owner, entry.nonce, answer
        return "done", answer, 0

    def _open(self, index, owner):
        own = self.owned.setdefault(owner, [])
        if len(own) >= MAX_SESSIONS_PER_CLIENT:
            self._drop(own[0])
        if len(self.table) >= MAX_SESSIONS:
            self._drop(next(iter(self.table)))
        self.owned.setdefault(owner, []).append(index)
        self.table[index] = owner, 0, b""

    def _drop(self, session):
        owner = self.table.pop(session)[0]
        self.owned[owner].remove(session)
        if not self.owned[owner]:
            del self.owned[owner]

    def pack(self):
        rows = [(session, *row) for session, row in self.table.items()]
        return msgspec.msgpack.encode((rows, self.machine.pack()))

    def unpack(self, data):
        """Errors: ValueError."""
        rows, state = _read(data)
        self.machine.unpack(state)
        self.table = {session: (owner, nonce, answer) for session, owner, nonce, answer in rows}
        self.owned = {}
        for session in sorted(self.table):
            self.owned.setdefault(self.table[session][0], []).append(session)
