"""A simulated site: complete nodes and the stand-ins on a simulated clock.

Requests and replies can be lost. Requests can also be delayed until after the
sender has given up. A node can be paused at any request that it sends.
"""

import heapq
import random
from collections.abc import Callable, Iterable
from contextlib import suppress
from datetime import UTC, datetime, timedelta
from functools import partial
from typing import NamedTuple

import orjson
from greenlet import getcurrent, greenlet

from kelpjunction.clock import ZERO, seconds
from kelpjunction.lab.balancer import LoadBalancerStandIn
from kelpjunction.lab.interleaving import InterleavedRequests
from kelpjunction.lab.polling_users import PollingUsers
from kelpjunction.lab.site import CLOUD_LIMITS, GUEST, STORE_LIMITS, TEAMS, Site
from kelpjunction.lab.unanswered import UnansweredTransactions
from kelpjunction.lab.worker import MessageLoss, WorkerStandIn
from kelpjunction.leadership import LeaderTerm
from kelpjunction.node import Node
from kelpjunction.recorder import Event
from kelpjunction.settings import (
    OperatorSettings,
    PlatformSettings,
    Sibling,
    StoreLimits,
    Team,
    WorkerTimes,
    load_operator_settings,
)
from kelpjunction.siblings import PEER_PATH
from kelpjunction.transport import NoResponse, Reply, RequestWithheld
from kelpjunction.wire.users import ABORT_SUFFIX, JOBS_PATH
from kelpjunction.wire.workers import COMMANDS_PATH

START = datetime(2026, 1, 1, tzinfo=UTC)
STORE, CLOUD = "10.2.0.1:2379", "10.2.0.2:8443"
REPORT_RESPONSE_TIMEOUT_S = 4.0
USER_TIMEOUT_S = 5.0


class SimClock:
    """A clock that advances only when `World` sets it.

    The time of day passes `day_speed` times as fast as the steady clock, so
    that a run can cover weeks without changing the pace of leases and rounds.
    """

    def __init__(self, day_speed: int = 1) -> None:
        self.now = seconds(1000)
        self._day_speed = day_speed

    def steady(self) -> timedelta:
        return self.now

    def utc(self) -> datetime:
        return START + self.now * self._day_speed


class NetworkConditions(NamedTuple):
    """Message delay and loss, drawn from the seed; run times, boot times and step order then vary as well."""

    delay_range_s: tuple[float, float] = (0.01, 0.3)  # one way, for a worker's report and for the response to it
    loss_rate: float = 0.002  # share of node requests and worker reports that are lost, delayed or lose their reply


