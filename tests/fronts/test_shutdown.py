"""The end of the process: what clients still get from SIGTERM to the exit."""

import os
import signal

import pytest
from scripted import MILLI, SECOND, SETTINGS, Handed, nothing

from gaproute.fronts.jsonrpc import connection as connections
from gaproute.fronts.jsonrpc.errors import ErrorCode
from gaproute.loop.streams import CLOSE_WAIT
from gaproute.platform.shutdown import ACCEPT_TIME


def stopped(made):
    """SIGTERM, and all but the last moment in which clients still come; whether the process has ended."""
    made.loop.running = True
    made.process.stop()
    made.passes(ACCEPT_TIME - MILLI)
    return lambda: not made.loop.running


def spoken(client, number):
    """The bytes of a request that the client is still to send."""
    said, client.send = [], lambda data: said.append(data)
    client.ask(number)
    del client.send
    return said[0]


def at_closing(made):
    """The open connections are closed from now on."""
    made.passes(made.process.shutdown.times.close_at - made.loop.now())
    assert made.process.front.stopping


@pytest.mark.parametrize("closes", [True, False])
def test_the_process_ends_when_its_last_answer_is_taken_and_no_sooner(gate, closes, monkeypatch):
    monkeypatch.setattr(
        "fcntl.ioctl", lambda *arguments: bytes(4)
    )  # acknowledged, as far as the kernel knows
    held = []
    made = gate(lambda *arguments: arguments[1]["type"] == "go" and held.append(arguments), clock=Handed())
    client = made.client()
    client.ask(1)
    made.until(lambda: held)
    client.stream.on_half_close = lambda: None  # reads the end of sending, and closes when the test says so
    ended = stopped(made)
    made.passes(MILLI)
    made.hosts[0].serve(*held[0])
    made.until(lambda: client.answers)
    made.passes(CLOSE_WAIT + MILLI)
    assert "result" in client.answers[0]
    assert not ended()
    assert not client.ended
    made.passes(made.process.shutdown.times.close_at - made.loop.now() - 30 * MILLI)
    client.ask(2)
    made.until(lambda: len(held) == 2)
    at_closing(made)
    assert client.answers[1]["error"]["code"] == ErrorCode.REJECTED
    made.passes(made.process.shutdown.times.exit_at - made.loop.now() - MILLI)
    assert not ended()
    if closes:
        client.stream.close()
        made.turns()
    else:
        made.passes(2 * MILLI)  # it has the answer and holds on: left to the kernel
    assert ended()


def test_what_only_waits_to_be_taken_gets_no_more_time_than_is_granted(gate, monkeypatch):
    monkeypatch.setattr(
        connections.ClientConnection, "check_progress", lambda link, now: None
    )  # no deaf client's end before
    made = gate(clock=Handed())
    client = made.client()
    client.ask(1)
    made.until(lambda: client.answers)
    (link,) = made.process.front.active_connections
    ended = stopped(made)
    monkeypatch.setattr(link.stream.__class__, "_send", lambda stream, data: 0)
    link.stream.outgoing, link.stream.bytes_unsent = [b"x"], 1  # as where the client's window is shut
    made.passes(MILLI)
    made.passes(made.process.shutdown.times.exit_at - made.loop.now() - MILLI)
    assert not ended()
    assert made.process.front.connection_count == 1
    made.passes(MILLI)
    assert ended()
    assert made.process.shutdown.times.exit_at < made.loop.now() + SECOND


def test_half_a_message_at_the_stop_is_answered_when_whole_and_ended_where_it_is_not(gate):
    made = gate(clock=Handed())
    whole, never = made.client(), made.client()
    for client in (whole, never):
        client.ask(1, i=f"{len(made.process.front.active_connections) + 1:016x}")
        made.until(lambda client=client: client.answers)
    ended = stopped(made)
    made.passes(MILLI)
    made.passes(made.process.shutdown.times.close_at - made.loop.now() - MILLI)
    said = spoken(whole, 2)
    whole.send(said[:40])
    never.send(said[:40])
    made.until(lambda: sum(link.reader.mid_message for link in made.process.front.active_connections) == 2)
    at_closing(made)
    assert not ended()
    whole.send(said[40:])
    made.turns()
    assert whole.answers[1]["error"]["code"] == ErrorCode.REJECTED
    assert whole.ended
    assert not never.ended
    made.passes(made.process.shutdown.times.exit_at - made.loop.now())
    assert ended()
    assert made.process.front.connection_count == 1
    made.process.front.close()
    made.until(lambda: never.ended)


