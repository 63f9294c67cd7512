"""`job submit|show|watch|abort`: a user's requests, repeated as PROTOCOL says until they are answered."""

import secrets
import sys
import time
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import click
import orjson

from kelpjunction.transport import HttpTransport, NoResponse, Reply
from kelpjunction.wire import users

DEFAULT_NODES = "127.0.0.1:18080,127.0.0.1:18180,127.0.0.1:18280"
ANSWER_WITHIN = timedelta(seconds=5)
RETRY_INTERVAL = timedelta(seconds=1)
POLL_EVERY = timedelta(seconds=5)

_nodes = click.option(
    "--nodes", default=DEFAULT_NODES, envvar="KELPJUNCTION_NODES", show_default=True, help="Addresses, tried in turn."
)
as_json_option = click.option("--json", "as_json", is_flag=True, help="Print the answer as JSON.")
patience_option = click.option(
    "--patience", default=60.0, show_default=True, type=click.FloatRange(0), help="Seconds to go on asking."
)


def _asking(command: Callable) -> Callable:
    """The options of every command that asks a node."""
    return _nodes(patience_option(as_json_option(command)))


class RetryingClient:
    """Asks one node after the other until one gives an answer that counts."""

    def __init__(self, nodes: str, patience: float, pause: Callable[[float], None] = time.sleep) -> None:
        self._addresses = [address for address in nodes.split(",") if address]
        self._patience = timedelta(seconds=patience)
        self._pause = pause
        self._transport = HttpTransport(1)

    def ask(self, method: str, path: str, fields: dict | None = None) -> Reply:
        """The first answer other than 429, 503 and 504; exit code 3 if none came in time."""
        body = orjson.dumps(fields) if fields is not None else b"{}" if method == "POST" else None
        until = time.monotonic() + self._patience.total_seconds()
        why = "no node was named"
        while True:
            for address in self._addresses:
                try:
                    reply = self._transport.request(address, method, path, body, ANSWER_WITHIN)
                except NoResponse as error:
                    why = str(error)
                    continue
                if reply.status not in (429, 503, 504):
                    return reply
                why = f"{address}: {reply.status} {reply.fields.get('error', '')}"
            if time.monotonic() + RETRY_INTERVAL.total_seconds() >= until:
                click.echo(f"kelpjunction: no answer that counts: {why}", err=True)
                click.echo("Is a service running there? `kelpjunction lab up` starts one on this machine;", err=True)
                click.echo("--nodes or KELPJUNCTION_NODES names another.", err=True)
                sys.exit(3)
            self._pause(RETRY_INTERVAL.total_seconds())


def _print(reply: Reply, as_json: bool) -> None:
    """Show an answer; exit code 1 if it is a refusal."""
    if as_json:
        click.echo(orjson.dumps({"status": reply.status} | reply.fields))
    elif reply.status in (200, 201):
        counts = [f"{n} {what}" for what in ("done", "running") if (n := reply.fields.get(what)) is not None]
        click.echo(" ".join([reply.fields["ref"], reply.fields["tide"], *counts]))
    else:
        click.echo(f"kelpjunction: {reply.status}: {reply.fields.get('error', 'no reason given')}", err=True)
    if reply.status not in (200, 201):
        sys.exit(1)


@click.group()
def job() -> None:
    """Submit, show, watch and abort jobs."""


@job.command()
@click.argument("file", required=False, type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--ref", help="The job's id, j- and digits; made up if left out.")
@click.option("--team", default="red", show_default=True)
@click.option("--shape", type=click.Choice(["array", "gang", "service"]), default="array", show_default=True)
@click.option("--tasks", type=click.IntRange(1, 100_000), default=1, show_default=True)
@click.option("--cpus", type=float, default=2.0, show_default=True, help="CPUs of each task.")
@click.option("--memory", type=float, default=4.0, show_default=True, help="GB of each task.")
@click.option("--seconds", type=float, default=10.0, show_default=True, help="How long a task is expected to run.")
@_asking
def submit(
    file: Path | None,
    ref: str | None,
    team: str,
    shape: str,
    tasks: int,
    cpus: float,
    memory: float,
    seconds: float,
    nodes: str,
    patience: float,
    as_json: bool,
) -> None:
    """Submit a job from FILE (JSON, as in PROTOCOL) or from the options.

    Submitting the same id again changes nothing and shows how the job stands.

    \b
    Examples:
      kelpjunction job submit --team red --tasks 8 --seconds 20
      kelpjunction job submit --shape service --tasks 2 --ref j-100
      kelpjunction job submit sweep.json
    """
    ref = ref or f"j-{secrets.randbelow(10**12):012d}"
    if file is not None:
        try:
            fields = users.parse_object(file.read_bytes())
        except users.MalformedMessage as error:
            click.echo(f"kelpjunction: {file}: {error}", err=True)
            sys.exit(2)
        fields = {"ref": ref} | fields
    else:
        fields = users.job_fields(ref, team, shape, tasks, cpus, memory, seconds)
    _print(RetryingClient(nodes, patience).ask("POST", users.JOBS_PATH, fields), as_json)


@job.command()
@click.argument("ref")
@_asking
def show(ref: str, nodes: str, patience: float, as_json: bool) -> None:
    """Show how a job stands."""
    _print(RetryingClient(nodes, patience).ask("GET", f"{users.JOBS_PATH}/{ref}"), as_json)


@job.command()
@click.argument("ref")
@click.option("--every", type=click.FloatRange(0.2), default=POLL_EVERY.total_seconds(), help="Seconds between polls.")
@_asking
def watch(ref: str, every: float, nodes: str, patience: float, as_json: bool) -> None:
    """Follow a job until it is done or cancelled."""
    caller, last = RetryingClient(nodes, patience), None
    while True:
        reply = caller.ask("GET", f"{users.JOBS_PATH}/{ref}")
        if reply != last:
            _print(reply, as_json)
        if users.is_final(reply.fields):
            return
        last = reply
        time.sleep(every)


@job.command()
@click.argument("ref")
@_asking
def abort(ref: str, nodes: str, patience: float, as_json: bool) -> None:
    """Cancel a job; says `done` if it was done already."""
    _print(RetryingClient(nodes, patience).ask("POST", f"{users.JOBS_PATH}/{ref}{users.ABORT_END}"), as_json)
