"""One controller node: wires the slices together and runs their loops."""

import logging
import random
from collections.abc import Callable
from datetime import timedelta

import gevent
from gevent.event import Event
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer

from kelpjunction.blocks import Blocks
from kelpjunction.clock import Clock, SystemClock, seconds
from kelpjunction.fleet.cloud import Fleet
from kelpjunction.http import Application, PeerApplication, ask_peer
from kelpjunction.intake import Intake
from kelpjunction.jobs.book import JOB_PREFIX, Book
from kelpjunction.jobs.rounds import Rounds
from kelpjunction.leadership import LEAD_KEY, Leadership, Reign
from kelpjunction.settings import Operators, Platform
from kelpjunction.store.client import StoreClient, StoreDown
from kelpjunction.store.mirror import LIVE, Mirror, Verifier
from kelpjunction.transport import HttpTransport, Transport
from kelpjunction.wire import workers
from kelpjunction.workers.roster import Roster

log = logging.getLogger("daemon")

COALESCE = timedelta(milliseconds=10)
PAUSE_AFTER_TROUBLE = timedelta(milliseconds=250)
PEER_EVERY = timedelta(seconds=1)


def sleep(duration: timedelta) -> None:
    gevent.sleep(duration.total_seconds())


class Node:
    """The slices of one node, without servers or loops: tests drive it by hand."""

    def __init__(
        self,
        platform: Platform,
        operators: Operators,
        transport: Transport,
        follow_transport: Transport,
        clock: Clock,
        spawn: Callable,
        pause: Callable[[timedelta], None],
    ) -> None:
        self.platform = platform
        self.wake = Event()
        share = 0.6
        self.store = StoreClient(transport, platform.store_address, platform.store, clock, pause, share)
        self.mirror = Mirror(self.store, clock, follow_transport)
        self.book = Book()
        self.mirror.listen(LIVE, self.book.changed)
        self.verifier = Verifier(self.store, spawn)
        self.leadership = Leadership(platform, operators, self.store, self.mirror, clock, self._reign_changed)
        self.blocks = Blocks(platform.node, self.store, self.mirror)
        self.roster = Roster(
            platform.workers, self.book, self.blocks, self.leadership, transport, clock, spawn, self.wake.set
        )
        self.fleet = Fleet(
            platform, operators, self.store, self.mirror, self.book, self.roster, transport, clock, pause, spawn
        )
        self.intake = Intake(platform, self.store, self.mirror, self.verifier, self.book, self.fleet, clock)
        self.rounds = Rounds(
            platform,
            operators,
            self.store,
            self.mirror,
            self.book,
            self.leadership,
            self.blocks,
            self.roster,
            self.fleet,
            clock,
            self.intake.remember,
        )
        self.mirror.listen(JOB_PREFIX, lambda key, value, version: self.wake.set())
        self._begun: Reign | None = None

    def _reign_changed(self, reign: Reign | None) -> None:
        if reign is None:
            self._begun = None
            self.blocks.clear()
            self.roster.clear()
            self.fleet.begin(None)
        self.wake.set()

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
        if self.leadership.reign is None:
            leader = self.leadership.leader
            return 421, workers.redirect_answer(None if leader == self.platform.node else leader)
        return self.roster.check_in(report)

    def lead(self) -> bool:
        """Do one round as leader, having begun the reign if it is new; whether to go on at once."""
        reign = self.leadership.reign
        if reign is None:
            return False
        if self._begun is not reign:
            # Tokens first: until the blocks are granted no worker is answered.
            try:
                self.rounds.begin()
                zones = sorted({*self.platform.zones, *(z for t in self.fleet.catalog.values() for z in t.zones)})
                if not self.blocks.grant(reign, zones):
                    return False
            except StoreDown as error:
                log.info("reign not begun yet: %s", error)
                return False
            self._begun = reign
            self.fleet.begin(reign)
        return self.rounds.round()


class Daemon:
    """A node with its servers and loops."""

    def __init__(self, platform: Platform, operators: Operators, clock: Clock | None = None) -> None:
        self._platform = platform
        self._operators = operators
        self._clock = clock or SystemClock()
        self._transport = HttpTransport()
        self._random = random.Random()
        self.node = Node(platform, operators, self._transport, HttpTransport(1), self._clock, gevent.spawn, sleep)
        self.node.mirror.listen(LEAD_KEY, self._lead_changed)

    def run_forever(self) -> None:
        """Serve until the process is killed."""
        pool = Pool(1000)
        users = self._server(self._platform.listen, Application(self.node), pool)
        peers = self._server(self._platform.internal, PeerApplication(self.node), Pool(100))
        users.start()
        peers.start()
        log.info("%s serves users and workers on %s", self._platform.node, self._platform.listen)
        loops = [self._follow, self._lead, self._rounds, self._cloud, self._peers]
        # A loop that ends has a defect; the node goes on without hiding it.
        gevent.joinall([gevent.spawn(self._guard, loop) for loop in loops])

    def _server(self, address: str, application, pool: Pool) -> WSGIServer:
        host, _, port = address.rpartition(":")
        return WSGIServer(
            (host, int(port)),
            application,
            spawn=pool,
            log=None,
            error_log=logging.getLogger("http"),
            backlog=256,
        )

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
        if not self.node.follow():
            sleep(PAUSE_AFTER_TROUBLE)

    def _lead(self) -> None:
        self.node.leadership.step()
        sleep(self.node.leadership.beat)

    def _rounds(self) -> None:
        self.node.wake.wait(self._operators.round.total_seconds())
        self.node.wake.clear()
        if self.node.lead():
            self.node.wake.set()
        sleep(COALESCE)

    def _cloud(self) -> None:
        self.node.fleet.step()
        sleep(seconds(0.25))

    def _peers(self) -> None:
        """While out of touch, ask the siblings whether they are too."""
        sleep(PEER_EVERY)
        intake = self.node.intake
        if intake.fresh:
            intake.siblings_fresh = False
            return
        intake.siblings_fresh = any(ask_peer(self._transport, sibling.address) for sibling in self._platform.siblings)
