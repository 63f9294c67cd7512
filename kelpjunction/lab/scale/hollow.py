"""A process of hollow workers, each with its own connection, session, token, lease and report times.

Their tasks are only timers; no real work runs.  A scale run starts this
process, writes commands to its standard input and reads batches of events from
its standard output.  The process exits when its standard input is closed.
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
from kelpjunction.lab.scale.children import CommandStream, send_to_run
from kelpjunction.lab.scale.messages import Batch, EventKind, ProcessCommand, TaskEvent
from kelpjunction.lab.serving import REPORT_RESPONSE_TIMEOUT, Handle, machine_handle, serve
from kelpjunction.lab.worker import WorkerStandIn
from kelpjunction.settings import WorkerTimes
from kelpjunction.transport import HttpTransport, NoResponse, Reply
from kelpjunction.wire.workers import CHECK_IN_PATH, COMMANDS_PATH

BATCH_INTERVAL = timedelta(milliseconds=50)
FETCH_TIME = timedelta(milliseconds=200)  # simulated image fetch, before a hollow task is ready
RUN_SPREAD = (0.85, 1.15)  # range of a task's run time, as a multiple of its job's
CONNECTIONS_PER_WORKER = 1


class ByteCounter:
    """Total bytes that this process has sent and received over its counting sockets."""

    total = 0


class CountingSocket(socket):
    """A socket that counts all bytes that it sends and receives, HTTP headers included."""

    def recv(self, *args, **kwargs) -> bytes:
        data = super().recv(*args, **kwargs)
        ByteCounter.total += len(data)
        return data

    def recv_into(self, *args, **kwargs) -> int:
        count = super().recv_into(*args, **kwargs)
        ByteCounter.total += count
        return count

    def send(self, *args, **kwargs) -> int:
        count = super().send(*args, **kwargs)
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
    """One worker's connections to the controllers, with their bytes counted."""

    def _connect(self, address: str) -> HTTPClient:
        client = super()._connect(address)
        client._connection_pool.__class__ = _CountingPool  # the library offers no other way to supply custom sockets
        return client


