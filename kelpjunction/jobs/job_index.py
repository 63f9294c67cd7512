"""The picture of all live jobs, on every node, fed by the mirror.

A job's record never changes but by its cancellation, so the version of
`l/job/<ref>` guards every launch: an abort moves it.  Tasks live in chunks of
64 (`l/run/<ref>/<chunk>`): which are done, which are placed and the number
that the next attempt takes.  A chunk all of whose tasks are done is folded
into `l/sum/<ref>`, so a job of 100,000 tasks costs what its unfinished part
costs.

What a holder knows to be over of arrays' tasks it says in one page for its
block (`l/over/<zone>`), not in each chunk's record: a row there names an
attempt that is surely off its machine, and whether its task is done.  That
stays true for ever, so rows are laid over the chunks as they come in, and the
next write of a chunk, by whomever and for whatever, folds them in.

What the leader hands over it says in pages too (`l/hand/<shape>/<n>`).  A row
there holds for a chunk as it was at a version, and is void for ever once
anybody has written the chunk: who launches writes it under that version, and
with it what else was handed over of the chunk.

Where machine time is metered, a placement's row says when its start was
committed, and whoever settles it adds the time it held its place to the
chunk's record in the same transaction: what a job has held until now follows
from its records alone (`Job.machine_time_ms`), whatever failed meanwhile.
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
MAX_FAILED_MACHINES = 8  # machines a chunk's record names: enough to tell a wrong job by


class Phase(Enum):
    """Where a placement stands, as the leader knows; `Placement.advance` makes every change.

    PLACED -> STARTED -> FETCHING -> WAITING -> RUNNING -> STOPPING -> SETTLED,
    and from any of them to STOPPING or SETTLED.
    """

    PLACED = "placed"  # committed; no command is known to have arrived
    STARTED = "started"  # a start command was sent by this node
    FETCHING = "fetching"
    WAITING = "waiting"
    RUNNING = "running"
    STOPPING = "stopping"  # a stop was decided
    SETTLED = "settled"  # surely not on its machine any more


@dataclass(slots=True, eq=False)
class Placement:
    """One attempt of a task on a machine, from its commit until its removal is committed."""

    task: TaskId
    spec: JobSpec
    attempt: int
    machine: str
    session: int
    zone: str
    phase: Phase = Phase.PLACED
    since: timedelta = ZERO  # steady time of the last change of phase
    running_since: timedelta | None = None
    grace: timedelta = ZERO
    reason: str = ""
    cause: ExitCause | None = None
    saved: bool = False
    started_ms: int | None = None  # when its start was committed, in ms since its job's submission, if metered
    was_reported: bool = False  # some report listed it
    start_sent_at: timedelta | None = None  # when the answer to a report last said to start it

    def advance(self, phase: Phase, now: timedelta) -> None:
        """The one place where the phase changes."""
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
        """How long it has held its place, in ms; `now` counts from the job's submission.

        Two nodes' times of day may differ a little: it never held less than nothing.
        """
        return 0 if self.started_ms is None else max(0, now - self.started_ms)

    def row(self, index: int) -> list:
        """This placement as its chunk's record holds it."""
        row = [index, self.attempt, self.machine, self.session, self.zone]
        return row if self.started_ms is None else [*row, self.started_ms]


class DispatchTarget(NamedTuple):
    """The leader's leave to start a task in a block, on a named machine where the task's gang spans blocks."""

    zone: str
    machine: str | None = None
    attempt: int | None = None


class ChunkDispatch(NamedTuple):
    """What was handed over of a chunk as it was at a version."""

    version: int
    tasks: dict[int, DispatchTarget]

    @classmethod
    def of(cls, row: list) -> "ChunkDispatch":
        version, zones, named = row
        tasks = {i: DispatchTarget(zone) for zone, indexes in zones.items() for i in indexes}
        return cls(version, tasks | {i: DispatchTarget(*rest) for i, *rest in named})

    def row(self) -> list:
        """This as its page holds it."""
        zones: dict[str, list[int]] = {}
        for i, handed in self.tasks.items():
            if handed.machine is None:
                zones.setdefault(handed.zone, []).append(i)
        return [self.version, zones, [[i, *h] for i, h in self.tasks.items() if h.machine is not None]]


