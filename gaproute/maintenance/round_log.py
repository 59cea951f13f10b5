"""The stages of a round, and the events that it logs."""

from enum import StrEnum
from typing import NamedTuple

from gaproute.maintenance.host_progress import HostProgress, HostState


class RoundStage(StrEnum):
    """The stage of a whole round."""

    REQUESTING_TURN = "asking"
    RUNNING = "going"
    PAUSED = "paused"
    REJECTED = "refused"
    ENDED = "ended"


class RoundEvent(NamedTuple):
    """Records that a host entered a state, or that the round entered a stage (`host` is "" then)."""

    state: str
    host: str
    reason: str


class RoundLog:
    """The stage of one round and its reason, and the events since the last `take_events`."""

    def __init__(self) -> None:
        self.stage, self.reason = RoundStage.REQUESTING_TURN, ""
        self.events: list[RoundEvent] = []

    def enter_stage(self, stage: RoundStage, reason: str) -> None:
        """Records that the round is in this stage from now on; logs it if the stage or the reason is new."""
        if (stage, reason) != (self.stage, self.reason):
            self.stage, self.reason = stage, reason
            self.events.append(RoundEvent(stage, "", reason))

    def enter_state(self, now: int, host: HostProgress, state: HostState, reason: str) -> None:
        """Records and logs that the host is in this state from now on."""
        host.enter_state(now, state)
        self.events.append(RoundEvent(state, host.name, reason))

    def take_events(self) -> list[RoundEvent]:
        """Returns and removes the events since the last call."""
        taken, self.events = self.events, []
        return taken

    @property
    def is_over(self) -> bool:
        """Whether the round has ended or was rejected."""
        return self.stage in (RoundStage.ENDED, RoundStage.REJECTED)
