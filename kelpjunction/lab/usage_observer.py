"""Measures usage independently of the nodes' sums, from the state service's commits and its clock."""

from collections import Counter
from datetime import UTC, datetime

from kelpjunction.clock import MILLISECOND
from kelpjunction.lab.store import StoreStandIn
from kelpjunction.ledger.accounts import ResourceTime, resource_time
from kelpjunction.wire.users import job_from_fields

_JOB_PREFIX, _RUN_PREFIX, _END_PREFIX = "l/job/", "l/run/", "e/"


class UsageObserver:
    """Observes the changes of a state service stand-in and sums up the machine time of each team's tasks.

    A placement counts from the commit that adds the task's row to its chunk to
    the commit that removes it, in whole milliseconds of the time of day since
    the job's submission.  `machine_time_ms` is in task-milliseconds by (team,
    cpus, gpus, memory).
    """

    def __init__(self, store: StoreStandIn, clock) -> None:
        self._clock = clock
        self._jobs: dict[str, tuple] = {}  # by job: size and time of submission
        self._rows: dict[str, dict[tuple[str, int, int], int]] = {}  # by job: start of (chunk, task, attempt)
        self.machine_time_ms: Counter[tuple[str, float, float, float]] = Counter()
        store.on_set = self._on_set

    def _on_set(self, key: str, value: dict | None) -> None:
        if key.startswith(_JOB_PREFIX) and value is not None:
            spec = job_from_fields(value["spec"])
            self._jobs[key.removeprefix(_JOB_PREFIX)] = ((spec.team, spec.cpus, spec.gpus, spec.memory), value["at"])
        elif key.startswith(_RUN_PREFIX):
            self._update_chunk(key, {} if value is None else value)
        elif key.startswith(_END_PREFIX):
            ref = key.removeprefix(_END_PREFIX)
            for row in list(self._rows.get(ref, ())):
                self._end(ref, row)

    def _update_chunk(self, key: str, value: dict) -> None:
        ref = key.split("/")[2]
        known = self._rows.setdefault(ref, {})
        current = {(key, row[0], row[1]) for row in value.get("p", ())}
        for row in [r for r in known if r[0] == key and r not in current]:
            self._end(ref, row)
        for row in current - known.keys():
            known[row] = self._age(ref)

    def _end(self, ref: str, row: tuple[str, int, int]) -> None:
        size, _ = self._jobs[ref]
        self.machine_time_ms[size] += self._age(ref) - self._rows[ref].pop(row)

    def _age(self, ref: str) -> int:
        return (self._clock.utc() - datetime.fromtimestamp(self._jobs[ref][1], UTC)) // MILLISECOND

    def by_team(self) -> dict[str, ResourceTime]:
        """The resource time that each team's tasks used, in the ledger's units."""
        sums: dict[str, ResourceTime] = {}
        for (team, *size), ms in self.machine_time_ms.items():
            sums[team] = sums.get(team, ResourceTime()) + resource_time(*size, ms)
        return sums

    def open_row_count(self) -> int:
        """The number of rows that have not ended."""
        return sum(map(len, self._rows.values()))
