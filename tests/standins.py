"""Stand-ins for the state service, the cloud and the workers, on a simulated clock.

They speak the published protocol and can drop requests or answers, refuse,
and hold requests back to carry them out later.  `World` runs whole nodes
against them, can make one stand still at any request it sends, and checks the
rules at every start of a task.
"""

import heapq
import random
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from urllib.parse import parse_qs, urlsplit

import orjson

from kelpjunction.clock import ZERO, seconds
from kelpjunction.daemon import Node
from kelpjunction.settings import (
    CloudLimits,
    Operators,
    Platform,
    Sibling,
    StoreLimits,
    Team,
    WorkerTimes,
    load_operators,
)
from kelpjunction.transport import NoAnswer, Reply

STORE, CLOUD = "10.2.0.1:2379", "10.2.0.2:8443"
START = datetime(2026, 1, 1, tzinfo=UTC)
GUEST = Team("guest", 0.0, 0.0, None, None)
TIMES = WorkerTimes(seconds(2), seconds(15), seconds(30), seconds(5), seconds(40))


class SimClock:
    """A clock that moves only when the world moves it."""

    def __init__(self) -> None:
        self.now = seconds(1000)

    def steady(self) -> timedelta:
        return self.now

    def utc(self) -> datetime:
        return START + self.now


class StoreStandIn:
    """The state service: keys, holds, follow."""

    def __init__(self, clock: SimClock) -> None:
        self.clock = clock
        self.data: dict[str, tuple[object, int, int | None]] = {}
        self.revision = 0
        self.history: list[tuple[int, str, object]] = []
        self.holds: dict[int, tuple[timedelta, timedelta]] = {}
        self.next_hold = 1
        self.out = False

    def handle(self, method: str, path: str, body: dict) -> Reply:
        if self.out:
            return Reply(503, {})
        self.expire()
        url = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if url.path == "/commit":
            return self._commit(body)
        if url.path == "/follow":
            since = int(query["since"])
            news = [
                {"delete": k, "stamp": r} if v is None else {"set": k, "data": v, "stamp": r}
                for r, k, v in self.history
                if r > since and k.startswith(query["prefix"])
            ]
            return Reply(200, {"ledger": self.revision, "news": news})
        if url.path == "/holds":
            hold, self.next_hold = self.next_hold, self.next_hold + 1
            ttl = timedelta(milliseconds=body["ttl_ms"])
            self.holds[hold] = (self.clock.now + ttl, ttl)
            return Reply(200, {"mooring": hold})
        if url.path.startswith("/holds/"):
            hold = int(url.path.split("/")[2])
            if hold not in self.holds:
                return Reply(404, {})
            self.holds[hold] = (self.clock.now + self.holds[hold][1], self.holds[hold][1])
            return Reply(200, {"mooring": hold})
        if url.path == "/store":
            keys = sorted(k for k in self.data if k.startswith(query["prefix"]) and k > query.get("since", ""))
            page = keys[: int(query["most"])]
            pairs = [{"key": k, "data": self.data[k][0], "stamp": self.data[k][1]} for k in page]
            return Reply(200, {"pairs": pairs, "has_next": len(keys) > len(page), "ledger": self.revision})
        key = url.path.removeprefix("/store/")
        if key not in self.data:
            return Reply(404, {"ledger": self.revision})
        return Reply(200, {"key": key, "data": self.data[key][0], "stamp": self.data[key][1]})

    def _commit(self, body: dict) -> Reply:
        assert len(body.get("then", ())) <= 12
        assert len(body["guards"]) <= 48
        failed = [g["key"] for g in body["guards"] if self.data.get(g["key"], (0, 0))[1] != g["stamp"]]
        if failed:
            return Reply(409, {"failed": failed, "ledger": self.revision})
        then = body.get("then", ())
        if any("mooring" in t and t["mooring"] not in self.holds for t in then):
            return Reply(400, {"error": "no such lease"})
        if then:
            self.revision += 1
        for change in then:
            if "set" in change:
                assert len(orjson.dumps(change["data"])) <= 8192
                self._set(change["set"], change["data"], change.get("mooring"))
            else:
                self._set(change["delete"], None, None)
        return Reply(200, {"ledger": self.revision})

    def _set(self, key: str, value: object, hold: int | None) -> None:
        if value is None:
            if self.data.pop(key, None) is None:
                return
        else:
            self.data[key] = (value, self.revision, hold)
        self.history.append((self.revision, key, value))

    def expire(self) -> None:
        for hold, (end, _) in list(self.holds.items()):
            if self.clock.now > end:
                del self.holds[hold]
                for key in [k for k, v in self.data.items() if v[2] == hold]:
                    self.revision += 1
                    self._set(key, None, None)

    def outage(self, on: bool) -> None:
        if self.out and not on:
            self.holds = {h: (self.clock.now + ttl, ttl) for h, (_, ttl) in self.holds.items()}
        self.out = on


