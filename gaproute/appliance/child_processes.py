"""The children of a parent by process slot; a child that dies is started again."""

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

SEEDS_PER_PARENT = 1000  # so that children of parents with neighbouring seeds have different seeds


@dataclass(frozen=True, slots=True)
class ServeCommand:
    """The command line of a child, except for its slot and its sockets."""

    file: str  # path of the configuration
    count: int  # number of children
    seed: int | None  # of the decisions' random numbers; None: each child draws its own

    def arguments(self, slot: int, sockets: Mapping[str, socket.socket]) -> list[str]:
        """The complete command line; `sockets`: by address."""
        serve = [sys.executable, "-m", "gaproute", "serve", self.file]
        arguments = [*serve, "--seat", str(slot), str(self.count)]
        for where, sock in sockets.items():
            arguments += ["--inherited", f"{sock.fileno()}={where}"]
        if self.seed is not None:
            arguments += ["--seed", str(self.seed * SEEDS_PER_PARENT + slot)]
        return arguments


class ChildProcesses:
    """The children `by_slot`. Slots are numbered from 0; a rolling reload uses one slot more than there are
    children.

    `configuration`: the one with which new children are started. `on_all_ended`: called once no child is left
    after `stop`.
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
        """Starts a child. Errors: OSError where the process, or one of its sockets, cannot be opened."""
        sockets = self.listeners.open(self.configuration)
        descriptors = [sock.fileno() for sock in sockets.values()]
        child = ChildProcess(self.loop, self.command.arguments(slot, sockets), descriptors)
        self.by_slot[slot] = child
        child.ended.then(lambda promise: self._on_ended(slot, child, promise.value))
        return child

    def start_missing(self) -> None:
        """Starts a child in each empty slot. Errors: OSError; then it may be called again."""
        for slot in range(self.command.count):
            if slot not in self.by_slot:
                self.start(slot)

    def free_slot(self) -> int:
        """The first slot without a child."""
        return next(slot for slot in range(self.command.count + 1) if slot not in self.by_slot)

    def stop(self) -> None:
        """Asks all children to end together."""
        self.stopping = True
        for child in self.by_slot.values():
            child.stop_with_all()
        if not self.by_slot:
            self.on_all_ended()

    def kill(self) -> None:
        """Kills the children that are left."""
        for child in self.by_slot.values():
            child.kill()

    def _on_ended(self, slot: int, child: ChildProcess, code: int) -> None:
        if self.by_slot.get(slot) is not child:
            return  # it was replaced in a rolling reload
        del self.by_slot[slot]
        if self.stopping:
            if not self.by_slot:
                self.on_all_ended()
            return
        backoff = self._schedule_restart(slot, self.loop.now() - child.started)
        self.log.warning("child_exited", process_slot=slot, exit_code=code, restart_in_ms=backoff // MILLI)

    def _schedule_restart(self, slot: int, uptime: int) -> int:
        """Fills the slot again after a backoff; `uptime`: how long its child ran. Returns the backoff. Times
        are ns.
        """
        now = self.loop.now()
        restart_at = self.restarts.schedule_restart(now, slot, uptime)
        self.loop.call_at(restart_at, self._restart, slot)
        return int(restart_at - now)

    def _restart(self, slot: int) -> None:
        if self.stopping or slot in self.by_slot or len(self.by_slot) >= self.command.count:
            return
        try:
            self.start(slot)
        except OSError as error:
            backoff = self._schedule_restart(slot, 0)
            self.log.warning(
                "child_start_failed", process_slot=slot, error=str(error), restart_in_ms=backoff // MILLI
            )