class HollowWorkers:
    """The workers of this process and their environment (implements `lab.worker.WorkerEnvironment`)."""

    reports_changes = True

    def __init__(self, nodes: list[str], times: WorkerTimes, seed: int, command_copies: float) -> None:
        self.clock = LiveClock()
        self.times = times
        self.nodes = nodes
        self.node_count = len(nodes)
        self._random = random.Random(seed)
        self._command_copies = command_copies
        self._workers: dict[str, WorkerStandIn] = {}
        self._transports: dict[str, CountingTransport] = {}
        self._servers: dict[str, WSGIServer] = {}
        self._jobs: dict[str, dict] = {}
        self._events: list[TaskEvent] = []
        self._removed_machines: list[str] = []
        self._check_ins_ms: list[int] = []
        self._failed_check_ins = 0
        self._bytes_already_sent_in_batches = 0

    # -- called by the workers -----------------------------------------------

    def start(self, worker: WorkerStandIn, task_id: str, attempt: int) -> dict:
        """Start a task as timers; a service has no end time.

        A task of an unknown job exits at once.
        """
        job = self._jobs.get(task_id.partition("/")[0])
        if job is None:
            return {"tide": "exited", "cause": "unknown", "ends": None, "job": {}}
        self._record_event(EventKind.STARTED, worker, task_id)
        ready = self.clock.now + FETCH_TIME
        ends = None if job["shape"] == "service" else ready + seconds(job["run_s"]) * self.vary(RUN_SPREAD)
        return {"tide": "pulling", "ready": ready, "ends": ends, "job": job}

    def exited(self, worker: WorkerStandIn, task_id: str, cause: str) -> None:
        """Record that a task has exited."""
        self._record_event(EventKind.EXITED, worker, task_id, cause)

    def started_again(self, worker: WorkerStandIn, task_id: str, attempt: int) -> None:
        """Record that a worker starts a forgotten attempt again."""
        self._record_event(EventKind.STARTED_AGAIN, worker, task_id)

    def cleared(self, worker: WorkerStandIn) -> None:
        """Record that all tasks of a worker ended at once."""
        self._record_event(EventKind.CLEARED, worker)

    def _record_event(self, kind: EventKind, worker: WorkerStandIn, task_id: str = "", cause: str = "") -> None:
        self._events.append(TaskEvent(time.monotonic(), kind, worker.name, task_id, cause))

    def send_report(self, worker: WorkerStandIn, fields: dict) -> None:
        """Send a report on the worker's own connection, without blocking the other workers."""
        gevent.spawn(self._send_report, worker, worker.restart_count, fields)

    def _send_report(self, worker: WorkerStandIn, restart_count: int, fields: dict) -> None:
        sent_at = self.clock.now
        transport = self._transports[worker.name]
        try:
            address = self.nodes[worker.node]
            reply = transport.request(address, "POST", CHECK_IN_PATH, orjson.dumps(fields), REPORT_RESPONSE_TIMEOUT)
        except NoResponse:
            self._failed_check_ins += 1
            if worker.restart_count == restart_count:
                worker.on_no_response()
            return
        self._check_ins_ms.append(round((self.clock.now - sent_at).total_seconds() * 1000))
        if worker.alive and worker.restart_count == restart_count:
            worker.on_report_response(fields, sent_at, *reply)

    def number_of(self, node: str | None) -> int | None:
        """The number of a node by its name."""
        return node_number(node, self.node_count)

    def vary(self, spread: tuple[float, float]) -> float:
        """A random factor within the spread, from the seeded generator."""
        return self._random.uniform(*spread)

    # -- commands --------------------------------------------------------------

    def handle_command(self, command: ProcessCommand, fields: dict) -> None:
        """Carry out one command of the run."""
        if command is ProcessCommand.ADD:
            for machine in fields["machines"]:
                self._add(**machine)
        elif command is ProcessCommand.JOB:
            self._jobs[fields["ref"]] = fields
        elif command is ProcessCommand.DIE:
            for name in fields["machines"]:
                self._remove(name)
        else:
            for worker in self._workers.values():
                worker.restart()

    def _add(self, name: str, zone: str, spot: bool, address: str, ready: float) -> None:
        worker = self._workers[name] = WorkerStandIn(self, name, zone, spot)
        worker.address = address
        first_delay = self.times.report * self.vary((0.0, 1.0))
        worker.lease_renewed_at = worker.booted_at = seconds(ready)
        worker.next_report = seconds(ready) + first_delay
        worker.node = self._random.randrange(self.node_count)
        self._transports[name] = CountingTransport(CONNECTIONS_PER_WORKER)

        host, _, port = address.rpartition(":")
        self._servers[name] = serve(self._handle_with_copies(worker), int(port), host, CountingServer)

    def _handle_with_copies(self, worker: WorkerStandIn) -> Handle:
        """A machine's handler; some requests with commands reach the same process again, up to a lease later."""
        handle = machine_handle(worker)

        def copy_later(body: dict, restart_count: int) -> None:
            gevent.sleep(self.vary((0.1, self.times.lease.total_seconds())))
            if worker.alive and worker.restart_count == restart_count:
                worker.handle("POST", COMMANDS_PATH, body)

        def handle_once_more(method: str, path: str, body: dict) -> Reply:
            reply = handle(method, path, body)
            if path == COMMANDS_PATH and reply.status == 200 and self._random.random() < self._command_copies:
                gevent.spawn(copy_later, body, worker.restart_count)
            return reply

        return handle_once_more

    def _remove(self, name: str) -> None:
        worker = self._workers.pop(name, None)
        if worker is not None:
            worker.die()
            self._servers.pop(name).stop(timeout=0)
        self._removed_machines.append(name)

    # -- loops -------------------------------------------------------------------

    def step_forever(self) -> None:
        """Step every worker that is up, at a fixed interval."""
        while True:
            for worker in list(self._workers.values()):
                if worker.up:
                    worker.step()
            gevent.sleep(STEP_INTERVAL.total_seconds())

    def send_batches_forever(self) -> None:
        """Write a batch of events and figures to the run every `BATCH_INTERVAL`."""
        while True:
            gevent.sleep(BATCH_INTERVAL.total_seconds())
            batch = Batch(
                time.monotonic(),
                self._events,
                self._removed_machines,
                ByteCounter.total - self._bytes_already_sent_in_batches,
                self._check_ins_ms,
                self._failed_check_ins,
            )
            self._events, self._removed_machines, self._check_ins_ms, self._failed_check_ins = [], [], [], 0
            self._bytes_already_sent_in_batches = ByteCounter.total
            send_to_run(batch.fields())


def main() -> None:
    """Read the controllers' addresses from the first line, then run the workers until the commands end."""
    commands = CommandStream()
    times = WorkerTimes(**{name: seconds(value) for name, value in commands.first["times"].items()})
    workers = HollowWorkers(commands.first["nodes"], times, commands.first["seed"], commands.first["command_copies"])
    commands.run(
        lambda fields: workers.handle_command(ProcessCommand(fields.pop("do")), fields),
        workers.step_forever,
        workers.send_batches_forever,
    )


if __name__ == "__main__":
    main()
