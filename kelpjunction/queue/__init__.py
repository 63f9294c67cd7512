"""The order of waiting jobs by weighted deficit, and the teams' guarantees, limits and preemption rules.

The functions are pure: they use no clock and do no I/O.  A job's deficit is
the service it should have received minus the machine time it received.  That
service is its weight times the sum of the seconds since its submission and an
arrival credit.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import NamedTuple

from kelpjunction.settings import Team
from kelpjunction.wire.messages import JobSpec, Shape

SLACK = 1e-6  # tolerance when sums of floating-point resources are compared
# The largest jobs must start within four minutes (PROTOCOL, users).  Half of that is left to the normal order and
# half to the time until their room is free or booted.  With a delay of one minute, other jobs missed deadlines.
LARGE_JOB_ESCALATION_DELAY = timedelta(seconds=120)


class PendingJob(NamedTuple):
    """A job with waiting tasks, with the properties that decide its place in the order."""

    ref: str
    weight: float
    submitted: datetime
    machine_time: timedelta
    is_service: bool = False  # escalated jobs are not moved ahead of services at the head of the order
    escalated: bool = False  # a large job that has waited long and is not fully started


class JobDemand(NamedTuple):
    """The resources that all unfinished tasks of a job would hold at once."""

    ref: str
    cpus: float
    gpus: float


def weight_factors(
    waiting: Mapping[str, Collection[str]],
    demands: Mapping[str, Iterable[JobDemand]],
    teams: dict[str, Team],
    shared_weight_factor: Callable[[str], float] = lambda team: 1.0,
) -> dict[str, float]:
    """The fraction of its weight that each waiting job keeps, by job ref.

    A job keeps all of it if it fits its team's guarantee together with the
    team's earlier unfinished jobs.  The team's other waiting jobs share one
    weight, so that a large number of them can't crowd out other teams.
    `shared_weight_factor` gives the fraction of this shared weight that a team keeps, based
    on its past usage.  `demands` has each team's unfinished jobs, earliest
    first, and is read only until the guarantee is exceeded.
    """
    kept: dict[str, float] = {}
    for name, refs in waiting.items():
        team = teams.get(name)
        if team is None:
            continue
        within = _jobs_within_guarantee(team, demands[name])
        exceeding = [ref for ref in refs if ref not in within]
        kept.update(dict.fromkeys(refs, 1.0))
        kept.update(dict.fromkeys(exceeding, shared_weight_factor(name) / max(1, len(exceeding))))
    return kept


def _jobs_within_guarantee(team: Team, demands: Iterable[JobDemand]) -> set[str]:
    """The jobs that fit the team's guarantee together with all jobs before them."""
    within: set[str] = set()
    if team.without_guarantee:
        return within  # every job of a team without a guarantee exceeds it
    cpus = gpus = 0.0
    for demand in demands:
        cpus += demand.cpus
        gpus += demand.gpus
        # A guarantee of 0 for one resource means none for it, so it is never exceeded.
        if (team.cpus and cpus > team.cpus + SLACK) or (team.gpus and gpus > team.gpus + SLACK):
            break  # the sums only grow, so later jobs exceed the guarantee as well
        within.add(demand.ref)
    return within


class PreemptionPolicy:
    """Decides which work may preempt which, and which work is opportunistic.

    Only work of lower priority is preempted.  Services may preempt arrays, and
    whole gangs that save checkpoints.  In addition to the original rules,
    arrays may preempt opportunistic arrays: those of a team without a
    guarantee, or of a class that no objective names.
    """

    def __init__(self, teams: dict[str, Team], classes_with_objectives: frozenset[str]) -> None:
        self._teams = teams
        self._classes_with_objectives = classes_with_objectives

    def without_guarantee(self, spec: JobSpec) -> bool:
        """Whether the job's team has no guarantee."""
        team = self._teams.get(spec.team)
        return team is not None and team.without_guarantee

    def has_objective(self, spec: JobSpec) -> bool:
        """Whether an objective names the job's class; True for every class if there are no objectives."""
        return not self._classes_with_objectives or spec.klass in self._classes_with_objectives

    def is_opportunistic(self, spec: JobSpec) -> bool:
        """Whether the job is an array that only uses capacity left by others and can be preempted for them."""
        return spec.shape is Shape.ARRAY and (self.without_guarantee(spec) or not self.has_objective(spec))

    def may_preempt(self, spec: JobSpec, victim: JobSpec) -> bool:
        if victim.priority >= spec.priority or spec.shape is Shape.GANG:
            return False
        if spec.shape is Shape.SERVICE:
            return victim.shape is Shape.ARRAY or (victim.shape is Shape.GANG and bool(victim.checkpoint))
        return self.is_opportunistic(victim) and not self.is_opportunistic(spec)


