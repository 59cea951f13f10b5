"""One gateway's part in the dissemination: which messages it sends, and how it handles received ones.

Invariants: the current version never falls; handling a message takes bounded memory, CPU time and bytes; a
rejected message is counted by its reason and leaves the document unchanged. Times are ns.
"""

from collections import Counter

from gaproute.decisions.cells.version import Version
from gaproute.shared.dissemination.assembly import DocumentAssembly
from gaproute.shared.dissemination.bounds import (
    ANNOUNCE_INTERVAL,
    EAGER_INTERVAL,
    EAGER_PERIOD,
    MAX_PUSH_BYTES,
)
from gaproute.shared.dissemination.document import Document, DocumentError
from gaproute.shared.dissemination.fetch import Fetch
from gaproute.shared.dissemination.message_sender import MessageSender
from gaproute.shared.dissemination.messages import (
    Announcement,
    BusyAnswer,
    Change,
    ChangesAnswer,
    OutgoingMessage,
    PartAnswer,
    Peer,
    Pull,
    Push,
)
from gaproute.shared.dissemination.partial_view import Candidates, PartialView
from gaproute.shared.dissemination.pull_server import PullServer
from gaproute.shared.dissemination.receive_limits import ReceiveLimits
from gaproute.shared.dissemination.replica import RejectionReason, Replica
from gaproute.shared.dissemination.version_reports import VersionReports
from gaproute.shared.randomness import RandomSource


