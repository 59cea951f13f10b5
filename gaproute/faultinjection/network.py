"""Puts faulty system calls in place of the real ones in the modules of a gateway, for a while.

    plan = FaultPlan(Script.of((NetworkCall.ACCEPT, 3, Failure(errno.EMFILE))))
    with NetworkFaults(plan):
        ...  # sockets, epolls and pipes that are opened in here fail as the plan says

A module that imports the module `socket`, `select`, `os` or `time` has it under a name of its own; that name
is given a stand-in. Other modules keep the real one: the far ends of a test are untouched, and a gateway
without an installation runs no code of this package.
"""

from __future__ import annotations

import importlib
import os
import pkgutil
import select
import socket
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from functools import partial
from types import FunctionType, ModuleType
from typing import Any

from gaproute.faultinjection.catalog import NetworkCall
from gaproute.faultinjection.plan import ClockStep, FaultPlan
from gaproute.faultinjection.sockets import CallFaults, EpollWait, FaultyEpoll, FaultySocket
from gaproute.units import SECOND

# All that a gateway of the platform runs. Modules outside, and those imported after the installation, keep
# the real calls.
PACKAGES = (
    "gaproute.loop",
    "gaproute.connections",
    "gaproute.http1",
    "gaproute.fronts",
    "gaproute.hosts",
    "gaproute.discovery",
    "gaproute.platform",
)

ClockFunction = Callable[[], float]  # `time.time` or `time.time_ns`


class ModuleStandIn:
    """Looks like a module, with some of its names replaced."""

    def __init__(self, module: ModuleType, **replaced: object) -> None:
        self._module = module
        self.__dict__.update(replaced)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._module, name)


class WallClock:
    """A wall clock that a plan, or a call of `step`, moves. `base_clock()`: the time without any step, ns."""

    def __init__(self, plan: FaultPlan, base_clock: Callable[[], int]) -> None:
        self._plan, self._base_clock = plan, base_clock
        self.offset = 0  # the sum of all steps so far, ns

    def step(self, span: int) -> None:
        """Moves the clock by `span` ns, from now on."""
        self.offset += span

    def time_ns(self) -> int:
        """Replaces `time.time_ns`."""
        fault = self._plan.inject(NetworkCall.WALL_CLOCK)
        if isinstance(fault, ClockStep):
            self.step(fault.span)
        return self._base_clock() + self.offset

    def time(self) -> float:
        """Replaces `time.time`."""
        return self.time_ns() / SECOND


class NetworkFaults:
    """Installs the faults of a plan in all modules of `packages`, as a context manager.

    `base_clock`: the wall clock (ns) to which the steps of the plan are added. `wait`: replaces the wait of
    an epoll where time is simulated.
    """

    def __init__(
        self,
        plan: FaultPlan,
        *,
        base_clock: Callable[[], int] = time.time_ns,
        wait: EpollWait = select.epoll.poll,
        packages: Sequence[str] = PACKAGES,
    ) -> None:
        self.plan = plan
        self.wall_clock = WallClock(plan, base_clock)
        self.call_faults = CallFaults(plan, wait)
        self._packages = packages
        self._pipe_readers: set[int] = set()  # the descriptors of pipes that are read from
        self._restore: list[Callable[[], None]] = []

    def __enter__(self) -> NetworkFaults:
        self.install()
        return self

    def __exit__(self, *error: object) -> None:
        self.uninstall()

    def install(self) -> None:
        """Puts the stand-ins in place. Errors: RuntimeError if another installation is in place."""
        modules = list(modules_of(self._packages))
        if any(isinstance(value, ModuleStandIn) for module in modules for value in vars(module).values()):
            raise RuntimeError("faults are installed already")
        stand_ins = self._stand_ins()
        clocks: dict[ClockFunction, ClockFunction] = {
            time.time: self.wall_clock.time,
            time.time_ns: self.wall_clock.time_ns,
        }
        for module in modules:
            for name, value in list(vars(module).items()):
                if isinstance(value, ModuleType) and value in stand_ins:
                    self._replace(module, name, stand_ins[value])
            for function in functions_of(module):
                self._replace_default_clocks(function, clocks)

    def uninstall(self) -> None:
        """Puts everything back. Sockets that were opened meanwhile stay, and fail no more."""
        self.plan.paused = True
        while self._restore:
            self._restore.pop()()

    def _stand_ins(self) -> dict[ModuleType, ModuleStandIn]:
        faulty_socket = type("FaultySocket", (FaultySocket,), {"call_faults": self.call_faults})
        return {
            socket: ModuleStandIn(socket, socket=faulty_socket),
            select: ModuleStandIn(select, epoll=partial(FaultyEpoll, self.call_faults)),
            os: ModuleStandIn(os, read=self._read, close=self._close, pipe2=self._pipe2),
            time: ModuleStandIn(time, time=self.wall_clock.time, time_ns=self.wall_clock.time_ns),
        }

    def _replace(self, holder: ModuleType | FunctionType, name: str, value: object) -> None:
        original = getattr(holder, name)
        setattr(holder, name, value)
        self._restore.append(lambda: setattr(holder, name, original))

    def _replace_default_clocks(
        self, function: FunctionType, clocks: Mapping[ClockFunction, ClockFunction]
    ) -> None:
        """Replaces clocks among a function's defaults, which were read when the function was defined."""
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
    """The packages and all modules in them, imported if need be; without `__main__`, which runs a command."""
    for name in packages:
        package = importlib.import_module(name)
        yield package
        for found in pkgutil.walk_packages(package.__path__, f"{name}."):
            if not found.name.endswith("__main__"):
                yield importlib.import_module(found.name)


def functions_of(module: ModuleType) -> Iterator[FunctionType]:
    """The functions and methods that the module defines."""
    for value in vars(module).values():
        if getattr(value, "__module__", None) != module.__name__:
            continue
        if isinstance(value, FunctionType):
            yield value
        elif isinstance(value, type):
            yield from (member for member in vars(value).values() if isinstance(member, FunctionType))
