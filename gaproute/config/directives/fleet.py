"""Lines on this gateway, its hosts and the other gateways."""

from typing import Annotated, ClassVar, Literal

from pydantic import BeforeValidator, Field, model_validator

from gaproute.config.directives.values import Address, Name, Started
from gaproute.config.parsing import Directive, Span, Yes
from gaproute.decisions.cells.bounds import MAX_NAME
from gaproute.shared.leases.commands import LONGEST, SHORTEST
from gaproute.shared.raft.messages import KEEPERS

FROM = "from"  # what sources of host lists are named after, in place of a folder
MAX_SOURCES = 16  # of host lists


def _split(value):
    return tuple(value.split(",")) if isinstance(value, str) else value


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


class CellsLine(Directive):
    places: ClassVar = ("fleet",)
    example: ClassVar = "cells north file cells.table look 50ms region west zone west-a gateways 12"
    once: ClassVar = True
    fleet: str = Field(min_length=1, max_length=MAX_NAME)
    file: str
    look: Span = Field(50_000_000, ge=1_000_000, le=400_000_000)
    region: str = Field(min_length=1, max_length=MAX_NAME)  # where this gateway stands
    zone: str = Field(min_length=1, max_length=MAX_NAME)
    gateways: int = Field(1, ge=1, le=100_000)  # of the whole fleet, about
    kept: str | None = None  # where the last good table is kept on disk


class CellHosts(Directive):
    places: ClassVar = ("folder",)
    example: ClassVar = "cell-hosts /etc/gaproute/cells look 50ms, or: cell-hosts from 10.0.0.1:7000"
    once: ClassVar = True
    folder: str | None = None
    sources: Annotated[tuple[Address, ...], BeforeValidator(_split)] = Field((), alias=FROM)
    look: Span = Field(50_000_000, ge=1_000_000, le=400_000_000)

    @classmethod
    def places_of(cls, words):
        """Sources stand in place of a folder."""
        return () if words[:1] == [FROM] else cls.places

    @model_validator(mode="after")
    def fits(self):
        if self.folder is not None and self.sources:
            raise ValueError("a folder and sources, keep one of the two")
        if len(set(self.sources)) < len(self.sources):
            raise ValueError("a source is named twice")
        if len(self.sources) > MAX_SOURCES:
            raise ValueError(f"{MAX_SOURCES} sources at most")
        if any(where.endswith(":0") for where in self.sources):
            raise ValueError("a source has a port")
        return self


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


class KeepersLine(Directive):
    places: ClassVar = ("names",)
    example: ClassVar = "keepers gate-1,gate-2,gate-3 votes /var/lib/gaproute/gate-1.votes longest 600s"
    once: ClassVar = True
    names: Annotated[
        tuple[Name, ...],
        BeforeValidator(_split),
    ]
    votes: str | None = None  # what this keeper must not forget; others need none
    longest: Span = Field(LONGEST, ge=SHORTEST, le=LONGEST)  # of a permit

    @model_validator(mode="after")
    def fits(self):
        if len(set(self.names)) < len(self.names):
            raise ValueError("a keeper is named twice")
        if len(self.names) > KEEPERS:
            raise ValueError(f"{KEEPERS} keepers at most, 3 or 5 are usual")
        return self


class WeakWord(Directive):
    places: ClassVar = ("told",)
    example: ClassVar = "weak-word yes"
    once: ClassVar = True
    told: Yes = False
