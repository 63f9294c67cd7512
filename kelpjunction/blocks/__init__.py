"""Blocks of machines: who holds which, and under which token.

A block is the machines of one zone.  Owns the grants in `l/block/<zone>` and
the rising token counter in `l/token`.  The leader grants each block to a live
node, in the block's own zone where it can; the holder serves the block's
workers and places inside it, also while nobody leads.

Every change of a grant takes a new, higher token, since tokens are all that a
worker compares: once it has seen the new one, no command under an earlier one
is executed.  A grant names its holder's incarnation: a process that was
started again must be granted its blocks anew, because commands of the process
before may still be under way under the old token.
"""

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from kelpjunction.blocks.events import GrantChange, GrantChanged
from kelpjunction.clock import Clock
from kelpjunction.leadership import LEADER_KEY, LeaderTerm
from kelpjunction.rate_limiter import Purpose
from kelpjunction.recorder import Recorder
from kelpjunction.store.client import CommitStatus, StoreClient
from kelpjunction.store.mirror import Mirror

log = logging.getLogger("blocks")

TOKEN_KEY = "l/token"
BLOCK_PREFIX = "l/block/"


RESTART_COUNT_RESET_INTERVAL = timedelta(seconds=60)  # a node that ended more often than that is not relied on at once
MAX_RESTART_BACKOFF = timedelta(seconds=30)


def block_key(zone: str) -> str:
    return BLOCK_PREFIX + zone


@dataclass(slots=True)
class Grant:
    """A block's holder, the term it was granted in and the token workers obey."""

    zone: str
    holder: str
    incarnation: str
    term: int
    token: int
    version: int
    since: timedelta  # when this node first saw this holder have it


@dataclass(slots=True)
class _ProcessStart:
    """When a node's process was first seen, and how many of its kind ended shortly before."""

    incarnation: str
    at: timedelta
    restarts: int = 0

    def is_stable(self, now: timedelta) -> bool:
        """Whether it may be given blocks: at once after a restart, later and later after several."""
        return not self.restarts or now - self.at >= min(MAX_RESTART_BACKOFF, timedelta(seconds=2**self.restarts))


