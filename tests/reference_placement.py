"""Placement that looks at every machine: the reference that the index of free room is held against."""

import heapq
from collections import Counter
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Any

from kelpjunction.placement import (
    NO_PRICE_LIMIT,
    SLACK,
    MachineView,
    PriceLimit,
    Victim,
    allowed,
    fetch_cost,
    hourly_price_per_task,
    zone_room,
)
from kelpjunction.queue import PreemptionPolicy
from kelpjunction.wire.messages import JobSpec, Shape


def _expensive_machines(spec: JobSpec, views: list[MachineView], budget: PriceLimit) -> set[str]:
    """Which of these machines cost several times the least; each kind of machine is reckoned once."""
    if budget is NO_PRICE_LIMIT:
        return set()
    kinds = {(v.type.name, v.spot): v for v in views}
    dear = {kind for kind, v in kinds.items() if budget.is_expensive(spec, v.type, v.spot)}
    # What is kept for accelerator work is paid anyway: its rest is given away.
    return {v.name for v in views if not v.gpu_reserved and (v.type.name, v.spot) in dear} if dear else set()


def _usable(spec: JobSpec, views: Iterable[MachineView]) -> list[MachineView]:
    """Machines where at least one task of the job could start now."""
    # On a busy fleet the first comparison rules out nearly all.
    cpus = spec.cpus - SLACK
    return [
        v
        for v in views
        if v.cpus >= cpus
        and v.held_for_gang in (None, spec.ref)
        and v.fits(spec)
        and allowed(spec, v.type, v.zone, v.spot)
    ]


def place(
    spec: JobSpec,
    count: int,
    views: Iterable[MachineView],
    zones: Counter,
    tasks_by_machine: Counter,
    budget: PriceLimit = NO_PRICE_LIMIT,
) -> list[MachineView]:
    """Machines for up to `count` tasks of an array or service, one entry a task.

    `zones` and `tasks_by_machine` count the job's tasks by zone and machine; both are
    brought up to date, as are the views.
    """
    usable = _usable(spec, views)
    dear = _expensive_machines(spec, usable, budget)
    if budget.exclude_expensive:
        usable = [v for v in usable if v.name not in dear]
    if spec.shape is Shape.SERVICE:
        return _spread_out(spec, count, usable, zones, tasks_by_machine, dear)
    return _fill_up(spec, count, usable, zones, tasks_by_machine, dear)


def _fill_up(
    spec: JobSpec, count: int, usable: list[MachineView], zones: Counter, mates: Counter, dear: set[str]
) -> list[MachineView]:
    """An array: zone by zone, the one with most room first, each machine to the brim.

    Few zones mean that few controllers write the job's records.
    """
    free: Counter = Counter()
    for view in usable:
        free[view.zone] += view.cpus
    ranks = {zone: (zones[zone] == 0, -free[zone], zone) for zone in free}
    chosen: list[MachineView] = []
    for view in sorted(
        usable,
        key=lambda v: (
            v.suspected, v.name in dear, ranks[v.zone], round(fetch_cost(spec, v), 1), not v.spot, v.cpus, v.name
        ),
    ):  # fmt: skip
        n = min(view.capacity(spec), count - len(chosen), zone_room(spec, zones, view.zone))
        if n > 0:
            view.allocate(spec, n)
            zones[view.zone] += n
            mates[view.name] += n
            chosen += [view] * n
        if len(chosen) >= count:
            break
    return chosen


def _spread_out(
    spec: JobSpec, count: int, usable: list[MachineView], zones: Counter, mates: Counter, dear: set[str]
) -> list[MachineView]:
    """A service: a lost machine or zone should cost few replicas, and a fetch costs more than the start may take.

    Plain machines are taken evenly.  Boxes with accelerators are filled one
    after the other: they are dear, and one that holds a single replica for
    hours can't be returned.
    """

    def score(view: MachineView) -> tuple:
        n = mates[view.name]
        free = view.gpus if view.type.gpus else -view.cpus
        return (
            (view.suspected, view.spot, n > 0),
            (round(fetch_cost(spec, view), 1), view.name in dear, n, free, view.name),
        )

    pools = _by_zone(usable, score)
    chosen: list[MachineView] = []
    while len(chosen) < count:
        zone = _best_pool(pools, lambda z: zones[z], lambda z: zone_room(spec, zones, z) > 0)
        if zone is None:
            break
        view = pools[zone][0][-1]
        view.allocate(spec)
        zones[zone] += 1
        mates[view.name] += 1
        chosen.append(view)
        if view.fits(spec):
            heapq.heapreplace(pools[zone], (*score(view), view))
        else:
            heapq.heappop(pools[zone])
    return chosen


def _by_zone(
    views: Iterable[MachineView], score: Callable[[MachineView], tuple[tuple, tuple]]
) -> dict[str, list[tuple]]:
    """A heap for each zone of (more important, less important, view): taking a view changes its score alone."""
    pools: dict[str, list[tuple]] = {}
    for view in views:
        pools.setdefault(view.zone, []).append((*score(view), view))
    for pool in pools.values():
        heapq.heapify(pool)
    return pools