class WorkerStandIn:
    """A machine's worker: sessions, tokens, tasks."""

    def __init__(self, world: "World", name: str, address: str, zone: str, spot: bool) -> None:
        self.world, self.name, self.address, self.zone, self.spot = world, name, address, zone, spot
        self.session, self.sequence, self.token = 1, 0, 0
        self.tasks: dict[tuple[str, int], dict] = {}
        self.alive = True
        self.cut = False  # no packet gets through
        self.sick = False
        self.renewed = world.clock.now
        self.node = 0
        self.next_report = world.clock.now
        self.notice: timedelta | None = None

    def report(self) -> dict:
        self.sequence += 1
        left = None if self.notice is None else (self.notice - self.world.clock.now).total_seconds()
        tasks = [
            {"frond": f, "launch": a} | {k: v for k, v in t.items() if k in ("tide", "cause", "kept")}
            for (f, a), t in self.tasks.items()
        ]
        return {
            "holdfast": self.name, "address": self.address, "hull": "box", "bay": self.zone,
            "driftwood": self.spot, "watch": self.session, "tally": self.sequence, "helm": self.token,
            "warning_s": left, "fronds": tasks,
        }  # fmt: skip

    def handle(self, method: str, path: str, body: dict) -> Reply:
        if path == "/status":
            return Reply(200, self.report())
        if body["helm"] < self.token or body["watch"] != self.session:
            return Reply(409, self.report())
        self.token = body["helm"]
        self.execute(body["orders"])
        return Reply(200, self.report())

    def execute(self, orders: list[dict]) -> None:
        for order in orders:
            key = (order["frond"], order["launch"])
            if order["verb"] == "run" and key not in self.tasks:
                self.tasks[key] = self.world.start(self, *key)
            elif order["verb"] == "halt" and key in self.tasks and self.tasks[key]["tide"] != "exited":
                saves = self.tasks[key]["job"].get("mark_s", 0) > 0 and order["slack_s"] > 0
                self.tasks[key] |= {"tide": "exited", "cause": "stopped", "kept": saves}
            elif order["verb"] == "forget" and self.tasks.get(key, {}).get("tide") == "exited":
                del self.tasks[key]

    def step(self) -> None:
        now = self.world.clock.now
        if not self.alive:
            return
        if now - self.renewed > self.world.times.lease:
            self.session += 1
            self.tasks.clear()
            self.renewed = now
        for (frond, _), task in self.tasks.items():
            if task["tide"] == "pulling" and now >= task["ready"]:
                task["tide"] = "exited" if self.sick or task["job"].get("wrong") else "running"
                task["cause"] = "error"
            if task["tide"] == "running" and task["ends"] and now >= task["ends"]:
                task |= {"tide": "exited", "cause": "done"}
                self.world.finished.add(frond)
        if now >= self.next_report:
            self.next_report = now + self.world.times.report
            self._check_in(now)

    def _check_in(self, now: timedelta) -> None:
        name = f"holdfast-{self.node % len(self.world.nodes)}"
        fields = self.report()
        try:
            status, answer = self.world.reach_node(self, name, fields)
        except NoAnswer:
            self.node += 1
            self.next_report = now + seconds(1)
            return
        if status == 200:
            if answer["helm"] >= self.token and fields["watch"] == self.session:
                self.token, self.renewed = answer["helm"], now
                self.execute(answer["orders"])
        elif status == 421 and answer.get("harbour", name) != name:
            self.node = int(answer["harbour"].rpartition("-")[2])
            self.next_report = now + seconds(0.2)
        else:
            self.node += 1
            self.next_report = now + seconds(1)


