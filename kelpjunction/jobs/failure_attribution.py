"""Whom a failed task speaks against: its job, or the machine it ran on.  And how often a wrong job is tried.

The evidence is in the jobs' records (`Job.failed_on`), so that it outlives
holders and leaders; only when the next try is due is each node's own note.
A job that failed on several machines and never ended well is wrong: it is
tried ever more rarely, a task at a time.  A machine is faulty if a job that
ends well elsewhere failed on it, or several that failed nowhere else did, and
nothing has ended well on it since.
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
MIN_FAILURES = 8  # on two machines: there may be no third
MIN_FAILED_JOBS = 2
INITIAL_RETRY_BACKOFF = timedelta(seconds=4)
MAX_RETRY_BACKOFF = timedelta(seconds=60)


@dataclass(slots=True)
class _RetryState:
    """How many failures of a wrong job were counted when its next try was put off, and until when."""

    failures: int
    backoff: timedelta
    next_retry_at: timedelta


class FailureAttribution:
    """Judges jobs and machines by what failed where."""

    def __init__(self, job_index: JobIndex, clock: Clock) -> None:
        self._job_index = job_index
        self._clock = clock
        self._retry_states: dict[str, _RetryState] = {}

    # -- jobs -----------------------------------------------------------------

    def is_failing_job(self, job: Job) -> bool:
        """Whether a job fails wherever it is put.

        A gang and a single task fail on one machine at a time, so that two
        are enough: each try takes as long as its image.
        """
        if job.done_count() or len(job.failed_on) < 2:
            return False
        alone = job.spec.shape is Shape.GANG or job.spec.tasks == 1
        return alone or len(job.failed_on) >= MIN_FAILED_MACHINES or job.failures >= MIN_FAILURES

    def retry_limit(self, job: Job) -> int | None:
        """How many more tasks of the job may be tried now; None: as many as there are.

        While others of its tasks run, they may yet show that it is not wrong.
        """
        if not job.failures or not self.is_failing_job(job):
            return None
        if not self.retry_due(job) or job.counts.placed + job.counts.dispatched:
            return 0
        return job.spec.tasks if job.spec.shape is Shape.GANG else 1

    def retry_due(self, job: Job) -> bool:
        """Whether a wrong job may be tried again; each failure of a try doubles the pause before the next."""
        now = self._clock.steady()
        tries = self._retry_states.get(job.spec.ref)
        if tries is None:
            self._retry_states = {ref: t for ref, t in self._retry_states.items() if ref in self._job_index.jobs}
            log.info(
                "job %s failed on %d machines and never ended well: it is tried ever more rarely",
                job.spec.ref,
                len(job.failed_on),
            )
            tries = self._retry_states[job.spec.ref] = _RetryState(
                job.failures, INITIAL_RETRY_BACKOFF, now + INITIAL_RETRY_BACKOFF
            )
        elif tries.failures != job.failures:
            pause = tries.backoff if now < tries.next_retry_at else min(MAX_RETRY_BACKOFF, 2 * tries.backoff)
            tries.failures, tries.backoff, tries.next_retry_at = job.failures, pause, now + pause
        return now >= tries.next_retry_at

    # -- machines ---------------------------------------------------------------

    def evidence_against(self, machine: Machine) -> tuple[int, bool]:
        """How many jobs speak against a machine, and whether that is enough to call it faulty."""
        refs = self._job_index.failed_on.get(machine.name, set()) - machine.cleared_of
        count, proven = 0, False
        for job in map(self._job_index.jobs.__getitem__, refs):
            ends_well = job.done_count() > 0
            if ends_well or len(job.failed_on) == 1:
                count += 1
                proven = proven or ends_well
        return count, proven or count >= MIN_FAILED_JOBS

    def record_success(self, machine: Machine) -> None:
        """A task ended well on the machine: what failed there before was not its fault."""
        machine.cleared_of |= self._job_index.failed_on.get(machine.name, set())