def test_who_waits_in_the_kernels_queue_at_the_stop_is_answered_though_the_house_is_full(gate):
    made = gate(sockets=70, clock=Handed())
    front = made.process.front
    rest = [made.client() for _ in range(front.connections.admission.max_connections)]
    for place, client in enumerate(rest):
        client.ask(1, i=f"{place:016x}")
    made.until(lambda: all(client.answers for client in rest))
    made.passes(200 * MILLI)
    made.until(lambda: front.parked == len(rest))
    ended = stopped(made)
    late = [made.client() for _ in range(2)]
    made.loop.unwatch(front.listener.sock.fileno())
    made.turns()
    for place, client in enumerate(late):
        client.ask(1, i=f"{place + 1000:016x}")
    made.turns()
    made.passes(MILLI)
    made.until(lambda: all(client.answers for client in late))
    assert ["result" in client.answers[0] for client in late] == [True, True]
    assert sum(client.ended for client in rest) == len(late)
    assert not ended()
    at_closing(made)
    made.until(ended)
    assert all(client.ended for client in rest + late)


def test_a_request_after_sigterm_is_ended_by_its_class_before_sigkill_though_its_deadline_is_longer(gate):
    lanes = [lane | {"deadline": 10_000.0} for lane in SETTINGS["lanes"]]
    made = gate(nothing, clock=Handed(), settings=SETTINGS | {"lanes": lanes})
    began = made.loop.now()
    ended = stopped(made)
    client = made.client()
    client.ask(1, d=9000)
    client.ask(2, "repair-order", d=9000)
    made.until(lambda: len(made.process.core.in_flight) == 2)
    while not ended():
        made.passes(20 * MILLI)
    codes = {each["id"]: each["error"]["code"] for each in client.answers}
    assert codes == {1: ErrorCode.REJECTED, 2: ErrorCode.FAILED}
    assert made.loop.now() - began <= 3700 * MILLI


@pytest.mark.parametrize("open_before", [False, True])
def test_a_request_that_lies_unread_when_its_connection_would_close_is_answered(gate, open_before):
    held = []
    made = gate(lambda *arguments: arguments[1]["type"] == "go" and held.append(arguments), clock=Handed())
    client = made.client()
    client.ask(1)
    made.until(lambda: held)
    if not open_before:
        made.hosts[0].serve(*held[0])
        made.until(lambda: client.answers)
    (link,) = made.process.front.active_connections
    client.ask(2)  # in the gateway's socket, not read by it
    made.process.front.stop()
    if open_before:
        link.open_requests.clear()  # as where the first is answered in this very turn
        link.close_if_finished()
    made.until(lambda: client.ended)
    assert client.answers[-1]["id"] == 2
    assert client.answers[-1]["error"]["code"] == ErrorCode.REJECTED


def test_signals_that_come_together_are_all_heeded_and_a_second_sigterm_changes_nothing(gate):
    made = gate(clock=Handed(), known={"seq": 0, "results": []})  # nothing was ever listed
    before = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)}
    made.process.reload = lambda: 1 / 0
    try:
        made.process.handle_signals()
        client = made.client()
        client.ask(1)
        made.until(lambda: made.process.core.in_flight or client.answers)
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM):
            os.kill(os.getpid(), number)
        made.loop.running = True
        made.until(lambda: made.process.shutdown.has_begun)
        granted = made.process.shutdown.times.exit_at
        made.clock.now += 100 * MILLI
        os.kill(os.getpid(), signal.SIGTERM)
        made.turns()
        for _ in range(40):
            made.passes(100 * MILLI)
        assert made.process.shutdown.times.exit_at == granted
        assert not made.loop.running
        assert "error" in client.answers[0]
    finally:
        signal.set_wakeup_fd(-1)
        for number, call in before.items():
            signal.signal(number, call)
