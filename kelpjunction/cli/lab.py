"""`lab …`: runs the whole service on this machine and injects faults into it."""

import sys
from datetime import timedelta
from pathlib import Path

import click
import orjson

from kelpjunction.settings import SettingsError, load_operator_settings
from kelpjunction.transport import HttpTransport, NoResponse

DEFAULT_PORT = 18000
_port_option = click.option(
    "--port", default=DEFAULT_PORT, show_default=True, type=click.IntRange(1024, 60000), help="The lab's first port."
)

_operators_option = click.option(
    "--operators",
    type=click.Path(),
    help="The operators' settings (JSON) of all nodes; for example to enable the ledger.",
)


def _load_settings(operators: str | None):
    """Load the operators' settings before anything starts; exit with 2 if they are wrong."""
    try:
        return load_operator_settings(operators)
    except SettingsError as error:
        click.echo(f"kelpjunction: {error}", err=True)
        sys.exit(2)


def _live_site(*args):
    """A live lab with servers and processes; imported here because nodes never need it."""
    from kelpjunction.lab.live import LiveSite
    from kelpjunction.lab.site import Refused

    try:
        return LiveSite(*args)
    except Refused as error:
        click.echo(f"kelpjunction: {error}", err=True)
        sys.exit(2)


def _simulation_class(tickets: bool):
    """The class of the simulation; the one with ticket gateways needs extra packages and is used only for tickets."""
    if not tickets:
        from kelpjunction.lab.world import World

        return World
    from kelpjunction.lab.ticket_simulation import TicketWorld

    return TicketWorld


@click.group()
def lab() -> None:
    """The whole service on this machine: nodes, and simulated versions of the services they depend on."""


@lab.command()
@click.option("--nodes", default=3, show_default=True, type=click.IntRange(1, 9))
@click.option("--zones", default=3, show_default=True, type=click.IntRange(1, 9))
@click.option("--machines", default=12, show_default=True, type=click.IntRange(1, 200))
@click.option(
    "--speed", default=1.0, show_default=True, type=click.FloatRange(0.1, 100), help="Speed-up of tasks and boots."
)
@click.option("--minutes", default=0.0, help="Stop after this many minutes; 0: only on Ctrl-C.")
@click.option("--tickets", is_flag=True, help="Start a ticket gateway too, at the lab's first port plus 90.")
@_operators_option
@_port_option
def up(
    nodes: int, zones: int, machines: int, speed: float, minutes: float, tickets: bool, operators: str | None, port: int
) -> None:
    """Start the lab and show its status until Ctrl-C.

    \b
    Example:
      kelpjunction lab up --machines 24 --speed 5
      kelpjunction job submit --tasks 8          (in a second terminal)
      kelpjunction lab kill holdfast-0
    """
    from rich.live import Live

    from kelpjunction.lab.table import render

    _load_settings(operators)
    site = _live_site(nodes, zones, machines, speed, port, 1, operators, False, tickets)
    try:
        with Live(render(site.status()), refresh_per_second=2) as table:
            left = minutes * 60 or float("inf")
            while left > 0:
                site.run(0.5)
                left -= 0.5
                table.update(render(site.status()))
    except KeyboardInterrupt:
        click.echo("ending the lab")
    finally:
        site.close()


@lab.command()
@click.argument("scenario", type=click.Path(path_type=Path))
@click.option(
    "--simulated", is_flag=True, help="Use a simulated clock and no processes: every run gives the same result."
)
@click.option(
    "--seed", default=1, show_default=True, help="Random seed of arrivals, run times, boot times and messages."
)
@click.option("--speed", default=1.0, show_default=True, type=click.FloatRange(0.1, 100))
@click.option("--json", "as_json", is_flag=True, help="Print the summary as JSON.")
@_operators_option
@_port_option
def run(
    scenario: Path, simulated: bool, seed: int, speed: float, as_json: bool, operators: str | None, port: int
) -> None:
    """Run SCENARIO (TOML): load, faults, and a check of the rules.

    Exit code 1 if a rule was broken or a job did not end as expected, 2 if
    the file is wrong.

    \b
    Examples:
      kelpjunction lab run examples/demo.toml
      kelpjunction lab run examples/demo.toml --simulated --json
    """
    from kelpjunction.lab.scenario import Player, ScenarioError, load
    from kelpjunction.lab.world import NetworkConditions

    site, operator_settings = None, _load_settings(operators)
    try:
        content = load(scenario)
        machines = content["machines"]
        if simulated:
            options = {"seed": seed, "machines": machines, "capacity": 2 * machines}
            site = _simulation_class(bool(content["ticket"]))(
                **options, network_conditions=NetworkConditions(), operators=operator_settings
            )
        else:
            site = _live_site(3, 3, machines, speed, port, seed, operators, False, bool(content["ticket"]))
        player = Player(site, content, lambda line: click.echo(line, err=True))
        passed = player.play()
    except ScenarioError as error:
        click.echo(f"kelpjunction: {scenario}: {error}", err=True)
        sys.exit(2)
    finally:
        if site is not None and not simulated:
            site.close()
    summary = player.summary()
    if as_json:
        click.echo(orjson.dumps(summary, option=orjson.OPT_INDENT_2))
    else:
        for ref, entry in (summary["jobs"] | summary["tickets"]).items():
            took = "" if entry["took_s"] is None else f" after {entry['took_s']} s"
            click.echo(f"{ref}: {entry['state']}{took}")
        click.echo(f"{summary['starts']} starts in {summary['lasted_s']} s")
        for problem in summary["problems"]:
            click.echo(f"PROBLEM: {problem}")
        click.echo("all ended as it should, no rule was broken" if passed else "not all went as it should")
    sys.exit(0 if passed else 1)


