"""What a played rig is worth: `well`, `failed` (the program broke a rule or ended wrongly) or `void`."""

from gaproute.trial.result import Result


class Verdict(Result):
    """A trial's result, and whether the rig that found it kept time. `end`: what ended it early, if
    anything."""

    def __init__(self, rig, end, took):
        self.rig, self.end, self.took = rig, end, took
        self.whole = end is None
        self.late = rig.lateness.most()
        self.void = rig.voids + (list(rig.lateness.void()) if self.whole else [])
        self.faulty = list(rig.faulty)
        if self.whole:
            super().__init__(rig)
            self.faulty += [
                f"g{number} ended with {code}" for number, code in self.codes.items() if code != 0
            ]
            self.faulty += [f"rule {broken.rule}: {broken.text}" for broken in self.broken[:20]]
            self.permits = rig.crews.judged()
            self.faulty += self.permits["broken"][:20] if self.permits else []
            self.void += ["no task came to an end"] * (not self.ends)

    @property
    def verdict(self):
        return "void" if self.void else "failed" if self.faulty else "well"

    @property
    def well(self):
        return self.verdict == "well"

    def plain(self):
        rig = self.rig
        told = {
            "verdict": self.verdict,
            "void": self.void,
            "faulty": self.faulty,
            "seed": rig.seed,
            "decisions": rig.decisions,
            "again": f"gaproute trial {rig.out / 'day.script'} --seed {rig.seed} --decisions {rig.decisions}",
            "took_s": round(self.took, 1),
            "ready_s": None if rig.ready_time is None else round(rig.ready_time / 1e9, 1),
            "late_ms": self.late,
            "gateways_waited": rig.lateness.waited,
            "wires": rig.lateness.wires,
        }
        return told | (super().plain() | {"permits": self.permits} if self.whole else {})
