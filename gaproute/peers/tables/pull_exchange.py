"""Pulls by `POST /tables` at the peers' address: the asking side, one at a time, and the answering side."""

from gaproute.http1 import Exchange
from gaproute.loop.streams import address
from gaproute.peers.tables import wire
from gaproute.shared.dissemination.bounds import EXCHANGE_TIME

TARGET = b"/tables"
HEAD_BYTES = 4_096


class PullClient:
    """Asks one peer at a time; a new question drops the one before."""

    def __init__(self, loop):
        self.loop = loop
        self.exchange = self.timer = None

    def ask(self, where: str, pull, done):
        """`done(answer)` once, None where none came; never at once. A dropped question calls nothing."""
        self.drop()
        body = wire.encode_pull(pull)
        head = b"POST %s HTTP/1.1\r\nHost: peer\r\nConnection: close\r\n" % TARGET
        data = head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        try:
            target = address(where)
        except ValueError:
            self.timer = self.loop.after(0, done, None)
            return
        exchange = Exchange(self.loop, data, lambda answer, fault: self._over(exchange, answer, done))
        self.exchange = exchange
        self.timer = self.loop.after(EXCHANGE_TIME, self._over, exchange, None, done)
        exchange.open(target, EXCHANGE_TIME, HEAD_BYTES, wire.LONGEST_ANSWER)

    def _over(self, exchange, answer, done):
        if self.exchange is not exchange:
            return
        self.drop()
        good = answer is not None and answer.status == 200
        done(wire.decode_answer(answer.body) if good else None)

    def drop(self):
        """End the question that is open."""
        if self.timer is not None:
            self.timer.cancel()
        if self.exchange is not None:
            self.exchange.drop()
        self.exchange = self.timer = None


def answered(loop, disseminator):
    """The handler of pulls for the peers' address."""

    def handle(server, request):
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
                kind = (b"Content-Type", b"application/msgpack")
                server.answer(request, 200, (kind,), wire.encode_answer(answer))

    return handle
