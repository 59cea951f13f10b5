"""The queue of what was read at one end of a connection and is not yet due at the other."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from gaproute.cluster.addresses import Link
from gaproute.cluster.links.context import EmulatorContext
from gaproute.cluster.links.pieces import Piece, size_of
from gaproute.loop.timers import Timer


@dataclass(slots=True)
class PieceInTransit:
    """A piece, and when it is due in ns; None while it is held back."""

    due: int | None
    piece: Piece


class TransitQueue:
    """The pieces under way over `link`, in their order; `size` is their bytes.

    `deliver(piece)` hands one to the other end; `on_drained()` is called when some have left.
    """

    __slots__ = (
        "loop",
        "conditions",
        "lateness",
        "link",
        "deliver",
        "on_drained",
        "pieces",
        "size",
        "last_due",
        "timer",
    )

    def __init__(
        self,
        context: EmulatorContext,
        link: Link,
        deliver: Callable[[Piece], None],
        on_drained: Callable[[], None],
    ) -> None:
        self.loop, self.conditions, self.lateness = context
        self.link, self.deliver, self.on_drained = link, deliver, on_drained
        self.pieces: deque[PieceInTransit] = deque()
        self.size = self.last_due = 0
        self.timer: Timer | None = None  # of the first piece

    def add(self, piece: Piece) -> None:
        """Takes a piece that was read, and delivers it at once or when it is due."""
        conditions = self.conditions
        if not self.pieces and not (conditions.faults and conditions.faults_on(self.link).streams):
            self.deliver(piece)
            return
        due = self._due(size_of(piece))
        self.pieces.append(PieceInTransit(due, piece))
        self.size += size_of(piece)
        if due is not None:
            self.last_due = due
            if self.timer is None:
                self._set_timer()

    def conditions_changed(self) -> None:
        """Follows a change of faults or slots: what is no longer held back flows on, in its order."""
        if not self.pieces or self.conditions.blocks_streams(self.link):
            return
        last = self.loop.now()
        for entry in self.pieces:
            last = entry.due = last if entry.due is None else max(last, entry.due)
        self.last_due = last
        if self.timer is not None:
            self.timer.cancel()
        self._release()

    def clear(self) -> None:
        """Drops all pieces."""
        self.pieces.clear()
        self.size = 0
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _due(self, size: int) -> int | None:
        if self.pieces and self.pieces[-1].due is None:
            return None  # behind what is held back, even if `conditions_changed` has yet to let it go
        return self.conditions.stream_due(self.link, size, now=self.loop.now(), not_before=self.last_due)

    def _set_timer(self) -> None:
        due = self.pieces[0].due
        if due is not None:  # else `conditions_changed` goes on
            self.timer = self.loop.call_at(due, self._release)

    def _release(self) -> None:
        self.timer = None
        if self.conditions.blocks_streams(self.link):
            return  # a cut came over what was under way: `conditions_changed` goes on
        now = self.loop.now()
        while self.pieces and (due := self.pieces[0].due) is not None and due <= now:
            piece = self.pieces.popleft().piece
            self.size -= size_of(piece)
            self.lateness.note_departure(due, now)
            self.deliver(piece)
        if self.pieces:
            self._set_timer()
        self.on_drained()
