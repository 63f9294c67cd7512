"""An index of free capacity, which makes the cost of a choice depend on distinct machines instead of their number.

Machines that differ only in their names and images share a bucket: every other
property that a choice reads is equal.  The buckets of one zone, machine type
and price kind (spot or not) are sorted by free CPUs, so that a choice skips
full machines.  Code that writes to a view marks it dirty, and the view is
indexed again before the next choice.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from itertools import count
from typing import NamedTuple

from sortedcontainers import SortedDict, SortedList

from kelpjunction.placement.views import SLACK, MachineView, allowed
from kelpjunction.wire.messages import JobSpec, MachineType


class MachineKind(NamedTuple):
    """The properties of a machine that a job's rules can restrict."""

    zone: str
    type: MachineType
    spot: bool


class _MachineProfile(NamedTuple):
    """The other properties that a choice reads.  Machines of one kind with equal profiles share a bucket."""

    cpus: float
    gpus: float
    memory: float
    gpu_reserved: bool
    gpu_reserved_cpus: float
    gpu_reserved_memory: float
    suspected: bool
    held_for_gang: str | None


class MachineBucket:
    """Machines that differ only in their names and images."""

    __slots__ = ("fetching_images", "images", "kind", "names", "order", "profile")

    def __init__(self, kind: MachineKind, profile: _MachineProfile, order: tuple[float, int]) -> None:
        self.kind = kind
        self.profile = profile
        self.order = order  # position in its kind: by free CPUs, then by creation
        self.names = SortedList()
        self.images: dict[str, SortedList] = {}  # names of the machines that have an image
        self.fetching_images: dict[str, SortedList] = {}  # names of the machines that are fetching an image

    def fits(self, spec: JobSpec) -> bool:
        """Whether each machine has room for one more task.  The caller has already compared the free CPUs."""
        profile = self.profile
        needs_no_gpu = spec.gpus <= 0
        return (
            (profile.held_for_gang is None or profile.held_for_gang == spec.ref)
            and profile.gpus + SLACK >= spec.gpus
            and profile.memory + SLACK >= spec.memory + (profile.gpu_reserved_memory if needs_no_gpu else 0.0)
            and profile.cpus + SLACK >= spec.cpus + (profile.gpu_reserved_cpus if needs_no_gpu else 0.0)
        )

    def with_image(self, image: str) -> Iterable[str]:
        """The sorted names of the machines that have an image."""
        return self.images.get(image, ())

    def fetching(self, image: str) -> Iterable[str]:
        """The sorted names of the machines that are fetching an image."""
        return self.fetching_images.get(image, ())

    def without_image(self, image: str) -> Iterable[str]:
        """The sorted names of the machines that neither have nor are fetching an image."""
        with_it, fetching_it = self.images.get(image, ()), self.fetching_images.get(image, ())
        if not with_it and not fetching_it:
            return self.names
        if len(with_it) + len(fetching_it) == len(self.names):
            return ()
        return (name for name in self.names if name not in with_it and name not in fetching_it)


class _IndexEntry(NamedTuple):
    """The bucket and the images under which a view is indexed."""

    bucket: MachineBucket
    images: frozenset[str]
    fetching_images: frozenset[str]


