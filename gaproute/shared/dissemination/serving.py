"""Answers to pulls: changes from the log, the difference from the version held there, or the whole document.

Differences and whole documents go in parts, one a second, to one asker after the other: whoever gets the
first part is granted the others, which is sooner for all than many slow transfers side by side. They are
encoded once and given to all who ask within `SNAPSHOT_TIME`; what changed since, they take as another
difference. Older gateways ask without a pace and are given large parts; the budget bounds these as well.
"""

from dataclasses import dataclass

from gaproute.shared.control_budget import MOST, ControlPart
from gaproute.shared.dissemination.bounds import (
    ANSWER_BYTES,
    BUSY_WAIT,
    INVITATION,
    LEAST_PART,
    OLDER_PART_BYTES,
    PART_BYTES,
    PART_INTERVAL,
    SERVE_BURST,
    SERVE_RATE,
    SNAPSHOT_TIME,
    SNAPSHOTS,
    SPARE_PARTS,
)
from gaproute.shared.dissemination.budget import Budget
from gaproute.shared.dissemination.messages import NOTHING, Busy, Changes, Part, Version, size

SERVING = ControlPart.SERVING
PART_COST = MOST[SERVING]  # of a part of `PART_BYTES`, with its headers
REFUSAL_COST = 540  # and a half: askers that were not invited, or come for the next part too soon


@dataclass(frozen=True)
class Snapshot:
    """A whole document, or the difference from version `base`, as it was at `made`."""

    base: Version
    version: Version
    digest: int
    data: bytes
    made: int


class Serving:
    """Serves from the document and the log, which its owner changes. `control`: what all parts may send."""

    def __init__(self, document, log, now, control):
        self.document, self.log, self.control = document, log, control
        self.budget = Budget(SERVE_RATE, SERVE_BURST, now)
        self.snapshots = []  # the latest last
        self.granted = 0  # bytes of a document that are paid for and were not asked for yet
        self.guest, self.invited_until = None, now  # whoever was told to ask
        self.occupied_until = now  # an asker that was given a part comes for the next one until then
        self.bytes = self.busy = 0

    def invites(self, now, name):
        """Whether to tell that gateway, which is behind, to ask here: one at a time. Where there is no room
        in this second, some is kept free, so that it is told when it comes again."""
        invited = name != self.guest and now < self.invited_until
        if invited or now < self.occupied_until or self.budget.wait(now, 1):
            return False
        self._reserve(now + 2 * PART_INTERVAL)
        if self.control.wait(now, SERVING, PART_COST):
            return False
        self.guest, self.invited_until = name, now + INVITATION
        return True

    def answer(self, now, pull):
        """The answer to a pull: `Changes`, `Part` or `Busy`."""
        fleet, held = self.document.fleet, self.document.version
        if held == NOTHING or pull.held >= held:
            return Changes(fleet, ())
        wait = self._wait(now, pull)
        if wait:
            self.busy += 1
            refusal = Busy(fleet, wait)
            self.control.spend(now, ControlPart.REFUSALS, size(refusal))
            return refusal
        answer = self._answer(now, pull)
        cost = size(answer)
        self._pay(now, answer, cost)
        self.control.spend(now, SERVING, cost)
        self._occupy(now, answer)
        self.bytes += cost
        return answer

    def _occupy(self, now, answer):
        """Whoever was given a part comes again for the next one."""
        if isinstance(answer, Part) and answer.place + len(answer.data) < answer.size:
            self.occupied_until = now + 2 * PART_INTERVAL
            self._reserve(self.occupied_until)
        else:
            self.occupied_until = now

    def _reserve(self, until):
        """Room for the next part, and to send another asker away."""
        self.control.reserve(SERVING, PART_COST, until)
        self.control.reserve(ControlPart.REFUSALS, REFUSAL_COST, until)

    def _wait(self, now, pull):
        """How long the asker must wait; 0 where there is room. Nothing is encoded for one who must."""
        wait = 0 if self._paid(pull) else max(self.budget.wait(now, 1), self.occupied_until - now, 0)
        if wait == 0 and pull.difference and self._part_room(now) < LEAST_PART:
            wait = self.control.wait(now, SERVING, PART_COST)
        return wait and max(wait, BUSY_WAIT)

    def _paid(self, pull):
        """Whether the part that is asked for was paid with the first one."""
        snapshot = self._begun(pull)
        if snapshot is None:
            return False
        most = PART_BYTES if pull.difference else OLDER_PART_BYTES
        return self.granted >= min(most, len(snapshot.data) - pull.place)

    def _part_room(self, now):
        """Bytes of a document for which there is room in this second."""
        return min(PART_BYTES, self.control.room(now, SERVING) - PART_COST + PART_BYTES)

    def _answer(self, now, pull):
        if pull.difference:
            return self._part(now, pull, pull.held, self._part_room(now))
        if pull.whole:
            return self._part(now, pull, NOTHING, OLDER_PART_BYTES)
        return Changes(self.document.fleet, self.log.since(pull.held, ANSWER_BYTES))

    def _pay(self, now, answer, cost):
        """The first part pays for all that follow."""
        if not isinstance(answer, Part):
            self.budget.spend(now, cost)
            return
        if answer.place == 0 or self.granted < len(answer.data):
            remaining = answer.size - answer.place
            self.budget.spend(now, remaining * PART_COST // PART_BYTES)
            self.granted = remaining + SPARE_PARTS * PART_BYTES
        self.granted -= len(answer.data)

    def _part(self, now, pull, base, most):
        snapshot = self._snapshot(now, pull, base)
        place = pull.place if snapshot is self._begun(pull) else 0
        data = snapshot.data[place : place + most]
        whole_size = len(snapshot.data)
        head = self.document.fleet, snapshot.version, snapshot.digest, whole_size, place, data
        return Part(*head, snapshot.base)

    def _begun(self, pull):
        """What the asker has parts of."""
        bases = (pull.held, NOTHING) if pull.difference else (NOTHING,)
        for snapshot in self.snapshots:
            if snapshot.version == pull.wanted and snapshot.base in bases:
                return snapshot if 0 < pull.place < len(snapshot.data) else None
        return None

    def _snapshot(self, now, pull, base):
        """One that the asker has begun with, else one of which the rest can be told later."""
        begun = self._begun(pull)
        if begun is not None:
            return begun
        for snapshot in reversed(self.snapshots):
            if snapshot.base == base and self._serves(now, snapshot, pull):
                return snapshot
        return self._made(now, base)

    def _serves(self, now, snapshot, pull):
        if snapshot.version == self.document.version:
            return True
        fresh = now - snapshot.made <= SNAPSHOT_TIME and self.log.reaches(snapshot.version)
        return fresh and snapshot.version > pull.held

    def _made(self, now, base):
        document = self.document
        data = None if base == NOTHING else document.difference(base)
        if data is None:
            base, data = NOTHING, document.whole()
        self.snapshots.append(Snapshot(base, document.version, document.digest, data, now))
        del self.snapshots[:-SNAPSHOTS]
        return self.snapshots[-1]
