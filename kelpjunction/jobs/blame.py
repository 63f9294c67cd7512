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
from kelpjunction.jobs.book import Book, Job
from kelpjunction.wire.messages import Shape

log = logging.getLogger("jobs")

ENOUGH_MACHINES = 3
ENOUGH_FAILURES = 8  # on two machines: there may be no third
ENOUGH_JOBS = 2
FIRST_PAUSE = timedelta(seconds=4)
LONGEST_PAUSE = timedelta(seconds=60)


@dataclass(slots=True)
class _Tries:
    """How many failures of a wrong job were counted when its next try was put off, and until when."""

    failures: int
    pause: timedelta
    due: timedelta


class Blame:
    """Judges jobs and machines by what failed where."""

    def __init__(self, book: Book, clock: Clock) -> None:
        self._book = book
        self._clock = clock
        self._tries: dict[str, _Tries] = {}

    # -- jobs -----------------------------------------------------------------

    def wrong(self, job: Job) -> bool:
        """Whether a job fails wherever it is put.

        A gang and a single task fail on one machine at a time, so that two
        are enough: each try takes as long as its image.
        """
        if job.done_count() or len(job.failed_on) < 2:
            return False
        alone = job.spec.shape is Shape.GANG or job.spec.tasks == 1
        return alone or len(job.failed_on) >= ENOUGH_MACHINES or job.failures >= ENOUGH_FAILURES

    def may_try(self, job: Job) -> int | None:
        """How many more tasks of the job may be tried now; None: as many as there are.

        While others of its tasks run, they may yet show that it is not wrong.
        """
        if not job.failures or not self.wrong(job):
            return None
        if not self.due(job) or job.counts.placed + job.counts.pending:
            return 0
        return job.spec.tasks if job.spec.shape is Shape.GANG else 1

    def due(self, job: Job) -> bool:
        """Whether a wrong job may be tried again; each failure of a try doubles the pause before the next."""
        now = self._clock.steady()
        tries = self._tries.get(job.spec.ref)
        if tries is None:
            self._tries = {ref: t for ref, t in self._tries.items() if ref in self._book.jobs}
            log.info(
                "job %s failed on %d machines and never ended well: it is tried ever more rarely",
                job.spec.ref,
                len(job.failed_on),
            )
            tries = self._tries[job.spec.ref] = _Tries(job.failures, FIRST_PAUSE, now + FIRST_PAUSE)
        elif tries.failures != job.failures:
            pause = tries.pause if now < tries.due else min(LONGEST_PAUSE, 2 * tries.pause)
            tries.failures, tries.pause, tries.due = job.failures, pause, now + pause
        return now >= tries.due

    # -- machines ---------------------------------------------------------------

    def against(self, machine: Machine) -> tuple[int, bool]:
        """How many jobs speak against a machine, and whether that is enough to call it faulty."""
        refs = self._book.failed_on.get(machine.name, set()) - machine.cleared_of
        count, proven = 0, False
        for job in map(self._book.jobs.__getitem__, refs):
            ends_well = job.done_count() > 0
            if ends_well or len(job.failed_on) == 1:
                count += 1
                proven = proven or ends_well
        return count, proven or count >= ENOUGH_JOBS

    def clear(self, machine: Machine) -> None:
        """A task ended well on the machine: what failed there before was not its fault."""
        machine.cleared_of |= self._book.failed_on.get(machine.name, set())
