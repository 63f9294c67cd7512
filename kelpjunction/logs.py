"""Configures the log: plain lines, or one JSON object per line with the node, its term, and job and machine ids."""

import logging
import re
import sys
from collections.abc import Callable

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
FORMATS = ("line", "json")
_JOB_ID = re.compile(r"\bj-[0-9]+")
_MACHINE_ID = re.compile(r"\bn-[0-9]+")


def configure_logging(level: str, form: str, node: str, term: Callable[[], int | None]) -> None:
    """Send the log to standard error; raises `ValueError` that names an environment variable with an invalid value."""
    for variable, value, allowed in (("LOG_LEVEL", level, LEVELS), ("LOG_FORMAT", form, FORMATS)):
        if value not in allowed:
            raise ValueError(f"{variable} must be one of {', '.join(allowed)}, not {value!r}")
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        logging.Formatter("%(levelname).1s %(name)s: %(message)s") if form == "line" else json_formatter(node, term)
    )
    logging.basicConfig(level=LEVELS[level], handlers=[handler])


def json_formatter(node: str, term: Callable[[], int | None]) -> logging.Formatter:
    """Write one JSON object per line; `job` and `machine` are the first ids in the message, in PROTOCOL's forms."""
    # Imported only by nodes that log JSON.
    from pythonjsonlogger.orjson import OrjsonFormatter

    class Formatter(OrjsonFormatter):
        def add_fields(self, log_data: dict, record: logging.LogRecord, message_dict: dict) -> None:
            super().add_fields(log_data, record, message_dict)
            message = record.getMessage()
            extra_fields = {"node": node, "term": term()}
            for field, form in (("job", _JOB_ID), ("machine", _MACHINE_ID)):
                if found := form.search(message):
                    extra_fields[field] = found[0]
            log_data |= extra_fields

    return Formatter(
        ["asctime", "levelname", "name", "message"],
        rename_fields={"asctime": "at", "levelname": "level", "name": "slice"},
        datefmt="%Y-%m-%dT%H:%M:%S%z",
    )
