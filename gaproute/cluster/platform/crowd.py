"""The platform's clients of a harness: several processes that share one load."""

from gaproute.standins.tap import read
from gaproute.trial.crowd import Crowd


class NodeCrowd(Crowd):
    def start(self):
        trial, day, count = self.trial, self.trial.script.day, self.trial.script.cluster.clients
        gateways = [trial.gateways.addresses[number] for number in range(day.gateways)]
        kinds = [{name: kind[name] for name in ("name", "share", "limit", "pure")} for kind in self.kinds()]
        self.processes = [
            trial.processes.standin(
                "platform-clients",
                f"clients-{place}",
                {
                    "gateways": gateways,
                    "models": trial.models,
                    "kinds": kinds,
                    "habits": {
                        "rate": day.rate / count,
                        "patience": [0.6, 1.0],
                        "retries": day.retries,
                        "impatient": day.impatient,
                        "zipf": day.zipf,
                    },
                    "seed": trial.seed * 100 + place,
                    "length": day.length,
                    "tap": str(trial.out / f"clients-{place}.tap"),
                },
            )
            for place in range(count)
        ]
        # they say when their first task comes
        self.begun = [trial.processes.line(process, "clients") for process in self.processes]

    def events(self):
        """As of a harness's other clients: who is done says how late it has run since its first task."""
        found = []
        for path in sorted(self.trial.out.glob("clients-*.tap")):
            events = read(path)
            begun = next((event["at"] for event in events if event["what"] == "begun"), 0)
            late = max(
                (event["by"] for event in events if event["what"] == "late" and event["at"] > begun),
                default=0,
            )
            found += [event | {"late": late} if event["what"] == "done" else event for event in events]
        return sorted(found, key=lambda event: event["at"])
