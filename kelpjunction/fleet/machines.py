"""Machines, their states, and every node's inventory of them.

What a block's holder says of its machines lies in pages (`l/machine/<zone>/<n>`), which it alone
writes: a page costs one change however many of its machines changed.  What the leader does with the
cloud lies in one page (`l/cloud`, see `fleet.rental_record`): a name under `gone` there is what tells the
holder that everything on the machine is gone.
"""

import logging
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from kelpjunction.blocks import Blocks
from kelpjunction.changes import ChangeTracker
from kelpjunction.clock import ZERO, Clock
from kelpjunction.fleet.rental_record import CLOUD_KEY, RentalRecord
from kelpjunction.store.mirror import Mirror

log = logging.getLogger("fleet")

MACHINE_PREFIX = "l/machine/"
MAX_GONE_MACHINES = 10_000
MACHINE_ROW_BYTES = 400  # what a page allows for each machine; images beyond it are not told


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
    changes: ChangeTracker  # told of all that placement looks at
    address: str = ""
    state: MachineState = MachineState.BOOTING
    since: timedelta = ZERO
    rented_at: timedelta = ZERO
    idle_since: timedelta | None = None
    images: list[str] = field(default_factory=list)  # most recently used last
    cleared_of: set[str] = field(default_factory=set)  # jobs that failed here before something ended well here
    suspected: bool = False
    unanswered_probes: int = 0

    def become(self, state: MachineState, now: timedelta, reason: str = "") -> bool:
        """The one place where a machine's state changes; whether it did."""
        if state is self.state or self.state is MachineState.GONE:
            return False
        if self.state is MachineState.RETURNING and state is not MachineState.GONE:
            return False
        if self.state is MachineState.FAULTY and state is not MachineState.RETURNING and state is not MachineState.GONE:
            return False
        if reason:
            log.info(
                "machine %s (%s, %s): %s -> %s, %s",
                self.name,
                self.type,
                self.zone,
                self.state.value,
                state.value,
                reason,
            )
        self.since = now
        self._set_state(state)
        return True

    def _set_state(self, state: MachineState) -> None:
        self.state = state
        self.changes.mark_changed(self.name)

    def copy_state(self, state: MachineState) -> bool:
        """Take over what its block's holder says of it; whether that is news."""
        if self.state in (MachineState.RETURNING, state):
            return False
        self._set_state(state)
        return True

    def suspect(self, suspected: bool) -> None:
        """Shun it, or no longer."""
        if suspected is not self.suspected:
            self.suspected = suspected
            self.changes.mark_changed(self.name)

    def take_images(self, images: list[str]) -> None:
        """Learn what its cache holds, most recently used last."""
        if images != self.images:
            self.images = images
            self.changes.mark_changed(self.name)

    @property
    def usable(self) -> bool:
        return self.state is MachineState.UP

    def row(self) -> list:
        """This machine as its page has it, for the nodes that do not hold its block."""
        left = MACHINE_ROW_BYTES - 120 - len(self.name) - len(self.type) - len(self.address)
        told: list[str] = []
        for image in reversed(self.images):
            left -= len(image.encode()) + 3
            if left < 0:
                break
            told.append(image)
        return [self.address, self.type, self.spot, self.state.value, told[::-1]]


class Row(NamedTuple):
    """One machine in a page."""

    address: str
    type: str
    spot: bool
    state: str
    images: list[str]


class Inventory:
    """All machines this node knows of: from the records, from workers' reports, from the cloud's list."""

    def __init__(self, mirror: Mirror, blocks: Blocks, clock: Clock, changes: ChangeTracker) -> None:
        self._mirror = mirror
        self._changes = changes
        self._blocks = blocks
        self._clock = clock
        self.machines: dict[str, Machine] = {}
        # Machines that the cloud confirmed as gone.  Their names never come
        # back, but reports that a cut held up and lists that lag still tell
        # of them: without this, work would be placed on nothing.
        self._gone: OrderedDict[str, None] = OrderedDict()
        self.rental_record = RentalRecord()  # the leader's with the cloud, as this node knows them
        self._pages: dict[str, dict[str, Row]] = {}
        self.on_gone: Callable[[str], None] = lambda machine: None
        self.on_change: Callable[[], None] = lambda: None  # a machine became usable or stopped being so
        mirror.listen(MACHINE_PREFIX, self._page_changed)
        mirror.listen(CLOUD_KEY, self._cloud_changed)

    def gone(self, name: str) -> bool:
        """Whether a machine was returned: whatever still tells of it is late."""
        return name in self._gone

    def adopt(self, name: str, type_: str, zone: str, spot: bool, address: str) -> Machine:
        """The machine of this name, known from now on if it was not."""
        machine = self.machines.get(name)
        if machine is None:
            now = self._clock.steady()
            machine = self.machines[name] = Machine(name, type_, zone, spot, self._changes, since=now, rented_at=now)
            self._changes.mark_changed(name)
            if name in self.rental_record.pending_returns:
                machine.become(MachineState.RETURNING, now, "as the leader decided")
        if address:
            machine.address = address
        return machine

    def _page_changed(self, key: str, value: dict | None, version: int) -> None:
        zone, _, number = key.removeprefix(MACHINE_PREFIX).rpartition("/")
        if not zone or not number.isdigit():
            return  # a machine's record of a version before this one: its worker tells it anew
        old = self._pages.pop(key, {})
        if value is None:
            return
        rows = self._pages[key] = {name: Row(*row) for name, row in value.items()}
        for name, row in rows.items():
            if row == old.get(name) or self.gone(name):
                continue  # a page that lags must not bring back what was returned
            machine = self.adopt(name, row.type, zone, row.spot, row.address)
            # Of its own blocks a holder knows better than what it wrote down.
            if self._blocks.own_grant(zone) is None:
                machine.take_images(row.images)
                if machine.copy_state(MachineState(row.state)):
                    self.on_change()

    def _cloud_changed(self, key: str, value: dict | None, version: int) -> None:
        self.rental_record = RentalRecord.of(value)
        now = self._clock.steady()
        for name in self.rental_record.pending_returns:
            machine = self.machines.get(name)
            if machine is not None:
                machine.become(MachineState.RETURNING, now, "as the leader decided")
        for name in self.rental_record.gone:
            if not self.gone(name):
                self._forget(name, now)

    def _forget(self, name: str, now: timedelta) -> None:
        """The cloud has confirmed that the machine, and everything on it, is gone."""
        self._gone[name] = None
        if len(self._gone) > MAX_GONE_MACHINES:
            self._gone.popitem(last=False)
        machine = self.machines.pop(name, None)
        self._changes.mark_changed(name)
        if machine is not None:
            machine.become(MachineState.GONE, now, "returned")
        self.on_gone(name)

    def pages(self, zone: str) -> dict[str, dict[str, Row]]:
        """A block's pages, by their keys, as they are stored."""
        prefix = f"{MACHINE_PREFIX}{zone}/"
        return {key: rows for key, rows in self._pages.items() if key.startswith(prefix)}
