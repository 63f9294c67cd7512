"""Writes the records of jobs, and handles conflicts and transactions of unknown outcome.

A node writes jobs' records only from its rounds, one transaction after another,
so two writes of the same node never race.  Guards detect the writes of other
nodes.  A round never waits.  If the rate limiter does not admit a write, the
round leaves it undone.  A later round decides again from what is known then,
and puts more into one transaction.  A transaction of unknown outcome stops the
rounds until it is fenced: the keys that guard it are read and rewritten, so
that the transaction can no longer be applied.
"""

import logging
from collections.abc import Callable, Iterator
from datetime import timedelta
from itertools import groupby
from typing import Any

from kelpjunction.clock import Clock
from kelpjunction.jobs.job_index import (
    DISPATCH_PREFIX,
    END_PREFIX,
    JOB_PREFIX,
    RUN_PREFIX,
    SUM_PREFIX,
    Chunk,
    Job,
    JobIndex,
)
from kelpjunction.rate_limiter import Purpose
from kelpjunction.store.client import CommitStatus, StoreClient, Transaction, pack_next_transaction
from kelpjunction.store.mirror import LIVE_PREFIX, Mirror
from kelpjunction.wire.messages import Shape
from kelpjunction.wire.state import GUARDS_PER_OP, Change

log = logging.getLogger("jobs")


PURPOSE_RANK = {purpose: n for n, purpose in enumerate(Purpose)}
PURPOSE_BY_SHAPE = {Shape.SERVICE: Purpose.SERVICE, Shape.GANG: Purpose.GANG, Shape.ARRAY: Purpose.ARRAY}


def run_key(ref: str, number: int) -> str:
    return f"{RUN_PREFIX}{ref}/{number}"


