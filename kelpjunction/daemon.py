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
from kelpjunction.changes import Changes
from kelpjunction.clock import BEAT, ZERO, Clock, Presence, SystemClock, seconds
from kelpjunction.fleet.cloud import Fleet
from kelpjunction.fleet.machines import Inventory
from kelpjunction.fleet.watch import Watch
from kelpjunction.http import Application, PeerApplication, ask_peer, server
from kelpjunction.intake import Intake
from kelpjunction.jobs.blame import Blame
from kelpjunction.jobs.book import HAND_PREFIX, JOB_PREFIX, OVER_PREFIX, RUN_PREFIX, Book
from kelpjunction.jobs.holding import Holding
from kelpjunction.jobs.leading import Leading
from kelpjunction.jobs.records import Records
from kelpjunction.leadership import LEAD_KEY, Leadership, Reign
from kelpjunction.recorder import Recorder
from kelpjunction.renewal import Renewal
from kelpjunction.settings import Operators, Platform
from kelpjunction.store.client import StoreClient, StoreDown
from kelpjunction.store.mirror import LIVE, Mirror, Verifier
from kelpjunction.transport import HttpTransport, Transport
from kelpjunction.wire import workers
from kelpjunction.workers.roster import Roster

log = logging.getLogger("daemon")

COALESCE = timedelta(milliseconds=50)
LONGEST_PAUSE = timedelta(milliseconds=250)
PAUSE_AFTER_TROUBLE = timedelta(milliseconds=250)
FEW_SOCKETS = 20
GC_THRESHOLDS = (20_000, 20, 50)
PEER_EVERY = timedelta(seconds=1)
KEEP_EVERY = timedelta(seconds=1)
IDLE_FOLLOW = timedelta(milliseconds=200)  # between two watches of a node that holds no block and does not lead
WATCH_SHARE = 0.3  # of the state service's requests: what all nodes' watches may take together
COMPARE_SHARE = 0.15  # and what their comparisons may
STOPS_EVERY = timedelta(milliseconds=250)
SHORT_PAUSE = timedelta(milliseconds=150)  # before the next round where the budget put something off


def sleep(duration: timedelta) -> None:
    gevent.sleep(duration.total_seconds())


