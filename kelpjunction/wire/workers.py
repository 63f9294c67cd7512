"""Messages between workers and controllers."""

from collections.abc import Iterable

import fastjsonschema
import orjson

from kelpjunction.clock import seconds
from kelpjunction.wire.messages import Command, ExitCause, Report, TaskId, TaskReport, TaskState, Verb
from kelpjunction.wire.users import MalformedMessage, parse_object, valid_ref

CHECK_IN_PATH = "/checkin"
COMMANDS_PATH = "/commands"
STATUS_PATH = "/status"

_STATES = {
    "pulling": TaskState.FETCHING,
    "waiting": TaskState.WAITING,
    "running": TaskState.RUNNING,
    "flushing": TaskState.SAVING,
    "exited": TaskState.EXITED,
}
_CAUSES = {
    "done": ExitCause.DONE,
    "stopped": ExitCause.STOPPED,
    "mates_gone": ExitCause.PEERS_GONE,
    "incomplete": ExitCause.GANG_INCOMPLETE,
    "error": ExitCause.ERROR,
    "full": ExitCause.INSUFFICIENT_RESOURCES,
    "in_use": ExitCause.IN_USE,
    "unknown": ExitCause.UNKNOWN,
}
_VERBS = {Verb.START: "run", Verb.STOP: "halt", Verb.FORGET: "forget"}

_count = {"type": "integer", "minimum": 0, "maximum": 2**64 - 1}
_text = {"type": "string", "minLength": 1, "maxLength": 200}

_check_report = fastjsonschema.compile(
    {
        "type": "object",
        "required": ["holdfast", "address", "hull", "bay", "watch", "tally"],
        "properties": {
            "holdfast": {"type": "string", "pattern": "^n-[0-9]{1,30}$"},
            "address": {"type": "string", "pattern": "^[0-9.]+:[0-9]{1,5}$"},
            "hull": _text,
            "bay": _text,
            "driftwood": {"type": ["boolean", "null"]},
            "watch": _count,
            "tally": _count,
            "helm": {"type": ["integer", "null"], "minimum": 0, "maximum": 2**64 - 1},
            "warning_s": {"type": ["number", "null"], "maximum": 1e9},
            "fronds": {
                "type": ["array", "null"],
                "items": {
                    "type": "object",
                    "required": ["frond", "launch", "tide"],
                    "properties": {
                        "frond": {"type": "string", "pattern": "^j-[0-9]{1,30}/[0-9]{1,6}$"},
                        "launch": _count,
                        "tide": {"enum": list(_STATES)},
                    },
                },
            },
        },
    }
)


def parse_report(body: bytes) -> Report:
    """A worker's report; raises `MalformedMessage` and leaves it to the caller to touch nothing."""
    return report_from_fields(parse_object(body))


def report_from_fields(fields: dict) -> Report:
    """A worker's report from a decoded body."""
    try:
        _check_report(fields)
    except fastjsonschema.JsonSchemaValueException as error:
        raise MalformedMessage(error.message.removeprefix("data.")) from error
    notice = fields.get("warning_s")
    return Report(
        machine=fields["holdfast"],
        address=fields["address"],
        type=fields["hull"],
        zone=fields["bay"],
        spot=bool(fields.get("driftwood")),
        session=int(fields["watch"]),
        sequence=int(fields["tally"]),
        token=int(fields.get("helm") or 0),
        termination_notice=None if notice is None else seconds(notice),
        tasks=tuple(_task(t) for t in fields.get("fronds") or ()),
    )


def _task(fields: dict) -> TaskReport:
    state = _STATES[fields["tide"]]
    cause = None
    if state is TaskState.EXITED:
        # A cause nobody told us of is treated like a failure of the task.
        cause = _CAUSES.get(fields.get("cause"), ExitCause.ERROR)
    return TaskReport(parse_task(fields["frond"]), int(fields["launch"]), state, cause, bool(fields.get("kept")))


def parse_task(text: str) -> TaskId:
    """`j-000412/3` as a task."""
    ref, _, index = text.partition("/")
    if not valid_ref(ref) or not index.isdigit():
        raise MalformedMessage(f"frond {text!r} is not a task")
    return TaskId(ref, int(index))


def _order(command: Command) -> dict:
    fields = {"verb": _VERBS[command.verb], "frond": str(command.task), "launch": command.attempt}
    if command.verb is Verb.STOP:
        fields["slack_s"] = command.grace.total_seconds()
    return fields


def check_in_answer(token: int, commands: Iterable[Command]) -> bytes:
    """The 200 that renews a worker's lease."""
    return orjson.dumps({"helm": token, "orders": [_order(c) for c in commands]})


def commands_body(token: int, session: int, commands: Iterable[Command]) -> bytes:
    """Commands sent straight to a worker."""
    return orjson.dumps({"helm": token, "watch": session, "orders": [_order(c) for c in commands]})


def redirect_answer(node: str | None) -> bytes:
    """The 421 that sends a worker elsewhere."""
    return orjson.dumps({} if node is None else {"harbour": node})
