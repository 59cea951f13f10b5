import random
import socket

import pytest

from gaproute.http1 import HttpError, Limits, RequestReader, Server
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address

HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\n"
SECOND = 1_000_000_000


def request_reader(head=1024, body=100):
    return RequestReader(lambda: 5, head, body)


def test_pipelined_requests_are_decoded_however_the_bytes_are_split():
    data = (
        HEAD
        + b"Content-Length: 3\r\n\r\nabc"
        + HEAD
        + b"Transfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n"
    )
    for cut in range(1, len(data)):
        reader = request_reader()
        requests = reader.feed(data[:cut]) + reader.feed(data[cut:])
        assert [request.body for request in requests] == [b"abc", b"de"]
        assert requests[0].arrived_at == 5


def test_header_names_are_lower_case_and_repeated_headers_are_joined():
    (request,) = request_reader().feed(HEAD + b"X-A: 1\r\nx-a: 2\r\nContent-Length: 0\r\n\r\n")
    assert request.headers[b"x-a"] == b"1, 2"
    assert request.target == b"/x"
    assert request.method == b"POST"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (HEAD + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400),
        (HEAD + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400),
        (HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", 400),
        (HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501),
        (HEAD + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 501),
        (HEAD + b"Content-Length: -1\r\n\r\n", 400),
        (HEAD + b"Content-Length: +3\r\n\r\nabc", 400),
        (HEAD + b"Content-Length: 101\r\n\r\n", 413),
        (HEAD + b"Content-Length : 3\r\n\r\nabc", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff1\r\n", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n65\r\n" + b"x" * 101, 413),
        (b"POST /x HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 400),
        (HEAD + b"X: " + b"y" * 1100 + b"\r\n\r\n", 431),
        (HEAD + b"X: " + b"y" * 1100, 431),
        (b"GET /" + b"a" * 9000 + b" HTTP/1.1\r\n", 414),
        (b"\x16\x03\x01\x02\x00\x01\x00", 400),
        (b"GET / SMTP/1.1\r\n\r\n", 400),
        (b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 400),
    ],
)
def test_a_message_that_breaks_the_protocol_or_a_limit_is_rejected_with_its_status(data, status):
    reader = request_reader(1024 if len(data) < 5000 else 20000)
    with pytest.raises(HttpError) as rejection:
        reader.feed(data)
    assert rejection.value.status == status


def test_random_bytes_are_rejected_or_incomplete_and_raise_no_other_error():
    generator, statuses = random.Random(1), []
    for _ in range(2000):
        noise = bytearray(HEAD + b"Content-Length: 3\r\n\r\nabc")
        for _ in range(generator.randrange(1, 6)):
            noise[generator.randrange(len(noise))] = generator.randrange(256)
        statuses += rejection_statuses(bytes(noise))
    assert statuses
    assert all(400 <= status < 600 for status in statuses)


def rejection_statuses(data):
    """A list with the status of the rejection; empty if the bytes are valid or incomplete."""
    try:
        request_reader().feed(data)
    except HttpError as rejection:
        return [rejection.status]
    return []


