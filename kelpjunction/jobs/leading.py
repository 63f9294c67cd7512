"""The leader's rounds: the order of jobs, and which block each is handed to.

The leader alone hands tasks to blocks, so it alone answers for the teams'
limits and the jobs' zones: what is handed or placed counts until it is
settled.  The holders of the blocks choose machines and start the tasks.
"""

import logging
from collections.abc import Callable, Iterable
from datetime import datetime, timedelta

from kelpjunction.blocks import Blocks
from kelpjunction.budget import Purpose
from kelpjunction.changes import Changes
from kelpjunction.clock import ZERO, Clock, seconds
from kelpjunction.fleet.cloud import Fleet
from kelpjunction.jobs.blame import Blame
from kelpjunction.jobs.book import CHUNK, JOB_PREFIX, RUN_PREFIX, Book, Chunk, Handed, Job
from kelpjunction.jobs.handing import HandOvers
from kelpjunction.jobs.holding import weight_of
from kelpjunction.jobs.records import PURPOSES, Records, run_key
from kelpjunction.jobs.reserving import Reservations
from kelpjunction.jobs.views import Rooms, Views, able_for, emptied, fitting, spread_of, stoppable, unreserved, view_of
from kelpjunction.leadership import LEAD_KEY, Leadership, Reign
from kelpjunction.placement import Choice, Found, Kind, Victim, View, allowed, make_room, place, place_gang, type_fits
from kelpjunction.queue import Claim, Rights, Usage, Waiting, in_order, shares
from kelpjunction.settings import Operators, Platform
from kelpjunction.store.client import StoreClient, Transaction
from kelpjunction.store.mirror import Mirror
from kelpjunction.wire.messages import JobSpec, Shape, TaskId

log = logging.getLogger("jobs")

SNAPSHOT_PREFIX = "s/deficit/"
MOST_AT_ONCE = 512  # tasks of one job handed over in one round
MOST_HANDED = 48  # chunks of arrays, and of gangs, handed over in one round
REFUSED_FOR = timedelta(seconds=2)
AT_LIMIT = "its team is at its limit"
MOVE_GANG_AFTER = timedelta(seconds=2)
HAND_EVERY = timedelta(milliseconds=200)  # arrays and gangs wait that long at most; a service that comes does not
# Beside room that is held, kept or left for others.  Nothing may wait for 90 s there (PROTOCOL's users); what comes
# free must be handed over and started, and a gang that presses has as long to collect its room undisturbed.
BESIDE_AT_MOST = timedelta(seconds=70)
LOOK_BESIDE_EVERY = timedelta(seconds=1)
RESERVES_STILL = timedelta(seconds=5)  # gangs take turns at the top of the order
HAND_SHARE = 0.2  # or longer, where pages of hand-overs would take more than this of the rate of changes


