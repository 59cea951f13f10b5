"""One connection over a link: its two ends, and what it has carried."""

from __future__ import annotations

import socket
from collections.abc import Callable

from gaproute.cluster.addresses import Link
from gaproute.cluster.links.context import EmulatorContext
from gaproute.cluster.links.stream_end import StreamEnd


class StreamRelay:
    """The end `near` the caller and the end `far` from it. `link` leads from the caller to the callee.

    `on_finished(relay)` is called once, when both ends are closed.
    """

    __slots__ = (
        "number",
        "link",
        "near",
        "far",
        "carried_bytes",
        "pieces",
        "_loop",
        "_on_finished",
    )

    def __init__(
        self,
        context: EmulatorContext,
        number: int,
        link: Link,
        *,
        near: socket.socket,
        far: socket.socket,
        on_finished: Callable[[StreamRelay], None],
    ) -> None:
        self.number, self.link = number, link
        self.carried_bytes = self.pieces = 0
        self._loop, self._on_finished = context.loop, on_finished
        self.near = StreamEnd(self, context, near, link)
        self.far = StreamEnd(self, context, far, link.reverse)
        self.near.other, self.far.other = self.far, self.near

    @property
    def in_transit(self) -> bool:
        """Whether anything is under way."""
        return bool(self.near.transit.pieces or self.far.transit.pieces)

    def reset(self) -> None:
        """Resets both ends at once."""
        self.near.reset()
        self.far.reset()

    def conditions_changed(self) -> None:
        """Follows a change of faults or slots."""
        self.near.transit.conditions_changed()
        self.far.transit.conditions_changed()

    def finish(self) -> None:
        """Ends the relay, as both ends are closed."""
        self.near.transit.clear()
        self.far.transit.clear()
        self._on_finished(self)
        self._loop.call_soon(self._untie)  # whoever is at work on an end still needs the other

    def _untie(self) -> None:
        """Removes circular references, so that no garbage collection is needed."""
        self.near.untie()
        self.far.untie()
        del self.near, self.far
