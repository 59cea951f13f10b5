"""SIGTERM: clients go on sending until SIGKILL may come, and each request gets its one final answer."""

import gc
import json
import os
import signal
import socket
import subprocess
import sys

import pytest
from request_scenarios import codes, holding
from scripted import MILLI, SECOND, SETTINGS, Gate, Handed, nothing

from gaproute.core.termination import KILL_GRACE, MAX_COUNTED_DEADLINE
from gaproute.fronts.jsonrpc.errors import ErrorCode
from gaproute.loop.addresses import parse_address
from gaproute.platform.shutdown import ACCEPT_TIME, shutdown_times

STEP = 20 * MILLI  # between two requests of a client
DEADLINES = (20, 100, 300, 3000, 10_000)  # ms


def lanes(deadline):
    """The settings with this deadline for every class; ms."""
    classes = [lane | {"aim": deadline / 4, "deadline": float(deadline)} for lane in SETTINGS["lanes"]]
    return SETTINGS | {"lanes": classes}


def killed(deadline):
    """When SIGKILL may come after SIGTERM; ns."""
    return min(deadline * MILLI, MAX_COUNTED_DEADLINE) + KILL_GRACE


def terminated(made):
    """SIGTERM is heeded now; when that was."""
    made.loop.running = True
    made.process.stop()
    return made.loop.now()


def refuses(where):
    """Whether a new connection is refused."""
    try:
        socket.create_connection(parse_address(where)[1]).close()
    except ConnectionRefusedError:
        return True
    return False


@pytest.fixture
def signals():
    """The signals' ways as they were before, after the test."""
    before = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)}
    yield
    signal.set_wakeup_fd(-1)
    for number, call in before.items():
        signal.signal(number, call)


@pytest.mark.parametrize("deadline", DEADLINES)
def test_connections_are_closed_after_the_last_clients_came_and_well_before_sigkill(deadline):
    closing, granted = shutdown_times([deadline * MILLI], 0, 0)
    assert 600 * MILLI < closing < granted < killed(deadline)
    assert killed(deadline) - closing >= 50 * MILLI
    assert granted - closing >= 25 * MILLI


@pytest.mark.parametrize("hangs", [False, True])
@pytest.mark.parametrize("deadline", DEADLINES)
def test_each_request_sent_on_an_open_connection_until_it_is_closed_is_answered(gate, deadline, hangs):
    made = gate(nothing if hangs else None, clock=Handed(), settings=lanes(deadline))
    client, asked = made.client(), 0
    client.ask(1, d=deadline)
    made.until(lambda: made.came())
    began = terminated(made)
    while not client.ended and made.loop.running:
        asked += 1
        method = ("fault-check", "repair-order")[asked % 2]
        client.ask(asked + 1, method, d=deadline)
        made.turns(4)
        made.clock.now += STEP
    made.turns()
    numbers = [each["id"] for each in client.answers]
    lasted = made.process.shutdown.times.close_at - began
    assert asked >= lasted // STEP
    assert client.ended
    assert not made.loop.running
    assert sorted(numbers) == list(range(1, len(numbers) + 1)), "one answer for each"
    assert len(numbers) >= asked, "only what was sent once the connection was closed has none"
    assert made.loop.now() - began < killed(deadline)
    served = sum("result" in each for each in client.answers)
    assert served == 0 if hangs else served >= lasted // STEP - 8


@pytest.mark.parametrize(
    ("method", "code"), [("fault-check", ErrorCode.REJECTED), ("repair-order", ErrorCode.FAILED)]
)
def test_hosts_that_hang_through_the_whole_shutdown_leave_each_class_its_answer(gate, method, code):
    made = gate(nothing, clock=Handed())
    client = made.client()
    began = terminated(made)
    made.passes(ACCEPT_TIME + SECOND)
    client.ask(1, method, d=2500)  # it would end after SIGKILL
    made.until(lambda: made.came())
    made.passes(made.process.shutdown.times.close_at - made.loop.now())
    assert [each["error"]["code"] for each in client.answers] == [code]
    made.passes(made.process.shutdown.times.exit_at - made.loop.now() - MILLI)
    assert not made.loop.running
    assert made.loop.now() - began < killed(3000)


def test_what_lies_unread_when_connections_are_closed_is_answered_first(gate):
    made = gate(clock=Handed())
    resting, busy = made.client(), made.client()
    resting.ask(1)
    made.until(lambda: resting.answers)
    made.passes(200 * MILLI)
    made.until(lambda: made.process.front.parked_count == 2)
    busy.ask(2)
    made.until(lambda: busy.answers)
    terminated(made)
    made.passes(ACCEPT_TIME)
    made.clock.now = made.process.shutdown.times.close_at
    for place, client in enumerate((resting, busy)):
        client.ask(10 + place)  # in the gateway's socket as it closes its connections
    made.process.front.stop()
    made.until(lambda: resting.ended and busy.ended)
    assert [client.answers[-1]["id"] for client in (resting, busy)] == [10, 11]
    assert all(client.answers[-1]["error"]["code"] == ErrorCode.REJECTED for client in (resting, busy))


@pytest.mark.parametrize("deadline", DEADLINES)
def test_new_connections_are_served_while_they_come_and_refused_at_connect_after_that(gate, deadline):
    made = gate(clock=Handed(), settings=lanes(deadline))
    began = terminated(made)
    resting = made.client()
    resting.ask(1, d=deadline)
    made.until(lambda: resting.answers)
    made.passes(600 * MILLI)
    late = made.client()
    late.ask(2, d=deadline)
    made.until(lambda: late.answers)
    assert "result" in late.answers[0]
    made.passes(min(ACCEPT_TIME, made.process.shutdown.times.close_at - began) - 600 * MILLI)
    assert refuses(made.where)


