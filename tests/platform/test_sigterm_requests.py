"""After SIGTERM clients keep sending until SIGKILL may arrive; each request gets exactly one final answer."""

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

REQUEST_INTERVAL = 20 * MILLI  # between two requests of a client
DEADLINES = (20, 100, 300, 3000, 10_000)  # ms


def settings_with_deadline(deadline):
    """The settings with this deadline in ms for every request class."""
    classes = [lane | {"aim": deadline / 4, "deadline": float(deadline)} for lane in SETTINGS["lanes"]]
    return SETTINGS | {"lanes": classes}


def kill_time(deadline):
    """The time from SIGTERM until SIGKILL may arrive, ns; `deadline`: ms."""
    return min(deadline * MILLI, MAX_COUNTED_DEADLINE) + KILL_GRACE


def terminate(gateway):
    """Begins the shutdown as SIGTERM does, and returns its time."""
    gateway.loop.running = True
    gateway.process.stop()
    return gateway.loop.now()


def refuses_connections(listen_address):
    """Whether a new connection is refused."""
    try:
        socket.create_connection(parse_address(listen_address)[1]).close()
    except ConnectionRefusedError:
        return True
    return False


@pytest.fixture
def restored_signals():
    """Restores the signal handlers after the test."""
    before = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)}
    yield
    signal.set_wakeup_fd(-1)
    for number, handler in before.items():
        signal.signal(number, handler)


@pytest.mark.parametrize("deadline", DEADLINES)
def test_connections_are_closed_after_the_last_clients_connect_and_well_before_sigkill(deadline):
    close_at, exit_at = shutdown_times([deadline * MILLI], 0, 0)
    assert 600 * MILLI < close_at < exit_at < kill_time(deadline)
    assert kill_time(deadline) - close_at >= 50 * MILLI
    assert exit_at - close_at >= 25 * MILLI


@pytest.mark.parametrize("hosts_hang", [False, True])
@pytest.mark.parametrize("deadline", DEADLINES)
def test_each_request_on_an_open_connection_is_answered_until_the_connection_is_closed(
    gate, deadline, hosts_hang
):
    gateway = gate(nothing if hosts_hang else None, clock=Handed(), settings=settings_with_deadline(deadline))
    client, sent_count = gateway.client(), 0
    client.ask(1, d=deadline)
    gateway.until(lambda: gateway.came())
    terminated_at = terminate(gateway)
    while not client.ended and gateway.loop.running:
        sent_count += 1
        method = ("fault-check", "repair-order")[sent_count % 2]
        client.ask(sent_count + 1, method, d=deadline)
        gateway.turns(4)
        gateway.clock.now += REQUEST_INTERVAL
    gateway.turns()
    numbers = [answer["id"] for answer in client.answers]
    open_time = gateway.process.shutdown.times.close_at - terminated_at
    assert sent_count >= open_time // REQUEST_INTERVAL
    assert client.ended
    assert not gateway.loop.running
    assert sorted(numbers) == list(range(1, len(numbers) + 1)), "each request has exactly one answer"
    assert len(numbers) >= sent_count, "only requests sent after the connection was closed have no answer"
    assert gateway.loop.now() - terminated_at < kill_time(deadline)
    served = sum("result" in answer for answer in client.answers)
    assert served == 0 if hosts_hang else served >= open_time // REQUEST_INTERVAL - 8


@pytest.mark.parametrize(
    ("method", "code"), [("fault-check", ErrorCode.REJECTED), ("repair-order", ErrorCode.FAILED)]
)
def test_a_request_to_a_hanging_host_is_answered_when_connections_are_closed(gate, method, code):
    gateway = gate(nothing, clock=Handed())
    client = gateway.client()
    terminated_at = terminate(gateway)
    gateway.passes(ACCEPT_TIME + SECOND)
    client.ask(1, method, d=2500)  # its deadline is after SIGKILL
    gateway.until(lambda: gateway.came())
    gateway.passes(gateway.process.shutdown.times.close_at - gateway.loop.now())
    assert [answer["error"]["code"] for answer in client.answers] == [code]
    gateway.passes(gateway.process.shutdown.times.exit_at - gateway.loop.now() - MILLI)
    assert not gateway.loop.running
    assert gateway.loop.now() - terminated_at < kill_time(3000)


