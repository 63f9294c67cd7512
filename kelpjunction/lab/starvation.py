"""Jobs left waiting though they could run: none may for 90 s once all troubles are over.

PROTOCOL's operators add to its rules: no job waits for 90 s while a machine that fits it has room
and its team is under its limit.  Judged from outside, by what stands on the machines.
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
    """Looked at about once a second by a site; judges nothing before the troubles are over."""

    def __init__(self) -> None:
        self._since: dict[str, tuple[timedelta, int]] = {}  # and how many starts the job had had by then
        self.enabled = False
        self.starved_jobs: dict[str, timedelta] = {}  # jobs, and for how long at the most they waited beside room

    def observe(self, site: "Site") -> None:
        """Note who could start now, and for how long that has been so without a break or a start."""
        if not self.enabled:
            return
        now = site.clock.now
        starts = Counter(frond.partition("/")[0] for frond in site.starts)
        before, self._since = self._since, {}
        for ref in self._able(site):
            since, seen = before.get(ref, (now, starts[ref]))
            self._since[ref] = (since, seen) if seen == starts[ref] else (now, starts[ref])
        for ref, (since, _) in self._since.items():
            if now - since >= STARVATION_LIMIT:
                self.starved_jobs[ref] = now - since

    def _able(self, site: "Site") -> Iterator[str]:
        """Jobs of which a task, or the whole gang, waits while there is room for it."""
        placed = [(frond.partition("/")[0], worker) for frond, worker in site._live()]
        free = {
            worker.name: [site.cloud.cpus, site.cloud.memory_gb, worker]
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
        there = Counter(ref for ref, _ in placed)
        done = Counter(frond.partition("/")[0] for frond in site.finished)
        limits = {t.name: t.cpus_max for t in site.teams}
        for ref, told in site.last_told_state.items():
            job = site.jobs[ref]
            if told != "accepted" or ref in site.asked_to_cancel:
                continue
            gang = job["shape"] == "ensemble"
            waiting = job["fronds"] - done[ref] - there[ref]
            at_once = job["fronds"] if gang else 1
            limit = limits[job["crew"]]
            if waiting <= 0 or (gang and (there[ref] or done[ref])):
                continue
            if limit is not None and used[job["crew"]] + at_once * job["cpus"] > limit + 1e-6:
                continue
            if self._slots(job, free.values(), zones.get(ref, Counter())) >= at_once:
                yield ref

    def _slots(self, job: dict, free, mates: Counter[str]) -> int:
        """How many tasks of the job find room now, in one zone where it must be one."""
        most = -(-job["fronds"] // 2) if job.get("apart") else job["fronds"]
        slots: Counter[str] = Counter()
        for cpus, memory, worker in free:
            if self._allowed(job, worker) and (not job.get("together") or not mates or worker.zone in mates):
                slots[worker.zone] += int(min(cpus / job["cpus"], memory / job["ram_gb"]) + 1e-6)
        by_zone = [min(n, max(0, most - mates[zone])) for zone, n in slots.items()]
        return max(by_zone, default=0) if job.get("together") else sum(by_zone)

    def _allowed(self, job: dict, worker: "WorkerStandIn") -> bool:
        return job.get("bay") in (None, worker.zone) and (job.get("driftwood", False) or not worker.spot)
