"""One controller node: wires the slices together and runs their loops."""

import gc
import logging
import random
from collections.abc import Callable
from datetime import timedelta

import gevent
from gevent.event import Event
from gevent.pool import Pool

from kelpjunction.blocks import BLOCK_PREFIX, Blocks
from kelpjunction.changes import ChangeTracker
from kelpjunction.clock import HEARTBEAT_INTERVAL, ZERO, Clock, PauseDetector, SystemClock, seconds
from kelpjunction.fleet.cloud import Fleet
from kelpjunction.fleet.machine_monitor import MachineMonitor
from kelpjunction.fleet.machines import Inventory
from kelpjunction.http import Application, SiblingApplication, server, sibling_is_fresh
from kelpjunction.intake import Intake
from kelpjunction.jobs.failure_attribution import FailureAttribution
from kelpjunction.jobs.holder_scheduler import HolderScheduler
from kelpjunction.jobs.job_index import DISPATCH_PREFIX, JOB_PREFIX, RUN_PREFIX, SETTLED_PREFIX, JobIndex
from kelpjunction.jobs.leader_scheduler import LeaderScheduler
from kelpjunction.jobs.records import RecordWriter
from kelpjunction.leadership import LEADER_KEY, Leadership, LeaderTerm
from kelpjunction.recorder import Recorder
from kelpjunction.renewal import LeaseRenewalPolicy
from kelpjunction.settings import OperatorSettings, PlatformSettings
from kelpjunction.store.client import StoreClient, StoreUnavailable
from kelpjunction.store.mirror import LIVE_PREFIX, Mirror, Verifier
from kelpjunction.transport import HttpTransport, Transport
from kelpjunction.wire import workers
from kelpjunction.workers.registry import WorkerRegistry

log = logging.getLogger("daemon")

MIN_ROUND_PAUSE = timedelta(milliseconds=50)
MAX_ROUND_PAUSE = timedelta(milliseconds=250)
PAUSE_AFTER_TROUBLE = timedelta(milliseconds=250)
FEW_SOCKETS = 20
GC_THRESHOLDS = (20_000, 20, 50)
SIBLING_CHECK_INTERVAL = timedelta(seconds=1)
LEDGER_INTERVAL = timedelta(seconds=1)
IDLE_WATCH_INTERVAL = timedelta(milliseconds=200)  # between two watches of a node that holds no block and does not lead
WATCH_SHARE = 0.3  # of the state service's requests: what all nodes' watches may take together
VERIFIER_REQUEST_FRACTION = 0.15  # and what their comparisons may
STOPS_EVERY = timedelta(milliseconds=250)
DEFERRED_ROUND_INTERVAL = timedelta(milliseconds=150)  # before the next round where the budget put something off


def sleep(duration: timedelta) -> None:
    gevent.sleep(duration.total_seconds())


