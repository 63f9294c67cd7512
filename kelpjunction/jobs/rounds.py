"""The leader's rounds: write results, end jobs, start what is next.

All the leader's writes of jobs happen here, one transaction after another, so
two writes never race inside a node.  A transaction whose outcome is unknown
stops the rounds until it is fenced: the keys it was guarded by are read and
written anew, so that it can't be applied later.
"""

import logging
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from kelpjunction.blocks import Blocks, block_key
from kelpjunction.clock import ZERO, Clock
from kelpjunction.fleet.cloud import Fleet
from kelpjunction.fleet.demand import Want
from kelpjunction.jobs.book import (
    CHUNK,
    END_PREFIX,
    JOB_PREFIX,
    RUN_PREFIX,
    SUM_PREFIX,
    Book,
    Chunk,
    Job,
    Phase,
    Placement,
    ranges,
)
from kelpjunction.leadership import LEAD_KEY, Leadership
from kelpjunction.placement import Victim, View, allowed, choose_victims, place, place_gang, type_fits
from kelpjunction.queue import Usage, Waiting, in_order
from kelpjunction.settings import Operators, Platform
from kelpjunction.store.client import Ending, StoreClient, StoreDown, Transaction
from kelpjunction.store.mirror import Mirror
from kelpjunction.wire.messages import Cause, JobSpec, Shape, TaskId
from kelpjunction.wire.state import GUARDS_PER_OP, MAX_TXN_BYTES
from kelpjunction.workers.roster import Roster

log = logging.getLogger("jobs")

SNAPSHOT_PREFIX = "s/deficit/"
MOST_AT_ONCE = 512  # tasks of one job started in one round


def run_key(ref: str, number: int) -> str:
    return f"{RUN_PREFIX}{ref}/{number}"


