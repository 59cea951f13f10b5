"""The cell table on sockets: the dissemination's messages by the membership's datagrams and by pulls.

Nothing of the gateway rests on it: while nobody is heard the last table serves on. The members that the
membership knows are taken for the gateways of the own cell.
"""

from gaproute.decisions.cells.change import TableChange, TableHolder
from gaproute.decisions.cells.table import CellTable, Version
from gaproute.peers.membership_wire import PayloadKind
from gaproute.peers.tables import encoding, wire
from gaproute.peers.tables.document import TableDocument, encode_table_change
from gaproute.peers.tables.pull_exchange import TARGET, PullClient, answered
from gaproute.shared.dissemination import Disseminator, DocumentError, Peer
from gaproute.shared.dissemination.bounds import SECOND
from gaproute.shared.dissemination.cell_peers import candidates
from gaproute.shared.dissemination.messages import NOTHING, Pull
from gaproute.shared.dissemination.partial_view import Candidates
from gaproute.shared.dissemination.version_reports import Propagation
from gaproute.storage.cell_table_file import CellTableFile, StoredTable

LEAST_TURN = SECOND // 200  # between two turns of the timer
LIST_INTERVAL = 5 * SECOND  # between two looks at the members
WRITE_INTERVAL = 60 * SECOND  # between two writes to disk: each waits for the disk
RETRY_INTERVAL = 5 * SECOND  # until a read or write that failed is tried again


