"""Promises, and coroutines: generators that wait for promises by yielding them."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any


class Promise:
    """A value or error that is set later; a coroutine that yields the promise is resumed with it."""

    __slots__ = ("ready", "value", "error", "waiters")

    def __init__(self) -> None:
        self.ready = False
        self.value: Any = None  # of any type, which the promise does not check
        self.error: BaseException | None = None
        self.waiters: list[Callable[[Promise], object]] = []

    def set(self, value: object = None) -> None:
        """Settles the promise with a value; does nothing if the promise is settled already."""
        self._settle(value, None)

    def fail(self, error: BaseException) -> None:
        """Settles the promise with an error; does nothing if the promise is settled already."""
        self._settle(None, error)

    def _settle(self, value: object, error: BaseException | None) -> None:
        if self.ready:
            return
        self.ready, self.value, self.error = True, value, error
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            waiter(self)

    def then(self, call: Callable[[Promise], object]) -> None:
        """Calls `call(promise)` once the promise is settled, or immediately if it is settled already."""
        if self.ready:
            call(self)
        else:
            self.waiters.append(call)


class Coroutine:
    """A generator that yields promises and ends by returning.

    `done` is settled with the generator's return value, or with the error that ended the generator.
    `report_error(error)` is called for an error while nothing waits for `done`.
    """

    __slots__ = ("generator", "report_error", "done")

    def __init__(
        self, generator: Generator[Promise, Any, object], report_error: Callable[[BaseException], object]
    ) -> None:
        self.generator, self.report_error, self.done = generator, report_error, Promise()

    def cancel(self) -> None:
        """Closes the generator, which runs its `finally` clauses; `done` is settled with None."""
        if not self.done.ready:
            self.generator.close()
            self.done.set()

    def step(self, promise: Promise | None = None) -> None:
        """Resumes the generator with a settled promise, until it yields a promise that is not settled."""
        while not self.done.ready:
            try:
                awaited = self._resume(promise)
            except StopIteration as end:
                self.done.set(end.value)
                return
            except Exception as error:  # noqa: BLE001 - any error goes to the waiters or is reported
                if not self.done.waiters:
                    self.report_error(error)
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
