"""Sends a request to a gateway's operators' address; the answer is a promise."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto

import msgspec

from gaproute.http1 import Exchange, Response
from gaproute.loop import Loop, Promise
from gaproute.loop.addresses import parse_address
from gaproute.loop.timers import Timer
from gaproute.units import MILLI

CONNECT_TIMEOUT, ANSWER_TIMEOUT = 200 * MILLI, 400 * MILLI  # a paused gateway answers nothing: then again
MAX_HEAD, MAX_BODY = 1 << 14, 1 << 22  # bytes of an answer


class NoAnswer(Enum):
    """Why there is no answer."""

    LOST = auto()  # the gateway's process has ended
    SILENT = auto()  # nothing came in time


def request_operator(
    loop: Loop, operator_address: str, path: str, command: Mapping[str, object] | None = None
) -> Promise:
    """Sends a POST with the command, or a GET without one; a promise of the answer's JSON or `NoAnswer`."""
    return _OperatorRequest(loop, operator_address, _encode(path, command)).promise


def _encode(path: str, command: Mapping[str, object] | None) -> bytes:
    body = b"" if command is None else msgspec.json.encode(command)
    method = "GET" if command is None else "POST"
    head = f"{method} {path} HTTP/1.1\r\nHost: operator\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class _OperatorRequest:
    """One exchange with its timeout; `promise` is settled once."""

    def __init__(self, loop: Loop, operator_address: str, request: bytes) -> None:
        self.promise = Promise()
        self._exchange = Exchange(loop, request, self._done)
        self._timer: Timer = loop.call_later(ANSWER_TIMEOUT, self._time_up)
        self._exchange.connect(parse_address(operator_address), CONNECT_TIMEOUT, MAX_HEAD, MAX_BODY)

    def _done(self, response: Response | None, failure: object) -> None:
        self._timer.cancel()
        if response is None:
            self.promise.set(NoAnswer.LOST)
            return
        if self._exchange.connection is not None:
            self._exchange.connection.abort()
        self.promise.set(msgspec.json.decode(response.body))

    def _time_up(self) -> None:
        if not self._exchange.finished:
            self._exchange.cancel()
            self.promise.set(NoAnswer.SILENT)
