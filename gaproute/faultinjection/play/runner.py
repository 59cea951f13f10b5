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
from gaproute.faultinjection.play.findings import Check, Finding
from gaproute.faultinjection.play.scene import REQUEST_CLASSES, Scene, StuckError
from gaproute.faultinjection.play.traffic import Conditions, Traffic
from gaproute.units import MILLI, SECOND

RECOVERY_TIME = 4 * SECOND  # without faults, until all requests are answered and ejected hosts are used again
IDLE_TIME = 18 * SECOND  # without clients, until idle connections are closed
RECOVERY_TIMEOUT = 1500 * MILLI  # of a request that checks the recovery
FIRST_RECOVERY_NUMBER = 1_000_000  # of these requests, beyond the numbers of the traffic
PEER_ANSWER_TIME = 100 * MILLI  # within which a datagram of another gateway is handled
MAX_STARTS = 20
STOP_TIME = 4 * SECOND  # after a stop: the longest deadline, and the time that SIGTERM grants beyond it


@dataclass
class Verdict:
    """The result of a play."""

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
    """Lets one in `odds` calls of the catalogue fail, except the calls `without`."""
    faults = {call: ways for call, ways in FAULTS.items() if call not in without}
    return RandomFaults(seed, odds, faults)


def play(
    seed: int,
    source: FaultSource,
    conditions: Conditions = Conditions(),  # noqa: B008 - frozen
    *,
    before_start: Callable[[Scene], None] = lambda scene: None,
) -> Verdict:
    """Plays one seed and judges it. `before_start(scene)` is called first: tests plant their faults there."""
    verdict = Verdict(seed)
    gc.collect()  # closes descriptors that objects of earlier plays hold in reference cycles
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
        scene.errors.clear()  # the frames of their tracebacks hold sockets
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
    """Starts the gateway, again after a failure, as the program does; a failed start must leave nothing."""
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
    scene.loop.running = True  # so that the far ends go on and read what was sent last
    scene.run_for(RECOVERY_TIMEOUT)


def _check_recovery(scene: Scene) -> Iterator[Finding]:
    """Checks that a request of each class, each on a new connection, and messages of peers are delivered."""
    for host in scene.hosts:
        host.reliable = True
    requests = []
    peer_received = len(scene.peer.received)
    for number, request_class in enumerate(REQUEST_CLASSES, FIRST_RECOVERY_NUMBER):
        request = FarRequest(
            number, request_class, scene.clock.now, RECOVERY_TIMEOUT, idempotency_key=f"key-{number}"
        )
        scene.connect_client().send_request(request)
        requests.append(request)
    scene.run_for(RECOVERY_TIMEOUT)
    for request in requests:
        if [text for _, text in request.answers] != ["result"]:
            yield Finding(Check.RECOVERS, f"a {request.request_class} request got {request.answers}")
    if len(scene.peer.received) == peer_received:
        yield Finding(Check.PEERS_RECOVER, "it sends other gateways nothing any more")
    yield from _check_receives_peers(scene)


def _check_receives_peers(scene: Scene) -> Iterator[Finding]:
    datagrams, received = scene.process.peer_reports.datagrams, scene.peer_messages
    if datagrams is None:
        yield Finding(Check.PEERS_RECOVER, "it listens for other gateways no more")
        return
    for payload in scene.peer.received[-1:]:
        scene.peer.send(payload, datagrams.sock.getsockname())
    scene.run_for(PEER_ANSWER_TIME)
    if scene.peer_messages == received:
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
    """A few of the faults that still break one of the wanted checks.

    Parts of the list are left out in turn, first halves, then ever smaller parts, and stay out if a check
    still breaks without them.
    """

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
