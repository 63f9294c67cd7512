"""The file of a scale run: counts, rates, load and faults, checked by field before anything starts."""

import tomllib
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

import fastjsonschema

from kelpjunction.clock import seconds
from kelpjunction.settings import CloudLimits, StoreLimits, Team, WorkerTimes

FAULTS = ("kill-leader", "freeze", "lose-rack", "lose-zone", "cut", "outage", "restart-workers")
SHAPES = {"array": "batch", "gang": "ensemble", "service": "service"}
BASE_MB = 45.0  # of memory, a process with this package imported
NODE_WORKER_MB = 0.06  # of a controller's memory, for each worker and the tasks on it
HOLLOW_WORKER_MB = 0.25
MEMORY_SHARE = 0.5
MOST_PROCESSES = 200

_COUNT = {"type": "integer", "minimum": 1}
_NUMBER = {"type": "number", "minimum": 0}
_SOME = {"type": "number", "exclusiveMinimum": 0}


def _table(fields: dict, required: tuple[str, ...] = ()) -> dict:
    return {"type": "object", "additionalProperties": False, "properties": fields, "required": list(required)}


_check = fastjsonschema.compile(
    _table(
        {
            "title": {"type": "string", "default": ""},
            "seconds": _SOME | {"maximum": 3600},
            "settle_s": _NUMBER | {"default": 15},
            "limit_s": _SOME | {"default": 900, "maximum": 7200},
            "seed": {"type": "integer", "default": 1},
            "controllers": _table(
                {"count": _COUNT | {"maximum": 50}, "max_sockets": _COUNT | {"default": 4000}}, ("count",)
            ),
            "workers": _table(
                {
                    "count": _COUNT | {"maximum": 10_000},
                    "zones": _COUNT | {"maximum": 26, "default": 3},
                    "processes": _COUNT | {"maximum": 100, "default": 1},
                    "cpus": _SOME | {"default": 16},
                    "memory_gb": _SOME | {"default": 64},
                    "rack": _COUNT | {"default": 40},
                    "report_s": _SOME | {"default": 3},
                    "lease_s": _SOME | {"default": 29},
                    "cancel_s": _SOME | {"default": 49},
                },
                ("count",),
            ),
            "state": _table(
                {
                    "rps": _SOME | {"default": 1000},
                    "write_rps": _SOME | {"default": 400},
                    "value_kb": _SOME | {"default": 16},
                    "txn_ops": _COUNT | {"default": 12},
                }
            ),
            "teams": _table(
                {
                    "count": _COUNT | {"default": 43},
                    "cpus": _NUMBER | {"default": 100},
                    "cpus_max": _SOME | {"default": 1000},
                }
            ),
            "load": {
                "type": "array",
                "minItems": 1,
                "items": _table(
                    {
                        "name": {"type": "string", "minLength": 1},
                        "shape": {"enum": list(SHAPES)},
                        "urgency": {"enum": ["prod", "high", "standard", "low"], "default": "standard"},
                        "initial": {"type": "integer", "minimum": 0, "default": 0},
                        "arrivals_per_s": _NUMBER | {"default": 0},
                        "tasks": _COUNT | {"maximum": 100_000},
                        "cpus": _SOME | {"default": 1},
                        "memory_gb": _SOME | {"default": 1},
                        "run_s": _SOME,
                        "cancelled": _NUMBER | {"maximum": 1, "default": 0},
                    },
                    ("name", "shape", "tasks", "run_s"),
                ),
            },
            "fault": {
                "type": "array",
                "default": [],
                "items": _table(
                    {"at_s": _NUMBER, "do": {"enum": list(FAULTS)}, "seconds": _NUMBER | {"default": 0}},
                    ("at_s", "do"),
                ),
            },
        },
        ("seconds", "controllers", "workers", "load"),
    )
)


class ScaleError(Exception):
    """A file that can't be played; the text names the field."""


@dataclass(frozen=True, slots=True)
class Workers:
    """The hollow workers: how many, where, and their machines' size."""

    count: int
    zones: tuple[str, ...]
    processes: int
    cpus: float
    memory_gb: float
    rack: int
    times: WorkerTimes