class Chunk:
    """Up to 64 consecutive tasks."""

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
        self.done = 0  # a bit for each task
        self.recorded_attempts: set[tuple[int, int]] = set()  # tasks and attempts in the record as it is stored
        self.placements: dict[int, Placement] = {}
        self.dispatched: dict[int, DispatchTarget] = {}
        self.failures = 0
        self.failed_on: list[str] = []  # machines where tasks failed, the latest last
        self.settled_ms = 0  # ms that settled placements held their places

    def unstarted_dispatches(self) -> Iterator[tuple[int, DispatchTarget]]:
        """Tasks that were handed over and not started yet."""
        for i, handed in self.dispatched.items():
            if i not in self.placements and not self.done >> i & 1:
                yield i, handed

    def counts(self) -> "Counts":
        return Counts(self.done.bit_count(), len(self.placements), sum(1 for _ in self.unstarted_dispatches()))

    def machine_time(self) -> "MachineTime":
        starts = [p.started_ms for p in self.placements.values() if p.started_ms is not None]
        return MachineTime(self.settled_ms, len(starts), sum(starts))

    def record(self) -> dict:
        """This chunk as it is stored."""
        record = {
            "n": self.next_attempt,
            "d": self.done,
            "h": [[i, *(h if h.machine else h[:1])] for i, h in self.dispatched.items()],
            "p": [p.row(i) for i, p in self.placements.items()],
        }
        if self.settled_ms:
            record["u"] = self.settled_ms
        return record | {"f": [self.failures, self.failed_on]} if self.failures else record

    def failure_fields(self, machines: list[str]) -> dict:
        """What its record says once tasks have failed on these machines too."""
        known = [m for m in dict.fromkeys(self.failed_on) if m not in machines]
        latest = (known + list(dict.fromkeys(machines)))[-MAX_FAILED_MACHINES:]
        return {"f": [self.failures + len(machines), latest]}


class Counts(NamedTuple):
    """How many tasks are done, placed, and handed over but not started."""

    done: int = 0
    placed: int = 0
    dispatched: int = 0


class MachineTime(NamedTuple):
    """Machine time in ms: what settled placements held, how many are metered now, and the sum of their starts."""

    settled_ms: int = 0
    metered_placements: int = 0
    start_sum_ms: int = 0


