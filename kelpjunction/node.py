"""One controller node: builds its components and connects them."""

import logging
import random
from collections.abc import Callable
from datetime import timedelta
from functools import partial

from gevent.event import Event

from kelpjunction.blocks import BLOCK_PREFIX, Blocks
from kelpjunction.changes import ChangeTracker
from kelpjunction.clock import Clock, PauseDetector
from kelpjunction.fleet.cloud import Fleet
from kelpjunction.fleet.machine_monitor import MachineMonitor
from kelpjunction.fleet.machines import Inventory
from kelpjunction.intake import Intake
from kelpjunction.intake.confirmation import CancellationBarrier
from kelpjunction.jobs.failure_attribution import FailureAttribution
from kelpjunction.jobs.holder_scheduler import HolderScheduler
from kelpjunction.jobs.job_index import DISPATCH_PREFIX, JOB_PREFIX, RUN_PREFIX, SETTLED_PREFIX, JobIndex
from kelpjunction.jobs.leader_scheduler import LeaderScheduler
from kelpjunction.jobs.records import RecordWriter
from kelpjunction.jobs.start_permits import StartPermits
from kelpjunction.leadership import Leadership, LeaderTerm, Role
from kelpjunction.recorder import Recorder
from kelpjunction.renewal import LeaseRenewalPolicy
from kelpjunction.settings import OperatorSettings, PlatformSettings
from kelpjunction.siblings import SiblingRequests, encode_state, request_state
from kelpjunction.store.access import StoreAccessMonitor
from kelpjunction.store.catch_up import CatchUp
from kelpjunction.store.client import StoreClient, StoreUnavailable
from kelpjunction.store.mirror import LIVE_PREFIX, Mirror, Verifier
from kelpjunction.transport import Transport
from kelpjunction.wire import workers
from kelpjunction.workers.registry import WorkerRegistry

log = logging.getLogger("daemon")

WATCH_REQUEST_FRACTION = 0.3  # of the state service's request rate, for the watches of all nodes together
VERIFIER_REQUEST_FRACTION = 0.15  # of the same rate, for the mirror comparisons of all nodes together