class CloudStandIn:
    """The cloud: one machine type, a few zones, a list that lags."""

    def __init__(self, world: "World", capacity: int) -> None:
        self.world, self.capacity = world, capacity
        self.machines: dict[str, tuple[WorkerStandIn, timedelta]] = {}
        self.answers: dict[str, list[str]] = {}
        self.number = 0
        self.out = False
        self.boot = seconds(20)

    def add(self, zone: str, spot: bool, ready: timedelta) -> WorkerStandIn:
        self.number += 1
        name = f"n-{self.number:06d}"
        worker = WorkerStandIn(self.world, name, f"10.1.0.{self.number}:9000", zone, spot)
        worker.next_report = worker.renewed = ready
        self.machines[name] = (worker, self.world.clock.now)
        return worker

    def handle(self, method: str, path: str, body: dict) -> Reply:
        if self.out:
            return Reply(503, {"error": "trouble"})
        now = self.world.clock.now
        if path == "/catalog":
            hull = {
                "label": "box", "cpus": 8, "accelerators": 0, "ram_gb": 64, "local_gb": 50,
                "fetch_gb_per_s": 1.0, "price": 1.0, "market_price": 0.4, "startup_s": 20,
                "bays": list(self.world.platform("holdfast-0").zones),
            }  # fmt: skip
            return Reply(200, {"hulls": [hull]})
        if path == "/rentals/return":
            for name in body["holdfasts"]:
                worker, _ = self.machines.pop(name, (None, None))
                if worker is not None:
                    worker.alive = False
                    worker.tasks.clear()
            return Reply(200, {})
        if path == "/rentals":
            if body["charter"] not in self.answers:
                count = min(body["number"], self.capacity - len(self.machines))
                if count <= 0:
                    return Reply(503, {"error": "no capacity"})
                added = [self.add(body["bay"], body["driftwood"], now + self.boot) for _ in range(count)]
                self.answers[body["charter"]] = [w.name for w in added]
            return Reply(200, {"holdfasts": self.answers[body["charter"]]})
        listed = [
            {
                "ref": n, "address": w.address, "hull": "box", "bay": w.zone, "driftwood": w.spot,
                "tide": "running" if w.next_report <= now else "starting", "held_s": (now - since).total_seconds(),
            }
            for n, (w, since) in self.machines.items()
            if now - since > seconds(5)
        ]  # fmt: skip
        return Reply(200, {"holdfasts": listed, "has_next": False})


