"""The state of a stand-in host, as its invariants read it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from gaproute.standins.model_server.instance_pool import InstancePool
from gaproute.standins.model_server.processor import Processor
from gaproute.standins.model_server.profiles import HostProfile, ModelProfile


class ServerState(Protocol):
    """What the invariants read of a `ModelServer`."""

    profile: HostProfile
    models: Mapping[str, ModelProfile]
    pool: InstancePool
    processor: Processor
    stopped: bool  # nothing goes on any more
