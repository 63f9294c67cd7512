"""Service levels of a whole run: whether questions about jobs were answered, and when jobs began.

`lab.site` checks the rules of PROTOCOL while a run goes on. This module checks
its result: no accepted job may be forgotten; at least half of the jobs of each
class, of each team and of each class's largest jobs must have begun; and the
largest must begin within four minutes of the first attempt to submit them.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

MAX_UNANSWERED_TIME = timedelta(seconds=75)
LARGEST_JOBS_START_LIMIT = timedelta(minutes=4)
LARGEST_SHARE = 0.1  # of a class's jobs, by total request; jobs that tie with the smallest of these count too
MIN_STARTED_FRACTION = 0.5


@dataclass(slots=True)
class _JobHistory:
    """One job as its user saw it."""

    klass: str
    team: str
    size: float  # total request: accelerators if its tasks use any, else CPUs
    submitted_at: timedelta
    needed: int  # tasks that must have started for the job to count as begun; an array's need not overlap
    together: bool  # whether all tasks must be on machines at once
    accepted: bool = False
    cancelled: bool = False
    asked_at: timedelta | None = None  # time of the first question since the last answer
    started: set[int] = field(default_factory=set)
    begun_at: timedelta | None = None


class ServiceLevel(NamedTuple):
    """Accepted jobs, begun jobs and jobs that began late, of a class, a team or a class's largest jobs."""

    name: str
    jobs: int
    begun: int
    late: tuple[str, ...]

    @property
    def is_met(self) -> bool:
        return not self.late and self.begun >= self.jobs * MIN_STARTED_FRACTION


class ServiceLevelTracker:
    """Tracks the submissions, questions, answers and starts of a site."""

    def __init__(self) -> None:
        self._histories: dict[str, _JobHistory] = {}
        self._faults_ended_at: timedelta | None = None
        self.longest_unanswered = timedelta()  # time that a job went unanswered after all faults had ended
        self.unanswered_jobs: dict[str, timedelta] = {}  # by job: time without an answer

    def submitted(self, job: dict, limit: int, now: timedelta) -> None:
        """Record a first attempt to submit; `limit` is the number of its tasks that its team may run at once."""
        each = job.get("accelerators") or job["cpus"]
        needed = min(job["fronds"], limit) if job["shape"] == "batch" else job["fronds"]
        history = _JobHistory(job["stripe"], job["crew"], each * job["fronds"], now, needed, job["shape"] != "batch")
        self._histories.setdefault(job["ref"], history)

    def accepted(self, ref: str) -> None:
        self._histories[ref].accepted = True

    def cancelled(self, ref: str) -> None:
        """Record that the user was told of the cancellation; jobs of tickets are unknown here and skipped."""
        if history := self._histories.get(ref):
            history.cancelled = True

    def on_faults_ended(self, now: timedelta) -> None:
        """Count unanswered questions from now on, because the last fault has ended."""
        self._faults_ended_at = now
        for history in self._histories.values():
            history.asked_at = None

    def asked(self, ref: str, answered: bool, now: timedelta) -> None:
        """Record a question about a job, a repeated submission or a cancellation, and whether it was answered."""
        history = self._histories.get(ref)
        if history is None or self._faults_ended_at is None:
            return
        history.asked_at = now if history.asked_at is None else history.asked_at
        unanswered = now - history.asked_at
        if history.accepted:
            self.longest_unanswered = max(self.longest_unanswered, unanswered)
            if unanswered >= MAX_UNANSWERED_TIME:
                self.unanswered_jobs[ref] = unanswered
        if answered:
            history.asked_at = None

    def started(self, ref: str, index: int, at_once: int, now: timedelta) -> None:
        """Record a task's start; `at_once` tasks of its job are on machines now, including this one."""
        history = self._histories.get(ref)
        if history is None:
            return
        history.started.add(index)
        if history.begun_at is None and (at_once if history.together else len(history.started)) >= history.needed:
            history.begun_at = now

    def ended(self, ref: str, now: timedelta) -> None:
        """Record that a job is done, so it counts as begun."""
        history = self._histories.get(ref)
        if history is not None and history.begun_at is None:
            history.begun_at = now

    def service_levels(self, now: timedelta) -> list[ServiceLevel]:
        """Service levels by class, team and class's largest jobs, without jobs cancelled before they began."""
        histories = {
            ref: history
            for ref, history in self._histories.items()
            if history.accepted and not (history.cancelled and history.begun_at is None)
        }
        groups: dict[str, list[str]] = defaultdict(list)
        by_class: dict[str, list[str]] = defaultdict(list)
        for ref, history in histories.items():
            groups[history.klass].append(ref)
            groups[f"team {history.team}"].append(ref)
            by_class[history.klass].append(ref)
        largest: dict[str, list[str]] = {}
        for klass, refs in by_class.items():
            sizes = sorted((histories[r].size for r in refs), reverse=True)
            min_size = sizes[int(len(sizes) * LARGEST_SHARE)]
            largest[f"largest of {klass}"] = [r for r in refs if histories[r].size >= min_size]
        rows = []
        for name, refs in (groups | largest).items():
            begun = [r for r in refs if histories[r].begun_at is not None]
            late = tuple(r for r in refs if self._began_late(histories[r], now)) if name in largest else ()
            rows.append(ServiceLevel(name, len(refs), len(begun), late))
        return rows

    def _began_late(self, history: _JobHistory, now: timedelta) -> bool:
        began = now if history.begun_at is None else history.begun_at
        return began - history.submitted_at > LARGEST_JOBS_START_LIMIT
