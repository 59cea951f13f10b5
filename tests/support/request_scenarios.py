"""Requests of clients in the states that tests need: held by a host, written in part, unread, not taken.

`gate` is the fixture that makes a `scripted.Gate`.
"""

import errno
import socket
import struct

from scripted import SETTINGS, Handed

from gaproute.loop.addresses import parse_address
from gaproute.loop.streams import Stream
from gaproute.standins.platform import arg

LARGE_BUFFER = 1 << 20  # asked for as a receive buffer: all that a test sends lies there
ENDS = ["fin", "reset", "half"]  # the ways in which a client ends its connection


def with_limits(**limits):
    """The settings of the platform with these limits in place of the usual ones."""
    return SETTINGS | {"limits": SETTINGS["limits"] | limits}


# Clients


def end(sock, way):
    """The client ends its connection in one of the three ways."""
    if way == "half":
        sock.shutdown(socket.SHUT_WR)
        return
    if way == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def connected(where):
    """A blocking connection to an address."""
    sock = socket.create_connection(parse_address(where)[1])
    sock.settimeout(5)
    return sock


def buffers_much(listener):
    """What the listener accepts takes much before it is read."""
    listener.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, LARGE_BUFFER)


def requests(made, count, size, first=1):
    """The bytes of so many requests of the protocol."""
    client = made.client()
    for number in range(first, first + count):
        client.ask(number, arg=arg(b"x" * size))
    data, client.waiting = b"".join(client.waiting), []
    return data


def codes(client):
    """What each number was answered: a code, or None for a result; the errors without a number apart."""
    named = {each["id"]: each.get("error", {}).get("code") for each in client.answers if each["id"]}
    return named, [each["error"]["code"] for each in client.answers if each["id"] is None]


def takes_nothing(connection, monkeypatch):
    """The client of this connection takes nothing from now on; a call that makes it read again."""
    send, away = Stream._send, [True]

    def send_unless_away(stream, data):
        return 0 if away[0] and stream is connection.stream else send(stream, data)

    monkeypatch.setattr(Stream, "_send", send_unless_away)

    def reads():
        away[0] = False
        connection.stream._flush()

    return reads


# Hosts


def connect_hosts(made):
    """Connections stand to all hosts."""
    reports = []
    for name in made.process.host_client.hosts:
        made.process.host_client.probe(name, lambda report, *, good: reports.append((good, report)))
    made.until(lambda: len(reports) == len(made.hosts))
    assert all(host.connections for host in made.process.host_client.hosts.values())


def holding(gate, **options):
    """A gateway whose host answers when the test says so, and what the host holds."""
    held = []
    made = gate(lambda *each: each[1]["type"] == "go" and held.append(each), clock=Handed(), **options)
    return made, held


def first_request_held(gate, **request):
    """A gateway with two hosts, a client whose first request one of them holds, and what that host was sent.

    All later requests are served.
    """
    held = []

    def answer(stream, command):
        if command["type"] == "go" and not held:
            held.append((stream, command))
        else:
            made.hosts[0].serve(stream, command)

    made = gate(answer, hosts=2, clock=Handed())
    connect_hosts(made)
    client = made.client()
    client.ask(1, **request)
    made.until(lambda: held)
    return made, client, held


class FullSocket:
    """Stands for a socket that takes so many bytes and then no more, until it is `emptied`."""

    def __init__(self, sock, capacity):
        self.sock, self.capacity = sock, capacity

    def send(self, data):
        if not self.capacity:
            raise BlockingIOError(errno.EAGAIN, "the socket is full")
        sent = self.sock.send(bytes(data[: self.capacity]))
        self.capacity -= sent
        return sent

    def emptied(self):
        self.capacity = 1 << 30

    def __getattr__(self, name):
        return getattr(self.sock, name)


def fill_after(connection, capacity):
    """The socket of a connection takes so many bytes and then no more."""
    connection.stream.sock = FullSocket(connection.stream.sock, capacity)
    return connection.stream.sock


def one_connection(gate, answer=None, **limits):
    """A gateway with one host, and its only connection to it."""
    made = gate(answer, hosts=1, settings=with_limits(**limits), clock=Handed())
    made.process.host_client.max_connections = 1
    connect_hosts(made)
    (connection,) = made.process.host_client.hosts["s-0"].connections
    return made, connection


def written_in_part(gate, method="fault-check", **limits):
    """A gateway whose one connection to its host took the first half of a request; a client."""
    made, made.link = one_connection(gate, **limits)
    made.clog = fill_after(made.link, 500)
    client = made.client()
    client.ask(1, method, arg=arg(b"x" * 1000), d=2000)
    made.until(lambda: made.link.stream.bytes_unsent)
    return made, client
