"""Pulls of the cell table by HTTP from the peers' server: the client, one pull at a time, and the server's
route.
"""

from collections.abc import Callable
from typing import Any

from gaproute.http1 import Exchange, Response
from gaproute.loop import Loop
from gaproute.loop.addresses import address
from gaproute.loop.timers import Timer
from gaproute.peers.tables import wire
from gaproute.shared.dissemination import Disseminator
from gaproute.shared.dissemination.bounds import EXCHANGE_TIME
from gaproute.shared.dissemination.messages import Busy, Changes, Part, Pull

TARGET = b"/tables"
MAX_HEAD_BYTES = 4_096
MESSAGE_PACK = (b"Content-Type", b"application/msgpack")

Answer = Changes | Part | Busy
AnswerCallback = Callable[[Answer | None], object]


class PullClient:
    """Sends a pull to one peer at a time; a new one replaces the one before."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.exchange: Exchange | None = None  # the open one
        self._timer: Timer | None = None

    def ask(self, where: str, pull: Pull, done: AnswerCallback) -> None:
        """Sends a pull; `done(answer)` is called once, later; with None if no answer came.

        It is not called for a pull that is replaced or dropped.
        """
        self.drop()
        body = wire.encode_pull(pull)
        head = b"POST %s HTTP/1.1\r\nHost: peer\r\nConnection: close\r\n" % TARGET
        data = head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        try:
            target = address(where)
        except ValueError:
            self._timer = self.loop.after(0, done, None)
            return
        exchange: Exchange = Exchange(
            self.loop, data, lambda response, fault: self._end(exchange, response, done)
        )
        self.exchange = exchange
        self._timer = self.loop.after(EXCHANGE_TIME, self._end, exchange, None, done)
        exchange.connect(target, EXCHANGE_TIME, MAX_HEAD_BYTES, wire.MAX_ANSWER_BYTES)

    def drop(self) -> None:
        """Ends the open pull."""
        if self._timer is not None:
            self._timer.cancel()
        if self.exchange is not None:
            self.exchange.cancel()
        self.exchange = self._timer = None

    def _end(self, exchange: Exchange, response: Response | None, done: AnswerCallback) -> None:
        if self.exchange is not exchange:
            return
        self.drop()
        done(wire.decode_answer(response.body) if response is not None and response.status == 200 else None)


def pull_route(loop: Loop, disseminator: Disseminator) -> Callable[[Any, Any], None]:
    """The route of pulls at the peers' server, or at a simulated one."""

    def handle(server: Any, request: Any) -> None:
        now = loop.now()
        if request.method != b"POST":
            server.answer(request, 405, (), b"POST /tables\n")
        elif not disseminator.admits(now, ""):
            server.answer(request, 503, (), b"")
        else:
            answer = disseminator.answer(now, wire.decode_pull(request.body))
            if answer is None:
                server.answer(request, 400, (), b"not a pull of this fleet\n")
            else:
                server.answer(request, 200, (MESSAGE_PACK,), wire.encode_answer(answer))

    return handle
