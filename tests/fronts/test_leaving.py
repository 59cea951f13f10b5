"""Crossings at the platform's front: a client's leaving, a connection's close and the end of the process."""

import errno
import os
import resource
import signal
import socket

import pytest
from scripted import MILLI, SECOND, SETTINGS, Handed, half_close, nothing

from gaproute.decisions.admission.admission import EVICTIONS_PER_SHORTAGE
from gaproute.decisions.connections.descriptor_shares import PROCESS_DESCRIPTORS
from gaproute.fronts.jsonrpc import connection as connections
from gaproute.fronts.jsonrpc import front as fronts
from gaproute.fronts.jsonrpc.errors import ErrorCode
from gaproute.loop import connect
from gaproute.loop.addresses import address
from gaproute.loop.dialing import FIRST_DIAL_PAUSE
from gaproute.loop.streams import CLOSE_WAIT
from gaproute.platform.reload import READ_BACKOFF
from gaproute.platform.shutdown import ACCEPT_TIME
from gaproute.platform.status import STATUS_INTERVAL


def test_a_client_that_takes_no_answers_is_seen_to_leave_though_nothing_is_read(gate):
    made = gate(nothing)
    client = made.client()
    client.ask(1)
    made.until(lambda: made.came())
    (link,) = made.process.front.active_connections
    link.stream.pause()
    half_close(client.stream)
    made.until(lambda: not made.process.core.in_flight)
    assert not made.process.front.active_connections
    assert not made.process.front.open_request_ids


def test_connections_that_say_farewell_count_and_make_room_in_a_full_house(gate):
    made = gate(sockets=70, clock=Handed())
    connections = made.process.front.connections
    deaf = [
        socket.create_connection(address(made.where)[1]) for _ in range(connections.admission.max_connections)
    ]
    for each in deaf:  # an error is owed to each, and none of them closes then
        each.sendall(b"noise" * 200)
    made.until(lambda: len(made.loop.closing_streams) == len(deaf))
    # The kernel may take 40 ms.
    made.until(lambda: all(stream.is_acknowledged() for stream in made.loop.closing_streams))
    late = made.client()
    late.ask(1)
    made.turns()
    assert connections.client_count == connections.admission.max_connections
    assert not late.answers
    made.passes(110 * MILLI)
    made.passes(20 * MILLI)
    made.until(lambda: late.answers)
    assert "result" in late.answers[0]
    assert (
        connections.client_count
        == connections.admission.max_connections
        == len(made.loop.closing_streams) + 1
    )
    for each in deaf:
        each.close()


@pytest.mark.parametrize("at_work", [False, True])
def test_nothing_begins_for_a_request_whose_client_has_closed_behind_it(gate, at_work):
    """Also where it waited at admission meanwhile: a parked connection that spoke."""
    made = gate(clock=Handed())
    client = made.client()
    if at_work:
        client.ask(1)
        made.until(lambda: client.answers)
    else:
        made.until(lambda: made.process.front.parked)
    client.ask(2)
    half_close(client.stream)
    made.until(lambda: not made.process.front.connection_count)
    made.turns()
    assert made.came() == at_work == made.process.core.submitted
    assert not made.process.front.open_request_ids


@pytest.mark.parametrize(
    ("abort", "answered", "relayed"),
    [
        ({"id": 2}, [3], 1),
        ({"i": f"{2:016x}"}, [3], 1),  # neither begun nor answered
        ({"id": 9}, [2, 3], 2),
        ({"id": None}, [2, 3], 2),
    ],
)
def test_an_abort_takes_back_a_request_that_came_in_the_same_read(gate, abort, answered, relayed):
    made = gate()
    client = made.client()
    client.ask(1)  # a connection to the host stands then
    made.until(lambda: client.answers)
    client.answers.clear()
    client.message({"jsonrpc": "2.0", "method": "abort", "params": abort})  # before it: names nothing
    client.ask(2)
    for _ in range(2):
        client.message({"jsonrpc": "2.0", "method": "abort", "params": abort})
    client.ask(3)
    made.until(lambda: len(client.answers) == len(answered))
    made.turns()
    assert sorted(each["id"] for each in client.answers) == answered
    assert made.came() == 1 + relayed
    assert made.process.front.protocol_errors == 0
    assert not made.process.core.in_flight