class Disseminator:
    """Call `tick` at the time `due`, `receive` for datagrams, `answer_pull` for pulls of other gateways, and
    `receive_pull_answer` for answers to pulls of this gateway.

    All but `answer_pull` return the messages to send. Only this class may change `document`.
    """

    def __init__(self, name: str, document: Document, random: RandomSource, now: int) -> None:
        self.document = document
        self.view, self.receive_limits = PartialView(name, random), ReceiveLimits(now)
        self.message_sender = MessageSender(document, self.view, now)
        self.replica, self.version_reports = Replica(document), VersionReports()
        self.pull_server = PullServer(document, self.replica.log, now)
        self.fetch, self.assembly = Fetch(self.replica), DocumentAssembly()
        self._random = random
        self._next_announcement = now + random.below(ANNOUNCE_INTERVAL)
        self._eager_until = now

    def set_candidates(self, candidates: Candidates) -> None:
        """Replaces the peers with which this gateway may exchange messages."""
        self.view.set_candidates(candidates)
        self.receive_limits.set_peers(self.view.names)

    @property
    def due(self) -> int:
        """When `tick` is to be called next."""
        fetch_due = self.fetch.due
        return self._next_announcement if fetch_due is None else min(self._next_announcement, fetch_due)

    @property
    def rejections(self) -> Counter[str]:
        """The number of rejected messages by reason."""
        return self.replica.rejections

    def tick(self, now: int) -> list[OutgoingMessage]:
        """Announces the current version to one peer if that is due, and sends the request that is due."""
        sends: list[OutgoingMessage] = []
        if now >= self._next_announcement:
            self._schedule_announcement(now)
            for peer in self.view.sample(1):
                sends += self.message_sender.announce(now, peer)
        if self._fetch_is_due(now):
            current, parts_received = self.document.version, self.assembly.has_parts
            if self.fetch.handle_deadline(now, current, parts_received=parts_received):
                sends += self._send_request(now)
        return sends

    # Publishing

    def publish(self, now: int, change: Change) -> list[OutgoingMessage]:
        """Publishes a change that was made here. Raises `DocumentError` if it is rejected."""
        self.replica.apply(change)
        return self._on_new_version(now, "", (change,))

    def publish_document(self, now: int, version: Version, digest: int, data: bytes) -> list[OutgoingMessage]:
        """Publishes a complete document that was made here or stored. Raises `DocumentError` if rejected."""
        self.replica.replace(version, digest, data)
        return self._on_new_version(now, "", ())

    # Datagrams

    def admits(self, now: int, sender: str) -> bool:
        """Whether a message of the sender may be decoded under the receive limits; if not, it is counted."""
        if self.receive_limits.allows(now, sender, is_peer=sender in self.view.names):
            return True
        self.replica.count_rejection(RejectionReason.RATE_LIMITED)
        return False

    def receive(self, now: int, sender: Peer, message: object) -> list[OutgoingMessage]:
        """Handles a decoded datagram. `message`: None if the datagram could not be decoded."""
        if not isinstance(message, Announcement | Push):
            self.replica.count_rejection(RejectionReason.UNDECODABLE)
        elif message.fleet != self.document.fleet:
            self.replica.count_rejection(RejectionReason.OTHER_FLEET)
        elif isinstance(message, Announcement):
            return self._receive_announcement(now, sender, message)
        elif message.changes:
            return self._receive_changes(now, sender, message.changes)
        return []

    def _receive_announcement(self, now: int, sender: Peer, message: Announcement) -> list[OutgoingMessage]:
        self.version_reports.record(now, sender.name, message.version)
        current = self.document.version
        if message.version == current:
            if message.digest != self.document.digest:
                self.replica.count_rejection(RejectionReason.CONTRADICTION)
            return []
        if message.version > current:
            return self._fetch_from(now, sender, message.version)
        changes = self.replica.log.changes_since(message.version, MAX_PUSH_BYTES)
        if changes:
            return self.message_sender.push(now, sender, changes)
        return self.message_sender.announce(now, sender)

    def _fetch_from(self, now: int, sender: Peer, version: Version) -> list[OutgoingMessage]:
        """Fetches a newer version that the sender has."""
        current, known = self.document.version, self.fetch.has_source(sender)
        if self.fetch.handle_announcement(now, sender, version, current):
            return self._send_request(now)
        # The sender is asked for the changes too, in case the push of the source is lost. It is asked only
        # once: a sender without stored changes announces its version again instead of pushing, and the two
        # gateways would answer each other's announcements without end.
        if not known and self.fetch.is_slightly_behind(current):
            return self.message_sender.announce(now, sender)
        return []

    def _receive_changes(self, now: int, sender: Peer, changes: tuple[Change, ...]) -> list[OutgoingMessage]:
        newest = changes[-1]
        if newest.version <= self.document.version:
            self._check_known_change(newest)
            return []
        applied = self.replica.apply_changes(changes)
        sends = self._on_new_version(now, sender.name, applied) if applied else []
        if newest.version > self.document.version:
            sends += self._fetch_from(now, sender, newest.version)
        return sends

    def _check_known_change(self, change: Change) -> None:
        """Counts a change that is not new as a rejection if it is outdated or contradicts the document."""
        current = self.document.version
        if change.version < current:
            self.replica.count_rejection(RejectionReason.LOWER_VERSION)
        elif change.digest != self.document.digest:
            self.replica.count_rejection(RejectionReason.CONTRADICTION)

    # Pulls

    def answer_pull(self, now: int, pull: object) -> ChangesAnswer | PartAnswer | BusyAnswer | None:
        """Answers a pull; returns None if it is rejected. `pull`: None if it could not be decoded."""
        if not isinstance(pull, Pull):
            self.replica.count_rejection(RejectionReason.UNDECODABLE)
        elif pull.fleet != self.document.fleet:
            self.replica.count_rejection(RejectionReason.OTHER_FLEET)
        else:
            return self.pull_server.answer(now, pull)
        return None

    def receive_pull_answer(
        self, now: int, peer: Peer, answer: ChangesAnswer | PartAnswer | BusyAnswer | None
    ) -> list[OutgoingMessage]:
        """Handles the answer to a pull. `answer`: None if no answer came or it could not be decoded."""
        fetch = self.fetch
        if fetch.source != peer or not fetch.uses_exchange or fetch.is_paused:
            return []  # this request is no longer open
        if answer is not None and answer.fleet != self.document.fleet:
            self.replica.count_rejection(RejectionReason.OTHER_FLEET)
        elif isinstance(answer, ChangesAnswer):
            applied = self.replica.apply_changes(answer.changes)
            if applied:
                return self._on_new_version(now, peer.name, applied)
        elif isinstance(answer, PartAnswer):
            return self._receive_part(now, answer)
        elif isinstance(answer, BusyAnswer):
            fetch.handle_busy(now, answer.wait)
            return []
        fetch.handle_failure(now, parts_received=self.assembly.has_parts)
        return []

    def _receive_part(self, now: int, part: PartAnswer) -> list[OutgoingMessage]:
        if part.version <= self.document.version or not self.assembly.add_part(part):
            self.assembly.clear()
            self.fetch.handle_failure(now)
            return []
        self.fetch.handle_part(now)
        return self._install_document(now) if self.assembly.is_complete else self._send_request(now)

    def _install_document(self, now: int) -> list[OutgoingMessage]:
        """Replaces the document by the assembled one, all parts of which have arrived."""
        assembly, data = self.assembly, bytes(self.assembly.data)
        version, digest = assembly.version, assembly.digest
        assembly.clear()
        try:
            self.replica.replace(version, digest, data)
        except DocumentError as reason:
            self.replica.count_rejection(str(reason))
            self.fetch.handle_failure(now)
            return []
        return self._on_new_version(now, "", ())

    # Sending

    def _on_new_version(self, now: int, sender: str, changes: tuple[Change, ...]) -> list[OutgoingMessage]:
        """Handles a change of the current version: pushes the new version to peers other than `sender`, and
        goes on fetching if a still newer one is known.
        """
        fetch_continues = self.fetch.handle_progress(now, self.document.version)
        sends = self._send_request(now) if fetch_continues else []
        self._eager_until = now + EAGER_PERIOD
        self._next_announcement = min(self._next_announcement, now + EAGER_INTERVAL)
        return sends + self.message_sender.push_to_sample(now, changes, sender)

    def _fetch_is_due(self, now: int) -> bool:
        due = self.fetch.due
        return due is not None and now >= due

    def _schedule_announcement(self, now: int) -> None:
        interval = EAGER_INTERVAL if now < self._eager_until else ANNOUNCE_INTERVAL
        self._next_announcement = now + interval * 3 // 4 + self._random.below(interval // 2)

    def _send_request(self, now: int) -> list[OutgoingMessage]:
        """Sends the open request of the fetch to its source."""
        source, current = self.fetch.source, self.document.version
        if source is None:
            return []
        if not self.fetch.uses_exchange:
            return self.message_sender.announce(now, source)
        full = self.fetch.needs_complete_document(current)
        pull = Pull(
            self.document.fleet, current, full, target=self.assembly.version, offset=len(self.assembly.data)
        )
        return self.message_sender.send(now, source, pull)
