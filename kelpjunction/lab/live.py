"""A lab of real processes on loopback: nodes as `serve` runs them, and the stand-ins over HTTP.

The state service, the cloud and each worker listen on their own ports. A
control port accepts faults from a second terminal. Tasks run and machines boot
`speed` times as fast as their nominal times. Everything ends with the process.
"""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from datetime import timedelta
from pathlib import Path

import gevent
import orjson
import tomli_w
from gevent.pywsgi import WSGIServer

from kelpjunction.clock import seconds
from kelpjunction.lab.node_settings import LabPlatform, NodePlace, node_settings
from kelpjunction.lab.serving import HOST, REPORT_RESPONSE_TIMEOUT, Handle, Refused, ServedStore, machine_handle, serve
from kelpjunction.lab.site import CLOUD_LIMITS, STORE_LIMITS, TEAMS, Site
from kelpjunction.lab.worker import WorkerStandIn
from kelpjunction.tickets.users import CANCEL_SUFFIX, TICKETS_PATH
from kelpjunction.transport import HttpTransport, NoResponse, Reply
from kelpjunction.wire.workers import CHECK_IN_PATH

STATE_PORT, CLOUD_PORT, CONTROL_PORT, GATEWAY_PORT = 379, 443, 70, 90  # offsets from the lab's first port, as for nodes
STEP_INTERVAL = timedelta(milliseconds=100)
USER_TIMEOUT = timedelta(seconds=5)


class LiveClock:
    """The system's monotonic clock, for the stand-ins."""

    @property
    def now(self) -> timedelta:
        return seconds(time.monotonic())


