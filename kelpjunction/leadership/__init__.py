"""Membership and leader election: store leases, terms and takeover.

Owns this node's store lease, its `Role` and, while it leads, its `LeaderTerm`.
The keys `l/node/<name>` and `l/lead` are attached to the store lease, so the
state service deletes them when their node stops extending it.  The term in
`l/term` rises with every takeover and never falls.  Every write of a leader is
guarded by the version of `l/lead`, which does not change during a term, so a
leader that was superseded cannot write.  A term is used only once the mirror
has caught up with its takeover (`store.catch_up`).  The ticket gateways elect a leader
among themselves in the same way, under a prefix of their own.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import ClassVar

from kelpjunction.clock import Clock
from kelpjunction.rate_limiter import Purpose
from kelpjunction.recorder import Event, Recorder
from kelpjunction.renewal import LeaseRenewalPolicy
from kelpjunction.settings import OperatorSettings, PlatformSettings
from kelpjunction.store.catch_up import CatchUp
from kelpjunction.store.client import CommitStatus, StoreClient, StoreLeaseExpired, StoreUnavailable
from kelpjunction.store.mirror import LIVE_PREFIX, Mirror

log = logging.getLogger("leadership")

LEADER_KEY = LIVE_PREFIX + "lead"
MEMBER_PREFIX = LIVE_PREFIX + "node/"


class Role(Enum):
    """This node's role in the cluster; only `_set_role` changes it."""

    NON_MEMBER = "outside"  # has no store lease
    FOLLOWER = "follower"
    LEADER = "leader"


@dataclass(slots=True)
class LeaderTerm:
    """One term of this node as leader: its number, the version of the leader key, and when it started."""

    term: int
    leader_key_version: int
    started_at: timedelta


@dataclass(frozen=True, slots=True)
class StandingChanged(Event):
    """Recorded when a node's role changes; `term` is the newest known term, `revision` that of the node's mirror."""

    level: ClassVar[int] = logging.INFO
    node: str
    incarnation: str
    standing: str
    reason: str
    term: int
    hold: int | None
    revision: int


@dataclass(frozen=True, slots=True)
class TermBegun(Event):
    """Recorded when a leader uses its term for the first time; `waited` is the time since its takeover was answered."""

    level: ClassVar[int] = logging.INFO
    term: int
    leader_key_version: int
    waited: timedelta


