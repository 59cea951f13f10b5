"""One rung on the simulated clock, in a process of its own: `python -m benchmarks.scale.rung SIZE`.

Prints one line of JSON: `figures` by name, and `stopped` with the reason where a limit ended the rung early.
Memory: the process's resident memory less what it had before the fleet was made, divided by the gateways.
It holds each gateway's decisions, tables, sockets' stand-ins and what is under way on the network; it lacks
what a process has once (interpreter, modules), and names and addresses of the configuration are shared by all
gateways. CPU: of the process in the calm span, the simulation's own cost in it. The calm span begins when
each gateway has had the time to tell each other one its demand.
"""

import argparse
import gc
import json
import time

from benchmarks.scale.limits import MEGABYTE, Limits, Stopped, resident
from gaproute.hollow import PARTS
from gaproute.hollow.simulation import Fleet
from gaproute.interface import State
from gaproute.shared.membership import ALIVE, DEAD

SECOND = 1_000_000_000
SETTLE = 16  # simulated seconds before the counting, and
ROUND = 1 / 20  # so much more for each gateway: until each has told each its demand
CALM = 15  # simulated seconds of the counting: one renewal of each lease
LONG = 60  # simulated seconds until which something is waited for
SLICE = 1  # simulated seconds between two looks at the limits
SEEDS = 5  # that a newcomer knows


class Rung:
    """Plays one size; `figures` fills as it goes, so that a rung that is stopped tells what it had."""

    def __init__(self, size, seed, limits, parts=tuple(PARTS), hosts=240):
        self.size, self.seed, self.limits, self.parts, self.hosts = size, seed, limits, parts, hosts
        self.figures, self.fleet = {}, None
        self.empty = resident()

    def play(self):
        """Errors: Stopped."""
        began = time.process_time()
        makers = {name: PARTS[name] for name in self.parts}
        self.fleet = Fleet(self.size, self.seed, makers, self.hosts)
        try:
            self.run(SETTLE + ROUND * self.size)
            self.calm()
            for part, measures in (
                ("hosts", (self.change,)),
                ("membership", (self.restart, self.death, self.newcomer)),
            ):
                if part in self.parts:
                    for measure in measures:
                        measure()
        finally:
            self.figures["run_cpu_s"] = round(time.process_time() - began, 1)
            self.figures["simulated_s"] = round(self.fleet.loop.time / SECOND, 2)
            self.figures["events"] = self.fleet.loop.done

    # Time

    def run(self, seconds):
        """Plays so long, with a look at the limits in each slice."""
        end = self.fleet.loop.time + round(seconds * SECOND)
        while self.fleet.loop.time < end:
            self.fleet.run(min(SLICE, (end - self.fleet.loop.time) / SECOND))
            self.limits.check(resident() / MEGABYTE)

    def until(self, holds):
        """As the fleet's, with looks at the limits."""

        def looked():
            self.limits.check(resident() / MEGABYTE)
            return holds()

        return self.fleet.until(looked, LONG)

    # What is measured

    def calm(self):
        """Nothing happens: state, messages, bytes, CPU, memory."""
        before = self.each()
        spent = time.process_time()
        self.run(CALM)
        spent = time.process_time() - spent
        after, totals = self.each(), self.fleet.totals()
        figures = self.figures
        for part in self.parts:
            figures[f"{part}_entries"] = totals[f"{part}.entries"] / self.size
            for counter in ("messages", "bytes"):
                name = f"{part}.{counter}"
                if name in totals:
                    figures[f"{part}_{counter}_per_s"] = self.rate(before, after, name)
        sent = [sum(self.sent(after[name])) - sum(self.sent(before[name])) for name in after]
        figures["bytes_per_s"] = sum(sent) / CALM / self.size
        figures["busiest_bytes_per_s"] = max(sent) / CALM
        figures["cpu_percent"] = 100 * spent / CALM / self.size
        gc.collect()
        figures["memory_mb"] = (resident() - self.empty) / MEGABYTE / self.size
        for name in ("membership.refused", "leases.held", "leases.refused", "demand.tellers"):
            if name in totals:
                figures[name.replace(".", "_")] = totals[name] / self.size

    def each(self):
        """{gateway: {"part.counter": value}}"""
        return {
            name: {
                f"{part}.{counter}": value
                for part, counters in gateway.counters().items()
                for counter, value in counters.items()
            }
            for name, gateway in self.fleet.gateways.items()
        }

    def rate(self, before, after, name):
        """A counter's growth a gateway and second."""
        return sum(after[each][name] - before[each][name] for each in after) / CALM / self.size

    @staticmethod
    def sent(counters):
        """The bytes of all parts."""
        return [value for name, value in counters.items() if name.endswith(".bytes")]

    def change(self):
        """One host begins to drain: seconds until all decisions know."""
        host = "host-00007"
        self.fleet.lists.states[host] = "draining"
        self.fleet.lists.publish()
        gateways = self.fleet.gateways.values()
        self.figures["change_known_s"] = self.until(
            lambda: all(each.parts["hosts"].rows[host].state is State.DRAINING for each in gateways)
        )

    def tables(self, but):
        """The tables of members of all gateways but one."""
        return [
            gateway.parts["membership"].members
            for name, gateway in self.fleet.gateways.items()
            if name != but
        ]

    def restart(self):
        """A gateway ends and starts at once, empty: seconds until all know its new life."""
        row = self.fleet.rows[self.size // 3]
        self.fleet.kill(row.name)
        started = self.fleet.start(row)
        life, others = started.parts["membership"].members.incarnation, self.tables(row.name)
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
        first = self.until(lambda: any(table[name].state >= DEAD for table in others if name in table))
        last = self.until(lambda: all(table[name].state >= DEAD for table in others if name in table))
        self.figures["death_first_s"] = first
        self.figures["death_known_s"] = (
            None if None in (first, last) else (self.fleet.loop.time - began) / SECOND
        )

    def newcomer(self):
        """One that nobody configured, and that knows few, starts: seconds until it knows nearly all, seconds
        until all know it; and the share that does at the end."""
        began = self.fleet.loop.time
        comer = self.fleet.newcomer(SEEDS)
        own, others = comer.parts["membership"].members, self.tables(comer.name)
        knows = self.until(lambda: len(own.table.alive) >= 0.99 * (self.size - 2))
        self.figures["newcomer_knows_s"] = knows
        self.until(lambda: all(comer.name in table.members for table in others))
        knowing = [table for table in others if comer.name in table.members]
        known = (self.fleet.loop.time - began) / SECOND if len(knowing) == len(others) else None
        self.figures["newcomer_known_s"] = known
        self.figures["newcomer_known_share"] = len(knowing) / len(others)
        self.figures["newcomer_alive_share"] = sum(
            table.members[comer.name].state == ALIVE for table in knowing
        ) / len(others)


def main():
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("size", type=int)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--memory", type=float, required=True, help="MB")
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--parts", default=",".join(PARTS))
    parser.add_argument("--hosts", type=int, default=240)
    told = parser.parse_args()
    limits = Limits(told.memory, told.seconds)
    rung, stopped = Rung(told.size, told.seed, limits, tuple(told.parts.split(",")), told.hosts), ""
    try:
        rung.play()
    except Stopped as reason:
        stopped = str(reason)
    except MemoryError:
        stopped = "memory: none was left"
    print(json.dumps({"figures": rung.figures, "stopped": stopped}), flush=True)


if __name__ == "__main__":
    main()
