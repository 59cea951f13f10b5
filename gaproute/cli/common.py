"""What several commands share: exit codes, errors, tables, and common options."""

import sys
from collections.abc import Iterable, Sequence
from enum import IntEnum
from typing import Any, NoReturn

import click
from rich.console import Console
from rich.table import Table

from gaproute.config import ConfigurationError

JsonObject = dict[str, Any]  # an object of an answer or of a result, whose keys are its author's

json_option = click.option("--json", "as_json", is_flag=True, help="As JSON.")


class ExitCode(IntEnum):
    """The exit codes of commands."""

    OK = 0
    PROBLEM_FOUND = 1  # the command found something wrong: a broken rule, a gateway that is not ready
    INVALID_INPUT = 2  # arguments or configuration
    COMMAND_FAILED = 3  # the command could not be carried out


def exit_with_error(message: str, code: ExitCode = ExitCode.INVALID_INPUT) -> NoReturn:
    """Ends the command with the message."""
    click.echo(message, err=True)
    sys.exit(code)


def exit_with_mistakes(error: ConfigurationError, consequence: str) -> NoReturn:
    """Ends the command with all mistakes and what follows from them."""
    for mistake in error.mistakes:
        click.echo(str(mistake), err=True)
    count = len(error.mistakes)
    exit_with_error(f"{count} mistake{'' if count == 1 else 's'}; {consequence}")


def show_table(columns: Sequence[str], rows: Iterable[Iterable[str]]) -> None:
    """Prints rows of texts under the names of their columns."""
    table = Table()
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*row)
    Console().print(table)
