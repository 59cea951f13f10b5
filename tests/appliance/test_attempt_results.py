"""The result that each end of an attempt proves, on sockets, and the load reports in answers of hosts."""

import socket

import pytest
from scripted_hosts import reply, scripted_host

from gaproute import interface
from gaproute.hosts import orca, results
from gaproute.loop import Promise

FULL = "HTTP/1.1 {} X\r\nContent-Length: 2\r\n\r\n{{}}"


@pytest.mark.parametrize(
    ("answer_request", "result"),
    [
        (reply(FULL.format(200)), interface.Result.OK),
        (reply(FULL.format(400)), interface.Result.OK),
        (reply(FULL.format(429)), interface.Result.FULL),
        (reply(FULL.format(404)), interface.Result.NOT_LOADED),
        (reply(FULL.format(500)), interface.Result.ERROR),
        (reply(FULL.format(503)), interface.Result.ERROR),
        (reply(FULL.format(408)), interface.Result.ERROR),
        (reply(FULL.format(302)), interface.Result.ERROR),
        (lambda stream, data: stream.abort(), interface.Result.RESET),
        (lambda stream, data: stream.close(), interface.Result.RESET),
        (
            lambda stream, data: (
                stream.write(b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nhalf"),
                stream.close(),
            ),
            interface.Result.RESET,
        ),
        (
            lambda stream, data: (stream.write(b"HTTP/1.1 200 X\r\n\r\nno length"), stream.close()),
            interface.Result.RESET,
        ),
        (reply("nonsense\r\n\r\n"), interface.Result.RESET),
        (
            reply("HTTP/1.1 200 X\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}x"),
            interface.Result.RESET,
        ),
    ],
)
def test_each_end_of_an_attempt_proves_its_result(rig, answer_request, result):
    testbed = rig(hosts=0)
    listener = scripted_host(testbed.loop, answer_request)
    assert first_result(testbed, listener.address) is result
    listener.close()


def test_a_refused_connection_proves_that_the_request_never_ran(rig):
    testbed = rig(hosts=0)
    with socket.socket() as unlistening:
        unlistening.bind(("127.0.0.1", 0))
        assert (
            first_result(testbed, "{}:{}".format(*unlistening.getsockname()))
            is interface.Result.CONNECT_FAILED
        )
    assert results.result_without_answer(started=False) is interface.Result.CONNECT_FAILED


def first_result(testbed, address):
    """The result of the first attempt of a non-idempotent request to a host at `address`."""
    first_outcome = Promise()
    gateway = testbed.gate.core.gateway
    record_outcome = gateway.attempt_ended
    gateway.attempt_ended = lambda now, outcome: (
        first_outcome.set(outcome.result),
        record_outcome(now, outcome),
    )
    testbed.relist(f"host x {address}")
    testbed.until(lambda: "x" in testbed.gate.endpoints)
    answer_promise = testbed.ask("crew")
    result = testbed.wait(first_outcome)
    testbed.wait(answer_promise)
    return result


@pytest.mark.parametrize(
    ("value", "load_report", "instance_status", "same_function_requests"),
    [
        (
            b'JSON {"cpu_utilization": 0.5, "mem_utilization": 0.25, '
            b'"named_metrics": {"queue": 3, "copy": 2, "alike": 4}}',
            interface.HostLoadReport(None, 3, 0.5, 0.25),
            interface.InstanceStatus.BEGAN_LOAD,
            4,
        ),
        (
            b"TEXT cpu_utilization=0.5, named_metrics.in_hand=7",
            interface.HostLoadReport(7, None, 0.5, None),
            interface.InstanceStatus.UNKNOWN,
            None,
        ),
        (b'JSON {"cpu_utilization": -1}', None, interface.InstanceStatus.UNKNOWN, None),
        (b'JSON {"named_metrics": {"copy": 9}}', None, interface.InstanceStatus.UNKNOWN, None),
        (b"JSON {", None, interface.InstanceStatus.UNKNOWN, None),
        (b"TEXT cpu_utilization=nan,named_metrics.queue=inf", None, interface.InstanceStatus.UNKNOWN, None),
        (b"BIN xxxx", None, interface.InstanceStatus.UNKNOWN, None),
    ],
)
def test_load_reports_are_decoded_from_the_published_formats(
    value, load_report, instance_status, same_function_requests
):
    assert orca.decode_headers({orca.REPORT_HEADER: value}) == (
        load_report,
        instance_status,
        same_function_requests,
    )
