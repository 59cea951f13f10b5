"""The clients: several processes that share one load, each with names, chance and a tap of its own."""

from gaproute.trial.crowd import Crowd


class ClusterCrowd(Crowd):
    def start(self):
        trial, day, count = self.trial, self.trial.script.day, self.trial.script.cluster.clients
        gateways = [trial.gateways.addresses[number] for number in range(day.gateways)]
        self.processes = [
            trial.processes.standin(
                "clients",
                f"clients-{place}",
                {
                    "gateways": gateways,
                    "kinds": self.kinds(),
                    "habits": {
                        "rate": day.rate / count,
                        "patience": [0.6, 1.0],
                        "retries": day.retries,
                        "impatient": day.impatient,
                        "zipf": day.zipf,
                        "prefix": f"c{place}-",
                    },
                    "seed": trial.seed * 100 + place,
                    "length": day.length,
                    "tap": str(trial.out / f"clients-{place}.tap"),
                },
            )
            for place in range(count)
        ]
