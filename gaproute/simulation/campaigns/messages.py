"""The messages between the processes of a campaign run; gossip and lease messages go as they are."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from gaproute.rollouts.plan_distribution import GatewayPlan


class Copy(NamedTuple):
    """A copy of a campaign's weights at a host."""

    campaign: str
    version: int


class TaskResult(StrEnum):
    """What became of a task at a host."""

    DONE = "done"
    CANCELLED = "cancelled"
    NOT_LOADED = "miss"
    FULL = "full"


@dataclass(frozen=True, slots=True)
class StatusQuery:
    """Asks a host what capacity it has."""

    number: int


@dataclass(frozen=True, slots=True)
class HostStatus:
    """The answer to the query of this number.

    `free_lanes`: for rollouts. `production_waits`: production has no lane to spare. `lanes_lacking`: how many
    rollouts are to be cancelled for production. `free_room`: copies that may still be loaded.
    """

    host: str
    number: int
    free_lanes: int
    production_waits: bool
    lanes_lacking: int
    cold: bool
    copies: frozenset[Copy]
    loading: frozenset[Copy]
    free_room: int


@dataclass(frozen=True, slots=True)
class Task:
    """A rollout, or a request of production where `copy` is None; durations are ns.

    The host ends it after `limit` in any case. `sent_at` is a true time.
    """

    name: str
    copy: Copy | None
    duration: int
    limit: int
    sent_at: int


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """`version`: of the weights that answered; None for production and for what never ran."""

    host: str
    task: str
    result: TaskResult
    version: int | None


@dataclass(frozen=True, slots=True)
class CancelTask:
    """The host is to end the task."""

    task: str


@dataclass(frozen=True, slots=True)
class LoadCopy:
    """The host is to load the copy."""

    copy: Copy


@dataclass(frozen=True, slots=True)
class DropCopy:
    """The host is to drop the copy, unless a rollout runs on it."""

    copy: Copy


@dataclass(frozen=True, slots=True)
class CopyLoaded:
    """The copy stands at the host; None: there is no room for it."""

    host: str
    copy: Copy | None


@dataclass(frozen=True, slots=True)
class ProductionWaits:
    """A gateway notifies the others that production waits at this host."""

    host: str


@dataclass(frozen=True, slots=True)
class VersionReport:
    """The newest version that a gateway knows of each campaign."""

    versions: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class PlanUpdate:
    """The planner's plan for the receiving gateway."""

    plan: GatewayPlan
