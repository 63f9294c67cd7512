"""Pure functions that decide what a worker's message changes and how a report is answered.

Nothing here sends messages or keeps state; `WorkerRegistry` carries out the decisions.  A worker that begins a new
session has killed all its tasks, and in that session it executes every command in the response to its report.  A
response is therefore built for the session of the report that it answers, never for the session that the holder
believes.
Source: PROTOCOL, "Workers -> controller nodes", "Tokens" and "Leases".
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from kelpjunction.jobs.job_index import Placement
from kelpjunction.wire.messages import Command, ExitCause, Report, TaskId, TaskReport, TaskState, Verb
from kelpjunction.workers.fencing import Attempt
from kelpjunction.workers.reachability import Evidence


class Refusal(Enum):
    """Why a report gets no 200; the value is a label in the metrics."""

    NOT_HELD = "block_not_held"
    HIGHER_TOKEN_SEEN = "higher_token_seen"
    MIRROR_STALE = "no_news_of_state_service"
    UNREACHABLE = "worker_not_reached"
    RESPONSE_TIMED_OUT = "worker_waits_no_longer"
    EARLIER_SESSION = "earlier_session"
    UNPROVED_SESSION = "unproved_session"


@dataclass(frozen=True, slots=True)
class BlockAuthority:
    """What decides whether this node may answer the workers of a block."""

    holds_block: bool
    higher_token_seen: bool  # a worker of the block has seen a higher token
    can_renew_leases: bool  # its mirror is recent enough to renew leases


@dataclass(frozen=True, slots=True)
class WorkerStatus:
    """What is known of a worker after its report has been applied."""

    session: int  # the believed one: proved by the worker, or the first that it reported
    presumed_unreachable: bool  # requests to it get no response
    may_wait: bool  # whether the report's sender may still wait for the response


def refuse_block(authority: BlockAuthority) -> Refusal | None:
    """Why this node must not answer reports from a block, or None if it may."""
    if not authority.holds_block:
        return Refusal.NOT_HELD
    if authority.higher_token_seen:
        return Refusal.HIGHER_TOKEN_SEEN
    return None if authority.can_renew_leases else Refusal.MIRROR_STALE


def refuse_report(report: Report, status: WorkerStatus) -> Refusal | None:
    """Why this report must not get a 200, which may renew the worker's lease, or None if it may."""
    if status.presumed_unreachable:
        return Refusal.UNREACHABLE  # no stop command would reach it
    if not status.may_wait:
        return Refusal.RESPONSE_TIMED_OUT  # a late copy: its worker may find a node that can reach it
    if report.session < status.session:
        return Refusal.EARLIER_SESSION
    if report.session > status.session:
        # A worker in this session would execute commands that were meant for the previous one.
        # It is being probed, and its reports are answered once it has proved the session.
        return Refusal.UNPROVED_SESSION
    return None


@dataclass(slots=True)
class ReportAssessment:
    """What a message changes in what is known of its worker."""

    believed: bool  # False: the message is ignored
    needs_probe: bool = False  # whether the worker must be probed about the message
    listed: list[tuple[Placement, TaskReport]] = field(default_factory=list)
    unexpected: list[TaskReport] = field(default_factory=list)  # not exited, and no placement names them
    ended: list[Placement] = field(default_factory=list)  # of an earlier session, which has ended
    from_later_session: list[Placement] = field(default_factory=list)  # of a session above the proved one
    missing: list[Placement] = field(default_factory=list)  # of the proved session, and not listed


def assess_report(
    report: Report, evidence: Evidence, session: int, placements: Mapping[TaskId, Placement]
) -> ReportAssessment:
    """Assess a message; `session` is the one believed so far, `placements` are those on the machine.

    Only a response to a request settles placements that it does not list: a copy from before the worker's process
    was restarted may have a higher session, or exactly the next number.  For an attempt that it lists as exited, see
    `proves_exit`.  Where a report proves too little, the worker is probed.
    """
    if evidence is Evidence.STALE:
        return ReportAssessment(believed=False)
    if evidence is not Evidence.PROOF and session and report.session != session:
        return ReportAssessment(believed=False, needs_probe=True)
    assessment = ReportAssessment(believed=True)
    listed: set[Placement] = set()
    for task_report in report.tasks:
        exited = task_report.state is TaskState.EXITED
        placement = placements.get(task_report.task)
        if is_written_for(placement, report.session, task_report.attempt):
            listed.add(placement)
            if exited and not proves_exit(evidence, task_report.cause):
                assessment.needs_probe = True
            else:
                assessment.listed.append((placement, task_report))
        elif not exited:
            assessment.unexpected.append(task_report)
    unlisted = [placement for placement in placements.values() if placement not in listed]
    if evidence is not Evidence.PROOF:
        # A task that was reported earlier may have ended, and a placement of another session can neither start nor
        # settle before the worker has responded.  An earlier probe is not enough: its response may have been overtaken.
        assessment.needs_probe |= any(
            p.was_reported or not p.is_active or p.session != report.session for p in unlisted
        )
        return assessment
    for placement in unlisted:
        if placement.session < report.session:
            assessment.ended.append(placement)
        elif placement.session > report.session:
            assessment.from_later_session.append(placement)
        else:
            assessment.missing.append(placement)
    return assessment


