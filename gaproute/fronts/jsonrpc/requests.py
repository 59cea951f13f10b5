"""Decodes and checks the messages of clients; does no I/O."""

import binascii
import math
import re
from typing import NamedTuple, NoReturn

import msgspec

from gaproute.fronts.jsonrpc.errors import ErrorCode, ProtocolError

NS_PER_MS = 1_000_000

MAX_ARGUMENT_BYTES = 16 * 1024  # of a request's `arg` after decoding
MAX_IDEMPOTENCY_KEY_LENGTH = 256  # in characters; usual keys have 32
MAX_REQUEST_NUMBER_DIGITS = 18
# Greatest valid figures of `extras`
MAX_MEMORY_MB = 1e9
MAX_LOAD_TIME_MS = 1e9
MAX_CONCURRENCY = 1024
# Factor by which the time `d` of a request may exceed the time limit of its class, as clients' clocks differ
# by some ms. A time above the limit counts as the limit; above this factor it is invalid.
MAX_WAIT_FACTOR = 2

JSONRPC_VERSION = "2.0"
NO_EXTRAS: dict[str, float] = {}

DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)

_match_id = re.compile("[0-9a-f]{16}").fullmatch


class Envelope(msgspec.Struct):
    """The fields that all messages have, as on the wire."""

    method: str
    id: msgspec.Raw = msgspec.Raw()
    params: msgspec.Raw = msgspec.Raw()
    jsonrpc: str = ""


class Params(msgspec.Struct):
    """The parameters of a request, as on the wire."""

    i: str  # the id that the client gave the request
    d: int | float  # how long the client waits, ms
    o: str  # the function
    arg: str = ""  # the body in base64
    extras: str = ""  # NAME:FIGURE;NAME:FIGURE
    k: str = ""  # the idempotency key


class Message(NamedTuple):
    """A message whose envelope is valid."""

    number: int | None  # of the request; None for a notification
    method: str
    params: msgspec.Raw


class Request(msgspec.Struct):
    """A valid request to run a function."""

    number: int
    method: str  # the name of its request class
    request_id: str  # the id that the client gave it
    max_wait: int  # how long the client waits, ns
    function: str
    concurrency: int  # how many requests one warm instance runs at a time
    load_time: int | None  # usual time to load the function, ns, if the client gives it
    body: bytes  # still in base64
    idempotency_key: str  # "" if the request class has none


_decode_envelope = msgspec.json.Decoder(Envelope).decode
_decode_params = msgspec.json.Decoder(Params).decode
decode_json = msgspec.json.Decoder().decode


def decode_message(body: bytes) -> Message:
    """Decodes a message. Errors: ProtocolError."""
    try:
        envelope = _decode_envelope(body)
    except DECODE_ERRORS as error:
        _raise_undecodable(body, error)
    number = _decode_number(bytes(envelope.id))
    if envelope.jsonrpc != JSONRPC_VERSION:
        raise ProtocolError(ErrorCode.INVALID_REQUEST, f"jsonrpc is {JSONRPC_VERSION}", number)
    return Message(number, envelope.method, envelope.params)


def _raise_undecodable(body: bytes, error: Exception) -> NoReturn:
    """Raises the ProtocolError for a body that is no JSON, or for JSON that is no request."""
    try:
        decode_json(body)
    except DECODE_ERRORS:
        raise ProtocolError(ErrorCode.PARSE_ERROR, "the message is no JSON") from None
    raise ProtocolError(ErrorCode.INVALID_REQUEST, f"the message is no request: {error}") from None


def _decode_number(text: bytes) -> int | None:
    """Decodes an `id` from its JSON text; None if the message has none. Errors: ProtocolError."""
    if not text or text == b"null":
        return None
    if not text.isdigit() or len(text) > MAX_REQUEST_NUMBER_DIGITS or int(text) < 1:
        raise ProtocolError(ErrorCode.INVALID_REQUEST, "an id is a whole number from 1 up")
    return int(text)


def request_number(body: bytes) -> int | None:
    """The number of the request in a body; None if it has none or cannot be decoded."""
    try:
        return decode_message(body).number
    except ProtocolError as error:
        return error.request_number


