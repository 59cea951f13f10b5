"""A whole path on loopback sockets: clients, a gateway, stand-in hosts. What clients send and get."""

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
