"""A rung of gateways that all know one another and every host.

Memory: the process's resident memory less what it had before the fleet was made, divided by the gateways.
It includes each gateway's decisions, tables, sockets' stand-ins and what is under way on the network, and not
what a process has once (interpreter, modules); names and addresses of the configuration are shared by all
gateways. CPU: of the process in the calm span, the simulation's own cost in it, garbage collections not. The
calm span begins when each gateway has had the time to send each other one its demand.
"""

from __future__ import annotations

import time
from collections.abc import Iterable, Iterator

from benchmarks.scale.base_rung import CALM, BaseRung, Growth
from benchmarks.scale.limits import Limits
from gaproute.hollow import PARTS
from gaproute.hollow.simulation import SimulatedFleet
from gaproute.interface import ListedHostState
from gaproute.shared.membership import Membership, MemberState

SETTLE = 16  # simulated seconds before the counting, and
SETTLE_EACH = 1 / 20  # so much more for each gateway: until each has sent each its demand
SEEDS = 5  # that a newcomer knows
NEARLY_ALL = 0.99  # of the gateways
DRAINED_HOST = "host-00007"
COUNTED = ("membership.refused", "leases.held", "leases.refused", "demand.tellers")


class PlainRung(BaseRung):
    """`parts`: names of those in `PARTS`; `hosts`: of the fleet."""

    def __init__(
        self,
        size: int,
        seed: int,
        limits: Limits,
        *,
        parts: tuple[str, ...] = tuple(PARTS),
        hosts: int = 240,
    ) -> None:
        super().__init__(size, limits)
        self.seed, self.parts, self.hosts = seed, parts, hosts

    def make_fleet(self) -> SimulatedFleet:
        """The fleet."""
        part_factories = {name: PARTS[name] for name in self.parts}
        return SimulatedFleet(self.size, seed=self.seed, part_factories=part_factories, hosts=self.hosts)

    def measure(self) -> None:
        """Take all figures. Errors: `LimitReachedError`."""
        self.run(SETTLE + (SETTLE_EACH * self.size if "demand" in self.parts else 0))
        self.measure_calm()
        if "hosts" in self.parts:
            self.measure_change()
        if "membership" in self.parts:
            self.measure_restart()
            self.measure_death()
            self.measure_newcomer()
        self.measure_end()

    def measure_calm(self) -> None:
        """Nothing happens: state, messages, bytes, CPU, memory. The span is one renewal of each lease."""
        before = self.counters()
        cpu = time.process_time()
        self.run(CALM)
        cpu = time.process_time() - cpu
        growth, totals = Growth(before, self.counters(), before, CALM), self.fleet.totals()
        figures = self.figures
        for part in self.parts:
            figures[f"{part}_entries"] = totals[f"{part}.entries"] / self.size
            figures |= growth.rates((part,))
        figures["bytes_per_s"], figures["busiest_bytes_per_s"] = growth.bytes_sent()
        figures["cpu_percent"] = 100 * cpu / CALM / self.size
        figures["memory_mb"] = self.resident_megabytes()
        for name in COUNTED:
            if name in totals:
                figures[name.replace(".", "_")] = totals[name] / self.size

    def measure_end(self) -> None:
        """State when all is over: sets of warm instances gather for longer than the calm span."""
        self.figures["memory_end_mb"] = self.resident_megabytes()
        if "demand" in self.parts:
            self.figures["demand_entries_end"] = self.fleet.totals()["demand.entries"] / self.size

    def measure_change(self) -> None:
        """One host begins to drain: seconds until all decisions know."""
        self.fleet.host_lists.states[DRAINED_HOST] = "draining"
        self.fleet.host_lists.publish()
        gateways = self.fleet.gateways.values()
        self.figures["change_known_s"] = self.run_until(
            lambda: all(
                gateway.parts["hosts"].rows[DRAINED_HOST].state is ListedHostState.DRAINING
                for gateway in gateways
            )
        )

    def memberships(self, *, but: str) -> list[Membership]:
        """The memberships of all gateways but one."""
        return [
            gateway.parts["membership"].membership
            for name, gateway in self.fleet.gateways.items()
            if name != but
        ]

    def measure_restart(self) -> None:
        """A gateway ends and starts at once, empty: seconds until all know its new incarnation."""
        row = self.fleet.rows[self.size // 3]
        self.fleet.kill(row.name)
        started = self.fleet.start(row)
        incarnation = started.parts["membership"].membership.incarnation
        others = self.memberships(but=row.name)
        self.figures["restart_known_s"] = self.run_until(
            lambda: all(_knows(other, row.name, incarnation) for other in others)
        )

    def measure_death(self) -> None:
        """A gateway ends: seconds until the first, and until all consider it dead."""
        name = self.fleet.rows[self.size // 2].name
        self.fleet.kill(name)
        others = self.memberships(but=name)
        began = self.fleet.loop.time
        first = self.run_until(lambda: any(_consider_dead(others, name)))
        last = self.run_until(lambda: all(_consider_dead(others, name)))
        self.figures["death_first_s"] = first
        self.figures["death_known_s"] = None if None in (first, last) else self.seconds_since(began)

    def measure_newcomer(self) -> None:
        """One that nobody configured, and that knows few, starts.

        Seconds until it knows nearly all, seconds until all know it, and the share that does at the end.
        """
        began = self.fleet.loop.time
        newcomer = self.fleet.start_newcomer(SEEDS)
        own: Membership = newcomer.parts["membership"].membership
        others = self.memberships(but=newcomer.name)
        nearly_all = NEARLY_ALL * (self.size - 2)
        self.figures["newcomer_knows_s"] = self.run_until(lambda: len(own.table.alive) >= nearly_all)
        self.run_until(lambda: all(newcomer.name in other.members for other in others))
        knowing = [other for other in others if newcomer.name in other.members]
        known_at = self.seconds_since(began) if len(knowing) == len(others) else None
        self.figures["newcomer_known_s"] = known_at
        self.figures["newcomer_known_share"] = len(knowing) / len(others)
        alive = sum(other.members[newcomer.name].state == MemberState.ALIVE for other in knowing)
        self.figures["newcomer_alive_share"] = alive / len(others)


def _knows(membership: Membership, name: str, incarnation: int) -> bool:
    member = membership.members.get(name)
    return member is not None and member.incarnation >= incarnation


def _consider_dead(memberships: Iterable[Membership], name: str) -> Iterator[bool]:
    """Whether each of those that know the member considers it dead."""
    for membership in memberships:
        if name in membership.members:
            yield membership.members[name].state >= MemberState.DEAD
