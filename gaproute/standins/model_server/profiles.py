"""What a stand-in host is made of, and what it knows of each model. Both are JSON objects of a first line."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from gaproute.units import MILLI, SECOND


class HostProfile(msgspec.Struct, frozen=True):
    """What a host is made of. Times are ns; the fields are named as in the first line's `make`."""

    name: str
    cores: float = 4
    speed: float = 1.0  # work done by one core, ns in one ns
    copies: int = 16  # instances that its memory holds
    queue: int = 64  # requests of one model that wait for a lane; beyond it the host answers that it is full
    loads: int = 4  # at a time
    keep: int = 10 * SECOND  # after which an idle instance is unloaded
    cold_share: float = 0.2  # of its cores' power that a host has when it has just started
    cold_time: int = 15 * SECOND  # until it has all of it
    fall_multiple: float = 3.0  # of what a cold host can do; sent more than that within `tip`, it fails
    tip: int = 1500 * MILLI
    idle_close: int = 60 * SECOND  # after which an idle connection is closed
    adds_copies: bool = True  # loads another instance by itself when all lanes are taken


class ModelProfile(msgspec.Struct, frozen=True):
    """What all hosts know of a model. Times are ns."""

    name: str
    request_class: str = msgspec.field(name="track")
    lanes: int  # requests that one instance runs at a time
    work: int  # mean core time of a request
    start: int  # time from the end of the fetch until the instance can serve


@dataclass(frozen=True, kw_only=True, slots=True)
class HostSetup:
    """How one run of a stand-in host begins."""

    profile: HostProfile
    models: Mapping[str, ModelProfile]
    store: str | None = None  # address of the model store; without one a fetch takes no time
    seed: int | str = 1
    warm: bool = False  # it ran before: it has its full power, and instances stand
