"""One scale run: starts the processes, generates load, injects faults, checks the rules and takes measurements."""

import random
import time
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import gevent
import psutil
from gevent.event import Event as GeventEvent

from kelpjunction.lab.cloud import CloudStandIn
from kelpjunction.lab.live import LiveClock
from kelpjunction.lab.node_settings import LabPlatform
from kelpjunction.lab.scale.checker import Checker
from kelpjunction.lab.scale.children import Child
from kelpjunction.lab.scale.controllers import Controllers
from kelpjunction.lab.scale.measures import MB, Measures, ProcessMeter, RoleUse, summary
from kelpjunction.lab.scale.messages import Batch, ProcessCommand
from kelpjunction.lab.scale.plan import MAX_MEMORY_SHARE, Fault, ScalePlan
from kelpjunction.lab.scale.users import Users
from kelpjunction.lab.serving import HOST, serve
from kelpjunction.transport import HttpTransport

CLOUD_PORT, STATE_PORT, NODE_PORT = 0, 10, 100  # offsets from the run's first port
USER_CONNECTIONS = 64
LEADER_TIMEOUT_S = 60.0
REMOVAL_TIMEOUT_S = 5.0
CHECK_INTERVAL_S = 0.5
CAPACITY_FACTOR = 1.1  # the capacity of the cloud, as a multiple of the machines at the start

HOLLOW_MODULE = "kelpjunction.lab.scale.hollow"
STATE_MODULE = "kelpjunction.lab.scale.state"


class RunAborted(Exception):
    """The run stopped itself because it exceeded a bound or lost a process; the text names the cause."""


class HollowMachine:
    """A machine as the cloud stand-in sees it; its worker runs in a process of hollow workers."""

    def __init__(self, run: "ScaleRun", name: str, zone: str, spot: bool, process: int) -> None:
        self._run = run
        self.name, self.zone, self.spot = name, zone, spot
        self.process = process
        self.address = ""
        self.alive = True
        # The cloud stand-in sets these to the time at which the machine has booted.
        self.next_report = self.lease_renewed_at = self.booted_at = run.clock.now

    def die(self) -> None:
        """Remove the machine and everything on it; waits until its process confirms, at most `REMOVAL_TIMEOUT_S`."""
        if self.alive:
            self.alive = False
            self._run.remove_machines([self])


