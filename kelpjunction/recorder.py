"""Keeps the last decisions of a node in memory, so that an operator can explain them afterwards.

A component records an `Event` for each decision that a rule of PROTOCOL depends on. Every event goes into a ring
buffer. If its level is enabled, it is also logged: as a line and, with `LOG_FORMAT=json`, as the field `event`. A
signal writes the whole ring buffer to the log. When a node finds a contradiction, it logs the related events.
"""

import logging
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, fields
from datetime import datetime, timedelta
from enum import Enum
from typing import Any, ClassVar

from kelpjunction.clock import Clock, seconds

log = logging.getLogger("recorder")

CAPACITY_EVENTS = 4096  # about 2 MB; the last 40 seconds at 100 decisions a second
DUMP_LEVEL = logging.ERROR  # shown at every LOG_LEVEL
MIN_DUMP_INTERVAL = seconds(10)
MAX_RELATED_EVENTS = 200  # logged for one contradiction


@dataclass(frozen=True, slots=True)
class Event:
    """One decision; its fields hold the facts that it depends on. `level` is its log level."""

    level: ClassVar[int] = logging.DEBUG

    def as_fields(self) -> dict[str, Any]:
        """Return the event's kind and fields as they are logged."""
        values = {field.name: _to_log_value(getattr(self, field.name)) for field in fields(self)}
        return {"kind": type(self).__name__} | values

    def __str__(self) -> str:
        kind, *values = self.as_fields().items()
        return " ".join([kind[1], *(f"{name}={value}" for name, value in values)])


def _to_log_value(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, timedelta):
        return value.total_seconds()
    return value if isinstance(value, (int, str, bool)) or value is None else str(value)


class Recorder:
    """A ring buffer of the last events of a process."""

    def __init__(self, clock: Clock, capacity: int = CAPACITY_EVENTS) -> None:
        self._clock = clock
        self._ring: deque[tuple[datetime, Event]] = deque(maxlen=capacity)
        self._last_dump_at: timedelta | None = None
        self.on_contradiction: Callable[[Event], None] = lambda event: None

    def record(self, event: Event) -> None:
        """Store an event, and log it if its level is enabled."""
        self._ring.append((self._clock.utc(), event))
        if log.isEnabledFor(event.level):
            log.log(event.level, "%s", event, extra={"event": event.as_fields()})

    def events(self, matches: Callable[[Event], bool] = lambda event: True) -> Iterator[tuple[datetime, Event]]:
        """Iterate over the stored events that `matches` accepts, with their times, oldest first."""
        return (entry for entry in list(self._ring) if matches(entry[1]))

    def dump(
        self, reason: str, matches: Callable[[Event], bool] = lambda event: True, max_events: int = CAPACITY_EVENTS
    ) -> None:
        """Log the last `max_events` events that `matches` accepts, at every log level."""
        selected = list(self.events(matches))[-max_events:]
        log.log(DUMP_LEVEL, "%s: the last %d decisions follow", reason, len(selected))
        for at, event in selected:
            log.log(DUMP_LEVEL, "%s %s", at.isoformat(timespec="milliseconds"), event)

    def contradiction(self, event: Event, is_related: Callable[[Event], bool]) -> None:
        """Record a contradiction and log the related events, at most once per `MIN_DUMP_INTERVAL`."""
        self.record(event)
        self.on_contradiction(event)
        now = self._clock.steady()
        if self._last_dump_at is None or now - self._last_dump_at >= MIN_DUMP_INTERVAL:
            self._last_dump_at = now
            self.dump(str(event), is_related, MAX_RELATED_EVENTS)