class Leading:
    """Hands jobs to blocks while this node leads."""

    def __init__(
        self,
        platform: Platform,
        operators: Operators,
        store: StoreClient,
        mirror: Mirror,
        records: Records,
        book: Book,
        leadership: Leadership,
        blocks: Blocks,
        fleet: Fleet,
        blame: Blame,
        clock: Clock,
        changes: Changes,
    ) -> None:
        self._platform = platform
        self._operators = operators
        self._store = store
        self._mirror = mirror
        self._records = records
        self._book = book
        self._leadership = leadership
        self._blocks = blocks
        self._fleet = fleet
        self._blame = blame
        self._rights = Rights(platform.teams, platform.aimed)
        self._clock = clock
        self._kept = Views(changes, fleet, lambda: fleet.machines, self._view)
        self._reserved = Reservations(book, fleet, self._kept)
        self._reign: Reign
        self._counted_at = ZERO
        self._snapshot_at = ZERO
        self._snapshot_keys = 0
        self._handed_at: dict[TaskId, tuple[str, timedelta]] = {}
        self._every = max(HAND_EVERY, seconds(len(Shape) / (HAND_SHARE * platform.store.write_rps)))
        self._looked_at = ZERO
        self._looked_for: set[str] = set()  # the services that waited then
        self._beside: dict[str, timedelta] = {}  # since when a job has stood beside room that is not given to it
        self._beside_at = ZERO
        # Gangs for which machines are held or their team's limit is kept: since when, and when last.
        self._reserving: dict[str, tuple[timedelta, timedelta]] = {}
        # What a team keeps of its shared weight beyond its guarantee, for what it has used before.
        self.factor: Callable[[str], float] = lambda team: 1.0

    def begin(self, reign: Reign) -> None:
        """Start a reign: read the last snapshot of the deficits.

        The reign is kept until the next: it may end while a round waits for
        an answer, and what that round still writes then fails by its guards.
        """
        self._reign = reign
        self._records.left_over = True
        self._handed_at = {}
        self._reserved.clear()
        self._beside, self._reserving = {}, {}
        self._counted_at = self._snapshot_at = self._clock.steady()
        for job in self._book.jobs.values():
            job.received = ZERO
        entries, _ = self._store.scan(SNAPSHOT_PREFIX)
        self._snapshot_keys = len(entries)
        for entry in entries:
            for ref, received in entry.value.items():
                if ref in self._book.jobs:
                    self._book.jobs[ref].received = timedelta(seconds=received)

    def round(self) -> bool:
        """End what is over and hand over what is next; whether another round should follow at once."""
        types = self._fleet.catalog.values()
        zones = sorted({*self._platform.zones, *(z for t in types for z in t.zones)})
        self._blocks.assign(self._reign, zones, self._leadership.members)
        over = [self._records.ending(self._book.jobs[ref]) for ref in sorted(self._book.over)]
        if not self._records.write(over):
            return True
        self._sweep()
        self._count_received()
        handed = self._due() and self._hand_over()
        self._snapshot()
        return bool(over) or handed

    def _sweep(self) -> None:
        """Delete chunks that ended jobs left behind because a transaction has limits.

        Guarded by the job's absence: a job that this node knows nothing of yet is not one that ended.
        """
        if not self._records.left_over:
            return
        self._records.left_over = False
        keys = [e.key for e in self._mirror.below(RUN_PREFIX) if e.key.split("/")[2] not in self._book.jobs]
        txns = [self._led().guard(JOB_PREFIX + key.split("/")[2], 0).delete(key) for key in keys]
        written = self._records.write(txns)
        self._records.left_over = not written or self._records.undone

    def _led(self, purpose: Purpose = Purpose.SPARE) -> Transaction:
        """A transaction that fails if another leads."""
        return Transaction(purpose).guard(LEAD_KEY, self._reign.lead_version)

    def _count_received(self) -> None:
        """Charge the machine time of what is placed to its jobs."""
        now = self._clock.steady()
        passed = now - self._counted_at
        if passed < self._operators.round:
            return
        self._counted_at = now
        for placement in self._book.placements():
            self._book.jobs[placement.task.ref].received += passed
        self._handed_at = {t: h for t, h in self._handed_at.items() if now - h[1] < REFUSED_FOR * 10}

    # -- handing over -------------------------------------------------------

    def _due(self) -> bool:
        """Whether to look for room again: most events make none, and a look costs as much as all that waits."""
        now = self._clock.steady()
        services = {ref for ref in self._book.waiting if self._book.jobs[ref].spec.shape is Shape.SERVICE}
        if now - self._looked_at < self._every and services <= self._looked_for:
            return False
        self._looked_at, self._looked_for = now, services
        return True

    def _hand_over(self) -> bool:
        """Hand jobs to blocks in the order of their deficits while room lasts; whether any was handed."""
        waiting = [self._book.jobs[ref] for ref in self._book.waiting]
        held_back = [self._book.jobs[ref] for ref in self._book.gangs & self._book.handed if self._stuck(ref)]
        self._fleet.wants = []
        if not waiting and not held_back:
            return False
        self._fleet.note_scarce()
        views = self._views()
        usage = self._usage()
        kept = self._shares(waiting)
        now = self._clock.utc()
        self._fleet.giants.note(j.spec for j in waiting)
        overdue = {j.spec.ref for j in waiting if self._presses(j, now)}
        order = in_order(
            (
                Waiting(
                    j.spec.ref,
                    weight_of(j.spec, self._operators) * kept[j.spec.ref],
                    j.submitted,
                    j.received,
                    j.spec.shape is Shape.SERVICE,
                    j.spec.ref in overdue,
                )
                for j in waiting
            ),
            now,
            self._operators.arrival_credit,
        )
        hands = HandOvers()
        moved: list[Transaction] = []
        unplaced: list[tuple[Job, int]] = []
        for job in held_back:
            moved += self._move_gang(job, views)
            unplaced.append((job, job.spec.tasks))
        topped = bool(held_back)
        kept_back: list[JobSpec] = []  # gangs for which their teams' limits are kept
        lacking: set[JobSpec] = set()  # what waits without room ahead of guests
        left_over: dict[int, Choice] = {0: views}
        full: set[tuple] = set()
        too_large: dict[tuple, int] = {}
        for ref in order:
            job = self._book.jobs[ref]
            tries = self._blame.may_try(job)
            if tries == 0:
                continue
            if hands.chunks[job.spec.shape] >= MOST_HANDED and job.spec.shape is not Shape.SERVICE:
                continue  # in the next round: what it writes now must not keep services waiting
            guest = self._rights.guest(job.spec)
            if guest and len(lacking) not in left_over:
                left_over[len(lacking)] = _left_over(views, lacking)
            seen = left_over[len(lacking)] if guest else views
            if job.spec.shape is Shape.GANG:
                at_top = not topped and tries is None
                left = self._hand_gang(job, seen, usage, hands, too_large, at_top, ref in overdue, kept_back)
                topped = topped or (left > 0 and tries is None)
            else:
                left = self._hand_tasks(job, seen, usage, hands, full, tries)
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
            and not self._rights.leftover(j.spec)
            and n == min(j.waiting_count(), MOST_AT_ONCE)
        ]
        self._hand_where_others_may_stop(pressing, views, usage, hands)
        self._hand_beside([self._book.jobs[ref] for ref in order], views, usage, kept_back, hands)
        self._fleet.wants = [self._fleet.want(job, left) for job, left in unplaced]
        txns = [
            self._led(PURPOSES[shape]).guard(key, self._records.version(key)).put(key, page)
            for shape, key, page in hands.pages(self._book, self._records.value_bytes)
        ]
        if txns or moved:
            self._records.write(moved + txns)
            self._note_handed(hands)
        return bool(txns or moved)

    def _note_handed(self, hands: HandOvers) -> None:
        """Remember when tasks were handed over, of those that really were: the budget may have put some off."""
        now = self._clock.steady()
        for _, ref, parts in hands:
            job = self._book.jobs.get(ref)
            for number, hand in parts.items():
                chunk = job.chunks.get(number) if job is not None else None
                for index, handed in hand.tasks.items():
                    if chunk is not None and index in chunk.handed:
                        self._handed_at[TaskId(ref, number * CHUNK + index)] = (handed.zone, now)

    def _reserves(self, job: Job) -> None:
        """Note that room is reserved for a gang."""
        now = self._clock.steady()
        since, last = self._reserving.get(job.spec.ref, (now, now))
        self._reserving[job.spec.ref] = (now if now - last > RESERVES_STILL else since, now)

    def _hand_beside(
        self, waiting: list[Job], views: Choice, usage: Usage, kept_back: list[JobSpec], hands: HandOvers
    ) -> None:
        """Give a task, or the whole gang, of each job that has stood for long beside room that was not given to it.

        What is reserved for a gang stays so while it may yet collect its room
        in time; what is kept for accelerator work, while such work waits; and
        guests leave what they must only so long.  The machine is named, as its
        holder holds it too.
        """
        now = self._clock.steady()
        if now - self._beside_at < LOOK_BESIDE_EVERY:
            return
        self._beside_at = now
        self._reserving = {r: held for r, held in self._reserving.items() if now - held[1] <= RESERVES_STILL}
        lasting = {ref for ref, (since, _) in self._reserving.items() if now - since >= BESIDE_AT_MOST}
        handed = {ref for _, ref, _ in hands}
        free = usage.without(kept_back)
        with unreserved(views):
            rooms = Rooms(views)
            beside = [
                job
                for job in waiting
                if job.spec.ref not in handed
                and _fits_limit(job, free)
                and rooms.has(job.spec, _at_once(job))
                and not self._blame.wrong(job)
            ]
        self._beside = {job.spec.ref: self._beside.get(job.spec.ref, now) for job in beside}
        wanted = self._book.accelerated & self._book.waiting
        free = usage.without(spec for spec in kept_back if spec.ref in lasting)
        with unreserved(views, lambda view: view.held_for in lasting, kept=not wanted):
            for job in beside:
                spec = job.spec
                if now - self._beside[spec.ref] < BESIDE_AT_MOST or not _fits_limit(job, free):
                    continue
                if rows := self._named_rows(job, views):
                    log.info("job %s is given room that was reserved: it stood beside it for long", spec.ref)
                    free.add(spec.team, spec.cpus, spec.gpus, _at_once(job))
                    hands.add(job, rows)
                    del self._beside[spec.ref]

    def _named_rows(self, job: Job, views: Choice) -> list[tuple[TaskId, Handed]]:
        """One task of a job, or a gang whole, on machines that have room for it; none if they do not do."""
        spec = job.spec
        if spec.shape is not Shape.GANG:
            zones, mates = spread_of(job)
            chosen = place(spec, 1, able_for(job, views), zones, mates)
            return [(t, Handed(v.zone, v.name)) for t, v in zip(job.waiting(1), chosen, strict=False)]
        chosen = place_gang(spec, able_for(job, views)) if job.waiting_count() == spec.tasks else None
        return [] if chosen is None else self._named(job, chosen)

    def _shares(self, waiting: list[Job]) -> dict[str, float]:
        """What part of its weight each waiting job keeps."""
        by_team: dict[str, list[str]] = {}
        for job in waiting:
            by_team.setdefault(job.spec.team, []).append(job.spec.ref)
        claims = {name: map(_claim, self._book.of_team(name)) for name in by_team}
        return shares(by_team, claims, self._platform.teams, self.factor)

    def _hand_tasks(
        self,
        job: Job,
        views: Choice,
        usage: Usage,
        hands: HandOvers,
        full: set[tuple],
        tries: int | None,
    ) -> int:
        """Hand over tasks of an array or service; returns how many found no room in any block.

        `full` has the needs that found no room earlier in this round: room
        only shrinks, so whoever needs the same is not tried again.  At most
        `tries` tasks are handed over, if it is given.
        """
        spec = job.spec
        most = min(job.waiting_count(), MOST_AT_ONCE if tries is None else tries)
        room = usage.room(spec.team, spec.cpus, spec.gpus, most)
        if room == 0:
            self._why(job, AT_LIMIT)
            return 0
        tasks: list[TaskId] = []
        needs = (self._rights.guest(spec), *spec.needs)
        chosen: list[View] = []
        if needs not in full:
            tasks = job.waiting(room)
            zones, mates = spread_of(job)
            refused = self._refused_zones(tasks)
            able = able_for(job, views.outside(refused) if refused else views)
            chosen = place(spec, room, able, zones, mates, self._fleet.budget(job))
            if len(chosen) < room and not (refused or job.failed_on or spec.spread or spec.one_zone):
                full.add(needs)
        self._why(job, "" if len(chosen) >= room else "no machine has room")
        if chosen:
            usage.add(spec.team, spec.cpus, spec.gpus, len(chosen))
            hands.add(job, [(t, Handed(v.zone)) for t, v in zip(tasks, chosen, strict=False)])
        return room - len(chosen)

    def _refused_zones(self, tasks: list[TaskId]) -> set[str]:
        """Blocks that gave back tasks of this job a moment ago."""
        now = self._clock.steady()
        last = (self._handed_at.get(t) for t in tasks)
        return {zone for zone, at in (h for h in last if h) if now - at < REFUSED_FOR}

    def _hand_gang(
        self,
        job: Job,
        views: Choice,
        usage: Usage,
        hands: HandOvers,
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
        needs = (self._rights.guest(spec), *spec.needs, spec.one_zone, spec.spread)
        if job.waiting_count() < spec.tasks:
            return 0
        if usage.room(spec.team, spec.cpus, spec.gpus, spec.tasks) < spec.tasks:
            never = not self._room_may_come(job)
            self._why(job, AT_LIMIT + (", and its services leave no room for the gang" if never else ""))
            if overdue and not never:
                # Its team's small jobs would fill each gap in the limit as it
                # opens: what there is of it is kept for the gang.
                usage.add(spec.team, spec.cpus, spec.gpus, spec.tasks)
                self._reserves(job)
                kept_back.append(spec)
            return 0
        known = spec.tasks >= too_large.get(needs, spec.tasks + 1)
        chosen = None if known else place_gang(spec, able_for(job, views))
        if chosen is None:
            if not job.failed_on:
                too_large[needs] = min(spec.tasks, too_large.get(needs, spec.tasks))
            self._why(job, "the gang does not fit whole")
            if at_top:
                self._hold_for(job, views, usage, hands, firmly=overdue)
            return spec.tasks
        self._why(job, "")
        usage.add(spec.team, spec.cpus, spec.gpus, spec.tasks)
        hands.add(job, self._gang_rows(job, chosen))
        return 0

    def _presses(self, job: Job, now: datetime) -> bool:
        """Whether nothing but services is to be put ahead of the job, because it is large and has waited long."""
        started = job.done_count() + job.placed_count()
        return self._fleet.giants.pressing(job.spec, started, now - job.submitted)

    def _room_may_come(self, job: Job) -> bool:
        """Whether the gang will fit its team's limit once the team's arrays and gangs have ended.

        Services go on until they are cancelled: what they leave no room for is not waited for.
        """
        usage, spec = Usage(self._platform.teams), job.spec
        for other in self._book.of_team(spec.team):
            if other.spec.shape is Shape.SERVICE:
                usage.add(spec.team, other.spec.cpus, other.spec.gpus, sum(other.counts[1:]))
        return usage.room(spec.team, spec.cpus, spec.gpus, spec.tasks) >= spec.tasks

    def _gang_rows(self, job: Job, chosen: list[View]) -> list[tuple[TaskId, Handed]]:
        """A gang in one block is placed by its holder; one that spans blocks is placed here."""
        if len({v.zone for v in chosen}) == 1:
            return [(TaskId(job.spec.ref, i), Handed(v.zone)) for i, v in enumerate(chosen)]
        return self._named(job, chosen)

    def _named(self, job: Job, chosen: list[View]) -> list[tuple[TaskId, Handed]]:
        attempt = max((c.next_attempt for c in job.chunks.values()), default=1)
        return [(TaskId(job.spec.ref, i), Handed(v.zone, v.name, attempt)) for i, v in enumerate(chosen)]

    def _hold_for(self, job: Job, views: Choice, usage: Usage, hands: HandOvers, firmly: bool) -> None:
        """The gang tops the order: hand it to the block where it will fit, whose holder keeps machines for it.

        Nothing below it in the order goes to the machines picked for it.
        """
        spec = job.spec
        fit = sorted(fitting(spec, views), key=lambda v: v.tasks)
        picked = place_gang(spec, [emptied(v, self._on(v)) for v in fit])
        if picked is None:
            return
        self._reserves(job)
        for name in {v.name for v in picked}:
            views.get(name).hold_for(spec.ref, firmly)
        if len({v.zone for v in picked}) == 1:
            usage.add(spec.team, spec.cpus, spec.gpus, spec.tasks)
            hands.add(job, self._gang_rows(job, picked))

    def _stuck(self, ref: str) -> bool:
        """Whether a gang was handed to a block and found no room there yet."""
        job = self._book.jobs[ref]
        if job.placed_count():
            return False
        first = next(job.pending(), None)
        if first is None:
            return False
        at = self._handed_at.get(first[0])
        return at is None or self._clock.steady() - at[1] > MOVE_GANG_AFTER

    def _move_gang(self, job: Job, views: Choice) -> list[Transaction]:
        """Hand a stuck gang to another block if it fits there; else keep the machines where it waits."""
        spec = job.spec
        zones = {h.zone for _, h in job.pending()}
        chosen = place_gang(spec, views)
        if chosen is not None and {v.zone for v in chosen} != zones:
            return self._hand_anew(job, self._gang_rows(job, chosen))
        self._reserves(job)
        for view in list(views.within(zones)):
            if view.type.cpus >= spec.cpus and view.type.gpus >= spec.gpus:
                view.hold_for(spec.ref, firmly=self._presses(job, self._clock.utc()))
        return []

    def _hand_anew(self, job: Job, rows: list[tuple[TaskId, Handed]]) -> list[Transaction]:
        """Hand tasks elsewhere that were handed over already: only a write of their chunks takes that back."""
        now = self._clock.steady()
        by_chunk: dict[int, dict[int, Handed]] = {}
        for task, handed in rows:
            by_chunk.setdefault(task.index // CHUNK, {})[task.index % CHUNK] = handed
            self._handed_at[task] = (handed.zone, now)
        txns = []
        for number, group in by_chunk.items():
            chunk = job.chunks.get(number) or Chunk()
            record = chunk.record()
            kept = [row for row in record["h"] if row[0] not in group]
            record["h"] = kept + [[i, *(h if h.machine else h[:1])] for i, h in group.items()]
            key = run_key(job.spec.ref, number)
            txn = self._records.guarded(job).guard(LEAD_KEY, self._reign.lead_version)
            txns.append(txn.guard(key, chunk.version).put(key, record))
        return txns

    def _why(self, job: Job, why: str) -> None:
        if why != job.why_waiting:
            job.why_waiting = why
            if why:
                log.info("job %s waits: %s", job.spec.ref, why)

    def _usage(self) -> Usage:
        usage = Usage(self._platform.teams)
        for need, count in self._book.held.items():
            usage.add(*need, count)
        return usage

    def _on(self, view: View) -> list:
        return list(self._book.on(view.name).values())

    def _views(self) -> Choice:
        """All usable machines of blocks that have a holder, less what is on them or on its way to them."""
        self._reserved.release(waived={ref for ref in self._book.gangs & self._book.handed if self._stuck(ref)})
        members = self._leadership.members
        served = [zone for zone, grant in self._blocks.grants.items() if grant.holder in members]
        views = self._kept.fresh().within(served)
        self._reserved.lose_machines(views)
        self._reserved.reserve(views)
        return views

    def _view(self, name: str) -> View | None:
        """A machine that is up."""
        machine = self._fleet.machines.get(name)
        type_ = self._fleet.catalog.get(machine.type) if machine else None
        if type_ is None or not machine.usable:
            return None
        view = view_of(machine, type_, machine.images, self._book.load(name), self._fleet)
        for spec in self._reserved.on(name):
            view.take(spec)
        return view

    def _hand_where_others_may_stop(
        self, pressing: list[tuple[Job, int]], views: Choice, usage: Usage, hands: HandOvers
    ) -> None:
        """Hand jobs without room to blocks where others may be stopped for them, services first."""
        if not pressing:
            return
        pressing.sort(key=lambda entry: entry[0].spec.shape is not Shape.SERVICE)
        victims = stoppable(self._book, self._rights, (j.spec for j, _ in pressing), lambda p: Victim(p, p.spec, ZERO))
        stops = Found(victims, self._rights)
        barren: set[tuple] = set()  # needs for which stopping others makes no room
        for job, count in pressing:
            spec = job.spec
            needs = (*spec.needs, spec.priority, spec.shape, self._rights.leftover(spec))
            if needs in barren:
                continue
            zones, _ = spread_of(job)
            tasks = job.waiting(MOST_AT_ONCE)
            refused = self._refused_zones(tasks)
            room = usage.room(spec.team, spec.cpus, spec.gpus, min(count, len(tasks)))
            able = views.outside(refused)
            found = make_room(spec, room, able, stops, zones)
            if found:
                barren.clear()  # what was freed may be more than was taken
            elif room and not (refused or spec.spread or spec.one_zone):
                barren.add(needs)
            rows = [(task, Handed(view.zone)) for task, (view, _) in zip(tasks, found, strict=False)]
            if rows:
                usage.add(spec.team, spec.cpus, spec.gpus, len(rows))
                hands.add(job, rows)

    # -- the snapshot -------------------------------------------------------

    def _snapshot(self) -> None:
        """Write down what waiting jobs have received, for the next leader's order."""
        now = self._clock.steady()
        if now - self._snapshot_at < self._operators.snapshot:
            return
        self._snapshot_at = now
        rows = [(j.spec.ref, round(j.received.total_seconds(), 1)) for j in self._book.jobs.values() if j.received]
        per_key = max(1, self._store.limits.value_bytes // 64)
        parts = [dict(rows[i : i + per_key]) for i in range(0, len(rows), per_key)]
        txns = [self._led().put(f"{SNAPSHOT_PREFIX}{i}", part) for i, part in enumerate(parts)]
        txns += [self._led().delete(f"{SNAPSHOT_PREFIX}{i}") for i in range(len(parts), self._snapshot_keys)]
        if self._records.write(txns):
            # What was put off of the deletions is left for the next snapshot.
            self._snapshot_keys = max(self._snapshot_keys if self._records.undone else 0, len(parts))


def _at_once(job: Job) -> int:
    """How many of a job's tasks start together or not at all."""
    return job.spec.tasks if job.spec.shape is Shape.GANG else 1


def _fits_limit(job: Job, usage: Usage) -> bool:
    """Whether a task, or the whole gang, may start within its team's limit."""
    spec, at_once = job.spec, _at_once(job)
    return usage.room(spec.team, spec.cpus, spec.gpus, at_once) >= at_once


def _claim(job: Job) -> Claim:
    # A cancelled job's tasks are leaving: it claims nothing.
    left = 0 if job.cancelled else job.spec.tasks - job.done_count()
    return Claim(job.spec.ref, job.spec.cpus * left, job.spec.gpus * left)


def _left_over(views: Choice, lacking: Iterable[JobSpec]) -> Choice:
    """The machines that nobody ahead of a guest waits for.

    A guest's small tasks would fill each gap as it opens, so that the room
    for a larger one of others never came together.
    """
    needs = list({s.needs: s for s in lacking}.values())

    def wanted_by_nobody(kind: Kind) -> bool:
        return not any(allowed(s, kind.type, kind.zone, kind.spot) and type_fits(s, kind.type) for s in needs)

    return views.of_kinds(wanted_by_nobody)
