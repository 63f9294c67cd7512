"""Checks PROTOCOL's rules on the events of the worker processes and the answers to users, in order of time.

Events arrive a few milliseconds late and from several processes.  An event or
answer is therefore checked only when every process has sent all its events up
to that time.
"""

import heapq
from collections import Counter
from collections.abc import Callable
from itertools import count

from kelpjunction.lab.rules import (
    CANCELLED,
    DONE,
    PlacedTask,
    answer_violations,
    quota_violations,
    start_violations,
)
from kelpjunction.lab.scale.messages import EventKind, TaskEvent

MAX_VIOLATIONS = 200  # how many violations are kept; later ones are dropped


class Machine:
    """A machine's zone and kind, and the tasks on it."""

    def __init__(self, zone: str, spot: bool) -> None:
        self.zone = zone
        self.spot = spot
        self.tasks: Counter[str] = Counter()


class Checker:
    """Tracks tasks on machines and answers to users, and collects the rules that were broken.

    `limits` holds each team's limit of CPUs, or None.  `cancel_s` is how many
    seconds a task may still run after its user was told of the cancellation.
    """

    def __init__(self, limits: dict[str, float | None], cancel_s: float) -> None:
        self._limits = limits
        self._cancel_s = cancel_s
        self._machines: dict[str, Machine] = {}
        self._jobs: dict[str, dict] = {}
        self._placed_tasks: dict[str, list[PlacedTask]] = {}  # tasks on machines, by job
        self._cpus_used: Counter[str] = Counter()  # CPUs, by team
        self._finished: dict[str, set[str]] = {}
        self._asked_to_cancel: set[str] = set()
        self._last_states: dict[str, str] = {}
        self._told_cancelled_at: dict[str, float] = {}
        self._overdue_jobs: set[str] = set()  # cancelled jobs that ran for too long; each is listed only once
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._queue_numbers = count()
        self._sent_upto: dict[str, float] = {}
        self.broken: list[str] = []
        self.starts = 0
        self.running = 0
        self.on_start: Callable[[str, float], None] = lambda ref, at: None

    # -- events and answers, with the time at which they happened -----------------

    def add_process(self, name: str, at: float) -> None:
        """Expect events of a process from now on; nothing later than `at` is checked until it has sent them."""
        self._sent_upto[name] = at

    def add_events(self, name: str, upto: float, events: list[TaskEvent]) -> None:
        """Take in the events of a process, which has now sent all its events up to `upto`."""
        for event in events:
            self._enqueue(event.at, lambda event=event: self._on_event(event))
        self._sent_upto[name] = upto
        self._check_due()

    def add_machine(self, name: str, zone: str, spot: bool) -> None:
        self._machines[name] = Machine(zone, spot)

    def add_job(self, job: dict) -> None:
        """Register a job that its user is about to submit for the first time."""
        self._jobs[job["ref"]] = job

    def add_cancel_request(self, ref: str) -> None:
        self._asked_to_cancel.add(ref)

    def add_answer(self, at: float, ref: str, status: int, state: str | None) -> None:
        """Take in an answer to a user about a job: its HTTP status, and the job's state or None."""
        self._enqueue(at, lambda: self._on_answer(at, ref, status, state))

    def _enqueue(self, at: float, check: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at, next(self._queue_numbers), check))

    def _check_due(self) -> None:
        upto = min(self._sent_upto.values())
        while self._queue and self._queue[0][0] <= upto:
            heapq.heappop(self._queue)[2]()

    # -- checking ------------------------------------------------------------------

    def _add_violations(self, violations: list[str]) -> None:
        self.broken += violations[: max(0, MAX_VIOLATIONS - len(self.broken))]

    def _on_event(self, event: TaskEvent) -> None:
        if event.kind is EventKind.STARTED:
            self._on_task_start(event)
        elif event.kind is EventKind.STARTED_AGAIN:
            self._add_violations([f"started_again: {event.frond} on {event.machine} after it was forgotten there"])
        elif event.kind is EventKind.EXITED:
            self._on_task_left(event.machine, event.frond)
            if event.cause == "done":
                self._finished.setdefault(_job_ref(event.frond), set()).add(event.frond)
        else:
            for task_id in list(self._machines[event.machine].tasks.elements()):
                self._on_task_left(event.machine, task_id)

    def _on_task_start(self, event: TaskEvent) -> None:
        ref, machine = _job_ref(event.frond), self._machines[event.machine]
        job = self._jobs[ref]
        placed = PlacedTask(event.frond, event.machine, machine.zone)
        job_tasks = self._placed_tasks.setdefault(ref, [])
        self._add_violations(start_violations(job, placed, machine.spot, job_tasks))
        self._add_violations(quota_violations(job, self._cpus_used[job["crew"]], self._limits[job["crew"]]))
        if event.at - self._told_cancelled_at.get(ref, event.at) > self._cancel_s:
            self._add_violations([f"ran_cancelled: {event.frond} started"])
        job_tasks.append(placed)
        machine.tasks[event.frond] += 1
        self._cpus_used[job["crew"]] += job["cpus"]
        self.starts += 1
        self.running += 1
        self.on_start(ref, event.at)

    def _on_task_left(self, machine: str, task_id: str) -> None:
        tasks, ref = self._machines[machine].tasks, _job_ref(task_id)
        if not tasks[task_id]:
            return
        tasks[task_id] -= 1
        if not tasks[task_id]:
            del tasks[task_id]
        job_tasks = self._placed_tasks[ref]
        job_tasks.remove(next(other for other in job_tasks if other.frond == task_id and other.machine == machine))
        self._cpus_used[self._jobs[ref]["crew"]] -= self._jobs[ref]["cpus"]
        self.running -= 1

    def _on_answer(self, at: float, ref: str, status: int, state: str | None) -> None:
        if status == 404 and ref in self._last_states:
            self._add_violations([f"forgotten: {ref}"])
        if status in (400, 422) and ref in self._last_states:
            self._add_violations([f"forgotten: {ref} was accepted and is refused now"])
        if state is None:
            return
        if ref not in self._jobs:
            self._add_violations([f"invented: {ref}"])
            return
        self._add_violations(answer_violations(ref, state, self._last_states.get(ref), ref in self._asked_to_cancel))
        if state == DONE and self._jobs[ref]["shape"] != "ensemble":
            missing = self._jobs[ref]["fronds"] - len(self._finished.get(ref, ()))
            if missing:
                self._add_violations([f"not_done: {ref} lacks {missing} tasks"])
        if state == CANCELLED:
            self._told_cancelled_at.setdefault(ref, at)
        self._last_states[ref] = state

    def check_cancelled(self, now: float) -> None:
        """Find jobs whose tasks still run more than `cancel_s` after the user was told of the cancellation."""
        upto = min(self._sent_upto.values(), default=now)
        for ref, told in self._told_cancelled_at.items():
            if upto - told > self._cancel_s and self._placed_tasks.get(ref) and ref not in self._overdue_jobs:
                self._overdue_jobs.add(ref)
                self._add_violations([f"ran_cancelled: {ref} is still on {self._placed_tasks[ref][0].machine}"])

    # -- at the end ------------------------------------------------------------------

    def unfinished_jobs(self) -> list[str]:
        """The accepted jobs whose last answer is neither done nor cancelled."""
        return [ref for ref, state in self._last_states.items() if state not in (DONE, CANCELLED)]


def _job_ref(task_id: str) -> str:
    return task_id.partition("/")[0]
