"""The last decisions of a node, kept in memory for whoever must explain one afterwards.

A slice notes an `Event` for each decision that a rule of PROTOCOL rests on.  Every event goes into a ring; one
whose level the log shows is written there too, as a line and, with `LOG_FORMAT=json`, as the field `event`.  The
ring is written out on a signal, and the part of it that concerns a task when a node finds what can't be.
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

CAPACITY = 4096  # events: about 2 MB; at 100 decisions a second the last 40 seconds
DUMP_LEVEL = logging.ERROR  # shown at each LOG_LEVEL
DUMPS_APART = seconds(10)
MOST_RELATED = 200  # events written out because of one finding


@dataclass(frozen=True, slots=True)
class Event:
    """One decision; its fields say on what it rests.  `level` is the log's."""

    level: ClassVar[int] = logging.DEBUG

    def as_fields(self) -> dict[str, Any]:
        """Its kind and fields, as the log holds them."""
        told = {field.name: _plain(getattr(self, field.name)) for field in fields(self)}
        return {"kind": type(self).__name__} | told

    def __str__(self) -> str:
        kind, *told = self.as_fields().items()
        return " ".join([kind[1], *(f"{name}={value}" for name, value in told)])


def _plain(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, timedelta):
        return value.total_seconds()
    return value if isinstance(value, (int, str, bool)) or value is None else str(value)


class Recorder:
    """A ring of the last events of a process."""

    def __init__(self, clock: Clock, capacity: int = CAPACITY) -> None:
        self._clock = clock
        self._ring: deque[tuple[datetime, Event]] = deque(maxlen=capacity)
        self._dumped_at: timedelta | None = None
        self.on_contradiction: Callable[[Event], None] = lambda event: None

    def record(self, event: Event) -> None:
        """Keep an event, and log it if its level is shown."""
        self._ring.append((self._clock.utc(), event))
        if log.isEnabledFor(event.level):
            log.log(event.level, "%s", event, extra={"event": event.as_fields()})

    def events(self, concerns: Callable[[Event], bool] = lambda event: True) -> Iterator[tuple[datetime, Event]]:
        """The kept events that concern something, the oldest first."""
        return (kept for kept in list(self._ring) if concerns(kept[1]))

    def dump(self, why: str, concerns: Callable[[Event], bool] = lambda event: True, most: int = CAPACITY) -> None:
        """Write out the last `most` of the events that concern something, whatever the log's level."""
        found = list(self.events(concerns))[-most:]
        log.log(DUMP_LEVEL, "%s: the last %d decisions follow", why, len(found))
        for at, event in found:
            log.log(DUMP_LEVEL, "%s %s", at.isoformat(timespec="milliseconds"), event)

    def contradiction(self, event: Event, related: Callable[[Event], bool]) -> None:
        """Note what can't be, and write out what led to it; many at once are written out once."""
        self.record(event)
        self.on_contradiction(event)
        now = self._clock.steady()
        if self._dumped_at is None or now - self._dumped_at >= DUMPS_APART:
            self._dumped_at = now
            self.dump(str(event), related, MOST_RELATED)