def decode_parameters(number: int, params: msgspec.Raw | bytes) -> Params:
    """Decodes the parameters of a request and checks its ids. Errors: ProtocolError."""
    try:
        fields = _decode_params(params)
    except DECODE_ERRORS as error:
        raise ProtocolError(ErrorCode.INVALID_PARAMS, f"params: {error}", number) from None
    _check_identity(fields, number)
    return fields


def make_request(number: int, method: str, fields: Params, class_time_limit: int) -> Request:
    """Checks all other parameters. `class_time_limit`: how long clients of the class wait at most, ns.

    Errors: ProtocolError.
    """
    max_wait = MAX_WAIT_FACTOR * class_time_limit
    if not 0 < fields.d * NS_PER_MS <= max_wait:  # `d` is an int of any size or a finite float
        raise ProtocolError(ErrorCode.INVALID_PARAMS, f"d is 1 to {max_wait // NS_PER_MS} ms", number)
    concurrency, load_time = _decode_extras(fields.extras, number)
    return Request(
        number,
        method,
        fields.i,
        int(fields.d * NS_PER_MS),
        fields.o,
        concurrency,
        load_time,
        _check_argument(fields.arg, number),
        fields.k,
    )


def _check_identity(fields: Params, number: int) -> None:
    """Checks the ids and the idempotency key of a request. Errors: ProtocolError."""
    if not _match_id(fields.i):
        raise ProtocolError(ErrorCode.INVALID_PARAMS, "i is 16 hex digits", number)
    if not _match_id(fields.o):
        raise ProtocolError(ErrorCode.INVALID_PARAMS, "o is 16 hex digits", number)
    if len(fields.k) > MAX_IDEMPOTENCY_KEY_LENGTH or not fields.k.isprintable():
        text = f"k is text of at most {MAX_IDEMPOTENCY_KEY_LENGTH} characters"
        raise ProtocolError(ErrorCode.INVALID_PARAMS, text, number)


def _decode_extras(text: str, number: int) -> tuple[int, int | None]:
    """Decodes `extras` to the concurrency of one instance and the usual load time, ns or None.

    Errors: ProtocolError.
    """
    extras = _parse_extras(text)
    if extras is None:
        raise ProtocolError(ErrorCode.INVALID_PARAMS, "extras is NAME:FIGURE;NAME:FIGURE", number)
    concurrency, load_ms, memory = extras.get("lanes", 1), extras.get("load_ms"), extras.get("memory_mb", 1)
    if concurrency != int(concurrency) or not 1 <= concurrency <= MAX_CONCURRENCY:
        text = f"lanes is a whole number from 1 to {MAX_CONCURRENCY}"
        raise ProtocolError(ErrorCode.INVALID_PARAMS, text, number)
    if load_ms is not None and not 0 <= load_ms <= MAX_LOAD_TIME_MS:
        raise ProtocolError(ErrorCode.INVALID_PARAMS, "load_ms is out of range", number)
    if not 0 <= memory <= MAX_MEMORY_MB:
        raise ProtocolError(ErrorCode.INVALID_PARAMS, "memory_mb is out of range", number)
    return int(concurrency), None if load_ms is None else int(load_ms * NS_PER_MS)


def _parse_extras(text: str) -> dict[str, float] | None:
    """The figures of `extras` by name; None if they cannot be decoded."""
    if not text:
        return NO_EXTRAS
    extras = {}
    for pair in text.split(";"):
        name, colon, figure = pair.partition(":")
        try:
            value = float(figure)
        except ValueError:
            return None
        if not colon or not math.isfinite(value):
            return None
        extras[name] = value
    return extras


def _check_argument(argument: str, number: int) -> bytes:
    """Checks that the `arg` of a request is base64 of a bounded size; returns it, still in base64.

    Errors: ProtocolError.
    """
    try:
        encoded = argument.encode("ascii")
        size = len(binascii.a2b_base64(encoded, strict_mode=True))
    except (UnicodeEncodeError, binascii.Error):
        raise ProtocolError(ErrorCode.INVALID_PARAMS, "arg is base64", number) from None
    if size > MAX_ARGUMENT_BYTES:
        text = f"arg has at most {MAX_ARGUMENT_BYTES} bytes"
        raise ProtocolError(ErrorCode.INVALID_PARAMS, text, number)
    return encoded
