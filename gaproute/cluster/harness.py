"""Plays a script with a wire between all processes: hundreds of gateways and hosts, and faults on their way.

It ends by itself (`bound`), ends only what it started, and leaves nothing when it is itself killed: its
children have asked the kernel to be killed with it.
"""

import json
import os
import random
import resource
import signal
import time
import traceback

from gaproute.cluster.address_plan import AddressPlan
from gaproute.cluster.clients import ClusterClients
from gaproute.cluster.gateways import ClusterGateways
from gaproute.cluster.host_lists import GatewayHostLists
from gaproute.cluster.hosts import ClusterHosts
from gaproute.cluster.lateness import HarnessLateness
from gaproute.cluster.lease_clients import LeaseClients
from gaproute.cluster.link_emulators import LinkEmulators
from gaproute.cluster.process_faults import ProcessFaults
from gaproute.cluster.processes import ClusterProcesses, StartLimiter, calm
from gaproute.cluster.verdict import ClusterVerdict
from gaproute.scenarios.processes import MILLI, SECOND, NotReadyError
from gaproute.scenarios.trial import Trial
from gaproute.standins.tap import read_tap

LAST_RESORT = 30  # seconds after the bound: the alarm ends a parent that no longer turns its loop
BACK = 60 * SECOND  # after the day, for gateways that are being restarted: a fleet's start, at most


class ClusterHarness(Trial):
    ENDING = 20 * SECOND  # beyond the longest limit, for hundreds of gateways that end at once: nobody asks
    #                       any more

    def harness_lateness(self):
        """What hosts, clients and wires noted; the parent judges nobody."""
        most = self.lateness.most()
        return round(max(most["hosts"], most["clients"], most["wires"]) * MILLI)

    def termination_time(self):
        return self.longest_deadline + self.ENDING

    def create_parts(self):
        settings, self.faulty, self.voids, self.ready_time = self.script.cluster, [], [], None
        self.begun = self.ended = 0
        self.loop.on_error = self.went_wrong
        (self.out / "day.script").write_text(self.script.text)
        (self.out / "play.json").write_text(json.dumps({"seed": self.seed, "decisions": self.decisions}))
        _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))  # three descriptors for each child
        self.gate = StartLimiter(self.loop, settings.batch or os.cpu_count() or 1)
        self.table = AddressPlan(self.script.day, settings.direct)
        self.processes = ClusterProcesses(self.loop, self.out)
        self.wires = LinkEmulators(self.loop, self.processes, self.table, self.seed)
        self.hosts = ClusterHosts(self, random.Random(self.seed))
        self.host_list = GatewayHostLists(self.loop, self.tap, self.hosts, self.table, self.out / "lists")
        self.gateways, self.clients = ClusterGateways(self), ClusterClients(self)
        self.strikes, self.lateness, self.crews = (
            ProcessFaults(self),
            HarnessLateness(self),
            LeaseClients(self),
        )

    def chance(self, line, part=""):
        """A line's own chance: what it draws does not hang on what other lines drew before it."""
        return random.Random(f"{self.seed} {type(line).__name__} {line.line}{part}")

    def went_wrong(self, error):
        """An error that nobody awaited: a gateway that did not come back is the program's, all else the
        harness's."""
        with open(self.out / "parent.err", "a") as file:
            traceback.print_exception(error, file=file)
        if type(error) is RuntimeError:
            self.faulty.append(str(error))
        else:
            known = isinstance(error, NotReadyError)
            self.voids.append(str(error) if known else f"the harness's own error: {error!r}")

    def hosts_seen(self):
        """What the hosts noted during the day, by run."""
        return [
            [event for event in read_tap(path) if self.begun < event["at"] < self.ended]
            for path in self.out.glob("host-*.tap")
        ]

    def starting(self, routine):
        return self.gate.through(routine)

    def set_up(self):
        begun, day, settings = self.loop.now(), self.script.day, self.script.cluster
        yield from self.start_store()
        yield from self.run_together([self.hosts.start(self.hosts.create(), True) for _ in range(day.hosts)])
        if not settings.direct:
            seats = dict(self.table.gateway_seat(number) for number in range(day.gateways))
            seats |= dict(map(self.table.host_seat, self.hosts.by_name.values()))
            seats |= dict(map(self.table.list_seat, range(len(self.table.ways))))
            yield from self.wires.start(settings.wires, seats)
        self.host_list.first()
        self.strikes.clocks()
        self.report(f"{(self.loop.now() - begun) / SECOND:5.1f} s  hosts are up")
        yield from self.run_together(
            [self.starting(self.gateways.start(number)) for number in range(day.gateways)]
        )
        self.ready_time = self.loop.now() - begun
        self.report(f"{self.ready_time / SECOND:5.1f} s  all are up; the day begins")

    def day_routines(self):
        script = self.script
        self.loop.spawn(self.lateness.begin())
        self.begun = self.loop.now()
        if self.script.cluster.direct and script.faults:
            self.report("direct: no wire, its faults are left out")
        return [
            *super().day_routines(),
            *self.crews.begin(),
            *(self.wires.fault(self, line, self.chance(line)) for line in script.faults if self.wires.wires),
            *(self.strikes.strike(line) for line in script.strikes if line.kind != "clock"),
            *(self.host_list.strike(line, self.strikes.numbers(line)) for line in script.lists),
        ]

    def shut_down(self):
        yield from self.lateness.end()
        end = self.loop.now() + BACK
        # who was being restarted is up before it is asked to end
        while self.gateways.busy and self.loop.now() < end:
            yield self.loop.sleep(20 * MILLI)
        for number in self.gateways.processes:
            self.gateways.processes[number].signal(signal.SIGCONT)
        yield from super().shut_down()

    def run(self):
        """Plays the day; its `ClusterVerdict`, which stands in the folder as well."""
        bound, begun, end = self.script.cluster.bound, time.time(), None
        signal.setitimer(signal.ITIMER_REAL, bound / SECOND + LAST_RESORT)
        try:
            played = self.loop.spawn(self.play()).done
            self.loop.after(bound, played.fail, TimeoutError("the time bound is over"))
            self.loop.run(until=played)
        except (RuntimeError, TimeoutError) as fault:
            end = fault
            if isinstance(fault, TimeoutError):
                self.voids.append(str(fault))
        finally:
            calm()
            self.processes.close()
            self.tap.flush()
            signal.setitimer(signal.ITIMER_REAL, 0)
        verdict = ClusterVerdict(self, end, time.time() - begun)
        (self.out / "verdict.json").write_text(json.dumps(verdict.plain(), indent=1))
        return verdict
