"""A whole path on loopback sockets: clients, a gateway, stand-in hosts. What happened is counted at the
hosts."""

import json
import random
import socket
import subprocess
import sys

import pytest
from helpers import MILLI, SECOND

from gaproute import interface as face
from gaproute.hosts import orca, results
from gaproute.http1 import Exchange
from gaproute.loop import Listener, Promise, Stream
from gaproute.loop.addresses import address

TRITON = """
import sys, numpy, tritonclient.http as http
client = http.InferenceServerClient(sys.argv[1])
assert client.is_server_live() and client.is_server_ready() and client.is_model_ready("lamp")
assert client.is_model_ready("lamp", "2") and client.get_server_metadata()["name"] == "g"
assert client.get_model_metadata("lamp")["versions"] == ["1", "2"]
sent = http.InferInput("in", [2, 3], "FP32")
sent.set_data_from_numpy(numpy.ones((2, 3), numpy.float32), binary_data=True)
came = client.infer("lamp", [sent], request_id="from-triton", model_version="2")
assert came.get_response()["id"] == "from-triton" and came.as_numpy("at")[0] in (b"h0", b"h1", "h0", "h1")
try:
    client.infer("nothing", [sent])
except http.InferenceServerException as fault:
    assert "unknown model" in fault.message() and fault.status() == "404", fault
else:
    raise AssertionError("an unknown model was served")
print("well")
"""


def outcome(answer):
    return answer.headers[b"gaproute-outcome"].decode()


def test_an_unmodified_kserve_client_reaches_a_host(rig):
    made = rig()
    where = made.gate.fronts[0].address
    client = subprocess.Popen(
        [sys.executable, "-c", TRITON, where], stdout=subprocess.PIPE, stderr=subprocess.STDOUT
    )
    made.until(lambda: client.poll() is not None, 60)
    assert client.stdout.read().decode() == "well\n"
    client.stdout.close()
    assert len(made.seen("task", id="from-triton")) == 1


def test_an_answer_passes_as_it_came_and_names_its_outcome(rig):
    made = rig()
    answer = made.wait(made.ask(name="x1"))
    assert answer.status == 200
    assert outcome(answer) == "delivered"
    assert json.loads(answer.body)["id"] == "x1"
    assert answer.headers[b"gaproute-relays"] == b"1"


def test_binary_bodies_pass_byte_for_byte(rig):
    made, seen = rig(hosts=1), []
    host = made.hosts[0]
    handle = host.server.handle
    host.server.handle = lambda request: (seen.append(request), handle(request))
    head = b'{"id":"b"}'
    body = head + bytes(range(256)) * 40
    made.wait(
        made.ask(
            body=body,
            fields=f"Inference-Header-Content-Length: {len(head)}\r\n"
            "Content-Type: application/octet-stream\r\n",
        )
    )
    infer = [request for request in seen if request.target.endswith(b"/infer")][0]
    assert infer.body == body
    assert infer.headers[b"inference-header-content-length"] == b"10"
    assert infer.headers[b"content-type"] == b"application/octet-stream"


def test_health_and_metadata_have_the_published_form(rig):
    made = rig()
    answers = {
        path: made.wait(made.get(path))
        for path in (
            "/v2",
            "/v2/health/live",
            "/v2/health/ready",
            "/v2/models/lamp",
            "/v2/models/lamp/versions/1/ready",
        )
    }
    assert all(answer.status == 200 for answer in answers.values())
    assert json.loads(answers["/v2"].body)["extensions"] == ["binary_tensor_data"]
    made.relist()
    made.until(lambda: made.wait(made.get("/v2/health/ready")).status == 503)
    assert made.wait(made.get("/v2/health/live")).status == 200


@pytest.mark.parametrize(
    ("call", "status"),
    [
        ({"path": "/v2/models/none/infer"}, 404),
        ({"path": "/v2/models/lamp/versions/9/infer"}, 404),
        ({"path": "/v1/x"}, 404),
        ({"path": "/v2/models/lamp/odd"}, 404),
        ({"path": "/v2/health/live"}, 405),
        ({"fields": "Gaproute-Limit-Ms: soon\r\n"}, 400),
        ({"fields": "Gaproute-Limit-Ms: 0\r\n"}, 400),
        ({"fields": "Inference-Header-Content-Length: 99999\r\n"}, 400),
    ],
)
def test_what_cannot_be_served_is_a_clear_error_object(rig, call, status):
    made = rig()
    answer = made.wait(made.ask(**call))
    assert answer.status == status
    assert json.loads(answer.body)["error"]
    assert not made.seen("task")


