"""Placement of gangs: machines for all tasks at once, chosen greedily and then improved by swaps."""

from collections import Counter
from collections.abc import Iterable

from kelpjunction.placement.free_capacity import selection_of
from kelpjunction.placement.prices import hourly_price_per_task
from kelpjunction.placement.views import MachineView, fetch_cost
from kelpjunction.wire.messages import JobSpec


def place_gang(spec: JobSpec, views: Iterable[MachineView]) -> list[MachineView] | None:
    """Choose machines for a whole gang, one entry per task, or return None if it does not fit."""
    selection = selection_of(views)
    if selection.slots(spec, count_all=True).total() < spec.tasks:
        return None  # the usual case on a busy fleet, found without examining single machines
    usable = selection.usable(spec)
    by_zone: dict[str, list[MachineView]] = {}
    for view in usable:
        by_zone.setdefault(view.zone, []).append(view)
    # Single zones come first, so that a gang spans zones only if it must.
    pools = [by_zone[z] for z in sorted(by_zone)]
    plans = [p for p in (_fill_gang(spec, pool) for pool in pools) if p is not None]
    if not plans and not spec.one_zone:
        spanning_plan = _fill_gang(spec, usable)
        plans = [] if spanning_plan is None else [spanning_plan]
    if not plans:
        return None
    best = min(plans, key=lambda plan: _gang_cost(spec, plan))
    for view, n in best.items():
        view.allocate(spec, n)
    return [view for view, n in best.items() for _ in range(n)]


def _fill_gang(spec: JobSpec, pool: list[MachineView]) -> dict[MachineView, int] | None:
    """Plan the tasks per machine: greedily, largest capacity first, then with swaps.  None if the gang does not fit."""
    limit = -(-spec.tasks // 2) if spec.spread else spec.tasks
    capacities = {v.name: v.capacity(spec) for v in pool}
    if sum(capacities.values()) < spec.tasks:
        return None
    prices = {kind: hourly_price_per_task(spec, *kind) for kind in {(v.type, v.spot) for v in pool}}
    order = sorted(
        pool,
        key=lambda v: (
            v.suspected,
            -min(capacities[v.name], spec.tasks),
            fetch_cost(spec, v),
            prices[v.type, v.spot],
            v.name,
        ),
    )
    plan: dict[str, int] = {}
    zones: Counter = Counter()
    remaining = spec.tasks
    for view in order:
        n = min(capacities[view.name], remaining, limit - zones[view.zone])
        if n > 0:
            plan[view.name] = n
            zones[view.zone] += n
            remaining -= n
        if not remaining:
            break
    if remaining > 0:
        return None
    by_name = {v.name: v for v in pool}
    _swap(spec, plan, by_name, capacities)
    return {by_name[name]: n for name, n in plan.items()}


def _swap(spec: JobSpec, plan: dict[str, int], by_name: dict[str, MachineView], capacities: dict[str, int]) -> None:
    """Move all tasks of a planned machine to an unplanned one of its zone that holds them all at a lower cost."""
    costs = {name: (v.suspected, fetch_cost(spec, v), capacities[name]) for name, v in by_name.items()}
    # Lowest cost first, so that the first machine that fits is the best one.
    order = sorted(by_name, key=lambda name: (costs[name], name))
    for name in sorted(plan, key=lambda n: plan[n]):
        count, zone = plan[name], by_name[name].zone
        for candidate in order:
            if costs[candidate] >= costs[name]:
                break
            if candidate not in plan and by_name[candidate].zone == zone and capacities[candidate] >= count:
                del plan[name]
                plan[candidate] = count
                break


def _gang_cost(spec: JobSpec, plan: dict[MachineView, int]) -> tuple:
    return (
        any(v.suspected for v in plan),
        len({v.zone for v in plan}),
        max(fetch_cost(spec, v) for v in plan),
        len(plan),
        sum(hourly_price_per_task(spec, v.type, v.spot) for v in plan),
    )
