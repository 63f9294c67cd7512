"""What runs where: greedy choice, then swaps; and whom to stop for whom.

Pure: it takes views of machines and returns decisions, and writes only to the
views it was given, which are its caller's scratch copies.
"""

import heapq
import math
from collections import Counter
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, NamedTuple

from kelpjunction.queue import Rights
from kelpjunction.wire.messages import JobSpec, MachineType, Priority, Shape

SLACK = 1e-6
DEAR = 4  # times the cheapest room


@dataclass(slots=True, eq=False)
class View:
    """A machine as placement sees it."""

    name: str
    type: MachineType
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory: float
    images: Container[str] = ()
    arriving: set[str] = field(default_factory=set)
    tasks: int = 0
    shunned: bool = False
    held_for: str | None = None
    firmly: bool = False  # whether that keeps off arrays too that would else have others stopped
    scratched: set[str] | None = None  # where to note that a round wrote to this view
    # What work that needs no accelerator must leave free here, since work
    # that needs one can go nowhere else.
    kept: bool = False
    kept_cpus: float = 0.0
    kept_memory: float = 0.0

    def fits(self, spec: JobSpec) -> bool:
        """Whether one more task of this job has room here."""
        guest = spec.gpus <= 0
        return (
            self.cpus + SLACK >= spec.cpus + (self.kept_cpus if guest else 0.0)
            and self.gpus + SLACK >= spec.gpus
            and self.memory + SLACK >= spec.memory + (self.kept_memory if guest else 0.0)
        )

    def has_room(self, spec: JobSpec) -> bool:
        """Whether one more task has room here, if nothing is kept for others."""
        return self.cpus + SLACK >= spec.cpus and self.gpus + SLACK >= spec.gpus and self.memory + SLACK >= spec.memory

    def keep_for(self, spec: JobSpec) -> None:
        """Leave room here for one task of a job that has nowhere else to go."""
        self.keep(spec.cpus, spec.gpus, spec.memory)

    def keep(self, cpus: float, gpus: float, memory: float) -> None:
        """Leave this much free here for work that needs accelerators, while they are free."""
        self.kept = True
        if self.gpus + SLACK >= gpus:
            self.kept_cpus = max(self.kept_cpus, cpus)
            self.kept_memory = max(self.kept_memory, memory)

    def capacity(self, spec: JobSpec) -> int:
        """How many tasks of this job have room here."""
        guest = spec.gpus <= 0
        room = 1_000_000
        for free, each in (
            (self.cpus - (self.kept_cpus if guest else 0.0), spec.cpus),
            (self.gpus, spec.gpus),
            (self.memory - (self.kept_memory if guest else 0.0), spec.memory),
        ):
            if each > 0:
                room = min(room, int((free + SLACK) / each))
        return max(0, room)

    def hold_for(self, ref: str, firmly: bool = False) -> None:
        """Keep this machine for a gang: nothing below it in the order starts here; if `firmly`, no array at all."""
        self.held_for, self.firmly = ref, firmly
        self._scratch()

    def _scratch(self) -> None:
        if self.scratched is not None:
            self.scratched.add(self.name)

    def take(self, spec: JobSpec, count: int = 1) -> None:
        self._scratch()
        self.cpus -= spec.cpus * count
        self.gpus -= spec.gpus * count
        self.memory -= spec.memory * count
        self.tasks += count
        if spec.image not in self.images:
            self.arriving.add(spec.image)

    def give_back(self, spec: JobSpec, count: int = 1) -> None:
        self._scratch()
        self.cpus += spec.cpus * count
        self.gpus += spec.gpus * count
        self.memory += spec.memory * count
        self.tasks -= count


def type_fits(spec: JobSpec, type_: MachineType) -> bool:
    """Whether an empty machine of this type could run a task of this job."""
    return (
        (spec.types is None or type_.name in spec.types)
        and (spec.zone is None or not type_.zones or spec.zone in type_.zones)
        and type_.cpus + SLACK >= spec.cpus
        and type_.gpus + SLACK >= spec.gpus
        and type_.memory + SLACK >= spec.memory
    )