def test_an_effectful_task_whose_answer_never_returns_goes_to_no_second_host_and_is_scrapped_in_time(rig):
    made = rig(hosts=3)
    for host in made.hosts:
        host.command({"trouble": "lost"})
    asked = made.loop.now()
    answer = made.wait(made.ask("crew", "r1"))
    assert answer.status == 504
    assert outcome(answer) == "scrapped"
    assert "scrapped" in json.loads(answer.body)["error"]
    assert made.loop.now() - asked < 1200 * MILLI
    made.rest(200 * MILLI)
    assert len(made.seen("task", id="r1")) == 1


@pytest.mark.parametrize("trouble", ["reset", "cut", "fail"])
def test_an_effectful_task_that_may_have_run_is_not_sent_again(rig, trouble):
    made = rig(hosts=3)
    for host in made.hosts:
        host.command({"trouble": trouble})
    answer = made.wait(made.ask("crew", "r2"))
    assert outcome(answer) == "scrapped"
    assert len(made.seen("task", id="r2")) == 1


def test_an_effectful_task_that_a_host_refused_may_go_on_and_be_declined(rig):
    made = rig(hosts=3)
    for host in made.hosts:
        host.command({"trouble": "refuse"})
    answer = made.wait(made.ask("crew", "r3"))
    assert answer.status == 503
    assert outcome(answer) == "declined"
    assert int(answer.headers[b"retry-after"]) >= 1
    assert int(answer.headers[b"gaproute-retry-after-ms"]) == 600
    assert {event["status"] for event in made.seen("said", id="r3")} == {429}


def test_a_pure_task_goes_to_another_host_after_a_failure(rig):
    made = rig(hosts=3)
    first = made.wait(made.ask("lamp", "a"))
    served = json.loads(first.body)["outputs"][0]["data"][0]
    made.hosts[int(served[1:])].command({"trouble": "reset"})
    answer = made.wait(made.ask("lamp", "b"))
    assert outcome(answer) == "delivered"
    assert answer.headers[b"gaproute-relays"] == b"2"


def test_a_receipted_task_stays_in_its_group_with_its_mark(rig):
    made = rig(hosts=3)  # each a rack of its own
    for host in made.hosts:
        host.command({"trouble": "reset"})
    made.wait(made.ask("dim", "d"))
    seen = made.seen("task", id="d")
    assert len(seen) > 1
    assert len({event["mark"] for event in seen}) == 1
    assert sum(any(event["what"] == "task" for event in tap.events) for tap in made.taps) == 1


def test_a_client_shortens_its_limit_and_never_lengthens_it(rig):
    made = rig(hosts=2)
    for host in made.hosts:
        host.command({"trouble": "hang"})
    times = {}
    for limit_ms in (300, 99999):
        begun = made.loop.now()
        answer = made.wait(made.ask("crew", f"l{limit_ms}", fields=f"Gaproute-Limit-Ms: {limit_ms}\r\n"))
        times[limit_ms] = (made.loop.now() - begun) / MILLI
        assert outcome(answer) == "scrapped"
    assert times[300] < 300
    assert 1000 < times[99999] < 1200


def test_a_client_that_leaves_ends_its_task_at_once(rig):
    made = rig(hosts=2)
    for host in made.hosts:
        host.command({"trouble": "hang"})
    made.ask("lamp", "gone")
    made.until(lambda: made.seen("task", id="gone"))
    made.last.cancel()
    made.until(lambda: not made.gate.core.in_flight)
    sent = len(made.seen("task", id="gone"))
    made.rest(300 * MILLI)
    assert len(made.seen("task", id="gone")) == sent == 1
    assert made.gate.record.counts["client_left", "check"] == 1


