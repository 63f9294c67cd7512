"""How an accepted ticket stands, step by step, until its one final answer.  Pure.

A ticket's steps wait, are sent (their job exists) and end.  Its course is one
record; `TicketProgress.with_step_states` makes every change of it, and whoever writes it guards
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


class FinalState(Enum):
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
class TicketProgress:
    """An unfinished ticket; `plan` is packed, or names the parts that hold it, and `salt` is in its jobs' ids."""

    klass: str
    team: str
    accepted_at: datetime
    states: tuple[StepState, ...]
    plan: str | list
    salt: str
    cancelled: bool = False  # its user asked for it
    stopping: bool = False  # nothing is sent any more
    failure: Failure | None = None  # the first

    def with_step_states(self, steps: Mapping[int, StepState], failure: Failure | None = None) -> "TicketProgress":
        """The one place where steps change."""
        states = list(self.states)
        for place, state in steps.items():
            if state not in _MAY.get(states[place], ()):
                raise ValueError(f"step {place} can't go from {states[place].name} to {state.name}")
            states[place] = state
        return replace(self, states=tuple(states), failure=self.failure or failure)

    def with_submission_stopped(self, cancelled: bool = False) -> "TicketProgress":
        """Nothing is sent from now on: steps that wait are cancelled, and those that were sent are to be stopped."""
        waiting = {i: StepState.CANCELLED for i, s in enumerate(self.states) if s is StepState.WAITING}
        return replace(self.with_step_states(waiting), stopping=True, cancelled=self.cancelled or cancelled)

    def with_blocked_steps_cancelled(self, plan: Plan) -> "TicketProgress":
        """Steps that wait for one that will never be done are cancelled."""
        states = list(self.states)
        lost = {StepState.FAILED, StepState.CANCELLED}
        for place, job in enumerate(plan.jobs):
            if states[place] is StepState.WAITING and any(states[i] in lost for i in job.depends_on):
                states[place] = StepState.CANCELLED
        return self.with_step_states({i: s for i, s in enumerate(states) if s is not self.states[i]})

    def ready_steps(self, plan: Plan) -> list[int]:
        """The steps to send now."""
        return [
            place
            for place, job in enumerate(plan.jobs)
            if self.states[place] is StepState.WAITING and all(self.states[i] is StepState.DONE for i in job.depends_on)
        ]

    @property
    def sent_steps(self) -> list[int]:
        return [i for i, s in enumerate(self.states) if s is StepState.SENT]

    @property
    def final_state(self) -> FinalState | None:
        """The final answer, once no step waits or is sent."""
        if UNFINISHED.intersection(self.states):
            return None
        if set(self.states) == {StepState.DONE}:
            return FinalState.DONE  # also if its user asked to cancel it after its last job had ended
        if self.cancelled:
            return FinalState.CANCELLED
        return FinalState.FAILED if self.failure else FinalState.DONE

    def record(self) -> dict:
        record = {
            "class": self.klass, "team": self.team, "at": self.accepted_at.timestamp(), "plan": self.plan,
            "salt": self.salt,
            "steps": "".join(s.value for s in self.states),
        }  # fmt: skip
        flags = {name: True for name in ("cancelled", "stopping") if getattr(self, name)}
        return record | flags | ({"failure": list(self.failure)} if self.failure else {})

    @classmethod
    def parse(cls, record: Mapping) -> "TicketProgress":
        failure = record.get("failure")
        return cls(
            record["class"], record["team"], datetime.fromtimestamp(record["at"], UTC),
            tuple(map(StepState, record["steps"])), record["plan"], record["salt"],
            bool(record.get("cancelled")), bool(record.get("stopping")), Failure(*failure) if failure else None,
        )  # fmt: skip


class FinalRecord(NamedTuple):
    """A ticket's final record: its answer, when it ended, until when it is remembered."""

    final_state: FinalState
    ended_at: datetime
    remembered_until: datetime
    states: tuple[StepState, ...]
    failure: Failure | None

    def record(self) -> dict:
        record = {
            "end": self.final_state.value, "at": self.ended_at.timestamp(), "until": self.remembered_until.timestamp(),
            "steps": "".join(s.value for s in self.states),
        }  # fmt: skip
        return record | ({"failure": list(self.failure)} if self.failure else {})

    @classmethod
    def parse(cls, record: Mapping) -> "FinalRecord":
        at, until = (datetime.fromtimestamp(record[name], UTC) for name in ("at", "until"))
        failure = record.get("failure")
        states = tuple(map(StepState, record["steps"]))
        return cls(FinalState(record["end"]), at, until, states, Failure(*failure) if failure else None)
