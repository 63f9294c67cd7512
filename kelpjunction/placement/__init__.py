"""Placement of tasks on machines: a greedy choice, improved by swaps, and the choice of tasks to preempt.

The functions are pure except for the views that they are given, which are the
caller's scratch copies and are updated in place.  `views` describes the
machines, `free_capacity` indexes them, `tasks` and `gangs` choose machines,
`preemption` chooses tasks to stop, and `prices` computes the price per task.
"""

from kelpjunction.placement.free_capacity import FreeCapacityIndex, MachineKind, MachineSelection, selection_of
from kelpjunction.placement.gangs import place_gang
from kelpjunction.placement.preemption import PreemptionCache, Victim, plan_preemptions
from kelpjunction.placement.prices import (
    EXPENSIVE_PRICE_RATIO,
    NO_PRICE_LIMIT,
    PriceLimit,
    hourly_price_per_task,
    lowest_hourly_price_per_task,
    tasks_per_machine,
)
from kelpjunction.placement.tasks import place
from kelpjunction.placement.views import SLACK, MachineView, allowed, fetch_cost, type_fits, zone_room

__all__ = [
    "EXPENSIVE_PRICE_RATIO",
    "NO_PRICE_LIMIT",
    "SLACK",
    "FreeCapacityIndex",
    "MachineKind",
    "MachineSelection",
    "MachineView",
    "PreemptionCache",
    "PriceLimit",
    "Victim",
    "allowed",
    "fetch_cost",
    "hourly_price_per_task",
    "lowest_hourly_price_per_task",
    "place",
    "place_gang",
    "plan_preemptions",
    "selection_of",
    "tasks_per_machine",
    "type_fits",
    "zone_room",
]