def test_a_full_house_at_work_at_the_end_answers_who_still_waits_to_be_accepted(gate):
    made, held = holding(gate, sockets=70)
    front = made.process.front
    clients = [made.client() for _ in range(front.connections.admission.max_connections)]
    for number, client in enumerate(clients):
        client.ask(1, i=f"{number:016x}")
    made.until(lambda: len(front.active_connections) == len(clients))
    late = made.client()
    late.ask(1, i="f" * 16)
    made.turns()
    assert not late.answers
    assert front.connections.client_count == front.connections.admission.max_connections
    front.stop_accepting()
    assert front.listener.sock.fileno() >= 0  # it waits for room, and is not reset
    front.stop()
    made.until(lambda: late.ended)
    assert codes(late)[0] == {1: ErrorCode.REJECTED}
    for each in held:
        made.hosts[0].serve(*each)


def test_the_process_leaves_as_soon_as_no_connection_is_left_and_not_before(gate):
    made = gate(clock=Handed())
    client = made.client()
    client.ask(1)
    made.until(lambda: client.answers)
    terminated(made)
    made.passes(ACCEPT_TIME)
    made.passes(SECOND)
    assert made.loop.running
    assert made.process.front.parked_count == 1
    client.stream.close()
    made.turns()
    assert not made.loop.running


def test_no_connection_at_all_leaves_the_process_once_nobody_new_is_accepted(gate):
    made = gate(clock=Handed())
    terminated(made)
    made.passes(ACCEPT_TIME - MILLI)
    assert made.loop.running
    made.passes(MILLI)
    assert not made.loop.running


@pytest.mark.parametrize("stall", [400 * MILLI, 10 * SECOND])
def test_a_signal_in_a_stalled_turn_counts_from_when_it_may_have_come(gate, signals, monkeypatch, stall):
    monkeypatch.setattr("gaproute.loop.loop.ADMISSION_TIME", 0)  # one of those who wait each turn
    made = gate(clock=Handed())
    made.process.handle_signals()
    clients = [made.client() for _ in range(20)]
    for number, client in enumerate(clients):
        client.ask(1, i=f"{number:016x}")
    made.until(lambda: all(client.answers for client in clients))
    made.passes(200 * MILLI)
    made.until(lambda: made.process.front.parked_count == len(clients))
    began = made.loop.now()
    os.kill(os.getpid(), signal.SIGTERM)
    for number, client in enumerate(clients):
        client.ask(2, i=f"{number + 100:016x}")
    made.clock.now += stall  # the process stands still, and reads all of it afterwards
    stalled = made.loop.now()

    def time_passes():
        made.clock.now += MILLI
        made.loop.call_soon(time_passes)

    time_passes()
    made.loop.run()
    late = 100 * MILLI  # a sweep is due by then: the first timer that shows the stall
    assert made.process.shutdown.times.exit_at <= max(began + late + killed(3000), stalled + 200 * MILLI)
    made.process.front.close()  # as the process does at its end
    made.turns()
    assert all([each["id"] for each in client.answers] == [1, 2] for client in clients)


def test_sigterm_with_sighup_before_the_first_turn_serves_on_and_leaves(gate, signals):
    """As where both come while the process starts."""
    made = gate(clock=Handed())
    made.process.handle_signals()
    made.configuration["changelog"] = "127.0.0.1:9"
    made.write()
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
        os.kill(os.getpid(), number)
    made.loop.running = True
    client = made.client()
    client.ask(1)
    made.until(lambda: client.answers)
    assert made.process.shutdown.begun
    assert made.process.configuration.changelog == "127.0.0.1:9"
    granted = made.process.shutdown.times.exit_at
    os.kill(os.getpid(), signal.SIGTERM)
    made.passes(made.process.shutdown.times.close_at - made.loop.now() - MILLI)
    client.ask(2)
    made.until(lambda: len(client.answers) == 2)
    assert "result" in client.answers[0]
    assert made.process.shutdown.times.exit_at == granted
    made.passes(granted - made.loop.now())
    assert not made.loop.running


@pytest.fixture
def no_collection():
    """No garbage collection of the test's own process, which would stall what it measures."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


@pytest.mark.usefixtures("no_collection")
def test_a_process_asked_to_stop_answers_on_its_open_connections_until_it_closes_them(tmp_path):
    """The program itself, on the machine's own clock, with deadlines of 0.3 s."""
    made = Gate(tmp_path, settings=lanes(300))
    environment = os.environ | {
        "EDGE_NAME": "n1",
        "EDGE_LISTEN": "127.0.0.1:0",
        "EDGE_CONFIG": str(made.path),
    }
    command = [sys.executable, "-m", "gaproute.platform"]
    process = subprocess.Popen(command, env=environment, stderr=subprocess.PIPE)
    try:
        lines = [json.loads(process.stderr.readline()) for _ in range(2)]
        made.where = lines[-1]["listen_address"]
        client, asked = made.client(), 0
        made.until(lambda: client.stream is not None)
        process.send_signal(signal.SIGTERM)
        began = made.loop.now()
        while not client.ended and made.loop.now() < began + SECOND:
            asked += 1
            client.ask(asked, d=300)
            made.until(lambda asked=asked: client.ended or len(client.answers) == asked)
        lasted = made.loop.now() - began
        assert process.wait(5) == 0
        assert 600 * MILLI < lasted < killed(300)
        assert len(client.answers) >= asked - 1
    finally:
        process.kill()
        process.stderr.close()
        made.close()
