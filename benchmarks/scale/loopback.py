"""Hollow gateways beside real ones on loopback, in real time.

    python -m benchmarks.scale.loopback [--rungs 60,125,250,1000] [--real 10] [--each 20] [--seconds 900]

Each rung: `--real` processes of `gaproute serve`, three of them keepers, and hollow gateways, `--each` to a
process, which all know one another by one peers file. A rung is void where the parent or a process of hollow
gateways ran late, or where the middle gateway waited for a core (bounds below): it measured the machine then.
The ladder stops at the limits of `limits.py` and at a void rung, as a larger one cannot keep time either.
What has ended is kept in docs/measured/scale/ladders/ladder-loopback.json.
"""

import argparse
import time

from benchmarks.scale import climbing
from benchmarks.scale.crew import Crew
from benchmarks.scale.limits import MEGABYTE, Stopped
from benchmarks.scale.measurement import LADDERS
from gaproute.cluster.lateness import MAX_CPU_WAIT

LATE = 150  # ms that a process may be late, as the harness's scripts allow
SETTLE, CALM = 45, 15  # seconds: leases are granted half a minute after the keepers were founded, and
#                        renewed at half of theirs
LONG = 90  # seconds until which a change is waited for
MILLI = 1_000_000


class LoopbackRung:
    """Plays one size; `figures` fills as it goes."""

    def __init__(self, size, told, limits):
        self.size, self.limits, self.figures = size, limits, {}
        self.void = []
        self.crew = Crew(size, told.real, told.each, told.seed, told.hosts)

    def play(self):
        """Errors: Stopped."""
        with self.crew as crew:
            self.limits.check(0, len(crew.real) + len(crew.hollow_ranges()))
            crew.start()
            self.wait(SETTLE)
            crew.lateness()  # what was late at the start counts for nothing
            self.calm()
            self.lateness("calm")
            self.change()
            self.death("hollow", crew.kill_hollow)
            self.death("real", crew.kill_real)
            self.newcomer()
            self.lateness("changes")
            self.figures["errors"] = sum(told["errors"] for told in crew.snapshots())

    def wait(self, seconds):
        """Waits, with a look at the limits and at the parent's own lateness in each beat."""
        self.crew.wait(seconds)
        self.limits.check(sum(self.crew.memory().values()) / MEGABYTE, len(self.crew.processes()))

    def calm(self):
        """Nothing happens: messages, bytes, CPU, memory, of hollow gateways and of real ones."""
        crew, figures = self.crew, self.figures
        before, spent, waited = crew.totals(), crew.cpu(), crew.waited()
        began = time.monotonic()
        self.wait(CALM)
        span = time.monotonic() - began
        after, spent_after, waited_after = crew.totals(), crew.cpu(), crew.waited()
        hollow = after["gateways"]
        for part in ("membership", "demand", "leases"):
            for counter in ("messages", "bytes"):
                name = f"{part}.{counter}"
                if after.get(name):
                    figures[f"{part}_{counter}_per_s"] = (after[name] - before[name]) / span / hollow
            figures[f"{part}_entries"] = after[f"{part}.entries"] / hollow
        figures["hosts_entries"] = after["hosts.entries"] / hollow
        figures["leases_held"] = after["leases.held"] / hollow
        figures["least_up"] = after["least_up"]
        for kind, count in (("hollow", hollow), ("real", len(crew.real))):
            pids = [process.pid for process in crew.processes(kind)]
            used = sum(spent_after[pid] - spent[pid] for pid in pids)
            figures[f"{kind}_cpu_percent"] = 100 * used / span / count
            figures[f"{kind}_memory_mb"] = sum(crew.memory(kind).values()) / MEGABYTE / count
        shares = sorted((waited_after[pid] - waited[pid]) / span for pid in waited)
        figures["waited_share"] = shares[len(shares) // 2]
        if figures["waited_share"] > MAX_CPU_WAIT:
            self.void.append(
                f"gateways were ready without a core for {figures['waited_share']:.0%} of the calm span, "
                f"{MAX_CPU_WAIT:.0%} are allowed"
            )

    def lateness(self, span):
        """Voids the rung where anybody ran too late."""
        for who, late_ns in self.crew.lateness().items():
            self.figures[f"{span}_{who}_late_ms"] = late_ns / MILLI
            if late_ns > LATE * MILLI:
                self.void.append(
                    f"{who} ran up to {late_ns / MILLI:.0f} ms late in the {span}, {LATE} allowed"
                )

    def until(self, holds):
        """Seconds until it holds, None where it did not in time."""
        began = time.monotonic()
        while not (found := holds()):
            if time.monotonic() - began > LONG:
                return None
            self.wait(0.5)
        return found

    def change(self):
        """A host drains: seconds until the last real gateway has logged it."""
        began = time.time()
        self.crew.drain("host-00007")
        found = self.until(lambda: self.crew.real_last("host", "host-00007", "draining"))
        self.figures["change_known_real_s"] = found and found - began

    def death(self, kind, kill):
        """A gateway is killed: seconds until all hollow ones, and all real ones, hold it dead."""
        began, name = time.time(), kill()
        hollow = self.until(lambda: self.crew.hollow_last(name, "dead"))
        real = self.until(lambda: self.crew.real_last("gateway", name, "dead"))
        self.figures[f"{kind}_death_known_hollow_s"] = hollow and hollow - began
        self.figures[f"{kind}_death_known_real_s"] = real and real - began

    def newcomer(self):
        """The hollow gateway that was killed is back, empty: seconds until all hold it alive."""
        began, name = time.time(), self.crew.start_killed()
        hollow = self.until(lambda: self.crew.hollow_last(name, "alive", began))
        real = self.until(lambda: self.crew.real_last("gateway", name, "alive", began))
        self.figures["back_known_hollow_s"] = hollow and hollow - began
        self.figures["back_known_real_s"] = real and real - began


def play(size, told, limits):
    """One rung."""
    rung, stopped = LoopbackRung(size, told, limits), ""
    try:
        rung.play()
    except Stopped as reason:
        stopped = str(reason)
    if rung.void:
        stopped = "void: " + "; ".join(rung.void)
    processes = told.real + len(rung.crew.hollow_ranges())
    more = {"real": told.real, "processes": processes, "void": rung.void}
    return climbing.Played(rung.figures, stopped, more)


def main():
    """The command line."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale.loopback", description=__doc__)
    climbing.add_arguments(parser, "60,125,250,1000", 900, "loopback")
    parser.add_argument("--real", type=int, default=10, help="processes of `gaproute serve`, 3 at least")
    parser.add_argument("--each", type=int, default=20, help="hollow gateways to a process")
    parser.add_argument(
        "--hosts", type=int, default=60, help="all gateways of a process parse a list at once"
    )
    parser.add_argument("--seed", type=int, default=1)
    told = parser.parse_args()
    limits, conditions = climbing.limits(told), {"clock": "real", "seed": told.seed}
    keep = climbing.keeper(LADDERS, told.name, limits, conditions, late_ms=LATE)
    climbing.climb(climbing.sizes(told), lambda size: play(size, told, limits), keep)


if __name__ == "__main__":
    main()
