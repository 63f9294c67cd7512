"""One scale run: starts the processes, lets the load and the faults come, judges and measures."""

import random
import time
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import gevent
import psutil
from gevent.event import Event as Flag

from kelpjunction.lab.cloud import CloudStandIn
from kelpjunction.lab.live import LiveClock
from kelpjunction.lab.node_settings import LabPlatform
from kelpjunction.lab.scale.checker import Checker
from kelpjunction.lab.scale.children import Child
from kelpjunction.lab.scale.controllers import Controllers
from kelpjunction.lab.scale.measures import MB, Measures, ProcessMeter, RoleUse, summary
from kelpjunction.lab.scale.messages import Batch, ProcessCommand
from kelpjunction.lab.scale.plan import MEMORY_SHARE, Fault, ScalePlan
from kelpjunction.lab.scale.users import Users
from kelpjunction.lab.serving import HOST, serve
from kelpjunction.transport import HttpTransport

CLOUD_PORT, STATE_PORT, NODE_PORT = 0, 10, 100  # above the run's first port
USER_CONNECTIONS = 64
READY_WITHIN_S = 60.0
GONE_WITHIN_S = 5.0
STEP_S = 0.5
SPARE_CAPACITY = 1.1  # of the machines there are at the start, what the cloud has in all

HOLLOW = "kelpjunction.lab.scale.hollow"
STATE = "kelpjunction.lab.scale.state"


class RunAborted(Exception):
    """The run has stopped itself at one of its bounds; the text says which."""


class HollowMachine:
    """A machine as the cloud's stand-in knows it; its worker is in a process of hollow workers."""

    def __init__(self, run: "ScaleRun", name: str, zone: str, spot: bool, process: int) -> None:
        self._run = run
        self.name, self.zone, self.spot = name, zone, spot
        self.process = process
        self.address = ""
        self.alive = True
        # Set by the cloud's stand-in to when the machine is up.
        self.next_report = self.lease_renewed_at = self.booted_at = run.clock.now

    def die(self) -> None:
        """Be gone, with all that is on the machine, once this returns."""
        if self.alive:
            self.alive = False
            self._run.let_die([self])


