"""The directives of the configuration: one schema for each word that a line may begin with."""

from gaproute.config.directives.fleet import (
    CellHostsLine,
    CellsLine,
    GossipLine,
    HostLine,
    HostsFileLine,
    RaftGroupLine,
    ListenLine,
    ObservationFileLine,
    NameLine,
    PeerLine,
    PeersFileLine,
)
from gaproute.config.directives.process import ClientLimitsLine, DecisionsLine, LogLine, HostLimitsLine
from gaproute.config.directives.requests import (
    RetryAfterLine,
    SlowStartLine,
    WarmInstancesLine,
    ModelLine,
    OverShareWeightLine,
    AttemptsLine,
    ReportsLine,
    CapacitiesLine,
    TenantLine,
    RequestClassLine,
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
    "track": RequestClassLine,
    "model": ModelLine,
    "tenant": TenantLine,
    "peer": PeerLine,
    "peers-file": PeersFileLine,
    "memory": ObservationFileLine,
    "keepers": RaftGroupLine,
    "copies": WarmInstancesLine,
    "relays": AttemptsLine,
    "reports": ReportsLine,
    "cold": SlowStartLine,
    "sizes": CapacitiesLine,
    "advice": RetryAfterLine,
    "over-share": OverShareWeightLine,
    "clients": ClientLimitsLine,
    "reach": HostLimitsLine,
    "weak-word": GossipLine,
    "log": LogLine,
    "decisions": DecisionsLine,
}
