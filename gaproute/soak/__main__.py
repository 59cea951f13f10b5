"""`python -m gaproute.soak`: plays soaks by their seeds and prints what each found.

Exit codes: 0 no rule or limit was broken, 1 one was, 2 a soak could not be played.
"""

from __future__ import annotations

import argparse
import dataclasses
import sys
import tempfile
from collections.abc import Sequence
from enum import Enum
from pathlib import Path
from typing import TypeVar

from gaproute.soak.change_log import ChangeLogFault
from gaproute.soak.client_connection import Outcome
from gaproute.soak.gateway_process import GatewayNotReadyError
from gaproute.soak.hostile_clients import HostileKind
from gaproute.soak.hosts import HostFault
from gaproute.soak.plan import SoakPlan, draw_plan
from gaproute.soak.soak import Soak, SoakResult
from gaproute.soak.usual_clients import count_outcomes

Choice = TypeVar("Choice", bound=Enum)

EXIT_HELD, EXIT_VIOLATED, EXIT_NOT_PLAYED = 0, 1, 2


def main(arguments: Sequence[str] | None = None) -> int:
    """Plays the soaks that the command line asks for; returns the exit code."""
    options = _parser().parse_args(arguments)
    violated = False
    for seed in range(options.seed, options.seed + options.count):
        try:
            result = play_soak(_plan(options, seed), options.logs)
        except GatewayNotReadyError as error:
            print(f"seed {seed}: {error}", file=sys.stderr)
            return EXIT_NOT_PLAYED
        print(describe(result), flush=True)
        violated |= bool(result.violations)
    return EXIT_VIOLATED if violated else EXIT_HELD


def play_soak(plan: SoakPlan, logs: Path | None = None) -> SoakResult:
    """Plays one soak; the gateway's logs go to `logs`, or are deleted. Errors: GatewayNotReadyError."""
    if logs is not None:
        folder = logs / f"soak-{plan.seed}"
        folder.mkdir(parents=True, exist_ok=True)
        return Soak(plan, folder).play()
    with tempfile.TemporaryDirectory() as temporary:
        return Soak(plan, Path(temporary)).play()


def describe(result: SoakResult) -> str:
    """The lines that are printed for a soak."""
    plan, seen = result.plan, result.seen
    counts = count_outcomes(seen.clients.records)
    outcomes = " ".join(f"{outcome.value}={counts[outcome]}" for outcome in Outcome if counts[outcome])
    lines = [
        f"seed {plan.seed}: {'VIOLATED' if result.violations else 'held'}"
        f" memory {seen.peak_memory_mb:.1f}/{plan.memory_mb} MB"
        f" descriptors {seen.most_descriptors}/{plan.descriptors}"
        f" kinds {'+'.join(kind.value for kind in plan.hostile_kinds) or '-'}"
        f" hosts {plan.host_fault.value} change log {plan.change_log_fault.value}"
        f" reloads {len(plan.reload_times)} restarts {len(plan.restart_times)}"
        f" crowd {'yes' if plan.crowded else 'no'}",
        f"    usual clients: {outcomes}; ran {len(seen.hosts.runs)} ids of {seen.hosts.functions} functions;"
        f" left {len(seen.departed.left_at)}, came again {len(seen.departed.repeated)}",
    ]
    return "\n".join(lines + [f"    {violation}" for violation in result.violations])


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m gaproute.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="of the first soak")
    parser.add_argument("--count", type=int, default=1, help="of soaks, with consecutive seeds")
    parser.add_argument("--seconds", type=float, default=20.0, help="of traffic in each soak")
    parser.add_argument("--logs", type=Path, help="folder for the gateways' logs")
    overrides = parser.add_argument_group("in place of what the seed draws")
    overrides.add_argument("--memory-mb", type=int)
    overrides.add_argument("--descriptors", type=int)
    overrides.add_argument("--kinds", help="of hostile clients, separated by commas; empty for none")
    overrides.add_argument("--hosts", choices=[each.value for each in HostFault])
    overrides.add_argument("--change-log", choices=[each.value for each in ChangeLogFault])
    overrides.add_argument("--calm-process", action="store_true", help="no signals")
    return parser


def _plan(options: argparse.Namespace, seed: int) -> SoakPlan:
    plan = draw_plan(seed, options.seconds)
    if options.kinds is not None:
        kinds = tuple(HostileKind(each) for each in options.kinds.split(",") if each)
        plan = dataclasses.replace(plan, hostile_kinds=kinds)
    if options.calm_process:
        plan = dataclasses.replace(plan, reload_times=(), restart_times=())
    return dataclasses.replace(
        plan,
        memory_mb=options.memory_mb or plan.memory_mb,
        descriptors=options.descriptors or plan.descriptors,
        host_fault=_chosen(HostFault, options.hosts, plan.host_fault),
        change_log_fault=_chosen(ChangeLogFault, options.change_log, plan.change_log_fault),
    )


def _chosen(kind: type[Choice], name: str | None, otherwise: Choice) -> Choice:
    return otherwise if name is None else kind(name)


if __name__ == "__main__":
    sys.exit(main())
