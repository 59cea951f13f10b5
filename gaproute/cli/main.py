"""`gaproute serve|check|migrate|status|hosts|knows|peers|trial|day-script`. Exit codes: 0 well, 1 the thing
asked about is not well (a broken rule, a gateway that is not ready), 2 wrong arguments or configuration, 3 it
could not be done."""

import gc
import json
import socket
import sys

import click
from rich.console import Console
from rich.table import Table

from gaproute.conf import Mistakes, move, read_charter, read_hosts, read_peers, read_text, write_whole
from gaproute.conf.cell_files import check_cells
from gaproute.loop.streams import address


def charter_of(file, whole=False):
    """The configuration of a file, or exit 2. `whole`: the files of its cells are read as well; a gateway
    starts without them and waits."""
    try:
        charter = read_charter(file)
        if charter.hosts_file is not None:
            read_hosts(charter.hosts_file.path)
        if charter.peers_file is not None:
            read_peers(charter.peers_file.path)
        if whole and charter.cells is not None:
            check_cells(charter)
        return charter
    except Mistakes as wrong:
        refuse(wrong, "nothing of it is used")


def refuse(wrong, what):
    """Tells every mistake, and exits 2."""
    for mistake in wrong.mistakes:
        click.echo(str(mistake), err=True)
    click.echo(f"{len(wrong.mistakes)} mistake{'s' * (len(wrong.mistakes) != 1)}; {what}", err=True)
    sys.exit(2)


@click.group()
@click.version_option("0.2.0")
def main():
    """A gateway that runs calls on workers which load functions or models on demand."""


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--seed", type=int, help="Seed of the decisions' chance; drawn at start where not given.")
@click.option("--processes", type=click.IntRange(1, 64), help="So many gateways behind the same addresses.")
@click.option("--seat", type=(int, int), hidden=True)
@click.option("--inherited", multiple=True, hidden=True)
@click.option("--life", type=int, hidden=True)
@click.option("--ready", type=int, hidden=True)
def serve(file, seed, processes, seat, inherited, life, ready):
    """Run a gateway by the configuration FILE until SIGTERM; with --processes several, under one parent that
    starts a dead one again and, at SIGHUP, rolls a new configuration through them."""
    charter = charter_of(file)
    if processes is not None:
        from gaproute.appliance.parent import Parent

        runs = Parent(file, charter, processes, seed)
    else:
        from gaproute.appliance import Appliance

        sockets = {}
        for each in inherited:
            fd, _, where = each.partition("=")
            sockets[where] = socket.socket(fileno=int(fd))
        if seat is not None:
            charter.seat(*seat)
        runs = Appliance(charter, seed=seed, inherited=sockets)
        runs.heed_signals()
    try:
        runs.start()
    except OSError as fault:
        click.echo(f"cannot listen: {fault}", err=True)
        sys.exit(3)
    if life is not None:
        runs.under(life, ready)
    gc.collect()
    gc.freeze()  # what stands for good is not looked through again and again: pauses of 20 ms and more
    gc.set_threshold(10_000, 50, 100)  # a task leaves no cycles behind
    runs.run()


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
def check(file):
    """Check the configuration FILE and the files that it names; every mistake in one go."""
    charter = charter_of(file, whole=True)
    click.echo(
        f"{file}: well: {len(charter.tracks)} tracks, {len(charter.models)} models, "
        f"{len(charter.hosts) or 'listed'} hosts"
    )


@main.command()
@click.argument("old", type=click.Path(dir_okay=False))
@click.argument("new", type=click.Path(dir_okay=False))
@click.option(
    "--shape",
    required=True,
    type=click.Path(dir_okay=False),
    help="What the new deployment states, as lines of a configuration.",
)
@click.option("--dry-run", is_flag=True, help="Print the result; write nothing.")
@click.option("--replace", is_flag=True, help="Write NEW even where such a file stands.")
def migrate(old, new, shape, dry_run, replace):
    """Write NEW, the counterpart of the configuration OLD for a deployment of another shape, and tell each
    line that could not be carried over. Exits 0 with all carried over, 1 with lines left behind, 2 where it
    is refused."""
    try:
        texts = [read_text(file) for file in (old, shape)]
        text, left = move(old, texts[0], shape, texts[1], new)
    except Mistakes as wrong:
        refuse(wrong, "nothing is written")
    if dry_run:
        click.echo(text, nl=False)
    else:
        try:
            write_whole(new, text, replace, kept=(old, shape))
        except FileExistsError:
            click.echo(
                f"{new}: stands already; name another file or say --replace; nothing is written", err=True
            )
            sys.exit(2)
        except OSError as fault:
            click.echo(
                f"{new}: {fault.strerror}; name a file that can be written; nothing is written", err=True
            )
            sys.exit(2)
    for each in left:
        click.echo(str(each), err=True)
    done = "nothing is written" if dry_run else f"written: {new}"
    click.echo(f"{len(left)} left behind; {done}", err=True)
    sys.exit(1 if left else 0)


