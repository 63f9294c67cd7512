"""Reference placement that scans every machine. Tests compare the free-capacity index with it."""

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


def _expensive_machines(spec: JobSpec, views: list[MachineView], price_limit: PriceLimit) -> set[str]:
    """Return the machines that cost several times the lowest price. Each kind of machine is evaluated once."""
    if price_limit is NO_PRICE_LIMIT:
        return set()
    kinds = {(v.type.name, v.spot): v for v in views}
    expensive = {kind for kind, v in kinds.items() if price_limit.is_expensive(spec, v.type, v.spot)}
    # A machine reserved for GPU work is paid for anyway, so its other resources do not count as expensive.
    return {v.name for v in views if not v.gpu_reserved and (v.type.name, v.spot) in expensive} if expensive else set()


def _usable(spec: JobSpec, views: Iterable[MachineView]) -> list[MachineView]:
    """Return the machines where at least one task of the job could start now."""
    # On a busy fleet the comparison of CPUs, which comes first, rules out nearly all machines.
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
    price_limit: PriceLimit = NO_PRICE_LIMIT,
) -> list[MachineView]:
    """Choose machines for up to `count` tasks of an array or service, one entry per task.

    `zones` and `tasks_by_machine` count the job's tasks by zone and by machine. Both
    counters and the views are updated in place.
    """
    usable = _usable(spec, views)
    expensive = _expensive_machines(spec, usable, price_limit)
    if price_limit.exclude_expensive:
        usable = [v for v in usable if v.name not in expensive]
    if spec.shape is Shape.SERVICE:
        return _place_service(spec, count, usable, zones, tasks_by_machine, expensive)
    return _place_array(spec, count, usable, zones, tasks_by_machine, expensive)


def _place_array(
    spec: JobSpec, count: int, usable: list[MachineView], zones: Counter, machine_counts: Counter, expensive: set[str]
) -> list[MachineView]:
    """Place an array zone by zone and fill each machine.

    Zones that run tasks of the job come first, then those with most free CPUs.
    With few zones, few nodes write the job's records.
    """
    free: Counter = Counter()
    for view in usable:
        free[view.zone] += view.cpus
    ranks = {zone: (zones[zone] == 0, -free[zone], zone) for zone in free}
    chosen: list[MachineView] = []
    for view in sorted(
        usable,
        key=lambda v: (
            v.suspected, v.name in expensive, ranks[v.zone], round(fetch_cost(spec, v), 1), not v.spot, v.cpus, v.name
        ),
    ):  # fmt: skip
        n = min(view.capacity(spec), count - len(chosen), zone_room(spec, zones, view.zone))
        if n > 0:
            view.allocate(spec, n)
            zones[view.zone] += n
            machine_counts[view.name] += n
            chosen += [view] * n
        if len(chosen) >= count:
            break
    return chosen


