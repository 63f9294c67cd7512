"""What room for a task costs, and which room is dear."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from kelpjunction.placement.views import SLACK, type_fits
from kelpjunction.wire.messages import JobSpec, MachineType

EXPENSIVE_PRICE_RATIO = 4  # times the cheapest room


def tasks_per_machine(spec: JobSpec, type_: MachineType) -> int:
    """How many tasks of this job an empty machine of the type holds."""
    slots = 1_000_000
    for whole, each in ((type_.cpus, spec.cpus), (type_.gpus, spec.gpus), (type_.memory, spec.memory)):
        if each > 0:
            slots = min(slots, int(whole / each + SLACK))
    return max(1, slots)


def hourly_price_per_task(spec: JobSpec, type_: MachineType, spot: bool) -> float:
    """What an hour of room for one task costs on a machine of this type."""
    return (type_.spot_price if spot else type_.price) / tasks_per_machine(spec, type_)


class PriceLimit(NamedTuple):
    """What room for a job need cost, and whether it may take room that costs several times that."""

    lowest_hourly_price: float
    exclude_expensive: bool

    def is_expensive(self, spec: JobSpec, type_: MachineType, spot: bool) -> bool:
        return hourly_price_per_task(spec, type_, spot) > EXPENSIVE_PRICE_RATIO * self.lowest_hourly_price


NO_PRICE_LIMIT = PriceLimit(math.inf, False)


def lowest_hourly_price_per_task(spec: JobSpec, types: Iterable[MachineType]) -> float:
    """The least that an hour of room for one task costs."""
    return min(
        (hourly_price_per_task(spec, t, s) for t in types if type_fits(spec, t) for s in {False, spec.spot}),
        default=0.0,
    )
