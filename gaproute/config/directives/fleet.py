"""Directives of this gateway, its hosts and the other gateways."""

from typing import Annotated, ClassVar, Literal, Self

from pydantic import BeforeValidator, Field, model_validator

from gaproute.config.parsing import Directive
from gaproute.config.values import Address, Duration, Name, StartTime, YesNo, split_commas
from gaproute.decisions.cells.bounds import MAX_NAME_LENGTH
from gaproute.shared.leases.commands import MAX_LEASE_DURATION, MIN_LEASE_DURATION
from gaproute.shared.raft.messages import MAX_MEMBERS

SOURCES_KEYWORD = "from"  # the keyword before the sources of host lists, which replace a folder
MAX_HOST_LIST_SOURCES = 16


class NameLine(Directive):
    """The name of this gateway."""

    positional: ClassVar = ("name",)
    example: ClassVar = "name gate-1"
    once: ClassVar = True
    name: Name = "gateway"


class ListenLine(Directive):
    """A listen address; `kind` says whether clients, operators or peers connect to it."""

    positional: ClassVar = ("kind", "where")
    example: ClassVar = "listen kserve 127.0.0.1:8080"
    kind: Literal["kserve", "operator", "peers"]
    where: Address


class HostsFileLine(Directive):
    """The file of the host list, checked for changes every `look` ns."""

    positional: ClassVar = ("path",)
    example: ClassVar = "hosts-file hosts.list look 50ms"
    once: ClassVar = True
    path: str
    look: Duration = Field(50_000_000, ge=1_000_000, le=400_000_000)


class HostLine(Directive):
    """One host; `started` is the time of its start in ns since 1970."""

    positional: ClassVar = ("name", "where")
    example: ClassVar = "host mh01 127.0.0.1:9001 zone hall-a rack r1 capacity 4 state active"
    name: Name
    where: Address
    zone: str = ""
    rack: str = ""
    capacity: float = Field(1.0, gt=0, le=1e6)
    state: Literal["active", "draining", "gone"] = "active"
    started: StartTime | None = None


class CellsLine(Directive):
    """A fleet in cells: its cell table, checked for changes every `look` ns, and this gateway's location."""

    positional: ClassVar = ("fleet",)
    example: ClassVar = "cells north file cells.table look 50ms region west zone west-a gateways 12"
    once: ClassVar = True
    fleet: str = Field(min_length=1, max_length=MAX_NAME_LENGTH)
    file: str
    look: Duration = Field(50_000_000, ge=1_000_000, le=400_000_000)
    region: str = Field(min_length=1, max_length=MAX_NAME_LENGTH)
    zone: str = Field(min_length=1, max_length=MAX_NAME_LENGTH)
    gateways: int = Field(1, ge=1, le=100_000)  # approximate number in the whole fleet
    # The path of the file that stores the last valid table.
    stored_table: str | None = Field(None, alias="kept")


class CellHostsLine(Directive):
    """The origin of the cells' host lists: a folder, or sources that the gateway requests them from."""

    positional: ClassVar = ("folder",)
    example: ClassVar = "cell-hosts /etc/gaproute/cells look 50ms, or: cell-hosts from 10.0.0.1:7000"
    once: ClassVar = True
    folder: str | None = None
    sources: Annotated[tuple[Address, ...], BeforeValidator(split_commas)] = Field((), alias="from")
    look: Duration = Field(50_000_000, ge=1_000_000, le=400_000_000)

    @classmethod
    def positional_fields_of(cls, arguments: list[str]) -> tuple[str, ...]:
        """No field if the line names sources instead of a folder."""
        return () if arguments[:1] == [SOURCES_KEYWORD] else cls.positional

    @model_validator(mode="after")
    def check_sources(self) -> Self:
        """Errors: ValueError for a folder with sources, or for duplicate, too many or unusable sources."""
        if self.folder is not None and self.sources:
            raise ValueError("a folder and sources exclude each other, keep one of the two")
        if len(set(self.sources)) < len(self.sources):
            raise ValueError("a source is named twice")
        if len(self.sources) > MAX_HOST_LIST_SOURCES:
            raise ValueError(f"at most {MAX_HOST_LIST_SOURCES} sources are allowed")
        if any(where.endswith(":0") for where in self.sources):
            raise ValueError("a source needs a port other than 0")
        return self


class PeerLine(Directive):
    """Another gateway."""

    positional: ClassVar = ("name", "where")
    example: ClassVar = "peer gate-2 127.0.0.1:8090"
    name: Name
    where: Address


class PeersFileLine(Directive):
    """The file of the peer list, checked for changes every `look` ns."""

    positional: ClassVar = ("path",)
    example: ClassVar = "peers-file peers.list look 1s"
    once: ClassVar = True
    path: str
    look: Duration = Field(1_000_000_000, ge=1_000_000, le=60_000_000_000)


class ObservationFileLine(Directive):
    """The file of the observation store, whose observations survive a restart."""

    positional: ClassVar = ("path",)
    example: ClassVar = "memory /var/lib/gaproute/gate-1.memory"
    once: ClassVar = True
    path: str


class RaftGroupLine(Directive):
    """The members of the Raft group, and the duration of the longest lease that it grants, in ns."""

    positional: ClassVar = ("names",)
    example: ClassVar = "keepers gate-1,gate-2,gate-3 votes /var/lib/gaproute/gate-1.votes longest 600s"
    once: ClassVar = True
    names: Annotated[tuple[Name, ...], BeforeValidator(split_commas)]
    votes: str | None = None  # path of this member's Raft log file; gateways that are not members have none
    longest: Duration = Field(MAX_LEASE_DURATION, ge=MIN_LEASE_DURATION, le=MAX_LEASE_DURATION)  # of a lease

    @model_validator(mode="after")
    def check_members(self) -> Self:
        """Errors: ValueError for a duplicate member or too many members."""
        if len(set(self.names)) < len(self.names):
            raise ValueError("a Raft member is named twice")
        if len(self.names) > MAX_MEMBERS:
            raise ValueError(f"at most {MAX_MEMBERS} Raft members are allowed, 3 or 5 are usual")
        return self


class GossipLine(Directive):
    """Whether gateways exchange observations by gossip."""

    positional: ClassVar = ("enabled",)
    example: ClassVar = "weak-word yes"
    once: ClassVar = True
    enabled: YesNo = False
