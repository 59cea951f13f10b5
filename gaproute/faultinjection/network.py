"""Puts faulty system calls in place of the real ones in the modules that use them, for a while.

    plan = FaultPlan(Script.of((NetworkCall.ACCEPT, 3, Failure(errno.EMFILE))))
    with NetworkFaults(plan):
        ...  # what is made in here fails as the plan says

Each module of `PACKAGES` that holds the module `socket`, `select`, `os` or `time` under its name gets a
stand-in for it. Sockets that others open directly, such as the far ends of a test, are untouched, and
nothing is paid where no injector is installed.
"""

from __future__ import annotations

import importlib
import os
import pkgutil
import select
import socket
import time
from collections.abc import Callable, Iterator, Sequence
from types import FunctionType, ModuleType, TracebackType
from typing import Any

from gaproute.faultinjection.catalog import NetworkCall
from gaproute.faultinjection.plan import ClockStep, FaultPlan
from gaproute.faultinjection.sockets import CallFaults, EpollWait, FaultyEpoll, FaultySocket

SECOND = 1_000_000_000
# Of a gateway of the platform. A module that is imported later than the injector is installed is not seen.
PACKAGES = (
    "gaproute.loop",
    "gaproute.connections",
    "gaproute.http1",
    "gaproute.fronts",
    "gaproute.hosts",
    "gaproute.discovery",
    "gaproute.platform",
)


class ModuleStandIn:
    """Looks like a module, with some of its names replaced."""

    def __init__(self, module: ModuleType, **replaced: Any) -> None:
        self._module = module
        self.__dict__.update(replaced)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._module, name)


class WallClock:
    """The wall clock that a plan steps; `step` does so by hand. `real` gives nanoseconds."""

    def __init__(self, plan: FaultPlan, real: Callable[[], int]) -> None:
        self._plan, self._real = plan, real
        self.offset = 0  # ns by which all steps so far have moved it

    def step(self, span: int) -> None:
        """From now on it shows `span` ns more."""
        self.offset += span

    def time_ns(self) -> int:
        """In place of `time.time_ns`."""
        fault = self._plan.inject(NetworkCall.WALL_CLOCK)
        if isinstance(fault, ClockStep):
            self.step(fault.span)
        return self._real() + self.offset

    def time(self) -> float:
        """In place of `time.time`."""
        return self.time_ns() / SECOND


class NetworkFaults:
    """Installs the faults of a plan in all modules of `packages`, as a context manager.

    Errors on entering: RuntimeError where another is installed. `wall`: the wall clock, ns, that the plan's
    steps are added to. `wait` takes the place of an epoll's wait, where time is not the real one.
    """

    def __init__(
        self,
        plan: FaultPlan,
        *,
        wall: Callable[[], int] = time.time_ns,
        wait: EpollWait = select.epoll.poll,
        packages: Sequence[str] = PACKAGES,
    ) -> None:
        self.plan = plan
        self.wall_clock = WallClock(plan, wall)
        self.call_faults = CallFaults(plan, wait)
        self._packages = packages
        self._pipe_readers: set[int] = set()  # descriptors to read from
        self._restore: list[Callable[[], None]] = []

    def __enter__(self) -> NetworkFaults:
        modules = list(modules_of(self._packages))
        if any(isinstance(value, ModuleStandIn) for module in modules for value in vars(module).values()):
            raise RuntimeError("faults are installed already")
        stand_ins = self._stand_ins()
        clocks = {time.time: self.wall_clock.time, time.time_ns: self.wall_clock.time_ns}
        for module in modules:
            for name, value in list(vars(module).items()):
                if isinstance(value, ModuleType) and value in stand_ins:
                    self._replace(module, name, stand_ins[value])
            for function in functions_of(module):
                self._replace_defaults(function, clocks)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.plan.paused = True  # sockets made meanwhile may outlast the installation
        while self._restore:
            self._restore.pop()()

    def _stand_ins(self) -> dict[ModuleType, ModuleStandIn]:
        call_faults = self.call_faults
        faulty_socket = type("FaultySocket", (FaultySocket,), {"call_faults": call_faults})
        return {
            socket: ModuleStandIn(socket, socket=faulty_socket),
            select: ModuleStandIn(select, epoll=lambda *args: FaultyEpoll(call_faults, *args)),
            os: ModuleStandIn(os, read=self._read, close=self._close, pipe2=self._pipe2),
            time: ModuleStandIn(time, time=self.wall_clock.time, time_ns=self.wall_clock.time_ns),
        }

    def _replace(self, holder: Any, name: str, value: Any) -> None:
        before = getattr(holder, name)
        setattr(holder, name, value)
        self._restore.append(lambda: setattr(holder, name, before))

    def _replace_defaults(self, function: FunctionType, clocks: dict[Any, Any]) -> None:
        """A clock that stands as a default was read when the function was defined."""
        defaults = function.__defaults__ or ()
        if any(default in clocks for default in defaults if callable(default)):
            changed = tuple(
                clocks.get(default, default) if callable(default) else default for default in defaults
            )
            self._replace(function, "__defaults__", changed)

    def _read(self, descriptor: int, size: int) -> bytes:
        if descriptor in self._pipe_readers:
            self.call_faults.raise_fault(NetworkCall.PIPE_READ)
            return os.read(descriptor, size)
        size = self.call_faults.transfer_size(NetworkCall.RECV, descriptor, size)
        return os.read(descriptor, size)

    def _close(self, descriptor: int) -> None:
        self._pipe_readers.discard(descriptor)
        os.close(descriptor)

    def _pipe2(self, flags: int) -> tuple[int, int]:
        self.call_faults.raise_fault(NetworkCall.PIPE)
        reader, writer = os.pipe2(flags)
        self._pipe_readers.add(reader)
        return reader, writer


def modules_of(packages: Sequence[str]) -> Iterator[ModuleType]:
    """The packages and all modules below them, imported where they were not; not those run as commands."""
    for name in packages:
        package = importlib.import_module(name)
        yield package
        for found in pkgutil.walk_packages(package.__path__, f"{name}."):
            if not found.name.endswith("__main__"):
                yield importlib.import_module(found.name)


def functions_of(module: ModuleType) -> Iterator[FunctionType]:
    """The functions that the module defines, also those in its classes."""
    for value in vars(module).values():
        if getattr(value, "__module__", None) != module.__name__:
            continue
        if isinstance(value, FunctionType):
            yield value
        elif isinstance(value, type):
            yield from (each for each in vars(value).values() if isinstance(each, FunctionType))
