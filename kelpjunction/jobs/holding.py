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
from kelpjunction.budget import Purpose
from kelpjunction.changes import Changes
from kelpjunction.clock import ZERO, Clock, seconds
from kelpjunction.fleet.cloud import Fleet
from kelpjunction.jobs.blame import Blame
from kelpjunction.jobs.book import (
    CHUNK,
    OVER_PREFIX,
    SUM_PREFIX,
    Book,
    Handed,
    Job,
    Over,
    Phase,
    Placement,
    over_record,
    ranges,
)
from kelpjunction.jobs.records import Records, run_key
from kelpjunction.jobs.views import Views, able_for, cached, emptied, fitting, spread_of, stoppable, view_of
from kelpjunction.placement import Choice, Found, Victim, View, make_room, place, place_gang
from kelpjunction.queue import Rights, Waiting, in_order
from kelpjunction.settings import Operators, Platform
from kelpjunction.store.client import Transaction
from kelpjunction.wire.messages import Cause, JobSpec, Shape, TaskId
from kelpjunction.workers.contact import Reachability
from kelpjunction.workers.roster import Roster

log = logging.getLogger("jobs")

MOST_RESULTS = 24  # records written before what was handed over is started
MOST_STARTS = 24
PAGE_SHARE = 0.8  # of what a value may take: how long a page of attempts that are over may grow
ROW_BYTES = 16
OVER_SHARE = 0.2
EXPIRED_EVERY = timedelta(milliseconds=500)
HAND_BACK_AFTER = timedelta(milliseconds=500)