class Leadership:
    """Keeps this node a member, runs for leader, and steps down when another node has taken over."""

    def __init__(
        self,
        platform: PlatformSettings,
        operators: OperatorSettings,
        store: StoreClient,
        mirror: Mirror,
        catch_up: CatchUp,
        clock: Clock,
        incarnation: str,
        on_change: Callable[[LeaderTerm | None], None],
        recorder: Recorder,
        prefix: str = LIVE_PREFIX,
    ) -> None:
        self._recorder = recorder
        self._leader_key, self._member_prefix, self._term_key = (prefix + name for name in ("lead", "node/", "term"))
        self._node = platform.node
        self._identity = {"zone": platform.zone, "incarnation": incarnation}
        self._lease_duration = operators.store_lease
        self._store = store
        self._mirror = mirror
        self._catch_up = catch_up
        self._clock = clock
        self._on_change = on_change
        self._lease_id: int | None = None
        self._run_in_progress = False
        self.renewal = LeaseRenewalPolicy(platform.workers.lease, platform.workers.cancel, operators.block_lease)
        self._logged_can_renew = True  # the value that was logged last
        self.role = Role.NON_MEMBER
        self._given_up_revision = 0  # of the last takeover whose term was given up; until it is reached, none follows
        self._gained_term: LeaderTerm | None = None  # while this node is the leader
        self.leader_term: LeaderTerm | None = None  # the same, from the time on at which it may be used
        self.no_machine_reachable: Callable[[], bool] = lambda: False  # whether this node reaches no machine
        self.members: dict[str, dict] = {}  # live nodes by name: their zones and incarnations
        mirror.listen(self._leader_key, self._leader_key_changed)
        mirror.listen(self._member_prefix, self._member_changed)

    def _member_changed(self, key: str, value: dict | None, version: int) -> None:
        name = key.removeprefix(self._member_prefix)
        if value is None:
            self.members.pop(name, None)
        else:
            self.members[name] = value

    @property
    def heartbeat_interval(self) -> timedelta:
        """The interval at which `run_once` should be called."""
        return self._lease_duration / 4

    def can_renew_leases(self) -> bool:
        """Whether this node may renew its workers' leases (answer reports with 200) without breaking a rule."""
        return self.renewal.may_renew(self._mirror.known_until, self._clock.steady())

    def log_renewal_change(self) -> None:
        """Log when this node stops renewing worker leases, and when it resumes."""
        if self._mirror.loaded and self.can_renew_leases() is not self._logged_can_renew:
            self._logged_can_renew = not self._logged_can_renew
            if self._logged_can_renew:
                log.info("this node renews worker leases again")
            else:
                grace = self.renewal.grace_period.total_seconds()
                log.info("this node stopped renewing worker leases: its mirror is more than %.1f s out of date", grace)

    def mirror_is_fresh(self) -> bool:
        """Whether the mirror is fresh, so that the grants in it that name this node are probably still valid."""
        return self._mirror.fresh

    def run_once(self) -> bool:
        """Take or extend the store lease; run for leader if there is none.

        Returns False if the state service was unavailable.
        """
        if self._run_in_progress or not self._mirror.loaded:
            return True
        self._catch_up.read_if_overdue()
        self._run_in_progress = True
        try:
            if self.role is Role.NON_MEMBER:
                self._join()
            else:
                self._extend()
                entry = self._mirror.get(self._member_prefix + self._node)
                if self.role is not Role.NON_MEMBER and (entry is None or entry.value != self._member):
                    self._write_member_key(self._lease_id)
            if self.role is Role.LEADER and self._is_term_unusable():
                self._give_up_term()
            elif self.role is Role.FOLLOWER and self._is_leadership_vacant():
                self._run_for_leader()
            return True
        except StoreUnavailable as error:
            log.debug("membership and election step failed: %s", error)
            return False
        finally:
            self._run_in_progress = False

    def _extend(self) -> None:
        try:
            self._store.extend_lease(self._lease_id, timeout=self._lease_duration / 2)
        except StoreLeaseExpired:
            self._set_role(Role.NON_MEMBER, "hold ended")
            self._join()

    def _join(self) -> None:
        """Become a member under a new store lease."""
        lease = self._store.grant_lease(self._lease_duration)
        if self._write_member_key(lease):
            self._lease_id = lease
            self._set_role(Role.FOLLOWER, "member")

    def _write_member_key(self, lease: int) -> bool:
        """Write this node's member key, attached to `lease`; return whether it was applied.

        The write is guarded by the key's version.  A write that got no response,
        of this process or its predecessor, may be applied late, but it cannot
        replace a newer one.  Otherwise the key would be attached to the older
        store lease, and the node would count as gone when that lease expires.
        """
        key, member = self._member_prefix + self._node, self._member
        for _ in range(2):
            guards = {key: self._mirror.version(key)}
            outcome = self._store.commit(guards, {key: member}, leases={key: lease}, purpose=Purpose.COORDINATION)
            if outcome.status is CommitStatus.APPLIED:
                self._mirror.put(key, member, outcome.revision)
                return True
            if outcome.status is not CommitStatus.CONFLICT:
                return False
            self._mirror.refresh(key)
        return False

    @property
    def _member(self) -> dict:
        """The value of this node's member key: its identity, and whether it can reach no machine."""
        return self._identity | ({"deaf": True} if self.no_machine_reachable() else {})

    def _is_leadership_vacant(self) -> bool:
        """Whether there is no leader, as far as this node knows.

        Two processes never run under one name at the same time.  If the leader
        key names this node although it does not lead, a process that ended
        wrote it, or this process did and got no response.  A node that restarts
        within a fraction of a second then need not wait for the old store lease
        to expire.
        """
        if not self._catch_up.reached(self._given_up_revision):
            return False
        leader = self._mirror.get(self._leader_key)
        return leader is None or leader.value["node"] == self._node

    def _run_for_leader(self) -> None:
        entry = self._mirror.get(self._term_key)
        term = (entry.value if entry else 0) + 1
        leader = {"node": self._node, "term": term}
        outcome = self._store.commit(
            {self._leader_key: self._mirror.version(self._leader_key), self._term_key: entry.version if entry else 0},
            {self._leader_key: leader, self._term_key: term},
            leases={self._leader_key: self._lease_id},
            purpose=Purpose.COORDINATION,
        )
        if outcome.status is CommitStatus.UNKNOWN:
            # The write may still be applied and name this node as leader.  The
            # node joins under a new store lease, so that such a leader key
            # disappears when the old lease expires.
            self._set_role(Role.NON_MEMBER, "candidacy of unknown outcome")
        if outcome.status is not CommitStatus.APPLIED:
            return
        self._mirror.put(self._term_key, term, outcome.revision)
        if self._has_takeover_ended(outcome.revision):
            self._set_role(Role.FOLLOWER, f"term {term} was over before its takeover was answered")
            return
        # Set before the leader key is put in, since listeners of that key must already see the term.
        gained_term = self._gained_term = LeaderTerm(term, outcome.revision, self._clock.steady())
        self._mirror.put(self._leader_key, leader, outcome.revision)
        self._set_role(Role.LEADER, f"term {term}")
        self._catch_up.when_reached(outcome.revision, lambda: self._begin_term(gained_term))

    def _has_takeover_ended(self, revision: int) -> bool:
        """Whether the leader key that this node wrote at a revision is known to have been replaced or deleted since."""
        version = self._mirror.version(self._leader_key)
        return version > revision or (self._catch_up.reached(revision) and version != revision)

    def _begin_term(self, gained_term: LeaderTerm) -> None:
        """Use a term from now on, if it has not ended while the mirror caught up with it."""
        if self._gained_term is not gained_term:
            return
        waited = self._clock.steady() - gained_term.started_at
        self._recorder.record(TermBegun(gained_term.term, gained_term.leader_key_version, waited))
        self.leader_term = gained_term
        self._on_change(gained_term)

    def _is_term_unusable(self) -> bool:
        """Whether the mirror has not caught up with this node's term for so long that another node should lead."""
        if self.leader_term is not None:
            return False
        return self._clock.steady() - self._gained_term.started_at > self._catch_up.give_up_after

    def _give_up_term(self) -> None:
        """Delete the leader key, so that another node can lead; if that is refused, the next step tries it again."""
        revision = self._gained_term.leader_key_version
        log.info("term %d is given up: the mirror has not reached revision %d", self._gained_term.term, revision)
        outcome = self._store.commit({self._leader_key: revision}, {}, [self._leader_key], purpose=Purpose.COORDINATION)
        if outcome.status is CommitStatus.REFUSED:
            return
        self._given_up_revision = revision
        # After an unknown outcome the node takes a new store lease, and the key disappears with the old one.
        self._set_role(Role.NON_MEMBER if outcome.status is CommitStatus.UNKNOWN else Role.FOLLOWER, "term given up")
        if outcome.status is CommitStatus.APPLIED:
            self._mirror.put(self._leader_key, None, outcome.revision)

    def _leader_key_changed(self, key: str, value: dict | None, version: int) -> None:
        if key == self._leader_key and self.role is Role.LEADER and version != self._gained_term.leader_key_version:
            self._set_role(Role.FOLLOWER, "superseded")

    def _set_role(self, role: Role, cause: str) -> None:
        """Change the role and record the change; nothing else sets `role`."""
        self.role = role
        term = self._mirror.get(self._term_key)
        self._recorder.record(
            StandingChanged(
                self._node, self._identity["incarnation"], role.value, cause, term.value if term else 0, self._lease_id,
                self._mirror.revision or 0,
            )
        )  # fmt: skip
        if role is not Role.LEADER:
            self._gained_term = self.leader_term = None
        if role is Role.NON_MEMBER:
            self._lease_id = None
        self._on_change(self.leader_term)
