"""The kinds of stand-in that `python -m gaproute.standins` starts, each made from its first line."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

import msgspec

from gaproute.errors import GaprouteError
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address
from gaproute.standins.first_lines import (
    ChangeLogLine,
    ClientsLine,
    FirstLine,
    HostLine,
    PeerBroadcastLine,
    PlatformClientsLine,
    PlatformHostsLine,
    StoreLine,
)
from gaproute.standins.json_objects import JsonObject, WriteLine
from gaproute.standins.kserve import KServeHost
from gaproute.standins.kserve.clients import KServeClients, KServeLoad
from gaproute.standins.model_server import HostSetup
from gaproute.standins.model_store import ModelStore, StoreProfile
from gaproute.standins.platform.change_log import ChangeLogServer
from gaproute.standins.platform.clients import PlatformClients, PlatformLoad
from gaproute.standins.platform.host_answers import LoadReporting
from gaproute.standins.platform.hosts import PlatformHosts, SharedSetup
from gaproute.standins.platform.peer_broadcast import PeerBroadcast
from gaproute.standins.tap import EventRecorder

PIGGYBACK = "piggyback"  # load reports come with answers too

LineType = TypeVar("LineType", bound=FirstLine)


class UnexpectedCommandError(GaprouteError):
    """A stand-in that takes no commands got one."""


def _refuse(command: JsonObject) -> None:
    raise UnexpectedCommandError(f"this kind of stand-in takes no commands, and got {command!r:.200}")


def _do_nothing() -> None:
    """Where there is nothing to flush, or to do at the end."""


@dataclass(frozen=True)
class StandIn:
    """A running stand-in, as its process drives it."""

    command: Callable[[JsonObject], object] = _refuse
    flush: Callable[[], object] = _do_nothing  # writes taps beside that of the process
    finish: Callable[[], object] = _do_nothing  # at the end of the process


@dataclass(frozen=True)
class Surroundings:
    """What the process gives a stand-in."""

    loop: Loop
    tap: EventRecorder
    report: WriteLine


@dataclass(frozen=True)
class StandInKind(Generic[LineType]):
    """A kind of stand-in: the form of its first line, and what makes it."""

    line_type: type[LineType]
    make: Callable[[Surroundings, LineType], StandIn]

    def decode(self, line: bytes) -> LineType:
        """The first line. Errors: msgspec.DecodeError."""
        return msgspec.json.decode(line, type=self.line_type)


def _make_store(process: Surroundings, line: StoreLine) -> StandIn:
    profile = StoreProfile(rate=line.pace, limit=line.limit, thrash=line.thrash)
    store = ModelStore(process.loop, parse_address(line.listen), profile, process.tap)
    process.report({"address": store.address})
    return StandIn(store.command)


def _make_host(process: Surroundings, line: HostLine) -> StandIn:
    models = {model.name: model for model in line.models}
    setup = HostSetup(profile=line.profile, models=models, store=line.store, seed=line.seed, warm=line.warm)
    host = KServeHost(process.loop, parse_address(line.listen), setup, process.tap)
    process.report({"address": host.address})
    return StandIn(host.command)


def _make_clients(process: Surroundings, line: ClientsLine) -> StandIn:
    until = process.loop.now() + line.length
    load = KServeLoad(
        gateways=line.gateways,
        classes=line.classes,
        traffic=line.traffic,
        seed=line.seed,
        until=until,
    )
    return StandIn(KServeClients(process.loop, load, process.tap).command)


def _make_platform_hosts(process: Surroundings, line: PlatformHostsLine) -> StandIn:
    reporting = LoadReporting(line.figures, with_answers=line.report == PIGGYBACK)
    setup = SharedSetup(
        models=line.models,
        taps=line.taps,
        store=line.store,
        seed=line.seed,
        reporting=reporting,
    )
    hosts = PlatformHosts(process.loop, line.hosts, setup, process.report)
    return StandIn(hosts.command, flush=hosts.flush, finish=hosts.flush)


def _make_change_log(process: Surroundings, line: ChangeLogLine) -> StandIn:
    log = ChangeLogServer(process.loop, line.gateways, process.tap, process.report)
    return StandIn(log.command)


def _make_peer_broadcast(process: Surroundings, line: PeerBroadcastLine) -> StandIn:
    broadcast = PeerBroadcast(process.loop, line.listen, line.routes, process.tap)
    process.report({"address": broadcast.address})
    return StandIn(finish=broadcast.finish)


def _make_platform_clients(process: Surroundings, line: PlatformClientsLine) -> StandIn:
    load = PlatformLoad(
        gateways=line.gateways,
        models=line.models,
        classes=line.classes,
        traffic=line.traffic,
        seed=line.seed,
        length=line.length,
    )
    clients = PlatformClients(process.loop, load, process.tap, process.report)
    return StandIn(clients.command)


KINDS: dict[str, StandInKind[Any]] = {  # Any: each kind has a type of first line of its own
    "store": StandInKind(StoreLine, _make_store),
    "host": StandInKind(HostLine, _make_host),
    "clients": StandInKind(ClientsLine, _make_clients),
    "platform-host": StandInKind(PlatformHostsLine, _make_platform_hosts),
    "platform-log": StandInKind(ChangeLogLine, _make_change_log),
    "platform-clients": StandInKind(PlatformClientsLine, _make_platform_clients),
    "platform-spread": StandInKind(PeerBroadcastLine, _make_peer_broadcast),
}
