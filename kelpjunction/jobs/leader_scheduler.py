"""The leader's rounds: the order of jobs, and which block each is handed to.

The leader alone hands tasks to blocks, so it alone answers for the teams'
limits and the jobs' zones: what is handed or placed counts until it is
settled.  The holders of the blocks choose machines and start the tasks.
"""

import logging
from collections.abc import Callable, Iterable
from datetime import datetime, timedelta

from kelpjunction.blocks import Blocks
from kelpjunction.changes import ChangeTracker
from kelpjunction.clock import ZERO, Clock, seconds
from kelpjunction.fleet.cloud import Fleet
from kelpjunction.jobs.dispatch import DispatchBatch
from kelpjunction.jobs.failure_attribution import FailureAttribution
from kelpjunction.jobs.holder_scheduler import weight_of
from kelpjunction.jobs.job_index import CHUNK_TASKS, JOB_PREFIX, RUN_PREFIX, Chunk, DispatchTarget, Job, JobIndex
from kelpjunction.jobs.records import PURPOSES, RecordWriter, run_key
from kelpjunction.jobs.reserving import Reservations
from kelpjunction.jobs.views import (
    RoomCheck,
    ViewCache,
    able_for,
    count_by_zone_and_machine,
    fitting,
    ignoring_reservations,
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
    place,
    place_gang,
    plan_preemptions,
    type_fits,
)
from kelpjunction.queue import JobDemand, PendingJob, PreemptionPolicy, Usage, in_order, weight_factors
from kelpjunction.rate_limiter import Purpose
from kelpjunction.settings import OperatorSettings, PlatformSettings
from kelpjunction.store.client import StoreClient, Transaction
from kelpjunction.store.mirror import Mirror
from kelpjunction.wire.messages import JobSpec, Shape, TaskId

log = logging.getLogger("jobs")

SNAPSHOT_PREFIX = "s/deficit/"
MAX_DISPATCHED_TASKS = 512  # tasks of one job handed over in one round
MAX_DISPATCHED_CHUNKS = 48  # chunks of arrays, and of gangs, handed over in one round
REFUSED_ZONE_BACKOFF = timedelta(seconds=2)
AT_LIMIT = "its team is at its limit"
STUCK_GANG_TIMEOUT = timedelta(seconds=2)
DISPATCH_INTERVAL = timedelta(
    milliseconds=200
)  # arrays and gangs wait that long at most; a service that comes does not
# Beside room that is held, kept or left for others.  Nothing may wait for 90 s there (PROTOCOL's users); what comes
# free must be handed over and started, and a gang that presses has as long to collect its room undisturbed.
RESERVED_ROOM_MAX_WAIT = timedelta(seconds=70)
RESERVED_ROOM_CHECK_INTERVAL = timedelta(seconds=1)
RESERVATION_GAP_LIMIT = timedelta(seconds=5)  # gangs take turns at the top of the order
DISPATCH_WRITE_SHARE = 0.2  # or longer, where pages of hand-overs would take more than this of the rate of changes


