"""Decides a run's next change from its progress and its jobs' records: which steps ended, are sent or are stopped."""

from kelpjunction.clock import ZERO, Clock
from kelpjunction.jobs.job_index import END_PREFIX, JOB_PREFIX, Job, JobIndex
from kelpjunction.store.client import StoreClient, Transaction
from kelpjunction.store.mirror import Mirror
from kelpjunction.tickets.classes import TicketClass, TicketSettings
from kelpjunction.tickets.plan import StepJob
from kelpjunction.tickets.progress import Failure, StepState, TicketProgress
from kelpjunction.tickets.records import TicketRecords, UnfinishedRun
from kelpjunction.transport import Transport

MIN_FAILED_MACHINES = 2  # failures on one machine may be the machine's fault


def step_has_failed(job: Job, klass: TicketClass) -> bool:
    """Whether a step's job has failed often enough for the step to count as failed.

    Jobs themselves are retried without limit, but a ticket must reach a final answer.
    """
    return job.failures >= klass.failure_limit and len(job.failed_on) >= MIN_FAILED_MACHINES


class StepPlanner:
    """Decides the next change of a run; writes nothing."""

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
        self._job_ends: dict[str, str] = {}  # by job id, as the last `read_job_outcomes` read them
        self._read_revision: int | None = None

    def read_job_outcomes(self, wanted: set[str]) -> None:
        """Read in one request how jobs ended since the last call; raises `StoreUnavailable`.

        Only the jobs in `wanted` are kept.  Outcomes that are missed here are read one by one later.
        """
        if self._read_revision is not None:
            found = self._store.watch(END_PREFIX, self._read_revision, ZERO, self._transport)
            if found is not None:
                refs = ((key.removeprefix(END_PREFIX), value) for key, value, _ in found[0] if value is not None)
                self._job_ends = {ref: value["end"] for ref, value in refs if ref in wanted}
                self._read_revision = found[1]
                return
        self._job_ends, self._read_revision = {}, self._jobs.revision

    def _job_end(self, ref: str) -> str | None:
        """How a job that is no longer live ended; None if it has no end record."""
        if ref in self._job_ends:
            return self._job_ends[ref]
        end = self._store.get(END_PREFIX + ref)
        return None if end is None else end.value["end"]

    def next_change(self, unfinished: UnfinishedRun, progress: TicketProgress | None = None) -> Transaction | None:
        """The next change to write, None if there is none; raises `StoreUnavailable`.

        `progress`, if given, replaces the run's stored progress as the starting point: a user's cancellation does this.
        """
        ticket_plan = self._records.plan(unfinished)
        klass = self._settings.ticket_class(unfinished.progress.klass)
        progress = progress or unfinished.progress
        txn = Transaction()
        cancellations_left = self._records.max_jobs_per_transaction
        for index in progress.sent_steps:
            step = ticket_plan.jobs[index]
            job = self._job_index.jobs.get(step.spec.ref)
            if job is None and self._jobs.revision < unfinished.version:
                # This gateway's mirror of the jobs may lag behind its mirror of the tickets.
                if not progress.cancelled:
                    continue
                self._jobs.refresh(JOB_PREFIX + step.spec.ref)
                job = self._job_index.jobs.get(step.spec.ref)
            if job is None:
                end = self._job_end(step.spec.ref)
                if end is None:
                    continue
                state = StepState.DONE if end == "done" else StepState.CANCELLED
            elif job.cancelled:
                state = StepState.CANCELLED
            elif cancellations_left and (progress.stopping or step_has_failed(job, klass)):
                state = StepState.CANCELLED if progress.stopping else StepState.FAILED
                self._records.add_job_cancellation(txn, job)
                cancellations_left -= 1
            else:
                continue
            failed = state is not StepState.DONE and not progress.stopping
            progress = progress.with_step_states({index: state}, _failure(step, job, state) if failed else None)
        if progress.failure and not progress.stopping:
            progress = (
                progress.with_blocked_steps_cancelled(ticket_plan)
                if klass.continue_on_failure
                else progress.with_submission_stopped()
            )
        if not progress.stopping and not txn.ops:
            now = self._clock.utc()
            sent = self._records.add_job_submissions(txn, ticket_plan, progress.ready_steps(ticket_plan), now)
            progress = progress.with_step_states(dict.fromkeys(sent, StepState.SENT))
        if progress == unfinished.progress:
            return None
        self._records.add_progress(txn, unfinished, progress, klass.retention)
        return txn


def _failure(step: StepJob, job: Job | None, state: StepState) -> Failure:
    """The failure of a step, with the reason as text for users."""
    unfinished = step.spec.tasks - (job.done_count() if job else 0)
    if state is StepState.CANCELLED:
        return Failure(step.name, unfinished, f"its job {step.spec.ref} was cancelled by somebody else")
    machines_text = f"on {len(job.failed_on)} machines"
    return Failure(
        step.name, unfinished, f"its tasks failed {job.failures} times, {machines_text}; {step.spec.ref} was given up"
    )
