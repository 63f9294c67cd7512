"""One ticket gateway: connects its parts, serves users and runs its loops.

A gateway is a separate process that nodes do not know of.  It commits the job
records of a ticket's steps as a node's intake does, and it learns their state
from the records that every node mirrors.
"""

import gc
import logging
import random
from collections.abc import Callable, Iterable
from dataclasses import replace
from datetime import timedelta
from functools import partial

import gevent
from gevent.pool import Pool

from kelpjunction.changes import ChangeTracker
from kelpjunction.clock import Clock, SystemClock, seconds
from kelpjunction.daemon import ERROR_RETRY_DELAY, GC_THRESHOLDS, sleep
from kelpjunction.fleet.cloud import CATALOG_KEY
from kelpjunction.http import create_server, method_not_allowed, read_body, respond
from kelpjunction.intake import UserResponse
from kelpjunction.jobs.job_index import JobIndex
from kelpjunction.leadership import MEMBER_PREFIX, Leadership, LeaderTerm
from kelpjunction.recorder import Recorder
from kelpjunction.settings import OperatorSettings, PlatformSettings, Sibling
from kelpjunction.siblings import SiblingRequests, request_state
from kelpjunction.store.access import CHECK_INTERVAL, StoreAccessMonitor
from kelpjunction.store.catch_up import CatchUp
from kelpjunction.store.client import StoreClient, StoreUnavailable
from kelpjunction.store.mirror import LIVE_PREFIX, Mirror, Verifier
from kelpjunction.tickets import users
from kelpjunction.tickets.classes import TicketSettings
from kelpjunction.tickets.reconciler import TicketReconciler
from kelpjunction.tickets.records import PREFIX, TicketRecords
from kelpjunction.tickets.requests import TicketRequests
from kelpjunction.tickets.step_planner import StepPlanner
from kelpjunction.transport import HttpTransport, Transport
from kelpjunction.wire.cloud import parse_catalog
from kelpjunction.wire.messages import MachineType
from kelpjunction.wire.users import HEALTH_PATH, MalformedMessage, error_answer

log = logging.getLogger("tickets")

WRITE_SHARE = 0.2  # of the state service's rate of changes; the nodes' rounds need most of it
REQUEST_SHARE = 0.05  # of the state service's rate of requests, for watches and version checks
RECONCILE_INTERVAL = seconds(0.25)
SWEEP_INTERVAL = seconds(10)
MAX_USER_CONNECTIONS = 500
STORE_CONNECTIONS = 8


class Gateway:
    """The parts of one gateway, without servers or loops: tests call its methods directly."""

    def __init__(
        self,
        platform: PlatformSettings,
        operators: OperatorSettings,
        settings: TicketSettings,
        transport: Transport,
        watches: tuple[Transport, Transport],
        clock: Clock,
        spawn: Callable,
        pause: Callable[[timedelta], None],
        random_source: random.Random,
        wait: Callable[[timedelta], None] | None = None,
    ) -> None:
        self.settings = settings
        self.store = StoreClient(transport, platform.store_address, platform.store, clock, pause, WRITE_SHARE)
        self.jobs = Mirror(self.store, clock, watches[0])
        self.tickets = Mirror(self.store, clock, watches[1], PREFIX)
        self.job_index = JobIndex(ChangeTracker())
        self.jobs.listen(LIVE_PREFIX, self.job_index.changed)
        self.request_rate = platform.store.rps * REQUEST_SHARE
        recorder = Recorder(clock)
        self._catalog: tuple[int, dict[str, MachineType]] = (0, {})
        self.leadership = Leadership(
            replace(platform, node=settings.name), operators, self.store, self.tickets,
            CatchUp(self.tickets, clock, operators.store_lease, spawn), clock, f"{random_source.getrandbits(64):016x}",
            self._leader_term_changed, recorder, PREFIX,
        )  # fmt: skip
        # `platform` is a node's settings, so that node is one of those to ask.
        nodes = (Sibling(platform.node, platform.zone, platform.internal_address), *platform.siblings)
        self.store_access = StoreAccessMonitor(
            self.tickets, SiblingRequests(nodes, spawn, partial(request_state, transport)), clock, recorder,
            is_member=lambda name: self.jobs.get(MEMBER_PREFIX + name) is not None,
        )  # fmt: skip
        self.records = TicketRecords(self.store, self.tickets, self.jobs, clock)
        steps = StepPlanner(settings, self.store, self.jobs, self.records, self.job_index, clock, watches[0])
        self.reconciler = TicketReconciler(
            settings, self.store, self.tickets, self.jobs, self.records, steps, self.job_index, clock
        )
        self.ticket_requests = TicketRequests(
            settings, platform.teams, self.store, self.tickets,
            Verifier(self.store, spawn, pause, self.request_rate), self.records, steps, self.job_index, self.catalog,
            clock, random_source, wait or pause,
        )  # fmt: skip

    def _leader_term_changed(self, leader_term: LeaderTerm | None) -> None:
        self.reconciler.set_leader_term(leader_term)

    def catalog(self) -> dict[str, MachineType]:
        """The machine types that the nodes' leader last read from the cloud; empty until they are known."""
        entry = self.jobs.get(CATALOG_KEY)
        if entry is not None and entry.version != self._catalog[0]:
            self._catalog = entry.version, parse_catalog(entry.value)
        return self._catalog[1]

    @property
    def healthy(self) -> bool:
        """Whether this gateway should receive requests; like a node, it stays healthy in an outage for all."""
        return self.jobs.loaded and self.tickets.loaded and self.store_access.should_serve

    def follow(self, mirror: Mirror) -> bool:
        """Apply the next changes to a mirror; False if the state service was unavailable."""
        try:
            mirror.watch_once()
        except StoreUnavailable as error:
            log.debug("watch of the state service failed: %s", error)
            return False
        return True

    def reconcile(self) -> bool:
        """Advance runs once if this gateway leads; returns whether to call it again at once."""
        if not (self.jobs.loaded and self.tickets.loaded):
            return False
        try:
            return self.reconciler.run_once()
        except StoreUnavailable as error:
            log.debug("reconcile pass aborted: %s", error)
            return False

    def sweep(self) -> None:
        try:
            self.reconciler.sweep()
        except StoreUnavailable as error:
            log.debug("sweep aborted, the next one continues: %s", error)