class LeaderScheduler:
    """Hands jobs to blocks while this node leads."""

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
        self._store = store
        self._mirror = mirror
        self._record_writer = record_writer
        self._job_index = job_index
        self._leadership = leadership
        self._blocks = blocks
        self._fleet = fleet
        self._failure_attribution = failure_attribution
        self._preemption_policy = PreemptionPolicy(platform.teams, platform.classes_with_objectives)
        self._clock = clock
        self._view_cache = ViewCache(changes, fleet, lambda: fleet.machines, self._view)
        self._reservations = Reservations(job_index, fleet, self._view_cache)
        self._leader_term: LeaderTerm
        self._counted_at = ZERO
        self._snapshot_at = ZERO
        self._snapshot_keys = 0
        self._last_dispatches: dict[TaskId, tuple[str, timedelta]] = {}
        self._dispatch_interval = max(
            DISPATCH_INTERVAL, seconds(len(Shape) / (DISPATCH_WRITE_SHARE * platform.store.write_rps))
        )
        self._looked_at = ZERO
        self._looked_for: set[str] = set()  # the services that waited then
        self._blocked_by_reservation_since: dict[
            str, timedelta
        ] = {}  # since when a job has stood beside room that is not given to it
        self._beside_at = ZERO
        # Gangs for which machines are held or their team's limit is kept: since when, and when last.
        self._reservation_times: dict[str, tuple[timedelta, timedelta]] = {}
        # What a team keeps of its shared weight beyond its guarantee, for what it has used before.
        self.team_weight_factor: Callable[[str], float] = lambda team: 1.0

    def begin(self, leader_term: LeaderTerm) -> None:
        """Start a reign: read the last snapshot of the deficits.

        The reign is kept until the next: it may end while a round waits for
        an answer, and what that round still writes then fails by its guards.
        """
        self._leader_term = leader_term
        self._record_writer.orphan_chunks_possible = True
        self._last_dispatches = {}
        self._reservations.clear()
        self._blocked_by_reservation_since, self._reservation_times = {}, {}
        self._counted_at = self._snapshot_at = self._clock.steady()
        for job in self._job_index.jobs.values():
            job.task_time_received = ZERO
        entries, _ = self._store.scan(SNAPSHOT_PREFIX)
        self._snapshot_keys = len(entries)
        for entry in entries:
            for ref, received in entry.value.items():
                if ref in self._job_index.jobs:
                    self._job_index.jobs[ref].task_time_received = timedelta(seconds=received)

    def round(self) -> bool:
        """End what is over and hand over what is next; whether another round should follow at once."""
        types = self._fleet.catalog.values()
        zones = sorted({*self._platform.zones, *(z for t in types for z in t.zones)})
        self._blocks.assign(self._leader_term, zones, self._leadership.members)
        over = [
            self._record_writer.end_transaction(self._job_index.jobs[ref])
            for ref in sorted(self._job_index.finished_jobs)
        ]
        if not self._record_writer.write(over):
            return True
        self._delete_orphan_chunks()
        self._count_received()
        handed = self._dispatch_due() and self._dispatch()
        self._snapshot()
        return bool(over) or handed

    def _delete_orphan_chunks(self) -> None:
        """Delete chunks that ended jobs left behind because a transaction has limits.

        Guarded by the job's absence: a job that this node knows nothing of yet is not one that ended.
        """
        if not self._record_writer.orphan_chunks_possible:
            return
        self._record_writer.orphan_chunks_possible = False
        keys = [e.key for e in self._mirror.below(RUN_PREFIX) if e.key.split("/")[2] not in self._job_index.jobs]
        txns = [self._leader_txn().guard(JOB_PREFIX + key.split("/")[2], 0).delete(key) for key in keys]
        written = self._record_writer.write(txns)
        self._record_writer.orphan_chunks_possible = not written or self._record_writer.last_write_incomplete

    def _leader_txn(self, purpose: Purpose = Purpose.BEST_EFFORT) -> Transaction:
        """A transaction that fails if another leads."""
        return Transaction(purpose).guard(LEADER_KEY, self._leader_term.leader_key_version)

    def _count_received(self) -> None:
        """Charge the machine time of what is placed to its jobs."""
        now = self._clock.steady()
        passed = now - self._counted_at
        if passed < self._operators.round_interval:
            return
        self._counted_at = now
        for placement in self._job_index.placements():
            self._job_index.jobs[placement.task.ref].task_time_received += passed
        self._last_dispatches = {
            t: h for t, h in self._last_dispatches.items() if now - h[1] < REFUSED_ZONE_BACKOFF * 10
        }

    # -- handing over -------------------------------------------------------

    def _dispatch_due(self) -> bool:
        """Whether to look for room again: most events make none, and a look costs as much as all that waits."""
        now = self._clock.steady()
        services = {
            ref for ref in self._job_index.pending_jobs if self._job_index.jobs[ref].spec.shape is Shape.SERVICE
        }
        if now - self._looked_at < self._dispatch_interval and services <= self._looked_for:
            return False
        self._looked_at, self._looked_for = now, services
        return True

    def _dispatch(self) -> bool:
        """Hand jobs to blocks in the order of their deficits while room lasts; whether any was handed."""
        waiting = [self._job_index.jobs[ref] for ref in self._job_index.pending_jobs]
        held_back = [
            self._job_index.jobs[ref]
            for ref in self._job_index.gangs & self._job_index.dispatched_jobs
            if self._stuck(ref)
        ]
        self._fleet.capacity_requests = []
        if not waiting and not held_back:
            return False
        self._fleet.note_accelerator_specs()
        views = self._views()
        usage = self._usage()
        kept = self._shares(waiting)
        now = self._clock.utc()
        self._fleet.large_jobs.note(j.spec for j in waiting)
        overdue = {j.spec.ref for j in waiting if self._is_escalated(j, now)}
        order = in_order(
            (
                PendingJob(
                    j.spec.ref,
                    weight_of(j.spec, self._operators) * kept[j.spec.ref],
                    j.submitted,
                    j.task_time_received,
                    j.spec.shape is Shape.SERVICE,
                    j.spec.ref in overdue,
                )
                for j in waiting
            ),
            now,
            self._operators.arrival_credit,
        )
        hands = DispatchBatch()
        moved: list[Transaction] = []
        unplaced: list[tuple[Job, int]] = []
        for job in held_back:
            moved += self._move_gang(job, views)
            unplaced.append((job, job.spec.tasks))
        topped = bool(held_back)
        kept_back: list[JobSpec] = []  # gangs for which their teams' limits are kept
        lacking: set[JobSpec] = set()  # what waits without room ahead of guests
        left_over: dict[int, MachineSelection] = {0: views}
        full: set[tuple] = set()
        too_large: dict[tuple, int] = {}
        for ref in order:
            job = self._job_index.jobs[ref]
            tries = self._failure_attribution.retry_limit(job)
            if tries == 0:
                continue
            if hands.chunks[job.spec.shape] >= MAX_DISPATCHED_CHUNKS and job.spec.shape is not Shape.SERVICE:
                continue  # in the next round: what it writes now must not keep services waiting
            guest = self._preemption_policy.without_guarantee(job.spec)
            if guest and len(lacking) not in left_over:
                left_over[len(lacking)] = _left_over(views, lacking)
            seen = left_over[len(lacking)] if guest else views
            if job.spec.shape is Shape.GANG:
                at_top = not topped and tries is None
                left = self._dispatch_gang(job, seen, usage, hands, too_large, at_top, ref in overdue, kept_back)
                topped = topped or (left > 0 and tries is None)
            else:
                left = self._dispatch_tasks(job, seen, usage, hands, full, tries)
            if left and tries is None:
                # For a wrong job no room is rented, kept or made.
                unplaced.append((job, left))
                if not guest:
                    lacking.add(job.spec)
        # One write a round for each job: what was handed in part gets its rest in the next.
        pressing = [
            (j, n)
            for j, n in unplaced
            if j.spec.shape is not Shape.GANG
            and not self._preemption_policy.is_opportunistic(j.spec)
            and n == min(j.pending_count(), MAX_DISPATCHED_TASKS)
        ]
        self._dispatch_with_preemption(pressing, views, usage, hands)
        self._dispatch_into_reserved_room([self._job_index.jobs[ref] for ref in order], views, usage, kept_back, hands)
        self._fleet.capacity_requests = [self._fleet.capacity_request(job, left) for job, left in unplaced]
        txns = [
            self._leader_txn(PURPOSES[shape]).guard(key, self._record_writer.version(key)).put(key, page)
            for shape, key, page in hands.pages(self._job_index, self._record_writer.value_bytes)
        ]
        if txns or moved:
            self._record_writer.write(moved + txns)
            self._note_handed(hands)
        return bool(txns or moved)

    def _note_handed(self, hands: DispatchBatch) -> None:
        """Remember when tasks were handed over, of those that really were: the budget may have put some off."""
        now = self._clock.steady()
        for _, ref, parts in hands:
            job = self._job_index.jobs.get(ref)
            for number, hand in parts.items():
                chunk = job.chunks.get(number) if job is not None else None
                for index, handed in hand.tasks.items():
                    if chunk is not None and index in chunk.dispatched:
                        self._last_dispatches[TaskId(ref, number * CHUNK_TASKS + index)] = (handed.zone, now)

    def _note_reservation(self, job: Job) -> None:
        """Note that room is reserved for a gang."""
        now = self._clock.steady()
        since, last = self._reservation_times.get(job.spec.ref, (now, now))
        self._reservation_times[job.spec.ref] = (now if now - last > RESERVATION_GAP_LIMIT else since, now)

    def _dispatch_into_reserved_room(
        self, waiting: list[Job], views: MachineSelection, usage: Usage, kept_back: list[JobSpec], hands: DispatchBatch
    ) -> None:
        """Give a task, or the whole gang, of each job that has stood for long beside room that was not given to it.

        What is reserved for a gang stays so while it may yet collect its room
        in time; what is kept for accelerator work, while such work waits; and
        guests leave what they must only so long.  The machine is named, as its
        holder holds it too.
        """
        now = self._clock.steady()
        if now - self._beside_at < RESERVED_ROOM_CHECK_INTERVAL:
            return
        self._beside_at = now
        self._reservation_times = {
            r: held for r, held in self._reservation_times.items() if now - held[1] <= RESERVATION_GAP_LIMIT
        }
        lasting = {ref for ref, (since, _) in self._reservation_times.items() if now - since >= RESERVED_ROOM_MAX_WAIT}
        handed = {ref for _, ref, _ in hands}
        free = usage.excluding_jobs(kept_back)
        with ignoring_reservations(views):
            rooms = RoomCheck(views)
            beside = [
                job
                for job in waiting
                if job.spec.ref not in handed
                and _fits_limit(job, free)
                and rooms.has_room(job.spec, _at_once(job))
                and not self._failure_attribution.is_failing_job(job)
            ]
        self._blocked_by_reservation_since = {
            job.spec.ref: self._blocked_by_reservation_since.get(job.spec.ref, now) for job in beside
        }
        wanted = self._job_index.accelerated & self._job_index.pending_jobs
        free = usage.excluding_jobs(spec for spec in kept_back if spec.ref in lasting)
        with ignoring_reservations(views, lambda view: view.held_for_gang in lasting, kept=not wanted):
            for job in beside:
                spec = job.spec
                if now - self._blocked_by_reservation_since[spec.ref] < RESERVED_ROOM_MAX_WAIT or not _fits_limit(
                    job, free
                ):
                    continue
                if rows := self._named_rows(job, views):
                    log.info("job %s is given room that was reserved: it stood beside it for long", spec.ref)
                    free.add(spec.team, spec.cpus, spec.gpus, _at_once(job))
                    hands.add(job, rows)
                    del self._blocked_by_reservation_since[spec.ref]

    def _named_rows(self, job: Job, views: MachineSelection) -> list[tuple[TaskId, DispatchTarget]]:
        """One task of a job, or a gang whole, on machines that have room for it; none if they do not do."""
        spec = job.spec
        if spec.shape is not Shape.GANG:
            zones, mates = count_by_zone_and_machine(job)
            chosen = place(spec, 1, able_for(job, views), zones, mates)
            return [(t, DispatchTarget(v.zone, v.name)) for t, v in zip(job.pending_tasks(1), chosen, strict=False)]
        chosen = place_gang(spec, able_for(job, views)) if job.pending_count() == spec.tasks else None
        return [] if chosen is None else self._named(job, chosen)

    def _shares(self, waiting: list[Job]) -> dict[str, float]:
        """What part of its weight each waiting job keeps."""
        by_team: dict[str, list[str]] = {}
        for job in waiting:
            by_team.setdefault(job.spec.team, []).append(job.spec.ref)
        claims = {name: map(_claim, self._job_index.of_team(name)) for name in by_team}
        return weight_factors(by_team, claims, self._platform.teams, self.team_weight_factor)

    def _dispatch_tasks(
        self,
        job: Job,
        views: MachineSelection,
        usage: Usage,
        hands: DispatchBatch,
        full: set[tuple],
        tries: int | None,
    ) -> int:
        """Hand over tasks of an array or service; returns how many found no room in any block.

        `full` has the needs that found no room earlier in this round: room
        only shrinks, so whoever needs the same is not tried again.  At most
        `tries` tasks are handed over, if it is given.
        """
        spec = job.spec
        most = min(job.pending_count(), MAX_DISPATCHED_TASKS if tries is None else tries)
        room = usage.startable_tasks(spec.team, spec.cpus, spec.gpus, most)
        if room == 0:
            self._set_pending_reason(job, AT_LIMIT)
            return 0
        tasks: list[TaskId] = []
        needs = (self._preemption_policy.without_guarantee(spec), *spec.needs)
        chosen: list[MachineView] = []
        if needs not in full:
            tasks = job.pending_tasks(room)
            zones, mates = count_by_zone_and_machine(job)
            refused = self._refused_zones(tasks)
            able = able_for(job, views.outside(refused) if refused else views)
            chosen = place(spec, room, able, zones, mates, self._fleet.price_limit(job))
            if len(chosen) < room and not (refused or job.failed_on or spec.spread or spec.one_zone):
                full.add(needs)
        self._set_pending_reason(job, "" if len(chosen) >= room else "no machine has room")
        if chosen:
            usage.add(spec.team, spec.cpus, spec.gpus, len(chosen))
            hands.add(job, [(t, DispatchTarget(v.zone)) for t, v in zip(tasks, chosen, strict=False)])
        return room - len(chosen)

    def _refused_zones(self, tasks: list[TaskId]) -> set[str]:
        """Blocks that gave back tasks of this job a moment ago."""
        now = self._clock.steady()
        last = (self._last_dispatches.get(t) for t in tasks)
        return {zone for zone, at in (h for h in last if h) if now - at < REFUSED_ZONE_BACKOFF}

    def _dispatch_gang(
        self,
        job: Job,
        views: MachineSelection,
        usage: Usage,
        hands: DispatchBatch,
        too_large: dict[tuple, int],
        at_top: bool,
        overdue: bool,
        kept_back: list[JobSpec],
    ) -> int:
        """Hand over a whole gang or nothing; returns how many tasks found no room.

        `too_large` has the least gangs that found no room earlier in this
        round, by what a task needs: a larger one that needs the same finds none.
        """
        spec = job.spec
        needs = (self._preemption_policy.without_guarantee(spec), *spec.needs, spec.one_zone, spec.spread)
        if job.pending_count() < spec.tasks:
            return 0
        if usage.startable_tasks(spec.team, spec.cpus, spec.gpus, spec.tasks) < spec.tasks:
            never = not self._room_may_come(job)
            self._set_pending_reason(job, AT_LIMIT + (", and its services leave no room for the gang" if never else ""))
            if overdue and not never:
                # Its team's small jobs would fill each gap in the limit as it
                # opens: what there is of it is kept for the gang.
                usage.add(spec.team, spec.cpus, spec.gpus, spec.tasks)
                self._note_reservation(job)
                kept_back.append(spec)
            return 0
        known = spec.tasks >= too_large.get(needs, spec.tasks + 1)
        chosen = None if known else place_gang(spec, able_for(job, views))
        if chosen is None:
            if not job.failed_on:
                too_large[needs] = min(spec.tasks, too_large.get(needs, spec.tasks))
            self._set_pending_reason(job, "the gang does not fit whole")
            if at_top:
                self._reserve_for_gang(job, views, usage, hands, firmly=overdue)
            return spec.tasks
        self._set_pending_reason(job, "")
        usage.add(spec.team, spec.cpus, spec.gpus, spec.tasks)
        hands.add(job, self._gang_rows(job, chosen))
        return 0

    def _is_escalated(self, job: Job, now: datetime) -> bool:
        """Whether nothing but services is to be put ahead of the job, because it is large and has waited long."""
        started = job.done_count() + job.placed_count()
        return self._fleet.large_jobs.is_escalated(job.spec, started, now - job.submitted)

    def _room_may_come(self, job: Job) -> bool:
        """Whether the gang will fit its team's limit once the team's arrays and gangs have ended.

        Services go on until they are cancelled: what they leave no room for is not waited for.
        """
        usage, spec = Usage(self._platform.teams), job.spec
        for other in self._job_index.of_team(spec.team):
            if other.spec.shape is Shape.SERVICE:
                usage.add(spec.team, other.spec.cpus, other.spec.gpus, sum(other.counts[1:]))
        return usage.startable_tasks(spec.team, spec.cpus, spec.gpus, spec.tasks) >= spec.tasks

    def _gang_rows(self, job: Job, chosen: list[MachineView]) -> list[tuple[TaskId, DispatchTarget]]:
        """A gang in one block is placed by its holder; one that spans blocks is placed here."""
        if len({v.zone for v in chosen}) == 1:
            return [(TaskId(job.spec.ref, i), DispatchTarget(v.zone)) for i, v in enumerate(chosen)]
        return self._named(job, chosen)

    def _named(self, job: Job, chosen: list[MachineView]) -> list[tuple[TaskId, DispatchTarget]]:
        attempt = max((c.next_attempt for c in job.chunks.values()), default=1)
        return [(TaskId(job.spec.ref, i), DispatchTarget(v.zone, v.name, attempt)) for i, v in enumerate(chosen)]

    def _reserve_for_gang(
        self, job: Job, views: MachineSelection, usage: Usage, hands: DispatchBatch, firmly: bool
    ) -> None:
        """The gang tops the order: hand it to the block where it will fit, whose holder keeps machines for it.

        Nothing below it in the order goes to the machines picked for it.
        """
        spec = job.spec
        fit = sorted(fitting(spec, views), key=lambda v: v.tasks)
        picked = place_gang(spec, [with_services_only(v, self._on(v)) for v in fit])
        if picked is None:
            return
        self._note_reservation(job)
        for name in {v.name for v in picked}:
            views.get(name).hold_for_gang(spec.ref, firmly)
        if len({v.zone for v in picked}) == 1:
            usage.add(spec.team, spec.cpus, spec.gpus, spec.tasks)
            hands.add(job, self._gang_rows(job, picked))

    def _stuck(self, ref: str) -> bool:
        """Whether a gang was handed to a block and found no room there yet."""
        job = self._job_index.jobs[ref]
        if job.placed_count():
            return False
        first = next(job.unstarted_dispatches(), None)
        if first is None:
            return False
        at = self._last_dispatches.get(first[0])
        return at is None or self._clock.steady() - at[1] > STUCK_GANG_TIMEOUT

    def _move_gang(self, job: Job, views: MachineSelection) -> list[Transaction]:
        """Hand a stuck gang to another block if it fits there; else keep the machines where it waits."""
        spec = job.spec
        zones = {h.zone for _, h in job.unstarted_dispatches()}
        chosen = place_gang(spec, views)
        if chosen is not None and {v.zone for v in chosen} != zones:
            return self._redispatch(job, self._gang_rows(job, chosen))
        self._note_reservation(job)
        for view in list(views.within(zones)):
            if view.type.cpus >= spec.cpus and view.type.gpus >= spec.gpus:
                view.hold_for_gang(spec.ref, exclude_arrays=self._is_escalated(job, self._clock.utc()))
        return []

    def _redispatch(self, job: Job, rows: list[tuple[TaskId, DispatchTarget]]) -> list[Transaction]:
        """Hand tasks elsewhere that were handed over already: only a write of their chunks takes that back."""
        now = self._clock.steady()
        by_chunk: dict[int, dict[int, DispatchTarget]] = {}
        for task, handed in rows:
            by_chunk.setdefault(task.index // CHUNK_TASKS, {})[task.index % CHUNK_TASKS] = handed
            self._last_dispatches[task] = (handed.zone, now)
        txns = []
        for number, group in by_chunk.items():
            chunk = job.chunks.get(number) or Chunk()
            record = chunk.record()
            kept = [row for row in record["h"] if row[0] not in group]
            record["h"] = kept + [[i, *(h if h.machine else h[:1])] for i, h in group.items()]
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

    def _on(self, view: MachineView) -> list:
        return list(self._job_index.placements_on(view.name).values())

    def _views(self) -> MachineSelection:
        """All usable machines of blocks that have a holder, less what is on them or on its way to them."""
        self._reservations.release(
            waived={ref for ref in self._job_index.gangs & self._job_index.dispatched_jobs if self._stuck(ref)}
        )
        members = self._leadership.members
        served = [zone for zone, grant in self._blocks.grants.items() if grant.holder in members]
        views = self._view_cache.fresh().within(served)
        self._reservations.lose_machines(views)
        self._reservations.reserve(views)
        return views

    def _view(self, name: str) -> MachineView | None:
        """A machine that is up."""
        machine = self._fleet.machines.get(name)
        type_ = self._fleet.catalog.get(machine.type) if machine else None
        if type_ is None or not machine.usable:
            return None
        view = view_of(machine, type_, machine.images, self._job_index.load(name), self._fleet)
        for spec in self._reservations.reserved_on(name):
            view.allocate(spec)
        return view

    def _dispatch_with_preemption(
        self, pressing: list[tuple[Job, int]], views: MachineSelection, usage: Usage, hands: DispatchBatch
    ) -> None:
        """Hand jobs without room to blocks where others may be stopped for them, services first."""
        if not pressing:
            return
        pressing.sort(key=lambda entry: entry[0].spec.shape is not Shape.SERVICE)
        victims = preemption_candidates(
            self._job_index, self._preemption_policy, (j.spec for j, _ in pressing), lambda p: Victim(p, p.spec, ZERO)
        )
        stops = PreemptionCache(victims, self._preemption_policy)
        barren: set[tuple] = set()  # needs for which stopping others makes no room
        for job, count in pressing:
            spec = job.spec
            needs = (*spec.needs, spec.priority, spec.shape, self._preemption_policy.is_opportunistic(spec))
            if needs in barren:
                continue
            zones, _ = count_by_zone_and_machine(job)
            tasks = job.pending_tasks(MAX_DISPATCHED_TASKS)
            refused = self._refused_zones(tasks)
            room = usage.startable_tasks(spec.team, spec.cpus, spec.gpus, min(count, len(tasks)))
            able = views.outside(refused)
            found = plan_preemptions(spec, room, able, stops, zones)
            if found:
                barren.clear()  # what was freed may be more than was taken
            elif room and not (refused or spec.spread or spec.one_zone):
                barren.add(needs)
            rows = [(task, DispatchTarget(view.zone)) for task, (view, _) in zip(tasks, found, strict=False)]
            if rows:
                usage.add(spec.team, spec.cpus, spec.gpus, len(rows))
                hands.add(job, rows)

    # -- the snapshot -------------------------------------------------------

    def _snapshot(self) -> None:
        """Write down what waiting jobs have received, for the next leader's order."""
        now = self._clock.steady()
        if now - self._snapshot_at < self._operators.snapshot_interval:
            return
        self._snapshot_at = now
        rows = [
            (j.spec.ref, round(j.task_time_received.total_seconds(), 1))
            for j in self._job_index.jobs.values()
            if j.task_time_received
        ]
        per_key = max(1, self._store.limits.value_bytes // 64)
        parts = [dict(rows[i : i + per_key]) for i in range(0, len(rows), per_key)]
        txns = [self._leader_txn().put(f"{SNAPSHOT_PREFIX}{i}", part) for i, part in enumerate(parts)]
        txns += [self._leader_txn().delete(f"{SNAPSHOT_PREFIX}{i}") for i in range(len(parts), self._snapshot_keys)]
        if self._record_writer.write(txns):
            # What was put off of the deletions is left for the next snapshot.
            self._snapshot_keys = max(
                self._snapshot_keys if self._record_writer.last_write_incomplete else 0, len(parts)
            )


def _at_once(job: Job) -> int:
    """How many of a job's tasks start together or not at all."""
    return job.spec.tasks if job.spec.shape is Shape.GANG else 1


def _fits_limit(job: Job, usage: Usage) -> bool:
    """Whether a task, or the whole gang, may start within its team's limit."""
    spec, at_once = job.spec, _at_once(job)
    return usage.startable_tasks(spec.team, spec.cpus, spec.gpus, at_once) >= at_once


def _claim(job: Job) -> JobDemand:
    # A cancelled job's tasks are leaving: it claims nothing.
    left = 0 if job.cancelled else job.spec.tasks - job.done_count()
    return JobDemand(job.spec.ref, job.spec.cpus * left, job.spec.gpus * left)


def _left_over(views: MachineSelection, lacking: Iterable[JobSpec]) -> MachineSelection:
    """The machines that nobody ahead of a guest waits for.

    A guest's small tasks would fill each gap as it opens, so that the room
    for a larger one of others never came together.
    """
    needs = list({s.needs: s for s in lacking}.values())

    def wanted_by_nobody(kind: MachineKind) -> bool:
        return not any(allowed(s, kind.type, kind.zone, kind.spot) and type_fits(s, kind.type) for s in needs)

    return views.of_kinds(wanted_by_nobody)
