"""Several stand-in hosts of the platform in one process, each with a tap of its own for each of its runs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address
from gaproute.standins.json_objects import JsonObject, WriteLine
from gaproute.standins.model_server import HostProfile, HostSetup, ModelProfile
from gaproute.standins.platform.host import PlatformHost
from gaproute.standins.platform.host_answers import LoadReporting
from gaproute.standins.tap import Tap


class HostSlot(msgspec.Struct, frozen=True):
    """A host, and how its next run begins; an object of `hosts` in the first line."""

    listen: str
    profile: HostProfile = msgspec.field(name="make")
    warm: bool = False


class HostCommand(msgspec.Struct, frozen=True):
    """`do` "crash" or "start" (with `warm`, or a whole `seat`) for one host; else a fault at the hosts of
    `hosts`, at `host`, or at all."""

    host: str | None = None
    action: str | None = msgspec.field(default=None, name="do")
    warm: bool = False
    slot: HostSlot | None = msgspec.field(default=None, name="seat")
    hosts: list[str] | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class SharedSetup:
    """What all hosts of a process have in common."""

    models: Sequence[ModelProfile]
    taps: str | None = None  # the folder; without one nothing is noted
    store: str | None = None  # the model store's address
    seed: int | str = 1
    reporting: LoadReporting = LoadReporting()


class PlatformHosts:
    """Starts the hosts of `slots` and reports their addresses. Errors: OSError."""

    def __init__(
        self,
        loop: Loop,
        slots: Sequence[HostSlot],
        setup: SharedSetup,
        report: WriteLine,
    ) -> None:
        """`report(line)`: tells addresses to whoever started the stand-in."""
        self.loop, self.setup, self.report = loop, setup, report
        self.models = {model.name: model for model in setup.models}
        self.hosts: dict[str, PlatformHost] = {}  # by name, those that were not crashed
        self._taps: dict[str, Tap] = {}
        self._slots: dict[str, HostSlot] = {}
        self._runs: Counter[str] = Counter()  # of each host
        for slot in slots:
            self._start(slot)
        addresses = {name: host.address for name, host in self.hosts.items()}
        report({"address": next(iter(addresses.values()), ""), "addresses": addresses})

    def _start(self, slot: HostSlot) -> PlatformHost:
        """A host's first run, or its next at the address it had."""
        name = slot.profile.name
        if name in self.hosts:
            self.hosts[name].crash()  # it had failed, or is restarted as it stands
        self._runs[name] += 1
        run, setup = self._runs[name], self.setup
        path = Path(setup.taps) / f"host-{name}.{run}.tap" if setup.taps else None
        tap = self._taps[name] = Tap(path, self.loop.clock)
        seed = f"{setup.seed} {name} {run}"
        host_setup = HostSetup(
            profile=slot.profile, models=self.models, store=setup.store, seed=seed, warm=slot.warm
        )
        host = PlatformHost(self.loop, parse_address(slot.listen), host_setup, tap, setup.reporting)
        self.hosts[name] = host
        self._slots[name] = msgspec.structs.replace(slot, listen=host.address)
        return host

    def flush(self) -> None:
        """Writes the taps of all hosts."""
        for tap in self._taps.values():
            tap.flush()

    def command(self, command: JsonObject) -> None:
        """Carries out a command; see `HostCommand` and `FaultCommand` for the forms."""
        decoded = msgspec.convert(command, HostCommand)
        match decoded.action:
            case "crash" if decoded.host is not None:
                self.hosts.pop(decoded.host).crash()
            case "start":
                host = self._start(self._next_slot(decoded))
                self.report({"host": host.profile.name, "address": host.address})
            case _:
                self._command_hosts(decoded, command)

    def _next_slot(self, command: HostCommand) -> HostSlot:
        if command.slot is not None:
            return command.slot
        return msgspec.structs.replace(self._slots[command.host or ""], warm=command.warm)

    def _command_hosts(self, decoded: HostCommand, command: JsonObject) -> None:
        names = decoded.hosts
        if names is None:
            names = [decoded.host] if decoded.host else list(self.hosts)
        for name in names:
            if name in self.hosts:
                self.hosts[name].command(command)
