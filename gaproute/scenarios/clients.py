"""The clients of a day: stand-ins that draw the load, and what they saw."""

from typing import Any, Protocol

from gaproute.judge.tap_reading import TapEvent
from gaproute.scenarios.context import DayContext
from gaproute.scenarios.gateways import DayGateways
from gaproute.scenarios.processes import DayProcess, Message, Routine
from gaproute.standins.tap import read_tap
from gaproute.units import MILLI

PATIENCE = [0.6, 1.0]  # a client waits for a share of its deadline that is drawn from this range
EXIT_POLL = 50 * MILLI  # between two looks at whether clients have ended


class ClientContext(DayContext, Protocol):
    """The played day as its clients know it."""

    gateways: DayGateways


class DayClients:
    """The processes of clients, and their taps."""

    def __init__(self, trial: ClientContext) -> None:
        self.trial = trial
        self.processes: list[DayProcess] = []

    def request_classes(self) -> list[dict[str, Any]]:
        """The request classes in the form that stand-in clients read."""
        script = self.trial.script
        classes = {line.name: line for line in script.request_classes}
        return [
            {
                "name": line.track,
                "share": line.share,
                "limit": classes[line.track].limit,
                "pure": classes[line.track].effect == "pure",
                "models": [model["name"] for model in self.trial.models if model["track"] == line.track],
            }
            for line in script.traffic
        ]

    def settings(
        self, name: str, request_classes: list[dict[str, Any]], seed: int, processes: int = 1
    ) -> dict[str, Any]:
        """The first line for one of so many processes of clients, which share the load."""
        trial, day = self.trial, self.trial.script.day
        return {
            "gateways": [trial.gateways.addresses[number] for number in range(day.gateways)],
            "kinds": request_classes,
            "habits": {
                "rate": day.rate / processes,
                "patience": PATIENCE,
                "retries": day.retries,
                "impatient": day.impatient,
                "zipf": day.zipf,
            },
            "seed": seed,
            "length": day.length,
            "tap": str(trial.out / f"{name}.tap"),
        }

    def start(self) -> None:
        """Starts the load."""
        settings = self.settings("clients", self.request_classes(), self.trial.seed)
        self.processes = [self.trial.processes.start_stand_in("clients", "clients", settings)]

    def send(self, message: Message) -> None:
        """Sends a command to all of them."""
        for process in self.processes:
            process.send(message)

    def wait(self, span: int) -> Routine:
        """A coroutine: until all have ended, or `span` ns are over."""
        loop = self.trial.loop
        end = loop.now() + span
        while any(process.child.poll() is None for process in self.processes) and loop.now() < end:
            yield loop.sleep(EXIT_POLL)

    def events(self) -> list[TapEvent]:
        """What their taps have, in the order of time."""
        paths = sorted(self.trial.out.glob("clients*.tap"))
        return sorted((event for path in paths for event in read_tap(path)), key=lambda event: event["at"])
