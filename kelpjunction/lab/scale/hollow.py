"""A process of hollow workers, each with its own connection, session, token, lease and report times.

Their tasks run on timers, and nothing else runs.  Started by a scale run,
which writes orders to its standard input and reads batches of events from its
standard output.  Ends with its input.
"""

import random
import time
from datetime import timedelta

import gevent
import orjson
from gevent.pywsgi import WSGIServer
from gevent.socket import socket
from geventhttpclient.client import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool

from kelpjunction.clock import seconds
from kelpjunction.lab.live import STEP_INTERVAL, LiveClock
from kelpjunction.lab.node_settings import node_number
from kelpjunction.lab.scale.children import CommandStream, tell
from kelpjunction.lab.scale.messages import Batch, EventKind, ProcessCommand, TaskEvent
from kelpjunction.lab.serving import REPORT_RESPONSE_TIMEOUT, machine_handle, serve
from kelpjunction.lab.worker import WorkerStandIn
from kelpjunction.settings import WorkerTimes
from kelpjunction.transport import HttpTransport, NoResponse
from kelpjunction.wire.workers import CHECK_IN_PATH

TELL_EVERY = timedelta(milliseconds=50)
FETCH = timedelta(milliseconds=200)  # that a hollow task takes to be ready
RUN_SPREAD = (0.85, 1.15)
REPORT_CONNECTIONS = 1


class ByteCounter:
    """Bytes that this process has sent and received over its counting sockets."""

    total = 0


class CountingSocket(socket):
    """A socket that counts what goes through it, headers included."""

    def recv(self, *args, **how) -> bytes:
        data = super().recv(*args, **how)
        ByteCounter.total += len(data)
        return data

    def recv_into(self, *args, **how) -> int:
        count = super().recv_into(*args, **how)
        ByteCounter.total += count
        return count

    def send(self, *args, **how) -> int:
        count = super().send(*args, **how)
        ByteCounter.total += count
        return count


class CountingServer(WSGIServer):
    """A server whose connections count their bytes."""

    def do_read(self):
        accepted = super().do_read()
        if accepted is None:
            return None
        connection, address = accepted
        counted = CountingSocket(connection.family, connection.type, connection.proto, fileno=connection.detach())
        return counted, address


class _CountingPool(ConnectionPool):
    def _create_tcp_socket(self, family: int, socktype: int, protocol: int) -> CountingSocket:
        return CountingSocket(family, socktype, protocol)


class CountingTransport(HttpTransport):
    """One worker's connections to the controllers."""

    def _connect(self, address: str) -> HTTPClient:
        client = super()._connect(address)
        client._connection_pool.__class__ = _CountingPool  # the library has no other way to bring one's own sockets
        return client


