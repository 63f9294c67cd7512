"""Who is next: the order of weighted deficit, and the teams' guarantees and limits.

Pure: values in, decisions out; no clock and no I/O.  A job's deficit is the
service it should have had (its weight for each second since it came, plus a
credit on arrival) less the machine time it received.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import NamedTuple

from kelpjunction.settings import Team
from kelpjunction.wire.messages import JobSpec, Shape

SLACK = 1e-6
# The largest jobs are to begin within four minutes (PROTOCOL's users): half of that is left to the plain order,
# the rest to what their room takes to come free or to boot.  After a minute already, others lost deadlines for it.
LARGE_JOB_ESCALATION_DELAY = timedelta(seconds=120)


class PendingJob(NamedTuple):
    """A job with tasks that wait, as the order sees it."""

    ref: str
    weight: float
    submitted: datetime
    machine_time: timedelta
    is_service: bool = False  # nothing is put ahead of it: a service
    escalated: bool = False  # a large job that has waited long, and has not begun whole


class JobDemand(NamedTuple):
    """An unfinished job, and what all its unfinished tasks would hold at once."""

    ref: str
    cpus: float
    gpus: float


def weight_factors(
    waiting: Mapping[str, Collection[str]],
    claims: Mapping[str, Iterable[JobDemand]],
    teams: dict[str, Team],
    factor: Callable[[str], float] = lambda team: 1.0,
) -> dict[str, float]:
    """What part of its weight each waiting job keeps.

    All of it while the job fits its team's guarantee together with the team's
    earlier unfinished jobs.  Beyond that a team's waiting jobs share one
    weight, so that a swarm of them can't outrun everybody else; `factor` says
    what of that weight a team keeps for what it has used before.  `claims` has
    each team's unfinished jobs, the earliest first; they are read only as far
    as the guarantee reaches.
    """
    kept: dict[str, float] = {}
    for name, refs in waiting.items():
        team = teams.get(name)
        if team is None:
            continue
        inside = _inside(team, claims[name])
        beyond = [ref for ref in refs if ref not in inside]
        kept.update(dict.fromkeys(refs, 1.0))
        kept.update(dict.fromkeys(beyond, factor(name) / max(1, len(beyond))))
    return kept


def _inside(team: Team, claims: Iterable[JobDemand]) -> set[str]:
    """The jobs that fit the team's guarantee together with all before them."""
    inside: set[str] = set()
    if team.without_guarantee:
        return inside  # who is guaranteed nothing is always beyond
    cpus = gpus = 0.0
    for claim in claims:
        cpus += claim.cpus
        gpus += claim.gpus
        # A guarantee of 0 is none, and none is not exceeded.
        if (team.cpus and cpus > team.cpus + SLACK) or (team.gpus and gpus > team.gpus + SLACK):
            break  # claims only add up
        inside.add(claim.ref)
    return inside


class PreemptionPolicy:
    """Who may stop whom, and who only uses what others leave.

    Services may stop arrays and whole gangs that save.  Beyond the source,
    arrays may too, though only what nobody waits for: a guest's tasks, or
    those of a class that no objective names.  Whatever the shape, only work
    of lower priority is stopped.
    """

    def __init__(self, teams: dict[str, Team], classes_with_objectives: frozenset[str]) -> None:
        self._teams = teams
        self._classes_with_objectives = classes_with_objectives

    def without_guarantee(self, spec: JobSpec) -> bool:
        """Whether the job's team is guaranteed nothing."""
        team = self._teams.get(spec.team)
        return team is not None and team.without_guarantee

    def has_objective(self, spec: JobSpec) -> bool:
        """Whether an objective names the job's class; without objectives every class counts."""
        return not self._classes_with_objectives or spec.klass in self._classes_with_objectives

    def is_opportunistic(self, spec: JobSpec) -> bool:
        """Whether the job is array work that takes what others leave, and gives it back."""
        return spec.shape is Shape.ARRAY and (self.without_guarantee(spec) or not self.has_objective(spec))

    def may_preempt(self, spec: JobSpec, victim: JobSpec) -> bool:
        if victim.priority >= spec.priority or spec.shape is Shape.GANG:
            return False
        if spec.shape is Shape.SERVICE:
            return victim.shape is Shape.ARRAY or (victim.shape is Shape.GANG and bool(victim.checkpoint))
        return self.is_opportunistic(victim) and not self.is_opportunistic(spec)


