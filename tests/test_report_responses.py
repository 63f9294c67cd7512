"""What a report is worth and what is said in answer: the table of docs/incidents/task-on-two-machines.md."""

from collections import Counter

import pytest

from kelpjunction.clock import ZERO, seconds
from kelpjunction.jobs.job_index import Phase, Placement
from kelpjunction.wire.messages import Report, TaskId, TaskReport, TaskState, Verb
from kelpjunction.workers.answers import (
    BlockAuthority,
    Refusal,
    WorkerStatus,
    assess_report,
    build_response,
    refuse_block,
    refuse_report,
)
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
    ("entitlement", "refusal"),
    [
        (BlockAuthority(5, False, True), None),
        (BlockAuthority(None, False, True), Refusal.NOT_HELD),
        (BlockAuthority(5, True, True), Refusal.HIGHER_TOKEN_SEEN),
        (BlockAuthority(5, False, False), Refusal.STORE_NEWS_STALE),
    ],
)
def test_who_may_answer(entitlement, refusal):
    assert refuse_block(entitlement) is refusal


@pytest.mark.parametrize(
    ("known", "refusal"),
    [
        (WorkerStatus(2, False, True), None),
        (WorkerStatus(2, True, True), Refusal.UNREACHED),
        (WorkerStatus(2, False, False), Refusal.RESPONSE_TIMED_OUT),
        (WorkerStatus(3, False, True), Refusal.EARLIER_SESSION),
        (WorkerStatus(1, False, True), Refusal.UNPROVED_SESSION),
    ],
)
def test_which_report_gets_a_200(known, refusal):
    assert refuse_report(report(session=2), known) is refusal


@pytest.mark.parametrize(
    ("stands", "reported", "verbs"),
    [
        (placement(), None, [Verb.START]),
        (placement(session=1), None, []),  # written for the session before
        (placement(session=3), None, []),  # written for one that its worker's life has not come to
        (placement(seen=True), None, []),  # it was there: what is missing may have ended
        (placement(phase=Phase.STOPPING), None, []),
        (placement(), TaskState.RUNNING, []),
        (placement(attempt=4), TaskState.RUNNING, [Verb.STOP, Verb.START]),
        (placement(session=1), TaskState.RUNNING, [Verb.STOP]),
        (None, TaskState.FETCHING, [Verb.STOP]),
        (placement(phase=Phase.STOPPING), TaskState.RUNNING, [Verb.STOP]),
        (placement(seen=True), TaskState.EXITED, []),  # its end is not written down yet
        (None, TaskState.EXITED, [Verb.FORGET]),
    ],
)
def test_build_response_commands(stands, reported, verbs):
    here = {} if stands is None else {TASK: stands}
    tasks = [] if reported is None else [task_report(reported)]
    said = build_response(2, tasks, here, Counter(), no_start_in_flight=True)
    assert [command.verb for command in said.commands] == verbs
    assert said.starts == ([stands] if Verb.START in verbs else [])
    graces = [command.grace for command in said.commands if command.verb is Verb.STOP]
    assert graces in ([], [ZERO], [seconds(4)])


@pytest.mark.parametrize(("sending", "no_start_under_way"), [(Counter({(TASK, 3): 1}), True), (Counter(), False)])
def test_no_forget_command_while_start_may_arrive(sending, no_start_under_way):
    assert build_response(2, [task_report(TaskState.EXITED)], {}, sending, no_start_under_way).commands == []


@pytest.mark.parametrize(
    ("evidence", "known_session", "stands", "field"),
    [
        (Evidence.PROOF, 2, placement(), "missing"),
        (Evidence.PROOF, 1, placement(session=1), "ended"),
        (Evidence.PROOF, 2, placement(session=3), "from_later_session"),
        (Evidence.CLAIM, 2, placement(seen=True), None),  # what a claim lacks settles nothing
    ],
)
def test_assess_report_of_unlisted_placement(evidence, known_session, stands, field):
    reading = assess_report(report(), evidence, known_session, {TASK: stands})
    assert reading.believed
    assert reading.needs_probe is (evidence is Evidence.CLAIM)
    for name in ("ended", "from_later_session", "missing"):
        assert getattr(reading, name) == ([stands] if name == field else [])


@pytest.mark.parametrize(
    ("stands", "ask"),
    [
        (placement(), False),  # its start is under way
        (placement(seen=True), True),
        (placement(phase=Phase.STOPPING), True),
        (placement(session=1), True),
        (placement(session=3), True),
    ],
)
@pytest.mark.parametrize("evidence", [Evidence.CLAIM, Evidence.SUCCESSOR])
def test_unlisted_placement_needs_probe(evidence, stands, ask):
    assert assess_report(report(), evidence, 2, {TASK: stands}).needs_probe is ask


@pytest.mark.parametrize(
    ("evidence", "ends"), [(Evidence.CLAIM, False), (Evidence.SUCCESSOR, True), (Evidence.PROOF, True)]
)
def test_unproved_exit_needs_probe(evidence, ends):
    reading = assess_report(report(tasks=(task_report(TaskState.EXITED),)), evidence, 2, {TASK: placement(seen=True)})
    assert (len(reading.listed), reading.needs_probe) == ((1, False) if ends else (0, True))
    assert reading.missing == []


@pytest.mark.parametrize(
    ("evidence", "known_session", "believed", "ask"),
    [
        (Evidence.STALE, 2, False, False),
        (Evidence.CLAIM, 1, False, True),  # of another session: asked about first
        (Evidence.CLAIM, 0, True, False),  # the first that is heard of a worker
        (Evidence.CLAIM, 2, True, False),
        (Evidence.PROOF, 1, True, False),
    ],
)
def test_report_is_believed_by_evidence_and_session(evidence, known_session, believed, ask):
    reading = assess_report(
        report(tasks=(task_report(TaskState.RUNNING),)), evidence, known_session, {TASK: placement()}
    )
    assert (reading.believed, reading.needs_probe) == (believed, ask)
    assert [p.attempt for p, _ in reading.listed] == ([3] if believed else [])
