"""One hollow gateway: control parts of the product, wired as in the appliance."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from gaproute.hollow.demand_gossip import DemandGossipPart
from gaproute.hollow.environment import GatewayEnvironment
from gaproute.hollow.host_list import HostListPart
from gaproute.hollow.leases import LeasePart
from gaproute.hollow.membership import MembershipPart
from gaproute.hollow.parts import ConfiguredGateway, PartFactory, Parts
from gaproute.loop.timers import Timer

PARTS: Mapping[str, PartFactory] = {
    "membership": MembershipPart,
    "hosts": HostListPart,
    "demand": DemandGossipPart,
    "leases": LeasePart,
}


class HollowGateway:
    """A gateway of the parts that `part_factories` make, by name and in that order.

    A further part is one more entry beside those of `PARTS`.
    """

    def __init__(
        self, environment: GatewayEnvironment, part_factories: Mapping[str, PartFactory] = PARTS
    ) -> None:
        self.environment, self.name, self.loop = environment, environment.name, environment.loop
        self.parts: Parts = {}
        self._timer: Timer | None = None
        for name, make_part in part_factories.items():
            self.parts[name] = make_part(environment, self.parts)
        for part in self.parts.values():
            if part.payload_kind is not None:
                self.parts["membership"].transport.register(part.payload_kind, part.receive)

    def start(self, gateways: Sequence[ConfiguredGateway] = ()) -> None:
        """Start all parts. `gateways`: the configured ones, this one among them or not."""
        for part in self.parts.values():
            part.start()
        self.set_gateways(gateways)
        self._schedule()

    def set_gateways(self, gateways: Sequence[ConfiguredGateway]) -> None:
        """The list of configured gateways has changed to this one."""
        others = [gateway for gateway in gateways if gateway.name != self.name]
        for part in self.parts.values():
            part.set_gateways(others)

    def counters(self) -> dict[str, dict[str, int]]:
        """The counters of each part, by their names."""
        return {name: part.counters() for name, part in self.parts.items()}

    def close(self) -> None:
        """End without notifying others, as a process that is killed."""
        if self._timer is not None:
            self._timer.cancel()
        for part in reversed(self.parts.values()):
            part.close()

    def _schedule(self) -> None:
        times = [part.next_tick for part in self.parts.values() if part.next_tick is not None]
        self._timer = self.loop.call_at(min(times), self._tick) if times else None

    def _tick(self) -> None:
        now = self.loop.now()
        for part in self.parts.values():
            if part.next_tick is not None and part.next_tick <= now:
                part.tick(now)
        self._schedule()
