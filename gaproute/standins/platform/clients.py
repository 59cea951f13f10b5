"""Stand-in clients of the platform: open-loop arrivals to many gateways, and what came of each, on a tap.

A request's id is the `i` of its call, new with each attempt; `first` in taps is that of its first attempt.
Clients give up at their limit, a few leave early; after a rejection some retry, after the time that they were
given.
"""

from __future__ import annotations

import base64
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from gaproute.loop import Loop
from gaproute.standins.json_objects import JsonObject, WriteLine
from gaproute.standins.model_server import ModelProfile
from gaproute.standins.platform.client_request import PlatformRequest
from gaproute.standins.platform.gateway_pool import GatewayPool
from gaproute.standins.platform.traffic import PlatformTraffic
from gaproute.standins.tap import EventRecorder
from gaproute.standins.traffic import ClientRequestClass, RequestSource, TrafficCommand
from gaproute.units import MILLI, SECOND

START_TIMEOUT = 30 * SECOND  # after which clients come although not all gateways are in
CHECK_INTERVAL = 50 * MILLI
LAST_ANSWERS = 1500 * MILLI  # after the end, for what comes after the final answers
SEED_BITS = 0xFFFFFF  # of the seed, that stand in ids


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformLoad:
    """What the clients send. The functions of a class are the models of that class."""

    gateways: Sequence[str]  # addresses
    models: Sequence[ModelProfile]
    classes: Sequence[ClientRequestClass]
    traffic: PlatformTraffic
    seed: int
    length: int  # ns of arrivals


class PlatformClients:
    """Waits until all gateways are in, then sends requests; the loop is stopped a while after the last one
    has ended."""

    def __init__(
        self,
        loop: Loop,
        load: PlatformLoad,
        tap: EventRecorder,
        report: WriteLine,
    ) -> None:
        """`report(line)`: tells whoever started the stand-in that the first request comes."""
        self.loop, self.tap, self.report, self.traffic = loop, tap, report, load.traffic
        self.chance, self._seed = random.Random(load.seed), load.seed
        self.source = RequestSource(_with_models(load), load.traffic, self.chance)
        self.pool = GatewayPool(loop, load.gateways, load.traffic, self.chance, tap)
        self.open_requests = 0
        self.until: int | None = None  # when the last request comes, ns; None before the first
        self._length = load.length
        self._parameters = _parameters(load)
        self._id_count = 0
        self._all_arrived = False
        self._next_arrival = 0
        self._start_by = loop.now() + START_TIMEOUT
        self._await_gateways()

    def _await_gateways(self) -> None:
        now = self.loop.now()
        if not self.pool.all_in() and now < self._start_by:
            self.loop.call_later(CHECK_INTERVAL, self._await_gateways)
            return
        self._next_arrival, self.until = now, now + self._length
        self.tap.note("begun")
        self.report({"begun": now})
        self._arrive()
        self._check_end()

    def _arrive(self) -> None:
        now, until = self.loop.now(), self.until or 0
        while self._next_arrival <= now and self._next_arrival < until:
            self.start_request()
            self._next_arrival += self.source.draw_gap()
        if self._next_arrival < until:
            self.loop.call_at(self._next_arrival, self._arrive)
        else:
            self._all_arrived = True

    def start_request(self) -> None:
        """Sends a new request."""
        drawn = self.source.draw()
        PlatformRequest(self, drawn, self.new_id()).start()

    def new_id(self) -> str:
        """16 hex digits that no other attempt of these clients has."""
        self._id_count += 1
        return f"{self._seed & SEED_BITS:06x}{self._id_count:010x}"

    def parameters(self, model: str) -> Mapping[str, str]:
        """The parameters of a call for that model."""
        return self._parameters[model]

    def _check_end(self) -> None:
        if not self._all_arrived or self.open_requests:
            self.loop.call_later(CHECK_INTERVAL, self._check_end)
            return
        self.tap.note("done")
        self.tap.flush()
        self.loop.call_later(LAST_ANSWERS, self.loop.stop)

    def command(self, command: JsonObject) -> None:
        """Changes the load; see `TrafficCommand` for the form. `weights` shares it out among gateways;
        `leaving` announces that a gateway will be restarted. Errors: msgspec.ValidationError,
        GatewayWeightsError."""
        decoded = msgspec.convert(command, TrafficCommand)
        match decoded.name or decoded.action:
            case "weights":
                self.pool.set_weights(decoded.weights if decoded.active else self.traffic.weights)
            case "leaving":
                self.pool.gateways[decoded.gateway].restart_announced()
            case _:
                self.source.apply(decoded)


def _with_models(load: PlatformLoad) -> list[ClientRequestClass]:
    """The classes, each with the names of its models."""
    return [
        msgspec.structs.replace(
            each, models=tuple(model.name for model in load.models if model.request_class == each.name)
        )
        for each in load.classes
    ]


def _parameters(load: PlatformLoad) -> dict[str, dict[str, str]]:
    """The parameters of a call, by model."""
    body = base64.b64encode(b"x" * load.traffic.payload).decode()
    memory = load.traffic.instance_memory
    return {
        model.name: {
            "o": model.name,
            "arg": body,
            "extras": f"memory_mb:{memory};lanes:{model.lanes};load_ms:{model.start // MILLI}",
        }
        for model in load.models
    }
