"""Machines for the tasks of arrays and services, one by one."""

import heapq
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from kelpjunction.placement.prices import ANY_PRICE, Budget
from kelpjunction.placement.room import Bucket, Choice, choice_of
from kelpjunction.placement.views import View, fetch_cost, zone_room
from kelpjunction.wire.messages import JobSpec, Shape


def place(
    spec: JobSpec,
    count: int,
    views: Iterable[View] | Choice,
    zones: Counter,
    mates: Counter,
    budget: Budget = ANY_PRICE,
) -> list[View]:
    """Machines for up to `count` tasks of an array or service, one entry a task.

    `zones` and `mates` count the job's tasks by zone and machine; both are
    brought up to date, as are the views.
    """
    choice = choice_of(views)
    usable = list(_affordable(spec, choice, budget))
    if spec.shape is Shape.SERVICE:
        return _Spread(spec, choice, usable, zones, mates).choose(count)
    return _fill_up(spec, count, choice, usable, zones, mates)


class _Usable(NamedTuple):
    """A bucket with room for the job, and whether room there costs several times the least."""

    bucket: Bucket
    dear: bool


def _affordable(spec: JobSpec, choice: Choice, budget: Budget) -> Iterator[_Usable]:
    known: dict[tuple[str, bool], bool] = {}
    for bucket in choice.buckets(spec):
        _, type_, spot = bucket.kind
        dear = False
        # What is kept for accelerator work is paid anyway: its rest is given away.
        if budget is not ANY_PRICE and not bucket.alike.kept:
            if (type_.name, spot) not in known:
                known[type_.name, spot] = budget.dear(spec, type_, spot)
            dear = known[type_.name, spot]
        if not (dear and budget.cheap_only):
            yield _Usable(bucket, dear)


class _Run(NamedTuple):
    """Machines that an array takes one after the other: `order` tells one run's turn from another's, then the name."""

    order: tuple
    name: str
    serial: int
    rest: Iterator[str]
    bucket: Bucket


def _fill_up(
    spec: JobSpec, count: int, choice: Choice, usable: list[_Usable], zones: Counter, mates: Counter
) -> list[View]:
    """An array: zone by zone, the one with most room first, each machine to the brim.

    Few zones mean that few controllers write the job's records.
    """
    free: Counter = Counter()
    for bucket, _ in usable:
        free[bucket.kind.zone] += choice.free_cpus(bucket)
    ranks = {zone: (zones[zone] == 0, -free[zone], zone) for zone in free}
    runs: list[_Run] = []
    for bucket, dear in usable:
        alike = bucket.alike
        for fetch, names in bucket.runs(spec):
            order = (alike.shunned, dear, ranks[bucket.kind.zone], round(fetch, 1), not bucket.kind.spot, alike.cpus)
            runs.append(_Run(order, next(names), len(runs), names, bucket))
    heapq.heapify(runs)
    chosen: list[View] = []
    while runs and len(chosen) < count:
        run = runs[0]
        view = choice.room.view(run.name)
        left = min(count - len(chosen), zone_room(spec, zones, view.zone))
        if left > 0 and choice.admits(view):
            n = min(view.capacity(spec), left)
            view.take(spec, n)
            zones[view.zone] += n
            mates[view.name] += n
            chosen += [view] * n
        name = next(run.rest, None) if left > 0 else None  # a zone that is full takes none of the run
        if name is None:
            heapq.heappop(runs)
        else:
            heapq.heapreplace(runs, run._replace(name=name))
    return chosen


class _Place(NamedTuple):
    """A machine that a service's next task may go to; between the two parts of a score the zone's own rank counts."""

    first: tuple
    then: tuple
    serial: int
    view: View
    rest: Iterator[str] | None  # those of its bucket that come after it


class _Spread:
    """A service: a lost machine or zone should cost few replicas, and a fetch costs more than the start may take.

    Plain machines are taken evenly.  Boxes with accelerators are filled one
    after the other: they are dear, and one that holds a single replica for
    hours can't be returned.
    """

    def __init__(self, spec: JobSpec, choice: Choice, usable: list[_Usable], zones: Counter, mates: Counter) -> None:
        self._spec = spec
        self._choice = choice
        self._zones = zones
        self._mates = mates
        self._ours = {name for name, n in mates.items() if n > 0}  # scored each by itself
        self._dear = {id(bucket): dear for bucket, dear in usable}
        self._places: dict[str, list[_Place]] = {}
        self._serial = 0
        for bucket, dear in usable:
            for _, names in bucket.runs(spec):
                self._offer_next(dear, names)
        for name in self._ours:
            view = choice.get(name)
            if view is not None and id(bucket := choice.room.bucket_of(name)) in self._dear:
                self._offer(view, self._dear[id(bucket)], None)

    def _offer_next(self, dear: bool, names: Iterator[str]) -> None:
        """Offer the next machine of a run, if it has one."""
        for name in names:
            view = self._choice.room.view(name)
            if name not in self._ours and self._choice.admits(view):
                self._offer(view, dear, names)
                return

    def _offer(self, view: View, dear: bool, rest: Iterator[str] | None) -> None:
        n = self._mates[view.name]
        free = view.gpus if view.type.gpus else -view.cpus
        first = (view.shunned, view.spot, n > 0)
        then = (round(fetch_cost(self._spec, view), 1), dear, n, free, view.name)
        self._serial += 1
        heapq.heappush(self._places.setdefault(view.zone, []), _Place(first, then, self._serial, view, rest))

    def choose(self, count: int) -> list[View]:
        """Up to so many machines, one entry a task."""
        chosen: list[View] = []
        while len(chosen) < count and (zone := self._best_zone()) is not None:
            view = self._take_first(zone)
            chosen.append(view)
        return chosen

    def _best_zone(self) -> str | None:
        """The zone whose first machine is best."""
        able = [z for z, places in self._places.items() if places and zone_room(self._spec, self._zones, z) > 0]
        return min(
            able,
            key=lambda z: (self._places[z][0].first, self._zones[z], self._places[z][0].then),
            default=None,
        )

    def _take_first(self, zone: str) -> View:
        """Take the zone's best machine; it and the next of its run are offered again."""
        place_ = heapq.heappop(self._places[zone])
        view, dear = place_.view, place_.then[1]
        view.take(self._spec)
        self._zones[zone] += 1
        self._mates[view.name] += 1
        if place_.rest is not None:
            self._ours.add(view.name)
            self._offer_next(dear, place_.rest)
        if view.fits(self._spec):
            self._offer(view, dear, None)
        return view
