"""Builds the machine views that placement chooses from, with the load of each machine subtracted."""

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


def expected_cached_images(images: Iterable[tuple[str, float]], cache_gb: float) -> set[str]:
    """The images that a machine's cache should still contain, given (image, GB) pairs, most recently used first."""
    kept: set[str] = set()
    for image, size in images:
        cache_gb -= size
        if cache_gb < 0:
            break
        kept.add(image)
    return kept


class ViewCache:
    """Machine views that are kept between rounds, with an index of their free capacity.

    A view is rebuilt only if its machine changed or a round wrote to the view.
    Rebuilding all views in each round took a third of a busy leader's time.
    """

    def __init__(
        self,
        changes: ChangeTracker,
        fleet: Fleet,
        machine_names: Callable[[], Iterable[str]],
        make_view: Callable[[str], MachineView | None],
    ) -> None:
        self._stale_machines = changes.subscribe()
        self._fleet = fleet
        self._machine_names = machine_names
        self._make_view = make_view
        self._free_capacity = FreeCapacityIndex()
        self._reservation_inputs: tuple = ()

    def invalidate(self, name: str) -> None:
        """Rebuild a machine's view in the next round, after a change that only the owner of this cache knows of."""
        self._stale_machines.add(name)

    def zone_of(self, name: str) -> str | None:
        """The zone of a machine, or None if the machine could not take work in the last round."""
        view = self._free_capacity.view(name)
        return None if view is None else view.zone

    def refreshed_views(self) -> MachineSelection:
        """All machines that can take work, without changes that an earlier round made to their views."""
        reservation_inputs = (self._fleet.catalog, [spec.needs for spec in self._fleet.recent_accelerator_specs])
        if reservation_inputs != self._reservation_inputs:
            # The capacity that each view reserves for accelerator work depends on these inputs.
            self._reservation_inputs = reservation_inputs
            self._free_capacity.clear()
            self._stale_machines.update(self._machine_names())
        stale = list(self._stale_machines)
        self._stale_machines.clear()
        for name in stale:
            view = self._make_view(name)
            if view is None:
                self._free_capacity.drop(name)
            else:
                view.on_write = self._on_view_written
                self._free_capacity.put(view)
        return self._free_capacity.select_all()

    def _on_view_written(self, name: str) -> None:
        self._stale_machines.add(name)
        self._free_capacity.mark_dirty(name)


def preemption_candidates(
    job_index: JobIndex,
    preemption_policy: PreemptionPolicy,
    specs: Iterable[JobSpec],
    make_victim: Callable[[Placement], Victim | None],
) -> dict[str, list[Victim]]:
    """Placements that could be preempted for at least one of these jobs, by machine.

    `make_victim` returns None for a placement that must not be preempted.
    """
    distinct_specs = {(s.priority, s.shape, preemption_policy.is_opportunistic(s)): s for s in specs}.values()
    victims: dict[str, list[Victim]] = {}
    for job in job_index.jobs.values():
        if job.counts.placed and any(preemption_policy.may_preempt(spec, job.spec) for spec in distinct_specs):
            for placement in job.placements():
                found = make_victim(placement)
                if found is not None:
                    victims.setdefault(placement.machine, []).append(found)
    return victims


def view_of(machine: Machine, type_: MachineType, images: Container[str], load: Load, fleet: Fleet) -> MachineView:
    """The view of one machine with its current free capacity and its reservations."""
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
    if type_.gpus and not fleet.recent_accelerator_specs and fleet.has_types_without_accelerators:
        # The needs of accelerator work are not known yet, so nearly the whole machine is reserved for it.
        view.reserve_for_gpu_work(type_.cpus * GPU_RESERVED_SHARE, type_.gpus, type_.memory * GPU_RESERVED_SHARE)
    for spec in fleet.recent_accelerator_specs:
        if type_fits(spec, type_) and allowed(spec, type_, view.zone, view.spot):
            view.reserve_for_job(spec)
    return view


def machines_that_fit_if_empty(spec: JobSpec, views: Iterable[MachineView]) -> list[MachineView]:
    """The machines that could run a task of the job if they were empty."""
    cpus, gpus = spec.cpus - SLACK, spec.gpus - SLACK
    # In a large fleet few machine types suit a gang.  The first two comparisons rule out most machines.
    return [
        v
        for v in views
        if v.type.cpus >= cpus
        and v.type.gpus >= gpus
        and allowed(spec, v.type, v.zone, v.spot)
        and type_fits(spec, v.type)
    ]


def with_services_only(view: MachineView, placements: Iterable[Placement]) -> MachineView:
    """The view of the machine as it will be once only the services on it are left."""
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
    views: MachineSelection,
    ignore_gang_reservation: Callable[[MachineView], bool] = lambda view: True,
    ignore_gpu_reserved: bool = True,
) -> Iterator[None]:
    """Suspend reservations of these machines within the `with` block.

    Reservations for gangs are suspended on the machines for which `ignore_gang_reservation` returns true.  Capacity
    reserved for accelerator work is suspended if `ignore_gpu_reserved` is true.  Capacity that is allocated within the
    block stays allocated.
    """
    reserved = [(v, v.held_for_gang, v.gpu_reserved_cpus, v.gpu_reserved_memory) for v in views.reserved()]
    for view, held_for, kept_cpus, kept_memory in reserved:
        now_held = None if held_for and ignore_gang_reservation(view) else held_for
        view.set_reservation(now_held, *((0.0, 0.0) if ignore_gpu_reserved else (kept_cpus, kept_memory)))
    try:
        yield
    finally:
        for view, *what in reserved:
            view.set_reservation(*what)


class CapacityCheck:
    """Checks quickly whether a job can have room at all; computes the room for each kind of need only once.

    It is meant for views whose reservations are suspended by `ignoring_reservations`.  Of the rules on how
    a job is spread over zones, it considers only that a gang may need a single zone.  So it only finds
    candidates.  A placement under `ignoring_reservations` makes the decision.
    """

    def __init__(self, views: MachineSelection) -> None:
        self._views = views
        self._slots_by_needs: dict[tuple, int] = {}

    def has_capacity(self, spec: JobSpec, tasks: int) -> bool:
        """Whether `tasks` tasks of the job have room at the same time."""
        needs = (*spec.needs, spec.one_zone)
        if needs not in self._slots_by_needs:
            slots = self._views.slots(spec, count_all=tasks > 1)
            self._slots_by_needs[needs] = max(slots.values(), default=0) if spec.one_zone else slots.total()
        return self._slots_by_needs[needs] >= tasks


def count_by_zone_and_machine(job: Job) -> tuple[Counter, Counter]:
    """Number of the job's tasks by zone, including dispatched ones, and by machine."""
    tasks_by_zone: Counter = Counter()
    tasks_by_machine: Counter = Counter()
    for placement in job.placements():
        tasks_by_zone[placement.zone] += 1
        tasks_by_machine[placement.machine] += 1
    for _, target in job.unstarted_dispatches():
        tasks_by_zone[target.zone] += 1
    return tasks_by_zone, tasks_by_machine
