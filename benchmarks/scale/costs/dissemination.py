"""Time and traffic of the cell table's dissemination, by the number of gateways, on a simulated network."""

from collections.abc import Callable, Iterator
from functools import partial
from typing import Any

from benchmarks.scale import dissemination
from benchmarks.scale.measurement import Measure, Measurement, measure

SIZES = (250, 500, 1_000, 2_000, 4_000, 16_000)
GATEWAYS = "gateways"
NETWORK = (
    "simulated: 5 regions, 13 zones, 33 gateways and 3 entries a cell; one way 1 to 3 ms within a zone, 5 ms "
    "between zones, 40 to 100 ms between regions; seeds 1 to 3"
)
SPREAD = {
    "half": "until half of the gateways hold a change",
    "most": "until 99 of 100 gateways hold a change",
    "all": "until all gateways hold a change",
}
TRAFFIC = {
    "messages": ("messages that a gateway sends, the mean of all", "messages/s"),
    "sent": ("bytes that a gateway sends with headers, the mean of all", "B/s"),
    "busiest": ("bytes that the busiest gateway sends and receives with headers", "B/s"),
}
RECOVERY = {
    "seconds": ("until all that were behind hold the newest version", "s"),
    "received": ("bytes that one that was behind received meanwhile, the mean", "B"),
    "greatest_second": ("greatest bytes that any gateway sent and received within a second", "B"),
}


Figures = dissemination.Spread | dissemination.Traffic | dissemination.Recovery
FleetPlay = Callable[[int, int], Figures]  # of the number of gateways and a seed


def _measured(
    name: str, meaning: str, unit: str, play: FleetPlay, field: str, conditions: str
) -> Measurement:
    def value(size: int, seed: int) -> float:
        return float(getattr(play(size, seed), field))

    return measure(name, meaning, unit, GATEWAYS, SIZES, value, f"{NETWORK}; {conditions}")


def _spreads() -> Iterator[tuple[str, Measure]]:
    cases: dict[str, tuple[dict[str, Any], str]] = {
        f"loss{loss // 10}": (dict(loss=loss), f"{loss / 10:.0f} % loss") for loss in (0, 50, 200)
    }
    cases["slow"] = dict(loss=50, slow=100), "5 % loss, a tenth of the gateways 250 ms slow each way"
    cases["killed"] = dict(killed=True), "no loss, the source dies after its first push"
    for case, (faults, conditions) in cases.items():
        play = partial(dissemination.spread, **faults)
        for field, meaning in SPREAD.items():
            name = f"dissemination-{case}-{field}"
            yield name, partial(_measured, name, meaning, "ms", play, field, conditions)


def _others() -> Iterator[tuple[str, Measure]]:
    cases: dict[str, tuple[FleetPlay, dict[str, tuple[str, str]], str]] = {
        "day": (partial(dissemination.load, loss=50), TRAFFIC, "46,000 changes a day, 5 % loss"),
        "rest": (dissemination.rest, TRAFFIC, "no changes"),
        "newcomer": (
            partial(dissemination.newcomer, loss=50),
            RECOVERY,
            "a gateway without a table, 490 cells, 46,000 changes a day, 5 % loss",
        ),
        "heal": (
            dissemination.heal,
            RECOVERY,
            "a region cut off for an hour, 490 cells, 46,000 changes a day, no loss",
        ),
    }
    for case, (play, fields, conditions) in cases.items():
        for field, (meaning, unit) in fields.items():
            name = f"dissemination-{case}-{field.replace('_', '-')}"
            yield name, partial(_measured, name, meaning, unit, play, field, conditions)


MEASUREMENTS = dict([*_spreads(), *_others()])
