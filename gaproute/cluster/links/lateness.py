"""Measures how late an emulator runs, since a play with one that was late is void."""

from __future__ import annotations

import select

from gaproute.loop import Loop
from gaproute.loop.polling import Events

CHECK_INTERVAL = 50_000_000  # ns between looks at the clock: an emulator with nothing to do can starve too


class LinkLateness:
    """The longest time, in ns, that anything due or arrived waited for the emulator.

    `recent` is since it was last taken, `most` since the start. `measured_poll` replaces the loop's `poll`.
    """

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.recent = self.most = 0
        self.poll, self.woke_at = loop.poll, loop.now()
        loop.poll = self.measured_poll
        self._check(loop.now())

    def measured_poll(self, epoll: select.epoll, span: int) -> Events:
        """Replaces the loop's `poll`. What arrived during the last turn has waited for all of it at most."""
        self._note(self.loop.now() - self.woke_at)
        ready = self.poll(epoll, span)
        self.woke_at = self.loop.now()
        return ready

    def note_departure(self, due: int, now: int) -> None:
        """Notes that something which was due at `due` leaves now."""
        if now - due > self.recent:
            self._note(now - due)

    def take(self) -> int:
        """Returns the longest lateness since this was last called."""
        recent, self.recent = self.recent, 0
        return recent

    def _check(self, due: int) -> None:
        now = self.loop.now()
        self._note(now - due)
        self.loop.call_at(now + CHECK_INTERVAL, self._check, now + CHECK_INTERVAL)

    def _note(self, lateness: int) -> None:
        if lateness > self.recent:
            self.recent = lateness
            self.most = max(self.most, lateness)
