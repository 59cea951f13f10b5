"""What each end of an attempt proves: every row of the proof table, on sockets; and load reports."""

import socket

import pytest
from scripted_hosts import reply, scripted_host

from gaproute import interface as face
from gaproute.hosts import orca, results
from gaproute.loop import Promise

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
    assert results.result_without_answer(started=False) is face.Result.CONNECT_FAILED


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
            face.HostLoadReport(None, 3, 0.5, 0.25),
            face.InstanceStatus.BEGAN_LOAD,
            4,
        ),
        (
            b"TEXT cpu_utilization=0.5, named_metrics.in_hand=7",
            face.HostLoadReport(7, None, 0.5, None),
            face.InstanceStatus.UNKNOWN,
            None,
        ),
        (b'JSON {"cpu_utilization": -1}', None, face.InstanceStatus.UNKNOWN, None),
        (b'JSON {"named_metrics": {"copy": 9}}', None, face.InstanceStatus.UNKNOWN, None),
        (b"JSON {", None, face.InstanceStatus.UNKNOWN, None),
        (b"TEXT cpu_utilization=nan,named_metrics.queue=inf", None, face.InstanceStatus.UNKNOWN, None),
        (b"BIN xxxx", None, face.InstanceStatus.UNKNOWN, None),
    ],
)
def test_load_reports_in_the_published_forms(value, report, found, alike):
    assert orca.decode_headers({orca.REPORT_HEADER: value}) == (report, found, alike)
