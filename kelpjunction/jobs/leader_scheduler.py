"""The rounds of the leader, which orders jobs and dispatches their tasks to blocks.

Only the leader dispatches tasks, so it alone enforces the teams' limits and
the jobs' zone rules.  A task counts against them from its dispatch until its
placement is settled.  The holders of the blocks choose machines and start the
tasks.
"""

import logging
from collections.abc import Callable, Iterable
from datetime import datetime, timedelta

from kelpjunction.blocks import Blocks
from kelpjunction.changes import ChangeTracker
from kelpjunction.clock import ZERO, Clock, seconds
from kelpjunction.fleet.cloud import Fleet
from kelpjunction.jobs.deficit_snapshot import DeficitSnapshot
from kelpjunction.jobs.dispatch import DispatchBatch
from kelpjunction.jobs.failure_attribution import FailureAttribution
from kelpjunction.jobs.failure_avoidance import FailureAvoidance
from kelpjunction.jobs.holder_scheduler import weight_of
from kelpjunction.jobs.job_index import CHUNK_TASKS, JOB_PREFIX, RUN_PREFIX, Chunk, DispatchTarget, Job, JobIndex
from kelpjunction.jobs.records import PURPOSE_BY_SHAPE, RecordWriter, run_key
from kelpjunction.jobs.reservations import Reservations
from kelpjunction.jobs.views import (
    CapacityCheck,
    ViewCache,
    count_by_zone_and_machine,
    ignoring_reservations,
    machines_that_fit_if_empty,
    preemption_candidates,
    view_of,
    with_services_only,
)
from kelpjunction.leadership import LEADER_KEY, Leadership, LeaderTerm
from kelpjunction.placement import (
    MachineKind,
    MachineSelection,
    MachineView,
    PreemptionCache,
    Victim,
    allowed,
    place_gang,
    plan_preemptions,
    tasks_per_machine,
    type_fits,
)
from kelpjunction.queue import JobDemand, PendingJob, PreemptionPolicy, Usage, in_order, weight_factors
from kelpjunction.rate_limiter import Purpose
from kelpjunction.settings import OperatorSettings, PlatformSettings
from kelpjunction.store.client import StoreClient, Transaction
from kelpjunction.store.mirror import Mirror
from kelpjunction.wire.messages import JobSpec, Shape, TaskId

log = logging.getLogger("jobs")

MAX_DISPATCHED_TASKS = 512  # tasks of one job dispatched in one round
MAX_DISPATCHED_CHUNKS = 48  # chunks dispatched in one round, for arrays and for gangs separately
REFUSED_ZONE_BACKOFF = timedelta(seconds=2)
TEAM_AT_LIMIT = "its team is at its limit"
STUCK_GANG_TIMEOUT = timedelta(seconds=2)
# Arrays and gangs wait this long at most for the next search for room, or longer because of DISPATCH_WRITE_SHARE.
# A new service does not wait.
DISPATCH_INTERVAL = timedelta(milliseconds=200)
# How long a job may wait while free room is reserved for others.  PROTOCOL's users part allows less than 90 s, of which
# some is needed to dispatch and start the job.  An escalated gang has the same time to collect its room undisturbed.
RESERVED_ROOM_MAX_WAIT = timedelta(seconds=70)
RESERVED_ROOM_CHECK_INTERVAL = timedelta(seconds=1)
# A longer gap starts a new reservation; shorter ones occur because gangs take turns at the top of the order.
RESERVATION_GAP_LIMIT = timedelta(seconds=5)
DISPATCH_WRITE_SHARE = 0.2  # largest share of the write rate for dispatch pages; may lengthen the dispatch interval


