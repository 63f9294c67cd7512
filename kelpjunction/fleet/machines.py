"""Machines, their states, and every node's inventory of them.

A block's holder publishes its machines in pages (`l/machine/<zone>/<n>`), which only it writes.  Writing
a page costs one change, however many of its machines changed.  The leader records its rentals and returns
in one key (`l/cloud`, see `fleet.rental_record`).  A name under `gone` there tells the holder that
everything on the machine is gone.
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
MACHINE_ROW_BYTES = 400  # allowance for each machine in a page; images beyond it are not published


class MachineState(Enum):
    """States of a machine: BOOTING -> UP <-> SILENT or LEAVING, any -> FAULTY or RETURNING -> GONE, FAULTY -> UP.

    `Machine.transition_to` checks and makes these changes, except that `Machine.end_fault` makes the last one;
    `Machine.copy_state` copies a state that a holder published.
    """

    BOOTING = "booting"
    UP = "up"
    LEAVING = "leaving"  # the cloud gave notice that it will terminate the machine
    SILENT = "silent"  # its reports stopped and it does not respond to probes
    FAULTY = "faulty"  # tasks fail on it that succeed elsewhere; nothing new starts there
    RETURNING = "returning"  # its return was decided and may happen at any moment
    GONE = "gone"


@dataclass(slots=True, eq=False)
class Machine:
    """A machine as this node knows it."""

    name: str
    type: str
    zone: str
    spot: bool
    changes: ChangeTracker  # notified of each change that placement depends on
    address: str = ""
    state: MachineState = MachineState.BOOTING
    since: timedelta = ZERO
    rented_at: timedelta = ZERO
    idle_since: timedelta | None = None
    images: list[str] = field(default_factory=list)  # most recently used last
    cleared_of: set[str] = field(default_factory=set)  # jobs whose failures here preceded a success here
    suspected: bool = False
    unanswered_probes: int = 0

    def transition_to(self, state: MachineState, now: timedelta, reason: str = "") -> bool:
        """Change the state if the transition is allowed, and return whether it changed.

        Every state change that this node decides goes through here.  It is
        logged if `reason` is given.
        """
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

    def end_fault(self, failed_refs: set[str], now: timedelta) -> None:
        """Use a faulty machine again; the failures of these jobs on it until now no longer count."""
        log.info("machine %s (%s, %s): faulty -> up, it is tried again", self.name, self.type, self.zone)
        self.cleared_of |= failed_refs
        self.since = now
        self._set_state(MachineState.UP)

    def _set_state(self, state: MachineState) -> None:
        self.state = state
        self.changes.mark_changed(self.name)

    def copy_state(self, state: MachineState) -> bool:
        """Copy the state that its block's holder published, and return whether it changed."""
        if self.state in (MachineState.RETURNING, state):
            return False
        self._set_state(state)
        return True

    def suspect(self, suspected: bool) -> None:
        """Set whether the machine is suspected of making tasks fail."""
        if suspected is not self.suspected:
            self.suspected = suspected
            self.changes.mark_changed(self.name)

    def update_images(self, images: list[str]) -> None:
        """Set the images in its cache, most recently used last."""
        if images != self.images:
            self.images = images
            self.changes.mark_changed(self.name)

    @property
    def usable(self) -> bool:
        return self.state is MachineState.UP

    def row(self) -> list:
        """This machine's row in its page, which nodes that do not hold its block read."""
        bytes_left = MACHINE_ROW_BYTES - 120 - len(self.name) - len(self.type) - len(self.address)
        published: list[str] = []
        for image in reversed(self.images):
            bytes_left -= len(image.encode()) + 3
            if bytes_left < 0:
                break
            published.append(image)
        return [self.address, self.type, self.spot, self.state.value, published[::-1]]


class Row(NamedTuple):
    """One machine's row in a page."""

    address: str
    type: str
    spot: bool
    state: str
    images: list[str]


