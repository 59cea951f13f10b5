"""What went wrong in a run of the harness, and the times of its day."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class PlayRecord:
    """`failures`: what the program did wrong; `void_reasons`: why the run measured nothing, both as text.

    Times are ns: `began_at` and `ended_at` bound the day, 0 until they are known; `ready_after` is how long
    it took until all were up, None if they never were.
    """

    failures: list[str] = field(default_factory=list)
    void_reasons: list[str] = field(default_factory=list)
    ready_after: int | None = None
    began_at: int = 0
    ended_at: int = 0

    def is_during_day(self, at: int) -> bool:
        """Whether the time lies within the day."""
        return self.began_at < at < self.ended_at