def deficit(job: PendingJob, now: datetime, credit: timedelta) -> float:
    """What the job is owed, in weighted seconds."""
    waited = now - job.submitted + credit
    return job.weight * waited.total_seconds() - job.machine_time.total_seconds()


def in_order(jobs: Iterable[PendingJob], now: datetime, credit: timedelta) -> list[str]:
    """Jobs by deficit, the largest first; the older, then the smaller id, where it is equal.

    Pressing jobs come, the oldest first, right behind the services that top
    the order.  So the room that comes free goes to the oldest of them until it
    has begun, and one waits no longer than until it presses, and then for
    those that pressed before it and for its own room.
    """
    jobs = sorted(jobs, key=lambda j: (-deficit(j, now, credit), j.submitted, j.ref))
    plain = [j for j in jobs if not j.escalated]
    top = next((i for i, j in enumerate(plain) if not j.is_service), len(plain))
    pressing = sorted((j for j in jobs if j.escalated), key=lambda j: (j.submitted, j.ref))
    return [j.ref for j in (*plain[:top], *pressing, *plain[top:])]


class LargeJobs:
    """Which jobs are large for their class, by the largest of it that was seen lately."""

    def __init__(self, teams: dict[str, Team]) -> None:
        self._teams = teams
        self._largest: dict[str, float] = {}

    def note(self, specs: Iterable[JobSpec]) -> None:
        """See these jobs."""
        for spec in specs:
            self._largest[spec.klass] = max(self._largest.get(spec.klass, 0.0), total_demand(spec))

    def is_large(self, spec: JobSpec) -> bool:
        """Whether the job asks for more than half of what the largest of its class does."""
        return 2 * total_demand(spec) > self._largest.get(spec.klass, 0.0)

    def is_escalated(self, spec: JobSpec, started: int, waited: timedelta) -> bool:
        """Whether it has waited long, is large, and runs fewer tasks than its team may run of it at once.

        A guest only uses what others leave, and nothing is put ahead of anybody for it.
        """
        team = self._teams.get(spec.team)
        if team is None or team.without_guarantee or spec.shape is Shape.SERVICE or waited < LARGE_JOB_ESCALATION_DELAY:
            return False
        whole = spec.tasks
        if spec.shape is Shape.ARRAY:
            whole = Usage(self._teams).startable_tasks(spec.team, spec.cpus, spec.gpus, spec.tasks)
        return started < whole and self.is_large(spec)


def total_demand(spec: JobSpec) -> float:
    """What a job asks for in all: accelerators where its tasks take any, else CPUs."""
    return (spec.gpus or spec.cpus) * spec.tasks


@dataclass(slots=True)
class Usage:
    """What each team's tasks hold, placements that are not settled included."""

    teams: dict[str, Team]
    cpus: dict[str, float] = field(default_factory=dict)
    gpus: dict[str, float] = field(default_factory=dict)

    def add(self, team: str, cpus: float, gpus: float, count: int = 1) -> None:
        self.cpus[team] = self.cpus.get(team, 0.0) + cpus * count
        self.gpus[team] = self.gpus.get(team, 0.0) + gpus * count

    def excluding_jobs(self, kept: Iterable[JobSpec]) -> "Usage":
        """This, less what was added for these jobs as a whole."""
        left = Usage(self.teams, dict(self.cpus), dict(self.gpus))
        for spec in kept:
            left.add(spec.team, spec.cpus, spec.gpus, -spec.tasks)
        return left

    def startable_tasks(self, team: str, cpus: float, gpus: float, most: int) -> int:
        """How many such tasks the team may still start, at most `most`."""
        limits = self.teams.get(team)
        if limits is None:
            return 0
        for each, limit, used in (
            (cpus, limits.cpus_max, self.cpus.get(team, 0.0)),
            (gpus, limits.gpus_max, self.gpus.get(team, 0.0)),
        ):
            if limit is not None and each > 0:
                most = min(most, int((limit - used + SLACK) / each))
        return max(0, most)


def over_limit(team: Team, cpus: float, gpus: float, count: int) -> bool:
    """Whether so many tasks at once could never run within the team's limit."""
    return (team.cpus_max is not None and cpus * count > team.cpus_max + SLACK) or (
        team.gpus_max is not None and gpus * count > team.gpus_max + SLACK
    )
