"""What several commands share: how mistakes are told, tables, the options of more than one command."""

import sys

import click
from rich.console import Console
from rich.table import Table

json_option = click.option("--json", "as_json", is_flag=True, help="As JSON.")


def reject(wrong, what):
    """Tells every mistake, and exits 2."""
    for mistake in wrong.mistakes:
        click.echo(str(mistake), err=True)
    click.echo(f"{len(wrong.mistakes)} mistake{'s' * (len(wrong.mistakes) != 1)}; {what}", err=True)
    sys.exit(2)


def show_table(columns, rows):
    """Prints rows of texts under their columns' names."""
    table = Table()
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*row)
    Console().print(table)
