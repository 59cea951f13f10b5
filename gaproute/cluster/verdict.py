"""What a played cluster is worth: `well`, `failed` (the program broke a rule or ended wrongly) or `void`.

A harness that ran late measured nothing that rests on time. What was sent or answered twice, or answered
wrongly, is broken all the same.
"""

from gaproute.judge import TIME_INDEPENDENT
from gaproute.scenarios.result import DayResult


class ClusterVerdict(DayResult):
    """A trial's result, and whether the harness that found it kept time. `end`: what ended it early, if
    anything."""

    def __init__(self, harness, end, took):
        self.harness, self.end, self.took = harness, end, took
        self.whole = end is None
        self.late = harness.lateness.most()
        self.void = harness.voids + (list(harness.lateness.void()) if self.whole else [])
        self.faulty = list(harness.faulty)
        if self.whole:
            super().__init__(harness)
            self.faulty += [
                f"g{number} ended with {code}" for number, code in self.exit_codes.items() if code != 0
            ]
            self.faulty += [f"rule {broken.rule}: {broken.text}" for broken in self.broken[:20]]
            self.permits = harness.crews.judged()
            self.faulty += self.permits["broken"][:20] if self.permits else []
            self.void += ["no task came to an end"] * (not self.ends)

    @property
    def verdict(self):
        if self.whole and any(broken.kind in TIME_INDEPENDENT for broken in self.broken):
            return "failed"
        return "void" if self.void else "failed" if self.faulty else "well"

    @property
    def well(self):
        return self.verdict == "well"

    def plain(self):
        harness = self.harness
        told = {
            "verdict": self.verdict,
            "void": self.void,
            "faulty": self.faulty,
            "seed": harness.seed,
            "decisions": harness.decisions,
            "again": f"gaproute trial {harness.out / 'day.script'} --seed {harness.seed}"
            f" --decisions {harness.decisions}",
            "took_s": round(self.took, 1),
            "ready_s": None if harness.ready_time is None else round(harness.ready_time / 1e9, 1),
            "late_ms": self.late,
            "gateways_waited": harness.lateness.waited,
            "wires": harness.lateness.wires,
        }
        return told | (super().plain() | {"permits": self.permits} if self.whole else {})