def test_a_draining_host_gets_neither_task_nor_order_though_its_connections_are_kept(rig):
    made = rig(hosts=2)
    made.wait(made.ask("lamp", "a"))
    rows = made.list.read_text().splitlines()
    made.relist(rows[0] + " state draining", rows[1])
    made.until(lambda: made.gate.rows["h0"].listed.state.value != "active")
    reported_at = made.loop.now()
    for number in range(30):
        assert outcome(made.wait(made.ask("lamp", f"b{number}"))) == "delivered"
    assert not [
        event
        for event in made.taps[0].events
        if event["at"] > reported_at and event["what"] in ("task", "order")
    ]
    assert not made.gate.hosts.hosts["h0"].idle


def test_a_relay_that_waits_for_its_connection_is_not_sent_once_the_host_drains(rig):
    made = rig(hosts=1)
    with socket.socket() as full:  # its backlog is full: connections to it neither come about nor fail
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())
        row = "host slow {}:{} rack r0".format(*full.getsockname())
        made.relist(row)
        made.until(lambda: "slow" in made.gate.rows)
        asked = made.ask("crew", "w")
        made.until(lambda: made.gate.hosts.hosts["slow"].connecting)
        begun = made.loop.now()
        made.relist(row + " state draining")
        answer = made.wait(asked)
        assert outcome(answer) == "declined"
        assert made.loop.now() - begun < 200 * MILLI
        for filler in fillers:
            filler.close()


def test_a_wrong_host_list_is_refused_whole_and_the_old_one_stays(rig):
    made = rig(hosts=2)
    good = made.list.read_text()
    made.relist("host h0 nowhere", *good.splitlines()[1:])
    made.until(lambda: any(what == "host_list_rejected" for what, _ in made.gate.record.events))
    assert set(made.gate.rows) == {"h0", "h1"}
    assert outcome(made.wait(made.ask())) == "delivered"


def test_a_host_that_restarts_at_its_address_is_cold_once(rig):
    made = rig(hosts=1)
    row = made.list.read_text().strip()
    made.relist(f"{row} started 1000.5")
    made.until(lambda: made.gate.rows["h0"].listed.started is not None)
    first = made.gate.rows["h0"].listed.started
    made.relist(f"{row} started 1000.5 zone other")
    made.until(lambda: made.gate.rows["h0"].listed.zone != 0)
    assert made.gate.rows["h0"].listed.started == first


def test_stopping_answers_what_is_held_and_takes_nothing_new(rig):
    made = rig(hosts=1)
    made.hosts[0].command({"trouble": "slow", "factor": 40})
    asked = made.ask("lamp", "held")
    made.until(lambda: made.seen("task", id="held"))
    made.gate.stop()
    refused = Promise()
    Exchange(
        made.loop, b"GET /v2 HTTP/1.1\r\nHost: g\r\n\r\n", lambda answer, fault: refused.set(fault)
    ).connect(made.at, SECOND, 65536, 1 << 20)
    assert not made.wait(refused).connected
    assert outcome(made.wait(asked)) == "delivered"
    made.loop.run()  # the loop ends by itself
    assert not made.gate.core.in_flight


def test_floods_of_unknown_models_and_noise_leave_others_unharmed(rig):
    made, chance = rig(hosts=1), random.Random(4)
    functions = len(made.gate.core.gateway.functions_by_name)
    lines = b"".join(
        b"POST /v2/models/x%d/infer HTTP/1.1\r\nHost: g\r\nContent-Length: 0\r\n\r\n" % number
        for number in range(10_000)
    )
    done, count, tail = Promise(), 0, b""

    def came(data):
        nonlocal count, tail
        count, tail = count + (tail + data).count(b" 404 "), data[-4:]  # one may lie across two reads
        if count == 10_000:
            done.set()

    flood = Stream(
        made.loop,
        socket.create_connection(made.at[1]),
        came,
        lambda error: done.fail(AssertionError("the connection ended")),
    )
    flood.sock.setblocking(False)
    flood.write(lines)
    for _ in range(200):
        noise = socket.create_connection(made.at[1])
        noise.sendall(bytes(chance.randrange(256) for _ in range(chance.randrange(1, 200))))
        noise.close()
    assert outcome(made.wait(made.ask())) == "delivered"
    made.wait(done)
    flood.close()
    made.until(lambda: made.gate.fronts[0].server.connection_count <= 1)
    assert len(made.gate.core.gateway.functions_by_name) == functions + 1
    assert not made.loop.errors


