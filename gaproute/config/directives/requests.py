"""Lines on tasks: tracks, models, tenants, and what relays of them may do."""

from typing import Annotated, ClassVar, Literal

from pydantic import BeforeValidator, Field, model_validator

from gaproute.config.directives.values import Name
from gaproute.config.parsing import Directive, Span, Yes


class TrackLine(Directive):
    places: ClassVar = ("name", "effect")
    example: ClassVar = "track fault-check pure contract 1200ms limit 5s earnings 3"
    name: Name
    effect: Literal["pure", "receipted", "effectful"]
    contract: Span = Field(gt=0)
    limit: Span = Field(gt=0)
    earnings: float = Field(1.0, gt=0, le=1e6)
    group: Literal["all", "zone", "rack"] = "all"
    remembers: Span = 0

    @model_validator(mode="after")
    def fits(self):
        if self.contract > self.limit:
            raise ValueError("the contract time is over the limit")
        if (self.effect == "receipted") != (self.remembers > 0):
            raise ValueError("remembers belongs to receipted tracks, and each of them needs it")
        return self


class ModelLine(Directive):
    places: ClassVar = ("name",)
    example: ClassVar = "model lamp-07 track fault-check lanes 4 load 1200ms versions 1,2"
    name: Name
    track: str
    lanes: int = Field(1, ge=1, le=1024)
    load: Span | None = None
    versions: Annotated[
        tuple[Name, ...],
        BeforeValidator(lambda value: tuple(value.split(",")) if isinstance(value, str) else value),
    ] = ()


class TenantLine(Directive):
    places: ClassVar = ("name",)
    example: ClassVar = "tenant kati share 0.45"
    name: Name
    share: float = Field(gt=0, le=1)


class Copies(Directive):
    example: ClassVar = "copies keep 10s orders yes free 6 share 0.3 window 10s"
    once: ClassVar = True
    keep: Span = Field(10_000_000_000, gt=0)
    orders: Yes = True
    free: float = Field(6, ge=0)
    share: float = Field(0.3, ge=0)
    window: Span = 10_000_000_000
    alike: Yes = True
    notes: Yes = True


class Relays(Directive):
    example: ClassVar = "relays limit 4 twins yes cancel yes"
    once: ClassVar = True
    limit: int = Field(4, ge=1, le=64)
    twins: Yes = True
    cancel: Yes = True


class Reports(Directive):
    places: ClassVar = ("source",)
    example: ClassVar = "reports answer probes no"
    once: ClassVar = True
    source: Literal["probe", "answer"] = "answer"
    probes: Yes = True

    @model_validator(mode="after")
    def fits(self):
        if self.source == "probe" and not self.probes:
            raise ValueError("hosts whose load is told by probes alone cannot go without probes")
        return self


class Cold(Directive):
    example: ClassVar = "cold share 0.17 time 18s"
    once: ClassVar = True
    share: float = Field(0.2, ge=0, le=1)
    time: Span = 15_000_000_000


class Sizes(Directive):
    places: ClassVar = ("told",)
    example: ClassVar = "sizes no"
    once: ClassVar = True
    told: Yes = True


class Advice(Directive):
    example: ClassVar = "advice limit 1s"
    once: ClassVar = True
    limit: Span = 1_000_000_000


class OverShare(Directive):
    places: ClassVar = ("value",)
    example: ClassVar = "over-share 0.1"
    once: ClassVar = True
    value: float = Field(0.1, ge=0, le=1)
