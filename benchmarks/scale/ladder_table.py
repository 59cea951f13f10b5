"""A ladder's rungs as a table: what was measured at each, and how far off the predictions were."""

import json
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, TypeAlias

from benchmarks.scale.cell_work import FILE as WORK
from benchmarks.scale.text import number, table

Rung: TypeAlias = Mapping[str, Any]  # one rung of a ladder as its file has it

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
CELL_FIGURES = (  # CPU is measured apart: WORK_FIGURES
    ("membership_bytes_per_s", "bytes a second: membership"),
    ("tables_bytes_per_s", "bytes a second: the table, no change"),
    ("day_tables_bytes_per_s", "bytes a second: the table, changes of a day"),
    ("demand_bytes_per_s", "bytes a second: gossip of demand"),
    ("bytes_per_s", "bytes a second in all, no change"),
    ("day_bytes_per_s", "bytes a second in all, changes of a day"),
    ("day_busiest_bytes_per_s", "the same of the busiest gateway"),
    ("membership_messages_per_s", "messages a second: membership"),
    ("tables_messages_per_s", "messages a second: the table, no change"),
    ("demand_messages_per_s", "messages a second: gossip of demand"),
    ("memory_mb", "memory, MB"),
    ("membership_entries", "entries of membership"),
    ("tables_entries", "entries of the table's carrier"),
    ("hosts_entries", "entries of hosts"),
    ("demand_entries", "entries of the gossip of demand"),
    ("change_known_s", "a changed row held by all gateways, s"),
    ("death_known_s", "a death known in its cell, s"),
    ("newcomer_table_s", "a newcomer has the table, s"),
    ("newcomer_hosts_s", "a newcomer has its hosts, s"),
    ("newcomer_known_s", "a newcomer known in its cell, s"),
)
WORK_FIGURES = (
    ("rest_cpu", "CPU, ms a second, no change"),
    ("day_cpu", "CPU, ms a second, changes of a day"),
    ("rest_calls", "calls of functions a second, no change"),
    ("day_calls", "calls of functions a second, changes of a day"),
)
FLAT_FROM = 1_000  # gateways from which on a gateway's costs are not to grow


def ladder(arguments: list[str], folder: Path) -> list[str]:
    """`NAME`: the ladder stored under that name.

    Raises OSError where there is none, KeyError where the file contains no ladder.
    """
    (name,) = arguments
    stored = json.loads((folder / "ladders" / f"ladder-{name}.json").read_text())
    complete = [rung for rung in stored["rungs"] if rung["measured"] and not rung["stopped"]]
    if stored.get("cells"):
        return _with_cells(complete, folder / "ladders" / WORK)
    head = ["figure", *(number(rung["size"]) for rung in complete), "predicted for the last", "error"]
    return table(head, [_row(key, meaning, complete) for key, meaning in FIGURES if _known(key, complete)])


def _known(key: str, rungs: Sequence[Rung]) -> bool:
    return all(rung["measured"].get(key) is not None for rung in rungs)


def _row(key: str, meaning: str, rungs: Sequence[Rung]) -> list[str]:
    """One figure over all rungs."""
    last = rungs[-1]
    predicted, error = last["predicted"].get(key), last["error_percent"].get(key)
    return [
        meaning,
        *(number(rung["measured"][key]) for rung in rungs),
        "-" if predicted is None else number(predicted["value"]),
        "-" if error is None else f"{error:+.0f}%",
    ]


def _with_cells(rungs: Sequence[Rung], work: Path) -> list[str]:
    """Each rung's prediction stands beside what was measured."""
    sizes = [rung["size"] for rung in rungs]
    rows = [
        [meaning, *(_beside(rung, key) for rung in rungs), grown(_values(key, rungs))]
        for key, meaning in CELL_FIGURES
        if _known(key, rungs)
    ]
    played = json.loads(work.read_text())["rungs"] if work.exists() else []
    for key, meaning in WORK_FIGURES if played else ():
        values = {rung["size"]: rung[key] for rung in played}
        cells = (number(values[size]) if size in values else "-" for size in sizes)
        rows.append([meaning, *cells, grown(values)])
    return table(["figure", *map(number, sizes), f"{number(FLAT_FROM)} to the last"], rows)


def _values(key: str, rungs: Sequence[Rung]) -> dict[int, float]:
    return {rung["size"]: rung["measured"][key] for rung in rungs}


def _beside(rung: Rung, key: str) -> str:
    """What was measured, and in brackets what was predicted."""
    measured, predicted = number(rung["measured"][key]), rung["predicted"].get(key)
    if predicted is None:
        return measured
    error = rung["error_percent"].get(key)
    return f"{measured} ({number(predicted['value'])}" + (")" if error is None else f", {error:+.0f}%)")


def grown(values: dict[int, float]) -> str:
    """By how much the figure at the largest size differs from that at `FLAT_FROM` gateways."""
    first, last = values.get(FLAT_FROM), values[max(values)]
    return f"{100 * (last - first) / first:+.1f}%" if first and max(values) > FLAT_FROM else "-"
