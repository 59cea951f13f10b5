"""The platform's gateway whole, on loopback: clients, hosts and the log are stand-ins."""

import json
import os
import signal
import subprocess
import sys
import time

import pytest
from scripted import MILLI, SECOND, SETTINGS, nothing

from gaproute.benchlink.decoding import decode_terms
from gaproute.discovery.changelog import events
from gaproute.fronts.jsonrpc import connection as connections
from gaproute.fronts.jsonrpc import front as fronts
from gaproute.fronts.jsonrpc.errors import ErrorCode
from gaproute.loop.datagrams import Datagrams
from gaproute.platform.configuration import ConfigurationRefusedError, read_configuration
from gaproute.platform.log import Log
from gaproute.settings import read_deployment, read_terms
from gaproute.standins.platform import ScriptedChangeLog, arg, event, sse
from gaproute.telemetry.record import Record


def test_the_start_object_is_read_alike_for_the_wire_and_for_the_node():
    assert decode_terms(json.dumps(SETTINGS)) == read_terms(SETTINGS)
    deployment = read_deployment(SETTINGS)
    assert (deployment.class_names, deployment.requests_per_connection, deployment.idle_time) == (
        ("fault-check", "repair-order"),
        100,
        15 * SECOND,
    )


def test_a_task_goes_through_and_its_body_comes_back_unchanged(gate):
    made = gate()
    client = made.client()
    client.ask(1)
    client.ask(2, "repair-order")
    made.until(lambda: len(client.answers) == 2)
    assert {each["id"]: each["result"]["arg"] for each in client.answers} == {
        1: arg(b"body 1"),
        2: arg(b"body 2"),
    }


def test_ping_says_up_and_no_more_once_it_stops(gate):
    made = gate()
    client = made.client()
    client.message({"jsonrpc": "2.0", "id": 1, "method": "ping"})
    made.until(lambda: client.answers)
    made.process.stop()
    client.message({"jsonrpc": "2.0", "id": 2, "method": "ping"})
    made.until(lambda: len(client.answers) == 2)
    assert [each["result"]["up"] for each in client.answers] == [True, False]


@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ({"method": "no-such-class"}, ErrorCode.METHOD_NOT_FOUND),
        ({"d": -1}, ErrorCode.INVALID_PARAMS),
        ({"extras": "lanes:x"}, ErrorCode.INVALID_PARAMS),
        ({"i": "short"}, ErrorCode.INVALID_PARAMS),
    ],
)
def test_bad_input_gets_an_error_and_reaches_no_host(gate, fields, code):
    made = gate()
    client = made.client()
    client.ask(1, **fields)
    client.ask(2)
    made.until(lambda: len(client.answers) == 2)
    assert client.answers[0]["error"]["code"] == code
    assert "result" in client.answers[1]
    assert made.came() == 1
    assert not made.hosts[0].seen("stage")


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\xffnoise\r\n\r\n",
        b"Content-Length: 60000000\r\n\r\n" + b"x" * 70000,
        b"Content-Length: -5\r\n\r\n",
        b"x" * 2000,
        b"Content-Length: 1\r\n\r\n{",
    ],
)
def test_what_cannot_be_read_gets_an_error_and_a_close(gate, data):
    made = gate()
    client = made.client()
    client.send(data)
    made.until(lambda: client.ended)
    assert client.answers[0]["error"]["code"] == ErrorCode.PARSE_ERROR
    made.until(lambda: not made.process.front.active_connections)
    assert made.process.front.connections.client_count == 0


def test_a_second_request_under_an_open_id_or_number_is_an_error_and_the_first_unharmed(gate):
    held = []
    made = gate(lambda stream, command: held.append((stream, command)))
    client = made.client()
    client.ask(1)
    made.until(lambda: made.came())
    client.ask(2, i=f"{1:016x}", arg=arg(b"another"))
    client.ask(1, i=f"{9:016x}")
    made.until(lambda: len(client.answers) == 2)
    assert [(each["id"], each["error"]["code"]) for each in client.answers] == [
        (2, ErrorCode.INVALID_PARAMS),
        (None, ErrorCode.INVALID_REQUEST),
    ]
    for stream, command in held:
        made.hosts[0].serve(stream, command)
    made.until(lambda: len(client.answers) == 3)
    assert client.answers[2]["result"]["arg"] == arg(b"body 1")
    assert made.came() == 1


