"""The verdict on a played cluster: `well`, `failed` (the program broke a rule or ended wrongly) or `void`.

If the harness ran late, nothing that depends on time was measured. Violations that do not depend on time,
such as a second answer, still make the verdict `failed`.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from gaproute.cluster.json_objects import JsonObject
from gaproute.cluster.lateness import HarnessLateness
from gaproute.cluster.lease_clients import LeaseClients, LeaseJudgement
from gaproute.cluster.play_record import PlayRecord
from gaproute.judge import TIME_INDEPENDENT
from gaproute.scenarios.result import DayResult
from gaproute.scenarios.trial import Trial
from gaproute.units import SECOND

MAX_SHOWN = 20  # violations of each sort


class HarnessNotes(NamedTuple):
    """What a verdict reads of its harness, beside what any day's result does.

    `error`: what ended the play early, if anything; `took`: seconds.
    """

    record: PlayRecord
    lateness: HarnessLateness
    lease_clients: LeaseClients
    error: Exception | None
    took: float


class ClusterVerdict(DayResult):
    """A day's result, and whether the harness that found it kept time.

    `complete`: whether the whole day was played, else only the harness's own notes are there.
    """

    def __init__(self, trial: Trial, notes: HarnessNotes) -> None:
        self.trial, self.notes = trial, notes
        self.complete = notes.error is None
        self.late = notes.lateness.longest().as_json()
        self.void = list(notes.record.void_reasons)
        self.failures = list(notes.record.failures)
        self.leases: LeaseJudgement | None = None
        if self.complete:
            self.void += notes.lateness.void_reasons()
            super().__init__(trial)
            self.leases = notes.lease_clients.judge()
            self.failures += self._violations()
            self.void += ["no task came to an end"] * (not self.ends)

    def _violations(self) -> Iterator[str]:
        for number, code in self.exit_codes.items():
            if code != 0:
                yield f"g{number} ended with {code}"
        yield from (f"rule {broken.rule}: {broken.text}" for broken in self.broken[:MAX_SHOWN])
        if self.leases is not None:
            yield from self.leases.broken[:MAX_SHOWN]

    @property
    def verdict(self) -> str:
        """`well`, `failed` or `void`."""
        if self.complete and any(broken.kind in TIME_INDEPENDENT for broken in self.broken):
            return "failed"
        if self.void:
            return "void"
        return "failed" if self.failures else "well"

    @property
    def well(self) -> bool:
        """Whether it is `well`."""
        return self.verdict == "well"

    @property
    def ready_seconds(self) -> float | None:
        """After how many seconds all were up; None where they never were."""
        ready_after = self.notes.record.ready_after
        return None if ready_after is None else round(ready_after / SECOND, 1)

    def plain(self) -> JsonObject:
        """The verdict as plain data."""
        trial, lateness = self.trial, self.notes.lateness
        document = {
            "verdict": self.verdict,
            "void": self.void,
            "faulty": self.failures,
            "seed": trial.seed,
            "decisions": trial.decisions,
            "again": f"gaproute trial {trial.out / 'day.script'} --seed {trial.seed}"
            f" --decisions {trial.decisions}",
            "took_s": round(self.notes.took, 1),
            "ready_s": self.ready_seconds,
            "late_ms": self.late,
            "gateways_waited": lateness.cpu_wait,
            "wires": [counts and counts.as_json() for counts in lateness.link_counts],
        }
        if not self.complete:
            return document
        return document | super().plain() | {"permits": self.leases and self.leases._asdict()}
