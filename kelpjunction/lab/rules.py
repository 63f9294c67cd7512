"""Pure functions that check a task's start or an answer to a user against the rules of PROTOCOL.

Each returns the violations as texts that begin with the rule's name in
PROTOCOL. `lab.site` applies them to the tasks on its machines, and a scale run
to the events that its worker processes report.
"""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

CPU_TOLERANCE = 1e-6
MAX_FAILING_TIME = timedelta(seconds=90)
CANCELLED, DONE = "withdrawn", "done"


class PlacedTask(NamedTuple):
    """A task on a machine, from its start command until it has exited."""

    frond: str
    machine: str
    zone: str


def start_violations(job: dict, start: PlacedTask, spot: bool, other_tasks: Iterable[PlacedTask]) -> list[str]:
    """Violations by a task's start, given the other tasks of its job on machines (`ran_twice`, `wrong_place`)."""
    other_tasks = list(other_tasks)
    broken = []
    if others := [other.machine for other in other_tasks if other.frond == start.frond]:
        broken.append(f"ran_twice: {start.frond} on {start.machine} while on {others}")
    if spot and not job.get("driftwood"):
        broken.append(f"wrong_place: {start.frond} on spot {start.machine}")
    if job.get("bay") not in (None, start.zone):
        broken.append(f"wrong_place: {start.frond} in {start.zone}")
    zones = [other.zone for other in other_tasks]
    if job.get("together") and any(zone != start.zone for zone in zones):
        broken.append(f"wrong_place: {start.frond} apart from its gang")
    if job.get("apart") and zones.count(start.zone) >= -(-job["fronds"] // 2):
        broken.append(f"wrong_place: too many of {job['ref']} in {start.zone}")
    return broken


def cancelled_start_violations(frond: str, told: timedelta | None, sent: timedelta | None) -> list[str]:
    """Violation if a start was sent after the user was told that the job is cancelled (`ran_cancelled`).

    `told` is when the user was told, or None; `sent` is when a node sent the start, or None if that is not known.
    A start that was in flight then is allowed, as long as the task is gone within `cancel_s`.
    """
    if told is None or sent is None or sent <= told:
        return []
    return [f"ran_cancelled: {frond} was started {(sent - told).total_seconds():.2f} s after the confirmation"]


def quota_violations(job: dict, used: float, limit: float | None) -> list[str]:
    """Violation if one more task takes the job's team above its limit (`quota`); `used` and `limit` are in CPUs."""
    if limit is None or used + job["cpus"] <= limit + CPU_TOLERANCE:
        return []
    return [f"quota: {job['crew']} uses {used + job['cpus']} of {limit}"]


def answer_violations(ref: str, state: str, before: str | None, asked_to_cancel: bool) -> list[str]:
    """Violations by a job's state, given the last state that its user was told (`went_back`)."""
    broken = []
    if state == CANCELLED and not asked_to_cancel:
        broken.append(f"went_back: {ref} is reported as cancelled, but its user did not cancel it")
    if before in (DONE, CANCELLED) and state != before:
        broken.append(f"went_back: {ref} {before} -> {state}")
    return broken


def failing_polls_violations(ref: str, failing: timedelta) -> list[str]:
    """Violation if all polls for an accepted job have failed for this long while most others succeed (`forgotten`)."""
    if failing < MAX_FAILING_TIME:
        return []
    return [f"forgotten: every poll for {ref} failed for {failing.total_seconds():.0f} s"]
