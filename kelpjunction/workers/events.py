"""What the holder of a block decides of its workers and placements, as the recorder keeps it."""

import logging
from dataclasses import dataclass
from enum import Enum
from typing import ClassVar

from kelpjunction.recorder import Event
from kelpjunction.wire.messages import ExitCause, TaskId
from kelpjunction.workers.answers import Refusal
from kelpjunction.workers.reachability import Evidence


class Way(Enum):
    """How a command is said to a worker."""

    DIRECT = "direct"
    ANSWER = "answer"


class Ground(Enum):
    """Why a placement is surely off its machine."""

    REPORTED_EXIT = "reported_exit"
    SESSION_ENDED = "session_ended"
    PROCESS_RESTARTED = "process_restarted"
    ABSENT = "not_listed"
    LEASE_ENDED = "lease_ended"
    MACHINE_GONE = "machine_gone"


@dataclass(frozen=True, slots=True)
class SessionBelieved(Event):
    """A worker's session as the holder believes it; `before` is 0 if none was, `sequence` of the message that told it.

    `uncertain_token` is the highest under which a command may still be on its way to the worker.
    """

    machine: str
    before: int
    session: int
    sequence: int
    evidence: Evidence
    token: int
    uncertain_token: int


@dataclass(frozen=True, slots=True)
class SessionChanged(SessionBelieved):
    """The same of a worker that was known: all that it had is gone, so the log shows it."""

    level: ClassVar[int] = logging.INFO


@dataclass(frozen=True, slots=True)
class ReportRefused(Event):
    """A report got no 200."""

    machine: str
    session: int
    sequence: int
    believed: int
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class StartSaid(Event):
    """A start was said to a worker; `version` is of the record that placed the task, `sequence` of the report answered.

    Of a start that is sent directly, `sequence` is the newest that was known of the worker.
    """

    task: TaskId
    attempt: int
    machine: str
    session: int
    token: int
    version: int
    way: Way
    sequence: int


@dataclass(frozen=True, slots=True)
class StopDecided(Event):
    """A placement is to be stopped."""

    task: TaskId
    attempt: int
    machine: str
    grace_s: float
    reason: str


@dataclass(frozen=True, slots=True)
class Settled(Event):
    """A placement is surely off its machine; `known_session` and `sequence` are the newest known of the worker."""

    task: TaskId
    attempt: int
    machine: str
    session: int
    cause: ExitCause
    ground: Ground
    known_session: int
    sequence: int


@dataclass(frozen=True, slots=True)
class SettledAbnormally(Settled):
    """The same of a task that did not end well: the log shows it."""

    level: ClassVar[int] = logging.INFO


@dataclass(frozen=True, slots=True)
class Impossible(Event):
    """A worker proved that it has an attempt which can't be there."""

    level: ClassVar[int] = logging.ERROR
    task: TaskId
    attempt: int
    machine: str
    session: int
    finding: str


def concerns(task: TaskId, machine: str):
    """Whether an event is of a task, or of a machine and no task."""

    def related(event: Event) -> bool:
        of_task = getattr(event, "task", None)
        return of_task == task or (of_task is None and getattr(event, "machine", machine) == machine)

    return related
