"""The rounds of a holder, which manages the tasks in the blocks that this node holds.

A holder records what its workers report, stops tasks that must stop, and
starts the tasks that the leader dispatched to its blocks.  It chooses their
machines itself.  All its writes are guarded by the grants of its blocks, so a
superseded holder cannot start anything.  Only required stops are decided before
the mirror has caught up with a grant (`store.catch_up`).  A holder needs no
leader to keep services running.
"""

import logging
from collections import Counter
from collections.abc import Iterable
from dataclasses import replace
from datetime import timedelta

from kelpjunction.blocks import Blocks, block_key
from kelpjunction.changes import ChangeTracker
from kelpjunction.clock import ZERO, Clock, seconds
from kelpjunction.fleet.cloud import Fleet
from kelpjunction.jobs.failure_attribution import FailureAttribution
from kelpjunction.jobs.failure_avoidance import FailureAvoidance
from kelpjunction.jobs.job_index import (
    CHUNK_TASKS,
    SETTLED_PREFIX,
    SUM_PREFIX,
    DispatchTarget,
    Job,
    JobIndex,
    Phase,
    Placement,
    SettledAttempt,
    inclusive_ranges,
    settled_page,
)
from kelpjunction.jobs.records import RecordWriter, run_key
from kelpjunction.jobs.views import (
    ViewCache,
    count_by_zone_and_machine,
    expected_cached_images,
    machines_that_fit_if_empty,
    preemption_candidates,
    view_of,
    with_services_only,
)
from kelpjunction.placement import (
    MachineSelection,
    MachineView,
    PreemptionCache,
    Victim,
    place_gang,
    plan_preemptions,
)
from kelpjunction.queue import PendingJob, PreemptionPolicy, in_order
from kelpjunction.rate_limiter import Purpose
from kelpjunction.settings import OperatorSettings, PlatformSettings
from kelpjunction.store.client import Transaction
from kelpjunction.wire.messages import ExitCause, JobSpec, Shape, TaskId
from kelpjunction.workers.reachability import Reachability
from kelpjunction.workers.registry import WorkerRegistry

log = logging.getLogger("jobs")

MAX_RESULT_TXNS = 24  # result records written in one round before dispatched tasks are started
MAX_START_TXNS = 24
PAGE_FILL_FRACTION = 0.8  # largest size of a page of settled attempts, as a share of the size limit of a value
SETTLED_ROW_BYTES = 16
SETTLED_PAGE_WRITE_SHARE = 0.2
LEASE_EXPIRY_CHECK_INTERVAL = timedelta(milliseconds=500)
DISPATCH_RETURN_DELAY = timedelta(milliseconds=500)


