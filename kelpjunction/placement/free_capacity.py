"""An index of free room, so that choosing machines costs what differs between them and not how many there are.

Machines that are alike in all that a choice looks at, but for their names and
images, share a bucket.  Those of a zone, type and price kind are kept in the
order of their free CPUs, so that full ones are not looked at.  Whoever writes
to a view marks it, and it is filed anew before the next choice.
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
    """What a job's rules ask of a machine."""

    zone: str
    type: MachineType
    spot: bool


class _MachineProfile(NamedTuple):
    """What else a choice looks at: machines of a kind for which all of it is the same share a bucket."""

    cpus: float
    gpus: float
    memory: float
    kept: bool
    kept_cpus: float
    kept_memory: float
    shunned: bool
    held_for: str | None


class MachineBucket:
    """Machines that are alike but for their names and images."""

    __slots__ = ("arriving", "images", "kind", "names", "order", "profile")

    def __init__(self, kind: MachineKind, alike: _MachineProfile, order: tuple[float, int]) -> None:
        self.kind = kind
        self.profile = alike
        self.order = order  # among those of its kind: free CPUs, then as they came
        self.names = SortedList()
        self.images: dict[str, SortedList] = {}  # who has an image
        self.arriving: dict[str, SortedList] = {}  # who fetches it

    def fits(self, spec: JobSpec) -> bool:
        """Whether one more task of the job has room on each of them; free CPUs were looked at already."""
        alike = self.profile
        guest = spec.gpus <= 0
        return (
            (alike.held_for is None or alike.held_for == spec.ref)
            and alike.gpus + SLACK >= spec.gpus
            and alike.memory + SLACK >= spec.memory + (alike.kept_memory if guest else 0.0)
            and alike.cpus + SLACK >= spec.cpus + (alike.kept_cpus if guest else 0.0)
        )

    def with_image(self, image: str) -> Iterable[str]:
        """Who has an image, by name."""
        return self.images.get(image, ())

    def fetching(self, image: str) -> Iterable[str]:
        """Who fetches it, by name."""
        return self.arriving.get(image, ())

    def without_image(self, image: str) -> Iterable[str]:
        """Who neither has nor fetches it, by name."""
        have, fetch = self.images.get(image, ()), self.arriving.get(image, ())
        if not have and not fetch:
            return self.names
        if len(have) + len(fetch) == len(self.names):
            return ()
        return (name for name in self.names if name not in have and name not in fetch)


class _IndexEntry(NamedTuple):
    """Where a view was filed, and under which images."""

    bucket: MachineBucket
    images: frozenset[str]
    arriving: frozenset[str]


