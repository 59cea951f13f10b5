"""JSON-RPC messages in and out; never touches a socket. The protocol's words stand here and nowhere else."""

import binascii
import math
import re

import msgspec

HEAD = 512  # bytes of a message's head: its one field takes 30
BODY = 48 * 1024  # bytes of a message: a body of 16 KiB in base64 takes 22, and the rest little
ARG = 16 * 1024  # bytes of a task's body
KEY = 256  # characters of a repeat's key: it has 32
MEMORY, LOAD, LANES = 1e9, 1e9, 1024  # MB, ms, tasks a copy: figures beyond them mean nothing
TIMES = 2  # of the class's deadline that `d` may be: clients' clocks add some ms; what is above
#                          the deadline is cut to it, and beyond this it is no such figure
UNREADABLE, NO_REQUEST, NO_METHOD, NO_PARAMS, FAILED, REFUSED = -32700, -32600, -32601, -32602, -32000, -32008

_ID = re.compile("[0-9a-f]{16}").fullmatch
_LENGTH = re.compile(rb"content-length:[ \t]*([0-9]{1,9})[ \t]*", re.I).fullmatch
_FIELD = re.compile(rb"[!-9;-~]+:[ -~\t]*").fullmatch


class Fault(Exception):
    """What came breaks the protocol. `number` is the request it is to be told under, or None."""

    def __init__(self, code, text, number=None):
        super().__init__(text)
        self.code, self.text, self.number = code, text, number


class Envelope(msgspec.Struct):
    method: str
    id: msgspec.Raw = msgspec.Raw()
    params: msgspec.Raw = msgspec.Raw()
    jsonrpc: str = ""


class Params(msgspec.Struct):
    i: str
    d: int | float
    o: str
    arg: str = ""
    extras: str = ""
    k: str = ""


class Request(msgspec.Struct):
    """A task as it was asked for, checked."""

    number: int
    method: str
    mark: str
    wait: int  # ns
    function: str
    lanes: int
    load_time: int | None  # ns
    body: bytes  # base64, as it came
    receipt: str  # by which hosts know a repeat, "" where the class has none


_envelope = msgspec.json.Decoder(Envelope).decode
_params = msgspec.json.Decoder(Params).decode
_any = msgspec.json.Decoder().decode


class Reader:
    """Bytes in, whole bodies out. Holds no more than one message; a longer one is a fault at its head."""

    def __init__(self):
        self.buffer, self.length = bytearray(), None

    @property
    def midway(self):
        return bool(self.buffer) or self.length is not None

    def copy(self):
        """One that has read the same so far, to look ahead with."""
        ahead = Reader()
        ahead.buffer, ahead.length = bytearray(self.buffer), self.length
        return ahead

    def feed(self, data):
        """The bodies that the bytes completed; those before a fault are in its `bodies`."""
        self.buffer += data
        bodies = []
        try:
            while self._next(bodies):
                pass
        except Fault as fault:
            fault.bodies = bodies
            raise
        return bodies

    def _next(self, bodies):
        if self.length is None:
            end = self.buffer.find(b"\r\n\r\n", 0, HEAD + 4)
            if end < 0:
                if len(self.buffer) > HEAD:
                    raise Fault(UNREADABLE, "the head is too long")
                return False
            self.length = self._length(bytes(self.buffer[:end]))
            del self.buffer[: end + 4]
        if len(self.buffer) < self.length:
            return False
        bodies.append(bytes(self.buffer[: self.length]))
        del self.buffer[: self.length]
        self.length = None
        return bool(self.buffer)

    def _length(self, head):
        lengths = []
        for line in head.split(b"\r\n"):
            if not _FIELD(line):
                raise Fault(UNREADABLE, "a head is lines of NAME: VALUE")
            if line[:15].lower() == b"content-length:":
                told = _LENGTH(line)
                if told is None:
                    raise Fault(UNREADABLE, "Content-Length is a whole number")
                lengths.append(int(told[1]))
        if len(lengths) != 1:
            raise Fault(UNREADABLE, "a head has one Content-Length")
        if not 0 < lengths[0] <= BODY:
            raise Fault(UNREADABLE, f"a message has 1 to {BODY} bytes")
        return lengths[0]


