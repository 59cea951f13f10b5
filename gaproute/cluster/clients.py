"""The clients: several processes that share one load, each with names, chance and a tap of its own."""

from __future__ import annotations

from typing import ClassVar

from gaproute.cluster.context import ClusterContext
from gaproute.cluster.json_objects import JsonObject
from gaproute.scenarios.clients import DayClients
from gaproute.scenarios.trial import Trial


class ClusterClients(DayClients):
    """The clients of `gaproute serve`."""

    KIND: ClassVar[str] = "clients"  # of the stand-ins

    def __init__(self, trial: Trial, context: ClusterContext) -> None:
        super().__init__(trial)
        self.context = context

    def start(self) -> None:
        """Starts all client processes."""
        count = self.context.settings.clients
        self.processes = [
            self.trial.processes.start_stand_in(
                self.KIND, f"clients-{place}", self.process_settings(place, count)
            )
            for place in range(count)
        ]

    def process_settings(self, place: int, count: int) -> JsonObject:
        """The first line for the process at this place, of `count` processes that share the load."""
        seed = self.trial.seed * 100 + place
        settings = self.settings(f"clients-{place}", self.request_classes(), seed, count)
        return settings | {"habits": settings["habits"] | self.own_habits(place)}

    def own_habits(self, place: int) -> dict[str, str]:
        """The habits in which the process at that place differs from all others."""
        return {"prefix": f"c{place}-"}

    def latenesses(self) -> list[int]:
        """How late, in ns, each process that has done all its requests has run."""
        return [event["late"] for event in self.events() if event["what"] == "done"]
