"""Decides whether a node that gets no updates from the state service should leave requests to other nodes.

A node cannot distinguish an outage of the state service from a 503 that only it receives.  In an outage for all
nodes every node must stay in the load balancer: leaving it serves nobody and costs a pause afterwards, which doubles
with each removal.  A node that is cut off alone must leave it, because the balancer keeps the connections of its users
there, and they get no answers.  What this node concludes from siblings and workers:

    a sibling is fresh and ahead of this node       another node can serve: proof
    a worker has seen a higher token                another node was granted this node's block: proof
    every sibling has answered, and none is ahead   an outage for all nodes
    a sibling does not answer                       nothing for `MAX_SIBLING_SILENCE`, in which it may restart or be cut
                                                    off briefly; then it may be one that serves, so this node leaves
    a sibling does not answer, and was no member    the same after `MAX_ABSENT_SIBLING_SILENCE`: it was down, and is
    when this node's mirror was last fresh          probably still down; but it may have started and serve

One silent sibling suffices: two nodes that are cut off together hear each other, and one node can serve all users.
Proof and presumption hold until this node's own mirror is fresh again, so a node leaves the load balancer at most once
in each period without updates.
Source: PROTOCOL, "Users -> controller nodes", "Outages and cuts" and the rule `forgotten`.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from functools import partial

from kelpjunction.clock import ZERO, Clock, seconds
from kelpjunction.recorder import Event, Recorder
from kelpjunction.settings import Sibling
from kelpjunction.siblings import SiblingRequests, SiblingState
from kelpjunction.store.mirror import STALE_AFTER, Mirror

log = logging.getLogger("store")

CHECK_INTERVAL = seconds(1)
# Longer than a sibling's restart or a brief cut.  With the time until the load balancer resets the connections and
# users poll again, it leaves half of the 90 s after which an unanswered job counts as forgotten.
MAX_SIBLING_SILENCE = seconds(30)
# For a sibling that was no member.  With all that comes after it, it still stays below those 90 s.
MAX_ABSENT_SIBLING_SILENCE = seconds(60)
# The time that one check may add to a sibling's silence.  A longer time since the last check means that this
# process was paused and could hear nobody.
MAX_SILENCE_PER_CHECK = 2 * CHECK_INTERVAL


class StoreAccess(Enum):
    """This node's access to the state service, compared with its siblings'; only `_become` changes it."""

    CURRENT = "current"  # its mirror is fresh
    SHARED_OUTAGE = "shared_outage"  # its mirror is stale, and nothing shows that another node's is not
    BEHIND = "behind"  # its mirror is stale, and another node is proved to be ahead
    ISOLATED = "isolated"  # its mirror is stale, and a sibling has been silent for too long


LEAVE_LOAD_BALANCER = frozenset({StoreAccess.BEHIND, StoreAccess.ISOLATED})


@dataclass(frozen=True, slots=True)
class StoreAccessChanged(Event):
    """Recorded when a node's access to the state service changes; `silent` names the siblings without an answer."""

    access: str
    reason: str
    silent: str
    revision: int


def is_ahead(sibling: SiblingState, asked_at: timedelta, known_until: timedelta) -> bool:
    """Whether a sibling's mirror is fresh and was current for more than `STALE_AFTER` longer than this node's.

    `asked_at` is this node's steady time before it asked, `known_until` that until which its own mirror is current.
    At the beginning of an outage for all nodes the mirrors differ by up to the duration of a watch, so a sibling
    whose mirror is merely still fresh proves nothing.  A fresh mirror of unknown age is less than `STALE_AFTER` old.
    """
    age = STALE_AFTER if sibling.age is None else sibling.age
    return sibling.fresh and asked_at - age > known_until + STALE_AFTER


class StoreAccessMonitor:
    """Tracks this node's access to the state service; while its mirror is stale, it asks all siblings.

    `is_member` tells whether a node was a member when the mirror was last fresh, and `higher_token_seen` whether a
    worker of this node's blocks has seen a higher token than this node's.
    """

    def __init__(
        self,
        mirror: Mirror,
        siblings: SiblingRequests,
        clock: Clock,
        recorder: Recorder,
        is_member: Callable[[str], bool],
        higher_token_seen: Callable[[], bool] = lambda: False,
    ) -> None:
        self._mirror = mirror
        self._siblings = siblings
        self._clock = clock
        self._recorder = recorder
        self._is_member = is_member
        self._higher_token_seen = higher_token_seen
        self._checked_at = clock.steady()
        self._silence: dict[str, timedelta] = {}  # by sibling: time without an answer while this node's mirror is stale
        self.access = StoreAccess.CURRENT

    @property
    def proved_behind(self) -> bool:
        """Whether this node's mirror is stale and another node is proved to be ahead."""
        return self.access is StoreAccess.BEHIND and not self._mirror.fresh

    @property
    def should_serve(self) -> bool:
        """Whether this node should receive requests, as far as its access to the state service decides that."""
        return self._mirror.fresh or self.access not in LEAVE_LOAD_BALANCER

    def check(self) -> None:
        """Ask the siblings while this node's mirror is stale; to be called every `CHECK_INTERVAL`."""
        now = self._clock.steady()
        elapsed = min(now - self._checked_at, MAX_SILENCE_PER_CHECK)
        self._checked_at = now
        if self._mirror.fresh:
            self._become(StoreAccess.CURRENT, "the mirror is fresh")
            self._silence.clear()
        elif self._mirror.loaded:
            self._check_siblings(now, elapsed)

    def _check_siblings(self, now: timedelta, elapsed: timedelta) -> None:
        if self.access is StoreAccess.CURRENT:
            self._become(StoreAccess.SHARED_OUTAGE, "the mirror is stale")
            elapsed = ZERO
        if self._higher_token_seen():
            self._become(StoreAccess.BEHIND, "a worker has seen a higher token")
        for sibling in self._siblings.siblings:
            self._silence[sibling.node] = self._silence.get(sibling.node, ZERO) + elapsed
            self._siblings.ask(sibling, partial(self._on_answer, sibling, now))
        if self.access is StoreAccess.SHARED_OUTAGE and any(map(self._is_silent_for_too_long, self._silence)):
            self._become(StoreAccess.ISOLATED, "a sibling has been silent for too long")

    def _is_silent_for_too_long(self, sibling: str) -> bool:
        limit = MAX_SIBLING_SILENCE if self._is_member(sibling) else MAX_ABSENT_SIBLING_SILENCE
        return self._silence[sibling] > limit

    def _on_answer(self, sibling: Sibling, asked_at: timedelta, state: SiblingState) -> None:
        if self._mirror.fresh:
            return
        self._silence[sibling.node] = ZERO
        if is_ahead(state, asked_at, self._mirror.known_until):
            self._become(StoreAccess.BEHIND, f"{sibling.node} is ahead")

    def _become(self, access: StoreAccess, reason: str) -> None:
        """Change `access` and record it, and log whether this node serves; nothing else sets `access`."""
        if access is self.access:
            return
        left_before = self.access in LEAVE_LOAD_BALANCER
        self.access = access
        silent = ",".join(sorted(node for node, silence in self._silence.items() if silence > ZERO))
        self._recorder.record(StoreAccessChanged(access.value, reason, silent, self._mirror.revision or 0))
        if access in LEAVE_LOAD_BALANCER and not left_before:
            log.info("this node leaves the load balancer: %s; siblings without an answer: %s", reason, silent or "none")
        elif left_before and access not in LEAVE_LOAD_BALANCER:
            log.info("this node takes requests again: %s", reason)