def ask(where, path):
    """One question to a gateway's operator address; exits 3 where nobody answers."""
    family, target = address(where)
    try:
        with socket.socket(family, socket.SOCK_STREAM) as sock:
            sock.settimeout(5)
            sock.connect(target)
            sock.sendall(b"GET %s HTTP/1.1\r\nHost: operator\r\nConnection: close\r\n\r\n" % path)
            with sock.makefile("rb") as answer:
                head, _, body = answer.read().partition(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200"):
            raise OSError(head.partition(b"\r\n")[0].decode() or "no answer")
        return json.loads(body)
    except (OSError, ValueError) as fault:
        click.echo(f"no gateway answers at {where}: {fault}", err=True)
        sys.exit(3)


def show_table(columns, rows):
    table = Table()
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*row)
    Console().print(table)


def listing(where, path, plain, columns, cells):
    """What the operator address tells at the path: as JSON, or a row of `cells(each)` for each."""
    told = ask(where, path)
    if plain:
        click.echo(json.dumps(told))
    else:
        show_table(columns, map(cells, told))


at_option = click.option("--at", "where", required=True, help="Its `listen operator` address.")
json_option = click.option("--json", "plain", is_flag=True, help="As JSON.")


@main.command()
@at_option
@json_option
def status(where, plain):
    """What a running gateway holds and has answered. Exits 1 where it is not ready."""
    told = ask(where, b"/status")
    if plain:
        click.echo(json.dumps(told))
    else:
        state = "stopping" if told["stopping"] else "ready" if told["ready"] else "not ready: no active host"
        click.echo(f"{told['name']}: {state}, up {told['up_ms'] / 1000:.0f} s, {told['held']} tasks held")
        table = Table()
        counts = told["counts"]
        for column in ("track", "taken", "delivered", "declined", "scrapped", "left"):
            table.add_column(column, justify="left" if column == "track" else "right")
        for track in sorted(counts.get("taken", {})):
            table.add_row(
                track,
                *(
                    str(counts.get(what, {}).get(track, 0))
                    for what in ("taken", "delivered", "declined", "scrapped", "left")
                ),
            )
        Console().print(table)
    sys.exit(0 if told["ready"] else 1)


@main.command()
@at_option
@json_option
def hosts(where, plain):
    """The hosts that a running gateway knows."""
    listing(
        where,
        b"/hosts",
        plain,
        ("host", "address", "state", "capacity", "connections", "relays by outcome"),
        lambda host: (
            host["name"],
            host["address"],
            host["state"],
            f"{host['capacity']:g}",
            str(host["connections"]),
            ", ".join(f"{name} {n}" for name, n in host["relays"].items()),
        ),
    )


@main.command()
@at_option
@json_option
def knows(where, plain):
    """The copies that a running gateway believes to stand, the latest use first."""
    listing(
        where,
        b"/knows",
        plain,
        ("host", "function", "last use", "known by"),
        lambda copy: (
            copy["worker"],
            copy["function"],
            f"{copy['age_ms'] / 1000:.1f} s ago",
            copy["by"] if copy["tried"] else f"{copy['by']}, not yet tried",
        ),
    )


@main.command()
@at_option
@json_option
def peers(where, plain):
    """The other gateways that a running one knows: who is up, and what each told at the start."""

    def cells(peer):
        heard = peer.get("heard_ms")
        return (
            peer["name"],
            peer.get("where", ""),
            peer["state"] or "",
            f"{peer['since_ms'] / 1000:.0f} s" if "since_ms" in peer else "",
            f"{heard / 1000:.1f} s ago" if heard is not None else "never",
            peer["learnt"] or "not asked",
        )

    listing(
        where,
        b"/peers",
        plain,
        ("gateway", "address", "state", "for", "last heard", "told at the start"),
        cells,
    )


