"""Directives of the process: limits for clients and hosts, the log level, the routing decisions."""

import importlib
from typing import Any, ClassVar, Literal

from pydantic import Field

from gaproute.config.parsing import Directive
from gaproute.config.values import Duration, Size


class ClientLimitsLine(Directive):
    """Limits of connections and requests of clients: times in ns, sizes in bytes."""

    example: ClassVar = "clients way-back 25ms body 16m connections 10000"
    once: ClassVar = True
    way_back: Duration = 25_000_000
    head: Size = Field(32768, ge=1024, le=1 << 20)
    body: Size = Field(16 << 20, ge=0, le=1 << 30)
    pipelined: int = Field(16, ge=1, le=1024)
    read: Duration = Field(20_000_000_000, gt=0)
    idle: Duration = Field(75_000_000_000, gt=0)
    connections: int = Field(10_000, ge=1)
    per_address: int = Field(2_000, ge=1)


class HostLimitsLine(Directive):
    """Limits of connections and requests to hosts: times in ns, sizes in bytes."""

    example: ClassVar = "reach connect 250ms probe 250ms order 10s connections 256 answer 64m"
    once: ClassVar = True
    connect: Duration = Field(250_000_000, gt=0, le=400_000_000)
    probe: Duration = Field(250_000_000, gt=0)
    order: Duration = Field(10_000_000_000, gt=0)
    connections: int = Field(256, ge=1)
    answer: Size = Field(64 << 20, ge=1024)


# Names of the decision class in configurations of earlier versions, and the present name of each.
FORMER_DECISION_CLASSES = {
    "gaproute.policy:Gateway": "gaproute.decisions.routing:Gateway",
    "gaproute.decisions.route:Gateway": "gaproute.decisions.routing:Gateway",
}


class LogLine(Directive):
    """The lowest level of log lines that are written."""

    positional: ClassVar = ("level",)
    example: ClassVar = "log info"
    once: ClassVar = True
    level: Literal["debug", "info", "warning", "error"] = "info"


class DecisionsLine(Directive):
    """The class of the routing decisions, as `module:name`."""

    positional: ClassVar = ("made_by",)
    example: ClassVar = "decisions gaproute.decisions.routing:Gateway"
    once: ClassVar = True
    made_by: str = Field("gaproute.decisions.routing:Gateway", pattern=r"^[\w.]+:\w+$")

    def load_class(self) -> Any:
        """The class that the line names, which is called with (seed, routing settings, now).

        Errors: ImportError, AttributeError if the class does not exist.
        """
        module, _, name = FORMER_DECISION_CLASSES.get(self.made_by, self.made_by).partition(":")
        return getattr(importlib.import_module(module), name)