def test_a_33rd_open_request_is_turned_away(gate):
    made = gate(nothing)
    client = made.client()
    for number in range(1, 34):
        client.ask(number)
    made.until(lambda: client.answers)
    assert [(each["id"], each["error"]["code"]) for each in client.answers] == [(33, ErrorCode.REJECTED)]


def test_an_abort_halts_the_relay_and_nothing_is_answered(gate):
    made = gate(nothing)
    client = made.client()
    client.ask(1)
    made.until(lambda: made.came())
    client.message({"jsonrpc": "2.0", "method": "abort", "params": {"id": 1}})
    made.until(lambda: made.hosts[0].seen("halt"))
    made.until(lambda: not made.process.core.in_flight)
    assert client.answers == []
    assert not made.process.front.open_request_ids


def test_a_client_that_goes_takes_its_requests_with_it(gate):
    made = gate(nothing)
    client = made.client()
    client.ask(1)
    made.until(lambda: made.came())
    client.stream.abort()
    made.until(lambda: not made.process.core.in_flight)
    assert not made.process.front.open_request_ids
    assert not made.process.front.active_connections


def test_a_status_line_tells_of_hosts_in_use_and_does_not_grow_with_the_list(gate):
    made = gate()
    made.process.host_list.apply(
        events.decode_initial(
            {
                "seq": 2,
                "results": [
                    event(
                        2,
                        *[(f"far-{number}", "127.0.0.1:9", "Ready") for number in range(1000)],
                        complete=True,
                    )
                ],
            }
        )[1][0]
    )
    made.lines.clear()
    made.process.status.write()
    status = dict(made.lines)["status"]
    assert len(made.process.hosts.hosts) >= 1000
    assert len(status["host_estimates"]) + len(status["host_connections"]) <= 1


def test_a_connection_that_sends_nothing_or_half_a_message_is_closed(gate, monkeypatch):
    monkeypatch.setattr(fronts, "FIRST_MESSAGE_TIMEOUT", 30 * MILLI)
    monkeypatch.setattr(connections, "PROGRESS_TIMEOUT", 30 * MILLI)
    monkeypatch.setattr(fronts, "SWEEP_INTERVAL", 10 * MILLI)
    made = gate()
    silent, half = made.client(), made.client()
    half.send(b"Content-Length: 50\r\n\r\nhalf")
    made.until(lambda: silent.ended and half.ended)
    assert made.process.core.in_flight == {}


def test_resting_connections_make_room_and_those_at_work_stay(gate, monkeypatch):
    monkeypatch.setattr(connections, "QUIET_TIME", 0)
    monkeypatch.setattr(fronts, "SWEEP_INTERVAL", 5 * MILLI)
    made = gate(sockets=90)
    made.process.front.connections.admission.min_idle = 0
    most = made.process.front.connections.admission.max_connections
    first = [made.client() for _ in range(most)]
    for place, client in enumerate(first):
        client.ask(1, i=f"{place:016x}")
    made.until(lambda: all(client.answers for client in first))
    made.until(lambda: made.process.front.parked == most)
    late = made.client()
    late.ask(1, i="f" * 16)
    made.until(lambda: late.answers)
    assert "result" in late.answers[0]
    assert sum(client.ended for client in first) == 1


def test_a_house_full_of_connections_of_one_request_each_turns_none_away(gate):
    made = gate(sockets=90)
    most = made.process.front.connections.admission.max_connections
    clients = []
    for place in range(3 * most):  # as fast as resting ones may make room
        clients.append(made.client())
        clients[-1].ask(1, i=f"{place:016x}")
        made.until(lambda: clients[-1].answers)
        end = made.loop.now() + 400 * MILLI // most
        made.until(lambda end=end: made.loop.now() >= end)
    assert made.process.front.rejected_connections == 0
    assert made.process.front.connections.evicted >= most


def test_at_a_full_house_at_work_arrivals_wait_and_are_served_when_one_leaves(gate):
    held = []
    made = gate(
        lambda stream, command: command["type"] == "go" and held.append((stream, command)), sockets=90
    )
    most = made.process.front.connections.admission.max_connections
    clients = []
    for place in range(most + 5):
        clients.append(made.client())
        clients[-1].ask(1, i=f"{place:016x}")
        made.until(lambda place=place: len(held) == min(place + 1, most))
    made.until(lambda: made.process.front.listener.pauses)
    made.hosts[0].answer = made.hosts[0].serve
    for each in held:
        made.hosts[0].serve(*each)
    made.until(lambda: all(client.answers for client in clients))
    assert made.process.front.rejected_connections == 0