@dataclass(frozen=True, slots=True)
class Load:
    """One kind of job, and how often it comes."""

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
    """Something that fails, `at` so long after the start, for `lasting` where it ends by itself."""

    at: timedelta
    do: str
    lasting: timedelta


@dataclass(frozen=True, slots=True)
class ScalePlan:
    """All that a scale run is told."""

    title: str
    settle: timedelta  # from the first leader until the load comes: machines are found and workers heard
    lasting: timedelta
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
        """How many processes it will start, this one included."""
        return self.controllers + self.workers.processes + 2

    @property
    def memory_mb(self) -> float:
        """An estimate of the memory that all its processes take together."""
        nodes = self.controllers * (BASE_MB + NODE_WORKER_MB * self.workers.count)
        return nodes + (self.workers.processes + 2) * BASE_MB + HOLLOW_WORKER_MB * self.workers.count

    def check_bounds(self, memory_mb: float) -> None:
        """Refuse what this machine, of so much memory, should not be asked for; raises `ScaleError`."""
        if self.processes > MOST_PROCESSES:
            raise ScaleError(f"{self.processes} processes are wanted, at most {MOST_PROCESSES} may be started")
        if self.memory_mb > memory_mb * MEMORY_SHARE:
            raise ScaleError(
                f"some {self.memory_mb:.0f} MB are wanted, more than half of this machine's {memory_mb:.0f}"
            )


def load_plan(path: Path) -> ScalePlan:
    """Read and check a file; raises `ScaleError`, which names the field."""
    try:
        fields = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise ScaleError(str(error)) from error
    fields.setdefault("state", {})
    fields.setdefault("teams", {})
    try:
        fields = _check(fields)
    except fastjsonschema.JsonSchemaValueException as error:
        raise ScaleError(error.message.removeprefix("data.")) from error
    workers = fields["workers"]
    if workers["cancel_s"] <= workers["lease_s"]:
        raise ScaleError("workers.cancel_s must be above workers.lease_s")
    for number, kind in enumerate(fields["load"]):
        if kind["cpus"] > workers["cpus"] or kind["memory_gb"] > workers["memory_gb"]:
            raise ScaleError(f"load[{number}].cpus or memory_gb is more than a worker has")
        if kind["cpus"] * kind["tasks"] > fields["teams"]["cpus_max"] and kind["shape"] != "array":
            raise ScaleError(f"load[{number}].tasks is more than a team's limit allows at once")
    for number, fault in enumerate(fields["fault"]):
        if fault["at_s"] > fields["seconds"]:
            raise ScaleError(f"fault[{number}].at_s is after the end of the run")
    return _plan(fields)


def _plan(fields: dict) -> ScalePlan:
    workers, state, teams = fields["workers"], fields["state"], fields["teams"]
    report, lease, cancel = (seconds(workers[f"{name}_s"]) for name in ("report", "lease", "cancel"))
    return ScalePlan(
        title=fields["title"],
        settle=seconds(fields["settle_s"]),
        lasting=seconds(fields["seconds"]),
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
        ),
        store=StoreLimits(state["rps"], state["write_rps"], int(state["value_kb"] * 1024), state["txn_ops"]),
        cloud=CloudLimits(rps=4.0, list_lag=seconds(5)),
        teams=tuple(
            Team(f"team-{number:02}", teams["cpus"], 0.0, teams["cpus_max"], None) for number in range(teams["count"])
        ),
        loads=tuple(
            Load(
                kind["name"],
                SHAPES[kind["shape"]],
                kind["urgency"],
                kind["initial"],
                kind["arrivals_per_s"],
                kind["tasks"],
                kind["cpus"],
                kind["memory_gb"],
                seconds(kind["run_s"]),
                kind["cancelled"],
            )
            for kind in fields["load"]
        ),
        faults=tuple(
            Fault(seconds(fault["at_s"]), fault["do"], seconds(fault["seconds"]))
            for fault in sorted(fields["fault"], key=lambda fault: fault["at_s"])
        ),
    )
