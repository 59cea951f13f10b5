"""Commands about a configuration file: run a gateway by it, check it, move it to another deployment."""

import gc
import socket
import sys

import click

from gaproute.cli.common import reject
from gaproute.config import (
    ConfigurationError,
    NotDurableError,
    read_configuration,
    read_hosts,
    read_peers,
    read_text,
    write_whole,
)
from gaproute.config import (
    migrate as migrate_configuration,
)
from gaproute.config.cell_files import check_cells
from gaproute.loop import Loop
from gaproute.loop.starting import Patience


def load_configuration(file, whole=False):
    """The configuration of a file, or exit 2. `whole`: the files of its cells are read as well; a gateway
    starts without them and waits."""
    try:
        return Patience().call(lambda: _read(file, whole))
    except ConfigurationError as wrong:
        reject(wrong, "nothing of it is used")


def _read(file, whole):
    configuration = read_configuration(file)
    if configuration.hosts_file is not None:
        read_hosts(configuration.hosts_file.path)
    if configuration.peers_file is not None:
        read_peers(configuration.peers_file.path)
    if whole and configuration.cells is not None:
        check_cells(configuration)
    return configuration


def attempt(patience, step, failed="cannot start"):
    """What a step of the start returns, or exit 3 where the operating system does not let it."""
    try:
        return patience.call(step)
    except OSError as fault:
        click.echo(f"{failed}: {fault}", err=True)
        sys.exit(3)


@click.command()
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
    configuration, patience = load_configuration(file), Patience()
    if processes is not None:
        from gaproute.appliance.parent import Parent

        runs = Parent(file, configuration, processes, seed, loop=attempt(patience, Loop))
    else:
        from gaproute.appliance import Appliance

        sockets = {}
        for each in inherited:
            fd, _, where = each.partition("=")
            sockets[where] = socket.socket(fileno=int(fd))
        if seat is not None:
            configuration.assign_process_slot(*seat)
        runs = Appliance(configuration, loop=attempt(patience, Loop), seed=seed, inherited=sockets)
        attempt(patience, runs.handle_signals)
    attempt(patience, runs.start, "cannot listen")
    if life is not None:
        runs.attach_to_parent(life, ready)
    gc.collect()
    gc.freeze()  # what stands for good is not looked through again and again: pauses of 20 ms and more
    gc.set_threshold(10_000, 50, 100)  # a task leaves no cycles behind
    runs.run()


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
def check(file):
    """Check the configuration FILE and the files that it names; every mistake in one go."""
    configuration = load_configuration(file, whole=True)
    click.echo(
        f"{file}: well: {len(configuration.tracks)} tracks, {len(configuration.models)} models, "
        f"{len(configuration.hosts) or 'listed'} hosts"
    )


@click.command()
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
        text, left = migrate_configuration(old, texts[0], shape, texts[1], new)
    except ConfigurationError as wrong:
        reject(wrong, "nothing is written")
    if dry_run:
        click.echo(text, nl=False)
    else:
        try:
            write_whole(new, text, replace=replace, preserved=(old, shape))
        except FileExistsError:
            click.echo(
                f"{new}: stands already; name another file or say --replace; nothing is written", err=True
            )
            sys.exit(2)
        except NotDurableError as fault:
            click.echo(
                f"{new}: written, but a crash of the machine may undo it ({fault.strerror}); "
                "write it again with --replace",
                err=True,
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
