"""The plan file of a scale run: counts, rates, load and faults, validated before anything starts."""

import tomllib
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

import fastjsonschema

from kelpjunction.clock import seconds
from kelpjunction.settings import CloudLimits, StoreLimits, Team, WorkerTimes

FAULTS = ("kill-leader", "freeze", "lose-rack", "lose-zone", "cut", "outage", "restart-workers")
SHAPES = {"array": "batch", "gang": "ensemble", "service": "service"}
PROCESS_MB = 45.0  # memory of a process that has imported this package
NODE_MB_PER_WORKER = 0.06  # memory in a controller for each worker and the tasks on it
HOLLOW_MB_PER_WORKER = 0.25
MAX_MEMORY_SHARE = 0.5  # of the machine's memory, for all processes of a run
MAX_PROCESSES = 200

_POSITIVE_INTEGER = {"type": "integer", "minimum": 1}
_NON_NEGATIVE = {"type": "number", "minimum": 0}
_POSITIVE = {"type": "number", "exclusiveMinimum": 0}


def _object_schema(fields: dict, required: tuple[str, ...] = ()) -> dict:
    return {"type": "object", "additionalProperties": False, "properties": fields, "required": list(required)}


_validated = fastjsonschema.compile(
    _object_schema(
        {
            "title": {"type": "string", "default": ""},
            "seconds": _POSITIVE | {"maximum": 3600},
            "settle_s": _NON_NEGATIVE | {"default": 15},
            "limit_s": _POSITIVE | {"default": 900, "maximum": 7200},
            "seed": {"type": "integer", "default": 1},
            "controllers": _object_schema(
                {"count": _POSITIVE_INTEGER | {"maximum": 50}, "max_sockets": _POSITIVE_INTEGER | {"default": 4000}},
                ("count",),
            ),
            "workers": _object_schema(
                {
                    "count": _POSITIVE_INTEGER | {"maximum": 10_000},
                    "zones": _POSITIVE_INTEGER | {"maximum": 26, "default": 3},
                    "processes": _POSITIVE_INTEGER | {"maximum": 100, "default": 1},
                    "cpus": _POSITIVE | {"default": 16},
                    "memory_gb": _POSITIVE | {"default": 64},
                    "rack": _POSITIVE_INTEGER | {"default": 40},
                    "report_s": _POSITIVE | {"default": 3},
                    "lease_s": _POSITIVE | {"default": 29},
                    "cancel_s": _POSITIVE | {"default": 49},
                    "command_copies": _NON_NEGATIVE | {"maximum": 1, "default": 0},
                },
                ("count",),
            ),
            "state": _object_schema(
                {
                    "rps": _POSITIVE | {"default": 1000},
                    "write_rps": _POSITIVE | {"default": 400},
                    "value_kb": _POSITIVE | {"default": 16},
                    "txn_ops": _POSITIVE_INTEGER | {"default": 12},
                }
            ),
            "teams": _object_schema(
                {
                    "count": _POSITIVE_INTEGER | {"default": 43},
                    "cpus": _NON_NEGATIVE | {"default": 100},
                    "cpus_max": _POSITIVE | {"default": 1000},
                }
            ),
            "load": {
                "type": "array",
                "minItems": 1,
                "items": _object_schema(
                    {
                        "name": {"type": "string", "minLength": 1},
                        "shape": {"enum": list(SHAPES)},
                        "urgency": {"enum": ["prod", "high", "standard", "low"], "default": "standard"},
                        "initial": {"type": "integer", "minimum": 0, "default": 0},
                        "arrivals_per_s": _NON_NEGATIVE | {"default": 0},
                        "tasks": _POSITIVE_INTEGER | {"maximum": 100_000},
                        "cpus": _POSITIVE | {"default": 1},
                        "memory_gb": _POSITIVE | {"default": 1},
                        "run_s": _POSITIVE,
                        "cancelled": _NON_NEGATIVE | {"maximum": 1, "default": 0},
                    },
                    ("name", "shape", "tasks", "run_s"),
                ),
            },
            "fault": {
                "type": "array",
                "default": [],
                "items": _object_schema(
                    {"at_s": _NON_NEGATIVE, "do": {"enum": list(FAULTS)}, "seconds": _NON_NEGATIVE | {"default": 0}},
                    ("at_s", "do"),
                ),
            },
        },
        ("seconds", "controllers", "workers", "load"),
    )
)


class ScaleError(Exception):
    """A plan file that can't be played; the text names the cause, which is usually a field."""


@dataclass(frozen=True, slots=True)
class Workers:
    """The hollow workers: their number, zones and processes, and the size of their machines."""

    count: int
    zones: tuple[str, ...]
    processes: int
    cpus: float
    memory_gb: float
    rack: int
    times: WorkerTimes
    command_copies: float  # share of the requests with commands of which a copy arrives later


