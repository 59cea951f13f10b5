"""Pulls of the cell table by HTTP.

`PullClient` sends one at a time; `HttpPullListener` receives those of other gateways at the peers' server.
"""

from gaproute.http1 import Exchange, Request, Response, Server
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address
from gaproute.loop.timers import Timer
from gaproute.peers.peer_server import PeerServer
from gaproute.peers.ports import PullCallback, PullHandler
from gaproute.peers.tables import wire
from gaproute.shared.dissemination.bounds import EXCHANGE_TIMEOUT
from gaproute.shared.dissemination.messages import Pull

TARGET = b"/tables"
MAX_HEAD_BYTES = 4_096
MESSAGE_PACK = (b"Content-Type", b"application/msgpack")
OK, METHOD_NOT_ALLOWED = 200, 405  # HTTP status


class PullClient:
    """Sends a pull to one peer at a time; a new one replaces the one before."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.exchange: Exchange | None = None  # the open one
        self._timer: Timer | None = None

    def ask(self, where: str, pull: Pull, done: PullCallback) -> None:
        """Sends a pull; `done(answer)` is called once, later; with None if no answer came.

        It is not called for a pull that is replaced or dropped.
        """
        self.drop()
        body = wire.encode_pull(pull)
        head = b"POST %s HTTP/1.1\r\nHost: peer\r\nConnection: close\r\n" % TARGET
        data = head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        try:
            target = parse_address(where)
        except ValueError:
            self._timer = self.loop.call_later(0, done, None)
            return
        exchange: Exchange = Exchange(
            self.loop, data, lambda response, fault: self._end(exchange, response, done)
        )
        self.exchange = exchange
        self._timer = self.loop.call_later(EXCHANGE_TIMEOUT, self._end, exchange, None, done)
        exchange.connect(target, EXCHANGE_TIMEOUT, MAX_HEAD_BYTES, wire.MAX_ANSWER_BYTES)

    def drop(self) -> None:
        """Ends the open pull."""
        if self._timer is not None:
            self._timer.cancel()
        if self.exchange is not None:
            self.exchange.cancel()
        self.exchange = self._timer = None

    def _end(self, exchange: Exchange, response: Response | None, done: PullCallback) -> None:
        if self.exchange is not exchange:
            return
        self.drop()
        done(wire.decode_answer(response.body) if response is not None and response.status == OK else None)


class HttpPullListener:
    """Receives pulls at the address of the peers' server."""

    def __init__(self, peer_server: PeerServer) -> None:
        self._peer_server = peer_server

    @property
    def address(self) -> str:
        """The address of the peers' server."""
        return self._peer_server.address

    def serve(self, handler: PullHandler) -> None:
        """From now on pulls are answered with what the handler returns."""

        def answer(server: Server, request: Request) -> None:
            if request.method != b"POST":
                server.answer(request, METHOD_NOT_ALLOWED, (), b"POST /tables\n")
                return
            reply = handler(request.body)
            headers = (MESSAGE_PACK,) if reply.status == OK else ()
            server.answer(request, reply.status, headers, reply.body)

        self._peer_server.routes[TARGET] = answer

    def stop(self) -> None:
        """From now on the address answers no pulls."""
        self._peer_server.routes.pop(TARGET, None)
