"""The one model store that all hosts share: a rate of fetches, slower when crowded, and a limit.

`GET /models/NAME` is answered when the fetch is done: 200, or at once 503 beyond the limit.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from gaproute.http1 import Limits, Request, Server
from gaproute.loop import Loop
from gaproute.loop.addresses import Address
from gaproute.loop.timers import Timer
from gaproute.standins.json_objects import JsonObject
from gaproute.standins.tap import EventRecorder
from gaproute.units import SECOND

DONE = 1e-6  # share of a fetch that may be left when it is answered: rounding
ROUNDING = 1000  # ns, by which a timer is set later, so that it never spins
BODY = b"model"


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreProfile:
    """What a model store can do."""

    rate: float  # fetches a second, shared by those under way
    limit: int  # fetches under way at most
    thrash: float  # share of the rate that is lost when the limit is reached


class ModelStore:
    """Listens at `where`. Errors: OSError."""

    def __init__(self, loop: Loop, where: Address, profile: StoreProfile, tap: EventRecorder) -> None:
        self.loop, self.profile, self.tap = loop, profile, tap
        self._fetches: dict[Request, float] = {}  # the share of each that is still to be served
        self._advanced_at = loop.now()
        self._timer: Timer | None = None
        self.server = Server(loop, where, self._handle, Limits(max_pipelined=1))
        self.address = self.server.address

    def command(self, command: JsonObject) -> None:
        """`{"pace": RATE}` sets the rate of fetches a second."""
        self.profile = replace(self.profile, rate=command["pace"])

    def _share_a_ns(self) -> float:
        """The share of one fetch that each of those under way is served in one ns."""
        count = len(self._fetches)
        profile = self.profile
        return profile.rate * (1 - profile.thrash * count / profile.limit) / max(count, 2) / SECOND

    def _handle(self, request: Request) -> None:
        self._advance()
        if len(self._fetches) >= self.profile.limit:
            self.tap.note("turned away")
            self.server.answer(request, 503, (), b"")
        else:
            self.tap.note("fetch", model=request.target.decode("latin-1"))
            self._fetches[request] = 1.0
            request.on_client_left = lambda: self._withdraw(request)
        self._schedule()

    def _withdraw(self, request: Request) -> None:
        self._advance()
        self._fetches.pop(request, None)
        self._schedule()

    def _advance(self) -> None:
        """Accounts for what was served until now."""
        now, share = self.loop.now(), self._share_a_ns() if self._fetches else 0.0
        for request in self._fetches:
            self._fetches[request] -= share * (now - self._advanced_at)
        self._advanced_at = now

    def _schedule(self) -> None:
        """Sets the timer for the next fetch that will be done."""
        if self._timer is not None:
            self._timer.cancel()
        if self._fetches:
            left = max(0.0, min(self._fetches.values()))
            self._timer = self.loop.call_later(round(left / self._share_a_ns()) + ROUNDING, self._answer_done)

    def _answer_done(self) -> None:
        self._advance()
        for request in [request for request, left in self._fetches.items() if left <= DONE]:
            del self._fetches[request]
            self.server.answer(request, 200, (), BODY)
        self._schedule()
