"""Finds starved jobs: jobs that wait for 90 s although they could run, after all faults have ended.

The rule is an addition of the operators to those of PROTOCOL: no job waits for 90 s while a suitable machine
has room and its team is below its limit.  The check uses only the tasks on machines, not the state of the nodes.
"""

from collections import Counter
from collections.abc import Iterator
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from kelpjunction.lab.site import Site
    from kelpjunction.lab.worker import WorkerStandIn

STARVATION_LIMIT = timedelta(seconds=90)


class StarvationCheck:
    """Called by a site about once a second; checks nothing until `enabled` is set when all faults have ended."""

    def __init__(self) -> None:
        # By job: since when it could start, and its number of starts at that time.
        self._startable_since: dict[str, tuple[timedelta, int]] = {}
        self.enabled = False
        self.starved_jobs: dict[str, timedelta] = {}  # by job: how long it has waited although there was room

    def observe(self, site: "Site") -> None:
        """Update for how long each job could have started without interruption and without a start."""
        if not self.enabled:
            return
        now = site.clock.now
        starts = Counter(task_id.partition("/")[0] for task_id in site.starts)
        before, self._startable_since = self._startable_since, {}
        for ref in self._startable_jobs(site):
            since, starts_before = before.get(ref, (now, starts[ref]))
            self._startable_since[ref] = (since, starts_before) if starts_before == starts[ref] else (now, starts[ref])
        for ref, (since, _) in self._startable_since.items():
            if now - since >= STARVATION_LIMIT:
                self.starved_jobs[ref] = now - since

    def _startable_jobs(self, site: "Site") -> Iterator[str]:
        """Jobs with a waiting task, or a waiting gang, for which there is room."""
        placed = [(task_id.partition("/")[0], worker) for task_id, worker in site._live_tasks()]
        free = {
            worker.name: [*site.cloud.size_of(worker.machine_type)[:2], worker]
            for worker, _ in site.cloud.machines.values()
            if worker.up
            and not (
                worker.partitioned
                or worker.fails_all_tasks
                or worker.message_loss
                or worker.hang_period
                or worker.notice_at
            )
        }
        used: Counter[str] = Counter()
        zones: dict[str, Counter[str]] = {}
        for ref, worker in placed:
            job = site.job(ref)
            used[job["crew"]] += job["cpus"]
            zones.setdefault(ref, Counter())[worker.zone] += 1
            if worker.name in free:
                free[worker.name][0] -= job["cpus"]
                free[worker.name][1] -= job["ram_gb"]
        placed_count = Counter(ref for ref, _ in placed)
        done = Counter(task_id.partition("/")[0] for task_id in site.finished)
        limits = {t.name: t.cpus_max for t in site.teams}
        for ref, told_state in site.last_told_state.items():
            job = site.jobs[ref]
            if told_state != "accepted" or ref in site.asked_to_cancel:
                continue
            gang = job["shape"] == "ensemble"
            waiting = job["fronds"] - done[ref] - placed_count[ref]
            at_once = job["fronds"] if gang else 1
            limit = limits[job["crew"]]
            if waiting <= 0 or (gang and (placed_count[ref] or done[ref])):
                continue
            if limit is not None and used[job["crew"]] + at_once * job["cpus"] > limit + 1e-6:
                continue
            if self._slots(job, free.values(), zones.get(ref, Counter())) >= at_once:
                yield ref

    def _slots(self, job: dict, free, placed_by_zone: Counter[str]) -> int:
        """The number of the job's tasks that fit now, within one zone if it needs a single zone."""
        max_per_zone = -(-job["fronds"] // 2) if job.get("apart") else job["fronds"]
        slots: Counter[str] = Counter()
        for cpus, memory, worker in free:
            if self._allowed(job, worker) and (
                not job.get("together") or not placed_by_zone or worker.zone in placed_by_zone
            ):
                slots[worker.zone] += int(min(cpus / job["cpus"], memory / job["ram_gb"]) + 1e-6)
        by_zone = [min(n, max(0, max_per_zone - placed_by_zone[zone])) for zone, n in slots.items()]
        return max(by_zone, default=0) if job.get("together") else sum(by_zone)

    def _allowed(self, job: dict, worker: "WorkerStandIn") -> bool:
        return (
            job.get("bay") in (None, worker.zone)
            and (job.get("driftwood", False) or not worker.spot)
            and (job.get("hulls") is None or worker.machine_type in job["hulls"])
        )
