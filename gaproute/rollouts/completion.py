"""Estimate of when a campaign ends, from its completed rollouts and the lanes that are planned for it."""

from collections.abc import Sequence

from gaproute.rollouts.forecast import SLOT_DURATION

MIN_COMPLETED_FRACTION = 0.02  # of a campaign's rollouts; with fewer completed, no estimate is reliable
MIN_LANES = 1e-9


class CompletionEstimate:
    """The estimated end of a campaign of `total_rollouts`. Times are in ns of the own clock.

    `lane_time`: lanes used so far, multiplied by the time of their use in ns.
    """

    def __init__(self, total_rollouts: int, started_at: int) -> None:
        self.total_rollouts, self.started_at = total_rollouts, started_at
        self.completed_rollouts, self.recorded_at = 0, started_at
        self.lane_time = 0.0

    def record(self, now: int, completed_rollouts: int, lanes: float) -> None:
        """Records the total of completed rollouts and the mean of the lanes used since the last call."""
        self.lane_time += max(0, now - self.recorded_at) * lanes
        self.completed_rollouts, self.recorded_at = max(self.completed_rollouts, completed_rollouts), now

    def estimated_end(self, planned: Sequence[float] = ()) -> int | None:
        """When the campaign ends, or None while too few rollouts are completed for an estimate.

        `planned`: lanes in each of the next slots. For the time after them, the estimate assumes the average
        of the mean planned lanes and the mean past lanes, since neither bursts nor quiet periods last.
        """
        if self.completed_rollouts < MIN_COMPLETED_FRACTION * self.total_rollouts or not self.lane_time:
            return None
        # In lane-ns, including the time of copy exchanges and waits.
        time_per_rollout = self.lane_time / self.completed_rollouts
        past_lanes = self.lane_time / max(1, self.recorded_at - self.started_at)
        remaining, now = (self.total_rollouts - self.completed_rollouts) * time_per_rollout, self.recorded_at
        lanes = past_lanes
        for lanes in planned:
            if lanes * SLOT_DURATION >= remaining:
                break
            remaining, now = remaining - lanes * SLOT_DURATION, now + SLOT_DURATION
        else:
            lanes = (sum(planned) / len(planned) + past_lanes) / 2 if planned else past_lanes
        return int(now + max(0.0, remaining) / max(lanes, MIN_LANES))
