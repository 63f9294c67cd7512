"""The log: plain lines, or one JSON object a line with the node, its term, and the job and machine it is about."""

import logging
import re
import sys
from collections.abc import Callable

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
FORMATS = ("line", "json")
_JOB = re.compile(r"\bj-[0-9]+")
_MACHINE = re.compile(r"\bn-[0-9]+")


def set_up(level: str, form: str, node: str, term: Callable[[], int | None]) -> None:
    """Send the log to standard error; raises `ValueError` naming a variable that can't be right."""
    for variable, value, allowed in (("LOG_LEVEL", level, LEVELS), ("LOG_FORMAT", form, FORMATS)):
        if value not in allowed:
            raise ValueError(f"{variable} must be one of {', '.join(allowed)}, not {value!r}")
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        logging.Formatter("%(levelname).1s %(name)s: %(message)s") if form == "line" else json_formatter(node, term)
    )
    logging.basicConfig(level=LEVELS[level], handlers=[handler])


def json_formatter(node: str, term: Callable[[], int | None]) -> logging.Formatter:
    """One JSON object a line; `job` and `machine` are the first ids that the message names, in PROTOCOL's forms."""
    # Imported by nodes that are asked for it only.
    from pythonjsonlogger.orjson import OrjsonFormatter

    class Formatter(OrjsonFormatter):
        def add_fields(self, log_data: dict, record: logging.LogRecord, message_dict: dict) -> None:
            super().add_fields(log_data, record, message_dict)
            message = record.getMessage()
            about = {"node": node, "term": term()}
            for field, form in (("job", _JOB), ("machine", _MACHINE)):
                if found := form.search(message):
                    about[field] = found[0]
            log_data |= about

    return Formatter(
        ["asctime", "levelname", "name", "message"],
        rename_fields={"asctime": "at", "levelname": "level", "name": "slice"},
        datefmt="%Y-%m-%dT%H:%M:%S%z",
    )
