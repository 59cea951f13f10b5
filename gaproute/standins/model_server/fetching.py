"""Fetches from the model store over HTTP: what a host's copies wait for."""

from gaproute.http1 import Exchange
from gaproute.loop import Promise
from gaproute.loop.addresses import address

SECOND = 1_000_000_000
CONNECT = SECOND  # for a connection to the store
HEAD, BODY = 65536, 1 << 20  # bytes of an answer's head and body: stand-ins say little


def fetcher(loop, store):
    """A call `fetch(model)` that gives a promise of whether the store at that address gave it, in one try;
    without a store it is there at once."""

    def fetch(model):
        came = Promise()
        if store is None:
            came.set(True)
            return came
        data = b"GET /models/%s HTTP/1.1\r\nHost: store\r\nConnection: close\r\n\r\n" % model.name.encode()
        Exchange(
            loop, data, lambda answer, fault: came.set(answer is not None and answer.status == 200)
        ).connect(address(store), CONNECT, HEAD, BODY)
        return came

    return fetch
