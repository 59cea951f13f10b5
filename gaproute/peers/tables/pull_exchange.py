"""Pulls the cell table over HTTP.

`PullClient` sends pulls, one at a time; `HttpPullListener` receives pulls of other gateways at the peer
server.
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

HTTP_TARGET = b"/tables"
MAX_RESPONSE_HEAD_BYTES = 4_096
MESSAGE_PACK_HEADER = (b"Content-Type", b"application/msgpack")
HTTP_OK, HTTP_METHOD_NOT_ALLOWED = 200, 405  # HTTP status codes


class PullClient:
    """Sends a pull to one peer at a time; a new pull replaces the open one."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.open_exchange: Exchange | None = None  # exchange of the open pull
        self._timer: Timer | None = None

    def send_pull(self, address: str, pull: Pull, on_answer: PullCallback) -> None:
        """Sends a pull to the gateway at that address and cancels the open pull, if any.

        `on_answer(answer)` is called once, after this method returns, with None if the pull failed. It is not
        called if the pull is cancelled or replaced first.
        """
        self.cancel_pull()
        body = wire.encode_pull(pull)
        head = b"POST %s HTTP/1.1\r\nHost: peer\r\nConnection: close\r\n" % HTTP_TARGET
        data = head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        try:
            target = parse_address(address)
        except ValueError:
            self._timer = self.loop.call_later(0, on_answer, None)
            return
        exchange: Exchange = Exchange(
            self.loop, data, lambda response, fault: self._finish(exchange, response, on_answer)
        )
        self.open_exchange = exchange
        self._timer = self.loop.call_later(EXCHANGE_TIMEOUT, self._finish, exchange, None, on_answer)
        exchange.connect(target, EXCHANGE_TIMEOUT, MAX_RESPONSE_HEAD_BYTES, wire.MAX_ANSWER_BYTES)

    def cancel_pull(self) -> None:
        """Cancels the open pull, if any."""
        if self._timer is not None:
            self._timer.cancel()
        if self.open_exchange is not None:
            self.open_exchange.cancel()
        self.open_exchange = self._timer = None

    def _finish(self, exchange: Exchange, response: Response | None, on_answer: PullCallback) -> None:
        if self.open_exchange is not exchange:
            return
        self.cancel_pull()
        on_answer(
            wire.decode_answer(response.body) if response is not None and response.status == HTTP_OK else None
        )


class HttpPullListener:
    """Receives pulls at the address of the peer server."""

    def __init__(self, peer_server: PeerServer) -> None:
        self._peer_server = peer_server

    @property
    def address(self) -> str:
        """The address of the peer server."""
        return self._peer_server.address

    def serve(self, handler: PullHandler) -> None:
        """Answers pulls from now on with the replies of the handler."""

        def answer(server: Server, request: Request) -> None:
            if request.method != b"POST":
                server.answer(request, HTTP_METHOD_NOT_ALLOWED, (), b"POST /tables\n")
                return
            reply = handler(request.body)
            headers = (MESSAGE_PACK_HEADER,) if reply.status == HTTP_OK else ()
            server.answer(request, reply.status, headers, reply.body)

        self._peer_server.routes[HTTP_TARGET] = answer

    def stop(self) -> None:
        """Removes the route, so that later pulls are answered with 404."""
        self._peer_server.routes.pop(HTTP_TARGET, None)
