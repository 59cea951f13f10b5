"""Prints a cluster's verdict for a person, 80 columns wide."""

from __future__ import annotations

from rich.console import Console

from gaproute.cluster.verdict import ClusterVerdict
from gaproute.scenarios import result_table

MAX_SHOWN_FAILURES = 10


def show(verdict: ClusterVerdict, console: Console) -> None:
    """Prints the verdict, with a table of the day where all of it was played."""
    if verdict.complete:
        result_table.print_result(verdict, console)
    late = ", ".join(f"{part} {late:.0f} ms" for part, late in verdict.late.items())
    console.print(f"late at most: {late}; ready after {verdict.ready_seconds} s")
    for text in [*verdict.void, *verdict.failures[:MAX_SHOWN_FAILURES]]:
        console.print(f"    {text}")
    console.print(f"verdict: {verdict.verdict}")
