"""Stand-ins for the state service, the cloud, workers and users, as PROTOCOL describes them, on loopback.

Only the standard library is used. Each controller gets its own port of the state service (`Link`), so that a case
can delay or refuse the requests of one controller. Every observable event is written to the record.
"""

import collections
import http.client
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
import urllib.parse
from http.server import BaseHTTPRequestHandler
from pathlib import Path
from socketserver import TCPServer, ThreadingMixIn

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
REPORT_TIMEOUT_S = 4.0


class CannotRun(Exception):
    """The case could not run; its exit code is 2."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, path):
        self.started = time.monotonic()
        self._file = Path(path).open("w")  # noqa: SIM115
        self._lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, *words):
        at = self.now()
        with self._lock:
            if not self._file.closed:
                self._file.write(f"{at:9.3f} " + " ".join(str(w) for w in words) + "\n")
                self._file.flush()
        return at


# -- HTTP ---------------------------------------------------------------------


class Hang(Exception):
    """Raised by a handler whose peer shall get no answer; the connection stays open until the case ends."""


class _Server(ThreadingMixIn, TCPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass


def serve(handle, port=0):
    """Serve `handle(method, path, body) -> (status, fields)` on loopback; returns the server."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        wbufsize = -1

        def _answer(self):
            length = int(self.headers.get("Content-Length") or 0)
            raw = self.rfile.read(length)
            try:
                body = json.loads(raw) if raw else {}
            except ValueError:
                body = None
            try:
                status, fields = (400, {}) if body is None else handle(self.command, self.path, body)
            except Hang:
                threading.Event().wait()
            content = json.dumps(fields, separators=(",", ":")).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(content)))
            self.end_headers()
            self.wfile.write(content)
            self.wfile.flush()

        do_GET = do_POST = do_DELETE = _answer

        def log_message(self, *args):
            pass

    server = _Server((HOST, port), Handler)
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.2}, daemon=True).start()
    return server


def call(connection, method, path, fields=None):
    """One exchange on an open connection; returns status, body and Retry-After."""
    body = None if fields is None else json.dumps(fields).encode()
    connection.request(method, path, body, {"Content-Type": "application/json"} if body else {})
    response = connection.getresponse()
    content = response.read()
    try:
        answer = json.loads(content) if content else {}
    except ValueError:
        answer = {}
    if response.getheader("Connection", "").lower() == "close":
        connection.close()
    return response.status, answer, response.getheader("Retry-After")


def ask(address, method, path, fields=None, timeout=5.0):
    """One exchange on a new connection; status None if there is no answer."""
    host, _, port = address.partition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        status, answer, _ = call(connection, method, path, fields)
        return status, answer
    except (OSError, http.client.HTTPException):
        return None, {}
    finally:
        connection.close()