def _best_pool(pools: dict[str, list[tuple]], rank: Callable[[str], Any], open_: Callable[[str], bool]) -> str | None:
    """The zone whose first machine is best; between the two parts of a score the zone's own rank counts."""
    able = [z for z, pool in pools.items() if pool and open_(z)]
    return min(able, key=lambda z: (pools[z][0][0], rank(z), pools[z][0][1]), default=None)


def place_gang(spec: JobSpec, views: Iterable[MachineView]) -> list[MachineView] | None:
    """Machines for a whole gang, one entry a task, or None if it does not fit."""
    usable = _usable(spec, views)
    by_zone: dict[str, list[MachineView]] = {}
    for view in usable:
        by_zone.setdefault(view.zone, []).append(view)
    # One zone first: a gang that need not cross zones should not.
    pools = [by_zone[z] for z in sorted(by_zone)]
    plans = [p for p in (_fill_gang(spec, pool) for pool in pools) if p is not None]
    if not plans and not spec.one_zone:
        whole = _fill_gang(spec, usable)
        plans = [] if whole is None else [whole]
    if not plans:
        return None
    best = min(plans, key=lambda plan: _gang_cost(spec, plan))
    for view, n in best.items():
        view.allocate(spec, n)
    return [view for view, n in best.items() for _ in range(n)]


def _fill_gang(spec: JobSpec, pool: list[MachineView]) -> dict[MachineView, int] | None:
    """Greedy: the machines that take most first; then swaps to use fewer."""
    limit = -(-spec.tasks // 2) if spec.spread else spec.tasks
    room = {v.name: v.capacity(spec) for v in pool}
    order = sorted(
        pool,
        key=lambda v: (
            v.suspected,
            -min(room[v.name], spec.tasks),
            fetch_cost(spec, v),
            hourly_price_per_task(spec, v.type, v.spot),
            v.name,
        ),
    )
    plan: dict[str, int] = {}
    zones: Counter = Counter()
    left = spec.tasks
    for view in order:
        n = min(room[view.name], left, limit - zones[view.zone])
        if n > 0:
            plan[view.name] = n
            zones[view.zone] += n
            left -= n
    if left > 0:
        return None
    by_name = {v.name: v for v in pool}
    _swap(spec, plan, by_name, room)
    return {by_name[name]: n for name, n in plan.items()}


def _swap(spec: JobSpec, plan: dict[str, int], by_name: dict[str, MachineView], room: dict[str, int]) -> None:
    """Move a machine's tasks to one outside the plan that is better for all of them."""
    for name in sorted(plan, key=lambda n: plan[n]):
        count = plan[name]
        here = by_name[name]
        better = [
            v
            for v in by_name.values()
            if v.name not in plan
            and v.zone == here.zone
            and room[v.name] >= count
            and (v.suspected, fetch_cost(spec, v), v.capacity(spec))
            < (here.suspected, fetch_cost(spec, here), here.capacity(spec))
        ]
        if better:
            best = min(better, key=lambda v: (v.suspected, fetch_cost(spec, v), v.capacity(spec), v.name))
            del plan[name]
            plan[best.name] = count


def _gang_cost(spec: JobSpec, plan: dict[MachineView, int]) -> tuple:
    return (
        any(v.suspected for v in plan),
        len({v.zone for v in plan}),
        max(fetch_cost(spec, v) for v in plan),
        len(plan),
        sum(hourly_price_per_task(spec, v.type, v.spot) for v in plan),
    )


def plan_preemptions(
    spec: JobSpec,
    count: int,
    views: Iterable[MachineView],
    victims: dict[str, list[Victim]],
    zones: Counter,
    rights: PreemptionPolicy,
) -> list[tuple[MachineView, list[Victim]]]:
    """Machines where up to `count` tasks of the job gain room at the least loss, and whom to stop there.

    `zones` counts the job's tasks by zone; it, the views and the victims are
    brought up to date.
    """

    def score(view: MachineView) -> tuple | None:
        there = victims.get(view.name, ())
        if not there and not view.fits_ignoring_reservations(spec):
            return None
        below = [v for v in there if rights.may_preempt(spec, v.spec)]
        chosen = _enough(spec, view, below)
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
    found: list[tuple[MachineView, list[Victim]]] = []
    while heap and len(found) < count:
        *_, view, chosen = heapq.heappop(heap)
        if zone_room(spec, zones, view.zone) <= 0:
            continue
        for victim in chosen:
            victims[view.name].remove(victim)
            view.release(victim.spec)
        view.allocate(spec)
        zones[view.zone] += 1
        found.append((view, chosen))
        again = score(view)
        if again is not None:
            heapq.heappush(heap, again)
    return found


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
