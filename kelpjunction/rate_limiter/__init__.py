"""The rate limiter for a node's writes to the state service: which purpose writes next, and how long others wait.

The code is pure: it uses no clock and does no I/O.  The service refuses
changes above a rate and allows a burst of one second's worth: a token bucket
that all nodes share.  Each node keeps an estimate of it (`TokenBucket`) from
the changes that it sent, the changes of others that it sees in the updates it
follows anyway, and refusals.  So nodes share the rate by need without
communicating.

The available rate is divided by purpose, with trunk reservation: the less
urgent a purpose, the more must remain for others before it may write.  A
purpose that has waited for its maximum delay needs no remainder any more.  It
then precedes all purposes except the unthrottled ones, on which correctness
depends.  So each purpose gets a share, however busy the others are.
docs/budget.md compares this with alternatives.
"""

from collections import Counter
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from kelpjunction.clock import ZERO, seconds

RATE_SAFETY_FACTOR = 0.97  # fraction of the rate: clocks drift, and updates about the changes of others arrive late
THROTTLED_STATE_DURATION = timedelta(seconds=2)  # how long a denial or a refusal determines the limiter's state
PENDING_REQUEST_TTL = timedelta(seconds=1)  # a request not repeated is dropped: its writer has nothing left to write


class Purpose(Enum):
    """The purpose of a write, most urgent first."""

    COORDINATION = "hold"  # memberships, leadership, grants, tokens: correctness or the leader depends on them
    CANCEL_OR_FENCE = "settle"  # cancellations by users, and fencing
    SUBMIT = "submit"  # submissions: a user waits for the response
    CLOUD = "cloud"  # rentals and returns of machines: few changes, and each machine costs money
    SERVICE = "service"  # starts, results and dispatches of services
    GANG = "gang"
    ARRAY = "array"
    RESULT = "result"  # ends and results of tasks
    MACHINE_STATE = "fact"  # machines' states
    BEST_EFFORT = "spare"  # images and snapshots: useful but not required


class PurposePolicy:
    """The capacity that a purpose must leave to others, and its maximum delay."""

    __slots__ = ("max_delay", "reserved_fraction")

    def __init__(self, reserved_fraction: float, max_delay_s: float) -> None:
        self.reserved_fraction = reserved_fraction  # of the burst, which is one second's worth of changes
        self.max_delay = seconds(max_delay_s)


PURPOSE_POLICIES = {
    Purpose.COORDINATION: PurposePolicy(0.0, 0.0),
    Purpose.CANCEL_OR_FENCE: PurposePolicy(0.0, 0.5),
    Purpose.SUBMIT: PurposePolicy(0.05, 1.0),
    Purpose.CLOUD: PurposePolicy(0.1, 1.0),
    Purpose.SERVICE: PurposePolicy(0.1, 1.0),
    Purpose.GANG: PurposePolicy(0.15, 2.0),
    Purpose.ARRAY: PurposePolicy(0.25, 3.0),
    Purpose.RESULT: PurposePolicy(0.25, 2.0),
    Purpose.MACHINE_STATE: PurposePolicy(0.1, 1.0),
    Purpose.BEST_EFFORT: PurposePolicy(0.6, 20.0),
}
# These never wait: a store lease that is not renewed expires, and a cancellation is not acted on before it is
# written.
UNTHROTTLED_PURPOSES = frozenset({Purpose.COORDINATION, Purpose.CANCEL_OR_FENCE})


class LimiterState(Enum):
    """The state of the limiter; only `WriteRateLimiter._update_state` changes it."""

    UNTHROTTLED = "ample"
    THROTTLED = "short"  # a request was denied recently
    REFUSED = "refused"  # the state service refused a write recently


class TokenBucket:
    """A node's estimate of how many changes the state service accepts now."""

    __slots__ = ("_at", "burst", "level", "rate")

    def __init__(self, rate: float, now: timedelta) -> None:
        self.rate = rate * RATE_SAFETY_FACTOR
        self.burst = self.level = rate
        self._at = now

    def refill(self, now: timedelta) -> None:
        if now > self._at:
            self.level = min(self.burst, self.level + self.rate * (now - self._at).total_seconds())
            self._at = now

    def consume(self, changes: float) -> None:
        """Subtract changes that this node sent or saw applied for others.  The level does not fall below 0."""
        self.level = max(0.0, self.level - changes)

    def on_refusal(self, changes: float) -> None:
        """Lower the estimate: the service had room for between 0 and `changes - 1` changes."""
        self.level = min(self.level, changes / 2 if changes > 1 else 0.0)