def free_port():
    """A free port below the range from which the system takes ports for outgoing connections."""
    while True:
        port = random.randrange(15_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port


# -- the state service ----------------------------------------------------------


class Bucket:
    """A rate limit with a burst of one second's worth."""

    def __init__(self, rate):
        self.rate, self.level, self.at = rate, rate, time.monotonic()

    def take(self, n):
        now = time.monotonic()
        self.level, self.at = min(self.rate, self.level + self.rate * (now - self.at)), now
        if self.level < n:
            return False
        self.level -= n
        return True


class StateService:
    """The store of PROTOCOL, "Controller nodes -> state service"."""

    def __init__(self, limits, latency_s=0.003):
        self.limits, self.latency_s = dict(limits), latency_s
        self.data = {}  # key -> (value, stamp, mooring)
        self.ledger = 0
        self.history = collections.deque(maxlen=10_000)
        self.leases = {}  # id -> [end, ttl]
        self.next_lease = 1
        self.changed = threading.Condition()
        self.requests, self.writes = Bucket(limits["rps"]), Bucket(limits["write_rps"])
        self.on_commit = lambda changes: None
        threading.Thread(target=self._expire, daemon=True).start()

    def _expire(self):
        while True:
            time.sleep(0.05)
            with self.changed:
                now = time.monotonic()
                for lease in [i for i, (end, _) in self.leases.items() if now > end]:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, (_, _, m) in self.data.items() if m == lease]:
            self.ledger += 1
            self._change(key, None, None)
        self.changed.notify_all()

    def _change(self, key, value, lease):
        if value is None:
            self.data.pop(key, None)
            self.history.append({"delete": key, "stamp": self.ledger})
        else:
            self.data[key] = (value, self.ledger, lease)
            self.history.append({"set": key, "data": value, "stamp": self.ledger})

    def handle(self, method, path, body, link=None):
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        with self.changed:
            if not self.requests.take(1):
                return 429, {}
        if self.latency_s:
            time.sleep(self.latency_s)
        if url.path == "/follow":
            return self._follow(query, link)
        with self.changed:
            if url.path == "/store":
                return self._list(query)
            if url.path.startswith("/store/"):
                key = urllib.parse.unquote(url.path.removeprefix("/store/"))
                entry = self.data.get(key)
                if entry is None:
                    return 404, {"ledger": self.ledger}
                fields = {"key": key, "data": entry[0], "stamp": entry[1]}
                return 200, fields | ({"mooring": entry[2]} if entry[2] else {})
            if url.path == "/commit":
                return self._commit(body)
            if url.path == "/holds":
                ttl = body.get("ttl_ms")
                if not isinstance(ttl, int) or not 100 <= ttl <= 600_000:
                    return 400, {}
                lease, self.next_lease = self.next_lease, self.next_lease + 1
                self.leases[lease] = [time.monotonic() + ttl / 1000, ttl / 1000]
                return 200, {"mooring": lease}
            if url.path.startswith("/holds/"):
                lease = int(url.path.split("/")[2])
                if lease not in self.leases:
                    return 404, {}
                if method == "DELETE":
                    self._end_lease(lease)
                else:
                    self.leases[lease][0] = time.monotonic() + self.leases[lease][1]
                return 200, {"mooring": lease}
        return 400, {}

    def _list(self, query):
        prefix, since = query.get("prefix", ""), query.get("since", "")
        keys = sorted(k for k in self.data if k.startswith(prefix) and k > since)
        pairs, size = [], 0
        for key in keys[: min(1000, int(query.get("most", 1000)))]:
            value, stamp, _ = self.data[key]
            size += len(json.dumps(value)) + len(key) + 40
            if pairs and size > 512 * 1024:
                break
            pairs.append({"key": key, "data": value, "stamp": stamp})
        return 200, {"pairs": pairs, "has_next": len(pairs) < len(keys), "ledger": self.ledger}

    def _commit(self, body):
        guards, then = body.get("guards") or [], body.get("then") or []
        failed = [g["key"] for g in guards if self.data.get(g["key"], (None, 0, None))[1] != g["stamp"]]
        if then and not self.writes.take(min(len(then), self.writes.rate)):
            return 429, {}
        limits = self.limits
        if len(then) > limits["txn_ops"] or len(guards) > 4 * limits["txn_ops"] or len(json.dumps(body)) > 64 * 1024:
            return 400, {"error": "transaction too large"}
        for op in then:
            if "set" in op and len(json.dumps(op["data"], separators=(",", ":"))) > limits["value_kb"] * 1024:
                return 400, {"error": "value too large"}
            if "set" in op and op.get("mooring") and op["mooring"] not in self.leases:
                return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if then:
            self.ledger += 1
            for op in then:
                if "set" in op:
                    self._change(op["set"], op["data"], op.get("mooring"))
                else:
                    self._change(op["delete"], None, None)
            self.changed.notify_all()
            self.on_commit(then)
        return 200, {"ledger": self.ledger}

    def _follow(self, query, link):
        prefix, since = query.get("prefix", ""), int(query["since"])
        until = time.monotonic() + min(60_000, int(query.get("hold_ms", 0))) / 1000
        with self.changed:
            while True:
                if self.history and self.history[0]["stamp"] > since + 1 and len(self.history) == 10_000:
                    return 410, {}
                news = []
                for change in reversed(self.history):
                    if change["stamp"] <= since:
                        break
                    if (change.get("set") or change.get("delete")).startswith(prefix):
                        news.append(change)
                left = until - time.monotonic()
                refused = link is not None and link.refusing
                if refused:  # an open watch waits as it would in an outage
                    self.changed.wait(0.1)
                    continue
                if news or left <= 0:
                    return 200, {"ledger": self.ledger, "news": news[::-1]}
                self.changed.wait(left)


