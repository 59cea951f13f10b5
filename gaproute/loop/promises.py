"""Promises, and generators that are driven by them as coroutines."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any


class Promise:
    """A value that comes later. A coroutine that yields it is resumed with the value, or the error raised."""

    __slots__ = ("ready", "value", "error", "waiters")

    def __init__(self) -> None:
        self.ready = False
        self.value: Any = None
        self.error: BaseException | None = None
        self.waiters: list[Callable[[Promise], object]] = []

    def set(self, value: Any = None) -> None:
        """Settles it with a value; without effect where it is settled."""
        self._settle(value, None)

    def fail(self, error: BaseException) -> None:
        """Settles it with an error; without effect where it is settled."""
        self._settle(None, error)

    def _settle(self, value: Any, error: BaseException | None) -> None:
        if self.ready:
            return
        self.ready, self.value, self.error = True, value, error
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            waiter(self)

    def then(self, call: Callable[[Promise], object]) -> None:
        """`call(promise)` once it is settled, at once if it is."""
        if self.ready:
            call(self)
        else:
            self.waiters.append(call)


class Coroutine:
    """A generator that yields promises and ends by returning.

    `done` is settled with what it returns, or with the error that ended it; `report` hears of an error that
    nobody waits for.
    """

    __slots__ = ("generator", "report", "done")

    def __init__(
        self, generator: Generator[Promise, Any, Any], report: Callable[[BaseException], object]
    ) -> None:
        self.generator, self.report, self.done = generator, report, Promise()

    def cancel(self) -> None:
        """Closes the generator, so that its `finally` parts run; `done` is settled with None."""
        if not self.done.ready:
            self.generator.close()
            self.done.set()

    def step(self, promise: Promise | None = None) -> None:
        """Resumes the generator with a settled promise, until it waits for one that is not."""
        while not self.done.ready:
            try:
                awaited = self._resume(promise)
            except StopIteration as end:
                self.done.set(end.value)
                return
            except Exception as error:  # noqa: BLE001 - whatever it is, those who wait get it, or it is reported
                if not self.done.waiters:
                    self.report(error)
                self.done.fail(error)
                return
            if not awaited.ready:
                awaited.waiters.append(self.step)
                return
            promise = awaited

    def _resume(self, promise: Promise | None) -> Promise:
        if promise is None:
            return self.generator.send(None)
        if promise.error is not None:
            return self.generator.throw(promise.error)
        return self.generator.send(promise.value)
