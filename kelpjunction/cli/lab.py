"""`lab …`: the whole service on this machine, to see it work and to break it."""

import sys
from datetime import timedelta
from pathlib import Path

import click
import orjson

from kelpjunction.settings import SettingsError, load_operator_settings
from kelpjunction.transport import HttpTransport, NoResponse

DEFAULT_PORT = 18000
_port = click.option(
    "--port", default=DEFAULT_PORT, show_default=True, type=click.IntRange(1024, 60000), help="The lab's first port."
)

_operators = click.option(
    "--operators", type=click.Path(), help="The operators' settings (JSON) of all nodes; for instance a ledger."
)


def _settings(operators: str | None):
    """The operators' settings, checked before anything starts."""
    try:
        return load_operator_settings(operators)
    except SettingsError as error:
        click.echo(f"kelpjunction: {error}", err=True)
        sys.exit(2)


def _live(*args):
    """A live site, its servers and processes; imported late, since nodes never need it."""
    from kelpjunction.lab.live import LiveSite
    from kelpjunction.lab.site import Refused

    try:
        return LiveSite(*args)
    except Refused as error:
        click.echo(f"kelpjunction: {error}", err=True)
        sys.exit(2)


def _world(tickets: bool):
    """The simulated world; with gateways where there are tickets, which takes more than a node has."""
    if not tickets:
        from kelpjunction.lab.world import World

        return World
    from kelpjunction.lab.ticket_simulation import TicketWorld

    return TicketWorld


@click.group()
def lab() -> None:
    """The whole service on this machine: nodes, and stand-ins for all they need."""


@lab.command()
@click.option("--nodes", default=3, show_default=True, type=click.IntRange(1, 9))
@click.option("--zones", default=3, show_default=True, type=click.IntRange(1, 9))
@click.option("--machines", default=12, show_default=True, type=click.IntRange(1, 200))
@click.option("--speed", default=1.0, show_default=True, type=click.FloatRange(0.1, 100), help="Of tasks and boots.")
@click.option("--minutes", default=0.0, help="End by itself after this long; 0: only by Ctrl-C.")
@click.option("--tickets", is_flag=True, help="Start a ticket gateway too, at the lab's first port and 90.")
@_operators
@_port
def up(
    nodes: int, zones: int, machines: int, speed: float, minutes: float, tickets: bool, operators: str | None, port: int
) -> None:
    """Bring the lab up and show it until Ctrl-C.

    \b
    Example:
      kelpjunction lab up --machines 24 --speed 5
      kelpjunction job submit --tasks 8          (in a second terminal)
      kelpjunction lab kill holdfast-0
    """
    from rich.live import Live

    from kelpjunction.lab.table import render

    _settings(operators)
    site = _live(nodes, zones, machines, speed, port, 1, operators, False, tickets)
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
@click.option("--simulated", is_flag=True, help="On a simulated clock, without processes: the same on every run.")
@click.option("--seed", default=1, show_default=True, help="Moves arrivals, run and boot times, and messages.")
@click.option("--speed", default=1.0, show_default=True, type=click.FloatRange(0.1, 100))
@click.option("--json", "as_json", is_flag=True, help="Print the summary as JSON.")
@_operators
@_port
def run(
    scenario: Path, simulated: bool, seed: int, speed: float, as_json: bool, operators: str | None, port: int
) -> None:
    """Play SCENARIO (TOML): load, faults, and a check of the rules.

    Exit code 1 if a rule was broken or a job did not end as it should, 2 if
    the file is wrong.

    \b
    Examples:
      kelpjunction lab run examples/demo.toml
      kelpjunction lab run examples/demo.toml --simulated --json
    """
    from kelpjunction.lab.scenario import Player, ScenarioError, load
    from kelpjunction.lab.world import NetworkConditions

    site, tuning = None, _settings(operators)
    try:
        what = load(scenario)
        machines = what["machines"]
        if simulated:
            how = {"seed": seed, "machines": machines, "capacity": 2 * machines}
            site = _world(bool(what["ticket"]))(**how, network_conditions=NetworkConditions(), operators=tuning)
        else:
            site = _live(3, 3, machines, speed, port, seed, operators, False, bool(what["ticket"]))
        player = Player(site, what, lambda line: click.echo(line, err=True))
        well = player.play()
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
        click.echo("all ended as it should, no rule was broken" if well else "not all went as it should")
    sys.exit(0 if well else 1)


@lab.command()
@click.argument("plan", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print the figures as JSON, without progress.")
@click.option("--out", type=click.Path(path_type=Path), help="Write the figures as JSON into this file too.")
@click.option("--logs", type=click.Path(path_type=Path, file_okay=False), help="Keep the controllers' logs here.")
@_port
def scale(plan: Path, as_json: bool, out: Path | None, logs: Path | None, port: int) -> None:
    """Play PLAN (TOML): real controllers beside hundreds or thousands of hollow workers, all on loopback.

    Exit code 1 if a rule was broken, a job did not end, or the run stopped
    itself at a bound; 2 if the file is wrong or asks for too much.

    \b
    Example:
      kelpjunction lab scale examples/scale.toml
    """
    from kelpjunction.lab.scale.command import play_plan

    sys.exit(play_plan(plan, port, as_json, out, logs))


def _tell(port: int, fields: dict | None) -> dict:
    """Ask the lab's control port; exit code 3 if no lab is up."""
    from kelpjunction.lab.live import CONTROL_PORT

    method, body = ("GET", None) if fields is None else ("POST", orjson.dumps(fields))
    try:
        reply = HttpTransport(1).request(f"127.0.0.1:{port + CONTROL_PORT}", method, "/", body, timedelta(seconds=5))
    except NoResponse:
        click.echo(f"kelpjunction: no lab is up at port {port}; `kelpjunction lab up` starts one", err=True)
        sys.exit(3)
    if reply.status != 200:
        click.echo(f"kelpjunction: {reply.fields.get('error', reply.status)}", err=True)
        sys.exit(1)
    return reply.fields


@lab.command()
@_port
def status(port: int) -> None:
    """Print what the lab's table shows, as JSON."""
    click.echo(orjson.dumps(_tell(port, None), option=orjson.OPT_INDENT_2))


@lab.command()
@click.argument("node")
@click.option("--back-after", "duration", default=0.0, help="Seconds until it is started again; 0: it stays dead.")
@_port
def kill(node: str, duration: float, port: int) -> None:
    """Kill NODE's process; `leader` names the one that leads, `all` every one."""
    _tell(port, {"do": "kill", "target": node, "seconds": duration})


@lab.command()
@click.argument("node")
@_port
def start(node: str, port: int) -> None:
    """Start NODE again; `all` names every one that does not run."""
    _tell(port, {"do": "start", "target": node})


@lab.command()
@click.argument("node")
@click.argument("seconds", type=click.FloatRange(0), default=10.0)
@_port
def freeze(node: str, seconds: float, port: int) -> None:
    """Let NODE (or `leader`, or `all`) stand still for SECONDS, and then go on with what it believed."""
    _tell(port, {"do": "freeze", "target": node, "seconds": seconds})


@lab.command()
@click.argument("seconds", type=click.FloatRange(0), default=20.0)
@_port
def outage(seconds: float, port: int) -> None:
    """Take the state service away for SECONDS."""
    _tell(port, {"do": "outage", "seconds": seconds})


@lab.command()
@click.argument("zone")
@_port
def lose(zone: str, port: int) -> None:
    """Let all machines of ZONE die."""
    _tell(port, {"do": "lose", "target": zone})
