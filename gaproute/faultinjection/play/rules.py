"""Judges a play by what the far ends saw, and by what the gateway still holds at the end."""

from __future__ import annotations

import traceback
from collections.abc import Iterator
from pathlib import Path

from gaproute.connections import AcceptedConnections
from gaproute.faultinjection.play.far_client import FarClient, FarRequest
from gaproute.faultinjection.play.far_host import NEVER_RAN_ANSWERS, FarHost, ReceivedAttempt
from gaproute.faultinjection.play.findings import Check, Finding
from gaproute.faultinjection.play.scene import KEYED, NON_IDEMPOTENT, REPEAT_WINDOW, Scene
from gaproute.loop.addresses import parse_address
from gaproute.units import MILLI, SECOND

PACKAGE = "faultinjection"  # files of these frames are not the gateway's
GRACE = 50 * MILLI  # by which an answer may be late
DEPARTURE_GRACE = 100 * MILLI  # after its client has left, within which an attempt may still begin
ANSWERED_GRACE = 20 * MILLI  # the same after the final answer: the attempt was on its way to the host
DEADLINE_SLACK = 150 * MILLI  # by which the timeout that a host is sent may go beyond the client's
DRAIN_GRACE = 500 * MILLI  # after the gateway has learned that a host drains
MAX_EVENT_DELAY = 4 * SECOND  # within which an event reaches the gateway, even if its connection breaks
PROBE_CONNECTIONS = 1  # which a gateway without requests keeps to each host, for its probes
MAY_HAVE_RUN_TEXT = "it may have run"  # in the text of a final answer
MAX_SHOWN = 200  # bytes of garbled data in a finding
# The timers of a gateway without requests; there may be one of each
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


# What the far ends saw


def mark_broken_requests(scene: Scene) -> None:
    """Marks the requests whose connection an injected fault has broken: they need no answer."""
    for client in scene.clients:
        if client.local_address in scene.faults.call_faults.broken_peers:
            for request in client.requests.values():
                request.broken_by_fault = True


def judge_far_ends(scene: Scene) -> Iterator[Finding]:
    """Judges what clients, hosts and the change log saw."""
    mark_broken_requests(scene)
    attempts = _attempts_by_request(scene)
    yield from _check_readable(scene)
    for client in scene.clients:
        for answer in client.unmatched_answers:
            yield Finding(Check.ONE_ANSWER, f"an answer that nobody asked for: {answer}")
        for request in client.requests.values():
            received = attempts.get(request.request_id, [])
            yield from _check_answers(client, request)
            yield from _check_attempts(request, received)
            yield from _check_repeats(request, received)
            if not received:
                yield from _check_unsent(scene, request)
    yield from _check_draining(scene)


def _attempts_by_request(scene: Scene) -> dict[str, list[ReceivedAttempt]]:
    """The attempts of each request at all hosts, in the order in which they were received."""
    attempts: dict[str, list[ReceivedAttempt]] = {}
    for host in scene.hosts:
        for attempt in host.attempts:
            attempts.setdefault(attempt.request_id, []).append(attempt)
    for received in attempts.values():
        received.sort(key=lambda attempt: attempt.received_at)
    return attempts


def _check_readable(scene: Scene) -> Iterator[Finding]:
    far_ends: list[FarClient | FarHost] = [*scene.clients, *scene.hosts]
    for far_end in far_ends:
        for data in far_end.garbled:
            yield Finding(Check.READABLE, repr(data[:MAX_SHOWN]))


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
    answered_at, _ = request.answers[0]
    late = answered_at - request.sent_at - request.timeout
    if late > GRACE:
        yield Finding(Check.IN_TIME, f"{name} was answered {late // MILLI} ms after its deadline")


def _check_attempts(request: FarRequest, attempts: list[ReceivedAttempt]) -> Iterator[Finding]:
    gone_at = min((at for at in (request.left_at, request.lost_at) if at is not None), default=None)
    for attempt in attempts:
        name = f"request {request.number} at {attempt.host}"
        if gone_at is not None and attempt.received_at > gone_at + DEPARTURE_GRACE:
            span = (attempt.received_at - gone_at) // MILLI
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
    if request.request_class == KEYED and ran:
        window_end = ran[0].received_at + REPEAT_WINDOW
        if ran[-1].received_at > window_end + ANSWERED_GRACE:
            text = f"request {request.number} ran at {hosts}, the last past its window"
            yield Finding(Check.NOT_TWICE, text)


