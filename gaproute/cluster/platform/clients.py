"""The platform's clients of a harness: several processes that share one load."""

from gaproute.cluster.clients import ClusterClients
from gaproute.standins.tap import read_tap

KNOWN_OF_KINDS = ("name", "share", "limit", "pure")


class PlatformClients(ClusterClients):
    """The clients of the platform's gateways."""

    KIND = "platform-clients"

    def request_classes(self):
        """As the platform's clients know them."""
        return [{name: kind[name] for name in KNOWN_OF_KINDS} for kind in super().request_classes()]

    def told_to(self, place, count):
        """As of other clients, and the models, of which all kinds draw."""
        return super().told_to(place, count) | {"models": self.trial.models}

    def own_habits(self, place):
        """None."""
        return {}

    def start(self):
        super().start()
        # they say when their first task comes
        self.begun = [self.trial.processes.first_line(process, "clients") for process in self.processes]

    def events(self):
        """As of a harness's other clients: who is done says how late it has run since its first task."""
        found = []
        for path in sorted(self.trial.out.glob("clients-*.tap")):
            events = read_tap(path)
            begun = next((event["at"] for event in events if event["what"] == "begun"), 0)
            late = max(
                (event["by"] for event in events if event["what"] == "late" and event["at"] > begun),
                default=0,
            )
            found += [event | {"late": late} if event["what"] == "done" else event for event in events]
        return sorted(found, key=lambda event: event["at"])
