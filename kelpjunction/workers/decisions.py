"""Counts a holder's decisions on workers and placements for the metrics and passes them to the recorder."""

from collections import Counter, OrderedDict
from typing import NamedTuple

from kelpjunction.jobs.job_index import JobIndex, Placement
from kelpjunction.recorder import Event, Recorder
from kelpjunction.wire.messages import Command, ExitCause, Report, TaskId, TaskReport
from kelpjunction.workers.answers import Refusal
from kelpjunction.workers.events import (
    ForgetSaid,
    ForgottenAttemptListed,
    Ground,
    Impossible,
    ReportRefused,
    SessionBelieved,
    SessionChanged,
    Settled,
    SettledAbnormally,
    StartSaid,
    StopDecided,
    Way,
    concerns,
)
from kelpjunction.workers.reachability import Evidence, MessageNumber

MAX_SETTLED_ATTEMPTS = 1024  # the newest ones are kept
MAX_FORGOTTEN_ATTEMPTS = 4096  # the newest ones are kept


class _Forgotten(NamedTuple):
    """A zone in which a worker was told to forget an attempt, and the event that says so."""

    zone: str
    said: ForgetSaid


class DecisionLog:
    """Counts and records the decisions of `WorkerRegistry` and detects contradictions between them."""

    def __init__(self, recorder: Recorder, job_index: JobIndex) -> None:
        self._recorder = recorder
        self._job_index = job_index
        self.causes: Counter[ExitCause] = Counter()  # of settled placements
        self.grounds: Counter[Ground] = Counter()
        self.ways: Counter[Way] = Counter()  # in which starts were sent
        self.refusals: Counter[Refusal] = Counter()  # of reports that got no 200
        # Attempts that this node settled recently, with their zones: none of them can be on its machine again.  Results
        # are left out: after a restart of its worker an attempt may run once more although it is done.
        self._settled_attempts: OrderedDict[tuple[TaskId, int, str], str] = OrderedDict()
        self._forgotten_attempts: OrderedDict[tuple[TaskId, int, str], _Forgotten] = OrderedDict()
        self.forgets = 0
        self.forgotten_attempts_listed = 0

    def clear(self, zone: str) -> None:
        """Forget a block that was gained or lost: attempts settled and not yet written may be started again."""
        for attempt in [a for a, settled_zone in self._settled_attempts.items() if settled_zone == zone]:
            del self._settled_attempts[attempt]
        for attempt in [a for a, forgotten in self._forgotten_attempts.items() if forgotten.zone == zone]:
            del self._forgotten_attempts[attempt]

    def refused(self, report: Report, believed: int, refusal: Refusal) -> None:
        """Record that a report got no 200; `believed` is the session believed of its worker, 0 if none."""
        self.refusals[refusal] += 1
        self._recorder.record(ReportRefused(report.machine, report.session, report.sequence, believed, refusal))

    def believed(self, report: Report, before: int, evidence: Evidence, uncertain_token: int) -> None:
        """Record that a worker's session is not the one believed `before` (0 if the worker was not known)."""
        event_type = SessionChanged if before else SessionBelieved
        self._recorder.record(
            event_type(report.machine, before, report.session, report.sequence, evidence, report.token, uncertain_token)
        )

    def started(self, placement: Placement, token: int, way: Way, sequence: int) -> None:
        """Record a start that was sent under a token; for `sequence` see `StartSaid`."""
        self.ways[way] += 1
        attempt = placement.task, placement.attempt, placement.machine, placement.session
        self._recorder.record(StartSaid(*attempt, token, self._job_index.record_version(placement.task), way, sequence))

    def forgotten(self, report: Report, command: Command, token: int) -> None:
        """Record that the response to a report, under this token, tells the worker to forget an exited attempt.

        If this node did not settle the attempt itself, a copy of an earlier process's report may list the exit, and the
        present process may still have the task.
        """
        self.forgets += 1
        attempt = command.task, command.attempt, report.machine
        said = ForgetSaid(*attempt, report.session, token, report.sequence)
        if attempt in self._settled_attempts:
            self._forgotten_attempts[attempt] = _Forgotten(report.zone, said)
        if len(self._forgotten_attempts) > MAX_FORGOTTEN_ATTEMPTS:
            self._forgotten_attempts.popitem(last=False)
        self._recorder.record(said)

    def was_forgotten(self, report: Report, task_report: TaskReport) -> bool:
        """Whether the worker was told to forget this attempt in the session of its report."""
        forgotten = self._forgotten_attempts.get((task_report.task, task_report.attempt, report.machine))
        return forgotten is not None and forgotten.said.session == report.session

    def stopped(self, placement: Placement) -> None:
        """Record the decision to stop a placement, with its `reason` and `grace`."""
        attempt = placement.task, placement.attempt, placement.machine
        self._recorder.record(StopDecided(*attempt, placement.grace.total_seconds(), placement.reason))

    def settled(self, placement: Placement, ground: Ground, newest: MessageNumber) -> None:
        """Record that a placement is off its machine; `newest` is the newest message known of its worker."""
        self.causes[placement.cause] += 1
        self.grounds[ground] += 1
        if placement.cause is not ExitCause.DONE:
            self._settled_attempts[placement.task, placement.attempt, placement.machine] = placement.zone
        if len(self._settled_attempts) > MAX_SETTLED_ATTEMPTS:
            self._settled_attempts.popitem(last=False)
        event_type = Settled if placement.cause in (ExitCause.DONE, ExitCause.STOPPED) else SettledAbnormally
        attempt = placement.task, placement.attempt, placement.machine, placement.session
        self._recorder.record(event_type(*attempt, placement.cause, ground, *newest))

    def check_contradiction(self, report: Report, task_report: TaskReport) -> None:
        """Report a contradiction if a worker proves that it has an attempt that was settled or replaced by a later one.

        The recorder then writes out the decisions that led to it.
        """
        if self.was_forgotten(report, task_report):
            self._report_forgotten_attempt(report, task_report)
            return
        current = self._job_index.placement(task_report.task)
        if (task_report.task, task_report.attempt, report.machine) in self._settled_attempts:
            finding = "it was settled before"
        elif (
            current is not None and current.attempt > task_report.attempt and current.was_reported and current.is_active
        ):
            finding = f"attempt {current.attempt} is on {current.machine}"
        else:
            return  # another node settled it, or started a later attempt, in a record that this node has not read yet
        event = Impossible(task_report.task, task_report.attempt, report.machine, report.session, finding)
        self._recorder.contradiction(event, concerns(task_report.task, report.machine))

    def _report_forgotten_attempt(self, report: Report, task_report: TaskReport) -> None:
        """Report a contradiction: the worker has an attempt that it was told to forget in this session."""
        self.forgotten_attempts_listed += 1
        attempt = task_report.task, task_report.attempt, report.machine
        start = self._last_start(*attempt)
        event = ForgottenAttemptListed(
            *attempt,
            report.session,
            report.sequence,
            report.token,
            self._forgotten_attempts[attempt].said.token,
            start and start.token,
            start and start.way,
        )
        self._recorder.contradiction(event, concerns(task_report.task, report.machine))

    def _last_start(self, task: TaskId, attempt: int, machine: str) -> StartSaid | None:
        """The last start of an attempt that the recorder still has."""

        def is_start(event: Event) -> bool:
            return isinstance(event, StartSaid) and (event.task, event.attempt, event.machine) == (
                task,
                attempt,
                machine,
            )

        starts = [event for _, event in self._recorder.events(is_start)]
        return starts[-1] if starts else None