class Application:
    """The WSGI application for ticket users and load balancers."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        try:
            answer = self._route(environ["REQUEST_METHOD"], environ["PATH_INFO"], environ)
        except MalformedMessage as error:
            answer = UserResponse(400, error_answer(str(error)))
        except Exception:
            log.exception("%s %s failed", environ["REQUEST_METHOD"], environ["PATH_INFO"])
            answer = UserResponse(500, error_answer("internal error"))
        return respond(start_response, answer)

    def _route(self, method: str, path: str, environ: dict) -> UserResponse:
        requests = self._gateway.ticket_requests
        if path == HEALTH_PATH:
            return UserResponse(200 if self._gateway.healthy else 503, b"{}")
        if path == users.TICKETS_PATH:
            return requests.submit(read_body(environ)) if method == "POST" else method_not_allowed()
        if path.startswith(users.TICKETS_PATH + "/"):
            name = path.removeprefix(users.TICKETS_PATH + "/")
            if name.endswith(users.CANCEL_SUFFIX):
                if method != "POST":
                    return method_not_allowed()
                read_body(environ)
                return requests.cancel(name.removesuffix(users.CANCEL_SUFFIX))
            return requests.show(name) if method == "GET" else method_not_allowed()
        return UserResponse(404, error_answer("no such path"))


class Daemon:
    """A gateway with its server and loops."""

    def __init__(self, platform: PlatformSettings, operators: OperatorSettings, settings: TicketSettings) -> None:
        self._settings = settings
        self._random = random.Random()
        self.gateway = Gateway(
            platform, operators, settings, HttpTransport(STORE_CONNECTIONS), (HttpTransport(1), HttpTransport(1)),
            SystemClock(), gevent.spawn, sleep, self._random,
        )  # fmt: skip

    def term(self) -> int | None:
        """The term in which this gateway leads, or None."""
        leader_term = self.gateway.leadership.leader_term
        return None if leader_term is None else leader_term.term

    def run_forever(self) -> None:
        """Serve until the process is killed."""
        create_server(self._settings.listen, Application(self.gateway), Pool(MAX_USER_CONNECTIONS)).start()
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        log.info("%s serves ticket users on %s", self._settings.name, self._settings.listen)
        loops = [
            self._follow_jobs,
            self._follow_tickets,
            self._check_store_access,
            self._lead,
            self._drive,
            self._sweep,
        ]
        gevent.joinall([gevent.spawn(self._run_loop, loop) for loop in loops])

    def _run_loop(self, loop: Callable[[], None]) -> None:
        """Repeat a loop's body without end; an exception, as from an unexpected reply, must not end the process."""
        while True:
            try:
                loop()
            except Exception:
                log.exception("iteration of loop %s failed", loop.__name__)
                sleep(ERROR_RETRY_DELAY)

    def _follow(self, mirror: Mirror) -> None:
        answered = self.gateway.follow(mirror)
        sleep(seconds(1 / self.gateway.request_rate) if answered else ERROR_RETRY_DELAY)

    def _follow_jobs(self) -> None:
        self._follow(self.gateway.jobs)

    def _follow_tickets(self) -> None:
        self._follow(self.gateway.tickets)

    def _check_store_access(self) -> None:
        sleep(CHECK_INTERVAL)
        self.gateway.store_access.check()

    def _lead(self) -> None:
        self.gateway.leadership.run_once()
        sleep(self.gateway.leadership.heartbeat_interval if self.gateway.tickets.loaded else RECONCILE_INTERVAL)

    def _drive(self) -> None:
        if not self.gateway.reconcile():
            sleep(RECONCILE_INTERVAL)

    def _sweep(self) -> None:
        sleep(SWEEP_INTERVAL)
        self.gateway.sweep()
