"""What each line of the configuration may say: one schema a word."""

from gaproute.config.directives.fleet import (
    CellHosts,
    CellsLine,
    HostLine,
    HostsFile,
    KeepersLine,
    Listen,
    MemoryLine,
    PeerLine,
    PeersFile,
    WeakWord,
    Word,
)
from gaproute.config.directives.process import Clients, Decisions, Log, ReachLine
from gaproute.config.directives.requests import (
    Advice,
    Cold,
    Copies,
    ModelLine,
    OverShare,
    Relays,
    Reports,
    Sizes,
    TenantLine,
    TrackLine,
)
from gaproute.config.directives.values import Address, Name

__all__ = ["HOST_DIRECTIVES", "PEER_DIRECTIVES", "DIRECTIVES", "Address", "Name"]

HOST_DIRECTIVES = {"host": HostLine}
PEER_DIRECTIVES = {"peer": PeerLine}
DIRECTIVES = HOST_DIRECTIVES | {
    "name": Word,
    "listen": Listen,
    "hosts-file": HostsFile,
    "cells": CellsLine,
    "cell-hosts": CellHosts,
    "track": TrackLine,
    "model": ModelLine,
    "tenant": TenantLine,
    "peer": PeerLine,
    "peers-file": PeersFile,
    "memory": MemoryLine,
    "keepers": KeepersLine,
    "copies": Copies,
    "relays": Relays,
    "reports": Reports,
    "cold": Cold,
    "sizes": Sizes,
    "advice": Advice,
    "over-share": OverShare,
    "clients": Clients,
    "reach": ReachLine,
    "weak-word": WeakWord,
    "log": Log,
    "decisions": Decisions,
}
