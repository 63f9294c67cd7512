"""Room that the leader reserves for tasks it has handed over, until they are started, handed back or cancelled.

Each task's room is chosen once, where its holder will most likely start it.
A leader once chose it anew in each round, so that a round cost what was under
way and not what had changed.
"""

from collections import Counter
from collections.abc import Container, Iterable

from kelpjunction.fleet.cloud import Fleet
from kelpjunction.jobs.job_index import Job, JobIndex
from kelpjunction.jobs.views import ViewCache
from kelpjunction.placement import MachineSelection, place
from kelpjunction.wire.messages import JobSpec, TaskId


class Reservations:
    """What is reserved on which machine.  `release`, `lose_machines` and `reserve` make every change."""

    def __init__(self, job_index: JobIndex, fleet: Fleet, views: ViewCache) -> None:
        self._job_index = job_index
        self._fleet = fleet
        self._views = views
        self._of_job: dict[str, dict[TaskId, str]] = {}  # machines
        self._on: dict[str, dict[TaskId, JobSpec]] = {}  # by machine
        self._known: dict[str, int] = {}  # how often a job had changed when it was last looked at
        self._lacking: set[str] = set()  # jobs of which some task has no room yet

    def reserved_on(self, machine: str) -> Iterable[JobSpec]:
        """What is reserved on a machine: the job of each task."""
        return self._on.get(machine, {}).values()

    def machines(self) -> dict[TaskId, str]:
        """Every reserved task, and where."""
        return {task: machine for tasks in self._of_job.values() for task, machine in tasks.items()}

    def clear(self) -> None:
        """Reserve nothing: another leader has begun."""
        for ref in list(self._of_job):
            self._forget(ref)
        self._known.clear()
        self._lacking.clear()

    def release(self, waived: Container[str]) -> None:
        """Free what is not handed over any more, or is a job's for which nothing is to be reserved now."""
        handed = self._job_index.dispatched_jobs
        for ref in [r for r in self._known if r not in handed or r in waived]:
            self._forget(ref)
        for ref in handed:
            if ref not in waived and self._known.get(ref) != self._job_index.jobs[ref].changes:
                self._follow(self._job_index.jobs[ref])

    def _follow(self, job: Job) -> None:
        """Free what changed of a job, and note whether some of it has no room yet."""
        ref = job.spec.ref
        self._known[ref] = job.changes
        zones = {task: handed.zone for task, handed in job.unstarted_dispatches()}
        reserved = self._of_job.setdefault(ref, {})
        for task, machine in list(reserved.items()):
            if task not in zones or self._views.zone_of(machine) not in (None, zones[task]):
                self._free(ref, task, machine)
        if len(reserved) < len(zones):
            self._lacking.add(ref)

    def _forget(self, ref: str) -> None:
        for task, machine in list(self._of_job.get(ref, {}).items()):
            self._free(ref, task, machine)
        self._of_job.pop(ref, None)
        self._known.pop(ref, None)
        self._lacking.discard(ref)

    def _free(self, ref: str, task: TaskId, machine: str) -> None:
        del self._of_job[ref][task]
        del self._on[machine][task]
        if not self._on[machine]:
            del self._on[machine]
        self._views.invalidate(machine)

    def lose_machines(self, views: MachineSelection) -> None:
        """Free what is reserved on machines that can take no work any more."""
        for machine in [m for m in self._on if views.get(m) is None]:
            for task in list(self._on[machine]):
                self._free(task.ref, task, machine)
                self._lacking.add(task.ref)

    def reserve(self, views: MachineSelection) -> None:
        """Choose room for what has none yet, as its holder would; what finds none is tried again next time."""
        for ref in sorted(self._lacking):
            job = self._job_index.jobs[ref]
            reserved = self._of_job.setdefault(ref, {})
            by_zone: dict[str, list[TaskId]] = {}
            for task, handed in job.unstarted_dispatches():
                if task not in reserved:
                    by_zone.setdefault(handed.zone, []).append(task)
            left = 0
            for zone, tasks in by_zone.items():
                budget = self._fleet.price_limit(job)
                chosen = place(job.spec, len(tasks), views.within([zone]), Counter(), Counter(), budget)
                for task, view in zip(tasks, chosen, strict=False):
                    reserved[task] = view.name
                    self._on.setdefault(view.name, {})[task] = job.spec
                left += len(tasks) - len(chosen)
            if not left:
                self._lacking.discard(ref)
