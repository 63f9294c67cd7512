"""Machines and their states."""

import logging
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from kelpjunction.clock import ZERO

log = logging.getLogger("fleet")


class MachineState(Enum):
    """BOOTING -> UP <-> SILENT, any -> FAULTY or RETURNING -> GONE; `Machine.become` makes every change."""

    BOOTING = "booting"
    UP = "up"
    SILENT = "silent"  # it stopped reporting and does not answer
    FAULTY = "faulty"  # it fails what others run; nothing new starts there
    RETURNING = "returning"  # its return was asked for, and may happen at any moment
    GONE = "gone"


@dataclass(slots=True, eq=False)
class Machine:
    """A machine as the leader knows it."""

    name: str
    type: str
    zone: str
    spot: bool
    address: str = ""
    state: MachineState = MachineState.BOOTING
    since: timedelta = ZERO
    rented_at: timedelta = ZERO
    idle_since: timedelta | None = None
    recorded: str = ""  # the address that l/machine holds
    failed_jobs: set[str] = field(default_factory=set)
    silent_visits: int = 0

    def become(self, state: MachineState, now: timedelta, why: str = "") -> None:
        """The one place where a machine's state changes."""
        if state is self.state or self.state is MachineState.GONE:
            return
        if self.state is MachineState.RETURNING and state is not MachineState.GONE:
            return
        if self.state is MachineState.FAULTY and state in (MachineState.UP, MachineState.BOOTING):
            return
        log.info(
            "machine %s (%s, %s): %s -> %s %s", self.name, self.type, self.zone, self.state.value, state.value, why
        )
        self.state, self.since = state, now

    @property
    def usable(self) -> bool:
        return self.state is MachineState.UP