class World(Site):
    """Complete nodes on a simulated clock.

    With `network_conditions`, the seed varies what varies in a real network;
    without them, everything takes its nominal time, so that traces are
    readable.  With `store`, the state service rejects requests above its rates.
    With `interleaved`, a node responds to a report before it sends the requests
    that the report caused, as a real process does; otherwise it sends them first.
    """

    def __init__(
        self,
        seed: int = 1,
        machines: int = 6,
        capacity: int = 12,
        teams: tuple[Team, ...] | None = None,
        classes_with_objectives: frozenset[str] = frozenset(),
        network_conditions: NetworkConditions | None = None,
        operators: OperatorSettings | None = None,
        day_speed: int = 1,
        store: StoreLimits | None = None,
        times: WorkerTimes | None = None,
        interleaved: bool = False,
        node_count: int = 3,
    ):
        super().__init__(SimClock(day_speed), seed, ("a", "b", "c"), teams or TEAMS, capacity)
        self.node_count = node_count
        self.times = times or self.times
        self.store.limits = store
        self.operators = operators or load_operator_settings(None)
        self.network_conditions, self.varied = network_conditions, network_conditions is not None
        self.classes_with_objectives = classes_with_objectives
        self.late: list[tuple[timedelta, int, Callable]] = []
        self._action_number = 0
        # Steps since the start.  It is kept across calls of `run`, so that slow loops also run if each call is short.
        self._step_count = 0
        self.late_request_delay_s = (1.0, 25.0)
        self.unanswered_transactions = UnansweredTransactions(self.store)
        self.cut_from_store: set[str] = set()
        self.cut_from_peers: set[str] = set()
        self.cut_peer_links: set[frozenset[str]] = set()  # pairs of nodes that do not reach each other
        # The duplicates of a report: for each, the delay in seconds and the node that receives it.
        self.duplicate_reports: Callable[[WorkerStandIn], list[tuple[float, str]]] = lambda worker: []
        # The duplicates of a request with commands that a worker has carried out: for each, the delay in seconds.
        self.duplicate_commands: Callable[[WorkerStandIn], list[float]] = lambda worker: []
        # Copies of reports that are delivered to every node when the next leader's term begins; None to keep none.
        self.reports_for_next_leader: list[dict] | None = None
        self._last_leader_term: LeaderTerm | None = None
        self.filter: Callable[[str, str, str], str | None] = self._random_message_fault
        # Seconds for which a node is paused before it sends this request; 0 for no pause.
        self.pause_before_request: Callable[[str, str, str], float] = lambda source, target, path: 0.0
        # Seconds for which a node is paused before it receives the reply of the state service; 0 for no pause.
        self.pause_before_reply: Callable[[str, str], float] = lambda source, path: 0.0
        self.frozen: set[str] = set()
        self._waiting_packets: dict[str, list[Callable]] = {}  # by node: packets that arrived while it was paused
        self.contradictions: list[Event] = []  # events in which a node recorded an impossible state
        self._exchanges = InterleavedRequests(self, seed) if interleaved else None
        self.nodes: dict[str, Node | None] = {}
        for i in range(machines):
            self.cloud.add(self.zones[i % 3], False, self.clock.now)
        for name in self.node_names:
            self.start_node(name)
        self.balancer = LoadBalancerStandIn(self, self.node_names, seed)
        self.polling_users = PollingUsers(self.balancer, self.poll, self.ask_meanwhile, self.now, self.broken)

    # -- nodes ----------------------------------------------------------------

    def platform(self, name: str) -> PlatformSettings:
        number = int(name[-1])
        others = [i for i in range(self.node_count) if i != number]
        return PlatformSettings(
            node=name, zone=self._zone_of_node(number), listen_address=f"10.0.0.{number}:8080",
            internal_address=f"10.0.0.{number}:8081",
            siblings=tuple(Sibling(f"holdfast-{i}", self._zone_of_node(i), f"10.0.0.{i}:8081") for i in others),
            cloud_address=CLOUD, store_address=STORE, zones=self.zones, teams={t.name: t for t in self.teams},
            classes_with_objectives=self.classes_with_objectives, workers=self.times,
            store=self.store.limits or STORE_LIMITS, cloud=CLOUD_LIMITS,
        )  # fmt: skip

    def _zone_of_node(self, number: int) -> str:
        return self.zones[number % len(self.zones)]

    def start_node(self, name: str) -> Node:
        transport = _SimulatedTransport(self, name)
        node = Node(
            self.platform(name), self.operators, transport, transport, transport, self.clock,
            _call_now, lambda duration: None, random.Random(self.random.random()),
            partial(self._exchanges.spawn, name) if self._exchanges else _call_now,
            partial(self._wait_in_request, name),
        )  # fmt: skip
        node.recorder.on_contradiction = self.contradictions.append
        self.nodes[name] = node
        return node

    def process_instance(self, node: str) -> Node | None:
        return self.nodes[node]

    def when_running(self, node: str, act: Callable[[], None]) -> None:
        if node in self.frozen:
            self._waiting_packets.setdefault(node, []).append(act)
        else:
            act()

    def now(self) -> timedelta:
        return self.clock.now

    def kill_node(self, name: str) -> None:
        """End a node's process; packets waiting in its sockets are lost."""
        self.nodes[name] = None
        self.frozen.discard(name)
        self._waiting_packets.pop(name, None)

    def runs(self, name: str) -> bool:
        return self.nodes[name] is not None

    def freeze(self, name: str, duration: float) -> None:
        """Pause a node in the middle of its current step for `duration` seconds while everything else runs."""
        if name in self.frozen:
            return
        node = self.nodes[name]
        self.frozen.add(name)
        self.run(duration)
        self._resume_node(name, node)

    def suspend_node(self, name: str, duration: float) -> None:
        node = self.nodes[name]
        self.frozen.add(name)
        self.run_after(duration, lambda: self._resume_node(name, node))

    def _resume_node(self, name: str, node: Node | None) -> None:
        """Resume a paused node with its state unchanged, unless it was killed in the meantime."""
        if self.nodes[name] is node is not None:
            self.frozen.discard(name)
            for packet in self._waiting_packets.pop(name, ()):
                packet()

    def _wait_in_request(self, name: str, duration: timedelta) -> None:
        """Run the site while a node handles a user's request; the user gives up after `USER_TIMEOUT_S`."""
        node, end = self.nodes[name], self.clock.now + seconds(USER_TIMEOUT_S)
        request = getcurrent()
        if isinstance(request, _UserRequest):
            self.at(self.clock.now + duration, request.resume)
            request.parent.switch()
        else:
            self.run(duration.total_seconds())
        while name in self.frozen and self.nodes[name] is node and self.clock.now < end:
            self.run(0.1)
        if self.nodes[name] is not node or name in self.frozen:
            raise NoResponse("the node ended or stood still while it handled the request")

    def run_after(self, duration: float, act: Callable[[], None]) -> None:
        if duration:
            self.at(self.clock.now + seconds(duration), act)

    def at(self, moment: timedelta, act: Callable[[], None]) -> None:
        self._action_number += 1
        heapq.heappush(self.late, (moment, self._action_number, act))

    def leader(self) -> Node | None:
        for node in self.nodes.values():
            if node is not None and node.leadership.leader_term is not None:
                return node
        return None

    def leader_name(self) -> str | None:
        leader = self.leader()
        return None if leader is None else leader.platform.node

    # -- messages -------------------------------------------------------------

    def deliver(self, source: str, address: str, method: str, path: str, body: dict, sent_at: timedelta) -> Reply:
        """Deliver a node's request; `filter` decides whether it is delayed or lost.

        Raises `NoResponse` if the sender receives no reply.
        """
        pause = self.pause_before_request(source, address, path)
        if pause:
            node = self.nodes[source]
            self.freeze(source, pause)
            if self.nodes[source] is not node:
                raise NoResponse("the sending process was killed while it was paused")
        if address == STORE and source in self.cut_from_store:
            return Reply(503, {})
        if path == PEER_PATH:
            return self.peer(source, address)
        if address == STORE:
            self.unanswered_transactions.on_request(source, path, body)
        handler = self._handler(address, sent_at)
        fault = self.filter(source, address, path)
        if fault == "held":
            # The sender gives up, and the request is carried out later.
            def carry_out_late() -> None:
                with suppress(NoResponse):
                    handler(method, path, body)

            self.run_after(self.random.uniform(*self.late_request_delay_s), carry_out_late)
            raise NoResponse("request delayed beyond its timeout")
        if fault == "lost":
            raise NoResponse("request lost")
        reply = handler(method, path, body)
        if fault == "answer lost":
            raise NoResponse("reply lost")
        if address == STORE:
            self._pause_until_reply(source, path)
        return reply

    def _pause_until_reply(self, source: str, path: str) -> None:
        """Pause a node that waits for a slow reply; raises `NoResponse` if its process was killed meanwhile."""
        pause = self.pause_before_reply(source, path)
        if pause and source not in self.frozen:
            node = self.nodes[source]
            self.freeze(source, pause)
            if self.nodes[source] is not node:
                raise NoResponse("the process was killed while it waited for the reply")

    def _random_message_fault(self, source: str, target: str, path: str) -> str | None:
        if (
            self.network_conditions is None
            or path.startswith("/follow")
            or self.random.random() >= self.network_conditions.loss_rate
        ):
            return None
        return self.random.choice(["held", "lost", "answer lost"])

    def send_report(self, worker: WorkerStandIn, fields: dict) -> None:
        sent_at, restart_count = self.clock.now, worker.restart_count
        outbound_delay, return_delay = (
            (0.0, 0.0)
            if self.network_conditions is None
            else (self.random.uniform(*self.network_conditions.delay_range_s) for _ in "ab")
        )
        for late, name in self.duplicate_reports(worker):
            self.run_after(late, lambda name=name: self._deliver_report_copy(name, fields))
        if self.reports_for_next_leader is not None:
            self.reports_for_next_leader.append(fields)

        def if_not_restarted(act: Callable[[], None]) -> Callable[[], None]:
            return lambda: act() if worker.restart_count == restart_count else None

        def arrive() -> None:
            if worker.message_loss is MessageLoss.OUTBOUND_LOST:
                self.run_after(REPORT_RESPONSE_TIMEOUT_S, if_not_restarted(worker.on_no_response))
                return
            try:
                status, answer = self.reach_node(worker, worker.node, fields)
            except NoResponse:
                worker.on_no_response()
                return
            answered_at = self.clock.now
            if worker.message_loss is not None:
                self.run_after(REPORT_RESPONSE_TIMEOUT_S, if_not_restarted(worker.on_no_response))
                return

            def read() -> None:
                if worker.hang_period is not None:
                    worker.packets.append(if_not_restarted(read))
                elif self.clock.now - sent_at < seconds(REPORT_RESPONSE_TIMEOUT_S):
                    worker.on_report_response(fields, sent_at, status, answer, answered_at)
                else:
                    worker.on_no_response()

            self.run_after(return_delay, if_not_restarted(read)) if return_delay else read()

        self.run_after(outbound_delay, if_not_restarted(arrive)) if outbound_delay else arrive()

    def _deliver_report_copy(self, name: str, fields: dict) -> None:
        """Deliver a copy of an old report to a node and discard the response."""
        node = self.nodes[name]
        if node is not None and name not in self.frozen:
            node.handle_report(orjson.dumps(fields))

    def _replay_reports_to_new_leader(self) -> None:
        """Deliver the kept reports to every node as soon as a new leader's term begins."""
        leader = self.leader()
        term = leader.leadership.leader_term if leader is not None else None
        if term is None or term is self._last_leader_term:
            return
        self._last_leader_term = term
        if self.reports_for_next_leader is None:
            return
        kept, self.reports_for_next_leader = self.reports_for_next_leader, []
        for name in self.node_names:
            for fields in kept:
                self._deliver_report_copy(name, fields)
                for late in (0.2, 0.5, 1.0):  # again while the leader grants blocks
                    self.run_after(late, lambda name=name, fields=fields: self._deliver_report_copy(name, fields))

    def _handler(self, address: str, sent_at: timedelta):
        if address == STORE:
            return self.store.handle
        if address == CLOUD:
            return self.cloud.handle
        worker = self.cloud.workers_by_address.get(address)
        if worker is None or not worker.up or worker.partitioned or worker.message_loss is MessageLoss.INBOUND_LOST:
            raise NoResponse("no worker is reachable at this address")

        def carry_out(method: str, path: str, body: dict) -> Reply:
            if worker.hang_period is not None:
                worker.packets.append(lambda: worker.handle(method, path, body, sent_at))
                raise NoResponse("the machine hangs and cannot reply")
            reply = worker.handle(method, path, body, sent_at) if worker.alive else Reply(503, {})
            if path == COMMANDS_PATH and reply.status == 200:
                self._duplicate_commands(worker, body, sent_at)
            if worker.message_loss is not None:
                raise NoResponse("reply lost")
            return reply

        return carry_out

    def _duplicate_commands(self, worker: WorkerStandIn, body: dict, sent_at: timedelta) -> None:
        """Let copies of a request that a worker has carried out reach the same process of the worker later."""
        restart_count = worker.restart_count

        def arrive() -> None:
            if worker.restart_count == restart_count:
                self.deliver_command_copy(worker, body, sent_at)

        for delay in self.duplicate_commands(worker):
            self.run_after(delay, arrive)

    def deliver_command_copy(self, worker: WorkerStandIn, body: dict, sent_at: timedelta) -> None:
        """Deliver a copy of a request with commands; nobody waits for the response.

        If the machine hangs, the copy waits until it resumes.
        """
        if not worker.up or worker.partitioned or worker.message_loss is MessageLoss.INBOUND_LOST:
            return
        if worker.hang_period is not None:
            worker.packets.append(lambda: worker.handle("POST", COMMANDS_PATH, body, sent_at))
        else:
            worker.handle("POST", COMMANDS_PATH, body, sent_at)

    def peer(self, source: str, address: str) -> Reply:
        """A node's reply to a sibling that asks about its mirror of the state service."""
        number = next(i for i in range(self.node_count) if address == f"10.0.0.{i}:8081")
        name = self.node_names[number]
        node = self.nodes[name]
        is_cut = self.cut_from_peers & {source, name} or frozenset({source, name}) in self.cut_peer_links
        if node is None or name in self.frozen or is_cut:
            raise NoResponse("the sibling is not reachable")
        return Reply(200, node.mirror_state())

    def reach_node(self, worker: WorkerStandIn, number: int, fields: dict) -> tuple[int, dict]:
        name = f"holdfast-{number}"
        node = self.nodes[name]
        if node is None or worker.partitioned or self.filter(worker.name, name, "/checkin"):
            raise NoResponse("the node is not reachable")
        body = orjson.dumps(fields)
        if name in self.frozen:
            # The report waits in the node's socket; the response will come after the worker's timeout.
            self._waiting_packets.setdefault(name, []).append(lambda: node.handle_report(body))
            raise NoResponse("the node is paused")
        status, answer = node.handle_report(body)
        return status, orjson.loads(answer)

    def isolate_together(self, *names: str) -> None:
        """Cut these nodes off from the state service and all other nodes; they still reach each other and their users.

        Ends an earlier cut; without names, nothing else.
        """
        self.cut_from_store, self.cut_from_peers = set(names), set()
        self.cut_peer_links = {frozenset({a, b}) for a in names for b in self.node_names if b not in names}

    # -- users ----------------------------------------------------------------

    def probe(self, node: str) -> bool:
        """A load balancer's probe of a node's health."""
        process = self.nodes[node]
        return process is not None and node not in self.frozen and process.intake.healthy()

    def accepts_connections(self, node: str) -> bool:
        """Whether a connection to a node is accepted; that of a paused process is, by its operating system."""
        return self.nodes[node] is not None

    def ask(self, method: str, path: str, body: bytes, node: str | None) -> tuple[int, dict]:
        intake = self._accepting_node(node).intake
        ref = path.removeprefix(JOBS_PATH + "/")
        if path == JOBS_PATH:
            answer = intake.submit(body)
        elif ref.endswith(ABORT_SUFFIX):
            answer = intake.abort(ref.removesuffix(ABORT_SUFFIX))
        else:
            answer = intake.status(ref)
        return answer.status, orjson.loads(answer.body)

    def ask_meanwhile(self, request: Callable[[], None]) -> None:
        """Let a user make a request that may wait for its answer while the site goes on."""
        _UserRequest(request).switch()

    def _accepting_node(self, name: str | None) -> Node:
        """The node that accepts a user's connection: the named one, or a random one without a name."""
        candidates = [n for n, node in self.nodes.items() if node is not None and n not in self.frozen]
        if name is not None:
            candidates = [n for n in candidates if n == name]
        if not candidates:
            raise NoResponse(f"{name or 'every node'} refuses the connection")
        return self.nodes[self.random.choice(candidates)]

    # -- time -----------------------------------------------------------------

    def deliver_late(self) -> None:
        """Carry out all delayed actions now."""
        while self.late:
            heapq.heappop(self.late)[2]()

    def run(self, duration: float, until: Callable[[], bool] | None = None) -> bool:
        """Run for `duration` seconds in steps of 100 ms, or until `until` is true.

        Returns whether `until` became true; without `until`, returns True.
        """
        end = self.clock.now + seconds(duration)
        while self.clock.now < end:
            self.clock.now += seconds(0.1)
            self._step_count += 1
            self.store.expire_leases()
            while self.late and self.late[0][0] <= self.clock.now:
                heapq.heappop(self.late)[2]()
            for worker, _ in self._shuffled(self.cloud.machines.values()):
                worker.step()
            for node in self._shuffled(self.nodes.values()):
                if node is not None and node.platform.node not in self.frozen:
                    self._step_node(node, self._step_count)
            for ref in {f.partition("/")[0] for f, _ in self.running()}:
                self._check_cancelled(ref)
            self._replay_reports_to_new_leader()
            self.balancer.step(self.clock.now)
            self.polling_users.step()
            if self._step_count % 10 == 0:
                self.starvation_check.observe(self)
            if until is not None and until():
                return True
        return until is None

    def _shuffled(self, items: Iterable) -> list:
        items = list(items)
        if self.network_conditions is not None:
            self.random.shuffle(items)
        return items

    def _step_node(self, node: Node, step: int) -> None:
        node.watch_store()
        if step % 5 == 0:
            node.leadership.run_once()
        node.stop_tasks()
        for _ in range(4):
            if not node.round():
                break
        if step % 5 == 0:
            node.machine_monitor.run_once()
        if step % 10 == 0:
            node.fleet.run_once()
            node.check_store_access()
            node.update_ledger()


class _UserRequest(greenlet):
    """A user's request that waits for its answer."""

    def resume(self) -> None:
        self.parent = getcurrent()
        self.switch()


class _SimulatedTransport:
    """A node's transport in the simulated site."""

    def __init__(self, world: World, name: str) -> None:
        self._world, self._name = world, name

    def request(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        timeout: timedelta,
        may_send: Callable[[], bool] | None = None,
    ) -> Reply:
        fields, sent_at = orjson.loads(body) if body else {}, self._world.clock.now
        if may_send is not None and not may_send():
            raise RequestWithheld

        def handle() -> Reply:
            return self._world.deliver(self._name, address, method, path, fields, sent_at)

        exchanges = self._world._exchanges
        return handle() if exchanges is None else exchanges.carry(handle, timeout)


def _call_now(function: Callable, *args) -> None:
    function(*args)


__all__ = ["GUEST", "ZERO", "Team", "World", "seconds"]