class Node:
    """The slices of one node, without servers or loops: tests drive it by hand."""

    def __init__(
        self,
        platform: Platform,
        operators: Operators,
        transport: Transport,
        worker_transport: Transport,
        follow_transport: Transport,
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
        self.presence = Presence(clock)
        self.store = StoreClient(transport, platform.store_address, platform.store, clock, pause, share=1.0)
        renewal = Renewal(platform.workers.lease, platform.workers.cancel, operators.block_lease)
        self.mirror = Mirror(self.store, clock, follow_transport, watch=renewal.watch)
        self.mirror.on_others = lambda changes: self.store.budget.saw_others(changes, clock.steady())
        changes = Changes()
        self.book = Book(changes)
        blame = Blame(self.book, clock)
        self.mirror.listen(LIVE, self.book.changed)
        requests = platform.store.rps / (len(platform.siblings) + 1)
        self.watch_rate = requests * WATCH_SHARE
        self.verifier = Verifier(self.store, spawn, pause, requests * COMPARE_SHARE)
        incarnation = f"{random_source.getrandbits(64):016x}"
        self.leadership = Leadership(
            platform, operators, self.store, self.mirror, clock, incarnation, self._reign_changed, self.recorder
        )
        self.blocks = Blocks(platform.node, incarnation, self.store, self.mirror, clock, self.recorder)
        self.roster = Roster(
            platform.workers,
            self.book,
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
        self.watch = Watch(
            platform.workers,
            self.store,
            self.mirror,
            self.blocks,
            self.book,
            self.roster,
            self.inventory,
            clock,
            blame,
            self.presence,
            spawn_exchange,
            random_source,
            changes,
        )
        self.leadership.is_deaf = lambda: self.watch.deaf
        self.watch.on_deaf = self.leadership.step
        self.fleet = Fleet(
            platform, operators, self.store, self.mirror, self.book, blame, self.inventory, transport, clock, pause
        )
        self.intake = Intake(
            platform, self.store, self.mirror, self.verifier, self.book, self.fleet, clock, self.recorder
        )
        self.records = Records(self.store, self.mirror, self.book, clock, self.intake.remember)
        self.holding = Holding(
            platform, operators, self.records, self.book, self.blocks, self.roster, self.fleet, blame, clock, changes
        )
        self.leading = Leading(
            platform,
            operators,
            self.store,
            self.mirror,
            self.records,
            self.book,
            self.leadership,
            self.blocks,
            self.fleet,
            blame,
            clock,
            changes,
        )
        self.keeper = None
        if operators.ledger.enabled:
            # Imported by nodes that keep a ledger only.
            from kelpjunction.ledger.keeper import Keeper

            self.keeper = Keeper(
                platform, operators.ledger, self.store, self.mirror, self.book, clock, follow_transport
            )
            self.leading.factor = self.keeper.factor
        self.blocks.on_gain = self._gain
        self.blocks.on_loss = self.roster.clear
        for prefix in (JOB_PREFIX, RUN_PREFIX, HAND_PREFIX, OVER_PREFIX, BLOCK_PREFIX):
            self.mirror.listen(prefix, lambda key, value, version: self.wake.set())
        self.inventory.on_change = self.wake.set
        self._begun: Reign | None = None
        self.rounds = 0

    def _reign_changed(self, reign: Reign | None) -> None:
        self.fleet.begin(reign)
        if reign is None and self.keeper is not None:
            self.keeper.end()
        self.wake.set()

    def _gain(self, zone: str) -> None:
        self.holding.gain(zone)
        self.watch.gain(zone)

    @property
    def busy(self) -> bool:
        """Whether this node leads or holds a block."""
        return self.leadership.reign is not None or bool(self.blocks.my_zones())

    def follow(self) -> bool:
        """Take in the next changes of the live keys; False if the state service was of no use."""
        try:
            self.mirror.follow_once()
        except StoreDown as error:
            log.debug("follow: %s", error)
            return False
        return True

    def check_in(self, body: bytes) -> tuple[int, bytes]:
        """Answer a worker's report, or send the worker to whom it belongs."""
        report = workers.parse_report(body)
        if self.inventory.gone(report.machine):
            return 503, b"{}"  # held up in a cut: there is no such machine any more
        holder = self.blocks.holder(report.zone)
        if self.blocks.mine(report.zone) is None:
            # Who is out of touch names nobody: two such nodes once sent the
            # workers of both to and fro until their leases ended.
            known = holder != self.platform.node and self.intake.fresh
            return 421, workers.redirect_answer(holder if known else None)
        if not self.intake.fresh and self.intake.siblings_fresh:
            # This node alone is out of touch, so its blocks will be or are
            # another's: the worker should look for that one at once.
            return 503, b"{}"
        return self.roster.check_in(report)

    def ask_siblings(self) -> None:
        """While out of touch, ask the siblings whether they are too."""
        self.leadership.note_touch()
        if self.intake.fresh:
            self.intake.siblings_fresh = False
            return
        asked = (ask_peer(self._transport, sibling.address) for sibling in self.platform.siblings)
        # One cut off from its siblings too has nobody to ask; its workers may know.
        self.intake.siblings_fresh = self.roster.overtaken or any(asked)

    def stop(self) -> None:
        """Tell workers to stop what must stop, whatever a round waits for."""
        if self.mirror.loaded and self.blocks.my_zones():
            self.holding.stop_what_must()

    def keep(self) -> None:
        """Close what is due in the ledger, if this node leads and keeps one."""
        if self.keeper is None:
            return
        try:
            self.keeper.step()
        except StoreDown as error:
            log.debug("the ledger is closed later: %s", error)

    def round(self) -> bool:
        """One round as holder and, if this node leads, as leader; whether another should follow at once."""
        try:
            if not self.mirror.loaded or not self.records.settled():
                return False
            self.rounds += 1
            self.records.short = False
            again = self.holding.round()
            if self.watch.changed:
                self.watch.publish()
            reign = self.leadership.reign
            if reign is not None:
                if self._begun is not reign:
                    if self.keeper is not None:
                        self.keeper.begin(reign)
                    self.leading.begin(reign)
                    self._begun = reign
                again = self.leading.round() or again
            # What the budget has put off is not asked for again at once.
            return again and not self.records.short
        except StoreDown as error:
            log.debug("round given up: %s", error)
            return False


class Daemon:
    """A node with its servers and loops."""

    def __init__(self, platform: Platform, operators: Operators, clock: Clock | None = None) -> None:
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
        self.node.mirror.listen(LEAD_KEY, self._lead_changed)

    def term(self) -> int | None:
        """The term this node leads in, or None."""
        reign = self.node.leadership.reign
        return None if reign is None else reign.term

    def dump_decisions(self) -> None:
        """Write the last decisions into the log."""
        self.node.recorder.dump("asked for by a signal")

    def run_forever(self) -> None:
        """Serve until the process is killed."""
        incoming = self._platform.max_sockets - self._outgoing - 2 * FEW_SOCKETS
        users = server(self._platform.listen, Application(self.node.intake, self.node.check_in), Pool(incoming))
        metrics = None
        if self._operators.metrics:
            from kelpjunction.metrics import Metrics

            metrics = Metrics(self.node)
        peers = server(self._platform.internal, PeerApplication(self.node.intake, metrics), Pool(FEW_SOCKETS))
        users.start()
        peers.start()
        # A node makes much garbage and few cycles: looking for them as often
        # as by default took a tenth of its processor time.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        log.info("%s serves users and workers on %s", self._platform.node, self._platform.listen)
        renewal = self.node.leadership.renewal
        if renewal.tight:
            log.warning(
                "cancel_s is little above lease_s: %.1f s without the state service end leases, and with them tasks",
                renewal.grace.total_seconds(),
            )
        loops = [self._follow, self._lead, self._rounds, self._stops, self._cloud, self._watch, self._peers, self._beat]
        if self.node.keeper is not None:
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
            gevent.spawn_later(self._random.uniform(0, 0.05), self.node.leadership.step)

    def _follow(self) -> None:
        """Follow, at a pace: each change ends a watch, and opening the next is a request too."""
        began = self._clock.steady()
        heard = self.node.follow()
        least = seconds(1 / self.node.watch_rate) if heard else PAUSE_AFTER_TROUBLE
        if heard and not self.node.busy:
            # Nothing is decided here: its share of the requests is left to
            # those that hold blocks.
            least = max(least, IDLE_FOLLOW)
        sleep(max(ZERO, began + least - self._clock.steady()) if heard else least)

    def _lead(self) -> None:
        done = self.node.leadership.step()
        # A node that starts joins as soon as it has read the live keys: its
        # blocks' workers wait for nothing else.  What was refused is asked for
        # again soon, or the hold would end for a few refusals.
        beat = self.node.leadership.beat
        sleep((beat if done else beat / 4) if self.node.mirror.loaded else COALESCE)

    def _rounds(self) -> None:
        """A round on every event; a long one is followed by a pause twice as long, in which all else is served."""
        most = SHORT_PAUSE if self.node.records.short else self._operators.round
        self.node.wake.wait(most.total_seconds())
        self.node.wake.clear()
        began = self._clock.steady()
        if self.node.round():
            self.node.wake.set()
        sleep(min(max(COALESCE, 2 * (self._clock.steady() - began)), LONGEST_PAUSE))

    def _stops(self) -> None:
        self.node.stop()
        sleep(STOPS_EVERY)

    def _cloud(self) -> None:
        self.node.fleet.step()
        sleep(seconds(0.25))

    def _watch(self) -> None:
        self.node.watch.step()
        sleep(seconds(0.5))

    def _keep(self) -> None:
        self.node.keep()
        sleep(KEEP_EVERY)

    def _beat(self) -> None:
        self.node.presence.beat()
        sleep(BEAT)

    def _peers(self) -> None:
        """While out of touch, ask the siblings whether they are too."""
        sleep(PEER_EVERY)
        self.node.ask_siblings()
