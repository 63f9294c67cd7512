"""The leader's part of the ledger: it writes an entry for each period of time, exactly once.

A closing is one transaction.  It writes the entries, the pages that they close
and the head of the chain.  It is guarded by the version of `l/lead` and by the
version of the head.  A charge is the difference to the totals stored in the
page, so a period that was not closed is charged with the next one.  If the
outcome of a closing is unknown, the head is read again.  Either the head
contains the closing, or the closing can no longer be applied once the next
one has been.

Finished jobs are charged from their final records.  The revision that wrote a
record decides which closing charges it.  Each closing requests, in one
request, the final records written since the last one.  It does not depend on
changes that a node could have missed.
"""

import logging
from collections.abc import Mapping
from datetime import UTC, datetime, timedelta
from enum import Enum
from typing import Any, NamedTuple

from kelpjunction.clock import MILLISECOND, ZERO, Clock, seconds
from kelpjunction.jobs.job_index import END_PREFIX, JobIndex
from kelpjunction.leadership import LEADER_KEY, LeaderTerm
from kelpjunction.ledger.accounts import (
    GENESIS,
    BalancePage,
    Policy,
    ResourceTime,
    close_page,
    closing_entry,
    resource_time,
    settings_entry,
)
from kelpjunction.ledger.decay import FIXED_POINT_ONE
from kelpjunction.rate_limiter import Purpose
from kelpjunction.settings import LedgerSettings, PlatformSettings
from kelpjunction.store.client import CommitStatus, StoreClient
from kelpjunction.store.mirror import Mirror
from kelpjunction.transport import Transport
from kelpjunction.wire.state import MAX_TXN_BYTES

log = logging.getLogger("ledger")

HEAD_KEY = "l/ledger"
ENTRY_PREFIX = "u/entry/"
PAGE_PREFIX = "u/page/"
BASE_KEY = "u/base"
MAX_CHANGES_PER_S = 1.0  # average rate at which the ledger changes keys of the state service
# In revisions.  The state service keeps 10,000 changes, and jobs that ended since the last closing must be among them.
MAX_UNCLOSED_REVISIONS = 4000
MAX_CHECK_INTERVAL = timedelta(seconds=5)  # while no page is due
EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


def entry_key(number: int) -> str:
    return f"{ENTRY_PREFIX}{number:012d}"


def page_key(number: int) -> str:
    return f"{PAGE_PREFIX}{number:04d}"


class WriterState(Enum):
    """What this node does for the ledger; `_set_state` makes every change.

    INACTIVE -> READING -> ACTIVE.  ACTIVE goes back to READING when the head
    may differ from what this node last read or wrote.  Every state can go to
    INACTIVE.
    """

    INACTIVE = "away"  # this node is not the leader
    READING = "reading"  # the balances must be read before the next closing
    ACTIVE = "keeping"


class EndedJob(NamedTuple):
    """The total machine time of a finished job, and the revision that wrote its final record."""

    revision: int
    team: str
    amounts: ResourceTime


class Head(NamedTuple):
    """The end of the chain: the last entry, the current policy, and the revision up to which ended jobs are charged."""

    number: int
    hash: str
    revision: int
    policy: Policy | None

    def record(self) -> dict:
        return {"n": self.number, "hash": self.hash, "r": self.revision, "policy": self.policy.record()}

    @classmethod
    def parse(cls, record: Mapping) -> "Head":
        return cls(record["n"], record["hash"], record["r"], Policy.parse(record["policy"]))


