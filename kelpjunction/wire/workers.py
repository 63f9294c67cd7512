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
    """Parse a worker's report; raises `MalformedMessage`, after which the caller must change nothing."""
    return report_from_fields(parse_object(body))


def report_from_fields(fields: dict) -> Report:
    """Parse a worker's report from a decoded body; raises `MalformedMessage`."""
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
        tasks=tuple(_task_report(t) for t in fields.get("fronds") or ()),
    )


def _task_report(fields: dict) -> TaskReport:
    state = _STATES[fields["tide"]]
    cause = None
    if state is TaskState.EXITED:
        # A cause that the protocol does not list is treated as a failure of the task.
        cause = _CAUSES.get(fields.get("cause"), ExitCause.ERROR)
    return TaskReport(parse_task(fields["frond"]), int(fields["launch"]), state, cause, bool(fields.get("kept")))


def parse_task(text: str) -> TaskId:
    """Parse a task's id such as `j-000412/3`; raises `MalformedMessage`."""
    ref, _, index = text.partition("/")
    if not valid_ref(ref) or not index.isdigit():
        raise MalformedMessage(f"frond {text!r} is not a task")
    return TaskId(ref, int(index))


def _command_fields(command: Command) -> dict:
    fields = {"verb": _VERBS[command.verb], "frond": str(command.task), "launch": command.attempt}
    if command.verb is Verb.STOP:
        fields["slack_s"] = command.grace.total_seconds()
    return fields


def check_in_answer(token: int, commands: Iterable[Command]) -> bytes:
    """The body of the 200 response that renews a worker's lease."""
    return orjson.dumps({"helm": token, "orders": [_command_fields(c) for c in commands]})


def commands_body(token: int, session: int, commands: Iterable[Command]) -> bytes:
    """The body of commands sent directly to a worker."""
    return orjson.dumps({"helm": token, "watch": session, "orders": [_command_fields(c) for c in commands]})


def redirect_answer(node: str | None) -> bytes:
    """The body of the 421 response that redirects a worker to another node, if one is known."""
    return orjson.dumps({} if node is None else {"harbour": node})