class Link:
    """One controller's way to the state service: a port of its own, which can answer late or refuse."""

    def __init__(self, state):
        self.state = state
        self.refusing = False
        self.delay_s = lambda method, path, body: 0.0  # how much later an answer arrives
        self.server = serve(self._handle)
        self.address = f"{HOST}:{self.server.server_address[1]}"

    def _handle(self, method, path, body):
        if self.refusing:
            return 503, {}
        answer = self.state.handle(method, path, body, self)
        delay = self.delay_s(method, path, body)
        if delay > 0:
            time.sleep(delay)
        return answer


# -- workers ---------------------------------------------------------------------


class Site:
    """What the stand-ins of one case share: the record, the jobs that users uploaded, and the rules' bookkeeping."""

    def __init__(self, record, times, fetch_s=0.5):
        self.record, self.times, self.fetch_s = record, times, fetch_s
        self.jobs = {}  # ref -> submission
        self.run_s = {}  # ref -> how long a task runs; None: until it is stopped
        self.nodes = []  # (name, listen address)
        self.lock = threading.RLock()
        self.on_machine = collections.defaultdict(dict)  # task -> {machine: since}
        self.starts = []  # (time, task, attempt, machine)
        self.commands = []  # (time of arrival, way, time the report was sent or None, machine, verb, task, attempt)
        self.done = set()
        self.ran_twice = []
        self.random = random.Random(1)

    def task_begins(self, task, attempt, machine):
        with self.lock:
            at = self.record("task on machine", task, "attempt", attempt, machine)
            self.starts.append((at, task, attempt, machine))
            others = [m for m in self.on_machine[task] if m != machine]
            if others:
                self.ran_twice.append((task, machine, others))
                self.record("ALSO ON", task, others)
            self.on_machine[task][machine] = at

    def task_ends(self, task, attempt, machine, why):
        with self.lock:
            self.record("task ends", task, "attempt", attempt, machine, why)
            self.on_machine[task].pop(machine, None)
            if why == "done":
                self.done.add(task)


