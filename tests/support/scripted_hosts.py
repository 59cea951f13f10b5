"""Hosts on a loop that answer as a test wants."""

from gaproute.loop import Listener, Stream
from gaproute.loop.addresses import parse_address


def scripted_host(loop, act):
    """Listens and lets `act(stream, data)` answer what comes."""

    def accepted(sock):
        stream = Stream(loop, sock, lambda data: act(stream, data), lambda error: None)

    return Listener(loop, parse_address("127.0.0.1:0"), accepted)


def reply(text):
    return lambda stream, data: stream.write(text.encode())