class LeaderScheduler:
    """Dispatches jobs to blocks while this node leads."""

    def __init__(
        self,
        platform: PlatformSettings,
        operators: OperatorSettings,
        store: StoreClient,
        mirror: Mirror,
        record_writer: RecordWriter,
        job_index: JobIndex,
        leadership: Leadership,
        blocks: Blocks,
        fleet: Fleet,
        failure_attribution: FailureAttribution,
        clock: Clock,
        changes: ChangeTracker,
    ) -> None:
        self._platform = platform
        self._operators = operators
        self._mirror = mirror
        self._record_writer = record_writer
        self._job_index = job_index
        self._leadership = leadership
        self._blocks = blocks
        self._fleet = fleet
        self._failure_attribution = failure_attribution
        self._failure_avoidance = FailureAvoidance(failure_attribution)
        self._preemption_policy = PreemptionPolicy(platform.teams, platform.classes_with_objectives)
        self._clock = clock
        self._view_cache = ViewCache(changes, fleet, lambda: fleet.machines, self._view)
        self._reservations = Reservations(job_index, fleet, self._view_cache)
        self._snapshot = DeficitSnapshot(store, record_writer, job_index, clock, operators.snapshot_interval)
        self._leader_term: LeaderTerm
        self._machine_time_charged_at = ZERO
        self._last_dispatches: dict[TaskId, tuple[str, timedelta]] = {}
        self._dispatch_interval = max(
            DISPATCH_INTERVAL, seconds(len(Shape) / (DISPATCH_WRITE_SHARE * platform.store.write_rps))
        )
        self._room_searched_at = ZERO
        self._searched_services: set[str] = set()  # the services that were pending at the last search
        # By job: since when it has waited although free room exists, because that room is reserved for others.
        self._blocked_by_reservation_since: dict[str, timedelta] = {}
        self._reserved_room_checked_at = ZERO
        # Gangs with reserved machines or a reserved part of their team's limit: start and latest time of reservation.
        self._reservation_times: dict[str, tuple[timedelta, timedelta]] = {}
        # Reduces the weight that a team's jobs share beyond its guarantee, according to the team's past usage.
        self.team_weight_factor: Callable[[str], float] = lambda team: 1.0

    def begin(self, leader_term: LeaderTerm) -> None:
        """Start a term as leader: read the last snapshot of the deficits.

        `leader_term` is kept until the next term begins.  The term may end
        while a round waits for a request.  The guards then reject whatever that
        round still writes.
        """
        self._leader_term = leader_term
        self._record_writer.orphan_chunks_possible = True
        self._last_dispatches = {}
        self._reservations.clear()
        self._blocked_by_reservation_since, self._reservation_times = {}, {}
        self._machine_time_charged_at = self._clock.steady()
        self._snapshot.restore()

    def round(self) -> bool:
        """End finished jobs and dispatch pending ones; returns whether another round should follow at once."""
        types = self._fleet.catalog.values()
        zones = sorted({*self._platform.zones, *(z for t in types for z in t.zones)})
        self._blocks.assign(self._leader_term, zones, self._leadership.members)
        end_txns = [
            self._record_writer.end_transaction(self._job_index.jobs[ref])
            for ref in sorted(self._job_index.finished_jobs)
        ]
        if not self._record_writer.write(end_txns):
            return True
        self._delete_orphan_chunks()
        self._charge_machine_time()
        dispatched = self._dispatch_due() and self._dispatch()
        self._snapshot.write_if_due(self._leader_txn)
        return bool(end_txns) or dispatched

    def _delete_orphan_chunks(self) -> None:
        """Delete chunks of ended jobs that did not fit into the transaction that ended the job.

        Each deletion is guarded by the absence of the job's record, because a
        job that this node does not know may be a new one.
        """
        if not self._record_writer.orphan_chunks_possible:
            return
        self._record_writer.orphan_chunks_possible = False
        keys = [
            e.key for e in self._mirror.entries_below(RUN_PREFIX) if e.key.split("/")[2] not in self._job_index.jobs
        ]
        txns = [self._leader_txn().guard(JOB_PREFIX + key.split("/")[2], 0).delete(key) for key in keys]
        written = self._record_writer.write(txns)
        self._record_writer.orphan_chunks_possible = not written or self._record_writer.last_write_incomplete

    def _leader_txn(self, purpose: Purpose = Purpose.BEST_EFFORT) -> Transaction:
        """A transaction that fails if another node leads."""
        return Transaction(purpose).guard(LEADER_KEY, self._leader_term.leader_key_version)

    def _charge_machine_time(self) -> None:
        """Add the elapsed time of each placement to the machine time that its job has received."""
        now = self._clock.steady()
        elapsed = now - self._machine_time_charged_at
        if elapsed < self._operators.round_interval:
            return
        self._machine_time_charged_at = now
        for placement in self._job_index.placements():
            self._job_index.jobs[placement.task.ref].received_machine_time += elapsed
        self._last_dispatches = {
            task: last for task, last in self._last_dispatches.items() if now - last[1] < REFUSED_ZONE_BACKOFF * 10
        }

    # -- dispatching --------------------------------------------------------

    def _dispatch_due(self) -> bool:
        """Whether to search for room now.

        Most events free no room, and the cost of a search grows with the number
        of pending jobs.  A new service is searched for at once.
        """
        now = self._clock.steady()
        waiting_services = {
            ref for ref in self._job_index.pending_jobs if self._job_index.jobs[ref].spec.shape is Shape.SERVICE
        }
        if now - self._room_searched_at < self._dispatch_interval and waiting_services <= self._searched_services:
            return False
        self._room_searched_at, self._searched_services = now, waiting_services
        return True

    def _dispatch(self) -> bool:
        """Dispatch jobs in the order of their deficits while there is room; returns whether any were dispatched."""
        waiting = [self._job_index.jobs[ref] for ref in self._job_index.pending_jobs]
        stuck_gangs = [
            self._job_index.jobs[ref]
            for ref in self._job_index.gang_jobs & self._job_index.dispatched_jobs
            if self._is_stuck_gang(ref)
        ]
        self._fleet.capacity_requests = []
        if not waiting and not stuck_gangs:
            return False
        self._fleet.note_accelerator_specs()
        views = self._views()
        usage = self._usage()
        factors = self._weight_factors(waiting)
        now = self._clock.utc()
        self._fleet.large_jobs.record(j.spec for j in waiting)
        escalated = {j.spec.ref for j in waiting if self._is_escalated(j, now)}
        order = in_order(
            (
                PendingJob(
                    j.spec.ref,
                    weight_of(j.spec, self._operators) * factors[j.spec.ref],
                    j.submitted,
                    j.received_machine_time,
                    j.spec.shape is Shape.SERVICE,
                    j.spec.ref in escalated,
                )
                for j in waiting
            ),
            now,
            self._operators.arrival_credit,
        )
        batch = DispatchBatch()
        move_txns: list[Transaction] = []
        unplaced: list[tuple[Job, int]] = []
        retries_without_machine: list[tuple[Job, int]] = []
        for job in stuck_gangs:
            move_txns += self._move_gang(job, views)
            unplaced.append((job, job.spec.tasks))
        top_gang_found = bool(stuck_gangs)
        limit_reservations: list[JobSpec] = []  # gangs for which part of their team's limit is reserved
        unplaced_specs: set[JobSpec] = set()  # pending jobs without room, ahead of teams without a guarantee
        views_left_over: dict[int, MachineSelection] = {0: views}
        needs_without_room: set[tuple] = set()
        smallest_unplaced_gangs: dict[tuple, int] = {}
        for ref in order:
            job = self._job_index.jobs[ref]
            retry_limit = self._failure_attribution.retry_limit(job)
            if retry_limit == 0:
                continue
            if batch.chunks[job.spec.shape] >= MAX_DISPATCHED_CHUNKS and job.spec.shape is not Shape.SERVICE:
                continue  # the next round dispatches it: its writes must not delay services now
            without_guarantee = self._preemption_policy.without_guarantee(job.spec)
            if without_guarantee and len(unplaced_specs) not in views_left_over:
                views_left_over[len(unplaced_specs)] = _unclaimed_machines(views, unplaced_specs)
            visible_views = views_left_over[len(unplaced_specs)] if without_guarantee else views
            if job.spec.shape is Shape.GANG:
                at_top = not top_gang_found and retry_limit is None
                without_room = self._dispatch_gang(
                    job,
                    visible_views,
                    usage,
                    batch,
                    smallest_unplaced_gangs,
                    at_top,
                    ref in escalated,
                    limit_reservations,
                )
                top_gang_found = top_gang_found or (without_room > 0 and retry_limit is None)
            else:
                without_room = self._dispatch_tasks(job, visible_views, usage, batch, needs_without_room, retry_limit)
            if without_room and retry_limit is None:
                unplaced.append((job, without_room))
                if not without_guarantee:
                    unplaced_specs.add(job.spec)
            elif without_room and not self._fits_if_empty(job):
                # No room is reserved or freed for a failing job, and none is rented unless no retry would be possible.
                retries_without_machine.append((job, without_room))
        # A job is written once per round: a job dispatched in part gets its other tasks in the next round.
        preemptors = [
            (j, n)
            for j, n in unplaced
            if j.spec.shape is not Shape.GANG
            and not self._preemption_policy.is_opportunistic(j.spec)
            and n == min(j.pending_count(), MAX_DISPATCHED_TASKS)
        ]
        self._dispatch_with_preemption(preemptors, views, usage, batch)
        self._dispatch_into_reserved_room(
            [self._job_index.jobs[ref] for ref in order], views, usage, limit_reservations, batch
        )
        self._fleet.capacity_requests = [
            self._fleet.capacity_request(job, without_room) for job, without_room in unplaced + retries_without_machine
        ]
        txns = [
            self._leader_txn(PURPOSE_BY_SHAPE[shape]).guard(key, self._record_writer.version(key)).put(key, page)
            for shape, key, page in batch.pages(self._job_index, self._record_writer.value_bytes)
        ]
        if txns or move_txns:
            self._record_writer.write(move_txns + txns)
            self._note_dispatched(batch)
        return bool(txns or move_txns)

    def _note_dispatched(self, batch: DispatchBatch) -> None:
        """Note the time of each dispatch that was really written; the rate limiter may have deferred some."""
        now = self._clock.steady()
        for _, ref, parts in batch:
            job = self._job_index.jobs.get(ref)
            for number, chunk_dispatch in parts.items():
                chunk = job.chunks.get(number) if job is not None else None
                for index, target in chunk_dispatch.tasks.items():
                    if chunk is not None and index in chunk.dispatched:
                        self._last_dispatches[TaskId(ref, number * CHUNK_TASKS + index)] = (target.zone, now)

    def _note_reservation(self, job: Job) -> None:
        """Note that machines, or part of its team's limit, are reserved for a gang."""
        now = self._clock.steady()
        since, last = self._reservation_times.get(job.spec.ref, (now, now))
        self._reservation_times[job.spec.ref] = (now if now - last > RESERVATION_GAP_LIMIT else since, now)

    def _dispatch_into_reserved_room(
        self,
        waiting: list[Job],
        views: MachineSelection,
        usage: Usage,
        limit_reservations: list[JobSpec],
        batch: DispatchBatch,
    ) -> None:
        """Dispatch one task, or a whole gang, of each job that has long waited while room reserved for others was free.

        Room reserved for a gang is given away only after RESERVED_ROOM_MAX_WAIT,
        because until then the gang may still collect its room in time.  Room
        reserved for accelerator work is given away only while no such work is
        pending.  Teams without a guarantee also leave room to others for no
        longer than RESERVED_ROOM_MAX_WAIT.  The dispatch names the machine,
        because its holder reserves that room too and would not choose it.
        """
        now = self._clock.steady()
        if now - self._reserved_room_checked_at < RESERVED_ROOM_CHECK_INTERVAL:
            return
        self._reserved_room_checked_at = now
        self._reservation_times = {
            r: times for r, times in self._reservation_times.items() if now - times[1] <= RESERVATION_GAP_LIMIT
        }
        long_reserved = {
            ref for ref, (since, _) in self._reservation_times.items() if now - since >= RESERVED_ROOM_MAX_WAIT
        }
        dispatched = {ref for _, ref, _ in batch}
        unreserved_usage = usage.excluding_jobs(limit_reservations)
        with ignoring_reservations(views):
            rooms = CapacityCheck(views)
            blocked = [
                job
                for job in waiting
                if job.spec.ref not in dispatched
                and _fits_limit(job, unreserved_usage)
                and rooms.has_capacity(job.spec, _tasks_started_together(job))
            ]
        self._blocked_by_reservation_since = {
            job.spec.ref: self._blocked_by_reservation_since.get(job.spec.ref, now) for job in blocked
        }
        pending_accelerated = self._job_index.accelerator_jobs & self._job_index.pending_jobs
        unreserved_usage = usage.excluding_jobs(spec for spec in limit_reservations if spec.ref in long_reserved)
        with ignoring_reservations(
            views, lambda view: view.held_for_gang in long_reserved, ignore_gpu_reserved=not pending_accelerated
        ):
            for job in blocked:
                spec = job.spec
                if now - self._blocked_by_reservation_since[spec.ref] < RESERVED_ROOM_MAX_WAIT:
                    continue
                if not _fits_limit(job, unreserved_usage) or self._failure_attribution.retry_limit(job) == 0:
                    continue
                if rows := self._rows_on_named_machines(job, views):
                    log.info("job %s gets reserved room: it has waited too long while that room was free", spec.ref)
                    unreserved_usage.add(spec.team, spec.cpus, spec.gpus, _tasks_started_together(job))
                    if self._failure_attribution.is_failing_job(job):
                        self._failure_attribution.note_retry(job)
                    batch.add(job, rows)
                    del self._blocked_by_reservation_since[spec.ref]

    def _rows_on_named_machines(self, job: Job, views: MachineSelection) -> list[tuple[TaskId, DispatchTarget]]:
        """One task of a job, or a whole gang, with named machines that have room; empty if there is no room."""
        spec = job.spec
        if spec.shape is not Shape.GANG:
            tasks_by_zone, tasks_by_machine = count_by_zone_and_machine(job)
            chosen = self._failure_avoidance.place(job, 1, views, tasks_by_zone, tasks_by_machine)
            return [(t, DispatchTarget(v.zone, v.name)) for t, v in zip(job.pending_tasks(1), chosen, strict=False)]
        chosen = self._failure_avoidance.place_gang(job, views) if job.pending_count() == spec.tasks else None
        return [] if chosen is None else self._gang_rows_on_named_machines(job, chosen)

    def _weight_factors(self, waiting: list[Job]) -> dict[str, float]:
        """The factor, by job, that multiplies the weight of each pending job."""
        by_team: dict[str, list[str]] = {}
        for job in waiting:
            by_team.setdefault(job.spec.team, []).append(job.spec.ref)
        demands = {name: map(_job_demand, self._job_index.of_team(name)) for name in by_team}
        return weight_factors(by_team, demands, self._platform.teams, self.team_weight_factor)

    def _dispatch_tasks(
        self,
        job: Job,
        views: MachineSelection,
        usage: Usage,
        batch: DispatchBatch,
        needs_without_room: set[tuple],
        retry_limit: int | None,
    ) -> int:
        """Dispatch tasks of an array or service; returns how many found no room in any block.

        `needs_without_room` has the needs that found no room earlier in this
        round.  Room only shrinks during a round, so jobs with the same needs
        are not tried again.  At most `retry_limit` tasks are dispatched, if it
        is given.
        """
        spec = job.spec
        max_tasks = min(job.pending_count(), MAX_DISPATCHED_TASKS if retry_limit is None else retry_limit)
        room = usage.startable_tasks(spec.team, spec.cpus, spec.gpus, max_tasks)
        if room == 0:
            self._set_pending_reason(job, TEAM_AT_LIMIT)
            return 0
        tasks: list[TaskId] = []
        needs = (self._preemption_policy.without_guarantee(spec), *spec.needs)
        chosen: list[MachineView] = []
        if needs not in needs_without_room:
            tasks = job.pending_tasks(room)
            tasks_by_zone, tasks_by_machine = count_by_zone_and_machine(job)
            refused_zones = self._refused_zones(tasks)
            able = views.outside(refused_zones) if refused_zones else views
            price_limit = self._fleet.price_limit(job)
            chosen = self._failure_avoidance.place(job, room, able, tasks_by_zone, tasks_by_machine, price_limit)
            if len(chosen) < room and not (refused_zones or job.failed_on or spec.spread or spec.one_zone):
                needs_without_room.add(needs)
        self._set_pending_reason(job, "" if len(chosen) >= room else "no machine has room")
        if chosen:
            if retry_limit is not None:
                self._failure_attribution.note_retry(job)
            usage.add(spec.team, spec.cpus, spec.gpus, len(chosen))
            batch.add(job, [(t, DispatchTarget(v.zone)) for t, v in zip(tasks, chosen, strict=False)])
        return room - len(chosen)

    def _fits_if_empty(self, job: Job) -> bool:
        """Whether the machines that are up or booting, if they were empty, could run a task of the job or the gang."""
        spec, slots = job.spec, 0
        for machine in self._fleet.live_machines():
            type_ = self._fleet.catalog.get(machine.type)
            if type_ is not None and type_fits(spec, type_) and allowed(spec, type_, machine.zone, machine.spot):
                slots += tasks_per_machine(spec, type_)
        return slots >= _tasks_started_together(job)

    def _refused_zones(self, tasks: list[TaskId]) -> set[str]:
        """Zones of blocks that got any of these tasks less than REFUSED_ZONE_BACKOFF ago and returned them."""
        now = self._clock.steady()
        last_dispatches = (self._last_dispatches.get(t) for t in tasks)
        return {
            zone
            for zone, dispatched_at in (h for h in last_dispatches if h)
            if now - dispatched_at < REFUSED_ZONE_BACKOFF
        }

    def _dispatch_gang(
        self,
        job: Job,
        views: MachineSelection,
        usage: Usage,
        batch: DispatchBatch,
        smallest_unplaced_gangs: dict[tuple, int],
        at_top: bool,
        escalated: bool,
        limit_reservations: list[JobSpec],
    ) -> int:
        """Dispatch a whole gang or nothing; returns how many tasks found no room.

        `smallest_unplaced_gangs` has, by the needs of a task, the size of the
        smallest gang that found no room earlier in this round.  A gang of that
        size or larger with the same needs finds none either.
        """
        spec = job.spec
        needs = (self._preemption_policy.without_guarantee(spec), *spec.needs, spec.one_zone, spec.spread)
        if job.pending_count() < spec.tasks:
            return 0
        if usage.startable_tasks(spec.team, spec.cpus, spec.gpus, spec.tasks) < spec.tasks:
            can_never_fit = not self._may_fit_team_limit(job)
            self._set_pending_reason(
                job, TEAM_AT_LIMIT + (", and its services leave no room for the gang" if can_never_fit else "")
            )
            if escalated and not can_never_fit:
                # The team's small jobs would use each free part of the limit
                # at once, so the free part is reserved for the gang.
                usage.add(spec.team, spec.cpus, spec.gpus, spec.tasks)
                self._note_reservation(job)
                limit_reservations.append(spec)
            return 0
        known_too_large = spec.tasks >= smallest_unplaced_gangs.get(needs, spec.tasks + 1)
        chosen = None if known_too_large else self._failure_avoidance.place_gang(job, views)
        if chosen is None:
            if not job.failed_on:
                smallest_unplaced_gangs[needs] = min(spec.tasks, smallest_unplaced_gangs.get(needs, spec.tasks))
            self._set_pending_reason(job, "the gang does not fit whole")
            if at_top:
                self._reserve_for_gang(job, views, usage, batch, exclude_arrays=escalated)
            return spec.tasks
        self._set_pending_reason(job, "")
        usage.add(spec.team, spec.cpus, spec.gpus, spec.tasks)
        batch.add(job, self._gang_rows(job, chosen))
        return 0

    def _is_escalated(self, job: Job, now: datetime) -> bool:
        """Whether the job comes before all but services, because it is large and has waited long."""
        started = job.done_count() + job.placed_count()
        return self._fleet.large_jobs.is_escalated(job.spec, started, now - job.submitted)

    def _may_fit_team_limit(self, job: Job) -> bool:
        """Whether the gang will fit its team's limit once the team's arrays and gangs have ended.

        Services run until they are cancelled, so the gang does not wait for
        the part of the limit that they use.
        """
        usage, spec = Usage(self._platform.teams), job.spec
        for other in self._job_index.of_team(spec.team):
            if other.spec.shape is Shape.SERVICE:
                usage.add(spec.team, other.spec.cpus, other.spec.gpus, sum(other.counts[1:]))
        return usage.startable_tasks(spec.team, spec.cpus, spec.gpus, spec.tasks) >= spec.tasks

    def _gang_rows(self, job: Job, chosen: list[MachineView]) -> list[tuple[TaskId, DispatchTarget]]:
        """A gang's tasks and targets; machines are named only if it spans blocks, else its holder chooses them."""
        if len({v.zone for v in chosen}) == 1:
            return [(TaskId(job.spec.ref, i), DispatchTarget(v.zone)) for i, v in enumerate(chosen)]
        return self._gang_rows_on_named_machines(job, chosen)

    def _gang_rows_on_named_machines(self, job: Job, chosen: list[MachineView]) -> list[tuple[TaskId, DispatchTarget]]:
        attempt = max((c.next_attempt for c in job.chunks.values()), default=1)
        return [(TaskId(job.spec.ref, i), DispatchTarget(v.zone, v.name, attempt)) for i, v in enumerate(chosen)]

    def _reserve_for_gang(
        self, job: Job, views: MachineSelection, usage: Usage, batch: DispatchBatch, exclude_arrays: bool
    ) -> None:
        """Reserve machines for the gang at the top of the order, and dispatch it if they are all in one block.

        Jobs below it in the order do not start on these machines.  The holder
        of the block reserves machines for a dispatched gang as well.  With
        `exclude_arrays` no array at all starts on them.
        """
        spec = job.spec
        suitable = sorted(machines_that_fit_if_empty(spec, views), key=lambda v: v.tasks)
        picked = place_gang(spec, [with_services_only(v, self._placements_on(v)) for v in suitable])
        if picked is None:
            return
        self._note_reservation(job)
        for name in {v.name for v in picked}:
            views.get(name).hold_for_gang(spec.ref, exclude_arrays)
        if len({v.zone for v in picked}) == 1:
            usage.add(spec.team, spec.cpus, spec.gpus, spec.tasks)
            batch.add(job, self._gang_rows(job, picked))

    def _is_stuck_gang(self, ref: str) -> bool:
        """Whether a gang was dispatched more than STUCK_GANG_TIMEOUT ago and has not started."""
        job = self._job_index.jobs[ref]
        if job.placed_count():
            return False
        first_unstarted = next(job.unstarted_dispatches(), None)
        if first_unstarted is None:
            return False
        last_dispatch = self._last_dispatches.get(first_unstarted[0])
        return last_dispatch is None or self._clock.steady() - last_dispatch[1] > STUCK_GANG_TIMEOUT

    def _move_gang(self, job: Job, views: MachineSelection) -> list[Transaction]:
        """Dispatch a stuck gang to other blocks if it fits there, else reserve machines where it waits."""
        spec = job.spec
        zones = {h.zone for _, h in job.unstarted_dispatches()}
        chosen = self._failure_avoidance.place_gang(job, views)
        if chosen is not None and {v.zone for v in chosen} != zones:
            return self._redispatch(job, self._gang_rows(job, chosen))
        self._note_reservation(job)
        for view in list(views.within(zones)):
            if view.type.cpus >= spec.cpus and view.type.gpus >= spec.gpus:
                view.hold_for_gang(spec.ref, exclude_arrays=self._is_escalated(job, self._clock.utc()))
        return []

    def _redispatch(self, job: Job, rows: list[tuple[TaskId, DispatchTarget]]) -> list[Transaction]:
        """Dispatch tasks again to other blocks; the earlier dispatch is only void once their chunks are written."""
        now = self._clock.steady()
        by_chunk: dict[int, dict[int, DispatchTarget]] = {}
        for task, target in rows:
            by_chunk.setdefault(task.index // CHUNK_TASKS, {})[task.index % CHUNK_TASKS] = target
            self._last_dispatches[task] = (target.zone, now)
        txns = []
        for number, group in by_chunk.items():
            chunk = job.chunks.get(number) or Chunk()
            record = chunk.record()
            other_rows = [row for row in record["h"] if row[0] not in group]
            record["h"] = other_rows + [[i, *(h if h.machine else h[:1])] for i, h in group.items()]
            key = run_key(job.spec.ref, number)
            txn = self._record_writer.guarded(job).guard(LEADER_KEY, self._leader_term.leader_key_version)
            txns.append(txn.guard(key, chunk.version).put(key, record))
        return txns

    def _set_pending_reason(self, job: Job, reason: str) -> None:
        if reason != job.pending_reason:
            job.pending_reason = reason
            if reason:
                log.info("job %s waits: %s", job.spec.ref, reason)

    def _usage(self) -> Usage:
        usage = Usage(self._platform.teams)
        for need, count in self._job_index.task_counts.items():
            usage.add(*need, count)
        return usage

    def _placements_on(self, view: MachineView) -> list:
        return list(self._job_index.placements_on(view.name).values())

    def _views(self) -> MachineSelection:
        """All usable machines of blocks that have a holder, less the room of placed and dispatched tasks."""
        self._reservations.release(
            waived={
                ref for ref in self._job_index.gang_jobs & self._job_index.dispatched_jobs if self._is_stuck_gang(ref)
            }
        )
        members = self._leadership.members
        served_zones = [zone for zone, grant in self._blocks.grants.items() if grant.holder in members]
        views = self._view_cache.refreshed_views().within(served_zones)
        self._reservations.release_unusable_machines(views)
        self._reservations.reserve(views)
        return views

    def _view(self, name: str) -> MachineView | None:
        """A machine with its free room, less reservations, or None if it is not usable."""
        machine = self._fleet.machines.get(name)
        type_ = self._fleet.catalog.get(machine.type) if machine else None
        if type_ is None or not machine.usable:
            return None
        view = view_of(machine, type_, machine.images, self._job_index.load(name), self._fleet)
        for spec in self._reservations.reserved_on(name):
            view.allocate(spec)
        return view

    def _dispatch_with_preemption(
        self, preemptors: list[tuple[Job, int]], views: MachineSelection, usage: Usage, batch: DispatchBatch
    ) -> None:
        """Dispatch jobs without room, services first, to blocks where other tasks may be preempted for them."""
        if not preemptors:
            return
        preemptors.sort(key=lambda entry: entry[0].spec.shape is not Shape.SERVICE)
        victims = preemption_candidates(
            self._job_index, self._preemption_policy, (j.spec for j, _ in preemptors), lambda p: Victim(p, p.spec, ZERO)
        )
        preemptions = PreemptionCache(victims, self._preemption_policy)
        needs_without_gain: set[tuple] = set()  # needs for which preemption gains no room
        for job, count in preemptors:
            spec = job.spec
            needs = (*spec.needs, spec.priority, spec.shape, self._preemption_policy.is_opportunistic(spec))
            if needs in needs_without_gain:
                continue
            tasks_by_zone, _ = count_by_zone_and_machine(job)
            tasks = job.pending_tasks(MAX_DISPATCHED_TASKS)
            refused_zones = self._refused_zones(tasks)
            room = usage.startable_tasks(spec.team, spec.cpus, spec.gpus, min(count, len(tasks)))
            able = self._failure_avoidance.admitted(job, views.outside(refused_zones))
            plan = plan_preemptions(spec, room, able, preemptions, tasks_by_zone)
            if plan:
                needs_without_gain.clear()  # the preempted tasks may free more room than was needed
            elif room and not (refused_zones or job.failed_on or spec.spread or spec.one_zone):
                needs_without_gain.add(needs)
            rows = [(task, DispatchTarget(view.zone)) for task, (view, _) in zip(tasks, plan, strict=False)]
            if rows:
                usage.add(spec.team, spec.cpus, spec.gpus, len(rows))
                batch.add(job, rows)


def _tasks_started_together(job: Job) -> int:
    """How many of a job's tasks must start together: all of a gang, else one."""
    return job.spec.tasks if job.spec.shape is Shape.GANG else 1


def _fits_limit(job: Job, usage: Usage) -> bool:
    """Whether a task, or the whole gang, may start within its team's limit."""
    spec, count = job.spec, _tasks_started_together(job)
    return usage.startable_tasks(spec.team, spec.cpus, spec.gpus, count) >= count


def _job_demand(job: Job) -> JobDemand:
    # The tasks of a cancelled job are being stopped, so it demands nothing.
    unfinished = 0 if job.cancelled else job.spec.tasks - job.done_count()
    return JobDemand(job.spec.ref, job.spec.cpus * unfinished, job.spec.gpus * unfinished)


def _unclaimed_machines(views: MachineSelection, unplaced_specs: Iterable[JobSpec]) -> MachineSelection:
    """The machines that none of these unplaced jobs could use, which teams without a guarantee may use.

    Small tasks of such a team would take each free part of a machine at once,
    so that the room for a larger task of another team never came together.
    """
    needs = list({s.needs: s for s in unplaced_specs}.values())

    def is_unclaimed(kind: MachineKind) -> bool:
        return not any(allowed(s, kind.type, kind.zone, kind.spot) and type_fits(s, kind.type) for s in needs)

    return views.of_kinds(is_unclaimed)