class Worker:
    """A machine's worker: PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers"."""

    def __init__(self, site, name, hull, bay, driftwood, cpus, gpus, ram_gb, up_in_s=0.0):
        self.site, self.name, self.hull, self.bay, self.driftwood = site, name, hull, bay, driftwood
        self.free = [cpus, gpus, ram_gb]
        self.watch, self.tally, self.helm = 1, 0, 0
        self.token_reported_at = -1e9
        self.tasks = {}  # (task, attempt) -> dict
        self.images = set()
        self.sick = False  # fails every task that it starts
        self.life = 1  # rises when the machine is restarted
        self.on_answer = lambda fields, status: None  # called with each report and the status of its answer
        self.alive = True
        self.lock = threading.RLock()
        self.wake = threading.Event()
        self.node = site.random.randrange(max(1, len(site.nodes)))
        self.up_at = time.monotonic() + up_in_s
        self.renewed_at = self.up_at
        self.server = serve(self._handle)
        self.address = f"{HOST}:{self.server.server_address[1]}"
        threading.Thread(target=self._report_loop, daemon=True).start()
        threading.Thread(target=self._run_loop, daemon=True).start()

    @property
    def up(self):
        return self.alive and time.monotonic() >= self.up_at

    def die(self):
        with self.lock:
            self.alive = False
            self._clear("machine gone")
        self.server.shutdown()
        self.server.server_close()
        self.wake.set()

    def restart(self):
        """The machine ends and is back at once: its tasks are gone, and all numbers start over."""
        with self.lock:
            self.site.record("machine restarted", self.name)
            self._clear("machine restarted")
            self.watch, self.tally, self.helm = 1, 0, 0
            self.renewed_at = time.monotonic()
            self.life += 1
            self.wake.set()

    def _clear(self, why):
        for (task, attempt), held in list(self.tasks.items()):
            if held["tide"] not in ("pulling", "exited"):
                self.site.task_ends(task, attempt, self.name, why)
            self._free(held)
        self.tasks.clear()

    def _free(self, held):
        if held["tide"] != "exited":
            job = held["job"]
            self.free = [
                f + n for f, n in zip(self.free, (job["cpus"], job["accelerators"], job["ram_gb"]), strict=True)
            ]

    def report(self):
        with self.lock:
            self.tally += 1
            return {
                "holdfast": self.name, "address": self.address, "hull": self.hull, "bay": self.bay,
                "driftwood": self.driftwood, "watch": self.watch, "tally": self.tally, "helm": self.helm,
                "warning_s": None,
                "fronds": [
                    {"frond": t, "launch": a, "tide": h["tide"]} | ({"cause": h["cause"]} if "cause" in h else {})
                    for (t, a), h in self.tasks.items()
                ],
            }  # fmt: skip

    # direct commands

    def _handle(self, method, path, body):
        if not self.up:
            raise Hang
        with self.lock:
            if path == "/status":
                return 200, self.report()
            if "helm" not in body or "watch" not in body:
                return 400, {}
            if body["helm"] < self.helm or body["watch"] != self.watch:
                return 409, self.report()
            self._see_token(body["helm"])
            self._execute(body["orders"], "direct", None)
            return 200, self.report()

    def _see_token(self, helm):
        if helm > self.helm:
            self.helm = helm
            if time.monotonic() - self.token_reported_at >= self.site.times["lease_s"] / 2:
                self.token_reported_at = time.monotonic()
                self.wake.set()

    def _execute(self, orders, way, report_sent_at):
        for order in orders:
            key = order["frond"], order["launch"]
            at = self.site.record("command", way, self.name, order["verb"], *key)
            self.site.commands.append((at, way, report_sent_at, self.name, order["verb"], *key))
            if order["verb"] == "run" and key not in self.tasks:
                self._start(*key)
            elif order["verb"] == "halt" and key in self.tasks and self.tasks[key]["tide"] != "exited":
                self._exit(key, "stopped")
            elif order["verb"] == "forget" and self.tasks.get(key, {}).get("tide") == "exited":
                del self.tasks[key]

    def _start(self, task, attempt):
        ref = task.partition("/")[0]
        job = self.site.jobs.get(ref)
        held = {"tide": "exited", "job": job}
        if job is None:
            held["cause"] = "unknown"
        elif any(t == task and h["tide"] != "exited" for (t, _), h in self.tasks.items()):
            held["cause"] = "in_use"
        elif any(
            f + 1e-6 < n for f, n in zip(self.free, (job["cpus"], job["accelerators"], job["ram_gb"]), strict=True)
        ):
            held["cause"] = "full"
        else:
            self.free = [
                f - n for f, n in zip(self.free, (job["cpus"], job["accelerators"], job["ram_gb"]), strict=True)
            ]
            fetch = 0.0 if job["bundle"] in self.images else self.site.fetch_s
            held |= {"tide": "pulling", "ready": time.monotonic() + fetch}
        self.tasks[task, attempt] = held
        self.wake.set()

    def _exit(self, key, cause):
        held = self.tasks[key]
        if held["tide"] != "pulling":
            self.site.task_ends(*key, self.name, cause)
        else:
            self.site.record("task ends before it was on the machine", *key, self.name, cause)
        self._free(held)
        held |= {"tide": "exited", "cause": cause}
        self.wake.set()

    def _run_loop(self):
        while self.alive:
            time.sleep(0.02)
            now = time.monotonic()
            with self.lock:
                if now - self.renewed_at > self.site.times["lease_s"] and self.up:
                    self.site.record("lease ended", self.name, "session", self.watch)
                    self._clear("lease ended")
                    self.watch += 1
                    self.renewed_at = now
                    self.wake.set()
                for key, held in list(self.tasks.items()):
                    if held["tide"] == "pulling" and now >= held["ready"]:
                        ref = key[0].partition("/")[0]
                        self.images.add(held["job"]["bundle"])
                        held["tide"] = "running"
                        self.site.task_begins(*key, self.name)
                        run = self.site.run_s.get(ref)
                        held["ends"] = None if run is None else now + run
                        if key[0] in self.site.done:
                            held["ends"] = now  # its result is kept
                        self.wake.set()
                        if self.sick:
                            self._exit(key, "error")
                    elif held["tide"] == "running" and held["ends"] is not None and now >= held["ends"]:
                        self._exit(key, "done")

    # reports

    def _report_loop(self):
        time.sleep(max(0.0, self.up_at - time.monotonic()))
        connection, connected_to = None, None
        while self.alive:
            self.wake.clear()
            with self.lock:
                fields, life = self.report(), self.life
            sent_at, sent = time.monotonic(), self.site.record.now()
            pause = self.site.times["report_s"] * self.site.random.uniform(0.75, 1.25)
            try:
                if connection is None or connected_to != self.node:
                    host, _, port = self.site.nodes[self.node][1].partition(":")
                    connection = http.client.HTTPConnection(host, int(port), timeout=REPORT_TIMEOUT_S)
                    connected_to = self.node
                status, answer, _ = call(connection, "POST", "/checkin", fields)
            except (OSError, http.client.HTTPException):
                status, answer = None, {}
            if not self.alive:
                return
            self.on_answer(fields, status)
            if life != self.life:
                connection = None
                continue
            if status == 200 and time.monotonic() - sent_at < REPORT_TIMEOUT_S:
                with self.lock:
                    if answer.get("helm", -1) >= self.helm and fields["watch"] == self.watch:
                        self._see_token(answer["helm"])
                        self.renewed_at = max(self.renewed_at, sent_at)
                        self._execute(answer["orders"], "answer", sent)
            elif status == 421 and (named := self._number_of(answer.get("harbour"))) not in (None, self.node):
                connection.close()
                connection, self.node, pause = None, named, 0.1
            else:
                if connection is not None:
                    connection.close()
                connection, self.node, pause = None, (self.node + 1) % len(self.site.nodes), 1.0
                time.sleep(pause)
                continue
            # A change is reported at once, though never more often than every half second.
            if self.wake.wait(pause):
                time.sleep(max(0.0, 0.5 - (time.monotonic() - sent_at)))

    def _number_of(self, name):
        return next((i for i, (node, _) in enumerate(self.site.nodes) if node == name), None)


