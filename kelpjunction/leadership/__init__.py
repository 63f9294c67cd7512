"""Who is alive and who leads: election by a held key, terms, takeover.

Owns this node's hold, its `Standing` and, while it leads, its `Reign`.  The
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

from kelpjunction.budget import Purpose
from kelpjunction.clock import Clock
from kelpjunction.recorder import Event, Recorder
from kelpjunction.renewal import Renewal
from kelpjunction.settings import Operators, Platform
from kelpjunction.store.client import Ending, HoldLost, StoreClient, StoreDown
from kelpjunction.store.mirror import LIVE, Mirror

log = logging.getLogger("leadership")

LEAD_KEY = LIVE + "lead"


class Standing(Enum):
    """What this node is; `_stand` makes every change."""

    OUTSIDE = "outside"  # without a hold
    FOLLOWER = "follower"
    LEADER = "leader"


@dataclass(slots=True)
class Reign:
    """One node's time as leader."""

    term: int
    lead_version: int
    began: timedelta


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
        platform: Platform,
        operators: Operators,
        store: StoreClient,
        mirror: Mirror,
        clock: Clock,
        incarnation: str,
        on_change: Callable[[Reign | None], None],
        recorder: Recorder,
        prefix: str = LIVE,
    ) -> None:
        self._recorder = recorder
        self._lead_key, self._member_prefix, self._term_key = (prefix + name for name in ("lead", "node/", "term"))
        self._node = platform.node
        self._identity = {"zone": platform.zone, "incarnation": incarnation}
        self._length = operators.hold
        self._store = store
        self._mirror = mirror
        self._clock = clock
        self._on_change = on_change
        self._hold: int | None = None
        self._busy = False
        self.renewal = Renewal(platform.workers.lease, platform.workers.cancel, operators.block_lease)
        self._touching = True  # as the log has told last
        self.standing = Standing.OUTSIDE
        self.reign: Reign | None = None
        self.is_deaf: Callable[[], bool] = lambda: False  # whether this node reaches no machine
        self.members: dict[str, dict] = {}  # the nodes that are alive: their zones and incarnations
        mirror.listen(self._lead_key, self._lead_changed)
        mirror.listen(self._member_prefix, self._member_changed)

    def _member_changed(self, key: str, value: dict | None, version: int) -> None:
        name = key.removeprefix(self._member_prefix)
        if value is None:
            self.members.pop(name, None)
        else:
            self.members[name] = value

    @property
    def beat(self) -> timedelta:
        """How often `step` wants to be called."""
        return self._length / 4

    def in_touch(self) -> bool:
        """Whether a 200 to a worker of a block that this node holds cannot break a rule now."""
        return self.renewal.may_renew(self._mirror.fresh_at, self._clock.steady())

    def note_touch(self) -> None:
        """Tell the log when this node stops renewing leases, and when it does again."""
        if self._mirror.loaded and self.in_touch() is not self._touching:
            self._touching = not self._touching
            if self._touching:
                log.info("leases are renewed here again")
            else:
                grace = self.renewal.grace.total_seconds()
                log.info("no lease is renewed here: no news of the state service for %.1f s", grace)

    def informed(self) -> bool:
        """Whether the state service's news are fresh, so that what this node holds is likely still its own."""
        return self._mirror.fresh

    def step(self) -> bool:
        """Take or extend the hold; run for leader when nobody leads.  False if the state service would not."""
        if self._busy or not self._mirror.loaded:
            return True
        self._busy = True
        try:
            if self.standing is Standing.OUTSIDE:
                self._join()
            else:
                self._extend()
                told = self._mirror.get(self._member_prefix + self._node)
                if self.standing is not Standing.OUTSIDE and (told is None or told.value != self._member):
                    self._tell(self._hold)
            if self.standing is Standing.FOLLOWER and self._vacant():
                self._run_for_leader()
            return True
        except StoreDown as error:
            log.debug("no step: %s", error)
            return False
        finally:
            self._busy = False

    def _extend(self) -> None:
        try:
            self._store.extend_hold(self._hold, timeout=self._length / 2)
        except HoldLost:
            self._stand(Standing.OUTSIDE, "hold ended")
            self._join()

    def _join(self) -> None:
        """Become a member under a new hold."""
        hold = self._store.take_hold(self._length)
        if self._tell(hold):
            self._hold = hold
            self._stand(Standing.FOLLOWER, "member")

    def _tell(self, hold: int) -> bool:
        """Write this node's member key.

        Guarded by its version: a write without an answer, of this process or
        the one before it, is carried out late or not at all, but never over a
        newer one, whose node would then count as gone with the older hold.
        """
        key, member = self._member_prefix + self._node, self._member
        for _ in range(2):
            guards = {key: self._mirror.version(key)}
            outcome = self._store.commit(guards, {key: member}, holds={key: hold}, purpose=Purpose.HOLD)
            if outcome.ending is Ending.APPLIED:
                self._mirror.put(key, member, outcome.revision)
                return True
            if outcome.ending is not Ending.CONFLICT:
                return False
            self._mirror.refresh(key)
        return False

    @property
    def _member(self) -> dict:
        """Who this node is, and whether it reaches no machine."""
        return self._identity | ({"deaf": True} if self.is_deaf() else {})

    def _vacant(self) -> bool:
        """Whether nobody leads, as far as this node knows.

        Two processes never run under one name at once: a lead under this
        node's name that it does not have is that of a process that ended, or a
        candidacy of its own whose outcome it did not hear.  Whoever is back in a
        fraction of a second need not wait for that hold to end.
        """
        lead = self._mirror.get(self._lead_key)
        return lead is None or lead.value["node"] == self._node

    def _run_for_leader(self) -> None:
        entry = self._mirror.get(self._term_key)
        term = (entry.value if entry else 0) + 1
        lead = {"node": self._node, "term": term}
        outcome = self._store.commit(
            {self._lead_key: self._mirror.version(self._lead_key), self._term_key: entry.version if entry else 0},
            {self._lead_key: lead, self._term_key: term},
            holds={self._lead_key: self._hold},
            purpose=Purpose.HOLD,
        )
        if outcome.ending is Ending.UNKNOWN:
            # It may still make this node leader on paper: under a new hold,
            # that ends by itself.
            self._stand(Standing.OUTSIDE, "candidacy of unknown outcome")
        if outcome.ending is not Ending.APPLIED:
            return
        self._mirror.put(self._term_key, term, outcome.revision)
        # The listener must already see a leader when the key comes in.
        self.reign = Reign(term, outcome.revision, self._clock.steady())
        self._mirror.put(self._lead_key, lead, outcome.revision)
        self._stand(Standing.LEADER, f"term {term}")

    def _lead_changed(self, key: str, value: dict | None, version: int) -> None:
        if key == self._lead_key and self.standing is Standing.LEADER and version != self.reign.lead_version:
            self._stand(Standing.FOLLOWER, "superseded")

    def _stand(self, standing: Standing, why: str) -> None:
        """The one place where the standing changes."""
        self.standing = standing
        term = self._mirror.get(self._term_key)
        self._recorder.note(
            StandingChanged(
                self._node, self._identity["incarnation"], standing.value, why, term.value if term else 0, self._hold,
                self._mirror.revision or 0,
            )
        )  # fmt: skip
        if standing is not Standing.LEADER:
            self.reign = None
        if standing is Standing.OUTSIDE:
            self._hold = None
        self._on_change(self.reign)