class Job:
    """A live job.  Its counts are kept up to date by `update_chunk`, which makes every change of its chunks."""

    def __init__(self, spec: JobSpec, submitted: datetime, version: int, cancelled: bool) -> None:
        self.spec = spec
        self.submitted = submitted
        self.version = version
        self.cancelled = cancelled
        self.chunks: dict[int, Chunk] = {}
        self.folded_chunks: set[int] = set()
        self.recorded_chunks: set[int] = set()  # chunks that had a record at some time
        self.sum_version = 0
        self.folded_ms = 0  # ms that the tasks of folded chunks held their places
        self.counts = Counts()
        self.machine_time = MachineTime()
        self.failures = 0
        self.failed_on: set[str] = set()  # machines where tasks of this job failed
        self.indexed_failed_on: set[str] = set()  # those of them in the book's index
        self.changes = 0  # how often its chunks have changed
        self.indexed_task_count = 0  # tasks placed or handed over, as the book's index counts them
        self._first_open = 0
        # The leader's own notes, rebuilt from snapshot and reports.
        self.task_time_received = ZERO
        self.pending_reason = ""

    @property
    def chunk_count(self) -> int:
        return -(-self.spec.tasks // CHUNK_TASKS)

    def chunk_size(self, number: int) -> int:
        return min(CHUNK_TASKS, self.spec.tasks - number * CHUNK_TASKS)

    def placements(self) -> Iterator[Placement]:
        for chunk in self.chunks.values():
            yield from chunk.placements.values()

    def update_chunk(self, number: int, change: Callable[[Chunk], None]) -> None:
        """Change a chunk, and the counts with it."""
        self.changes += 1
        chunk = self.chunks.setdefault(number, Chunk())
        before, metered = self._counted(number, chunk), chunk.machine_time()
        change(chunk)
        if chunk.version == 0 and not chunk.dispatched:
            del self.chunks[number]
        self._count(before, self._counted(number, chunk))
        after = chunk.machine_time()
        if after != metered:
            self.machine_time = MachineTime(
                *(n - b + a for n, b, a in zip(self.machine_time, metered, after, strict=True))
            )
        if self.failures or chunk.failures:
            self.failures = sum(c.failures for c in self.chunks.values())
            self.failed_on = {m for c in self.chunks.values() for m in c.failed_on}

    def update_folded_chunks(self, full: set[int], spent: int, version: int) -> None:
        """Learn which chunks were folded away because all their tasks are done, and what those held."""
        for number in sorted(full ^ self.folded_chunks):
            if number in full and number in self.chunks and not self.chunks[number].version:
                self.update_chunk(number, lambda chunk: chunk.dispatched.clear())
            chunk = self.chunks.get(number) or Chunk()
            before = self._counted(number, chunk)
            self.folded_chunks ^= {number}
            self._count(before, self._counted(number, chunk))
        self.machine_time = self.machine_time._replace(settled_ms=self.machine_time.settled_ms - self.folded_ms + spent)
        self.folded_ms = spent
        self.sum_version = version

    def _counted(self, number: int, chunk: Chunk) -> Counts:
        counts = chunk.counts()
        return counts._replace(done=self.chunk_size(number)) if number in self.folded_chunks else counts

    def _count(self, before: Counts, after: Counts) -> None:
        self.counts = Counts(*(n - b + a for n, b, a in zip(self.counts, before, after, strict=True)))

    def age_ms(self, now: datetime) -> int:
        """Time since the job's submission, in whole ms: what starts are counted in."""
        return (now - self.submitted) // MILLISECOND

    def machine_time_ms(self, now: datetime) -> int:
        """How long its tasks have held their places, together, in ms."""
        spent, running, starts = self.machine_time
        return spent + running * self.age_ms(now) - starts if running else spent

    def unstarted_dispatches(self) -> Iterator[tuple[TaskId, DispatchTarget]]:
        """Tasks that were handed to a block and not started yet."""
        if not self.counts.dispatched:
            return
        for number, chunk in self.chunks.items():
            for i, handed in chunk.unstarted_dispatches():
                yield TaskId(self.spec.ref, number * CHUNK_TASKS + i), handed

    def broken_gang(self) -> bool:
        """Whether some task of a gang is neither placed nor about to be."""
        done, placed, pending = self.counts
        return self.spec.shape is Shape.GANG and not done and placed > 0 and placed + pending < self.spec.tasks

    def placed_count(self) -> int:
        return self.counts.placed

    def done_count(self) -> int:
        return self.counts.done

    def all_done(self) -> bool:
        return self.spec.shape is not Shape.SERVICE and self.done_count() >= self.spec.tasks

    def is_finished(self) -> bool:
        """Whether nothing is left to do but to write down the end."""
        if self.cancelled:
            return self.placed_count() == 0
        # One done task of a gang means that all are.
        gang_done = self.spec.shape is Shape.GANG and self.done_count() > 0
        return self.all_done() or (gang_done and self.placed_count() == 0)

    def pending_tasks(self, most: int) -> list[TaskId]:
        """The first tasks that are neither done, placed nor handed over, at most so many."""
        found: list[TaskId] = []
        while self._first_open in self.folded_chunks:
            self._first_open += 1
        for number in range(self._first_open, self.chunk_count):
            if len(found) >= most:
                break
            if number in self.folded_chunks:
                continue
            chunk = self.chunks.get(number)
            for i in range(self.chunk_size(number)):
                if chunk is None or not (chunk.done >> i & 1 or i in chunk.placements or i in chunk.dispatched):
                    found.append(TaskId(self.spec.ref, number * CHUNK_TASKS + i))
                    if len(found) >= most:
                        break
        return found

    def pending_count(self) -> int:
        """How many tasks are neither done, placed nor handed over."""
        return self.spec.tasks - sum(self.counts)

    def phase(self) -> JobPhase:
        if self.cancelled:
            return JobPhase.CANCELLED
        return JobPhase.RUNNING if self.placed_count() else JobPhase.QUEUED


def job_record(fields: dict, submitted: datetime, cancelled: bool = False) -> dict:
    """A job as it is stored."""
    record = {"spec": fields, "at": submitted.timestamp()}
    return record | {"cancelled": True} if cancelled else record


def ranges(numbers: set[int]) -> list[list[int]]:
    """A set of numbers as inclusive ranges."""
    found: list[list[int]] = []
    for n in sorted(numbers):
        if found and found[-1][1] == n - 1:
            found[-1][1] = n
        else:
            found.append([n, n])
    return found


class SettledAttempt(NamedTuple):
    """An attempt that is over: its task's place in its chunk, its number, and whether the task is done."""

    index: int
    attempt: int
    done: bool


def settled_page(rows: dict[tuple[str, int], set[SettledAttempt]]) -> dict:
    """A block's page of attempts that are over, as it is stored."""
    record: dict[str, dict[str, list]] = {}
    for (ref, number), overs in rows.items():
        record.setdefault(ref, {})[str(number)] = [[i, attempt, int(done)] for i, attempt, done in sorted(overs)]
    return record


class TaskDemand(NamedTuple):
    """What one task of a team takes of its limit."""

    team: str
    cpus: float
    gpus: float


def _by_submission(job: Job) -> tuple[datetime, str]:
    return job.submitted, job.spec.ref


class Load:
    """What stands on a machine: its placements, and what they take together."""

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
    """All live jobs, and indexes of them, so that a round costs what changed.

    `_reindex` keeps the sets of jobs, `_put` and `_drop` what stands on
    machines, and `changes` is told of every machine whose load changed.
    """

    def __init__(self, changes: ChangeTracker) -> None:
        self._changes = changes
        self.jobs: dict[str, Job] = {}
        self.loads: dict[str, Load] = {}
        self.pending_jobs: set[str] = set()  # jobs with tasks that wait to be handed over
        self.dispatched_jobs: set[str] = set()  # jobs with tasks that were handed to a block and not started
        self.gangs: set[str] = set()
        self.accelerated: set[str] = set()  # jobs that need accelerators and are not cancelled
        self.cancelled: set[str] = set()
        self.failed_on: dict[str, set[str]] = {}  # the jobs whose tasks failed on a machine
        self.finished_jobs: set[str] = set()  # jobs whose end is to be written down
        self.metered: set[str] = set()  # jobs that have held machine time, as far as it is metered
        self.settled: dict[TaskId, Placement] = {}  # placements whose end is to be written down
        self.task_counts: Counter[TaskDemand] = Counter()  # tasks placed or handed over, by team and size
        self._of_team: dict[str, SortedKeyList] = {}  # jobs, the earliest submitted first
        self._orphans: dict[str, dict[str, tuple[Any, int]]] = {}
        self._dispatch_pages_by_key: dict[str, dict[str, dict[int, ChunkDispatch]]] = {}  # by page, job and chunk
        self._settled_pages_by_key: dict[str, dict[tuple[str, int], set[SettledAttempt]]] = {}  # by page, then by chunk

    def changed(self, key: str, value: Any, version: int) -> None:
        """Take in one change of the mirror."""
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
                self._part_changed(job, key, value, version)
                self._reindex(job)
            elif value is not None:
                # A listing by key order may bring tasks before their job.
                self._orphans.setdefault(ref, {})[key] = (value, version)
            else:
                self._orphans.get(ref, {}).pop(key, None)

    def _job_changed(self, ref: str, value: Any, version: int) -> None:
        job = self.jobs.get(ref)
        if value is None:
            if job is not None:
                for placement in list(job.placements()):
                    self._drop(placement)
                del self.jobs[ref]
                self._of_team[job.spec.team].remove(job)
                self._index_task_count(job, 0)
                for index in (
                    self.pending_jobs, self.dispatched_jobs, self.gangs,
                    self.accelerated, self.cancelled, self.finished_jobs, self.metered
                ):  # fmt: skip
                    index.discard(ref)
                self._note_failures(ref, job.indexed_failed_on, set())
            return
        cancelled = bool(value.get("cancelled"))
        if job is None:
            submitted = datetime.fromtimestamp(value["at"], UTC)
            job = self.jobs[ref] = Job(job_from_fields(value["spec"]), submitted, version, cancelled)
            self._of_team.setdefault(job.spec.team, SortedKeyList(key=_by_submission)).add(job)
            for key, (part, part_version) in self._orphans.pop(ref, {}).items():
                self._part_changed(job, key, part, part_version)
            for page in self._dispatch_pages_by_key.values():
                self._apply_dispatches(job, page.get(ref, {}))
        job.version, job.cancelled = version, cancelled
        self._reindex(job)

    def _reindex(self, job: Job) -> None:
        """Bring the indexes up to date after any change of a job."""
        self._note_failures(job.spec.ref, job.indexed_failed_on, job.failed_on)
        job.indexed_failed_on = job.failed_on
        self._index_task_count(job, job.counts.placed + job.counts.dispatched)
        for index, belongs in (
            (self.pending_jobs, not job.cancelled and job.pending_count() > 0),
            (self.dispatched_jobs, not job.cancelled and job.counts.dispatched > 0),
            (self.gangs, job.spec.shape is Shape.GANG),
            (self.accelerated, job.spec.gpus > 0 and not job.cancelled),
            (self.cancelled, job.cancelled),
            (self.finished_jobs, job.is_finished()),
            (self.metered, any(job.machine_time)),
        ):
            (index.add if belongs else index.discard)(job.spec.ref)

    def _index_task_count(self, job: Job, held: int) -> None:
        # Whole tasks are counted, since sums of amounts drift in the last digits.
        if held != job.indexed_task_count:
            need = TaskDemand(job.spec.team, job.spec.cpus, job.spec.gpus)
            self.task_counts[need] += held - job.indexed_task_count
            if not self.task_counts[need]:
                del self.task_counts[need]
            job.indexed_task_count = held

    def of_team(self, team: str) -> Iterable[Job]:
        """A team's live jobs, the earliest submitted first."""
        return self._of_team.get(team, ())

    def _note_failures(self, ref: str, before: set[str], after: set[str]) -> None:
        for machine in after - before:
            self.failed_on.setdefault(machine, set()).add(ref)
        for machine in before - after:
            self.failed_on[machine].discard(ref)
            if not self.failed_on[machine]:
                del self.failed_on[machine]

    def _dispatch_page_changed(self, key: str, value: dict) -> None:
        """A page of what was handed over has changed: lay what is new over the chunks."""
        old = self._dispatch_pages_by_key.get(key, {})
        page = self._dispatch_pages_by_key[key] = {
            ref: {int(number): ChunkDispatch.of(row) for number, row in parts.items()} for ref, parts in value.items()
        }
        for ref, hands in page.items():
            job = self.jobs.get(ref)
            if job is not None and hands != old.get(ref):
                self._apply_dispatches(job, hands)
                self._reindex(job)

    def _apply_dispatches(self, job: Job, hands: dict[int, ChunkDispatch]) -> None:
        for number, hand in hands.items():
            job.update_chunk(number, lambda chunk, n=number, hand=hand: self._apply_dispatch(job, n, chunk, hand))

    def _apply_dispatch(self, job: Job, number: int, chunk: Chunk, dispatch: ChunkDispatch) -> None:
        # A chunk that was folded away has no record again, as one that was never written.
        if self.dispatch_is_current(job, number, dispatch):
            for i, handed in dispatch.tasks.items():
                if i not in chunk.placements and not chunk.done >> i & 1:
                    chunk.dispatched.setdefault(i, handed)

    def dispatch_is_current(self, job: Job, number: int, dispatch: ChunkDispatch) -> bool:
        """Whether the chunk is as it was when this was handed over."""
        chunk = job.chunks.get(number)
        version = chunk.version if chunk is not None else 0
        return dispatch.version == version and (version > 0 or number not in job.folded_chunks | job.recorded_chunks)

    def dispatch_pages(self, prefix: str) -> dict[str, dict[str, dict[int, ChunkDispatch]]]:
        """The pages below a prefix, by their keys, with the rows that still hold."""
        pages = {}
        for key, page in self._dispatch_pages_by_key.items():
            if key.startswith(prefix):
                kept = {
                    ref: {n: hand for n, hand in hands.items() if self.dispatch_is_current(self.jobs[ref], n, hand)}
                    for ref, hands in page.items()
                    if ref in self.jobs
                }
                pages[key] = {ref: hands for ref, hands in kept.items() if hands}
        return pages

    def _settled_page_changed(self, key: str, value: dict) -> None:
        """A block's page of attempts that are over has changed: lay what is new over the chunks."""
        old = self._settled_pages_by_key.get(key, {})
        rows = self._settled_pages_by_key[key] = {
            (ref, int(number)): {SettledAttempt(i, attempt, bool(done)) for i, attempt, done in overs}
            for ref, parts in value.items()
            for number, overs in parts.items()
        }
        for (ref, number), overs in rows.items():
            job, new = self.jobs.get(ref), overs - old.get((ref, number), set())
            if job is not None and number in job.chunks and new:
                job.update_chunk(number, lambda chunk, new=new: self._apply_settled(chunk, new))
                self._reindex(job)

    def _apply_settled(self, chunk: Chunk, overs: Iterable[SettledAttempt]) -> None:
        for i, attempt, done in overs:
            placement = chunk.placements.get(i)
            if placement is not None and placement.attempt == attempt:
                del chunk.placements[i]
                chunk.dispatched.pop(i, None)
                chunk.done |= int(done) << i
                self._drop(placement)

    def settled_rows(self, zone: str) -> dict[tuple[str, int], set[SettledAttempt]]:
        """What a block's page has to say still: rows whose attempts some stored record lists."""
        kept: dict[tuple[str, int], set[SettledAttempt]] = {}
        for (ref, number), overs in self._settled_pages_by_key.get(SETTLED_PREFIX + zone, {}).items():
            job = self.jobs.get(ref)
            chunk = job.chunks.get(number) if job is not None else None
            if chunk is not None and (left := {o for o in overs if o[:2] in chunk.recorded_attempts}):
                kept[ref, number] = left
        return kept

    def _part_changed(self, job: Job, key: str, value: Any, version: int) -> None:
        if key.startswith(SUM_PREFIX):
            value = value or {"full": []}
            full = {n for a, b in value["full"] for n in range(a, b + 1)}
            job.update_folded_chunks(full, value.get("u", 0), version)
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
                    self._drop(old[i])
                self._put(known)
            chunk.placements[i] = known
        for i, placement in old.items():
            if i not in chunk.placements:
                self._drop(placement)
        for rows in self._settled_pages_by_key.values():
            self._apply_settled(chunk, rows.get((job.spec.ref, number), ()))
        for page in self._dispatch_pages_by_key.values():
            hand = page.get(job.spec.ref, {}).get(number)
            if hand is not None:
                self._apply_dispatch(job, number, chunk, hand)

    def _put(self, placement: Placement) -> None:
        load = self.loads.setdefault(placement.machine, Load())
        load.placements[placement.task] = placement
        load.add(placement)
        self._changes.mark_changed(placement.machine)

    def _drop(self, placement: Placement) -> None:
        if self.settled.get(placement.task) is placement:
            del self.settled[placement.task]
        load = self.loads[placement.machine]
        del load.placements[placement.task]
        load.add(placement, -1)
        self._changes.mark_changed(placement.machine)
        if not load.placements:
            # Sums of amounts drift in the last digits: an empty machine starts anew.
            del self.loads[placement.machine]

    def load(self, machine: str) -> Load:
        """What stands on a machine, to be read only."""
        return self.loads.get(machine, NO_LOAD)

    def placements_on(self, machine: str) -> dict[TaskId, Placement]:
        """The placements on a machine, to be read only."""
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
        """A new holder starts from the records alone: what this node noted of the block before is stale."""
        for placement in self.placements():
            if placement.zone == zone:
                placement.phase, placement.running_since = Phase.PLACED, None
                placement.cause, placement.was_reported = None, False
                self.settled.pop(placement.task, None)
