"""One question to a gateway's operators' address, as a promise of what came of it."""

import msgspec

from gaproute.http1 import Exchange
from gaproute.loop import Promise
from gaproute.loop.addresses import address

MILLI = 1_000_000
CONNECT, ANSWER = 200 * MILLI, 400 * MILLI  # a gateway that stands still answers nothing: then again
HEAD, BODY = 1 << 14, 1 << 22  # bytes of an answer
LOST, SILENT = "lost", "silent"  # its process has ended; nothing came in time


def ask(loop, where, path, order=None):
    """A promise of the answer as plain data, of `LOST` or of `SILENT`."""
    promise, body = Promise(), b"" if order is None else msgspec.json.encode(order)
    head = (
        f"{'GET' if order is None else 'POST'} {path} HTTP/1.1\r\nHost: operator\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )

    def came(answer, undelivered):
        timer.cancel()
        if answer is None:
            promise.set(LOST)
            return
        exchange.connection.abort()
        promise.set(msgspec.json.decode(answer.body))

    def late():
        if not exchange.finished:
            exchange.cancel()
            promise.set(SILENT)

    exchange = Exchange(loop, head.encode() + body, came)
    timer = loop.after(ANSWER, late)
    return exchange.connect(address(where), CONNECT, HEAD, BODY) and promise
