"""Who is alive and who leads: election by a held key, terms, takeover.

Owns this node's hold, its `Role` and, while it leads, its `LeaderTerm`.  The
keys `l/node/<name>` and `l/lead` are attached to the hold, so they vanish when
their node stops extending it; the term in `l/term` rises with every takeover and never falls.  Every
write of a leader is guarded by the version of `l/lead`, which does not change
during a reign: a leader that was superseded cannot write.  The
ticket gateways elect one of themselves in the same way, under a prefix of their own.
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
from kelpjunction.store.client import CommitStatus, StoreClient, StoreLeaseExpired, StoreUnavailable
from kelpjunction.store.mirror import LIVE_PREFIX, Mirror

log = logging.getLogger("leadership")

LEADER_KEY = LIVE_PREFIX + "lead"


class Role(Enum):
    """What this node is; `_set_role` makes every change."""

    NON_MEMBER = "outside"  # without a hold
    FOLLOWER = "follower"
    LEADER = "leader"


@dataclass(slots=True)
class LeaderTerm:
    """One node's time as leader."""

    term: int
    leader_key_version: int
    started_at: timedelta


@dataclass(frozen=True, slots=True)
class StandingChanged(Event):
    """A node's standing changed; `term` is the newest known, `revision` what this node has read up to."""

    level: ClassVar[int] = logging.INFO
    node: str
    incarnation: str
    standing: str
    reason: str
    term: int
    hold: int | None
    revision: int


class Leadership:
    """Runs for leader, stays it, and knows when to stop acting as one."""

    def __init__(
        self,
        platform: PlatformSettings,
        operators: OperatorSettings,
        store: StoreClient,
        mirror: Mirror,
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
        self._length = operators.store_lease
        self._store = store
        self._mirror = mirror
        self._clock = clock
        self._on_change = on_change
        self._lease_id: int | None = None
        self._busy = False
        self.renewal = LeaseRenewalPolicy(platform.workers.lease, platform.workers.cancel, operators.block_lease)
        self._logged_can_renew = True  # as the log has told last
        self.role = Role.NON_MEMBER
        self.leader_term: LeaderTerm | None = None
        self.no_machine_reachable: Callable[[], bool] = lambda: False  # whether this node reaches no machine
        self.members: dict[str, dict] = {}  # the nodes that are alive: their zones and incarnations
        mirror.listen(self._leader_key, self._lead_changed)
        mirror.listen(self._member_prefix, self._member_changed)

    def _member_changed(self, key: str, value: dict | None, version: int) -> None:
        name = key.removeprefix(self._member_prefix)
        if value is None:
            self.members.pop(name, None)
        else:
            self.members[name] = value

    @property
    def heartbeat_interval(self) -> timedelta:
        """How often `run_once` wants to be called."""
        return self._length / 4

    def can_renew_leases(self) -> bool:
        """Whether a 200 to a worker of a block that this node holds cannot break a rule now."""
        return self.renewal.may_renew(self._mirror.known_until, self._clock.steady())

    def log_renewal_change(self) -> None:
        """Tell the log when this node stops renewing leases, and when it does again."""
        if self._mirror.loaded and self.can_renew_leases() is not self._logged_can_renew:
            self._logged_can_renew = not self._logged_can_renew
            if self._logged_can_renew:
                log.info("leases are renewed here again")
            else:
                grace = self.renewal.grace_period.total_seconds()
                log.info("no lease is renewed here: no news of the state service for %.1f s", grace)

    def mirror_is_fresh(self) -> bool:
        """Whether the state service's news are fresh, so that what this node holds is likely still its own."""
        return self._mirror.fresh

    def run_once(self) -> bool:
        """Take or extend the hold; run for leader when nobody leads.  False if the state service would not."""
        if self._busy or not self._mirror.loaded:
            return True
        self._busy = True
        try:
            if self.role is Role.NON_MEMBER:
                self._join()
            else:
                self._extend()
                told = self._mirror.get(self._member_prefix + self._node)
                if self.role is not Role.NON_MEMBER and (told is None or told.value != self._member):
                    self._write_member_key(self._lease_id)
            if self.role is Role.FOLLOWER and self._is_leadership_vacant():
                self._run_for_leader()
            return True
        except StoreUnavailable as error:
            log.debug("no step: %s", error)
            return False
        finally:
            self._busy = False

    def _extend(self) -> None:
        try:
            self._store.extend_lease(self._lease_id, timeout=self._length / 2)
        except StoreLeaseExpired:
            self._set_role(Role.NON_MEMBER, "hold ended")
            self._join()

    def _join(self) -> None:
        """Become a member under a new hold."""
        hold = self._store.grant_lease(self._length)
        if self._write_member_key(hold):
            self._lease_id = hold
            self._set_role(Role.FOLLOWER, "member")

    def _write_member_key(self, lease: int) -> bool:
        """Write this node's member key.

        Guarded by its version: a write without an answer, of this process or
        the one before it, is carried out late or not at all, but never over a
        newer one, whose node would then count as gone with the older hold.
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
        """Who this node is, and whether it reaches no machine."""
        return self._identity | ({"deaf": True} if self.no_machine_reachable() else {})

    def _is_leadership_vacant(self) -> bool:
        """Whether nobody leads, as far as this node knows.

        Two processes never run under one name at once: a lead under this
        node's name that it does not have is that of a process that ended, or a
        candidacy of its own whose outcome it did not hear.  Whoever is back in a
        fraction of a second need not wait for that hold to end.
        """
        lead = self._mirror.get(self._leader_key)
        return lead is None or lead.value["node"] == self._node

    def _run_for_leader(self) -> None:
        entry = self._mirror.get(self._term_key)
        term = (entry.value if entry else 0) + 1
        lead = {"node": self._node, "term": term}
        outcome = self._store.commit(
            {self._leader_key: self._mirror.version(self._leader_key), self._term_key: entry.version if entry else 0},
            {self._leader_key: lead, self._term_key: term},
            leases={self._leader_key: self._lease_id},
            purpose=Purpose.COORDINATION,
        )
        if outcome.status is CommitStatus.UNKNOWN:
            # It may still make this node leader on paper: under a new hold,
            # that ends by itself.
            self._set_role(Role.NON_MEMBER, "candidacy of unknown outcome")
        if outcome.status is not CommitStatus.APPLIED:
            return
        self._mirror.put(self._term_key, term, outcome.revision)
        # The listener must already see a leader when the key comes in.
        self.leader_term = LeaderTerm(term, outcome.revision, self._clock.steady())
        self._mirror.put(self._leader_key, lead, outcome.revision)
        self._set_role(Role.LEADER, f"term {term}")

    def _lead_changed(self, key: str, value: dict | None, version: int) -> None:
        if key == self._leader_key and self.role is Role.LEADER and version != self.leader_term.leader_key_version:
            self._set_role(Role.FOLLOWER, "superseded")

    def _set_role(self, role: Role, why: str) -> None:
        """The one place where the standing changes."""
        self.role = role
        term = self._mirror.get(self._term_key)
        self._recorder.record(
            StandingChanged(
                self._node, self._identity["incarnation"], role.value, why, term.value if term else 0, self._lease_id,
                self._mirror.revision or 0,
            )
        )  # fmt: skip
        if role is not Role.LEADER:
            self.leader_term = None
        if role is Role.NON_MEMBER:
            self._lease_id = None
        self._on_change(self.leader_term)