class ScaleRun:
    """Plays a plan.  `progress` is told the state of things about twice a second."""

    def __init__(self, plan: ScalePlan, port: int, logs: Path | None, progress: Callable[[dict], None]) -> None:
        self.plan = plan
        self.clock = LiveClock()
        self.speed = 1.0
        self.zones = plan.workers.zones
        self._port = port
        self._progress = progress
        self._random = random.Random(plan.seed)
        self._boot = random.Random(plan.seed + 1)
        self.measures = Measures()
        self.meter = ProcessMeter()
        self.checker = Checker({t.name: t.cpus_max for t in plan.teams}, plan.workers.times.cancel.total_seconds())
        self.problems: list[str] = []
        self._state: dict = {}
        self._state_before: dict = {}
        self._gone: dict[str, Flag] = {}
        self._lasted_s = 0.0
        self._bytes = self._starts = 0
        self._state_after: dict = {}
        self.use: dict[str, RoleUse] = {}
        lab = LabPlatform(self.zones, plan.teams, plan.workers.times, plan.store, plan.cloud, plan.max_sockets)
        state_ports = [port + STATE_PORT + n for n in range(plan.controllers)]
        self.controllers = Controllers(
            plan.controllers, port + NODE_PORT, lab, f"{HOST}:{port + CLOUD_PORT}", state_ports, logs
        )
        self.controllers.on_start = lambda pid: self.meter.watch("controllers", pid)
        self.cloud = CloudStandIn(self, round(plan.workers.count * SPARE_CAPACITY))
        self.cloud.cpus, self.cloud.memory_gb = plan.workers.cpus, plan.workers.memory_gb
        self._server = serve(self.cloud.handle, port + CLOUD_PORT)
        limits = {name: getattr(plan.store, name) for name in plan.store.__slots__}
        self._store = Child(STATE, {"ports": state_ports, "limits": limits}, self._state_told)
        self.meter.watch("state service", self._store.pid)
        self._hollow = [self._hollow_process(number) for number in range(plan.workers.processes)]
        self.users = Users(
            plan,
            HttpTransport(USER_CONNECTIONS),
            self.controllers.addresses,
            self.checker,
            self.measures,
            self.job_comes,
        )

    def _hollow_process(self, number: int) -> Child:
        times = self.plan.workers.times
        first = {
            "nodes": [place.listen for place in self.controllers.places],
            "times": {name: getattr(times, name).total_seconds() for name in times.__slots__},
            "seed": self.plan.seed + number,
        }
        name = f"hollow-{number}"
        self.checker.process_began(name, time.monotonic())
        child = Child(HOLLOW, first, lambda fields: self._batch_told(name, Batch.of(fields)))
        self.meter.watch("workers", child.pid)
        return child

    # -- what processes tell ------------------------------------------------------

    def _state_told(self, figures: dict) -> None:
        self._state = figures

    def _batch_told(self, name: str, batch: Batch) -> None:
        self.checker.told_upto(name, batch.upto, batch.events)
        self.measures.checked_in(batch.check_ins_ms, batch.failed_check_ins, batch.bytes_moved)
        for machine in batch.gone:
            if machine in self._gone:
                self._gone[machine].set()

    # -- what the cloud's stand-in asks for -----------------------------------------

    def make_worker(self, name: str, zone: str, spot: bool) -> HollowMachine:
        number = int(name.rpartition("-")[2])
        self.checker.machine_added(name, zone, spot)
        return HollowMachine(self, name, zone, spot, number % len(self._hollow))

    def address_of(self, machine: HollowMachine, number: int) -> str:
        """Each machine has a loopback address of its own, as it would have one of a network; it starts now."""
        address = f"127.1.{number // 250}.{number % 250 + 1}:{self._port}"
        gevent.spawn(self._add_soon, machine, address)
        return address

    def _add_soon(self, machine: HollowMachine, address: str) -> None:
        ready = machine.booted_at.total_seconds()
        fields = {"name": machine.name, "zone": machine.zone, "spot": machine.spot, "address": address, "ready": ready}
        self._hollow[machine.process].tell({"do": ProcessCommand.ADD, "machines": [fields]})

    def vary(self, spread: tuple[float, float]) -> float:
        return self._boot.uniform(*spread)

    def let_die(self, machines: list[HollowMachine]) -> None:
        """Let machines die, and wait until their processes have told it."""
        for machine in machines:
            self._gone[machine.name] = Flag()
            self._hollow[machine.process].tell({"do": ProcessCommand.DIE, "machines": [machine.name]})
        for machine in machines:
            self._gone[machine.name].wait(GONE_WITHIN_S)

    # -- what users tell --------------------------------------------------------------

    def job_comes(self, job: dict, run_s: float) -> None:
        """Tell every process of workers what the job's tasks do; never forgotten, so that a late start is seen."""
        fields = {"ref": job["ref"], "run_s": run_s, "shape": job["shape"], "mark_s": 0.0, "stow_s": 0.0}
        for child in self._hollow:
            child.tell({"do": ProcessCommand.JOB} | fields)

    # -- playing ------------------------------------------------------------------------

    def play(self) -> None:
        """Play the plan to its end; raises `RunAborted` at a bound."""
        began = time.monotonic()
        for number in range(self.plan.workers.count):
            self.cloud.add(self.zones[number % len(self.zones)], False, self.clock.now)
        for number in range(self.plan.controllers):
            self.controllers.start(number)
        self._wait_for_leader(began)
        self.meter.begin()
        self._state_before = dict(self._state)
        self.measures.worker_bytes = 0
        played_from = time.monotonic()
        self.users.begin()
        for fault in self.plan.faults:
            gevent.spawn_later(fault.at.total_seconds(), self._fail, fault)
        self._let_pass(began, played_from, lambda: time.monotonic() - played_from >= self.plan.lasting.total_seconds())
        self._lasted_s = time.monotonic() - played_from
        self.use = self.meter.use()
        self._state_after = dict(self._state)
        self._bytes = self.measures.worker_bytes
        self._starts = self.checker.starts
        self.users.end()
        self._let_pass(began, played_from, lambda: self.users.at_work == 0)
        gevent.sleep(STEP_S)
        self.problems += [f"{ref} is not over" for ref in self.checker.unfinished_jobs()]

    def _wait_for_leader(self, began: float) -> None:
        while not self._state.get("leader"):
            if time.monotonic() - began > READY_WITHIN_S:
                raise RunAborted(f"no controller leads after {READY_WITHIN_S:.0f} s")
            gevent.sleep(STEP_S)
        gevent.sleep(self.plan.settle.total_seconds())

    def _let_pass(self, began: float, played_from: float, until: Callable[[], bool]) -> None:
        """Let time pass until something is true, within the bounds."""
        most = psutil.virtual_memory().total / MB * MEMORY_SHARE
        while not until():
            gevent.sleep(STEP_S)
            memory = self.meter.read()
            self.checker.check_cancelled(time.monotonic())
            self._progress(self._status(time.monotonic() - played_from, memory))
            if not all(child.runs for child in (*self._hollow, self._store)):
                raise RunAborted("a process of the stand-ins has ended by itself")
            if memory > most:
                raise RunAborted(f"its processes hold {memory:.0f} MB, half of this machine's memory")
            if time.monotonic() - began > self.plan.limit.total_seconds():
                raise RunAborted(f"its time limit of {self.plan.limit.total_seconds():.0f} s is over")

    def _status(self, passed: float, memory: float) -> dict:
        lately = [self.measures.starts_in_second.get(int(time.monotonic()) - n, 0) for n in (1, 2, 3)]
        return {
            "seconds": round(passed),
            "leader": self._state.get("leader"),
            "jobs under way": self.users.at_work,
            "tasks on machines": self.checker.running,
            "starts": self.checker.starts,
            "starts a second": round(sum(lately) / len(lately)),
            "rules broken": len(self.checker.broken),
            "memory, MB": round(memory),
        }

    # -- faults -------------------------------------------------------------------------

    def _fail(self, fault: Fault) -> None:
        name, lasting = fault.do, fault.lasting
        leader = self.controllers.number_of(self._state.get("leader"))
        if name == "outage":
            self._store.tell({"do": "outage", "on": True})
            self._after(lasting, lambda: self._store.tell({"do": "outage", "on": False}))
        elif name == "restart-workers":
            self._hollow[0].tell({"do": ProcessCommand.RESTART})
        elif name in ("lose-rack", "lose-zone"):
            self._lose(name, lasting)
        elif leader is None:
            self.problems.append(f"{name} at {fault.at.total_seconds():.0f} s: nobody led")
        elif name == "kill-leader":
            self.controllers.kill(leader)
            self._after(lasting, lambda: self.controllers.start(leader))
        elif name == "freeze":
            self.controllers.freeze(leader, True)
            self._after(lasting, lambda: self.controllers.freeze(leader, False))
        else:
            self._store.tell({"do": "cut", "number": leader, "on": True})
            self._after(lasting, lambda: self._store.tell({"do": "cut", "number": leader, "on": False}))

    def _after(self, lasting: timedelta, act: Callable[[], None]) -> None:
        gevent.spawn_later(lasting.total_seconds(), act)

    def _lose(self, what: str, lasting: timedelta) -> None:
        """A rack, or a zone of which the cloud rents nothing meanwhile, loses all its machines."""
        zone = self._random.choice(self.zones)
        there = [machine for machine, _ in self.cloud.machines.values() if machine.zone == zone and machine.alive]
        if what == "lose-rack":
            first = self._random.randrange(max(1, len(there) - self.plan.workers.rack))
            there = there[first : first + self.plan.workers.rack]
        else:
            self.cloud.zones_without_capacity.add(zone)
            self._after(lasting, lambda: self.cloud.zones_without_capacity.discard(zone))
        for machine in there:
            machine.alive = False
        self.let_die(there)

    # -- the end ------------------------------------------------------------------------

    @property
    def well(self) -> bool:
        """Whether no rule was broken and all that was accepted is over."""
        return not self.checker.broken and not self.problems

    def report(self) -> dict:
        """All figures of the run."""
        measures, lasted, starts = self.measures, max(self._lasted_s, 1e-9), self._starts
        after, before = self._state_after, self._state_before
        changes = after.get("changes", 0) - before.get("changes", 0)
        requests = after.get("requests", 0) - before.get("requests", 0)
        return {
            "title": self.plan.title,
            "workers": self.plan.workers.count,
            "lasted_s": round(self._lasted_s, 1),
            "starts": starts,
            "starts_a_second": round(starts / lasted, 1),
            "busiest_minute_starts_a_second": round(measures.busiest_seconds(), 1),
            "changes_a_second": round(changes / lasted, 1),
            "changes_a_start": round(changes / max(1, starts), 3),
            "requests_a_second": round(requests / lasted, 1),
            "refused_by_the_state_service": after.get("refused", 0),
            "keys": after.get("keys", 0),
            "bytes_a_second_a_worker": round(self._bytes / lasted / self.plan.workers.count),
            "times_ms": {
                "submit": summary(measures.submit),
                "urgent_start": summary(measures.urgent_start),
                "urgent_start_of_the_first_load": summary(measures.first_urgent_start),
                "poll": summary(measures.poll),
                "check_in": summary(measures.check_in),
            },
            "refused_submissions": measures.refused_submissions,
            "failed_polls": measures.failed_polls,
            "failed_check_ins": measures.failed_check_ins,
            "given_up": self.users.gave_up,
            "roles": {role: use.to_dict(lasted) for role, use in self.use.items()},
            "broken": self.checker.broken,
            "problems": self.problems,
        }

    def close(self) -> None:
        """End all that this run started."""
        self.controllers.close()
        for child in (*self._hollow, self._store):
            child.end()
        self._server.stop(timeout=0.1)
