"""Disseminates the cell table on sockets, by the membership's datagrams and by pulls.

The gateway does not depend on it: while no peer answers, the last table stays in use. The members in the
membership count as the gateways of the own cell. Times are ns.
"""

from collections.abc import Callable, Iterable
from pathlib import Path
from typing import NamedTuple

from gaproute.decisions.cells.change import TableChange, TableHolder
from gaproute.decisions.cells.table import CellTable
from gaproute.decisions.cells.version import Version
from gaproute.loop.timers import Timer
from gaproute.peers.membership_wire import PayloadKind
from gaproute.peers.ports import (
    EventLog,
    PayloadTransport,
    PullAnswer,
    PullListener,
    PullReply,
    PullSender,
    TimerLoop,
)
from gaproute.peers.tables import encoding, wire
from gaproute.peers.tables.document import TableDocument, encode_table_change
from gaproute.peers.tables.table_storage import TableStorage
from gaproute.shared.dissemination import Disseminator, DocumentError, OutgoingMessage, Peer
from gaproute.shared.dissemination.cell_peers import candidates_from_table
from gaproute.shared.dissemination.messages import NO_VERSION, Pull
from gaproute.shared.dissemination.partial_view import Candidates
from gaproute.shared.dissemination.version_reports import Propagation
from gaproute.shared.randomness import RandomSource
from gaproute.units import SECOND

MIN_TURN_INTERVAL = SECOND // 200  # between two turns of the timer
LIST_INTERVAL = 5 * SECOND  # between two reads of the members
ANSWERED, INVALID, BUSY = 200, 400, 503  # HTTP status of replies to pulls

TableCallback = Callable[[CellTable], object]


class _Listed(NamedTuple):
    """The state from which the candidates were computed."""

    neighbours: tuple[Peer, ...]
    configured: tuple[Peer, ...]
    table: CellTable | None


class CellTableSettings(NamedTuple):
    """Whose table is disseminated, by which gateway, and where it is stored."""

    gateway: str  # the own name
    fleet: str
    cell: str = ""  # the own one; "": its entries count as those of any other cell
    path: str | Path | None = None  # the file for the table; None: it is not stored


class CellTableChannels(NamedTuple):
    """How the table reaches other gateways and comes from them."""

    payloads: PayloadTransport  # announcements and pushes by datagrams
    pull_listener: PullListener
    pull_client: PullSender


