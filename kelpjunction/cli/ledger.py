"""`ledger show|export|audit|replay|report|archive`: the fair-share ledger, from the state service or from a file."""

import sys
import time
from collections.abc import Callable
from pathlib import Path

import click
import orjson

from kelpjunction.clock import SystemClock
from kelpjunction.settings import SettingsError, StoreLimits, load_platform_settings
from kelpjunction.store.client import StoreClient, StoreUnavailable
from kelpjunction.transport import HttpTransport

LAB_STORE_ADDRESS = "127.0.0.1:18379"
DEFAULT_STORE_LIMITS = StoreLimits(100.0, 20.0, 4096, 8)  # used without --config
RATE_FRACTION = 0.1  # of the state service's rate of changes that a command may use


def _store_options(command: Callable) -> Callable:
    """Add the options that select the state service."""
    state = click.option("--state", default=LAB_STORE_ADDRESS, show_default=True, help="The state service's address.")
    config = click.option(
        "--config", type=click.Path(), help="The platform's settings file: its state service and limits."
    )
    return state(config(command))


def _source_options(command: Callable) -> Callable:
    """Add the options that select the ledger: a file or a state service."""
    return click.option("--file", type=click.Path(path_type=Path), help="An exported ledger (Parquet).")(
        _store_options(command)
    )


def _fail(code: int, why: object) -> None:
    click.echo(f"kelpjunction: {why}", err=True)
    sys.exit(code)


def _import_extra(module: str):
    """Import a ledger module that needs extra packages; exit with 2 and say what to install if one is missing."""
    from importlib import import_module

    try:
        return import_module(f"kelpjunction.ledger.{module}")
    except ModuleNotFoundError as error:
        _fail(2, f"{error.name} is not installed: pip install 'kelpjunction[ledger]'")


def _store(state: str, config: str | None) -> StoreClient:
    address, limits = state, DEFAULT_STORE_LIMITS
    if config is not None:
        try:
            platform = load_platform_settings(config)
        except SettingsError as error:
            _fail(2, error)
        address, limits = platform.store_address, platform.store
    return StoreClient(
        HttpTransport(1), address, limits, SystemClock(), lambda d: time.sleep(d.total_seconds()), RATE_FRACTION
    )


def _read_ledger(file: Path | None, state: str, config: str | None):
    """Read the ledger from a file or from the state service.

    Exits with 2 if the file is not valid, with 1 if there is no ledger, and
    with 3 if the state service does not answer.
    """
    from kelpjunction.ledger.accounts import LedgerError
    from kelpjunction.ledger.reader import read

    try:
        return read(_store(state, config)) if file is None else _import_extra("archive").read(file)
    except LedgerError as error:
        _fail(2 if file else 1, error)
    except StoreUnavailable as error:
        _fail(3, f"no state service answers at {state}: {error}")


def _audit_or_exit(contents, report_line: Callable[[str], None] = click.echo):
    """Audit a ledger and print the result; exit with 1 and name the first entry that fails."""
    from kelpjunction.ledger.audit import audit

    result = audit(contents)
    if result.fault is not None:
        _fail(1, result.fault)
    first = contents.base.number + 1
    report_line(
        f"entries {first} to {result.base.number} follow one another; {result.factors} factors are the same to the bit"
    )
    return result


@click.group()
def ledger() -> None:
    """Each team's usage, its decay over time and its effect on priority, as a ledger that anyone can audit.

    \b
    Examples:
      kelpjunction ledger show                        the lab's, or --config SETTINGS.toml
      kelpjunction ledger export usage.parquet
      kelpjunction ledger audit --file usage.parquet
      kelpjunction ledger report usage.html
    """


