"""Rows of a measurement: their figures as text, the table in Markdown and as JSON."""

from __future__ import annotations

import json
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from statistics import median
from typing import Any

Row = Mapping[str, Any]


def table(rows: Sequence[Row]) -> str:
    """A Markdown table with the keys of the first row as its head."""
    head = list(rows[0])
    lines = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    lines += ["| " + " | ".join(str(row[key]) for key in head) + " |" for row in rows]
    return "\n".join(lines) + "\n"


def write(folder: str | Path, name: str, rows: Sequence[Row], **more: Any) -> Path:
    """Write `name`.md and `name`.json into the folder, which is made where it is missing.

    `more` goes into the JSON file. Returns the folder. Errors: OSError.
    """
    folder = Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    document = {"at": time.strftime("%Y-%m-%d"), "rows": rows, **more}
    (folder / f"{name}.md").write_text(table(rows))
    (folder / f"{name}.json").write_text(json.dumps(document, indent=1))
    return folder


def median_with_range(values: Sequence[float]) -> str:
    """The median, with the least and the greatest in brackets where they differ; three digits of each."""
    ordered = sorted(values)
    middle, low, high = (
        f"{value:.3g}" if value < 1000 else f"{value:.0f}"
        for value in (median(ordered), ordered[0], ordered[-1])
    )
    return middle + (f" ({low}-{high})" if low != high else "")
