"""What clients and the change log do in a play, by a seed: arrivals, departures, hosts that drain."""

from __future__ import annotations

import random
from dataclasses import dataclass

from gaproute.faultinjection.catalog import CLOCK_STEP_SIZES
from gaproute.faultinjection.play.far_client import Departure, FarClient, FarRequest
from gaproute.faultinjection.play.scene import IDEMPOTENT, KEYED, NON_IDEMPOTENT, REQUEST_CLASSES, Scene
from gaproute.faultinjection.play.timeline import MILLI, SECOND

CLASS_WEIGHTS = {IDEMPOTENT: 2, NON_IDEMPOTENT: 2, KEYED: 1}
TIMEOUTS = (400 * MILLI, 1000 * MILLI, 1500 * MILLI)  # that clients wait
REUSED_SHARE = 0.6  # of the requests go on a connection that is open
LATEST_DEPARTURE = 60 * MILLI  # after the request
MAX_PIECES = 3  # that a request is sent in
DRAIN_TIME = SECOND


@dataclass(frozen=True)
class Conditions:
    """What a play is like, beside its faults.

    `departures`: share of the requests that are left before their answer; `clock_steps`: how often the wall
    clock is stepped; `stop`: the gateway is asked to stop in the middle; `faulty_start`: faults come from its
    start on.
    """

    requests: int = 40
    length: int = 2 * SECOND
    hosts: int = 3
    departures: float = 0.25
    clock_steps: int = 3
    stop: bool = False
    faulty_start: bool = False


class Traffic:
    """Sends the requests of a play. All its draws come from `seed`, whatever the gateway answers."""

    def __init__(self, scene: Scene, seed: int, conditions: Conditions) -> None:
        self.scene = scene
        self.requests: list[tuple[FarClient, FarRequest]] = []
        self._random = random.Random(f"{seed}/traffic")
        self._stopped = False
        for number in range(1, conditions.requests + 1):
            self._plan_request(number, conditions)
        if conditions.hosts > 1:
            self._plan_drain(conditions.length)
        for _ in range(conditions.clock_steps):
            span = self._random.choice(CLOCK_STEP_SIZES) * self._random.choice((SECOND, -SECOND))
            scene.far_loop.after(
                self._random.randrange(conditions.length), scene.faults.wall_clock.step, span
            )
        if conditions.stop:
            scene.far_loop.after(conditions.length // 2, self._stop)

    def _plan_request(self, number: int, conditions: Conditions) -> None:
        draw = self._random
        request = FarRequest(
            number, draw.choices(REQUEST_CLASSES, [CLASS_WEIGHTS[lane] for lane in REQUEST_CLASSES])[0], 0, 0
        )
        request.timeout = draw.choice(TIMEOUTS)
        request.idempotency_key = f"key-{number}" if request.request_class == KEYED else ""
        place = draw.random() if draw.random() < REUSED_SHARE else None
        pieces = draw.randint(1, MAX_PIECES)
        departure = draw.choice(list(Departure)) if draw.random() < conditions.departures else None
        at, leaves = draw.randrange(conditions.length), draw.randrange(LATEST_DEPARTURE)
        self.scene.far_loop.after(at, self._ask, request, place, pieces)
        if departure is not None:
            self.scene.far_loop.after(at + leaves, self._leave, request, departure)

    def _plan_drain(self, length: int) -> None:
        far, name = self.scene.far_loop, self._random.choice([host.name for host in self.scene.hosts])
        at = self._random.randrange(length // 2)
        far.after(at, self._publish, name, "Terminating")
        far.after(at + DRAIN_TIME, self._publish, name, "Ready")

    def _publish(self, name: str, phase: str) -> None:
        self.scene.publish(**{name: phase})

    def _ask(self, request: FarRequest, place: float | None, pieces: int) -> None:
        client = self._client(place)
        if client is not None:
            request.sent_at = self.scene.clock.now
            self.requests.append((client, request))
            client.send_request(request, pieces)

    def _client(self, place: float | None) -> FarClient | None:
        """An open connection by that share of them, else a new one; None where nobody listens any more."""
        usable = [client for client in self.scene.clients if client.open and not client.departing]
        if place is not None and usable:
            return usable[int(place * len(usable))]
        return None if self._stopped else self.scene.connect_client()

    def _leave(self, request: FarRequest, departure: Departure) -> None:
        for client, asked in self.requests:
            if asked is request:
                client.leave(request, departure)

    def _stop(self) -> None:
        self._stopped = True
        self.scene.process.stop()