class FreeCapacityIndex:
    """The index.  `put` and `drop` change the set of machines; `mark_dirty` reports a write to a machine's view."""

    def __init__(self, views: Iterable[MachineView] = ()) -> None:
        self._views: dict[str, MachineView] = {}
        self._entries: dict[str, _IndexEntry] = {}
        self._buckets: dict[tuple[MachineKind, _MachineProfile], MachineBucket] = {}
        self._by_kind: dict[MachineKind, SortedDict] = {}
        self._dirty: set[str] = set()
        self._serial = count()
        for view in views:
            self.put(view)

    def put(self, view: MachineView) -> None:
        """Add a machine's view or replace the previous one."""
        self._views[view.name] = view
        self._dirty.add(view.name)

    def drop(self, name: str) -> None:
        """Remove a machine that can take no more work."""
        if self._views.pop(name, None) is not None:
            self._dirty.add(name)

    def mark_dirty(self, name: str) -> None:
        """Have the view of a machine indexed again before the next choice, because it was written to."""
        self._dirty.add(name)

    def clear(self) -> None:
        """Remove all machines."""
        for name in list(self._views):
            self.drop(name)

    def views(self) -> Iterable[MachineView]:
        """All views, in no particular order."""
        return self._views.values()

    def view(self, name: str) -> MachineView | None:
        """The view of a machine, or None if the machine is unknown."""
        return self._views.get(name)

    def bucket_of(self, name: str) -> MachineBucket:
        """The bucket of a machine."""
        self._reindex_dirty()
        return self._entries[name].bucket

    def kinds(self) -> Iterable[tuple[MachineKind, SortedDict]]:
        """Each kind of machine with its buckets, sorted by `MachineBucket.order`."""
        self._reindex_dirty()
        return self._by_kind.items()

    def select_all(self) -> "MachineSelection":
        """A selection of all machines."""
        return MachineSelection(self)

    def _reindex_dirty(self) -> None:
        for name in self._dirty:
            view = self._views.get(name)
            if view is None:
                self._remove_view(name)
            else:
                self._index_view(view)
        self._dirty.clear()

    def _index_view(self, view: MachineView) -> None:
        kind = MachineKind(view.zone, view.type, view.spot)
        profile = _MachineProfile(
            view.cpus,
            view.gpus,
            view.memory,
            view.gpu_reserved,
            view.gpu_reserved_cpus,
            view.gpu_reserved_memory,
            view.suspected,
            view.held_for_gang,
        )
        images = frozenset(view.images)
        fetching_images = view.fetching_images - images
        entry = self._entries.get(view.name)
        if entry is not None:
            bucket = entry.bucket
            if (
                profile == bucket.profile
                and kind == bucket.kind
                and images == entry.images
                and fetching_images == entry.fetching_images
            ):
                return  # unchanged, as most views are when the reservations for accelerator work change
            self._remove_view(view.name)
        bucket = self._buckets.get((kind, profile))
        if bucket is None:
            bucket = self._buckets[kind, profile] = MachineBucket(kind, profile, (profile.cpus, next(self._serial)))
            self._by_kind.setdefault(kind, SortedDict())[bucket.order] = bucket
        bucket.names.add(view.name)
        for image in images:
            bucket.images.setdefault(image, SortedList()).add(view.name)
        for image in fetching_images:
            bucket.fetching_images.setdefault(image, SortedList()).add(view.name)
        self._entries[view.name] = _IndexEntry(bucket, images, frozenset(fetching_images))

    def _remove_view(self, name: str) -> None:
        entry = self._entries.pop(name, None)
        if entry is None:
            return
        bucket, images, fetching_images = entry
        bucket.names.remove(name)
        for machines_by_image, entry_images in ((bucket.images, images), (bucket.fetching_images, fetching_images)):
            for image in entry_images:
                machines_by_image[image].remove(name)
                if not machines_by_image[image]:
                    del machines_by_image[image]
        if not bucket.names:
            del self._buckets[bucket.kind, bucket.profile]
            del self._by_kind[bucket.kind][bucket.order]


