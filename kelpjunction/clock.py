"""The two clocks of a process, in the standard library's types.

Leases and timeouts are reckoned on the steady clock (a `timedelta` since an
arbitrary start); deadlines, which other nodes must understand, on the time of
day.  Both are passed in, so that a test can replay a trace.
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
    """What a slice may ask of time."""

    def steady(self) -> timedelta: ...

    def utc(self) -> datetime: ...


class SystemClock:
    """The clocks of this machine."""

    def steady(self) -> timedelta:
        return timedelta(seconds=time.monotonic())

    def utc(self) -> datetime:
        return datetime.now(UTC)


class PauseDetector:
    """Since when this process ran without standing still: `heartbeat` wants to be called every `HEARTBEAT_INTERVAL`.

    A process may be stopped for seconds or minutes while its clocks run on.
    Whoever judges others by their silence must not count that time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._beat_at = self.running_since = clock.steady()

    def heartbeat(self) -> None:
        now = self._clock.steady()
        if now - self._beat_at > PAUSE_DETECTION_THRESHOLD:
            log.info("this node stood still for %.1f s", (now - self._beat_at).total_seconds())
            self.running_since = now
        self._beat_at = now


def seconds(value: float) -> timedelta:
    """A duration from the wire or the settings."""
    return timedelta(seconds=value)