def test_a_new_file_moves_the_log_and_a_bad_one_changes_nothing(gate):
    made = gate()
    made.until(lambda: made.log.came)
    other = ScriptedChangeLog(
        made.loop, lambda last: sse(event(2, ("s-0", made.hosts[0].address, "Terminating")))
    )
    made.path.write_text("{")
    made.process.reload()
    assert made.lines[-1][0] == "configuration_rejected"
    made.configuration["changelog"] = other.address
    made.write()
    made.process.reload()
    made.process.reload()
    made.until(lambda: not made.process.hosts.hosts["s-0"].active)
    assert other.came == [1]
    assert made.process.host_list.watcher.last_seq == 2
    other.close()


def test_a_stop_serves_on_for_a_while_then_ends_what_it_holds(gate, monkeypatch):
    monkeypatch.setattr("gaproute.platform.shutdown.ACCEPT_TIME", 60 * MILLI)
    held = []
    made = gate(lambda stream, command: held.append((stream, command)))
    client = made.client()
    client.ask(1)
    made.until(lambda: held)
    made.process.stop()
    late = made.client()
    late.ask(2)
    made.until(lambda: len(held) == 2)
    made.until(lambda: made.process.front.listener.sock.fileno() < 0)  # nobody new is accepted
    made.loop.running = True
    for each in held:
        made.hosts[0].serve(*each)
    made.until(lambda: client.answers and late.answers)
    assert "result" in client.answers[0]
    assert "result" in late.answers[0]
    client.ask(3)  # on a connection that is open
    made.until(lambda: made.came() == 3)
    made.hosts[0].serve(*[each for each in held if each[1]["type"] == "go"][2])
    made.until(lambda: len(client.answers) == 2)
    assert "result" in client.answers[1]
    assert made.loop.running
    for each in (client, late):
        each.stream.close()
    made.until(lambda: not made.loop.running)  # no connection is left


def test_the_log_drops_what_comes_too_fast_and_says_how_much():
    reader, writer = os.pipe()
    clock = [10.0]
    log = Log(writer, clock=lambda: clock[0])
    for number in range(250):
        log.info("x", number=number)
    clock[0] = 11.0
    log.info("y")
    os.close(writer)
    with os.fdopen(reader) as file:
        lines = [json.loads(line) for line in file]
    assert len(lines) == 201
    assert lines[-1]["dropped_lines"] == 50


# As a process


def start(path, **environment):
    return subprocess.Popen(
        [sys.executable, "-m", "gaproute.platform"],
        stderr=subprocess.PIPE,
        env=os.environ | {"EDGE_CONFIG": str(path)} | environment,
    )


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({"changelog": 5}, "changelog"),
        ({"seed": "xyz"}, "seed"),
        ({"settings": {"lanes": [{"effect": "odd"}]}}, "settings"),
        ({"known": {"seq": "x"}}, "known"),
        ({"settings": {}}, "settings"),
    ],
)
def test_a_wrong_configuration_is_refused_by_the_field(gate, change, named):
    made = gate()
    made.configuration.update(change)
    made.write()
    with pytest.raises(ConfigurationRefusedError, match=named):
        read_configuration(str(made.path))


def test_a_process_starts_from_its_environment_and_leaves_on_sigterm(gate):
    made = gate()
    process = start(made.path, EDGE_NAME="n7", EDGE_LISTEN="127.0.0.1:0")
    lines = [json.loads(process.stderr.readline()) for _ in range(2)]
    assert lines[-1]["event"] == "started"
    assert lines[-1]["name"] == "n7"
    process.send_signal(signal.SIGTERM)
    assert process.wait(10) == 0
    process.stderr.close()


def test_a_missing_configuration_exits_2_with_one_line(tmp_path):
    process = start(tmp_path / "none")
    _, said = process.communicate(timeout=10)
    assert process.returncode == 2
    assert said.count(b"\n") == 1
    assert b"EDGE_CONFIG" in said


