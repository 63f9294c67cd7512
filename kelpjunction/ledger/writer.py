"""The leader's part of the ledger: it closes stretches of time, each exactly once.

A closing is one transaction: the entry, the pages it closes and the head of
the chain, guarded by `l/lead` and by the head's version.  Charges are
differences against what the page says, so a stretch that was not closed is
charged with the next, and one whose closing is of unknown outcome is either in
the head that is read again or can no longer be applied once the next is.

Jobs that ended are charged from their final records, by the revision that
wrote them: a closing asks for those written since the last, one request, and
needs nothing that a node could have missed.
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
    close,
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
CHANGES_A_SECOND = 1.0  # of the state service, at most, on average
MAX_UNCLOSED_REVISIONS = (
    4000  # revisions: it keeps 10,000 changes, and what ended since must not be among the older ones
)
LOOK_EVERY = timedelta(seconds=5)  # at most, while nothing is due
EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


def entry_key(number: int) -> str:
    return f"{ENTRY_PREFIX}{number:012d}"


def page_key(number: int) -> str:
    return f"{PAGE_PREFIX}{number:04d}"


class WriterState(Enum):
    """What this node does for the ledger; `_stand` makes every change.

    AWAY -> READING -> KEEPING, from KEEPING back to READING when the head is
    not as this node left it, and from any of them to AWAY.
    """

    INACTIVE = "away"  # this node does not lead
    READING = "reading"  # the balances must be read (again)
    ACTIVE = "keeping"


class Ended(NamedTuple):
    """What an ended job held in all, and the revision that wrote its final record."""

    revision: int
    team: str
    amounts: ResourceTime


class Head(NamedTuple):
    """The end of the chain: the last entry, the policy in force, and the revision up to which all pages are closed."""

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
    """Keeps the ledger while this node leads; which factors hold is known to whoever leads."""

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
        self._policy = Policy.of(settings, platform.teams)
        self._store = store
        self._mirror = mirror
        self._job_index = job_index
        self._clock = clock
        self._transport = transport
        self._leader_term: LeaderTerm | None = None
        self.state = WriterState.INACTIVE
        self._head = Head(0, GENESIS, 0, None)
        self._version = 0  # of the head, as this node last read or wrote it
        self._pages: dict[int, BalancePage] = {}
        self._page_of: dict[str, int] = {}
        self._factors: dict[str, float] = {}
        self._looked = 0  # the mirror's revision at the last look
        self._next_at = ZERO
        self._told_behind = False
        mirror.listen(HEAD_KEY, self._head_changed)

    def factor(self, team: str) -> float:
        """By what the shared weight of a team's work beyond its guarantee is multiplied, as the last entry says."""
        return self._factors.get(team, 1.0)

    @property
    def entry(self) -> int:
        """The number of the last entry that this node's factors follow."""
        return self._head.number

    def _head_changed(self, key: str, value: dict | None, version: int) -> None:
        if self.state is WriterState.ACTIVE and version > self._version:
            self._stand(WriterState.READING, "an earlier closing was applied late")

    # -- a reign ------------------------------------------------------------------

    def begin(self, leader_term: LeaderTerm) -> None:
        """Start a reign with the balances as the last closing left them; raises `StoreUnavailable`."""
        self._leader_term = leader_term
        self._stand(WriterState.READING, f"term {leader_term.term}")
        self._read()

    def end(self) -> None:
        """This node leads no longer."""
        self._leader_term = None
        self._stand(WriterState.INACTIVE, "")

    def _stand(self, state: WriterState, why: str) -> None:
        """The one place where the state changes."""
        if state is not self.state:
            log.debug("ledger: %s -> %s %s", self.state.value, state.value, why)
        self.state = state

    def _read(self) -> None:
        """Read head and pages.

        The head first: if a closing is applied meanwhile, the pages are newer
        than it, and the next closing fails by the head's version.
        """
        head = self._store.get(HEAD_KEY)
        entries, _ = self._store.scan(PAGE_PREFIX)
        self._head = Head.parse(head.value) if head else Head(0, GENESIS, self._mirror.revision, None)
        self._version = head.version if head else 0
        self._adopt({int(e.key.removeprefix(PAGE_PREFIX)): BalancePage.parse(e.value) for e in entries})
        self._looked = 0
        self._stand(WriterState.ACTIVE, f"at entry {self._head.number}")

    def _read_ended(self) -> dict[str, Ended]:
        """All jobs that ended since the revision up to which every page is closed."""
        found = self._store.watch(END_PREFIX, self._head.revision, ZERO, self._transport)
        if found is None:
            # The service forgot the changes: nobody closed for very long.
            changes = [e for e in self._store.scan(END_PREFIX)[0] if e.version > self._head.revision]
            log.info("the last closing is long ago: all ended jobs were read again")
        else:
            changes, _ = found
        ended: dict[str, Ended] = {}
        for key, value, version in changes:
            if value is not None and (was := value.get("held")):
                amounts = resource_time(was["cpus"], was["gpus"], was["memory"], was["ms"])
                ended[key.removeprefix(END_PREFIX)] = Ended(version, was["team"], amounts)
        return ended

    def _adopt(self, pages: Mapping[int, BalancePage]) -> None:
        """These pages hold from now on."""
        self._pages |= pages
        for number, page in pages.items():
            for name, balance in page.balances.items():
                self._page_of[name] = number
                self._factors[name] = balance.factor / FIXED_POINT_ONE

    # -- closing --------------------------------------------------------------------

    def run_once(self) -> None:
        """Close what is due; raises `StoreUnavailable`.

        The reign may end while this waits for an answer: what it then still
        writes fails by the guards.
        """
        reign = self._leader_term
        if reign is None or self._mirror.revision is None or self._clock.steady() < self._next_at:
            return
        if self.state is WriterState.READING:
            self._read()
        at = (self._clock.utc() - EPOCH) // MILLISECOND
        if self._head.policy != self._policy:
            number = self._head.number + 1
            entry = settings_entry(number, self._head.hash, at, self._policy, self._by(reign))
            self._write(reign, [entry], {}, self._head.revision)
        elif self._job_index.metered or self._mirror.revision != self._looked:
            self._next_at = self._clock.steady() + min(self._period, LOOK_EVERY)
            self._close(reign, at)

    def _by(self, leader_term: LeaderTerm) -> str:
        return f"{self._node} term {leader_term.term}"

    def _close(self, leader_term: LeaderTerm, at: int) -> None:
        revision = self._mirror.revision
        open_ = self._open(at)
        ended = self._read_ended()
        now = self._now(revision, open_, ended)
        chosen, early = self._due(at, now)
        # What moved and is not due yet must be looked at again, also if
        # nothing else happens: the last jobs of a day were closed with the
        # first of the next.
        self._looked = 0 if early else revision
        if not chosen:
            return
        number, previous = self._head.number, self._head.hash
        entries: list[dict] = []
        pages: dict[int, BalancePage] = {}
        for page_number, names in chosen.items():
            old = self._pages.get(page_number) or BalancePage(0, self._head.revision, {})
            page, rows = close(old, at, revision, {n: now[n] for n in names if n in now}, self._policy, self._teams)
            number += 1
            entries.append(
                closing_entry(number, previous, page_number, old.closed_at_ms, page, rows, self._by(leader_term))
            )
            previous = entries[-1]["hash"]
            pages[page_number] = page
        closed = {name for page in pages.values() for name in page.balances}
        left = [e.revision - 1 for e in ended.values() if e.team not in closed and not self._charged(e)]
        # Up to here every ended job is charged once these pages are closed.
        self._write(leader_term, entries, pages, min([revision, *left]))

    def _charged(self, ended: Ended) -> bool:
        page = self._pages.get(self._page_of.get(ended.team, -1))
        return page is not None and ended.revision <= page.revision

    def _open(self, at: int) -> dict[str, tuple[str, ResourceTime]]:
        """What each unfinished job has held until `at`, with its team."""
        moment = EPOCH + at * MILLISECOND
        found = {}
        for ref in self._job_index.metered:
            job = self._job_index.jobs[ref]
            spec = job.spec
            found[ref] = spec.team, resource_time(spec.cpus, spec.gpus, spec.memory, job.machine_time_ms(moment))
        return found

    def _now(
        self, revision: int, open_: Mapping[str, tuple[str, ResourceTime]], ended: Mapping[str, Ended]
    ) -> dict[str, tuple[ResourceTime, ResourceTime]]:
        """What each team's jobs have held: those that ended since its page's closing, and the others.

        `open_` was read before `ended`.  A job that ended after `revision` is
        among the unfinished for this time: as it was read, or by its final
        record where this node knew of its end before it knew all up to there.
        """
        found: dict[str, tuple[ResourceTime, ResourceTime]] = {}
        for team, amounts in open_.values():
            over, still = found.get(team, (ResourceTime(), ResourceTime()))
            found[team] = over, still + amounts
        for ref, job in ended.items():
            over, still = found.get(job.team, (ResourceTime(), ResourceTime()))
            if job.revision > revision:
                still += job.amounts if ref not in open_ else ResourceTime()
            elif not self._charged(job):
                over += job.amounts
            found[job.team] = over, still
        return found

    def _due(self, at: int, now: Mapping[str, tuple[ResourceTime, ResourceTime]]) -> tuple[dict[int, list[str]], bool]:
        """The pages to close now, with their teams, and whether others moved that are not due yet.

        New teams get a place as far as a transaction goes.

        A page is due a period after its last closing if anything was held, or
        if work waits whose factor has changed meanwhile: nothing is written
        while nothing runs and nobody waits.
        """
        waiting = {self._job_index.jobs[ref].spec.team for ref in self._job_index.pending_jobs}
        names: dict[int, list[str]] = {}
        early = False
        late = self._mirror.revision - self._head.revision > MAX_UNCLOSED_REVISIONS
        for number, page in self._pages.items():
            if at <= page.closed_at_ms:
                self._note_behind(page.closed_at_ms - at)
                continue
            moved = late or any(
                now.get(name, (ResourceTime(), ResourceTime())) != (ResourceTime(), b.unfinished_time)
                or (b.decayed_usage and name in waiting)
                for name, b in page.balances.items()
            )
            if moved and (late or at - page.closed_at_ms >= self._period // MILLISECOND):
                names[number] = list(page.balances)
            else:
                early = early or moved
        new = sorted(name for name in now if name not in self._page_of and any(map(any, now[name])))
        # A page and its entry are two changes, each at most a value's size.
        limits = self._store.limits
        most = max(1, min((limits.txn_ops - 1) // 2, MAX_TXN_BYTES // (2 * limits.value_bytes)))
        oldest = sorted(names, key=lambda n: self._pages[n].closed_at_ms)[:most]
        chosen = {number: names[number] for number in oldest}
        for name in new:
            number = self._place_for(name, chosen)
            ahead = number in self._pages and at <= self._pages[number].closed_at_ms
            if not ahead and (number in chosen or len(chosen) < most):
                chosen.setdefault(number, list(self._pages[number].balances) if number in self._pages else [])
                chosen[number].append(name)
        return chosen, early

    def _place_for(self, name: str, chosen: Mapping[int, list[str]]) -> int:
        """The page for a new team: the last one with room, else a new one."""
        last = max([*self._pages, *chosen], default=0)
        known = list(self._pages[last].balances) if last in self._pages else []
        page = BalancePage(0, 0, dict.fromkeys([*known, *chosen.get(last, ())]))
        return last if page.has_room_for(name, self._store.limits.value_bytes) else last + 1

    def _note_behind(self, by: int) -> None:
        if not self._told_behind:
            self._told_behind = True
            log.info("this node's time of day is %d ms behind the ledger's last entry: it is closed later", by)

    def _write(
        self, leader_term: LeaderTerm, entries: list[dict], pages: Mapping[int, BalancePage], revision: int
    ) -> None:
        """Add entries to the chain and put their pages in force, in one transaction."""
        head = Head(entries[-1]["n"], entries[-1]["hash"], revision, self._policy)
        puts: dict[str, Any] = {entry_key(e["n"]): e for e in entries}
        puts |= {page_key(number): page.record() for number, page in pages.items()}
        puts[HEAD_KEY] = head.record()
        guards = {LEADER_KEY: leader_term.leader_key_version, HEAD_KEY: self._version}
        outcome = self._store.commit(guards, puts, purpose=Purpose.RESULT)
        self._next_at = self._clock.steady() + seconds(len(puts) / CHANGES_A_SECOND)
        self._looked = 0  # pages may be left that are due
        if outcome.status is CommitStatus.APPLIED:
            self._head, self._version = head, outcome.revision
            self._adopt(pages)
            self._told_behind = False
            self._mirror.put(HEAD_KEY, head.record(), outcome.revision)
        elif outcome.status is not CommitStatus.REFUSED:
            # It may have been applied, or another closing was before it.
            self._stand(WriterState.READING, f"a closing ended in {outcome.status.value}")
