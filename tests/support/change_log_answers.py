"""Events of the change log and heads of its responses, for several test files."""

from gaproute.standins.event_stream import RESPONSE_HEAD
from gaproute.standins.platform import event, sse

COMPLETE_LIST_1 = event(1, ("s-1", "127.0.0.1:5", "Ready"), complete=True)
DRAIN_EVENT_2 = event(2, ("s-1", "127.0.0.1:5", "Terminating"))
GONE_EVENT_3 = event(3, ("s-1", "127.0.0.1:5", "Gone"))
HEAD = RESPONSE_HEAD
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNFINISHED_HEAD = b"HTTP/1.1 200 OK\r\nA: "
HALF_EVENT_2 = sse(DRAIN_EVENT_2)[:40]