def test_requests_unread_when_connections_are_closed_are_answered_first(gate):
    gateway = gate(clock=Handed())
    parked, busy = gateway.client(), gateway.client()
    parked.ask(1)
    gateway.until(lambda: parked.answers)
    gateway.passes(200 * MILLI)
    gateway.until(lambda: gateway.process.front.parked_count == 2)
    busy.ask(2)
    gateway.until(lambda: busy.answers)
    terminate(gateway)
    gateway.passes(ACCEPT_TIME)
    gateway.clock.now = gateway.process.shutdown.times.close_at
    for place, client in enumerate((parked, busy)):
        client.ask(10 + place)  # unread in the gateway's socket when it closes its connections
    gateway.process.front.stop()
    gateway.until(lambda: parked.ended and busy.ended)
    assert [client.answers[-1]["id"] for client in (parked, busy)] == [10, 11]
    assert all(client.answers[-1]["error"]["code"] == ErrorCode.REJECTED for client in (parked, busy))


@pytest.mark.parametrize("deadline", DEADLINES)
def test_new_connections_are_served_for_the_accept_time_and_refused_afterwards(gate, deadline):
    gateway = gate(clock=Handed(), settings=settings_with_deadline(deadline))
    terminated_at = terminate(gateway)
    parked = gateway.client()
    parked.ask(1, d=deadline)
    gateway.until(lambda: parked.answers)
    gateway.passes(600 * MILLI)
    late = gateway.client()
    late.ask(2, d=deadline)
    gateway.until(lambda: late.answers)
    assert "result" in late.answers[0]
    gateway.passes(min(ACCEPT_TIME, gateway.process.shutdown.times.close_at - terminated_at) - 600 * MILLI)
    assert refuses_connections(gateway.where)


def test_a_client_that_waits_to_be_accepted_at_the_connection_limit_is_answered_at_the_stop(gate):
    gateway, held_commands = holding(gate, sockets=70)
    front = gateway.process.front
    clients = [gateway.client() for _ in range(front.connections.admission.max_connections)]
    for number, client in enumerate(clients):
        client.ask(1, i=f"{number:016x}")
    gateway.until(lambda: len(front.active_connections) == len(clients))
    late = gateway.client()
    late.ask(1, i="f" * 16)
    gateway.turns()
    assert not late.answers
    assert front.connections.client_count == front.connections.admission.max_connections
    front.stop_accepting()
    assert front.listener.sock.fileno() >= 0  # the late client waits for room and is not reset
    front.stop()
    gateway.until(lambda: late.ended)
    assert codes(late)[0] == {1: ErrorCode.REJECTED}
    for stream, command in held_commands:
        gateway.hosts[0].serve(stream, command)


def test_the_process_exits_as_soon_as_the_last_connection_is_closed_and_not_before(gate):
    gateway = gate(clock=Handed())
    client = gateway.client()
    client.ask(1)
    gateway.until(lambda: client.answers)
    terminate(gateway)
    gateway.passes(ACCEPT_TIME)
    gateway.passes(SECOND)
    assert gateway.loop.running
    assert gateway.process.front.parked_count == 1
    client.stream.close()
    gateway.turns()
    assert not gateway.loop.running


def test_a_process_without_connections_exits_when_it_stops_accepting(gate):
    gateway = gate(clock=Handed())
    terminate(gateway)
    gateway.passes(ACCEPT_TIME - MILLI)
    assert gateway.loop.running
    gateway.passes(MILLI)
    assert not gateway.loop.running


