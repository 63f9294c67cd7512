"""The two clocks of a process, in the standard library's types.

Leases and timeouts use the steady clock (a `timedelta` since an arbitrary
start). Deadlines use the time of day, because other nodes must understand them.
Both clocks are passed in, so that a test can replay a trace.
"""

import logging
import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

log = logging.getLogger("clock")

ZERO = timedelta()
MILLISECOND = timedelta(milliseconds=1)
HEARTBEAT_INTERVAL = timedelta(milliseconds=250)
PAUSE_DETECTION_THRESHOLD = timedelta(seconds=2)


class Clock(Protocol):
    """The clocks that a component may read: a monotonic one and the time of day in UTC."""

    def steady(self) -> timedelta: ...

    def utc(self) -> datetime: ...


class SystemClock:
    """The clocks of this machine."""

    def steady(self) -> timedelta:
        return timedelta(seconds=time.monotonic())

    def utc(self) -> datetime:
        return datetime.now(UTC)


class PauseDetector:
    """Tracks since when this process has run without a pause.

    `heartbeat` must be called every `HEARTBEAT_INTERVAL`. A process may be
    stopped for seconds or minutes while its clocks advance. Code that judges
    other processes by their silence must not count that time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_heartbeat_at = self.running_since = clock.steady()

    def heartbeat(self) -> None:
        now = self._clock.steady()
        if now - self._last_heartbeat_at > PAUSE_DETECTION_THRESHOLD:
            log.info("this process was paused for %.1f s", (now - self._last_heartbeat_at).total_seconds())
            self.running_since = now
        self._last_heartbeat_at = now


def seconds(value: float) -> timedelta:
    """Convert a number of seconds from the wire or the settings to a duration."""
    return timedelta(seconds=value)
