"""The behaviour of a model host without a protocol: its cores, loaded instances, queues and faults."""

from gaproute.standins.model_server.profiles import HostProfile, HostSetup, ModelProfile
from gaproute.standins.model_server.requests import (
    FoundInstance,
    HostLoad,
    HostRequest,
    IncomingRequest,
    ReceivedLoadOrder,
    RequestEnd,
)
from gaproute.standins.model_server.server import ModelServer

__all__ = [
    "FoundInstance",
    "HostLoad",
    "HostProfile",
    "HostRequest",
    "HostSetup",
    "IncomingRequest",
    "ReceivedLoadOrder",
    "ModelProfile",
    "ModelServer",
    "RequestEnd",
]
