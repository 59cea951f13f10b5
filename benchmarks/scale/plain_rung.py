"""A rung of gateways that all know one another and every host.

Memory: the process's resident memory less what it had before the fleet was made, divided by the gateways.
It holds each gateway's decisions, tables, sockets' stand-ins and what is under way on the network; it lacks
what a process has once (interpreter, modules), and names and addresses of the configuration are shared by all
gateways. CPU: of the process in the calm span, the simulation's own cost in it, garbage collections not. The
calm span begins when each gateway has had the time to tell each other one its demand.
"""

import time

from benchmarks.scale.base_rung import CALM, BaseRung, Growth
from gaproute.hollow import PARTS
from gaproute.hollow.simulation import SimulatedFleet
from gaproute.interface import State
from gaproute.shared.membership import MemberState

SETTLE = 16  # simulated seconds before the counting, and
ROUND = 1 / 20  # so much more for each gateway: until each has told each its demand
SEEDS = 5  # that a newcomer knows


class PlainRung(BaseRung):
    """`parts`: names of those in `PARTS`."""

    def __init__(self, size, seed, limits, parts=tuple(PARTS), hosts=240):
        super().__init__(size, limits)
        self.seed, self.parts, self.hosts = seed, parts, hosts

    def made(self):
        """The fleet."""
        return SimulatedFleet(
            self.size,
            seed=self.seed,
            part_factories={name: PARTS[name] for name in self.parts},
            hosts=self.hosts,
        )

    def measure(self):
        """Takes all figures. Errors: Stopped."""
        self.run(SETTLE + (ROUND * self.size if "demand" in self.parts else 0))
        self.calm()
        if "hosts" in self.parts:
            self.change()
        if "membership" in self.parts:
            self.restart()
            self.death()
            self.newcomer()
        self.end()

    def calm(self):
        """Nothing happens: state, messages, bytes, CPU, memory. The span is one renewal of each lease."""
        before = self.each()
        spent = time.process_time()
        self.run(CALM)
        spent = time.process_time() - spent
        growth, totals = Growth(before, self.each(), before, CALM), self.fleet.totals()
        figures = self.figures
        for part in self.parts:
            figures[f"{part}_entries"] = totals[f"{part}.entries"] / self.size
            figures |= growth.rates((part,))
        figures["bytes_per_s"], figures["busiest_bytes_per_s"] = growth.bytes()
        figures["cpu_percent"] = 100 * spent / CALM / self.size
        figures["memory_mb"] = self.resident()
        for name in ("membership.refused", "leases.held", "leases.refused", "demand.tellers"):
            if name in totals:
                figures[name.replace(".", "_")] = totals[name] / self.size

    def end(self):
        """State when all is over: pages of warm copies gather for longer than the calm span."""
        self.figures["memory_end_mb"] = self.resident()
        if "demand" in self.parts:
            self.figures["demand_entries_end"] = self.fleet.totals()["demand.entries"] / self.size

    def change(self):
        """One host begins to drain: seconds until all decisions know."""
        host = "host-00007"
        self.fleet.host_lists.states[host] = "draining"
        self.fleet.host_lists.publish()
        gateways = self.fleet.gateways.values()
        self.figures["change_known_s"] = self.until(
            lambda: all(each.parts["hosts"].rows[host].state is State.DRAINING for each in gateways)
        )

    def tables(self, but):
        """The tables of members of all gateways but one."""
        return [
            gateway.parts["membership"].membership
            for name, gateway in self.fleet.gateways.items()
            if name != but
        ]

    def restart(self):
        """A gateway ends and starts at once, empty: seconds until all know its new life."""
        row = self.fleet.rows[self.size // 3]
        self.fleet.kill(row.name)
        started = self.fleet.start(row)
        life, others = started.parts["membership"].membership.incarnation, self.tables(row.name)
        self.figures["restart_known_s"] = self.until(
            lambda: all(
                (member := table.members.get(row.name)) is not None and member.incarnation >= life
                for table in others
            )
        )

    def death(self):
        """A gateway ends: seconds until the first, and until all hold it dead."""
        name = self.fleet.rows[self.size // 2].name
        self.fleet.kill(name)
        others = [table.members for table in self.tables(name)]
        began = self.fleet.loop.time
        first = self.until(
            lambda: any(table[name].state >= MemberState.DEAD for table in others if name in table)
        )
        last = self.until(
            lambda: all(table[name].state >= MemberState.DEAD for table in others if name in table)
        )
        self.figures["death_first_s"] = first
        self.figures["death_known_s"] = None if None in (first, last) else self.since(began)

    def newcomer(self):
        """One that nobody configured, and that knows few, starts: seconds until it knows nearly all, seconds
        until all know it; and the share that does at the end."""
        began = self.fleet.loop.time
        comer = self.fleet.start_newcomer(SEEDS)
        own, others = comer.parts["membership"].membership, self.tables(comer.name)
        knows = self.until(lambda: len(own.table.alive) >= 0.99 * (self.size - 2))
        self.figures["newcomer_knows_s"] = knows
        self.until(lambda: all(comer.name in table.members for table in others))
        knowing = [table for table in others if comer.name in table.members]
        known = self.since(began) if len(knowing) == len(others) else None
        self.figures["newcomer_known_s"] = known
        self.figures["newcomer_known_share"] = len(knowing) / len(others)
        self.figures["newcomer_alive_share"] = sum(
            table.members[comer.name].state == MemberState.ALIVE for table in knowing
        ) / len(others)
