"""Blocks of machines: the node that holds each block, and its fencing token.

A block is the machines of one zone.  This module owns the grants in
`l/block/<zone>` and the increasing token counter in `l/token`.  The leader
grants each block to a live node, in the block's own zone if possible.  The
holder serves the block's workers and places tasks in it, also while there is
no leader.

Every change of a grant takes a new, higher token, because workers compare only
tokens: a worker that has seen the new token executes no command under an
earlier one.  A grant names its holder's incarnation.  A restarted process must
be granted its blocks again, because commands of the previous process may still
be in flight under the old token.

A grant reserves a range of tokens, and `l/token` holds the last one reserved.
The holder takes tokens above the first from its range without a write, for one
worker at a time (`workers.fencing`).  Versions that do not know the range use
and grant only the first token; the counter keeps ranges apart for them as well.
"""

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from kelpjunction.blocks.events import GrantChange, GrantChanged
from kelpjunction.blocks.tokens import TokenRange
from kelpjunction.clock import Clock
from kelpjunction.leadership import LEADER_KEY, LeaderTerm
from kelpjunction.rate_limiter import Purpose
from kelpjunction.recorder import Recorder
from kelpjunction.store.catch_up import CatchUp
from kelpjunction.store.client import CommitStatus, StoreClient
from kelpjunction.store.mirror import Mirror

log = logging.getLogger("blocks")

TOKEN_KEY = "l/token"
BLOCK_PREFIX = "l/block/"

TOKENS_PER_GRANT = 1 << 20
RESTART_COUNT_RESET_INTERVAL = timedelta(seconds=60)  # a restart sooner after the last start counts towards the backoff
MAX_RESTART_BACKOFF = timedelta(seconds=30)


def block_key(zone: str) -> str:
    return BLOCK_PREFIX + zone


@dataclass(slots=True)
class Grant:
    """A block's holder, the leader's term in which it was granted, and its fencing tokens, `token` to `last_token`."""

    zone: str
    holder: str
    incarnation: str
    term: int
    token: int
    version: int
    since: timedelta  # steady time at which this node first saw this holder
    last_token: int
    gained_at: int  # version of the grant since which this holder has held the block without interruption

    @property
    def tokens(self) -> TokenRange:
        """The tokens that the holder may use."""
        return TokenRange(self.token, self.last_token)


@dataclass(slots=True)
class _ProcessStart:
    """When a node's process was first seen, and how many quick restarts preceded it."""

    incarnation: str
    at: timedelta
    restarts: int = 0

    def is_stable(self, now: timedelta) -> bool:
        """Whether the process may be granted blocks: at once, or after an exponential backoff for quick restarts."""
        return not self.restarts or now - self.at >= min(MAX_RESTART_BACKOFF, timedelta(seconds=2**self.restarts))


