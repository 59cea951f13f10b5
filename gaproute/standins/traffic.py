"""The load that stand-in clients draw: classes of requests, models, and how clients behave."""

from __future__ import annotations

import random
from collections.abc import Sequence
from itertools import accumulate
from typing import NamedTuple

import msgspec

from gaproute.units import SECOND


class ClientRequestClass(msgspec.Struct, frozen=True):
    """A request class as clients know it; an object of `kinds` in a first line."""

    name: str
    share: float  # of the requests
    limit: int  # ns, over all attempts
    models: tuple[str, ...] = ()  # the most popular first
    idempotent: bool = msgspec.field(default=False, name="pure")  # may be retried also after a failure


class TrafficProfile(msgspec.Struct, frozen=True, kw_only=True):
    """How clients behave; the object `habits` of a first line."""

    rate: float = 100.0  # new requests a second
    patience: tuple[float, float] = (0.6, 1.0)  # share of the limit after which a client gives up, by chance
    retries: int = 1  # after a rejection, of one request
    impatient: float = 0.01  # of the requests: their clients leave early
    zipf: float = 1.1  # exponent of the popularity of a class's models
    payload: int = 200  # bytes of a body


class DrawnRequest(NamedTuple):
    """What a new request asks for."""

    request_class: ClientRequestClass
    model: str


class TrafficCommand(msgspec.Struct, frozen=True):
    """A command to clients.

    `burst`: the rate is `factor` times as high. `hot`: `share` of the requests goes to the last model of
    their class. `weights` and `leaving`: see the platform's clients.
    """

    name: str = msgspec.field(default="", name="trouble")
    action: str = msgspec.field(default="", name="do")
    active: bool = msgspec.field(default=True, name="on")
    factor: float = 2.0
    share: float = 0.2
    weights: tuple[float, ...] = ()
    gateway: int = 0


class RequestSource:
    """Draws new requests: when each comes, its class and its model."""

    def __init__(
        self, classes: Sequence[ClientRequestClass], traffic: TrafficProfile, chance: random.Random
    ) -> None:
        self.classes, self.traffic = classes, traffic
        self.rate = traffic.rate  # requests a second
        self.hot_share: float | None = None  # of the requests, that go to the last model of their class
        self._chance = chance
        self._cumulated_shares = list(accumulate(each.share for each in classes))
        self._cumulated_ranks = {
            count: list(accumulate(1 / (rank + 1) ** traffic.zipf for rank in range(count)))
            for count in {len(each.models) for each in classes}
        }

    def draw_gap(self) -> int:
        """The time until the next request, ns."""
        return round(self._chance.expovariate(self.rate) * SECOND)

    def draw(self) -> DrawnRequest:
        """The next request."""
        request_class = self._chance.choices(self.classes, cum_weights=self._cumulated_shares)[0]
        models = request_class.models
        model = self._chance.choices(models, cum_weights=self._cumulated_ranks[len(models)])[0]
        if self.hot_share is not None and self._chance.random() < self.hot_share:
            model = models[-1]
        return DrawnRequest(request_class, model)

    def apply(self, command: TrafficCommand) -> None:
        """Carries out `burst` and `hot`; other commands change nothing here."""
        if command.name == "burst":
            self.rate = self.traffic.rate * (command.factor if command.active else 1.0)
        elif command.name == "hot":
            self.hot_share = command.share if command.active else None
