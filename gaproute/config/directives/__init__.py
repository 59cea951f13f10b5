"""The directives of the configuration: one schema for each word that a line may begin with."""

from gaproute.config.directives.fleet import (
    CellHostsLine,
    CellsLine,
    GossipLine,
    HostLine,
    HostsFileLine,
    KeepersLine,
    ListenLine,
    MemoryLine,
    NameLine,
    PeerLine,
    PeersFileLine,
)
from gaproute.config.directives.process import ClientsLine, DecisionsLine, LogLine, ReachLine
from gaproute.config.directives.requests import (
    AdviceLine,
    ColdLine,
    CopiesLine,
    ModelLine,
    OverShareLine,
    RelaysLine,
    ReportsLine,
    SizesLine,
    TenantLine,
    TrackLine,
)
from gaproute.config.parsing import Directive

__all__ = ["DIRECTIVES", "HOST_DIRECTIVES", "PEER_DIRECTIVES"]

HOST_DIRECTIVES: dict[str, type[Directive]] = {"host": HostLine}
PEER_DIRECTIVES: dict[str, type[Directive]] = {"peer": PeerLine}
DIRECTIVES: dict[str, type[Directive]] = HOST_DIRECTIVES | {
    "name": NameLine,
    "listen": ListenLine,
    "hosts-file": HostsFileLine,
    "cells": CellsLine,
    "cell-hosts": CellHostsLine,
    "track": TrackLine,
    "model": ModelLine,
    "tenant": TenantLine,
    "peer": PeerLine,
    "peers-file": PeersFileLine,
    "memory": MemoryLine,
    "keepers": KeepersLine,
    "copies": CopiesLine,
    "relays": RelaysLine,
    "reports": ReportsLine,
    "cold": ColdLine,
    "sizes": SizesLine,
    "advice": AdviceLine,
    "over-share": OverShareLine,
    "clients": ClientsLine,
    "reach": ReachLine,
    "weak-word": GossipLine,
    "log": LogLine,
    "decisions": DecisionsLine,
}
