"""PROTOCOL's rules on a start and on an answer, as pure functions: what they break, by the name PROTOCOL gives it.

`lab.site` asks them on what stands on its machines, a scale run on what its
workers' processes tell it.
"""

from collections.abc import Iterable
from typing import NamedTuple

SLACK = 1e-6
CANCELLED, DONE = "withdrawn", "done"


class PlacedTask(NamedTuple):
    """A task on a machine, from its start command until it has exited."""

    frond: str
    machine: str
    zone: str


def start_violations(job: dict, start: PlacedTask, spot: bool, other_tasks: Iterable[PlacedTask]) -> list[str]:
    """What a task's start breaks, given what else of its job is on machines (`ran_twice`, `wrong_place`)."""
    other_tasks = list(other_tasks)
    broken = []
    if others := [mate.machine for mate in other_tasks if mate.frond == start.frond]:
        broken.append(f"ran_twice: {start.frond} on {start.machine} while on {others}")
    if spot and not job.get("driftwood"):
        broken.append(f"wrong_place: {start.frond} on spot {start.machine}")
    if job.get("bay") not in (None, start.zone):
        broken.append(f"wrong_place: {start.frond} in {start.zone}")
    zones = [mate.zone for mate in other_tasks]
    if job.get("together") and any(zone != start.zone for zone in zones):
        broken.append(f"wrong_place: {start.frond} apart from its gang")
    if job.get("apart") and zones.count(start.zone) >= -(-job["fronds"] // 2):
        broken.append(f"wrong_place: too many of {job['ref']} in {start.zone}")
    return broken


def quota_violations(job: dict, used: float, limit: float | None) -> list[str]:
    """Whether one more task of the job takes its team, which uses so many CPUs, above its limit (`quota`)."""
    if limit is None or used + job["cpus"] <= limit + SLACK:
        return []
    return [f"quota: {job['crew']} uses {used + job['cpus']} of {limit}"]


def answer_violations(ref: str, state: str, before: str | None, asked_to_cancel: bool) -> list[str]:
    """What a job's state breaks, given what its user was told last and has asked for (`went_back`)."""
    broken = []
    if state == CANCELLED and not asked_to_cancel:
        broken.append(f"went_back: {ref} is called cancelled, which its user never asked for")
    if before in (DONE, CANCELLED) and state != before:
        broken.append(f"went_back: {ref} {before} -> {state}")
    return broken
