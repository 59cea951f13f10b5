"""The one model store that all hosts share: a pace, slower when crowded, and a limit beyond which it turns
away.

`GET /models/NAME` is answered when the fetch is done: 200, or 503 beyond the limit.
"""

from gaproute.http1 import Limits, Server

SECOND = 1_000_000_000


class ModelStore:
    def __init__(self, loop, where, pace, limit, thrash, tap):
        """`pace`: fetches a second at full pace, shared by those under way; `limit`: fetches under way at
        most; `thrash`: share of the pace lost when the limit is reached."""
        self.loop, self.pace, self.limit, self.thrash, self.tap = loop, pace, limit, thrash, tap
        self.fetches = {}  # request: share of it still to be served
        self.at, self.timer = loop.now(), None
        self.server = Server(loop, where, self.handle, Limits(pipelined=1))
        self.address = self.server.address

    def rate(self):
        """Share of one fetch served each ns, for each of those under way."""
        crowd = len(self.fetches)
        return self.pace * (1 - self.thrash * crowd / self.limit) / max(crowd, 2) / SECOND

    def handle(self, request):
        self.advance()
        if len(self.fetches) >= self.limit:
            self.tap.note("turned away")
            self.server.answer(request, 503, (), b"")
        else:
            self.tap.note("fetch", model=request.target.decode("latin-1"))
            self.fetches[request] = 1.0
            request.on_client_left = lambda: (self.advance(), self.fetches.pop(request, None), self.plan())
        self.plan()

    def advance(self):
        now, rate = self.loop.now(), self.rate() if self.fetches else 0.0
        for request in self.fetches:
            self.fetches[request] -= rate * (now - self.at)
        self.at = now

    def plan(self):
        if self.timer is not None:
            self.timer.cancel()
        if self.fetches:
            left = max(0.0, min(self.fetches.values()))
            self.timer = self.loop.after(round(left / self.rate()) + 1000, self.serve)

    def serve(self):
        self.advance()
        for request in [request for request, left in self.fetches.items() if left <= 1e-6]:
            del self.fetches[request]
            self.server.answer(request, 200, (), b"model")
        self.plan()
