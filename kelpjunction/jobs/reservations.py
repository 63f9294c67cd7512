"""Room that the leader reserves for dispatched tasks until they are started, returned or cancelled.

The room of each task is chosen once, on the machine where its holder will most
likely start it.  An earlier version chose it again in each round, so the cost
of a round grew with all dispatched tasks instead of with what had changed.
"""

from collections import Counter
from collections.abc import Container, Iterable

from kelpjunction.fleet.cloud import Fleet
from kelpjunction.jobs.job_index import Job, JobIndex
from kelpjunction.jobs.views import ViewCache
from kelpjunction.placement import MachineSelection, place
from kelpjunction.wire.messages import JobSpec, TaskId


class Reservations:
    """The reserved tasks of each machine.

    Only `clear`, `release`, `release_unusable_machines` and `reserve` change them.
    """

    def __init__(self, job_index: JobIndex, fleet: Fleet, views: ViewCache) -> None:
        self._job_index = job_index
        self._fleet = fleet
        self._views = views
        self._machines_by_job: dict[str, dict[TaskId, str]] = {}  # by job: the machine of each task
        self._specs_by_machine: dict[str, dict[TaskId, JobSpec]] = {}  # by machine: the job of each task
        self._changes_seen: dict[str, int] = {}  # by job: its change count at the last `release`
        self._jobs_without_room: set[str] = set()  # jobs with a dispatched task without reserved room

    def reserved_on(self, machine: str) -> Iterable[JobSpec]:
        """The job specification of each task reserved on a machine."""
        return self._specs_by_machine.get(machine, {}).values()

    def machines(self) -> dict[TaskId, str]:
        """The machine of each reserved task."""
        return {task: machine for tasks in self._machines_by_job.values() for task, machine in tasks.items()}

    def clear(self) -> None:
        """Drop all reservations, at the start of a new term."""
        for ref in list(self._machines_by_job):
            self._release_job(ref)
        self._changes_seen.clear()
        self._jobs_without_room.clear()

    def release(self, waived: Container[str]) -> None:
        """Release room of tasks that are no longer dispatched, and of the jobs in `waived`.

        Jobs in `waived` get no reservations in this round.
        """
        dispatched = self._job_index.dispatched_jobs
        for ref in [r for r in self._changes_seen if r not in dispatched or r in waived]:
            self._release_job(ref)
        for ref in dispatched:
            if ref not in waived and self._changes_seen.get(ref) != self._job_index.jobs[ref].changes:
                self._update_job(self._job_index.jobs[ref])

    def _update_job(self, job: Job) -> None:
        """Release room of a job's tasks whose dispatch ended or moved, and note whether any task has no room."""
        ref = job.spec.ref
        self._changes_seen[ref] = job.changes
        zones = {task: target.zone for task, target in job.unstarted_dispatches()}
        reserved = self._machines_by_job.setdefault(ref, {})
        for task, machine in list(reserved.items()):
            if task not in zones or self._views.zone_of(machine) not in (None, zones[task]):
                self._release_task(ref, task, machine)
        if len(reserved) < len(zones):
            self._jobs_without_room.add(ref)

    def _release_job(self, ref: str) -> None:
        for task, machine in list(self._machines_by_job.get(ref, {}).items()):
            self._release_task(ref, task, machine)
        self._machines_by_job.pop(ref, None)
        self._changes_seen.pop(ref, None)
        self._jobs_without_room.discard(ref)

    def _release_task(self, ref: str, task: TaskId, machine: str) -> None:
        del self._machines_by_job[ref][task]
        del self._specs_by_machine[machine][task]
        if not self._specs_by_machine[machine]:
            del self._specs_by_machine[machine]
        self._views.invalidate(machine)

    def release_unusable_machines(self, views: MachineSelection) -> None:
        """Release room on machines that can no longer take work."""
        for machine in [m for m in self._specs_by_machine if views.get(m) is None]:
            for task in list(self._specs_by_machine[machine]):
                self._release_task(task.ref, task, machine)
                self._jobs_without_room.add(task.ref)

    def reserve(self, views: MachineSelection) -> None:
        """Choose room, as the holder would, for tasks without it; those that find none are tried again next time."""
        for ref in sorted(self._jobs_without_room):
            job = self._job_index.jobs[ref]
            reserved = self._machines_by_job.setdefault(ref, {})
            by_zone: dict[str, list[TaskId]] = {}
            for task, target in job.unstarted_dispatches():
                if task not in reserved:
                    by_zone.setdefault(target.zone, []).append(task)
            unplaced = 0
            for zone, tasks in by_zone.items():
                price_limit = self._fleet.price_limit(job)
                chosen = place(job.spec, len(tasks), views.within([zone]), Counter(), Counter(), price_limit)
                for task, view in zip(tasks, chosen, strict=False):
                    reserved[task] = view.name
                    self._specs_by_machine.setdefault(view.name, {})[task] = job.spec
                unplaced += len(tasks) - len(chosen)
            if not unplaced:
                self._jobs_without_room.discard(ref)
