"""The throughput of one gateway that forwards: two processes, asked as fast as they answer."""

from __future__ import annotations

import os
from typing import Any

from benchmarks.scale.costs.forwarding import KINDS
from benchmarks.scale.forwarding import CELLS, ForwardingFleet

SECONDS, WARM_UP = 3, 1
WARM_UP_RATE = 100


def play(kind: str, seed: int) -> dict[str, Any]:
    """One play of a fleet of its own. "at one core": calls a second over the share of a core they took."""
    fleet = ForwardingFleet(seed)
    try:
        fleet.play(KINDS[kind], WARM_UP_RATE, WARM_UP, seed)
        run = fleet.play(KINDS[kind], 0, SECONDS, seed)
    finally:
        fleet.close()
    return {
        "calls a second of a gateway's clients": run.calls,
        "at one core": {
            cell: round(run.calls / run.cpu[cell] * 1_000) for cell in CELLS if cell in KINDS[kind]
        },
        "CPU, ms a second": {cell: round(run.cpu[cell]) for cell in CELLS},
        "forwarded a second": run.forwarded,
        "calls that failed": run.failed,
        "p50 ms": round(run.p50, 1),
        "p99 ms": round(run.p99, 1),
        "load average": round(os.getloadavg()[0], 1),
    }
