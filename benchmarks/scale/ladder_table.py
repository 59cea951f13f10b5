"""A ladder's rungs as a table: what was measured at each, and how far off the last prediction was."""

import json
from pathlib import Path

from benchmarks.scale.text import number, table

FIGURES = (
    ("bytes_per_s", "bytes sent a gateway and second"),
    ("busiest_bytes_per_s", "bytes sent by the busiest in a second"),
    ("cpu_percent", "CPU, % of a core, the simulation's own in it"),
    ("memory_mb", "memory, MB"),
    ("membership_entries", "entries of membership"),
    ("demand_entries", "entries of the gossip of demand"),
    ("change_known_s", "a changed list known to all, s"),
    ("death_known_s", "a death known to all, s"),
    ("newcomer_known_s", "a newcomer known to all, s"),
    ("restart_known_s", "a restart known to all, s"),
)


def ladder(words: list[str], folder: Path) -> list[str]:
    """`NAME`: the ladder kept under that name. Errors: OSError, KeyError where it is not kept or not one."""
    (name,) = words
    rungs = json.loads((folder / "ladders" / f"ladder-{name}.json").read_text())["rungs"]
    whole = [rung for rung in rungs if rung["measured"] and not rung["stopped"]]
    head = ["figure", *(number(rung["size"]) for rung in whole), "predicted for the last", "error"]
    rows = [_row(key, meaning, whole) for key, meaning in FIGURES if _known(key, whole)]
    return table(head, rows)


def _known(key, rungs):
    return all(rung["measured"].get(key) is not None for rung in rungs)


def _row(key, meaning, rungs):
    """One figure over all rungs."""
    last = rungs[-1]
    predicted, error = last["predicted"].get(key), last["error_percent"].get(key)
    return [
        meaning,
        *(number(rung["measured"][key]) for rung in rungs),
        "-" if predicted is None else number(predicted["value"]),
        "-" if error is None else f"{error:+.0f}%",
    ]
