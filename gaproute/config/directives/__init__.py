"""The directives of the configuration: the class of each, by the first word of its line."""

from gaproute.config.directives.fleet import (
    CellHostsLine,
    CellsLine,
    GossipLine,
    HostLine,
    HostsFileLine,
    ListenLine,
    NameLine,
    ObservationFileLine,
    PeerLine,
    PeersFileLine,
    RaftGroupLine,
)
from gaproute.config.directives.process import ClientLimitsLine, DecisionsLine, HostLimitsLine, LogLine
from gaproute.config.directives.requests import (
    AttemptsLine,
    CapacitiesLine,
    ModelLine,
    OverShareWeightLine,
    ReportsLine,
    RequestClassLine,
    RetryAfterLine,
    SlowStartLine,
    TenantLine,
    WarmInstancesLine,
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