class Node:
    """The slices of one node, without servers or loops: tests drive it by hand."""

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
    ) -> None:
        spawn_exchange = spawn_exchange or spawn  # for what is asked of workers and sent to them
        self.platform = platform
        self.recorder = Recorder(clock)
        self._transport = transport
        self.wake = Event()
        self.pause_detector = PauseDetector(clock)
        self.store = StoreClient(transport, platform.store_address, platform.store, clock, pause, share=1.0)
        renewal = LeaseRenewalPolicy(platform.workers.lease, platform.workers.cancel, operators.block_lease)
        self.mirror = Mirror(self.store, clock, watch_transport, watch=renewal.watch_timeout)
        self.mirror.on_foreign_changes = lambda changes: self.store.rate_limiter.on_foreign_changes(
            changes, clock.steady()
        )
        changes = ChangeTracker()
        self.job_index = JobIndex(changes)
        blame = FailureAttribution(self.job_index, clock)
        self.mirror.listen(LIVE_PREFIX, self.job_index.changed)
        requests = platform.store.rps / (len(platform.siblings) + 1)
        self.watch_rate = requests * WATCH_SHARE
        self.verifier = Verifier(self.store, spawn, pause, requests * VERIFIER_REQUEST_FRACTION)
        incarnation = f"{random_source.getrandbits(64):016x}"
        self.leadership = Leadership(
            platform, operators, self.store, self.mirror, clock, incarnation, self._reign_changed, self.recorder
        )
        self.blocks = Blocks(platform.node, incarnation, self.store, self.mirror, clock, self.recorder)
        self.worker_registry = WorkerRegistry(
            platform.workers,
            self.job_index,
            self.blocks,
            self.leadership,
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
            blame,
            self.pause_detector,
            spawn_exchange,
            random_source,
            changes,
        )
        self.leadership.no_machine_reachable = lambda: self.machine_monitor.no_machine_reachable
        self.machine_monitor.on_reachability_change = self.leadership.run_once
        self.fleet = Fleet(
            platform, operators, self.store, self.mirror, self.job_index, blame, self.inventory, transport, clock, pause
        )
        self.intake = Intake(
            platform, self.store, self.mirror, self.verifier, self.job_index, self.fleet, clock, self.recorder
        )
        self.record_writer = RecordWriter(self.store, self.mirror, self.job_index, clock, self.intake.remember)
        self.holder_scheduler = HolderScheduler(
            platform,
            operators,
            self.record_writer,
            self.job_index,
            self.blocks,
            self.worker_registry,
            self.fleet,
            blame,
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
            blame,
            clock,
            changes,
        )
        self.ledger_keeper = None
        if operators.ledger.enabled:
            # Imported by nodes that keep a ledger only.
            from kelpjunction.ledger.writer import LedgerWriter

            self.ledger_keeper = LedgerWriter(
                platform, operators.ledger, self.store, self.mirror, self.job_index, clock, watch_transport
            )
            self.leader_scheduler.team_weight_factor = self.ledger_keeper.factor
        self.blocks.on_gain = self._gain
        self.blocks.on_loss = self.worker_registry.clear
        for prefix in (JOB_PREFIX, RUN_PREFIX, DISPATCH_PREFIX, SETTLED_PREFIX, BLOCK_PREFIX):
            self.mirror.listen(prefix, lambda key, value, version: self.wake.set())
        self.inventory.on_change = self.wake.set
        self._begun: LeaderTerm | None = None
        self.rounds = 0

    def _reign_changed(self, leader_term: LeaderTerm | None) -> None:
        self.fleet.begin(leader_term)
        if leader_term is None and self.ledger_keeper is not None:
            self.ledger_keeper.end()
        self.wake.set()

    def _gain(self, zone: str) -> None:
        self.holder_scheduler.on_block_gained(zone)
        self.machine_monitor.on_block_gained(zone)

    @property
    def busy(self) -> bool:
        """Whether this node leads or holds a block."""
        return self.leadership.leader_term is not None or bool(self.blocks.held_zones())

    def watch_store(self) -> bool:
        """Take in the next changes of the live keys; False if the state service was of no use."""
        try:
            self.mirror.watch_once()
        except StoreUnavailable as error:
            log.debug("follow: %s", error)
            return False
        return True

    def check_in(self, body: bytes) -> tuple[int, bytes]:
        """Answer a worker's report, or send the worker to whom it belongs."""
        report = workers.parse_report(body)
        if self.inventory.gone(report.machine):
            return 503, b"{}"  # held up in a cut: there is no such machine any more
        holder = self.blocks.holder(report.zone)
        if self.blocks.own_grant(report.zone) is None:
            # Who is out of touch names nobody: two such nodes once sent the
            # workers of both to and fro until their leases ended.
            known = holder != self.platform.node and self.intake.fresh
            return 421, workers.redirect_answer(holder if known else None)
        if not self.intake.fresh and self.intake.sibling_has_fresh_mirror:
            # This node alone is out of touch, so its blocks will be or are
            # another's: the worker should look for that one at once.
            return 503, b"{}"
        return self.worker_registry.check_in(report)

    def ask_siblings(self) -> None:
        """While out of touch, ask the siblings whether they are too."""
        self.leadership.log_renewal_change()
        if self.intake.fresh:
            self.intake.sibling_has_fresh_mirror = False
            return
        asked = (sibling_is_fresh(self._transport, sibling.address) for sibling in self.platform.siblings)
        # One cut off from its siblings too has nobody to ask; its workers may know.
        self.intake.sibling_has_fresh_mirror = self.worker_registry.higher_token_seen or any(asked)

    def stop_tasks(self) -> None:
        """Tell workers to stop what must stop, whatever a round waits for."""
        if self.mirror.loaded and self.blocks.held_zones():
            self.holder_scheduler.stop_required()

    def update_ledger(self) -> None:
        """Close what is due in the ledger, if this node leads and keeps one."""
        if self.ledger_keeper is None:
            return
        try:
            self.ledger_keeper.run_once()
        except StoreUnavailable as error:
            log.debug("the ledger is closed later: %s", error)

    def round(self) -> bool:
        """One round as holder and, if this node leads, as leader; whether another should follow at once."""
        try:
            if not self.mirror.loaded or not self.record_writer.resolve_unknown_outcomes():
                return False
            self.rounds += 1
            self.record_writer.work_deferred = False
            again = self.holder_scheduler.round()
            if self.machine_monitor.changed:
                self.machine_monitor.publish()
            reign = self.leadership.leader_term
            if reign is not None:
                if self._begun is not reign:
                    if self.ledger_keeper is not None:
                        self.ledger_keeper.begin(reign)
                    self.leader_scheduler.begin(reign)
                    self._begun = reign
                again = self.leader_scheduler.round() or again
            # What the budget has put off is not asked for again at once.
            return again and not self.record_writer.work_deferred
        except StoreUnavailable as error:
            log.debug("round given up: %s", error)
            return False


