"""The command line: `kelpjunction COMMAND`.

Exit codes: 0 done; 1 the service said no, or a rule was broken; 2 the command
or a settings file is wrong; 3 nothing answered.
"""

import click

from kelpjunction import __version__
from kelpjunction.cli.jobs import job
from kelpjunction.cli.lab import lab
from kelpjunction.cli.ledger import ledger
from kelpjunction.cli.serve import check, serve
from kelpjunction.cli.ticket import ticket


@click.group()
@click.version_option(__version__)
def main() -> None:
    """A cluster scheduler: controllers, jobs, and a lab to see it all work.

    \b
    Start here:
      kelpjunction lab up                  everything on this machine, with a live table
      kelpjunction job submit --tasks 8    a job, from a second terminal
    """


for command in (serve, check, job, lab, ledger, ticket):
    main.add_command(command)
