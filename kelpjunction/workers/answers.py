"""What a worker's message is worth, and what is said in answer to a report: pure decisions.

Nothing here sends, writes or remembers; `WorkerRegistry` carries out what is decided.  A worker in a later session has
killed all that it had and accepts in that session whatever the answer to its report says, so an answer is put
together for the session of the report that it answers, never for the one that the holder believes.
Source: PROTOCOL, "Workers -> controller nodes", "Tokens" and "Leases".
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from kelpjunction.jobs.job_index import Placement
from kelpjunction.wire.messages import Command, Report, TaskId, TaskReport, TaskState, Verb
from kelpjunction.workers.reachability import Evidence


class Refusal(Enum):
    """Why a report gets no 200: the value is its label in the metrics."""

    NOT_HELD = "block_not_held"
    HIGHER_TOKEN_SEEN = "higher_token_seen"
    STORE_NEWS_STALE = "no_news_of_state_service"
    UNREACHED = "worker_not_reached"
    RESPONSE_TIMED_OUT = "worker_waits_no_longer"
    EARLIER_SESSION = "earlier_session"
    UNPROVED_SESSION = "unproved_session"


@dataclass(frozen=True, slots=True)
class BlockAuthority:
    """What lets this node speak for a block."""

    token: int | None  # of its grant, if it holds the block
    higher_token_seen: bool  # a worker of the block has seen a higher token
    can_renew_leases: bool  # its news of the state service are recent enough to renew leases


@dataclass(frozen=True, slots=True)
class WorkerStatus:
    """What is known of a worker when its report has been taken in."""

    session: int  # the one believed: proved, or the first heard of
    presumed_unreachable: bool  # nothing that is sent to it is answered
    may_wait: bool  # whether the report's sender may still wait for the answer


def refuse_block(entitlement: BlockAuthority) -> Refusal | None:
    """Why this node answers no report of a block, if it must not."""
    if entitlement.token is None:
        return Refusal.NOT_HELD
    if entitlement.higher_token_seen:
        return Refusal.HIGHER_TOKEN_SEEN
    return None if entitlement.can_renew_leases else Refusal.STORE_NEWS_STALE


def refuse_report(report: Report, known: WorkerStatus) -> Refusal | None:
    """Why this report gets no 200, if it must not: each 200 may renew its worker's lease."""
    if known.presumed_unreachable:
        return Refusal.UNREACHED  # it can't be told to stop anything
    if not known.may_wait:
        return Refusal.RESPONSE_TIMED_OUT  # a copy: its worker may find a node that reaches it
    if report.session < known.session:
        return Refusal.EARLIER_SESSION
    if report.session > known.session:
        # A worker that has begun this session would carry out in it what was written for the one before.
        # It is being asked, and is answered once it has proved the session.
        return Refusal.UNPROVED_SESSION
    return None


@dataclass(slots=True)
class ReportAssessment:
    """What a message changes of what is known."""

    believed: bool  # whether it counts at all
    needs_probe: bool = False  # whether the worker must be asked about what it says
    listed: list[tuple[Placement, TaskReport]] = field(default_factory=list)
    unexpected: list[TaskReport] = field(default_factory=list)  # not exited, and none of what stands there
    ended: list[Placement] = field(default_factory=list)  # with the session they were written for
    from_later_session: list[Placement] = field(default_factory=list)  # written for a session above the proved one
    missing: list[Placement] = field(default_factory=list)  # of this very session, and not listed


def assess_report(
    report: Report, evidence: Evidence, session: int, placements: Mapping[TaskId, Placement]
) -> ReportAssessment:
    """Take a message for its worth; `session` is the one believed so far, `placements` what stands on the machine.

    Only an answer settles what it lacks: a copy from before the worker's process was started again may name a
    higher session, or the very next number.  Nor does a claim end what it lists, since the attempt may have
    been started again in the life since: its worker is being asked, and the answer lists the same exit.
    """
    if evidence is Evidence.STALE:
        return ReportAssessment(believed=False)
    if evidence is not Evidence.PROOF and session and report.session != session:
        return ReportAssessment(believed=False, needs_probe=True)
    reading = ReportAssessment(believed=True)
    listed: set[Placement] = set()
    for told in report.tasks:
        exited = told.state is TaskState.EXITED
        placement = placements.get(told.task)
        if is_written_for(placement, report.session, told.attempt):
            listed.add(placement)
            if exited and evidence is Evidence.CLAIM:
                reading.needs_probe = True
            else:
                reading.listed.append((placement, told))
        elif not exited:
            reading.unexpected.append(told)
    unlisted = [placement for placement in placements.values() if placement not in listed]
    if evidence is not Evidence.PROOF:
        # What was there may have ended, and what was written for another session can neither start nor settle
        # before the worker has answered: who was asked once may have had its answer overtaken.
        reading.needs_probe |= any(p.was_reported or not p.is_active or p.session != report.session for p in unlisted)
        return reading
    for placement in unlisted:
        if placement.session < report.session:
            reading.ended.append(placement)
        elif placement.session > report.session:
            reading.from_later_session.append(placement)
        else:
            reading.missing.append(placement)
    return reading


def is_written_for(placement: Placement | None, session: int, attempt: int) -> bool:
    """Whether a placement's record names this session and attempt."""
    return placement is not None and placement.session == session and placement.attempt == attempt


@dataclass(slots=True)
class ReportResponse:
    """What a worker is told in answer to its report, in order, and the placements that it is told to start."""

    commands: list[Command] = field(default_factory=list)
    starts: list[Placement] = field(default_factory=list)


def build_response(
    session: int,
    tasks: Iterable[TaskReport],
    placements: Mapping[TaskId, Placement],
    unanswered_commands: Counter[tuple[TaskId, int]],
    no_start_in_flight: bool,
) -> ReportResponse:
    """What a worker in this session must be told, from what it has and what it should have.

    `unanswered_commands` counts commands without an answer yet, by attempt; `no_start_in_flight` says that no command
    of an earlier holder or of a lost exchange can reach it any more under the token of this answer.
    """
    found = ReportResponse()
    reported: set[tuple[TaskId, int]] = set()
    for told in tasks:
        reported.add((told.task, told.attempt))
        placement = placements.get(told.task)
        ours = is_written_for(placement, session, told.attempt)
        if told.state is TaskState.EXITED:
            # Forget only once the result is stored, and only when no earlier start command can arrive and
            # start it again: one that was sent a moment ago and held up is no doubt yet.
            if not ours and no_start_in_flight and not unanswered_commands[told.task, told.attempt]:
                found.commands.append(Command(Verb.FORGET, told.task, told.attempt))
        elif not ours:
            found.commands.append(Command(Verb.STOP, told.task, told.attempt))
        elif not placement.is_active:
            found.commands.append(Command(Verb.STOP, told.task, told.attempt, placement.grace))
    for placement in placements.values():
        absent = (placement.task, placement.attempt) not in reported
        if absent and placement.is_active and placement.session == session and not placement.was_reported:
            found.starts.append(placement)
            found.commands.append(Command(Verb.START, placement.task, placement.attempt))
    return found
