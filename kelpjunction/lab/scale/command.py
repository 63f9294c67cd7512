"""`lab scale`: reads a plan, plays it with live progress and prints the figures."""

from collections.abc import Callable
from contextlib import nullcontext
from pathlib import Path

import click
import orjson
import psutil
from rich.console import Console
from rich.live import Live
from rich.table import Table

from kelpjunction.lab.scale.measures import MB
from kelpjunction.lab.scale.plan import ScaleError, load_plan
from kelpjunction.lab.scale.run import RunAborted, ScaleRun
from kelpjunction.lab.serving import Refused

EXIT_OK, EXIT_FAILED, EXIT_BAD_PLAN = 0, 1, 2
MAX_PRINTED = 20  # lines of each list: broken rules, problems and jobs given up


def play_plan(file: Path, port: int, as_json: bool, out: Path | None, logs: Path | None) -> int:
    """Play a plan file; returns the exit code."""
    try:
        plan = load_plan(file)
        plan.check_bounds(psutil.virtual_memory().total / MB)
        if logs is not None:
            logs.mkdir(parents=True, exist_ok=True)
        live = nullcontext() if as_json else Live(_table("starting", {}), refresh_per_second=2)
        run = ScaleRun(plan, port, logs, _progress_display(plan.title, live))
    except (ScaleError, Refused) as error:
        click.echo(f"kelpjunction: {file}: {error}", err=True)
        return EXIT_BAD_PLAN
    try:
        with live:
            run.play()
    except RunAborted as aborted:
        run.problems.append(f"stopped: {aborted}")
    except KeyboardInterrupt:
        run.problems.append("interrupted by the user")
    finally:
        run.close()
    _print_report(run.report(), as_json, out)
    return EXIT_OK if run.succeeded else EXIT_FAILED


def _progress_display(title: str, live: Live | nullcontext) -> Callable[[dict], None]:
    if isinstance(live, Live):
        return lambda status: live.update(_table(title, status))
    return lambda status: None


def _table(title: str, figures: dict) -> Table:
    table = Table("", "", title=title, show_header=False)
    for name, value in figures.items():
        table.add_row(name, str(value))
    return table


def _print_report(report: dict, as_json: bool, out: Path | None) -> None:
    content = orjson.dumps(report, option=orjson.OPT_INDENT_2)
    if out is not None:
        out.write_bytes(content)
    if as_json:
        click.echo(content)
        return
    console = Console()
    scalars = {name: value for name, value in report.items() if not isinstance(value, dict | list)}
    console.print(_table("the run", scalars))
    for title, rows in (("times, ms", report["times_ms"]), ("roles", report["roles"])):
        columns = sorted({column for row in rows.values() for column in row})
        table = Table("", *columns, title=title)
        for name, row in rows.items():
            table.add_row(name, *(str(row.get(column, "")) for column in columns))
        console.print(table)
    for list_name in ("broken", "problems", "given_up"):
        for line in report[list_name][:MAX_PRINTED]:
            click.echo(f"{list_name.upper()}: {line}")
    click.echo(
        "no rule was broken, and all accepted jobs are done or cancelled"
        if not report["broken"] + report["problems"]
        else "rules were broken or problems occurred, see above"
    )
