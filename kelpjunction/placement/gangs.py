"""Gangs: machines for all tasks at once, chosen greedily and then improved by swaps."""

from collections import Counter
from collections.abc import Iterable

from kelpjunction.placement.free_capacity import selection_of
from kelpjunction.placement.prices import hourly_price_per_task
from kelpjunction.placement.views import MachineView, fetch_cost
from kelpjunction.wire.messages import JobSpec


def place_gang(spec: JobSpec, views: Iterable[MachineView]) -> list[MachineView] | None:
    """Machines for a whole gang, one entry a task, or None if it does not fit."""
    choice = selection_of(views)
    if choice.slots(spec, whole=True).total() < spec.tasks:
        return None  # nearly always on a busy fleet, and no machine was looked at
    usable = choice.usable(spec)
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
    if sum(room.values()) < spec.tasks:
        return None
    prices = {kind: hourly_price_per_task(spec, *kind) for kind in {(v.type, v.spot) for v in pool}}
    order = sorted(
        pool,
        key=lambda v: (
            v.suspected,
            -min(room[v.name], spec.tasks),
            fetch_cost(spec, v),
            prices[v.type, v.spot],
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
        if not left:
            break
    if left > 0:
        return None
    by_name = {v.name: v for v in pool}
    _swap(spec, plan, by_name, room)
    return {by_name[name]: n for name, n in plan.items()}


def _swap(spec: JobSpec, plan: dict[str, int], by_name: dict[str, MachineView], room: dict[str, int]) -> None:
    """Move a machine's tasks to one outside the plan that is better for all of them."""
    costs = {name: (v.suspected, fetch_cost(spec, v), room[name]) for name, v in by_name.items()}
    # The cheapest first, so that the first that does is the best.
    order = sorted(by_name, key=lambda name: (costs[name], name))
    for name in sorted(plan, key=lambda n: plan[n]):
        count, zone = plan[name], by_name[name].zone
        for other in order:
            if costs[other] >= costs[name]:
                break
            if other not in plan and by_name[other].zone == zone and room[other] >= count:
                del plan[name]
                plan[other] = count
                break


def _gang_cost(spec: JobSpec, plan: dict[MachineView, int]) -> tuple:
    return (
        any(v.suspected for v in plan),
        len({v.zone for v in plan}),
        max(fetch_cost(spec, v) for v in plan),
        len(plan),
        sum(hourly_price_per_task(spec, v.type, v.spot) for v in plan),
    )
