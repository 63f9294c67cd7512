"""A stand-in for a machine's worker: sessions, tokens, leases and tasks, as PROTOCOL describes them.

The simulated site, the lab of real processes and the hollow workers of a scale
run share this implementation. Each provides its own `WorkerEnvironment`.
"""

from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import Any, Protocol

from kelpjunction.clock import seconds
from kelpjunction.settings import WorkerTimes
from kelpjunction.transport import Reply

REPORT_SPREAD = (0.75, 1.25)  # factors of the report interval, from PROTOCOL
MIN_REPORT_INTERVAL = timedelta(milliseconds=500)


class MessageLoss(Enum):
    """Which of the messages between a machine and the nodes are lost."""

    INBOUND_LOST = "deaf"  # its reports arrive; responses to them and requests to it are lost
    RESPONSES_LOST = "unanswered"  # its reports and requests to it arrive; the replies to both are lost
    OUTBOUND_LOST = "mute"  # requests to it arrive; its reports and its replies are lost


class WorkerEnvironment(Protocol):
    """What a worker needs from the site that it runs in."""

    clock: Any  # with `now`, a timedelta
    times: WorkerTimes
    node_count: int
    reports_changes: bool  # whether a worker reports early when its tasks change, as PROTOCOL says

    def start(self, worker: "WorkerStandIn", task_id: str, attempt: int) -> dict:
        """Called when the worker starts a task; returns the task's fields as the worker keeps them."""

    def exited(self, worker: "WorkerStandIn", task_id: str, cause: str) -> None:
        """Called when a task has exited and is no longer on the machine."""

    def started_again(self, worker: "WorkerStandIn", task_id: str, attempt: int) -> None:
        """Called when the worker starts an attempt that it was told to forget in the same session."""

    def cleared(self, worker: "WorkerStandIn") -> None:
        """Called when all tasks of the worker are gone: its lease or its process ended, or its machine died."""

    def send_report(self, worker: "WorkerStandIn", fields: dict) -> None:
        """Send a report to the worker's node, and later call `on_report_response` or `on_no_response`."""

    def number_of(self, node: str | None) -> int | None:
        """The number of the node with this name; None if the name is unknown."""

    def vary(self, spread: tuple[float, float]) -> float:
        """A factor within `spread` for a nominal time."""