class Daemon:
    """A node with its servers and loops."""

    def __init__(self, platform: PlatformSettings, operators: OperatorSettings, clock: Clock | None = None) -> None:
        self._platform = platform
        self._operators = operators
        self._clock = clock or SystemClock()
        self._transport = HttpTransport()
        self._random = random.Random()
        # Of the sockets, a quarter for what is sent to workers, a few for the
        # store, the cloud and the siblings, and the rest for whoever connects.
        self._outgoing = platform.max_sockets // 4
        self.node = Node(
            platform,
            operators,
            self._transport,
            HttpTransport(2, most=self._outgoing),
            HttpTransport(1),
            self._clock,
            gevent.spawn,
            sleep,
            self._random,
        )
        self.node.mirror.listen(LEADER_KEY, self._lead_changed)

    def term(self) -> int | None:
        """The term this node leads in, or None."""
        reign = self.node.leadership.leader_term
        return None if reign is None else reign.term

    def dump_decisions(self) -> None:
        """Write the last decisions into the log."""
        self.node.recorder.dump("asked for by a signal")

    def run_forever(self) -> None:
        """Serve until the process is killed."""
        incoming = self._platform.max_sockets - self._outgoing - 2 * FEW_SOCKETS
        users = server(self._platform.listen_address, Application(self.node.intake, self.node.check_in), Pool(incoming))
        metrics = None
        if self._operators.metrics:
            from kelpjunction.metrics import Metrics

            metrics = Metrics(self.node)
        peers = server(
            self._platform.internal_address, SiblingApplication(self.node.intake, metrics), Pool(FEW_SOCKETS)
        )
        users.start()
        peers.start()
        # A node makes much garbage and few cycles: looking for them as often
        # as by default took a tenth of its processor time.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        log.info("%s serves users and workers on %s", self._platform.node, self._platform.listen_address)
        renewal = self.node.leadership.renewal
        if renewal.grace_period_short:
            log.warning(
                "cancel_s is little above lease_s: %.1f s without the state service end leases, and with them tasks",
                renewal.grace_period.total_seconds(),
            )
        loops = [self._follow, self._lead, self._rounds, self._stops, self._cloud, self._watch, self._peers, self._beat]
        if self.node.ledger_keeper is not None:
            loops.append(self._keep)
        # A loop that ends has a defect; the node goes on without hiding it.
        gevent.joinall([gevent.spawn(self._guard, loop) for loop in loops])

    def _guard(self, loop: Callable[[], None]) -> None:
        """Run a loop's turns for ever: an odd reply must never end the process."""
        while True:
            try:
                loop()
            except Exception:
                log.exception("a turn of %s failed", loop.__name__)
                sleep(PAUSE_AFTER_TROUBLE)

    def _lead_changed(self, key: str, value: dict | None, version: int) -> None:
        if value is None:
            # Nobody leads: run at once, a little apart from the others.
            gevent.spawn_later(self._random.uniform(0, 0.05), self.node.leadership.run_once)

    def _follow(self) -> None:
        """Follow, at a pace: each change ends a watch, and opening the next is a request too."""
        began = self._clock.steady()
        heard = self.node.watch_store()
        least = seconds(1 / self.node.watch_rate) if heard else PAUSE_AFTER_TROUBLE
        if heard and not self.node.busy:
            # Nothing is decided here: its share of the requests is left to
            # those that hold blocks.
            least = max(least, IDLE_WATCH_INTERVAL)
        sleep(max(ZERO, began + least - self._clock.steady()) if heard else least)

    def _lead(self) -> None:
        done = self.node.leadership.run_once()
        # A node that starts joins as soon as it has read the live keys: its
        # blocks' workers wait for nothing else.  What was refused is asked for
        # again soon, or the hold would end for a few refusals.
        beat = self.node.leadership.heartbeat_interval
        sleep((beat if done else beat / 4) if self.node.mirror.loaded else MIN_ROUND_PAUSE)

    def _rounds(self) -> None:
        """A round on every event; a long one is followed by a pause twice as long, in which all else is served."""
        most = DEFERRED_ROUND_INTERVAL if self.node.record_writer.work_deferred else self._operators.round_interval
        self.node.wake.wait(most.total_seconds())
        self.node.wake.clear()
        began = self._clock.steady()
        if self.node.round():
            self.node.wake.set()
        sleep(min(max(MIN_ROUND_PAUSE, 2 * (self._clock.steady() - began)), MAX_ROUND_PAUSE))

    def _stops(self) -> None:
        self.node.stop_tasks()
        sleep(STOPS_EVERY)

    def _cloud(self) -> None:
        self.node.fleet.run_once()
        sleep(seconds(0.25))

    def _watch(self) -> None:
        self.node.machine_monitor.run_once()
        sleep(seconds(0.5))

    def _keep(self) -> None:
        self.node.update_ledger()
        sleep(LEDGER_INTERVAL)

    def _beat(self) -> None:
        self.node.pause_detector.heartbeat()
        sleep(HEARTBEAT_INTERVAL)

    def _peers(self) -> None:
        """While out of touch, ask the siblings whether they are too."""
        sleep(SIBLING_CHECK_INTERVAL)
        self.node.ask_siblings()
