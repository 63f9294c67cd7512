"""Ticket classes: how often the same ticket may run, as set in the operators' file.

`runs_again` applies the rule and has no side effects.
"""

from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import Enum
from pathlib import Path

import fastjsonschema
import orjson

from kelpjunction.clock import seconds
from kelpjunction.settings import SettingsError
from kelpjunction.tickets.progress import FinalRecord, FinalState

SCHEMA = orjson.loads(Path(__file__).with_name("tickets.schema.json").read_bytes())
_check_settings = fastjsonschema.compile(SCHEMA)
_with_defaults = fastjsonschema.compile(SCHEMA["properties"]["classes"]["additionalProperties"])


class RerunPolicy(Enum):
    """How often the same ticket may run."""

    ONCE = "once"
    AFTER_FAILURE = "after-failure"
    AFTER_PAUSE = "after-pause"
    ALWAYS = "always"


@dataclass(frozen=True, slots=True)
class TicketClass:
    """A ticket class; the schema has the defaults and describes each field."""

    name: str
    rerun_policy: RerunPolicy
    max_runs: int
    min_rerun_interval: timedelta
    retention: timedelta
    failure_limit: int
    continue_on_failure: bool  # whether steps that do not depend on a failed step continue


@dataclass(frozen=True, slots=True)
class TicketSettings:
    """A gateway's settings."""

    name: str
    listen: str
    max_unfinished_runs: int
    max_remembered_runs: int
    classes: dict[str, TicketClass]

    def ticket_class(self, name: str) -> TicketClass:
        """The class of an accepted ticket; if it was removed from the file since, the defaults with a single run."""
        return self.classes.get(name) or _class(name, {"runs": RerunPolicy.ONCE.value})


def _class(name: str, raw: dict) -> TicketClass:
    raw = _with_defaults(dict(raw))
    return TicketClass(
        name, RerunPolicy(raw["runs"]), raw["times"], seconds(raw["pause_s"]), seconds(raw["remember_s"]),
        raw["failures"],
        raw["on_failure"] == "finish",
    )  # fmt: skip


def load_tickets(path: str | Path) -> TicketSettings:
    """Read and check a gateway's settings file; raises `SettingsError`, which names the field."""
    try:
        raw = _check_settings(orjson.loads(Path(path).read_bytes()))
    except (OSError, orjson.JSONDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    except fastjsonschema.JsonSchemaValueException as error:
        raise SettingsError(f"{path}: {error.message.removeprefix('data.')}") from error
    classes = {name: _class(name, c) for name, c in raw["classes"].items()}
    return TicketSettings(raw["name"], raw["listen"], raw["most_live"], raw["most_remembered"], classes)


def runs_again(klass: TicketClass, run: int, end: FinalRecord | None, now: datetime) -> bool:
    """Whether a ticket submitted again gets a new run after run number `run`; `end` is None until that has ended."""
    if klass.rerun_policy is RerunPolicy.ALWAYS:
        return True
    if end is None:
        return False
    if now >= end.remembered_until:
        return True  # its retention is over, whether or not its records are deleted yet
    if klass.rerun_policy is RerunPolicy.AFTER_FAILURE:
        return end.final_state is FinalState.FAILED and run < klass.max_runs
    return klass.rerun_policy is RerunPolicy.AFTER_PAUSE and now - end.ended_at >= klass.min_rerun_interval