def proves_exit(evidence: Evidence, cause: ExitCause | None) -> bool:
    """Whether a message settles an attempt that it lists as exited for this cause.

    A report may be a copy from an earlier process of the worker, and the attempt may have been started again since:
    session, number and token do not tell.  Only a result stays true, since results are kept: a task that was done
    remains done.  So a report that directly follows an answered one settles an attempt that is done, and for every
    other cause the worker is probed; its response lists the same exit.
    Source: PROTOCOL, cause `done`.
    """
    return evidence is Evidence.PROOF or (evidence is Evidence.SUCCESSOR and cause is ExitCause.DONE)


def is_written_for(placement: Placement | None, session: int, attempt: int) -> bool:
    """Whether a placement's record names this session and attempt."""
    return placement is not None and placement.session == session and placement.attempt == attempt


def finished_attempts(
    session: int, tasks: Iterable[TaskReport], placements: Mapping[TaskId, Placement]
) -> list[Attempt]:
    """The exited attempts whose results are stored, so that the worker need not list them any longer."""
    return [
        Attempt(task_report.task, task_report.attempt)
        for task_report in tasks
        if task_report.state is TaskState.EXITED
        and not is_written_for(placements.get(task_report.task), session, task_report.attempt)
    ]


@dataclass(slots=True)
class ReportResponse:
    """The commands in the response to a report, in order, and the placements that they start.

    `withheld` are placements that need a start which may not be sent now.
    """

    commands: list[Command] = field(default_factory=list)
    starts: list[Placement] = field(default_factory=list)
    withheld: list[Placement] = field(default_factory=list)


def build_response(
    session: int,
    tasks: Iterable[TaskReport],
    placements: Mapping[TaskId, Placement],
    may_forget: Callable[[Attempt], bool],
    may_start: Callable[[Placement], bool] = lambda placement: True,
    records_complete: bool = True,
) -> ReportResponse:
    """Build the response to a worker in this session, from the tasks that it has and those that it should have.

    `may_forget` says whether no start of an attempt can take effect any more once the worker has seen the token of this
    response.  `may_start` says whether a placement's job may still be started, as far as is known.  Without
    `records_complete`, an earlier holder may have placed and settled tasks unknown to this node; then the response
    only stops placements that must stop.
    """
    response = ReportResponse()
    reported: set[tuple[TaskId, int]] = set()
    for task_report in tasks:
        reported.add((task_report.task, task_report.attempt))
        placement = placements.get(task_report.task)
        is_current = is_written_for(placement, session, task_report.attempt)
        if task_report.state is TaskState.EXITED:
            # The worker may forget an exit only once the result is stored and no start can run the attempt again.
            if records_complete and not is_current and may_forget(Attempt(task_report.task, task_report.attempt)):
                response.commands.append(Command(Verb.FORGET, task_report.task, task_report.attempt))
        elif not is_current:
            if records_complete:
                response.commands.append(Command(Verb.STOP, task_report.task, task_report.attempt))
        elif not placement.is_active:
            response.commands.append(Command(Verb.STOP, task_report.task, task_report.attempt, placement.grace))
    if not records_complete:
        return response
    for placement in placements.values():
        unreported = (placement.task, placement.attempt) not in reported
        if not (unreported and placement.is_active and placement.session == session and not placement.was_reported):
            continue
        if not may_start(placement):
            response.withheld.append(placement)
        else:
            response.starts.append(placement)
            response.commands.append(Command(Verb.START, placement.task, placement.attempt))
    return response
