"""What surrounds the nodes, whether simulated or real: the stand-ins, the users, and the rules of PROTOCOL."""

import random
from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import Any

import orjson

from kelpjunction.clock import seconds
from kelpjunction.lab.cloud import CloudStandIn
from kelpjunction.lab.node_settings import node_number
from kelpjunction.lab.rules import PlacedTask, answer_violations, quota_violations, start_violations
from kelpjunction.lab.service_levels import ServiceLevelTracker
from kelpjunction.lab.serving import Refused
from kelpjunction.lab.starvation import StarvationCheck
from kelpjunction.lab.store import USUAL_LIMITS, StoreStandIn
from kelpjunction.lab.worker import WorkerStandIn
from kelpjunction.settings import CloudLimits, Team, WorkerTimes
from kelpjunction.transport import NoResponse
from kelpjunction.wire.users import ABORT_END, JOBS_PATH

GUEST = Team("guest", 0.0, 0.0, None, None)
TEAMS = (Team("red", 16.0, 0.0, 40.0, None), Team("blue", 16.0, 0.0, None, None), GUEST)
TIMES = WorkerTimes(seconds(2), seconds(15), seconds(30), seconds(5), seconds(40))
STORE_LIMITS = USUAL_LIMITS
CLOUD_LIMITS = CloudLimits(4.0, seconds(5))
FAULTS = ("kill", "kill-leader", "start", "freeze", "outage", "lose")
NODE_FAULTS = ("kill", "kill-leader", "start", "freeze")
LEADER, ALL = "leader", "all"  # what may stand in place of a node's name
RUN_SPREAD = (0.85, 1.15)  # of what a task's run is said to take


