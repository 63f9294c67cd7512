"""The rig's own account of what ran: from the state service's commits and its clock, by none of the nodes' sums."""

from collections import Counter
from datetime import UTC, datetime

from kelpjunction.clock import MILLISECOND
from kelpjunction.lab.store import StoreStandIn
from kelpjunction.ledger.accounts import ResourceTime, resource_time
from kelpjunction.wire.users import job_from_fields

_JOB, _RUN, _END = "l/job/", "l/run/", "e/"


class UsageObserver:
    """Watches a stand-in of the state service and adds up, for each team, how long its tasks held their places.

    A place is held from the commit that puts a task's row into its chunk until
    the commit that takes it out, in whole milliseconds of the time of day since
    the job's submission.  `machine_time_ms` is in task-milliseconds by (team, cpus, gpus,
    memory).
    """

    def __init__(self, store: StoreStandIn, clock) -> None:
        self._clock = clock
        self._jobs: dict[str, tuple] = {}  # size and submission
        self._rows: dict[str, dict[tuple[str, int, int], int]] = {}  # starts by job, of (chunk, task, attempt)
        self.machine_time_ms: Counter[tuple[str, float, float, float]] = Counter()
        store.on_set = self._set

    def _set(self, key: str, value: dict | None) -> None:
        if key.startswith(_JOB) and value is not None:
            spec = job_from_fields(value["spec"])
            self._jobs[key.removeprefix(_JOB)] = ((spec.team, spec.cpus, spec.gpus, spec.memory), value["at"])
        elif key.startswith(_RUN):
            self._chunk_set(key, {} if value is None else value)
        elif key.startswith(_END):
            ref = key.removeprefix(_END)
            for row in list(self._rows.get(ref, ())):
                self._end(ref, row)

    def _chunk_set(self, key: str, value: dict) -> None:
        ref = key.split("/")[2]
        known = self._rows.setdefault(ref, {})
        there = {(key, row[0], row[1]) for row in value.get("p", ())}
        for row in [r for r in known if r[0] == key and r not in there]:
            self._end(ref, row)
        for row in there - known.keys():
            known[row] = self._age(ref)

    def _end(self, ref: str, row: tuple[str, int, int]) -> None:
        size, _ = self._jobs[ref]
        self.machine_time_ms[size] += self._age(ref) - self._rows[ref].pop(row)

    def _age(self, ref: str) -> int:
        return (self._clock.utc() - datetime.fromtimestamp(self._jobs[ref][1], UTC)) // MILLISECOND

    def by_team(self) -> dict[str, ResourceTime]:
        """What each team's tasks held, for each resource, as the ledger counts it."""
        sums: dict[str, ResourceTime] = {}
        for (team, *size), ms in self.machine_time_ms.items():
            sums[team] = sums.get(team, ResourceTime()) + resource_time(*size, ms)
        return sums

    def open_row_count(self) -> int:
        """How many rows still hold a place."""
        return sum(map(len, self._rows.values()))
