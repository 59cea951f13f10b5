"""Events of the change log, and the beginnings of its answers, that several test files use."""

from gaproute.standins.event_stream import RESPONSE_HEAD
from gaproute.standins.platform import event, sse

ONE = event(1, ("s-1", "127.0.0.1:5", "Ready"), complete=True)
TWO = event(2, ("s-1", "127.0.0.1:5", "Terminating"))
THREE = event(3, ("s-1", "127.0.0.1:5", "Gone"))
HEAD = RESPONSE_HEAD
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS = b"HTTP/1.1 200 OK\r\nA: "
HALF = sse(TWO)[:40]
