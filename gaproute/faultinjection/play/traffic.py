"""What clients and the change log do in a play, drawn from a seed: requests, departures, a drain."""

from __future__ import annotations

import random
from dataclasses import dataclass

from gaproute.faultinjection.catalog import CLOCK_STEP_SIZES
from gaproute.faultinjection.play.far_client import Departure, FarClient, FarRequest
from gaproute.faultinjection.play.scene import IDEMPOTENT, KEYED, NON_IDEMPOTENT, REQUEST_CLASSES, Scene
from gaproute.units import MILLI, SECOND

CLASS_WEIGHTS = {IDEMPOTENT: 2, NON_IDEMPOTENT: 2, KEYED: 1}
TIMEOUTS = (400 * MILLI, 1000 * MILLI, 1500 * MILLI)  # for which clients wait, ns
REUSED_SHARE = 0.6  # of the requests are sent on a connection that is open already
MAX_DEPARTURE_DELAY = 60 * MILLI  # from a request to its departure, ns
MAX_PIECES = 3  # writes that a request is split over
DRAIN_TIME = SECOND


@dataclass(frozen=True)
class Conditions:
    """What a play is like, apart from its faults.

    `length`: ns in which requests are sent; `departures`: the share of the requests that their clients leave;
    `clock_steps`: how often the wall clock is stepped; `stop`: whether the gateway is asked to stop in the
    middle; `faulty_start`: whether the start of the gateway has faults, too.
    """

    requests: int = 40
    length: int = 2 * SECOND
    hosts: int = 3
    departures: float = 0.25
    clock_steps: int = 3
    stop: bool = False
    faulty_start: bool = False


class Traffic:
    """Sends the requests of a play. It is drawn from `seed` beforehand, whatever the gateway answers."""

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
            self._plan_clock_step(conditions.length)
        if conditions.stop:
            scene.far_loop.after(conditions.length // 2, self._stop)

    def _plan_request(self, number: int, conditions: Conditions) -> None:
        draw = self._random
        weights = [CLASS_WEIGHTS[request_class] for request_class in REQUEST_CLASSES]
        request_class = draw.choices(REQUEST_CLASSES, weights)[0]
        request = FarRequest(number, request_class, sent_at=0, timeout=draw.choice(TIMEOUTS))
        request.idempotency_key = f"key-{number}" if request_class == KEYED else ""
        position = draw.random() if draw.random() < REUSED_SHARE else None
        pieces = draw.randint(1, MAX_PIECES)
        departure = draw.choice(list(Departure)) if draw.random() < conditions.departures else None
        sent_at, departure_delay = draw.randrange(conditions.length), draw.randrange(MAX_DEPARTURE_DELAY)
        self.scene.far_loop.after(sent_at, self._send, request, position, pieces)
        if departure is not None:
            self.scene.far_loop.after(sent_at + departure_delay, self._leave, request, departure)

    def _plan_drain(self, length: int) -> None:
        far_loop, host = self.scene.far_loop, self._random.choice([host.name for host in self.scene.hosts])
        drains_at = self._random.randrange(length // 2)
        far_loop.after(drains_at, self._publish, host, "Terminating")
        far_loop.after(drains_at + DRAIN_TIME, self._publish, host, "Ready")

    def _plan_clock_step(self, length: int) -> None:
        span = self._random.choice(CLOCK_STEP_SIZES) * self._random.choice((SECOND, -SECOND))
        stepped_at = self._random.randrange(length)
        self.scene.far_loop.after(stepped_at, self.scene.faults.wall_clock.step, span)

    def _publish(self, host: str, phase: str) -> None:
        self.scene.publish({host: phase})

    def _send(self, request: FarRequest, position: float | None, pieces: int) -> None:
        client = self._client_for(position)
        if client is not None:
            request.sent_at = self.scene.clock.now
            self.requests.append((client, request))
            client.send_request(request, pieces)

    def _client_for(self, position: float | None) -> FarClient | None:
        """The open connection at that position among all (0 to 1), else a new one.

        None if there is no open one and the gateway does not listen any more.
        """
        usable = [client for client in self.scene.clients if client.open and not client.departing]
        if position is not None and usable:
            return usable[int(position * len(usable))]
        return None if self._stopped else self.scene.connect_client()

    def _leave(self, request: FarRequest, departure: Departure) -> None:
        for client, sent in self.requests:
            if sent is request:
                client.leave(request, departure)

    def _stop(self) -> None:
        self._stopped = True
        self.scene.process.stop()