class RecordWriter:
    """Writes the records of jobs on behalf of this node."""

    def __init__(
        self,
        store: StoreClient,
        mirror: Mirror,
        job_index: JobIndex,
        clock: Clock,
        on_ended: Callable[[str, str], None],
    ) -> None:
        self._store = store
        self._mirror = mirror
        self._job_index = job_index
        self._clock = clock
        self._on_ended = on_ended
        self._unknown_outcome_keys: set[str] = set()
        self.orphan_chunks_possible = True  # whether chunk records of ended jobs may remain in the store
        self.work_deferred = False  # whether any write was deferred since a round last reset this flag
        self.last_write_incomplete = False  # whether the last call of `write` deferred any transaction

    @property
    def value_bytes(self) -> int:
        """Longest value that the state service accepts, in bytes."""
        return self._store.limits.value_bytes

    def version(self, key: str) -> int:
        """The version to guard a key with; 0 if this node knows of no such key."""
        return self._mirror.version(key)

    def guarded(self, job: Job, purpose: Purpose | None = None) -> Transaction:
        """A transaction that fails if the job has been cancelled or has ended in the meantime."""
        return Transaction(purpose or PURPOSE_BY_SHAPE[job.spec.shape]).guard(JOB_PREFIX + job.spec.ref, job.version)

    def end_transaction(self, job: Job) -> Transaction:
        """The transaction that replaces a job's records with its final record."""
        ref = job.spec.ref
        end = {"end": "cancelled" if job.cancelled else "done"}
        if (held := job.machine_time_ms(self._clock.utc())) > 0:
            # The final record keeps the job's machine time because its other records are deleted.
            end["held"] = {"team": job.spec.team, "cpus": job.spec.cpus, "gpus": job.spec.gpus}
            end["held"] |= {"memory": job.spec.memory, "ms": held}
        txn = self.guarded(job, Purpose.RESULT).delete(JOB_PREFIX + ref).put(END_PREFIX + ref, end)
        if job.sum_version:
            txn.guard(SUM_PREFIX + ref, job.sum_version).delete(SUM_PREFIX + ref)
        max_ops = self._store.limits.txn_ops
        for number, chunk in job.chunks.items():
            key = run_key(ref, number)
            if len(txn.guards) < max_ops * GUARDS_PER_OP:
                txn.guard(key, chunk.version)
            if not chunk.version:
                continue  # the chunk has no record: its tasks were only dispatched
            if txn.ops < max_ops:
                txn.delete(key)
            else:
                self.orphan_chunks_possible = True
        return txn

    def write(self, txns: list[Transaction], after_each: Callable[[], None] = lambda: None) -> bool:
        """Apply transactions in order of urgency; False if the round must end.

        Transactions of one purpose are merged as far as the limits of the state service allow.
        Those that the rate limiter does not admit now are deferred.  `after_each` is called after
        each request that applied some.
        """
        self.last_write_incomplete = False
        order = sorted(txns, key=lambda t: PURPOSE_RANK[t.purpose])
        for purpose, group in groupby(order, key=lambda t: t.purpose):
            for txn in self._merge_within_rate_limit(purpose, list(group)):
                if not self._apply(txn):
                    return False
                after_each()
        return True

    def _merge_within_rate_limit(self, purpose: Purpose, txns: list[Transaction]) -> Iterator[Transaction]:
        """Yield merged transactions for as long as the rate limiter admits them."""
        while txns:
            available = self._store.available_changes(purpose)
            max_ops = max(available, txns[0].ops)
            # The first transaction is never split; others are merged with it as far as changes are available.
            txn, txns = pack_next_transaction(txns, self._store.limits, max_ops)
            if not self._store.try_reserve(purpose, txn.ops):
                self.work_deferred = self.last_write_incomplete = True
                return
            yield txn

    def _apply(self, txn: Transaction) -> bool:
        """Send one transaction; False if it is not known to be applied and the round must end."""
        sent_at = self._clock.steady()
        outcome = self._store.try_commit(txn)
        if outcome.status is CommitStatus.APPLIED:
            self._note_guarded_jobs(txn, sent_at)
            ended = {k: v for k, v in txn.puts.items() if k.startswith(END_PREFIX)}
            live = {k: v for k, v in txn.puts.items() if k.startswith(LIVE_PREFIX)}
            self._mirror.put_transaction(live, txn.deletes, outcome.revision)
            for key, value in ended.items():
                log.info("job %s ended: %s", key.removeprefix(END_PREFIX), value["end"])
                self._on_ended(key.removeprefix(END_PREFIX), value["end"])
            return True
        log.debug(
            "transaction ended with status %s; failed guards: %s", outcome.status.value, ", ".join(outcome.failed)
        )
        if outcome.status is CommitStatus.CONFLICT:
            for key in outcome.failed or txn.guards:
                self._mirror.refresh(key)
        elif outcome.status is CommitStatus.UNKNOWN:
            log.info("transaction of unknown outcome, to be fenced; keys put: %s", ", ".join(txn.puts))
            self._unknown_outcome_keys.update(txn.guards)
        else:
            self.work_deferred = True
        return False

    def _note_guarded_jobs(self, txn: Transaction, sent_at: timedelta) -> None:
        """Note that the jobs whose records guarded an applied transaction were not cancelled when it was sent."""
        for key in txn.guards:
            job = self._job_index.jobs.get(key.removeprefix(JOB_PREFIX)) if key.startswith(JOB_PREFIX) else None
            if job is not None and not job.cancelled:
                job.note_not_cancelled(sent_at)

    def resolve_unknown_outcomes(self) -> bool:
        """Make sure that transactions of unknown outcome have been applied by now or never will be.

        The versions of the chunks that such a transaction writes guard it.  Rewriting
        these chunks unchanged gives them new versions, so the guards fail from then on.
        Returns whether no transaction of unknown outcome is left.
        """
        if not self._unknown_outcome_keys:
            return True
        entries: dict[str, Any] = {}
        live_refs: set[str] = set()
        for key in sorted(self._unknown_outcome_keys):
            if key.startswith(DISPATCH_PREFIX):
                # The page may still be applied late.  Until it is fenced, its tasks must not be dispatched elsewhere.
                if not self._fence(key, self._store.get(key), {}):
                    return False
                continue
            if not key.startswith((JOB_PREFIX, RUN_PREFIX, SUM_PREFIX)):
                continue
            entry = self._store.get(key)
            entries[key] = entry
            if key.startswith(JOB_PREFIX) and entry is not None:
                live_refs.add(key.removeprefix(JOB_PREFIX))
        for key, entry in entries.items():
            if key.split("/")[2] not in live_refs:
                continue  # the job has ended, so none of its tasks can be started
            if entry is None and not key.startswith(RUN_PREFIX):
                continue
            if not self._fence(key, entry, Chunk().record()):
                return False
        if any(e is None for e in entries.values()):
            self._mirror.load()
        log.info("transactions of unknown outcome are resolved: %d keys of job records checked", len(entries))
        self._unknown_outcome_keys.clear()
        return True

    def _fence(self, key: str, entry: Change | None, default: dict) -> bool:
        """Rewrite a record unchanged, or write `default` if there is none, to give it a new version.

        Returns whether the write was applied.
        """
        value = entry.value if entry else default
        outcome = self._store.commit({key: entry.version if entry else 0}, {key: value})
        if outcome.status is not CommitStatus.APPLIED:
            log.info("rewrite of %s to fence a transaction failed: %s", key, outcome.status.value)
            return False
        self._mirror.put(key, value, outcome.revision)
        return True