class FreeCapacityIndex:
    """The index.  `put` and `drop` change which machines there are; `mark_dirty` tells of a write to one's view."""

    def __init__(self, views: Iterable[MachineView] = ()) -> None:
        self._views: dict[str, MachineView] = {}
        self._entries: dict[str, _IndexEntry] = {}
        self._buckets: dict[tuple[MachineKind, _MachineProfile], MachineBucket] = {}
        self._by_kind: dict[MachineKind, SortedDict] = {}
        self._marked: set[str] = set()
        self._serial = count()
        for view in views:
            self.put(view)

    def put(self, view: MachineView) -> None:
        """A machine's view as it is now, in place of the one before."""
        self._views[view.name] = view
        self._marked.add(view.name)

    def drop(self, name: str) -> None:
        """A machine can take no work any more."""
        if self._views.pop(name, None) is not None:
            self._marked.add(name)

    def mark_dirty(self, name: str) -> None:
        """A view was written to."""
        self._marked.add(name)

    def clear(self) -> None:
        """There are no machines."""
        for name in list(self._views):
            self.drop(name)

    def views(self) -> Iterable[MachineView]:
        """All views, in no order."""
        return self._views.values()

    def view(self, name: str) -> MachineView | None:
        """A machine's view."""
        return self._views.get(name)

    def bucket_of(self, name: str) -> MachineBucket:
        """Where a machine is filed."""
        self._reindex_dirty()
        return self._entries[name].bucket

    def kinds(self) -> Iterable[tuple[MachineKind, SortedDict]]:
        """The buckets of each kind of machine, by their order."""
        self._reindex_dirty()
        return self._by_kind.items()

    def select_all(self) -> "MachineSelection":
        """All machines to choose from."""
        return MachineSelection(self)

    def _reindex_dirty(self) -> None:
        for name in self._marked:
            view = self._views.get(name)
            if view is None:
                self._take_out(name)
            else:
                self._index_view(view)
        self._marked.clear()

    def _index_view(self, view: MachineView) -> None:
        kind = MachineKind(view.zone, view.type, view.spot)
        alike = _MachineProfile(
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
        arriving = view.fetching_images - images
        filed = self._entries.get(view.name)
        if filed is not None:
            bucket = filed.bucket
            if (
                alike == bucket.profile
                and kind == bucket.kind
                and images == filed.images
                and arriving == filed.arriving
            ):
                return  # made anew as it was, as most are when what is kept for accelerators changes
            self._take_out(view.name)
        bucket = self._buckets.get((kind, alike))
        if bucket is None:
            bucket = self._buckets[kind, alike] = MachineBucket(kind, alike, (alike.cpus, next(self._serial)))
            self._by_kind.setdefault(kind, SortedDict())[bucket.order] = bucket
        bucket.names.add(view.name)
        for image in images:
            bucket.images.setdefault(image, SortedList()).add(view.name)
        for image in arriving:
            bucket.arriving.setdefault(image, SortedList()).add(view.name)
        self._entries[view.name] = _IndexEntry(bucket, images, frozenset(arriving))

    def _take_out(self, name: str) -> None:
        filed = self._entries.pop(name, None)
        if filed is None:
            return
        bucket, images, arriving = filed
        bucket.names.remove(name)
        for by_image, those in ((bucket.images, images), (bucket.arriving, arriving)):
            for image in those:
                by_image[image].remove(name)
                if not by_image[image]:
                    del by_image[image]
        if not bucket.names:
            del self._buckets[bucket.kind, bucket.profile]
            del self._by_kind[bucket.kind][bucket.order]


@dataclass(frozen=True, slots=True)
class MachineSelection:
    """The machines that a choice may be made from.  Narrowing it costs nothing, and choosing only what it looks at.

    `ready` is asked of a machine when it would be chosen; with it, zones are
    not compared by their free room, so one zone at a time is chosen from.
    """

    index: FreeCapacityIndex
    zones: frozenset[str] | None = None
    excluded_zones: frozenset[str] = frozenset()  # zones
    excluded_machines: frozenset[str] = frozenset()  # machines
    kinds: Callable[[MachineKind], bool] | None = None
    ready: Callable[[MachineView], bool] | None = None

    def within(self, zones: Iterable[str]) -> "MachineSelection":
        """Of these, the machines in some zones."""
        zones = frozenset(zones)
        return replace(self, zones=zones if self.zones is None else self.zones & zones)

    def outside(self, zones: Iterable[str]) -> "MachineSelection":
        """Of these, the machines in all other zones."""
        return replace(self, excluded_zones=self.excluded_zones | frozenset(zones))

    def of_kinds(self, kinds: Callable[[MachineKind], bool]) -> "MachineSelection":
        """Of these, the machines of such kinds."""
        before = self.kinds
        return replace(self, kinds=kinds if before is None else lambda kind: before(kind) and kinds(kind))

    def avoiding(self, names: Iterable[str]) -> "MachineSelection":
        """Of these, all others than those named; or all, if there are no others."""
        names = frozenset(names)
        others = replace(self, excluded_machines=self.excluded_machines | names)
        return others if any(True for _ in others) else self

    def __iter__(self) -> Iterator[MachineView]:
        for view in self.index.views():
            if self._admits_kind(MachineKind(view.zone, view.type, view.spot)) and self.admits(view):
                yield view

    def get(self, name: str | None) -> MachineView | None:
        """The view of a machine, if it is one of these."""
        view = self.index.view(name) if name is not None else None
        if view is None or not self._admits_kind(MachineKind(view.zone, view.type, view.spot)):
            return None
        return view if self.admits(view) else None

    def admits(self, view: MachineView) -> bool:
        """Whether a machine of a bucket is one of these."""
        return view.name not in self.excluded_machines and (self.ready is None or self.ready(view))

    def _admits_kind(self, kind: MachineKind) -> bool:
        return (
            (self.zones is None or kind.zone in self.zones)
            and kind.zone not in self.excluded_zones
            and (self.kinds is None or self.kinds(kind))
        )

    def by_kind(self, spec: JobSpec) -> Iterator[tuple[MachineKind, list[MachineBucket]]]:
        """Where at least one task of the job has room now, of each kind those with least free CPUs first."""
        least = (spec.cpus - SLACK,)
        for kind, buckets in self.index.kinds():
            if buckets and self._admits_kind(kind) and allowed(spec, kind.type, kind.zone, kind.spot):
                fitting = [b for order in buckets.irange(minimum=least) if (b := buckets[order]).fits(spec)]
                if fitting:
                    yield kind, fitting

    def buckets(self, spec: JobSpec) -> Iterator[MachineBucket]:
        """Where at least one task of the job has room now."""
        return (bucket for _, buckets in self.by_kind(spec) for bucket in buckets)

    def reserved(self) -> list[MachineView]:
        """The machines where something is held or kept for others."""
        names = [
            name
            for kind, buckets in self.index.kinds()
            if self._admits_kind(kind)
            for bucket in buckets.values()
            if bucket.profile.held_for or bucket.profile.kept
            for name in bucket.names
        ]
        return [view for name in names if self.admits(view := self.index.view(name))]

    def usable(self, spec: JobSpec) -> list[MachineView]:
        """The machines where at least one task of the job could start now."""
        views = (self.index.view(name) for bucket in self.buckets(spec) for name in bucket.names)
        return [view for view in views if self.admits(view)]

    def slots(self, spec: JobSpec, whole: bool) -> Counter[str]:
        """How many more tasks of the job each zone has room for now; of each machine only one, unless `whole`.

        Machines that are left out by name count as well.
        """
        slots: Counter[str] = Counter()
        for bucket in self.buckets(spec):
            each = self.index.view(bucket.names[0]).capacity(spec) if whole else 1
            slots[bucket.kind.zone] += each * len(bucket.names)
        return slots

    def free_cpus(self, bucket: MachineBucket) -> float:
        """What is free on the machines of a bucket together, those that are left out aside."""
        out = sum(1 for name in self.excluded_machines if name in bucket.names) if self.excluded_machines else 0
        return bucket.profile.cpus * (len(bucket.names) - out)


def selection_of(views: "Iterable[MachineView] | MachineSelection") -> MachineSelection:
    """All of these machines to choose from, indexed for this once if they are not yet."""
    return views if isinstance(views, MachineSelection) else FreeCapacityIndex(views).select_all()