@dataclass(frozen=True, slots=True)
class MachineSelection:
    """The machines that may be chosen.  Narrowing a selection is cheap; a choice costs only the buckets that it reads.

    `is_ready` is evaluated only for a machine that would be chosen next.  Free
    room per zone does not take it into account, so a selection with `is_ready`
    should contain a single zone.
    """

    index: FreeCapacityIndex
    zones: frozenset[str] | None = None
    excluded_zones: frozenset[str] = frozenset()
    excluded_machines: frozenset[str] = frozenset()
    kind_filter: Callable[[MachineKind], bool] | None = None
    is_ready: Callable[[MachineView], bool] | None = None

    def within(self, zones: Iterable[str]) -> "MachineSelection":
        """The machines of this selection that are in the given zones."""
        zones = frozenset(zones)
        return replace(self, zones=zones if self.zones is None else self.zones & zones)

    def outside(self, zones: Iterable[str]) -> "MachineSelection":
        """The machines of this selection that are not in the given zones."""
        return replace(self, excluded_zones=self.excluded_zones | frozenset(zones))

    def of_kinds(self, kinds: Callable[[MachineKind], bool]) -> "MachineSelection":
        """The machines of this selection whose kind satisfies a predicate."""
        previous = self.kind_filter
        return replace(self, kind_filter=kinds if previous is None else lambda kind: previous(kind) and kinds(kind))

    def without(self, names: Iterable[str]) -> "MachineSelection":
        """The machines of this selection except the named ones."""
        names = frozenset(names)
        return replace(self, excluded_machines=self.excluded_machines | names) if names else self

    def __iter__(self) -> Iterator[MachineView]:
        for view in self.index.views():
            if self._admits_kind(MachineKind(view.zone, view.type, view.spot)) and self.admits(view):
                yield view

    def get(self, name: str | None) -> MachineView | None:
        """The view of a machine, or None if this selection does not contain it."""
        view = self.index.view(name) if name is not None else None
        if view is None or not self._admits_kind(MachineKind(view.zone, view.type, view.spot)):
            return None
        return view if self.admits(view) else None

    def admits(self, view: MachineView) -> bool:
        """Whether a machine, whose kind was admitted already, is in this selection."""
        return view.name not in self.excluded_machines and (self.is_ready is None or self.is_ready(view))

    def _admits_kind(self, kind: MachineKind) -> bool:
        return (
            (self.zones is None or kind.zone in self.zones)
            and kind.zone not in self.excluded_zones
            and (self.kind_filter is None or self.kind_filter(kind))
        )

    def by_kind(self, spec: JobSpec) -> Iterator[tuple[MachineKind, list[MachineBucket]]]:
        """Per kind, the buckets with room for at least one task of the job now, fewest free CPUs first."""
        min_order = (spec.cpus - SLACK,)
        for kind, buckets in self.index.kinds():
            if buckets and self._admits_kind(kind) and allowed(spec, kind.type, kind.zone, kind.spot):
                fitting = [b for order in buckets.irange(minimum=min_order) if (b := buckets[order]).fits(spec)]
                if fitting:
                    yield kind, fitting

    def buckets(self, spec: JobSpec) -> Iterator[MachineBucket]:
        """The buckets with room for at least one task of the job now."""
        return (bucket for _, buckets in self.by_kind(spec) for bucket in buckets)

    def reserved(self) -> list[MachineView]:
        """The machines that are held for a gang or have capacity reserved for accelerator work."""
        names = [
            name
            for kind, buckets in self.index.kinds()
            if self._admits_kind(kind)
            for bucket in buckets.values()
            if bucket.profile.held_for_gang or bucket.profile.gpu_reserved
            for name in bucket.names
        ]
        return [view for name in names if self.admits(view := self.index.view(name))]

    def usable(self, spec: JobSpec) -> list[MachineView]:
        """The machines where at least one task of the job could start now."""
        views = (self.index.view(name) for bucket in self.buckets(spec) for name in bucket.names)
        return [view for view in views if self.admits(view)]

    def slots(self, spec: JobSpec, count_all: bool) -> Counter[str]:
        """How many more tasks of the job each zone has room for now.

        Each machine counts for at most one task unless `count_all` is set.
        Machines that are excluded by name are counted as well.
        """
        slots: Counter[str] = Counter()
        for bucket in self.buckets(spec):
            slots_per_machine = self.index.view(bucket.names[0]).capacity(spec) if count_all else 1
            slots[bucket.kind.zone] += slots_per_machine * len(bucket.names)
        return slots

    def free_cpus(self, bucket: MachineBucket) -> float:
        """The total of free CPUs on the machines of a bucket, without the machines that are excluded by name."""
        excluded = sum(1 for name in self.excluded_machines if name in bucket.names) if self.excluded_machines else 0
        return bucket.profile.cpus * (len(bucket.names) - excluded)


def selection_of(views: "Iterable[MachineView] | MachineSelection") -> MachineSelection:
    """A selection of these machines; views that are not indexed yet get an index for this one use."""
    return views if isinstance(views, MachineSelection) else FreeCapacityIndex(views).select_all()
