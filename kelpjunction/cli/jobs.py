"""`job submit|show|watch|abort`: user requests, retried until a node gives a final answer, as PROTOCOL requires."""

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
RESPONSE_TIMEOUT = timedelta(seconds=5)
RETRY_INTERVAL = timedelta(seconds=1)
POLL_INTERVAL = timedelta(seconds=5)

_nodes_option = click.option(
    "--nodes",
    default=DEFAULT_NODES,
    envvar="KELPJUNCTION_NODES",
    show_default=True,
    help="Addresses of nodes, tried in turn.",
)
as_json_option = click.option("--json", "as_json", is_flag=True, help="Print the answer as JSON.")
retry_time_option = click.option(
    "--patience", default=60.0, show_default=True, type=click.FloatRange(0), help="Seconds to keep retrying."
)


def _request_options(command: Callable) -> Callable:
    """Add the options that every command with a request to a node has."""
    return _nodes_option(retry_time_option(as_json_option(command)))


class RetryingClient:
    """Sends a request to one node after the other until one gives an answer other than "try again later"."""

    def __init__(self, nodes: str, patience: float, sleep: Callable[[float], None] = time.sleep) -> None:
        self._addresses = [address for address in nodes.split(",") if address]
        self._retry_time = timedelta(seconds=patience)
        self._sleep = sleep
        self._transport = HttpTransport(1)

    def ask(self, method: str, path: str, fields: dict | None = None) -> Reply:
        """Return the first answer with a status other than 429, 503 and 504; exit with 3 if none came in time."""
        body = orjson.dumps(fields) if fields is not None else b"{}" if method == "POST" else None
        deadline = time.monotonic() + self._retry_time.total_seconds()
        why = "no node address was given"
        while True:
            for address in self._addresses:
                try:
                    reply = self._transport.request(address, method, path, body, RESPONSE_TIMEOUT)
                except NoResponse as error:
                    why = str(error)
                    continue
                if reply.status not in (429, 503, 504):
                    return reply
                why = f"{address}: {reply.status} {reply.fields.get('error', '')}"
            if time.monotonic() + RETRY_INTERVAL.total_seconds() >= deadline:
                click.echo(f"kelpjunction: no final answer: {why}", err=True)
                click.echo("Is a service running there? `kelpjunction lab up` starts one on this machine;", err=True)
                click.echo("--nodes or KELPJUNCTION_NODES names another.", err=True)
                sys.exit(3)
            self._sleep(RETRY_INTERVAL.total_seconds())


def _print(reply: Reply, as_json: bool) -> None:
    """Print an answer; exit with 1 if the request was refused."""
    if as_json:
        click.echo(orjson.dumps({"status": reply.status} | reply.fields))
    elif reply.status in (200, 201):
        counts = [f"{n} {state}" for state in ("done", "running") if (n := reply.fields.get(state)) is not None]
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
@click.option("--ref", help="The job's id: j- and digits; generated if left out.")
@click.option("--team", default="red", show_default=True)
@click.option("--shape", type=click.Choice(["array", "gang", "service"]), default="array", show_default=True)
@click.option("--tasks", type=click.IntRange(1, 100_000), default=1, show_default=True)
@click.option("--cpus", type=float, default=2.0, show_default=True, help="CPUs of each task.")
@click.option("--memory", type=float, default=4.0, show_default=True, help="GB of each task.")
@click.option("--seconds", type=float, default=10.0, show_default=True, help="How long a task is expected to run.")
@_request_options
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

    Submitting the same id again changes nothing and shows the job's state.

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
@_request_options
def show(ref: str, nodes: str, patience: float, as_json: bool) -> None:
    """Show the state of a job."""
    _print(RetryingClient(nodes, patience).ask("GET", f"{users.JOBS_PATH}/{ref}"), as_json)


@job.command()
@click.argument("ref")
@click.option(
    "--every", type=click.FloatRange(0.2), default=POLL_INTERVAL.total_seconds(), help="Seconds between polls."
)
@_request_options
def watch(ref: str, every: float, nodes: str, patience: float, as_json: bool) -> None:
    """Follow a job until it is done or cancelled."""
    client, last = RetryingClient(nodes, patience), None
    while True:
        reply = client.ask("GET", f"{users.JOBS_PATH}/{ref}")
        if reply != last:
            _print(reply, as_json)
        if users.is_final(reply.fields):
            return
        last = reply
        time.sleep(every)


@job.command()
@click.argument("ref")
@_request_options
def abort(ref: str, nodes: str, patience: float, as_json: bool) -> None:
    """Cancel a job; prints `done` if it was already done."""
    _print(RetryingClient(nodes, patience).ask("POST", f"{users.JOBS_PATH}/{ref}{users.ABORT_SUFFIX}"), as_json)
