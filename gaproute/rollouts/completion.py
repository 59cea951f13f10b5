"""Estimate of when a campaign will end, from what it has done and the lanes that are planned for it."""

from collections.abc import Sequence

from gaproute.rollouts.forecast import SLOT

MIN_DONE = 0.02  # of a campaign: before that an estimate would be a guess
MIN_LANES = 1e-9


class CompletionEstimate:
    """Of a campaign with `work` rollouts that `began` then. Times are in ns of the own clock.

    `lane_time`: lanes used so far, times ns.
    """

    def __init__(self, work: int, began: int) -> None:
        self.work, self.began = work, began
        self.done, self.recorded_at = 0, began
        self.lane_time = 0.0

    def record(self, now: int, done: int, lanes: float) -> None:
        """So many rollouts are done in all; `lanes`: the mean of those used since the last call."""
        self.lane_time += max(0, now - self.recorded_at) * lanes
        self.done, self.recorded_at = max(self.done, done), now

    def end(self, planned: Sequence[float] = ()) -> int | None:
        """When the campaign will end, or None while it is too early to say.

        `planned`: lanes in each of the next slots. After them, halfway between their mean and that of the
        past is assumed, as neither a burst nor a calm lasts.
        """
        if self.done < MIN_DONE * self.work or not self.lane_time:
            return None
        time_each = self.lane_time / self.done  # lane-ns a rollout, exchanges and waits included
        past_lanes = self.lane_time / max(1, self.recorded_at - self.began)
        remaining, now = (self.work - self.done) * time_each, self.recorded_at
        lanes = past_lanes
        for lanes in planned:
            if lanes * SLOT >= remaining:
                break
            remaining, now = remaining - lanes * SLOT, now + SLOT
        else:
            lanes = (sum(planned) / len(planned) + past_lanes) / 2 if planned else past_lanes
        return int(now + max(0.0, remaining) / max(lanes, MIN_LANES))
