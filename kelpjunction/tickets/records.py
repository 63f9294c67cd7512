"""Reads and writes the tickets' records in the state service.

    t/head/<id>          the latest run's number and class, and a digest of its content
    t/l/ticket/<run>     an unfinished run's progress, with its plan if that is short
    t/l/full             present while the limit on remembered runs is reached
    t/end/<run>          a run's only final answer
    t/stage/<token>      owner record of a long plan's parts: staged, taken by a run, or dead
    t/part/<token>/<n>   the parts

A run is accepted by one transaction that updates the head and writes the progress.
A long plan is staged before that, and each part's write is guarded by the version
of the owner record.  The acceptance updates the owner record, guarded by the same
version.  No gateway reads parts whose owner is only staged.  They are deleted
after the owner was marked dead, which changes its version: the records of a
ticket that was not accepted can neither be used nor stay.
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

PREFIX = "t/l/"  # of the keys that every gateway mirrors
TICKET_PREFIX = PREFIX + "ticket/"
FULL_KEY = PREFIX + "full"
HEAD_PREFIX = "t/head/"
ENDED_PREFIX = "t/end/"
STAGE_PREFIX = "t/stage/"
PART_PREFIX = "t/part/"
PLAN_CACHE_SIZE = 2_000
MAX_SUBMISSION_BYTES = 32 * 1024  # of job records in one transaction


def part_key(token: str, number: int) -> str:
    return f"{PART_PREFIX}{token}/{number:04d}"


def job_ref_seed(run: str, salt: str) -> str:
    """The text from which the ids of a run's jobs are derived."""
    return f"{run}/{salt}"


def encode_plan(ticket_plan: Plan) -> str:
    """A plan as compressed text; `decode_plan` reads it back."""
    return base64.b64encode(zlib.compress(orjson.dumps(ticket_plan.record()))).decode()


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
    """Reads and writes tickets for this gateway, and tracks unfinished runs through its mirror."""

    def __init__(self, store: StoreClient, tickets: Mirror, jobs: Mirror, clock: Clock) -> None:
        self._store = store
        self._tickets = tickets
        self._jobs = jobs
        self._clock = clock
        self._plans: OrderedDict[str, Plan] = OrderedDict()
        self.unfinished_runs: dict[str, UnfinishedRun] = {}
        tickets.listen(TICKET_PREFIX, self._ticket_changed)

    def _ticket_changed(self, key: str, value: dict | None, version: int) -> None:
        run = key.removeprefix(TICKET_PREFIX)
        if value is None:
            self.unfinished_runs.pop(run, None)
            self._plans.pop(run, None)
        else:
            self.unfinished_runs[run] = UnfinishedRun(run, version, TicketProgress.parse(value))

    def plan(self, unfinished: UnfinishedRun) -> Plan:
        """The plan of a run; raises `StoreUnavailable`."""
        if (cached := self._plans.get(unfinished.run)) is not None:
            self._plans.move_to_end(unfinished.run)
            return cached
        text = unfinished.progress.plan
        if not isinstance(text, str):
            token, count = text
            parts = [self._store.get(part_key(token, number)) for number in range(count)]
            if None in parts:
                # Parts are deleted only after the run has ended.
                raise StoreUnavailable(f"{unfinished.run} ended while its plan was being read")
            text = "".join(part.value for part in parts)
        return self.keep_plan(unfinished.run, decode_plan(text))

    def keep_plan(self, run: str, ticket_plan: Plan) -> Plan:
        self._plans[run] = ticket_plan
        if len(self._plans) > PLAN_CACHE_SIZE:
            self._plans.popitem(last=False)
        return ticket_plan

    # -- writing ------------------------------------------------------------------

    def job_size(self, spec: JobSpec) -> int:
        """The size in bytes of a step's job record in the state service."""
        return len(orjson.dumps(_job_record(spec, self._clock.utc())))

    @property
    def max_jobs_per_transaction(self) -> int:
        """How many jobs one transaction may submit or cancel in addition to its changes of a ticket's records."""
        return self._store.limits.txn_ops - 3

    def add_job_submissions(
        self, txn: Transaction, ticket_plan: Plan, indexes: Iterable[int], now: datetime
    ) -> list[int]:
        """Add these steps' jobs to a transaction as far as they fit; returns the indexes of those added.

        As in `intake`, the guards let a job be submitted only if no job of its id is live or has ended.
        """
        sent: list[int] = []
        size = 0
        for index in list(indexes)[: self.max_jobs_per_transaction]:
            spec = ticket_plan.jobs[index].spec
            record = _job_record(spec, now)
            size += len(orjson.dumps(record))
            if sent and size > MAX_SUBMISSION_BYTES:
                break
            key = JOB_PREFIX + spec.ref
            txn.guard(key, 0).guard(END_PREFIX + spec.ref, 0).put(key, record)
            sent.append(index)
        return sent

    def add_job_cancellation(self, txn: Transaction, job: Job) -> None:
        """Add the cancellation of a step's job, as its user would cancel it."""
        key = JOB_PREFIX + job.spec.ref
        txn.guard(key, job.version).put(key, self._jobs.get(key).value | {"cancelled": True})

    def add_progress(
        self, txn: Transaction, unfinished: UnfinishedRun, progress: TicketProgress, retention: timedelta
    ) -> None:
        """Add a run's new progress, or its final record, kept for `retention`, if no step is left."""
        key = TICKET_PREFIX + unfinished.run
        txn.guard(key, unfinished.version)
        if progress.final_state is None:
            txn.put(key, progress.record())
            return
        now = self._clock.utc()
        end = FinalRecord(progress.final_state, now, now + retention, progress.states, progress.failure)
        txn.delete(key).put(ENDED_PREFIX + unfinished.run, end.record())
        if not isinstance(progress.plan, str):
            token, parts = progress.plan
            txn.put(STAGE_PREFIX + token, {"dead": True, "parts": parts})

    def commit(self, txns: Iterable[Transaction], purpose: Purpose) -> bool:
        """Commit transactions, merged as far as the limits allow; False at the first that was not applied.

        The keys that guarded the failed transaction are read again.  If that
        transaction is still applied late, this happens before any other write to the same tickets.
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
        """Log the final answers in a transaction of this gateway that was applied, and update the mirrors."""
        for key, value in txn.puts.items():
            if key.startswith(ENDED_PREFIX):
                log.info("ticket %s: %s", key.removeprefix(ENDED_PREFIX), value["end"])
        for mirror, prefix in ((self._jobs, LIVE_PREFIX), (self._tickets, PREFIX)):
            puts = {k: v for k, v in txn.puts.items() if k.startswith(prefix)}
            mirror.put_transaction(puts, [k for k in txn.deletes if k.startswith(prefix)], revision)

    def _refresh(self, key: str) -> None:
        for mirror, prefix in ((self._jobs, LIVE_PREFIX), (self._tickets, PREFIX)):
            if key.startswith(prefix):
                mirror.refresh(key)
