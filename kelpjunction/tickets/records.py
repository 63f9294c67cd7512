"""The tickets' records in the state service, and what writing them guards.

    t/head/<id>          the latest run's number and class, and a digest of its content
    t/l/ticket/<run>     an unfinished run's course; its plan, if that is short
    t/end/<run>          a run's one final answer
    t/stage/<token>      owner of a long plan's parts: staged, taken by a run, or dead
    t/part/<token>/<n>   the parts

A run is accepted by one transaction that moves the head and writes the course.
A long plan is staged before, each part guarded by its owner's version; the
acceptance takes the owner, guarded by the same version.  Parts of a staged
owner mean nothing to anybody, and go once it was declared dead, which moves
the version: no record of a ticket that was not accepted can count or stay.
"""

import base64
import logging
import zlib
from collections import OrderedDict
from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import NamedTuple

import orjson

from kelpjunction.clock import Clock
from kelpjunction.jobs.job_index import END_PREFIX, JOB_PREFIX, Job, job_record
from kelpjunction.rate_limiter import Purpose
from kelpjunction.store.client import CommitStatus, StoreClient, StoreUnavailable, Transaction, pack_transactions
from kelpjunction.store.mirror import LIVE_PREFIX, Mirror
from kelpjunction.tickets.plan import Plan
from kelpjunction.tickets.progress import FinalRecord, TicketProgress
from kelpjunction.wire import users
from kelpjunction.wire.messages import JobSpec

log = logging.getLogger("tickets")

PREFIX = "t/l/"  # what every gateway mirrors
TICKET_PREFIX = PREFIX + "ticket/"
FULL_KEY = PREFIX + "full"
HEAD_PREFIX = "t/head/"
ENDED_PREFIX = "t/end/"
STAGE_PREFIX = "t/stage/"
PART_PREFIX = "t/part/"
PLAN_CACHE_SIZE = 2_000
MAX_SUBMISSION_BYTES = 32 * 1024  # of a transaction, at most, for the jobs that it submits


def part_key(token: str, number: int) -> str:
    return f"{PART_PREFIX}{token}/{number:04d}"


def job_ref_seed(run: str, salt: str) -> str:
    """What the ids of a run's jobs are made of."""
    return f"{run}/{salt}"


def encode_plan(made: Plan) -> str:
    """A plan as text."""
    return base64.b64encode(zlib.compress(orjson.dumps(made.record()))).decode()


def decode_plan(text: str) -> Plan:
    return Plan.parse(orjson.loads(zlib.decompress(base64.b64decode(text))))


def _job_record(spec: JobSpec, now: datetime) -> dict:
    return job_record(users.fields_to_keep(users.fields_from_job(spec)), now)


class UnfinishedRun(NamedTuple):
    """An unfinished run as this gateway last saw it."""

    run: str
    version: int
    progress: TicketProgress


