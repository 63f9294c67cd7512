"""Messages between users and controllers."""

import re
from typing import Any

import fastjsonschema
import orjson

from kelpjunction.clock import seconds
from kelpjunction.wire.messages import JobPhase, JobSpec, Priority, Shape

MAX_BODY_BYTES = 64 * 1024
JOBS_PATH = "/api/jobs"
HEALTH_PATH = "/healthz"
ABORT_SUFFIX = "/abort"

_REF = re.compile(r"j-[0-9]{1,30}\Z")
_SHAPES = {"batch": Shape.ARRAY, "ensemble": Shape.GANG, "service": Shape.SERVICE}
_PRIORITIES = {
    "prod": Priority.PRODUCTION,
    "high": Priority.HIGH,
    "standard": Priority.NORMAL,
    "low": Priority.LOW,
}
_PHASES = {
    JobPhase.QUEUED: "pending",
    JobPhase.RUNNING: "running",
    JobPhase.DONE: "done",
    JobPhase.CANCELLED: "withdrawn",
}

_name = {"type": "string", "minLength": 1, "maxLength": 200}
_amount = {"type": "number", "minimum": 0, "maximum": 1e9}
_flag = {"type": "boolean"}
# Fields that a submission may leave out: PROTOCOL allows this only for fields that may be null.
_NULLABLE = ("hulls", "bay", "due_s")

_fields = {
    "stripe": _name,
    "crew": _name,
    "shape": {"enum": list(_SHAPES)},
    "urgency": {"enum": list(_PRIORITIES)},
    "fronds": {"type": "integer", "minimum": 1, "maximum": 100_000},
    "cpus": _amount,
    "accelerators": _amount,
    "ram_gb": _amount,
    "bundle": _name,
    "image_gb": _amount,
    "hulls": {"type": ["array", "null"], "items": _name, "maxItems": 1000},
    "bay": {"type": ["string", "null"], "maxLength": 200},
    "together": _flag,
    "apart": _flag,
    "driftwood": _flag,
    "expect_s": _amount,
    "mark_s": _amount,
    "stow_s": _amount,
    "due_s": {"type": ["number", "null"], "minimum": 0, "maximum": 1e9},
}
_check_job = fastjsonschema.compile(
    {"type": "object", "required": [name for name in _fields if name not in _NULLABLE], "properties": _fields}
)


class MalformedMessage(Exception):
    """A message that violates the protocol; the text names the field."""


def valid_ref(ref: Any) -> bool:
    """Whether this value has the form of a job's id."""
    return isinstance(ref, str) and _REF.match(ref) is not None


def parse_object(body: bytes) -> dict:
    """Parse a body as a JSON object; raises `MalformedMessage`."""
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise MalformedMessage(f"body is not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise MalformedMessage("body must be an object")
    return fields


def parse_job(fields: dict) -> JobSpec:
    """Parse a submission's fields as a job; raises `MalformedMessage`, which names the first wrong field."""
    if not valid_ref(fields.get("ref")):
        raise MalformedMessage("ref must look like j-000412")
    try:
        _check_job(fields)
    except fastjsonschema.JsonSchemaValueException as error:
        raise MalformedMessage(error.message.removeprefix("data.")) from error
    return job_from_fields(fields)


def job_from_fields(fields: dict) -> JobSpec:
    """Build a job from stored fields without a check.

    They were checked when they were accepted, perhaps by an older version that required fewer fields.
    """
    types = fields.get("hulls")
    deadline = fields.get("due_s")
    return JobSpec(
        ref=fields["ref"],
        klass=fields["stripe"],
        team=fields["crew"],
        shape=_SHAPES[fields["shape"]],
        priority=_PRIORITIES[fields["urgency"]],
        tasks=int(fields["fronds"]),
        cpus=float(fields["cpus"]),
        gpus=float(fields.get("accelerators") or 0),
        memory=float(fields["ram_gb"]),
        image=fields["bundle"],
        image_gb=float(fields.get("image_gb") or 0),
        types=None if types is None else tuple(types),
        zone=fields.get("bay") or None,
        one_zone=bool(fields.get("together")),
        spread=bool(fields.get("apart")),
        spot=bool(fields.get("driftwood")),
        estimate=seconds(fields.get("expect_s") or 0),
        checkpoint=seconds(fields.get("mark_s") or 0),
        save=seconds(fields.get("stow_s") or 0),
        deadline=None if deadline is None else seconds(deadline),
    )


def fields_from_job(spec: JobSpec) -> dict:
    """A job as submission fields, the inverse of `parse_job`."""
    return {
        "ref": spec.ref, "stripe": spec.klass, "crew": spec.team,
        "shape": next(name for name, known in _SHAPES.items() if known is spec.shape),
        "urgency": next(name for name, known in _PRIORITIES.items() if known is spec.priority),
        "fronds": spec.tasks, "cpus": spec.cpus, "accelerators": spec.gpus, "ram_gb": spec.memory,
        "bundle": spec.image, "image_gb": spec.image_gb,
        "hulls": None if spec.types is None else list(spec.types), "bay": spec.zone, "together": spec.one_zone,
        "apart": spec.spread, "driftwood": spec.spot, "expect_s": spec.estimate.total_seconds(),
        "mark_s": spec.checkpoint.total_seconds(), "stow_s": spec.save.total_seconds(),
        "due_s": None if spec.deadline is None else spec.deadline.total_seconds(),
    }  # fmt: skip


_STORED_FIELDS = frozenset({"ref", *_fields})


def fields_to_keep(fields: dict) -> dict:
    """The part of a submission that is stored: the known fields that are not null."""
    return {name: value for name, value in fields.items() if name in _STORED_FIELDS and value is not None}


def job_answer(ref: str, phase: JobPhase, done: int | None = None, running: int | None = None) -> bytes:
    """The body that tells a user a job's phase and, if given, its number of tasks done and running."""
    fields: dict[str, Any] = {"ref": ref, "tide": _PHASES[phase]}
    if done is not None:
        fields |= {"done": done, "running": running}
    return orjson.dumps(fields)


def job_fields(ref: str, team: str, shape: str, tasks: int, cpus: float, memory: float, run: float) -> dict:
    """The fields of a simple submission: `shape` is array, gang or service; `memory` is in GB, `run` in seconds."""
    fields = {
        "ref": ref, "stripe": "command-line", "crew": team, "fronds": tasks, "cpus": cpus, "ram_gb": memory,
        "shape": next(name for name, known in _SHAPES.items() if known.value == shape),
        "urgency": "prod" if shape == "service" else "standard",
        "bundle": "command-line", "image_gb": 0.5, "expect_s": 0.0 if shape == "service" else run,
        "accelerators": 0.0, "together": False, "apart": False, "driftwood": False,
    }  # fmt: skip
    return fields | ({"mark_s": 5.0, "stow_s": 1.0} if shape == "gang" else {"mark_s": 0.0, "stow_s": 0.0})


def is_final(answer: dict) -> bool:
    """Whether an answer about a job is final."""
    return answer.get("tide") in (_PHASES[JobPhase.DONE], _PHASES[JobPhase.CANCELLED])


def error_answer(text: str) -> bytes:
    """The body of an error answer: one line of at most 500 characters."""
    return orjson.dumps({"error": text.replace("\n", " ")[:500]})
