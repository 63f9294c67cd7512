"""A machine as placement sees it, and what a job may use."""

from collections import Counter
from collections.abc import Callable, Container
from dataclasses import dataclass, field

from kelpjunction.wire.messages import JobSpec, MachineType

SLACK = 1e-6
FETCHING_SHARE = 0.6  # of a fetch, what is left of it on the mean if it is under way


@dataclass(slots=True, eq=False)
class MachineView:
    """A machine as placement sees it."""

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
    hold_excludes_arrays: bool = False  # whether that keeps off arrays too that would else have others stopped
    on_write: Callable[[str], None] | None = None  # told the name when a round writes to this view
    # What work that needs no accelerator must leave free here, since work
    # that needs one can go nowhere else.
    gpu_reserved: bool = False
    gpu_reserved_cpus: float = 0.0
    gpu_reserved_memory: float = 0.0

    def fits(self, spec: JobSpec) -> bool:
        """Whether one more task of this job has room here."""
        guest = spec.gpus <= 0
        return (
            self.cpus + SLACK >= spec.cpus + (self.gpu_reserved_cpus if guest else 0.0)
            and self.gpus + SLACK >= spec.gpus
            and self.memory + SLACK >= spec.memory + (self.gpu_reserved_memory if guest else 0.0)
        )

    def fits_ignoring_reservations(self, spec: JobSpec) -> bool:
        """Whether one more task has room here, if nothing is kept for others."""
        return self.cpus + SLACK >= spec.cpus and self.gpus + SLACK >= spec.gpus and self.memory + SLACK >= spec.memory

    def reserve_for_job(self, spec: JobSpec) -> None:
        """Leave room here for one task of a job that has nowhere else to go."""
        self.reserve_for_gpu_work(spec.cpus, spec.gpus, spec.memory)

    def reserve_for_gpu_work(self, cpus: float, gpus: float, memory: float) -> None:
        """Leave this much free here for work that needs accelerators, while they are free."""
        self.gpu_reserved = True
        if self.gpus + SLACK >= gpus:
            self.gpu_reserved_cpus = max(self.gpu_reserved_cpus, cpus)
            self.gpu_reserved_memory = max(self.gpu_reserved_memory, memory)

    def capacity(self, spec: JobSpec) -> int:
        """How many tasks of this job have room here."""
        guest = spec.gpus <= 0
        room = 1_000_000
        for free, each in (
            (self.cpus - (self.gpu_reserved_cpus if guest else 0.0), spec.cpus),
            (self.gpus, spec.gpus),
            (self.memory - (self.gpu_reserved_memory if guest else 0.0), spec.memory),
        ):
            if each > 0:
                room = min(room, int((free + SLACK) / each))
        return max(0, room)

    def hold_for_gang(self, ref: str, exclude_arrays: bool = False) -> None:
        """Keep this machine for a gang: nothing below it in the order starts here; if `exclude_arrays`, no array."""
        self.held_for_gang, self.hold_excludes_arrays = ref, exclude_arrays
        self._notify_write()

    def set_reservation(self, held_for: str | None, kept_cpus: float, kept_memory: float) -> None:
        """Set what is held and kept here, as it was before or for as long as one looks beside it."""
        self.held_for_gang, self.gpu_reserved_cpus, self.gpu_reserved_memory = held_for, kept_cpus, kept_memory
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


def whole_fetch(spec: JobSpec, type_: MachineType) -> float:
    """Seconds that a machine of this type takes to fetch the job's image."""
    return spec.image_gb / max(type_.fetch_gb_per_s, 1e-3)


def fetch_cost(spec: JobSpec, view: MachineView) -> float:
    """Seconds that a task would wait for its image here."""
    if spec.image in view.images:
        return 0.0
    whole = whole_fetch(spec, view.type)
    return whole * FETCHING_SHARE if spec.image in view.fetching_images else whole
