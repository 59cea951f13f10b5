"""The children of a parent, by process slot; a child that ends unasked is started again."""

import os
import socket
import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from gaproute.appliance.child_process import ChildProcess
from gaproute.appliance.listening_sockets import ListeningSockets
from gaproute.config.configuration import Configuration
from gaproute.decisions.admission.restarts import RestartBackoff
from gaproute.decisions.chance import RandomGenerator
from gaproute.loop import Loop
from gaproute.telemetry.record import Log
from gaproute.units import MILLI

# More seeds than a parent has slots, so that children of parents with consecutive seeds have different seeds
SEEDS_PER_PARENT = 1000


@dataclass(frozen=True, slots=True)
class ServeCommand:
    """The part of a child's command line that is the same for all children."""

    configuration_file: str  # its path
    process_count: int  # number of children
    seed: int | None  # of the decisions' random numbers; None: each child draws its own seed

    def arguments(self, slot: int, sockets: Mapping[str, socket.socket]) -> list[str]:
        """The complete command line of the child in `slot`; `sockets`: the inherited ones, by address."""
        serve = [sys.executable, "-m", "gaproute", "serve", self.configuration_file]
        arguments = [*serve, "--seat", str(slot), str(self.process_count)]
        for address, sock in sockets.items():
            arguments += ["--inherited", f"{sock.fileno()}={address}"]
        if self.seed is not None:
            arguments += ["--seed", str(self.seed * SEEDS_PER_PARENT + slot)]
        return arguments


class ChildProcesses:
    """The children `by_slot`. Slots are numbered from 0; a rolling reload needs one slot more than there are
    children.

    `configuration` has the addresses whose sockets new children inherit. `on_all_ended` is called once no
    child is left after `stop`.
    """

    def __init__(
        self,
        loop: Loop,
        log: Log,
        command: ServeCommand,
        configuration: Configuration,
        listeners: ListeningSockets,
        on_all_ended: Callable[[], None],
    ) -> None:
        self.loop, self.log = loop, log
        self.command, self.configuration, self.listeners = command, configuration, listeners
        self.on_all_ended = on_all_ended
        self.by_slot: dict[int, ChildProcess] = {}
        self.restarts = RestartBackoff(RandomGenerator(os.getpid() if command.seed is None else command.seed))
        self.stopping = False

    def start(self, slot: int) -> ChildProcess:
        """Starts a child in `slot`. Errors: OSError if a listening socket or the process fails to start."""
        sockets = self.listeners.open(self.configuration)
        descriptors = [sock.fileno() for sock in sockets.values()]
        child = ChildProcess(self.loop, self.command.arguments(slot, sockets), descriptors)
        self.by_slot[slot] = child
        child.ended.then(lambda promise: self._on_child_ended(slot, child, promise.value))
        return child

    def start_missing(self) -> None:
        """Starts a child in each empty slot. Errors: as `start`; the call may be repeated then."""
        for slot in range(self.command.process_count):
            if slot not in self.by_slot:
                self.start(slot)

    def free_slot(self) -> int:
        """The lowest slot without a child."""
        return next(slot for slot in range(self.command.process_count + 1) if slot not in self.by_slot)

    def stop(self) -> None:
        """Asks all children to stop together."""
        self.stopping = True
        for child in self.by_slot.values():
            child.stop_with_all()
        if not self.by_slot:
            self.on_all_ended()

    def kill(self) -> None:
        """Kills all remaining children."""
        for child in self.by_slot.values():
            child.kill()

    def _on_child_ended(self, slot: int, child: ChildProcess, code: int) -> None:
        if self.by_slot.get(slot) is not child:
            return  # a rolling reload has replaced the child
        del self.by_slot[slot]
        if self.stopping:
            if not self.by_slot:
                self.on_all_ended()
            return
        backoff = self._schedule_restart(slot, self.loop.now() - child.started_at)
        self.log.warning("child_exited", process_slot=slot, exit_code=code, restart_in_ms=backoff // MILLI)

    def _schedule_restart(self, slot: int, uptime: int) -> int:
        """Schedules a new child for the slot; returns the delay, ns. `uptime`: of the last child, ns."""
        now = self.loop.now()
        restart_at = self.restarts.schedule_restart(now, slot, uptime)
        self.loop.call_at(restart_at, self._restart, slot)
        return int(restart_at - now)

    def _restart(self, slot: int) -> None:
        if self.stopping or slot in self.by_slot or len(self.by_slot) >= self.command.process_count:
            return
        try:
            self.start(slot)
        except OSError as error:
            backoff = self._schedule_restart(slot, 0)
            self.log.warning(
                "child_start_failed", process_slot=slot, error=str(error), restart_in_ms=backoff // MILLI
            )
