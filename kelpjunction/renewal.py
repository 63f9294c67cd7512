"""When a node may say 200 to a worker: the one inequality that cancellations rest on, pure.

A 200 lets the worker's tasks go on for a whole lease, on the strength of what the node knows.  It
knows every cancellation that was applied up to a moment, `known_until`; what it does not know was
applied later, and so was confirmed to its user later still.  With the report `sent`, the check made
by this node, and a task `gone` under that renewal at the latest:

    sent <= checked < known_to + grace      the check below; a lease runs from the report's sending,
                                            so the answer's way, and a node that stands still between
                                            its check and its answer, add nothing
    gone <= sent + lease + kill             nobody renews it later: each renewal passes the check
    known_to < confirmed                    for each cancellation that the node does not know

    =>  gone < confirmed + (grace + lease) * DRIFT + kill  <=  confirmed + cancel

`known_until` is a moment of this node's clock before the request left whose answer said how things
stand, whatever time the answer took: the opening of a watch, also of one that waited through a
refusal or an outage; the beginning of a read of all keys, whose first page's revision is followed
from.  A write of one's own and a comparison say nothing of other keys and move it not at all.
Source: PROTOCOL, "Leases", "Delayed messages", "Outages and cuts" and the rule `ran_cancelled`.
"""

from dataclasses import dataclass
from datetime import timedelta

from kelpjunction.clock import ZERO, seconds

DRIFT = 1.001  # twice the 0.05% that each of two steady clocks may be off
WORKER_KILL_TIMEOUT = seconds(1.5)  # what a worker may take to end its tasks once its lease is over
MAX_WATCH_TIMEOUT = seconds(2)  # how long a watch waits for news
MIN_WATCH_TIMEOUT = seconds(0.05)
# With less, each hiccup of the state service costs leases: a watch, a pause and the next watch fit in.
MIN_COMFORTABLE_GRACE = 2 * MAX_WATCH_TIMEOUT


@dataclass(frozen=True, slots=True)
class LeaseRenewalPolicy:
    """How long a node may renew leases without news of the state service.

    `lease` and `cancel` are the platform's, `block_lease` the operators'.
    Raises `ValueError` if `cancel` can't be kept at all, since a machine that
    is cut off keeps its tasks for a lease whatever anybody does.
    """

    lease: timedelta
    cancel_timeout: timedelta
    block_lease: timedelta

    def __post_init__(self) -> None:
        if self._room <= ZERO:
            raise ValueError(
                f"cancel_s must be above lease_s by more than the drift of two clocks: "
                f"{self.cancel_timeout.total_seconds():g} s leave nothing beyond {self.lease.total_seconds():g} s"
            )

    @property
    def _room(self) -> timedelta:
        """What a cancellation's time leaves beyond a lease."""
        return self.cancel_timeout / DRIFT - self.lease

    @property
    def grace_period(self) -> timedelta:
        """How long after `known_until` a node may renew; of little room a half is left to the kill."""
        return min(self.block_lease, max(self._room - WORKER_KILL_TIMEOUT, self._room / 2))

    @property
    def grace_period_short(self) -> bool:
        """Whether the platform's numbers leave so little that a pause of the state service ends leases."""
        return self.grace_period < MIN_COMFORTABLE_GRACE

    @property
    def watch_timeout(self) -> timedelta:
        """How long a watch should wait for news: what is known ages by two of them between answers."""
        return max(MIN_WATCH_TIMEOUT, min(MAX_WATCH_TIMEOUT, self.grace_period / 4))

    def may_renew(self, known_until: timedelta | None, now: timedelta) -> bool:
        """Whether a 200 said now breaks no rule; `known_until` is None before anything was read."""
        return known_until is not None and now - known_until < self.grace_period
