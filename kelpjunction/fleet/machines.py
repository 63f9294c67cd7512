"""Machines, their states, and every node's inventory of them."""

import logging
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from kelpjunction.blocks import Blocks
from kelpjunction.changes import Changes
from kelpjunction.clock import ZERO, Clock
from kelpjunction.store.mirror import Mirror

log = logging.getLogger("fleet")

MACHINE_PREFIX = "l/machine/"
REMEMBERED = 10_000


class MachineState(Enum):
    """BOOTING -> UP <-> SILENT or LEAVING, any -> FAULTY or RETURNING -> GONE.

    `Machine.become` makes every change.
    """

    BOOTING = "booting"
    UP = "up"
    LEAVING = "leaving"  # the cloud gave notice that it takes it back
    SILENT = "silent"  # it stopped reporting and does not answer
    FAULTY = "faulty"  # it fails what others run; nothing new starts there
    RETURNING = "returning"  # its return was asked for, and may happen at any moment
    GONE = "gone"


@dataclass(slots=True, eq=False)
class Machine:
    """A machine as this node knows it."""

    name: str
    type: str
    zone: str
    spot: bool
    changes: Changes  # told of all that placement looks at
    address: str = ""
    state: MachineState = MachineState.BOOTING
    since: timedelta = ZERO
    rented_at: timedelta = ZERO
    idle_since: timedelta | None = None
    images: list[str] = field(default_factory=list)  # most recently used last
    cleared_of: set[str] = field(default_factory=set)  # jobs that failed here before something ended well here
    suspected: bool = False
    silent_visits: int = 0

    def become(self, state: MachineState, now: timedelta, why: str = "") -> bool:
        """The one place where a machine's state changes; whether it did."""
        if state is self.state or self.state is MachineState.GONE:
            return False
        if self.state is MachineState.RETURNING and state is not MachineState.GONE:
            return False
        if self.state is MachineState.FAULTY and state is not MachineState.RETURNING and state is not MachineState.GONE:
            return False
        if why:
            log.info(
                "machine %s (%s, %s): %s -> %s, %s", self.name, self.type, self.zone, self.state.value, state.value, why
            )
        self.since = now
        self._stand(state)
        return True

    def _stand(self, state: MachineState) -> None:
        self.state = state
        self.changes.note(self.name)

    def copy_state(self, state: MachineState) -> bool:
        """Take over what its block's holder says of it; whether that is news."""
        if self.state in (MachineState.RETURNING, state):
            return False
        self._stand(state)
        return True

    def suspect(self, suspected: bool) -> None:
        """Shun it, or no longer."""
        if suspected is not self.suspected:
            self.suspected = suspected
            self.changes.note(self.name)

    def take_images(self, images: list[str]) -> None:
        """Learn what its cache holds, most recently used last."""
        if images != self.images:
            self.images = images
            self.changes.note(self.name)

    @property
    def usable(self) -> bool:
        return self.state is MachineState.UP

    def record(self) -> dict:
        """This machine as it is stored, for the nodes that do not hold its block."""
        return {
            "a": self.address,
            "t": self.type,
            "z": self.zone,
            "s": self.spot,
            "st": self.state.value,
            "im": self.images,
        }


class Inventory:
    """All machines this node knows of: from the records, from workers' reports, from the cloud's list."""

    def __init__(self, mirror: Mirror, blocks: Blocks, clock: Clock, changes: Changes) -> None:
        self._mirror = mirror
        self._changes = changes
        self._blocks = blocks
        self._clock = clock
        self.machines: dict[str, Machine] = {}
        # Machines that the cloud confirmed as gone.  Their names never come
        # back, but reports that a cut held up and lists that lag still tell
        # of them: without this, work would be placed on nothing.
        self._gone: OrderedDict[str, None] = OrderedDict()
        self.on_gone: Callable[[str], None] = lambda machine: None
        self.on_change: Callable[[], None] = lambda: None  # a machine became usable or stopped being so
        mirror.listen(MACHINE_PREFIX, self._changed)

    def gone(self, name: str) -> bool:
        """Whether a machine was returned: whatever still tells of it is late."""
        return name in self._gone

    def adopt(self, name: str, type_: str, zone: str, spot: bool, address: str) -> Machine:
        """The machine of this name, known from now on if it was not."""
        machine = self.machines.get(name)
        if machine is None:
            now = self._clock.steady()
            machine = self.machines[name] = Machine(name, type_, zone, spot, self._changes, since=now, rented_at=now)
            self._changes.note(name)
        if address:
            machine.address = address
        return machine

    def _changed(self, key: str, value: dict | None, version: int) -> None:
        name = key.removeprefix(MACHINE_PREFIX)
        if value is None:
            # The leader deletes the record once the cloud has confirmed that
            # the machine, and everything on it, is gone.
            self._gone[name] = None
            if len(self._gone) > REMEMBERED:
                self._gone.popitem(last=False)
            machine = self.machines.pop(name, None)
            self._changes.note(name)
            if machine is not None:
                machine.become(MachineState.GONE, self._clock.steady(), "returned")
            self.on_gone(name)
            return
        machine = self.adopt(name, value["t"], value["z"], value["s"], value["a"])
        state = MachineState(value["st"])
        if self._blocks.mine(machine.zone) is None:
            # Its block's holder knows better than we do.
            machine.take_images(value["im"])
            if machine.copy_state(state):
                self.on_change()
        elif state is MachineState.RETURNING:
            machine.become(state, self._clock.steady(), "as the leader decided")

    def stored(self, name: str) -> dict | None:
        """The machine's record, if there is one."""
        entry = self._mirror.get(MACHINE_PREFIX + name)
        return entry.value if entry else None
