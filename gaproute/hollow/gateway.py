"""One hollow gateway: control parts of the product wired as the appliance wires them."""

from gaproute.hollow.demand_gossip import DemandGossipPart
from gaproute.hollow.host_list import HostListPart
from gaproute.hollow.leases import LeasePart
from gaproute.hollow.membership import MembershipPart

PARTS = {"membership": MembershipPart, "hosts": HostListPart, "demand": DemandGossipPart, "leases": LeasePart}


class HollowGateway:
    """`makers`: {name: what makes the part of (environment, parts made so far)}, in their order.

    A further part is one more entry beside those of `PARTS`.
    """

    def __init__(self, environment, makers=PARTS):
        self.environment, self.name = environment, environment.name
        self.loop, self.parts, self.timer = environment.loop, {}, None
        for name, make in makers.items():
            self.parts[name] = make(environment, self.parts)
        for part in self.parts.values():
            if part.kind is not None:
                self.parts["membership"].gossip.register(part.kind, part.receive)

    def start(self, gateways=()):
        """Starts all parts; `gateways`: the configured ones, this one among them or not."""
        for part in self.parts.values():
            part.start()
        self.listed(gateways)
        self._again()

    def listed(self, gateways):
        """The list of configured gateways changed."""
        others = [gateway for gateway in gateways if gateway.name != self.name]
        for part in self.parts.values():
            part.listed(others)

    def _again(self):
        dues = [part.due for part in self.parts.values() if part.due is not None]
        self.timer = self.loop.at(min(dues), self._tick) if dues else None

    def _tick(self):
        now = self.loop.now()
        for part in self.parts.values():
            if part.due is not None and part.due <= now:
                part.tick(now)
        self._again()

    def counters(self):
        """{part: {counter: value}}"""
        return {name: part.counters() for name, part in self.parts.items()}

    def close(self):
        """Ends without a word to others, as a process that is killed."""
        if self.timer is not None:
            self.timer.cancel()
        for part in reversed(self.parts.values()):
            part.close()