class LedgerWriter:
    """Writes the ledger while this node is the leader.  Only the leader knows the current factors."""

    def __init__(
        self,
        platform: PlatformSettings,
        settings: LedgerSettings,
        store: StoreClient,
        mirror: Mirror,
        job_index: JobIndex,
        clock: Clock,
        transport: Transport,
    ) -> None:
        self._node = platform.node
        self._teams = platform.teams
        self._period = settings.period
        self._policy = Policy.from_settings(settings, platform.teams)
        self._store = store
        self._mirror = mirror
        self._job_index = job_index
        self._clock = clock
        self._transport = transport
        self._leader_term: LeaderTerm | None = None
        self.state = WriterState.INACTIVE
        self._head = Head(0, GENESIS, 0, None)
        self._version = 0  # version of the head when this node last read or wrote it
        self._pages: dict[int, BalancePage] = {}
        self._page_by_team: dict[str, int] = {}
        self._factors: dict[str, float] = {}
        self._checked_revision = 0  # the mirror's revision at the last check; 0 if another check is needed
        self._next_run_at = ZERO
        self._clock_behind_logged = False
        mirror.listen(HEAD_KEY, self._head_changed)

    def factor(self, team: str) -> float:
        """The multiplier for the shared weight of a team's work beyond its guarantee, as of the last entry."""
        return self._factors.get(team, 1.0)

    @property
    def last_entry_number(self) -> int:
        """The number of the last entry that this node's factors include."""
        return self._head.number

    def _head_changed(self, key: str, value: dict | None, version: int) -> None:
        if self.state is WriterState.ACTIVE and version > self._version:
            self._set_state(WriterState.READING, "an earlier closing was applied late")

    # -- a leader term ------------------------------------------------------------

    def begin(self, leader_term: LeaderTerm) -> None:
        """Start a leader term with the balances of the last closing; raises `StoreUnavailable`."""
        self._leader_term = leader_term
        self._set_state(WriterState.READING, f"term {leader_term.term}")
        self._read()

    def end(self) -> None:
        """Stop writing: this node is no longer the leader."""
        self._leader_term = None
        self._set_state(WriterState.INACTIVE, "")

    def _set_state(self, state: WriterState, why: str) -> None:
        """Change the state and log the change; nothing else assigns `state` after construction."""
        if state is not self.state:
            log.debug("ledger: %s -> %s %s", self.state.value, state.value, why)
        self.state = state

    def _read(self) -> None:
        """Read the head and the pages.

        The head is read first.  If a closing is applied between the two reads,
        the pages are newer than the head, and the guard on the head's version
        makes this node's next closing fail.
        """
        head = self._store.get(HEAD_KEY)
        entries, _ = self._store.scan(PAGE_PREFIX)
        self._head = Head.parse(head.value) if head else Head(0, GENESIS, self._mirror.revision, None)
        self._version = head.version if head else 0
        self._use_pages({int(e.key.removeprefix(PAGE_PREFIX)): BalancePage.parse(e.value) for e in entries})
        self._checked_revision = 0
        self._set_state(WriterState.ACTIVE, f"at entry {self._head.number}")

    def _read_ended_jobs(self) -> dict[str, EndedJob]:
        """All jobs that ended after the head's revision; ended jobs are charged on every page up to it."""
        found = self._store.watch(END_PREFIX, self._head.revision, ZERO, self._transport)
        if found is None:
            # The state service no longer has these changes, because the last closing is too long ago.
            changes = [e for e in self._store.scan(END_PREFIX)[0] if e.version > self._head.revision]
            log.info("changes since the last closing are gone from the state service; read all ended jobs again")
        else:
            changes, _ = found
        ended: dict[str, EndedJob] = {}
        for key, value, version in changes:
            if value is not None and (held := value.get("held")):
                amounts = resource_time(held["cpus"], held["gpus"], held["memory"], held["ms"])
                ended[key.removeprefix(END_PREFIX)] = EndedJob(version, held["team"], amounts)
        return ended

    def _use_pages(self, pages: Mapping[int, BalancePage]) -> None:
        """Use these pages and their factors from now on."""
        self._pages |= pages
        for number, page in pages.items():
            for name, balance in page.balances.items():
                self._page_by_team[name] = number
                self._factors[name] = balance.factor / FIXED_POINT_ONE

    # -- closing --------------------------------------------------------------------

    def run_once(self) -> None:
        """Close the pages that are due; raises `StoreUnavailable`.

        The leader term may end while this waits for the state service.  The
        guards then make any later write fail.
        """
        leader_term = self._leader_term
        if leader_term is None or self._mirror.revision is None or self._clock.steady() < self._next_run_at:
            return
        if self.state is WriterState.READING:
            self._read()
        at = (self._clock.utc() - EPOCH) // MILLISECOND
        if self._head.policy != self._policy:
            number = self._head.number + 1
            entry = settings_entry(number, self._head.hash, at, self._policy, self._author(leader_term))
            self._write(leader_term, [entry], {}, self._head.revision)
        elif self._job_index.metered_jobs or self._mirror.revision != self._checked_revision:
            self._next_run_at = self._clock.steady() + min(self._period, MAX_CHECK_INTERVAL)
            self._close(leader_term, at)

    def _author(self, leader_term: LeaderTerm) -> str:
        return f"{self._node} term {leader_term.term}"

    def _close(self, leader_term: LeaderTerm, at: int) -> None:
        revision = self._mirror.revision
        unfinished = self._unfinished_usage(at)
        ended = self._read_ended_jobs()
        usage = self._usage_by_team(revision, unfinished, ended)
        to_close, changed_not_due = self._select_pages(at, usage)
        # A page with changes that is not due yet must be checked again, even if the mirror does not change.
        # Without this, the last jobs of a day were charged only with the first jobs of the next day.
        self._checked_revision = 0 if changed_not_due else revision
        if not to_close:
            return
        number, previous = self._head.number, self._head.hash
        entries: list[dict] = []
        pages: dict[int, BalancePage] = {}
        for page_number, due_teams in to_close.items():
            before = self._pages.get(page_number) or BalancePage(0, self._head.revision, {})
            page, rows = close_page(
                before, at, revision, {n: usage[n] for n in due_teams if n in usage}, self._policy, self._teams
            )
            number += 1
            entries.append(
                closing_entry(number, previous, page_number, before.closed_at_ms, page, rows, self._author(leader_term))
            )
            previous = entries[-1]["hash"]
            pages[page_number] = page
        closed = {name for page in pages.values() for name in page.balances}
        uncharged = [e.revision - 1 for e in ended.values() if e.team not in closed and not self._is_charged(e)]
        # Once these pages are closed, every job that ended up to this revision has been charged.
        self._write(leader_term, entries, pages, min([revision, *uncharged]))

    def _is_charged(self, ended: EndedJob) -> bool:
        page = self._pages.get(self._page_by_team.get(ended.team, -1))
        return page is not None and ended.revision <= page.revision

    def _unfinished_usage(self, at: int) -> dict[str, tuple[str, ResourceTime]]:
        """The machine time of each unfinished job until `at` (ms since the epoch), with its team, by job id."""
        until = EPOCH + at * MILLISECOND
        found = {}
        for ref in self._job_index.metered_jobs:
            job = self._job_index.jobs[ref]
            spec = job.spec
            found[ref] = spec.team, resource_time(spec.cpus, spec.gpus, spec.memory, job.machine_time_ms(until))
        return found

    def _usage_by_team(
        self, revision: int, unfinished: Mapping[str, tuple[str, ResourceTime]], ended: Mapping[str, EndedJob]
    ) -> dict[str, tuple[ResourceTime, ResourceTime]]:
        """The machine time of each team's jobs: of those that ended since its page's closing, and of the others.

        `unfinished` was read before `ended`.  A job that ended after `revision`
        counts as unfinished in this closing, with its machine time from
        `unfinished`.  If it is not in there, this node learned of the job's
        end before its mirror had reached the final record's revision.  The
        machine time is then taken from the final record.
        """
        found: dict[str, tuple[ResourceTime, ResourceTime]] = {}
        for team, amounts in unfinished.values():
            ended_usage, unfinished_usage = found.get(team, (ResourceTime(), ResourceTime()))
            found[team] = ended_usage, unfinished_usage + amounts
        for ref, job in ended.items():
            ended_usage, unfinished_usage = found.get(job.team, (ResourceTime(), ResourceTime()))
            if job.revision > revision:
                unfinished_usage += job.amounts if ref not in unfinished else ResourceTime()
            elif not self._is_charged(job):
                ended_usage += job.amounts
            found[job.team] = ended_usage, unfinished_usage
        return found

    def _select_pages(
        self, at: int, usage: Mapping[str, tuple[ResourceTime, ResourceTime]]
    ) -> tuple[dict[int, list[str]], bool]:
        """The pages to close now, with their teams, and whether other pages have changes but are not due yet.

        New teams are added to pages as far as one transaction has room.

        A page is due one period after its last closing if a team used machine
        time, or if a team with usage has pending jobs, since its factor has
        changed meanwhile.  Nothing is written while nothing runs and no job is
        pending.
        """
        teams_with_pending_jobs = {self._job_index.jobs[ref].spec.team for ref in self._job_index.pending_jobs}
        due_teams: dict[int, list[str]] = {}
        changed_not_due = False
        many_unclosed = self._mirror.revision - self._head.revision > MAX_UNCLOSED_REVISIONS
        for number, page in self._pages.items():
            if at <= page.closed_at_ms:
                self._log_clock_behind(page.closed_at_ms - at)
                continue
            changed = many_unclosed or any(
                usage.get(name, (ResourceTime(), ResourceTime())) != (ResourceTime(), b.unfinished_time)
                or (b.decayed_usage and name in teams_with_pending_jobs)
                for name, b in page.balances.items()
            )
            if changed and (many_unclosed or at - page.closed_at_ms >= self._period // MILLISECOND):
                due_teams[number] = list(page.balances)
            else:
                changed_not_due = changed_not_due or changed
        new_teams = sorted(name for name in usage if name not in self._page_by_team and any(map(any, usage[name])))
        # A page and its entry are two changes.  Each is at most as large as a value may be.
        limits = self._store.limits
        max_pages = max(1, min((limits.txn_ops - 1) // 2, MAX_TXN_BYTES // (2 * limits.value_bytes)))
        oldest = sorted(due_teams, key=lambda n: self._pages[n].closed_at_ms)[:max_pages]
        to_close = {number: due_teams[number] for number in oldest}
        for name in new_teams:
            number = self._page_for_new_team(name, to_close)
            closed_later = number in self._pages and at <= self._pages[number].closed_at_ms
            if not closed_later and (number in to_close or len(to_close) < max_pages):
                to_close.setdefault(number, list(self._pages[number].balances) if number in self._pages else [])
                to_close[number].append(name)
        return to_close, changed_not_due

    def _page_for_new_team(self, name: str, to_close: Mapping[int, list[str]]) -> int:
        """The page for a new team: the last page if it has room, otherwise a new one."""
        last = max([*self._pages, *to_close], default=0)
        known = list(self._pages[last].balances) if last in self._pages else []
        page = BalancePage(0, 0, dict.fromkeys([*known, *to_close.get(last, ())]))
        return last if page.has_room_for(name, self._store.limits.value_bytes) else last + 1

    def _log_clock_behind(self, behind_ms: int) -> None:
        if not self._clock_behind_logged:
            self._clock_behind_logged = True
            log.info(
                "this node's wall clock is %d ms behind the ledger's last closing; its page is closed later", behind_ms
            )

    def _write(
        self, leader_term: LeaderTerm, entries: list[dict], pages: Mapping[int, BalancePage], revision: int
    ) -> None:
        """Append entries to the chain and store their pages, in one transaction."""
        head = Head(entries[-1]["n"], entries[-1]["hash"], revision, self._policy)
        puts: dict[str, Any] = {entry_key(e["n"]): e for e in entries}
        puts |= {page_key(number): page.record() for number, page in pages.items()}
        puts[HEAD_KEY] = head.record()
        guards = {LEADER_KEY: leader_term.leader_key_version, HEAD_KEY: self._version}
        outcome = self._store.commit(guards, puts, purpose=Purpose.RESULT)
        self._next_run_at = self._clock.steady() + seconds(len(puts) / MAX_CHANGES_PER_S)
        self._checked_revision = 0  # more pages may be due
        if outcome.status is CommitStatus.APPLIED:
            self._head, self._version = head, outcome.revision
            self._use_pages(pages)
            self._clock_behind_logged = False
            self._mirror.put(HEAD_KEY, head.record(), outcome.revision)
        elif outcome.status is not CommitStatus.REFUSED:
            # The closing may have been applied, or another closing was applied before it.
            self._set_state(WriterState.READING, f"a closing ended in {outcome.status.value}")