class Rounds:
    """Decides and writes what becomes of jobs while this node leads."""

    def __init__(
        self,
        platform: Platform,
        operators: Operators,
        store: StoreClient,
        mirror: Mirror,
        book: Book,
        leadership: Leadership,
        blocks: Blocks,
        roster: Roster,
        fleet: Fleet,
        clock: Clock,
        on_ended: Callable[[str, str], None],
    ) -> None:
        self._platform = platform
        self._operators = operators
        self._store = store
        self._mirror = mirror
        self._book = book
        self._leadership = leadership
        self._blocks = blocks
        self._roster = roster
        self._fleet = fleet
        self._clock = clock
        self._on_ended = on_ended
        self._doubtful: set[str] = set()
        self._counted_at = ZERO
        self._snapshot_at = ZERO
        self._snapshot_keys = 0
        self._sweep_due = False

    def begin(self) -> None:
        """Start a reign from the records: placements, and the last snapshot of the deficits."""
        self._doubtful = set()
        self._sweep_due = True
        self._book.forget_notes()
        self._roster.clear()
        self._counted_at = self._snapshot_at = self._clock.steady()
        entries, _ = self._store.scan(SNAPSHOT_PREFIX)
        self._snapshot_keys = len(entries)
        for entry in entries:
            for ref, received in entry.value.items():
                if ref in self._book.jobs:
                    self._book.jobs[ref].received = timedelta(seconds=received)

    # -- one round ----------------------------------------------------------

    def round(self) -> bool:
        """Bring the records up to date and start what can be started; whether another should follow."""
        if self._leadership.reign is None:
            return False
        try:
            if self._doubtful and not self._fence():
                return False
            self._grant_bumped()
            self._roster.settle_expired()
            self._count_received()
            results = self._results()
            if not self._write(results):
                return False
            self._sweep()
            self._stop_what_must()
            self._launch()
            self._snapshot()
            return bool(results)
        except StoreDown as error:
            log.debug("round given up: %s", error)
            return False

    def _grant_bumped(self) -> None:
        """Raise the token of blocks where a command may still be under way."""
        zones = sorted(self._roster.bump_zones)
        if zones:
            self._roster.bump_zones.clear()
            if not self._blocks.grant(self._leadership.reign, zones):
                self._roster.bump_zones.update(zones)

    def _count_received(self) -> None:
        """Charge running tasks' machine time to their jobs."""
        now = self._clock.steady()
        passed = now - self._counted_at
        if passed < self._operators.round:
            return
        self._counted_at = now
        for placement in self._book.placements():
            if placement.phase is Phase.RUNNING:
                self._book.jobs[placement.task.ref].received += passed

    # -- results ------------------------------------------------------------

    def _results(self) -> list[Transaction]:
        """What must be written about settled placements and finished jobs."""
        touched: dict[str, set[int]] = {}
        for placement in self._book.placements():
            if placement.phase is Phase.SETTLED:
                touched.setdefault(placement.task.ref, set()).add(placement.task.index // CHUNK)
        txns: list[Transaction] = []
        for ref, numbers in touched.items():
            txns.extend(self._settle_job(self._book.jobs[ref], numbers))
        for job in self._book.jobs.values():
            if job.spec.ref not in touched and self._over(job):
                txns.append(self._ending(job))
        return txns

    def _over(self, job: Job) -> bool:
        """Whether nothing is left to do but to write down the end."""
        if job.cancelled:
            return job.placed_count() == 0
        if job.all_done():
            return True
        # One done task of a gang means that all are.
        return job.spec.shape is Shape.GANG and job.done_count() > 0 and job.placed_count() == 0

    def _settle_job(self, job: Job, numbers: set[int]) -> list[Transaction]:
        gang_done = job.spec.shape is Shape.GANG and any(
            p.cause is Cause.DONE for p in job.placements() if p.phase is Phase.SETTLED
        )
        if gang_done:
            numbers = set(job.chunks)
            now = self._clock.steady()
            for placement in job.placements():
                # They complete together; the rest will report it, and may
                # only be forgotten by their machines once this is stored.
                self._roster.settle(placement, Cause.DONE, now)
        records: dict[int, dict] = {}
        for number in numbers:
            records[number] = self._settled_chunk(job, number)
        finished = self._finished(job, records)
        if finished and not job.cancelled:
            return [self._ending(job)]
        return self._chunk_txns(job, records)

    def _settled_chunk(self, job: Job, number: int) -> dict:
        chunk = job.chunks[number]
        record = chunk.record()
        record["p"] = [row for row in record["p"] if chunk.placements[row[0]].phase is not Phase.SETTLED]
        for i, placement in chunk.placements.items():
            if placement.phase is Phase.SETTLED and placement.cause is Cause.DONE:
                record["d"] |= 1 << i
        return record

    def _finished(self, job: Job, records: dict[int, dict]) -> bool:
        if job.spec.shape is Shape.SERVICE:
            return False
        done = sum(job.chunk_size(n) for n in job.full)
        for number, chunk in job.chunks.items():
            if number not in job.full:
                record = records.get(number)
                done += (record["d"] if record else chunk.done).bit_count()
        return done >= job.spec.tasks

    def _chunk_txns(self, job: Job, records: dict[int, dict]) -> list[Transaction]:
        """Chunks as they now stand; chunks that are all done are folded into the sum."""
        txns: list[Transaction] = []
        folded: set[int] = set()
        for number, record in sorted(records.items()):
            chunk = job.chunks[number]
            txn = self._guarded(job).guard(run_key(job.spec.ref, number), chunk.version)
            whole = record["d"].bit_count() == job.chunk_size(number)
            if whole and not record["p"] and job.chunk_count > 1 and not folded:
                folded.add(number)
                key = SUM_PREFIX + job.spec.ref
                txn.guard(key, job.sum_version).put(key, {"full": ranges(job.full | folded)})
                txn.delete(run_key(job.spec.ref, number))
            else:
                txn.put(run_key(job.spec.ref, number), record)
            txns.append(txn)
        return txns

    def _guarded(self, job: Job) -> Transaction:
        """A transaction that fails if another leads, or the job was cancelled since."""
        txn = Transaction().guard(LEAD_KEY, self._leadership.reign.lead_version)
        return txn.guard(JOB_PREFIX + job.spec.ref, job.version)

    def _ending(self, job: Job) -> Transaction:
        """Move a job to its final record."""
        ref = job.spec.ref
        end = "cancelled" if job.cancelled else "done"
        txn = self._guarded(job).delete(JOB_PREFIX + ref).put(END_PREFIX + ref, {"end": end})
        if job.sum_version:
            txn.delete(SUM_PREFIX + ref)
        for number, chunk in job.chunks.items():
            if txn.ops >= self._store.limits.txn_ops:
                self._sweep_due = True
                break
            txn.guard(run_key(ref, number), chunk.version).delete(run_key(ref, number))
        return txn

    def _sweep(self) -> None:
        """Delete chunks that ended jobs left behind because a transaction has limits."""
        if not self._sweep_due:
            return
        self._sweep_due = False
        txns = []
        for entry in self._mirror.below(RUN_PREFIX):
            if entry.key.split("/")[2] not in self._book.jobs:
                guarded = Transaction().guard(LEAD_KEY, self._leadership.reign.lead_version)
                txns.append(guarded.delete(entry.key))
        self._sweep_due = not self._write(txns)

    # -- writing ------------------------------------------------------------

    def _write(self, txns: list[Transaction]) -> bool:
        """Apply these, merged as far as the limits go; False if the round must end."""
        for txn in self._merged(txns):
            if self._leadership.reign is None:
                return False
            outcome = self._store.apply(txn)
            if outcome.ending is Ending.APPLIED:
                ended = {k: v for k, v in txn.puts.items() if k.startswith(END_PREFIX)}
                live = {k: v for k, v in txn.puts.items() if k not in ended}
                self._mirror.put_outcome(live, txn.deletes, outcome.revision)
                for key, value in ended.items():
                    log.info("job %s: %s", key.removeprefix(END_PREFIX), value["end"])
                    self._on_ended(key.removeprefix(END_PREFIX), value["end"])
                continue
            log.info("transaction %s: %s", outcome.ending.value, ", ".join(outcome.failed))
            if outcome.ending is Ending.CONFLICT:
                self._reread(outcome.failed or txn.guards)
            elif outcome.ending is Ending.UNKNOWN:
                self._doubtful.update(txn.guards)
            return False
        return True

    def _merged(self, txns: list[Transaction]) -> list[Transaction]:
        limits = self._store.limits
        merged: list[Transaction] = []
        size = 0
        for txn in txns:
            more = txn.size()
            last = merged[-1] if merged else None
            fits = (
                last is not None
                and last.ops + txn.ops <= limits.txn_ops
                and len(last.guards.keys() | txn.guards.keys()) <= limits.txn_ops * GUARDS_PER_OP
                and size + more <= MAX_TXN_BYTES
                and not (last.puts.keys() | last.deletes) & (txn.puts.keys() | txn.deletes)
            )
            if fits:
                last.guards |= txn.guards
                last.puts |= txn.puts
                last.deletes |= txn.deletes
                size += more
            else:
                merged.append(txn)
                size = more
        return merged

    def _reread(self, keys) -> None:
        """Take in what the store has for these keys."""
        for key in keys:
            entry = self._store.get(key)
            if entry is not None:
                self._mirror.put(*entry)
            elif self._mirror.get(key) is not None:
                # Gone: the follow will say so, with the revision.
                self._mirror.load()
                return

    def _fence(self) -> bool:
        """Make sure that transactions of unknown outcome are applied by now or never will be.

        Each of them is guarded by the versions of the chunks it writes: writing
        those anew, as they are found, moves the versions.
        """
        found: dict[str, Any] = {}
        refs: set[str] = set()
        for key in sorted(self._doubtful):
            if not key.startswith((JOB_PREFIX, RUN_PREFIX, SUM_PREFIX)):
                continue
            entry = self._store.get(key)
            found[key] = entry
            if key.startswith(JOB_PREFIX) and entry is not None:
                refs.add(key.removeprefix(JOB_PREFIX))
        for key, entry in found.items():
            if key.split("/")[2] not in refs:
                continue  # the job ended: nothing can be started for it
            if entry is None and not key.startswith(RUN_PREFIX):
                continue
            value = entry.value if entry else Chunk().record()
            guards = {LEAD_KEY: self._leadership.reign.lead_version, key: entry.version if entry else 0}
            outcome = self._store.commit(guards, {key: value})
            if outcome.ending is not Ending.APPLIED:
                log.info("fence of %s: %s", key, outcome.ending.value)
                return False
            self._mirror.put(key, value, outcome.revision)
        if any(e is None for e in found.values()):
            self._mirror.load()
        log.info("fenced %d keys", len(found))
        self._doubtful.clear()
        return True

    # -- stopping -----------------------------------------------------------

    def _stop_what_must(self) -> None:
        """Stop tasks of cancelled jobs, of broken gangs, and on machines about to be taken."""
        told: list[Placement] = []
        for job in self._book.jobs.values():
            if job.cancelled:
                told += self._stop_all(job, ZERO, "cancelled")
            elif job.spec.shape is Shape.GANG and 0 < job.placed_count() < job.spec.tasks:
                told += self._stop_all(job, ZERO, "its gang is not whole")
            elif job.spec.shape is Shape.GANG and not all(p.live for p in job.placements()):
                told += self._stop_all(job, job.spec.save, "its gang is being stopped")
        now = self._clock.steady()
        for worker in self._roster.workers.values():
            if worker.notice_at is None:
                continue
            for placement in self._book.on_machine.get(worker.machine, {}).values():
                spec = placement.spec
                margin = spec.save * 1.2 + self._platform.workers.report * 1.5
                if placement.live and spec.checkpoint and worker.notice_at - now < margin:
                    self._roster.stop(placement, spec.save, "its machine is taken back")
                    told.append(placement)
        self._roster.send(told)

    def _stop_all(self, job: Job, grace: timedelta, why: str) -> list[Placement]:
        stopped = [p for p in job.placements() if p.live]
        for placement in stopped:
            self._roster.stop(placement, grace, why)
        return stopped

    # -- starting -----------------------------------------------------------

    def _launch(self) -> None:
        """Start jobs in the order of their deficits while room lasts."""
        now, wall = self._clock.steady(), self._clock.utc()
        waiting = [
            job
            for job in self._book.jobs.values()
            if not job.cancelled and now >= job.not_before and job.waiting_count() > 0
        ]
        self._fleet.wants = []
        if not waiting:
            return
        self._fleet.note_scarce()
        views = self._views()
        usage = self._usage()
        order = in_order(
            (
                Waiting(j.spec.ref, self._operators.class_weights[j.spec.shape.value], j.submitted, j.received)
                for j in waiting
            ),
            wall,
            self._operators.arrival_credit,
        )
        txns: list[Transaction] = []
        starting: list[TaskId] = []
        held = False
        unplaced: list[tuple[Job, int]] = []
        for ref in order:
            job = self._book.jobs[ref]
            spec = job.spec
            if spec.shape is Shape.GANG:
                left = self._launch_gang(job, views, usage, txns, starting)
                if left and not held:
                    held = self._hold_machines(job, views)
            else:
                left = self._launch_tasks(job, views, usage, txns, starting)
            if left:
                unplaced.append((job, left))
        self._fleet.wants = [Want(job.spec, left) for job, left in unplaced]
        if txns and self._write(txns):
            placed = [self._book.placement(task) for task in starting]
            self._roster.send([p for p in placed if p is not None and p.live])
        self._preempt([(j, n) for j, n in unplaced if j.spec.shape is Shape.SERVICE], views)

    def _why(self, job: Job, why: str) -> None:
        if why != job.why_waiting:
            job.why_waiting = why
            if why:
                log.info("job %s waits: %s", job.spec.ref, why)

    def _launch_tasks(
        self, job: Job, views: list[View], usage: Usage, txns: list[Transaction], starting: list[TaskId]
    ) -> int:
        """Start tasks of an array or service; returns how many found no room on any machine."""
        spec = job.spec
        tasks = job.waiting(MOST_AT_ONCE)
        room = usage.room(spec.team, spec.cpus, spec.gpus, len(tasks))
        if room == 0:
            self._why(job, "its team is at its limit")
            return 0
        zones, mates = self._spread_of(job)
        able = [v for v in views if v.name not in job.errors] or views
        chosen = place(spec, room, able, zones, mates)
        self._why(job, "" if len(chosen) >= room else "no machine has room")
        if chosen:
            usage.add(spec.team, spec.cpus, spec.gpus, len(chosen))
            starts = list(zip(tasks, chosen, strict=False))
            txns.extend(self._start_txns(job, starts, None))
            starting.extend(task for task, _ in starts)
        return room - len(chosen)

    def _launch_gang(
        self, job: Job, views: list[View], usage: Usage, txns: list[Transaction], starting: list[TaskId]
    ) -> int:
        """Start a whole gang or nothing; returns how many tasks found no room."""
        spec = job.spec
        if job.placed_count() or job.done_count():
            return 0
        if usage.room(spec.team, spec.cpus, spec.gpus, spec.tasks) < spec.tasks:
            self._why(job, "its team is at its limit")
            return 0
        chosen = place_gang(spec, [v for v in views if v.name not in job.errors] or views)
        if chosen is None:
            self._why(job, "the gang does not fit whole")
            return spec.tasks
        self._why(job, "")
        usage.add(spec.team, spec.cpus, spec.gpus, spec.tasks)
        tasks = [TaskId(spec.ref, i) for i in range(spec.tasks)]
        attempt = max((c.next_attempt for c in job.chunks.values()), default=1)
        txns.extend(self._start_txns(job, list(zip(tasks, chosen, strict=True)), attempt))
        starting.extend(tasks)
        return 0

    def _start_txns(self, job: Job, starts: list[tuple[TaskId, View]], attempt: int | None) -> list[Transaction]:
        """Launch records, guarded by the job, the chunk, the lead and the blocks' grants."""
        by_chunk: dict[int, list[tuple[TaskId, View]]] = {}
        for task, view in starts:
            by_chunk.setdefault(task.index // CHUNK, []).append((task, view))
        txns = []
        for number, group in by_chunk.items():
            chunk = job.chunks.get(number) or Chunk()
            record = chunk.record()
            number_taken = chunk.next_attempt if attempt is None else attempt
            record["n"] = number_taken + 1
            txn = self._guarded(job).guard(run_key(job.spec.ref, number), chunk.version)
            for task, view in group:
                worker = self._roster.workers[view.name]
                record["p"].append([task.index % CHUNK, number_taken, view.name, worker.session, view.zone])
                txn.guard(block_key(view.zone), self._blocks.grants[view.zone].version)
            txns.append(txn.put(run_key(job.spec.ref, number), record))
        return txns

    def _spread_of(self, job: Job) -> tuple[Counter, Counter]:
        zones: Counter = Counter()
        mates: Counter = Counter()
        for placement in job.placements():
            zones[placement.zone] += 1
            mates[placement.machine] += 1
        return zones, mates

    def _usage(self) -> Usage:
        usage = Usage(self._platform.teams)
        for placement in self._book.placements():
            usage.add(placement.spec.team, placement.spec.cpus, placement.spec.gpus)
        return usage

    def _views(self) -> list[View]:
        """Machines that can take work now, with what is free on them."""
        now = self._clock.steady()
        silent_after = self._platform.workers.report * 2.5
        catalog = self._fleet.catalog
        views: list[View] = []
        for machine in self._fleet.machines.values():
            worker = self._roster.workers.get(machine.name)
            type_ = catalog.get(machine.type)
            if worker is None or type_ is None or not machine.usable or machine.zone not in self._blocks.grants:
                continue
            if worker.notice_at is not None or now - worker.heard_at > silent_after:
                continue
            view = View(
                machine.name,
                type_,
                machine.zone,
                machine.spot,
                type_.cpus,
                type_.gpus,
                type_.memory,
                images=set(self._cached(worker, type_.cache_gb)),
                shunned=bool(machine.failed_jobs),
                costly=self._fleet.costly(machine),
            )
            for placement in self._book.on_machine.get(machine.name, {}).values():
                view.take(placement.spec)
            for spec in self._fleet.scarce:
                if type_fits(spec, type_) and allowed(spec, type_, view.zone, view.spot):
                    view.keep_for(spec)
            views.append(view)
        return views

    def _cached(self, worker, cache_gb: float) -> list[str]:
        """Images the machine should still have: the most recently used that fit its cache."""
        kept: list[str] = []
        for image, size in reversed(worker.images.items()):
            cache_gb -= size
            if cache_gb < 0:
                break
            kept.append(image)
        return kept

    # -- holding and stopping for others --------------------------------------

    def _hold_machines(self, job: Job, views: list[View]) -> bool:
        """Hold the machines where the first waiting gang will fit soonest: nothing below starts there."""
        spec = job.spec
        emptied = []
        by_name = {v.name: v for v in views}
        for view in views:
            empty = View(
                view.name,
                view.type,
                view.zone,
                view.spot,
                view.type.cpus,
                view.type.gpus,
                view.type.memory,
                images=view.images,
                shunned=view.shunned,
                held_for=view.held_for,
            )
            for placement in self._book.on_machine.get(view.name, {}).values():
                if placement.spec.shape is Shape.SERVICE:
                    empty.take(placement.spec)
            emptied.append(empty)
        emptied.sort(key=lambda v: by_name[v.name].tasks)
        chosen = place_gang(spec, emptied)
        if chosen is None:
            return False
        for view in chosen:
            by_name[view.name].held_for = spec.ref
        return True

    def _preempt(self, jobs: list[tuple[Job, int]], views: list[View]) -> None:
        """Stop array tasks or whole checkpointing gangs so that waiting services find room."""
        if not jobs:
            return
        soon = {v.name: v for v in views}
        victims: dict[str, list[Victim]] = {}
        now = self._clock.steady()
        for view in views:
            victims[view.name] = []
            for placement in self._book.on_machine.get(view.name, {}).values():
                if placement.phase is Phase.STOPPING:
                    view.give_back(placement.spec)
                elif placement.live and self._may_be_stopped(placement.spec):
                    victims[view.name].append(self._victim(placement, now))
        told: list[Placement] = []
        for job, count in jobs:
            spec = job.spec
            zones, mates = self._spread_of(job)
            count -= len(place(spec, count, list(soon.values()), zones, mates))
            for _ in range(count):
                able = {name: [v for v in there if v.priority < spec.priority] for name, there in victims.items()}
                choice = choose_victims(spec, soon.values(), able, zones)
                if choice is None:
                    break
                view, chosen = choice
                for victim in chosen:
                    told += self._stop_victim(victim.placement, spec)
                    victims[victim.machine] = [
                        v for v in victims[victim.machine] if v.placement is not victim.placement
                    ]
                    view.give_back(victim.placement.spec)
                view.take(spec)
                zones[view.zone] += 1
        self._roster.send(told)

    def _may_be_stopped(self, spec: JobSpec) -> bool:
        return spec.shape is Shape.ARRAY or (spec.shape is Shape.GANG and bool(spec.checkpoint))

    def _victim(self, placement: Placement, now: timedelta) -> Victim:
        """What stopping this task would lose: its unsaved run, and its image if that was fetched for it."""
        spec = placement.spec
        ran = now - placement.running_since if placement.running_since is not None else ZERO
        loss = min(ran, spec.save) if spec.checkpoint else ran
        if spec.shape is Shape.GANG:
            loss = (loss + spec.save) * spec.tasks
        return Victim(placement, placement.machine, spec.priority, spec.cpus, spec.gpus, spec.memory, loss)

    def _stop_victim(self, placement: Placement, for_: JobSpec) -> list[Placement]:
        job = self._book.jobs[placement.task.ref]
        why = f"{for_.ref} needs its room"
        log.info("stopping %s on %s: %s", placement.task, placement.machine, why)
        if job.spec.shape is Shape.GANG:
            return self._stop_all(job, job.spec.save, why)
        self._roster.stop(placement, placement.spec.save if placement.spec.checkpoint else ZERO, why)
        return [placement]

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
        parts = parts[: self._store.limits.txn_ops - 2]
        puts = {f"{SNAPSHOT_PREFIX}{i}": part for i, part in enumerate(parts)}
        stale = [f"{SNAPSHOT_PREFIX}{i}" for i in range(len(parts), self._snapshot_keys)][:2]
        if puts or stale:
            self._store.commit({LEAD_KEY: self._leadership.reign.lead_version}, puts, stale)
            self._snapshot_keys = len(parts)
