"""Recorder events for the decisions of a block's holder on its workers and placements."""

import logging
from dataclasses import dataclass
from enum import Enum
from typing import ClassVar

from kelpjunction.recorder import Event
from kelpjunction.wire.messages import ExitCause, TaskId
from kelpjunction.workers.answers import Refusal
from kelpjunction.workers.reachability import Evidence


class Way(Enum):
    """How a start reaches a worker: in a command sent directly, or in the response to a report."""

    DIRECT = "direct"
    ANSWER = "answer"


class Ground(Enum):
    """What shows that a placement is off its machine."""

    REPORTED_EXIT = "reported_exit"
    SESSION_ENDED = "session_ended"
    PROCESS_RESTARTED = "process_restarted"
    ABSENT = "not_listed"
    LEASE_ENDED = "lease_ended"
    MACHINE_GONE = "machine_gone"


@dataclass(frozen=True, slots=True)
class SessionBelieved(Event):
    """The holder believes a session of a worker; `before` is the one believed until then, or 0.

    `sequence` is that of the message that named the session.  `uncertain_token` is the highest token under which a
    start may still take effect at the worker.
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
    """The session of a known worker changed.  All its tasks are gone, so the event is logged."""

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
    """A start was sent to a worker; `version` is that of the record that placed the task.

    `sequence` is that of the report answered or, if the start was sent directly, the newest one known of the worker.
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
class ForgetSaid(Event):
    """A worker was told, in the response to the report of this `sequence`, to forget an exited attempt.

    The worker refuses every start under a token below `token`, which that response shows.
    """

    task: TaskId
    attempt: int
    machine: str
    session: int
    token: int
    sequence: int


@dataclass(frozen=True, slots=True)
class StopDecided(Event):
    """The holder decided to stop a placement."""

    task: TaskId
    attempt: int
    machine: str
    grace_s: float
    reason: str


@dataclass(frozen=True, slots=True)
class Settled(Event):
    """A placement is known to be off its machine; `known_session` and `sequence` are the newest known of the worker."""

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
    """A placement settled for a cause other than done or stopped; the event is logged."""

    level: ClassVar[int] = logging.INFO


@dataclass(frozen=True, slots=True)
class Impossible(Event):
    """A worker proved that it has an attempt that cannot be there."""

    level: ClassVar[int] = logging.ERROR
    task: TaskId
    attempt: int
    machine: str
    session: int
    finding: str


@dataclass(frozen=True, slots=True)
class ForgottenAttemptListed(Event):
    """A worker proved that an attempt that it was told to forget is on it again.

    `token` is the highest that the worker has seen, `forget_token` that of the response that told it to forget.
    `start_token` and `start_way` are those of the attempt's start, None if this node did not send it or no longer
    knows it.
    """

    level: ClassVar[int] = logging.ERROR
    task: TaskId
    attempt: int
    machine: str
    session: int
    sequence: int
    token: int
    forget_token: int
    start_token: int | None
    start_way: Way | None


def concerns(task: TaskId, machine: str):
    """Return a filter for events of this task, or of no task and either this machine or no machine."""

    def related(event: Event) -> bool:
        event_task = getattr(event, "task", None)
        return event_task == task or (event_task is None and getattr(event, "machine", machine) == machine)

    return related