class HolderScheduler:
    """Starts, stops and records the tasks in the blocks that this node holds."""

    def __init__(
        self,
        platform: PlatformSettings,
        operators: OperatorSettings,
        record_writer: RecordWriter,
        job_index: JobIndex,
        blocks: Blocks,
        worker_registry: WorkerRegistry,
        fleet: Fleet,
        failure_attribution: FailureAttribution,
        clock: Clock,
        changes: ChangeTracker,
    ) -> None:
        self._platform = platform
        self._operators = operators
        self._failure_attribution = failure_attribution
        self._failure_avoidance = FailureAvoidance(failure_attribution)
        self._preemption_policy = PreemptionPolicy(platform.teams, platform.classes_with_objectives)
        self._record_writer = record_writer
        self._job_index = job_index
        self._blocks = blocks
        self._worker_registry = worker_registry
        self._fleet = fleet
        self._clock = clock
        self._leases_checked_at = ZERO
        self._view_cache = ViewCache(changes, fleet, lambda: worker_registry.workers, self._view)
        # The pages of all blocks together may take SETTLED_PAGE_WRITE_SHARE of the write rate.
        self._settled_page_interval = seconds(
            len(platform.zones) / (SETTLED_PAGE_WRITE_SHARE * platform.store.write_rps)
        )
        self._settled_page_written_at: dict[str, timedelta] = {}
        self._unplaced_since: dict[str, timedelta] = {}  # by job: since when dispatched tasks have had no room

    def on_block_gained(self, zone: str) -> None:
        """Drop earlier observations of a block that this node has just gained, and start from its records."""
        self._job_index.reset_observations(zone)
        self._worker_registry.clear(zone)

    def round(self) -> bool:
        """Run one round for the blocks of this node; returns whether another round should follow at once."""
        if not self._blocks.held_zones():
            return False
        self._take_new_tokens()
        now = self._clock.steady()
        if now - self._leases_checked_at >= LEASE_EXPIRY_CHECK_INTERVAL:
            self._leases_checked_at = now
            self._worker_registry.settle_expired()
        result_txns = self._result_txns()
        if not self._record_writer.write(result_txns):
            return True
        self.stop_required()
        started = self._start_dispatched()
        return bool(result_txns) or started

    def _take_new_tokens(self) -> None:
        """Take new grants for held blocks whose tokens are too low to exclude earlier starts."""
        zones = sorted(self._worker_registry.zones_needing_new_tokens)
        if zones and self._blocks.issue_new_tokens(zones):
            self._worker_registry.zones_needing_new_tokens.difference_update(zones)

    def _guarded(self, job: Job, zones: set[str], purpose: Purpose | None = None) -> Transaction:
        """A transaction that fails if the job was cancelled, or if this node has lost one of the blocks."""
        txn = self._record_writer.guarded(job, purpose)
        for zone in zones:
            txn.guard(block_key(zone), self._blocks.grants[zone].version)
        return txn

    # -- results ------------------------------------------------------------

    def _result_txns(self) -> list[Transaction]:
        """Transactions that record settled placements: services first, then others up to MAX_RESULT_TXNS."""
        chunks_by_job: dict[str, set[int]] = {}
        for placement in self._job_index.settled_placements.values():
            if self._blocks.may_use(placement.zone):
                chunks_by_job.setdefault(placement.task.ref, set()).add(placement.task.index // CHUNK_TASKS)
        txns: list[Transaction] = []
        page_rows: dict[str, dict[tuple[str, int], set[SettledAttempt]]] = {}  # by block
        for job in sorted(
            map(self._job_index.jobs.__getitem__, chunks_by_job), key=lambda j: j.spec.shape is not Shape.SERVICE
        ):
            if len(txns) >= MAX_RESULT_TXNS:
                break
            txns.extend(self._settle_job_txns(job, chunks_by_job[job.spec.ref], page_rows))
        now = self._clock.steady()
        for zone, new_rows in page_rows.items():
            if (
                now - self._settled_page_written_at.get(zone, -self._settled_page_interval)
                >= self._settled_page_interval
            ):
                self._settled_page_written_at[zone] = now
                txns += self._settled_page_txns(zone, new_rows)
            else:
                self._record_writer.work_deferred = True  # a later round writes these rows together with newer ones
        return txns

    def _settle_job_txns(
        self, job: Job, chunk_numbers: set[int], page_rows: dict[str, dict[tuple[str, int], set[SettledAttempt]]]
    ) -> list[Transaction]:
        """Transactions that record a job's settled placements, unless rows added to `page_rows` are enough."""
        settled = [p for p in job.placements() if p.phase is Phase.SETTLED and self._blocks.may_use(p.zone)]
        if job.spec.shape is Shape.GANG and any(p.cause is ExitCause.DONE for p in settled):
            # A gang's tasks complete together, including those in other blocks.
            chunk_numbers = set(job.chunks)
            settled = list(job.placements())
            done = set(settled)
        else:
            done = {p for p in settled if p.cause is ExitCause.DONE}
        records = {number: self._record_without_settled(job, number, set(settled), done) for number in chunk_numbers}
        if not job.cancelled and self._finished(job, records):
            return [self._record_writer.end_transaction(job)]
        if self._settled_page_suffices(job, settled, records):
            for p in settled:
                number, index = divmod(p.task.index, CHUNK_TASKS)
                row = SettledAttempt(index, p.attempt, p in done)
                page_rows.setdefault(p.zone, {}).setdefault((job.spec.ref, number), set()).add(row)
            return []
        return self._chunk_txns(job, records, {p.zone for p in settled if self._blocks.may_use(p.zone)})

    def _settled_page_suffices(self, job: Job, settled: list[Placement], records: dict[int, dict]) -> bool:
        """Whether rows in the block's page are enough to record these placements.

        A row only says that an attempt is settled and whether its task is done.
        Chunk records must be written for failures that count against machines,
        for metered machine time, and for a completed chunk that can be folded.
        """
        return (
            job.spec.shape is Shape.ARRAY
            and not self._operators.records_machine_time
            and all(p.cause is not ExitCause.ERROR for p in settled)
            and (job.chunk_count == 1 or all(r["d"].bit_count() < job.chunk_size(n) for n, r in records.items()))
        )

    def _settled_page_txns(self, zone: str, new_rows: dict[tuple[str, int], set[SettledAttempt]]) -> list[Transaction]:
        """Write a block's page with these rows added; rows that exceed its size limit move to their chunks' records."""
        rows = self._job_index.settled_rows(zone)
        for chunk, settled_attempts in new_rows.items():
            rows[chunk] = rows.get(chunk, set()) | settled_attempts
        txns: list[Transaction] = []
        bytes_left = self._record_writer.value_bytes * PAGE_FILL_FRACTION - 20
        for ref, number in sorted(rows, key=lambda c: len(rows[c])):
            bytes_left -= len(ref) + 20 + SETTLED_ROW_BYTES * len(rows[ref, number])
            if bytes_left < 0:
                del rows[ref, number]
                job = self._job_index.jobs[ref]
                txns += self._chunk_txns(
                    job, {number: self._record_with_settled_rows(job, number, new_rows.get((ref, number), ()))}, {zone}
                )
        key = SETTLED_PREFIX + zone
        txn = Transaction(Purpose.RESULT).guard(block_key(zone), self._blocks.grants[zone].version)
        return [txn.guard(key, self._record_writer.version(key)).put(key, settled_page(rows)), *txns]

    def _record_with_settled_rows(self, job: Job, number: int, settled_attempts: Iterable[SettledAttempt]) -> dict:
        """A chunk's record with the rows of its block's page and these new rows applied."""
        record = job.chunks[number].record()
        settled_indexes = {attempt.index for attempt in settled_attempts}
        record["p"] = [row for row in record["p"] if row[0] not in settled_indexes]
        record["h"] = [row for row in record["h"] if row[0] not in settled_indexes]
        for index, _, done in settled_attempts:
            record["d"] |= int(done) << index
        return record

    def _record_without_settled(self, job: Job, number: int, settled: set[Placement], done: set[Placement]) -> dict:
        """A chunk's record without settled placements; unfinished tasks, except replicas, return to the leader."""
        chunk = job.chunks[number]
        record = chunk.record()
        settled_indexes = {i for i, p in chunk.placements.items() if p in settled}
        # A service's replica is restarted in its block even without a leader,
        # so its dispatch is kept.  The leader dispatches all other tasks again.
        keep_dispatches = job.spec.shape is Shape.SERVICE and not job.cancelled
        record["p"] = [row for row in record["p"] if row[0] not in settled_indexes]
        record["h"] = [row for row in record["h"] if row[0] not in settled_indexes or keep_dispatches]
        now = job.age_ms(self._clock.utc())
        for i, placement in chunk.placements.items():
            if placement in done:
                record["d"] |= 1 << i
            if i in settled_indexes and (machine_time_ms := placement.machine_time_ms(now)):
                record["u"] = record.get("u", 0) + machine_time_ms
        failed = [p.machine for i, p in chunk.placements.items() if i in settled_indexes and p.cause is ExitCause.ERROR]
        return record | chunk.failure_fields(failed) if failed else record

    def _finished(self, job: Job, records: dict[int, dict]) -> bool:
        if job.spec.shape is Shape.SERVICE:
            return False
        done = sum(job.chunk_size(n) for n in job.folded_chunks)
        for number, chunk in job.chunks.items():
            if number not in job.folded_chunks:
                record = records.get(number)
                done += (record["d"] if record else chunk.done).bit_count()
        return done >= job.spec.tasks

    def _chunk_txns(self, job: Job, records: dict[int, dict], zones: set[str]) -> list[Transaction]:
        """Write these chunk records; a completed chunk is folded into the job's sum instead, at most one per call."""
        txns: list[Transaction] = []
        purpose = Purpose.SERVICE if job.spec.shape is Shape.SERVICE else Purpose.RESULT
        has_folded = False
        for number, record in sorted(records.items()):
            key = run_key(job.spec.ref, number)
            txn = self._guarded(job, zones, purpose).guard(key, job.chunks[number].version)
            complete = record["d"].bit_count() == job.chunk_size(number)
            if complete and not record["p"] and job.chunk_count > 1 and not has_folded:
                has_folded = True
                sum_key = SUM_PREFIX + job.spec.ref
                sum_record = {"full": inclusive_ranges(job.folded_chunks | {number})}
                if folded_ms := job.folded_ms + record.get("u", 0):
                    sum_record["u"] = folded_ms
                txn.guard(sum_key, job.sum_version).put(sum_key, sum_record)
                txn.delete(key)
            else:
                txn.put(key, record)
            txns.append(txn)
        return txns

    # -- stopping -----------------------------------------------------------

    def stop_required(self) -> None:
        """Stop tasks of cancelled jobs and broken gangs, and tasks on machines about to be reclaimed.

        This writes no records and waits for nothing, so it also runs in a loop
        of its own.  When only rounds called it, they once stalled for 20 s while
        the state service refused requests, and tasks of cancelled jobs ran
        longer than allowed.
        """
        stopped: list[Placement] = []
        for ref in self._job_index.cancelled_jobs:
            stopped += self._stop_all(self._job_index.jobs[ref], ZERO, "cancelled")
        for ref in self._job_index.gang_jobs - self._job_index.cancelled_jobs:
            job = self._job_index.jobs[ref]
            if job.is_broken_gang():
                stopped += self._stop_all(job, ZERO, "its gang is not whole")
            elif not all(p.is_active for p in job.placements()):
                stopped += self._stop_all(job, job.spec.save, "its gang is being stopped")
        now = self._clock.steady()
        for worker in self._worker_registry.workers.values():
            if worker.reclaim_at is None:
                continue
            for placement in self._job_index.placements_on(worker.machine).values():
                spec = placement.spec
                margin = spec.save * 1.2 + self._platform.workers.report * 1.5
                if placement.is_active and spec.checkpoint and worker.reclaim_at - now < margin:
                    self._worker_registry.stop(placement, spec.save, "its machine is taken back")
                    stopped.append(placement)
        self._worker_registry.send(stopped)

    def _stop_all(self, job: Job, grace: timedelta, reason: str) -> list[Placement]:
        """Stop a job's tasks in this node's blocks.

        This includes tasks that are already stopping with a grace period longer than `grace`.
        """
        stopped = [
            p
            for p in job.placements()
            if (p.is_active or (p.phase is Phase.STOPPING and grace < p.grace))
            and self._blocks.own_grant(p.zone) is not None
        ]
        for placement in stopped:
            self._worker_registry.stop(placement, grace, reason)
        return stopped

    # -- starting -----------------------------------------------------------

    def _start_dispatched(self) -> bool:
        """Start tasks dispatched to this node's blocks; returns whether another round should follow at once."""
        dispatched: dict[str, list[tuple[TaskId, DispatchTarget]]] = {}
        for job in map(self._job_index.jobs.__getitem__, self._job_index.dispatched_jobs):
            startable = [(t, target) for t, target in job.unstarted_dispatches() if self._blocks.may_use(target.zone)]
            if job.spec.shape is Shape.SERVICE and job.failures and self._failure_attribution.is_failing_job(job):
                # The holder restarts replicas without the leader, so it limits their retries itself.
                startable = startable[: 1 if self._failure_attribution.retry_due(job) else 0]
            if startable:
                dispatched[job.spec.ref] = startable
        self._unplaced_since = {
            ref: waiting_since for ref, waiting_since in self._unplaced_since.items() if ref in dispatched
        }
        if not dispatched:
            return False
        self._fleet.note_accelerator_specs()
        views = self._views()
        txns: list[Transaction] = []
        written: Counter[Shape] = Counter()
        starting: list[TaskId] = []
        unplaced: list[tuple[Job, list[tuple[TaskId, DispatchTarget]]]] = []
        more_remain = False
        for ref in self._start_order(dispatched):
            job = self._job_index.jobs[ref]
            if written[job.spec.shape] >= MAX_START_TXNS and job.spec.shape is not Shape.SERVICE:
                more_remain = True
                continue  # the next round starts it: its writes must not delay services now
            starts, without_room = self._choose_machines(job, dispatched[ref], views)
            if starts:
                txns += (job_txns := self._start_txns(job, starts))
                written[job.spec.shape] += len(job_txns)
                starting += [task for task, _, _ in starts]
            if without_room:
                unplaced.append((job, without_room))
            else:
                self._unplaced_since.pop(ref, None)
        if txns and not self._record_writer.write(txns, lambda: self._send_committed(starting)):
            return True
        returned = self._preempt_or_return(unplaced, views)
        return bool(txns) or returned or more_remain

    def _send_committed(self, starting: list[TaskId]) -> None:
        """Send the starts that are committed, those of a gang only together, and remove them from `starting`.

        They are sent after each commit, because the answers to all of them together may take too long: a start may
        only be sent for a while after the commit that placed it (`StartPermits`).
        """
        placements = {task: self._job_index.placement(task) for task in starting}
        incomplete_jobs = {task.ref for task, placement in placements.items() if placement is None}
        committed = {
            task: placement
            for task, placement in placements.items()
            if placement is not None and (placement.spec.shape is not Shape.GANG or task.ref not in incomplete_jobs)
        }
        starting[:] = [task for task in starting if task not in committed]
        self._worker_registry.send([p for p in committed.values() if p.is_active])

    def _start_order(self, dispatched: dict[str, list]) -> list[str]:
        """The order in which dispatched jobs choose machines.

        Jobs for which the leader named machines come first, then services and
        gangs, then arrays; each group is ordered by deficit.  The leader found
        room for all these jobs together.  When an array chose its machines
        first, it took machines that a gang needed entirely.
        """
        jobs = [self._job_index.jobs[ref] for ref in dispatched]
        by_deficit = in_order(
            (
                PendingJob(j.spec.ref, weight_of(j.spec, self._operators), j.submitted, j.received_machine_time)
                for j in jobs
            ),
            self._clock.utc(),
            self._operators.arrival_credit,
        )

        def start_group(ref: str) -> int:
            if any(target.machine is not None for _, target in dispatched[ref]):
                return 0
            return 2 if self._job_index.jobs[ref].spec.shape is Shape.ARRAY else 1

        return sorted(by_deficit, key=start_group)

    def _choose_machines(
        self, job: Job, dispatched: list[tuple[TaskId, DispatchTarget]], views: MachineSelection
    ) -> tuple[list[tuple[TaskId, MachineView, int | None]], list[tuple[TaskId, DispatchTarget]]]:
        """Machines (and named attempts) for a job's dispatched tasks, and the tasks that found no machine."""
        spec = job.spec
        if spec.shape is Shape.GANG:
            return self._choose_gang_machines(job, dispatched, views)
        starts: list[tuple[TaskId, MachineView, int | None]] = []
        without_room: list[tuple[TaskId, DispatchTarget]] = []
        _, tasks_by_machine = count_by_zone_and_machine(job)
        without_machine: list[tuple[TaskId, DispatchTarget]] = []
        for task, target in dispatched:
            # The leader names a machine whose room is reserved if the job has waited long although that room was free.
            # The room is reserved in this node's views too, so reservations are ignored here.
            view = views.get(target.machine)
            if view is not None and view.fits_ignoring_reservations(spec):
                view.allocate(spec)
                starts.append((task, view, target.attempt))
            else:
                without_machine.append((task, target))  # none named, or its room is taken: any machine of the block
        dispatched = without_machine
        for zone in sorted({d.zone for _, d in dispatched}):
            tasks = [(t, d) for t, d in dispatched if d.zone == zone]
            price_limit = self._fleet.price_limit(job)
            chosen = self._failure_avoidance.place(
                job, len(tasks), views.within([zone]), Counter(), tasks_by_machine, price_limit
            )
            starts += [(task, view, None) for (task, _), view in zip(tasks, chosen, strict=False)]
            without_room += tasks[len(chosen) :]
        return starts, without_room

    def _choose_gang_machines(
        self, job: Job, dispatched: list[tuple[TaskId, DispatchTarget]], views: MachineSelection
    ) -> tuple[list[tuple[TaskId, MachineView, int | None]], list[tuple[TaskId, DispatchTarget]]]:
        """Machines for a gang: those the leader named if it spans blocks, else any in its block that fit all of it."""
        spec = job.spec
        named = [(t, d) for t, d in dispatched if d.machine is not None]
        if named:
            starts = []
            for task, target in named:
                view = views.get(target.machine)
                if view is None or not view.fits_ignoring_reservations(spec):
                    return [], named
                view.allocate(spec)
                starts.append((task, view, target.attempt))
            return starts, []
        if len(dispatched) < spec.tasks or job.placed_count():
            return [], []  # its other tasks are not dispatched yet, or earlier attempts are not settled yet
        zones = {d.zone for _, d in dispatched}
        chosen = self._failure_avoidance.place_gang(job, views.within(zones))
        if chosen is not None:
            attempt = max(c.next_attempt for c in job.chunks.values())
            return [(task, view, attempt) for (task, _), view in zip(dispatched, chosen, strict=True)], []
        # Reserve machines for the gang, so that later jobs in the order do not start on them.
        admitted = self._failure_avoidance.admitted(job, views.within(zones))
        suitable = machines_that_fit_if_empty(spec, admitted)
        reserved = place_gang(spec, [with_services_only(v, self._placements_on(v)) for v in suitable]) or []
        for name in {v.name for v in reserved}:
            views.get(name).hold_for_gang(spec.ref)
        return [], [] if reserved else dispatched

    def _placements_on(self, view: MachineView) -> list[Placement]:
        return list(self._job_index.placements_on(view.name).values())

    def _start_txns(self, job: Job, starts: list[tuple[TaskId, MachineView, int | None]]) -> list[Transaction]:
        """Transactions that record these starts, guarded by the job, the chunk and the blocks' grants."""
        started_ms = [job.age_ms(self._clock.utc())] if self._operators.records_machine_time else []
        by_chunk: dict[int, list[tuple[TaskId, MachineView, int | None]]] = {}
        for start in starts:
            by_chunk.setdefault(start[0].index // CHUNK_TASKS, []).append(start)
        txns = []
        for number, group in by_chunk.items():
            chunk = job.chunks[number]
            record = chunk.record()
            txn = self._guarded(job, {view.zone for _, view, _ in group})
            txn.guard(run_key(job.spec.ref, number), chunk.version)
            if not chunk.version and job.chunk_count > 1:
                # A chunk that was written, completed and folded since its dispatch has no record either.
                txn.guard(SUM_PREFIX + job.spec.ref, job.sum_version)
            for task, view, named_attempt in group:
                attempt = chunk.next_attempt if named_attempt is None else named_attempt
                record["n"] = max(record["n"], attempt + 1)
                session = self._worker_registry.workers[view.name].session
                record["p"].append([task.index % CHUNK_TASKS, attempt, view.name, session, view.zone, *started_ms])
            txns.append(txn.put(run_key(job.spec.ref, number), record))
        return txns

    def _views(self) -> MachineSelection:
        """The machines in this node's blocks that can take work now; callers choose within each block separately."""
        min_proved_at = self._clock.steady() - self._platform.workers.report * 2.5
        workers = self._worker_registry.workers

        def ready(view: MachineView) -> bool:
            # The registry may drop a worker while this round waits for a request to finish.
            worker = workers.get(view.name)
            return worker is not None and worker.reachability_tracker.proved_at >= min_proved_at

        return replace(self._view_cache.refreshed_views().within(self._blocks.usable_zones()), is_ready=ready)

    def _view(self, name: str) -> MachineView | None:
        """A machine's view, or None if it is not usable or its worker is not reachable from this node."""
        worker, machine = self._worker_registry.workers.get(name), self._fleet.machines.get(name)
        type_ = self._fleet.catalog.get(machine.type) if machine else None
        if worker is None or type_ is None or not machine.usable:
            return None
        if worker.reachability_tracker.reachability is not Reachability.REACHABLE:
            return None
        images = expected_cached_images(reversed(worker.images.items()), type_.cache_gb)
        return view_of(machine, type_, images, self._job_index.load(name), self._fleet)

    # -- making room ----------------------------------------------------------

    def _preempt_or_return(
        self, unplaced: list[tuple[Job, list[tuple[TaskId, DispatchTarget]]]], views: MachineSelection
    ) -> bool:
        """Preempt others for unplaced tasks, or return the tasks to the leader; returns whether any were returned."""
        if not unplaced:
            return False
        now = self._clock.steady()
        victims = self._victims_by_machine([job for job, _ in unplaced], views, now)
        preemptions = PreemptionCache(victims, self._preemption_policy)
        stopped: list[Placement] = []
        return_txns: list[Transaction] = []
        for job, tasks in unplaced:
            if job.spec.ref not in self._job_index.jobs:
                continue  # it ended while the starts were written
            since = self._unplaced_since.setdefault(job.spec.ref, now)
            if job.spec.shape is not Shape.GANG and self._preempt_for(job, tasks, views, preemptions, stopped):
                continue
            if now - since >= DISPATCH_RETURN_DELAY:
                del self._unplaced_since[job.spec.ref]
                return_txns += self._return_dispatches(job, tasks)
        self._worker_registry.send(stopped)
        if return_txns:
            self._record_writer.write(return_txns)
        return bool(return_txns)

    def _return_dispatches(self, job: Job, unplaced: list[tuple[TaskId, DispatchTarget]]) -> list[Transaction]:
        log.info("job %s: returning %d tasks to the leader: no room in their blocks", job.spec.ref, len(unplaced))
        txns = []
        for number in sorted({t.index // CHUNK_TASKS for t, _ in unplaced}):
            indexes = {t.index % CHUNK_TASKS for t, _ in unplaced if t.index // CHUNK_TASKS == number}
            chunk = job.chunks[number]
            record = chunk.record()
            record["h"] = [row for row in record["h"] if row[0] not in indexes]
            key = run_key(job.spec.ref, number)
            zones = {target.zone for _, target in unplaced}
            txns.append(self._guarded(job, zones).guard(key, chunk.version).put(key, record))
        return txns

    def _victims_by_machine(self, jobs: list[Job], views: MachineSelection, now: timedelta) -> dict[str, list[Victim]]:
        """Placements that may be stopped for these jobs, by machine; in `views`, room of stopping tasks is freed."""
        for view in list(views):
            for placement in self._job_index.placements_on(view.name).values():
                if placement.phase is Phase.STOPPING:
                    view.release(placement.spec)

        def victim_of(placement: Placement) -> Victim | None:
            stoppable = placement.is_active and self._blocks.may_use(placement.zone)
            return self._make_victim(placement, now) if stoppable else None

        return preemption_candidates(self._job_index, self._preemption_policy, [job.spec for job in jobs], victim_of)

    def _preempt_for(
        self,
        job: Job,
        unplaced: list[tuple[TaskId, DispatchTarget]],
        views: MachineSelection,
        preemptions: PreemptionCache,
        stopped: list[Placement],
    ) -> bool:
        """Preempt what the job may preempt for these tasks; returns whether all of them will have room."""
        spec = job.spec
        _, tasks_by_machine = count_by_zone_and_machine(job)
        for zone in sorted({target.zone for _, target in unplaced}):
            block_views = self._failure_avoidance.admitted(job, views.within([zone]))
            count = sum(target.zone == zone for _, target in unplaced)
            price_limit = self._fleet.price_limit(job)
            count -= len(
                self._failure_avoidance.place(job, count, block_views, Counter(), tasks_by_machine, price_limit)
            )
            plan = plan_preemptions(spec, count, block_views, preemptions, Counter())
            for _, chosen in plan:
                for victim in chosen:
                    stopped += self._stop_victim(victim.placement, spec)
            if len(plan) < count:
                return False
        return True

    def _make_victim(self, placement: Placement, now: timedelta) -> Victim:
        """A placement with the run time lost by stopping it.

        The loss is the time since the last checkpoint, or for a gang the time
        that all its tasks together need to save.
        """
        spec = placement.spec
        loss = now - placement.running_since if placement.running_since is not None else ZERO
        if spec.checkpoint:
            loss %= spec.checkpoint
        if spec.shape is Shape.GANG:
            loss = (spec.save + seconds(1)) * spec.tasks
        return Victim(placement, spec, loss)

    def _stop_victim(self, placement: Placement, preemptor: JobSpec) -> list[Placement]:
        job = self._job_index.jobs[placement.task.ref]
        reason = f"{preemptor.ref} needs its room"
        log.info("stopping %s on %s: %s", placement.task, placement.machine, reason)
        if job.spec.shape is Shape.GANG:
            return self._stop_all(job, job.spec.save, reason)
        # A waiting service does not wait for a save; the last checkpoint is recent, so little work is lost.
        self._worker_registry.stop(placement, ZERO if preemptor.shape is Shape.SERVICE else placement.spec.save, reason)
        return [placement]


def weight_of(spec: JobSpec, operators: OperatorSettings) -> float:
    """How fast a waiting job's deficit grows: the weight of its shape times the weight of its priority."""
    return operators.class_weights[spec.shape.value] * operators.urgency_weights[spec.priority.name.lower()]