def _check_unsent(scene: Scene, request: FarRequest) -> Iterator[Finding]:
    """Checks the answers to a request that no host has received completely.

    A command that was cut short at a host may have been that request, which the gateway has to assume, too.
    """
    for answered_at, text in request.answers:
        cut_short = any(request.sent_at <= at <= answered_at for host in scene.hosts for at in host.cut_short)
        if MAY_HAVE_RUN_TEXT in text and not cut_short:
            yield Finding(Check.TRIED_AGAIN, f"request {request.number} ({request.request_class}): {text}")


def _check_draining(scene: Scene) -> Iterator[Finding]:
    change_log = parse_address(scene.change_log.address).target
    broken = change_log in scene.faults.call_faults.broken_peers
    for host in scene.hosts:
        begun = [attempt.received_at for attempt in host.attempts] + host.load_orders
        for start, end in _draining_periods(scene, host.name, broken=broken):
            late = [at for at in begun if start + DRAIN_GRACE < at < end]
            if late:
                span = (late[0] - start) // MILLI
                yield Finding(Check.DRAINING_RESPECTED, f"{host.name} was sent to {span} ms after it drained")


def _draining_periods(scene: Scene, host: str, *, broken: bool) -> Iterator[tuple[int, int]]:
    """The periods (start, end) in which the gateway knew that the host drains.

    `broken`: whether a fault has broken a connection to the change log. An event may then have been lost
    after it was sent, and counts as received only when it must have been sent again.
    """
    start = None
    for published, _ in scene.change_log.events:
        phase = published.phases.get(host)
        if phase == "Terminating":
            if published.first_sent_at is None or broken:
                start = published.published_at + MAX_EVENT_DELAY
            else:
                start = published.first_sent_at
        elif phase is not None and start is not None:
            yield start, published.published_at
            start = None
    if start is not None:
        yield start, scene.clock.now


# What the gateway holds


def judge_idle_gateway(scene: Scene) -> Iterator[Finding]:
    """Judges a gateway that runs and has had no requests for a while."""
    for name, count in _held(scene).items():
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


def _held(scene: Scene) -> dict[str, int]:
    """How much of each kind the gateway holds, beyond what it needs without requests."""
    core, front, connections = scene.process.core, scene.front, AcceptedConnections.for_loop(scene.loop)
    held = {
        "requests": len(core.in_flight) + len(core.generators),
        "open ids": len(front.admission.open_ids),
        "clients' connections": front.connection_count + connections.client_count + connections.parked_count,
        "streams that close": len(scene.loop.closing_streams),
    }
    for host in scene.process.host_client.hosts.values():
        extra = max(0, len(host.connections) - PROBE_CONNECTIONS)
        held[f"connections to {host.name} beside its probes'"] = extra
    return held


def _check_watched(scene: Scene) -> Iterator[Finding]:
    process = scene.process
    wanted = {scene.front.listener.sock.fileno()}
    if process.peer_reports.datagrams is not None:
        wanted.add(process.peer_reports.datagrams.sock.fileno())
    watcher = process.host_list.watcher
    if watcher is not None and watcher.stream is not None:
        wanted.add(watcher.stream.fd)
    for host in process.host_client.hosts.values():
        wanted |= {link.stream.fd for link in host.connections if link.stream is not None}
    watched = set(scene.loop.watched)
    if watched - wanted:
        yield Finding(Check.WATCHED, f"{len(watched - wanted)} for nobody")


def judge_errors(scene: Scene) -> Iterator[Finding]:
    """Judges the errors that escaped a callback or a turn of the loop; equal ones are one finding."""
    for text in dict.fromkeys(map(_describe, scene.errors)):
        yield Finding(Check.NO_ERROR, text)


def _describe(error: BaseException) -> str:
    """The error, and the calls in the gateway that led to it, the innermost last."""
    frames = [frame for frame in traceback.extract_tb(error.__traceback__) if PACKAGE not in frame.filename]
    way = " > ".join(f"{Path(frame.filename).name}:{frame.lineno} {frame.name}" for frame in frames)
    return f"{error!r} by {way}"
