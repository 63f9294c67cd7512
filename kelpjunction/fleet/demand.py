"""How many machines of which kind are wanted, and which are not.  Pure."""

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
    """Something that can be rented."""

    type: str
    zone: str
    spot: bool


class CapacityRequest(NamedTuple):
    """Tasks of one job that found no room, and what may be paid for it."""

    spec: JobSpec
    tasks: int
    price_limit: PriceLimit = NO_PRICE_LIMIT
    prefer_spot: bool = False  # it waits for spot machines where others of the type cost several times as much


def offers(capacity_request: CapacityRequest, catalog: dict[str, MachineType]) -> list[Offer]:
    """What could be rented for this job, the cheapest room first."""
    spec, budget = capacity_request.spec, capacity_request.price_limit
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
                    if not (budget.exclude_expensive and budget.is_expensive(spec, type_, k))
                )
    return [offer for _, offer in sorted(found)]


class Request(NamedTuple):
    """Machines to ask the cloud for, and a job that lacks their room."""

    offer: Offer
    count: int
    spec: JobSpec


@dataclass(slots=True)
class _Lack:
    """What wants that would rent the same lack together."""

    spec: JobSpec
    machines: float = 0.0
    unit: int = 1  # machines that are of use only together, in one zone


def plan_rentals(
    capacity_requests: Iterable[CapacityRequest],
    catalog: dict[str, MachineType],
    coming: dict[str, int],
    refused: set[Offer],
    supply: dict[str, int],
    most: int,
) -> list[Request]:
    """The next requests for machines, at most `most` machines each.

    `coming` counts machines by type that boot already: room that is on its
    way is not rented again.  Small jobs share machines, so both are reckoned
    in parts of machines, and what several jobs lack is asked for together: the
    cloud allows few calls.  The types take turns, so that a queue for one does
    not keep the work waiting that needs another.  `supply` counts machines by
    zone: among equally cheap offers the zones with fewest come first.
    """
    left_of = {name: float(count) for name, count in coming.items()}
    lacks: dict[tuple[Offer, ...], _Lack] = {}
    known: dict[tuple, list[Offer]] = {}  # offers by what a job needs: many need the same
    for want in capacity_requests:
        spec, left = want.spec, float(want.tasks)
        needs = (spec.needs, want.price_limit, want.prefer_spot)
        choices = known.get(needs)
        if choices is None:
            choices = known[needs] = offers(want, catalog)
        for name in dict.fromkeys(o.type for o in choices):
            slots = tasks_per_machine(spec, catalog[name])
            used = min(left_of.get(name, 0.0), left / slots)
            if used > 0:
                left_of[name] -= used
                left -= used * slots
        open_ = [o for o in choices if o not in refused]
        if left <= SLACK or not open_:
            continue
        same = tuple(o for o in open_ if o[::2] == open_[0][::2])
        slots = tasks_per_machine(spec, catalog[same[0].type])
        lack = lacks.setdefault(same, _Lack(spec))
        lack.machines += left / slots
        if spec.one_zone:
            lack.unit = max(lack.unit, -(-spec.tasks // slots))
    turns: Counter = Counter()
    ranked: list[tuple[int, list[Request]]] = []
    for same, lack in lacks.items():
        ranked.append((turns[same[0].type], _share_out(lack, same, supply, most)))
        turns[same[0].type] += 1
    return [request for _, requests in sorted(ranked, key=lambda entry: entry[0]) for request in requests]


def _share_out(lack: _Lack, same: tuple[Offer, ...], supply: dict[str, int], most: int) -> list[Request]:
    """Machines for a lack, levelled out over the zones; what is of use only together is not parted."""
    left = math.ceil(lack.machines - SLACK)
    counts: Counter[Offer] = Counter()
    while left > 0:
        offer = min(same, key=lambda o: (supply.get(o.zone, 0) + counts[o], o.zone))
        count = min(left, lack.unit)
        counts[offer] += count
        left -= count
    return [Request(offer, min(count, most), lack.spec) for offer, count in counts.items()]
