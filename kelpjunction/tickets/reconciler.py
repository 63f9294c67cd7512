"""Driving tickets: one gateway at a time, under a hold and a rising term, writes what follows from what changed.

Who drives is elected as the nodes elect their leader, only so that the work is
done once: each write is guarded by the version of the run it changes, so that
a gateway that stood still while another took over can break nothing.
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

MAX_RUNS_PER_PASS = 200  # runs looked at in a step
STAGED_PLAN_TIMEOUT = timedelta(minutes=5)  # at most, until a plan that was not accepted is dead
SWEEP_AT_ONCE = 20  # records forgotten in a sweep
MAX_CLOCK_SKEW = timedelta(seconds=5)  # between two gateways, at most
ACCEPT_AGAIN_RATIO = 0.95  # of the remembered tickets, where new ones are taken again


class _Known(NamedTuple):
    """What is noted of an unfinished run: its class, and its jobs that are sent."""

    klass: str
    refs: set[str]


class TicketReconciler:
    """Drives all runs while this gateway leads, and forgets what is to be forgotten."""

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
        self._changed: set[str] = set()  # runs to look at
        self._run_of: dict[str, str] = {}  # of each job that is sent and not known to have ended
        self._known: dict[str, _Known] = {}
        self._ended: set[str] = set()  # jobs of those that are gone from the live keys
        self._apart = False  # whether the last transaction failed: each run is then written alone
        self._remembered: list[tuple[float, str]] | None = None  # (until, run): a heap; None until it was read
        self.runs_examined = 0  # runs, since this process began
        tickets.listen(TICKET_PREFIX, self._ticket_changed)
        jobs.listen(JOB_PREFIX, self._job_changed)
        jobs.listen(RUN_PREFIX, self._part_changed)

    def set_leader_term(self, leader_term: LeaderTerm | None) -> None:
        """This gateway drives from now on, or no longer."""
        if leader_term is not None and self.leader_term is None:
            self._changed = set(self._records.unfinished_runs)
        if leader_term is None:
            self._remembered = None
        self.leader_term = leader_term

    # -- what changed ---------------------------------------------------------------

    def _ticket_changed(self, key: str, value: dict | None, version: int) -> None:
        run = key.removeprefix(TICKET_PREFIX)
        known = self._known.pop(run, None)
        for ref in known.refs if known else ():
            self._run_of.pop(ref, None)
            self._ended.discard(ref)
        if value is not None:
            self._changed.add(run)
            course = self._records.unfinished_runs[run].progress
            refs = {job_ref(job_ref_seed(run, course.salt), place) for place in course.sent_steps}
            self._known[run] = _Known(course.klass, refs)
            self._run_of |= dict.fromkeys(refs, run)
        elif known is not None and self._remembered is not None:
            # Whichever gateway ended it, by whose clock so ever.
            until = self._clock.utc() + self._settings.ticket_class(known.klass).retention + MAX_CLOCK_SKEW
            heapq.heappush(self._remembered, (until.timestamp(), run))

    def _job_changed(self, key: str, value: dict | None, version: int) -> None:
        run = self._run_of.get(key.removeprefix(JOB_PREFIX))
        if run is not None:
            self._changed.add(run)
            if value is None:
                self._ended.add(key.removeprefix(JOB_PREFIX))

    def _part_changed(self, key: str, value: dict | None, version: int) -> None:
        if value is not None and "f" in value and (run := self._run_of.get(key.split("/")[2])) is not None:
            self._changed.add(run)

    # -- driving --------------------------------------------------------------------

    def run_once(self) -> bool:
        """Write what follows from what changed; whether more is left to do at once.  Raises `StoreUnavailable`."""
        if self.leader_term is None:
            self._changed.clear()
            return False
        if self._ended:
            self._step_planner.read_job_outcomes(set(self._run_of))
            self._ended.clear()
        runs = [self._changed.pop() for _ in range(min(MAX_RUNS_PER_PASS, len(self._changed)))]
        txns: list[Transaction] = []
        again: set[str] = set()
        try:
            for run in runs:
                self.runs_examined += 1
                live = self._records.unfinished_runs.get(run)
                if live is None:
                    continue
                txn = self._step_planner.next_change(live)
                if txn is not None:
                    txns.append(txn)
                elif any(ref not in self._job_index.jobs for ref in self._known[run].refs):
                    again.add(run)  # this gateway's copy of the jobs lags
            for group in [[txn] for txn in txns] if self._apart else [txns]:
                if not self._records.commit(group, Purpose.RESULT):
                    # One that can't be written must not keep back those merged with it.
                    self._apart = not self._apart
                    self._changed.update(runs)
                    return False
        except StoreUnavailable:
            self._changed.update(runs)
            raise
        self._apart = False
        more = bool(self._changed)
        self._changed |= again
        return more

    # -- forgetting -----------------------------------------------------------------

    def sweep(self) -> None:
        """Forget ended runs whose time is over, and plans staged but not accepted; raises `StoreUnavailable`."""
        if self.leader_term is None:
            return
        now = self._clock.utc()
        if self._remembered is None:
            found = self._store.scan(ENDED_PREFIX)[0]
            self._remembered = [(e.value["until"], e.key.removeprefix(ENDED_PREFIX)) for e in found]
            heapq.heapify(self._remembered)
        for _ in range(SWEEP_AT_ONCE):
            if not self._remembered or self._remembered[0][0] > now.timestamp():
                break
            if not self._forget(self._remembered[0][1]):
                break
            heapq.heappop(self._remembered)
        self._tell_full()
        for owner in self._store.scan(STAGE_PREFIX)[0]:
            old = "at" in owner.value and now.timestamp() - owner.value["at"] > STAGED_PLAN_TIMEOUT.total_seconds()
            if old:
                # From here on nobody can accept it.
                dead = {"dead": True, "parts": owner.value["parts"]}
                self._store.commit({owner.key: owner.version}, {owner.key: dead}, purpose=Purpose.RESULT)
            elif owner.value.get("dead"):
                self._clear(owner.key, owner.value["parts"])

    def _forget(self, run: str) -> bool:
        ticket, _, number = run.rpartition(".")
        key = HEAD_PREFIX + ticket
        head = self._store.get(key)
        if head is None or head.value["run"] != int(number):
            outcome = self._store.commit({}, {}, [ENDED_PREFIX + run], purpose=Purpose.RESULT)
        else:
            # A new run moves the head: then this one is forgotten alone, next time.
            outcome = self._store.commit({key: head.version}, {}, [key, ENDED_PREFIX + run], purpose=Purpose.RESULT)
        return outcome.status is CommitStatus.APPLIED

    def _tell_full(self) -> None:
        count, most = len(self._remembered), self._settings.max_remembered_runs
        told = self._tickets.get(FULL_KEY)
        if told is None and count >= most:
            self._store.commit({FULL_KEY: 0}, {FULL_KEY: count}, purpose=Purpose.RESULT)
        elif told is not None and count < most * ACCEPT_AGAIN_RATIO:
            self._store.commit({FULL_KEY: told.version}, {}, [FULL_KEY], purpose=Purpose.RESULT)

    def _clear(self, owner: str, parts: int) -> None:
        """Delete a dead plan's parts, and then what says that there are any."""
        token, most = owner.removeprefix(STAGE_PREFIX), self._store.limits.txn_ops
        keys = [*(part_key(token, number) for number in range(parts)), owner]
        for first in range(0, len(keys), most):
            if (
                self._store.commit({}, {}, keys[first : first + most], purpose=Purpose.RESULT).status
                is not CommitStatus.APPLIED
            ):
                return
