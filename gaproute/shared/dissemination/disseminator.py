"""One gateway's part in the dissemination: what it sends, to whom, and what it does with what it receives.

Invariants: the current version only grows; whatever is received costs bounded memory, CPU and bytes; what is
rejected is counted by its reason and leaves the document as it was. Times are in ns.
"""

from collections import Counter

from gaproute.decisions.cells.version import Version
from gaproute.shared.dissemination.assembly import Assembly
from gaproute.shared.dissemination.bounds import (
    ANNOUNCE_INTERVAL,
    EAGER_INTERVAL,
    EAGER_TIME,
    PUSH_BYTES,
)
from gaproute.shared.dissemination.document import Document, DocumentError
from gaproute.shared.dissemination.fetch import Fetch
from gaproute.shared.dissemination.message_sender import MessageSender
from gaproute.shared.dissemination.messages import (
    Announcement,
    Busy,
    Change,
    Changes,
    Part,
    Peer,
    Pull,
    Push,
    Send,
)
from gaproute.shared.dissemination.partial_view import Candidates, PartialView
from gaproute.shared.dissemination.pull_server import PullServer
from gaproute.shared.dissemination.receive_limits import ReceiveLimits
from gaproute.shared.dissemination.replica import RejectionReason, Replica
from gaproute.shared.dissemination.version_reports import VersionReports
from gaproute.shared.randomness import RandomSource