def allowed(spec: JobSpec, type_: MachineType, zone: str, spot: bool) -> bool:
    """Whether the job may use a machine of this type, zone and kind at all."""
    return (
        (spec.types is None or type_.name in spec.types)
        and (spec.zone is None or spec.zone == zone)
        and (spec.spot or not spot)
    )


def zone_room(spec: JobSpec, zones: Counter, zone: str) -> int:
    """How many more tasks the job's zone rules admit in a zone, given where its others are."""
    if spec.one_zone and zones and any(z != zone and n > 0 for z, n in zones.items()):
        return 0
    if spec.spread:
        return max(0, -(-spec.tasks // 2) - zones[zone])
    return spec.tasks


def fetch_cost(spec: JobSpec, view: View) -> float:
    """Seconds that a task would wait for its image here."""
    if spec.image in view.images:
        return 0.0
    whole = spec.image_gb / max(view.type.fetch_gb_per_s, 1e-3)
    return whole * 0.6 if spec.image in view.arriving else whole


def slots_on(spec: JobSpec, type_: MachineType) -> int:
    """How many tasks of this job an empty machine of the type holds."""
    slots = 1_000_000
    for whole, each in ((type_.cpus, spec.cpus), (type_.gpus, spec.gpus), (type_.memory, spec.memory)):
        if each > 0:
            slots = min(slots, int(whole / each + SLACK))
    return max(1, slots)


def slot_price(spec: JobSpec, type_: MachineType, spot: bool) -> float:
    """What an hour of room for one task costs on a machine of this type."""
    return (type_.spot_price if spot else type_.price) / slots_on(spec, type_)


class Budget(NamedTuple):
    """What room for a job need cost, and whether it may take room that costs several times that."""

    cheapest: float
    cheap_only: bool

    def dear(self, spec: JobSpec, type_: MachineType, spot: bool) -> bool:
        return slot_price(spec, type_, spot) > DEAR * self.cheapest


ANY_PRICE = Budget(math.inf, False)


def cheapest_slot(spec: JobSpec, types: Iterable[MachineType]) -> float:
    """The least that an hour of room for one task costs."""
    return min((slot_price(spec, t, s) for t in types if type_fits(spec, t) for s in {False, spec.spot}), default=0.0)


def _dear(spec: JobSpec, views: list[View], budget: Budget) -> set[str]:
    """Which of these machines cost several times the least; each kind of machine is reckoned once."""
    if budget is ANY_PRICE:
        return set()
    kinds = {(v.type.name, v.spot): v for v in views}
    dear = {kind for kind, v in kinds.items() if budget.dear(spec, v.type, v.spot)}
    # What is kept for accelerator work is paid anyway: its rest is given away.
    return {v.name for v in views if not v.kept and (v.type.name, v.spot) in dear} if dear else set()


def _usable(spec: JobSpec, views: Iterable[View]) -> list[View]:
    """Machines where at least one task of the job could start now."""
    # On a busy fleet the first comparison rules out nearly all.
    cpus = spec.cpus - SLACK
    return [
        v
        for v in views
        if v.cpus >= cpus and v.held_for in (None, spec.ref) and v.fits(spec) and allowed(spec, v.type, v.zone, v.spot)
    ]


def place(
    spec: JobSpec, count: int, views: Iterable[View], zones: Counter, mates: Counter, budget: Budget = ANY_PRICE
) -> list[View]:
    """Machines for up to `count` tasks of an array or service, one entry a task.

    `zones` and `mates` count the job's tasks by zone and machine; both are
    brought up to date, as are the views.
    """
    usable = _usable(spec, views)
    dear = _dear(spec, usable, budget)
    if budget.cheap_only:
        usable = [v for v in usable if v.name not in dear]
    if spec.shape is Shape.SERVICE:
        return _spread_out(spec, count, usable, zones, mates, dear)
    return _fill_up(spec, count, usable, zones, mates, dear)


def _fill_up(
    spec: JobSpec, count: int, usable: list[View], zones: Counter, mates: Counter, dear: set[str]
) -> list[View]:
    """An array: zone by zone, the one with most room first, each machine to the brim.

    Few zones mean that few controllers write the job's records.
    """
    free: Counter = Counter()
    for view in usable:
        free[view.zone] += view.cpus
    ranks = {zone: (zones[zone] == 0, -free[zone], zone) for zone in free}
    chosen: list[View] = []
    for view in sorted(
        usable,
        key=lambda v: (
            v.shunned, v.name in dear, ranks[v.zone], round(fetch_cost(spec, v), 1), not v.spot, v.cpus, v.name
        ),
    ):  # fmt: skip
        n = min(view.capacity(spec), count - len(chosen), zone_room(spec, zones, view.zone))
        if n > 0:
            view.take(spec, n)
            zones[view.zone] += n
            mates[view.name] += n
            chosen += [view] * n
        if len(chosen) >= count:
            break
    return chosen


def _spread_out(
    spec: JobSpec, count: int, usable: list[View], zones: Counter, mates: Counter, dear: set[str]
) -> list[View]:
    """A service: a lost machine or zone should cost few replicas, and a fetch costs more than the start may take.

    Plain machines are taken evenly.  Boxes with accelerators are filled one
    after the other: they are dear, and one that holds a single replica for
    hours can't be returned.
    """

    def score(view: View) -> tuple:
        n = mates[view.name]
        free = view.gpus if view.type.gpus else -view.cpus
        return (
            (view.shunned, view.spot, n > 0),
            (round(fetch_cost(spec, view), 1), view.name in dear, n, free, view.name),
        )

    pools = _by_zone(usable, score)
    chosen: list[View] = []
    while len(chosen) < count:
        zone = _best_pool(pools, lambda z: zones[z], lambda z: zone_room(spec, zones, z) > 0)
        if zone is None:
            break
        view = pools[zone][0][-1]
        view.take(spec)
        zones[zone] += 1
        mates[view.name] += 1
        chosen.append(view)
        if view.fits(spec):
            heapq.heapreplace(pools[zone], (*score(view), view))
        else:
            heapq.heappop(pools[zone])
    return chosen


def _by_zone(views: Iterable[View], score: Callable[[View], tuple[tuple, tuple]]) -> dict[str, list[tuple]]:
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


def place_gang(spec: JobSpec, views: Iterable[View]) -> list[View] | None:
    """Machines for a whole gang, one entry a task, or None if it does not fit."""
    usable = _usable(spec, views)
    by_zone: dict[str, list[View]] = {}
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
        view.take(spec, n)
    return [view for view, n in best.items() for _ in range(n)]


def _fill_gang(spec: JobSpec, pool: list[View]) -> dict[View, int] | None:
    """Greedy: the machines that take most first; then swaps to use fewer."""
    limit = -(-spec.tasks // 2) if spec.spread else spec.tasks
    room = {v.name: v.capacity(spec) for v in pool}
    order = sorted(
        pool,
        key=lambda v: (
            v.shunned,
            -min(room[v.name], spec.tasks),
            fetch_cost(spec, v),
            slot_price(spec, v.type, v.spot),
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


def _swap(spec: JobSpec, plan: dict[str, int], by_name: dict[str, View], room: dict[str, int]) -> None:
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
            and (v.shunned, fetch_cost(spec, v), v.capacity(spec))
            < (here.shunned, fetch_cost(spec, here), here.capacity(spec))
        ]
        if better:
            best = min(better, key=lambda v: (v.shunned, fetch_cost(spec, v), v.capacity(spec), v.name))
            del plan[name]
            plan[best.name] = count


def _gang_cost(spec: JobSpec, plan: dict[View, int]) -> tuple:
    return (
        any(v.shunned for v in plan),
        len({v.zone for v in plan}),
        max(fetch_cost(spec, v) for v in plan),
        len(plan),
        sum(slot_price(spec, v.type, v.spot) for v in plan),
    )


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