class TicketRecords:
    """This gateway's reads and writes of tickets; it is told of changes by its mirrors."""

    def __init__(self, store: StoreClient, tickets: Mirror, jobs: Mirror, clock: Clock) -> None:
        self._store = store
        self._tickets = tickets
        self._jobs = jobs
        self._clock = clock
        self._plans: OrderedDict[str, Plan] = OrderedDict()
        self.unfinished_runs: dict[str, UnfinishedRun] = {}
        tickets.listen(TICKET_PREFIX, self._changed)

    def _changed(self, key: str, value: dict | None, version: int) -> None:
        run = key.removeprefix(TICKET_PREFIX)
        if value is None:
            self.unfinished_runs.pop(run, None)
            self._plans.pop(run, None)
        else:
            self.unfinished_runs[run] = UnfinishedRun(run, version, TicketProgress.parse(value))

    def plan(self, live: UnfinishedRun) -> Plan:
        """What the run's steps are; raises `StoreUnavailable`."""
        if (known := self._plans.get(live.run)) is not None:
            self._plans.move_to_end(live.run)
            return known
        text = live.progress.plan
        if not isinstance(text, str):
            token, count = text
            parts = [self._store.get(part_key(token, number)) for number in range(count)]
            if None in parts:
                # They go only after the run has ended.
                raise StoreUnavailable(f"{live.run} ended meanwhile")
            text = "".join(part.value for part in parts)
        return self.keep_plan(live.run, decode_plan(text))

    def keep_plan(self, run: str, made: Plan) -> Plan:
        self._plans[run] = made
        if len(self._plans) > PLAN_CACHE_SIZE:
            self._plans.popitem(last=False)
        return made

    # -- writing ------------------------------------------------------------------

    def job_size(self, spec: JobSpec) -> int:
        """How many bytes a step's job takes in the state service."""
        return len(orjson.dumps(_job_record(spec, self._clock.utc())))

    @property
    def max_jobs_per_transaction(self) -> int:
        """How many jobs one transaction may submit or cancel beside what it changes of a ticket."""
        return self._store.limits.txn_ops - 3

    def add_job_submissions(self, txn: Transaction, made: Plan, places: Iterable[int], now: datetime) -> list[int]:
        """Add these steps' jobs to a transaction as far as they fit; which were added.

        As `intake` submits a job: only if it neither lives nor has ended.
        """
        sent: list[int] = []
        size = 0
        for place in list(places)[: self.max_jobs_per_transaction]:
            spec = made.jobs[place].spec
            record = _job_record(spec, now)
            size += len(orjson.dumps(record))
            if sent and size > MAX_SUBMISSION_BYTES:
                break
            key = JOB_PREFIX + spec.ref
            txn.guard(key, 0).guard(END_PREFIX + spec.ref, 0).put(key, record)
            sent.append(place)
        return sent

    def add_job_cancellation(self, txn: Transaction, job: Job) -> None:
        """Cancel a step's job, as its user would."""
        key = JOB_PREFIX + job.spec.ref
        txn.guard(key, job.version).put(key, self._jobs.get(key).value | {"cancelled": True})

    def add_progress(
        self, txn: Transaction, live: UnfinishedRun, progress: TicketProgress, remember: timedelta
    ) -> None:
        """Add a run's new course, or its final record if nothing of it is left to do."""
        key = TICKET_PREFIX + live.run
        txn.guard(key, live.version)
        if progress.final_state is None:
            txn.put(key, progress.record())
            return
        now = self._clock.utc()
        end = FinalRecord(progress.final_state, now, now + remember, progress.states, progress.failure)
        txn.delete(key).put(ENDED_PREFIX + live.run, end.record())
        if not isinstance(progress.plan, str):
            token, parts = progress.plan
            txn.put(STAGE_PREFIX + token, {"dead": True, "parts": parts})

    def commit(self, txns: Iterable[Transaction], purpose: Purpose) -> bool:
        """Apply these, merged as far as the limits go; False at the first that was not applied.

        What the failed one was guarded by is read again.  If it is applied
        late, it is so before anything else is written of the same tickets.
        """
        for txn in pack_transactions(txns, self._store.limits):
            outcome = self._store.commit(txn.guards, txn.puts, txn.deletes, purpose=purpose)
            if outcome.status is not CommitStatus.APPLIED:
                for key in outcome.failed or txn.guards:
                    self._refresh(key)
                return False
            self.on_committed(txn, outcome.revision)
        return True

    def on_committed(self, txn: Transaction, revision: int) -> None:
        """Take in a transaction of this gateway's that was applied."""
        for key, value in txn.puts.items():
            if key.startswith(ENDED_PREFIX):
                log.info("ticket %s: %s", key.removeprefix(ENDED_PREFIX), value["end"])
        for mirror, prefix in ((self._jobs, LIVE_PREFIX), (self._tickets, PREFIX)):
            puts = {k: v for k, v in txn.puts.items() if k.startswith(prefix)}
            mirror.put_outcome(puts, [k for k in txn.deletes if k.startswith(prefix)], revision)

    def _refresh(self, key: str) -> None:
        for mirror, prefix in ((self._jobs, LIVE_PREFIX), (self._tickets, PREFIX)):
            if key.startswith(prefix):
                mirror.refresh(key)
