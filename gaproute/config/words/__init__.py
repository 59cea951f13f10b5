"""What each line of the configuration may say: one schema a word."""

from gaproute.config.words.fleet import (
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
from gaproute.config.words.kinds import Address, Name
from gaproute.config.words.process import Clients, Decisions, Log, ReachLine
from gaproute.config.words.tasks import (
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

__all__ = ["HOST_WORDS", "PEER_WORDS", "WORDS", "Address", "Name"]

HOST_WORDS = {"host": HostLine}
PEER_WORDS = {"peer": PeerLine}
WORDS = HOST_WORDS | {
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
