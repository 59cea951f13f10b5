"""What must hold of campaigns, by the truth at the hosts and by each gateway's own state."""

from collections.abc import Iterator

from gaproute.rollouts.dispatcher import pool_name
from gaproute.rollouts.invariants import (
    check_dispatcher,
    check_groups,
    check_loads,
    check_reservations,
)
from gaproute.shared.leases.invariants import check_client
from gaproute.simulation.campaigns.fleet import RAFT_NODES
from gaproute.simulation.campaigns.gateway import SimulatedGateway
from gaproute.simulation.campaigns.host import SimulatedHost
from gaproute.simulation.campaigns.messages import Copy, Task
from gaproute.simulation.campaigns.scene import Scene
from gaproute.simulation.invariant_checks import InvariantChecks
from gaproute.simulation.process_slot import ProcessSlot
from gaproute.simulation.raft_group.message_checks import SentMessageChecks
from gaproute.simulation.simulation import Simulation
from gaproute.units import MILLI, SECOND

MAX_STOP_TIME = SECOND // 5  # after production wants a host's lanes no gateway sends rollouts there
EXPENSIVE_CHECK_PERIOD = 12  # steps: a lease lasts seconds


class CampaignChecks:
    """The checks of one run, for `InvariantChecks`."""

    def __init__(self, scene: Scene) -> None:
        self.scene, self.fleet = scene, scene.fleet

    def invariant_checks(self) -> InvariantChecks:
        """All checks, by when they are due."""
        return InvariantChecks(
            after_each_step=[self.check_step],
            before_each_send=[self.check_task, SentMessageChecks(RAFT_NODES)],
            periodic=[self.check_leased_lanes, self.check_floors],
            period=EXPENSIVE_CHECK_PERIOD,
        )

    def check_step(self, simulation: Simulation, slot: ProcessSlot) -> Iterator[str]:
        """Looks at the process that has just acted, and at what was recorded meanwhile."""
        yield from self.scene.rollouts.violations[:1]
        match slot.process:
            case SimulatedHost():
                yield from self._check_host(slot.process)
            case SimulatedGateway():
                yield from self._check_gateway(slot.process, slot.clock.own_time(simulation.now))

    def _check_host(self, host: SimulatedHost) -> Iterator[str]:
        lanes = host.lanes
        if lanes.rollouts > host.lendable:
            yield f"capacity never overspent: {lanes.rollouts} of {host.lendable} lanes at {host.name}"
        if len(lanes.running) > host.spec.lanes:
            yield f"a host runs as many as it has lanes: {host.name}"

    @staticmethod
    def _check_gateway(gateway: SimulatedGateway, now: int) -> Iterator[str]:
        yield from check_dispatcher(gateway.dispatcher, now)
        yield from check_groups(gateway.rollouts.groups)
        yield from check_loads(gateway.copies.limiter)
        yield from check_client(gateway.leases)

    def check_leased_lanes(self, simulation: Simulation) -> Iterator[str]:
        """All gateways' leases of each host's lanes, each by its own clock, at this true moment."""
        leased: dict[str, int] = {}
        for slot in simulation.slot_list:
            if isinstance(slot.process, SimulatedGateway):
                own_time = slot.clock.own_time(simulation.now)
                for request in slot.process.leases.requests:
                    if request.is_valid_at(own_time):
                        leased[request.resource] = leased.get(request.resource, 0) + request.amount
        for name, lanes in self.fleet.lendable.items():
            amount = leased.get(pool_name(name), 0)
            if amount > max(1, lanes):
                yield f"capacity never overspent: leases of {amount} of {lanes} lanes at {name}"

    def check_floors(self, simulation: Simulation) -> list[str]:
        """The lanes that are never lent."""
        hosts = list(self.fleet.hosts.values())
        return check_reservations(hosts, self.fleet.lendable, self.fleet.floors)

    def check_task(
        self, simulation: Simulation, slot: ProcessSlot, to: str, message: object
    ) -> Iterator[str]:
        """Looks at each rollout that a gateway sends to a host."""
        gateway, host = slot.process, simulation.slots[to].process if to in self.fleet.hosts else None
        if not isinstance(message, Task) or message.copy is None or not isinstance(gateway, SimulatedGateway):
            return
        if isinstance(host, SimulatedHost) and host.production_waits_since is not None:
            yield from self._check_stop(simulation, host, message)
        yield from self._check_version(gateway, message.name, message.copy)

    def _check_stop(self, simulation: Simulation, host: SimulatedHost, task: Task) -> Iterator[str]:
        late = simulation.now - (host.production_waits_since or 0)
        self.scene.rollouts.last_sent_late = max(self.scene.rollouts.last_sent_late, late)
        if late > MAX_STOP_TIME:
            since = f"{late / MILLI:.0f} ms after production wanted its lanes"
            yield f"production first: {task.name} to {host.name} {since}"

    @staticmethod
    def _check_version(gateway: SimulatedGateway, task: str, copy: Copy) -> Iterator[str]:
        rollouts = gateway.rollouts
        newest = rollouts.weights.current[copy.campaign]
        if newest - copy.version > rollouts.campaigns[copy.campaign].max_version_lag:
            yield f"too old is not run: {task} of version {copy.version}, now {newest}"
        group = rollouts.groups.open.get(rollouts.sent[task].group)
        if group is not None and group.version != copy.version:
            yield f"no version mixing: {task} of version {copy.version} in a group of {group.version}"