# -- the cloud ---------------------------------------------------------------------


class Cloud:
    """The cloud of PROTOCOL: a catalog, machines up to a capacity for each type, zone and kind."""

    def __init__(self, site, hulls, capacity, list_lag_s, rps, boot_s=(0.6, 1.5)):
        self.site, self.hulls, self.capacity, self.list_lag_s = (
            site,
            {h["label"]: h for h in hulls},
            capacity,
            list_lag_s,
        )
        self.boot_s = boot_s
        self.machines = {}  # name -> (worker, rented at)
        self.rented = {}  # charter -> names
        self.number = 0
        self.lock = threading.RLock()
        self.bucket = Bucket(2 * rps)
        self.bucket.rate = 2 * rps
        self.refused = 0
        self.server = serve(self._handle)
        self.address = f"{HOST}:{self.server.server_address[1]}"

    def add(self, hull, bay, driftwood, up_in_s=0.0):
        with self.lock:
            self.number += 1
            name, h = f"n-{self.number:06d}", self.hulls[hull]
            worker = Worker(
                self.site, name, hull, bay, driftwood, h["cpus"], h.get("accelerators", 0), h["ram_gb"], up_in_s
            )
            self.machines[name] = (worker, time.monotonic())
            self.site.record("machine", name, hull, bay, "spot" if driftwood else "ordinary", f"up in {up_in_s:.0f} s")
            return worker

    def _handle(self, method, path, body):
        url = urllib.parse.urlsplit(path)
        time.sleep(0.05)
        with self.lock:
            if url.path == "/catalog":
                return 200, {"hulls": list(self.hulls.values())}
            if url.path == "/rentals/return":
                for name in body["holdfasts"]:
                    worker, _ = self.machines.pop(name, (None, None))
                    if worker is not None:
                        self.site.record("machine returned", name)
                        worker.die()
                return 200, {}
            if url.path == "/rentals" and method == "POST":
                return self._rent(body)
            query = dict(urllib.parse.parse_qsl(url.query))
            now = time.monotonic()
            names = [n for n, (_, at) in sorted(self.machines.items()) if now - at > self.list_lag_s]
            names = [n for n in names if n > query.get("since", "")]
            page = names[: int(query.get("most", 500))]
            listed = [
                {"ref": n, "address": w.address, "hull": w.hull, "bay": w.bay, "driftwood": w.driftwood,
                 "tide": "running" if w.up else "starting", "held_s": now - at}
                for n in page for w, at in [self.machines[n]]
            ]  # fmt: skip
            return 200, {"holdfasts": listed, "has_next": len(page) < len(names)}

    def _rent(self, body):
        if body["charter"] not in self.rented:
            offer = body["hull"], body["bay"], bool(body["driftwood"])
            used = sum((w.hull, w.bay, w.driftwood) == offer for w, _ in self.machines.values())
            count = min(body["number"], 50, self.capacity.get(offer, 0) - used)
            if count <= 0:
                self.refused += 1
                self.site.record("cloud: no capacity for", *offer)
                return 503, {"error": "no capacity"}
            boot = self.hulls[body["hull"]]["startup_s"]
            self.rented[body["charter"]] = [
                self.add(*offer, boot * self.site.random.uniform(*self.boot_s)).name for _ in range(count)
            ]
        return 200, {"holdfasts": self.rented[body["charter"]]}