class Site:
    """The stand-ins, what users were told, and the rules, checked at every start and every answer.

    Who makes one gives it a clock, whose `now` is a `timedelta`, answers `ask`
    and `reach_node` for the nodes, and can kill, start and freeze them.
    `broken` lists each broken rule by the name PROTOCOL gives it.  With
    `varied`, run and boot times differ by the seed.
    """

    reports_changes = False  # with reports at their times alone, traces can be read

    def __init__(
        self, clock, seed: int, zones: tuple[str, ...], teams: tuple[Team, ...], capacity: int, speed: float = 1.0
    ) -> None:
        self.clock = clock
        self.random = random.Random(seed)
        self.times = TIMES
        self.zones = zones
        self.teams = teams
        self.node_count = 3
        self.speed = speed  # how many times as fast tasks run and machines boot
        self.varied = False
        self.store = StoreStandIn(clock)
        self.cloud = CloudStandIn(self, capacity)
        self.jobs: dict[str, dict] = {}
        self.told_cancelled: dict[str, timedelta] = {}
        self.last_told_state: dict[str, str] = {}
        self.asked_to_cancel: set[str] = set()
        self.finished: set[str] = set()
        self.starts: list[str] = []
        self.broken: list[str] = []
        self.service_level_tracker = ServiceLevelTracker()
        self.starvation_check = StarvationCheck()
        self.started_late: list[str] = []  # tasks started after their user was told of the cancellation: counted only

    def ask(self, method: str, path: str, body: bytes, node: str | None) -> tuple[int, dict]:
        """A user's request, to a node of this name or to any: status and answer.

        Raises `NoResponse` if none takes it.
        """
        raise NotImplementedError

    def ask_gateway(self, what: str, argument: bytes | str, name: str | None = None) -> tuple[int | None, dict]:
        """A ticket user's request to this gateway or to any: `submit` (a body), `show` or `cancel` (an id).

        None stands for the status if no gateway takes the connection.
        """
        return None, {}

    def reach_node(self, worker: WorkerStandIn, number: int, fields: dict) -> tuple[int, dict]:
        """A worker's report to the node of this number; raises `NoResponse`."""
        raise NotImplementedError

    def send_report(self, worker: WorkerStandIn, fields: dict) -> None:
        """Carry a worker's report to its node, and the answer back."""
        sent_at = self.clock.now
        try:
            status, answer = self.reach_node(worker, worker.node, fields)
        except NoResponse:
            worker.on_no_response()
            return
        worker.on_report_response(fields, sent_at, status, answer)

    @property
    def node_names(self) -> tuple[str, ...]:
        return tuple(f"holdfast-{number}" for number in range(self.node_count))

    def runs(self, name: str) -> bool:
        """Whether the node's process is there, frozen or not."""
        raise NotImplementedError

    def leader_name(self) -> str | None:
        """The node that leads, if any does."""
        raise NotImplementedError

    def start_node(self, name: str) -> Any:
        raise NotImplementedError

    def kill_node(self, name: str) -> None:
        raise NotImplementedError

    def suspend_node(self, name: str, duration: float) -> None:
        """Let a running node stand still for `duration` seconds, while time goes on for all others."""
        raise NotImplementedError

    def run_after(self, duration: float, act: Callable[[], None]) -> None:
        """Do this in `duration` seconds; never if that is 0."""
        raise NotImplementedError

    # -- faults ---------------------------------------------------------------

    def check_fault(self, do: str, target: str) -> None:
        """Whether such a fault can ever be; raises `Refused`, which names what there is."""
        if do not in FAULTS:
            raise Refused(f"unknown fault {do!r}: {', '.join(FAULTS)}")
        if do in NODE_FAULTS and do != "kill-leader":
            known, what = (*self.node_names, LEADER, ALL), "node"
        elif do == "lose":
            known, what = self.zones, "zone"
        else:
            known, what = ("",), f"target of {do}"
        if target not in known:
            raise Refused(f"unknown {what} {target!r}: {', '.join(known) or 'it takes none'}")

    def fault(self, do: str, target: str = "", duration: float = 0.0) -> None:
        """Cause one of `FAULTS`, ending it by itself after `duration` seconds where it lasts and that is not 0.

        Raises `Refused` if it can't be, with nothing done: a fault that is
        passed over in silence proves nothing.
        """
        self.check_fault(do, target)
        if do == "outage":
            self.store.outage(True)
            self.run_after(duration, lambda: self.store.outage(False))
        elif do == "lose":
            self.lose(target)
        else:
            for name in self._struck(do, target):
                if do == "start":
                    self.start_node(name)
                elif do == "freeze":
                    self.suspend_node(name, duration)
                else:
                    self.kill_node(name)
                    self.run_after(duration, lambda name=name: self.runs(name) or self.start_node(name))

    def _struck(self, do: str, target: str) -> list[str]:
        """The nodes that a fault falls on now."""
        if target == LEADER or do == "kill-leader":
            target = self.leader_name()
            if target is None:
                raise Refused("nobody leads now")
        able = [n for n in self.node_names if self.runs(n) is not (do == "start")]
        struck = able if target == ALL else [n for n in able if n == target]
        if not struck:
            which = "every node" if target == ALL else target
            raise Refused(f"{which} {'runs already' if do == 'start' else 'does not run'}")
        return struck

    def run(self, duration: float, until: Callable[[], bool] | None = None) -> bool:
        """Let `duration` seconds pass, or fewer if `until` comes true; whether it did."""
        raise NotImplementedError

    def lose(self, zone: str) -> None:
        """All machines of a zone die, with what is on them."""
        for worker, _ in self.cloud.machines.values():
            if worker.zone == zone:
                worker.die()

    def make_worker(self, name: str, zone: str, spot: bool) -> WorkerStandIn:
        """A machine's worker, which the cloud asks for when it rents the machine out."""
        return WorkerStandIn(self, name, zone, spot)

    def address_of(self, worker: WorkerStandIn, number: int) -> str:
        """Where the worker of the machine of this number listens."""
        return f"10.1.0.{number}:9000"

    def number_of(self, node: str | None) -> int | None:
        """The number of a node by its name; None for one that is unknown."""
        return node_number(node, self.node_count)

    def vary(self, spread: tuple[float, float]) -> float:
        """By how much a time differs from what is said of it: between these two, by the seed."""
        return self.random.uniform(*spread) if self.varied else 1.0

    def job(self, ref: str) -> dict:
        """What the user uploaded; of jobs that came another way, what the nodes stored."""
        if ref not in self.jobs:
            self.jobs[ref] = self.store.data[f"l/job/{ref}"][0]["spec"]
        return self.jobs[ref]

    # -- users ----------------------------------------------------------------

    def _asked(self, method: str, path: str, body: bytes, node: str | None) -> tuple[int | None, dict]:
        """`ask`, with None for the status where no node takes the connection."""
        try:
            return self.ask(method, path, body, node)
        except NoResponse:
            return None, {}

    def submit(self, ref: str, tasks: int = 1, node: str | None = None, **fields) -> int | None:
        """Submit a job through a node; returns the status, None if no node takes the connection."""
        job = {
            "ref": ref, "stripe": "class", "crew": "red", "shape": "batch", "urgency": "standard", "fronds": tasks,
            "cpus": 2.0, "accelerators": 0.0, "ram_gb": 4.0, "bundle": "img", "image_gb": 1.0, "expect_s": 10.0,
            "together": False, "apart": False, "driftwood": False, "mark_s": 0.0, "stow_s": 0.0,
        } | fields  # fmt: skip
        if ref not in self.jobs:
            self.service_level_tracker.submitted(job, self._limit_of(job), self.clock.now)
        self.jobs[ref] = job
        status, answer = self._asked("POST", JOBS_PATH, orjson.dumps(job), node)
        self.service_level_tracker.asked(ref, status in (200, 201), self.clock.now)
        if status == 201 and ref in self.last_told_state:
            self.broken.append(f"forgotten: {ref} accepted twice")
        if status in (200, 201):
            self.last_told_state.setdefault(ref, "accepted")
            self.service_level_tracker.accepted(ref)
            self._hear(ref, answer)
        elif status in (400, 422) and ref in self.last_told_state:
            self.broken.append(f"forgotten: {ref} was accepted and is refused now")
        return status

    def _limit_of(self, job: dict) -> int:
        """How many of its tasks its team's limit allows at once."""
        limit = next((t.cpus_max for t in self.teams if t.name == job["crew"]), None)
        return job["fronds"] if limit is None else int(limit / job["cpus"])

    def poll(self, ref: str, node: str | None = None) -> str | None:
        """A job's state as a user is told it, checked against what was told before."""
        status, answer = self._asked("GET", f"{JOBS_PATH}/{ref}", b"", node)
        self.service_level_tracker.asked(ref, status == 200, self.clock.now)
        if status == 404 and ref in self.last_told_state:
            self.broken.append(f"forgotten: {ref}")
        if status != 200:
            return None
        if ref not in self.jobs:
            self.broken.append(f"invented: {ref}")
            return None
        return self._hear(ref, answer)

    def _hear(self, ref: str, answer: dict) -> str:
        """Any answer that tells how a job stands, checked against what was told before."""
        state = answer["tide"]
        before = self.last_told_state.get(ref)
        self.broken += answer_violations(ref, state, before, ref in self.asked_to_cancel)
        if state == "done" and (missing := self._unfinished(ref)):
            self.broken.append(f"not_done: {missing}")
        if state in ("done", "withdrawn"):
            self.last_told_state[ref] = state
        if state == "done":
            self.service_level_tracker.ended(ref, self.clock.now)
        return state

    def abort(self, ref: str, node: str | None = None) -> int | None:
        self.asked_to_cancel.add(ref)
        status, answer = self._asked("POST", f"{JOBS_PATH}/{ref}{ABORT_END}", b"", node)
        self.service_level_tracker.asked(ref, status == 200, self.clock.now)
        if status == 404 and ref in self.last_told_state:
            self.broken.append(f"forgotten: {ref}")
        if status == 200 and self._hear(ref, answer) == "withdrawn":
            self.told_cancelled.setdefault(ref, self.clock.now)
            self.service_level_tracker.cancelled(ref)
        return status

    def ask_all_nodes(self, ref: str) -> list[str | None]:
        """A user asks every node at once how a job stands, by a question and by repeating the submission."""
        job = self.jobs[ref]
        told = []
        for name in self.node_names:
            told.append(self.poll(ref, node=name))
            self.submit(ref, job["fronds"], node=name, **{k: v for k, v in job.items() if k not in ("ref", "fronds")})
        return told

    def _unfinished(self, ref: str) -> list[str]:
        if self.jobs[ref]["shape"] == "ensemble":
            return []
        return [f for i in range(self.jobs[ref]["fronds"]) if (f := f"{ref}/{i}") not in self.finished]

    # -- rules ----------------------------------------------------------------

    def running(self, ref: str = "") -> list[tuple[str, str]]:
        """What is on which machine: (task, machine)."""
        return sorted((frond, w.name) for frond, w in self._live() if frond.startswith(ref))

    def _live(self) -> Iterator[tuple[str, WorkerStandIn]]:
        for worker, _ in self.cloud.machines.values():
            for (frond, _), task in worker.tasks.items():
                if task["tide"] != "exited":
                    yield frond, worker

    def start(self, worker: WorkerStandIn, frond: str, attempt: int) -> dict:
        """A worker starts a task: the moment to check the rules."""
        ref = frond.partition("/")[0]
        job = self.job(ref)
        self.starts.append(frond)
        mates = [PlacedTask(f, w.name, w.zone) for f, w in self._live() if f.startswith(ref + "/")]
        there = PlacedTask(frond, worker.name, worker.zone)
        self.broken += start_violations(job, there, worker.spot, mates)
        self._check_quota(job)
        self._check_cancelled(ref)
        if ref in self.told_cancelled:
            self.started_late.append(frond)
        self.service_level_tracker.started(ref, int(frond.partition("/")[2]), len(mates) + 1, self.clock.now)
        run = seconds(job.get("run_s", job.get("expect_s") or 10.0)) / self.speed * self.vary(RUN_SPREAD)
        ready = self.clock.now + seconds(1) / self.speed
        ends = None if job["shape"] == "service" else ready + run
        return {"tide": "pulling", "ready": ready, "ends": ends, "job": job}

    def exited(self, worker: WorkerStandIn, frond: str, cause: str) -> None:
        """A task has exited."""
        if cause == "done":
            self.finished.add(frond)

    def cleared(self, worker: WorkerStandIn) -> None:
        """All tasks of a worker are gone; what is where is read from the workers when it is asked for."""

    def _check_quota(self, job: dict) -> None:
        limit = next(t.cpus_max for t in self.teams if t.name == job["crew"])
        if limit is None:
            return
        owners = (self.job(f.partition("/")[0]) for f, _ in self._live())
        used = sum(owner["cpus"] for owner in owners if owner["crew"] == job["crew"])
        self.broken += quota_violations(job, used, limit)

    def _check_cancelled(self, ref: str) -> None:
        told = self.told_cancelled.get(ref)
        if told is not None and self.clock.now - told > self.times.cancel:
            self.broken.append(f"ran_cancelled: {ref}")
