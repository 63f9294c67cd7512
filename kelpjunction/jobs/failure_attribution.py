"""Decides whether failed tasks are the fault of their job or of a machine, and how often a failing job is retried.

The evidence is in the jobs' records (`Job.failed_on`), so it outlives holders
and leaders.  The time of the next retry is not stored: each node keeps its own.
A job is failing if its tasks failed on several machines and none was ever
done.  It is retried one task at a time, with a growing backoff.  A machine is
faulty if a job with done tasks failed on it, or if several jobs failed on it
that failed nowhere else, and no task has been done on it since.
"""

import logging
from dataclasses import dataclass
from datetime import timedelta

from kelpjunction.clock import Clock
from kelpjunction.fleet.machines import Machine
from kelpjunction.jobs.job_index import Job, JobIndex
from kelpjunction.wire.messages import Shape

log = logging.getLogger("jobs")

MIN_FAILED_MACHINES = 3
MIN_FAILURES = 8  # enough on two machines, because there may be no third to try
MIN_FAILED_JOBS = 2
INITIAL_RETRY_BACKOFF = timedelta(seconds=4)
MAX_RETRY_BACKOFF = timedelta(seconds=60)


@dataclass(slots=True)
class _RetryState:
    """The backoff of a failing job: its failure count when the next retry was set, and the time of that retry."""

    failures: int
    backoff: timedelta
    next_retry_at: timedelta


class FailureAttribution:
    """Identifies failing jobs and faulty machines from the machines that jobs failed on."""

    def __init__(self, job_index: JobIndex, clock: Clock) -> None:
        self._job_index = job_index
        self._clock = clock
        self._retry_states: dict[str, _RetryState] = {}

    # -- jobs -----------------------------------------------------------------

    def is_failing_job(self, job: Job) -> bool:
        """Whether a job fails on every machine it is tried on.

        A gang or a single task fails on one machine per attempt, and each
        attempt takes as long as fetching its image.  So failures on two
        machines are enough for it.
        """
        if job.done_count() or len(job.failed_on) < 2:
            return False
        tried_singly = job.spec.shape is Shape.GANG or job.spec.tasks == 1
        return tried_singly or len(job.failed_on) >= MIN_FAILED_MACHINES or job.failures >= MIN_FAILURES

    def retry_limit(self, job: Job) -> int | None:
        """How many more tasks of the job may be started now, or None for no limit.

        None of a failing job's tasks are started while others are dispatched
        or placed, because those may still show that the job is not failing.
        """
        if not job.failures or not self.is_failing_job(job):
            return None
        if not self.retry_due(job) or job.counts.placed + job.counts.dispatched:
            return 0
        return job.spec.tasks if job.spec.shape is Shape.GANG else 1

    def retry_due(self, job: Job) -> bool:
        """Whether a failing job may be retried now; each failed retry doubles the backoff up to MAX_RETRY_BACKOFF."""
        now = self._clock.steady()
        state = self._retry_states.get(job.spec.ref)
        if state is None:
            self._retry_states = {
                ref: known for ref, known in self._retry_states.items() if ref in self._job_index.jobs
            }
            log.info(
                "job %s failed on %d machines and no task was ever done: retrying with growing backoff",
                job.spec.ref,
                len(job.failed_on),
            )
            state = self._retry_states[job.spec.ref] = _RetryState(
                job.failures, INITIAL_RETRY_BACKOFF, now + INITIAL_RETRY_BACKOFF
            )
        elif state.failures != job.failures:
            backoff = state.backoff if now < state.next_retry_at else min(MAX_RETRY_BACKOFF, 2 * state.backoff)
            state.failures, state.backoff, state.next_retry_at = job.failures, backoff, now + backoff
        return now >= state.next_retry_at

    # -- machines ---------------------------------------------------------------

    def evidence_against(self, machine: Machine) -> tuple[int, bool]:
        """How many jobs are evidence against a machine, and whether that is enough to call it faulty."""
        failed_refs = self._job_index.failed_on.get(machine.name, set()) - machine.cleared_of
        count, proven = 0, False
        for job in map(self._job_index.jobs.__getitem__, failed_refs):
            has_done_tasks = job.done_count() > 0
            if has_done_tasks or len(job.failed_on) == 1:
                count += 1
                proven = proven or has_done_tasks
        return count, proven or count >= MIN_FAILED_JOBS

    def record_success(self, machine: Machine) -> None:
        """Clear a machine of earlier failures after a task was done on it."""
        machine.cleared_of |= self._job_index.failed_on.get(machine.name, set())