class Disseminator:
    """`tick` at the time `due`, `receive` for each datagram, `answer` for each pull, and `receive_answer`.

    All but `answer` return what to send. `document` may be changed by nobody else.
    """

    def __init__(self, name: str, document: Document, random: RandomSource, now: int) -> None:
        self.document = document
        self.view, self.receive_limits = PartialView(name, random), ReceiveLimits(now)
        self.message_sender = MessageSender(document, self.view, now)
        self.replica, self.version_reports = Replica(document), VersionReports()
        self.pull_server = PullServer(document, self.replica.log, now)
        self.fetch, self.assembly = Fetch(self.replica), Assembly()
        self._random = random
        self._next_announcement = now + random.below(ANNOUNCE_INTERVAL)
        self._eager_until = now

    def set_candidates(self, candidates: Candidates) -> None:
        """Whom this gateway may speak with from now on."""
        self.view.set_candidates(candidates)
        self.receive_limits.set_peers(self.view.names)

    @property
    def due(self) -> int:
        """When `tick` is to be called next."""
        fetch_due = self.fetch.due
        return self._next_announcement if fetch_due is None else min(self._next_announcement, fetch_due)

    @property
    def rejections(self) -> Counter[str]:
        """How often something was rejected, by the reason."""
        return self.replica.rejections

    def tick(self, now: int) -> list[Send]:
        """Announces to one peer, and asks again for what did not come."""
        sends: list[Send] = []
        if now >= self._next_announcement:
            self._schedule_announcement(now)
            for peer in self.view.sample(1):
                sends += self.message_sender.announce(now, peer)
        if self._fetch_is_due(now) and self.fetch.deadline_passed(
            now, self.document.version, amid_parts=self.assembly.begun
        ):
            sends += self._ask(now)
        return sends

    # Publishing

    def publish(self, now: int, change: Change) -> list[Send]:
        """A change made at this gateway. Errors: DocumentError."""
        self.replica.apply(change)
        return self._taken(now, "", (change,))

    def publish_whole(self, now: int, version: Version, digest: int, data: bytes) -> list[Send]:
        """A whole document made at this gateway, or read from disk. Errors: DocumentError."""
        self.replica.replace(version, digest, data)
        return self._taken(now, "", ())

    # Datagrams

    def admits(self, now: int, sender: str) -> bool:
        """Whether to read a datagram of that sender; what is not read is counted."""
        if self.receive_limits.allows(now, sender, is_peer=sender in self.view.names):
            return True
        self.replica.reject(RejectionReason.RATE_LIMITED)
        return False

    def receive(self, now: int, sender: Peer, message: object) -> list[Send]:
        """Takes a datagram, as decoded; None where it could not be."""
        if not isinstance(message, Announcement | Push):
            self.replica.reject(RejectionReason.UNDECODABLE)
        elif message.fleet != self.document.fleet:
            self.replica.reject(RejectionReason.OTHER_FLEET)
        elif isinstance(message, Announcement):
            return self._receive_announcement(now, sender, message)
        elif message.changes:
            return self._receive_changes(now, sender, message.changes)
        return []

    def _receive_announcement(self, now: int, sender: Peer, message: Announcement) -> list[Send]:
        self.version_reports.record(now, sender.name, message.version)
        current = self.document.version
        if message.version == current:
            if message.digest != self.document.digest:
                self.replica.reject(RejectionReason.CONTRADICTION)
            return []
        if message.version > current:
            return self._fetch_from(now, sender, message.version)
        changes = self.replica.log.since(message.version, PUSH_BYTES)
        if changes:
            return self.message_sender.push(now, sender, changes)
        return self.message_sender.announce(now, sender)

    def _fetch_from(self, now: int, sender: Peer, version: Version) -> list[Send]:
        """The sender has a newer version."""
        current, known = self.document.version, self.fetch.knows(sender)
        if self.fetch.announced(now, sender, version, current):
            return self._ask(now)
        # Its push may come where the source's was lost. Asked once: who holds no changes to push announces
        # again, and two that answer each other's announcements would never end.
        if not known and self.fetch.is_near(current):
            return self.message_sender.announce(now, sender)
        return []

    def _receive_changes(self, now: int, sender: Peer, changes: tuple[Change, ...]) -> list[Send]:
        newest = changes[-1]
        if newest.version <= self.document.version:
            self._check_held(newest)
            return []
        applied = self.replica.apply_following(changes)
        sends = self._taken(now, sender.name, applied) if applied else []
        if newest.version > self.document.version:
            sends += self._fetch_from(now, sender, newest.version)
        return sends

    def _check_held(self, change: Change) -> None:
        """A change that is not news: whether it contradicts the current document."""
        current = self.document.version
        if change.version < current:
            self.replica.reject(RejectionReason.LOWER_VERSION)
        elif change.digest != self.document.digest:
            self.replica.reject(RejectionReason.CONTRADICTION)

    # Pulls

    def answer(self, now: int, pull: object) -> Changes | Part | Busy | None:
        """The answer to one who pulls; None where it is rejected."""
        if not isinstance(pull, Pull):
            self.replica.reject(RejectionReason.UNDECODABLE)
        elif pull.fleet != self.document.fleet:
            self.replica.reject(RejectionReason.OTHER_FLEET)
        else:
            return self.pull_server.answer(now, pull)
        return None

    def receive_answer(self, now: int, peer: Peer, answer: Changes | Part | Busy | None) -> list[Send]:
        """Takes the answer to a pull; None where none came or it was not understood."""
        fetch = self.fetch
        if fetch.source != peer or not fetch.by_exchange or fetch.waiting:
            return []  # it came too late: another was asked
        if answer is not None and answer.fleet != self.document.fleet:
            self.replica.reject(RejectionReason.OTHER_FLEET)
        elif isinstance(answer, Changes):
            applied = self.replica.apply_following(answer.changes)
            if applied:
                return self._taken(now, peer.name, applied)
        elif isinstance(answer, Part):
            return self._receive_part(now, answer)
        elif isinstance(answer, Busy):
            fetch.busy(now, answer.wait)
            return []
        fetch.failed(now, amid_parts=self.assembly.begun)
        return []

    def _receive_part(self, now: int, part: Part) -> list[Send]:
        if part.version <= self.document.version or not self.assembly.take(part):
            self.assembly.clear()
            self.fetch.failed(now)
            return []
        self.fetch.part_received(now)
        return self._take_whole(now) if self.assembly.complete else self._ask(now)

    def _take_whole(self, now: int) -> list[Send]:
        """All parts of a whole document came."""
        assembly, data = self.assembly, bytes(self.assembly.data)
        version, digest = assembly.version, assembly.digest
        assembly.clear()
        try:
            self.replica.replace(version, digest, data)
        except DocumentError as reason:
            self.replica.reject(str(reason))
            self.fetch.failed(now)
            return []
        return self._taken(now, "", ())

    # Sending

    def _taken(self, now: int, sender: str, changes: tuple[Change, ...]) -> list[Send]:
        """A newer version was taken: fetches on where there is more, and tells others."""
        more = self.fetch.progressed(now, self.document.version)
        sends = self._ask(now) if more else []
        self._eager_until = now + EAGER_TIME
        self._next_announcement = min(self._next_announcement, now + EAGER_INTERVAL)
        return sends + self.message_sender.spread(now, changes, sender)

    def _fetch_is_due(self, now: int) -> bool:
        due = self.fetch.due
        return due is not None and now >= due

    def _schedule_announcement(self, now: int) -> None:
        interval = EAGER_INTERVAL if now < self._eager_until else ANNOUNCE_INTERVAL
        self._next_announcement = now + interval * 3 // 4 + self._random.below(interval // 2)

    def _ask(self, now: int) -> list[Send]:
        """The open question, to the source."""
        source, current = self.fetch.source, self.document.version
        if source is None:
            return []
        if not self.fetch.by_exchange:
            return self.message_sender.announce(now, source)
        whole, assembly = self.fetch.wants_whole(current), self.assembly
        pull = Pull(self.document.fleet, current, whole, assembly.version, len(assembly.data))
        return self.message_sender.send(now, source, pull)
