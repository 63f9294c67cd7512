"""PROTOCOL's rules, judged from what processes tell and what users are answered, in the order of time.

What the processes tell comes a few milliseconds late and from several of
them, so nothing is judged before every process has told all that came before
it.
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

MOST_NAMED = 200  # broken rules that are kept word for word


class Machine:
    """A machine's zone, and the tasks on it."""

    def __init__(self, zone: str, spot: bool) -> None:
        self.zone = zone
        self.spot = spot
        self.fronds: Counter[str] = Counter()


class Checker:
    """What stands where, what users were told, and which rules that broke.

    `cancel_s` is how long a task may go on after its user was told of the
    cancellation.
    """

    def __init__(self, limits: dict[str, float | None], cancel_s: float) -> None:
        self._limits = limits
        self._cancel_s = cancel_s
        self._machines: dict[str, Machine] = {}
        self._jobs: dict[str, dict] = {}
        self._on: dict[str, list[PlacedTask]] = {}  # by job
        self._used: Counter[str] = Counter()  # CPUs, by team
        self._finished: dict[str, set[str]] = {}
        self._asked_to_cancel: set[str] = set()
        self._told: dict[str, str] = {}
        self._told_cancelled: dict[str, float] = {}
        self._overrun: set[str] = set()  # cancelled jobs that went on for too long, each named once
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._number = count()
        self._upto: dict[str, float] = {}
        self.broken: list[str] = []
        self.starts = 0
        self.running = 0
        self.on_start: Callable[[str, float], None] = lambda ref, at: None

    # -- what is told, at the time it happened -----------------------------------

    def process_began(self, name: str, at: float) -> None:
        """A process tells events from now on; nothing later is judged until it has told them."""
        self._upto[name] = at

    def told_upto(self, name: str, upto: float, events: list[TaskEvent]) -> None:
        """A process has told all its events up to a time."""
        for event in events:
            self._later(event.at, lambda event=event: self._happened(event))
        self._upto[name] = upto
        self._judge()

    def machine_added(self, name: str, zone: str, spot: bool) -> None:
        self._machines[name] = Machine(zone, spot)

    def submitted(self, job: dict) -> None:
        """A user is about to submit a job for the first time."""
        self._jobs[job["ref"]] = job

    def asked_to_cancel(self, ref: str) -> None:
        self._asked_to_cancel.add(ref)

    def answered(self, at: float, ref: str, status: int, state: str | None) -> None:
        """A user was answered about a job."""
        self._later(at, lambda: self._answer(at, ref, status, state))

    def _later(self, at: float, judge: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at, next(self._number), judge))

    def _judge(self) -> None:
        upto = min(self._upto.values())
        while self._queue and self._queue[0][0] <= upto:
            heapq.heappop(self._queue)[2]()

    # -- judging -------------------------------------------------------------------

    def _break(self, violations: list[str]) -> None:
        self.broken += violations[: max(0, MOST_NAMED - len(self.broken))]

    def _happened(self, event: TaskEvent) -> None:
        if event.kind is EventKind.STARTED:
            self._started(event)
        elif event.kind is EventKind.EXITED:
            self._left(event.machine, event.frond)
            if event.cause == "done":
                self._finished.setdefault(_ref(event.frond), set()).add(event.frond)
        else:
            for frond in list(self._machines[event.machine].fronds.elements()):
                self._left(event.machine, frond)

    def _started(self, event: TaskEvent) -> None:
        ref, machine = _ref(event.frond), self._machines[event.machine]
        job = self._jobs[ref]
        there = PlacedTask(event.frond, event.machine, machine.zone)
        mates = self._on.setdefault(ref, [])
        self._break(start_violations(job, there, machine.spot, mates))
        self._break(quota_violations(job, self._used[job["crew"]], self._limits[job["crew"]]))
        if event.at - self._told_cancelled.get(ref, event.at) > self._cancel_s:
            self._break([f"ran_cancelled: {event.frond} started"])
        mates.append(there)
        machine.fronds[event.frond] += 1
        self._used[job["crew"]] += job["cpus"]
        self.starts += 1
        self.running += 1
        self.on_start(ref, event.at)

    def _left(self, machine: str, frond: str) -> None:
        fronds, ref = self._machines[machine].fronds, _ref(frond)
        if not fronds[frond]:
            return
        fronds[frond] -= 1
        if not fronds[frond]:
            del fronds[frond]
        mates = self._on[ref]
        mates.remove(next(mate for mate in mates if mate.frond == frond and mate.machine == machine))
        self._used[self._jobs[ref]["crew"]] -= self._jobs[ref]["cpus"]
        self.running -= 1

    def _answer(self, at: float, ref: str, status: int, state: str | None) -> None:
        if status == 404 and ref in self._told:
            self._break([f"forgotten: {ref}"])
        if status in (400, 422) and ref in self._told:
            self._break([f"forgotten: {ref} was accepted and is refused now"])
        if state is None:
            return
        if ref not in self._jobs:
            self._break([f"invented: {ref}"])
            return
        self._break(answer_violations(ref, state, self._told.get(ref), ref in self._asked_to_cancel))
        if state == DONE and self._jobs[ref]["shape"] != "ensemble":
            missing = self._jobs[ref]["fronds"] - len(self._finished.get(ref, ()))
            if missing:
                self._break([f"not_done: {ref} lacks {missing} tasks"])
        if state == CANCELLED:
            self._told_cancelled.setdefault(ref, at)
        self._told[ref] = state

    def check_cancelled(self, now: float) -> None:
        """Look for tasks of jobs that were cancelled too long ago."""
        upto = min(self._upto.values(), default=now)
        for ref, told in self._told_cancelled.items():
            if upto - told > self._cancel_s and self._on.get(ref) and ref not in self._overrun:
                self._overrun.add(ref)
                self._break([f"ran_cancelled: {ref} is still on {self._on[ref][0].machine}"])

    # -- at the end ------------------------------------------------------------------

    def unfinished_jobs(self) -> list[str]:
        """Jobs that were accepted and whose last answer is neither done nor cancelled."""
        return [ref for ref, state in self._told.items() if state not in (DONE, CANCELLED)]


def _ref(frond: str) -> str:
    return frond.partition("/")[0]
