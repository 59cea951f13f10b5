"""Coroutines that end together, as those of a host that dies."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

from gaproute.loop import Loop, Promise
from gaproute.loop.promises import Coroutine


class CoroutineGroup:
    """Runs coroutines on the loop until they are done or cancelled."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self._coroutines: list[Coroutine] = []

    def spawn(self, generator: Generator[Promise, Any, object]) -> Promise:
        """Runs a coroutine; a promise of what it returns, None where it is cancelled."""
        self._coroutines = [each for each in self._coroutines if not each.done.ready]
        coroutine = self.loop.spawn(generator)
        self._coroutines.append(coroutine)
        return coroutine.done

    def cancel_all(self) -> None:
        """Ends all that are not done."""
        coroutines, self._coroutines = self._coroutines, []
        for coroutine in coroutines:
            coroutine.cancel()
