"""What a run's next change is, from its course and its jobs' records: which steps ended, are sent, are stopped."""

from kelpjunction.clock import ZERO, Clock
from kelpjunction.jobs.job_index import END_PREFIX, JOB_PREFIX, Job, JobIndex
from kelpjunction.store.client import StoreClient, Transaction
from kelpjunction.store.mirror import Mirror
from kelpjunction.tickets.classes import TicketClass, TicketSettings
from kelpjunction.tickets.course import Course, Failure, StepState
from kelpjunction.tickets.plan import StepJob
from kelpjunction.tickets.records import Live, TicketRecords
from kelpjunction.transport import Transport

ENOUGH_MACHINES = 2  # a machine alone may be what is wrong


def exhausted(job: Job, klass: TicketClass) -> bool:
    """Whether a step's job has failed so often that the step has failed.

    Jobs themselves are tried again for ever; a ticket owes its one answer.
    """
    return job.failures >= klass.failures and len(job.failed_on) >= ENOUGH_MACHINES


class Steps:
    """Decides what comes next for a run; writes nothing."""

    def __init__(
        self,
        settings: TicketSettings,
        store: StoreClient,
        jobs: Mirror,
        records: TicketRecords,
        book: JobIndex,
        clock: Clock,
        transport: Transport,
    ) -> None:
        self._settings = settings
        self._store = store
        self._jobs = jobs
        self._records = records
        self._book = book
        self._clock = clock
        self._transport = transport
        self._ends: dict[str, str] = {}  # of jobs that ended, as far as `read_ends` was told
        self._read_to: int | None = None

    def read_ends(self, wanted: set[str]) -> None:
        """Learn in one request how jobs ended that did since the last time; raises `StoreUnavailable`.

        Those that are missed are asked for one by one.
        """
        if self._read_to is not None:
            found = self._store.watch(END_PREFIX, self._read_to, ZERO, self._transport)
            if found is not None:
                refs = ((key.removeprefix(END_PREFIX), value) for key, value, _ in found[0] if value is not None)
                self._ends = {ref: value["end"] for ref, value in refs if ref in wanted}
                self._read_to = found[1]
                return
        self._ends, self._read_to = {}, self._jobs.revision

    def _end(self, ref: str) -> str | None:
        """How a job ended that is not among the live ones."""
        if ref in self._ends:
            return self._ends[ref]
        end = self._store.get(END_PREFIX + ref)
        return None if end is None else end.value["end"]

    def next(self, live: Live, course: Course | None = None) -> Transaction | None:
        """The change to write, None if nothing is to be done; raises `StoreUnavailable`.

        With `course`, the change begins with that: its user has asked for it.
        """
        made = self._records.plan(live)
        klass = self._settings.klass(live.course.klass)
        course = course or live.course
        txn = Transaction()
        room = self._records.room
        for place in course.sent:
            step = made.jobs[place]
            job = self._book.jobs.get(step.spec.ref)
            if job is None and self._jobs.revision < live.version:
                # This gateway's copy of the jobs may lag behind the ticket's.
                if not course.cancelled:
                    continue
                self._jobs.refresh(JOB_PREFIX + step.spec.ref)
                job = self._book.jobs.get(step.spec.ref)
            if job is None:
                end = self._end(step.spec.ref)
                if end is None:
                    continue
                state = StepState.DONE if end == "done" else StepState.CANCELLED
            elif job.cancelled:
                state = StepState.CANCELLED
            elif room and (course.stopping or exhausted(job, klass)):
                state = StepState.CANCELLED if course.stopping else StepState.FAILED
                self._records.cancelling(txn, job)
                room -= 1
            else:
                continue
            failed = state is not StepState.DONE and not course.stopping
            course = course.moved({place: state}, _failure(step, job, state) if failed else None)
        if course.failure and not course.stopping:
            course = course.without_hope(made) if klass.finish else course.halted()
        if not course.stopping and not txn.ops:
            now = self._clock.utc()
            sent = self._records.sending(txn, made, course.ready(made), now)
            course = course.moved(dict.fromkeys(sent, StepState.SENT))
        if course == live.course:
            return None
        self._records.writing(txn, live, course, klass.remember)
        return txn


def _failure(step: StepJob, job: Job | None, state: StepState) -> Failure:
    """Why a step failed, in plain words."""
    unfinished = step.spec.tasks - (job.done_count() if job else 0)
    if state is StepState.CANCELLED:
        return Failure(step.name, unfinished, f"its job {step.spec.ref} was cancelled by somebody else")
    on = f"on {len(job.failed_on)} machines"
    return Failure(step.name, unfinished, f"its tasks failed {job.failures} times, {on}; {step.spec.ref} was given up")
