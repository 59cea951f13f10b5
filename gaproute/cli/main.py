"""The command group; `ExitCode` has the exit codes of all commands."""

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
    """A gateway that runs requests on hosts which load functions or models on demand."""


for command in COMMANDS:
    main.add_command(command)
