"""Machines for the tasks of arrays and services, one by one.

Machines are taken from a few groups, each of which tells its machines in the
order of the score, so that only those are looked at that may come next.
"""

import heapq
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from itertools import groupby
from typing import Any, NamedTuple

from kelpjunction.placement.free_capacity import MachineBucket, MachineKind, MachineSelection, selection_of
from kelpjunction.placement.prices import NO_PRICE_LIMIT, PriceLimit
from kelpjunction.placement.views import FETCHING_SHARE, MachineView, fetch_cost, whole_fetch, zone_room
from kelpjunction.wire.messages import JobSpec, Shape


def place(
    spec: JobSpec,
    count: int,
    views: Iterable[MachineView] | MachineSelection,
    tasks_by_zone: Counter,
    tasks_by_machine: Counter,
    price_limit: PriceLimit = NO_PRICE_LIMIT,
) -> list[MachineView]:
    """Machines for up to `count` tasks of an array or service, one entry a task.

    `tasks_by_zone` and `tasks_by_machine` count the job's tasks by zone and machine; both are
    brought up to date, as are the views.
    """
    choice = selection_of(views)
    groups = _groups(spec, choice, price_limit)
    if spec.shape is Shape.SERVICE:
        return _ServicePlacer(spec, choice, groups, tasks_by_zone, tasks_by_machine).choose(count)
    return _place_array(spec, count, choice, groups, tasks_by_zone, tasks_by_machine)


class _Group(NamedTuple):
    """Buckets with room for a job, those with least free CPUs first, and what the order of a choice sees in all."""

    kind: MachineKind
    shunned: bool
    dear: bool  # room here costs several times the least
    buckets: list[MachineBucket]


def _groups(spec: JobSpec, choice: MachineSelection, price_limit: PriceLimit) -> list[_Group]:
    """Where the job may go now."""
    groups: list[_Group] = []
    for kind, buckets in choice.by_kind(spec):
        dear = price_limit is not NO_PRICE_LIMIT and price_limit.is_expensive(spec, kind.type, kind.spot)
        by_rank: dict[tuple[bool, bool], list[MachineBucket]] = {}
        for bucket in buckets:
            # What is kept for accelerator work is paid anyway: its rest is given away.
            by_rank.setdefault((bucket.profile.shunned, dear and not bucket.profile.kept), []).append(bucket)
        for (shunned, dear_here), alike in by_rank.items():
            if not (dear_here and price_limit.exclude_expensive):
                groups.append(_Group(kind, shunned, dear_here, alike))
    return groups


class _Candidate(NamedTuple):
    """A machine, with what tells it from others of its group: the fetch in seconds, rounded, and a rank."""

    fetch: float
    rank: float
    name: str


def _candidates(
    spec: JobSpec, kind: MachineKind, buckets: Iterable[MachineBucket], rank: Callable[[MachineBucket], float]
) -> Iterator[_Candidate]:
    """A group's machines by fetch, rank and name; `buckets` is in the order of rank."""
    for fetch, listings in _stages(spec, kind):
        for tier, there in groupby(buckets, rank):
            names = [listing(bucket, spec.image) for bucket in there for listing in listings]
            for name in names[0] if len(names) == 1 else heapq.merge(*names):
                yield _Candidate(fetch, tier, name)


def _stages(
    spec: JobSpec, kind: MachineKind
) -> Iterator[tuple[float, list[Callable[[MachineBucket, str], Iterable[str]]]]]:
    """Which machines come first for their images: fetches that round to the same are the same."""
    whole = whole_fetch(spec, kind.type)
    costs = (
        (0.0, MachineBucket.with_image),
        (whole * FETCHING_SHARE, MachineBucket.fetching),
        (whole, MachineBucket.without_image),
    )
    rounded = [(round(cost, 1), listing) for cost, listing in costs]
    for fetch, stage in groupby(rounded, key=lambda entry: entry[0]):
        yield fetch, [listing for _, listing in stage]