# -- controllers and the case --------------------------------------------------------


def toml(settings):
    """The settings file's text: tables, arrays of tables and plain values."""
    lines = []

    def table(prefix, fields):
        for name, value in fields.items():
            if not isinstance(value, dict) and not (isinstance(value, list) and value and isinstance(value[0], dict)):
                lines.append(f"{name} = {json.dumps(value)}")
        for name, value in fields.items():
            path = f"{prefix}{name}"
            if isinstance(value, dict):
                lines.append(f"[{path}]")
                table(f"{path}.", value)
            elif isinstance(value, list) and value and isinstance(value[0], dict):
                for item in value:
                    lines.append(f"[[{path}]]")
                    table(f"{path}.", item)

    table("", settings)
    return "\n".join(lines) + "\n"


class Controllers:
    """The controllers, started with the `run` line of the deploy file."""

    def __init__(self, site, zones, params, state, cloud_address):
        self.site, self.processes = site, {}
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.links, self.files = {}, {}
        run = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"]
        self.command = shlex.split(run)
        if not (ROOT / "target" / "app").is_dir():
            raise CannotRun("the build of the deploy file has not run")
        names = [f"holdfast-{n}" for n in range(params["nodes"])]
        listen = {n: f"{HOST}:{free_port()}" for n in names}
        internal = {n: f"{HOST}:{free_port()}" for n in names}
        zone = {n: zones[i % len(zones)] for i, n in enumerate(names)}
        site.nodes[:] = [(n, listen[n]) for n in names]
        for n in names:
            self.links[n] = Link(state)
            settings = {
                "node": n, "zone": zone[n], "listen": listen[n], "internal_addr": internal[n],
                "siblings": [{"node": o, "zone": zone[o], "endpoint": internal[o]} for o in names if o != n],
                "services": {"cloud": cloud_address, "state": self.links[n].address},
                "params": params,
            }  # fmt: skip
            self.files[n] = Path(self.folder.name) / f"{n}.toml"
            self.files[n].write_text(toml(settings))
        EXIT_CALLS.append(self.stop)

    def start(self, name):
        log = (Path(self.folder.name) / f"{name}.log").open("ab")
        environment = os.environ | {"LOG_LEVEL": "info"}
        self.processes[name] = subprocess.Popen(
            [*self.command, str(self.files[name])], cwd=ROOT, stderr=log, stdout=log, env=environment
        )
        log.close()
        self.site.record("controller started", name)

    def kill(self, name):
        process = self.processes.pop(name, None)
        if process is not None:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
            self.site.record("controller killed", name)

    def signal(self, name, number):
        self.site.record("controller", name, signal.Signals(number).name)
        self.processes[name].send_signal(number)

    def stop(self):
        for name in list(self.processes):
            self.kill(name)
        self.folder.cleanup()

    def keep_logs(self, folder):
        for n in self.files:
            source = Path(self.folder.name) / f"{n}.log"
            if source.exists():
                (Path(folder) / f"{n}.log").write_bytes(source.read_bytes())

    def wait_until_ready(self, state, zones, timeout=25.0):
        """Wait until every controller is healthy and every zone's block has a holder."""
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            healthy = all(ask(a, "GET", "/healthz", timeout=1.0)[0] == 200 for _, a in self.site.nodes)
            if healthy and all(f"l/block/{z}" in state.data for z in zones):
                self.site.record("all controllers are healthy")
                return
            for name, process in self.processes.items():
                if process.poll() is not None:
                    raise CannotRun(f"{name} ended with {process.returncode}")
            time.sleep(0.2)
        raise CannotRun("the controllers did not become ready")


