"""One budget for what a node asks of the state service: who writes next, and who waits for how long.

Pure: values in, decisions out; no clock and no I/O.  The service refuses
changes above a rate and lets one second's worth go at once: a token bucket
that all nodes draw from.  Each node keeps a picture of it (`TokenBucket`): what it
spent itself, what it sees others spend in the news that it follows anyway,
and what a refusal tells.  So nodes share the rate by need without talking.

What is left goes by purpose, with trunk reservation: the less urgent a
purpose, the more must be left over for others before it may take any.  What
has waited for its patience needs nothing left over any more, and then goes
before all but what a rule hangs on: each purpose has a share, however busy
the others are.  docs/budget.md weighs this against other ways.
"""

from collections import Counter
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from kelpjunction.clock import ZERO, seconds

SAFETY = 0.97  # of the rate: two clocks drift, and news of what others spend come late
THROTTLED_STATE_DURATION = timedelta(seconds=2)  # how long after a denial or a refusal the budget counts as short
PENDING_REQUEST_TTL = timedelta(seconds=1)  # what does not ask again has gone: its writer found nothing left to write


class Purpose(Enum):
    """What a write is for; in the order of urgency."""

    COORDINATION = "hold"  # memberships, leads, grants, tokens: a rule or the leader hangs on them
    CANCEL_OR_FENCE = "settle"  # cancellations by users, and fences
    SUBMIT = "submit"  # a user waits for the answer
    CLOUD = "cloud"  # what is rented and returned: few changes, and each machine costs money
    SERVICE = "service"  # starts, results and hand-overs of services
    GANG = "gang"
    ARRAY = "array"
    RESULT = "result"  # ends and results
    MACHINE_STATE = "fact"  # machines' states
    BEST_EFFORT = "spare"  # images, snapshots: they only help


class PurposePolicy:
    """What a purpose must leave to others, and how long it may be put off."""

    __slots__ = ("max_delay", "reserved_fraction")

    def __init__(self, leaves: float, patience: float) -> None:
        self.reserved_fraction = leaves  # of a second's worth
        self.max_delay = seconds(patience)


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
# What waits for nobody: a hold that is not extended ends, and a cancellation that is not
# written down is not acted on.
UNTHROTTLED_PURPOSES = frozenset({Purpose.COORDINATION, Purpose.CANCEL_OR_FENCE})


class LimiterState(Enum):
    """How the budget stands; `WriteRateLimiter._update_state` makes every change."""

    UNTHROTTLED = "ample"
    THROTTLED = "short"  # something had to wait of late
    REFUSED = "refused"  # the service refused something of late


class TokenBucket:
    """What the state service would take now, as this node sees it."""

    __slots__ = ("_at", "burst", "level", "rate")

    def __init__(self, rate: float, now: timedelta) -> None:
        self.rate = rate * SAFETY
        self.burst = self.level = rate
        self._at = now

    def refill(self, now: timedelta) -> None:
        if now > self._at:
            self.level = min(self.burst, self.level + self.rate * (now - self._at).total_seconds())
            self._at = now

    def consume(self, changes: float) -> None:
        """Changes that this node sent, or saw others have applied: never less than empty."""
        self.level = max(0.0, self.level - changes)

    def on_refusal(self, changes: float) -> None:
        """The service had room for fewer than these: somewhere between none and all but one of them."""
        self.level = min(self.level, changes / 2 if changes > 1 else 0.0)


@dataclass(slots=True)
class _PendingRequest:
    """What waits of one purpose: since when, and how much it needs at the least."""

    since: timedelta
    asked_at: timedelta
    needs: float


class WriteRateLimiter:
    """A node's share of the state service's changes, by purpose."""

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
        """What may be asked for at once at the most."""
        return self._bucket.burst

    def waiting(self, now: timedelta) -> list[Purpose]:
        """What waits for its turn, the most urgent first."""
        return [purpose for purpose in Purpose if self._pending_request(purpose, now) is not None]

    def on_foreign_changes(self, changes: int, now: timedelta) -> None:
        """Other nodes had so many changes applied, as the news tell."""
        self._bucket.refill(now)
        self._bucket.consume(changes)

    def available_changes(self, purpose: Purpose, now: timedelta) -> int:
        """How many changes this purpose may send now; asking counts nothing."""
        self._bucket.refill(now)
        if purpose in UNTHROTTLED_PURPOSES:
            return int(self._bucket.burst)
        left = self._bucket.level - self._reserved_level(purpose, now)
        if not self._overdue(purpose, now):
            # Whoever has waited for too long goes first, or large requests would starve behind small ones.
            left -= sum(
                self._pending_requests[p].needs
                for p in self._pending_requests
                if p is not purpose and self._overdue(p, now)
            )
        return max(0, int(left + 1e-9))

    def try_reserve(self, purpose: Purpose, changes: int, now: timedelta) -> bool:
        """Whether so many changes may be sent now; if so they count as sent."""
        changes = min(changes, int(self.burst))
        if self.available_changes(purpose, now) >= changes:
            self._pending_requests.pop(purpose, None)
            self._bucket.consume(changes)
            self.spent[purpose] += changes
            self._update_state(now)
            return True
        self.denied[purpose] += 1
        queue = self._pending_request(purpose, now)
        if queue is None:
            self._pending_requests[purpose] = _PendingRequest(now, now, changes)
        else:
            queue.needs, queue.asked_at = min(queue.needs, changes), now
        self._denied_at = now
        self._update_state(now)
        return False

    def delay(self, purpose: Purpose, changes: int, now: timedelta) -> timedelta:
        """When asking again may succeed, at the earliest."""
        lacking = min(changes, self.burst) - self.available_changes(purpose, now)
        return seconds(lacking / self._bucket.rate) if lacking > 0 else ZERO

    def on_refusal(self, purpose: Purpose, changes: int, now: timedelta) -> None:
        """The service refused: nothing was spent, and what others spent was not all seen."""
        self._bucket.refill(now)
        self._bucket.on_refusal(changes)
        self.spent[purpose] -= changes
        self.refusals[purpose] += 1
        self._refused_at = now
        self._update_state(now)

    def _reserved_level(self, purpose: Purpose, now: timedelta) -> float:
        """What must be left over; it shrinks to nothing while the purpose waits."""
        terms, queue = PURPOSE_POLICIES[purpose], self._pending_request(purpose, now)
        share = 1.0 if queue is None else max(0.0, 1.0 - (now - queue.since) / terms.max_delay)
        return terms.reserved_fraction * share * self._bucket.burst

    def _pending_request(self, purpose: Purpose, now: timedelta) -> _PendingRequest | None:
        queue = self._pending_requests.get(purpose)
        return None if queue is None or now - queue.asked_at > PENDING_REQUEST_TTL else queue

    def _overdue(self, purpose: Purpose, now: timedelta) -> bool:
        queue = self._pending_request(purpose, now)
        return queue is not None and now - queue.since >= PURPOSE_POLICIES[purpose].max_delay

    def _update_state(self, now: timedelta) -> None:
        """The one place where the budget's state changes."""
        if now - self._refused_at < THROTTLED_STATE_DURATION:
            self.state = LimiterState.REFUSED
        elif now - self._denied_at < THROTTLED_STATE_DURATION:
            self.state = LimiterState.THROTTLED
        else:
            self.state = LimiterState.UNTHROTTLED
