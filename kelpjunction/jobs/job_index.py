"""Index of all live jobs.  Every node has one, and the mirror feeds it the changes of the jobs' records.

A job's record (`l/job/<ref>`) changes only when the job is cancelled.  Its
version guards every start of the job's tasks, so a start that races with a
cancellation fails.  Tasks are stored in chunks of 64 (`l/run/<ref>/<chunk>`).
A chunk's record says which tasks are done, which are placed, and which number
the next attempt takes.  Once all tasks of a chunk are done, the chunk is folded
into the summary `l/sum/<ref>` and its record is deleted.  So the cost of a job
of 100,000 tasks depends only on its unfinished part.

A holder writes the settled attempts of array tasks to one page for its block
(`l/over/<zone>`) instead of to each chunk's record.  A row there names an
attempt that is known to be off its machine, and says whether its task is done.
Such a row never becomes false.  So rows are applied to the chunks as they
arrive, and the next write of a chunk, by any node and for any reason, includes
them in the chunk's record.

The leader also writes its dispatches to pages (`l/hand/<shape>/<n>`).  A row
there is valid for one version of a chunk and becomes invalid permanently once
any node writes the chunk.  The node that starts a task writes the chunk under
that version, and includes the chunk's other dispatches in the same write.

Where machine time is metered, a placement's row says when its start was
committed.  The node that settles the placement adds the time for which the
placement occupied its machine to the chunk's record, in the same transaction.
The machine time that a job has used until now therefore follows from its
records alone (`Job.machine_time_ms`), whatever failed in the meantime.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from enum import Enum
from typing import Any, NamedTuple

from sortedcontainers import SortedKeyList

from kelpjunction.changes import ChangeTracker
from kelpjunction.clock import MILLISECOND, ZERO
from kelpjunction.wire.messages import ExitCause, JobPhase, JobSpec, Shape, TaskId
from kelpjunction.wire.users import job_from_fields

JOB_PREFIX = "l/job/"
RUN_PREFIX = "l/run/"
SUM_PREFIX = "l/sum/"
SETTLED_PREFIX = "l/over/"
DISPATCH_PREFIX = "l/hand/"
END_PREFIX = "e/"
CHUNK_TASKS = 64
MAX_FAILED_MACHINES = 8  # machines named in a chunk's record: enough to recognize a job that fails by its own fault


class Phase(Enum):
    """State of a placement as this node knows it.

    `Placement.advance` makes every change except the reset by `JobIndex.reset_observations`:
    PLACED -> STARTED -> FETCHING -> WAITING -> RUNNING -> STOPPING -> SETTLED.
    Every phase may change to STOPPING or SETTLED directly.
    """

    PLACED = "placed"  # committed; the worker is not known to have received a command
    STARTED = "started"  # this node sent a start command
    FETCHING = "fetching"
    WAITING = "waiting"
    RUNNING = "running"
    STOPPING = "stopping"  # this node decided to stop it
    SETTLED = "settled"  # known to be off its machine


@dataclass(slots=True, eq=False)
class Placement:
    """One attempt of a task on a machine, from the commit of its start until the commit of its removal."""

    task: TaskId
    spec: JobSpec
    attempt: int
    machine: str
    session: int
    zone: str
    phase: Phase = Phase.PLACED
    since: timedelta = ZERO  # steady-clock time of the last change of phase
    running_since: timedelta | None = None
    grace: timedelta = ZERO
    reason: str = ""
    cause: ExitCause | None = None
    saved: bool = False
    started_ms: int | None = None  # when its start was committed, in ms since the job's submission; None if not metered
    was_reported: bool = False  # at least one report listed it
    start_sent_at: timedelta | None = None  # when a response to a report last included its start command

    def advance(self, phase: Phase, now: timedelta) -> None:
        """Change the phase, if it may change to this one.

        A settled placement keeps its phase, and a stopping one can only become settled.
        """
        if phase is self.phase or self.phase is Phase.SETTLED:
            return
        if self.phase is Phase.STOPPING and phase is not Phase.SETTLED:
            return
        self.phase, self.since = phase, now
        if phase is Phase.RUNNING:
            self.running_since = now

    @property
    def is_active(self) -> bool:
        return self.phase not in (Phase.STOPPING, Phase.SETTLED)

    def machine_time_ms(self, now: int) -> int:
        """How long the placement has occupied its machine, in ms; `now` is in ms since the job's submission.

        The result is never negative, although the clocks of two nodes may differ a little.
        """
        return 0 if self.started_ms is None else max(0, now - self.started_ms)

    def row(self, index: int) -> list:
        """The placement's row in its chunk's record."""
        row = [index, self.attempt, self.machine, self.session, self.zone]
        return row if self.started_ms is None else [*row, self.started_ms]


class DispatchTarget(NamedTuple):
    """Where the leader dispatches a task: to a block, or to a named machine, as for a gang that spans blocks."""

    zone: str
    machine: str | None = None
    attempt: int | None = None


class ChunkDispatch(NamedTuple):
    """Tasks of a chunk that were dispatched, by index in the chunk, and the chunk's version at that time."""

    version: int
    tasks: dict[int, DispatchTarget]

    @classmethod
    def of(cls, row: list) -> "ChunkDispatch":
        version, zones, named = row
        tasks = {i: DispatchTarget(zone) for zone, indexes in zones.items() for i in indexes}
        return cls(version, tasks | {i: DispatchTarget(*rest) for i, *rest in named})

    def row(self) -> list:
        """The row in a dispatch page."""
        zones: dict[str, list[int]] = {}
        for i, target in self.tasks.items():
            if target.machine is None:
                zones.setdefault(target.zone, []).append(i)
        return [self.version, zones, [[i, *t] for i, t in self.tasks.items() if t.machine is not None]]