@main.command()
@click.argument("script", default="bad-day")
@click.option("--seed", default=1, help="Seed of the day's chance.")
@click.option(
    "--decisions", default="gaproute.decisions.route:Gateway", help="The gateways' decisions, MODULE:CLASS."
)
@click.option("--out", type=click.Path(file_okay=False), help="Folder for taps, logs and result.json.")
@json_option
def trial(script, seed, decisions, out, plain):
    """Play the scripted day SCRIPT (a name that comes with the program, or a file) on loopback and judge
    it. A cluster script (docs/cluster.md) that could not be measured in time is void: exit 3."""
    import tempfile
    from pathlib import Path

    from gaproute.cluster.script import read_script

    try:
        told = read_script(script)
    except Mistakes as wrong:
        click.echo(str(wrong), err=True)
        sys.exit(2)
    out = out or tempfile.mkdtemp(prefix="gaproute-trial-")
    if told.cluster is not None:
        from gaproute.cluster.platform.play import player
        from gaproute.cluster.show import show

        Play = player(told)
    else:
        from gaproute.trial.run import Trial as Play
        from gaproute.trial.tables import show
    result = Play(told, out, seed, decisions, None if plain else click.echo).run()
    if told.cluster is None:
        Path(out, "result.json").write_text(json.dumps(result.plain(), indent=1))
    if plain:
        click.echo(json.dumps(result.plain()))
    else:
        show(result, Console(width=80))
        click.echo(f"all of it: {out}")
    sys.exit(0 if result.well else 3 if told.cluster is not None and result.void else 1)


@main.command()
@click.argument("script", type=click.Path(dir_okay=False))
@click.option("--seed", default=1, help="Seed of the load's chance.")
@click.option("--out", type=click.Path(dir_okay=False), help="File for the result.")
@json_option
def load(script, seed, out, plain):
    """Play the load SCRIPT (docs/load.md) against its targets. Exits 1 where a task did not end well."""
    from gaproute.load import Crowd, read_load
    from gaproute.load.results import write_result
    from gaproute.loop import Loop

    try:
        told = read_load(script)
    except Mistakes as wrong:
        click.echo(str(wrong), err=True)
        sys.exit(2)
    loop = Loop()
    crowd = Crowd(loop, told, seed, None if plain else lambda text: click.echo(text, err=True))
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
    if plain:
        click.echo(json.dumps({"traffic": rows, "counts": dict(crowd.counts)}))
    else:
        show_load(rows)
        click.echo(", ".join(f"{what}: {count}" for what, count in sorted(crowd.counts.items())))
    sys.exit(0 if all(not row["not well"] for row in rows) else 1)


@main.command("load-report")
@click.argument("results", nargs=-1, required=True, type=click.Path(dir_okay=False))
@json_option
def load_report(results, plain):
    """The results of one or more loads side by side."""
    from gaproute.load import compare

    try:
        rows = compare(results)
    except (OSError, ValueError) as fault:
        click.echo(str(fault), err=True)
        sys.exit(2)
    click.echo(json.dumps(rows)) if plain else show_load(rows)


def show_load(rows):
    def cell(value):
        if isinstance(value, dict):
            return ", ".join(f"{key} {n}" for key, n in value.items())
        return f"{value:g}" if isinstance(value, float) else str(value)

    show_table(rows[0] if rows else (), (map(cell, row.values()) for row in rows))


@main.command("day-script")
@click.argument("day", type=click.File())
@click.option("--hosts", default=9)
@click.option("--gateways", default=3)
@click.option("--scale", default=1.0, help="Shortens all times.")
def day_script(day, hosts, gateways, scale):
    """Print a trial script with the troubles of a bench's DAY file (JSON)."""
    from gaproute.trial.daybook import script_of

    try:
        text, left_out = script_of(json.load(day), hosts, gateways, scale)
    except (ValueError, KeyError, TypeError) as fault:
        click.echo(f"{day.name}: no day file: {fault!r}", err=True)
        sys.exit(2)
    click.echo(text, nl=False)
    for kind in left_out:
        click.echo(f"left out: {kind} has no counterpart on sockets", err=True)