def test_an_abort_reaches_no_request_of_another_connection_and_a_second_one_nothing(gate):
    held = []
    made = gate(lambda *arguments: arguments[1]["type"] == "go" and held.append(arguments))
    one, other = made.client(), made.client()
    one.ask(1)
    other.ask(1, i="f" * 16)
    made.until(lambda: len(held) == 2)
    for named in ("f" * 16, f"{1:016x}", f"{1:016x}"):  # of the other's; its own; its own again
        one.message({"jsonrpc": "2.0", "method": "abort", "params": {"i": named}})
    made.until(lambda: made.hosts[0].seen("halt"))
    for each in held:
        made.hosts[0].serve(*each)
    made.until(lambda: other.answers)
    made.turns()
    assert "result" in other.answers[0]
    assert one.answers == []
    assert len(made.hosts[0].seen("halt")) == 1


# Those who take more than their share


def raw(made, data):
    """A client that sends until the socket takes no more, and reads nothing."""
    made_one = socket.create_connection(address(made.where)[1])
    made_one.setblocking(False)
    made_one.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 16)
    made.turns(3)

    left = [data]

    def push():
        try:
            while True:
                left[0] = left[0][made_one.send(left[0]) :] or data
        except (BlockingIOError, ConnectionError):
            pass

    return made_one, push


def test_floods_of_pings_and_of_bad_messages_and_silent_ones_are_bounded_and_others_are_served(gate):
    made = gate(clock=Handed())
    silent = [made.client() for _ in range(60)]
    ping = b'{"jsonrpc":"2.0","id":1,"method":"ping"}'
    pings, flood = raw(made, b"Content-Length: %d\r\n\r\n%b" % (len(ping), ping) * 2000)
    bad, spoil = raw(made, b"Content-Length: 2\r\n\r\n[]" * 200)
    heaviest = 0
    for _ in range(300):
        flood()
        spoil()
        made.turns(2)
        heaviest = max([heaviest, *[link.buffered_bytes() for link in made.process.front.active_connections]])
    served = made.client()
    served.ask(1)
    made.until(lambda: served.answers)
    front = made.process.front
    assert "result" in served.answers[0]
    assert heaviest < 3 * connections.MAX_UNTAKEN
    assert front.protocol_errors == connections.MAX_PROTOCOL_ERRORS
    made.passes(
        fronts.FIRST_MESSAGE_TIMEOUT + 100 * MILLI
    )  # who said nothing, and who takes nothing, is gone
    made.passes(fronts.SWEEP_INTERVAL)
    assert all(client.ended for client in silent)
    assert front.unresponsive == 1
    assert front.connection_count <= 1
    pings.close()
    bad.close()


def test_what_all_clients_together_may_hold_is_bounded_and_the_heaviest_goes_first(gate, monkeypatch):
    monkeypatch.setattr(fronts, "MAX_BUFFERED", 60_000)
    made = gate(clock=Handed())
    clients = [made.client() for _ in range(3)]
    for client, size in zip(clients, (10_000, 40_000, 20_000), strict=True):
        client.send(b"Content-Length: 45000\r\n\r\n" + b"x" * size)
    made.until(lambda: sum(link.buffered_bytes() for link in made.process.front.active_connections) == 70_000)
    made.passes(fronts.SWEEP_INTERVAL)
    assert [client.ended for client in clients] == [False, True, False]


