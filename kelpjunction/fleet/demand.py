"""Plans which machines to rent for tasks that lack capacity.  Pure functions, without I/O or state."""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from kelpjunction.placement import (
    NO_PRICE_LIMIT,
    SLACK,
    PriceLimit,
    hourly_price_per_task,
    tasks_per_machine,
    type_fits,
)
from kelpjunction.wire.messages import JobSpec, MachineType

SPOT_ONLY_PRICE_RATIO = 3


class Offer(NamedTuple):
    """A machine type in one zone, spot or on demand, that can be rented."""

    type: str
    zone: str
    spot: bool


class CapacityRequest(NamedTuple):
    """Tasks of one job that lack capacity, and what may be paid for it."""

    spec: JobSpec
    tasks: int
    price_limit: PriceLimit = NO_PRICE_LIMIT
    prefer_spot: bool = False  # spot only, for types whose on-demand price is several times higher


def offers(capacity_request: CapacityRequest, catalog: dict[str, MachineType]) -> list[Offer]:
    """Return the offers that fit a job and its price limit, lowest price per task first."""
    spec, price_limit = capacity_request.spec, capacity_request.price_limit
    found: list[tuple[float, Offer]] = []
    for type_ in catalog.values():
        if not type_fits(spec, type_):
            continue
        for zone in type_.zones:
            if spec.zone in (None, zone):
                kinds = (False, True) if spec.spot else (False,)
                if capacity_request.prefer_spot and type_.price >= SPOT_ONLY_PRICE_RATIO * type_.spot_price:
                    kinds = (True,)
                found.extend(
                    (hourly_price_per_task(spec, type_, k), Offer(type_.name, zone, k))
                    for k in kinds
                    if not (price_limit.exclude_expensive and price_limit.is_expensive(spec, type_, k))
                )
    return [offer for _, offer in sorted(found)]


class Request(NamedTuple):
    """Machines to request from the cloud, and one of the jobs that need them."""

    offer: Offer
    count: int
    spec: JobSpec


@dataclass(slots=True)
class _Shortage:
    """The combined shortage of capacity requests that have the same cheapest offers."""

    spec: JobSpec
    machines: float = 0.0
    group_size: int = 1  # machines that are useful only together, in one zone


def plan_rentals(
    capacity_requests: Iterable[CapacityRequest],
    catalog: dict[str, MachineType],
    booting: dict[str, int],
    refused: set[Offer],
    machines_by_zone: dict[str, int],
    max_per_request: int,
) -> list[Request]:
    """Return the next rental requests, of at most `max_per_request` machines each.

    `booting` counts the booting machines of each type, whose capacity is not
    rented again.  Small jobs share machines, so booting and missing machines
    are counted in fractions.  Shortages of several jobs are requested together
    because the cloud allows few calls.  Requests alternate between types, so
    that a queue for one type does not delay jobs that need another.  Among
    equally cheap offers, the zones with the fewest machines come first.
    """
    unclaimed = {name: float(count) for name, count in booting.items()}
    shortages: dict[tuple[Offer, ...], _Shortage] = {}
    offers_by_need: dict[tuple, list[Offer]] = {}  # computed once per need: many jobs have the same
    for capacity_request in capacity_requests:
        spec, left = capacity_request.spec, float(capacity_request.tasks)
        needs = (spec.needs, capacity_request.price_limit, capacity_request.prefer_spot)
        job_offers = offers_by_need.get(needs)
        if job_offers is None:
            job_offers = offers_by_need[needs] = offers(capacity_request, catalog)
        for name in dict.fromkeys(o.type for o in job_offers):
            slots = tasks_per_machine(spec, catalog[name])
            used = min(unclaimed.get(name, 0.0), left / slots)
            if used > 0:
                unclaimed[name] -= used
                left -= used * slots
        available = [o for o in job_offers if o not in refused]
        if left <= SLACK or not available:
            continue
        equal_offers = tuple(o for o in available if o[::2] == available[0][::2])
        slots = tasks_per_machine(spec, catalog[equal_offers[0].type])
        shortage = shortages.setdefault(equal_offers, _Shortage(spec))
        shortage.machines += left / slots
        if spec.one_zone:
            shortage.group_size = max(shortage.group_size, -(-spec.tasks // slots))
    requests_by_type: Counter = Counter()
    ranked: list[tuple[int, list[Request]]] = []
    for equal_offers, shortage in shortages.items():
        ranked.append(
            (
                requests_by_type[equal_offers[0].type],
                _spread_over_zones(shortage, equal_offers, machines_by_zone, max_per_request),
            )
        )
        requests_by_type[equal_offers[0].type] += 1
    return [request for _, requests in sorted(ranked, key=lambda entry: entry[0]) for request in requests]


def _spread_over_zones(
    shortage: _Shortage, equal_offers: tuple[Offer, ...], machines_by_zone: dict[str, int], max_per_request: int
) -> list[Request]:
    """Return requests that cover a shortage, balanced over zones, with each group of machines in one zone."""
    left = math.ceil(shortage.machines - SLACK)
    counts: Counter[Offer] = Counter()
    while left > 0:
        offer = min(equal_offers, key=lambda o: (machines_by_zone.get(o.zone, 0) + counts[o], o.zone))
        count = min(left, shortage.group_size)
        counts[offer] += count
        left -= count
    return [Request(offer, min(count, max_per_request), shortage.spec) for offer, count in counts.items()]
