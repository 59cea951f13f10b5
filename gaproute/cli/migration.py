"""The command that migrates a configuration to another deployment."""

import sys

import click

from gaproute.cli.common import ExitCode, exit_with_error, exit_with_mistakes
from gaproute.config import ConfigurationError, NotDurableError, read_text, write_file_atomically
from gaproute.config import migrate as migrate_configuration


@click.command()
@click.argument("old", type=click.Path(dir_okay=False))
@click.argument("new", type=click.Path(dir_okay=False))
@click.option(
    "--shape",
    required=True,
    type=click.Path(dir_okay=False),
    help="Configuration lines that describe the new deployment.",
)
@click.option("--dry-run", is_flag=True, help="Print the new configuration and write no file.")
@click.option("--replace", is_flag=True, help="Overwrite NEW if it exists.")
def migrate(old: str, new: str, shape: str, *, dry_run: bool, replace: bool) -> None:
    """Write NEW, the counterpart of the configuration OLD for a deployment of another shape, and print each
    line that could not be carried over. Exits 0 if all lines were carried over, 1 if lines were left behind,
    2 if a file is invalid or NEW cannot be written."""
    try:
        text, left_behind = migrate_configuration(old, read_text(old), shape, read_text(shape), new)
    except ConfigurationError as error:
        exit_with_mistakes(error, "nothing is written")
    if dry_run:
        click.echo(text, nl=False)
    else:
        _write(new, text, (old, shape), replace=replace)
    for line in left_behind:
        click.echo(str(line), err=True)
    outcome = "nothing is written" if dry_run else f"written: {new}"
    click.echo(f"{len(left_behind)} left behind; {outcome}", err=True)
    sys.exit(ExitCode.PROBLEM_FOUND if left_behind else ExitCode.OK)


def _write(path: str, text: str, preserved: tuple[str, ...], *, replace: bool) -> None:
    """Writes the file; if that fails, ends the command with advice for the operator."""
    try:
        write_file_atomically(path, text, replace=replace, preserved=preserved)
    except FileExistsError:
        exit_with_error(
            f"{path}: file exists already; name another file or say --replace; nothing is written"
        )
    except NotDurableError as error:
        exit_with_error(
            f"{path}: written, but a crash of the machine may undo it ({error.strerror}); "
            "write it again with --replace"
        )
    except OSError as error:
        exit_with_error(f"{path}: {error.strerror}; name a file that can be written; nothing is written")