@pytest.fixture
def served():
    """A server whose handler keeps the requests, and a connected blocking client."""
    loop, held = Loop(), []
    server = Server(
        loop,
        parse_address("127.0.0.1:0"),
        held.append,
        Limits(read_timeout=SECOND // 20, idle_timeout=SECOND // 10, max_pipelined=2),
    )
    _, where = parse_address(server.address)
    client = socket.create_connection(where)
    client.settimeout(5)
    yield loop, server, held, client
    client.close()
    server.close()
    loop.close()


def run_until(loop, condition):
    for _ in range(500):
        if condition():
            return
        loop.run(until=loop.sleep(1_000_000))
    raise AssertionError("the condition did not become true in 500 turns of the loop")


def test_answers_are_sent_in_the_order_of_the_requests(served):
    loop, server, held, client = served
    client.sendall((HEAD + b"Content-Length: 1\r\n\r\na") + (HEAD + b"Content-Length: 1\r\n\r\nb"))
    run_until(loop, lambda: len(held) == 2)
    server.answer(held[1], 200, (), b"second")
    with pytest.raises(RuntimeError):
        server.answer(held[1], 200, (), b"again")
    server.answer(held[0], 200, (), b"first")
    received = client.recv(4096)
    assert received.index(b"first") < received.index(b"second")


def test_requests_beyond_the_pipelining_limit_are_left_unread(served):
    loop, server, held, client = served
    for _ in range(6):
        client.sendall(HEAD + b"Content-Length: 1\r\n\r\na")
        loop.run(until=loop.sleep(2_000_000))
    assert len(held) == 2
    for index in range(6):
        run_until(loop, lambda index=index: len(held) > index)
        server.answer(held[index], 200, (), b"")
    assert len(held) == 6


def test_a_client_that_expects_100_continue_receives_it_before_it_sends_the_body(served):
    loop, server, held, client = served
    client.sendall(HEAD + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
    loop.run(until=loop.sleep(5_000_000))
    assert client.recv(100) == b"HTTP/1.1 100 Continue\r\n\r\n"
    client.sendall(b"ab")
    run_until(loop, lambda: held)
    assert held[0].body == b"ab"


def test_a_client_that_closes_its_side_counts_as_gone_and_can_still_read_its_answer(served):
    loop, server, held, client = served
    client.sendall(HEAD + b"Content-Length: 1\r\n\r\na")
    run_until(loop, lambda: held)
    left = []
    held[0].on_client_left = lambda: (left.append(True), server.answer(held[0], 504, (), b"bye"))
    client.shutdown(socket.SHUT_WR)
    run_until(loop, lambda: left)
    assert b"504" in client.recv(4096)
    assert client.recv(1) == b""


def test_a_client_that_closes_its_side_behind_unread_requests_counts_as_gone(served):
    loop, server, held, client = served
    for _ in range(4):
        client.sendall(HEAD + b"Content-Length: 1\r\n\r\na")
        loop.run(until=loop.sleep(2_000_000))
    left = []
    for request in held:
        request.on_client_left = lambda request=request: (
            left.append(True),
            server.answer(request, 504, (), b"bye"),
        )
    client.shutdown(socket.SHUT_WR)
    run_until(loop, lambda: left)
    assert len(left) == len(held) == 2
    assert client.recv(4096).count(b"504") == 2
    assert client.recv(1) == b""
    run_until(loop, lambda: not server.connection_count)


def test_a_slow_request_is_answered_and_an_idle_connection_is_closed(served):
    loop, server, held, client = served
    client.sendall(HEAD)
    run_until(loop, lambda: server.connection_count)
    run_until(loop, lambda: not server.connection_count)
    assert client.recv(4096).startswith(b"HTTP/1.1 408")
    with socket.create_connection(client.getpeername()) as idle:
        run_until(loop, lambda: server.connection_count)
        run_until(loop, lambda: not server.connection_count)
        idle.settimeout(5)
        assert idle.recv(1) == b""


def test_a_client_that_receives_no_answers_is_no_longer_read_and_then_disconnected(served):
    loop, server, held, client = served
    client.sendall((HEAD + b"Content-Length: 0\r\n\r\n") * 2)
    run_until(loop, lambda: len(held) == 2)
    (connection,) = server.active_connections
    for request in held[:2]:
        server.answer(request, 200, (), b"x" * (8 << 20))
    assert connection.stream.bytes_unsent > 8 << 20
    assert not connection.stream.reading
    client.sendall(HEAD + b"Content-Length: 0\r\n\r\n")
    run_until(loop, lambda: not server.connection_count)
    assert len(held) == 2
    assert connection.stream.bytes_unsent == 0


def test_a_complete_request_before_an_invalid_one_is_still_answered(served):
    loop, server, held, client = served
    client.sendall(HEAD + b"Content-Length: 1\r\n\r\na" + b"\x00nonsense\r\n\r\n")
    run_until(loop, lambda: held)
    server.answer(held[0], 200, (), b"good")
    received = b""
    while chunk := client.recv(4096):
        received += chunk
    assert received.index(b"good") < received.index(b"400 Bad Request")
