"""How each kind of failure begins and ends."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Sequence

from benchmarks.fleet.clock import SECOND
from benchmarks.scale.cells.fleet import region_of
from benchmarks.scale.cells.gateways import CellGateway
from benchmarks.scale.cells.hosts import CellHost
from benchmarks.scale.cells.world import CellWorld

LIST_DELAY = 2 * SECOND  # until gateways have the list without a host that is gone
CELL, ZONE, REGION = "cell0", "zone0", "region0"  # those that fail; the cell lies in the others
SLOWDOWN = 8.0


class Failure(ABC):
    """A failure of some cells; of the gateways in `zones` too, where there are any."""

    def __init__(self, world: CellWorld, cells: Sequence[str], zones: Iterable[str] = ()) -> None:
        self.world, self.cells, self.zones = world, cells, set(zones)

    @abstractmethod
    def begin(self) -> None:
        """The failure begins."""

    @abstractmethod
    def end(self) -> None:
        """The failure is over."""

    def hosts(self) -> list[CellHost]:
        """The hosts of the cells that fail."""
        return [self.world.hosts[name] for cell in self.cells for name in self.world.hosts_of[cell]]

    def gateways(self) -> list[CellGateway]:
        """The gateways of the zones that fail."""
        return [gateway for gateway in self.world.gateways.values() if gateway.zone in self.zones]

    def publish_hosts(self) -> None:
        """Give gateways the lists of the hosts that are up."""
        for gateway in self.world.gateways.values():
            for cell in self.cells:
                if cell in gateway.decisions.cells_to_follow():
                    self.world.publish_hosts(gateway, cell)


class Gone(Failure):
    """The hosts end, and in whole zones the gateways too; they come back without instances."""

    def begin(self) -> None:
        """Everything stops."""
        for host in self.hosts():
            host.go_down()
        for gateway in self.gateways():
            gateway.is_up = False
        self.world.clock.after(LIST_DELAY, self.publish_hosts)

    def end(self) -> None:
        """Everything is back; gateways go on with what they knew."""
        for host in self.hosts():
            host.come_back()
        for gateway in self.gateways():
            gateway.is_up, gateway.requests = True, {}
            gateway.decisions.recorder.attempts.clear()
            gateway.restart_housekeeping()
        self.world.clock.after(LIST_DELAY, self.publish_hosts)


class Mute(Failure):
    """The hosts take calls and never answer; the list has them as active."""

    def begin(self) -> None:
        """Answers cease."""
        for host in self.hosts():
            host.is_mute = True

    def end(self) -> None:
        """The processes are replaced."""
        for host in self.hosts():
            host.is_mute = False
            host.go_down()
            host.come_back()


class Slow(Failure):
    """The hosts take eight times as long."""

    def begin(self) -> None:
        """They slow down."""
        for host in self.hosts():
            host.slowdown = SLOWDOWN

    def end(self) -> None:
        """They are well; they still have their instances."""
        for host in self.hosts():
            host.slowdown = 1.0


class Cut(Failure):
    """Nothing passes between the zones and the rest; both sides go on."""

    def begin(self) -> None:
        """The network is cut."""
        self.world.network.cut_off(self.zones)

    def end(self) -> None:
        """Everything passes again."""
        self.world.network.heal()


def make_failure(kind: str, world: CellWorld) -> Failure:
    """A failure by its name."""
    return _FAILURES[kind](world)


def _zones_of_region(world: CellWorld) -> list[str]:
    zones = range(world.shape.zones)
    return [f"zone{zone}" for zone in zones if region_of(zone, world.shape) == REGION]


def _cells_of(world: CellWorld, zones: Iterable[str]) -> list[str]:
    names = list(zones)
    return [cell.name for cell in world.table.cells if cell.zone in names]


_FAILURES: dict[str, Callable[[CellWorld], Failure]] = {
    "cell gone": lambda world: Gone(world, [CELL]),
    "cell silent": lambda world: Mute(world, [CELL]),
    "cell slow": lambda world: Slow(world, [CELL]),
    "zone gone": lambda world: Gone(world, _cells_of(world, [ZONE]), [ZONE]),
    "zone silent": lambda world: Cut(world, _cells_of(world, [ZONE]), [ZONE]),
    "region gone": lambda world: Gone(
        world, _cells_of(world, _zones_of_region(world)), _zones_of_region(world)
    ),
    "region alone": lambda world: Cut(
        world, _cells_of(world, _zones_of_region(world)), _zones_of_region(world)
    ),
}
KINDS = tuple(_FAILURES)