class CellTableTransport:
    """`gossip` and `giver` are the gateway's membership and peers' address; `path`: the file that keeps the
    table, None for none. `record` takes events for operators."""

    def __init__(self, loop, name, fleet, gossip, giver, chance, record, cell="", path=None):
        self.loop, self.gossip, self.peer_server, self.record = loop, gossip, giver, record
        self.name, self.cell, self.where = name, cell, giver.address
        self.holder = TableHolder(fleet)
        self.disseminator = Disseminator(name, TableDocument(self.holder), chance, loop.now())
        self.configured = ()
        self.callbacks = []
        self.puller = PullClient(loop)
        self.file = None if path is None else CellTableFile(path, fleet, self._tell)
        self.told = NOTHING  # the version that the callbacks were told
        self.written, self.write_at = NOTHING, loop.now()
        self.listed_from, self.list_at = None, loop.now()
        self.refusals = set()  # reasons logged
        self.timer = None

    # The face

    def start(self):
        """Take the table kept on disk, then listen and tell."""
        self._restore()
        self.gossip.register(PayloadKind.CELL_TABLE, self._heard)
        self.peer_server.routes[TARGET] = answered(self.loop, self.disseminator)
        self._list()
        self._after(())

    def stop(self):
        """Neither listen nor tell any more; a newer table than that on disk is written."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.puller.drop()
        self.gossip.unregister(PayloadKind.CELL_TABLE)
        self.peer_server.routes.pop(TARGET, None)
        self._write()

    def table(self) -> CellTable | None:
        """The last good table, None before the first."""
        return self.holder.table

    def on_table(self, callback):
        """`callback(table)` for each newer table from now on."""
        self.callbacks.append(callback)

    def peers(self, configured: tuple[Peer, ...]):
        """Peers to speak with besides the members and those that the table names."""
        self.configured = tuple(configured)
        self._list()

    def publish(self, table: CellTable):
        """A whole table made here. Errors: DocumentError, as where its version is not above that held."""
        if table.fleet != self.holder.fleet:
            raise DocumentError("other fleet")
        digest = encoding.cells_digest(table.cells)
        data = encoding.encode_table(table)
        sends = self.disseminator.publish_whole(self.loop.now(), table.version, digest, data)
        self._after(sends)

    def publish_change(self, change: TableChange):
        """A change made here of the table held. Errors: TableError, DocumentError."""
        encoded = encode_table_change(self.disseminator.document, change)
        self._after(self.disseminator.publish(self.loop.now(), encoded))

    def propagation(self, version: Version) -> Propagation:
        """How far that version has come, as far as this gateway heard."""
        return self.disseminator.version_reports.propagation(self.loop.now(), version)

    # What comes

    def _heard(self, sender, data):
        now = self.loop.now()
        if sender == self.name or not self.disseminator.admits(now, sender):
            return
        told = wire.decode_datagram(data)
        where, message = told if told is not None else ("", None)
        self._after(self.disseminator.receive(now, Peer(sender, where), message))

    def _pulled(self, peer, answer):
        self._after(self.disseminator.receive_answer(self.loop.now(), peer, answer))

    def _turn(self):
        self.timer = None
        now = self.loop.now()
        sends = ()
        try:
            if now >= self.list_at:
                self._list()
            if now >= self.write_at:
                self._write()
            sends = self.disseminator.tick(now)
        finally:  # a fault in one turn is logged by the loop, and must not end all later ones
            self._after(sends)

    # What follows

    def _after(self, sends):
        """Send what is to be sent, tell what is new, set the timer."""
        for send in sends:
            self._send(send)
        self._note_refusals()
        due = max(self.disseminator.due, self.loop.now() + LEAST_TURN)
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.at(due, self._turn)
        self._tell_table()

    def _send(self, send):
        to, message = send
        if isinstance(message, Pull):
            self.puller.ask(to.where, message, lambda answer: self._pulled(to, answer))
        else:
            self.gossip.send_payload(
                to.where, PayloadKind.CELL_TABLE, wire.encode_datagram(message, self.where)
            )

    def _tell_table(self):
        table = self.holder.table
        if table is None or table.version <= self.told:
            return
        if self.told == NOTHING:  # later tables are looked at by the timer: it costs a millisecond
            self._list()
        self.told = table.version
        for callback in self.callbacks:
            callback(table)

    def _list(self):
        """Whom to speak with, where that has changed."""
        self.list_at = self.loop.now() + LIST_INTERVAL
        membership = self.gossip.membership
        up = [name for name in membership.members if name in membership.table.alive]
        near = tuple(Peer(name, membership.members[name].address) for name in sorted(up))
        listed_from = near, self.configured, self.holder.table
        if listed_from != self.listed_from:
            self.listed_from = listed_from
            self.disseminator.set_candidates(self.candidates(near))

    def candidates(self, near: tuple[Peer, ...]) -> Candidates:
        """Whom to speak with, by the table held; `near`: members that are up."""
        return candidates(self.holder.table, self.cell, near, self.configured)

    def _note_refusals(self):
        for reason in self.disseminator.rejections:
            if reason not in self.refusals:
                self.refusals.add(reason)
                self.record.event("warning", "cell table refused", reason=reason)

    # On disk

    def _restore(self):
        kept = None if self.file is None else self.file.read(self.disseminator.document.version)
        if kept is not None:
            self._take_kept(kept)

    def _restore_late(self):
        """What could not be read at the start: taken if it is newer than what was heard meanwhile."""
        kept = self.file.read()
        if kept is not None and (kept.term, kept.number) > self.disseminator.document.version:
            self._take_kept(kept)

    def _take_kept(self, kept):
        version = Version(kept.term, kept.number)
        try:
            self.disseminator.publish_whole(self.loop.now(), version, kept.digest, kept.data)
        except DocumentError as reason:
            self.file.quarantine(str(reason))
            return
        self.written = version

    def _write(self):
        if self.file is None:
            return
        if self.file.failed_reads:
            self._restore_late()
        document = self.disseminator.document
        if self.file.failed_reads:
            self.write_at = self.loop.now() + RETRY_INTERVAL
            return
        if document.version <= self.written:
            return  # what is new after a quiet time is written in the next turn
        self.write_at = self.loop.now() + WRITE_INTERVAL
        term, number = document.version
        if self.file.write(StoredTable(document.fleet, term, number, document.digest, document.whole())):
            self.written = document.version
        else:
            self.write_at = self.loop.now() + RETRY_INTERVAL

    def _tell(self, text):
        self.record.event("warning", "cell table on disk", text=text)