class Chunk:
    """Up to 64 consecutive tasks of a job, which share one record."""

    __slots__ = (
        "dispatched",
        "done",
        "failed_on",
        "failures",
        "next_attempt",
        "placements",
        "recorded_attempts",
        "settled_ms",
        "version",
    )

    def __init__(self) -> None:
        self.version = 0
        self.next_attempt = 1
        self.done = 0  # bit mask by index in the chunk
        self.recorded_attempts: set[tuple[int, int]] = set()  # (index, attempt) pairs in the stored record
        self.placements: dict[int, Placement] = {}
        self.dispatched: dict[int, DispatchTarget] = {}
        self.failures = 0
        self.failed_on: list[str] = []  # machines where tasks failed, most recent last
        self.settled_ms = 0  # machine time of settled placements

    def unstarted_dispatches(self) -> Iterator[tuple[int, DispatchTarget]]:
        """Tasks that were dispatched and not started yet, as pairs of index in the chunk and target."""
        for i, target in self.dispatched.items():
            if i not in self.placements and not self.done >> i & 1:
                yield i, target

    def counts(self) -> "Counts":
        return Counts(self.done.bit_count(), len(self.placements), sum(1 for _ in self.unstarted_dispatches()))

    def machine_time(self) -> "MachineTime":
        starts = [p.started_ms for p in self.placements.values() if p.started_ms is not None]
        return MachineTime(self.settled_ms, len(starts), sum(starts))

    def record(self) -> dict:
        """The chunk's record as it is stored."""
        record = {
            "n": self.next_attempt,
            "d": self.done,
            "h": [[i, *(t if t.machine else t[:1])] for i, t in self.dispatched.items()],
            "p": [p.row(i) for i, p in self.placements.items()],
        }
        if self.settled_ms:
            record["u"] = self.settled_ms
        return record | {"f": [self.failures, self.failed_on]} if self.failures else record

    def failure_fields(self, machines: list[str]) -> dict:
        """The failure fields of the chunk's record after further failures, one for each item of `machines`."""
        known = [m for m in dict.fromkeys(self.failed_on) if m not in machines]
        latest = (known + list(dict.fromkeys(machines)))[-MAX_FAILED_MACHINES:]
        return {"f": [self.failures + len(machines), latest]}


