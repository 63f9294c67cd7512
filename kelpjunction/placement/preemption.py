"""Whom to stop for whom: the machines where a job gains room at the least loss."""

import heapq
from collections import Counter
from collections.abc import Iterable
from datetime import timedelta
from typing import Any, NamedTuple

from kelpjunction.placement.views import SLACK, MachineView, allowed, fetch_cost, zone_room
from kelpjunction.queue import PreemptionPolicy
from kelpjunction.wire.messages import JobSpec, Priority, Shape


class Victim(NamedTuple):
    """Something that could be stopped: one task, or a gang's tasks on one machine."""

    placement: Any
    spec: JobSpec
    loss: timedelta

    @property
    def priority(self) -> Priority:
        return self.spec.priority


class _Stops(NamedTuple):
    """Whom to stop on a machine for one task, or None, and what the machine was like when that was found out."""

    free: tuple[float, float, float]
    victims: int
    chosen: list[Victim] | None


class PreemptionCache:
    """Whom to stop where, for the jobs of one round: those that ask for the same ask once of each machine.

    A machine is asked again once what is free on it, or who may be stopped on
    it, has changed.
    """

    def __init__(self, victims: dict[str, list[Victim]], preemption_policy: PreemptionPolicy) -> None:
        self.victims = victims
        self._preemption_policy = preemption_policy
        self._known: dict[tuple, dict[str, _Stops]] = {}
        self._stoppable: dict[tuple, dict[str, bool]] = {}  # by the job that victims are tasks of

    def victims_for(self, spec: JobSpec, view: MachineView) -> list[Victim] | None:
        """The cheapest victims on a machine that make room for one task of a job; none may be needed."""
        needs = (spec.cpus, spec.gpus, spec.memory, *self._rank(spec))
        known = self._known.setdefault(needs, {})
        there = self.victims.get(view.name, ())
        free = (view.cpus, view.gpus, view.memory)
        before = known.get(view.name)
        if before is not None and before.free == free and before.victims == len(there):
            return before.chosen
        chosen = None
        if there or view.fits_ignoring_reservations(spec):
            chosen = _enough(spec, view, self._below(spec, there))
        known[view.name] = _Stops(free, len(there), chosen)
        return chosen

    def _rank(self, spec: JobSpec) -> tuple:
        """All of a job that decides whom it may stop."""
        return spec.priority, spec.shape, self._preemption_policy.is_opportunistic(spec)

    def _below(self, spec: JobSpec, victims: Iterable[Victim]) -> list[Victim]:
        may = self._stoppable.setdefault(self._rank(spec), {})
        below = []
        for victim in victims:
            ref = victim.spec.ref
            if ref not in may:
                may[ref] = self._preemption_policy.may_preempt(spec, victim.spec)
            if may[ref]:
                below.append(victim)
        return below


def plan_preemptions(
    spec: JobSpec, count: int, views: Iterable[MachineView], preemption_cache: PreemptionCache, zones: Counter
) -> list[tuple[MachineView, list[Victim]]]:
    """Machines where up to `count` tasks of the job gain room at the least loss, and whom to stop there.

    `zones` counts the job's tasks by zone; it, the views and the victims are
    brought up to date.
    """

    def score(view: MachineView) -> tuple | None:
        chosen = preemption_cache.victims_for(spec, view)
        if chosen is None:
            return None
        lost = sum((v.loss for v in chosen), timedelta()).total_seconds()
        return lost + 3 * fetch_cost(spec, view), len(chosen), zones[view.zone], view.name, view, chosen

    # Services alone may go where a gang that has waited long waits for the rest of its machines to come free:
    # arrays that found no room elsewhere once filled each of them again, and the gang never began.
    ours = (
        v for v in views if not v.hold_excludes_arrays or spec.shape is Shape.SERVICE or v.held_for_gang == spec.ref
    )
    able = [v for v in ours if allowed(spec, v.type, v.zone, v.spot) and not v.suspected and not v.gpu_reserved]
    heap = [entry for entry in map(score, able) if entry is not None]
    heapq.heapify(heap)
    gained: list[tuple[MachineView, list[Victim]]] = []
    while heap and len(gained) < count:
        *_, view, chosen = heapq.heappop(heap)
        if zone_room(spec, zones, view.zone) <= 0:
            continue
        for victim in chosen:
            preemption_cache.victims[view.name].remove(victim)
            view.release(victim.spec)
        view.allocate(spec)
        zones[view.zone] += 1
        gained.append((view, chosen))
        again = score(view)
        if again is not None:
            heapq.heappush(heap, again)
    return gained


def _enough(spec: JobSpec, view: MachineView, victims: list[Victim]) -> list[Victim] | None:
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
