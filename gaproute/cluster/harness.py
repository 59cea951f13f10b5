"""Plays a script with links between all processes: hundreds of gateways and hosts, and faults on their way.

The harness ends after `bound` at the latest, ends only processes that it started, and leaves none when it is
killed itself: its children have asked the kernel to be killed with their parent.
"""

from __future__ import annotations

import json
import os
import resource
import signal
import time
import traceback
from collections.abc import Iterator

from gaproute.cluster.address_plan import AddressPlan
from gaproute.cluster.clients import ClusterClients
from gaproute.cluster.context import ClusterContext
from gaproute.cluster.gateways import ClusterGateways, GatewayParts
from gaproute.cluster.host_lists import GatewayHostLists, HostPublisher
from gaproute.cluster.hosts import ClusterHosts
from gaproute.cluster.lateness import HarnessLateness
from gaproute.cluster.lease_clients import LeaseClients
from gaproute.cluster.link_emulators import LinkEmulators
from gaproute.cluster.link_faults import LinkFaultSchedule
from gaproute.cluster.play_record import PlayRecord
from gaproute.cluster.priorities import reset_priority
from gaproute.cluster.process_faults import ProcessFaults
from gaproute.cluster.processes import ClusterProcesses
from gaproute.cluster.script import ClusterScript
from gaproute.cluster.script_lines import ProcessFaultKind
from gaproute.cluster.start_limiter import StartLimiter
from gaproute.cluster.verdict import ClusterVerdict, HarnessNotes
from gaproute.loop import Promise
from gaproute.scenarios.errors import GatewayStartError, NotReadyError, ScenarioError
from gaproute.scenarios.processes import Routine
from gaproute.scenarios.trial import Trial
from gaproute.standins.tap import read_tap
from gaproute.units import MILLI, SECOND

ALARM_AFTER_BOUND = 30  # seconds: it ends a parent that no longer turns its loop
RESTART_TIME = 60 * SECOND  # after the day, for gateways that are being restarted: a fleet's start, at most
RESTART_POLL_INTERVAL = 20 * MILLI
FLEET_TERMINATION_TIME = 20 * SECOND  # for hundreds of gateways that end at once, with no requests any more


