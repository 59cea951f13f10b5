"""A simulated fleet with what the fault scenarios look at: who counts as dead, bytes, leases, invariants."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, ClassVar

from gaproute.hollow import PARTS, HollowGateway
from gaproute.hollow.parts import PartFactory
from gaproute.hollow.simulation import SimulatedFleet
from gaproute.hollow.simulation.host_lists import GONE
from gaproute.shared.membership import Membership, MemberState
from gaproute.shared.membership.invariants import check_membership

SECOND = 1_000_000_000
# For long plays: gossip of demand is nine tenths of all events.
CHEAP_PARTS = {name: PARTS[name] for name in ("membership", "hosts", "leases")}
HOSTS = 240
SETTLE, CALM = 20, 10  # simulated seconds before what is measured, and of a calm measurement
FIRST_SECONDS = 10  # of a healing, whose bytes are counted
LONGEST = 400  # simulated seconds until which a healing is waited for

Figures = dict[str, Any]
Condition = Callable[[], object]
Scenario = Callable[[int, int], Figures]  # of a size and a seed


class WatchedFleet:
    """`options`: as of `SimulatedFleet`. `COUNTED`: counters of which each scenario has the sums."""

    COUNTED: ClassVar[tuple[str, ...]] = (
        "membership.suspicions",
        "membership.refused",
        "demand.refused",
        "leases.ended",
    )
    fleet: SimulatedFleet

    def __init__(
        self, size: int, seed: int, part_factories: Mapping[str, PartFactory] = PARTS, **options: Any
    ) -> None:
        self.size = size
        self.fleet = SimulatedFleet(size, seed=seed, part_factories=part_factories, hosts=HOSTS, **options)

    def gateways(self) -> dict[str, HollowGateway]:
        """Those whose costs and members are looked at, by name."""
        return self.fleet.gateways

    @property
    def now(self) -> float:
        """Simulated seconds."""
        return self.fleet.loop.time / SECOND

    def seconds_since(self, began: float, reached: float | None) -> float | None:
        """Seconds since `began`, None where what was waited for was not reached."""
        return None if reached is None else round(self.now - began, 2)

    def memberships(self) -> dict[str, Membership]:
        """The membership of each gateway by its name."""
        return {name: gateway.parts["membership"].membership for name, gateway in self.gateways().items()}

    def measure_healing(self, figures: Figures, **conditions: Condition) -> None:
        """Play until all conditions are met. The seconds until each, and the first bytes, become figures."""
        before, waiting, began = self.bytes_sent(), dict(conditions), self.now
        while waiting or self.now - began < FIRST_SECONDS:
            if self.now - began >= LONGEST:
                figures.update(dict.fromkeys(waiting))
                return
            self.fleet.run(1)
            spent = round(self.now - began)
            if spent == FIRST_SECONDS:
                sent = sum(self.bytes_sent().values()) - sum(before.values())
                figures["healing_bytes_per_s"] = round(sent / FIRST_SECONDS / len(self.gateways()), 1)
                figures["healing_busiest_bytes_per_s"] = self.busiest(before, FIRST_SECONDS)
            for name in [name for name, condition in waiting.items() if condition()]:
                del waiting[name]
                figures[name] = spent

    # Bytes and state

    def bytes_sent(self) -> dict[str, int]:
        """Bytes sent by all parts of each gateway that runs; under "" those of gateways that have ended."""
        ended = self.fleet.ended_totals
        sent = {"": sum(value for name, value in ended.items() if name.endswith(".bytes"))}
        for name, gateway in self.gateways().items():
            sent[name] = sum(counters.get("bytes", 0) for counters in gateway.counters().values())
        return sent

    def bytes_per_second(self, span: float) -> float:
        """Play the span; bytes that a gateway sent in a second of it."""
        before = sum(self.bytes_sent().values())
        self.fleet.run(span)
        return round((sum(self.bytes_sent().values()) - before) / span / len(self.gateways()), 1)

    def busiest(self, before: Mapping[str, int], span: float) -> float:
        """Bytes a second of the gateway that sent most since `before`."""
        after = self.bytes_sent()
        return round(max(after[name] - before.get(name, 0) for name in after if name) / span, 1)

    def entries(self) -> float:
        """Entries of state of a gateway."""
        totals = self.fleet.totals(self.gateways().values())
        entries = sum(value for name, value in totals.items() if name.endswith(".entries"))
        return round(entries / len(self.gateways()), 1)

    def leases_held(self) -> float:
        """The share of the gateways that run whose lease is held."""
        leases: list[bool] = [each.parts["leases"].is_held for each in self.fleet.gateways.values()]
        return round(sum(leases) / len(leases), 4)

    def all_leases_held(self) -> bool:
        """Whether the lease of each gateway that runs is held."""
        return self.leases_held() == 1

    # Who counts as alive and as dead

    def all_consider_dead(self, names: Iterable[str]) -> bool:
        """Whether all that run consider all of these dead."""
        dead = list(names)
        return all(
            membership.members[name].state >= MemberState.DEAD
            for membership in self.memberships().values()
            for name in dead
        )

    def all_consider_all_alive(self) -> bool:
        """Whether all that run consider one another alive."""
        memberships = self.memberships()
        return all(
            name == other or (other in known.members and known.members[other].state == MemberState.ALIVE)
            for name, known in memberships.items()
            for other in memberships
        )

    def wrongly_dead(self) -> int:
        """Pairs of running gateways of which one considers the other dead."""
        memberships = self.memberships()
        return sum(
            other in known.members and known.members[other].state >= MemberState.DEAD
            for known in memberships.values()
            for other in memberships
        )

    # Hosts

    def set_host_states(self, hosts: Iterable[str], state: str, files: Iterable[int] | None = None) -> None:
        """Change the list, in the files with these numbers or in all."""
        for host in hosts:
            self.fleet.host_lists.states[host] = state
        self.fleet.host_lists.publish(files)

    def all_have_hosts(self) -> bool:
        """Whether all gateways have the whole list."""
        listed = sum(state != GONE for state in self.fleet.host_lists.states.values())
        return all(len(gateway.parts["hosts"].rows) == listed for gateway in self.fleet.gateways.values())

    def finish(self, figures: Figures) -> Figures:
        """End the fleet; the figures, with what any scenario counts."""
        totals = self.fleet.totals()
        for name in self.COUNTED:
            figures.setdefault(name.replace(".", "_"), totals[name])
        figures["breaches"] = [
            violation
            for membership in self.memberships().values()
            for violation in check_membership(membership, thorough=True)
        ]
        figures["simulated_s"] = round(self.now, 1)
        self.fleet.close()
        return figures
