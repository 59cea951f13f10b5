"""What forwarding between gateways of two cells costs them, and the latency it adds, by calls a second."""

import os
from functools import lru_cache, partial

from benchmarks.scale.forwarding import CELLS, HOSTS, MODELS, ForwardingFleet, Run
from benchmarks.scale.measurement import PLAYS, Measurement, Measurements, Play, measure

RATES = (24, 48, 97, 194)  # calls a second of a gateway's own clients
SECONDS, WARM_UP = 4, 1
FIRST, SECOND = CELLS
# {gateway's cell: home of the functions that its clients call}
KINDS = {
    "both": {FIRST: SECOND, SECOND: FIRST},
    "one way": {FIRST: SECOND},
    "unforwarded": {FIRST: FIRST, SECOND: SECOND},
}


@lru_cache(1)
def plays() -> tuple[dict[tuple[str, int, int], Run], str]:
    """{(kind, rate, seed): run}, and the machine's load as they began and ended."""
    runs, before = {}, os.getloadavg()[0]
    for seed in range(1, PLAYS + 1):
        fleet = ForwardingFleet(seed)
        try:
            for homes in KINDS.values():
                fleet.play(homes, RATES[0], WARM_UP, seed)
            for rate in RATES:
                for kind, homes in KINDS.items():
                    run = runs[kind, rate, seed] = fleet.play(homes, rate, SECONDS, seed)
                    print(f"forwarding: {kind}, {rate} a second, seed {seed}: {run}", flush=True)
        finally:
            fleet.close()
    return runs, f"{before:.1f} to {os.getloadavg()[0]:.1f}"


def cpu_of_both(kind: str, rate: int, seed: int) -> float:
    """Milliseconds a second, the mean of the two gateways."""
    return sum(plays()[0][kind, rate, seed].cpu.values()) / len(CELLS)


def cpu_one_way(cell: str, rate: int, seed: int) -> float:
    """Milliseconds a second of one gateway where the first one forwards to the second."""
    return plays()[0]["one way", rate, seed].cpu[cell]


def added(percentile: str, rate: int, seed: int) -> float:
    """Milliseconds, over calls of functions whose home is the gateway's own cell."""
    runs = plays()[0]
    forwarded = getattr(runs["both", rate, seed], percentile)
    return float(forwarded - getattr(runs["unforwarded", rate, seed], percentile))


def _measured(name: str, meaning: str, unit: str, play: Play) -> Measurement:
    made = partial(measure, name, meaning, unit, "calls a second of a gateway's own clients", RATES, play)
    runs = plays()[0]
    failed = sum(run.failed for run in runs.values())
    meant = [run for (kind, _, _), run in runs.items() if kind != "unforwarded"]
    share = min(run.forwarded / run.calls for run in meant)
    return made(
        f"two gateways with a cell of {HOSTS} hosts each on loopback, {MODELS:,} functions, each called "
        f"twice at most, {SECONDS} s a play, {failed} calls failed, "
        f"{share:.2f} of the calls or more forwarded where all should be, load average {plays()[1]}; "
        "hosts answer at once"
    )


CASES = {
    "forwarding-gateway-cpu": (
        "CPU of a gateway whose calls are all forwarded, with as many that are forwarded to it",
        "ms/s",
        partial(cpu_of_both, "both"),
    ),
    "forwarding-unforwarded-cpu": (
        "CPU of a gateway whose calls all stay in its own cell",
        "ms/s",
        partial(cpu_of_both, "unforwarded"),
    ),
    "forwarding-out-cpu": (
        "CPU of a gateway whose calls are all forwarded, with none forwarded to it",
        "ms/s",
        partial(cpu_one_way, FIRST),
    ),
    "forwarding-in-cpu": (
        "CPU of an entry gateway without clients, by the calls forwarded to it",
        "ms/s",
        partial(cpu_one_way, SECOND),
    ),
    "forwarding-added-p50": (
        "median latency that forwarding adds, with as many calls forwarded to each gateway",
        "ms",
        partial(added, "p50"),
    ),
    "forwarding-added-p99": (
        "99th percentile of latency that forwarding adds, with as many calls forwarded to each gateway",
        "ms",
        partial(added, "p99"),
    ),
}
MEASUREMENTS: Measurements = {name: partial(_measured, name, *case) for name, case in CASES.items()}
