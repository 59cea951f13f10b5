"""The platform's clients: several processes that share one load."""

from __future__ import annotations

from typing import ClassVar

from gaproute.cluster.clients import ClusterClients
from gaproute.cluster.json_objects import JsonObject
from gaproute.judge.tap_reading import TapEvent
from gaproute.loop import Promise
from gaproute.standins.tap import read_tap

CLASS_KEYS = ("name", "share", "limit", "pure")  # of a request class, as these clients know it


class PlatformClusterClients(ClusterClients):
    """The clients of the platform's gateways. `first_requests`: promises that each has sent its first one."""

    KIND: ClassVar[str] = "platform-clients"

    def start(self) -> None:
        """Starts all client processes; each writes a line when it sends its first request."""
        super().start()
        self.first_requests: list[Promise] = [
            self.trial.processes.first_line(process, "clients") for process in self.processes
        ]

    def request_classes(self) -> list[JsonObject]:
        """The request classes of the load, without models."""
        return [{key: known[key] for key in CLASS_KEYS} for known in super().request_classes()]

    def process_settings(self, place: int, count: int) -> JsonObject:
        """As in the base class, with the models, which all request classes use."""
        return super().process_settings(place, count) | {"models": self.trial.models}

    def own_habits(self, place: int) -> dict[str, str]:
        """These clients have no habits of their own."""
        return {}

    def events(self) -> list[TapEvent]:
        """As in the base class; the `done` event of a process has its lateness since its first request."""
        found: list[TapEvent] = []
        for path in sorted(self.trial.out.glob("clients-*.tap")):
            events = read_tap(path)
            begun = next((event["at"] for event in events if event["what"] == "begun"), 0)
            late = max(
                (event["by"] for event in events if event["what"] == "late" and event["at"] > begun),
                default=0,
            )
            found += [event | {"late": late} if event["what"] == "done" else event for event in events]
        return sorted(found, key=lambda event: event["at"])
