"""Machines as placement sees them, with what stands on them taken off."""

from collections import Counter
from collections.abc import Callable, Container, Iterable, Iterator
from contextlib import contextmanager

from kelpjunction.changes import ChangeTracker
from kelpjunction.fleet.cloud import Fleet
from kelpjunction.fleet.machines import Machine
from kelpjunction.jobs.job_index import Job, JobIndex, Load, Placement
from kelpjunction.placement import SLACK, FreeCapacityIndex, MachineSelection, MachineView, Victim, allowed, type_fits
from kelpjunction.queue import PreemptionPolicy
from kelpjunction.wire.messages import JobSpec, MachineType, Shape

GPU_RESERVED_SHARE = 0.9


def cached(images: Iterable[tuple[str, float]], cache_gb: float) -> set[str]:
    """Images a machine should still have: of these, most recently used first, as many as its cache takes."""
    kept: set[str] = set()
    for image, size in images:
        cache_gb -= size
        if cache_gb < 0:
            break
        kept.add(image)
    return kept


class ViewCache:
    """Views that are kept from one round to the next, with the index of the free room on them.

    Only those are made anew whose machine changed or that a round wrote to:
    making all of them for each round took a third of a busy leader's time.
    """

    def __init__(
        self,
        changes: ChangeTracker,
        fleet: Fleet,
        names: Callable[[], Iterable[str]],
        make: Callable[[str], MachineView | None],
    ) -> None:
        self._stale = changes.subscribe()
        self._fleet = fleet
        self._names = names
        self._make = make
        self._room = FreeCapacityIndex()
        self._basis: tuple = ()

    def invalidate(self, name: str) -> None:
        """Have a machine's view made anew: something changed that only the owner of these views knows of."""
        self._stale.add(name)

    def zone_of(self, name: str) -> str | None:
        """The zone of a machine that could take work in the last round."""
        view = self._room.view(name)
        return None if view is None else view.zone

    def fresh(self) -> MachineSelection:
        """All machines that can take work, none with anything left of an earlier round."""
        basis = (self._fleet.catalog, [spec.needs for spec in self._fleet.recent_accelerator_specs])
        if basis != self._basis:
            # What is kept free for others on a machine hangs on these.
            self._basis = basis
            self._room.clear()
            self._stale.update(self._names())
        stale = list(self._stale)
        self._stale.clear()
        for name in stale:
            view = self._make(name)
            if view is None:
                self._room.drop(name)
            else:
                view.on_write = self._written_to
                self._room.put(view)
        return self._room.select_all()

    def _written_to(self, name: str) -> None:
        self._stale.add(name)
        self._room.mark_dirty(name)


def preemption_candidates(
    job_index: JobIndex,
    preemption_policy: PreemptionPolicy,
    for_: Iterable[JobSpec],
    victim: Callable[[Placement], Victim | None],
) -> dict[str, list[Victim]]:
    """What could be stopped for any of these jobs, by machine; `victim` may leave placements out."""
    kinds = {(s.priority, s.shape, preemption_policy.is_opportunistic(s)): s for s in for_}.values()
    victims: dict[str, list[Victim]] = {}
    for job in job_index.jobs.values():
        if job.counts.placed and any(preemption_policy.may_preempt(spec, job.spec) for spec in kinds):
            for placement in job.placements():
                found = victim(placement)
                if found is not None:
                    victims.setdefault(placement.machine, []).append(found)
    return victims


def view_of(machine: Machine, type_: MachineType, images: Container[str], load: Load, fleet: Fleet) -> MachineView:
    """One machine with what is free on it now."""
    view = MachineView(
        machine.name,
        type_,
        machine.zone,
        machine.spot,
        type_.cpus - load.cpus,
        type_.gpus - load.gpus,
        type_.memory - load.memory,
        images=images,
        fetching_images={image for image, n in load.images.items() if n} if load.placements else set(),
        tasks=len(load.placements),
        suspected=machine.suspected,
    )
    if type_.gpus and not fleet.recent_accelerator_specs and fleet.plain_types:
        # What accelerator work needs is not known yet: leave it nearly all.
        view.reserve_for_gpu_work(type_.cpus * GPU_RESERVED_SHARE, type_.gpus, type_.memory * GPU_RESERVED_SHARE)
    for spec in fleet.recent_accelerator_specs:
        if type_fits(spec, type_) and allowed(spec, type_, view.zone, view.spot):
            view.reserve_for_job(spec)
    return view


def fitting(spec: JobSpec, views: Iterable[MachineView]) -> list[MachineView]:
    """The machines that could run a task of the job if nothing stood on them."""
    cpus, gpus = spec.cpus - SLACK, spec.gpus - SLACK
    # Of a large fleet few types are right for a gang: these two rule out most.
    return [
        v
        for v in views
        if v.type.cpus >= cpus
        and v.type.gpus >= gpus
        and allowed(spec, v.type, v.zone, v.spot)
        and type_fits(spec, v.type)
    ]


def able_for(job: Job, views: MachineSelection) -> MachineSelection:
    """The machines where no task of the job has failed, or all of them if it failed on each."""
    return views.avoiding(job.failed_on) if job.failed_on else views


def with_services_only(view: MachineView, placements: Iterable[Placement]) -> MachineView:
    """The machine as it will be when all but the services on it have ended."""
    empty = MachineView(
        view.name,
        view.type,
        view.zone,
        view.spot,
        view.type.cpus,
        view.type.gpus,
        view.type.memory,
        images=view.images,
        suspected=view.suspected,
        held_for_gang=view.held_for_gang,
        hold_excludes_arrays=view.hold_excludes_arrays,
    )
    for placement in placements:
        if placement.spec.shape is Shape.SERVICE:
            empty.allocate(placement.spec)
    return empty


@contextmanager
def ignoring_reservations(
    views: MachineSelection, which: Callable[[MachineView], bool] = lambda view: True, kept: bool = True
) -> Iterator[None]:
    """What is held on `which` of these machines does not count meanwhile, nor what is `gpu_reserved`.

    What is taken stays."""
    reserved = [(v, v.held_for_gang, v.gpu_reserved_cpus, v.gpu_reserved_memory) for v in views.reserved()]
    for view, held_for, kept_cpus, kept_memory in reserved:
        now_held = None if held_for and which(view) else held_for
        view.set_reservation(now_held, *((0.0, 0.0) if kept else (kept_cpus, kept_memory)))
    try:
        yield
    finally:
        for view, *what in reserved:
            view.set_reservation(*what)


class RoomCheck:
    """Whether there is room for a job at all, whatever is held or kept there; each kind of need is reckoned once.

    Of a job's zone rules only the one zone of a gang counts: `ignoring_reservations` and
    a placement decide what this only looks for.
    """

    def __init__(self, views: MachineSelection) -> None:
        self._views = views
        self._known: dict[tuple, int] = {}

    def has_room(self, spec: JobSpec, tasks: int) -> bool:
        """Whether so many tasks at once have room."""
        needs = (*spec.needs, spec.one_zone)
        if needs not in self._known:
            slots = self._views.slots(spec, whole=tasks > 1)
            self._known[needs] = max(slots.values(), default=0) if spec.one_zone else slots.total()
        return self._known[needs] >= tasks


def count_by_zone_and_machine(job: Job) -> tuple[Counter, Counter]:
    """How many of the job's tasks each zone and each machine has, handed ones included."""
    zones: Counter = Counter()
    mates: Counter = Counter()
    for placement in job.placements():
        zones[placement.zone] += 1
        mates[placement.machine] += 1
    for _, handed in job.unstarted_dispatches():
        zones[handed.zone] += 1
    return zones, mates