def _place_array(
    spec: JobSpec, count: int, choice: MachineSelection, groups: list[_Group], zones: Counter, mates: Counter
) -> list[MachineView]:
    """An array: zone by zone, the one with most room first, each machine to the brim.

    Few zones mean that few controllers write the job's records.
    """
    free: Counter = Counter()
    for group in groups:
        for bucket in group.buckets:
            free[group.kind.zone] += choice.free_cpus(bucket)
    ranks = {zone: (zones[zone] == 0, -free[zone], zone) for zone in free}

    def turn(group: _Group, candidate: _Candidate) -> tuple:
        return group.shunned, group.dear, ranks[group.kind.zone], candidate.fetch, not group.kind.spot, *candidate[1:]

    turns: list[tuple[tuple, _Group, Iterator[_Candidate]]] = []
    for group in groups:
        candidates = _candidates(spec, group.kind, group.buckets, lambda bucket: bucket.profile.cpus)
        for first in candidates:
            turns.append((turn(group, first), group, candidates))
            break
    heapq.heapify(turns)
    chosen: list[MachineView] = []
    while turns and len(chosen) < count:
        order, group, candidates = turns[0]
        view = choice.index.view(order[-1])
        left = min(count - len(chosen), zone_room(spec, zones, view.zone))
        if left > 0 and choice.admits(view):
            n = min(view.capacity(spec), left)
            view.allocate(spec, n)
            zones[view.zone] += n
            mates[view.name] += n
            chosen += [view] * n
        following = next(candidates, None) if left > 0 else None  # a zone that is full takes none of the group
        if following is None:
            heapq.heappop(turns)
        else:
            heapq.heapreplace(turns, (turn(group, following), group, candidates))
    return chosen


class _Offer(NamedTuple):
    """A machine that a service's next task may go to; between the two parts of a score the zone's own rank counts."""

    first: tuple
    then: tuple
    view: MachineView
    dear: bool
    following: Iterator[_Candidate] | None  # those of its group behind it; none if it is offered by itself


class _ServicePlacer:
    """A service: a lost machine or zone should cost few replicas, and a fetch costs more than the start may take.

    Plain machines are taken evenly.  Boxes with accelerators are filled one
    after the other: they are dear, and one that holds a single replica for
    hours can't be returned.
    """

    def __init__(
        self, spec: JobSpec, choice: MachineSelection, groups: list[_Group], zones: Counter, mates: Counter
    ) -> None:
        self._spec = spec
        self._choice = choice
        self._zones = zones
        self._mates = mates
        self._ours = {name for name, n in mates.items() if n > 0}  # offered each by itself
        self._offers: dict[str, list[_Offer]] = {}  # by zone, heaps
        for group in groups:
            rank = _least_gpus if group.kind.type.gpus else _most_cpus
            self._offer_next(group.dear, _candidates(spec, group.kind, sorted(group.buckets, key=rank), rank))
        for name in self._ours:
            view = choice.get(name)
            if view is not None:
                self._offer_ours(view, groups)

    def _offer_ours(self, view: MachineView, groups: list[_Group]) -> None:
        """Offer a machine that has a task of the job already, if it has room for another."""
        bucket = self._choice.index.bucket_of(view.name)
        for group in groups:
            if group.kind == bucket.kind and any(bucket is other for other in group.buckets):
                self._offer(view, group.dear, None)

    def _offer_next(self, dear: bool, following: Iterator[_Candidate]) -> None:
        """Offer the next machine of a group, if it has one."""
        for candidate in following:
            view = self._choice.index.view(candidate.name)
            if candidate.name not in self._ours and self._choice.admits(view):
                self._offer(view, dear, following)
                return

    def _offer(self, view: MachineView, dear: bool, following: Iterator[_Candidate] | None) -> None:
        n = self._mates[view.name]
        free = view.gpus if view.type.gpus else -view.cpus
        first = (view.suspected, view.spot, n > 0)
        then = (round(fetch_cost(self._spec, view), 1), dear, n, free, view.name)
        heapq.heappush(self._offers.setdefault(view.zone, []), _Offer(first, then, view, dear, following))

    def choose(self, count: int) -> list[MachineView]:
        """Up to so many machines, one entry a task."""
        chosen: list[MachineView] = []
        while len(chosen) < count and (zone := self._best_zone()) is not None:
            chosen.append(self._take_first(zone))
        return chosen

    def _best_zone(self) -> str | None:
        """The zone whose first machine is best."""
        able = [z for z, offers in self._offers.items() if offers and zone_room(self._spec, self._zones, z) > 0]
        return min(able, key=self._rank_of_zone, default=None)

    def _rank_of_zone(self, zone: str) -> tuple[tuple, Any, tuple]:
        best = self._offers[zone][0]
        return best.first, self._zones[zone], best.then

    def _take_first(self, zone: str) -> MachineView:
        """Take the zone's best machine; it and the next of its group are offered again."""
        offer = heapq.heappop(self._offers[zone])
        view = offer.view
        view.allocate(self._spec)
        self._zones[zone] += 1
        self._mates[view.name] += 1
        if offer.following is not None:
            self._ours.add(view.name)
            self._offer_next(offer.dear, offer.following)
        if view.fits(self._spec):
            self._offer(view, offer.dear, None)
        return view


def _least_gpus(bucket: MachineBucket) -> float:
    return bucket.profile.gpus


def _most_cpus(bucket: MachineBucket) -> float:
    return -bucket.profile.cpus