@dataclass(slots=True)
class _PendingRequest:
    """A purpose's waiting writes: since when they wait, and the changes that the smallest of them needs."""

    since: timedelta
    asked_at: timedelta
    min_changes: float


class WriteRateLimiter:
    """Limits a node's changes to the state service by purpose, and counts them."""

    def __init__(self, rate: float, now: timedelta) -> None:
        self._bucket = TokenBucket(rate, now)
        self._pending_requests: dict[Purpose, _PendingRequest] = {}
        self._denied_at = self._refused_at = now - THROTTLED_STATE_DURATION
        self.state = LimiterState.UNTHROTTLED
        self.spent: Counter[Purpose] = Counter()
        self.denied: Counter[Purpose] = Counter()
        self.refusals: Counter[Purpose] = Counter()

    @property
    def burst(self) -> float:
        """The largest number of changes that can be requested at once."""
        return self._bucket.burst

    def waiting(self, now: timedelta) -> list[Purpose]:
        """The purposes with a waiting request, most urgent first."""
        return [purpose for purpose in Purpose if self._pending_request(purpose, now) is not None]

    def on_foreign_changes(self, changes: int, now: timedelta) -> None:
        """Subtract changes of other nodes that this node has seen applied."""
        self._bucket.refill(now)
        self._bucket.consume(changes)

    def available_changes(self, purpose: Purpose, now: timedelta) -> int:
        """How many changes this purpose may send now, without reserving them."""
        self._bucket.refill(now)
        if purpose in UNTHROTTLED_PURPOSES:
            return int(self._bucket.burst)
        left = self._bucket.level - self._reserved_level(purpose, now)
        if not self._overdue(purpose, now):
            # Overdue purposes go first, because large requests would starve behind small ones otherwise.
            left -= sum(
                self._pending_requests[p].min_changes
                for p in self._pending_requests
                if p is not purpose and self._overdue(p, now)
            )
        return max(0, int(left + 1e-9))

    def try_reserve(self, purpose: Purpose, changes: int, now: timedelta) -> bool:
        """Reserve changes to send now.  If that is not possible, return False and register the purpose as waiting."""
        changes = min(changes, int(self.burst))
        if self.available_changes(purpose, now) >= changes:
            self._pending_requests.pop(purpose, None)
            self._bucket.consume(changes)
            self.spent[purpose] += changes
            self._update_state(now)
            return True
        self.denied[purpose] += 1
        pending = self._pending_request(purpose, now)
        if pending is None:
            self._pending_requests[purpose] = _PendingRequest(now, now, changes)
        else:
            pending.min_changes, pending.asked_at = min(pending.min_changes, changes), now
        self._denied_at = now
        self._update_state(now)
        return False

    def delay(self, purpose: Purpose, changes: int, now: timedelta) -> timedelta:
        """The shortest time after which a new request may succeed."""
        missing = min(changes, self.burst) - self.available_changes(purpose, now)
        return seconds(missing / self._bucket.rate) if missing > 0 else ZERO

    def on_refusal(self, purpose: Purpose, changes: int, now: timedelta) -> None:
        """Account for a refusal: nothing was spent, and other nodes spent more than this node has seen."""
        self._bucket.refill(now)
        self._bucket.on_refusal(changes)
        self.spent[purpose] -= changes
        self.refusals[purpose] += 1
        self._refused_at = now
        self._update_state(now)

    def _reserved_level(self, purpose: Purpose, now: timedelta) -> float:
        """The level that this purpose must leave to others; it falls to 0 during the purpose's maximum delay."""
        policy, pending = PURPOSE_POLICIES[purpose], self._pending_request(purpose, now)
        share = 1.0 if pending is None else max(0.0, 1.0 - (now - pending.since) / policy.max_delay)
        return policy.reserved_fraction * share * self._bucket.burst

    def _pending_request(self, purpose: Purpose, now: timedelta) -> _PendingRequest | None:
        pending = self._pending_requests.get(purpose)
        return None if pending is None or now - pending.asked_at > PENDING_REQUEST_TTL else pending

    def _overdue(self, purpose: Purpose, now: timedelta) -> bool:
        pending = self._pending_request(purpose, now)
        return pending is not None and now - pending.since >= PURPOSE_POLICIES[purpose].max_delay

    def _update_state(self, now: timedelta) -> None:
        """Set the limiter's state; nothing else changes it."""
        if now - self._refused_at < THROTTLED_STATE_DURATION:
            self.state = LimiterState.REFUSED
        elif now - self._denied_at < THROTTLED_STATE_DURATION:
            self.state = LimiterState.THROTTLED
        else:
            self.state = LimiterState.UNTHROTTLED