# What each end of a relay proves: every row of the proof table, on sockets


def scripted_host(loop, act):
    """Listens and lets `act(stream, data)` answer what comes."""

    def accepted(sock):
        stream = Stream(loop, sock, lambda data: act(stream, data), lambda error: None)

    return Listener(loop, address("127.0.0.1:0"), accepted)


def reply(text):
    return lambda stream, data: stream.write(text.encode())


FULL = "HTTP/1.1 {} X\r\nContent-Length: 2\r\n\r\n{{}}"


@pytest.mark.parametrize(
    ("act", "result"),
    [
        (reply(FULL.format(200)), face.Result.OK),
        (reply(FULL.format(400)), face.Result.OK),
        (reply(FULL.format(429)), face.Result.FULL),
        (reply(FULL.format(404)), face.Result.NOT_LOADED),
        (reply(FULL.format(500)), face.Result.ERROR),
        (reply(FULL.format(503)), face.Result.ERROR),
        (reply(FULL.format(408)), face.Result.ERROR),
        (reply(FULL.format(302)), face.Result.ERROR),
        (lambda stream, data: stream.abort(), face.Result.RESET),
        (lambda stream, data: stream.close(), face.Result.RESET),
        (
            lambda stream, data: (
                stream.write(b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nhalf"),
                stream.close(),
            ),
            face.Result.RESET,
        ),
        (
            lambda stream, data: (stream.write(b"HTTP/1.1 200 X\r\n\r\nno length"), stream.close()),
            face.Result.RESET,
        ),
        (reply("nonsense\r\n\r\n"), face.Result.RESET),
        (reply("HTTP/1.1 200 X\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}x"), face.Result.RESET),
    ],
)
def test_what_an_end_of_a_relay_proves(rig, act, result):
    made = rig(hosts=0)
    listener = scripted_host(made.loop, act)
    assert heard_of(made, listener.address) is result
    listener.close()


def test_a_refused_connection_proves_that_it_never_ran(rig):
    made = rig(hosts=0)
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        assert heard_of(made, "{}:{}".format(*taken.getsockname())) is face.Result.CONNECT_FAILED
    assert results.of_unanswered(started=False) is face.Result.CONNECT_FAILED


def heard_of(made, where):
    """The first outcome that the module hears of an effectful task relayed to `where`."""
    heard = Promise()
    gateway = made.gate.core.gateway
    inner = gateway.attempt_ended
    gateway.attempt_ended = lambda now, outcome: (heard.set(outcome.result), inner(now, outcome))
    made.relist(f"host x {where}")
    made.until(lambda: "x" in made.gate.rows)
    asked = made.ask("crew")
    result = made.wait(heard)
    made.wait(asked)
    return result


@pytest.mark.parametrize(
    ("value", "report", "found", "alike"),
    [
        (
            b'JSON {"cpu_utilization": 0.5, "mem_utilization": 0.25, '
            b'"named_metrics": {"queue": 3, "copy": 2, "alike": 4}}',
            face.Report(None, 3, 0.5, 0.25),
            face.Found.BEGAN_LOAD,
            4,
        ),
        (
            b"TEXT cpu_utilization=0.5, named_metrics.in_hand=7",
            face.Report(7, None, 0.5, None),
            face.Found.UNKNOWN,
            None,
        ),
        (b'JSON {"cpu_utilization": -1}', None, face.Found.UNKNOWN, None),
        (b'JSON {"named_metrics": {"copy": 9}}', None, face.Found.UNKNOWN, None),
        (b"JSON {", None, face.Found.UNKNOWN, None),
        (b"TEXT cpu_utilization=nan,named_metrics.queue=inf", None, face.Found.UNKNOWN, None),
        (b"BIN xxxx", None, face.Found.UNKNOWN, None),
    ],
)
def test_load_reports_in_the_published_forms(value, report, found, alike):
    assert orca.decode_headers({orca.HEADER: value}) == (report, found, alike)