class ScaleRun:
    """Plays a plan.  `progress` is called with the current status about twice a second."""

    def __init__(self, plan: ScalePlan, port: int, logs: Path | None, progress: Callable[[dict], None]) -> None:
        self.plan = plan
        self.clock = LiveClock()
        self.speed = 1.0
        self.zones = plan.workers.zones
        self._first_port = port
        self._progress = progress
        self._random = random.Random(plan.seed)
        self._boot_random = random.Random(plan.seed + 1)
        self.measures = Measures()
        self.meter = ProcessMeter()
        self.checker = Checker({t.name: t.cpus_max for t in plan.teams}, plan.workers.times.cancel.total_seconds())
        self.problems: list[str] = []
        self._state_figures: dict = {}
        self._state_figures_before: dict = {}
        self._removed: dict[str, GeventEvent] = {}
        self._load_duration_s = 0.0
        self._worker_bytes = self._starts = 0
        self._state_figures_after: dict = {}
        self.use: dict[str, RoleUse] = {}
        lab = LabPlatform(self.zones, plan.teams, plan.workers.times, plan.store, plan.cloud, plan.max_sockets)
        state_ports = [port + STATE_PORT + n for n in range(plan.controllers)]
        self.controllers = Controllers(
            plan.controllers, port + NODE_PORT, lab, f"{HOST}:{port + CLOUD_PORT}", state_ports, logs
        )
        self.controllers.on_start = lambda pid: self.meter.watch("controllers", pid)
        self.cloud = CloudStandIn(self, round(plan.workers.count * CAPACITY_FACTOR))
        self.cloud.cpus, self.cloud.memory_gb = plan.workers.cpus, plan.workers.memory_gb
        self._server = serve(self.cloud.handle, port + CLOUD_PORT)
        limits = {name: getattr(plan.store, name) for name in plan.store.__slots__}
        self._state_process = Child(STATE_MODULE, {"ports": state_ports, "limits": limits}, self._on_state_figures)
        self.meter.watch("state service", self._state_process.pid)
        self._hollow_processes = [self._start_hollow_process(number) for number in range(plan.workers.processes)]
        self.users = Users(
            plan,
            HttpTransport(USER_CONNECTIONS),
            self.controllers.addresses,
            self.checker,
            self.measures,
            self.announce_job,
        )

    def _start_hollow_process(self, number: int) -> Child:
        times = self.plan.workers.times
        first = {
            "nodes": [place.listen for place in self.controllers.places],
            "times": {name: getattr(times, name).total_seconds() for name in times.__slots__},
            "seed": self.plan.seed + number,
            "command_copies": self.plan.workers.command_copies,
        }
        name = f"hollow-{number}"
        self.checker.add_process(name, time.monotonic())
        child = Child(HOLLOW_MODULE, first, lambda fields: self._on_batch(name, Batch.of(fields)))
        self.meter.watch("workers", child.pid)
        return child

    # -- messages from the processes ----------------------------------------------

    def _on_state_figures(self, figures: dict) -> None:
        self._state_figures = figures

    def _on_batch(self, name: str, batch: Batch) -> None:
        self.checker.add_events(name, batch.upto, batch.events)
        self.measures.record_check_ins(batch.check_ins_ms, batch.failed_check_ins, batch.bytes_moved)
        for machine in batch.gone:
            if machine in self._removed:
                self._removed[machine].set()

    # -- called by the cloud stand-in -----------------------------------------------

    def make_worker(self, name: str, zone: str, spot: bool) -> HollowMachine:
        number = int(name.rpartition("-")[2])
        self.checker.add_machine(name, zone, spot)
        return HollowMachine(self, name, zone, spot, number % len(self._hollow_processes))

    def address_of(self, machine: HollowMachine, number: int) -> str:
        """Give a new machine its own loopback address, as it would have on a network, and start its worker."""
        address = f"127.1.{number // 250}.{number % 250 + 1}:{self._first_port}"
        gevent.spawn(self._send_add_command, machine, address)
        return address

    def _send_add_command(self, machine: HollowMachine, address: str) -> None:
        ready = machine.booted_at.total_seconds()
        fields = {"name": machine.name, "zone": machine.zone, "spot": machine.spot, "address": address, "ready": ready}
        self._hollow_processes[machine.process].send({"do": ProcessCommand.ADD, "machines": [fields]})

    def vary(self, spread: tuple[float, float]) -> float:
        return self._boot_random.uniform(*spread)

    def remove_machines(self, machines: list[HollowMachine]) -> None:
        """Remove machines; waits until their processes confirm it, at most `REMOVAL_TIMEOUT_S` for each."""
        for machine in machines:
            self._removed[machine.name] = GeventEvent()
            self._hollow_processes[machine.process].send({"do": ProcessCommand.DIE, "machines": [machine.name]})
        for machine in machines:
            self._removed[machine.name].wait(REMOVAL_TIMEOUT_S)

    # -- called by the users ----------------------------------------------------------

    def announce_job(self, job: dict, run_s: float) -> None:
        """Tell every process of workers how the job's tasks run.

        The processes never remove a job, so that a start that comes too late is still recorded and checked.
        """
        fields = {"ref": job["ref"], "run_s": run_s, "shape": job["shape"], "mark_s": 0.0, "stow_s": 0.0}
        for child in self._hollow_processes:
            child.send({"do": ProcessCommand.JOB} | fields)

    # -- playing ------------------------------------------------------------------------

    def play(self) -> None:
        """Play the plan to its end.

        Raises `RunAborted` if the run exceeds a bound or if one of its processes ends.
        """
        began = time.monotonic()
        for number in range(self.plan.workers.count):
            self.cloud.add(self.zones[number % len(self.zones)], False, self.clock.now)
        for number in range(self.plan.controllers):
            self.controllers.start(number)
        self._wait_for_leader(began)
        self.meter.begin()
        self._state_figures_before = dict(self._state_figures)
        self.measures.worker_bytes = 0
        load_began = time.monotonic()
        self.users.begin()
        for fault in self.plan.faults:
            gevent.spawn_later(fault.at.total_seconds(), self._inject_fault, fault)
        self._wait_until(began, load_began, lambda: time.monotonic() - load_began >= self.plan.duration.total_seconds())
        self._load_duration_s = time.monotonic() - load_began
        self.use = self.meter.use()
        self._state_figures_after = dict(self._state_figures)
        self._worker_bytes = self.measures.worker_bytes
        self._starts = self.checker.starts
        self.users.end()
        self._wait_until(began, load_began, lambda: self.users.active_count == 0)
        gevent.sleep(CHECK_INTERVAL_S)
        self.problems += [f"job {ref} is neither done nor cancelled" for ref in self.checker.unfinished_jobs()]

    def _wait_for_leader(self, began: float) -> None:
        while not self._state_figures.get("leader"):
            if time.monotonic() - began > LEADER_TIMEOUT_S:
                raise RunAborted(f"no controller became leader within {LEADER_TIMEOUT_S:.0f} s")
            gevent.sleep(CHECK_INTERVAL_S)
        gevent.sleep(self.plan.settle.total_seconds())

    def _wait_until(self, began: float, load_began: float, until: Callable[[], bool]) -> None:
        """Wait until a condition is true.

        Raises `RunAborted` if the run exceeds its memory or its time, or if one of its processes ends.
        """
        max_memory_mb = psutil.virtual_memory().total / MB * MAX_MEMORY_SHARE
        while not until():
            gevent.sleep(CHECK_INTERVAL_S)
            memory = self.meter.read()
            self.checker.check_cancelled(time.monotonic())
            self._progress(self._status(time.monotonic() - load_began, memory))
            if not all(child.is_running for child in (*self._hollow_processes, self._state_process)):
                raise RunAborted("a process of hollow workers or the state service ended unexpectedly")
            if memory > max_memory_mb:
                raise RunAborted(f"the run's processes use {memory:.0f} MB, more than half of this machine's memory")
            if time.monotonic() - began > self.plan.limit.total_seconds():
                raise RunAborted(f"the run exceeded its time limit of {self.plan.limit.total_seconds():.0f} s")

    def _status(self, elapsed_s: float, memory: float) -> dict:
        recent_starts = [self.measures.starts_in_second.get(int(time.monotonic()) - n, 0) for n in (1, 2, 3)]
        return {
            "seconds": round(elapsed_s),
            "leader": self._state_figures.get("leader"),
            "jobs under way": self.users.active_count,
            "tasks on machines": self.checker.running,
            "starts": self.checker.starts,
            "starts a second": round(sum(recent_starts) / len(recent_starts)),
            "rules broken": len(self.checker.broken),
            "memory, MB": round(memory),
        }

    # -- faults -------------------------------------------------------------------------

    def _inject_fault(self, fault: Fault) -> None:
        name, duration = fault.do, fault.duration
        leader = self.controllers.number_of(self._state_figures.get("leader"))
        if name == "outage":
            self._state_process.send({"do": "outage", "on": True})
            self._after(duration, lambda: self._state_process.send({"do": "outage", "on": False}))
        elif name == "restart-workers":
            self._hollow_processes[0].send({"do": ProcessCommand.RESTART})
        elif name in ("lose-rack", "lose-zone"):
            self._lose_machines(name, duration)
        elif leader is None:
            self.problems.append(f"{name} at {fault.at.total_seconds():.0f} s: not injected, there was no leader")
        elif name == "kill-leader":
            self.controllers.kill(leader)
            self._after(duration, lambda: self.controllers.start(leader))
        elif name == "freeze":
            self.controllers.freeze(leader, True)
            self._after(duration, lambda: self.controllers.freeze(leader, False))
        else:
            self._state_process.send({"do": "cut", "number": leader, "on": True})
            self._after(duration, lambda: self._state_process.send({"do": "cut", "number": leader, "on": False}))

    def _after(self, duration: timedelta, action: Callable[[], None]) -> None:
        gevent.spawn_later(duration.total_seconds(), action)

    def _lose_machines(self, fault_name: str, duration: timedelta) -> None:
        """Remove all machines of a random rack or zone.

        The cloud has no capacity in a lost zone until `duration` has passed.
        """
        zone = self._random.choice(self.zones)
        affected = [machine for machine, _ in self.cloud.machines.values() if machine.zone == zone and machine.alive]
        if fault_name == "lose-rack":
            first = self._random.randrange(max(1, len(affected) - self.plan.workers.rack))
            affected = affected[first : first + self.plan.workers.rack]
        else:
            self.cloud.zones_without_capacity.add(zone)
            self._after(duration, lambda: self.cloud.zones_without_capacity.discard(zone))
        for machine in affected:
            machine.alive = False
        self.remove_machines(affected)

    # -- the end ------------------------------------------------------------------------

    @property
    def succeeded(self) -> bool:
        """Whether no rule was broken and all accepted jobs are done or cancelled."""
        return not self.checker.broken and not self.problems

    def report(self) -> dict:
        """The figures of the run as one JSON object."""
        measures, lasted, starts = self.measures, max(self._load_duration_s, 1e-9), self._starts
        after, before = self._state_figures_after, self._state_figures_before
        changes = after.get("changes", 0) - before.get("changes", 0)
        requests = after.get("requests", 0) - before.get("requests", 0)
        return {
            "title": self.plan.title,
            "workers": self.plan.workers.count,
            "lasted_s": round(self._load_duration_s, 1),
            "starts": starts,
            "starts_a_second": round(starts / lasted, 1),
            "busiest_minute_starts_a_second": round(measures.busiest_starts_per_second(), 1),
            "changes_a_second": round(changes / lasted, 1),
            "changes_a_start": round(changes / max(1, starts), 3),
            "requests_a_second": round(requests / lasted, 1),
            "refused_by_the_state_service": after.get("refused", 0),
            "keys": after.get("keys", 0),
            "bytes_a_second_a_worker": round(self._worker_bytes / lasted / self.plan.workers.count),
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
        """End all processes and servers that this run started."""
        self.controllers.close()
        for child in (*self._hollow_processes, self._state_process):
            child.end()
        self._server.stop(timeout=0.1)
