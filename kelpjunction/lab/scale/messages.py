"""What the run and its processes say to each other: one JSON object a line, on standard input and output."""

from enum import StrEnum
from typing import NamedTuple


class ProcessCommand(StrEnum):
    """What the run tells a process of hollow workers."""

    ADD = "add"  # machines, each with its name, zone, kind, address and the time at which it is up
    JOB = "job"  # a job that was submitted: its tasks' run time, shape and saving
    DIE = "die"  # machines that are gone; told back once they are
    RESTART = "restart"  # the process of every worker ends and is back at once


class EventKind(StrEnum):
    """What a process of hollow workers tells of their tasks."""

    STARTED = "started"
    EXITED = "exited"
    CLEARED = "cleared"  # all tasks of a machine are gone


class TaskEvent(NamedTuple):
    """Something that happened on a machine, at a time of the steady clock in seconds, which all processes share."""

    at: float
    kind: EventKind
    machine: str
    frond: str = ""
    cause: str = ""


class Batch(NamedTuple):
    """What a process tells every few milliseconds: all events up to a time, and its figures since the last batch."""

    upto: float
    events: list[TaskEvent]
    gone: list[str]  # machines that it was told to let die
    bytes_moved: int  # between its workers and the controllers, both ways, headers included
    check_ins_ms: list[int]
    failed_check_ins: int

    def fields(self) -> dict:
        """This as a line holds it."""
        return self._asdict() | {"events": [tuple(event) for event in self.events]}

    @classmethod
    def of(cls, fields: dict) -> "Batch":
        """A batch as it was read from a line."""
        events = [TaskEvent(at, EventKind(kind), *rest) for at, kind, *rest in fields.pop("events")]
        return cls(events=events, **fields)
