"""Rows of a measurement as a table in Markdown and as JSON."""

import json
import time
from pathlib import Path


def table(rows):
    head = list(rows[0])
    lines = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    return "\n".join(lines + ["| " + " | ".join(str(row[key]) for key in head) + " |" for row in rows]) + "\n"


def write(folder, name, rows, **more):
    """`name`.md and `name`.json in the folder, which is made where it is missing; returns the folder."""
    folder = Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    (folder / f"{name}.md").write_text(table(rows))
    (folder / f"{name}.json").write_text(
        json.dumps({"at": time.strftime("%Y-%m-%d"), "rows": rows, **more}, indent=1)
    )
    return folder
