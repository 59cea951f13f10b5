"""Fetches from the model store over HTTP, which a host does before it starts an instance."""

from __future__ import annotations

from collections.abc import Callable

from gaproute.http1 import Exchange, NoResponseError, Response
from gaproute.loop import Loop, Promise
from gaproute.loop.addresses import parse_address
from gaproute.standins.model_server.profiles import ModelProfile
from gaproute.units import SECOND

CONNECT_TIMEOUT = SECOND
HEAD_LIMIT, BODY_LIMIT = 65536, 1 << 20  # bytes of an answer: stand-ins send little

Fetch = Callable[[ModelProfile], Promise]  # the promise: whether the model came


class StoreClient:
    """Fetches models from the store at that address; without a store each is there at once."""

    def __init__(self, loop: Loop, store: str | None) -> None:
        self.loop = loop
        self.store = parse_address(store) if store is not None else None

    def fetch(self, model: ModelProfile) -> Promise:
        """A promise of whether the store gave the model, in one attempt."""
        fetched = Promise()
        if self.store is None:
            fetched.set(True)
            return fetched

        def on_done(response: Response | None, _: NoResponseError | None) -> None:
            fetched.set(response is not None and response.status == 200)

        path = model.name.encode()
        request = b"GET /models/%s HTTP/1.1\r\nHost: store\r\nConnection: close\r\n\r\n" % path
        Exchange(self.loop, request, on_done).connect(self.store, CONNECT_TIMEOUT, HEAD_LIMIT, BODY_LIMIT)
        return fetched
