"""Lines on this gateway, its hosts and the other gateways."""
from typing import ClassVar, Literal

from pydantic import Field

from gaproute.conf.lines import Directive, Span, Yes
from gaproute.conf.words.kinds import Address, Name, Started


class Word(Directive):
    places: ClassVar = ("name",)
    example: ClassVar = "name gate-1"
    once: ClassVar = True
    name: Name = "gateway"


class Listen(Directive):
    places: ClassVar = ("kind", "where")
    example: ClassVar = "listen kserve 127.0.0.1:8080"
    kind: Literal["kserve", "operator", "peers"]
    where: Address


class HostsFile(Directive):
    places: ClassVar = ("path",)
    example: ClassVar = "hosts-file hosts.list look 50ms"
    once: ClassVar = True
    path: str
    look: Span = Field(50_000_000, ge=1_000_000, le=400_000_000)


class HostLine(Directive):
    places: ClassVar = ("name", "where")
    example: ClassVar = "host mh01 127.0.0.1:9001 zone hall-a rack r1 capacity 4 state active"
    name: Name
    where: Address
    zone: str = ""
    rack: str = ""
    capacity: float = Field(1.0, gt=0, le=1e6)
    state: Literal["active", "draining", "gone"] = "active"
    started: Started | None = None


class PeerLine(Directive):
    places: ClassVar = ("name", "where")
    example: ClassVar = "peer gate-2 127.0.0.1:8090"
    name: Name
    where: Address


class PeersFile(Directive):
    places: ClassVar = ("path",)
    example: ClassVar = "peers-file peers.list look 1s"
    once: ClassVar = True
    path: str
    look: Span = Field(1_000_000_000, ge=1_000_000, le=60_000_000_000)


class MemoryLine(Directive):
    places: ClassVar = ("path",)
    example: ClassVar = "memory /var/lib/gaproute/gate-1.memory"
    once: ClassVar = True
    path: str


class WeakWord(Directive):
    places: ClassVar = ("told",)
    example: ClassVar = "weak-word yes"
    once: ClassVar = True
    told: Yes = False
