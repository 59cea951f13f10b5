"""Judges a play by what the far ends saw and by what the gateway still holds when all is over.

Each check has a name, so that a planted fault can be shown to be caught by the check that it breaks.
"""

from __future__ import annotations

import traceback
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from gaproute.connections import AcceptedConnections
from gaproute.faultinjection.play.far_client import FarClient, FarRequest
from gaproute.faultinjection.play.far_host import NEVER_RAN_ANSWERS, ReceivedAttempt
from gaproute.faultinjection.play.scene import KEYED, NON_IDEMPOTENT, REPEAT_WINDOW, Scene
from gaproute.faultinjection.play.timeline import MILLI, SECOND
from gaproute.loop.addresses import address

PACKAGE = "faultinjection"  # frames of these files are not the gateway's
GRACE = 50 * MILLI  # by which an answer may be late
DEPARTURE_GRACE = 100 * MILLI  # after its client left, within which an attempt may still begin
ANSWERED_GRACE = 20 * MILLI  # the same after the final answer: for what was on its way
DEADLINE_SLACK = 150 * MILLI  # of the time limit that a host is sent
DRAIN_GRACE = 500 * MILLI  # after the gateway has received that a host drains
MAX_EVENT_DELAY = 4 * SECOND  # after which an event counts as received, even if its connection broke
PROBE_CONNECTIONS = 1  # connections to each host, by which an unused gateway goes on probing
MAY_HAVE_RUN_TEXT = "it may have run"  # in the reason of a final answer
# Timers of a gateway that nobody uses, each at most once.
STANDING_TIMERS = frozenset(
    (
        "Core._wait_elapsed",
        "ChangeLogWatcher.connect",
        "ChangeLogWatcher.check_silence",
        "JsonRpcFront._sweep",
        "ConnectionPool.sweep",
        "ParkedConnections._close_expired",
        "StatusLog.write",
    )
)


class Check(Enum):
    """What is held to."""

    ONE_ANSWER = "each request whose client stayed has exactly one final answer"
    IN_TIME = "the final answer comes before the deadline"
    NOT_TWICE = "nothing that may not be repeated runs twice"
    NOT_FOR_NOBODY = "nothing begins over 0.1 s after its client left"
    NOT_AFTER_ANSWER = "nothing begins after the final answer"
    TRIED_AGAIN = "what no host was sent does not end as what may have run"
    DEADLINE_SENT = "the deadline passed to a host is at most what the client has left"
    READABLE = "what the far ends are sent can be read"
    DRAINING_RESPECTED = "nothing goes to a host past the grace after it was reported draining"
    DESCRIPTORS = "no descriptor is left over"
    WATCHED = "no descriptor is watched for nobody"
    TIMERS = "no timer is left over"
    HELD = "no request, connection or attempt is held for nobody"
    NO_ERROR = "no error escapes"
    NO_SPIN = "the loop does not turn without end while nothing happens"
    RECOVERS = "service is back once the faults are over"
    PEERS_RECOVER = "gateways hear each other once the faults are over"
    STARTS = "the gateway starts although calls fail for a moment"
    STOPS = "the gateway stops within the time that SIGTERM grants"


@dataclass(frozen=True)
class Finding:
    """A check that did not hold."""

    check: Check
    text: str

    def __str__(self) -> str:
        return f"{self.check.name}: {self.text}"


# From the far ends


def mark_broken_requests(scene: Scene) -> None:
    """Marks the requests whose own connection an injected fault has broken, as the network would."""
    for client in scene.clients:
        if client.local_address in scene.faults.call_faults.broken_peers:
            for request in client.requests.values():
                request.broken_by_fault = True


def judge_far_ends(scene: Scene) -> Iterator[Finding]:
    """The five rules, from what clients, hosts and the change log saw."""
    mark_broken_requests(scene)
    attempts: dict[str, list[ReceivedAttempt]] = {}
    for host in scene.hosts:
        for attempt in host.attempts:
            attempts.setdefault(attempt.request_id, []).append(attempt)
    garbled = [data for client in scene.clients for data in client.garbled]
    garbled += [data for host in scene.hosts for data in host.garbled]
    for data in garbled:
        yield Finding(Check.READABLE, repr(data[:200]))
    for client in scene.clients:
        for answer in client.unmatched_answers:
            yield Finding(Check.ONE_ANSWER, f"an answer that nobody asked for: {answer}")
        for request in client.requests.values():
            begun = sorted(attempts.get(request.request_id, ()), key=lambda attempt: attempt.received_at)
            yield from _check_answers(client, request)
            yield from _check_attempts(request, begun)
            yield from _check_repeats(request, begun)
            if not begun:
                yield from _check_unsent(scene, request)
    yield from _check_draining(scene)


def _check_answers(client: FarClient, request: FarRequest) -> Iterator[Finding]:
    name = f"request {request.number} ({request.request_class})"
    if len(request.answers) > 1:
        yield Finding(Check.ONE_ANSWER, f"{name} has {len(request.answers)} answers: {request.answers}")
    if request.broken_by_fault or request.left_at is not None:
        return
    if not request.answers:
        how = "its connection was closed" if request.lost_at else f"nothing came on {client.local_address}"
        yield Finding(Check.ONE_ANSWER, f"{name} has no answer: {how}")
        return
    late = request.answers[0][0] - request.sent_at - request.timeout
    if late > GRACE:
        yield Finding(Check.IN_TIME, f"{name} was answered {late // MILLI} ms after its deadline")


