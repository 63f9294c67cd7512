"""Choice of machines for the tasks of arrays and services, one at a time.

Machines come from a few groups.  Each group yields its machines in the order
of their score, so that only the machines that can be next are examined.
"""

import heapq
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from itertools import groupby
from typing import Any, NamedTuple

from kelpjunction.placement.free_capacity import MachineBucket, MachineKind, MachineSelection, selection_of
from kelpjunction.placement.prices import NO_PRICE_LIMIT, PriceLimit
from kelpjunction.placement.views import (
    REMAINING_FETCH_FRACTION,
    MachineView,
    fetch_cost,
    full_fetch_seconds,
    zone_room,
)
from kelpjunction.wire.messages import JobSpec, Shape


def place(
    spec: JobSpec,
    count: int,
    views: Iterable[MachineView] | MachineSelection,
    tasks_by_zone: Counter,
    tasks_by_machine: Counter,
    price_limit: PriceLimit = NO_PRICE_LIMIT,
) -> list[MachineView]:
    """Choose machines for up to `count` tasks of an array or service, one entry per task.

    `tasks_by_zone` and `tasks_by_machine` count the job's tasks by zone and
    machine.  Both counters and the views are updated in place.
    """
    selection = selection_of(views)
    groups = _groups(spec, selection, price_limit)
    if spec.shape is Shape.SERVICE:
        return _ServicePlacer(spec, selection, groups, tasks_by_zone, tasks_by_machine).choose(count)
    return _place_array(spec, count, selection, groups, tasks_by_zone, tasks_by_machine)


class _Group(NamedTuple):
    """Buckets with room for a job, fewest free CPUs first, that are equal in the properties below."""

    kind: MachineKind
    suspected: bool
    expensive: bool  # the price per task is several times the lowest
    buckets: list[MachineBucket]


def _groups(spec: JobSpec, selection: MachineSelection, price_limit: PriceLimit) -> list[_Group]:
    """The groups of machines that have room for a task of the job now and are within the price limit."""
    groups: list[_Group] = []
    for kind, buckets in selection.by_kind(spec):
        expensive = price_limit is not NO_PRICE_LIMIT and price_limit.is_expensive(spec, kind.type, kind.spot)
        by_rank: dict[tuple[bool, bool], list[MachineBucket]] = {}
        for bucket in buckets:
            # Machines reserved for accelerator work are paid for anyway: their spare room never counts as expensive.
            by_rank.setdefault((bucket.profile.suspected, expensive and not bucket.profile.gpu_reserved), []).append(
                bucket
            )
        for (suspected, expensive_here), members in by_rank.items():
            if not (expensive_here and price_limit.exclude_expensive):
                groups.append(_Group(kind, suspected, expensive_here, members))
    return groups


class _Candidate(NamedTuple):
    """A machine and its score within its group: the image fetch in seconds, rounded, and a rank."""

    fetch: float
    rank: float
    name: str


def _candidates(
    spec: JobSpec, kind: MachineKind, buckets: Iterable[MachineBucket], rank: Callable[[MachineBucket], float]
) -> Iterator[_Candidate]:
    """A group's machines sorted by fetch time, rank and name.  `buckets` must be sorted by rank."""
    for fetch, listings in _fetch_stages(spec, kind):
        for tier, same_rank in groupby(buckets, rank):
            names = [listing(bucket, spec.image) for bucket in same_rank for listing in listings]
            for name in names[0] if len(names) == 1 else heapq.merge(*names):
                yield _Candidate(fetch, tier, name)


def _fetch_stages(
    spec: JobSpec, kind: MachineKind
) -> Iterator[tuple[float, list[Callable[[MachineBucket, str], Iterable[str]]]]]:
    """Lists of machines by rounded fetch time, shortest first.  Times that round to the same value share a stage."""
    full_fetch = full_fetch_seconds(spec, kind.type)
    costs = (
        (0.0, MachineBucket.with_image),
        (full_fetch * REMAINING_FETCH_FRACTION, MachineBucket.fetching),
        (full_fetch, MachineBucket.without_image),
    )
    rounded = [(round(cost, 1), listing) for cost, listing in costs]
    for fetch, stage in groupby(rounded, key=lambda entry: entry[0]):
        yield fetch, [listing for _, listing in stage]


def _place_array(
    spec: JobSpec,
    count: int,
    selection: MachineSelection,
    groups: list[_Group],
    zone_counts: Counter,
    machine_counts: Counter,
) -> list[MachineView]:
    """Place an array: zone by zone, the zone with the most room first, and fill each machine.

    With fewer zones, fewer nodes write the job's records.
    """
    free: Counter = Counter()
    for group in groups:
        for bucket in group.buckets:
            free[group.kind.zone] += selection.free_cpus(bucket)
    ranks = {zone: (zone_counts[zone] == 0, -free[zone], zone) for zone in free}

    def sort_key(group: _Group, candidate: _Candidate) -> tuple:
        return (
            group.suspected,
            group.expensive,
            ranks[group.kind.zone],
            candidate.fetch,
            not group.kind.spot,
            *candidate[1:],
        )

    heads: list[tuple[tuple, _Group, Iterator[_Candidate]]] = []
    for group in groups:
        candidates = _candidates(spec, group.kind, group.buckets, lambda bucket: bucket.profile.cpus)
        for first in candidates:
            heads.append((sort_key(group, first), group, candidates))
            break
    heapq.heapify(heads)
    chosen: list[MachineView] = []
    while heads and len(chosen) < count:
        score, group, candidates = heads[0]
        view = selection.index.view(score[-1])
        room = min(count - len(chosen), zone_room(spec, zone_counts, view.zone))
        if room > 0 and selection.admits(view):
            n = min(view.capacity(spec), room)
            view.allocate(spec, n)
            zone_counts[view.zone] += n
            machine_counts[view.name] += n
            chosen += [view] * n
        following = next(candidates, None) if room > 0 else None  # a full zone rules out the whole group
        if following is None:
            heapq.heappop(heads)
        else:
            heapq.heapreplace(heads, (sort_key(group, following), group, candidates))
    return chosen


