"""Clients, a gateway and stand-in hosts on loopback sockets: what clients send and receive."""

import json
import random
import socket
import subprocess
import sys

import pytest
from gateway_answers import outcome
from helpers import MILLI, SECOND

from gaproute.http1 import Exchange
from gaproute.loop import Promise, Stream

TRITON_CLIENT = """
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


def test_an_unmodified_kserve_client_reaches_a_host(rig):
    testbed = rig()
    where = testbed.gate.fronts[0].address
    client = subprocess.Popen(
        [sys.executable, "-c", TRITON_CLIENT, where], stdout=subprocess.PIPE, stderr=subprocess.STDOUT
    )
    testbed.until(lambda: client.poll() is not None, 60)
    assert client.stdout.read().decode() == "well\n"
    client.stdout.close()
    assert len(testbed.seen("task", id="from-triton")) == 1


def test_an_answer_reaches_the_client_unchanged_and_names_its_outcome(rig):
    testbed = rig()
    answer = testbed.wait(testbed.ask(name="x1"))
    assert answer.status == 200
    assert outcome(answer) == "delivered"
    assert json.loads(answer.body)["id"] == "x1"
    assert answer.headers[b"gaproute-relays"] == b"1"


def test_binary_bodies_reach_the_host_unchanged(rig):
    testbed, received = rig(hosts=1), []
    host = testbed.hosts[0]
    handle = host.server.handle
    host.server.handle = lambda request: (received.append(request), handle(request))
    head = b'{"id":"b"}'
    body = head + bytes(range(256)) * 40
    testbed.wait(
        testbed.ask(
            body=body,
            fields=f"Inference-Header-Content-Length: {len(head)}\r\n"
            "Content-Type: application/octet-stream\r\n",
        )
    )
    infer = [request for request in received if request.target.endswith(b"/infer")][0]
    assert infer.body == body
    assert infer.headers[b"inference-header-content-length"] == b"10"
    assert infer.headers[b"content-type"] == b"application/octet-stream"


def test_health_and_metadata_have_the_published_format(rig):
    testbed = rig()
    answers = {
        path: testbed.wait(testbed.get(path))
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
    testbed.relist()
    testbed.until(lambda: testbed.wait(testbed.get("/v2/health/ready")).status == 503)
    assert testbed.wait(testbed.get("/v2/health/live")).status == 200


@pytest.mark.parametrize(
    ("request_fields", "status"),
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
def test_an_invalid_request_gets_an_error_object_and_reaches_no_host(rig, request_fields, status):
    testbed = rig()
    answer = testbed.wait(testbed.ask(**request_fields))
    assert answer.status == status
    assert json.loads(answer.body)["error"]
    assert not testbed.seen("task")


def test_a_client_can_shorten_its_time_limit_but_not_extend_it(rig):
    testbed = rig(hosts=2)
    for host in testbed.hosts:
        host.command({"trouble": "hang"})
    times = {}
    for limit_ms in (300, 99999):
        started_at = testbed.loop.now()
        answer = testbed.wait(
            testbed.ask("crew", f"l{limit_ms}", fields=f"Gaproute-Limit-Ms: {limit_ms}\r\n")
        )
        times[limit_ms] = (testbed.loop.now() - started_at) / MILLI
        assert outcome(answer) == "scrapped"
    assert times[300] < 300
    assert 1000 < times[99999] < 1200


def test_a_request_ends_at_once_when_its_client_leaves(rig):
    testbed = rig(hosts=2)
    for host in testbed.hosts:
        host.command({"trouble": "hang"})
    testbed.ask("lamp", "gone")
    testbed.until(lambda: testbed.seen("task", id="gone"))
    testbed.last.cancel()
    testbed.until(lambda: not testbed.gate.core.in_flight)
    attempt_count = len(testbed.seen("task", id="gone"))
    testbed.rest(300 * MILLI)
    assert len(testbed.seen("task", id="gone")) == attempt_count == 1
    assert testbed.gate.record.counts["client_left", "check"] == 1


def test_a_stopping_gateway_answers_requests_in_flight_and_accepts_no_new_connection(rig):
    testbed = rig(hosts=1)
    testbed.hosts[0].command({"trouble": "slow", "factor": 40})
    answer_promise = testbed.ask("lamp", "held")
    testbed.until(lambda: testbed.seen("task", id="held"))
    testbed.gate.stop()
    connect_error = Promise()
    Exchange(
        testbed.loop, b"GET /v2 HTTP/1.1\r\nHost: g\r\n\r\n", lambda answer, fault: connect_error.set(fault)
    ).connect(testbed.at, SECOND, 65536, 1 << 20)
    assert not testbed.wait(connect_error).connected
    assert outcome(testbed.wait(answer_promise)) == "delivered"
    testbed.loop.run()  # returns when the shutdown ends the loop
    assert not testbed.gate.core.in_flight


def test_floods_of_unknown_models_and_random_bytes_do_not_affect_other_clients(rig):
    testbed, random_source = rig(hosts=1), random.Random(4)
    function_count = len(testbed.gate.core.gateway.functions_by_name)
    requests = b"".join(
        b"POST /v2/models/x%d/infer HTTP/1.1\r\nHost: g\r\nContent-Length: 0\r\n\r\n" % number
        for number in range(10_000)
    )
    all_answered, count, tail = Promise(), 0, b""

    def on_data(data):
        nonlocal count, tail
        count, tail = (
            count + (tail + data).count(b" 404 "),
            data[-4:],
        )  # a status may be split across two reads
        if count == 10_000:
            all_answered.set()

    flood = Stream(
        testbed.loop,
        socket.create_connection(testbed.at[1]),
        on_data,
        lambda error: all_answered.fail(AssertionError("the connection ended")),
    )
    flood.sock.setblocking(False)
    flood.write(requests)
    for _ in range(200):
        noise = socket.create_connection(testbed.at[1])
        noise.sendall(bytes(random_source.randrange(256) for _ in range(random_source.randrange(1, 200))))
        noise.close()
    assert outcome(testbed.wait(testbed.ask())) == "delivered"
    testbed.wait(all_answered)
    flood.close()
    testbed.until(lambda: testbed.gate.fronts[0].server.connection_count <= 1)
    assert len(testbed.gate.core.gateway.functions_by_name) == function_count + 1
    assert not testbed.loop.errors
