"""Placement of a job that failed on some machines: these are its second choice, and only for a limited time.

A machine on which a task of the job failed may be sound again, and it may be the only one that can run the job.  So
the job is placed on other machines first.  Those on which it failed are excluded only until its next retry is due
(`FailureAttribution.retry_due`), whatever other machines there are: they may be full, or unable to run the job.
Source: the operators' rule that no job waits for 90 s while a fitting machine has room.
"""

from collections import Counter

from kelpjunction.jobs.failure_attribution import FailureAttribution
from kelpjunction.jobs.job_index import Job
from kelpjunction.placement import NO_PRICE_LIMIT, MachineSelection, MachineView, PriceLimit, place, place_gang


class FailureAvoidance:
    """Places jobs on machines where they have not failed, or else on all machines once their retry is due."""

    def __init__(self, failure_attribution: FailureAttribution) -> None:
        self._failure_attribution = failure_attribution

    def admitted(self, job: Job, views: MachineSelection) -> MachineSelection:
        """The machines on which tasks of the job may be placed now."""
        if not job.failed_on or self._failure_attribution.retry_due(job):
            return views
        return views.without(job.failed_on)

    def place(
        self,
        job: Job,
        count: int,
        views: MachineSelection,
        tasks_by_zone: Counter,
        tasks_by_machine: Counter,
        price_limit: PriceLimit = NO_PRICE_LIMIT,
    ) -> list[MachineView]:
        """Choose machines for up to `count` tasks of an array or service, as `placement.place` does."""
        chosen: list[MachineView] = []
        for selection in self._in_order_of_choice(job, views):
            chosen += place(job.spec, count - len(chosen), selection, tasks_by_zone, tasks_by_machine, price_limit)
            if len(chosen) >= count:
                break
        return chosen

    def place_gang(self, job: Job, views: MachineSelection) -> list[MachineView] | None:
        """Choose machines for a whole gang, as `placement.place_gang` does."""
        for selection in self._in_order_of_choice(job, views):
            chosen = place_gang(job.spec, selection)
            if chosen is not None:
                return chosen
        return None

    def _in_order_of_choice(self, job: Job, views: MachineSelection) -> list[MachineSelection]:
        if not job.failed_on:
            return [views]
        never_failed = views.without(job.failed_on)
        return [never_failed, views] if self._failure_attribution.retry_due(job) else [never_failed]
