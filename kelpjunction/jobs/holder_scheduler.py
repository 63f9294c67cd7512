"""A holder's rounds: what becomes of the tasks in the blocks that this node holds.

It writes down what its workers report, stops what must stop, and starts the
tasks that the leader handed to its blocks, choosing the machines itself.  All
its writes are guarded by its blocks' grants, so a holder that was superseded
can't start anything, and it needs no leader to keep services up.
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
    ranges,
    settled_page,
)
from kelpjunction.jobs.records import RecordWriter, run_key
from kelpjunction.jobs.views import (
    ViewCache,
    able_for,
    cached,
    count_by_zone_and_machine,
    fitting,
    preemption_candidates,
    view_of,
    with_services_only,
)
from kelpjunction.placement import (
    MachineSelection,
    MachineView,
    PreemptionCache,
    Victim,
    place,
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

MAX_RESULT_TXNS = 24  # records written before what was handed over is started
MAX_START_TXNS = 24
PAGE_FILL_LIMIT = 0.8  # of what a value may take: how long a page of attempts that are over may grow
SETTLED_ROW_BYTES = 16
SETTLED_PAGE_WRITE_SHARE = 0.2
LEASE_EXPIRY_CHECK_INTERVAL = timedelta(milliseconds=500)
DISPATCH_RETURN_DELAY = timedelta(milliseconds=500)


class HolderScheduler:
    """The tasks of the blocks that this node holds."""

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
        self._preemption_policy = PreemptionPolicy(platform.teams, platform.classes_with_objectives)
        self._record_writer = record_writer
        self._job_index = job_index
        self._blocks = blocks
        self._worker_registry = worker_registry
        self._fleet = fleet
        self._clock = clock
        self._expired_at = ZERO
        self._view_cache = ViewCache(changes, fleet, lambda: worker_registry.workers, self._view)
        # Of the rate of changes, what the pages of all blocks may take together.
        self._settled_page_interval = seconds(
            len(platform.zones) / (SETTLED_PAGE_WRITE_SHARE * platform.store.write_rps)
        )
        self._settled_page_written_at: dict[str, timedelta] = {}
        self._unplaced_since: dict[str, timedelta] = {}  # since when a handed job finds no room

    def on_block_gained(self, zone: str) -> None:
        """A block became ours: start from the records alone."""
        self._job_index.reset_observations(zone)
        self._worker_registry.clear(zone)

    def round(self) -> bool:
        """Bring the records of our blocks up to date; whether another round should follow at once."""
        if not self._blocks.held_zones():
            return False
        self._raise_uncertain_tokens()
        now = self._clock.steady()
        if now - self._expired_at >= LEASE_EXPIRY_CHECK_INTERVAL:
            self._expired_at = now
            self._worker_registry.settle_expired()
        results = self._results()
        if not self._record_writer.write(results):
            return True
        self.stop_required()
        started = self._start_dispatched()
        return bool(results) or started

    def _raise_uncertain_tokens(self) -> None:
        """Raise the token of blocks where a command may still be under way."""
        zones = sorted(self._worker_registry.zones_needing_new_token)
        if zones and self._blocks.issue_new_tokens(zones):
            self._worker_registry.zones_needing_new_token.difference_update(zones)

    def _guarded(self, job: Job, zones: set[str], purpose: Purpose | None = None) -> Transaction:
        """A transaction that fails if the job was cancelled, or a block is not ours any more."""
        txn = self._record_writer.guarded(job, purpose)
        for zone in zones:
            txn.guard(block_key(zone), self._blocks.grants[zone].version)
        return txn

    # -- results ------------------------------------------------------------

    def _results(self) -> list[Transaction]:
        """What must be written about settled placements: services first, the rest as far as one round goes."""
        touched: dict[str, set[int]] = {}
        for placement in self._job_index.settled.values():
            if self._blocks.own_grant(placement.zone) is not None:
                touched.setdefault(placement.task.ref, set()).add(placement.task.index // CHUNK_TASKS)
        txns: list[Transaction] = []
        over: dict[str, dict[tuple[str, int], set[SettledAttempt]]] = {}  # by block, what goes into its page
        for job in sorted(
            map(self._job_index.jobs.__getitem__, touched), key=lambda j: j.spec.shape is not Shape.SERVICE
        ):
            if len(txns) >= MAX_RESULT_TXNS:
                break
            txns.extend(self._settle_job(job, touched[job.spec.ref], over))
        now = self._clock.steady()
        for zone, rows in over.items():
            if (
                now - self._settled_page_written_at.get(zone, -self._settled_page_interval)
                >= self._settled_page_interval
            ):
                self._settled_page_written_at[zone] = now
                txns += self._settled_page_txns(zone, rows)
            else:
                self._record_writer.work_deferred = True  # with what ends meanwhile, in a round soon
        return txns

    def _settle_job(
        self, job: Job, numbers: set[int], pages: dict[str, dict[tuple[str, int], set[SettledAttempt]]]
    ) -> list[Transaction]:
        """What is to be written of a job's settled placements; or it is put into their blocks' pages."""
        over = [p for p in job.placements() if p.phase is Phase.SETTLED and self._blocks.own_grant(p.zone) is not None]
        if job.spec.shape is Shape.GANG and any(p.cause is ExitCause.DONE for p in over):
            # They complete together, those in other blocks too.
            numbers = set(job.chunks)
            over = list(job.placements())
            done = set(over)
        else:
            done = {p for p in over if p.cause is ExitCause.DONE}
        records = {number: self._record_without_settled(job, number, set(over), done) for number in numbers}
        if not job.cancelled and self._finished(job, records):
            return [self._record_writer.end_transaction(job)]
        if self._settled_page_suffices(job, over, records):
            for p in over:
                number, index = divmod(p.task.index, CHUNK_TASKS)
                row = SettledAttempt(index, p.attempt, p in done)
                pages.setdefault(p.zone, {}).setdefault((job.spec.ref, number), set()).add(row)
            return []
        return self._chunk_txns(job, records, {p.zone for p in over if self._blocks.own_grant(p.zone) is not None})

    def _settled_page_suffices(self, job: Job, settled: list[Placement], records: dict[int, dict]) -> bool:
        """Whether all that is to be said of these placements is that they are over, so that their block's page can.

        Not what speaks against machines, nor what is metered, nor a chunk that
        is all done and can be folded away.
        """
        return (
            job.spec.shape is Shape.ARRAY
            and not self._operators.records_machine_time
            and all(p.cause is not ExitCause.ERROR for p in settled)
            and (job.chunk_count == 1 or all(r["d"].bit_count() < job.chunk_size(n) for n, r in records.items()))
        )

    def _settled_page_txns(self, zone: str, new: dict[tuple[str, int], set[SettledAttempt]]) -> list[Transaction]:
        """A block's page with these rows; what makes it too long is folded into its chunks' records."""
        rows = self._job_index.settled_rows(zone)
        for chunk, overs in new.items():
            rows[chunk] = rows.get(chunk, set()) | overs
        txns: list[Transaction] = []
        room = self._record_writer.value_bytes * PAGE_FILL_LIMIT - 20
        for ref, number in sorted(rows, key=lambda c: len(rows[c])):
            room -= len(ref) + 20 + SETTLED_ROW_BYTES * len(rows[ref, number])
            if room < 0:
                del rows[ref, number]
                job = self._job_index.jobs[ref]
                txns += self._chunk_txns(
                    job, {number: self._record_with_settled_rows(job, number, new.get((ref, number), ()))}, {zone}
                )
        key = SETTLED_PREFIX + zone
        txn = Transaction(Purpose.RESULT).guard(block_key(zone), self._blocks.grants[zone].version)
        return [txn.guard(key, self._record_writer.version(key)).put(key, settled_page(rows)), *txns]

    def _record_with_settled_rows(self, job: Job, number: int, overs: Iterable[SettledAttempt]) -> dict:
        """A chunk's record with what its block's page says of it, and with these rows too."""
        record = job.chunks[number].record()
        gone = {o.index for o in overs}
        record["p"] = [row for row in record["p"] if row[0] not in gone]
        record["h"] = [row for row in record["h"] if row[0] not in gone]
        for index, _, done in overs:
            record["d"] |= int(done) << index
        return record

    def _record_without_settled(self, job: Job, number: int, settled: set[Placement], done: set[Placement]) -> dict:
        """A chunk's record without what is over; what did not end well goes back to the leader."""
        chunk = job.chunks[number]
        record = chunk.record()
        gone = {i for i, p in chunk.placements.items() if p in settled}
        # A service's replica is started again in its block even if nobody
        # leads; everything else the leader hands over anew.
        keep = job.spec.shape is Shape.SERVICE and not job.cancelled
        record["p"] = [row for row in record["p"] if row[0] not in gone]
        record["h"] = [row for row in record["h"] if row[0] not in gone or keep]
        now = job.age_ms(self._clock.utc())
        for i, placement in chunk.placements.items():
            if placement in done:
                record["d"] |= 1 << i
            if i in gone and (held := placement.machine_time_ms(now)):
                record["u"] = record.get("u", 0) + held
        failed = [p.machine for i, p in chunk.placements.items() if i in gone and p.cause is ExitCause.ERROR]
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
        """Chunks as they now stand; a chunk that is all done is folded into the sum, one in a round."""
        txns: list[Transaction] = []
        purpose = Purpose.SERVICE if job.spec.shape is Shape.SERVICE else Purpose.RESULT
        folded = False
        for number, record in sorted(records.items()):
            key = run_key(job.spec.ref, number)
            txn = self._guarded(job, zones, purpose).guard(key, job.chunks[number].version)
            whole = record["d"].bit_count() == job.chunk_size(number)
            if whole and not record["p"] and job.chunk_count > 1 and not folded:
                folded = True
                sum_key = SUM_PREFIX + job.spec.ref
                folded_up = {"full": ranges(job.folded_chunks | {number})}
                if spent := job.folded_ms + record.get("u", 0):
                    folded_up["u"] = spent
                txn.guard(sum_key, job.sum_version).put(sum_key, folded_up)
                txn.delete(key)
            else:
                txn.put(key, record)
            txns.append(txn)
        return txns

    # -- stopping -----------------------------------------------------------

    def stop_required(self) -> None:
        """Stop tasks of cancelled jobs, of broken gangs, and on machines about to be taken.

        Writes nothing and waits for nothing, so it has a loop of its own: once
        rounds stood for 20 s behind a state service that refused, and tasks of
        cancelled jobs ran on for longer than they may.
        """
        told: list[Placement] = []
        for ref in self._job_index.cancelled:
            told += self._stop_all(self._job_index.jobs[ref], ZERO, "cancelled")
        for ref in self._job_index.gangs - self._job_index.cancelled:
            job = self._job_index.jobs[ref]
            if job.broken_gang():
                told += self._stop_all(job, ZERO, "its gang is not whole")
            elif not all(p.is_active for p in job.placements()):
                told += self._stop_all(job, job.spec.save, "its gang is being stopped")
        now = self._clock.steady()
        for worker in self._worker_registry.workers.values():
            if worker.reclaim_at is None:
                continue
            for placement in self._job_index.placements_on(worker.machine).values():
                spec = placement.spec
                margin = spec.save * 1.2 + self._platform.workers.report * 1.5
                if placement.is_active and spec.checkpoint and worker.reclaim_at - now < margin:
                    self._worker_registry.stop(placement, spec.save, "its machine is taken back")
                    told.append(placement)
        self._worker_registry.send(told)

    def _stop_all(self, job: Job, grace: timedelta, reason: str) -> list[Placement]:
        """Stop all of a job's tasks in our blocks; of those that are saving, such as may do so for longer."""
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
        """Start what the leader handed to our blocks; whether anything was started or handed back."""
        handed: dict[str, list[tuple[TaskId, DispatchTarget]]] = {}
        for job in map(self._job_index.jobs.__getitem__, self._job_index.dispatched_jobs):
            ours = [(t, h) for t, h in job.unstarted_dispatches() if self._blocks.own_grant(h.zone) is not None]
            if job.spec.shape is Shape.SERVICE and job.failures and self._failure_attribution.is_failing_job(job):
                # Its replicas are restarted here, without the leader.
                ours = ours[: 1 if self._failure_attribution.retry_due(job) else 0]
            if ours:
                handed[job.spec.ref] = ours
        self._unplaced_since = {ref: since for ref, since in self._unplaced_since.items() if ref in handed}
        if not handed:
            return False
        self._fleet.note_accelerator_specs()
        views = self._views()
        txns: list[Transaction] = []
        written: Counter[Shape] = Counter()
        starting: list[TaskId] = []
        roomless: list[tuple[Job, list[tuple[TaskId, DispatchTarget]]]] = []
        more = False
        for ref in self._order(handed):
            job = self._job_index.jobs[ref]
            if written[job.spec.shape] >= MAX_START_TXNS and job.spec.shape is not Shape.SERVICE:
                more = True
                continue  # in the next round: what it writes now must not keep services waiting
            starts, left = self._choose(job, handed[ref], views)
            if starts:
                txns += (new := self._start_txns(job, starts))
                written[job.spec.shape] += len(new)
                starting += [task for task, _, _ in starts]
            if left:
                roomless.append((job, left))
            else:
                self._unplaced_since.pop(ref, None)
        if txns:
            if not self._record_writer.write(txns):
                return True
            placed = [self._job_index.placement(task) for task in starting]
            self._worker_registry.send([p for p in placed if p is not None and p.is_active])
        back = self._preempt_or_return(roomless, views)
        return bool(txns) or back or more

    def _order(self, handed: dict[str, list]) -> list[str]:
        """By deficit, but gangs before arrays, and before all others those whose machines the leader named.

        The leader found room for all of it together.  An array that chose its
        machines first here took those that the gang needed whole.
        """
        jobs = [self._job_index.jobs[ref] for ref in handed]
        order = in_order(
            (
                PendingJob(j.spec.ref, weight_of(j.spec, self._operators), j.submitted, j.task_time_received)
                for j in jobs
            ),
            self._clock.utc(),
            self._operators.arrival_credit,
        )

        def turn(ref: str) -> int:
            if any(h.machine is not None for _, h in handed[ref]):
                return 0
            return 2 if self._job_index.jobs[ref].spec.shape is Shape.ARRAY else 1

        return sorted(order, key=turn)

    def _choose(
        self, job: Job, dispatched: list[tuple[TaskId, DispatchTarget]], views: MachineSelection
    ) -> tuple[list[tuple[TaskId, MachineView, int | None]], list[tuple[TaskId, DispatchTarget]]]:
        """Machines for a job's handed tasks; and the tasks that found none."""
        spec = job.spec
        able = able_for(job, views)
        if spec.shape is Shape.GANG:
            return self._choose_for_gang(job, dispatched, able, views)
        starts: list[tuple[TaskId, MachineView, int | None]] = []
        left: list[tuple[TaskId, DispatchTarget]] = []
        _, mates = count_by_zone_and_machine(job)
        plain: list[tuple[TaskId, DispatchTarget]] = []
        for task, handed in dispatched:
            # The leader named a machine that is held or kept here, as the job had stood beside its room for long.
            view = able.get(handed.machine)
            if view is not None and view.fits_ignoring_reservations(spec):
                view.allocate(spec)
                starts.append((task, view, handed.attempt))
            else:
                plain.append((task, handed))  # that room is gone, or none was named: anywhere in the block
        dispatched = plain
        for zone in sorted({h.zone for _, h in dispatched}):
            tasks = [(t, h) for t, h in dispatched if h.zone == zone]
            there = able.within([zone])
            chosen = place(spec, len(tasks), there, Counter(), mates, self._fleet.price_limit(job))
            starts += [(task, view, None) for (task, _), view in zip(tasks, chosen, strict=False)]
            left += tasks[len(chosen) :]
        return starts, left

    def _choose_for_gang(
        self, job: Job, dispatched: list[tuple[TaskId, DispatchTarget]], able: MachineSelection, views: MachineSelection
    ) -> tuple[list[tuple[TaskId, MachineView, int | None]], list[tuple[TaskId, DispatchTarget]]]:
        """A gang that spans blocks starts where the leader said; one that was handed whole, where it fits."""
        spec = job.spec
        named = [(t, h) for t, h in dispatched if h.machine is not None]
        if named:
            starts = []
            for task, handed in named:
                view = able.get(handed.machine)
                if view is None or not view.fits_ignoring_reservations(spec):
                    return [], named
                view.allocate(spec)
                starts.append((task, view, handed.attempt))
            return starts, []
        if len(dispatched) < spec.tasks or job.placed_count():
            return [], []  # the rest of it is still being handed over, or leaving
        zones = {h.zone for _, h in dispatched}
        chosen = place_gang(spec, able.within(zones))
        if chosen is not None:
            attempt = max(c.next_attempt for c in job.chunks.values())
            return [(task, view, attempt) for (task, _), view in zip(dispatched, chosen, strict=True)], []
        # Nothing below it in the order starts on the machines picked for it.
        fit = fitting(spec, able.within(zones))
        held = place_gang(spec, [with_services_only(v, self._on(v)) for v in fit]) or []
        for name in {v.name for v in held}:
            views.get(name).hold_for_gang(spec.ref)
        return [], [] if held else dispatched

    def _on(self, view: MachineView) -> list[Placement]:
        return list(self._job_index.placements_on(view.name).values())

    def _start_txns(self, job: Job, starts: list[tuple[TaskId, MachineView, int | None]]) -> list[Transaction]:
        """Launch records, guarded by the job, the chunk and the blocks' grants."""
        metered = [job.age_ms(self._clock.utc())] if self._operators.records_machine_time else []
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
                # It may have been written, done and folded away since it was handed over.
                txn.guard(SUM_PREFIX + job.spec.ref, job.sum_version)
            for task, view, named in group:
                attempt = chunk.next_attempt if named is None else named
                record["n"] = max(record["n"], attempt + 1)
                session = self._worker_registry.workers[view.name].session
                record["p"].append([task.index % CHUNK_TASKS, attempt, view.name, session, view.zone, *metered])
            txns.append(txn.put(run_key(job.spec.ref, number), record))
        return txns

    def _views(self) -> MachineSelection:
        """Machines of our blocks that can take work now; each block is chosen from by itself."""
        heard_since = self._clock.steady() - self._platform.workers.report * 2.5
        workers = self._worker_registry.workers

        def ready(view: MachineView) -> bool:
            # A worker may be forgotten while this round waits for an answer.
            worker = workers.get(view.name)
            return worker is not None and worker.reachability_tracker.proved_at >= heard_since

        return replace(self._view_cache.fresh().within(self._blocks.held_zones()), ready=ready)

    def _view(self, name: str) -> MachineView | None:
        """A machine that reports to us and is not about to be taken."""
        worker, machine = self._worker_registry.workers.get(name), self._fleet.machines.get(name)
        type_ = self._fleet.catalog.get(machine.type) if machine else None
        if worker is None or type_ is None or not machine.usable:
            return None
        if worker.reachability_tracker.reachability is not Reachability.REACHABLE:
            return None
        images = cached(reversed(worker.images.items()), type_.cache_gb)
        return view_of(machine, type_, images, self._job_index.load(name), self._fleet)

    # -- making room ----------------------------------------------------------

    def _preempt_or_return(
        self, roomless: list[tuple[Job, list[tuple[TaskId, DispatchTarget]]]], views: MachineSelection
    ) -> bool:
        """Stop others for those without room; give back to the leader what finds none here."""
        if not roomless:
            return False
        now = self._clock.steady()
        victims = self._victims([job for job, _ in roomless], views, now)
        stops = PreemptionCache(victims, self._preemption_policy)
        told: list[Placement] = []
        back: list[Transaction] = []
        for job, left in roomless:
            if job.spec.ref not in self._job_index.jobs:
                continue  # it ended while the launches were written
            since = self._unplaced_since.setdefault(job.spec.ref, now)
            if job.spec.shape is not Shape.GANG and self._preempt_for(job, left, views, stops, told):
                continue
            if now - since >= DISPATCH_RETURN_DELAY:
                del self._unplaced_since[job.spec.ref]
                back += self._return_dispatches(job, left)
        self._worker_registry.send(told)
        if back:
            self._record_writer.write(back)
        return bool(back)

    def _return_dispatches(self, job: Job, unplaced: list[tuple[TaskId, DispatchTarget]]) -> list[Transaction]:
        log.info("job %s: no room here for %d of its tasks", job.spec.ref, len(unplaced))
        txns = []
        for number in sorted({t.index // CHUNK_TASKS for t, _ in unplaced}):
            mine = {t.index % CHUNK_TASKS for t, _ in unplaced if t.index // CHUNK_TASKS == number}
            chunk = job.chunks[number]
            record = chunk.record()
            record["h"] = [row for row in record["h"] if row[0] not in mine]
            key = run_key(job.spec.ref, number)
            zones = {h.zone for _, h in unplaced}
            txns.append(self._guarded(job, zones).guard(key, chunk.version).put(key, record))
        return txns

    def _victims(self, jobs: list[Job], views: MachineSelection, now: timedelta) -> dict[str, list[Victim]]:
        """What could be stopped for these jobs, by machine; room that is being freed is given to the views."""
        for view in list(views):
            for placement in self._job_index.placements_on(view.name).values():
                if placement.phase is Phase.STOPPING:
                    view.release(placement.spec)

        def victim(placement: Placement) -> Victim | None:
            ours = placement.is_active and self._blocks.own_grant(placement.zone) is not None
            return self._victim(placement, now) if ours else None

        return preemption_candidates(self._job_index, self._preemption_policy, [job.spec for job in jobs], victim)

    def _preempt_for(
        self,
        job: Job,
        unplaced: list[tuple[TaskId, DispatchTarget]],
        views: MachineSelection,
        stops: PreemptionCache,
        stopped: list[Placement],
    ) -> bool:
        """Stop others for these tasks, as far as the job may; whether all of them will find room."""
        spec = job.spec
        _, mates = count_by_zone_and_machine(job)
        for zone in sorted({h.zone for _, h in unplaced}):
            there = views.within([zone])
            count = sum(h.zone == zone for _, h in unplaced)
            count -= len(place(spec, count, there, Counter(), mates, self._fleet.price_limit(job)))
            found = plan_preemptions(spec, count, there, stops, Counter())
            for _, chosen in found:
                for victim in chosen:
                    stopped += self._stop_victim(victim.placement, spec)
            if len(found) < count:
                return False
        return True

    def _victim(self, placement: Placement, now: timedelta) -> Victim:
        """What stopping this task would lose: its run since its last checkpoint, or what a gang's saving takes."""
        spec = placement.spec
        loss = now - placement.running_since if placement.running_since is not None else ZERO
        if spec.checkpoint:
            loss %= spec.checkpoint
        if spec.shape is Shape.GANG:
            loss = (spec.save + seconds(1)) * spec.tasks
        return Victim(placement, spec, loss)

    def _stop_victim(self, placement: Placement, for_: JobSpec) -> list[Placement]:
        job = self._job_index.jobs[placement.task.ref]
        why = f"{for_.ref} needs its room"
        log.info("stopping %s on %s: %s", placement.task, placement.machine, why)
        if job.spec.shape is Shape.GANG:
            return self._stop_all(job, job.spec.save, why)
        # No time to save for a service that waits: the last checkpoint is not far.
        self._worker_registry.stop(placement, ZERO if for_.shape is Shape.SERVICE else placement.spec.save, why)
        return [placement]


def weight_of(spec: JobSpec, operators: OperatorSettings) -> float:
    """How fast a waiting job's deficit grows: by its shape, and by its urgency within the shape."""
    return operators.class_weights[spec.shape.value] * operators.urgency_weights[spec.priority.name.lower()]
