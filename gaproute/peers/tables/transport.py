"""Disseminates the cell table over the datagrams of the membership transport and by pulls.

The gateway does not depend on it: while no peer answers, the last table stays in use. The members of the
membership are taken as the gateways of this gateway's own cell. Times are ns.
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

MIN_TURN_INTERVAL = SECOND // 200  # between two runs of the timer callback
CANDIDATE_UPDATE_INTERVAL = 5 * SECOND  # between two updates of the peers to exchange with
HTTP_OK, HTTP_BAD_REQUEST, HTTP_SERVICE_UNAVAILABLE = 200, 400, 503  # status of replies to pulls

TableCallback = Callable[[CellTable], object]


class _CandidateSources(NamedTuple):
    """The inputs from which the dissemination candidates were computed."""

    neighbours: tuple[Peer, ...]
    configured: tuple[Peer, ...]
    table: CellTable | None


class CellTableSettings(NamedTuple):
    """Which gateway disseminates the table of which fleet, and where it stores the table."""

    gateway: str  # name of this gateway
    fleet: str
    cell: str = ""  # cell of this gateway; with "", no cell is treated as its own
    path: str | Path | None = None  # file that stores the table; None disables storage


class CellTableChannels(NamedTuple):
    """The channels that carry the table between gateways."""

    payloads: PayloadTransport  # carries announcements and pushes as datagrams
    pull_listener: PullListener
    pull_client: PullSender


class CellTableTransport:
    """Disseminates the cell table of a fleet. `record` logs events for operators."""

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
        self.storage = TableStorage(loop.now, settings.path, settings.fleet, self._report_storage_fault)
        self.timer: Timer | None = None
        self._callbacks: list[TableCallback] = []
        self._reported_version = NO_VERSION  # version that was last passed to the callbacks
        self._candidate_sources: _CandidateSources | None = None
        self._next_candidate_update_at = loop.now()
        self._logged_rejections: set[str] = set()

    # Methods for the gateway

    def start(self) -> None:
        """Restores the table from disk, then starts to receive and send."""
        self.storage.restore(self.disseminator)
        self.payloads.register(PayloadKind.CELL_TABLE, self._handle_payload)
        self.pull_listener.serve(self._answer_pull)
        self._update_candidates()
        self._finish_turn(())

    def stop(self) -> None:
        """Stops receiving and sending, and writes the table if it is newer than the one on disk."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.pull_client.cancel_pull()
        self.payloads.unregister(PayloadKind.CELL_TABLE)
        self.pull_listener.stop()
        self.storage.write(self.disseminator)

    def table(self) -> CellTable | None:
        """The newest valid table; None before the first one."""
        return self.holder.table

    def add_table_callback(self, callback: TableCallback) -> None:
        """Calls the callback with each newer table from now on."""
        self._callbacks.append(callback)

    def set_peers(self, configured: Iterable[Peer]) -> None:
        """Replaces the configured peers, which are used in addition to members and gateways in the table."""
        self.configured = tuple(configured)
        self._update_candidates()

    def publish(self, table: CellTable) -> None:
        """Publishes a complete table that was made at this gateway.

        Raises DocumentError, for example if the version is not newer than the current one.
        """
        if table.fleet != self.holder.fleet:
            raise DocumentError("other fleet")
        digest = encoding.cells_digest(table.cells)
        data = encoding.encode_table(table)
        self._finish_turn(self.disseminator.publish_document(self.loop.now(), table.version, digest, data))

    def publish_change(self, change: TableChange) -> None:
        """Publishes a change of the current table that was made here. Raises TableError or DocumentError."""
        encoded = encode_table_change(self.holder.table, self.disseminator.document.digest, change)
        self._finish_turn(self.disseminator.publish(self.loop.now(), encoded))

    def propagation(self, version: Version) -> Propagation:
        """How far that version has spread, according to the reports that this gateway has received."""
        return self.disseminator.version_reports.propagation(self.loop.now(), version)

    def candidates(self, neighbours: tuple[Peer, ...]) -> Candidates:
        """The peers to exchange with, by the current table; `neighbours` are the members that are up."""
        return candidates_from_table(self.holder.table, self.cell, neighbours, self.configured)

    # Received messages

    def _handle_payload(self, sender: str, data: bytes) -> None:
        now = self.loop.now()
        if sender == self.name or not self.disseminator.admits(now, sender):
            return
        datagram = wire.decode_datagram(data)
        if datagram is None:  # malformed; the disseminator counts it
            self._finish_turn(self.disseminator.receive(now, Peer(sender, ""), None))
            return
        peer = Peer(sender, datagram.address)
        self._finish_turn(self.disseminator.receive(now, peer, datagram.message))

    def _handle_pull_answer(self, peer: Peer, answer: PullAnswer | None) -> None:
        self._finish_turn(self.disseminator.receive_pull_answer(self.loop.now(), peer, answer))

    def _answer_pull(self, data: bytes) -> PullReply:
        now = self.loop.now()
        if not self.disseminator.admits(now, ""):
            return PullReply(HTTP_SERVICE_UNAVAILABLE, b"")
        answer = self.disseminator.answer_pull(now, wire.decode_pull(data))
        if answer is None:
            return PullReply(HTTP_BAD_REQUEST, b"not a pull of this fleet\n")
        return PullReply(HTTP_OK, wire.encode_answer(answer))

    def _tick(self) -> None:
        self.timer = None
        now = self.loop.now()
        messages: Iterable[OutgoingMessage] = ()
        try:
            if now >= self._next_candidate_update_at:
                self._update_candidates()
            if now >= self.storage.next_write_at:
                self.storage.write(self.disseminator)
            messages = self.disseminator.tick(now)
        finally:  # the loop logs an error in one turn; the following turns must still run
            self._finish_turn(messages)

    # The end of a turn

    def _finish_turn(self, messages: Iterable[OutgoingMessage]) -> None:
        """Sends the messages, sets the timer and passes a new table to the callbacks."""
        for outgoing in messages:
            self._send(outgoing)
        self._log_rejections()
        due = max(self.disseminator.due, self.loop.now() + MIN_TURN_INTERVAL)
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_at(due, self._tick)
        self._report_table()

    def _send(self, outgoing: OutgoingMessage) -> None:
        peer, message = outgoing
        if isinstance(message, Pull):
            self.pull_client.send_pull(
                peer.address, message, lambda answer: self._handle_pull_answer(peer, answer)
            )
        else:
            data = wire.encode_datagram(message, self.pull_listener.address)
            self.payloads.send_payload(peer.address, PayloadKind.CELL_TABLE, data)

    def _report_table(self) -> None:
        table = self.holder.table
        if table is None or table.version <= self._reported_version:
            return
        if self._reported_version == NO_VERSION:
            self._update_candidates()  # for later tables only by the timer, as this takes a millisecond
        self._reported_version = table.version
        for callback in self._callbacks:
            callback(table)

    def _update_candidates(self) -> None:
        """Updates the peers to exchange with if members, configured peers or the table have changed."""
        self._next_candidate_update_at = self.loop.now() + CANDIDATE_UPDATE_INTERVAL
        membership = self.payloads.membership
        up = sorted([name for name in membership.members if name in membership.table.alive])
        neighbours = tuple([Peer(name, membership.members[name].address) for name in up])
        sources = _CandidateSources(neighbours, self.configured, self.holder.table)
        if sources != self._candidate_sources:
            self._candidate_sources = sources
            self.disseminator.set_candidates(self.candidates(neighbours))

    def _log_rejections(self) -> None:
        """Logs each reason for which messages were rejected, only once."""
        for reason in self.disseminator.rejections:
            if reason not in self._logged_rejections:
                self._logged_rejections.add(reason)
                self.record.event("warning", "peer_cell_table_rejected", error=reason)

    def _report_storage_fault(self, text: str) -> None:
        self.record.event("warning", "cell_table_file_fault", message=text)
