"""The stages of a round, and the events that it logs."""

from enum import StrEnum
from typing import NamedTuple

from gaproute.maintenance.host_progress import HostProgress, HostState


class RoundStage(StrEnum):
    """Where a round is as a whole."""

    REQUESTING_TURN = "asking"
    RUNNING = "going"
    PAUSED = "paused"
    REJECTED = "refused"
    ENDED = "ended"


class RoundEvent(NamedTuple):
    """A host has entered a state, or the round a stage (`host` is "" then)."""

    state: str
    host: str
    reason: str


class RoundLog:
    """The stage of one round and why it is in it; events since they were last taken."""

    def __init__(self) -> None:
        self.stage, self.reason = RoundStage.REQUESTING_TURN, ""
        self.events: list[RoundEvent] = []

    def enter_stage(self, stage: RoundStage, reason: str) -> None:
        """The round is in this stage from now on; logged if stage or reason are new."""
        if (stage, reason) != (self.stage, self.reason):
            self.stage, self.reason = stage, reason
            self.events.append(RoundEvent(stage, "", reason))

    def enter_state(self, now: int, host: HostProgress, state: HostState, reason: str) -> None:
        """The host is in this state from now on."""
        host.enter_state(now, state)
        self.events.append(RoundEvent(state, host.name, reason))

    def take_events(self) -> list[RoundEvent]:
        """The events since the last call."""
        taken, self.events = self.events, []
        return taken

    @property
    def is_over(self) -> bool:
        """Whether nothing more will happen."""
        return self.stage in (RoundStage.ENDED, RoundStage.REJECTED)
