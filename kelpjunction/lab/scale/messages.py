"""Messages between the run and its processes: one JSON object per line, on standard input and output."""

from enum import StrEnum
from typing import NamedTuple


class ProcessCommand(StrEnum):
    """A command of the run to a process of hollow workers."""

    ADD = "add"  # add machines, each with its name, zone, kind, address and the time at which it is up
    JOB = "job"  # a submitted job: its tasks' run time, shape, and times for checkpoints and for saving
    DIE = "die"  # remove machines; the next batch confirms it in `gone`
    RESTART = "restart"  # the process of every worker ends and starts again at once


class EventKind(StrEnum):
    """The kind of an event on a hollow machine."""

    STARTED = "started"
    STARTED_AGAIN = "started_again"  # the attempt had been forgotten in the same session; STARTED follows
    EXITED = "exited"
    CLEARED = "cleared"  # all tasks of a machine ended at once


class TaskEvent(NamedTuple):
    """An event on a machine; `at` is in seconds of the monotonic clock, which all processes share."""

    at: float
    kind: EventKind
    machine: str
    frond: str = ""
    cause: str = ""


class Batch(NamedTuple):
    """A periodic message of a process: its events up to the time `upto`, and its figures since the last batch."""

    upto: float
    events: list[TaskEvent]
    gone: list[str]  # machines that were removed by command
    bytes_moved: int  # between its workers and the controllers, in both directions, headers included
    check_ins_ms: list[int]
    failed_check_ins: int

    def fields(self) -> dict:
        """The fields for a JSON line."""
        return self._asdict() | {"events": [tuple(event) for event in self.events]}

    @classmethod
    def of(cls, fields: dict) -> "Batch":
        """The batch with the fields of a JSON line; removes `events` from them."""
        events = [TaskEvent(at, EventKind(kind), *rest) for at, kind, *rest in fields.pop("events")]
        return cls(events=events, **fields)
