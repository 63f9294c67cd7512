"""Whom to stop for whom: the machines where a job gains room at the least loss."""

import heapq
from collections import Counter
from collections.abc import Iterable
from datetime import timedelta
from typing import Any, NamedTuple

from kelpjunction.placement.views import SLACK, View, allowed, fetch_cost, zone_room
from kelpjunction.queue import Rights
from kelpjunction.wire.messages import JobSpec, Priority, Shape


class Victim(NamedTuple):
    """Something that could be stopped: one task, or a gang's tasks on one machine."""

    placement: Any
    spec: JobSpec
    loss: timedelta

    @property
    def priority(self) -> Priority:
        return self.spec.priority


def make_room(
    spec: JobSpec, count: int, views: Iterable[View], victims: dict[str, list[Victim]], zones: Counter, rights: Rights
) -> list[tuple[View, list[Victim]]]:
    """Machines where up to `count` tasks of the job gain room at the least loss, and whom to stop there.

    `zones` counts the job's tasks by zone; it, the views and the victims are
    brought up to date.
    """

    def score(view: View) -> tuple | None:
        there = victims.get(view.name, ())
        if not there and not view.has_room(spec):
            return None
        below = [v for v in there if rights.may_stop(spec, v.spec)]
        chosen = _enough(spec, view, below)
        if chosen is None:
            return None
        lost = sum((v.loss for v in chosen), timedelta()).total_seconds()
        return lost + 3 * fetch_cost(spec, view), len(chosen), zones[view.zone], view.name, view, chosen

    # Services alone may go where a gang that has waited long waits for the rest of its machines to come free:
    # arrays that found no room elsewhere once filled each of them again, and the gang never began.
    ours = (v for v in views if not v.firmly or spec.shape is Shape.SERVICE or v.held_for == spec.ref)
    able = [v for v in ours if allowed(spec, v.type, v.zone, v.spot) and not v.shunned and not v.kept]
    heap = [entry for entry in map(score, able) if entry is not None]
    heapq.heapify(heap)
    found: list[tuple[View, list[Victim]]] = []
    while heap and len(found) < count:
        *_, view, chosen = heapq.heappop(heap)
        if zone_room(spec, zones, view.zone) <= 0:
            continue
        for victim in chosen:
            victims[view.name].remove(victim)
            view.give_back(victim.spec)
        view.take(spec)
        zones[view.zone] += 1
        found.append((view, chosen))
        again = score(view)
        if again is not None:
            heapq.heappush(heap, again)
    return found


def _enough(spec: JobSpec, view: View, victims: list[Victim]) -> list[Victim] | None:
    """The cheapest victims on a machine that make room for one task, without needless ones."""
    free = [view.cpus, view.gpus, view.memory]
    need = (spec.cpus, spec.gpus, spec.memory)
    chosen: list[Victim] = []
    for victim in sorted(victims, key=lambda v: (v.priority, v.loss)):
        if all(f + SLACK >= n for f, n in zip(free, need, strict=True)):
            break
        chosen.append(victim)
        free = [f + x for f, x in zip(free, (victim.spec.cpus, victim.spec.gpus, victim.spec.memory), strict=True)]
    if any(f + SLACK < n for f, n in zip(free, need, strict=True)):
        return None
    for victim in list(reversed(chosen)):
        without = [f - x for f, x in zip(free, (victim.spec.cpus, victim.spec.gpus, victim.spec.memory), strict=True)]
        if len(chosen) > 1 and all(f + SLACK >= n for f, n in zip(without, need, strict=True)):
            chosen.remove(victim)
            free = without
    return chosen
