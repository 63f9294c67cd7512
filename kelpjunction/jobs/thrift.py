"""Replicas leave dear machines for cheap room, one after another.

At the start, or in a burst, replicas run wherever there is room, and they may
stay for hours.  A dear machine one of whose replicas finds cheap room in its
zone is emptied: nothing starts there any more, its replicas are moved one at
a time as room is found, and the leader returns it.
"""

import logging
from collections.abc import Callable
from datetime import timedelta

from kelpjunction.blocks import Blocks
from kelpjunction.clock import ZERO, Clock
from kelpjunction.fleet.cloud import Fleet
from kelpjunction.fleet.machines import Machine, MachineState
from kelpjunction.jobs.book import Book, Phase, Placement
from kelpjunction.placement import View, fetch_cost, type_fits
from kelpjunction.wire.messages import Shape
from kelpjunction.workers.roster import Roster

log = logging.getLogger("jobs")

MOVE_EVERY = timedelta(seconds=2)
SETTLED_IN = timedelta(seconds=30)  # a replica is not moved sooner after its start
LONGEST_FETCH = 1.2  # seconds that a replica may be away for its image


class Thrift:
    """Empties the dear machines of the blocks that this node holds."""

    def __init__(
        self,
        book: Book,
        blocks: Blocks,
        fleet: Fleet,
        roster: Roster,
        clock: Clock,
        views: Callable[[], list[View]],
    ) -> None:
        self._book = book
        self._blocks = blocks
        self._fleet = fleet
        self._roster = roster
        self._clock = clock
        self._views = views
        self._moved_at = ZERO

    def step(self) -> bool:
        """Move one replica, if it is time to; whether a machine's state changed."""
        now = self._clock.steady()
        if now - self._moved_at < MOVE_EVERY:
            return False
        dear = [m for m in self._fleet.machines.values() if self._mine(m) and self._dear(m)]
        if not dear:
            return False
        self._moved_at = now
        names = {m.name for m in dear}
        cheap = [v for v in self._views() if not v.kept and v.name not in names]
        emptying = [m for m in dear if m.state is MachineState.EMPTYING]
        for machine in emptying or sorted(dear, key=lambda m: len(self._replicas(m))):
            if self._move_one(machine, cheap, now):
                return machine.become(MachineState.EMPTYING, now, "its replicas find cheap room")
        return False

    def _mine(self, machine: Machine) -> bool:
        able = machine.state in (MachineState.UP, MachineState.EMPTYING)
        return able and self._blocks.mine(machine.zone) is not None

    def _replicas(self, machine: Machine) -> list[Placement]:
        return [p for p in self._book.on(machine.name).values() if p.spec.shape is Shape.SERVICE]

    def _dear(self, machine: Machine) -> bool:
        """Whether cheaper room does for every replica on the machine, and nothing else needs it."""
        type_ = self._fleet.catalog.get(machine.type)
        replicas = self._replicas(machine)
        if type_ is None or not replicas or any(type_fits(s, type_) for s in self._fleet.scarce):
            return False
        return all(self._fleet.budget(self._book.jobs[p.task.ref]).dear(p.spec, type_, machine.spot) for p in replicas)

    def _move_one(self, machine: Machine, cheap: list[View], now: timedelta) -> bool:
        """Move a replica that has run for a while to cheap room in its zone that has its image, or nearly."""
        near = [v for v in cheap if v.zone == machine.zone]
        for placement in self._replicas(machine):
            at_rest = placement.phase is Phase.RUNNING and now - placement.since > SETTLED_IN
            spec = placement.spec
            if at_rest and any(v.fits(spec) and fetch_cost(spec, v) <= LONGEST_FETCH for v in near):
                self._roster.stop(placement, ZERO, "it moves to cheap room")
                self._roster.send([placement])
                log.info("moving %s off %s", placement.task, machine.name)
                return True
        return False