class _ServiceCandidate(NamedTuple):
    """A machine for a service's next task.  The task count of its zone ranks between the two parts of the score."""

    score_before_zone: tuple
    score_after_zone: tuple
    view: MachineView
    expensive: bool
    following: Iterator[_Candidate] | None  # the rest of its group; None if the machine was added on its own


class _ServicePlacer:
    """Places a service's replicas.

    Replicas are spread, because the loss of one machine or zone should cost
    few of them.  Machines with the image rank first, because fetching it takes
    longer than a start may take.  Machines without accelerators are used
    evenly.  Machines with accelerators are filled one after the other: they
    are expensive, and one that holds a single replica for hours can't be
    returned.
    """

    def __init__(
        self,
        spec: JobSpec,
        selection: MachineSelection,
        groups: list[_Group],
        zone_counts: Counter,
        machine_counts: Counter,
    ) -> None:
        self._spec = spec
        self._selection = selection
        self._zone_counts = zone_counts
        self._machine_counts = machine_counts
        # Machines with tasks of the job.  Each is added on its own, not as part of a group.
        self._used_machines = {name for name, n in machine_counts.items() if n > 0}
        self._heaps: dict[str, list[_ServiceCandidate]] = {}  # a heap per zone
        for group in groups:
            rank = _least_gpus if group.kind.type.gpus else _most_cpus
            self._push_next_of_group(
                group.expensive, _candidates(spec, group.kind, sorted(group.buckets, key=rank), rank)
            )
        for name in self._used_machines:
            view = selection.get(name)
            if view is not None:
                self._push_used_machine(view, groups)

    def _push_used_machine(self, view: MachineView, groups: list[_Group]) -> None:
        """Add a machine that already has a task of the job, if it has room for another."""
        bucket = self._selection.index.bucket_of(view.name)
        for group in groups:
            if group.kind == bucket.kind and any(bucket is other for other in group.buckets):
                self._push(view, group.expensive, None)

    def _push_next_of_group(self, expensive: bool, following: Iterator[_Candidate]) -> None:
        """Add the next machine of a group, if there is one."""
        for candidate in following:
            view = self._selection.index.view(candidate.name)
            if candidate.name not in self._used_machines and self._selection.admits(view):
                self._push(view, expensive, following)
                return

    def _push(self, view: MachineView, expensive: bool, following: Iterator[_Candidate] | None) -> None:
        n = self._machine_counts[view.name]
        free = view.gpus if view.type.gpus else -view.cpus
        score_before_zone = (view.suspected, view.spot, n > 0)
        score_after_zone = (round(fetch_cost(self._spec, view), 1), expensive, n, free, view.name)
        heapq.heappush(
            self._heaps.setdefault(view.zone, []),
            _ServiceCandidate(score_before_zone, score_after_zone, view, expensive, following),
        )

    def choose(self, count: int) -> list[MachineView]:
        """Choose machines for up to `count` tasks, one entry per task."""
        chosen: list[MachineView] = []
        while len(chosen) < count and (zone := self._best_zone()) is not None:
            chosen.append(self._take_best(zone))
        return chosen

    def _best_zone(self) -> str | None:
        """The zone whose best machine has the best score, or None if no zone can take a task."""
        open_zones = [z for z, heap in self._heaps.items() if heap and zone_room(self._spec, self._zone_counts, z) > 0]
        return min(open_zones, key=self._rank_of_zone, default=None)

    def _rank_of_zone(self, zone: str) -> tuple[tuple, Any, tuple]:
        best = self._heaps[zone][0]
        return best.score_before_zone, self._zone_counts[zone], best.score_after_zone

    def _take_best(self, zone: str) -> MachineView:
        """Place a task on the zone's best machine, then add that machine again and the next of its group."""
        best = heapq.heappop(self._heaps[zone])
        view = best.view
        view.allocate(self._spec)
        self._zone_counts[zone] += 1
        self._machine_counts[view.name] += 1
        if best.following is not None:
            self._used_machines.add(view.name)
            self._push_next_of_group(best.expensive, best.following)
        if view.fits(self._spec):
            self._push(view, best.expensive, None)
        return view


def _least_gpus(bucket: MachineBucket) -> float:
    return bucket.profile.gpus


def _most_cpus(bucket: MachineBucket) -> float:
    return -bucket.profile.cpus