class Blocks:
    """All grants as this node's mirror of the state service has them, and the writes that change them."""

    def __init__(
        self,
        node: str,
        incarnation: str,
        store: StoreClient,
        mirror: Mirror,
        catch_up: CatchUp,
        clock: Clock,
        recorder: Recorder,
    ) -> None:
        self._recorder = recorder
        self._catch_up = catch_up
        self._own_identity = (node, incarnation)
        self._store = store
        self._mirror = mirror
        self._clock = clock
        self.grants: dict[str, Grant] = {}
        self._process_starts: dict[str, _ProcessStart] = {}  # per node, as seen by this node as leader
        self.on_grant_gained: Callable[[str], None] = lambda zone: None
        self.on_grant_usable: Callable[[str], None] = lambda zone: None
        self.on_grant_lost: Callable[[str], None] = lambda zone: None
        mirror.listen(BLOCK_PREFIX, self._on_grant_changed)

    def _on_grant_changed(self, key: str, value: dict | None, version: int) -> None:
        zone = key.removeprefix(BLOCK_PREFIX)
        old = self.grants.get(zone)
        held_before, uninterrupted = self.own_grant(zone) is not None, False
        if value is None:
            self.grants.pop(zone, None)
        else:
            holder, token = (value["holder"], value["incarnation"]), value["token"]
            # The value may be the latest of several grants, because it may come
            # from a read of all keys or of this key after a conflict.  If the
            # holder did not take the new token itself, another node may have
            # held the block in between.  That node may have renewed leases and
            # made placements that are unknown here.
            uninterrupted = old is not None and (old.holder, old.incarnation) == holder
            uninterrupted = uninterrupted and (old.token == token or value.get("raised", False))
            since = old.since if uninterrupted else self._clock.steady()
            gained_at = old.gained_at if uninterrupted else version
            last_token = value.get("last_token", token)  # absent from grants of versions that know no ranges
            self.grants[zone] = Grant(zone, *holder, value["term"], token, version, since, last_token, gained_at)
        holds_now = self.own_grant(zone) is not None
        if held_before and not uninterrupted:
            self._record_change(GrantChange.LOST, old)
            self.on_grant_lost(zone)
        if holds_now and not (held_before and uninterrupted):
            self._record_change(GrantChange.GAINED, self.grants[zone])
            self.on_grant_gained(zone)
            self._catch_up.when_reached(version, lambda: self._grant_caught_up(zone))
        elif holds_now and old.token != self.grants[zone].token:
            self._record_change(GrantChange.RAISED, self.grants[zone])

    def _grant_caught_up(self, zone: str) -> None:
        """The mirror has reached a revision at which this node gained a block, which it may have lost since."""
        if self.may_use(zone):
            self._record_change(GrantChange.USABLE, self.grants[zone])
            self.on_grant_usable(zone)

    def _record_change(self, change: GrantChange, grant: Grant) -> None:
        """Record a change of a grant of this node, with the revision up to which the node has read."""
        self._recorder.record(
            GrantChanged(
                change, grant.zone, grant.holder, grant.incarnation, grant.term, grant.token, grant.version,
                self._mirror.revision or 0, grant.last_token,
            )
        )  # fmt: skip

    def note_overtaken(self, zone: str) -> None:
        """Record that a worker of a held block has seen a higher token than those of this node's grant."""
        self._record_change(GrantChange.OVERTAKEN, self.grants[zone])

    def own_grant(self, zone: str) -> Grant | None:
        """The grant of a block if this process (node and incarnation) holds it, else None."""
        grant = self.grants.get(zone)
        return grant if grant is not None and (grant.holder, grant.incarnation) == self._own_identity else None

    def held_zones(self) -> list[str]:
        return [zone for zone in self.grants if self.own_grant(zone) is not None]

    def may_use(self, zone: str) -> bool:
        """Whether this process holds a block and its mirror has all that earlier holders did (`store.catch_up`)."""
        grant = self.own_grant(zone)
        return grant is not None and self._catch_up.reached(grant.gained_at)

    def usable_zones(self) -> list[str]:
        """The blocks that this process holds and whose records its mirror has caught up with."""
        return [zone for zone in self.grants if self.may_use(zone)]

    def holder(self, zone: str) -> str | None:
        grant = self.grants.get(zone)
        return grant.holder if grant else None

    def own_token(self, zone: str) -> int | None:
        """The first token of this process's grant of a block, or None if it does not hold the block."""
        grant = self.own_grant(zone)
        return grant.token if grant else None

    def issue_new_tokens(self, zones: list[str]) -> bool:
        """As holder, take new tokens for these blocks, so that commands under the old tokens become invalid.

        Returns False if the write is not known to be applied.  Blocks that
        this process does not hold are skipped.
        """
        holders = {}
        for zone in zones:
            grant = self.own_grant(zone)
            if grant is not None:
                holders[zone] = (grant.holder, grant.incarnation, grant.term)
        return self._write(holders, {}, raised=True) if holders else True

    def assign(self, leader_term: LeaderTerm, zones: list[str], members: dict[str, dict]) -> None:
        """As leader, grant each block without a live holder, and balance the blocks over the live nodes.

        A node that reaches no machine is treated as dead unless all nodes are
        like that, because the leases of its workers would run out.
        """
        members = {n: m for n, m in members.items() if not m.get("deaf")} or members
        members = self._stable_members(members) or members
        load = Counter(dict.fromkeys(members, 0))
        without_holder = []
        for zone in zones:
            grant = self.grants.get(zone)
            if grant is None or members.get(grant.holder, {}).get("incarnation") != grant.incarnation:
                without_holder.append(zone)
            else:
                load[grant.holder] += 1
        moves = {}
        for zone in without_holder:
            if members:
                moves[zone] = self._best_holder(zone, members, load)
                load[moves[zone]] += 1
        if not moves and members and (min_load := min(load.values())) + 2 <= max(load.values()):
            # One block at a time, so that a node that came back gets its share gradually.
            least_loaded = min((n for n in load if load[n] == min_load), key=str)
            most_loaded = max(load, key=lambda n: (load[n], n))
            movable = [z for z in zones if self.grants[z].holder == most_loaded]
            in_own_zone = [z for z in movable if z == members[least_loaded]["zone"]]
            moves[(in_own_zone or movable)[0]] = least_loaded
        if moves:
            max_moves = max(1, self._store.limits.txn_ops - 1)
            batch = dict(list(moves.items())[:max_moves])
            holders = {z: (n, members[n]["incarnation"], leader_term.term) for z, n in batch.items()}
            if self._write(holders, {LEADER_KEY: leader_term.leader_key_version}):
                for zone, name in batch.items():
                    grant = self.grants[zone]
                    log.info("block %s granted to %s under tokens %d to %d", zone, name, grant.token, grant.last_token)

    def _stable_members(self, members: dict[str, dict]) -> dict[str, dict]:
        """The nodes without those that restart repeatedly: blocks granted to such a node were left without a holder."""
        now = self._clock.steady()
        for name, member in members.items():
            previous = self._process_starts.get(name)
            if previous is None or previous.incarnation != member["incarnation"]:
                restarted_soon = previous is not None and now - previous.at < RESTART_COUNT_RESET_INTERVAL
                self._process_starts[name] = _ProcessStart(
                    member["incarnation"], now, previous.restarts + 1 if restarted_soon else 0
                )
        return {n: m for n, m in members.items() if self._process_starts[n].is_stable(now)}

    def _best_holder(self, zone: str, members: dict[str, dict], load: Counter) -> str:
        """Choose the live node for a block: among the least loaded, one in the block's zone if there is one."""
        least = min(load[n] for n in members)
        return min(members, key=lambda n: (load[n] > least, members[n]["zone"] != zone, load[n], n))

    def _write(self, holders: dict[str, tuple[str, str, int]], guards: dict[str, int], raised: bool = False) -> bool:
        """Write these grants under new tokens and return whether the write is known to be applied.

        `raised` marks grants that their own holder writes.  The write is
        guarded by the versions of the grants that the holder knew, so no other
        node held the blocks in between, however late the holder sees the change.
        """
        counter = self._mirror.get(TOKEN_KEY)
        last_token = counter.value if counter else 0
        guards = guards | {TOKEN_KEY: counter.version if counter else 0}
        puts: dict = {}
        for zone, (holder, incarnation, term) in holders.items():
            token, last_token = last_token + 1, last_token + TOKENS_PER_GRANT
            guards[block_key(zone)] = self.grants[zone].version if zone in self.grants else 0
            grant = {"holder": holder, "incarnation": incarnation, "term": term, "token": token}
            puts[block_key(zone)] = grant | {"last_token": last_token} | ({"raised": True} if raised else {})
        puts[TOKEN_KEY] = last_token
        outcome = self._store.commit(guards, puts, purpose=Purpose.COORDINATION)
        if outcome.status is not CommitStatus.APPLIED:
            log.info("write of grants for blocks %s was not confirmed: %s", ",".join(holders), outcome.status.value)
            return False
        self._mirror.put_transaction(puts, (), outcome.revision)
        return True
