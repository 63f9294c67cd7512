"""What a run's next change is, from its course and its jobs' records: which steps ended, are sent, are stopped."""

from kelpjunction.clock import ZERO, Clock
from kelpjunction.jobs.job_index import END_PREFIX, JOB_PREFIX, Job, JobIndex
from kelpjunction.store.client import StoreClient, Transaction
from kelpjunction.store.mirror import Mirror
from kelpjunction.tickets.classes import TicketClass, TicketSettings
from kelpjunction.tickets.plan import StepJob
from kelpjunction.tickets.progress import Failure, StepState, TicketProgress
from kelpjunction.tickets.records import TicketRecords, UnfinishedRun
from kelpjunction.transport import Transport

MIN_FAILED_MACHINES = 2  # a machine alone may be what is wrong


def step_has_failed(job: Job, klass: TicketClass) -> bool:
    """Whether a step's job has failed so often that the step has failed.

    Jobs themselves are tried again for ever; a ticket owes its one answer.
    """
    return job.failures >= klass.failure_limit and len(job.failed_on) >= MIN_FAILED_MACHINES


class StepPlanner:
    """Decides what comes next for a run; writes nothing."""

    def __init__(
        self,
        settings: TicketSettings,
        store: StoreClient,
        jobs: Mirror,
        records: TicketRecords,
        job_index: JobIndex,
        clock: Clock,
        transport: Transport,
    ) -> None:
        self._settings = settings
        self._store = store
        self._jobs = jobs
        self._records = records
        self._job_index = job_index
        self._clock = clock
        self._transport = transport
        self._ends: dict[str, str] = {}  # of jobs that ended, as far as `read_job_outcomes` was told
        self._read_to: int | None = None

    def read_job_outcomes(self, wanted: set[str]) -> None:
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

    def next_change(self, live: UnfinishedRun, progress: TicketProgress | None = None) -> Transaction | None:
        """The change to write, None if nothing is to be done; raises `StoreUnavailable`.

        With `progress`, the change begins with that: its user has asked for it.
        """
        made = self._records.plan(live)
        klass = self._settings.ticket_class(live.progress.klass)
        progress = progress or live.progress
        txn = Transaction()
        room = self._records.max_jobs_per_transaction
        for place in progress.sent_steps:
            step = made.jobs[place]
            job = self._job_index.jobs.get(step.spec.ref)
            if job is None and self._jobs.revision < live.version:
                # This gateway's copy of the jobs may lag behind the ticket's.
                if not progress.cancelled:
                    continue
                self._jobs.refresh(JOB_PREFIX + step.spec.ref)
                job = self._job_index.jobs.get(step.spec.ref)
            if job is None:
                end = self._end(step.spec.ref)
                if end is None:
                    continue
                state = StepState.DONE if end == "done" else StepState.CANCELLED
            elif job.cancelled:
                state = StepState.CANCELLED
            elif room and (progress.stopping or step_has_failed(job, klass)):
                state = StepState.CANCELLED if progress.stopping else StepState.FAILED
                self._records.add_job_cancellation(txn, job)
                room -= 1
            else:
                continue
            failed = state is not StepState.DONE and not progress.stopping
            progress = progress.with_step_states({place: state}, _failure(step, job, state) if failed else None)
        if progress.failure and not progress.stopping:
            progress = (
                progress.with_blocked_steps_cancelled(made)
                if klass.continue_on_failure
                else progress.with_submission_stopped()
            )
        if not progress.stopping and not txn.ops:
            now = self._clock.utc()
            sent = self._records.add_job_submissions(txn, made, progress.ready_steps(made), now)
            progress = progress.with_step_states(dict.fromkeys(sent, StepState.SENT))
        if progress == live.progress:
            return None
        self._records.add_progress(txn, live, progress, klass.retention)
        return txn


def _failure(step: StepJob, job: Job | None, state: StepState) -> Failure:
    """Why a step failed, in plain words."""
    unfinished = step.spec.tasks - (job.done_count() if job else 0)
    if state is StepState.CANCELLED:
        return Failure(step.name, unfinished, f"its job {step.spec.ref} was cancelled by somebody else")
    on = f"on {len(job.failed_on)} machines"
    return Failure(step.name, unfinished, f"its tasks failed {job.failures} times, {on}; {step.spec.ref} was given up")