@dataclass(frozen=True, slots=True)
class Load:
    """One kind of job, and how often it is submitted."""

    name: str
    shape: str
    urgency: str
    initial: int
    arrivals_per_s: float
    tasks: int
    cpus: float
    memory_gb: float
    run: timedelta
    cancelled: float


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault, injected `at` after the start of the load; it ends after `duration`, if it is of a kind that ends."""

    at: timedelta
    do: str
    duration: timedelta


@dataclass(frozen=True, slots=True)
class ScalePlan:
    """The settings of a scale run."""

    title: str
    settle: timedelta  # from the first leader to the load, in which machines are found and workers report
    duration: timedelta
    limit: timedelta
    seed: int
    controllers: int
    max_sockets: int
    workers: Workers
    store: StoreLimits
    cloud: CloudLimits
    teams: tuple[Team, ...]
    loads: tuple[Load, ...]
    faults: tuple[Fault, ...]

    @property
    def processes(self) -> int:
        """The number of processes of the run, this one included."""
        return self.controllers + self.workers.processes + 2

    @property
    def memory_mb(self) -> float:
        """An estimate of the total memory of all processes of the run."""
        nodes = self.controllers * (PROCESS_MB + NODE_MB_PER_WORKER * self.workers.count)
        return nodes + (self.workers.processes + 2) * PROCESS_MB + HOLLOW_MB_PER_WORKER * self.workers.count

    def check_bounds(self, memory_mb: float) -> None:
        """Raise `ScaleError` if the plan needs too many processes, or too much for a machine with `memory_mb` MB."""
        if self.processes > MAX_PROCESSES:
            raise ScaleError(f"the plan needs {self.processes} processes, at most {MAX_PROCESSES} are allowed")
        if self.memory_mb > memory_mb * MAX_MEMORY_SHARE:
            raise ScaleError(
                f"the plan needs about {self.memory_mb:.0f} MB, more than half of this machine's {memory_mb:.0f}"
            )


def load_plan(path: Path) -> ScalePlan:
    """Read and validate a plan file; raises `ScaleError`."""
    try:
        fields = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise ScaleError(str(error)) from error
    fields.setdefault("state", {})
    fields.setdefault("teams", {})
    try:
        fields = _validated(fields)
    except fastjsonschema.JsonSchemaValueException as error:
        raise ScaleError(error.message.removeprefix("data.")) from error
    workers = fields["workers"]
    if workers["cancel_s"] <= workers["lease_s"]:
        raise ScaleError("workers.cancel_s must be above workers.lease_s")
    for number, load in enumerate(fields["load"]):
        if load["cpus"] > workers["cpus"] or load["memory_gb"] > workers["memory_gb"]:
            raise ScaleError(f"load[{number}].cpus or memory_gb is above that of a worker")
        if load["cpus"] * load["tasks"] > fields["teams"]["cpus_max"] and load["shape"] != "array":
            raise ScaleError(f"load[{number}].tasks is more than a team's limit allows at once")
    for number, fault in enumerate(fields["fault"]):
        if fault["at_s"] > fields["seconds"]:
            raise ScaleError(f"fault[{number}].at_s is after the end of the run")
    return _plan_from(fields)


def _plan_from(fields: dict) -> ScalePlan:
    workers, state, teams = fields["workers"], fields["state"], fields["teams"]
    report, lease, cancel = (seconds(workers[f"{name}_s"]) for name in ("report", "lease", "cancel"))
    return ScalePlan(
        title=fields["title"],
        settle=seconds(fields["settle_s"]),
        duration=seconds(fields["seconds"]),
        limit=seconds(fields["limit_s"]),
        seed=fields["seed"],
        controllers=fields["controllers"]["count"],
        max_sockets=fields["controllers"]["max_sockets"],
        workers=Workers(
            workers["count"],
            tuple("abcdefghijklmnopqrstuvwxyz"[: workers["zones"]]),
            workers["processes"],
            workers["cpus"],
            workers["memory_gb"],
            workers["rack"],
            WorkerTimes(report, lease, gang_wait=seconds(35), gang_peer=seconds(6), cancel=cancel),
            workers["command_copies"],
        ),
        store=StoreLimits(state["rps"], state["write_rps"], int(state["value_kb"] * 1024), state["txn_ops"]),
        cloud=CloudLimits(rps=4.0, list_lag=seconds(5)),
        teams=tuple(
            Team(f"team-{number:02}", teams["cpus"], 0.0, teams["cpus_max"], None) for number in range(teams["count"])
        ),
        loads=tuple(
            Load(
                load["name"],
                SHAPES[load["shape"]],
                load["urgency"],
                load["initial"],
                load["arrivals_per_s"],
                load["tasks"],
                load["cpus"],
                load["memory_gb"],
                seconds(load["run_s"]),
                load["cancelled"],
            )
            for load in fields["load"]
        ),
        faults=tuple(
            Fault(seconds(fault["at_s"]), fault["do"], seconds(fault["seconds"]))
            for fault in sorted(fields["fault"], key=lambda fault: fault["at_s"])
        ),
    )
