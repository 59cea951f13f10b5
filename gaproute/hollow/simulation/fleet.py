"""A fleet of hollow gateways on a simulated clock: started, killed, parted, counted."""

from collections import Counter
from functools import partial
from typing import NamedTuple

from gaproute.config import read_configuration
from gaproute.decisions.chance import Chance
from gaproute.hollow.gateway import PARTS, HollowGateway
from gaproute.hollow.parts import Surroundings
from gaproute.hollow.simulation.lists import HostLists, MemoryFile
from gaproute.hollow.simulation.loop import GatewayLoop, SimulatedLoop
from gaproute.hollow.simulation.network import Network, SimulatedCarrier, SimulatedDatagrams
from gaproute.simulation.disk import SimulatedDisk

MILLI, SECOND = 1_000_000, 1_000_000_000
BORN = 1_790_000_000 * SECOND  # of the simulated clock, in ns since 1970
STEP = SECOND // 4  # between looks whether something holds
STARTS = SECOND  # within which a fleet's gateways start
KEEPERS = 3
CONFIGURATION = """\
name hollow
listen peers 127.0.0.1:0
hosts-file {hosts} look 400ms
weak-word yes
peers-file {hosts}.peers
keepers {keepers} longest 30s
model model-000 track inference lanes 4
track inference pure contract 1200ms limit 5s
"""


class GatewayRow(NamedTuple):
    """A configured gateway."""

    name: str
    where: str


class Fleet:
    """`size` gateways with the parts of `makers`. `seeds`: each is configured to know so many first ones, all
    where it is None.

    `lag(name)`: ns by which a gateway's process runs late; `list_of(name)`: the number of the host list that
    it reads.
    """

    def __init__(self, size, seed=1, makers=PARTS, hosts=240, files=1, seeds=None, lag=None, list_of=None):
        self.loop, self.chance, self.makers = SimulatedLoop(), Chance(seed), makers
        self.network = Network(self.loop)
        self.lists = HostLists(hosts, [MemoryFile() for _ in range(files)])
        self.rows = [GatewayRow(f"gateway-{number}", self.address(number)) for number in range(size)]
        self.known = self.rows if seeds is None else self.rows[:seeds]
        self.lag, self.list_of = lag or (lambda name: 0), list_of or (lambda name: 0)
        self.configurations = [self._configuration(file.path) for file in self.lists.files]
        self.disks, self.gateways = {}, {}
        self.gone = Counter()  # counters of gateways that ended
        for row in self.rows:
            self.loop.at(self.chance.below(STARTS), self.start, row)

    @staticmethod
    def address(number):
        """An address as long as real ones are."""
        return f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7400"

    def _configuration(self, path):
        keepers = ",".join(row.name for row in self.rows[:KEEPERS])
        return read_configuration("hollow.conf", CONFIGURATION.format(hosts=path, keepers=keepers))

    # Gateways come and go

    def start(self, row, known=None):
        """Starts a gateway, with an empty memory where it has been there before."""
        if row.name in self.gateways:
            return self.gateways[row.name]
        surroundings = Surroundings(
            loop=GatewayLoop(self.loop, self.lag(row.name)),
            name=row.name,
            address=row.where,
            configuration=self.configurations[self.list_of(row.name)],
            seed=self.chance.below(1 << 30),
            open_datagrams=partial(SimulatedDatagrams, self.network, row.name),
            open_carrier=partial(SimulatedCarrier, self.network),
            open_votes=self._disk,
            wall=self.wall,
        )
        gateway = self.gateways[row.name] = HollowGateway(surroundings, self.makers)
        gateway.start(self.known if known is None else known)
        return gateway

    def _disk(self, name):
        disk = self.disks.setdefault(name, SimulatedDisk())
        disk.open()
        return disk

    def wall(self):
        """Simulated ns since 1970."""
        return BORN + self.loop.time

    def kill(self, name):
        """Ends the gateway without a word; what it counted stays in the totals."""
        gateway = self.gateways.pop(name)
        self.gone.update(self.totals([gateway], gone=False))
        gateway.close()

    def newcomer(self, seeds):
        """A gateway that nobody has configured starts, with the first `seeds` configured."""
        row = GatewayRow(f"gateway-{len(self.rows)}", self.address(len(self.rows)))
        self.rows = [*self.rows, row]
        return self.start(row, self.rows[:seeds])

    # Time

    def run(self, seconds):
        """Plays so many simulated seconds."""
        self.loop.run(round(seconds * SECOND))

    def until(self, holds, longest, step=STEP):
        """Simulated seconds until `holds()`, at the precision of `step` ns; None: not within `longest`."""
        began = self.loop.time
        while not holds():
            if self.loop.time - began >= longest * SECOND:
                return None
            self.loop.run(step)
        return (self.loop.time - began) / SECOND

    # Counts

    def totals(self, gateways=None, gone=True):
        """{"part.counter": sum over the gateways}, of those that ended as well."""
        found = Counter(self.gone) if gone and gateways is None else Counter()
        for gateway in self.gateways.values() if gateways is None else gateways:
            for part, counters in gateway.counters().items():
                for counter, value in counters.items():
                    found[f"{part}.{counter}"] += value
        return found

    def close(self):
        """Ends all, and frees the lists."""
        for gateway in self.gateways.values():
            gateway.close()
        self.gateways.clear()
        self.lists.close()
