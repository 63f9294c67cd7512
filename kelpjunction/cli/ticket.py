"""`ticket check`: what a render-farm job ticket would become, before anything is submitted."""

import sys
from datetime import timedelta
from pathlib import Path

import click
import orjson

from kelpjunction.wire import users


@click.group()
def ticket() -> None:
    """Render-farm job tickets: Open Job Description's job templates."""


def _parameters(pairs: tuple[str, ...]) -> dict[str, str]:
    found = {}
    for pair in pairs:
        name, equals, value = pair.partition("=")
        if not equals or not name:
            raise click.BadParameter(f"{pair!r} is not NAME=VALUE", param_hint="--parameter")
        found[name] = value
    return found


@ticket.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--parameter", "-p", "pairs", multiple=True, metavar="NAME=VALUE", help="A job parameter's value.")
@click.option("--team", default="red", show_default=True)
@click.option("--id", "ticket_id", help="The ticket's id; made of its content if left out.")
@click.option("--seconds", default=60.0, show_default=True, type=click.FloatRange(0), help="A task's expected run.")
@click.option("--json", "as_json", is_flag=True, help="Print the jobs as users submit them.")
def check(file: Path, pairs: tuple[str, ...], team: str, ticket_id: str | None, seconds: float, as_json: bool) -> None:
    """Read FILE (YAML or JSON) and print the jobs it becomes; exit code 1 lists everything that is wrong with it.

    \b
    Example:
      kelpjunction ticket check match.yaml -p Race=regina-10k
    """
    try:
        from kelpjunction.tickets import plan, wire
    except ModuleNotFoundError as error:
        click.echo(f"kelpjunction: {error.name} is not installed: pip install 'kelpjunction[tickets]'", err=True)
        sys.exit(2)
    parameters = _parameters(pairs)
    order = plan.Order(team, estimate=timedelta(seconds=seconds))
    try:
        name, steps, content = wire.read(file.read_bytes(), parameters)
        made = plan.plan(ticket_id or plan.ticket_id([content, parameters, team]), name, steps, order)
    except plan.Refused as refused:
        for fault in refused.faults:
            click.echo(f"kelpjunction: {file}: {fault}", err=True)
        sys.exit(1)
    if as_json:
        jobs = [
            {"step": j.name, "after": j.depends_on, "job": users.fields_to_keep(users.submission(j.spec))}
            for j in made.jobs
        ]
        click.echo(orjson.dumps({"ticket": made.ticket, "name": made.name, "jobs": jobs}, option=orjson.OPT_INDENT_2))
        return
    click.echo(f"{made.ticket} {made.name}: {len(made.jobs)} steps, {made.tasks} tasks")
    for job in made.jobs:
        after = f" after {', '.join(job.depends_on)}" if job.depends_on else ""
        spec = job.spec
        click.echo(f"  {job.name}: {job.ref}, {spec.tasks} x {spec.cpus:g} CPUs, {spec.memory:g} GB{after}")
