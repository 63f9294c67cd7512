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
BEAT = timedelta(milliseconds=250)
ABSENT_AFTER = timedelta(seconds=2)


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


class Presence:
    """Since when this process has run without standing still: `beat` wants to be called every `BEAT`.

    A process may be stopped for seconds or minutes while its clocks run on.
    Whoever judges others by their silence must not count that time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._beat_at = self.since = clock.steady()

    def beat(self) -> None:
        now = self._clock.steady()
        if now - self._beat_at > ABSENT_AFTER:
            log.info("this node stood still for %.1f s", (now - self._beat_at).total_seconds())
            self.since = now
        self._beat_at = now


def seconds(value: float) -> timedelta:
    """A duration from the wire or the settings."""
    return timedelta(seconds=value)
