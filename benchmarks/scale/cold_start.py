"""The parts of a cold start against its budget, each with where its figure comes from."""

from pathlib import Path

from benchmarks.scale import size
from benchmarks.scale.arithmetic import CELL_HOSTS, Derived, predicted, rows_of
from benchmarks.scale.text import number

WITHIN_REGION = 5.0  # ms there and back between zones, assumed
BETWEEN_REGIONS = 100.0  # ms there and back, assumed, the longest
ASSUMED = "assumed"  # where a figure comes from
FRONT = 0.8  # ms through a gateway without its decisions: 0.43 to the first attempt, 0.36 back


def cold_start(arguments: list[str], folder: Path) -> list[str]:
    """What the choice, the way and the answer take, and what is left for the load itself."""
    every_host = predicted("decisions-first-call-by-hosts", size.HOSTS_AT_20, folder)
    in_cell = predicted("decisions-first-call-by-hosts", CELL_HOSTS, folder)
    return rows_of(
        [
            Derived("choice, every host known", "fit", f"{number(every_host.value)} ms", every_host.source),
            Derived("choice in a cell", "fit", f"{number(in_cell.value)} ms", in_cell.source),
            *_ways(),
            *_left_for_the_load(every_host.value, in_cell.value),
        ]
    )


def _ways() -> list[Derived]:
    """Waiting, and the ways between gateways and hosts."""
    return [
        Derived(
            "through a gateway, without the choice",
            "twice with an entry gateway",
            f"{number(FRONT)} ms",
            "`figures.md`, medians on sockets",
        ),
        Derived(
            "waiting for a cold host's budget or a lane", "none where the fleet has room", "0 ms", ASSUMED
        ),
        Derived(
            "forwarded to an entry gateway of another region",
            "a round trip",
            f"{number(BETWEEN_REGIONS)} ms",
            ASSUMED,
        ),
        Derived("dial to the host", "a round trip", f"{number(WITHIN_REGION)} ms", ASSUMED),
        Derived("load order, or the call that loads", "a round trip", f"{number(WITHIN_REGION)} ms", ASSUMED),
        Derived("answer", "a round trip", f"{number(WITHIN_REGION)} ms", ASSUMED),
    ]


def _left_for_the_load(every_host: float, in_cell: float) -> list[Derived]:
    """What of the cold start is left; the arguments are the times of the choice, ms."""
    ways = 3 * WITHIN_REGION  # dial, load order, answer
    today = every_host + FRONT + ways
    near = in_cell + 2 * FRONT + ways
    far = near + BETWEEN_REGIONS
    cases = (
        ("every host known", today),
        ("a cell of the own region", near),
        ("a cell of another region", far),
    )
    return [
        Derived(
            f"left for the load, {case}",
            "440 ms less the above",
            f"{number(size.COLD_START - taken)} ms",
        )
        for case, taken in cases
    ]
