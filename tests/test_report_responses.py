"""Tests of what a report proves and of its response, after the table in docs/incidents/task-on-two-machines.md."""

import pytest

from kelpjunction.clock import ZERO, seconds
from kelpjunction.jobs.job_index import Phase, Placement
from kelpjunction.wire.messages import ExitCause, Report, TaskId, TaskReport, TaskState, Verb
from kelpjunction.workers.answers import (
    BlockAuthority,
    Refusal,
    WorkerStatus,
    assess_report,
    build_response,
    refuse_block,
    refuse_report,
)
from kelpjunction.workers.fencing import Attempt
from kelpjunction.workers.reachability import Evidence

TASK = TaskId("j-1", 0)


def report(session: int = 2, tasks: tuple[TaskReport, ...] = ()) -> Report:
    return Report("n-1", "10.1.0.1:9000", "box", "a", False, session, 7, 5, None, tasks)


def placement(session: int = 2, attempt: int = 3, phase: Phase = Phase.PLACED, seen: bool = False) -> Placement:
    made = Placement(TASK, None, attempt, "n-1", session, "a", phase=phase, was_reported=seen)
    made.grace = seconds(4)
    return made


def task_report(state: TaskState, attempt: int = 3) -> TaskReport:
    return TaskReport(TASK, attempt, state, None, False)


@pytest.mark.parametrize(
    ("authority", "refusal"),
    [
        (BlockAuthority(True, False, True), None),
        (BlockAuthority(False, False, True), Refusal.NOT_HELD),
        (BlockAuthority(True, True, True), Refusal.HIGHER_TOKEN_SEEN),
        (BlockAuthority(True, False, False), Refusal.MIRROR_STALE),
    ],
)
def test_refuse_block_by_authority(authority, refusal):
    assert refuse_block(authority) is refusal


@pytest.mark.parametrize(
    ("status", "refusal"),
    [
        (WorkerStatus(2, False, True), None),
        (WorkerStatus(2, True, True), Refusal.UNREACHABLE),
        (WorkerStatus(2, False, False), Refusal.RESPONSE_TIMED_OUT),
        (WorkerStatus(3, False, True), Refusal.EARLIER_SESSION),
        (WorkerStatus(1, False, True), Refusal.UNPROVED_SESSION),
    ],
)
def test_refuse_report_by_worker_status(status, refusal):
    assert refuse_report(report(session=2), status) is refusal


@pytest.mark.parametrize(
    ("existing", "reported", "verbs"),
    [
        (placement(), None, [Verb.START]),
        (placement(session=1), None, []),  # written for the previous session
        (placement(session=3), None, []),  # written for a session that the worker has not reached
        (placement(seen=True), None, []),  # was reported before, so it may have ended if it is not listed
        (placement(phase=Phase.STOPPING), None, []),
        (placement(), TaskState.RUNNING, []),
        (placement(attempt=4), TaskState.RUNNING, [Verb.STOP, Verb.START]),
        (placement(session=1), TaskState.RUNNING, [Verb.STOP]),
        (None, TaskState.FETCHING, [Verb.STOP]),
        (placement(phase=Phase.STOPPING), TaskState.RUNNING, [Verb.STOP]),
        (placement(seen=True), TaskState.EXITED, []),  # its exit has not been recorded yet
        (None, TaskState.EXITED, [Verb.FORGET]),
    ],
)
def test_build_response_commands(existing, reported, verbs):
    placements = {} if existing is None else {TASK: existing}
    tasks = [] if reported is None else [task_report(reported)]
    response = build_response(2, tasks, placements, may_forget=lambda attempt: True)
    assert [command.verb for command in response.commands] == verbs
    assert response.starts == ([existing] if Verb.START in verbs else [])
    graces = [command.grace for command in response.commands if command.verb is Verb.STOP]
    assert graces in ([], [ZERO], [seconds(4)])


def test_no_forget_command_while_start_may_arrive():
    asked = []

    def refuse(attempt: Attempt) -> bool:
        asked.append(attempt)
        return False

    assert build_response(2, [task_report(TaskState.EXITED)], {}, may_forget=refuse).commands == []
    assert asked == [Attempt(TASK, 3)]


@pytest.mark.parametrize(
    ("evidence", "known_session", "existing", "field"),
    [
        (Evidence.PROOF, 2, placement(), "missing"),
        (Evidence.PROOF, 1, placement(session=1), "ended"),
        (Evidence.PROOF, 2, placement(session=3), "from_later_session"),
        (Evidence.CLAIM, 2, placement(seen=True), None),  # a placement that a claim does not list is not settled
    ],
)
def test_assess_report_of_unlisted_placement(evidence, known_session, existing, field):
    assessment = assess_report(report(), evidence, known_session, {TASK: existing})
    assert assessment.believed
    assert assessment.needs_probe is (evidence is Evidence.CLAIM)
    for name in ("ended", "from_later_session", "missing"):
        assert getattr(assessment, name) == ([existing] if name == field else [])


@pytest.mark.parametrize(
    ("existing", "needs_probe"),
    [
        (placement(), False),  # its start is in flight
        (placement(seen=True), True),
        (placement(phase=Phase.STOPPING), True),
        (placement(session=1), True),
        (placement(session=3), True),
    ],
)
@pytest.mark.parametrize("evidence", [Evidence.CLAIM, Evidence.SUCCESSOR])
def test_unlisted_placement_needs_probe(evidence, existing, needs_probe):
    assert assess_report(report(), evidence, 2, {TASK: existing}).needs_probe is needs_probe


@pytest.mark.parametrize("cause", ExitCause)
@pytest.mark.parametrize("evidence", [Evidence.CLAIM, Evidence.SUCCESSOR, Evidence.PROOF])
def test_unproved_exit_needs_probe(evidence, cause):
    """A successor may be a copy from an earlier process, in which only a result is still true."""
    exit_applies = evidence is Evidence.PROOF or (evidence is Evidence.SUCCESSOR and cause is ExitCause.DONE)
    assessment = assess_report(
        report(tasks=(TaskReport(TASK, 3, TaskState.EXITED, cause, False),)), evidence, 2, {TASK: placement(seen=True)}
    )
    assert (len(assessment.listed), assessment.needs_probe) == ((1, False) if exit_applies else (0, True))
    assert assessment.missing == []


@pytest.mark.parametrize(
    ("evidence", "known_session", "believed", "needs_probe"),
    [
        (Evidence.STALE, 2, False, False),
        (Evidence.CLAIM, 1, False, True),  # from another session: probed first
        (Evidence.CLAIM, 0, True, False),  # the first message of a worker
        (Evidence.CLAIM, 2, True, False),
        (Evidence.PROOF, 1, True, False),
    ],
)
def test_report_is_believed_by_evidence_and_session(evidence, known_session, believed, needs_probe):
    assessment = assess_report(
        report(tasks=(task_report(TaskState.RUNNING),)), evidence, known_session, {TASK: placement()}
    )
    assert (assessment.believed, assessment.needs_probe) == (believed, needs_probe)
    assert [p.attempt for p, _ in assessment.listed] == ([3] if believed else [])
