"""Preemption: the machines where a job gains room at the least loss, and the tasks to stop there."""

import heapq
from collections import Counter
from collections.abc import Iterable
from datetime import timedelta
from typing import Any, NamedTuple

from kelpjunction.placement.views import SLACK, MachineView, allowed, fetch_cost, zone_room
from kelpjunction.queue import PreemptionPolicy
from kelpjunction.wire.messages import JobSpec, Priority, Shape


class Victim(NamedTuple):
    """Work that could be stopped: one task, or a gang's tasks on one machine."""

    placement: Any
    spec: JobSpec
    loss: timedelta

    @property
    def priority(self) -> Priority:
        return self.spec.priority


class _CachedVictims(NamedTuple):
    """The victims to stop on a machine for one task, or None, and the machine's state for which they were computed."""

    free: tuple[float, float, float]
    victims: int
    chosen: list[Victim] | None


class PreemptionCache:
    """The victims per machine for the jobs of one round, computed once for all jobs with the same needs.

    The victims on a machine are computed again when its free resources or the
    number of its possible victims have changed.
    """

    def __init__(self, victims: dict[str, list[Victim]], preemption_policy: PreemptionPolicy) -> None:
        self.victims = victims
        self._preemption_policy = preemption_policy
        self._cached: dict[tuple, dict[str, _CachedVictims]] = {}
        self._may_preempt: dict[tuple, dict[str, bool]] = {}  # by preemption key, then by the ref of the victim's job

    def victims_for(self, spec: JobSpec, view: MachineView) -> list[Victim] | None:
        """The cheapest victims on a machine that make room for one task of a job.

        The list is empty if there is room already.  None means that stopping
        every permitted victim would not make enough room.
        """
        needs = (spec.cpus, spec.gpus, spec.memory, *self._preemption_key(spec))
        by_machine = self._cached.setdefault(needs, {})
        candidates = self.victims.get(view.name, ())
        free = (view.cpus, view.gpus, view.memory)
        cached = by_machine.get(view.name)
        if cached is not None and cached.free == free and cached.victims == len(candidates):
            return cached.chosen
        chosen = None
        if candidates or view.fits_ignoring_reservations(spec):
            chosen = _cheapest_victims(spec, view, self._preemptible(spec, candidates))
        by_machine[view.name] = _CachedVictims(free, len(candidates), chosen)
        return chosen

    def _preemption_key(self, spec: JobSpec) -> tuple:
        """The properties of a job that decide which work it may preempt."""
        return spec.priority, spec.shape, self._preemption_policy.is_opportunistic(spec)

    def _preemptible(self, spec: JobSpec, victims: Iterable[Victim]) -> list[Victim]:
        may_preempt_job = self._may_preempt.setdefault(self._preemption_key(spec), {})
        preemptible = []
        for victim in victims:
            ref = victim.spec.ref
            if ref not in may_preempt_job:
                may_preempt_job[ref] = self._preemption_policy.may_preempt(spec, victim.spec)
            if may_preempt_job[ref]:
                preemptible.append(victim)
        return preemptible


def plan_preemptions(
    spec: JobSpec, count: int, views: Iterable[MachineView], preemption_cache: PreemptionCache, zones: Counter
) -> list[tuple[MachineView, list[Victim]]]:
    """Choose machines where up to `count` tasks of the job gain room at the least loss, with the victims on each.

    `zones` counts the job's tasks by zone.  The counter, the views and the
    cache's victims are updated in place.
    """

    def score(view: MachineView) -> tuple | None:
        chosen = preemption_cache.victims_for(spec, view)
        if chosen is None:
            return None
        loss_s = sum((v.loss for v in chosen), timedelta()).total_seconds()
        return loss_s + 3 * fetch_cost(spec, view), len(chosen), zones[view.zone], view.name, view, chosen

    # Machines held for a gang that has waited long, until the rest of its machines are free, admit only services.
    # Arrays without room elsewhere used to refill each of these machines, and the gang never started.
    admitting = (
        v for v in views if not v.hold_excludes_arrays or spec.shape is Shape.SERVICE or v.held_for_gang == spec.ref
    )
    eligible = [
        v for v in admitting if allowed(spec, v.type, v.zone, v.spot) and not v.suspected and not v.gpu_reserved
    ]
    heap = [entry for entry in map(score, eligible) if entry is not None]
    heapq.heapify(heap)
    planned: list[tuple[MachineView, list[Victim]]] = []
    while heap and len(planned) < count:
        *_, view, chosen = heapq.heappop(heap)
        if zone_room(spec, zones, view.zone) <= 0:
            continue
        for victim in chosen:
            preemption_cache.victims[view.name].remove(victim)
            view.release(victim.spec)
        view.allocate(spec)
        zones[view.zone] += 1
        planned.append((view, chosen))
        rescored = score(view)
        if rescored is not None:
            heapq.heappush(heap, rescored)
    return planned


def _cheapest_victims(spec: JobSpec, view: MachineView, victims: list[Victim]) -> list[Victim] | None:
    """The cheapest victims on a machine that make room for one task, without unnecessary ones, or None."""
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