class World:
    """Nodes, services and workers, and the rules they must keep."""

    def __init__(
        self,
        seed: int = 1,
        machines: int = 6,
        capacity: int = 12,
        teams: tuple[Team, ...] | None = None,
        aimed: frozenset[str] = frozenset(),
    ):
        self.clock = SimClock()
        self.random = random.Random(seed)
        self.times = TIMES
        self.zones = ("a", "b", "c")
        self.aimed = aimed
        self.teams = teams or (Team("red", 16.0, 0.0, 40.0, None), Team("blue", 16.0, 0.0, None, None), GUEST)
        self.store = StoreStandIn(self.clock)
        self.cloud = CloudStandIn(self, capacity)
        self.jobs: dict[str, dict] = {}
        self.told_cancelled: dict[str, timedelta] = {}
        self.told: dict[str, str] = {}
        self.finished: set[str] = set()
        self.starts: list[str] = []
        self.broken: list[str] = []
        self.late: list[tuple[timedelta, int, Callable]] = []
        self._late_number = 0
        self.held_for = (1.0, 25.0)
        self.cut_from_store: set[str] = set()
        self.filter: Callable[[str, str, str], str | None] = lambda source, target, path: None
        # How long a node stands still before this request leaves it, if at all.
        self.stand_still: Callable[[str, str, str], float] = lambda source, target, path: 0.0
        self.frozen: set[str] = set()
        self._waiting: dict[str, list[Callable]] = {}  # packets for nodes that stand still
        self.nodes: dict[str, Node | None] = {}
        for i in range(machines):
            self.cloud.add(self.zones[i % 3], False, self.clock.now)
        for i in range(3):
            self.start_node(f"holdfast-{i}")

    # -- nodes ----------------------------------------------------------------

    def platform(self, name: str) -> Platform:
        number = int(name[-1])
        others = [i for i in range(3) if i != number]
        return Platform(
            node=name, zone=self.zones[number], listen=f"10.0.0.{number}:8080", internal=f"10.0.0.{number}:8081",
            siblings=tuple(Sibling(f"holdfast-{i}", self.zones[i], f"10.0.0.{i}:8081") for i in others),
            cloud_address=CLOUD, store_address=STORE, zones=self.zones, teams={t.name: t for t in self.teams},
            aimed=self.aimed, workers=self.times,
            store=StoreLimits(250.0, 100.0, 8192, 12), cloud=CloudLimits(4.0, seconds(5)),
        )  # fmt: skip

    def operators(self) -> Operators:
        return load_operators(None)

    def start_node(self, name: str) -> Node:
        transport = _Link(self, name)
        node = Node(
            self.platform(name), self.operators(), transport, transport, transport, self.clock,
            lambda function, *args: function(*args), lambda duration: None, random.Random(self.random.random()),
        )  # fmt: skip
        self.nodes[name] = node
        return node

    def kill_node(self, name: str) -> None:
        self.nodes[name] = None

    def freeze(self, name: str, duration: float) -> None:
        """Let a node stand still while all else goes on; then it goes on where it was, with what it believed."""
        if name in self.frozen:
            return
        node = self.nodes[name]
        self.frozen.add(name)
        self.run(duration)
        self.frozen.discard(name)
        for packet in self._waiting.pop(name, ()):
            if self.nodes[name] is node is not None:
                packet()

    def leader(self) -> Node | None:
        for node in self.nodes.values():
            if node is not None and node.leadership.reign is not None:
                return node
        return None

    # -- messages -------------------------------------------------------------

    def deliver(self, source: str, address: str, method: str, path: str, body: dict) -> Reply:
        """One request of a node: what happens to it is up to `filter`."""
        pause = self.stand_still(source, address, path)
        if pause:
            node = self.nodes[source]
            self.freeze(source, pause)
            if self.nodes[source] is not node:
                raise NoAnswer("the process was killed meanwhile")
        if address == STORE and source in self.cut_from_store:
            return Reply(503, {})
        handler = self._handler(address)
        fate = self.filter(source, address, path)
        if fate == "held":
            # Held back: the sender gives up, and it is carried out later.
            self._late_number += 1
            when = self.clock.now + seconds(self.random.uniform(*self.held_for))
            heapq.heappush(self.late, (when, self._late_number, lambda: handler(method, path, body)))
            raise NoAnswer("held back")
        if fate == "lost":
            raise NoAnswer("request lost")
        reply = handler(method, path, body)
        if fate == "answer lost":
            raise NoAnswer("answer lost")
        return reply

    def _handler(self, address: str):
        if address == STORE:
            return self.store.handle
        if address == CLOUD:
            return self.cloud.handle
        for worker, _ in self.cloud.machines.values():
            if worker.address == address and worker.alive and not worker.cut:
                return lambda m, p, b: worker.handle(m, p, b) if worker.alive else Reply(503, {})
        raise NoAnswer("nobody there")

    def reach_node(self, worker: WorkerStandIn, name: str, fields: dict) -> tuple[int, dict]:
        node = self.nodes.get(name)
        if node is None or worker.cut or self.filter(worker.name, name, "/checkin"):
            raise NoAnswer("no node there")
        body = orjson.dumps(fields)
        if name in self.frozen:
            # The report waits in the node's socket; its answer will be too late.
            self._waiting.setdefault(name, []).append(lambda: node.check_in(body))
            raise NoAnswer("the node stands still")
        status, answer = node.check_in(body)
        return status, orjson.loads(answer)

    # -- users ----------------------------------------------------------------

    def submit(self, ref: str, tasks: int = 1, node: str | None = None, **fields) -> int:
        """Submit a job through a node; returns the status."""
        job = {
            "ref": ref, "stripe": "class", "crew": "red", "shape": "batch", "urgency": "standard", "fronds": tasks,
            "cpus": 2.0, "accelerators": 0.0, "ram_gb": 4.0, "bundle": "img", "image_gb": 1.0, "expect_s": 10.0,
        } | fields  # fmt: skip
        self.jobs[ref] = job
        status = self._any(node).intake.submit(orjson.dumps(job)).status
        if status == 201 and ref in self.told:
            self.broken.append(f"forgotten: {ref} accepted twice")
        if status in (200, 201):
            self.told.setdefault(ref, "accepted")
        return status

    def poll(self, ref: str, node: str | None = None) -> str | None:
        """A job's state as a user is told it, checked against what was told before."""
        answer = self._any(node).intake.status(ref)
        if answer.status == 404 and ref in self.told:
            self.broken.append(f"forgotten: {ref}")
        if answer.status != 200:
            return None
        state = orjson.loads(answer.body)["tide"]
        before = self.told.get(ref)
        if before in ("done", "withdrawn") and state != before:
            self.broken.append(f"went_back: {ref} {before} -> {state}")
        if state == "done" and (missing := self._unfinished(ref)):
            self.broken.append(f"not_done: {missing}")
        if state in ("done", "withdrawn"):
            self.told[ref] = state
        return state

    def abort(self, ref: str, node: str | None = None) -> int:
        answer = self._any(node).intake.abort(ref)
        if answer.status == 200:
            state = orjson.loads(answer.body)["tide"]
            self.told[ref] = state
            if state == "withdrawn":
                self.told_cancelled.setdefault(ref, self.clock.now)
        return answer.status

    def _any(self, name: str | None) -> Node:
        if name is not None:
            return self.nodes[name]
        return self.random.choice([n for name, n in self.nodes.items() if n is not None and name not in self.frozen])

    def _unfinished(self, ref: str) -> list[str]:
        if self.jobs[ref]["shape"] == "ensemble":
            return []
        return [f for i in range(self.jobs[ref]["fronds"]) if (f := f"{ref}/{i}") not in self.finished]

    # -- rules ----------------------------------------------------------------

    def running(self, ref: str = "") -> list[tuple[str, str]]:
        """What is on which machine: (task, machine)."""
        return sorted(
            (frond, w.name)
            for w, _ in self.cloud.machines.values()
            for (frond, _), t in w.tasks.items()
            if t["tide"] != "exited" and frond.startswith(ref)
        )

    def start(self, worker: WorkerStandIn, frond: str, attempt: int) -> dict:
        """A worker starts a task: the moment to check the rules."""
        ref = frond.partition("/")[0]
        job = self.jobs[ref]
        self.starts.append(frond)
        others = [m for f, m in self.running() if f == frond]
        if others:
            self.broken.append(f"ran_twice: {frond} on {worker.name} while on {others}")
        if worker.spot and not job.get("driftwood"):
            self.broken.append(f"wrong_place: {frond} on spot {worker.name}")
        if job.get("bay") not in (None, worker.zone):
            self.broken.append(f"wrong_place: {frond} in {worker.zone}")
        zones = [w.zone for w, _ in self.cloud.machines.values() for f, m in self.running(ref + "/") if m == w.name]
        if job.get("together") and any(z != worker.zone for z in zones):
            self.broken.append(f"wrong_place: {frond} apart from its gang")
        if job.get("apart") and zones.count(worker.zone) >= -(-job["fronds"] // 2):
            self.broken.append(f"wrong_place: too many of {ref} in {worker.zone}")
        self._check_quota(job)
        self._check_cancelled(ref)
        run = seconds(job.get("run_s", 10.0))
        ready = self.clock.now + seconds(1)
        ends = None if job["shape"] == "service" else ready + run
        return {"tide": "pulling", "ready": ready, "ends": ends, "job": job}

    def _check_quota(self, job: dict) -> None:
        used = sum(
            self.jobs[f.partition("/")[0]]["cpus"]
            for f, _ in self.running()
            if self.jobs[f.partition("/")[0]]["crew"] == job["crew"]
        )
        limit = next(t.cpus_max for t in self.teams if t.name == job["crew"])
        if limit is not None and used + job["cpus"] > limit + 1e-6:
            self.broken.append(f"quota: {job['crew']} uses {used + job['cpus']} of {limit}")

    def _check_cancelled(self, ref: str) -> None:
        told = self.told_cancelled.get(ref)
        if told is not None and self.clock.now - told > self.times.cancel:
            self.broken.append(f"ran_cancelled: {ref}")

    # -- time -----------------------------------------------------------------

    def deliver_late(self) -> None:
        """Carry out now everything that was held back."""
        while self.late:
            heapq.heappop(self.late)[2]()

    def run(self, duration: float, until: Callable[[], bool] | None = None) -> bool:
        """Let time pass in steps of 100 ms; whether `until` came true."""
        end = self.clock.now + seconds(duration)
        beat = 0
        while self.clock.now < end:
            self.clock.now += seconds(0.1)
            beat += 1
            self.store.expire()
            while self.late and self.late[0][0] <= self.clock.now:
                heapq.heappop(self.late)[2]()
            for worker, _ in list(self.cloud.machines.values()):
                worker.step()
            for node in list(self.nodes.values()):
                if node is not None and node.platform.node not in self.frozen:
                    self._step_node(node, beat)
            for ref in {f.partition("/")[0] for f, _ in self.running()}:
                self._check_cancelled(ref)
            if until is not None and until():
                return True
        return until is None

    def _step_node(self, node: Node, beat: int) -> None:
        node.follow()
        if beat % 5 == 0:
            node.leadership.step()
        for _ in range(4):
            if not node.round():
                break
        if beat % 5 == 0:
            node.watch.step()
        if beat % 10 == 0:
            node.fleet.step()


class _Link:
    """A node's transport in the simulated world."""

    def __init__(self, world: World, name: str) -> None:
        self._world, self._name = world, name

    def request(self, address: str, method: str, path: str, body: bytes | None, timeout: timedelta) -> Reply:
        fields = orjson.loads(body) if body else {}
        return self._world.deliver(self._name, address, method, path, fields)


__all__ = ["ZERO", "Team", "World", "seconds"]
