"""A stand-in for a machine's worker: sessions, tokens, leases and tasks, as PROTOCOL describes them.

One implementation serves the simulated world, the lab's processes and the
hollow workers of a scale run; what surrounds a worker is its `WorkerEnvironment`.
"""

from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import Any, Protocol

from kelpjunction.clock import seconds
from kelpjunction.settings import WorkerTimes
from kelpjunction.transport import Reply

REPORT_SPREAD = (0.75, 1.25)  # of the time between two reports, as PROTOCOL says
REPORT_ON_CHANGE_EVERY = timedelta(milliseconds=500)


class MessageLoss(Enum):
    """Which half of what a machine and the nodes say to each other is lost."""

    INBOUND_LOST = "deaf"  # its reports arrive; answers to them, and requests to it, don't
    RESPONSES_LOST = "unanswered"  # its reports arrive, and requests to it; no answer of either side does
    OUTBOUND_LOST = "mute"  # requests to it arrive; its reports don't, nor its answers


class WorkerEnvironment(Protocol):
    """What a worker asks of the world around it."""

    clock: Any  # with `now`, a timedelta
    times: WorkerTimes
    node_count: int
    reports_changes: bool  # whether a change of its tasks brings the next report forward, as PROTOCOL says

    def start_task(self, worker: "WorkerStandIn", frond: str, attempt: int) -> dict:
        """A task begins on the worker: what it is, as the worker keeps it."""

    def on_task_exit(self, worker: "WorkerStandIn", frond: str, cause: str) -> None:
        """A task has exited and is not on the machine any more."""

    def on_tasks_cleared(self, worker: "WorkerStandIn") -> None:
        """All tasks of the worker are gone at once: its lease or its process ended, or its machine is gone."""

    def send_report(self, worker: "WorkerStandIn", fields: dict) -> None:
        """Carry a report to the worker's node; ends in `on_report_response` or `on_no_response`."""

    def number_of(self, node: str | None) -> int | None:
        """The number of a node by its name."""

    def vary(self, spread: tuple[float, float]) -> float:
        """By how much a time differs from its nominal value."""


