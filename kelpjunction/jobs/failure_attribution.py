"""Decides whether failed tasks are the fault of their job or of a machine, and how often a failing job is retried.

The evidence is in the jobs' records (`Job.failed_on`), so it outlives holders
and leaders.  The time of the next retry is not stored: each node keeps its own.
The backoff grows with each failed retry.  Until a retry is due, a job is not
started on the machines where it failed.  A job is failing if its tasks failed
on several machines and none was ever done.  It is retried one task at a time,
and not at all before its retry is due.  A machine is faulty if a job with done
tasks failed on it, or if several jobs failed on it that failed nowhere else,
and no task has been done on it since.
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
    """The backoff of a job with failures: its failure count when the next retry was set, and the time of that retry."""

    failures: int
    backoff: timedelta
    next_retry_at: timedelta
    dispatched_at: timedelta | None = None  # the latest dispatch of a retry of a failing job since the last failure
    logged_as_failing: bool = False


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
        """How many more tasks of the job may be dispatched now, or None for no limit.

        A failing job is retried with one task, or as a whole gang, in each backoff period.  Tasks that
        are placed don't change that: they may run for very long before one of them is done.
        """
        if not job.failures or not self.is_failing_job(job):
            return None
        retry_due = self.retry_due(job)
        self._log_failing_once(job)
        state = self._retry_states[job.spec.ref]
        recently = state.dispatched_at is not None and self._clock.steady() - state.dispatched_at < state.backoff
        if not retry_due or recently or job.counts.dispatched:
            return 0
        return job.spec.tasks if job.spec.shape is Shape.GANG else 1

    def note_retry(self, job: Job) -> None:
        """Note that a failing job was retried: the next retry is due after its backoff."""
        self._retry_states[job.spec.ref].dispatched_at = self._clock.steady()

    def observe_failures(self) -> None:
        """Start the backoff of each job whose tasks failed since the last call.

        Every node does so in each round, so that leader and holder agree on when a retry is due.
        """
        for ref in {ref for refs in self._job_index.failed_on.values() for ref in refs}:
            self.retry_due(self._job_index.jobs[ref])

    def retry_due(self, job: Job) -> bool:
        """Whether a job may be retried on machines where it failed, and whether a failing job may be retried at all.

        Each failed retry doubles the backoff up to MAX_RETRY_BACKOFF.
        """
        now = self._clock.steady()
        state = self._retry_states.get(job.spec.ref)
        if state is None:
            self._retry_states = {
                ref: known for ref, known in self._retry_states.items() if ref in self._job_index.jobs
            }
            state = self._retry_states[job.spec.ref] = _RetryState(
                job.failures, INITIAL_RETRY_BACKOFF, now + INITIAL_RETRY_BACKOFF
            )
        elif state.failures != job.failures:
            retry_failed = state.dispatched_at is not None or now >= state.next_retry_at
            backoff = min(MAX_RETRY_BACKOFF, 2 * state.backoff) if retry_failed else state.backoff
            state.failures, state.backoff, state.next_retry_at = job.failures, backoff, now + backoff
            state.dispatched_at = None
        return now >= state.next_retry_at

    def _log_failing_once(self, job: Job) -> None:
        state = self._retry_states[job.spec.ref]
        if not state.logged_as_failing:
            state.logged_as_failing = True
            log.info(
                "job %s failed on %d machines and no task was ever done: retrying with growing backoff",
                job.spec.ref,
                len(job.failed_on),
            )

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
