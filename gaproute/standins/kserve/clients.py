"""Stand-in clients on KServe v2: open-loop arrivals to several gateways, and what came of each, on a tap.

Each request is known by the `id` in its body, which passes through the gateway untouched. A client gives
up at its limit; a few leave early; after a rejection it may retry with a new id, after the time that the
gateway gave.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address
from gaproute.standins.kserve.client_request import (
    MIN_TIME_LEFT,
    ClientAttempt,
    ClientRequest,
    Gateway,
)
from gaproute.standins.kserve.idle_connections import IdleConnections
from gaproute.standins.tap import EventRecorder
from gaproute.standins.traffic import ClientRequestClass, RequestSource, TrafficCommand, TrafficProfile
from gaproute.units import MILLI

CHECK_INTERVAL = 50 * MILLI  # between looks whether all requests have ended
LAST_ANSWERS = 1500 * MILLI  # after the end, for what comes after the final answers


class KServeTraffic(TrafficProfile, frozen=True, kw_only=True):
    """The object `habits` of the first line of `clients`."""

    prefix: str = "c"  # of the requests' ids, where several processes of clients share a load


@dataclass(frozen=True, kw_only=True, slots=True)
class KServeLoad:
    """What the clients send."""

    gateways: Sequence[str]  # addresses
    classes: Sequence[ClientRequestClass]
    traffic: KServeTraffic
    seed: int | str
    until: int  # ns, when the last new request comes


class KServeClients:
    """Sends requests from now on; the loop is stopped a while after the last one has ended."""

    def __init__(self, loop: Loop, load: KServeLoad, tap: EventRecorder) -> None:
        self.loop, self.tap, self.traffic, self.until = loop, tap, load.traffic, load.until
        self.chance = random.Random(load.seed)
        self.source = RequestSource(load.classes, load.traffic, self.chance)
        self.gateways = [
            Gateway(number, parse_address(where), IdleConnections(number, tap))
            for number, where in enumerate(load.gateways)
        ]
        self.open_requests = 0
        self._request_count = 0
        self._all_arrived = False
        self._max_lateness = 0  # of an arrival against its time, ns
        self._next_arrival = loop.now()
        loop.call_soon(self._arrive)
        self._check_end()

    def command(self, command: dict[str, Any]) -> None:
        """Changes the load; see `TrafficCommand` for the form. Errors: msgspec.ValidationError."""
        self.source.apply(msgspec.convert(command, TrafficCommand))

    def _arrive(self) -> None:
        now = self.loop.now()
        while self._next_arrival <= now:
            self._max_lateness = max(self._max_lateness, now - self._next_arrival)
            self._next_arrival += self.source.draw_gap()
            self.start_request()
        if self._next_arrival < self.until:
            self.loop.call_at(self._next_arrival, self._arrive)
        else:
            self._all_arrived = True

    def start_request(self) -> None:
        """Sends a new request."""
        drawn = self.source.draw()
        self._request_count += 1
        request_id = f"{self.traffic.prefix}{self._request_count}"
        self.send(
            ClientAttempt(
                id=request_id,
                request_class=drawn.request_class,
                model=drawn.model,
                time_limit=drawn.request_class.limit,
                first_id=request_id,
            )
        )

    def send(self, attempt: ClientAttempt) -> None:
        """Sends an attempt to a gateway by chance, of those that did not refuse it."""
        able = [gateway for gateway in self.gateways if gateway.number not in attempt.refused]
        if not able or (attempt.refused and attempt.time_limit < MIN_TIME_LEFT):
            self.tap.note(
                "unreachable",
                id=attempt.id,
                first=attempt.first_id,
                track=attempt.request_class.name,
                asked=self.loop.now(),
                tries=attempt.number,
            )
            return
        ClientRequest(self, attempt, self.chance.choice(able)).start()

    def _check_end(self) -> None:
        if not self._all_arrived or self.open_requests:
            self.loop.call_later(CHECK_INTERVAL, self._check_end)
            return
        self.tap.note("done", late=self._max_lateness)
        self.tap.flush()
        self.loop.call_later(LAST_ANSWERS, self.loop.stop)
