"""The view of a machine that placement works on, and the rules for which machines a job may use."""

from collections import Counter
from collections.abc import Callable, Container
from dataclasses import dataclass, field

from kelpjunction.wire.messages import JobSpec, MachineType

SLACK = 1e-6  # tolerance when sums of floating-point resources are compared
REMAINING_FETCH_FRACTION = 0.6  # mean part of a fetch that remains when it is in progress


@dataclass(slots=True, eq=False)
class MachineView:
    """A machine as placement sees it: free resources, images and reservations."""

    name: str
    type: MachineType
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory: float
    images: Container[str] = ()
    fetching_images: set[str] = field(default_factory=set)
    tasks: int = 0
    suspected: bool = False
    held_for_gang: str | None = None
    hold_excludes_arrays: bool = False  # whether the hold also bars arrays that would preempt others here
    on_write: Callable[[str], None] | None = None  # called with the name when a round writes to this view
    # Work without accelerators must leave these resources free, because work
    # that needs accelerators can't run elsewhere.
    gpu_reserved: bool = False
    gpu_reserved_cpus: float = 0.0
    gpu_reserved_memory: float = 0.0

    def fits(self, spec: JobSpec) -> bool:
        """Whether this machine has room for one more task of the job, reservations for accelerator work respected."""
        needs_no_gpu = spec.gpus <= 0
        return (
            self.cpus + SLACK >= spec.cpus + (self.gpu_reserved_cpus if needs_no_gpu else 0.0)
            and self.gpus + SLACK >= spec.gpus
            and self.memory + SLACK >= spec.memory + (self.gpu_reserved_memory if needs_no_gpu else 0.0)
        )

    def fits_ignoring_reservations(self, spec: JobSpec) -> bool:
        """Whether this machine has room for one more task of the job if reservations are ignored."""
        return self.cpus + SLACK >= spec.cpus and self.gpus + SLACK >= spec.gpus and self.memory + SLACK >= spec.memory

    def reserve_for_job(self, spec: JobSpec) -> None:
        """Reserve room for one task of a job that can't run elsewhere."""
        self.reserve_for_gpu_work(spec.cpus, spec.gpus, spec.memory)

    def reserve_for_gpu_work(self, cpus: float, gpus: float, memory: float) -> None:
        """Reserve CPUs and memory for work that needs accelerators, if that many accelerators are free here."""
        self.gpu_reserved = True
        if self.gpus + SLACK >= gpus:
            self.gpu_reserved_cpus = max(self.gpu_reserved_cpus, cpus)
            self.gpu_reserved_memory = max(self.gpu_reserved_memory, memory)

    def capacity(self, spec: JobSpec) -> int:
        """How many more tasks of the job this machine has room for."""
        needs_no_gpu = spec.gpus <= 0
        slots = 1_000_000
        for free, per_task in (
            (self.cpus - (self.gpu_reserved_cpus if needs_no_gpu else 0.0), spec.cpus),
            (self.gpus, spec.gpus),
            (self.memory - (self.gpu_reserved_memory if needs_no_gpu else 0.0), spec.memory),
        ):
            if per_task > 0:
                slots = min(slots, int((free + SLACK) / per_task))
        return max(0, slots)

    def hold_for_gang(self, ref: str, exclude_arrays: bool = False) -> None:
        """Hold this machine for a gang: no job behind it in the order starts here.

        With `exclude_arrays`, arrays can't preempt others here either.
        """
        self.held_for_gang, self.hold_excludes_arrays = ref, exclude_arrays
        self._notify_write()

    def set_reservation(self, held_for_gang: str | None, reserved_cpus: float, reserved_memory: float) -> None:
        """Set the gang hold and the reservation, to ignore them for a while or to restore them."""
        self.held_for_gang, self.gpu_reserved_cpus, self.gpu_reserved_memory = (
            held_for_gang,
            reserved_cpus,
            reserved_memory,
        )
        self._notify_write()

    def _notify_write(self) -> None:
        if self.on_write is not None:
            self.on_write(self.name)

    def allocate(self, spec: JobSpec, count: int = 1) -> None:
        self._notify_write()
        self.cpus -= spec.cpus * count
        self.gpus -= spec.gpus * count
        self.memory -= spec.memory * count
        self.tasks += count
        if spec.image not in self.images:
            self.fetching_images.add(spec.image)

    def release(self, spec: JobSpec, count: int = 1) -> None:
        self._notify_write()
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
    """Whether the job's rules admit machines of this type, zone and price kind (spot or not)."""
    return (
        (spec.types is None or type_.name in spec.types)
        and (spec.zone is None or spec.zone == zone)
        and (spec.spot or not spot)
    )


def zone_room(spec: JobSpec, zones: Counter, zone: str) -> int:
    """How many more tasks the job's zone rules admit in a zone, given its task counts by zone."""
    if spec.one_zone and zones and any(z != zone and n > 0 for z, n in zones.items()):
        return 0
    if spec.spread:
        return max(0, -(-spec.tasks // 2) - zones[zone])
    return spec.tasks


def full_fetch_seconds(spec: JobSpec, type_: MachineType) -> float:
    """Seconds that a machine of this type takes to fetch the job's whole image."""
    return spec.image_gb / max(type_.fetch_gb_per_s, 1e-3)


def fetch_cost(spec: JobSpec, view: MachineView) -> float:
    """Seconds that a task would wait for its image on this machine."""
    if spec.image in view.images:
        return 0.0
    full_fetch = full_fetch_seconds(spec, view.type)
    return full_fetch * REMAINING_FETCH_FRACTION if spec.image in view.fetching_images else full_fetch