@lab.command()
@click.argument("plan", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print the figures as JSON, without progress.")
@click.option("--out", type=click.Path(path_type=Path), help="Also write the figures as JSON into this file.")
@click.option("--logs", type=click.Path(path_type=Path, file_okay=False), help="Keep the controllers' logs here.")
@_port_option
def scale(plan: Path, as_json: bool, out: Path | None, logs: Path | None, port: int) -> None:
    """Run PLAN (TOML): real controllers with hundreds or thousands of simulated workers, all on loopback.

    Exit code 1 if a rule was broken, a job did not end, or the run stopped
    at one of its limits; 2 if the file is wrong or asks for too much.

    \b
    Example:
      kelpjunction lab scale examples/scale.toml
    """
    from kelpjunction.lab.scale.command import play_plan

    sys.exit(play_plan(plan, port, as_json, out, logs))


def _control_request(port: int, fields: dict | None) -> dict:
    """Send a request to the lab's control port; exit with 3 if no lab is running, and with 1 if it refuses."""
    from kelpjunction.lab.live import CONTROL_PORT

    method, body = ("GET", None) if fields is None else ("POST", orjson.dumps(fields))
    try:
        reply = HttpTransport(1).request(f"127.0.0.1:{port + CONTROL_PORT}", method, "/", body, timedelta(seconds=5))
    except NoResponse:
        click.echo(f"kelpjunction: no lab is running at port {port}; `kelpjunction lab up` starts one", err=True)
        sys.exit(3)
    if reply.status != 200:
        click.echo(f"kelpjunction: {reply.fields.get('error', reply.status)}", err=True)
        sys.exit(1)
    return reply.fields


@lab.command()
@_port_option
def status(port: int) -> None:
    """Print the content of the lab's table as JSON."""
    click.echo(orjson.dumps(_control_request(port, None), option=orjson.OPT_INDENT_2))


@lab.command()
@click.argument("node")
@click.option(
    "--back-after", "duration", default=0.0, help="Seconds until it is started again; 0: it is not restarted."
)
@_port_option
def kill(node: str, duration: float, port: int) -> None:
    """Kill NODE's process; `leader` selects the current leader, `all` every node."""
    _control_request(port, {"do": "kill", "target": node, "seconds": duration})


@lab.command()
@click.argument("node")
@_port_option
def start(node: str, port: int) -> None:
    """Start NODE again; `all` selects every node that is not running."""
    _control_request(port, {"do": "start", "target": node})


@lab.command()
@click.argument("node")
@click.argument("seconds", type=click.FloatRange(0), default=10.0)
@_port_option
def freeze(node: str, seconds: float, port: int) -> None:
    """Pause NODE (or `leader`, or `all`) for SECONDS; it then continues with its old state."""
    _control_request(port, {"do": "freeze", "target": node, "seconds": seconds})


@lab.command()
@click.argument("seconds", type=click.FloatRange(0), default=20.0)
@_port_option
def outage(seconds: float, port: int) -> None:
    """Make the state service unreachable for SECONDS."""
    _control_request(port, {"do": "outage", "seconds": seconds})


@lab.command()
@click.argument("zone")
@_port_option
def lose(zone: str, port: int) -> None:
    """Fail all machines of ZONE."""
    _control_request(port, {"do": "lose", "target": zone})
