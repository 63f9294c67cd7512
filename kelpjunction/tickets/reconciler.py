"""Advances ticket runs: the leading gateway writes the next change of each run whose records changed.

The gateways elect a leader as the nodes do, with a store lease and an
increasing term.  The election only keeps the work from being done twice.  Each
write is guarded by the version of the run that it changes, so a gateway that
was paused while another took over can do no damage.
"""

import heapq
from datetime import timedelta
from typing import NamedTuple

from kelpjunction.clock import Clock
from kelpjunction.jobs.job_index import JOB_PREFIX, RUN_PREFIX, JobIndex
from kelpjunction.leadership import LeaderTerm
from kelpjunction.rate_limiter import Purpose
from kelpjunction.store.client import CommitStatus, StoreClient, StoreUnavailable, Transaction
from kelpjunction.store.mirror import Mirror
from kelpjunction.tickets.classes import TicketSettings
from kelpjunction.tickets.plan import job_ref
from kelpjunction.tickets.records import (
    ENDED_PREFIX,
    FULL_KEY,
    HEAD_PREFIX,
    STAGE_PREFIX,
    TICKET_PREFIX,
    TicketRecords,
    job_ref_seed,
    part_key,
)
from kelpjunction.tickets.step_planner import StepPlanner

MAX_RUNS_PER_PASS = 200  # examined in one call of `run_once`
STAGED_PLAN_TIMEOUT = timedelta(minutes=5)  # after this a staged plan that was not accepted is marked dead
MAX_DELETED_RUNS_PER_SWEEP = 20  # ended runs deleted in one sweep
MAX_CLOCK_SKEW = timedelta(seconds=5)  # between two gateways
ACCEPT_AGAIN_RATIO = 0.95  # of the limit on remembered runs; below this, new tickets are accepted again


class _TrackedRun(NamedTuple):
    """An unfinished run's class, and the ids of its jobs whose steps are in the state SENT."""

    klass: str
    refs: set[str]


