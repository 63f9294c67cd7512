"""Reads and checks Open Job Description job templates, 2023-09, with the format's own library.

Specification: "Open Job Description", template schemas 2023-09; `openjd-model`
is its reference library.  Importing it takes half a second of processor time
and 24 MB, so this module is imported only when there is a ticket to read.
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

MAX_TEMPLATE_BYTES = 64 * 1024
MAX_NESTING_DEPTH = 32
SUPPORTED_EXTENSIONS = ("TASK_CHUNKING",)
TEMPLATE_CACHE_SIZE = 64
MAX_CACHED_TEMPLATE_BYTES = 8 * 1024  # a larger template is decoded each time
PLACEHOLDER_DIR = Path("/")  # paths in parameters are resolved on the worker, not here


def resolve(document: dict, parameters: dict[str, str]) -> tuple[str, list[Step]]:
    """Resolve a ticket's parameters; returns its name and steps, or raises `TicketRejected`."""
    if _depth(document) > MAX_NESTING_DEPTH:
        raise TicketRejected([Violation("", "", f"a ticket is nested at most {MAX_NESTING_DEPTH} deep")])
    template = _cached_template(document)
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
        raise TicketRejected(_report_violations(str(error))) from error
    except ValueError as error:
        raise TicketRejected(Violation("parameterDefinitions", "", line) for line in str(error).splitlines()) from error
    return job.name, [_step(step) for step in job.steps]


def _depth(document: Any) -> int:
    """The nesting depth of objects and lists."""
    depth, level = 0, [document]
    while level := [node for node in level if isinstance(node, dict | list)]:
        depth += 1
        level = [child for node in level for child in (node.values() if isinstance(node, dict) else node)]
    return depth


def parse_document(text: bytes) -> dict:
    """Parse a ticket's JSON or YAML into an object.

    Raises `TicketRejected`; size, depth and aliases are checked before objects are built.
    """
    if len(text) > MAX_TEMPLATE_BYTES:
        raise TicketRejected([Violation("", f"{len(text)} bytes", f"a ticket has at most {MAX_TEMPLATE_BYTES} bytes")])
    try:
        depth = 0
        for event in yaml.parse(text, Loader=yaml.SafeLoader):
            depth += isinstance(event, yaml.CollectionStartEvent) - isinstance(event, yaml.CollectionEndEvent)
            if depth > MAX_NESTING_DEPTH:
                raise TicketRejected([Violation("", "", f"a ticket is nested at most {MAX_NESTING_DEPTH} deep")])
            if isinstance(event, yaml.AliasEvent):
                # A few nested aliases can expand to more data than fits in memory.
                raise TicketRejected([Violation("", f"*{event.anchor}", "YAML aliases are not supported")])
        document = yaml.safe_load(text)
    except (yaml.YAMLError, UnicodeDecodeError, ValueError, RecursionError) as error:
        raise TicketRejected([Violation("", "", f"neither JSON nor YAML: {' '.join(str(error).split())}")]) from error
    if not isinstance(document, dict):
        raise TicketRejected([Violation("", type(document).__name__, "a ticket is an object")])
    return document


def _cached_template(document: dict) -> Any:
    """Decode a template, with a cache: templates recur with other parameters, and decoding is half the work."""
    try:
        content = orjson.dumps(document)
    except TypeError:  # YAML has types that JSON lacks: the library reports what is wrong
        return _decode(document)
    return _decode_and_cache(content) if len(content) <= MAX_CACHED_TEMPLATE_BYTES else _decode(document)


@lru_cache(maxsize=TEMPLATE_CACHE_SIZE)
def _decode_and_cache(content: bytes) -> Any:
    return _decode(orjson.loads(content))


def _decode(document: dict) -> Any:
    try:
        return decode_job_template(template=document, supported_extensions=SUPPORTED_EXTENSIONS)
    except DecodeValidationError as error:
        raise TicketRejected(_report_violations(str(error))) from error
    except IndexError as error:
        # The library fails to build its report if an error belongs to no field,
        # as with steps that depend on each other in a cycle.
        raise TicketRejected(_violations_without_field(error)) from error
    except (ValueError, TypeError, RecursionError) as error:
        raise TicketRejected([Violation("", "", " ".join(str(error).split()))]) from error


def _violations_without_field(error: IndexError) -> list[Violation]:
    if not isinstance(error.__context__, ValidationError):
        raise error
    return [Violation(".".join(map(str, e["loc"])) or "steps", "", e["msg"]) for e in error.__context__.errors()]


def _report_violations(message: str) -> list[Violation]:
    """Parse the library's report, which has a line for each path and the broken rules indented below it."""
    violations: list[Violation] = []
    path = ""
    for line in message.splitlines()[1:]:
        if line.startswith("\t"):
            violations.append(Violation(path, "", line.strip()))
        else:
            path = line.strip().rstrip(":").replace(" -> ", ".")
    return violations or [Violation("", "", message)]


def _step(step: Any) -> Step:
    space = step.parameterSpace and StepParameterSpaceIterator(space=step.parameterSpace)
    requirements = step.hostRequirements
    return Step(
        name=step.name,
        tasks=len(space) if space else 1,
        depends_on=tuple(d.dependsOn for d in step.dependencies or ()),
        amounts=tuple(Amount(a.name.lower(), a.min, a.max) for a in (requirements and requirements.amounts) or ()),
        attributes=tuple(
            Attribute(a.name.lower(), tuple(a.anyOf or ()), tuple(a.allOf or ()))
            for a in (requirements and requirements.attributes) or ()
        ),
        parameters=lambda index: {n: str(v.value) for n, v in space[index].items()} if space else {},
    )
