"""The snapshot of the deficits, from which the next leader continues the order of jobs.

A deficit follows from a job's record and the machine time that the job has received.  Only the latter is in no record,
so the leader writes it from time to time, below keys that only leaders read.
"""

from collections.abc import Callable
from datetime import timedelta

from kelpjunction.clock import ZERO, Clock
from kelpjunction.jobs.job_index import JobIndex
from kelpjunction.jobs.records import RecordWriter
from kelpjunction.store.client import StoreClient, Transaction

SNAPSHOT_PREFIX = "s/deficit/"
BYTES_PER_JOB = 64  # at most, in a value of the state service


class DeficitSnapshot:
    """Reads and writes the machine time that each job has received; `interval` is the time between two writes."""

    def __init__(
        self, store: StoreClient, record_writer: RecordWriter, job_index: JobIndex, clock: Clock, interval: timedelta
    ) -> None:
        self._store = store
        self._record_writer = record_writer
        self._job_index = job_index
        self._clock = clock
        self._interval = interval
        self._written_at = ZERO
        self._key_count = 0  # keys below the prefix that may exist

    def restore(self) -> None:
        """Set the received machine time of all jobs from the last snapshot, at the start of a term.

        Raises `StoreUnavailable`.
        """
        self._written_at = self._clock.steady()
        for job in self._job_index.jobs.values():
            job.received_machine_time = ZERO
        entries, _ = self._store.scan(SNAPSHOT_PREFIX)
        self._key_count = len(entries)
        for entry in entries:
            for ref, received in entry.value.items():
                if ref in self._job_index.jobs:
                    self._job_index.jobs[ref].received_machine_time = timedelta(seconds=received)

    def write_if_due(self, leader_txn: Callable[[], Transaction]) -> None:
        """Write the snapshot if the interval has passed; `leader_txn` returns a transaction guarded by the term."""
        now = self._clock.steady()
        if now - self._written_at < self._interval:
            return
        self._written_at = now
        parts = self._parts()
        txns = [leader_txn().put(f"{SNAPSHOT_PREFIX}{i}", part) for i, part in enumerate(parts)]
        txns += [leader_txn().delete(f"{SNAPSHOT_PREFIX}{i}") for i in range(len(parts), self._key_count)]
        if self._record_writer.write(txns):
            # The next snapshot repeats deletions that were deferred.
            self._key_count = max(self._key_count if self._record_writer.last_write_incomplete else 0, len(parts))

    def _parts(self) -> list[dict[str, float]]:
        """The received machine time in seconds by job, divided into values of the state service."""
        rows = [
            (j.spec.ref, round(j.received_machine_time.total_seconds(), 1))
            for j in self._job_index.jobs.values()
            if j.received_machine_time
        ]
        per_key = max(1, self._store.limits.value_bytes // BYTES_PER_JOB)
        return [dict(rows[i : i + per_key]) for i in range(0, len(rows), per_key)]