def _place_service(
    spec: JobSpec, count: int, usable: list[MachineView], zones: Counter, machine_counts: Counter, expensive: set[str]
) -> list[MachineView]:
    """Place a service so that the loss of a machine or zone costs few replicas.

    Machines that have the image are preferred, because a fetch takes longer than
    a start may take. Machines without GPUs are used evenly. Machines with GPUs
    are filled one after the other: they are expensive, and a machine that runs a
    single replica for hours can't be returned.
    """

    def score(view: MachineView) -> tuple:
        n = machine_counts[view.name]
        free = view.gpus if view.type.gpus else -view.cpus
        return (
            (view.suspected, view.spot, n > 0),
            (round(fetch_cost(spec, view), 1), view.name in expensive, n, free, view.name),
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
        machine_counts[view.name] += 1
        chosen.append(view)
        if view.fits(spec):
            heapq.heapreplace(pools[zone], (*score(view), view))
        else:
            heapq.heappop(pools[zone])
    return chosen


def _by_zone(
    views: Iterable[MachineView], score: Callable[[MachineView], tuple[tuple, tuple]]
) -> dict[str, list[tuple]]:
    """Build a heap per zone with entries (more important score, less important score, view).

    Placing a task on a machine changes only that machine's score.
    """
    pools: dict[str, list[tuple]] = {}
    for view in views:
        pools.setdefault(view.zone, []).append((*score(view), view))
    for pool in pools.values():
        heapq.heapify(pool)
    return pools


def _best_pool(
    pools: dict[str, list[tuple]], rank: Callable[[str], Any], has_room: Callable[[str], bool]
) -> str | None:
    """Return the zone whose first machine is best. The zone's rank is compared between the two parts of a score."""
    open_zones = [z for z, pool in pools.items() if pool and has_room(z)]
    return min(open_zones, key=lambda z: (pools[z][0][0], rank(z), pools[z][0][1]), default=None)


def place_gang(spec: JobSpec, views: Iterable[MachineView]) -> list[MachineView] | None:
    """Choose machines for a whole gang, one entry per task, or return None if it does not fit."""
    usable = _usable(spec, views)
    by_zone: dict[str, list[MachineView]] = {}
    for view in usable:
        by_zone.setdefault(view.zone, []).append(view)
    # Try single zones first: a gang is spread over zones only if no zone has room for all of it.
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
    """Plan a gang greedily, machines that take most tasks first, then improve the plan by swapping machines."""
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
    """Move all tasks of a machine to a better machine of its zone that is outside the plan, where there is one."""
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
    preemption_policy: PreemptionPolicy,
) -> list[tuple[MachineView, list[Victim]]]:
    """Choose machines where up to `count` tasks of the job gain room at the least loss, with the victims on each.

    `zones` counts the job's tasks by zone. It, the views and the victims are
    updated in place.
    """

    def score(view: MachineView) -> tuple | None:
        candidates = victims.get(view.name, ())
        if not candidates and not view.fits_ignoring_reservations(spec):
            return None
        preemptible = [v for v in candidates if preemption_policy.may_preempt(spec, v.spec)]
        chosen = _cheapest_victims(spec, view, preemptible)
        if chosen is None:
            return None
        loss_s = sum((v.loss for v in chosen), timedelta()).total_seconds()
        return loss_s + 3 * fetch_cost(spec, view), len(chosen), zones[view.zone], view.name, view, chosen

    # Only services may use a machine held for a gang that has waited long and needs more machines to become free.
    # Arrays without room elsewhere once filled these machines again and again, and the gang never started.
    admitting = (
        v for v in views if not v.hold_excludes_arrays or spec.shape is Shape.SERVICE or v.held_for_gang == spec.ref
    )
    eligible = [
        v for v in admitting if allowed(spec, v.type, v.zone, v.spot) and not v.suspected and not v.gpu_reserved
    ]
    heap = [entry for entry in map(score, eligible) if entry is not None]
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
        rescored = score(view)
        if rescored is not None:
            heapq.heappush(heap, rescored)
    return found


def _cheapest_victims(spec: JobSpec, view: MachineView, victims: list[Victim]) -> list[Victim] | None:
    """Return the cheapest victims on a machine that make room for one task, without unnecessary ones, or None."""
    free = [view.cpus, view.gpus, view.memory]
    needed = (spec.cpus, spec.gpus, spec.memory)
    chosen: list[Victim] = []
    for victim in sorted(victims, key=lambda v: (v.priority, v.loss)):
        if all(f + SLACK >= n for f, n in zip(free, needed, strict=True)):
            break
        chosen.append(victim)
        free = [f + x for f, x in zip(free, (victim.spec.cpus, victim.spec.gpus, victim.spec.memory), strict=True)]
    if any(f + SLACK < n for f, n in zip(free, needed, strict=True)):
        return None
    for victim in list(reversed(chosen)):
        without = [f - x for f, x in zip(free, (victim.spec.cpus, victim.spec.gpus, victim.spec.memory), strict=True)]
        if len(chosen) > 1 and all(f + SLACK >= n for f, n in zip(without, needed, strict=True)):
            chosen.remove(victim)
            free = without
    return chosen