class HollowWorkers:
    """The workers of this process and what surrounds them (`lab.worker.WorkerEnvironment`)."""

    reports_changes = True

    def __init__(self, nodes: list[str], times: WorkerTimes, seed: int) -> None:
        self.clock = LiveClock()
        self.times = times
        self.nodes = nodes
        self.node_count = len(nodes)
        self._random = random.Random(seed)
        self._workers: dict[str, WorkerStandIn] = {}
        self._transports: dict[str, CountingTransport] = {}
        self._servers: dict[str, WSGIServer] = {}
        self._jobs: dict[str, dict] = {}
        self._events: list[TaskEvent] = []
        self._gone: list[str] = []
        self._check_ins_ms: list[int] = []
        self._failed_check_ins = 0
        self._counted = 0

    # -- what a worker asks for ----------------------------------------------

    def start(self, worker: WorkerStandIn, frond: str, attempt: int) -> dict:
        """A task on timers."""
        job = self._jobs.get(frond.partition("/")[0])
        if job is None:
            return {"tide": "exited", "cause": "unknown", "ends": None, "job": {}}
        self._tell(EventKind.STARTED, worker, frond)
        ready = self.clock.now + FETCH
        ends = None if job["shape"] == "service" else ready + seconds(job["run_s"]) * self.vary(RUN_SPREAD)
        return {"tide": "pulling", "ready": ready, "ends": ends, "job": job}

    def exited(self, worker: WorkerStandIn, frond: str, cause: str) -> None:
        """A task has exited."""
        self._tell(EventKind.EXITED, worker, frond, cause)

    def cleared(self, worker: WorkerStandIn) -> None:
        """All tasks of a worker are gone."""
        self._tell(EventKind.CLEARED, worker)

    def _tell(self, kind: EventKind, worker: WorkerStandIn, frond: str = "", cause: str = "") -> None:
        self._events.append(TaskEvent(time.monotonic(), kind, worker.name, frond, cause))

    def send_report(self, worker: WorkerStandIn, fields: dict) -> None:
        """Send a report on the worker's own connection, while the others go on."""
        gevent.spawn(self._carry, worker, worker.restart_count, fields)

    def _carry(self, worker: WorkerStandIn, life: int, fields: dict) -> None:
        sent_at = self.clock.now
        transport = self._transports[worker.name]
        try:
            address = self.nodes[worker.node]
            reply = transport.request(address, "POST", CHECK_IN_PATH, orjson.dumps(fields), REPORT_RESPONSE_TIMEOUT)
        except NoResponse:
            self._failed_check_ins += 1
            if worker.restart_count == life:
                worker.on_no_response()
            return
        self._check_ins_ms.append(round((self.clock.now - sent_at).total_seconds() * 1000))
        if worker.alive and worker.restart_count == life:
            worker.on_report_response(fields, sent_at, *reply)

    def number_of(self, node: str | None) -> int | None:
        """The number of a node by its name."""
        return node_number(node, self.node_count)

    def vary(self, spread: tuple[float, float]) -> float:
        """By how much a time differs, by the seed."""
        return self._random.uniform(*spread)

    # -- orders ----------------------------------------------------------------

    def handle_command(self, order: ProcessCommand, fields: dict) -> None:
        """Carry out one order of the run."""
        if order is ProcessCommand.ADD:
            for machine in fields["machines"]:
                self._add(**machine)
        elif order is ProcessCommand.JOB:
            self._jobs[fields["ref"]] = fields
        elif order is ProcessCommand.DIE:
            for name in fields["machines"]:
                self._die(name)
        else:
            for worker in self._workers.values():
                worker.restart()

    def _add(self, name: str, zone: str, spot: bool, address: str, ready: float) -> None:
        worker = self._workers[name] = WorkerStandIn(self, name, zone, spot)
        worker.address = address
        spread = self.times.report * self.vary((0.0, 1.0))
        worker.lease_renewed_at = worker.booted_at = seconds(ready)
        worker.next_report = seconds(ready) + spread
        worker.node = self._random.randrange(self.node_count)
        self._transports[name] = CountingTransport(REPORT_CONNECTIONS)

        host, _, port = address.rpartition(":")
        self._servers[name] = serve(machine_handle(worker), int(port), host, CountingServer)

    def _die(self, name: str) -> None:
        worker = self._workers.pop(name, None)
        if worker is not None:
            worker.die()
            self._servers.pop(name).stop(timeout=0)
        self._gone.append(name)

    # -- loops -------------------------------------------------------------------

    def step_forever(self) -> None:
        """Let time pass for every worker that is up."""
        while True:
            for worker in list(self._workers.values()):
                if worker.up:
                    worker.step()
            gevent.sleep(STEP_INTERVAL.total_seconds())

    def tell_forever(self) -> None:
        """Write what happened, every few milliseconds."""
        while True:
            gevent.sleep(TELL_EVERY.total_seconds())
            batch = Batch(
                time.monotonic(),
                self._events,
                self._gone,
                ByteCounter.total - self._counted,
                self._check_ins_ms,
                self._failed_check_ins,
            )
            self._events, self._gone, self._check_ins_ms, self._failed_check_ins = [], [], [], 0
            self._counted = ByteCounter.total
            tell(batch.fields())


def main() -> None:
    """Be told who the controllers are, and then obey until there are no more orders."""
    orders = CommandStream()
    times = WorkerTimes(**{name: seconds(value) for name, value in orders.first["times"].items()})
    workers = HollowWorkers(orders.first["nodes"], times, orders.first["seed"])
    orders.run(
        lambda fields: workers.handle_command(ProcessCommand(fields.pop("do")), fields),
        workers.step_forever,
        workers.tell_forever,
    )


if __name__ == "__main__":
    main()