def _check_attempts(request: FarRequest, attempts: list[ReceivedAttempt]) -> Iterator[Finding]:
    gone = min((at for at in (request.left_at, request.lost_at) if at is not None), default=None)
    for attempt in attempts:
        name = f"request {request.number} at {attempt.host}"
        if gone is not None and attempt.received_at > gone + DEPARTURE_GRACE:
            span = (attempt.received_at - gone) // MILLI
            yield Finding(Check.NOT_FOR_NOBODY, f"{name} began {span} ms after its client left")
        if request.answers and attempt.received_at > request.answers[0][0] + ANSWERED_GRACE:
            yield Finding(Check.NOT_AFTER_ANSWER, f"{name} began after the final answer")
        over = attempt.received_at + attempt.timeout - request.sent_at - request.timeout
        if over > DEADLINE_SLACK:
            yield Finding(Check.DEADLINE_SENT, f"{name} was sent {over // MILLI} ms too much")


def _check_repeats(request: FarRequest, attempts: list[ReceivedAttempt]) -> Iterator[Finding]:
    ran = [attempt for attempt in attempts if attempt.answer not in NEVER_RAN_ANSWERS]
    hosts = [attempt.host for attempt in ran]
    if request.request_class == NON_IDEMPOTENT and len(ran) > 1:
        yield Finding(Check.NOT_TWICE, f"request {request.number} ran at {hosts}")
    if (
        request.request_class == KEYED
        and ran
        and ran[-1].received_at > ran[0].received_at + REPEAT_WINDOW + ANSWERED_GRACE
    ):
        yield Finding(Check.NOT_TWICE, f"request {request.number} ran at {hosts}, the last past its window")


def _check_unsent(scene: Scene, request: FarRequest) -> Iterator[Finding]:
    """A command that was cut short may have been this one's: the host cannot tell."""
    for at, text in request.answers:
        cut = [when for host in scene.hosts for when in host.cut_short if request.sent_at <= when <= at]
        if MAY_HAVE_RUN_TEXT in text and not cut:
            yield Finding(Check.TRIED_AGAIN, f"request {request.number} ({request.request_class}): {text}")


def _check_draining(scene: Scene) -> Iterator[Finding]:
    broken = address(scene.change_log.address)[1] in scene.faults.call_faults.broken_peers
    for host in scene.hosts:
        begun = [attempt.received_at for attempt in host.attempts] + host.load_orders
        for start, end in _draining_periods(scene, host.name, broken=broken):
            late = [at for at in begun if start + DRAIN_GRACE < at < end]
            if late:
                span = (late[0] - start) // MILLI
                yield Finding(Check.DRAINING_RESPECTED, f"{host.name} was sent to {span} ms after it drained")


def _draining_periods(scene: Scene, host: str, *, broken: bool) -> Iterator[tuple[int, int]]:
    """From when to when the gateway knew that the host drains."""
    start = None
    for published, _ in scene.change_log.events:
        phase = published.phases.get(host)
        if phase == "Terminating":
            sure = published.first_sent_at if published.first_sent_at is not None and not broken else None
            start = sure if sure is not None else published.published_at + MAX_EVENT_DELAY
        elif phase is not None and start is not None:
            yield start, published.published_at
            start = None
    if start is not None:
        yield start, scene.clock.now


# From what the gateway holds


def judge_idle_gateway(scene: Scene) -> Iterator[Finding]:
    """Of a gateway that runs and that nobody has used for a while."""
    core, front, connections = scene.process.core, scene.process.front, AcceptedConnections.of(scene.loop)
    held = {
        "requests": len(core.in_flight) + len(core.generators),
        "open ids": len(front.open_request_ids),
        "clients' connections": front.connection_count + connections.client_count + connections.parked_count,
        "streams that close": len(scene.loop.closing_streams),
    }
    for host in scene.process.hosts.hosts.values():
        held[f"connections to {host.name} beside its probes'"] = max(
            0, len(host.connections) - PROBE_CONNECTIONS
        )
    for name, count in held.items():
        if count:
            yield Finding(Check.HELD, f"{name}: {count}")
    timers = scene.live_timers()
    extra = [name for name in timers if name not in STANDING_TIMERS or timers.count(name) > 1]
    if extra:
        yield Finding(Check.TIMERS, f"{extra}")
    yield from _check_watched(scene)
    unknown = scene.unaccounted_descriptors()
    if unknown:
        yield Finding(Check.DESCRIPTORS, f"{len(unknown)} open that belong to nobody")


def _check_watched(scene: Scene) -> Iterator[Finding]:
    process = scene.process
    wanted = {process.front.listener.sock.fileno()}
    if process.peers.datagrams is not None:
        wanted.add(process.peers.datagrams.sock.fileno())
    if process.host_list.watcher.stream is not None:
        wanted.add(process.host_list.watcher.stream.fd)
    for host in process.hosts.hosts.values():
        wanted |= {link.stream.fd for link in host.connections if link.stream is not None}
    watched = set(scene.loop.watched)
    if watched - wanted:
        yield Finding(Check.WATCHED, f"{len(watched - wanted)} for nobody")


def judge_errors(scene: Scene) -> Iterator[Finding]:
    """Errors that escaped a callback or a turn of the loop, each kind of them once."""
    for text in dict.fromkeys(map(_describe, scene.errors)):
        yield Finding(Check.NO_ERROR, text)


def _describe(error: BaseException) -> str:
    """The error and the way to it through the gateway, the innermost call last."""
    frames = [frame for frame in traceback.extract_tb(error.__traceback__) if PACKAGE not in frame.filename]
    way = " > ".join(f"{Path(frame.filename).name}:{frame.lineno} {frame.name}" for frame in frames)
    return f"{error!r} by {way}"