class ClusterHarness(Trial):
    """One play of a cluster's script with the gateways of `gaproute serve`."""

    script: ClusterScript
    processes: ClusterProcesses
    hosts: ClusterHosts
    host_list: HostPublisher
    gateways: ClusterGateways
    clients: ClusterClients

    def harness_lateness(self) -> int:
        """By how much hosts, clients and link emulators ran late, ns; the parent judges nobody."""
        longest = self.lateness.longest()
        return round(max(longest.hosts, longest.clients, longest.links) * MILLI)

    def termination_time(self) -> int:
        """How long the gateways have to end when the day is over, ns."""
        return self.longest_deadline + FLEET_TERMINATION_TIME

    # The parts

    def create_parts(self) -> None:
        """Makes the parts that the day is played with."""
        self.record = PlayRecord()
        self.loop.on_error = self._routine_failed
        self._write_play()
        _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))  # three descriptors for each child
        settings = self.script.settings
        self.plan = AddressPlan(self.script.day, direct=settings.direct)
        self.context = ClusterContext(
            self.loop, self.tap, self.script, self.seed, self.out, self.plan, self.report
        )
        self.starts = StartLimiter(self.loop, settings.batch or os.cpu_count() or 1)
        self.processes = ClusterProcesses(self.loop, self.out)
        self.links = LinkEmulators(self.loop, self.processes, port=self.plan.port, seed=self.seed)
        self.create_actors()
        self.link_faults = LinkFaultSchedule(self.context, self.links, self.hosts.named_slots)
        self.process_faults = ProcessFaults(
            self.context,
            self.gateways,
            self.processes,
            slots=self.hosts.named_slots,
            run_together=self.run_together,
        )
        self.lateness = HarnessLateness(
            self.context,
            self.record,
            emulators=self.links,
            gateways=self.gateways,
            clients=self.clients,
            host_latenesses=self.host_latenesses,
        )
        self.lease_clients = LeaseClients(self.context, self.gateways)

    def _write_play(self) -> None:
        """Writes down what is needed to play the same again."""
        (self.out / "day.script").write_text(self.script.text)
        (self.out / "play.json").write_text(json.dumps({"seed": self.seed, "decisions": self.decisions}))

    def create_actors(self) -> None:
        """Makes hosts, host lists, gateways and clients."""
        self.hosts = ClusterHosts(
            self.context, self.processes, self.models, starts=self.starts, emulators=self.links
        )
        self.host_list = GatewayHostLists(self.context, self.hosts)
        self.gateways = ClusterGateways(self, GatewayParts(self.context, self.record, self.starts))
        self.clients = ClusterClients(self, self.context)

    def _routine_failed(self, error: BaseException) -> None:
        """Records an error of a coroutine that nobody awaited.

        A gateway that did not start again is a failure of the program; any other error voids the run.
        """
        with open(self.out / "parent.err", "a") as file:
            traceback.print_exception(error, file=file)
        if isinstance(error, GatewayStartError):
            self.record.failures.append(str(error))
        else:
            known = isinstance(error, NotReadyError)
            text = str(error) if known else f"the harness's own error: {error!r}"
            self.record.void_reasons.append(text)

    # The day

    def set_up(self) -> Routine:
        """A coroutine: starts hosts, links and gateways, and waits until all are ready."""
        begun, day, settings = self.loop.now(), self.script.day, self.script.settings
        yield from self.start_store()
        yield from self.run_together(
            [self.hosts.start(self.hosts.create(), warm=True) for _ in range(day.hosts)]
        )
        if not settings.direct:
            yield from self.links.start(settings.emulators, self.plan.all_slots(self.hosts.by_name.values()))
        self.host_list.publish_all_now()
        self.process_faults.set_clocks()
        self.report(f"{(self.loop.now() - begun) / SECOND:5.1f} s  hosts are up")
        yield from self.run_together(
            [self.starts.run(self.gateways.start(number)) for number in range(day.gateways)]
        )
        self.record.ready_after = self.loop.now() - begun
        self.report(f"{self.record.ready_after / SECOND:5.1f} s  all are up; the day begins")

    def day_routines(self) -> list[Routine]:
        """What happens during the day, as coroutines."""
        script = self.script
        timed = [line for line in script.process_faults if line.kind is not ProcessFaultKind.CLOCK]
        self.loop.spawn(self.lateness.watch())
        self.record.began_at = self.loop.now()
        if script.settings.direct and script.link_faults:
            self.report("direct: no wire, its faults are left out")
        return [
            *super().day_routines(),
            *self.lease_clients.routines(),
            *(self.link_faults.run(line) for line in script.link_faults if self.links.running),
            *map(self.process_faults.run, timed),
            *(
                self.host_list.run_fault(line, self.process_faults.numbers_of(line))
                for line in script.host_list_faults
            ),
        ]

    def measuring_routines(self) -> list[Routine]:
        """None: `lateness` measures the whole play, and a play on a machine that was too busy is void."""
        return []

    def shut_down(self) -> Routine:
        """A coroutine: ends the gateways, then all other processes."""
        yield from self.lateness.finish()
        end = self.loop.now() + RESTART_TIME
        # A gateway that is being restarted is up before it is asked to end.
        while self.gateways.under_fault and self.loop.now() < end:
            yield self.loop.sleep(RESTART_POLL_INTERVAL)
        for process in self.gateways.processes.values():
            process.signal(signal.SIGCONT)
        yield from super().shut_down()

    def host_latenesses(self) -> list[int]:
        """How late the hosts ran during the day, as they noted it, ns."""
        return list(self._latenesses_in("host-*.tap"))

    def _latenesses_in(self, pattern: str) -> Iterator[int]:
        for path in self.out.glob(pattern):
            for event in read_tap(path):
                if event["what"] == "late" and self.record.is_during_day(event["at"]):
                    yield event["by"]

    def run(self) -> ClusterVerdict:
        """Plays the day and returns its verdict, which is also written to the folder."""
        begun = time.time()
        error = self._play_within_bound()
        took = time.time() - begun
        notes = HarnessNotes(self.record, self.lateness, self.lease_clients, error, took)
        verdict = ClusterVerdict(self, notes)
        (self.out / "verdict.json").write_text(json.dumps(verdict.plain(), indent=1))
        return verdict

    def _play_within_bound(self) -> Exception | None:
        """Plays the day and ends all processes; returns the error that ended the play early, if any."""
        bound = self.script.settings.bound
        signal.setitimer(signal.ITIMER_REAL, bound / SECOND + ALARM_AFTER_BOUND)
        try:
            played: Promise = self.loop.spawn(self.play()).done
            self.loop.call_later(bound, played.fail, TimeoutError("the time bound is over"))
            self.loop.run(until=played)
        except TimeoutError as error:
            self.record.void_reasons.append(str(error))
            return error
        except (ScenarioError, RuntimeError) as error:
            return error
        finally:
            reset_priority()
            self.processes.close()
            self.tap.flush()
            signal.setitimer(signal.ITIMER_REAL, 0)
        return None
