"""One gateway's part in the dissemination: what it tells, whom, and what it does with what it hears.

Invariants: the version held only grows; whatever is heard costs bounded memory, CPU and bytes; what is
refused is counted by its reason and leaves the document as it was.
"""

from collections import Counter

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
from gaproute.shared.dissemination.replica import Replica
from gaproute.shared.dissemination.version_reports import VersionReports


class Disseminator:
    """`tick` at the time `due`, `receive` for each datagram, `answer` for each pull, and `receive_answer`.

    All but `answer` return what to send. `document` may be changed by nobody else.
    """

    def __init__(self, name: str, document: Document, chance, now: int):
        self.document, self.chance = document, chance
        self.view, self.receive_limits = PartialView(name, chance), ReceiveLimits(now)
        self.message_sender = MessageSender(document, self.view, now)
        self.replica, self.version_reports = Replica(document), VersionReports()
        self.pull_server = PullServer(document, self.replica.log, now)
        self.fetch, self.assembly = Fetch(self.replica), Assembly()
        self.next_announcement = now + chance.below(ANNOUNCE_INTERVAL)
        self.eager_until = now

    def set_candidates(self, candidates: Candidates):
        """Whom this gateway may speak with from now on."""
        self.view.listed(candidates)
        self.receive_limits.listed(self.view.names)

    @property
    def due(self) -> int:
        """When `tick` is to be called next."""
        fetch = self.fetch.due
        return self.next_announcement if fetch is None else min(self.next_announcement, fetch)

    def tick(self, now: int) -> list[Send]:
        """Announce to one peer, and ask again for what did not come."""
        sends = []
        if now >= self.next_announcement:
            interval = EAGER_INTERVAL if now < self.eager_until else ANNOUNCE_INTERVAL
            self.next_announcement = now + interval * 3 // 4 + self.chance.below(interval // 2)
            for peer in self.view.draw(1):
                sends += self.message_sender.announce(now, peer)
        if self.fetch.due is not None and now >= self.fetch.due:
            if self.fetch.late(now, self.document.version, self.assembly.begun):
                sends += self._ask(now)
        return sends

    @property
    def rejections(self) -> Counter:
        """How often something was refused, by the reason."""
        return self.replica.refused

    # Publishing

    def publish(self, now: int, change: Change) -> list[Send]:
        """A change made at this gateway. Errors: DocumentError."""
        self.replica.apply(change)
        return self._taken(now, "", (change,))

    def publish_whole(self, now: int, version, digest: int, data: bytes) -> list[Send]:
        """A whole document made at this gateway, or read from disk. Errors: DocumentError."""
        self.replica.replace(version, digest, data)
        return self._taken(now, "", ())

    # Datagrams

    def admits(self, now: int, sender: str) -> bool:
        """Whether to read a datagram of that sender; what is not read is counted."""
        if self.receive_limits.admits(now, sender, sender in self.view.names):
            return True
        self.replica.refuse("flood")
        return False

    def receive(self, now: int, sender: Peer, message) -> list[Send]:
        """A datagram, as decoded; None where it could not be."""
        if not isinstance(message, (Announcement, Push)):
            self.replica.refuse("not understood")
        elif message.fleet != self.document.fleet:
            self.replica.refuse("other fleet")
        elif isinstance(message, Announcement):
            return self._announced(now, sender, message)
        elif message.changes:
            return self._pushed(now, sender, message.changes)
        return []

    def _announced(self, now, sender, message):
        self.version_reports.saw(now, sender.name, message.version)
        held = self.document.version
        if message.version == held:
            if message.digest != self.document.digest:
                self.replica.refuse("contradiction")
            return []
        if message.version > held:
            return self._behind(now, sender, message.version)
        changes = self.replica.log.since(message.version, PUSH_BYTES)
        if changes:
            return self.message_sender.push(now, sender, changes)
        return self.message_sender.announce(now, sender)

    def _behind(self, now, sender, version):
        held, known = self.document.version, self.fetch.knows(sender)
        if self.fetch.heard(now, sender, version, held):
            return self._ask(now)
        # Its push may come where the source's was lost. Asked once: who holds no changes to push announces
        # again, and two that answer each other's announcements would never end.
        if not known and self.fetch.is_near(held):
            return self.message_sender.announce(now, sender)
        return []

    def _pushed(self, now, sender, changes):
        if changes[-1].version <= self.document.version:
            self._note_old(changes[-1])
            return []
        taken = self.replica.take(changes)
        sends = self._taken(now, sender.name, taken) if taken else []
        if changes[-1].version > self.document.version:
            sends += self._behind(now, sender, changes[-1].version)
        return sends

    def _note_old(self, change):
        held = self.document.version
        if change.version < held:
            self.replica.refuse("lower version")
        elif change.digest != self.document.digest:
            self.replica.refuse("contradiction")

    # Pulls

    def answer(self, now: int, pull) -> Changes | Part | Busy | None:
        """What is told to one who pulls; None where it is refused."""
        if not isinstance(pull, Pull):
            self.replica.refuse("not understood")
        elif pull.fleet != self.document.fleet:
            self.replica.refuse("other fleet")
        else:
            return self.pull_server.answer(now, pull)
        return None

    def receive_answer(self, now: int, peer: Peer, answer) -> list[Send]:
        """The answer to a pull; None where none came or it was not understood."""
        fetching = self.fetch
        if fetching.source != peer or not fetching.by_exchange or fetching.waiting:
            return []  # it came too late: another was asked
        if answer is not None and answer.fleet != self.document.fleet:
            self.replica.refuse("other fleet")
        elif isinstance(answer, Changes):
            taken = self.replica.take(answer.changes)
            if taken:
                return self._taken(now, peer.name, taken)
        elif isinstance(answer, Part):
            return self._take_part(now, answer)
        elif isinstance(answer, Busy):
            fetching.wait(now, answer.wait)
            return []
        fetching.failed(now, amid_parts=self.assembly.begun)
        return []

    def _take_part(self, now, part):
        if part.version <= self.document.version or not self.assembly.take(part):
            self.assembly.clear()
            self.fetch.failed(now)
            return []
        self.fetch.part_came(now)
        if not self.assembly.complete:
            return self._ask(now)
        assembly, data = self.assembly, bytes(self.assembly.data)
        version, digest = assembly.version, assembly.digest
        assembly.clear()
        try:
            self.replica.replace(version, digest, data)
        except DocumentError as reason:
            self.replica.refuse(str(reason))
            self.fetch.failed(now)
            return []
        return self._taken(now, "", ())

    # Taking

    def _taken(self, now, sender, changes):
        """A newer version is held: fetch on where there is more, and tell others."""
        sends = self._ask(now) if self.fetch.progress(now, self.document.version) else []
        return sends + self._spread(now, changes, sender)

    def _spread(self, now, changes, but=""):
        """Tell a few peers of the version just taken, and announce it more often for a while."""
        self.eager_until = now + EAGER_TIME
        self.next_announcement = min(self.next_announcement, now + EAGER_INTERVAL)
        return self.message_sender.spread(now, changes, but)

    def _ask(self, now):
        """The open question, to the source."""
        fetching, source = self.fetch, self.fetch.source
        if not fetching.by_exchange:
            return self.message_sender.announce(now, source)
        assembly, held = self.assembly, self.document.version
        pull = Pull(
            self.document.fleet, held, fetching.wants_whole(held), assembly.version, len(assembly.data)
        )
        return self.message_sender.send(now, source, pull)
