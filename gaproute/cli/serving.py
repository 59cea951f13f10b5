"""Commands that take a configuration file: run a gateway, or check the file."""

from __future__ import annotations

import gc
import socket
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, TypeVar

import click

from gaproute.cli.common import ExitCode, exit_with_error, exit_with_mistakes
from gaproute.config import ConfigurationError, read_configuration, read_hosts, read_peers
from gaproute.config.cell_files import check_cell_files
from gaproute.config.configuration import Configuration
from gaproute.loop import Loop
from gaproute.loop.starting import StartupRetries

if TYPE_CHECKING:
    from gaproute.appliance import Appliance

MAX_PROCESSES = 64
GC_THRESHOLDS = (10_000, 50, 100)  # high, for few collections, as a request leaves no reference cycles

StepResult = TypeVar("StepResult")


def load_configuration(file: str, *, with_cells: bool = False) -> Configuration:
    """Reads a configuration file; ends the command if the file cannot be used.

    `with_cells`: whether to read the files of its cells too; a gateway starts without them and waits.
    """
    try:
        configuration: Configuration = StartupRetries().call(lambda: _read_files(file, with_cells=with_cells))
    except ConfigurationError as error:
        exit_with_mistakes(error, "nothing of it is used")
    return configuration


def _read_files(file: str, *, with_cells: bool) -> Configuration:
    """Errors: `ConfigurationError` if one of the files is invalid."""
    configuration = read_configuration(file)
    if configuration.hosts_file is not None:
        read_hosts(configuration.hosts_file.path)
    if configuration.peers_file is not None:
        read_peers(configuration.peers_file.path)
    if with_cells and configuration.cells is not None:
        check_cell_files(configuration)
    return configuration


def run_startup_step(
    retries: StartupRetries, step: Callable[[], StepResult], message: str = "cannot start"
) -> StepResult:
    """Runs a step of the start with retries; ends the command with `message` if it still raises OSError."""
    try:
        result: StepResult = retries.call(step)
    except OSError as error:
        exit_with_error(f"{message}: {error}", ExitCode.COMMAND_FAILED)
    return result


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--seed", type=int, help="Seed of the decisions' random numbers; drawn at start if not given.")
@click.option(
    "--processes",
    type=click.IntRange(1, MAX_PROCESSES),
    help="Number of gateway processes behind the same addresses.",
)
@click.option("--seat", "process_slot", type=(int, int), hidden=True)
@click.option("--inherited", multiple=True, hidden=True)
@click.option("--life", "liveness_pipe", type=int, hidden=True)
@click.option("--ready", "ready_pipe", type=int, hidden=True)
def serve(
    file: str,
    seed: int | None,
    processes: int | None,
    process_slot: tuple[int, int] | None,
    inherited: tuple[str, ...],
    liveness_pipe: int | None,
    ready_pipe: int | None,
) -> None:
    """Run a gateway with the configuration FILE until SIGTERM. With --processes, run several under a parent
    that restarts a process that ends and, at SIGHUP, replaces all to apply a new configuration."""
    configuration, retries = load_configuration(file), StartupRetries()
    if processes is not None:
        _serve_with_children(retries, file, configuration, processes, seed)
        return
    if process_slot is not None:
        configuration.assign_process_slot(*process_slot)
    appliance = _make_appliance(retries, configuration, seed, inherited)
    run_startup_step(retries, appliance.start, "cannot listen")
    if liveness_pipe is not None and ready_pipe is not None:
        appliance.attach_to_parent(liveness_pipe, ready_pipe)
    _tune_garbage_collection()
    appliance.run()


def _serve_with_children(
    retries: StartupRetries, file: str, configuration: Configuration, processes: int, seed: int | None
) -> None:
    from gaproute.appliance.parent import Parent  # imported here, as most commands run no gateway

    parent = Parent(file, configuration, processes, seed, loop=run_startup_step(retries, Loop))
    run_startup_step(retries, parent.start, "cannot listen")
    _tune_garbage_collection()
    parent.run()


def _make_appliance(
    retries: StartupRetries, configuration: Configuration, seed: int | None, inherited: Iterable[str]
) -> Appliance:
    """Makes the gateway with its signal handlers. `inherited`: `DESCRIPTOR=ADDRESS` per listening socket."""
    from gaproute.appliance import Appliance

    sockets = {}
    for text in inherited:
        descriptor, _, address = text.partition("=")
        sockets[address] = socket.socket(fileno=int(descriptor))
    loop = run_startup_step(retries, Loop)
    appliance = Appliance(configuration, loop=loop, seed=seed, inherited_sockets=sockets)
    run_startup_step(retries, appliance.handle_signals)
    return appliance


def _tune_garbage_collection() -> None:
    gc.collect()
    gc.freeze()  # so that no collection examines the objects of the start, which would take 20 ms and more
    gc.set_threshold(*GC_THRESHOLDS)


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
def check(file: str) -> None:
    """Check the configuration FILE and the files that it names, and print all mistakes."""
    configuration = load_configuration(file, with_cells=True)
    click.echo(
        f"{file}: well: {len(configuration.request_classes)} tracks, {len(configuration.models)} models, "
        f"{len(configuration.hosts) or 'listed'} hosts"
    )
