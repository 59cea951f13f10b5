"""The clients of a day: stand-ins that draw the load, and what they saw."""

from gaproute.scenarios.processes import MILLI
from gaproute.standins.tap import read_tap


class DayClients:
    def __init__(self, trial):
        self.trial, self.processes = trial, []

    def request_classes(self):
        """The tracks as clients know them."""
        script = self.trial.script
        limits = {line.name: line.limit for line in script.tracks}
        pure = {line.name: line.effect == "pure" for line in script.tracks}
        return [
            {
                "name": line.track,
                "share": line.share,
                "limit": limits[line.track],
                "pure": pure[line.track],
                "models": [model["name"] for model in self.trial.models if model["track"] == line.track],
            }
            for line in script.traffic
        ]

    def settings(self, name, kinds, seed, processes=1):
        """What one of so many processes of clients is told."""
        trial, day = self.trial, self.trial.script.day
        return {
            "gateways": [trial.gateways.addresses[number] for number in range(day.gateways)],
            "kinds": kinds,
            "habits": {
                "rate": day.rate / processes,
                "patience": [0.6, 1.0],
                "retries": day.retries,
                "impatient": day.impatient,
                "zipf": day.zipf,
            },
            "seed": seed,
            "length": day.length,
            "tap": str(trial.out / f"{name}.tap"),
        }

    def start(self):
        told = self.settings("clients", self.request_classes(), self.trial.seed)
        self.processes = [self.trial.processes.start_stand_in("clients", "clients", told)]

    def send(self, told):
        for process in self.processes:
            process.send(told)

    def wait(self, span):
        """A coroutine: until all have ended, or the span is over."""
        loop = self.trial.loop
        longest = loop.now() + span
        while any(each.child.poll() is None for each in self.processes) and loop.now() < longest:
            yield loop.sleep(50 * MILLI)

    def events(self):
        return sorted(
            (event for path in sorted(self.trial.out.glob("clients*.tap")) for event in read_tap(path)),
            key=lambda event: event["at"],
        )
