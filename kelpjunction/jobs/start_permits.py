"""Which jobs' tasks this node may start now, as far as it knows of cancellations.

The argument is in `kelpjunction.start_permission`.  The commit that places a task guards its job's record, so it
shows that the job was not cancelled when it was sent; an answered watch shows the same for all jobs.  Where both
are too long ago, one comparison is requested from the state service, for many jobs at once.
"""

import logging
from collections.abc import Callable
from datetime import timedelta

from kelpjunction.clock import Clock
from kelpjunction.jobs.job_index import JOB_PREFIX, Job, JobIndex
from kelpjunction.start_permission import may_start
from kelpjunction.store.client import StoreUnavailable
from kelpjunction.store.mirror import Mirror, Verifier

log = logging.getLogger("jobs")


class StartPermits:
    """Answers whether a job's tasks may be started, and renews a permit that is too old."""

    def __init__(self, job_index: JobIndex, mirror: Mirror, verifier: Verifier, clock: Clock, spawn: Callable) -> None:
        self._job_index = job_index
        self._mirror = mirror
        self._verifier = verifier
        self._clock = clock
        self._spawn = spawn
        self._renewing: set[str] = set()  # jobs with a comparison in progress
        self.renewals = 0  # comparisons requested since the process started
        self.on_renewed: Callable[[Job], None] = lambda job: None

    def may_start(self, ref: str) -> bool:
        """Whether a start of a task of this job may be sent at this moment."""
        job = self._job_index.jobs.get(ref)
        if job is None or job.cancelled:
            return False
        now = self._clock.steady()
        return may_start(job.not_cancelled_at, now) or may_start(self._mirror.known_until, now)

    def renew(self, ref: str) -> None:
        """Have the state service asked whether a job is still not cancelled, unless that is in progress.

        `on_renewed` is called if its tasks may then be started.  If the answer takes too long, nothing follows:
        the next report of a worker that lacks the task leads to the next request.
        """
        job = self._job_index.jobs.get(ref)
        if job is None or job.cancelled or ref in self._renewing:
            return
        self._renewing.add(ref)
        self.renewals += 1
        self._spawn(self._renew, job)

    def _renew(self, job: Job) -> None:
        key, asked_at = JOB_PREFIX + job.spec.ref, self._clock.steady()
        try:
            self._compare(job, key, asked_at)
        except StoreUnavailable as error:
            log.debug("start of job %s is withheld: %s", job.spec.ref, error)
            return
        finally:
            self._renewing.discard(job.spec.ref)
        if self.may_start(job.spec.ref):
            self.on_renewed(job)

    def _compare(self, job: Job, key: str, asked_at: timedelta) -> None:
        if self._verifier.versions_current({key: job.version}):
            job.note_not_cancelled(asked_at)
        else:
            self._mirror.refresh(key)