def job(ref, stripe, crew, shape, urgency, fronds, cpus, accelerators, ram_gb, bundle, image_gb, **more):
    """A submission with all its fields."""
    return {
        "ref": ref, "stripe": stripe, "crew": crew, "shape": shape, "urgency": urgency, "fronds": fronds,
        "cpus": cpus, "accelerators": accelerators, "ram_gb": ram_gb, "bundle": bundle, "image_gb": image_gb,
        "hulls": None, "bay": None, "together": False, "apart": False, "driftwood": False,
        "expect_s": 0.0, "mark_s": 0.0, "stow_s": 0.0, "due_s": None,
    } | more  # fmt: skip


class User:
    """Submits, polls and cancels; retries as PROTOCOL says, on any node."""

    def __init__(self, site):
        self.site = site

    def _address(self, node):
        if node is None:
            return self.site.random.choice(self.site.nodes)[1]
        return dict(self.site.nodes)[node]

    def submit(self, fields, run_s, node=None, patience_s=20.0):
        ref = fields["ref"]
        self.site.jobs[ref], self.site.run_s[ref] = fields, run_s
        until = time.monotonic() + patience_s
        while time.monotonic() < until:
            self.site.record("user submits", ref)
            status, answer = ask(self._address(node), "POST", "/api/jobs", fields)
            self.site.record("user is answered", ref, status, json.dumps(answer))
            if status in (200, 201):
                return True
            if status in (400, 422):
                return False
            time.sleep(1.0)
        return False

    def poll(self, ref, node=None):
        status, answer = ask(self._address(node), "GET", f"/api/jobs/{ref}", timeout=2.0)
        self.site.record("user asks about", ref, status, json.dumps(answer))
        return status, answer

    def cancel(self, ref, node=None, patience_s=30.0):
        """Returns the state that the user was told, and when."""
        until = time.monotonic() + patience_s
        while time.monotonic() < until:
            self.site.record("user cancels", ref)
            status, answer = ask(self._address(node), "POST", f"/api/jobs/{ref}/abort", {})
            at = self.site.record("user is answered", ref, status, json.dumps(answer))
            if status == 200:
                return answer.get("tide"), at
            time.sleep(1.0)
        return None, None


def main(folder, run, limit_s=118.0):
    """Run a case: `run(record, trouble) -> bool` (whether the rule held); exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    record("trouble" if trouble else "without trouble")

    def give_up():
        record("the case exceeded its time")
        print("exit code 2: the case exceeded its time", flush=True)
        for function in EXIT_CALLS:
            function()
        os._exit(2)

    timer = threading.Timer(limit_s, give_up)
    timer.daemon = True
    timer.start()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = 2
    try:
        held = run(record, trouble)
        code = 0 if held else 1
    except CannotRun as error:
        record("cannot run:", error)
        print(f"cannot run: {error}", file=sys.stderr)
    except Exception as error:
        record("cannot run:", repr(error))
        traceback.print_exc()
    finally:
        for function in EXIT_CALLS:
            function()
        record("exit code", code)
        print(f"exit code {code}: " + {0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
        sys.stdout.flush()
        os._exit(code)


EXIT_CALLS = []
