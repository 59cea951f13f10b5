"""Commands that run experiments: scripted days on the loopback network, and load against a gateway.

Each command imports its modules when it runs, so that other commands start fast.
"""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path
from typing import IO, TYPE_CHECKING

import click
from rich.console import Console

from gaproute.cli.common import ExitCode, JsonObject, exit_with_error, json_option, show_table
from gaproute.config import ConfigurationError

if TYPE_CHECKING:
    from gaproute.cluster.script import ClusterScript
    from gaproute.load import LoadGenerator
    from gaproute.scenarios.result import DayResult
    from gaproute.scenarios.trial import Trial

RESULT_WIDTH = 80  # columns of the console on which a result is printed


@click.command()
@click.argument("script", default="bad-day")
@click.option("--seed", default=1, help="Seed of the random numbers of the day.")
@click.option(
    "--decisions", default="gaproute.decisions.routing:Gateway", help="The gateways' decisions, MODULE:CLASS."
)
@click.option("--out", type=click.Path(file_okay=False), help="Folder for taps, logs and result.json.")
@json_option
def trial(script: str, seed: int, decisions: str, out: str | None, *, as_json: bool) -> None:
    """Play the scripted day SCRIPT (a built-in name or a file) on the loopback network and judge the result.
    A cluster script (docs/cluster.md) that could not be measured in time is void: exit 3."""
    from gaproute.cluster.script import read_script

    try:
        parsed = read_script(script)
    except ConfigurationError as error:
        exit_with_error(str(error))
    out = out or tempfile.mkdtemp(prefix="gaproute-trial-")
    trial_class = _trial_class(parsed)
    result = trial_class(parsed, out, seed, decisions, None if as_json else click.echo).run()
    if parsed.cluster is None:
        Path(out, "result.json").write_text(json.dumps(result.plain(), indent=1))
    if as_json:
        click.echo(json.dumps(result.plain()))
    else:
        _show_result(result)
        click.echo(f"results: {out}")
    sys.exit(_exit_code(result))


def _trial_class(script: ClusterScript) -> type[Trial]:
    """The class that plays the script: as a cluster with emulated links, or as a day without links."""
    if script.cluster is None:
        from gaproute.scenarios.trial import Trial

        return Trial
    from gaproute.cluster.platform.harness import harness_class

    return harness_class(script)


def _show_result(result: DayResult) -> None:
    from gaproute.cluster.show import show
    from gaproute.cluster.verdict import ClusterVerdict
    from gaproute.scenarios.result_table import print_result

    console = Console(width=RESULT_WIDTH)
    if isinstance(result, ClusterVerdict):
        show(result, console)
    else:
        print_result(result, console)


def _exit_code(result: DayResult) -> ExitCode:
    from gaproute.cluster.verdict import ClusterVerdict

    if result.well:
        return ExitCode.OK
    return (
        ExitCode.COMMAND_FAILED
        if isinstance(result, ClusterVerdict) and result.void
        else ExitCode.PROBLEM_FOUND
    )


@click.command()
@click.argument("script", type=click.Path(dir_okay=False))
@click.option("--seed", default=1, help="Seed of the random numbers of the load.")
@click.option("--out", type=click.Path(dir_okay=False), help="File for the result.")
@json_option
def load(script: str, seed: int, out: str | None, *, as_json: bool) -> None:
    """Send the load of SCRIPT (docs/load.md) to its targets. Exits 1 if a request did not end well."""
    from gaproute.load import LoadGenerator, read_load_script
    from gaproute.load.results import write_result
    from gaproute.loop import Loop

    try:
        parsed = read_load_script(script)
    except ConfigurationError as error:
        exit_with_error(str(error))
    loop = Loop()
    generator = LoadGenerator(loop, parsed, seed, None if as_json else _echo_progress)
    loop.run(until=loop.spawn(generator.play()).done)
    if out:
        write_result(out, generator.result())
    rows = _load_rows(generator)
    if as_json:
        click.echo(json.dumps({"traffic": rows, "counts": dict(generator.counts)}))
    else:
        _show_load(rows)
        click.echo(", ".join(f"{what}: {count}" for what, count in sorted(generator.counts.items())))
    sys.exit(ExitCode.PROBLEM_FOUND if any(row["not well"] for row in rows) else ExitCode.OK)


def _echo_progress(text: str) -> None:
    click.echo(text, err=True)


def _load_rows(generator: LoadGenerator) -> list[JsonObject]:
    """One row of figures for each kind of traffic."""
    return [
        {"traffic": name, **result.summary(), "not well": result.unsuccessful}
        for name, result in generator.results.items()
    ]


@click.command("load-report")
@click.argument("results", nargs=-1, required=True, type=click.Path(dir_okay=False))
@json_option
def load_report(results: tuple[str, ...], *, as_json: bool) -> None:
    """Print the results of one or more loads side by side."""
    from gaproute.load import summary_rows

    try:
        rows = summary_rows(results)
    except (OSError, ValueError) as error:
        exit_with_error(str(error))
    if as_json:
        click.echo(json.dumps(rows))
    else:
        _show_load(rows)


def _show_load(rows: list[JsonObject]) -> None:
    """Prints rows of load figures as a table."""
    columns = list(rows[0]) if rows else []
    show_table(columns, (map(_format_load_figure, row.values()) for row in rows))


def _format_load_figure(value: object) -> str:
    if isinstance(value, dict):
        return ", ".join(f"{key} {count}" for key, count in value.items())
    return f"{value:g}" if isinstance(value, float) else str(value)


@click.command("day-script")
@click.argument("day", type=click.File())
@click.option("--hosts", default=9)
@click.option("--gateways", default=3)
@click.option("--scale", default=1.0, help="Factor by which all times are multiplied.")
def day_script(day: IO[str], hosts: int, gateways: int, scale: float) -> None:
    """Print a trial script with the faults of a benchmark's DAY file (JSON)."""
    from gaproute.scenarios.bench_day import convert_bench_day

    try:
        text, left_out = convert_bench_day(json.load(day), hosts, gateways, scale)
    except (ValueError, KeyError, TypeError) as error:
        exit_with_error(f"{day.name}: not a day file of the benchmark: {error!r}")
    click.echo(text, nl=False)
    for kind in left_out:
        click.echo(f"left out: {kind}: a trial on sockets has no counterpart of it", err=True)