class WorkerStandIn:
    """A machine's worker: sessions, tokens, tasks."""

    def __init__(self, world: WorkerEnvironment, name: str, zone: str, spot: bool) -> None:
        self.world, self.name, self.zone, self.spot = world, name, zone, spot
        self.address = ""
        self.machine_type = "box"
        self.session, self.sequence, self.token = 1, 0, 0
        self.tasks: dict[tuple[str, int], dict] = {}
        self.forgotten_attempts: set[tuple[str, int]] = set()  # of this session
        self.alive = True
        self.restart_count = 0  # restarts of its process
        self.partitioned = False  # all packets are lost
        self.message_loss: MessageLoss | None = None  # a partial partition
        self.fails_all_tasks = False
        self.hang_period: tuple[timedelta, timedelta] | None = None  # start and end of a hang
        self.packets: list[Callable[[], Any]] = []  # packets that arrived during a hang, in order
        self.clock_rate = 1.0  # its clock's rate; PROTOCOL allows 0.9995 to 1.0005
        self.lease_renewed_at = self.booted_at = world.clock.now
        self.node = 0
        self.report_in_flight = False  # a worker sends no report while one is in flight
        self.reported_at = world.clock.now
        self.next_report = world.clock.now
        self.token_change_reported_at = world.clock.now
        self.notice_at: timedelta | None = None
        self.command_sent_at: timedelta | None = None  # when a node sent the commands that it executes; None if unknown

    @property
    def up(self) -> bool:
        """Whether the machine has booted and not died; a worker's first session begins when its machine is up."""
        return self.alive and self.world.clock.now >= self.booted_at

    def report(self) -> dict:
        self.sequence += 1
        left = None if self.notice_at is None else (self.notice_at - self.world.clock.now).total_seconds()
        tasks = [
            {"frond": f, "launch": a} | {k: v for k, v in t.items() if k in ("tide", "cause", "kept")}
            for (f, a), t in self.tasks.items()
        ]
        return {
            "holdfast": self.name, "address": self.address, "hull": self.machine_type, "bay": self.zone,
            "driftwood": self.spot, "watch": self.session, "tally": self.sequence, "helm": self.token,
            "warning_s": left, "fronds": tasks,
        }  # fmt: skip

    def die(self) -> None:
        """End the machine and all tasks on it."""
        self.alive = False
        self._clear()

    def _clear(self) -> None:
        self.tasks.clear()
        self.forgotten_attempts.clear()
        self.world.cleared(self)

    def _exit(self, task_id: str, task: dict, cause: str, **fields: bool) -> None:
        """Mark a task as exited, by itself or by command.  Only this method does so."""
        task |= {"tide": "exited", "cause": cause} | fields
        self.world.exited(self, task_id, cause)
        self._report_soon()

    def _report_soon(self) -> None:
        """Bring the next report forward after a change of tasks or session, but not to within 500 ms of the last."""
        if self.world.reports_changes:
            self.next_report = min(self.next_report, self.reported_at + MIN_REPORT_INTERVAL)

    def _see_token(self, token: int) -> None:
        """Keep a token that is not below the highest one seen; a higher one counts as a change twice in a lease."""
        now = self.world.clock.now
        if token > self.token and now - self.token_change_reported_at >= self.world.times.lease / 2:
            self.token_change_reported_at = now
            self._report_soon()
        self.token = token

    def handle(self, method: str, path: str, body: dict, sent_at: timedelta | None = None) -> Reply:
        """Handle a request that a node sent at `sent_at`, if that is known."""
        if path == "/status":
            return Reply(200, self.report())
        if body["helm"] < self.token or body["watch"] != self.session:
            return Reply(409, self.report())
        self.command_sent_at = sent_at
        self._see_token(body["helm"])
        self.execute(body["orders"])
        return Reply(200, self.report())

    def execute(self, commands: list[dict]) -> None:
        for command in commands:
            key = (command["frond"], command["launch"])
            if command["verb"] == "run" and key not in self.tasks:
                if key in self.forgotten_attempts:
                    self.world.started_again(self, *key)
                self.tasks[key] = self.world.start(self, *key)
                self._report_soon()
            elif command["verb"] == "halt" and key in self.tasks:
                self._stop_task(key[0], self.tasks[key], command["slack_s"])
            elif command["verb"] == "forget" and self.tasks.get(key, {}).get("tide") == "exited":
                del self.tasks[key]
                self.forgotten_attempts.add(key)

    def _stop_task(self, task_id: str, task: dict, slack: float) -> None:
        """Stop a task; `slack` is the time in seconds that it may take to save its state.

        A running task that can save its state does so if the time suffices. A
        later command without slack ends the saving.
        """
        job = task["job"]
        if task["tide"] == "running" and job.get("mark_s", 0) > 0 and slack >= job.get("stow_s", 0) and slack > 0:
            task |= {"tide": "flushing", "saved_at": self.world.clock.now + seconds(job.get("stow_s", 0))}
        elif task["tide"] != "exited" and not (task["tide"] == "flushing" and slack > 0):
            self._exit(task_id, task, "stopped", kept=False)

    def hang(self, length: float) -> None:
        """Hang for `length` seconds: tasks make no progress and packets wait, but the lease still runs out."""
        if self.hang_period is None:
            self.hang_period = self.world.clock.now, self.world.clock.now + seconds(length)

    def _end_hang(self) -> None:
        """Continue after a hang: shift the tasks' times by its length and handle the packets that waited."""
        hang_time, self.hang_period = self.world.clock.now - self.hang_period[0], None
        for task in self.tasks.values():
            for moment in ("ready", "ends", "saved_at"):
                if task.get(moment):
                    task[moment] += hang_time
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
            self._report_soon()
        if self.hang_period is not None:
            if now < self.hang_period[1]:
                return
            self._end_hang()
        for (task_id, _), task in self.tasks.items():
            if task["tide"] == "flushing" and now >= task["saved_at"]:
                self._exit(task_id, task, "stopped", kept=True)
            if task["tide"] == "pulling" and now >= task["ready"]:
                if self.fails_all_tasks or task["job"].get("wrong"):
                    self._exit(task_id, task, "error")
                else:
                    task["tide"] = "running"
                    self._report_soon()
            if task["tide"] == "running" and task["ends"] and now >= task["ends"]:
                self._exit(task_id, task, "done")
        if now >= self.next_report and not self.report_in_flight:
            self.next_report = now + self.world.times.report * self.world.vary(REPORT_SPREAD)
            self.report_in_flight, self.reported_at = True, now
            self.world.send_report(self, self.report())

    def on_report_response(
        self, fields: dict, sent_at: timedelta, status: int, answer: dict, answered_at: timedelta | None = None
    ) -> None:
        """Handle the response to the report with these fields, which was sent at `sent_at`."""
        self.report_in_flight, self.command_sent_at = False, answered_at
        if status == 200:
            if answer["helm"] >= self.token and fields["watch"] == self.session:
                self.lease_renewed_at = max(self.lease_renewed_at, sent_at)
                self._see_token(answer["helm"])
                self.execute(answer["orders"])
        elif status == 421 and (named_node := self.world.number_of(answer.get("harbour"))) not in (None, self.node):
            self.node = named_node
            self.next_report = self.world.clock.now + seconds(0.2)
        else:
            self.on_no_response()

    def restart(self) -> None:
        """Restart its process: its tasks are gone, and session, sequence number and token start over."""
        self.session, self.sequence, self.token = 1, 0, 0
        self._clear()
        self.report_in_flight, self.lease_renewed_at = False, self.world.clock.now
        self.next_report = self.world.clock.now
        self.restart_count += 1

    def on_no_response(self) -> None:
        """Handle a missing or useless response to a report: try the next node after a second."""
        self.report_in_flight = False
        self.node = (self.node + 1) % self.world.node_count
        self.next_report = self.world.clock.now + seconds(1)
