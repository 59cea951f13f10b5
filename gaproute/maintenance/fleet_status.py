"""What a running round looks at, at one moment."""

import msgspec


class FleetStatus(msgspec.Struct, frozen=True):
    """`fleet`: {name: MaintenanceHost} as listed, `shown`: {name: HostReport} as each showed itself last,
    `sights`: {function: {host: (age, tellers)}} as `GossipNode.warm_instances` reads, `demand`:
    {function: lanes in use at its peak told}."""

    fleet: dict
    shown: dict
    sights: dict
    demand: dict
    told: int  # ns since somebody told of demand last

    @property
    def zones(self):
        return sorted({host.zone for host in self.fleet.values()})
