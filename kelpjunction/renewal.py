"""Decides when a node may answer a worker's report with 200, which renews the worker's lease.

This module holds the one inequality that cancellations depend on. It has no state and does no I/O.

A 200 lets the worker's tasks run for a whole lease, based on what the node knows. The node knows
every cancellation that was applied up to the time `known_until`. A cancellation that it does not
know was applied later than that and confirmed to its user later still. `sent` is when the worker
sent the report, `checked` is when this node made the check, and `gone` is the latest time at which
a task under this renewal ends. `grace` is `grace_period`, `kill` is `WORKER_KILL_TIMEOUT` and
`cancel` is `cancel_timeout`:

    sent <= checked < known_until + grace   by the check in `may_renew`. A lease runs from the sending
                                            of the report. The response's transit time and a pause of
                                            the node between check and response therefore add nothing.
    gone <= sent + lease + kill             no node renews the lease later, because every renewal
                                            must pass the check
    known_until < confirmed                 for each cancellation that the node does not know

    =>  gone < confirmed + (grace + lease) * CLOCK_DRIFT_FACTOR + kill  <=  confirmed + cancel

`known_until` is a time on this node's clock before it sent the request that returned the current
state, however long the answer took. It is the start of a watch, even if that watch waited through a
refusal or an outage, or the start of a read of all keys, whose first page gives the revision from
which the node watches. The node's own writes and its comparisons say nothing about other keys, so
they do not advance `known_until`.
Source: PROTOCOL, "Leases", "Delayed messages", "Outages and cuts" and the rule `ran_cancelled`.
"""

from dataclasses import dataclass
from datetime import timedelta

from kelpjunction.clock import ZERO, seconds

CLOCK_DRIFT_FACTOR = 1.001  # each of two steady clocks may be off by 0.05%, so twice that
WORKER_KILL_TIMEOUT = seconds(1.5)  # how long a worker may take to end its tasks after its lease ends
MAX_WATCH_TIMEOUT = seconds(2)  # how long a watch waits for changes
MIN_WATCH_TIMEOUT = seconds(0.05)
# Room for a watch, a pause and the next watch. With less, each brief fault of the state service ends leases.
MIN_RECOMMENDED_GRACE_PERIOD = 2 * MAX_WATCH_TIMEOUT


@dataclass(frozen=True, slots=True)
class LeaseRenewalPolicy:
    """How long a node may renew leases without an update from the state service.

    `lease` and `cancel_timeout` come from the platform's settings, `block_lease`
    from the operators'. Raises `ValueError` if `cancel_timeout` cannot be kept at
    all: an unreachable machine keeps its tasks for a whole lease in any case.
    """

    lease: timedelta
    cancel_timeout: timedelta
    block_lease: timedelta

    def __post_init__(self) -> None:
        if self._margin <= ZERO:
            raise ValueError(
                f"cancel_s must be above lease_s by more than the drift of two clocks: "
                f"cancel_s is {self.cancel_timeout.total_seconds():g} s, lease_s is {self.lease.total_seconds():g} s"
            )

    @property
    def _margin(self) -> timedelta:
        """The part of the cancellation timeout that remains after a lease, with clock drift allowed for."""
        return self.cancel_timeout / CLOCK_DRIFT_FACTOR - self.lease

    @property
    def grace_period(self) -> timedelta:
        """How long after `known_until` a node may renew; of a small margin, half is left for killing the tasks."""
        return min(self.block_lease, max(self._margin - WORKER_KILL_TIMEOUT, self._margin / 2))

    @property
    def grace_period_short(self) -> bool:
        """Whether the platform's settings leave so little time that a pause of the state service ends leases."""
        return self.grace_period < MIN_RECOMMENDED_GRACE_PERIOD

    @property
    def watch_timeout(self) -> timedelta:
        """How long a watch should wait for changes; known state ages by up to two such waits between answers."""
        return max(MIN_WATCH_TIMEOUT, min(MAX_WATCH_TIMEOUT, self.grace_period / 4))

    def may_renew(self, known_until: timedelta | None, now: timedelta) -> bool:
        """Whether a 200 sent now keeps every rule; `known_until` is None before the first read."""
        return known_until is not None and now - known_until < self.grace_period
