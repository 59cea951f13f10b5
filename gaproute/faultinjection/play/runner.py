"""Plays one seed under faults, judges it, and reduces the faults of a failed play to those that matter."""

from __future__ import annotations

import gc
import tempfile
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from gaproute.faultinjection.catalog import FAULTS
from gaproute.faultinjection.plan import FaultPlan, FaultSource, InjectedFault, RandomFaults, Script
from gaproute.faultinjection.play import rules
from gaproute.faultinjection.play.far_client import FarRequest
from gaproute.faultinjection.play.rules import Check, Finding
from gaproute.faultinjection.play.scene import REQUEST_CLASSES, Scene, StuckError
from gaproute.faultinjection.play.timeline import MILLI, SECOND
from gaproute.faultinjection.play.traffic import Conditions, Traffic

RECOVERY_TIME = 4 * SECOND  # without faults: all requests are over, an ejected host is tried again
IDLE_TIME = 18 * SECOND  # after the last client: idle connections have come to their ends
RECOVERY_TIMEOUT = 1500 * MILLI  # of a request once the faults are over
MAX_STARTS = 20
STOP_TIME = 4 * SECOND  # after the stop: the longest deadline, and what SIGTERM grants beyond it


@dataclass
class Verdict:
    """What became of a play."""

    seed: int
    findings: list[Finding] = field(default_factory=list)
    injected: list[InjectedFault] = field(default_factory=list)
    requests: int = 0
    delivered: int = 0

    @property
    def checks(self) -> set[Check]:
        """The checks that did not hold."""
        return {finding.check for finding in self.findings}

    def __str__(self) -> str:
        found = "\n".join(f"  {finding}" for finding in self.findings)
        injected = "\n".join(f"  {line}" for line in self.injected)
        return f"seed {self.seed}: {len(self.findings)} findings\n{found}\ninjected faults:\n{injected}"


def by_chance(seed: int, odds: int, without: Collection[str] = ()) -> RandomFaults:
    """Every call of the catalogue fails one in `odds`, but for those named."""
    faults = {call: ways for call, ways in FAULTS.items() if call not in without}
    return RandomFaults(seed, odds, faults)


def play(
    seed: int,
    source: FaultSource,
    conditions: Conditions = Conditions(),  # noqa: B008 - frozen
    *,
    before_start: Callable[[Scene], None] = lambda scene: None,
) -> Verdict:
    """One play. `before_start` is called first: tests plant their faults there."""
    verdict = Verdict(seed)
    gc.collect()  # what earlier plays left in cycles holds descriptors
    with tempfile.TemporaryDirectory(prefix="gaproute-faults-") as folder:
        scene = Scene(Path(folder), FaultPlan(source), seed, conditions.hosts)
        try:
            before_start(scene)
            verdict.findings += _play_and_judge(scene, seed, conditions)
        except StuckError as error:
            verdict.findings.append(Finding(Check.NO_SPIN, str(error)))
        finally:
            scene.close()
        verdict.injected = scene.plan.log
        _count_requests(scene, verdict)
        scene.errors.clear()  # their frames hold sockets
        gc.collect()
    return verdict


def _count_requests(scene: Scene, verdict: Verdict) -> None:
    for client in scene.clients:
        for request in client.requests.values():
            verdict.requests += 1
            verdict.delivered += any(text == "result" for _, text in request.answers)


def _play_and_judge(scene: Scene, seed: int, conditions: Conditions) -> Iterator[Finding]:
    scene.plan.paused = not conditions.faulty_start
    yield from _start_gateway(scene)
    scene.plan.paused = False
    Traffic(scene, seed, conditions)
    scene.run_for(conditions.length)
    scene.plan.paused = True
    if conditions.stop:
        yield from _check_stop(scene)
    else:
        scene.run_for(RECOVERY_TIME)
        yield from _check_recovery(scene)
        yield from _check_idle(scene)
    yield from rules.judge_far_ends(scene)
    yield from rules.judge_errors(scene)


def _start_gateway(scene: Scene) -> Iterator[Finding]:
    """A start that failed is begun anew, as the program does; it must have left nothing behind."""
    for _ in range(MAX_STARTS):
        try:
            scene.process.start()
            return
        except OSError as error:
            last = error
    yield Finding(Check.STARTS, repr(last))


def _check_stop(scene: Scene) -> Iterator[Finding]:
    scene.run_for(STOP_TIME)
    if scene.loop.running:
        yield Finding(Check.STOPS, f"it holds {len(scene.process.core.in_flight)} requests")
    scene.close_gateway()
    scene.loop.running = True  # the far ends' last timers
    scene.run_for(RECOVERY_TIMEOUT)


def _check_recovery(scene: Scene) -> Iterator[Finding]:
    """A request of each class, on a connection of its own, is delivered; gateways hear each other."""
    for host in scene.hosts:
        host.reliable = True
    asked = []
    received = len(scene.peer.received)
    for number, lane in enumerate(REQUEST_CLASSES, 1_000_000):
        request = FarRequest(number, lane, scene.clock.now, RECOVERY_TIMEOUT, idempotency_key=f"key-{number}")
        scene.connect_client().send_request(request)
        asked.append(request)
    scene.run_for(RECOVERY_TIMEOUT)
    for request in asked:
        if [text for _, text in request.answers] != ["result"]:
            yield Finding(Check.RECOVERS, f"a {request.request_class} request got {request.answers}")
    if len(scene.peer.received) == received:
        yield Finding(Check.PEERS_RECOVER, "it sends other gateways nothing any more")
    yield from _check_peers(scene)


def _check_peers(scene: Scene) -> Iterator[Finding]:
    datagrams, before = scene.process.peers.datagrams, scene.peer_messages
    if datagrams is None:
        yield Finding(Check.PEERS_RECOVER, "it listens for other gateways no more")
        return
    for payload in scene.peer.received[-1:]:
        scene.peer.send(payload, datagrams.sock.getsockname())
    scene.run_for(100 * MILLI)
    if scene.peer_messages == before:
        yield Finding(Check.PEERS_RECOVER, "it hears other gateways no more")


def _check_idle(scene: Scene) -> Iterator[Finding]:
    for client in scene.clients:
        client.connection.close()
    scene.run_for(IDLE_TIME)
    yield from rules.judge_idle_gateway(scene)


def reduce_faults(
    seed: int,
    injected: list[InjectedFault],
    wanted: set[Check],
    conditions: Conditions = Conditions(),  # noqa: B008 - frozen
) -> list[InjectedFault]:
    """A small part of the faults that still breaks one of the wanted checks: halves are left out first, then
    ever smaller pieces."""

    def breaks(faults: list[InjectedFault]) -> bool:
        return bool(play(seed, Script(faults), conditions).checks & wanted)

    faults, size = list(injected), max(1, len(injected) // 2)
    while True:
        place, before = 0, len(faults)
        while place < len(faults):
            fewer = faults[:place] + faults[place + size :]
            if breaks(fewer):
                faults = fewer
            else:
                place += size
        if size == 1 and len(faults) == before:
            return faults
        size = max(1, size // 2)
