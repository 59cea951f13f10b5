"""What the parts of a played day share."""

from pathlib import Path
from typing import Protocol, TypedDict

from gaproute.loop import Loop
from gaproute.scenarios.processes import DayProcesses
from gaproute.scenarios.script import Script
from gaproute.standins.tap import Tap


class DayModel(TypedDict):
    """A model of a day in the form that stand-ins read (`gaproute.standins.model_server.ModelProfile`)."""

    name: str
    track: str  # its request class
    lanes: int  # requests that one copy works on at a time
    work: int  # mean core time of a request, ns
    start: int  # the start of a copy after its fetch, ns


class DayContext(Protocol):
    """The played day as its parts know it."""

    loop: Loop
    tap: Tap  # what is done to processes, and what the host list says when
    out: Path  # the folder of taps, logs and configurations
    script: Script
    seed: int
    decisions: str  # MODULE:CLASS of the gateways' decisions
    models: list[DayModel]
    processes: DayProcesses


def models_of(script: Script) -> list[DayModel]:
    """The models of a day: they go to the request classes in turn, each with the work of its class."""
    models = []
    for number in range(script.day.models):
        traffic = script.traffic[number % len(script.traffic)]
        models.append(
            DayModel(
                name=f"m{number:02}",
                track=traffic.track,
                lanes=traffic.lanes,
                work=traffic.work,
                start=traffic.start,
            )
        )
    return models
