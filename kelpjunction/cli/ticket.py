"""`ticket check|serve|submit|show|watch|cancel`: render-farm job tickets."""

import os
import sys
import time
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import click
import orjson

from kelpjunction.cli.jobs import POLL_INTERVAL, RetryingClient, as_json_option, retry_time_option
from kelpjunction.transport import Reply
from kelpjunction.wire import users

DEFAULT_GATEWAYS = "127.0.0.1:18090"
TICKETS_PATH = "/api/tickets"  # the same as in `tickets.users`, which is not imported: a client needs only this path

_gateways_option = click.option(
    "--gateways",
    default=DEFAULT_GATEWAYS,
    envvar="KELPJUNCTION_GATEWAYS",
    show_default=True,
    help="Addresses of gateways, tried in turn.",
)


def _request_options(command: Callable) -> Callable:
    """Add the options that every command with a request to a gateway has."""
    return _gateways_option(retry_time_option(as_json_option(command)))


def _fail(code: int, why: object) -> None:
    click.echo(f"kelpjunction: {why}", err=True)
    sys.exit(code)


def _fail_missing_package(error: ModuleNotFoundError) -> None:
    _fail(2, f"{error.name} is not installed: pip install 'kelpjunction[tickets]'")


@click.group()
def ticket() -> None:
    """Render-farm job tickets: Open Job Description's job templates."""


def _parameters(pairs: tuple[str, ...]) -> dict[str, str]:
    values = {}
    for pair in pairs:
        name, equals, value = pair.partition("=")
        if not equals or not name:
            raise click.BadParameter(f"{pair!r} is not NAME=VALUE", param_hint="--parameter")
        values[name] = value
    return values


def _content_options(command: Callable) -> Callable:
    """Add the arguments that describe the ticket's content and its team."""
    for option in (
        click.option(
            "--seconds", default=60.0, show_default=True, type=click.FloatRange(0), help="Expected run time of a task."
        ),
        click.option("--id", "ticket_id", help="The ticket's id; derived from its content if left out."),
        click.option("--team", default="red", show_default=True),
        click.option("--parameter", "-p", "pairs", multiple=True, metavar="NAME=VALUE", help="A job parameter."),
        click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path)),
    ):  # fmt: skip
        command = option(command)
    return command


@ticket.command()
@_content_options
@click.option("--json", "as_json", is_flag=True, help="Print the jobs as users submit them.")
def check(file: Path, pairs: tuple[str, ...], team: str, ticket_id: str | None, seconds: float, as_json: bool) -> None:
    """Read FILE (YAML or JSON) and print the jobs it becomes; exit code 1 if it has errors, which are all listed.

    \b
    Example:
      kelpjunction ticket check match.yaml -p Race=regina-10k
    """
    try:
        from kelpjunction.tickets import job_template, plan
    except ModuleNotFoundError as error:
        _fail_missing_package(error)
    parameters = _parameters(pairs)
    options = plan.SubmissionOptions(team, estimate=timedelta(seconds=seconds))
    try:
        content = job_template.parse_document(file.read_bytes())
        name, steps = job_template.resolve(content, parameters)
        ticket_plan = plan.build_plan(ticket_id or plan.ticket_id([content, parameters, team]), name, steps, options)
    except plan.TicketRejected as rejection:
        for fault in rejection.violations:
            click.echo(f"kelpjunction: {file}: {fault}", err=True)
        sys.exit(1)
    if as_json:
        jobs = [
            {
                "step": j.name,
                "after": [ticket_plan.jobs[i].name for i in j.depends_on],
                "job": users.fields_to_keep(users.fields_from_job(j.spec)),
            }
            for j in ticket_plan.jobs
        ]
        click.echo(
            orjson.dumps(
                {"ticket": ticket_plan.ticket, "name": ticket_plan.name, "jobs": jobs}, option=orjson.OPT_INDENT_2
            )
        )
        return
    click.echo(f"{ticket_plan.ticket} {ticket_plan.name}: {len(ticket_plan.jobs)} steps, {ticket_plan.tasks} tasks")
    for job in ticket_plan.jobs:
        after = f" after {', '.join(ticket_plan.jobs[i].name for i in job.depends_on)}" if job.depends_on else ""
        spec = job.spec
        click.echo(f"  {job.name}: {spec.ref}, {spec.tasks} x {spec.cpus:g} CPUs, {spec.memory:g} GB{after}")