def envelope(body):
    """(number or None, method, params) of a body. Errors: Fault."""
    try:
        told = _envelope(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as fault:
        try:
            _any(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            raise Fault(UNREADABLE, "the message is no JSON") from None
        raise Fault(NO_REQUEST, f"the message is no request: {fault}") from None
    number = None
    if told.id and bytes(told.id) != b"null":
        text = bytes(told.id)
        if not text.isdigit() or len(text) > 18 or int(text) < 1:
            raise Fault(NO_REQUEST, "an id is a whole number from 1 up")
        number = int(text)
    if told.jsonrpc != "2.0":
        raise Fault(NO_REQUEST, "jsonrpc is 2.0", number)
    return number, told.method, told.params


def number(body):
    """The number of a body's request; None where none can be read."""
    try:
        return envelope(body)[0]
    except Fault as fault:
        return fault.number


def request(number, method, params, longest):
    """A task's request; `longest`: ns that a client of the track waits at most. Errors: Fault."""

    def check(holds, text):
        if not holds:
            raise Fault(NO_PARAMS, text, number)

    try:
        told = _params(params)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as fault:
        raise Fault(NO_PARAMS, f"params: {fault}", number) from None
    check(_ID(told.i), "i is 16 hex digits")
    check(_ID(told.o), "o is 16 hex digits")
    check(len(told.k) <= KEY and told.k.isprintable(), f"k is text of at most {KEY} characters")
    check(
        0 < told.d * 1_000_000 <= TIMES * longest,  # an int of any size, or a finite float
        f"d is 1 to {TIMES * longest // 1_000_000} ms",
    )
    figures = extras(told.extras)
    check(figures is not None, "extras is NAME:FIGURE;NAME:FIGURE")
    lanes, load, memory = figures.get("lanes", 1), figures.get("load_ms"), figures.get("memory_mb", 1)
    check(lanes == int(lanes) and 1 <= lanes <= LANES, f"lanes is a whole number from 1 to {LANES}")
    check(load is None or 0 <= load <= LOAD, "load_ms is out of range")
    check(0 <= memory <= MEMORY, "memory_mb is out of range")
    try:
        body = told.arg.encode("ascii")
        size = len(binascii.a2b_base64(body, strict_mode=True))
    except (UnicodeEncodeError, binascii.Error):
        raise Fault(NO_PARAMS, "arg is base64", number) from None
    check(size <= ARG, f"arg has at most {ARG} bytes")
    return Request(
        number,
        method,
        told.i,
        int(told.d * 1_000_000),
        told.o,
        int(lanes),
        None if load is None else int(load * 1_000_000),
        body,
        told.k,
    )


def extras(text):
    """The further figures by name; None where they are not to be read."""
    figures = {}
    for pair in text.split(";") if text else ():
        name, colon, value = pair.partition(":")
        try:
            figures[name] = float(value)
        except ValueError:
            return None
        if not colon or not math.isfinite(figures[name]):
            return None
    return figures


def withdrawn(params):
    """The number, or else the mark, that an abort names; None where it names none."""
    try:
        told = _any(params)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    if not isinstance(told, dict):
        return None
    named = told.get("id", told.get("i"))
    return named if isinstance(named, (int, str)) and not isinstance(named, bool) else None


def aborted(reader, data):
    """What the aborts name, by number or by mark, that lie in bytes which the reader has not been fed yet."""
    if b"abort" not in reader.buffer + data:
        return ()
    try:
        bodies = reader.feed(data)
    except Fault as fault:
        bodies = fault.bodies
    return [named for body in bodies if b"abort" in body and (named := _aborted(body)) is not None]


def _aborted(body):
    """What the body names where it is an abort; else None."""
    try:
        _, method, params = envelope(body)
    except Fault:
        return None
    return withdrawn(params) if method == "abort" else None


def wanted(bodies, *opened):
    """Without the requests that an abort behind them in the same read takes back, and those aborts: nothing
    begins for them. What names one of the `opened` is left as it is."""
    if not any([b"abort" in body for body in bodies[1:]]):
        return bodies
    kept, names = [], []  # bodies; for each, what an abort may name it by
    for body in bodies:
        try:
            number, method, params = envelope(body)
            named = withdrawn(params)
        except Fault:
            method = None
        if method == "abort" and named is not None and not any([named in each for each in opened]):
            place = next((place for place, told in enumerate(names) if named in told), None)
            if place is not None:
                del kept[place], names[place]
                continue
        kept.append(body)
        names.append(() if method in (None, "abort", "ping") or number is None else (number, named))
    return kept


# Answers


def framed(body):
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def result(number, body):
    return framed(b'{"jsonrpc":"2.0","id":%d,"result":{"arg":"%b"}}' % (number, body))


def pong(number, up):
    return framed(b'{"jsonrpc":"2.0","id":%d,"result":{"up":%b}}' % (number, b"true" if up else b"false"))


def error(number, code, text, retry_after=0):
    """`retry_after`: ns, told with a refusal."""
    told = {"code": code, "message": text}
    if retry_after:
        told["data"] = {"w": -(-retry_after // 1_000_000)}
    return framed(msgspec.json.encode({"jsonrpc": "2.0", "id": number, "error": told}))