class Counts(NamedTuple):
    """Number of tasks that are done, placed, and dispatched but not started."""

    done: int = 0
    placed: int = 0
    dispatched: int = 0


class MachineTime(NamedTuple):
    """Machine time in ms: total of settled placements, number of metered placements, and sum of their start times."""

    settled_ms: int = 0
    metered_placements: int = 0
    start_sum_ms: int = 0


class Job:
    """A live job.  Only `update_chunk` changes its chunks, and it keeps the job's counts up to date."""

    def __init__(self, spec: JobSpec, submitted: datetime, version: int, cancelled: bool) -> None:
        self.spec = spec
        self.submitted = submitted
        self.version = version
        self.cancelled = cancelled
        self.chunks: dict[int, Chunk] = {}
        self.folded_chunks: set[int] = set()
        self.recorded_chunks: set[int] = set()  # chunks that have or had a record
        self.sum_version = 0
        self.folded_ms = 0  # machine time of the tasks in folded chunks
        self.counts = Counts()
        self.machine_time = MachineTime()
        self.failures = 0
        self.failed_on: set[str] = set()  # machines where tasks of this job failed
        self.indexed_failed_on: set[str] = set()  # the part of `failed_on` that the job index contains
        self.not_cancelled_at: timedelta | None = None  # a time at which an own commit showed that it was not cancelled
        self.changes = 0  # how often its chunks have changed
        self.indexed_task_count = 0  # tasks placed or dispatched, as counted in the job index
        self._first_unfolded_chunk = 0
        # Kept by the leader only; a new leader rebuilds them from the snapshot and from reports.
        self.received_machine_time = ZERO
        self.pending_reason = ""

    @property
    def chunk_count(self) -> int:
        return -(-self.spec.tasks // CHUNK_TASKS)

    def chunk_size(self, number: int) -> int:
        return min(CHUNK_TASKS, self.spec.tasks - number * CHUNK_TASKS)

    def placements(self) -> Iterator[Placement]:
        for chunk in self.chunks.values():
            yield from chunk.placements.values()

    def note_not_cancelled(self, at: timedelta) -> None:
        """Note that the job was not cancelled at this time of the steady clock, or any later one noted before."""
        self.not_cancelled_at = at if self.not_cancelled_at is None else max(at, self.not_cancelled_at)

    def update_chunk(self, number: int, change: Callable[[Chunk], None]) -> None:
        """Apply `change` to a chunk and update the job's counts."""
        self.changes += 1
        chunk = self.chunks.setdefault(number, Chunk())
        counts_before, time_before = self._chunk_counts(number, chunk), chunk.machine_time()
        change(chunk)
        if chunk.version == 0 and not chunk.dispatched:
            del self.chunks[number]
        self._apply_count_change(counts_before, self._chunk_counts(number, chunk))
        time_after = chunk.machine_time()
        if time_after != time_before:
            self.machine_time = MachineTime(
                *(n - b + a for n, b, a in zip(self.machine_time, time_before, time_after, strict=True))
            )
        if self.failures or chunk.failures:
            self.failures = sum(c.failures for c in self.chunks.values())
            self.failed_on = {m for c in self.chunks.values() for m in c.failed_on}

    def update_folded_chunks(self, folded: set[int], folded_ms: int, version: int) -> None:
        """Apply the job's summary: its folded chunks, whose tasks are all done, and their machine time in ms."""
        for number in sorted(folded ^ self.folded_chunks):
            if number in folded and number in self.chunks and not self.chunks[number].version:
                self.update_chunk(number, lambda chunk: chunk.dispatched.clear())
            chunk = self.chunks.get(number) or Chunk()
            before = self._chunk_counts(number, chunk)
            self.folded_chunks ^= {number}
            self._apply_count_change(before, self._chunk_counts(number, chunk))
        self.machine_time = self.machine_time._replace(
            settled_ms=self.machine_time.settled_ms - self.folded_ms + folded_ms
        )
        self.folded_ms = folded_ms
        self.sum_version = version

    def _chunk_counts(self, number: int, chunk: Chunk) -> Counts:
        counts = chunk.counts()
        return counts._replace(done=self.chunk_size(number)) if number in self.folded_chunks else counts

    def _apply_count_change(self, before: Counts, after: Counts) -> None:
        self.counts = Counts(*(n - b + a for n, b, a in zip(self.counts, before, after, strict=True)))

    def age_ms(self, now: datetime) -> int:
        """Time since the job's submission in whole ms, the scale of `Placement.started_ms`."""
        return (now - self.submitted) // MILLISECOND

    def machine_time_ms(self, now: datetime) -> int:
        """Total time for which the job's tasks have occupied machines, in ms."""
        settled_ms, metered, start_sum_ms = self.machine_time
        return settled_ms + metered * self.age_ms(now) - start_sum_ms if metered else settled_ms

    def unstarted_dispatches(self) -> Iterator[tuple[TaskId, DispatchTarget]]:
        """Tasks that were dispatched to a block and not started yet."""
        if not self.counts.dispatched:
            return
        for number, chunk in self.chunks.items():
            for i, target in chunk.unstarted_dispatches():
                yield TaskId(self.spec.ref, number * CHUNK_TASKS + i), target

    def is_broken_gang(self) -> bool:
        """Whether some tasks of an unfinished gang are placed and others are neither placed nor dispatched."""
        done, placed, dispatched = self.counts
        return self.spec.shape is Shape.GANG and not done and placed > 0 and placed + dispatched < self.spec.tasks

    def placed_count(self) -> int:
        return self.counts.placed

    def done_count(self) -> int:
        return self.counts.done

    def is_all_done(self) -> bool:
        return self.spec.shape is not Shape.SERVICE and self.done_count() >= self.spec.tasks

    def is_finished(self) -> bool:
        """Whether only the job's final record remains to be written."""
        if self.cancelled:
            return self.placed_count() == 0
        # The tasks of a gang complete together: if one is done, all are.
        gang_done = self.spec.shape is Shape.GANG and self.done_count() > 0
        return self.is_all_done() or (gang_done and self.placed_count() == 0)

    def pending_tasks(self, limit: int) -> list[TaskId]:
        """The first `limit` tasks that are neither done, placed nor dispatched."""
        found: list[TaskId] = []
        while self._first_unfolded_chunk in self.folded_chunks:
            self._first_unfolded_chunk += 1
        for number in range(self._first_unfolded_chunk, self.chunk_count):
            if len(found) >= limit:
                break
            if number in self.folded_chunks:
                continue
            chunk = self.chunks.get(number)
            for i in range(self.chunk_size(number)):
                if chunk is None or not (chunk.done >> i & 1 or i in chunk.placements or i in chunk.dispatched):
                    found.append(TaskId(self.spec.ref, number * CHUNK_TASKS + i))
                    if len(found) >= limit:
                        break
        return found

    def pending_count(self) -> int:
        """Number of tasks that are neither done, placed nor dispatched."""
        return self.spec.tasks - sum(self.counts)

    def phase(self) -> JobPhase:
        if self.cancelled:
            return JobPhase.CANCELLED
        return JobPhase.RUNNING if self.placed_count() else JobPhase.QUEUED


def job_record(fields: dict, submitted: datetime, cancelled: bool = False) -> dict:
    """A job's record as it is stored."""
    record = {"spec": fields, "at": submitted.timestamp()}
    return record | {"cancelled": True} if cancelled else record


def inclusive_ranges(numbers: set[int]) -> list[list[int]]:
    """The numbers as a sorted list of inclusive [first, last] ranges."""
    result: list[list[int]] = []
    for n in sorted(numbers):
        if result and result[-1][1] == n - 1:
            result[-1][1] = n
        else:
            result.append([n, n])
    return result


class SettledAttempt(NamedTuple):
    """A settled attempt: its task's index in the chunk, the attempt's number, and whether the task is done."""

    index: int
    attempt: int
    done: bool


def settled_page(rows: dict[tuple[str, int], set[SettledAttempt]]) -> dict:
    """A block's page of settled attempts as it is stored."""
    record: dict[str, dict[str, list]] = {}
    for (ref, number), attempts in rows.items():
        record.setdefault(ref, {})[str(number)] = [[i, attempt, int(done)] for i, attempt, done in sorted(attempts)]
    return record


class TaskDemand(NamedTuple):
    """What one task uses of its team's limit."""

    team: str
    cpus: float
    gpus: float


def _by_submission(job: Job) -> tuple[datetime, str]:
    return job.submitted, job.spec.ref


class Load:
    """The placements on a machine and the sum of their resources."""

    __slots__ = ("cpus", "gpus", "images", "memory", "placements")

    def __init__(self) -> None:
        self.cpus = self.gpus = self.memory = 0.0
        self.images: Counter[str] = Counter()
        self.placements: dict[TaskId, Placement] = {}

    def add(self, placement: Placement, sign: int = 1) -> None:
        spec = placement.spec
        self.cpus += sign * spec.cpus
        self.gpus += sign * spec.gpus
        self.memory += sign * spec.memory
        self.images[spec.image] += sign


NO_LOAD = Load()


class JobIndex:
    """All live jobs, with indexes that make the cost of a round depend on what changed.

    `_reindex` maintains the sets of jobs.  `_add_placement` and `_remove_placement` maintain the
    loads of machines, and report every machine whose load changed to `changes`.
    """

    def __init__(self, changes: ChangeTracker) -> None:
        self._changes = changes
        self.jobs: dict[str, Job] = {}
        self.loads: dict[str, Load] = {}
        self.pending_jobs: set[str] = set()  # jobs with tasks that wait to be dispatched
        self.dispatched_jobs: set[str] = set()  # jobs with tasks that were dispatched to a block and not started
        self.gang_jobs: set[str] = set()
        self.accelerator_jobs: set[str] = set()  # jobs that need accelerators and are not cancelled
        self.cancelled_jobs: set[str] = set()
        self.failed_on: dict[str, set[str]] = {}  # by machine: jobs with tasks that failed on it
        self.finished_jobs: set[str] = set()  # jobs whose final record is to be written
        self.metered_jobs: set[str] = set()  # jobs with metered machine time
        self.settled_placements: dict[TaskId, Placement] = {}  # those that are still to be removed from the records
        self.task_counts: Counter[TaskDemand] = Counter()  # tasks placed or dispatched, by team and size
        self._jobs_by_team: dict[str, SortedKeyList] = {}  # earliest submission first
        self._records_without_job: dict[str, dict[str, tuple[Any, int]]] = {}  # by job and key: value and version
        self._dispatch_pages_by_key: dict[str, dict[str, dict[int, ChunkDispatch]]] = {}  # by page, job and chunk
        self._settled_pages_by_key: dict[str, dict[tuple[str, int], set[SettledAttempt]]] = {}  # by page, then by chunk

    def changed(self, key: str, value: Any, version: int) -> None:
        """Apply one change of a record in the mirror; `value` is None if the record was deleted."""
        if key.startswith(JOB_PREFIX):
            self._job_changed(key.removeprefix(JOB_PREFIX), value, version)
        elif key.startswith(DISPATCH_PREFIX):
            self._dispatch_page_changed(key, value or {})
        elif key.startswith(SETTLED_PREFIX):
            self._settled_page_changed(key, value or {})
        elif key.startswith((RUN_PREFIX, SUM_PREFIX)):
            ref = key.split("/")[2]
            job = self.jobs.get(ref)
            if job is not None:
                self._chunk_or_summary_changed(job, key, value, version)
                self._reindex(job)
            elif value is not None:
                # A listing in key order may deliver a job's chunks and summary before the job's own record.
                self._records_without_job.setdefault(ref, {})[key] = (value, version)
            else:
                self._records_without_job.get(ref, {}).pop(key, None)

    def _job_changed(self, ref: str, value: Any, version: int) -> None:
        job = self.jobs.get(ref)
        if value is None:
            if job is not None:
                for placement in list(job.placements()):
                    self._remove_placement(placement)
                del self.jobs[ref]
                self._jobs_by_team[job.spec.team].remove(job)
                self._index_task_count(job, 0)
                for index in (
                    self.pending_jobs, self.dispatched_jobs, self.gang_jobs,
                    self.accelerator_jobs, self.cancelled_jobs, self.finished_jobs, self.metered_jobs
                ):  # fmt: skip
                    index.discard(ref)
                self._index_failed_machines(ref, job.indexed_failed_on, set())
            return
        cancelled = bool(value.get("cancelled"))
        if job is None:
            submitted = datetime.fromtimestamp(value["at"], UTC)
            job = self.jobs[ref] = Job(job_from_fields(value["spec"]), submitted, version, cancelled)
            self._jobs_by_team.setdefault(job.spec.team, SortedKeyList(key=_by_submission)).add(job)
            for key, (record, record_version) in self._records_without_job.pop(ref, {}).items():
                self._chunk_or_summary_changed(job, key, record, record_version)
            for page in self._dispatch_pages_by_key.values():
                self._apply_dispatches(job, page.get(ref, {}))
        job.version, job.cancelled = version, cancelled
        self._reindex(job)

    def _reindex(self, job: Job) -> None:
        """Bring the indexes up to date after any change of a job."""
        self._index_failed_machines(job.spec.ref, job.indexed_failed_on, job.failed_on)
        job.indexed_failed_on = job.failed_on
        self._index_task_count(job, job.counts.placed + job.counts.dispatched)
        for index, belongs in (
            (self.pending_jobs, not job.cancelled and job.pending_count() > 0),
            (self.dispatched_jobs, not job.cancelled and job.counts.dispatched > 0),
            (self.gang_jobs, job.spec.shape is Shape.GANG),
            (self.accelerator_jobs, job.spec.gpus > 0 and not job.cancelled),
            (self.cancelled_jobs, job.cancelled),
            (self.finished_jobs, job.is_finished()),
            (self.metered_jobs, any(job.machine_time)),
        ):
            (index.add if belongs else index.discard)(job.spec.ref)

    def _index_task_count(self, job: Job, count: int) -> None:
        # Whole tasks are counted because sums of fractional amounts accumulate rounding errors.
        if count != job.indexed_task_count:
            demand = TaskDemand(job.spec.team, job.spec.cpus, job.spec.gpus)
            self.task_counts[demand] += count - job.indexed_task_count
            if not self.task_counts[demand]:
                del self.task_counts[demand]
            job.indexed_task_count = count

    def of_team(self, team: str) -> Iterable[Job]:
        """A team's live jobs, earliest submission first."""
        return self._jobs_by_team.get(team, ())

    def _index_failed_machines(self, ref: str, before: set[str], after: set[str]) -> None:
        for machine in after - before:
            self.failed_on.setdefault(machine, set()).add(ref)
        for machine in before - after:
            self.failed_on[machine].discard(ref)
            if not self.failed_on[machine]:
                del self.failed_on[machine]

    def _dispatch_page_changed(self, key: str, value: dict) -> None:
        """Apply the new rows of a changed dispatch page to the chunks."""
        old = self._dispatch_pages_by_key.get(key, {})
        page = self._dispatch_pages_by_key[key] = {
            ref: {int(number): ChunkDispatch.of(row) for number, row in parts.items()} for ref, parts in value.items()
        }
        for ref, dispatches in page.items():
            job = self.jobs.get(ref)
            if job is not None and dispatches != old.get(ref):
                self._apply_dispatches(job, dispatches)
                self._reindex(job)

    def _apply_dispatches(self, job: Job, dispatches: dict[int, ChunkDispatch]) -> None:
        for number, dispatch in dispatches.items():
            job.update_chunk(
                number, lambda chunk, n=number, dispatch=dispatch: self._apply_dispatch(job, n, chunk, dispatch)
            )

    def _apply_dispatch(self, job: Job, number: int, chunk: Chunk, dispatch: ChunkDispatch) -> None:
        if self.dispatch_is_current(job, number, dispatch):
            for i, target in dispatch.tasks.items():
                if i not in chunk.placements and not chunk.done >> i & 1:
                    chunk.dispatched.setdefault(i, target)

    def dispatch_is_current(self, job: Job, number: int, dispatch: ChunkDispatch) -> bool:
        """Whether the chunk is unchanged since the leader dispatched these tasks.

        A folded chunk has no record and so has version 0, like a chunk that was never written.
        A dispatch of version 0 is therefore current only if the chunk never had a record.
        """
        chunk = job.chunks.get(number)
        version = chunk.version if chunk is not None else 0
        return dispatch.version == version and (version > 0 or number not in job.folded_chunks | job.recorded_chunks)

    def dispatch_pages(self, prefix: str) -> dict[str, dict[str, dict[int, ChunkDispatch]]]:
        """The dispatch pages below a key prefix, by key, with only the rows that are still valid."""
        pages = {}
        for key, page in self._dispatch_pages_by_key.items():
            if key.startswith(prefix):
                kept = {
                    ref: {
                        n: dispatch
                        for n, dispatch in dispatches.items()
                        if self.dispatch_is_current(self.jobs[ref], n, dispatch)
                    }
                    for ref, dispatches in page.items()
                    if ref in self.jobs
                }
                pages[key] = {ref: dispatches for ref, dispatches in kept.items() if dispatches}
        return pages

    def _settled_page_changed(self, key: str, value: dict) -> None:
        """Apply the new rows of a block's changed page of settled attempts to the chunks."""
        old = self._settled_pages_by_key.get(key, {})
        rows = self._settled_pages_by_key[key] = {
            (ref, int(number)): {SettledAttempt(i, attempt, bool(done)) for i, attempt, done in attempts}
            for ref, parts in value.items()
            for number, attempts in parts.items()
        }
        for (ref, number), attempts in rows.items():
            job, new = self.jobs.get(ref), attempts - old.get((ref, number), set())
            if job is not None and number in job.chunks and new:
                job.update_chunk(number, lambda chunk, new=new: self._apply_settled(chunk, new))
                self._reindex(job)

    def _apply_settled(self, chunk: Chunk, attempts: Iterable[SettledAttempt]) -> None:
        for i, attempt, done in attempts:
            placement = chunk.placements.get(i)
            if placement is not None and placement.attempt == attempt:
                del chunk.placements[i]
                chunk.dispatched.pop(i, None)
                chunk.done |= int(done) << i
                self._remove_placement(placement)

    def settled_rows(self, zone: str) -> dict[tuple[str, int], set[SettledAttempt]]:
        """The rows that a block's page must keep: those of attempts that are still in a stored chunk record."""
        kept: dict[tuple[str, int], set[SettledAttempt]] = {}
        for (ref, number), attempts in self._settled_pages_by_key.get(SETTLED_PREFIX + zone, {}).items():
            job = self.jobs.get(ref)
            chunk = job.chunks.get(number) if job is not None else None
            if chunk is not None and (recorded := {a for a in attempts if a[:2] in chunk.recorded_attempts}):
                kept[ref, number] = recorded
        return kept

    def _chunk_or_summary_changed(self, job: Job, key: str, value: Any, version: int) -> None:
        if key.startswith(SUM_PREFIX):
            value = value or {"full": []}
            folded = {n for first, last in value["full"] for n in range(first, last + 1)}
            job.update_folded_chunks(folded, value.get("u", 0), version)
            return
        number = int(key.rpartition("/")[2])
        job.update_chunk(number, lambda chunk: self._chunk_changed(job, number, chunk, value, version))

    def _chunk_changed(self, job: Job, number: int, chunk: Chunk, value: Any, version: int) -> None:
        old = chunk.placements
        chunk.version = version if value is not None else 0
        if value is not None:
            job.recorded_chunks.add(number)
        value = value or {"n": 1, "d": 0, "h": [], "p": []}
        chunk.next_attempt, chunk.done = value["n"], value["d"]
        chunk.failures, chunk.failed_on = value.get("f", (0, []))
        chunk.dispatched = {row[0]: DispatchTarget(*row[1:]) for row in value["h"]}
        chunk.placements = {}
        chunk.settled_ms = value.get("u", 0)
        chunk.recorded_attempts = {(row[0], row[1]) for row in value["p"]}
        for i, attempt, machine, session, zone, *started in value["p"]:
            known = old.get(i)
            if known is None or known.attempt != attempt:
                known = Placement(
                    TaskId(job.spec.ref, number * CHUNK_TASKS + i), job.spec, attempt, machine, session, zone
                )
                known.started_ms = started[0] if started else None
                if i in old:
                    self._remove_placement(old[i])
                self._add_placement(known)
            chunk.placements[i] = known
        for i, placement in old.items():
            if i not in chunk.placements:
                self._remove_placement(placement)
        for rows in self._settled_pages_by_key.values():
            self._apply_settled(chunk, rows.get((job.spec.ref, number), ()))
        for page in self._dispatch_pages_by_key.values():
            dispatch = page.get(job.spec.ref, {}).get(number)
            if dispatch is not None:
                self._apply_dispatch(job, number, chunk, dispatch)

    def _add_placement(self, placement: Placement) -> None:
        load = self.loads.setdefault(placement.machine, Load())
        load.placements[placement.task] = placement
        load.add(placement)
        self._changes.mark_changed(placement.machine)

    def _remove_placement(self, placement: Placement) -> None:
        if self.settled_placements.get(placement.task) is placement:
            del self.settled_placements[placement.task]
        load = self.loads[placement.machine]
        del load.placements[placement.task]
        load.add(placement, -1)
        self._changes.mark_changed(placement.machine)
        if not load.placements:
            # Sums of fractional amounts accumulate rounding errors, so an empty machine starts again from zero.
            del self.loads[placement.machine]

    def load(self, machine: str) -> Load:
        """The load of a machine; callers must not change it."""
        return self.loads.get(machine, NO_LOAD)

    def placements_on(self, machine: str) -> dict[TaskId, Placement]:
        """The placements on a machine, by task; callers must not change them."""
        return self.load(machine).placements

    def placement(self, task: TaskId) -> Placement | None:
        chunk = self._chunk_of(task)
        return chunk.placements.get(task.index % CHUNK_TASKS) if chunk else None

    def record_version(self, task: TaskId) -> int:
        """The version of the record that holds a task; 0 if there is none."""
        chunk = self._chunk_of(task)
        return chunk.version if chunk else 0

    def _chunk_of(self, task: TaskId) -> Chunk | None:
        job = self.jobs.get(task.ref)
        return job.chunks.get(task.index // CHUNK_TASKS) if job else None

    def placements(self) -> Iterator[Placement]:
        for load in self.loads.values():
            yield from load.placements.values()

    def reset_observations(self, zone: str) -> None:
        """Reset the placements of a block that this node now holds to what the records say.

        What this node observed of the block before is stale.
        """
        for placement in self.placements():
            if placement.zone == zone:
                placement.phase, placement.running_since = Phase.PLACED, None
                placement.cause, placement.was_reported = None, False
                self.settled_placements.pop(placement.task, None)
