"""What a holder has decided of its workers and placements: counted for the metrics, kept for the recorder."""

from collections import Counter, OrderedDict

from kelpjunction.jobs.job_index import JobIndex, Placement
from kelpjunction.recorder import Recorder
from kelpjunction.wire.messages import ExitCause, Report, TaskId, TaskReport
from kelpjunction.workers.answers import Refusal
from kelpjunction.workers.events import (
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

MAX_SETTLED_ATTEMPTS = 1024  # attempts that were settled here


class DecisionLog:
    """Counts and keeps what `WorkerRegistry` decides, and notices what can't be."""

    def __init__(self, recorder: Recorder, job_index: JobIndex) -> None:
        self._recorder = recorder
        self._job_index = job_index
        self.causes: Counter[ExitCause] = Counter()  # of settled placements
        self.grounds: Counter[Ground] = Counter()
        self.ways: Counter[Way] = Counter()  # in which starts were said
        self.refusals: Counter[Refusal] = Counter()  # of reports that got no 200
        # Attempts that were settled here lately, and their blocks: none of them can be on its machine again.
        self._settled_attempts: OrderedDict[tuple[TaskId, int, str], str] = OrderedDict()

    def clear(self, zone: str) -> None:
        """The block came or went: what was settled of it and not written may be started again."""
        for attempt in [a for a, its_zone in self._settled_attempts.items() if its_zone == zone]:
            del self._settled_attempts[attempt]

    def refused(self, report: Report, believed: int, refusal: Refusal) -> None:
        """A report got no 200; `believed` is its worker's session as known, 0 if it is not."""
        self.refusals[refusal] += 1
        self._recorder.record(ReportRefused(report.machine, report.session, report.sequence, believed, refusal))

    def believed(self, report: Report, before: int, evidence: Evidence, uncertain_token: int) -> None:
        """A worker's session is another than was believed `before` (0: it was not known)."""
        event = SessionChanged if before else SessionBelieved
        self._recorder.record(
            event(report.machine, before, report.session, report.sequence, evidence, report.token, uncertain_token)
        )

    def started(self, placement: Placement, token: int, way: Way, sequence: int) -> None:
        """A start was said under a token; `sequence` is as `StartSaid` has it."""
        self.ways[way] += 1
        attempt = placement.task, placement.attempt, placement.machine, placement.session
        self._recorder.record(StartSaid(*attempt, token, self._job_index.record_version(placement.task), way, sequence))

    def stopped(self, placement: Placement) -> None:
        """A placement is to be stopped, for its `reason` and with its `grace`."""
        attempt = placement.task, placement.attempt, placement.machine
        self._recorder.record(StopDecided(*attempt, placement.grace.total_seconds(), placement.reason))

    def settled(self, placement: Placement, ground: Ground, newest: MessageNumber) -> None:
        """A placement is off its machine; `newest` is the newest message known of its worker."""
        self.causes[placement.cause] += 1
        self.grounds[ground] += 1
        self._settled_attempts[placement.task, placement.attempt, placement.machine] = placement.zone
        if len(self._settled_attempts) > MAX_SETTLED_ATTEMPTS:
            self._settled_attempts.popitem(last=False)
        event = Settled if placement.cause in (ExitCause.DONE, ExitCause.STOPPED) else SettledAbnormally
        attempt = placement.task, placement.attempt, placement.machine, placement.session
        self._recorder.record(event(*attempt, placement.cause, ground, *newest))

    def check_possible(self, report: Report, task_report: TaskReport) -> None:
        """Write out what led to it if a worker proves that it has what is surely off it, or what is elsewhere too."""
        elsewhere = self._job_index.placement(task_report.task)
        if (task_report.task, task_report.attempt, report.machine) in self._settled_attempts:
            finding = "it was settled before"
        elif (
            elsewhere is not None
            and elsewhere.attempt > task_report.attempt
            and elsewhere.was_reported
            and elsewhere.is_active
        ):
            finding = f"attempt {elsewhere.attempt} is on {elsewhere.machine}"
        else:
            return  # settled by another, or a later attempt: of a record that this node has not read yet
        event = Impossible(task_report.task, task_report.attempt, report.machine, report.session, finding)
        self._recorder.contradiction(event, concerns(task_report.task, report.machine))
