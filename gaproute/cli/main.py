"""`gaproute serve|check|migrate|status|hosts|knows|peers|trial|day-script`. Exit codes: 0 well, 1 the thing
asked about is not well (a broken rule, a gateway that is not ready), 2 wrong arguments or configuration, 3 it
could not be done."""

import click

from gaproute.cli import experiments, queries, serving

COMMANDS = (
    serving.serve,
    serving.check,
    serving.migrate,
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
def main():
    """A gateway that runs calls on workers which load functions or models on demand."""


for command in COMMANDS:
    main.add_command(command)
