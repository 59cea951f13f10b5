"""What gateways and schedulers have in common: they probe the hosts and gossip about what they saw."""

from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from gaproute.maintenance.host_report import HostReport
from gaproute.shared.gossip import GossipMessage, GossipNode
from gaproute.simulation.process_slot import Outbox, OutgoingMessages
from gaproute.simulation.rounds.kinds import GATEWAYS
from gaproute.simulation.rounds.messages import DemandReport, ProbeMessage, ProbeReply, RunRequest
from gaproute.simulation.rounds.scene import RoundsScene
from gaproute.simulation.seeded_random import SeededRandom
from gaproute.units import MILLI, SECOND

PROBE_INTERVAL = SECOND  # between two probes of one host
MIN_REQUEST_DURATION = 200 * MILLI
REQUEST_DURATION_SPREAD = 2 * SECOND
TRAFFIC_ODDS = 4  # one in so many ticks of a gateway sends a request and reports demand


class ProcessStart(NamedTuple):
    """What the simulation starts a process with. `now`: ns of its own clock."""

    name: str
    random: SeededRandom
    now: int
    incarnation: int


class HostObserver:
    """Probes the hosts in turn. `reports`: what each host last reported."""

    def __init__(self, scene: RoundsScene, start: ProcessStart, peers: Sequence[str]) -> None:
        name, random, now, incarnation = start
        self.scene, self.name, self.random = scene, name, random
        self.hosts = list(scene.fleet.hosts)
        self.reports: dict[str, HostReport] = {}
        self.gossip = GossipNode(name, 1 + incarnation, random, now)
        self.gossip.set_peers(now, peers)
        self.gossip.set_hosts(now, dict.fromkeys(self.hosts, 0))
        self._probes: dict[str, tuple[int, int]] = {}  # by host: number and time of the last probe
        self._probe_count = 0
        self._starts: dict[str, int] = {}  # by host, as reported
        self._next_probe_at = now

    @property
    def due(self) -> int:
        """When `tick` is to be called."""
        return min(self._next_probe_at, self.gossip.due)

    def tick(self, now: int) -> OutgoingMessages:
        """Gossips and probes the next host."""
        outgoing: Outbox = []
        if now >= self.gossip.due:
            outgoing += self.gossip.tick(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_INTERVAL // len(self.hosts)
            host = self.hosts[self._probe_count % len(self.hosts)]
            self._probe_count += 1
            self._probes[host] = self._probe_count, now
            outgoing.append((host, ProbeMessage(self._probe_count)))
        return outgoing

    def hear(self, now: int, sender: str, message: object) -> OutgoingMessages:
        """Takes gossip and the answer to the last probe of a host."""
        match message:
            case GossipMessage():
                self.gossip.receive(now, sender, message)
            case ProbeReply():
                number, asked_at = self._probes.get(sender, (0, 0))
                if number == message.number:
                    self._take_report(now, sender, msgspec.structs.replace(message.report, asked_at=asked_at))
        return []

    def _take_report(self, now: int, host: str, report: HostReport) -> None:
        if self._starts.get(host) != report.incarnation:
            self._starts[host] = report.incarnation
            unknown = {name: 0 for name in self.hosts if name not in self._starts}
            self.gossip.set_hosts(now, self._starts | unknown)
        self.reports[host] = report
        for function in self.scene.fleet.functions:
            if function in report.warm_functions:
                # As of when the host was asked: an answer may be long on its way.
                self.gossip.record_warm_instance(report.asked_at, host, function)
            else:
                self.gossip.record_unloaded_instance(host, function)


class ReportingGateway(HostObserver):
    """Reports demand to the schedulers, and sends requests to any host, also to one that drains."""

    def __init__(self, scene: RoundsScene, start: ProcessStart) -> None:
        peers = [other for other in (*GATEWAYS, *scene.kind.schedulers) if other != start.name]
        super().__init__(scene, start, peers)

    def tick(self, now: int) -> OutgoingMessages:
        """As an observer; now and then it also sends a request and reports demand."""
        outgoing = [*super().tick(now)]
        if self.random.below(TRAFFIC_ODDS) == 0:
            host = self.random.choice(self.hosts)
            duration = MIN_REQUEST_DURATION + self.random.below(REQUEST_DURATION_SPREAD)
            outgoing.append((host, RunRequest(duration)))
            demand = dict(self.scene.demand)
            outgoing += [(name, DemandReport(demand)) for name in self.scene.kind.schedulers]
        return outgoing
