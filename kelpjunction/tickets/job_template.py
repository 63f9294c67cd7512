"""Open Job Description's job templates, 2023-09, read and checked by the format's own library.

Specification: "Open Job Description", template schemas 2023-09; `openjd-model`
is its reference library.  Importing it takes half a second of processor time
and 24 MB, so that nobody does who has no ticket to read.
"""

from functools import lru_cache
from pathlib import Path
from typing import Any

import orjson
import yaml
from openjd.model import (
    DecodeValidationError,
    StepParameterSpaceIterator,
    create_job,
    decode_job_template,
    preprocess_job_parameters,
)
from pydantic import ValidationError

from kelpjunction.tickets.plan import Amount, Attribute, Step, TicketRejected, Violation

MAX_BYTES = 64 * 1024
MAX_DEPTH = 32
EXTENSIONS = ("TASK_CHUNKING",)
TEMPLATES_KEPT = 64
MAX_CACHED_TEMPLATE_BYTES = 8 * 1024  # of a template that is kept decoded, at most
PLACEHOLDER_DIR = Path("/")  # paths in parameters are the worker's business


def resolve(document: dict, parameters: dict[str, str]) -> tuple[str, list[Step]]:
    """A ticket's name and its steps with parameters resolved; raises `TicketRejected`."""
    if _depth(document) > MAX_DEPTH:
        raise TicketRejected([Violation("", "", f"a ticket is nested at most {MAX_DEPTH} deep")])
    template = _template(document)
    try:
        values = preprocess_job_parameters(
            job_template=template,
            job_parameter_values=parameters,
            job_template_dir=PLACEHOLDER_DIR,
            current_working_dir=PLACEHOLDER_DIR,
            allow_job_template_dir_walk_up=True,
        )
        job = create_job(job_template=template, job_parameter_values=values)
    except DecodeValidationError as error:
        raise TicketRejected(_faults(str(error))) from error
    except ValueError as error:
        raise TicketRejected(Violation("parameterDefinitions", "", line) for line in str(error).splitlines()) from error
    return job.name, [_step(step) for step in job.steps]


def _depth(document: Any) -> int:
    """How deep objects and lists are nested."""
    depth, level = 0, [document]
    while level := [thing for thing in level if isinstance(thing, dict | list)]:
        depth += 1
        level = [part for thing in level for part in (thing.values() if isinstance(thing, dict) else thing)]
    return depth


def parse_document(text: bytes) -> dict:
    """A ticket's JSON or YAML as an object; refused by size and depth before anything is made of it."""
    if len(text) > MAX_BYTES:
        raise TicketRejected([Violation("", f"{len(text)} bytes", f"a ticket has at most {MAX_BYTES} bytes")])
    try:
        depth = 0
        for event in yaml.parse(text, Loader=yaml.SafeLoader):
            depth += isinstance(event, yaml.CollectionStartEvent) - isinstance(event, yaml.CollectionEndEvent)
            if depth > MAX_DEPTH:
                raise TicketRejected([Violation("", "", f"a ticket is nested at most {MAX_DEPTH} deep")])
            if isinstance(event, yaml.AliasEvent):
                # A few of them, nested, stand for more than any memory holds.
                raise TicketRejected([Violation("", f"*{event.anchor}", "aliases are not taken")])
        document = yaml.safe_load(text)
    except (yaml.YAMLError, UnicodeDecodeError, ValueError, RecursionError) as error:
        raise TicketRejected([Violation("", "", f"neither JSON nor YAML: {' '.join(str(error).split())}")]) from error
    if not isinstance(document, dict):
        raise TicketRejected([Violation("", type(document).__name__, "a ticket is an object")])
    return document


def _template(document: dict) -> Any:
    """The decoded template; the same one comes again and again with other parameters, and decoding is half the work."""
    try:
        content = orjson.dumps(document)
    except TypeError:  # YAML knows more than JSON: the library says what is wrong with it
        return _decoded(document)
    return _known_template(content) if len(content) <= MAX_CACHED_TEMPLATE_BYTES else _decoded(document)


@lru_cache(maxsize=TEMPLATES_KEPT)
def _known_template(content: bytes) -> Any:
    return _decoded(orjson.loads(content))


def _decoded(document: dict) -> Any:
    try:
        return decode_job_template(template=document, supported_extensions=EXTENSIONS)
    except DecodeValidationError as error:
        raise TicketRejected(_faults(str(error))) from error
    except IndexError as error:
        # The library fails to put together its report where a fault belongs
        # to no field, as steps that depend on one another in a circle do.
        raise TicketRejected(_unplaced(error)) from error
    except (ValueError, TypeError, RecursionError) as error:
        raise TicketRejected([Violation("", "", " ".join(str(error).split()))]) from error


def _unplaced(error: IndexError) -> list[Violation]:
    if not isinstance(error.__context__, ValidationError):
        raise error
    return [Violation(".".join(map(str, e["loc"])) or "steps", "", e["msg"]) for e in error.__context__.errors()]


def _faults(message: str) -> list[Violation]:
    """The library's report as faults: a line for each path, its rules indented below."""
    found: list[Violation] = []
    path = ""
    for line in message.splitlines()[1:]:
        if line.startswith("\t"):
            found.append(Violation(path, "", line.strip()))
        else:
            path = line.strip().rstrip(":").replace(" -> ", ".")
    return found or [Violation("", "", message)]


def _step(step: Any) -> Step:
    space = step.parameterSpace and StepParameterSpaceIterator(space=step.parameterSpace)
    asked = step.hostRequirements
    return Step(
        name=step.name,
        tasks=len(space) if space else 1,
        depends_on=tuple(d.dependsOn for d in step.dependencies or ()),
        amounts=tuple(Amount(a.name.lower(), a.min, a.max) for a in (asked and asked.amounts) or ()),
        attributes=tuple(
            Attribute(a.name.lower(), tuple(a.anyOf or ()), tuple(a.allOf or ()))
            for a in (asked and asked.attributes) or ()
        ),
        parameters=lambda index: {n: str(v.value) for n, v in space[index].items()} if space else {},
    )
