"""Writing the records of jobs: transactions, conflicts, and outcomes that are unknown.

All of a node's writes of jobs' records come one after another from its rounds,
so two of them never race inside a node; other nodes' writes are met by the
guards.  A round waits for nothing: what the budget has no room for is left
undone, and a later round decides anew, from what is known then, with more in
one write.  A transaction whose outcome is unknown stops the rounds until it is
fenced: the keys it was guarded by are read and written anew, so that it can't
be applied later.
"""

import logging
from collections.abc import Callable, Iterator
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
PURPOSES = {Shape.SERVICE: Purpose.SERVICE, Shape.GANG: Purpose.GANG, Shape.ARRAY: Purpose.ARRAY}


def run_key(ref: str, number: int) -> str:
    return f"{RUN_PREFIX}{ref}/{number}"


class RecordWriter:
    """This node's writes of jobs' records."""

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
        self.orphan_chunks_possible = True  # whether ended jobs may have left chunks behind
        self.work_deferred = False  # whether something was left undone since this was last taken back
        self.last_write_incomplete = False  # whether the last write left something undone

    @property
    def value_bytes(self) -> int:
        """How long a value may be."""
        return self._store.limits.value_bytes

    def version(self, key: str) -> int:
        """The version to guard a key with; 0 if it does not exist as far as this node knows."""
        return self._mirror.version(key)

    def guarded(self, job: Job, purpose: Purpose | None = None) -> Transaction:
        """A transaction that fails if the job was cancelled or ended since."""
        return Transaction(purpose or PURPOSES[job.spec.shape]).guard(JOB_PREFIX + job.spec.ref, job.version)

    def end_transaction(self, job: Job) -> Transaction:
        """Move a job to its final record."""
        ref = job.spec.ref
        end = {"end": "cancelled" if job.cancelled else "done"}
        if (held := job.machine_time_ms(self._clock.utc())) > 0:
            # The last word on what the job held: its other records go with it.
            end["held"] = {"team": job.spec.team, "cpus": job.spec.cpus, "gpus": job.spec.gpus}
            end["held"] |= {"memory": job.spec.memory, "ms": held}
        txn = self.guarded(job, Purpose.RESULT).delete(JOB_PREFIX + ref).put(END_PREFIX + ref, end)
        if job.sum_version:
            txn.guard(SUM_PREFIX + ref, job.sum_version).delete(SUM_PREFIX + ref)
        most = self._store.limits.txn_ops
        for number, chunk in job.chunks.items():
            key = run_key(ref, number)
            if len(txn.guards) < most * GUARDS_PER_OP:
                txn.guard(key, chunk.version)
            if not chunk.version:
                continue  # it was only handed over
            if txn.ops < most:
                txn.delete(key)
            else:
                self.orphan_chunks_possible = True
        return txn

    def write(self, txns: list[Transaction]) -> bool:
        """Apply these, merged as far as limits and budget go, the urgent ones first; False if the round must end."""
        self.last_write_incomplete = False
        order = sorted(txns, key=lambda t: PURPOSE_RANK[t.purpose])
        for purpose, group in groupby(order, key=lambda t: t.purpose):
            for txn in self._as_turns_come(purpose, list(group)):
                if not self._apply(txn):
                    return False
        return True

    def _as_turns_come(self, purpose: Purpose, txns: list[Transaction]) -> Iterator[Transaction]:
        """These, merged, as far as the budget goes now."""
        while txns:
            room = self._store.available_changes(purpose)
            most = max(room, txns[0].ops)
            # The first as a whole, and what else fits into the same turn.
            txn, txns = pack_next_transaction(txns, self._store.limits, most)
            if not self._store.try_reserve(purpose, txn.ops):
                self.work_deferred = self.last_write_incomplete = True
                return
            yield txn

    def _apply(self, txn: Transaction) -> bool:
        """Send one transaction; False if the round must end."""
        outcome = self._store.try_commit(txn)
        if outcome.status is CommitStatus.APPLIED:
            ended = {k: v for k, v in txn.puts.items() if k.startswith(END_PREFIX)}
            live = {k: v for k, v in txn.puts.items() if k.startswith(LIVE_PREFIX)}
            self._mirror.put_outcome(live, txn.deletes, outcome.revision)
            for key, value in ended.items():
                log.info("job %s: %s", key.removeprefix(END_PREFIX), value["end"])
                self._on_ended(key.removeprefix(END_PREFIX), value["end"])
            return True
        log.debug("transaction %s: %s", outcome.status.value, ", ".join(outcome.failed))
        if outcome.status is CommitStatus.CONFLICT:
            for key in outcome.failed or txn.guards:
                self._mirror.refresh(key)
        elif outcome.status is CommitStatus.UNKNOWN:
            log.info("transaction of unknown outcome: %s", ", ".join(txn.puts))
            self._unknown_outcome_keys.update(txn.guards)
        else:
            self.work_deferred = True
        return False

    def resolve_unknown_outcomes(self) -> bool:
        """Make sure that transactions of unknown outcome are applied by now or never will be.

        Each of them is guarded by the versions of the chunks it writes: writing
        those anew, as they are found, moves the versions.
        """
        if not self._unknown_outcome_keys:
            return True
        found: dict[str, Any] = {}
        refs: set[str] = set()
        for key in sorted(self._unknown_outcome_keys):
            if key.startswith(DISPATCH_PREFIX):
                # What was handed over in it may come in late: till then its tasks must not be handed elsewhere.
                if not self._fence(key, self._store.get(key), {}):
                    return False
                continue
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
            if not self._fence(key, entry, Chunk().record()):
                return False
        if any(e is None for e in found.values()):
            self._mirror.load()
        log.info("fenced %d keys", len(found))
        self._unknown_outcome_keys.clear()
        return True

    def _fence(self, key: str, entry: Change | None, empty: dict) -> bool:
        """Write a record anew as it was found, so that its version moves; whether that was done."""
        value = entry.value if entry else empty
        outcome = self._store.commit({key: entry.version if entry else 0}, {key: value})
        if outcome.status is not CommitStatus.APPLIED:
            log.info("fence of %s: %s", key, outcome.status.value)
            return False
        self._mirror.put(key, value, outcome.revision)
        return True
