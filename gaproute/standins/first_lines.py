"""The first line on a stand-in's standard input, by kind: what the stand-in is made of."""

from __future__ import annotations

import msgspec

from gaproute.standins.kserve.clients import KServeTraffic
from gaproute.standins.model_server import HostProfile, ModelProfile
from gaproute.standins.platform.hosts import HostSlot
from gaproute.standins.platform.traffic import PlatformTraffic
from gaproute.standins.traffic import ClientRequestClass

Seed = int | str


class FirstLine(msgspec.Struct, frozen=True, kw_only=True):
    """What all kinds have in common."""

    tap: str | None = None  # a file; without one nothing is noted


class StoreLine(FirstLine, frozen=True, kw_only=True):
    """Of `store`."""

    listen: str
    pace: float  # fetches a second
    limit: int  # fetches under way at most
    thrash: float  # share of the pace that is lost at the limit


class HostLine(FirstLine, frozen=True, kw_only=True):
    """Of `host`."""

    listen: str
    profile: HostProfile = msgspec.field(name="make")
    models: list[ModelProfile]
    store: str | None
    warm: bool
    seed: Seed


class ClientsLine(FirstLine, frozen=True, kw_only=True):
    """Of `clients`."""

    gateways: list[str]
    classes: list[ClientRequestClass] = msgspec.field(name="kinds")
    traffic: KServeTraffic = msgspec.field(name="habits")
    seed: Seed
    length: int  # ns of arrivals


class PlatformHostsLine(FirstLine, frozen=True, kw_only=True):
    """Of `platform-host`."""

    hosts: list[HostSlot]
    models: list[ModelProfile]
    taps: str | None = None  # a folder
    store: str | None = None
    seed: Seed = 1
    figures: tuple[str, ...] = msgspec.field(default=("cpu_share", "x0"), name="meter")
    report: str | None = None  # "piggyback": load reports come with answers too


class ChangeLogLine(FirstLine, frozen=True, kw_only=True):
    """Of `platform-log`."""

    gateways: list[str]  # where to listen for each


class PeerBroadcastLine(FirstLine, frozen=True, kw_only=True):
    """Of `platform-spread`."""

    listen: str
    routes: dict[str, list[str]] = msgspec.field(name="ways")


class PlatformClientsLine(FirstLine, frozen=True, kw_only=True):
    """Of `platform-clients`."""

    gateways: list[str]
    models: list[ModelProfile]
    classes: list[ClientRequestClass] = msgspec.field(name="kinds")
    traffic: PlatformTraffic = msgspec.field(default_factory=PlatformTraffic, name="habits")
    seed: int
    length: int  # ns of arrivals
