"""`serve` and `check`: run one controller, or only check its settings."""

import os
import signal
import sys
from collections.abc import Callable

import click

from kelpjunction import __version__, logs
from kelpjunction.settings import (
    OperatorSettings,
    PlatformSettings,
    SettingsError,
    load_operator_settings,
    load_platform_settings,
)

OPERATORS_VARIABLE = "KELPJUNCTION_OPERATORS"
_config_option = click.option("--config", required=True, type=click.Path(), help="The platform's settings file (TOML).")
_operators_option = click.option(
    "--operators",
    type=click.Path(),
    envvar=OPERATORS_VARIABLE,
    help="The operators' settings (JSON); see kelpjunction/operators.schema.json.",
)


def _load(config: str, operators: str | None) -> tuple[PlatformSettings, OperatorSettings]:
    try:
        return load_platform_settings(config), load_operator_settings(operators)
    except SettingsError as error:
        click.echo(f"kelpjunction: {error}", err=True)
        sys.exit(2)


def dump_on_signal(dump: Callable[[], None]) -> None:
    """Call `dump`, which writes the last decisions into the log, at each SIGUSR1."""
    signal.signal(signal.SIGUSR1, lambda number, frame: dump())


@click.command()
@_config_option
@_operators_option
def check(config: str, operators: str | None) -> None:
    """Check both settings files; exit code 2 if one is wrong, with the reason.

    \b
    Example:
      kelpjunction check --config tests/example.toml
    """
    platform, _ = _load(config, operators)
    click.echo(f"{platform.node}: settings are valid")


@click.command()
@_config_option
@_operators_option
@click.option("--check", "only_check", is_flag=True, help="Check both settings files and exit.")
@click.version_option(__version__)
def serve(config: str, operators: str | None, only_check: bool) -> None:
    """Run one controller node until it is killed.

    LOG_LEVEL is error, info (the default) or debug; LOG_FORMAT is line (the
    default) or json. SIGUSR1 writes the last decisions into the log.

    \b
    Example:
      kelpjunction serve --config tests/example.toml
    """
    platform, operator_settings = _load(config, operators)
    if only_check:
        click.echo(f"{platform.node}: settings are valid")
        return
    # Imported here so that --check and --help do not load the servers.
    from kelpjunction.daemon import Daemon

    daemon = Daemon(platform, operator_settings)
    try:
        logs.configure_logging(
            os.environ.get("LOG_LEVEL", "info"), os.environ.get("LOG_FORMAT", "line"), platform.node, daemon.term
        )
    except ValueError as error:
        click.echo(f"kelpjunction: {error}", err=True)
        sys.exit(2)
    dump_on_signal(daemon.dump_decisions)
    daemon.run_forever()