class Node:
    """The components of one node, without servers or loops, so that tests can call them directly."""

    def __init__(
        self,
        platform: PlatformSettings,
        operators: OperatorSettings,
        transport: Transport,
        worker_transport: Transport,
        watch_transport: Transport,
        clock: Clock,
        spawn: Callable,
        pause: Callable[[timedelta], None],
        random_source: random.Random,
        spawn_exchange: Callable | None = None,
        wait: Callable[[timedelta], None] | None = None,
    ) -> None:
        spawn_exchange = spawn_exchange or spawn  # runs probes of workers and commands to them
        wait = wait or pause  # lets everything else run while a user waits for an answer
        self.platform = platform
        self.recorder = Recorder(clock)
        self._clock = clock
        self.wake = Event()
        self.pause_detector = PauseDetector(clock)
        self.store = StoreClient(transport, platform.store_address, platform.store, clock, pause, write_share=1.0)
        renewal = LeaseRenewalPolicy(platform.workers.lease, platform.workers.cancel, operators.block_lease)
        self.mirror = Mirror(self.store, clock, watch_transport, watch_timeout=renewal.watch_timeout)
        self.mirror.on_foreign_changes = lambda changes: self.store.rate_limiter.on_foreign_changes(
            changes, clock.steady()
        )
        changes = ChangeTracker()
        self.job_index = JobIndex(changes)
        failure_attribution = FailureAttribution(self.job_index, clock)
        self._failure_attribution = failure_attribution
        self.mirror.listen(LIVE_PREFIX, self.job_index.changed)
        request_rate = platform.store.rps / (len(platform.siblings) + 1)
        self.watch_rate = request_rate * WATCH_REQUEST_FRACTION
        self.verifier = Verifier(self.store, spawn, pause, request_rate * VERIFIER_REQUEST_FRACTION)
        incarnation = f"{random_source.getrandbits(64):016x}"
        self.catch_up = CatchUp(self.mirror, clock, operators.store_lease, spawn)
        self.leadership = Leadership(
            platform,
            operators,
            self.store,
            self.mirror,
            self.catch_up,
            clock,
            incarnation,
            self._on_leader_term_change,
            self.recorder,
        )
        self.blocks = Blocks(platform.node, incarnation, self.store, self.mirror, self.catch_up, clock, self.recorder)
        self.start_permits = StartPermits(self.job_index, self.mirror, self.verifier, clock, spawn_exchange)
        self.worker_registry = WorkerRegistry(
            platform.workers,
            self.job_index,
            self.blocks,
            self.leadership,
            self.start_permits,
            worker_transport,
            clock,
            spawn_exchange,
            self.wake.set,
            changes,
            self.recorder,
        )
        self.inventory = Inventory(self.mirror, self.blocks, clock, changes)
        self.machine_monitor = MachineMonitor(
            platform.workers,
            self.store,
            self.mirror,
            self.blocks,
            self.job_index,
            self.worker_registry,
            self.inventory,
            clock,
            failure_attribution,
            self.pause_detector,
            spawn_exchange,
            random_source,
            changes,
        )
        self.leadership.no_machine_reachable = lambda: self.machine_monitor.no_machine_reachable
        self.machine_monitor.on_reachability_change = self.leadership.run_once
        self.fleet = Fleet(
            platform,
            operators,
            self.store,
            self.mirror,
            self.job_index,
            failure_attribution,
            self.inventory,
            transport,
            clock,
            pause,
        )

        def sibling_requests() -> SiblingRequests:
            return SiblingRequests(platform.siblings, spawn, partial(request_state, transport))

        self.cancellation_barrier = CancellationBarrier(self.mirror, sibling_requests(), clock, wait)
        self.store_access = StoreAccessMonitor(
            self.mirror,
            sibling_requests(),
            clock,
            self.recorder,
            is_member=lambda name: name in self.leadership.members,
            higher_token_seen=lambda: self.worker_registry.higher_token_seen,
        )
        self.intake = Intake(
            platform,
            self.store,
            self.mirror,
            self.verifier,
            self.job_index,
            self.fleet,
            clock,
            self.recorder,
            self.cancellation_barrier,
            self.store_access,
        )
        self.record_writer = RecordWriter(self.store, self.mirror, self.job_index, clock, self.intake.cache_ended_job)
        self.holder_scheduler = HolderScheduler(
            platform,
            operators,
            self.record_writer,
            self.job_index,
            self.blocks,
            self.worker_registry,
            self.fleet,
            failure_attribution,
            clock,
            changes,
        )
        self.leader_scheduler = LeaderScheduler(
            platform,
            operators,
            self.store,
            self.mirror,
            self.record_writer,
            self.job_index,
            self.leadership,
            self.blocks,
            self.fleet,
            failure_attribution,
            clock,
            changes,
        )
        self.ledger_writer = None
        if operators.ledger.enabled:
            # Imported only by nodes that keep a ledger.
            from kelpjunction.ledger.writer import LedgerWriter

            self.ledger_writer = LedgerWriter(
                platform, operators.ledger, self.store, self.mirror, self.job_index, clock, watch_transport
            )
            self.leader_scheduler.team_weight_factor = self.ledger_writer.factor
        self.blocks.on_grant_gained = self._on_block_gained
        self.blocks.on_grant_usable = self._on_block_usable
        self.blocks.on_grant_lost = self.worker_registry.clear
        for prefix in (JOB_PREFIX, RUN_PREFIX, DISPATCH_PREFIX, SETTLED_PREFIX, BLOCK_PREFIX):
            self.mirror.listen(prefix, lambda key, value, version: self.wake.set())
        self.inventory.on_change = self.wake.set
        self._started_term: LeaderTerm | None = None
        self.rounds = 0

    def _on_leader_term_change(self, leader_term: LeaderTerm | None) -> None:
        self.fleet.set_leader_term(leader_term)
        if leader_term is None and self.ledger_writer is not None:
            self.ledger_writer.end()
        self.wake.set()

    def _on_block_gained(self, zone: str) -> None:
        self.holder_scheduler.on_block_gained(zone)
        self.machine_monitor.on_block_gained(zone)

    def _on_block_usable(self, zone: str) -> None:
        self.machine_monitor.settle_returned_machines()
        self.wake.set()

    @property
    def busy(self) -> bool:
        """Whether this node leads or holds a block."""
        return self.leadership.role is Role.LEADER or bool(self.blocks.held_zones())

    def watch_store(self) -> bool:
        """Wait for the next changes of the live keys and apply them; False if the state service is unavailable."""
        try:
            self.mirror.watch_once()
        except StoreUnavailable as error:
            log.debug("watch of the state service failed: %s", error)
            return False
        return True

    def handle_report(self, body: bytes) -> tuple[int, bytes]:
        """Answer a worker's report with a status and a body, or redirect the worker to the holder of its block."""
        report = workers.parse_report(body)
        if self.inventory.is_gone(report.machine):
            return 503, b"{}"  # the report was delayed by a network partition; the machine no longer exists
        holder = self.blocks.holder(report.zone)
        if self.blocks.own_grant(report.zone) is None:
            # A node with a stale mirror names no holder. Two such nodes once redirected
            # their workers to each other until the workers' leases ended.
            may_redirect = holder != self.platform.node and self.mirror.fresh
            return 421, workers.redirect_answer(holder if may_redirect else None)
        if self.store_access.proved_behind:
            # Another node holds this node's blocks or soon will, and the worker should look
            # for it at once. A presumption does not suffice: it could end the worker's lease.
            return 503, b"{}"
        return self.worker_registry.handle_report(report)

    def mirror_state(self) -> dict:
        """What this node tells a sibling that asks for the state of its mirror."""
        return encode_state(self.mirror, self._clock.steady())

    def check_store_access(self) -> None:
        """While this node's mirror is stale, find out whether only this node lacks the state service."""
        self.leadership.log_renewal_change()
        self.store_access.check()

    def stop_tasks(self) -> None:
        """Send workers the required stops, even while a round is waiting."""
        if self.mirror.loaded and self.blocks.held_zones():
            self.holder_scheduler.stop_required()

    def update_ledger(self) -> None:
        """Close the ledger periods that are due, if this node leads and keeps a ledger."""
        if self.ledger_writer is None:
            return
        try:
            self.ledger_writer.run_once()
        except StoreUnavailable as error:
            log.debug("ledger update postponed: %s", error)

    def round(self) -> bool:
        """Run one round as holder and, if this node leads, as leader; True if another should follow at once."""
        try:
            if not self.mirror.loaded or not self.record_writer.resolve_unknown_outcomes():
                return False
            self.rounds += 1
            self.record_writer.work_deferred = False
            self._failure_attribution.observe_failures()
            run_again = self.holder_scheduler.round()
            if self.machine_monitor.publish_due:
                self.machine_monitor.publish()
            leader_term = self.leadership.leader_term
            if leader_term is not None:
                if self._started_term is not leader_term:
                    if self.ledger_writer is not None:
                        self.ledger_writer.begin(leader_term)
                    self.leader_scheduler.begin(leader_term)
                    self._started_term = leader_term
                run_again = self.leader_scheduler.round() or run_again
            # Work that the rate limiter deferred is not retried at once.
            return run_again and not self.record_writer.work_deferred
        except StoreUnavailable as error:
            log.debug("round aborted: %s", error)
            return False
