"""The environment of simulated or real nodes: the stand-ins, the users, and checks of the rules in PROTOCOL."""

import random
from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import Any

import orjson

from kelpjunction.clock import ZERO, seconds
from kelpjunction.lab.cloud import CloudStandIn
from kelpjunction.lab.node_settings import node_number
from kelpjunction.lab.rules import (
    PlacedTask,
    answer_violations,
    cancelled_start_violations,
    quota_violations,
    start_violations,
)
from kelpjunction.lab.service_levels import ServiceLevelTracker
from kelpjunction.lab.serving import Refused
from kelpjunction.lab.starvation import StarvationCheck
from kelpjunction.lab.store import USUAL_LIMITS, StoreStandIn
from kelpjunction.lab.worker import WorkerStandIn
from kelpjunction.settings import CloudLimits, Team, WorkerTimes
from kelpjunction.transport import NoResponse
from kelpjunction.wire.users import ABORT_SUFFIX, JOBS_PATH

GUEST = Team("guest", 0.0, 0.0, None, None)
TEAMS = (Team("red", 16.0, 0.0, 40.0, None), Team("blue", 16.0, 0.0, None, None), GUEST)
TIMES = WorkerTimes(seconds(2), seconds(15), seconds(30), seconds(5), seconds(40))
STORE_LIMITS = USUAL_LIMITS
CLOUD_LIMITS = CloudLimits(4.0, seconds(5))
FAULTS = ("kill", "kill-leader", "start", "freeze", "outage", "lose")
NODE_FAULTS = ("kill", "kill-leader", "start", "freeze")
LEADER, ALL = "leader", "all"  # accepted as a fault's target instead of a node's name
RUN_SPREAD = (0.85, 1.15)  # factors of a task's nominal run time


