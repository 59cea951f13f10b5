"""Handles the events of an instance, with one function for each type of line."""

from collections.abc import Callable
from typing import Any

from gaproute.benchlink import decoding, lines
from gaproute.benchlink.instance import Instance


def on_request(instance: Instance, now: int, line: lines.RequestReceived) -> None:
    """Starts a client's request."""
    instance.start_request(now, decoding.decode_request(line))


def on_attempt_ended(instance: Instance, now: int, line: lines.AttemptEnded) -> None:
    """Handles the outcome of an attempt; an unknown result is ignored."""
    outcome = decoding.decode_outcome(line, instance.results_with_request_count)
    if outcome is not None:
        instance.handle_outcome(now, outcome)


def on_stream_started(instance: Instance, now: int, line: lines.StreamStarted) -> None:
    """Handles the start of a streamed answer; the decisions account for the attempt when the stream ends."""
    instance.resume_generator(line.request, now, decoding.decode_stream_start(line))


def on_client_left(instance: Instance, now: int, line: lines.ClientLeft) -> None:
    """Ends a request whose client has left and needs no final answer."""
    instance.abandon_request(now, line.request)


def on_timer_fired(instance: Instance, now: int, line: lines.TimerFired) -> None:
    """Handles a timer that has fired."""
    instance.timer_fired(now, line.tag)


def on_probe_answered(instance: Instance, now: int, line: lines.ProbeAnswered) -> None:
    """Handles the answer to a health check."""
    report = decoding.decode_probe_report(line)
    instance.probe_answered(now, line.host, report, good=line.result == decoding.OK_RESULT)


def on_peer_message(instance: Instance, now: int, line: lines.PeerMessage) -> None:
    """Handles a message of another instance."""
    instance.gateway.peer_message_received(now, decoding.decode_payload(line))


def on_load_order_answered(instance: Instance, now: int, line: lines.LoadOrderAnswered) -> None:
    """Handles the answer to a load order."""
    result, copies = decoding.RESULTS.get(line.result), decoding.decode_integer(line.copies)
    instance.gateway.load_order_ended(now, line.host, line.function, result, copies)


EVENT_HANDLERS: dict[type, Callable[[Instance, int, Any], None]] = {
    lines.RequestReceived: on_request,
    lines.AttemptEnded: on_attempt_ended,
    lines.StreamStarted: on_stream_started,
    lines.ClientLeft: on_client_left,
    lines.TimerFired: on_timer_fired,
    lines.ProbeAnswered: on_probe_answered,
    lines.PeerMessage: on_peer_message,
    lines.LoadOrderAnswered: on_load_order_answered,
}
