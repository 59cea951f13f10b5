"""Directives of requests: request classes, models, tenants, and limits of attempts at hosts."""

from typing import Annotated, ClassVar, Literal, Self

from pydantic import BeforeValidator, Field, model_validator

from gaproute.config.parsing import Directive
from gaproute.config.values import Duration, Name, YesNo, split_commas


class RequestClassLine(Directive):
    """A request class: its idempotency, its times in ns, and its priority weight `earnings`."""

    positional: ClassVar = ("name", "effect")
    example: ClassVar = "track fault-check pure contract 1200ms limit 5s earnings 3"
    name: Name
    effect: Literal["pure", "receipted", "effectful"]
    contract: Duration = Field(gt=0)
    limit: Duration = Field(gt=0)
    earnings: float = Field(1.0, gt=0, le=1e6)
    group: Literal["all", "zone", "rack"] = "all"
    remembers: Duration = 0

    @model_validator(mode="after")
    def check_times(self) -> Self:
        """Errors: ValueError for times that contradict each other or the idempotency."""
        if self.contract > self.limit:
            raise ValueError("the contract time is longer than the limit")
        if (self.effect == "receipted") != (self.remembers > 0):
            raise ValueError("the keyword remembers is required for receipted tracks and for no others")
        return self


class ModelLine(Directive):
    """A model and the class of its requests; `load` is the duration of loading in ns."""

    positional: ClassVar = ("name",)
    example: ClassVar = "model lamp-07 track fault-check lanes 4 load 1200ms versions 1,2"
    name: Name
    track: str
    lanes: int = Field(1, ge=1, le=1024)
    load: Duration | None = None
    versions: Annotated[tuple[Name, ...], BeforeValidator(split_commas)] = ()


class TenantLine(Directive):
    """A tenant and its share of the capacity."""

    positional: ClassVar = ("name",)
    example: ClassVar = "tenant kati share 0.45"
    name: Name
    share: float = Field(gt=0, le=1)


class WarmInstancesLine(Directive):
    """Warm instances of models: how long they stay loaded, and the rate limit of load orders."""

    example: ClassVar = "copies keep 10s orders yes free 6 share 0.3 window 10s"
    once: ClassVar = True
    keep: Duration = Field(10_000_000_000, gt=0)
    orders: YesNo = True
    free: float = Field(6, ge=0)
    share: float = Field(0.3, ge=0)
    window: Duration = 10_000_000_000
    alike: YesNo = True
    notes: YesNo = True


class AttemptsLine(Directive):
    """Attempts at hosts: their limit for each request, and whether hedging and cancelling are allowed."""

    example: ClassVar = "relays limit 4 twins yes cancel yes"
    once: ClassVar = True
    limit: int = Field(4, ge=1, le=64)
    twins: YesNo = True
    cancel: YesNo = True


class ReportsLine(Directive):
    """The source of the hosts' load reports."""

    positional: ClassVar = ("source",)
    example: ClassVar = "reports answer probes no"
    once: ClassVar = True
    source: Literal["probe", "answer"] = "answer"
    probes: YesNo = True

    @model_validator(mode="after")
    def check_source(self) -> Self:
        """Errors: ValueError if reports come by probe, but probes are forbidden."""
        if self.source == "probe" and not self.probes:
            raise ValueError("hosts whose load is reported by probes alone cannot go without probes")
        return self


class SlowStartLine(Directive):
    """Slow start of hosts: their share of the load at the start, and its duration in ns."""

    example: ClassVar = "cold share 0.17 time 18s"
    once: ClassVar = True
    share: float = Field(0.2, ge=0, le=1)
    time: Duration = 15_000_000_000


class CapacitiesLine(Directive):
    """Whether hosts report their capacity."""

    positional: ClassVar = ("enabled",)
    example: ClassVar = "sizes no"
    once: ClassVar = True
    enabled: YesNo = True


class RetryAfterLine(Directive):
    """The longest Retry-After of a host that the gateway follows, ns."""

    example: ClassVar = "advice limit 1s"
    once: ClassVar = True
    limit: Duration = 1_000_000_000


class OverShareWeightLine(Directive):
    """The priority weight of requests beyond a tenant's share."""

    positional: ClassVar = ("value",)
    example: ClassVar = "over-share 0.1"
    once: ClassVar = True
    value: float = Field(0.1, ge=0, le=1)
