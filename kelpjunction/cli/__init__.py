"""The command line: `kelpjunction COMMAND`.

Exit codes: 0 success; 1 the service refused the request, or a check of the
lab's rules or of the ledger failed; 2 the command or a file is wrong; 3 no
service answered.
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
    """A cluster scheduler: controllers, jobs, and a lab that runs all of it on one machine.

    \b
    Start here:
      kelpjunction lab up                  everything on this machine, with a live table
      kelpjunction job submit --tasks 8    a job, from a second terminal
    """


for command in (serve, check, job, lab, ledger, ticket):
    main.add_command(command)
