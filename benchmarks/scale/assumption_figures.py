"""How the fleet and its costs change with the assumed number of instances a host."""

from pathlib import Path

from benchmarks.scale import size
from benchmarks.scale.arithmetic import CELL_HOSTS, predicted
from benchmarks.scale.text import number, table


def assumptions(arguments: list[str], folder: Path) -> list[str]:
    """What changes with the instances a host: the fleet, today's costs by it, and the cells."""
    rows = []
    for instances in size.INSTANCES_A_HOST:
        hosts = size.INSTANCES / instances
        memory = predicted("decisions-list-memory-by-hosts", hosts, folder)
        line = predicted("decisions-changed-line-by-hosts", hosts, folder)
        first = predicted("decisions-first-call-by-hosts", hosts, folder)
        rows.append(
            [
                number(instances),
                number(hosts),
                f"{number(memory.value)} MB",
                f"{number(line.value)} ms",
                f"{number(first.value)} ms",
                number(round(hosts / CELL_HOSTS)),
                number(round(hosts / CELL_HOSTS / size.ZONES)),
            ]
        )
    head = [
        "instances a host",
        "hosts",
        "the list held whole",
        "one changed line",
        "first call of a rare function",
        "cells",
        "cells a zone",
    ]
    return table(head, rows)