class WorkerStandIn:
    """A machine's worker: sessions, tokens, tasks."""

    def __init__(self, world: WorkerEnvironment, name: str, zone: str, spot: bool) -> None:
        self.world, self.name, self.zone, self.spot = world, name, zone, spot
        self.address = ""
        self.session, self.sequence, self.token = 1, 0, 0
        self.tasks: dict[tuple[str, int], dict] = {}
        self.alive = True
        self.restart_count = 0  # how often its process was started again
        self.partitioned = False  # no packet gets through
        self.message_loss: MessageLoss | None = None  # half a cut
        self.fails_all_tasks = False
        self.hang_period: tuple[timedelta, timedelta] | None = None  # since when it hangs, and until when
        self.packets: list[Callable[[], Any]] = []  # what came in meanwhile, in order
        self.clock_rate = 1.0  # of its clock: 0.9995 to 1.0005 as PROTOCOL allows
        self.lease_renewed_at = self.booted_at = world.clock.now
        self.node = 0
        self.report_in_flight = False  # at most one report is in flight
        self.reported_at = world.clock.now
        self.next_report = world.clock.now
        self.notice_at: timedelta | None = None

    @property
    def up(self) -> bool:
        """Whether it has booted and not died: a worker's first session begins when its machine is up, not before."""
        return self.alive and self.world.clock.now >= self.booted_at

    def report(self) -> dict:
        self.sequence += 1
        left = None if self.notice_at is None else (self.notice_at - self.world.clock.now).total_seconds()
        tasks = [
            {"frond": f, "launch": a} | {k: v for k, v in t.items() if k in ("tide", "cause", "kept")}
            for (f, a), t in self.tasks.items()
        ]
        return {
            "holdfast": self.name, "address": self.address, "hull": "box", "bay": self.zone,
            "driftwood": self.spot, "watch": self.session, "tally": self.sequence, "helm": self.token,
            "warning_s": left, "fronds": tasks,
        }  # fmt: skip

    def die(self) -> None:
        """The machine is gone, and what was on it."""
        self.alive = False
        self._clear()

    def _clear(self) -> None:
        self.tasks.clear()
        self.world.cleared(self)

    def _exit(self, frond: str, task: dict, cause: str, **fields: bool) -> None:
        """The one place where a task of a worker ends by itself or by command."""
        task |= {"tide": "exited", "cause": cause} | fields
        self.world.exited(self, frond, cause)
        self._changed()

    def _changed(self) -> None:
        """A change of its tasks or session: the next report goes out at once, though not twice in half a second."""
        if self.world.reports_changes:
            self.next_report = min(self.next_report, self.reported_at + REPORT_ON_CHANGE_EVERY)

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
                self._changed()
            elif order["verb"] == "halt" and key in self.tasks:
                self._halt(key[0], self.tasks[key], order["slack_s"])
            elif order["verb"] == "forget" and self.tasks.get(key, {}).get("tide") == "exited":
                del self.tasks[key]

    def _halt(self, frond: str, task: dict, slack: float) -> None:
        """A running task that can save does so if it has the time; a second command without any ends that."""
        job = task["job"]
        if task["tide"] == "running" and job.get("mark_s", 0) > 0 and slack >= job.get("stow_s", 0) and slack > 0:
            task |= {"tide": "flushing", "saved_at": self.world.clock.now + seconds(job.get("stow_s", 0))}
        elif task["tide"] != "exited" and not (task["tide"] == "flushing" and slack > 0):
            self._exit(frond, task, "stopped", kept=False)

    def hang(self, length: float) -> None:
        """Stand still for so many seconds: nothing runs, and what is sent here waits; its lease runs on."""
        if self.hang_period is None:
            self.hang_period = self.world.clock.now, self.world.clock.now + seconds(length)

    def _go_on(self) -> None:
        """Go on where it stood, first of all with what came in meanwhile."""
        stood, self.hang_period = self.world.clock.now - self.hang_period[0], None
        for task in self.tasks.values():
            for moment in ("ready", "ends", "saved_at"):
                if task.get(moment):
                    task[moment] += stood
        waiting, self.packets = self.packets, []
        for packet in waiting:
            packet()

    def step(self) -> None:
        now = self.world.clock.now
        if not self.alive:
            return
        if (now - self.lease_renewed_at) * self.clock_rate > self.world.times.lease:
            self.session += 1
            self._clear()
            self.lease_renewed_at = now
            self._changed()
        if self.hang_period is not None:
            if now < self.hang_period[1]:
                return
            self._go_on()
        for (frond, _), task in self.tasks.items():
            if task["tide"] == "flushing" and now >= task["saved_at"]:
                self._exit(frond, task, "stopped", kept=True)
            if task["tide"] == "pulling" and now >= task["ready"]:
                if self.fails_all_tasks or task["job"].get("wrong"):
                    self._exit(frond, task, "error")
                else:
                    task["tide"] = "running"
                    self._changed()
            if task["tide"] == "running" and task["ends"] and now >= task["ends"]:
                self._exit(frond, task, "done")
        if now >= self.next_report and not self.report_in_flight:
            self.next_report = now + self.world.times.report * self.world.vary(REPORT_SPREAD)
            self.report_in_flight, self.reported_at = True, now
            self.world.send_report(self, self.report())

    def on_report_response(self, fields: dict, sent_at: timedelta, status: int, answer: dict) -> None:
        """The answer to the report of these fields came."""
        self.report_in_flight = False
        if status == 200:
            if answer["helm"] >= self.token and fields["watch"] == self.session:
                self.token, self.lease_renewed_at = answer["helm"], max(self.lease_renewed_at, sent_at)
                self.execute(answer["orders"])
        elif status == 421 and (named := self.world.number_of(answer.get("harbour"))) not in (None, self.node):
            self.node = named
            self.next_report = self.world.clock.now + seconds(0.2)
        else:
            self.on_no_response()

    def restart(self) -> None:
        """Its process ended and is back at once: the tasks are gone, and it counts from the beginning again."""
        self.session, self.sequence, self.token = 1, 0, 0
        self._clear()
        self.report_in_flight, self.lease_renewed_at = False, self.world.clock.now
        self.next_report = self.world.clock.now
        self.restart_count += 1

    def on_no_response(self) -> None:
        """No answer of use came to the report: the next node is tried."""
        self.report_in_flight = False
        self.node = (self.node + 1) % self.world.node_count
        self.next_report = self.world.clock.now + seconds(1)
