"""Messages between ticket users and gateways."""

import re
from typing import Any, NamedTuple

import fastjsonschema
import orjson

from kelpjunction.clock import seconds
from kelpjunction.intake import UserResponse
from kelpjunction.tickets import plan
from kelpjunction.tickets.plan import Plan, SubmissionOptions, TicketRejected, Violation
from kelpjunction.tickets.progress import UNFINISHED, Failure, FinalRecord, StepState, TicketProgress
from kelpjunction.wire.messages import Priority
from kelpjunction.wire.users import MalformedMessage, parse_object

TICKETS_PATH = "/api/tickets"
CANCEL_SUFFIX = "/cancel"
MAX_LISTED_VIOLATIONS = 20  # in one rejection

_ID = r"[A-Za-z0-9][A-Za-z0-9_-]{0,79}"
_RUN = re.compile(rf"({_ID})(?:\.([1-9][0-9]{{0,8}}))?\Z")
_NAME = {"type": "string", "minLength": 1, "maxLength": 100}
_AMOUNT = {"type": "number", "minimum": 0, "maximum": 1e9}
_check_submission = fastjsonschema.compile(
    {
        "type": "object",
        "required": ["class", "team", "template"],
        "additionalProperties": False,
        "properties": {
            "id": {"type": "string", "pattern": rf"^{_ID}\Z"},
            "class": _NAME,
            "team": _NAME,
            "template": {"type": ["object", "string"]},
            "parameters": {"type": "object", "additionalProperties": {"type": "string"}, "default": {}},
            "priority": {"enum": [p.name.lower() for p in Priority], "default": "normal"},
            "image": _NAME | {"default": "none"},
            "image_gb": _AMOUNT | {"default": 0},
            "estimate_s": _AMOUNT | {"default": 60},
            "cpus": _AMOUNT | {"default": 1},
            "memory_gb": _AMOUNT | {"default": 1},
            "spot": {"type": "boolean", "default": False},
        },
    }
)


class Submission(NamedTuple):
    """A ticket as its client sent it; `template` is an object, or text in YAML or JSON."""

    ticket: str
    template: dict | str
    parameters: dict[str, str]
    options: SubmissionOptions


def parse_submission(body: bytes) -> Submission:
    """Parse a submission; raises `MalformedMessage`, which names the first wrong field."""
    fields = parse_object(body)
    try:
        _check_submission(fields)
    except fastjsonschema.JsonSchemaValueException as error:
        raise MalformedMessage(error.message.removeprefix("data.")) from error
    options = SubmissionOptions(
        team=fields["team"], klass=fields["class"], priority=Priority[fields["priority"].upper()],
        image=fields["image"], image_gb=float(fields["image_gb"]), estimate=seconds(fields["estimate_s"]),
        cpus=float(fields["cpus"]), memory=float(fields["memory_gb"]), spot=fields["spot"],
    )  # fmt: skip
    ticket = fields.get("id") or plan.ticket_id(fields)
    return Submission(ticket, fields["template"], fields["parameters"], options)


def parse_id(text: str) -> tuple[str, int | None]:
    """Parse a ticket's id and its run number, None for the latest run; raises `MalformedMessage`."""
    match = _RUN.match(text)
    if match is None:
        raise MalformedMessage("a ticket's id is letters, digits, - and _, with .N for its run N")
    return match[1], int(match[2]) if match[2] else None


def run_id(ticket: str, number: int) -> str:
    """The id of one run of a ticket; each run has one final answer."""
    return f"{ticket}.{number}"


def rejection_body(violations: list[Violation]) -> bytes:
    """The body of a rejection: the first violation as text, and a list of the violations."""
    listed = [
        {"path": f.path[:200], "rule": f.rule[:300], "value": f.value[:100]} for f in violations[:MAX_LISTED_VIOLATIONS]
    ]
    return orjson.dumps(
        {"error": str(TicketRejected(violations[:1]))[:500], "faults": listed, "more": len(violations) - len(listed)}
    )


def _failure_fields(failure: Failure | None) -> dict:
    return {"failure": failure._asdict()} if failure else {}


def unfinished_answer(
    run: str, progress: TicketProgress, ticket_plan: Plan, counts: dict[str, tuple[int, int]]
) -> bytes:
    """The body for an unfinished ticket; `counts` has (done, running) tasks by job id, for live jobs only."""
    state = "stopping" if progress.stopping else "running" if any(n for _, n in counts.values()) else "pending"
    if state == "pending" and StepState.DONE in progress.states:
        state = "running"
    steps = []
    for step, step_state in zip(ticket_plan.jobs, progress.states, strict=True):
        done, running = counts.get(step.spec.ref, (step.spec.tasks if step_state is StepState.DONE else 0, 0))
        fields: dict[str, Any] = {"step": step.name, "state": step_state.name.lower()}
        if step_state is not StepState.WAITING:
            fields |= {"job": step.spec.ref, "done": done, "running": running}
        steps.append(fields | {"tasks": step.spec.tasks})
    return orjson.dumps({"ticket": run, "state": state, "steps": steps} | _failure_fields(progress.failure))


def final_answer(run: str, end: FinalRecord) -> bytes:
    """The body for a ticket that has ended."""
    counts = {s.name.lower(): n for s in StepState if s not in UNFINISHED and (n := end.states.count(s))}
    return orjson.dumps({"ticket": run, "state": end.final_state.value, "steps": counts} | _failure_fields(end.failure))


def with_content_mismatch(answer: UserResponse) -> UserResponse:
    """The same answer, marked: this id belongs to a ticket with another template or other parameters."""
    return answer._replace(body=orjson.dumps(orjson.loads(answer.body) | {"same_content": False}))


def accepted_answer(run: str) -> bytes:
    return orjson.dumps({"ticket": run, "state": "pending"})


def is_final(answer: dict) -> bool:
    """Whether an answer about a ticket is final."""
    return answer.get("state") in ("done", "failed", "cancelled")