@pytest.mark.parametrize("stall", [400 * MILLI, 10 * SECOND])
def test_shutdown_times_count_from_the_earliest_arrival_of_a_signal_in_a_stalled_turn(
    gate, restored_signals, monkeypatch, stall
):
    monkeypatch.setattr(
        "gaproute.loop.loop.MAX_ADMISSION_TIME", 0
    )  # one waiting client is accepted each turn
    gateway = gate(clock=Handed())
    gateway.process.handle_signals()
    clients = [gateway.client() for _ in range(20)]
    for number, client in enumerate(clients):
        client.ask(1, i=f"{number:016x}")
    gateway.until(lambda: all(client.answers for client in clients))
    gateway.passes(200 * MILLI)
    gateway.until(lambda: gateway.process.front.parked_count == len(clients))
    terminated_at = gateway.loop.now()
    os.kill(os.getpid(), signal.SIGTERM)
    for number, client in enumerate(clients):
        client.ask(2, i=f"{number + 100:016x}")
    gateway.clock.now += stall  # the process stalls, and reads everything afterwards
    stalled = gateway.loop.now()

    def time_passes():
        gateway.clock.now += MILLI
        gateway.loop.call_soon(time_passes)

    time_passes()
    gateway.loop.run()
    # The stall shows at the first timer that runs late; a sweep is due within this time.
    detection_time = 100 * MILLI
    assert gateway.process.shutdown.times.exit_at <= max(
        terminated_at + detection_time + kill_time(3000), stalled + 200 * MILLI
    )
    gateway.process.front.close()  # as the process does when it exits
    gateway.turns()
    assert all([answer["id"] for answer in client.answers] == [1, 2] for client in clients)


def test_sigterm_and_sighup_before_the_first_turn_reload_and_shut_down_gracefully(gate, restored_signals):
    """Both signals may arrive while the process starts."""
    gateway = gate(clock=Handed())
    gateway.process.handle_signals()
    gateway.configuration["changelog"] = "127.0.0.1:9"
    gateway.write()
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
        os.kill(os.getpid(), number)
    gateway.loop.running = True
    client = gateway.client()
    client.ask(1)
    gateway.until(lambda: client.answers)
    assert gateway.process.shutdown.has_begun
    assert gateway.process.configuration.changelog == "127.0.0.1:9"
    exit_at = gateway.process.shutdown.times.exit_at
    os.kill(os.getpid(), signal.SIGTERM)
    gateway.passes(gateway.process.shutdown.times.close_at - gateway.loop.now() - MILLI)
    client.ask(2)
    gateway.until(lambda: len(client.answers) == 2)
    assert "result" in client.answers[0]
    assert gateway.process.shutdown.times.exit_at == exit_at
    gateway.passes(exit_at - gateway.loop.now())
    assert not gateway.loop.running


@pytest.fixture
def no_collection():
    """Disables garbage collection in the test's process, whose pauses would distort the measured times."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


@pytest.mark.usefixtures("no_collection")
def test_a_process_answers_on_its_open_connections_after_sigterm_until_it_closes_them(tmp_path):
    """Runs the program with the real clock and deadlines of 0.3 s."""
    gateway = Gate(tmp_path, settings=settings_with_deadline(300))
    environment = os.environ | {
        "EDGE_NAME": "n1",
        "EDGE_LISTEN": "127.0.0.1:0",
        "EDGE_CONFIG": str(gateway.path),
    }
    command = [sys.executable, "-m", "gaproute.platform"]
    process = subprocess.Popen(command, env=environment, stderr=subprocess.PIPE)
    try:
        lines = [json.loads(process.stderr.readline()) for _ in range(2)]
        gateway.where = lines[-1]["listen_address"]
        client, sent_count = gateway.client(), 0
        gateway.until(lambda: client.stream is not None)
        process.send_signal(signal.SIGTERM)
        terminated_at = gateway.loop.now()
        while not client.ended and gateway.loop.now() < terminated_at + SECOND:
            sent_count += 1
            client.ask(sent_count, d=300)
            gateway.until(lambda sent_count=sent_count: client.ended or len(client.answers) == sent_count)
        open_time = gateway.loop.now() - terminated_at
        assert process.wait(5) == 0
        assert 600 * MILLI < open_time < kill_time(300)
        assert len(client.answers) >= sent_count - 1
    finally:
        process.kill()
        process.stderr.close()
        gateway.close()
