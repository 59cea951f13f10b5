"""A fleet of hollow gateways on a simulated clock: started, killed, partitioned, counted."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from functools import partial
from typing import NamedTuple

from gaproute.config import Configuration, read_configuration
from gaproute.decisions.chance import RandomGenerator
from gaproute.hollow.environment import GatewayEnvironment
from gaproute.hollow.gateway import PARTS, HollowGateway
from gaproute.hollow.parts import PartFactory
from gaproute.hollow.simulation.host_lists import HostLists, MemoryFile
from gaproute.hollow.simulation.loop import GatewayLoop, SimulatedLoop
from gaproute.hollow.simulation.network import (
    SimulatedDatagrams,
    SimulatedNetwork,
    SimulatedRaftTransport,
)
from gaproute.simulation.disk import SimulatedDisk
from gaproute.units import SECOND

WALL_CLOCK_START = 1_790_000_000 * SECOND  # ns since 1970
STEP = SECOND // 4  # between checks whether a condition holds
START_SPAN = SECOND  # within which the gateways of a fleet start
MAX_SEED = 1 << 30
RAFT_MEMBERS = 3
CONFIGURATION = """\
name hollow
listen peers 127.0.0.1:0
hosts-file {hosts} look 400ms
weak-word yes
peers-file {hosts}.peers
keepers {members} longest 30s
model model-000 track inference lanes 4
track inference pure contract 1200ms limit 5s
"""


class GatewayRow(NamedTuple):
    """A configured gateway and its address."""

    name: str
    where: str


class SimulatedFleet:
    """`size` gateways with the parts that `part_factories` make; `hosts` hosts, listed in `files` files.

    `seeds`: each gateway is configured to know so many first ones, all where it is None. `lag(name)`: ns by
    which a gateway's process runs late. `host_list_of(name)`: the number of the host list that it reads.
    """

    network: SimulatedNetwork

    def __init__(
        self,
        size: int,
        *,
        seed: int = 1,
        part_factories: Mapping[str, PartFactory] = PARTS,
        hosts: int = 240,
        files: int = 1,
        seeds: int | None = None,
        lag: Callable[[str], int] | None = None,
        host_list_of: Callable[[str], int] | None = None,
    ) -> None:
        self.loop, self.chance, self.part_factories = SimulatedLoop(), RandomGenerator(seed), part_factories
        self.network = SimulatedNetwork(self.loop)
        self._list_files = [MemoryFile() for _ in range(files)]
        self.host_lists = HostLists(hosts, self._list_files)
        self.rows = [GatewayRow(f"gateway-{number}", self.address(number)) for number in range(size)]
        self.configured_rows = self.rows if seeds is None else self.rows[:seeds]
        self.lag = lag or (lambda name: 0)
        self.host_list_of = host_list_of or (lambda name: 0)
        self.configurations = [self._configuration(file.path) for file in self._list_files]
        self.gateways: dict[str, HollowGateway] = {}  # those that run, by name
        self.ended_totals: Counter[str] = Counter()  # counters of gateways that ended
        self._disks: dict[str, SimulatedDisk] = {}  # of members of the Raft group, by name
        for row in self.rows:
            self.loop.call_at(self.chance.below(START_SPAN), self.start, row)

    @staticmethod
    def address(number: int) -> str:
        """The address of a gateway, as long as real ones are."""
        return f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7400"

    def _configuration(self, path: str) -> Configuration:
        members = ",".join(row.name for row in self.rows[:RAFT_MEMBERS])
        return read_configuration("hollow.conf", CONFIGURATION.format(hosts=path, members=members))

    # Gateways come and go

    def start(self, row: GatewayRow, known: Sequence[GatewayRow] | None = None) -> HollowGateway:
        """Start a gateway, with an empty memory where it ran before; one that runs is left as it is.

        `known`: the gateways that it is configured with, by default those of the fleet.
        """
        running = self.gateways.get(row.name)
        if running is not None:
            return running
        environment = GatewayEnvironment(
            loop=GatewayLoop(self.loop, self.lag(row.name)),
            name=row.name,
            address=row.where,
            configuration=self.configurations[self.host_list_of(row.name)],
            seed=self.chance.below(MAX_SEED),
            open_datagrams=partial(SimulatedDatagrams, self.network, row.name),
            open_raft_transport=partial(SimulatedRaftTransport, self.network),
            open_raft_disk=self._open_disk,
            wall_clock=self.wall_clock,
        )
        gateway = self.gateways[row.name] = HollowGateway(environment, self.part_factories)
        gateway.start(self.configured_rows if known is None else known)
        return gateway

    def _open_disk(self, name: str) -> SimulatedDisk:
        disk = self._disks.setdefault(name, SimulatedDisk())
        disk.open()
        return disk

    def wall_clock(self) -> int:
        """Simulated ns since 1970."""
        return WALL_CLOCK_START + self.loop.time

    def kill(self, name: str) -> None:
        """End the gateway without notifying others; what it counted stays in the totals."""
        gateway = self.gateways.pop(name)
        self.ended_totals.update(self.totals([gateway]))
        gateway.close()

    def start_newcomer(self, seeds: int) -> HollowGateway:
        """Start a gateway that nobody has configured; it knows the first `seeds` gateways."""
        row = GatewayRow(f"gateway-{len(self.rows)}", self.address(len(self.rows)))
        self.rows = [*self.rows, row]
        return self.start(row, self.rows[:seeds])

    # Time

    def run(self, seconds: float) -> None:
        """Play so many simulated seconds."""
        self.loop.run(round(seconds * SECOND))

    def run_until(self, condition: Callable[[], object], timeout: float, step: int = STEP) -> float | None:
        """Play until the condition holds, which is checked each `step` ns.

        Returns simulated seconds, None where it did not hold within `timeout` seconds.
        """
        began = self.loop.time
        while not condition():
            if self.loop.time - began >= timeout * SECOND:
                return None
            self.loop.run(step)
        return (self.loop.time - began) / SECOND

    # Counts

    def totals(self, gateways: Iterable[HollowGateway] | None = None) -> Counter[str]:
        """Sums of counters by "part.counter": over these gateways, or over all, with those that ended."""
        totals = Counter(self.ended_totals) if gateways is None else Counter()
        for gateway in self.gateways.values() if gateways is None else gateways:
            for part, counters in gateway.counters().items():
                for counter, value in counters.items():
                    totals[f"{part}.{counter}"] += value
        return totals

    def close(self) -> None:
        """End all gateways, and free the host lists."""
        for gateway in self.gateways.values():
            gateway.close()
        self.gateways.clear()
        for file in self._list_files:
            file.close()
