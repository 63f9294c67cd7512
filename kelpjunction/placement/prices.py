"""What room for a task costs, and which room is dear."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from kelpjunction.placement.views import SLACK, type_fits
from kelpjunction.wire.messages import JobSpec, MachineType

DEAR = 4  # times the cheapest room


def slots_on(spec: JobSpec, type_: MachineType) -> int:
    """How many tasks of this job an empty machine of the type holds."""
    slots = 1_000_000
    for whole, each in ((type_.cpus, spec.cpus), (type_.gpus, spec.gpus), (type_.memory, spec.memory)):
        if each > 0:
            slots = min(slots, int(whole / each + SLACK))
    return max(1, slots)


def slot_price(spec: JobSpec, type_: MachineType, spot: bool) -> float:
    """What an hour of room for one task costs on a machine of this type."""
    return (type_.spot_price if spot else type_.price) / slots_on(spec, type_)


class Budget(NamedTuple):
    """What room for a job need cost, and whether it may take room that costs several times that."""

    cheapest: float
    cheap_only: bool

    def dear(self, spec: JobSpec, type_: MachineType, spot: bool) -> bool:
        return slot_price(spec, type_, spot) > DEAR * self.cheapest


ANY_PRICE = Budget(math.inf, False)


def cheapest_slot(spec: JobSpec, types: Iterable[MachineType]) -> float:
    """The least that an hour of room for one task costs."""
    return min((slot_price(spec, t, s) for t in types if type_fits(spec, t) for s in {False, spec.spot}), default=0.0)
