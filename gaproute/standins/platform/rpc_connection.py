"""A client's connection to a gateway of the platform: JSON-RPC messages out, answers in, by their numbers."""

import msgspec

from gaproute.loop import Stream, connect

MILLI, SECOND = 1_000_000, 1_000_000_000
CONNECT = 250 * MILLI  # loopback: what takes longer is a gateway that does not accept
LEFT = 256  # numbers given up that are remembered: an answer to one of them is no stray
DECLINED = -32008
_decode = msgspec.json.Decoder().decode


def framed(told):
    body = msgspec.json.encode(told)
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


class AnswerReader:
    """Bytes in, messages out. Errors: ValueError, msgspec.DecodeError where what came is none."""

    def __init__(self):
        self.buffer = b""

    def feed(self, data):
        self.buffer += data
        messages = []
        while True:
            head, mark, rest = self.buffer.partition(b"\r\n\r\n")
            if not mark:
                return messages
            name, _, size = head.partition(b":")
            if name.lower() != b"content-length":
                raise ValueError(f"a head of {head[:60]!r}")
            if len(rest) < int(size):
                return messages
            messages.append(_decode(rest[: int(size)]))
            self.buffer = rest[int(size) :]


class PendingCall:
    """A message on its way. `answered(message)` or `ended(what)` once; `what`: "refused" (no connection),
    "unsent" (none of its bytes left), "crossed" (the only one, sent just before the end of a connection that
    rested, or of a new one that was reset: unread) or "broken"."""

    __slots__ = ("told", "answered", "ended", "mark", "sent")

    def __init__(self, told, answered, ended):
        self.told, self.answered, self.ended = told, answered, ended
        self.mark, self.sent = None, 0


class RpcConnection:
    """One connection. `stray(what)` for whatever nobody asked for."""

    CROSS = 50 * MILLI  # the platform's figure for a request that crosses a close

    def __init__(self, loop, where, stray, closed):
        self.loop, self.stray, self.closed = loop, stray, closed
        self.open, self.left, self.count = {}, {}, 0
        self.stream, self.reader, self.over = None, AnswerReader(), False
        self.used, self.answered = loop.now(), False
        self.give_up = connect(loop, where, CONNECT, self.connected)

    def connected(self, sock, error):
        if error is not None:
            self.end("refused")
            return
        self.stream = Stream(self.loop, sock, self.bytes, self.ended)
        for number, asked in list(self.open.items()):
            self.write(number, asked)

    def ask(self, told, answered, ended):
        """Sends `told` under a number of its own, which is returned."""
        self.count += 1
        asked = self.open[self.count] = PendingCall(told, answered, ended)
        if self.stream is not None:
            self.write(self.count, asked)
        return self.count

    def write(self, number, asked):
        asked.mark, asked.sent = self.stream.bytes_sent + self.stream.bytes_unsent, self.loop.now()
        self.used = asked.sent
        self.stream.write(framed({"jsonrpc": "2.0", "id": number} | asked.told))

    def withdraw(self, number):
        """The client no longer waits."""
        if self.open.pop(number, None) is None:
            return
        self.left[number] = None
        if len(self.left) > LEFT:
            del self.left[next(iter(self.left))]
        if self.stream is not None:
            self.stream.write(framed({"jsonrpc": "2.0", "method": "abort", "params": {"id": number}}))

    def bytes(self, data):
        self.used = self.loop.now()
        try:
            messages = self.reader.feed(data)
        except (ValueError, msgspec.DecodeError) as fault:
            self.stray(f"what came is no message: {fault}")
            self.drop()
            self.end("broken")
            return
        for message in messages:
            number = message.get("id") if isinstance(message, dict) else None
            asked = self.open.pop(number, None)
            self.answered = True
            if asked is not None:
                asked.answered(message)
            elif number in self.left:
                del self.left[number]
            else:
                self.stray(f"an answer under {number!r}")

    def ended(self, error):
        """The other side has closed or reset it."""
        self.end("broken", isinstance(error, (ConnectionResetError, BrokenPipeError)))

    def end(self, what, reset=False):
        """The connection is over; what is open on it learns how far it got."""
        if self.over:
            return
        self.over = True
        opened, self.open = self.open, {}
        self.closed(self)
        for asked in opened.values():
            how = what
            if what == "broken" and (asked.mark is None or self.stream.bytes_sent <= asked.mark):
                how = "unsent"
            elif what == "broken" and len(opened) == 1 and self.loop.now() - asked.sent <= self.CROSS:
                how = "crossed" if self.answered or reset else "broken"
            asked.ended(how)

    def drop(self):
        """Closed from this side."""
        if self.stream is not None:
            self.stream.close()
        else:
            self.give_up()

    def quiet(self):
        """Whether an idle connection can be used once more."""
        return self.stream is None or self.stream.open and self.stream.is_quiet()
