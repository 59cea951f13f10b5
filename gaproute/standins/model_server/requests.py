"""Requests and load orders at a stand-in host: what came, what it found, and how it ended."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum, StrEnum
from typing import NamedTuple

from gaproute.standins.model_server.faults import RequestFault
from gaproute.standins.model_server.profiles import ModelProfile


class FoundInstance(IntEnum):
    """What a request found of its model; the numbers stand in taps and load reports."""

    WARM = 1
    LOAD_STARTED = 2
    LOAD_AWAITED = 3
    LOAD_FAILED = 4


class RequestEnd(StrEnum):
    """How a request ended at the host."""

    FULL = "full"
    ERROR = "error"
    RESET = "reset"
    DONE = "done"
    CUT = "cut"
    LOAD_FAILED = "the load failed"


class IncomingRequest(NamedTuple):
    """A request as the protocol read it."""

    id: str  # that its client gave it
    gateway_request_id: str  # by which the gateway knows it, where the protocol has one
    model: ModelProfile
    connection_id: int
    time_limit: int | None = None  # ns from its arrival; None where the protocol has none


class HostRequest:
    """A request that the host has taken. `on_end(request, end)` is called once at most."""

    __slots__ = (
        "id",
        "gateway_request_id",
        "model",
        "work_left",
        "same_model_requests",
        "on_end",
        "found",
        "fault",
    )

    def __init__(
        self, incoming: IncomingRequest, work: float, same_model_requests: int, on_end: EndHandler
    ) -> None:
        """`work`: core time, ns; `same_model_requests`: those that the host had before it."""
        self.id, self.gateway_request_id = incoming.id, incoming.gateway_request_id
        self.model = incoming.model
        self.work_left, self.same_model_requests = work, same_model_requests
        self.on_end = on_end
        self.found = FoundInstance.WARM
        self.fault: RequestFault | None = None

    def end(self, end: RequestEnd) -> None:
        """Reports how it ended."""
        self.on_end(self, end)


EndHandler = Callable[[HostRequest, RequestEnd], object]


@dataclass(frozen=True, slots=True)
class ReceivedLoadOrder:
    """A gateway's order to have so many instances of a model."""

    model: str
    count: int
    gateway: str  # its name, where the protocol tells it
    connection_id: int


class HostLoad(NamedTuple):
    """The load of a host at one moment."""

    waiting: int  # requests
    in_flight: int  # requests that wait or run
    cpu: float  # share of the cores in use
    memory: float  # share of the memory in use
