"""The two clocks of a process, in the standard library's types.

Leases and timeouts are reckoned on the steady clock (a `timedelta` since an
arbitrary start); deadlines, which other nodes must understand, on the time of
day.  Both are passed in, so that a test can replay a trace.
"""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

ZERO = timedelta()


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


def seconds(value: float) -> timedelta:
    """A duration from the wire or the settings."""
    return timedelta(seconds=value)