class Blocks:
    """All grants, as the state service has them."""

    def __init__(
        self, node: str, incarnation: str, store: StoreClient, mirror: Mirror, clock: Clock, recorder: Recorder
    ) -> None:
        self._recorder = recorder
        self._me = (node, incarnation)
        self._store = store
        self._mirror = mirror
        self._clock = clock
        self.grants: dict[str, Grant] = {}
        self._process_starts: dict[str, _ProcessStart] = {}  # as the leader saw the nodes come
        self.on_gain: Callable[[str], None] = lambda zone: None
        self.on_loss: Callable[[str], None] = lambda zone: None
        mirror.listen(BLOCK_PREFIX, self._changed)

    def _changed(self, key: str, value: dict | None, version: int) -> None:
        zone = key.removeprefix(BLOCK_PREFIX)
        old = self.grants.get(zone)
        had, same = self.own_grant(zone) is not None, False
        if value is None:
            self.grants.pop(zone, None)
        else:
            holder, token = (value["holder"], value["incarnation"]), value["token"]
            # What comes in may be the last of several grants: read with all
            # keys, or alone after a conflict.  Under a new token that its
            # holder did not take itself, the block was perhaps another's
            # meanwhile, who renewed leases and placed what is not known here.
            same = old is not None and (old.holder, old.incarnation) == holder
            same = same and (old.token == token or value.get("raised", False))
            since = old.since if same else self._clock.steady()
            self.grants[zone] = Grant(zone, *holder, value["term"], token, version, since)
        has = self.own_grant(zone) is not None
        if had and not same:
            self._note(GrantChange.LOST, old)
            self.on_loss(zone)
        if has and not (had and same):
            self._note(GrantChange.GAINED, self.grants[zone])
            self.on_gain(zone)
        elif has and old.token != self.grants[zone].token:
            self._note(GrantChange.RAISED, self.grants[zone])

    def _note(self, change: GrantChange, grant: Grant) -> None:
        """Keep a change of what this node holds, with the revision up to which it has read."""
        self._recorder.record(
            GrantChanged(
                change, grant.zone, grant.holder, grant.incarnation, grant.term, grant.token, grant.version,
                self._mirror.revision or 0,
            )
        )  # fmt: skip

    def note_overtaken(self, zone: str) -> None:
        """A worker of a block that this node holds has seen a higher token than its grant's."""
        self._note(GrantChange.OVERTAKEN, self.grants[zone])

    def own_grant(self, zone: str) -> Grant | None:
        """The grant of a block that this very process holds."""
        grant = self.grants.get(zone)
        return grant if grant is not None and (grant.holder, grant.incarnation) == self._me else None

    def held_zones(self) -> list[str]:
        return [zone for zone in self.grants if self.own_grant(zone) is not None]

    def holder(self, zone: str) -> str | None:
        grant = self.grants.get(zone)
        return grant.holder if grant else None

    def own_token(self, zone: str) -> int | None:
        grant = self.own_grant(zone)
        return grant.token if grant else None

    def issue_new_tokens(self, zones: list[str]) -> bool:
        """As holder, take new tokens for these blocks: nothing sent under the old ones counts any more."""
        holders = {}
        for zone in zones:
            grant = self.own_grant(zone)
            if grant is not None:
                holders[zone] = (grant.holder, grant.incarnation, grant.term)
        return self._write(holders, {}, raised=True) if holders else True

    def assign(self, leader_term: LeaderTerm, zones: list[str], members: dict[str, dict]) -> None:
        """As leader, grant each block without a live holder, and level blocks out among the live nodes.

        A node that reaches no machine counts as little as a dead one, unless
        all are so: it would let the leases of its workers run out.
        """
        members = {n: m for n, m in members.items() if not m.get("deaf")} or members
        members = self._steady(members) or members
        load = Counter(dict.fromkeys(members, 0))
        lacking = []
        for zone in zones:
            grant = self.grants.get(zone)
            if grant is None or members.get(grant.holder, {}).get("incarnation") != grant.incarnation:
                lacking.append(zone)
            else:
                load[grant.holder] += 1
        moves = {}
        for zone in lacking:
            if members:
                moves[zone] = self._best(zone, members, load)
                load[moves[zone]] += 1
        if not moves and members and (low := min(load.values())) + 2 <= max(load.values()):
            # One at a time, so that a node that came back gets its share gently.
            poor = min((n for n in load if load[n] == low), key=str)
            rich = max(load, key=lambda n: (load[n], n))
            theirs = [z for z in zones if self.grants[z].holder == rich]
            home = [z for z in theirs if z == members[poor]["zone"]]
            moves[(home or theirs)[0]] = poor
        if moves:
            most = max(1, self._store.limits.txn_ops - 1)
            some = dict(list(moves.items())[:most])
            holders = {z: (n, members[n]["incarnation"], leader_term.term) for z, n in some.items()}
            if self._write(holders, {LEADER_KEY: leader_term.leader_key_version}):
                for zone, name in some.items():
                    log.info("block %s granted to %s under token %d", zone, name, self.grants[zone].token)

    def _steady(self, members: dict[str, dict]) -> dict[str, dict]:
        """The nodes without those that end again and again: each block given to one stood without a holder."""
        now = self._clock.steady()
        for name, member in members.items():
            last = self._process_starts.get(name)
            if last is None or last.incarnation != member["incarnation"]:
                soon = last is not None and now - last.at < RESTART_COUNT_RESET_INTERVAL
                self._process_starts[name] = _ProcessStart(member["incarnation"], now, last.restarts + 1 if soon else 0)
        return {n: m for n, m in members.items() if self._process_starts[n].is_stable(now)}

    def _best(self, zone: str, members: dict[str, dict], load: Counter) -> str:
        """The live node for a block: one in its zone if that has no more than its share, else the least loaded."""
        least = min(load[n] for n in members)
        return min(members, key=lambda n: (load[n] > least, members[n]["zone"] != zone, load[n], n))

    def _write(self, holders: dict[str, tuple[str, str, int]], guards: dict[str, int], raised: bool = False) -> bool:
        """Write these grants under new tokens.

        `raised` marks those of their own holder: guarded by the grants as it
        knew them, so nobody had the blocks in between, whenever it hears of it.
        """
        counter = self._mirror.get(TOKEN_KEY)
        token = counter.value if counter else 0
        guards = guards | {TOKEN_KEY: counter.version if counter else 0}
        puts: dict = {}
        for zone, (holder, incarnation, term) in holders.items():
            token += 1
            guards[block_key(zone)] = self.grants[zone].version if zone in self.grants else 0
            grant = {"holder": holder, "incarnation": incarnation, "term": term, "token": token}
            puts[block_key(zone)] = grant | ({"raised": True} if raised else {})
        puts[TOKEN_KEY] = token
        outcome = self._store.commit(guards, puts, purpose=Purpose.COORDINATION)
        if outcome.status is not CommitStatus.APPLIED:
            log.info("blocks %s: %s", ",".join(holders), outcome.status.value)
            return False
        self._mirror.put_outcome(puts, (), outcome.revision)
        return True
