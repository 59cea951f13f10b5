"""Commands that play: scripted days on loopback, and load against a gateway."""

import json
import sys

import click
from rich.console import Console

from gaproute.cli.common import json_option, show_table
from gaproute.config import ConfigurationError


@click.command()
@click.argument("script", default="bad-day")
@click.option("--seed", default=1, help="Seed of the day's chance.")
@click.option(
    "--decisions", default="gaproute.decisions.routing:Gateway", help="The gateways' decisions, MODULE:CLASS."
)
@click.option("--out", type=click.Path(file_okay=False), help="Folder for taps, logs and result.json.")
@json_option
def trial(script, seed, decisions, out, as_json):
    """Play the scripted day SCRIPT (a name that comes with the program, or a file) on loopback and judge
    it. A cluster script (docs/cluster.md) that could not be measured in time is void: exit 3."""
    import tempfile
    from pathlib import Path

    from gaproute.cluster.script import read_script

    try:
        told = read_script(script)
    except ConfigurationError as wrong:
        click.echo(str(wrong), err=True)
        sys.exit(2)
    out = out or tempfile.mkdtemp(prefix="gaproute-trial-")
    if told.cluster is not None:
        from gaproute.cluster.platform.play import player
        from gaproute.cluster.show import show

        Play = player(told)
    else:
        from gaproute.scenarios.run import Trial as Play
        from gaproute.scenarios.tables import show
    result = Play(told, out, seed, decisions, None if as_json else click.echo).run()
    if told.cluster is None:
        Path(out, "result.json").write_text(json.dumps(result.plain(), indent=1))
    if as_json:
        click.echo(json.dumps(result.plain()))
    else:
        show(result, Console(width=80))
        click.echo(f"all of it: {out}")
    sys.exit(0 if result.well else 3 if told.cluster is not None and result.void else 1)


@click.command()
@click.argument("script", type=click.Path(dir_okay=False))
@click.option("--seed", default=1, help="Seed of the load's chance.")
@click.option("--out", type=click.Path(dir_okay=False), help="File for the result.")
@json_option
def load(script, seed, out, as_json):
    """Play the load SCRIPT (docs/load.md) against its targets. Exits 1 where a task did not end well."""
    from gaproute.load import Crowd, read_load
    from gaproute.load.results import write_result
    from gaproute.loop import Loop

    try:
        told = read_load(script)
    except ConfigurationError as wrong:
        click.echo(str(wrong), err=True)
        sys.exit(2)
    loop = Loop()
    crowd = Crowd(loop, told, seed, None if as_json else lambda text: click.echo(text, err=True))
    loop.run(until=loop.spawn(crowd.play()).done)
    if out:
        write_result(out, told, seed, crowd.tallies, crowd.counts)
    rows = [
        {
            "traffic": name,
            **tally.figures(),
            "not well": {end: count for end, count in tally.ends.items() if end != "delivered"},
        }
        for name, tally in crowd.tallies.items()
    ]
    if as_json:
        click.echo(json.dumps({"traffic": rows, "counts": dict(crowd.counts)}))
    else:
        show_load(rows)
        click.echo(", ".join(f"{what}: {count}" for what, count in sorted(crowd.counts.items())))
    sys.exit(0 if all(not row["not well"] for row in rows) else 1)


@click.command("load-report")
@click.argument("results", nargs=-1, required=True, type=click.Path(dir_okay=False))
@json_option
def load_report(results, as_json):
    """The results of one or more loads side by side."""
    from gaproute.load import compare

    try:
        rows = compare(results)
    except (OSError, ValueError) as fault:
        click.echo(str(fault), err=True)
        sys.exit(2)
    click.echo(json.dumps(rows)) if as_json else show_load(rows)


def show_load(rows):
    """Prints a load's rows as a table."""

    def cell(value):
        if isinstance(value, dict):
            return ", ".join(f"{key} {n}" for key, n in value.items())
        return f"{value:g}" if isinstance(value, float) else str(value)

    show_table(rows[0] if rows else (), (map(cell, row.values()) for row in rows))


@click.command("day-script")
@click.argument("day", type=click.File())
@click.option("--hosts", default=9)
@click.option("--gateways", default=3)
@click.option("--scale", default=1.0, help="Shortens all times.")
def day_script(day, hosts, gateways, scale):
    """Print a trial script with the troubles of a bench's DAY file (JSON)."""
    from gaproute.scenarios.daybook import script_of

    try:
        text, left_out = script_of(json.load(day), hosts, gateways, scale)
    except (ValueError, KeyError, TypeError) as fault:
        click.echo(f"{day.name}: no day file: {fault!r}", err=True)
        sys.exit(2)
    click.echo(text, nl=False)
    for kind in left_out:
        click.echo(f"left out: {kind} has no counterpart on sockets", err=True)