@ticket.command()
@click.option("--config", required=True, type=click.Path(), help="A node's settings file (TOML): services and limits.")
@click.option("--settings", required=True, type=click.Path(), help="The gateway's own settings (JSON).")
@click.option("--check", "only_check", is_flag=True, help="Check both files and exit.")
def serve(config: str, settings: str, only_check: bool) -> None:
    """Run one ticket gateway until it is killed; see docs/tickets.md.

    \b
    Example:
      kelpjunction ticket serve --config node.toml --settings deploy/tickets.json
    """
    from kelpjunction import logs
    from kelpjunction.settings import SettingsError, load_operator_settings, load_platform_settings
    from kelpjunction.tickets.classes import load_tickets

    try:
        platform, operators, gateway = (
            load_platform_settings(config),
            load_operator_settings(None),
            load_tickets(settings),
        )
    except SettingsError as error:
        _fail(2, error)
    if only_check:
        click.echo(f"{gateway.name}: settings are valid")
        return
    try:
        # Parsing is imported before anybody is served: it takes half a second.
        from kelpjunction.tickets import job_template  # noqa: F401
        from kelpjunction.tickets.gateway import Daemon
    except ModuleNotFoundError as error:
        _fail_missing_package(error)
    daemon = Daemon(platform, operators, gateway)
    try:
        logs.configure_logging(
            os.environ.get("LOG_LEVEL", "info"), os.environ.get("LOG_FORMAT", "line"), gateway.name, daemon.term
        )
    except ValueError as error:
        _fail(2, error)
    daemon.run_forever()


def _print(reply: Reply, as_json: bool) -> None:
    """Print an answer; exit with 1 if the request was refused."""
    fields = reply.fields
    if as_json:
        click.echo(orjson.dumps({"status": reply.status} | fields))
    elif reply.status in (200, 201):
        click.echo(f"{fields['ticket']} {fields['state']}")
        steps = fields.get("steps", [])
        if isinstance(steps, dict):
            click.echo("  steps: " + ", ".join(f"{count} {state}" for state, count in steps.items()))
        else:
            for step in steps:
                job = f", job {step['job']}, {step['running']} running" if "job" in step else ""
                tasks = f"{step.get('done', 0)} of {step['tasks']} tasks done"
                click.echo(f"  {step['step']}: {step['state']}, {tasks}{job}")
        if failure := fields.get("failure"):
            click.echo(f"  {failure['step']} failed: {failure['why']}; {failure['unfinished']} tasks are not done")
    else:
        for fault in fields.get("faults", ()):
            where = f"{fault['path']}: " if fault["path"] else ""
            value = f" (it is {fault['value']})" if fault["value"] else ""
            click.echo(f"kelpjunction: {where}{fault['rule']}{value}", err=True)
        if not fields.get("faults"):
            click.echo(f"kelpjunction: {reply.status}: {fields.get('error', 'no reason given')}", err=True)
    if reply.status not in (200, 201):
        sys.exit(1)


@ticket.command()
@_content_options
@click.option("--class", "klass", default="once", show_default=True, help="One of the gateway's ticket classes.")
@click.option("--image", default="none", show_default=True, help="The image its tasks need.")
@click.option("--image-gb", default=0.0, show_default=True, type=click.FloatRange(0))
@_request_options
def submit(
    file: Path, pairs: tuple[str, ...], team: str, ticket_id: str | None, seconds: float, klass: str, image: str,
    image_gb: float, gateways: str, patience: float, as_json: bool,
) -> None:  # fmt: skip
    """Submit FILE (YAML or JSON); submitted again, it runs only as often as its class allows.

    \b
    Example:
      kelpjunction ticket submit match.yaml -p Race=regina-10k --team red --class once
    """
    try:
        text = file.read_text()
    except UnicodeDecodeError as error:
        _fail(1, f"{file}: not text: {error}")
    fields = {
        "class": klass, "team": team, "template": text, "parameters": _parameters(pairs), "estimate_s": seconds,
        "image": image, "image_gb": image_gb,
    }  # fmt: skip
    if ticket_id:
        fields["id"] = ticket_id
    _print(RetryingClient(gateways, patience).ask("POST", TICKETS_PATH, fields), as_json)


@ticket.command()
@click.argument("ticket_id", metavar="ID")
@_request_options
def show(ticket_id: str, gateways: str, patience: float, as_json: bool) -> None:
    """Show the state of a ticket, with the jobs of its steps; ID.N is its run N."""
    _print(RetryingClient(gateways, patience).ask("GET", f"{TICKETS_PATH}/{ticket_id}"), as_json)


@ticket.command()
@click.argument("ticket_id", metavar="ID")
@click.option(
    "--every", type=click.FloatRange(0.2), default=POLL_INTERVAL.total_seconds(), help="Seconds between polls."
)
@_request_options
def watch(ticket_id: str, every: float, gateways: str, patience: float, as_json: bool) -> None:
    """Follow a ticket until it ends; exit code 1 if its final state is not `done`."""
    client, last = RetryingClient(gateways, patience), None
    while True:
        reply = client.ask("GET", f"{TICKETS_PATH}/{ticket_id}")
        if reply != last:
            _print(reply, as_json)
        if reply.fields.get("state") in ("done", "failed", "cancelled"):
            sys.exit(0 if reply.fields["state"] == "done" else 1)
        last = reply
        time.sleep(every)


@ticket.command()
@click.argument("ticket_id", metavar="ID")
@_request_options
def cancel(ticket_id: str, gateways: str, patience: float, as_json: bool) -> None:
    """Cancel a ticket with all its jobs; one that has ended stays as it is."""
    _print(RetryingClient(gateways, patience).ask("POST", f"{TICKETS_PATH}/{ticket_id}/cancel"), as_json)