def test_an_error_over_one_connection_ends_neither_the_looks_nor_the_stop(gate, monkeypatch):
    made = gate(clock=Handed())
    spoilt, half = made.client(), made.client()
    for client in (spoilt, half):
        client.send(b"Content-Length: 50\r\n\r\nhalf")
    made.until(lambda: len(made.process.front.active_connections) == 2)
    first, look = (
        next(iter(made.process.front.active_connections)),
        connections.ClientConnection.check_progress,
    )
    monkeypatch.setattr(
        connections.ClientConnection,
        "check_progress",
        lambda link, now: 1 / 0 if link is first else look(link, now),
    )
    made.passes(connections.PROGRESS_TIMEOUT)
    made.passes(fronts.SWEEP_INTERVAL)
    assert spoilt.ended + half.ended == 1
    assert made.process.front.connection_count == 1
    made.loop.running = True
    monkeypatch.setattr(made.process.front, "stop", lambda: 1 / 0)
    made.process.stop()
    made.passes(ACCEPT_TIME)
    made.passes(made.process.shutdown.times.exit_at - made.loop.now())
    assert not made.loop.running
    assert dict(made.lines)["unhandled_exception"]


# The end of the process


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
        made.until(lambda: made.process.shutdown.begun)
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


# Descriptors


@pytest.fixture
def exhausted():
    """A call that leaves no descriptor to be had, and one that gives them back."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)

    def take():
        free = os.dup(0)
        os.close(free)
        resource.setrlimit(resource.RLIMIT_NOFILE, (free, hard))

    def give():
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

    yield take, give
    give()


def test_without_descriptors_a_reload_is_not_lost_the_status_goes_on_and_the_oldest_idle_go(gate, exhausted):
    take, give = exhausted
    made = gate(clock=Handed())
    clients = []
    for _ in range(EVICTIONS_PER_SHORTAGE + 2):  # each idle for a little longer than the next
        clients.append(made.client())
        made.turns(5)
        made.passes(10 * MILLI)
    made.passes(100 * MILLI)
    made.configuration["changelog"] = "127.0.0.1:9"
    made.write()
    take()
    made.process.status.write()
    made.process.reload()
    made.turns()
    give()
    assert [what for what, _ in made.lines[-2:]] == ["status", "configuration_read_failed"]
    assert made.lines[-2][1]["open_descriptors"] is made.lines[-2][1]["resident_memory_mb"] is None
    assert [client.ended for client in clients] == [True] * EVICTIONS_PER_SHORTAGE + [False] * 2
    made.passes(READ_BACKOFF + MILLI)
    assert made.lines[-1][0] == "configuration_reloaded"
    assert made.process.host_list.watcher.address == address("127.0.0.1:9")
    made.passes(STATUS_INTERVAL)
    assert [what for what, _ in made.lines].count("status") == 4  # both go on


def test_a_dial_that_finds_no_descriptor_twice_makes_room_and_is_dialled_in_it(gate, exhausted):
    take, give = exhausted
    made = gate(clock=Handed())
    idle, dialed = made.client(), []
    made.turns()
    made.passes(110 * MILLI)
    take()
    connect(
        made.loop, address(made.hosts[0].address), SECOND, lambda sock, error: dialed.append((sock, error))
    )
    made.turns()
    assert not dialed
    assert not idle.ended
    made.passes(FIRST_DIAL_PAUSE)
    made.passes(2 * FIRST_DIAL_PAUSE)
    give()
    made.until(lambda: dialed and idle.ended)
    sock, error = dialed[0]
    assert error is None
    sock.close()


def test_a_dial_for_which_no_room_can_be_made_tells_so_within_some_ms(gate, exhausted):
    take, give = exhausted
    made = gate(clock=Handed())
    errors = []
    take()
    connect(made.loop, address(made.hosts[0].address), SECOND, lambda sock, error: errors.append(error))
    for _ in range(40):
        made.passes(MILLI)
    give()
    assert [error.errno for error in errors] == [errno.EMFILE]


@pytest.mark.parametrize("sockets", [32, 64, 90, 256, 1024])
def test_what_clients_hosts_and_the_process_may_hold_is_never_more_than_the_limit(gate, sockets):
    process = gate(sockets=sockets).process
    most = process.front.connections.admission.max_connections
    assert most + process.hosts.max_connections + PROCESS_DESCRIPTORS <= sockets
    assert process.hosts.max_connections > 0
    assert most >= sockets // 3 or sockets < 64  # what clients may hold by the protocol