class Holding:
    """The tasks of the blocks that this node holds."""

    def __init__(
        self,
        platform: Platform,
        operators: Operators,
        records: Records,
        book: Book,
        blocks: Blocks,
        roster: Roster,
        fleet: Fleet,
        blame: Blame,
        clock: Clock,
        changes: Changes,
    ) -> None:
        self._platform = platform
        self._operators = operators
        self._blame = blame
        self._rights = Rights(platform.teams, platform.aimed)
        self._records = records
        self._book = book
        self._blocks = blocks
        self._roster = roster
        self._fleet = fleet
        self._clock = clock
        self._expired_at = ZERO
        self._kept = Views(changes, fleet, lambda: roster.workers, self._view)
        # Of the rate of changes, what the pages of all blocks may take together.
        self._over_every = seconds(len(platform.zones) / (OVER_SHARE * platform.store.write_rps))
        self._over_at: dict[str, timedelta] = {}
        self._roomless: dict[str, timedelta] = {}  # since when a handed job finds no room

    def gain(self, zone: str) -> None:
        """A block became ours: start from the records alone."""
        self._book.forget_notes(zone)
        self._roster.clear(zone)

    def round(self) -> bool:
        """Bring the records of our blocks up to date; whether another round should follow at once."""
        if not self._blocks.my_zones():
            return False
        self._raise_doubted()
        now = self._clock.steady()
        if now - self._expired_at >= EXPIRED_EVERY:
            self._expired_at = now
            self._roster.settle_expired()
        results = self._results()
        if not self._records.write(results):
            return True
        self.stop_what_must()
        started = self._start_handed()
        return bool(results) or started

    def _raise_doubted(self) -> None:
        """Raise the token of blocks where a command may still be under way."""
        zones = sorted(self._roster.zones_to_raise)
        if zones and self._blocks.raise_tokens(zones):
            self._roster.zones_to_raise.difference_update(zones)

    def _guarded(self, job: Job, zones: set[str], purpose: Purpose | None = None) -> Transaction:
        """A transaction that fails if the job was cancelled, or a block is not ours any more."""
        txn = self._records.guarded(job, purpose)
        for zone in zones:
            txn.guard(block_key(zone), self._blocks.grants[zone].version)
        return txn

    # -- results ------------------------------------------------------------

    def _results(self) -> list[Transaction]:
        """What must be written about settled placements: services first, the rest as far as one round goes."""
        touched: dict[str, set[int]] = {}
        for placement in self._book.settled.values():
            if self._blocks.mine(placement.zone) is not None:
                touched.setdefault(placement.task.ref, set()).add(placement.task.index // CHUNK)
        txns: list[Transaction] = []
        over: dict[str, dict[tuple[str, int], set[Over]]] = {}  # by block, what goes into its page
        for job in sorted(map(self._book.jobs.__getitem__, touched), key=lambda j: j.spec.shape is not Shape.SERVICE):
            if len(txns) >= MOST_RESULTS:
                break
            txns.extend(self._settle_job(job, touched[job.spec.ref], over))
        now = self._clock.steady()
        for zone, rows in over.items():
            if now - self._over_at.get(zone, -self._over_every) >= self._over_every:
                self._over_at[zone] = now
                txns += self._page_of_over(zone, rows)
            else:
                self._records.short = True  # with what ends meanwhile, in a round soon
        return txns

    def _settle_job(
        self, job: Job, numbers: set[int], pages: dict[str, dict[tuple[str, int], set[Over]]]
    ) -> list[Transaction]:
        """What is to be written of a job's settled placements; or it is put into their blocks' pages."""
        over = [p for p in job.placements() if p.phase is Phase.SETTLED and self._blocks.mine(p.zone) is not None]
        if job.spec.shape is Shape.GANG and any(p.cause is Cause.DONE for p in over):
            # They complete together, those in other blocks too.
            numbers = set(job.chunks)
            over = list(job.placements())
            done = set(over)
        else:
            done = {p for p in over if p.cause is Cause.DONE}
        records = {number: self._settled_chunk(job, number, set(over), done) for number in numbers}
        if not job.cancelled and self._finished(job, records):
            return [self._records.ending(job)]
        if self._may_wait(job, over, records):
            for p in over:
                number, index = divmod(p.task.index, CHUNK)
                row = Over(index, p.attempt, p in done)
                pages.setdefault(p.zone, {}).setdefault((job.spec.ref, number), set()).add(row)
            return []
        return self._chunk_txns(job, records, {p.zone for p in over if self._blocks.mine(p.zone) is not None})

    def _may_wait(self, job: Job, over: list[Placement], records: dict[int, dict]) -> bool:
        """Whether all that is to be said of these placements is that they are over, so that their block's page can.

        Not what speaks against machines, nor what is metered, nor a chunk that
        is all done and can be folded away.
        """
        return (
            job.spec.shape is Shape.ARRAY
            and not self._operators.metered
            and all(p.cause is not Cause.ERROR for p in over)
            and (job.chunk_count == 1 or all(r["d"].bit_count() < job.chunk_size(n) for n, r in records.items()))
        )

    def _page_of_over(self, zone: str, new: dict[tuple[str, int], set[Over]]) -> list[Transaction]:
        """A block's page with these rows; what makes it too long is folded into its chunks' records."""
        rows = self._book.over_rows(zone)
        for chunk, overs in new.items():
            rows[chunk] = rows.get(chunk, set()) | overs
        txns: list[Transaction] = []
        room = self._records.value_bytes * PAGE_SHARE - 20
        for ref, number in sorted(rows, key=lambda c: len(rows[c])):
            room -= len(ref) + 20 + ROW_BYTES * len(rows[ref, number])
            if room < 0:
                del rows[ref, number]
                job = self._book.jobs[ref]
                txns += self._chunk_txns(job, {number: self._folded(job, number, new.get((ref, number), ()))}, {zone})
        key = OVER_PREFIX + zone
        txn = Transaction(Purpose.RESULT).guard(block_key(zone), self._blocks.grants[zone].version)
        return [txn.guard(key, self._records.version(key)).put(key, over_record(rows)), *txns]

    def _folded(self, job: Job, number: int, overs: Iterable[Over]) -> dict:
        """A chunk's record with what its block's page says of it, and with these rows too."""
        record = job.chunks[number].record()
        gone = {o.index for o in overs}
        record["p"] = [row for row in record["p"] if row[0] not in gone]
        record["h"] = [row for row in record["h"] if row[0] not in gone]
        for index, _, done in overs:
            record["d"] |= int(done) << index
        return record

    def _settled_chunk(self, job: Job, number: int, over: set[Placement], done: set[Placement]) -> dict:
        """A chunk's record without what is over; what did not end well goes back to the leader."""
        chunk = job.chunks[number]
        record = chunk.record()
        gone = {i for i, p in chunk.placements.items() if p in over}
        # A service's replica is started again in its block even if nobody
        # leads; everything else the leader hands over anew.
        keep = job.spec.shape is Shape.SERVICE and not job.cancelled
        record["p"] = [row for row in record["p"] if row[0] not in gone]
        record["h"] = [row for row in record["h"] if row[0] not in gone or keep]
        now = job.age_ms(self._clock.utc())
        for i, placement in chunk.placements.items():
            if placement in done:
                record["d"] |= 1 << i
            if i in gone and (held := placement.held_ms(now)):
                record["u"] = record.get("u", 0) + held
        failed = [p.machine for i, p in chunk.placements.items() if i in gone and p.cause is Cause.ERROR]
        return record | chunk.failed(failed) if failed else record

    def _finished(self, job: Job, records: dict[int, dict]) -> bool:
        if job.spec.shape is Shape.SERVICE:
            return False
        done = sum(job.chunk_size(n) for n in job.full)
        for number, chunk in job.chunks.items():
            if number not in job.full:
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
                folded_up = {"full": ranges(job.full | {number})}
                if spent := job.sum_spent + record.get("u", 0):
                    folded_up["u"] = spent
                txn.guard(sum_key, job.sum_version).put(sum_key, folded_up)
                txn.delete(key)
            else:
                txn.put(key, record)
            txns.append(txn)
        return txns

    # -- stopping -----------------------------------------------------------

    def stop_what_must(self) -> None:
        """Stop tasks of cancelled jobs, of broken gangs, and on machines about to be taken.

        Writes nothing and waits for nothing, so it has a loop of its own: once
        rounds stood for 20 s behind a state service that refused, and tasks of
        cancelled jobs ran on for longer than they may.
        """
        told: list[Placement] = []
        for ref in self._book.cancelled:
            told += self._stop_all(self._book.jobs[ref], ZERO, "cancelled")
        for ref in self._book.gangs - self._book.cancelled:
            job = self._book.jobs[ref]
            if job.broken_gang():
                told += self._stop_all(job, ZERO, "its gang is not whole")
            elif not all(p.live for p in job.placements()):
                told += self._stop_all(job, job.spec.save, "its gang is being stopped")
        now = self._clock.steady()
        for worker in self._roster.workers.values():
            if worker.notice_at is None:
                continue
            for placement in self._book.on(worker.machine).values():
                spec = placement.spec
                margin = spec.save * 1.2 + self._platform.workers.report * 1.5
                if placement.live and spec.checkpoint and worker.notice_at - now < margin:
                    self._roster.stop(placement, spec.save, "its machine is taken back")
                    told.append(placement)
        self._roster.send(told)

    def _stop_all(self, job: Job, grace: timedelta, why: str) -> list[Placement]:
        """Stop all of a job's tasks in our blocks; of those that are saving, such as may do so for longer."""
        stopped = [
            p
            for p in job.placements()
            if (p.live or (p.phase is Phase.STOPPING and grace < p.grace)) and self._blocks.mine(p.zone) is not None
        ]
        for placement in stopped:
            self._roster.stop(placement, grace, why)
        return stopped

    # -- starting -----------------------------------------------------------

    def _start_handed(self) -> bool:
        """Start what the leader handed to our blocks; whether anything was started or handed back."""
        handed: dict[str, list[tuple[TaskId, Handed]]] = {}
        for job in map(self._book.jobs.__getitem__, self._book.handed):
            ours = [(t, h) for t, h in job.pending() if self._blocks.mine(h.zone) is not None]
            if job.spec.shape is Shape.SERVICE and job.failures and self._blame.wrong(job):
                # Its replicas are restarted here, without the leader.
                ours = ours[: 1 if self._blame.due(job) else 0]
            if ours:
                handed[job.spec.ref] = ours
        self._roomless = {ref: since for ref, since in self._roomless.items() if ref in handed}
        if not handed:
            return False
        self._fleet.note_scarce()
        views = self._views()
        txns: list[Transaction] = []
        written: Counter[Shape] = Counter()
        starting: list[TaskId] = []
        roomless: list[tuple[Job, list[tuple[TaskId, Handed]]]] = []
        more = False
        for ref in self._order(handed):
            job = self._book.jobs[ref]
            if written[job.spec.shape] >= MOST_STARTS and job.spec.shape is not Shape.SERVICE:
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
                self._roomless.pop(ref, None)
        if txns:
            if not self._records.write(txns):
                return True
            placed = [self._book.placement(task) for task in starting]
            self._roster.send([p for p in placed if p is not None and p.live])
        back = self._make_room(roomless, views)
        return bool(txns) or back or more

    def _order(self, handed: dict[str, list]) -> list[str]:
        """By deficit, but gangs before arrays, and before all others those whose machines the leader named.

        The leader found room for all of it together.  An array that chose its
        machines first here took those that the gang needed whole.
        """
        jobs = [self._book.jobs[ref] for ref in handed]
        order = in_order(
            (Waiting(j.spec.ref, weight_of(j.spec, self._operators), j.submitted, j.received) for j in jobs),
            self._clock.utc(),
            self._operators.arrival_credit,
        )

        def turn(ref: str) -> int:
            if any(h.machine is not None for _, h in handed[ref]):
                return 0
            return 2 if self._book.jobs[ref].spec.shape is Shape.ARRAY else 1

        return sorted(order, key=turn)

    def _choose(
        self, job: Job, ours: list[tuple[TaskId, Handed]], views: Choice
    ) -> tuple[list[tuple[TaskId, View, int | None]], list[tuple[TaskId, Handed]]]:
        """Machines for a job's handed tasks; and the tasks that found none."""
        spec = job.spec
        able = able_for(job, views)
        if spec.shape is Shape.GANG:
            return self._choose_for_gang(job, ours, able, views)
        starts: list[tuple[TaskId, View, int | None]] = []
        left: list[tuple[TaskId, Handed]] = []
        _, mates = spread_of(job)
        plain: list[tuple[TaskId, Handed]] = []
        for task, handed in ours:
            # The leader named a machine that is held or kept here, as the job had stood beside its room for long.
            view = able.get(handed.machine)
            if view is not None and view.has_room(spec):
                view.take(spec)
                starts.append((task, view, handed.attempt))
            else:
                plain.append((task, handed))  # that room is gone, or none was named: anywhere in the block
        ours = plain
        for zone in sorted({h.zone for _, h in ours}):
            tasks = [(t, h) for t, h in ours if h.zone == zone]
            there = able.within([zone])
            chosen = place(spec, len(tasks), there, Counter(), mates, self._fleet.budget(job))
            starts += [(task, view, None) for (task, _), view in zip(tasks, chosen, strict=False)]
            left += tasks[len(chosen) :]
        return starts, left

    def _choose_for_gang(
        self, job: Job, ours: list[tuple[TaskId, Handed]], able: Choice, views: Choice
    ) -> tuple[list[tuple[TaskId, View, int | None]], list[tuple[TaskId, Handed]]]:
        """A gang that spans blocks starts where the leader said; one that was handed whole, where it fits."""
        spec = job.spec
        named = [(t, h) for t, h in ours if h.machine is not None]
        if named:
            starts = []
            for task, handed in named:
                view = able.get(handed.machine)
                if view is None or not view.has_room(spec):
                    return [], named
                view.take(spec)
                starts.append((task, view, handed.attempt))
            return starts, []
        if len(ours) < spec.tasks or job.placed_count():
            return [], []  # the rest of it is still being handed over, or leaving
        zones = {h.zone for _, h in ours}
        chosen = place_gang(spec, able.within(zones))
        if chosen is not None:
            attempt = max(c.next_attempt for c in job.chunks.values())
            return [(task, view, attempt) for (task, _), view in zip(ours, chosen, strict=True)], []
        # Nothing below it in the order starts on the machines picked for it.
        fit = fitting(spec, able.within(zones))
        held = place_gang(spec, [emptied(v, self._on(v)) for v in fit]) or []
        for name in {v.name for v in held}:
            views.get(name).hold_for(spec.ref)
        return [], [] if held else ours

    def _on(self, view: View) -> list[Placement]:
        return list(self._book.on(view.name).values())

    def _start_txns(self, job: Job, starts: list[tuple[TaskId, View, int | None]]) -> list[Transaction]:
        """Launch records, guarded by the job, the chunk and the blocks' grants."""
        metered = [job.age_ms(self._clock.utc())] if self._operators.metered else []
        by_chunk: dict[int, list[tuple[TaskId, View, int | None]]] = {}
        for start in starts:
            by_chunk.setdefault(start[0].index // CHUNK, []).append(start)
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
                session = self._roster.workers[view.name].session
                record["p"].append([task.index % CHUNK, attempt, view.name, session, view.zone, *metered])
            txns.append(txn.put(run_key(job.spec.ref, number), record))
        return txns

    def _views(self) -> Choice:
        """Machines of our blocks that can take work now; each block is chosen from by itself."""
        heard_since = self._clock.steady() - self._platform.workers.report * 2.5
        workers = self._roster.workers

        def ready(view: View) -> bool:
            # A worker may be forgotten while this round waits for an answer.
            worker = workers.get(view.name)
            return worker is not None and worker.contact.proved_at >= heard_since

        return replace(self._kept.fresh().within(self._blocks.my_zones()), ready=ready)

    def _view(self, name: str) -> View | None:
        """A machine that reports to us and is not about to be taken."""
        worker, machine = self._roster.workers.get(name), self._fleet.machines.get(name)
        type_ = self._fleet.catalog.get(machine.type) if machine else None
        if worker is None or type_ is None or not machine.usable:
            return None
        if worker.contact.reachability is not Reachability.REACHABLE:
            return None
        images = cached(reversed(worker.images.items()), type_.cache_gb)
        return view_of(machine, type_, images, self._book.load(name), self._fleet)

    # -- making room ----------------------------------------------------------

    def _make_room(self, roomless: list[tuple[Job, list[tuple[TaskId, Handed]]]], views: Choice) -> bool:
        """Stop others for those without room; give back to the leader what finds none here."""
        if not roomless:
            return False
        now = self._clock.steady()
        victims = self._victims([job for job, _ in roomless], views, now)
        stops = Found(victims, self._rights)
        told: list[Placement] = []
        back: list[Transaction] = []
        for job, left in roomless:
            if job.spec.ref not in self._book.jobs:
                continue  # it ended while the launches were written
            since = self._roomless.setdefault(job.spec.ref, now)
            if job.spec.shape is not Shape.GANG and self._stop_for(job, left, views, stops, told):
                continue
            if now - since >= HAND_BACK_AFTER:
                del self._roomless[job.spec.ref]
                back += self._hand_back(job, left)
        self._roster.send(told)
        if back:
            self._records.write(back)
        return bool(back)

    def _hand_back(self, job: Job, left: list[tuple[TaskId, Handed]]) -> list[Transaction]:
        log.info("job %s: no room here for %d of its tasks", job.spec.ref, len(left))
        txns = []
        for number in sorted({t.index // CHUNK for t, _ in left}):
            mine = {t.index % CHUNK for t, _ in left if t.index // CHUNK == number}
            chunk = job.chunks[number]
            record = chunk.record()
            record["h"] = [row for row in record["h"] if row[0] not in mine]
            key = run_key(job.spec.ref, number)
            zones = {h.zone for _, h in left}
            txns.append(self._guarded(job, zones).guard(key, chunk.version).put(key, record))
        return txns

    def _victims(self, jobs: list[Job], views: Choice, now: timedelta) -> dict[str, list[Victim]]:
        """What could be stopped for these jobs, by machine; room that is being freed is given to the views."""
        for view in list(views):
            for placement in self._book.on(view.name).values():
                if placement.phase is Phase.STOPPING:
                    view.give_back(placement.spec)

        def victim(placement: Placement) -> Victim | None:
            ours = placement.live and self._blocks.mine(placement.zone) is not None
            return self._victim(placement, now) if ours else None

        return stoppable(self._book, self._rights, [job.spec for job in jobs], victim)

    def _stop_for(
        self,
        job: Job,
        left: list[tuple[TaskId, Handed]],
        views: Choice,
        stops: Found,
        told: list[Placement],
    ) -> bool:
        """Stop others for these tasks, as far as the job may; whether all of them will find room."""
        spec = job.spec
        _, mates = spread_of(job)
        for zone in sorted({h.zone for _, h in left}):
            there = views.within([zone])
            count = sum(h.zone == zone for _, h in left)
            count -= len(place(spec, count, there, Counter(), mates, self._fleet.budget(job)))
            found = make_room(spec, count, there, stops, Counter())
            for _, chosen in found:
                for victim in chosen:
                    told += self._stop_victim(victim.placement, spec)
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
        job = self._book.jobs[placement.task.ref]
        why = f"{for_.ref} needs its room"
        log.info("stopping %s on %s: %s", placement.task, placement.machine, why)
        if job.spec.shape is Shape.GANG:
            return self._stop_all(job, job.spec.save, why)
        # No time to save for a service that waits: the last checkpoint is not far.
        self._roster.stop(placement, ZERO if for_.shape is Shape.SERVICE else placement.spec.save, why)
        return [placement]


def weight_of(spec: JobSpec, operators: Operators) -> float:
    """How fast a waiting job's deficit grows: by its shape, and by its urgency within the shape."""
    return operators.class_weights[spec.shape.value] * operators.urgency_weights[spec.priority.name.lower()]