def deficit(job: PendingJob, now: datetime, credit: timedelta) -> float:
    """The job's deficit in weighted seconds; `credit` is the arrival credit."""
    waited = now - job.submitted + credit
    return job.weight * waited.total_seconds() - job.machine_time.total_seconds()


def in_order(jobs: Iterable[PendingJob], now: datetime, credit: timedelta) -> list[str]:
    """The refs of jobs by deficit, largest first; ties go to the older job, then to the smaller ref.

    Escalated jobs, oldest first, come right behind the services at the head of
    the order.  Room that becomes free therefore goes to the oldest escalated
    job until it has started.  So a large job waits at most until its
    escalation, then for the jobs escalated before it and for its own room.
    """
    jobs = sorted(jobs, key=lambda j: (-deficit(j, now, credit), j.submitted, j.ref))
    normal = [j for j in jobs if not j.escalated]
    first_non_service = next((i for i, j in enumerate(normal) if not j.is_service), len(normal))
    escalated_jobs = sorted((j for j in jobs if j.escalated), key=lambda j: (j.submitted, j.ref))
    return [j.ref for j in (*normal[:first_non_service], *escalated_jobs, *normal[first_non_service:])]


class LargeJobs:
    """Decides which jobs are large, compared with the largest recent job of their class."""

    def __init__(self, teams: dict[str, Team]) -> None:
        self._teams = teams
        self._largest: dict[str, float] = {}

    def record(self, specs: Iterable[JobSpec]) -> None:
        """Take these jobs into account for the largest demand of each class."""
        for spec in specs:
            self._largest[spec.klass] = max(self._largest.get(spec.klass, 0.0), total_demand(spec))

    def is_large(self, spec: JobSpec) -> bool:
        """Whether the job's total demand exceeds half of the largest of its class."""
        return 2 * total_demand(spec) > self._largest.get(spec.klass, 0.0)

    def is_escalated(self, spec: JobSpec, started: int, waited: timedelta) -> bool:
        """Whether a large job has waited long and runs fewer tasks than its team may run of it at once.

        Jobs of teams without a guarantee are never escalated, because they
        only use capacity left by others.
        """
        team = self._teams.get(spec.team)
        if team is None or team.without_guarantee or spec.shape is Shape.SERVICE or waited < LARGE_JOB_ESCALATION_DELAY:
            return False
        startable = spec.tasks
        if spec.shape is Shape.ARRAY:
            startable = Usage(self._teams).startable_tasks(spec.team, spec.cpus, spec.gpus, spec.tasks)
        return started < startable and self.is_large(spec)


def total_demand(spec: JobSpec) -> float:
    """The total demand of a job: accelerators if its tasks need any, else CPUs."""
    return (spec.gpus or spec.cpus) * spec.tasks


@dataclass(slots=True)
class Usage:
    """The CPUs and accelerators that each team's tasks hold, including placements that are not settled."""

    teams: dict[str, Team]
    cpus: dict[str, float] = field(default_factory=dict)
    gpus: dict[str, float] = field(default_factory=dict)

    def add(self, team: str, cpus: float, gpus: float, count: int = 1) -> None:
        self.cpus[team] = self.cpus.get(team, 0.0) + cpus * count
        self.gpus[team] = self.gpus.get(team, 0.0) + gpus * count

    def excluding_jobs(self, kept: Iterable[JobSpec]) -> "Usage":
        """This usage minus all tasks of the given jobs."""
        left = Usage(self.teams, dict(self.cpus), dict(self.gpus))
        for spec in kept:
            left.add(spec.team, spec.cpus, spec.gpus, -spec.tasks)
        return left

    def startable_tasks(self, team: str, cpus: float, gpus: float, max_tasks: int) -> int:
        """How many more tasks of this size the team may start within its limits, at most `max_tasks`."""
        limits = self.teams.get(team)
        if limits is None:
            return 0
        for per_task, limit, used in (
            (cpus, limits.cpus_max, self.cpus.get(team, 0.0)),
            (gpus, limits.gpus_max, self.gpus.get(team, 0.0)),
        ):
            if limit is not None and per_task > 0:
                max_tasks = min(max_tasks, int((limit - used + SLACK) / per_task))
        return max(0, max_tasks)


def exceeds_limit(team: Team, cpus: float, gpus: float, count: int) -> bool:
    """Whether `count` tasks at once exceed the team's limit even if nothing else of the team runs."""
    return (team.cpus_max is not None and cpus * count > team.cpus_max + SLACK) or (
        team.gpus_max is not None and gpus * count > team.gpus_max + SLACK
    )
