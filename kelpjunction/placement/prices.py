"""The price of capacity per task, and which capacity counts as expensive."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from kelpjunction.placement.views import SLACK, type_fits
from kelpjunction.wire.messages import JobSpec, MachineType

EXPENSIVE_PRICE_RATIO = 4  # to the lowest price per task


def tasks_per_machine(spec: JobSpec, type_: MachineType) -> int:
    """How many tasks of this job fit on an empty machine of the type, at least 1."""
    slots = 1_000_000
    for total, per_task in ((type_.cpus, spec.cpus), (type_.gpus, spec.gpus), (type_.memory, spec.memory)):
        if per_task > 0:
            slots = min(slots, int(total / per_task + SLACK))
    return max(1, slots)


def hourly_price_per_task(spec: JobSpec, type_: MachineType, spot: bool) -> float:
    """The price of an hour of capacity for one task on a machine of this type."""
    return (type_.spot_price if spot else type_.price) / tasks_per_machine(spec, type_)


class PriceLimit(NamedTuple):
    """The lowest price of capacity for a job, and whether the job is kept off capacity at several times that price."""

    lowest_hourly_price: float
    exclude_expensive: bool

    def is_expensive(self, spec: JobSpec, type_: MachineType, spot: bool) -> bool:
        return hourly_price_per_task(spec, type_, spot) > EXPENSIVE_PRICE_RATIO * self.lowest_hourly_price


NO_PRICE_LIMIT = PriceLimit(math.inf, False)


def lowest_hourly_price_per_task(spec: JobSpec, types: Iterable[MachineType]) -> float:
    """The lowest price of an hour of capacity for one task among these types, or 0 if none fits."""
    return min(
        (hourly_price_per_task(spec, t, s) for t in types if type_fits(spec, t) for s in {False, spec.spot}),
        default=0.0,
    )
