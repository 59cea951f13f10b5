"""The platform's gateways as its clients see them, and which one gets a request."""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence

from gaproute.errors import GaprouteError
from gaproute.loop import Loop
from gaproute.standins.platform.pooled_gateway import PooledGateway
from gaproute.standins.platform.traffic import PlatformTraffic
from gaproute.standins.tap import EventRecorder
from gaproute.units import SECOND

IDLE_TIME = 4 * SECOND  # after which clients close a connection
SWEEP_INTERVAL = SECOND


class GatewayWeightsError(GaprouteError):
    """Weights were given for another number of gateways than there are."""


class GatewayPool:
    """All gateways, by number."""

    def __init__(
        self,
        loop: Loop,
        addresses: Sequence[str],
        traffic: PlatformTraffic,
        chance: random.Random,
        tap: EventRecorder,
    ) -> None:
        self.loop, self.chance, self.tap = loop, chance, tap
        self.requests_per_connection = traffic.requests_per_connection
        self.max_connections = traffic.max_connections
        self.gateways = [PooledGateway(self, number, where) for number, where in enumerate(addresses)]
        self.weights: list[float] = []
        self.set_weights(traffic.weights)
        self._sweep()

    def set_weights(self, weights: Sequence[float]) -> None:
        """How much of the traffic each gateway gets; all alike where there are none. Errors:
        GatewayWeightsError."""
        chosen = list(weights or [1.0] * len(self.gateways))
        if len(chosen) != len(self.gateways):
            raise GatewayWeightsError(
                f"sharing the traffic: {len(chosen)} weights for {len(self.gateways)} gateways"
            )
        self.weights = chosen

    def pick(self, excluded: Collection[int]) -> PooledGateway | None:
        """A gateway that is in, by weight, and is none of those numbers; None where there is none."""
        able = [gateway for gateway in self.gateways if gateway.is_in and gateway.number not in excluded]
        if not able:
            return None
        weights = [self.weights[gateway.number] for gateway in able]
        if not any(weights):
            return self.chance.choice(able)
        return self.chance.choices(able, weights)[0]

    def note_unmatched(self, number: int, text: str) -> None:
        """Something came from that gateway that nobody asked for."""
        self.tap.note("stray", gateway=number, text=text)

    def all_in(self) -> bool:
        """Whether all gateways are in."""
        return all(gateway.is_in for gateway in self.gateways)

    def _sweep(self) -> None:
        unused_since = self.loop.now() - IDLE_TIME
        for gateway in self.gateways:
            gateway.close_idle(unused_since)
        self.loop.call_later(SWEEP_INTERVAL, self._sweep)
