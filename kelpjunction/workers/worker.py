"""What the holder of a block knows of one worker."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta

from kelpjunction.blocks import Grant
from kelpjunction.clock import ZERO, seconds
from kelpjunction.renewal import CLOCK_DRIFT_FACTOR
from kelpjunction.wire.messages import TaskId, TaskReport
from kelpjunction.workers.fencing import Attempt, StartFence
from kelpjunction.workers.reachability import ReachabilityTracker, Watermark

LEASE_END_MARGIN = seconds(1)


@dataclass(slots=True)
class Worker:
    """One worker, as the holder of its block knows it from its reports."""

    machine: str
    address: str
    zone: str
    reachability_tracker: ReachabilityTracker
    fence: StartFence
    session: int = 0
    token: int = 0  # the highest that a message of any of its processes showed
    proved_token: int = 0  # the one in its newest response: its present process has seen it
    last_report_at: timedelta = ZERO
    lease_renewed_at: timedelta | None = None  # latest time at which its lease may have been renewed
    reclaim_at: timedelta | None = None  # announced time at which the cloud reclaims the machine
    unanswered_commands: Counter[Attempt] = field(default_factory=Counter)  # sent directly and not answered yet
    tasks: dict[TaskId, list[TaskReport]] = field(default_factory=dict)
    images: dict[str, float] = field(default_factory=dict)  # size in GB, 0 if unknown; the most recently used last

    @property
    def watermark(self) -> Watermark:
        """What the worker has shown until now."""
        return Watermark(self.reachability_tracker.newest, self.token)

    def reported_tasks(self) -> Iterator[TaskReport]:
        """The attempts that its newest message lists."""
        for attempts in self.tasks.values():
            yield from attempts


def lease_end(worker: Worker | None, grant: Grant, grace_period: timedelta, lease: timedelta) -> timedelta:
    """The time by which a worker's lease has ended if no node renews it from now on; None is a worker never heard from.

    Until a response of the worker has shown a token of the grant, the previous holder may have renewed its lease for
    `grace_period`, as long as it may without news of the state service.
    """
    renewed = worker.lease_renewed_at if worker else None
    if worker is None or worker.proved_token < grant.token:
        previous_holder_until = grant.since + grace_period
        renewed = previous_holder_until if renewed is None else max(renewed, previous_holder_until)
    if renewed is None:
        renewed = worker.last_report_at
    return renewed + lease * CLOCK_DRIFT_FACTOR + LEASE_END_MARGIN
