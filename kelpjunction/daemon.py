"""The process of one controller node: its servers and its loops."""

import gc
import logging
import random
from collections.abc import Callable
from datetime import timedelta

import gevent
from gevent.pool import Pool

from kelpjunction.clock import HEARTBEAT_INTERVAL, ZERO, Clock, SystemClock, seconds
from kelpjunction.http import Application, SiblingApplication, create_server
from kelpjunction.leadership import LEADER_KEY
from kelpjunction.node import Node
from kelpjunction.settings import OperatorSettings, PlatformSettings
from kelpjunction.store.access import CHECK_INTERVAL
from kelpjunction.transport import HttpTransport

log = logging.getLogger("daemon")

MIN_ROUND_PAUSE = timedelta(milliseconds=50)
MAX_ROUND_PAUSE = timedelta(milliseconds=250)
ERROR_RETRY_DELAY = timedelta(milliseconds=250)
SMALL_POOL_SOCKETS = 20
GC_THRESHOLDS = (20_000, 20, 50)
LEDGER_INTERVAL = timedelta(seconds=1)
IDLE_WATCH_INTERVAL = timedelta(milliseconds=200)  # for a node that holds no block and does not lead
STOP_INTERVAL = timedelta(milliseconds=250)
DEFERRED_ROUND_INTERVAL = timedelta(milliseconds=150)  # used when the rate limiter deferred work


def sleep(duration: timedelta) -> None:
    gevent.sleep(duration.total_seconds())


class Daemon:
    """A node with its servers and loops."""

    def __init__(self, platform: PlatformSettings, operators: OperatorSettings, clock: Clock | None = None) -> None:
        self._platform = platform
        self._operators = operators
        self._clock = clock or SystemClock()
        self._transport = HttpTransport()
        self._random = random.Random()
        # A quarter of the sockets is for requests to workers and a few are for the
        # state service, the cloud and the siblings. The rest is for incoming connections.
        self._max_outgoing = platform.max_sockets // 4
        self.node = Node(
            platform,
            operators,
            self._transport,
            HttpTransport(2, max_requests=self._max_outgoing),
            HttpTransport(1),
            self._clock,
            gevent.spawn,
            sleep,
            self._random,
        )
        self.node.mirror.listen(LEADER_KEY, self._on_leader_key_change)

    def term(self) -> int | None:
        """The term in which this node leads, or None if it does not lead."""
        leader_term = self.node.leadership.leader_term
        return None if leader_term is None else leader_term.term

    def dump_decisions(self) -> None:
        """Write the recorded decisions to the log."""
        self.node.recorder.dump("dump requested by a signal")

    def run_forever(self) -> None:
        """Serve until the process is killed."""
        incoming = self._platform.max_sockets - self._max_outgoing - 2 * SMALL_POOL_SOCKETS
        user_server = create_server(
            self._platform.listen_address, Application(self.node.intake, self.node.handle_report), Pool(incoming)
        )
        metrics = None
        if self._operators.metrics:
            from kelpjunction.metrics import Metrics

            metrics = Metrics(self.node)
        sibling_server = create_server(
            self._platform.internal_address,
            SiblingApplication(self.node.mirror_state, metrics),
            Pool(SMALL_POOL_SOCKETS),
        )
        user_server.start()
        sibling_server.start()
        # A node allocates many objects but few reference cycles. With the default
        # thresholds, garbage collection took a tenth of its processor time.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        log.info("%s serves users and workers on %s", self._platform.node, self._platform.listen_address)
        renewal = self.node.leadership.renewal
        if renewal.grace_period_short:
            log.warning(
                "cancel_s is barely above lease_s: %.1f s without the state service end leases and their tasks",
                renewal.grace_period.total_seconds(),
            )
        loops = [self._follow, self._lead, self._rounds, self._stops, self._cloud, self._watch, self._peers, self._beat]
        if self.node.ledger_writer is not None:
            loops.append(self._keep)
        # A loop that ends is a defect. The other loops continue and its error is not suppressed.
        gevent.joinall([gevent.spawn(self._run_loop, loop) for loop in loops])

    def _run_loop(self, loop: Callable[[], None]) -> None:
        """Call a loop's body for as long as the process runs; an unexpected reply must not end the process."""
        while True:
            try:
                loop()
            except Exception:
                log.exception("iteration of loop %s failed", loop.__name__)
                sleep(ERROR_RETRY_DELAY)

    def _on_leader_key_change(self, key: str, value: dict | None, version: int) -> None:
        if value is None:
            # There is no leader. Run for leadership at once, with a random delay to spread out the nodes.
            gevent.spawn_later(self._random.uniform(0, 0.05), self.node.leadership.run_once)

    def _follow(self) -> None:
        """Watch the state service at a limited rate: each change ends a watch, and the next watch is a new request."""
        started_at = self._clock.steady()
        succeeded = self.node.watch_store()
        interval = seconds(1 / self.node.watch_rate) if succeeded else ERROR_RETRY_DELAY
        if succeeded and not self.node.busy:
            # This node makes no decisions now, so it leaves its share of the
            # requests to the nodes that hold blocks.
            interval = max(interval, IDLE_WATCH_INTERVAL)
        if not succeeded:
            sleep(interval)
            return
        # A right that was just gained waits for the next watch, so that is opened without a pause.
        self.node.catch_up.watch_wanted.wait(max(ZERO, started_at + interval - self._clock.steady()).total_seconds())
        self.node.catch_up.watch_wanted.clear()

    def _lead(self) -> None:
        succeeded = self.node.leadership.run_once()
        # A starting node joins as soon as it has read the live keys, because the
        # workers of its blocks wait only for that. A refused request is retried
        # soon; otherwise a few refusals would end the store lease.
        interval = self.node.leadership.heartbeat_interval
        sleep((interval if succeeded else interval / 4) if self.node.mirror.loaded else MIN_ROUND_PAUSE)

    def _rounds(self) -> None:
        """Run a round on every event, then pause twice as long as it took, within bounds, to let other work run."""
        max_wait = DEFERRED_ROUND_INTERVAL if self.node.record_writer.work_deferred else self._operators.round_interval
        self.node.wake.wait(max_wait.total_seconds())
        self.node.wake.clear()
        started_at = self._clock.steady()
        if self.node.round():
            self.node.wake.set()
        sleep(min(max(MIN_ROUND_PAUSE, 2 * (self._clock.steady() - started_at)), MAX_ROUND_PAUSE))

    def _stops(self) -> None:
        self.node.stop_tasks()
        sleep(STOP_INTERVAL)

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
        sleep(CHECK_INTERVAL)
        self.node.check_store_access()
