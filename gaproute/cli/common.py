"""Parts shared by several commands: exit codes, error messages, tables and options."""

import sys
from collections.abc import Iterable, Sequence
from enum import IntEnum
from typing import Any, NoReturn

import click
from rich.console import Console
from rich.table import Table

from gaproute.config import ConfigurationError

JsonObject = dict[str, Any]  # a decoded or encodable object; its keys are those of the program that writes it

json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


class ExitCode(IntEnum):
    """The exit codes of commands."""

    OK = 0
    PROBLEM_FOUND = 1  # the command ran and found a problem: a broken rule, a gateway that is not ready
    INVALID_INPUT = 2  # invalid arguments or an invalid configuration
    COMMAND_FAILED = 3  # the command could not be carried out


def exit_with_error(message: str, code: ExitCode = ExitCode.INVALID_INPUT) -> NoReturn:
    """Prints the message and ends the command."""
    click.echo(message, err=True)
    sys.exit(code)


def exit_with_mistakes(error: ConfigurationError, consequence: str) -> NoReturn:
    """Prints all mistakes and their consequence, and ends the command."""
    for mistake in error.mistakes:
        click.echo(str(mistake), err=True)
    count = len(error.mistakes)
    exit_with_error(f"{count} mistake{'' if count == 1 else 's'}; {consequence}")


def show_table(columns: Sequence[str], rows: Iterable[Iterable[str]]) -> None:
    """Prints a table; each row has a text for each column."""
    table = Table()
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*row)
    Console().print(table)
