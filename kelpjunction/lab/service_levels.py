"""Who was served: what was asked about each job and answered, and when it began.

PROTOCOL's rules are checked as things happen (`lab.site`); these judge a whole
run: no accepted job may be forgotten, at least half of each class, of each
team and of each class's largest jobs must be served, and the largest begin
within four minutes of the first attempt to submit them.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

MAX_UNANSWERED_TIME = timedelta(seconds=75)
LARGEST_JOBS_START_LIMIT = timedelta(minutes=4)
LARGEST_SHARE = 0.1  # the cut: this part of a class's jobs, by what they ask for in all, and all that ask as much
MIN_STARTED_FRACTION = 0.5


@dataclass(slots=True)
class _JobHistory:
    """One job, as its user saw it."""

    klass: str
    team: str
    size: float  # what it asks for in all: accelerators where its tasks take any, else CPUs
    submitted_at: timedelta
    needed: int  # tasks that must have started for it to count as begun: of an array, one after the other
    together: bool  # or all of them at once
    accepted: bool = False
    cancelled: bool = False
    asked_at: timedelta | None = None  # the first question since the last answer
    started: set[int] = field(default_factory=set)
    begun_at: timedelta | None = None


class ServiceLevel(NamedTuple):
    """A class, a team, or a class's largest jobs: how many were accepted, how many began, and who began late."""

    name: str
    jobs: int
    begun: int
    late: tuple[str, ...]

    @property
    def is_met(self) -> bool:
        return not self.late and self.begun >= self.jobs * MIN_STARTED_FRACTION


class ServiceLevelTracker:
    """Told by a site of each submission, question, answer and start."""

    def __init__(self) -> None:
        self._lives: dict[str, _JobHistory] = {}
        self._troubles_over: timedelta | None = None
        self.longest_unanswered = timedelta()  # that a job went unanswered once all troubles were over
        self.unanswered_jobs: dict[str, timedelta] = {}  # jobs, and for how long nothing about them was answered

    def submitted(self, job: dict, limit: int, now: timedelta) -> None:
        """A first attempt to submit; `limit` is how many of its tasks its team may run at once."""
        each = job.get("accelerators") or job["cpus"]
        needed = min(job["fronds"], limit) if job["shape"] == "batch" else job["fronds"]
        life = _JobHistory(job["stripe"], job["crew"], each * job["fronds"], now, needed, job["shape"] != "batch")
        self._lives.setdefault(job["ref"], life)

    def accepted(self, ref: str) -> None:
        self._lives[ref].accepted = True

    def cancelled(self, ref: str) -> None:
        """Its user was told so; a ticket's jobs are submitted by nobody here."""
        if life := self._lives.get(ref):
            life.cancelled = True

    def on_faults_ended(self, now: timedelta) -> None:
        """The last trouble has ended: from now on every question counts."""
        self._troubles_over = now
        for life in self._lives.values():
            life.asked_at = None

    def asked(self, ref: str, answered: bool, now: timedelta) -> None:
        """A question about a job, a repeated submission or a cancellation, and whether it was answered."""
        life = self._lives.get(ref)
        if life is None or self._troubles_over is None:
            return
        life.asked_at = now if life.asked_at is None else life.asked_at
        unanswered = now - life.asked_at
        if life.accepted:
            self.longest_unanswered = max(self.longest_unanswered, unanswered)
            if unanswered >= MAX_UNANSWERED_TIME:
                self.unanswered_jobs[ref] = unanswered
        if answered:
            life.asked_at = None

    def started(self, ref: str, index: int, at_once: int, now: timedelta) -> None:
        """A task starts; `at_once` tasks of its job are on machines now, this one included."""
        life = self._lives.get(ref)
        if life is None:
            return
        life.started.add(index)
        if life.begun_at is None and (at_once if life.together else len(life.started)) >= life.needed:
            life.begun_at = now

    def ended(self, ref: str, now: timedelta) -> None:
        """All is done, so it has begun."""
        life = self._lives.get(ref)
        if life is not None and life.begun_at is None:
            life.begun_at = now

    def service_levels(self, now: timedelta) -> list[ServiceLevel]:
        """By class, team and class's largest jobs; jobs cancelled before they began are left out."""
        lives = {
            ref: life
            for ref, life in self._lives.items()
            if life.accepted and not (life.cancelled and life.begun_at is None)
        }
        groups: dict[str, list[str]] = defaultdict(list)
        by_class: dict[str, list[str]] = defaultdict(list)
        for ref, life in lives.items():
            groups[life.klass].append(ref)
            groups[f"team {life.team}"].append(ref)
            by_class[life.klass].append(ref)
        largest: dict[str, list[str]] = {}
        for klass, refs in by_class.items():
            sizes = sorted((lives[r].size for r in refs), reverse=True)
            least = sizes[int(len(sizes) * LARGEST_SHARE)]
            largest[f"largest of {klass}"] = [r for r in refs if lives[r].size >= least]
        rows = []
        for name, refs in (groups | largest).items():
            begun = [r for r in refs if lives[r].begun_at is not None]
            late = tuple(r for r in refs if self._late(lives[r], now)) if name in largest else ()
            rows.append(ServiceLevel(name, len(refs), len(begun), late))
        return rows

    def _late(self, life: _JobHistory, now: timedelta) -> bool:
        began = now if life.begun_at is None else life.begun_at
        return began - life.submitted_at > LARGEST_JOBS_START_LIMIT
