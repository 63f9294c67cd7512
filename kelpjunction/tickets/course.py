"""How an accepted ticket stands, step by step, until its one final answer.  Pure.

A ticket's steps wait, are sent (their job exists) and end.  Its course is one
record; `Course.moved` makes every change of it, and whoever writes it guards
the version he read, so that any gateway may, and two never both do.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from datetime import UTC, datetime
from enum import Enum
from typing import NamedTuple

from kelpjunction.tickets.plan import Plan


class StepState(Enum):
    """A step's state: WAITING -> SENT -> DONE, FAILED or CANCELLED, and from WAITING to CANCELLED."""

    WAITING = "w"
    SENT = "s"  # its job was submitted
    DONE = "d"
    FAILED = "f"
    CANCELLED = "c"


_MAY = {
    StepState.WAITING: (StepState.SENT, StepState.CANCELLED),
    StepState.SENT: (StepState.DONE, StepState.FAILED, StepState.CANCELLED),
}
UNFINISHED = frozenset(_MAY)


class Final(Enum):
    """A ticket's final answer."""

    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Failure(NamedTuple):
    """Why a ticket failed: its step, how many of the step's tasks are not done, and a plain reason."""

    step: str
    unfinished: int
    why: str


@dataclass(frozen=True, slots=True)
class Course:
    """An unfinished ticket; `plan` is packed, or names the parts that hold it, and `salt` is in its jobs' ids."""

    klass: str
    team: str
    at: datetime
    states: tuple[StepState, ...]
    plan: str | list
    salt: str
    cancelled: bool = False  # its user asked for it
    stopping: bool = False  # nothing is sent any more
    failure: Failure | None = None  # the first

    def moved(self, steps: Mapping[int, StepState], failure: Failure | None = None) -> "Course":
        """The one place where steps change."""
        states = list(self.states)
        for place, state in steps.items():
            if state not in _MAY.get(states[place], ()):
                raise ValueError(f"step {place} can't go from {states[place].name} to {state.name}")
            states[place] = state
        return replace(self, states=tuple(states), failure=self.failure or failure)

    def halted(self, cancelled: bool = False) -> "Course":
        """Nothing is sent from now on: steps that wait are cancelled, and those that were sent are to be stopped."""
        waiting = {i: StepState.CANCELLED for i, s in enumerate(self.states) if s is StepState.WAITING}
        return replace(self.moved(waiting), stopping=True, cancelled=self.cancelled or cancelled)

    def without_hope(self, plan: Plan) -> "Course":
        """Steps that wait for one that will never be done are cancelled."""
        states = list(self.states)
        lost = {StepState.FAILED, StepState.CANCELLED}
        for place, job in enumerate(plan.jobs):
            if states[place] is StepState.WAITING and any(states[i] in lost for i in job.after):
                states[place] = StepState.CANCELLED
        return self.moved({i: s for i, s in enumerate(states) if s is not self.states[i]})

    def ready(self, plan: Plan) -> list[int]:
        """The steps to send now."""
        return [
            place
            for place, job in enumerate(plan.jobs)
            if self.states[place] is StepState.WAITING and all(self.states[i] is StepState.DONE for i in job.after)
        ]

    @property
    def sent(self) -> list[int]:
        return [i for i, s in enumerate(self.states) if s is StepState.SENT]

    @property
    def final(self) -> Final | None:
        """The final answer, once no step waits or is sent."""
        if UNFINISHED.intersection(self.states):
            return None
        if set(self.states) == {StepState.DONE}:
            return Final.DONE  # also if its user asked to cancel it after its last job had ended
        if self.cancelled:
            return Final.CANCELLED
        return Final.FAILED if self.failure else Final.DONE

    def record(self) -> dict:
        record = {
            "class": self.klass, "team": self.team, "at": self.at.timestamp(), "plan": self.plan, "salt": self.salt,
            "steps": "".join(s.value for s in self.states),
        }  # fmt: skip
        flags = {name: True for name in ("cancelled", "stopping") if getattr(self, name)}
        return record | flags | ({"failure": list(self.failure)} if self.failure else {})

    @classmethod
    def parse(cls, record: Mapping) -> "Course":
        failure = record.get("failure")
        return cls(
            record["class"], record["team"], datetime.fromtimestamp(record["at"], UTC),
            tuple(map(StepState, record["steps"])), record["plan"], record["salt"],
            bool(record.get("cancelled")), bool(record.get("stopping")), Failure(*failure) if failure else None,
        )  # fmt: skip


class End(NamedTuple):
    """A ticket's final record: its answer, when it ended, until when it is remembered."""

    final: Final
    at: datetime
    until: datetime
    states: tuple[StepState, ...]
    failure: Failure | None

    def record(self) -> dict:
        record = {
            "end": self.final.value, "at": self.at.timestamp(), "until": self.until.timestamp(),
            "steps": "".join(s.value for s in self.states),
        }  # fmt: skip
        return record | ({"failure": list(self.failure)} if self.failure else {})

    @classmethod
    def parse(cls, record: Mapping) -> "End":
        at, until = (datetime.fromtimestamp(record[name], UTC) for name in ("at", "until"))
        failure = record.get("failure")
        states = tuple(map(StepState, record["steps"]))
        return cls(Final(record["end"]), at, until, states, Failure(*failure) if failure else None)