class LiveSite(Site):
    """Real node processes and the stand-ins that they use."""

    def __init__(
        self,
        nodes: int,
        zones: int,
        machines: int,
        speed: float,
        port: int,
        seed: int = 1,
        operators: str | None = None,
        verbose: bool = False,
        tickets: bool = False,
    ) -> None:
        names = tuple("abcdefghijklmnopqrstuvwxyz"[:zones])
        super().__init__(LiveClock(), seed, names, TEAMS, 2 * machines, speed)
        self.node_count = nodes
        self.varied = True
        self._port = port
        self._verbose = verbose
        self._operators = [] if operators is None else ["--operators", str(Path(operators).resolve())]
        self._transport = HttpTransport()
        self._folder = tempfile.TemporaryDirectory(prefix="kelpjunction-lab-")
        self._servers: list[WSGIServer] = []
        self.processes: dict[str, subprocess.Popen | None] = dict.fromkeys(self.node_names)
        self._served_store = ServedStore(self.store)
        self._serve(STATE_PORT, self._served_store.handle)
        self._serve(CLOUD_PORT, self.cloud.handle)
        self._serve(CONTROL_PORT, self._control)
        for number in range(machines):
            self.cloud.add(self.zones[number % zones], False, self.clock.now)
        for name in self.processes:
            self.start_node(name)
        self._gateway = self._start_gateway() if tickets else None

    # -- servers ----------------------------------------------------------------

    def _serve(self, offset: int, handle: Handle) -> int:
        """Serve `handle` at this offset from the first port, or at any free port with offset 0; returns the port."""
        server = serve(handle, self._port + offset if offset else 0)
        self._servers.append(server)
        return server.server_port

    def address_of(self, worker: WorkerStandIn, number: int) -> str:
        gevent.spawn(self._run_worker, worker)
        return f"{HOST}:{self._serve(0, machine_handle(worker))}"

    def _run_worker(self, worker: WorkerStandIn) -> None:
        while True:
            gevent.sleep(STEP_INTERVAL.total_seconds())
            worker.step()

    # -- nodes --------------------------------------------------------------------

    def _node_address(self, number: int, internal: bool = False) -> str:
        return f"{HOST}:{self._port + 80 + 100 * number + internal}"

    def settings(self, name: str) -> dict:
        """The contents of a node's settings file, as DEPLOY describes it."""
        places = [
            NodePlace(
                node,
                self.zones[number % len(self.zones)],
                self._node_address(number),
                self._node_address(number, internal=True),
            )
            for number, node in enumerate(self.node_names)
        ]
        services = {
            "cloud": f"{HOST}:{self._port + CLOUD_PORT}",
            "state": f"{HOST}:{self._port + STATE_PORT}",
        }
        lab = LabPlatform(self.zones, self.teams, self.times, STORE_LIMITS, CLOUD_LIMITS)
        others = [place for place in places if place.name != name]
        return node_settings(places[self.number_of(name)], others, services, lab)

    def start_node(self, name: str) -> None:
        """Start a node's process if it is not running; raises `Refused` if its port is taken."""
        if self.runs(name):
            return
        address = self.settings(name)["listen"]
        host, _, port = address.partition(":")
        with socket.socket() as probe:
            if probe.connect_ex((host, int(port))) == 0:
                raise Refused(f"{address} is already in use, possibly by another lab; choose another port with --port")
        file = Path(self._folder.name) / f"{name}.toml"
        file.write_text(tomli_w.dumps(self.settings(name)))
        self.processes[name] = self._process(name, "serve", "--config", str(file), *self._operators)

    def _start_gateway(self) -> subprocess.Popen:
        """Start one ticket gateway with one class for each rerun policy."""
        settings = {
            "name": "gate-0",
            "listen": f"{HOST}:{self._port + GATEWAY_PORT}",
            "classes": {runs: {"runs": runs} for runs in ("once", "after-failure", "after-pause", "always")},
        }
        file = Path(self._folder.name) / "gateway.json"
        file.write_bytes(orjson.dumps(settings))
        node = Path(self._folder.name) / f"{self.node_names[0]}.toml"
        return self._process("gateway", "ticket", "serve", "--config", str(node), "--settings", str(file))

    def _process(self, name: str, *command: str) -> subprocess.Popen:
        """Start a command of the command line; its log goes to the folder of the settings files."""
        with (Path(self._folder.name) / f"{name}.log").open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "kelpjunction", *command],
                stderr=None if self._verbose else log,
                cwd=Path(__file__).resolve().parents[2],
            )

    def kill_node(self, name: str) -> None:
        process = self.processes[name]
        if process is not None:
            process.kill()
            process.wait()

    def runs(self, name: str) -> bool:
        process = self.processes[name]
        return process is not None and process.poll() is None

    def leader_name(self) -> str | None:
        """The leader according to the state service, if there is one."""
        entry = self.store.data.get("l/lead")
        return entry[0]["node"] if entry else None

    def close(self) -> None:
        """Stop all processes and servers, and delete the settings and logs."""
        for name in self.processes:
            self.kill_node(name)
        if self._gateway is not None:
            self._gateway.kill()
            self._gateway.wait()
        for server in self._servers:
            server.stop(timeout=0.1)
        self._folder.cleanup()

    # -- messages -----------------------------------------------------------------

    def ask(self, method: str, path: str, body: bytes, node: str | None) -> tuple[int, dict]:
        numbers = [self.number_of(node)] if node else self.random.sample(range(self.node_count), self.node_count)
        for number in numbers:
            try:
                return self._transport.request(self._node_address(number), method, path, body or None, USER_TIMEOUT)
            except NoResponse:
                continue
        raise NoResponse("every node refuses the connection")

    def ask_gateway(self, action: str, argument: bytes | str, name: str | None = None) -> tuple[int | None, dict]:
        method, path, body = {
            "submit": ("POST", TICKETS_PATH, argument),
            "show": ("GET", f"{TICKETS_PATH}/{argument}", None),
            "cancel": ("POST", f"{TICKETS_PATH}/{argument}{CANCEL_SUFFIX}", b"{}"),
        }[action]
        try:
            return self._transport.request(f"{HOST}:{self._port + GATEWAY_PORT}", method, path, body, USER_TIMEOUT)
        except NoResponse:
            return None, {}

    def reach_node(self, worker: WorkerStandIn, number: int, fields: dict) -> tuple[int, dict]:
        if worker.partitioned:
            gevent.sleep(REPORT_RESPONSE_TIMEOUT.total_seconds())
            raise NoResponse("the machine is cut off from the network")
        address = self._node_address(number)
        return self._transport.request(address, "POST", CHECK_IN_PATH, orjson.dumps(fields), REPORT_RESPONSE_TIMEOUT)

    # -- faults -------------------------------------------------------------------

    def run_after(self, duration: float, act) -> None:
        if duration:
            gevent.spawn_later(duration, act)

    def suspend_node(self, name: str, duration: float) -> None:
        process = self.processes[name]
        os.kill(process.pid, signal.SIGSTOP)
        self.run_after(duration, lambda: process.poll() is None and os.kill(process.pid, signal.SIGCONT))

    def _control(self, method: str, path: str, body: dict) -> Reply:
        if method == "POST":
            self.fault(body["do"], body.get("target", ""), float(body.get("seconds", 0)))
            return Reply(200, {})
        return Reply(200, self.status())

    # -- status ---------------------------------------------------------------------

    def status(self) -> dict:
        """The data that the lab's table shows."""
        live = Counter(task_id.partition("/")[0] for task_id, _ in self._live_tasks())
        specs = {k.removeprefix("l/job/"): v[0]["spec"] for k, v in self.store.data.items() if k.startswith("l/job/")}
        ends = {k.removeprefix("e/"): v[0]["end"] for k, v in self.store.data.items() if k.startswith("e/")}
        jobs = {
            ref: {"team": spec["crew"], "shape": spec["shape"], "tasks": spec["fronds"], "running": live[ref]}
            for ref, spec in specs.items()
        }
        usage = Counter()
        for ref, count in live.items():
            usage[self.job(ref)["crew"]] += count * self.job(ref)["cpus"]
        workers = [worker for worker, _ in self.cloud.machines.values()]
        return {
            "nodes": {n: "up" if p is not None and p.poll() is None else "down" for n, p in self.processes.items()},
            "leader": self.leader_name(),
            "blocks": {z: (self.store.data.get(f"l/block/{z}") or [{}])[0].get("holder") for z in self.zones},
            "state": "outage" if self.store.is_down else "up",
            "machines": {z: sum(w.alive for w in workers if w.zone == z) for z in self.zones},
            "teams": {t.name: {"cpus": usage[t.name], "guaranteed": t.cpus, "limit": t.cpus_max} for t in self.teams},
            "jobs": jobs,
            "ended": ends,
            "broken": self.broken,
        }

    def run(self, duration: float, until=None) -> bool:
        """Run for `duration` seconds or until `until` is true.

        Returns whether `until` became true; without `until`, returns True.
        """
        end = time.monotonic() + duration
        while time.monotonic() < end:
            self.store.expire_leases()
            self._served_store.notify_watches()
            if until is not None and until():
                return True
            gevent.sleep(STEP_INTERVAL.total_seconds())
        return until is None
