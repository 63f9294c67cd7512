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

LAB_STATE = "127.0.0.1:18379"
DEFAULT_STORE_LIMITS = StoreLimits(100.0, 20.0, 4096, 8)  # where no settings file tells the limits
SHARE = 0.1  # of the state service's rate of changes that a command may take


def _service(command: Callable) -> Callable:
    """The options that say which state service is meant."""
    state = click.option("--state", default=LAB_STATE, show_default=True, help="The state service's address.")
    config = click.option("--config", type=click.Path(), help="The platform's settings: its state service, its limits.")
    return state(config(command))


def _source(command: Callable) -> Callable:
    """The options that say where the ledger is."""
    return click.option("--file", type=click.Path(path_type=Path), help="An exported ledger (Parquet).")(
        _service(command)
    )


def _fail(code: int, why: object) -> None:
    click.echo(f"kelpjunction: {why}", err=True)
    sys.exit(code)


def _extra(module: str):
    """A module that needs more than a node has; exit code 2 says what to install."""
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
    return StoreClient(HttpTransport(1), address, limits, SystemClock(), lambda d: time.sleep(d.total_seconds()), SHARE)


def _books(file: Path | None, state: str, config: str | None):
    """The ledger from a file or from the service; exit codes 2 and 3 as everywhere."""
    from kelpjunction.ledger.accounts import LedgerError
    from kelpjunction.ledger.reader import read

    try:
        return read(_store(state, config)) if file is None else _extra("archive").read(file)
    except LedgerError as error:
        _fail(2 if file else 1, error)
    except StoreUnavailable as error:
        _fail(3, f"no state service answers at {state}: {error}")


def _audited(books, tell: Callable[[str], None] = click.echo):
    """Audit and say so; exit code 1 names the first entry that does not follow."""
    from kelpjunction.ledger.audit import audit

    done = audit(books)
    if done.fault is not None:
        _fail(1, done.fault)
    first = books.base.number + 1
    tell(f"entries {first} to {done.base.number} follow one another; {done.factors} factors are the same to the bit")
    return done


@click.group()
def ledger() -> None:
    """What each team used, how it fades, and what that does to its priority; anyone can audit it.

    \b
    Examples:
      kelpjunction ledger show                        the lab's, or --config SETTINGS.toml
      kelpjunction ledger export usage.parquet
      kelpjunction ledger audit --file usage.parquet
      kelpjunction ledger report usage.html
    """


@ledger.command()
@_source
@click.option("--json", "as_json", is_flag=True, help="Print it as JSON.")
def show(file: Path | None, state: str, config: str | None, as_json: bool) -> None:
    """Print each team's usage and factor as of the last entry."""
    from kelpjunction.ledger.accounts import UNIT_HOUR, total
    from kelpjunction.ledger.audit import replay
    from kelpjunction.ledger.decay import FIXED_POINT_ONE

    books = _books(file, state, config)
    done, sums = replay(books.base, books.entries), total(books.entries)
    teams = {
        name: {
            "cpu_hours": sums[name].cpus / UNIT_HOUR if name in sums else 0.0,
            "accelerator_hours": sums[name].gpus / UNIT_HOUR if name in sums else 0.0,
            "faded": balance.decayed_usage,
            "factor": balance.factor / FIXED_POINT_ONE,
        }
        for page in done.base.pages.values()
        for name, balance in page.balances.items()
    }
    if as_json:
        click.echo(orjson.dumps({"entry": done.base.number, "teams": teams}, option=orjson.OPT_INDENT_2))
        return
    click.echo(f"{'team':20} {'CPU hours':>12} {'accelerators':>12} {'factor':>8}   after entry {done.base.number}")
    for name, team in sorted(teams.items()):
        click.echo(f"{name:20} {team['cpu_hours']:12.2f} {team['accelerator_hours']:12.2f} {team['factor']:8.3f}")


@ledger.command()
@click.argument("target", type=click.Path(path_type=Path, dir_okay=False))
@_source
def export(target: Path, file: Path | None, state: str, config: str | None) -> None:
    """Write the ledger to TARGET (Parquet), with all that an audit needs."""
    books = _books(file, state, config)
    _extra("archive").write(target, books.base, books.entries)
    click.echo(f"{len(books.entries)} entries in {target}")


@ledger.command()
@_source
def audit(file: Path | None, state: str, config: str | None) -> None:
    """Check that no entry is missing, repeated or changed and all balances follow; exit code 1 names the first."""
    _audited(_books(file, state, config))


@ledger.command()
@_source
def replay(file: Path | None, state: str, config: str | None) -> None:
    """Compute every factor that was ever used anew, and compare them bit for bit."""
    _audited(_books(file, state, config))


@ledger.command()
@click.argument("target", type=click.Path(path_type=Path, dir_okay=False))
@_source
def report(target: Path, file: Path | None, state: str, config: str | None) -> None:
    """Write one HTML file with tables and plots that works offline."""
    from kelpjunction.ledger.audit import audit

    books = _books(file, state, config)
    target.write_text(_extra("report").html(books, audit(books)))
    click.echo(f"report in {target}")


@ledger.command()
@click.argument("target", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--through", type=click.IntRange(1), help="The last entry to archive; all that there are if left out.")
@_service
def archive(target: Path, through: int | None, state: str, config: str | None) -> None:
    """Move entries from the state service to TARGET (Parquet); the balances they led to stay.

    The entries go only after the file was written, read back and audited.
    """
    from kelpjunction.ledger.accounts import LedgerError
    from kelpjunction.ledger.audit import replay
    from kelpjunction.ledger.reader import LedgerContents, compact

    if target.exists():
        _fail(2, f"{target} exists: an archive is never written over")
    books = _books(None, state, config)
    _audited(books, lambda line: None)
    old = [e for e in books.entries if through is None or e["n"] <= through]
    if not old:
        _fail(1, "there is nothing to archive")
    files = _extra("archive")
    files.write(target, books.base, old)
    if (again := files.read(target)) != LedgerContents(books.base, old):
        _fail(1, f"{target} does not hold what was written: nothing was deleted")
    try:
        count = compact(_store(state, config), replay(again.base, again.entries).base)
    except LedgerError as error:
        _fail(1, error)
    except StoreUnavailable as error:
        _fail(3, f"no state service answers at {state}: {error}; run the command again")
    click.echo(f"{len(old)} entries in {target}; {count} deleted from the state service")
