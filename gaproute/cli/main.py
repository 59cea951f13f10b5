"""The group of all commands; `ExitCode` has their exit codes."""

import click

from gaproute.cli import experiments, migration, queries, serving

COMMANDS = (
    serving.serve,
    serving.check,
    migration.migrate,
    queries.status,
    queries.hosts,
    queries.knows,
    queries.peers,
    experiments.trial,
    experiments.load,
    experiments.load_report,
    experiments.day_script,
)


@click.group()
@click.version_option("0.2.0")
def main() -> None:
    """A gateway that runs calls on workers which load functions or models on demand."""


for command in COMMANDS:
    main.add_command(command)