class Site:
    """The stand-ins and what users were told; checks the rules at every start of a task and every answer to a user.

    `clock.now` is a `timedelta`.  A subclass implements `ask` and `reach_node`
    for its nodes, and the methods that kill, start and suspend nodes.  `broken`
    lists each broken rule by the name that PROTOCOL gives it.  With `varied`,
    the seed varies run and boot times.
    """

    reports_changes = False  # traces are readable if workers report only at their regular times

    def __init__(
        self, clock, seed: int, zones: tuple[str, ...], teams: tuple[Team, ...], capacity: int, speed: float = 1.0
    ) -> None:
        self.clock = clock
        self.random = random.Random(seed)
        self.times = TIMES
        self.zones = zones
        self.teams = teams
        self.node_count = 3
        self.speed = speed  # factor by which tasks run and machines boot faster
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
        self.repeated_starts: list[str] = []  # attempts that a worker started again after it had forgotten them
        self.service_level_tracker = ServiceLevelTracker()
        self.starvation_check = StarvationCheck()

    def ask(self, method: str, path: str, body: bytes, node: str | None) -> tuple[int, dict]:
        """Send a user's request to the named node or, without a name, to any; returns status and answer.

        Raises `NoResponse` if no node accepts the connection.
        """
        raise NotImplementedError

    def ask_gateway(self, action: str, argument: bytes | str, name: str | None = None) -> tuple[int | None, dict]:
        """Send a ticket user's request to the named gateway or to any: `submit` (a body), `show` or `cancel` (an id).

        Returns status and answer; the status is None if no gateway accepts the connection.
        """
        return None, {}

    def reach_node(self, worker: WorkerStandIn, number: int, fields: dict) -> tuple[int, dict]:
        """Send a worker's report to the node of this number; raises `NoResponse` if it cannot be reached."""
        raise NotImplementedError

    def send_report(self, worker: WorkerStandIn, fields: dict) -> None:
        """Send a worker's report to its node and hand the response to the worker."""
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
        """Whether the node's process exists, suspended or not."""
        raise NotImplementedError

    def leader_name(self) -> str | None:
        """The name of the leader, if there is one."""
        raise NotImplementedError

    def start_node(self, name: str) -> Any:
        raise NotImplementedError

    def kill_node(self, name: str) -> None:
        raise NotImplementedError

    def suspend_node(self, name: str, duration: float) -> None:
        """Suspend a running node for `duration` seconds while everything else runs."""
        raise NotImplementedError

    def run_after(self, duration: float, act: Callable[[], None]) -> None:
        """Call `act` in `duration` seconds; with 0, never call it."""
        raise NotImplementedError

    # -- faults ---------------------------------------------------------------

    def check_fault(self, do: str, target: str) -> None:
        """Raise `Refused`, with the possible values, if the fault or its target is unknown on this site."""
        if do not in FAULTS:
            raise Refused(f"unknown fault {do!r}: {', '.join(FAULTS)}")
        if do in NODE_FAULTS and do != "kill-leader":
            known, kind = (*self.node_names, LEADER, ALL), "node"
        elif do == "lose":
            known, kind = self.zones, "zone"
        else:
            known, kind = ("",), f"target of {do}"
        if target not in known:
            raise Refused(f"unknown {kind} {target!r}: {', '.join(known) or 'it takes none'}")

    def fault(self, do: str, target: str = "", duration: float = 0.0) -> None:
        """Cause one of `FAULTS`; one that lasts ends after `duration` seconds, or not by itself if that is 0.

        Raises `Refused` and does nothing if the fault is impossible now: a
        test with a fault that was silently skipped would prove nothing.
        """
        self.check_fault(do, target)
        if do == "outage":
            self.store.outage(True)
            self.run_after(duration, lambda: self.store.outage(False))
        elif do == "lose":
            self.lose(target)
        else:
            for name in self._affected_nodes(do, target):
                if do == "start":
                    self.start_node(name)
                elif do == "freeze":
                    self.suspend_node(name, duration)
                else:
                    self.kill_node(name)
                    self.run_after(duration, lambda name=name: self.runs(name) or self.start_node(name))

    def _affected_nodes(self, do: str, target: str) -> list[str]:
        """The nodes that a fault affects now; raises `Refused` if there are none."""
        if target == LEADER or do == "kill-leader":
            target = self.leader_name()
            if target is None:
                raise Refused("nobody leads now")
        candidates = [n for n in self.node_names if self.runs(n) is not (do == "start")]
        affected = candidates if target == ALL else [n for n in candidates if n == target]
        if not affected:
            which = "every node" if target == ALL else target
            raise Refused(f"{which} {'runs already' if do == 'start' else 'does not run'}")
        return affected

    def run(self, duration: float, until: Callable[[], bool] | None = None) -> bool:
        """Run for `duration` seconds, or until `until` is true; returns whether it became true."""
        raise NotImplementedError

    def lose(self, zone: str) -> None:
        """Kill all machines of a zone and the tasks on them."""
        for worker, _ in self.cloud.machines.values():
            if worker.zone == zone:
                worker.die()

    def make_worker(self, name: str, zone: str, spot: bool) -> WorkerStandIn:
        """Create the worker of a machine that the cloud rents out."""
        return WorkerStandIn(self, name, zone, spot)

    def address_of(self, worker: WorkerStandIn, number: int) -> str:
        """The address at which the worker of the machine of this number listens."""
        return f"10.1.0.{number}:9000"

    def number_of(self, node: str | None) -> int | None:
        """The number of the node with this name; None if the name is unknown."""
        return node_number(node, self.node_count)

    def vary(self, spread: tuple[float, float]) -> float:
        """A random factor within `spread` for a nominal time; 1.0 unless `varied`."""
        return self.random.uniform(*spread) if self.varied else 1.0

    def job(self, ref: str) -> dict:
        """The fields that the user submitted; for a job from another source, the fields that the nodes stored."""
        if ref not in self.jobs:
            self.jobs[ref] = self.store.data[f"l/job/{ref}"][0]["spec"]
        return self.jobs[ref]

    # -- users ----------------------------------------------------------------

    def _try_ask(self, method: str, path: str, body: bytes, node: str | None) -> tuple[int | None, dict]:
        """Call `ask`; the status is None if no node accepts the connection."""
        try:
            return self.ask(method, path, body, node)
        except NoResponse:
            return None, {}

    def submit(self, ref: str, tasks: int = 1, node: str | None = None, **fields) -> int | None:
        """Submit a job through a node; returns the status, or None if no node accepts the connection."""
        job = {
            "ref": ref, "stripe": "class", "crew": "red", "shape": "batch", "urgency": "standard", "fronds": tasks,
            "cpus": 2.0, "accelerators": 0.0, "ram_gb": 4.0, "bundle": "img", "image_gb": 1.0, "expect_s": 10.0,
            "together": False, "apart": False, "driftwood": False, "mark_s": 0.0, "stow_s": 0.0,
        } | fields  # fmt: skip
        if ref not in self.jobs:
            self.service_level_tracker.submitted(job, self._limit_of(job), self.clock.now)
        self.jobs[ref] = job
        status, answer = self._try_ask("POST", JOBS_PATH, orjson.dumps(job), node)
        self.service_level_tracker.asked(ref, status in (200, 201), self.clock.now)
        if status == 201 and ref in self.last_told_state:
            self.broken.append(f"forgotten: {ref} accepted twice")
        if status in (200, 201):
            self.last_told_state.setdefault(ref, "accepted")
            self.service_level_tracker.accepted(ref)
            self._check_state(ref, answer)
        elif status in (400, 422) and ref in self.last_told_state:
            self.broken.append(f"forgotten: {ref} was accepted and is refused now")
        return status

    def _limit_of(self, job: dict) -> int:
        """The number of the job's tasks that its team's limit allows at once."""
        limit = next((t.cpus_max for t in self.teams if t.name == job["crew"]), None)
        return job["fronds"] if limit is None else int(limit / job["cpus"])

    def poll(self, ref: str, node: str | None = None) -> str | None:
        """Ask for a job's state as its user, and check it against earlier answers; None if the state is not known."""
        status, answer = self._try_ask("GET", f"{JOBS_PATH}/{ref}", b"", node)
        self.service_level_tracker.asked(ref, status == 200, self.clock.now)
        if status == 404 and ref in self.last_told_state:
            self.broken.append(f"forgotten: {ref}")
        if status != 200:
            return None
        if ref not in self.jobs:
            self.broken.append(f"invented: {ref}")
            return None
        return self._check_state(ref, answer)

    def _check_state(self, ref: str, answer: dict) -> str:
        """Check a job's state in an answer against earlier answers, and return it."""
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
        status, answer = self._try_ask("POST", f"{JOBS_PATH}/{ref}{ABORT_SUFFIX}", b"", node)
        self.service_level_tracker.asked(ref, status == 200, self.clock.now)
        if status == 404 and ref in self.last_told_state:
            self.broken.append(f"forgotten: {ref}")
        if status == 200 and self._check_state(ref, answer) == "withdrawn":
            self.told_cancelled.setdefault(ref, self.clock.now)
            self.service_level_tracker.cancelled(ref)
        return status

    def ask_all_nodes(self, ref: str) -> list[str | None]:
        """Ask every node for a job's state and repeat the submission there; returns the states that were told."""
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
        """The tasks on machines, as pairs (task, machine)."""
        return sorted((task_id, w.name) for task_id, w in self._live_tasks() if task_id.startswith(ref))

    def _live_tasks(self) -> Iterator[tuple[str, WorkerStandIn]]:
        for worker, _ in self.cloud.machines.values():
            for (task_id, _), task in worker.tasks.items():
                if task["tide"] != "exited":
                    yield task_id, worker

    def start(self, worker: WorkerStandIn, task_id: str, attempt: int) -> dict:
        """Check the rules for a task that a worker starts, and return the task's fields as the worker keeps them."""
        ref = task_id.partition("/")[0]
        job = self.job(ref)
        self.starts.append(task_id)
        other_tasks = [PlacedTask(f, w.name, w.zone) for f, w in self._live_tasks() if f.startswith(ref + "/")]
        start = PlacedTask(task_id, worker.name, worker.zone)
        self.broken += start_violations(job, start, worker.spot, other_tasks)
        self._check_quota(job)
        self._check_cancelled(ref)
        self.broken += cancelled_start_violations(task_id, self.told_cancelled.get(ref), worker.command_sent_at)
        self.service_level_tracker.started(ref, int(task_id.partition("/")[2]), len(other_tasks) + 1, self.clock.now)
        run = seconds(job.get("run_s", job.get("expect_s") or 10.0)) / self.speed * self.vary(RUN_SPREAD)
        if task_id in self.finished:
            run = ZERO  # its result is kept
        ready = self.clock.now + seconds(1) / self.speed
        ends = None if job["shape"] == "service" else ready + run
        return {"tide": "pulling", "ready": ready, "ends": ends, "job": job}

    def exited(self, worker: WorkerStandIn, task_id: str, cause: str) -> None:
        """Record that a task has exited; if it is done and belongs to a gang, so are the gang's other tasks."""
        if cause != "done":
            return
        self.finished.add(task_id)
        ref = task_id.partition("/")[0]
        if self.job(ref)["shape"] == "ensemble":
            self._complete_gang(ref)

    def _complete_gang(self, ref: str) -> None:
        """End the tasks of a gang of which one is done, except on machines that hang.  Source: PROTOCOL, "Gangs"."""
        for worker, _ in self.cloud.machines.values():
            for (task_id, _), task in worker.tasks.items():
                if task_id.startswith(ref + "/") and task["tide"] != "exited" and worker.hang_period is None:
                    worker._exit(task_id, task, "done")

    def started_again(self, worker: WorkerStandIn, task_id: str, attempt: int) -> None:
        """Record that a worker starts a forgotten attempt again; no rule names it, but it leads to broken ones."""
        self.repeated_starts.append(f"{task_id}@{attempt} on {worker.name}")

    def cleared(self, worker: WorkerStandIn) -> None:
        """All tasks of a worker are gone.  Nothing to do: `running` reads the tasks from the workers."""

    def _check_quota(self, job: dict) -> None:
        limit = next(t.cpus_max for t in self.teams if t.name == job["crew"])
        if limit is None:
            return
        owners = (self.job(f.partition("/")[0]) for f, _ in self._live_tasks())
        used = sum(owner["cpus"] for owner in owners if owner["crew"] == job["crew"])
        self.broken += quota_violations(job, used, limit)

    def _check_cancelled(self, ref: str) -> None:
        told = self.told_cancelled.get(ref)
        if told is not None and self.clock.now - told > self.times.cancel:
            self.broken.append(f"ran_cancelled: {ref}")
