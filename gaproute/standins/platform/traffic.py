"""How the platform's stand-in clients behave beyond what all clients have in common."""

from __future__ import annotations

import msgspec

from gaproute.standins.traffic import TrafficProfile


class PlatformTraffic(TrafficProfile, frozen=True, kw_only=True):
    """The object `habits` of the first line of `platform-clients`; rates are over all gateways."""

    # Pending on one connection before another is opened.
    requests_per_connection: int = msgspec.field(default=4, name="shared")
    max_connections: int = msgspec.field(default=16, name="links")  # to one gateway
    weights: tuple[float, ...] = ()  # share of the traffic by gateway; all alike where there are none
    instance_memory: int = msgspec.field(default=512, name="memory")  # MB, as requests say
