"""The command line."""

import logging
import os
import sys

import click

from kelpjunction import __version__
from kelpjunction.settings import SettingsError, load_operators, load_platform

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


@click.command()
@click.option("--config", required=True, type=click.Path(), help="The platform's settings file (TOML).")
@click.option(
    "--operators",
    type=click.Path(),
    envvar="KELPJUNCTION_OPERATORS",
    help="The operators' settings (JSON); see kelpjunction/operators.schema.json.",
)
@click.option("--check", is_flag=True, help="Check both settings files and exit.")
@click.version_option(__version__)
def main(config: str, operators: str | None, check: bool) -> None:
    """Run one controller node of the kelpjunction cluster scheduler."""
    try:
        platform = load_platform(config)
        tuning = load_operators(operators)
    except SettingsError as error:
        click.echo(f"kelpjunction: {error}", err=True)
        sys.exit(2)
    if check:
        click.echo(f"{platform.node}: settings are valid")
        return
    level = os.environ.get("LOG_LEVEL", "info")
    if level not in LEVELS:
        click.echo(f"kelpjunction: LOG_LEVEL must be one of {', '.join(LEVELS)}, not {level!r}", err=True)
        sys.exit(2)
    logging.basicConfig(stream=sys.stderr, level=LEVELS[level], format="%(levelname).1s %(name)s: %(message)s")
    # Imported late: --check and --help should not pay for the servers.
    from kelpjunction.daemon import Daemon

    Daemon(platform, tuning).run_forever()
