"""The values that messages carry, under the standard terms of the field."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum, IntEnum
from typing import NamedTuple


class Shape(Enum):
    """The kind of a job: independent tasks, tasks that all run at once, or replicas."""

    ARRAY = "array"
    GANG = "gang"
    SERVICE = "service"


class Priority(IntEnum):
    """A job's priority: jobs of a larger number may preempt those of a smaller one."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    PRODUCTION = 3


class TaskState(Enum):
    """A task's state as its machine reports it."""

    FETCHING = "fetching"
    WAITING = "waiting"
    RUNNING = "running"
    SAVING = "saving"
    EXITED = "exited"


class ExitCause(Enum):
    """Why a task exited."""

    DONE = "done"
    STOPPED = "stopped"
    PEERS_GONE = "mates gone"
    GANG_INCOMPLETE = "gang incomplete"
    ERROR = "error"
    INSUFFICIENT_RESOURCES = "no room"
    IN_USE = "in use"
    UNKNOWN = "unknown"
    MACHINE_LOST = "machine lost"  # never on the wire: set by the controllers


class JobPhase(Enum):
    """A job's state as a user sees it."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as its user described it."""

    ref: str
    klass: str
    team: str
    shape: Shape
    priority: Priority
    tasks: int
    cpus: float
    gpus: float
    memory: float  # in GB
    image: str
    image_gb: float
    types: tuple[str, ...] | None
    zone: str | None
    one_zone: bool
    spread: bool
    spot: bool
    estimate: timedelta
    checkpoint: timedelta
    save: timedelta
    deadline: timedelta | None

    @property
    def needs(self) -> tuple:
        """What a task requires of its machine: jobs with equal needs fit on the same machines."""
        return self.types, self.zone, self.spot, self.cpus, self.gpus, self.memory


class TaskId(NamedTuple):
    """One task of a job."""

    ref: str
    index: int

    def __str__(self) -> str:
        return f"{self.ref}/{self.index}"


class TaskReport(NamedTuple):
    """One task as a machine reports it."""

    task: TaskId
    attempt: int
    state: TaskState
    cause: ExitCause | None
    saved: bool


@dataclass(frozen=True, slots=True)
class Report:
    """A worker's periodic report about its machine."""

    machine: str
    address: str
    type: str
    zone: str
    spot: bool
    session: int
    sequence: int
    token: int
    termination_notice: timedelta | None
    tasks: tuple[TaskReport, ...]


class Verb(Enum):
    """The kinds of commands to a worker."""

    START = "start"
    STOP = "stop"
    FORGET = "forget"


class Command(NamedTuple):
    """One command to a worker."""

    verb: Verb
    task: TaskId
    attempt: int
    grace: timedelta = timedelta()


@dataclass(frozen=True, slots=True)
class MachineType:
    """One entry of the cloud's catalog."""

    name: str
    cpus: float
    gpus: float
    memory: float  # in GB
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot: timedelta
    zones: tuple[str, ...]


class ListedMachine(NamedTuple):
    """One entry of the cloud's machine list."""

    machine: str
    address: str
    type: str
    zone: str
    spot: bool
    state: str  # booting, running or failed
    age: timedelta
