"""What clients may take: floods, memory, and errors over one connection."""

import socket

from scripted import MILLI, Handed

from gaproute.fronts.jsonrpc import connection as connections
from gaproute.fronts.jsonrpc import front as fronts
from gaproute.loop.addresses import parse_address
from gaproute.platform.shutdown import ACCEPT_TIME


def raw(made, data):
    """A client that sends until the socket takes no more, and reads nothing."""
    made_one = socket.create_connection(parse_address(made.where)[1])
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
