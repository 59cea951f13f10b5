"""The parts of a cold start against its budget, each with where its figure comes from."""

from pathlib import Path

from benchmarks.scale import size
from benchmarks.scale.arithmetic import CELL_HOSTS, Derived, predicted, rows_of
from benchmarks.scale.text import number

WITHIN_REGION = 5.0  # ms there and back between zones, assumed
BETWEEN_REGIONS = 100.0  # ms there and back, assumed, the longest
FRONT = 0.8  # ms through a gateway without its decisions: 0.43 to the first attempt, 0.36 back


def cold_start(words: list[str], folder: Path) -> list[str]:
    """What the choice, the way and the answer take, and what is left for the load itself."""
    whole = predicted("decisions-first-call-by-hosts", size.HOSTS_AT_20, folder)
    in_cell = predicted("decisions-first-call-by-hosts", CELL_HOSTS, folder)
    dial, order, forward = WITHIN_REGION, WITHIN_REGION, BETWEEN_REGIONS
    near = in_cell.value + 2 * FRONT + 3 * WITHIN_REGION
    far = near + forward
    today = whole.value + FRONT + 3 * WITHIN_REGION
    assumed, measured = "assumed", "`figures.md`, medians on sockets"
    return rows_of(
        [
            Derived("choice, every host known", "fit", f"{number(whole.value)} ms", whole.source),
            Derived("choice in a cell", "fit", f"{number(in_cell.value)} ms", in_cell.source),
            Derived(
                "through a gateway, without the choice",
                "twice with an entry gateway",
                f"{number(FRONT)} ms",
                measured,
            ),
            Derived(
                "waiting for a cold host's budget or a lane", "none where the fleet has room", "0 ms", assumed
            ),
            Derived(
                "forwarded to an entry gateway of another region",
                "a round trip",
                f"{number(forward)} ms",
                assumed,
            ),
            Derived("dial to the host", "a round trip", f"{number(dial)} ms", assumed),
            Derived("load order, or the call that loads", "a round trip", f"{number(order)} ms", assumed),
            Derived("answer", "a round trip", f"{number(WITHIN_REGION)} ms", assumed),
            Derived(
                "left for the load, every host known",
                "440 ms less the above",
                f"{number(size.COLD_START - today)} ms",
            ),
            Derived(
                "left for the load, a cell of the own region",
                "440 ms less the above",
                f"{number(size.COLD_START - near)} ms",
            ),
            Derived(
                "left for the load, a cell of another region",
                "440 ms less the above",
                f"{number(size.COLD_START - far)} ms",
            ),
        ]
    )
