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
from gaproute.shared.dissemination.copy import Copy
from gaproute.shared.dissemination.document import Document, DocumentError
from gaproute.shared.dissemination.fetching import Fetching
from gaproute.shared.dissemination.intake import Intake
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
from gaproute.shared.dissemination.serving import Serving
from gaproute.shared.dissemination.sightings import Sightings
from gaproute.shared.dissemination.telling import Telling
from gaproute.shared.dissemination.view import Candidates, View


class Disseminator:
    """`tick` at the time `due`, `hear` for each datagram, `answer` for each pull, `pulled` for each answer.

    All but `answer` return what to send. `document` may be changed by nobody else.
    """

    def __init__(self, name: str, document: Document, chance, now: int):
        self.document, self.chance = document, chance
        self.view, self.intake = View(name, chance), Intake(now)
        self.telling = Telling(document, self.view, now)
        self.copy, self.sightings = Copy(document), Sightings()
        self.serving = Serving(document, self.copy.log, now)
        self.fetching, self.assembly = Fetching(self.copy), Assembly()
        self.next_announcement = now + chance.below(ANNOUNCE_INTERVAL)
        self.eager_until = now

    def listed(self, candidates: Candidates):
        """Whom this gateway may speak with from now on."""
        self.view.listed(candidates)
        self.intake.listed(self.view.names)

    @property
    def due(self) -> int:
        """When `tick` is to be called next."""
        fetch = self.fetching.due
        return self.next_announcement if fetch is None else min(self.next_announcement, fetch)

    def tick(self, now: int) -> list[Send]:
        """Announce to one peer, and ask again for what did not come."""
        sends = []
        if now >= self.next_announcement:
            interval = EAGER_INTERVAL if now < self.eager_until else ANNOUNCE_INTERVAL
            self.next_announcement = now + interval * 3 // 4 + self.chance.below(interval // 2)
            for peer in self.view.draw(1):
                sends += self.telling.announce(now, peer)
        if self.fetching.due is not None and now >= self.fetching.due:
            if self.fetching.late(now, self.document.version, self.assembly.begun):
                sends += self._ask(now)
        return sends

    @property
    def refused(self) -> Counter:
        """How often something was refused, by the reason."""
        return self.copy.refused

    # Publishing

    def publish(self, now: int, change: Change) -> list[Send]:
        """A change made at this gateway. Errors: DocumentError."""
        self.copy.apply(change)
        return self._taken(now, "", (change,))

    def publish_whole(self, now: int, version, digest: int, data: bytes) -> list[Send]:
        """A whole document made at this gateway, or read from disk. Errors: DocumentError."""
        self.copy.replace(version, digest, data)
        return self._taken(now, "", ())

    # Datagrams

    def admits(self, now: int, sender: str) -> bool:
        """Whether to read a datagram of that sender; what is not read is counted."""
        if self.intake.admits(now, sender, sender in self.view.names):
            return True
        self.copy.refuse("flood")
        return False

    def hear(self, now: int, sender: Peer, message) -> list[Send]:
        """A datagram, as decoded; None where it could not be."""
        if not isinstance(message, (Announcement, Push)):
            self.copy.refuse("not understood")
        elif message.fleet != self.document.fleet:
            self.copy.refuse("other fleet")
        elif isinstance(message, Announcement):
            return self._announced(now, sender, message)
        elif message.changes:
            return self._pushed(now, sender, message.changes)
        return []

    def _announced(self, now, sender, message):
        self.sightings.saw(now, sender.name, message.version)
        held = self.document.version
        if message.version == held:
            if message.digest != self.document.digest:
                self.copy.refuse("contradiction")
            return []
        if message.version > held:
            return self._behind(now, sender, message.version)
        changes = self.copy.log.since(message.version, PUSH_BYTES)
        return self.telling.push(now, sender, changes) if changes else self.telling.announce(now, sender)

    def _behind(self, now, sender, version):
        held, known = self.document.version, self.fetching.knows(sender)
        if self.fetching.heard(now, sender, version, held):
            return self._ask(now)
        # Its push may come where the source's was lost. Asked once: who holds no changes to push announces
        # again, and two that answer each other's announcements would never end.
        if not known and self.fetching.is_near(held):
            return self.telling.announce(now, sender)
        return []

    def _pushed(self, now, sender, changes):
        if changes[-1].version <= self.document.version:
            self._note_old(changes[-1])
            return []
        taken = self.copy.take(changes)
        sends = self._taken(now, sender.name, taken) if taken else []
        if changes[-1].version > self.document.version:
            sends += self._behind(now, sender, changes[-1].version)
        return sends

    def _note_old(self, change):
        held = self.document.version
        if change.version < held:
            self.copy.refuse("lower version")
        elif change.digest != self.document.digest:
            self.copy.refuse("contradiction")

    # Pulls

    def answer(self, now: int, pull) -> Changes | Part | Busy | None:
        """What is told to one who pulls; None where it is refused."""
        if not isinstance(pull, Pull):
            self.copy.refuse("not understood")
        elif pull.fleet != self.document.fleet:
            self.copy.refuse("other fleet")
        else:
            return self.serving.answer(now, pull)
        return None

    def pulled(self, now: int, peer: Peer, answer) -> list[Send]:
        """The answer to a pull; None where none came or it was not understood."""
        fetching = self.fetching
        if fetching.source != peer or not fetching.by_exchange or fetching.waiting:
            return []  # it came too late: another was asked
        if answer is not None and answer.fleet != self.document.fleet:
            self.copy.refuse("other fleet")
        elif isinstance(answer, Changes):
            taken = self.copy.take(answer.changes)
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
            self.fetching.failed(now)
            return []
        self.fetching.part_came(now)
        if not self.assembly.complete:
            return self._ask(now)
        assembly, data = self.assembly, bytes(self.assembly.data)
        version, digest = assembly.version, assembly.digest
        assembly.clear()
        try:
            self.copy.replace(version, digest, data)
        except DocumentError as reason:
            self.copy.refuse(str(reason))
            self.fetching.failed(now)
            return []
        return self._taken(now, "", ())

    # Taking

    def _taken(self, now, sender, changes):
        """A newer version is held: fetch on where there is more, and tell others."""
        sends = self._ask(now) if self.fetching.progress(now, self.document.version) else []
        return sends + self._spread(now, changes, sender)

    def _spread(self, now, changes, but=""):
        """Tell a few peers of the version just taken, and announce it more often for a while."""
        self.eager_until = now + EAGER_TIME
        self.next_announcement = min(self.next_announcement, now + EAGER_INTERVAL)
        return self.telling.spread(now, changes, but)

    def _ask(self, now):
        """The open question, to the source."""
        fetching, source = self.fetching, self.fetching.source
        if not fetching.by_exchange:
            return self.telling.announce(now, source)
        assembly, held = self.assembly, self.document.version
        pull = Pull(
            self.document.fleet, held, fetching.wants_whole(held), assembly.version, len(assembly.data)
        )
        return self.telling.send(now, source, pull)