class Inventory:
    """All machines that this node knows from records, workers' reports and the cloud's list."""

    def __init__(self, mirror: Mirror, blocks: Blocks, clock: Clock, changes: ChangeTracker) -> None:
        self._mirror = mirror
        self._changes = changes
        self._blocks = blocks
        self._clock = clock
        self.machines: dict[str, Machine] = {}
        # Machines that the cloud confirmed as gone.  Their names are not used
        # again, but reports delayed by a partition and outdated lists may still
        # contain them.  Without this, tasks would be placed on machines that
        # no longer exist.
        self._gone: OrderedDict[str, None] = OrderedDict()
        self.rental_record = RentalRecord()  # as this node last read it
        self._pages_by_key: dict[str, dict[str, Row]] = {}
        self.on_gone: Callable[[str], None] = lambda machine: None
        self.on_change: Callable[[], None] = lambda: None  # a machine became usable or stopped being so
        mirror.listen(MACHINE_PREFIX, self._page_changed)
        mirror.listen(CLOUD_KEY, self._rental_record_changed)

    def is_gone(self, name: str) -> bool:
        """Whether the cloud confirmed that a machine is gone; later reports and lists of it are outdated."""
        return name in self._gone

    def get_or_add(self, name: str, type_: str, zone: str, spot: bool, address: str) -> Machine:
        """Return the machine of this name, adding it if it is unknown."""
        machine = self.machines.get(name)
        if machine is None:
            now = self._clock.steady()
            machine = self.machines[name] = Machine(name, type_, zone, spot, self._changes, since=now, rented_at=now)
            self._changes.mark_changed(name)
            if name in self.rental_record.pending_returns:
                machine.transition_to(MachineState.RETURNING, now, "its return was decided by the leader")
        if address:
            machine.address = address
        return machine

    def _page_changed(self, key: str, value: dict | None, version: int) -> None:
        zone, _, number = key.removeprefix(MACHINE_PREFIX).rpartition("/")
        if not zone or not number.isdigit():
            return  # a single machine's record, from an older version; its worker will report the machine again
        old = self._pages_by_key.pop(key, {})
        if value is None:
            return
        rows = self._pages_by_key[key] = {name: Row(*row) for name, row in value.items()}
        for name, row in rows.items():
            if row == old.get(name) or self.is_gone(name):
                continue  # an outdated page must not bring back a returned machine
            machine = self.get_or_add(name, row.type, zone, row.spot, row.address)
            # For its own blocks, the holder's memory is newer than its stored pages.  Until its mirror has
            # caught up with the grant, these are pages of the previous holder.
            if not self._blocks.may_use(zone):
                machine.update_images(row.images)
                if machine.copy_state(MachineState(row.state)):
                    self.on_change()

    def _rental_record_changed(self, key: str, value: dict | None, version: int) -> None:
        self.rental_record = RentalRecord.of(value)
        now = self._clock.steady()
        for name in self.rental_record.pending_returns:
            machine = self.machines.get(name)
            if machine is not None:
                machine.transition_to(MachineState.RETURNING, now, "its return was decided by the leader")
        for name in self.rental_record.gone:
            if not self.is_gone(name):
                self._forget(name, now)

    def _forget(self, name: str, now: timedelta) -> None:
        """Remove a machine after the cloud confirmed that it, and everything on it, is gone."""
        self._gone[name] = None
        if len(self._gone) > MAX_GONE_MACHINES:
            self._gone.popitem(last=False)
        machine = self.machines.pop(name, None)
        self._changes.mark_changed(name)
        if machine is not None:
            machine.transition_to(MachineState.GONE, now, "returned")
        self.on_gone(name)

    def pages(self, zone: str) -> dict[str, dict[str, Row]]:
        """A block's stored pages, by key."""
        prefix = f"{MACHINE_PREFIX}{zone}/"
        return {key: rows for key, rows in self._pages_by_key.items() if key.startswith(prefix)}
