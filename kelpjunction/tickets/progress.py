"""The progress of an accepted ticket, step by step, until its final answer.

The functions here have no side effects.  A ticket's steps wait, are sent (their
job exists) and end.  The progress is one record, and every change of a step goes
through `TicketProgress.with_step_states`.  A write of the record is guarded by the
version that was read.  Any gateway may therefore write it, and two gateways never
both apply a change to the same version.
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


_ALLOWED_TRANSITIONS = {
    StepState.WAITING: (StepState.SENT, StepState.CANCELLED),
    StepState.SENT: (StepState.DONE, StepState.FAILED, StepState.CANCELLED),
}
UNFINISHED = frozenset(_ALLOWED_TRANSITIONS)


class FinalState(Enum):
    """The outcome of a ticket that has ended."""

    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Failure(NamedTuple):
    """Why a ticket failed: the step, how many of its tasks are not done, and the reason as text."""

    step: str
    unfinished: int
    why: str


@dataclass(frozen=True, slots=True)
class TicketProgress:
    """An unfinished ticket.

    `plan` is the encoded plan, or the token and count of the parts that hold it.
    The ids of the ticket's jobs derive from `salt`.
    """

    klass: str
    team: str
    accepted_at: datetime
    states: tuple[StepState, ...]
    plan: str | list
    salt: str
    cancelled: bool = False  # the user asked for it
    stopping: bool = False  # no more steps are sent
    failure: Failure | None = None  # the first one that occurred

    def with_step_states(self, steps: Mapping[int, StepState], failure: Failure | None = None) -> "TicketProgress":
        """Change the states of steps by index; raises `ValueError` for a transition that is not allowed."""
        states = list(self.states)
        for index, state in steps.items():
            if state not in _ALLOWED_TRANSITIONS.get(states[index], ()):
                raise ValueError(f"step {index} can't go from {states[index].name} to {state.name}")
            states[index] = state
        return replace(self, states=tuple(states), failure=self.failure or failure)

    def with_submission_stopped(self, cancelled: bool = False) -> "TicketProgress":
        """Stop sending steps: waiting steps are cancelled, and sent steps are to be stopped."""
        waiting = {i: StepState.CANCELLED for i, s in enumerate(self.states) if s is StepState.WAITING}
        return replace(self.with_step_states(waiting), stopping=True, cancelled=self.cancelled or cancelled)

    def with_blocked_steps_cancelled(self, plan: Plan) -> "TicketProgress":
        """Cancel the waiting steps that depend on a failed or cancelled step."""
        states = list(self.states)
        not_done = {StepState.FAILED, StepState.CANCELLED}
        for index, job in enumerate(plan.jobs):
            if states[index] is StepState.WAITING and any(states[i] in not_done for i in job.depends_on):
                states[index] = StepState.CANCELLED
        return self.with_step_states({i: s for i, s in enumerate(states) if s is not self.states[i]})

    def ready_steps(self, plan: Plan) -> list[int]:
        """The indexes of the steps to send now: those waiting whose dependencies are all done."""
        return [
            index
            for index, job in enumerate(plan.jobs)
            if self.states[index] is StepState.WAITING and all(self.states[i] is StepState.DONE for i in job.depends_on)
        ]

    @property
    def sent_steps(self) -> list[int]:
        return [i for i, s in enumerate(self.states) if s is StepState.SENT]

    @property
    def final_state(self) -> FinalState | None:
        """The ticket's outcome; None while a step is waiting or sent."""
        if UNFINISHED.intersection(self.states):
            return None
        if set(self.states) == {StepState.DONE}:
            return FinalState.DONE  # also if the user cancelled it after its last job had ended
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
    """A ticket's final record: its outcome, when it ended, and until when it is remembered."""

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