class TicketReconciler:
    """Advances all runs while this gateway leads, and deletes expired records."""

    def __init__(
        self,
        settings: TicketSettings,
        store: StoreClient,
        tickets: Mirror,
        jobs: Mirror,
        records: TicketRecords,
        step_planner: StepPlanner,
        job_index: JobIndex,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._store = store
        self._tickets = tickets
        self._records = records
        self._step_planner = step_planner
        self._job_index = job_index
        self._clock = clock
        self.leader_term: LeaderTerm | None = None
        self._changed_runs: set[str] = set()  # runs to examine
        self._run_by_job: dict[str, str] = {}  # by job id, for jobs that are sent and not known to have ended
        self._tracked_runs: dict[str, _TrackedRun] = {}
        self._ended_jobs: set[str] = set()  # ids of sent jobs whose live key was deleted
        self._commit_separately = False  # set after a failed transaction: each run is then committed alone
        self._remembered_runs: list[tuple[float, str]] | None = None  # heap of (until, run); None until it is read
        self.runs_examined = 0  # since this process started
        tickets.listen(TICKET_PREFIX, self._ticket_changed)
        jobs.listen(JOB_PREFIX, self._job_changed)
        jobs.listen(RUN_PREFIX, self._part_changed)

    def set_leader_term(self, leader_term: LeaderTerm | None) -> None:
        """Start advancing runs under this term, or stop if it is None."""
        if leader_term is not None and self.leader_term is None:
            self._changed_runs = set(self._records.unfinished_runs)
        if leader_term is None:
            self._remembered_runs = None
        self.leader_term = leader_term

    # -- what changed ---------------------------------------------------------------

    def _ticket_changed(self, key: str, value: dict | None, version: int) -> None:
        run = key.removeprefix(TICKET_PREFIX)
        tracked = self._tracked_runs.pop(run, None)
        for ref in tracked.refs if tracked else ():
            self._run_by_job.pop(ref, None)
            self._ended_jobs.discard(ref)
        if value is not None:
            self._changed_runs.add(run)
            progress = self._records.unfinished_runs[run].progress
            refs = {job_ref(job_ref_seed(run, progress.salt), index) for index in progress.sent_steps}
            self._tracked_runs[run] = _TrackedRun(progress.klass, refs)
            self._run_by_job |= dict.fromkeys(refs, run)
        elif tracked is not None and self._remembered_runs is not None:
            # Another gateway may have ended the run by its own clock, so the largest skew is added.
            until = self._clock.utc() + self._settings.ticket_class(tracked.klass).retention + MAX_CLOCK_SKEW
            heapq.heappush(self._remembered_runs, (until.timestamp(), run))

    def _job_changed(self, key: str, value: dict | None, version: int) -> None:
        run = self._run_by_job.get(key.removeprefix(JOB_PREFIX))
        if run is not None:
            self._changed_runs.add(run)
            if value is None:
                self._ended_jobs.add(key.removeprefix(JOB_PREFIX))

    def _part_changed(self, key: str, value: dict | None, version: int) -> None:
        if value is not None and "f" in value and (run := self._run_by_job.get(key.split("/")[2])) is not None:
            self._changed_runs.add(run)

    # -- advancing runs -------------------------------------------------------------

    def run_once(self) -> bool:
        """Write the next change of each changed run.

        Returns whether more runs are left to examine at once; raises `StoreUnavailable`.
        """
        if self.leader_term is None:
            self._changed_runs.clear()
            return False
        if self._ended_jobs:
            self._step_planner.read_job_outcomes(set(self._run_by_job))
            self._ended_jobs.clear()
        runs = [self._changed_runs.pop() for _ in range(min(MAX_RUNS_PER_PASS, len(self._changed_runs)))]
        txns: list[Transaction] = []
        lagging: set[str] = set()
        try:
            for run in runs:
                self.runs_examined += 1
                unfinished = self._records.unfinished_runs.get(run)
                if unfinished is None:
                    continue
                txn = self._step_planner.next_change(unfinished)
                if txn is not None:
                    txns.append(txn)
                elif any(ref not in self._job_index.jobs for ref in self._tracked_runs[run].refs):
                    lagging.add(run)  # this gateway's mirror of the jobs lags
            for group in [[txn] for txn in txns] if self._commit_separately else [txns]:
                if not self._records.commit(group, Purpose.RESULT):
                    # A transaction that can't be applied must not block those merged with it.
                    self._commit_separately = not self._commit_separately
                    self._changed_runs.update(runs)
                    return False
        except StoreUnavailable:
            self._changed_runs.update(runs)
            raise
        self._commit_separately = False
        more = bool(self._changed_runs)
        self._changed_runs |= lagging
        return more

    # -- deleting records -----------------------------------------------------------

    def sweep(self) -> None:
        """Delete ended runs past their retention, and staged plans never accepted; raises `StoreUnavailable`."""
        if self.leader_term is None:
            return
        now = self._clock.utc()
        if self._remembered_runs is None:
            found = self._store.scan(ENDED_PREFIX)[0]
            self._remembered_runs = [(e.value["until"], e.key.removeprefix(ENDED_PREFIX)) for e in found]
            heapq.heapify(self._remembered_runs)
        for _ in range(MAX_DELETED_RUNS_PER_SWEEP):
            if not self._remembered_runs or self._remembered_runs[0][0] > now.timestamp():
                break
            if not self._delete_ended_run(self._remembered_runs[0][1]):
                break
            heapq.heappop(self._remembered_runs)
        self._update_full_key()
        for owner in self._store.scan(STAGE_PREFIX)[0]:
            old = "at" in owner.value and now.timestamp() - owner.value["at"] > STAGED_PLAN_TIMEOUT.total_seconds()
            if old:
                # This changes the owner's version, so that no gateway can accept the plan any more.
                dead = {"dead": True, "parts": owner.value["parts"]}
                self._store.commit({owner.key: owner.version}, {owner.key: dead}, purpose=Purpose.RESULT)
            elif owner.value.get("dead"):
                self._delete_plan(owner.key, owner.value["parts"])

    def _delete_ended_run(self, run: str) -> bool:
        ticket, _, number = run.rpartition(".")
        key = HEAD_PREFIX + ticket
        head = self._store.get(key)
        if head is None or head.value["run"] != int(number):
            outcome = self._store.commit({}, {}, [ENDED_PREFIX + run], purpose=Purpose.RESULT)
        else:
            # If a new run updates the head first, the guard fails, and the next sweep deletes only this run.
            outcome = self._store.commit({key: head.version}, {}, [key, ENDED_PREFIX + run], purpose=Purpose.RESULT)
        return outcome.status is CommitStatus.APPLIED

    def _update_full_key(self) -> None:
        count, most = len(self._remembered_runs), self._settings.max_remembered_runs
        full_entry = self._tickets.get(FULL_KEY)
        if full_entry is None and count >= most:
            self._store.commit({FULL_KEY: 0}, {FULL_KEY: count}, purpose=Purpose.RESULT)
        elif full_entry is not None and count < most * ACCEPT_AGAIN_RATIO:
            self._store.commit({FULL_KEY: full_entry.version}, {}, [FULL_KEY], purpose=Purpose.RESULT)

    def _delete_plan(self, owner: str, parts: int) -> None:
        """Delete a dead plan's parts, and after them the owner record that lists them."""
        token, most = owner.removeprefix(STAGE_PREFIX), self._store.limits.txn_ops
        keys = [*(part_key(token, number) for number in range(parts)), owner]
        for first in range(0, len(keys), most):
            if (
                self._store.commit({}, {}, keys[first : first + most], purpose=Purpose.RESULT).status
                is not CommitStatus.APPLIED
            ):
                return