class CellTableTransport:
    """Disseminates the cell table of a fleet. `record` takes events for operators."""

    def __init__(
        self,
        loop: TimerLoop,
        settings: CellTableSettings,
        channels: CellTableChannels,
        random: RandomSource,
        record: EventLog,
    ) -> None:
        self.loop, self.record = loop, record
        self.name, self.cell = settings.gateway, settings.cell
        self.payloads, self.pull_listener, self.pull_client = channels
        self.holder = TableHolder(settings.fleet)
        self.disseminator = Disseminator(self.name, TableDocument(self.holder), random, loop.now())
        self.configured: tuple[Peer, ...] = ()
        self.storage = TableStorage(loop.now, settings.path, settings.fleet, self._report_storage)
        self.timer: Timer | None = None
        self._callbacks: list[TableCallback] = []
        self._reported_version = NO_VERSION  # the version for which the callbacks were called last
        self._listed: _Listed | None = None
        self._list_at = loop.now()
        self._logged_rejections: set[str] = set()

    # For the gateway

    def start(self) -> None:
        """Reads the table on disk, then begins to receive and send."""
        self.storage.restore(self.disseminator)
        self.payloads.register(PayloadKind.CELL_TABLE, self._received)
        self.pull_listener.serve(self._answer_pull)
        self._list_candidates()
        self._finish_turn(())

    def stop(self) -> None:
        """Ends receiving and sending; a table that is newer than that on disk is written."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.pull_client.drop()
        self.payloads.unregister(PayloadKind.CELL_TABLE)
        self.pull_listener.stop()
        self.storage.write(self.disseminator)

    def table(self) -> CellTable | None:
        """The last good table, None before the first."""
        return self.holder.table

    def on_table(self, callback: TableCallback) -> None:
        """Has the callback called with each newer table from now on."""
        self._callbacks.append(callback)

    def set_peers(self, configured: Iterable[Peer]) -> None:
        """Takes over configured peers, beside the members and the gateways in the table."""
        self.configured = tuple(configured)
        self._list_candidates()

    def publish(self, table: CellTable) -> None:
        """Publishes a complete table that was made here. Errors: DocumentError, also for a version that is
        not new.
        """
        if table.fleet != self.holder.fleet:
            raise DocumentError("other fleet")
        digest = encoding.cells_digest(table.cells)
        data = encoding.encode_table(table)
        self._finish_turn(self.disseminator.publish_document(self.loop.now(), table.version, digest, data))

    def publish_change(self, change: TableChange) -> None:
        """Publishes a change of the current table that was made here. Errors: TableError, DocumentError."""
        encoded = encode_table_change(self.holder.table, self.disseminator.document.digest, change)
        self._finish_turn(self.disseminator.publish(self.loop.now(), encoded))

    def propagation(self, version: Version) -> Propagation:
        """How far that version has spread, by the reports received here."""
        return self.disseminator.version_reports.propagation(self.loop.now(), version)

    def candidates(self, near: tuple[Peer, ...]) -> Candidates:
        """The peers to exchange with, by the current table; `near`: members that are up."""
        return candidates_from_table(self.holder.table, self.cell, near, self.configured)

    # Received messages

    def _received(self, sender: str, data: bytes) -> None:
        now = self.loop.now()
        if sender == self.name or not self.disseminator.admits(now, sender):
            return
        datagram = wire.decode_datagram(data)
        if datagram is None:  # the disseminator counts it
            self._finish_turn(self.disseminator.receive(now, Peer(sender, ""), None))
            return
        peer = Peer(sender, datagram.address)
        self._finish_turn(self.disseminator.receive(now, peer, datagram.message))

    def _receive_answer(self, peer: Peer, answer: PullAnswer | None) -> None:
        self._finish_turn(self.disseminator.receive_pull_answer(self.loop.now(), peer, answer))

    def _answer_pull(self, data: bytes) -> PullReply:
        now = self.loop.now()
        if not self.disseminator.admits(now, ""):
            return PullReply(BUSY, b"")
        answer = self.disseminator.answer_pull(now, wire.decode_pull(data))
        if answer is None:
            return PullReply(INVALID, b"not a pull of this fleet\n")
        return PullReply(ANSWERED, wire.encode_answer(answer))

    def _tick(self) -> None:
        self.timer = None
        now = self.loop.now()
        sends: Iterable[OutgoingMessage] = ()
        try:
            if now >= self._list_at:
                self._list_candidates()
            if now >= self.storage.write_at:
                self.storage.write(self.disseminator)
            sends = self.disseminator.tick(now)
        finally:  # an error in one turn is logged by the loop and must not end the later turns
            self._finish_turn(sends)

    # The end of a turn

    def _finish_turn(self, sends: Iterable[OutgoingMessage]) -> None:
        """Sends messages, reports a new table, and sets the timer."""
        for send in sends:
            self._send(send)
        self._log_rejections()
        due = max(self.disseminator.due, self.loop.now() + MIN_TURN_INTERVAL)
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_at(due, self._tick)
        self._report_table()

    def _send(self, send: OutgoingMessage) -> None:
        to, message = send
        if isinstance(message, Pull):
            self.pull_client.ask(to.address, message, lambda answer: self._receive_answer(to, answer))
        else:
            data = wire.encode_datagram(message, self.pull_listener.address)
            self.payloads.send_payload(to.address, PayloadKind.CELL_TABLE, data)

    def _report_table(self) -> None:
        table = self.holder.table
        if table is None or table.version <= self._reported_version:
            return
        if self._reported_version == NO_VERSION:
            self._list_candidates()  # for later tables by the timer only, as it costs a millisecond
        self._reported_version = table.version
        for callback in self._callbacks:
            callback(table)

    def _list_candidates(self) -> None:
        """Computes the peers to exchange with, if something has changed."""
        self._list_at = self.loop.now() + LIST_INTERVAL
        membership = self.payloads.membership
        up = sorted([name for name in membership.members if name in membership.table.alive])
        neighbours = tuple([Peer(name, membership.members[name].address) for name in up])
        listed = _Listed(neighbours, self.configured, self.holder.table)
        if listed != self._listed:
            self._listed = listed
            self.disseminator.set_candidates(self.candidates(neighbours))

    def _log_rejections(self) -> None:
        """Logs each reason for rejections once."""
        for reason in self.disseminator.rejections:
            if reason not in self._logged_rejections:
                self._logged_rejections.add(reason)
                self.record.event("warning", "peer_cell_table_rejected", error=reason)

    def _report_storage(self, text: str) -> None:
        self.record.event("warning", "cell_table_file_fault", message=text)