def test_the_process_loads_nothing_of_what_it_does_not_use():
    shut_out = {
        "pydantic",
        "rich",
        "click",
        "google.protobuf",
        "structlog",
        "asyncio",
        "xxhash",
        "gaproute.cli",
        "gaproute.config",
        "gaproute.peers",
        "gaproute.storage",
        "gaproute.appliance",
        "gaproute.load",
        "gaproute.fronts.kserve",
        "gaproute.http1",
        "gaproute.benchlink",
        "gaproute.decisions.cells",
        "gaproute.core.cellular",
        "gaproute.hosts.cell_hosts",
        "gaproute.hosts.entry_gateways",
        "gaproute.hosts.forwarding",
        "gaproute.hosts.kserve",
        "gaproute.hosts.orca",
    }
    code = "import sys, gaproute.platform.__main__; print(*sys.modules)"
    loaded = set(
        subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        ).stdout.split()
    )
    assert not loaded & shut_out


def test_the_clock_of_the_deadline_runs_from_the_last_byte(gate):
    made = gate(nothing)
    client = made.client()
    began = time.monotonic()
    client.ask(1, d=200)
    made.until(lambda: client.answers)
    assert "error" in client.answers[0]
    assert 0.1 < time.monotonic() - began < 0.25


def test_gateways_tell_each_other_the_loads_that_they_probed(gate):
    """By datagrams from and to the addresses of the configuration; one that cannot be used is passed over."""
    settings = SETTINGS | {"balancers": 2, "limits": SETTINGS["limits"] | {"peers": True}}
    made = gate(settings=settings, peer_listen="127.0.0.1:0", peers_all="127.0.0.1:9")
    heard = []
    other = Datagrams(made.loop, "127.0.0.1:0", heard.append)
    where = "127.0.0.1:%d"
    made.process.configuration.peers_all = where % other.sock.getsockname()[1]
    made.client().ask(1)
    made.until(lambda: heard)
    worker = made.process.core.gateway.hosts_by_id["s-0"]
    at = worker.reported_at
    other.send(b"noise", where % made.process.peers.datagrams.sock.getsockname()[1])
    other.send(heard[0], where % made.process.peers.datagrams.sock.getsockname()[1])
    made.until(lambda: worker.reported_at > at)
    assert heard[0][2:] == bytes([64, 128])
    other.close()


def test_an_address_for_peers_that_cannot_be_had_is_no_reason_not_to_start(gate):
    settings = SETTINGS | {"balancers": 2, "limits": SETTINGS["limits"] | {"peers": True}}
    made = gate(settings=settings, peer_listen="192.0.2.1:1", peers_all="127.0.0.1:9")
    assert made.process.peers.datagrams is None
    assert any(what == "peer_socket_unavailable" for what, _ in made.lines)
    made.client().ask(1)
    made.until(lambda: made.clients[0].answers)


def test_one_task_is_followed_by_its_id_through_every_step(gate):
    made = gate(followed=1)
    client = made.client()
    client.ask(1)
    made.until(lambda: client.answers)
    steps = [fields for what, fields in made.lines if what == "request_step"]
    assert [fields["step"] for fields in steps] == [
        "received",
        "attempt_started",
        "delivered",
        "attempt_ended",
    ]
    assert len({fields["request_id"] for fields in steps}) == 1
    assert steps[1]["host"] == "s-0"


def test_of_many_tasks_few_are_followed_and_the_same_ones_everywhere():
    marks = [f"{number:016x}" for number in range(6400)]
    followed = [mark for mark in marks if Record(None, ()).is_traced(mark)]
    again = [mark for mark in marks if Record(None, ()).is_traced(mark)]
    assert 100 < len(followed) < 400
    assert followed == again
    assert not any(Record(None, (), 0).is_traced(mark) for mark in marks)


def test_1024_hosts_and_peers_start_and_a_list_of_that_size_is_taken_in_time(gate):
    """No list is capped; what a whole new list costs is far below the time of a task."""
    rows = [(f"h-{number}", f"127.0.{number // 250}.{number % 250 + 1}:9", "Ready") for number in range(1024)]
    made = gate(peers=[f"127.1.{number // 250}.{number % 250 + 1}:7946" for number in range(1024)])
    began = time.process_time()
    for number in range(2, 12):
        _, (change,) = events.decode_initial(
            {"seq": number, "results": [event(number, *rows, complete=True)]}
        )
        made.process.host_list.apply(change)
    took = (time.process_time() - began) / 10
    assert len(made.process.core.gateway.active_hosts) == 1024
    assert took < 0.2