@ledger.command()
@_source_options
@click.option("--json", "as_json", is_flag=True, help="Print it as JSON.")
def show(file: Path | None, state: str, config: str | None, as_json: bool) -> None:
    """Print each team's usage and factor as of the last entry."""
    from kelpjunction.ledger.accounts import UNIT_HOUR, total_by_team
    from kelpjunction.ledger.audit import replay
    from kelpjunction.ledger.decay import FIXED_POINT_ONE

    contents = _read_ledger(file, state, config)
    result, totals = replay(contents.base, contents.entries), total_by_team(contents.entries)
    teams = {
        name: {
            "cpu_hours": totals[name].cpus / UNIT_HOUR if name in totals else 0.0,
            "accelerator_hours": totals[name].gpus / UNIT_HOUR if name in totals else 0.0,
            "faded": balance.decayed_usage,
            "factor": balance.factor / FIXED_POINT_ONE,
        }
        for page in result.base.pages.values()
        for name, balance in page.balances.items()
    }
    if as_json:
        click.echo(orjson.dumps({"entry": result.base.number, "teams": teams}, option=orjson.OPT_INDENT_2))
        return
    click.echo(f"{'team':20} {'CPU hours':>12} {'accelerators':>12} {'factor':>8}   after entry {result.base.number}")
    for name, team in sorted(teams.items()):
        click.echo(f"{name:20} {team['cpu_hours']:12.2f} {team['accelerator_hours']:12.2f} {team['factor']:8.3f}")


@ledger.command()
@click.argument("target", type=click.Path(path_type=Path, dir_okay=False))
@_source_options
def export(target: Path, file: Path | None, state: str, config: str | None) -> None:
    """Write the ledger to TARGET (Parquet), with everything that an audit needs."""
    contents = _read_ledger(file, state, config)
    _import_extra("archive").write(target, contents.base, contents.entries)
    click.echo(f"{len(contents.entries)} entries in {target}")


@ledger.command()
@_source_options
def audit(file: Path | None, state: str, config: str | None) -> None:
    """Check that no entry is missing, repeated or changed and that all balances are correct.

    Exit code 1 names the first entry that fails.
    """
    _audit_or_exit(_read_ledger(file, state, config))


@ledger.command()
@_source_options
def replay(file: Path | None, state: str, config: str | None) -> None:
    """Recompute every factor in the entries and compare them bit for bit."""
    _audit_or_exit(_read_ledger(file, state, config))


@ledger.command()
@click.argument("target", type=click.Path(path_type=Path, dir_okay=False))
@_source_options
def report(target: Path, file: Path | None, state: str, config: str | None) -> None:
    """Write one HTML file with tables and plots that works offline."""
    from kelpjunction.ledger.audit import audit

    contents = _read_ledger(file, state, config)
    target.write_text(_import_extra("report").render_report(contents, audit(contents)))
    click.echo(f"report in {target}")


@ledger.command()
@click.argument("target", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--through", type=click.IntRange(1), help="The last entry to archive; all entries if left out.")
@_store_options
def archive(target: Path, through: int | None, state: str, config: str | None) -> None:
    """Move entries from the state service to TARGET (Parquet); the resulting balances stay.

    The entries are deleted only after the file was written and read back.
    The ledger is audited first.
    """
    from kelpjunction.ledger.accounts import LedgerError
    from kelpjunction.ledger.audit import replay
    from kelpjunction.ledger.reader import LedgerContents, compact

    if target.exists():
        _fail(2, f"{target} exists: an archive is never overwritten")
    contents = _read_ledger(None, state, config)
    _audit_or_exit(contents, lambda line: None)
    old = [e for e in contents.entries if through is None or e["n"] <= through]
    if not old:
        _fail(1, "there is nothing to archive")
    parquet = _import_extra("archive")
    parquet.write(target, contents.base, old)
    if (read_back := parquet.read(target)) != LedgerContents(contents.base, old):
        _fail(1, f"{target} differs from what was written; no entries were deleted")
    try:
        count = compact(_store(state, config), replay(read_back.base, read_back.entries).base)
    except LedgerError as error:
        _fail(1, error)
    except StoreUnavailable as error:
        _fail(3, f"no state service answers at {state}: {error}; run the command again")
    click.echo(f"{len(old)} entries in {target}; {count} deleted from the state service")
