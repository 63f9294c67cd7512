"""How many machines of which kind are wanted, and which are not.  Pure."""

from collections.abc import Iterable
from typing import NamedTuple

from kelpjunction.placement import ANY_PRICE, Budget, slot_price, slots_on, type_fits
from kelpjunction.wire.messages import JobSpec, MachineType


class Offer(NamedTuple):
    """Something that can be rented."""

    type: str
    zone: str
    spot: bool


class Want(NamedTuple):
    """Tasks of one job that found no room, and what may be paid for it."""

    spec: JobSpec
    tasks: int
    budget: Budget = ANY_PRICE


def offers(want: Want, catalog: dict[str, MachineType]) -> list[Offer]:
    """What could be rented for this job, the cheapest room first."""
    spec, budget = want.spec, want.budget
    found: list[tuple[float, Offer]] = []
    for type_ in catalog.values():
        if not type_fits(spec, type_):
            continue
        for zone in type_.zones:
            if spec.zone in (None, zone):
                kinds = (False, True) if spec.spot else (False,)
                found.extend(
                    (slot_price(spec, type_, k), Offer(type_.name, zone, k))
                    for k in kinds
                    if not (budget.cheap_only and budget.dear(spec, type_, k))
                )
    return [offer for _, offer in sorted(found)]


def to_rent(
    wants: Iterable[Want],
    catalog: dict[str, MachineType],
    coming: dict[str, int],
    refused: set[Offer],
    supply: dict[str, int],
    most: int,
) -> tuple[Offer, int, JobSpec] | None:
    """The next request for machines, or None.

    `coming` counts machines by type that boot already: room that is on its
    way is not rented again.  `supply` counts machines by zone: among equally
    cheap offers the zone with fewest gets the next.
    """
    coming = dict(coming)
    for want in wants:
        spec, left = want.spec, want.tasks
        choices = offers(want, catalog)
        for name in {o.type for o in choices}:
            slots = slots_on(spec, catalog[name])
            used = min(coming.get(name, 0), -(-left // slots))
            if used > 0:
                coming[name] -= used
                left -= used * slots
        open_ = [o for o in choices if o not in refused]
        if left <= 0 or not open_:
            continue
        first = open_[0]
        same = [o for o in open_ if o.type == first.type and o.spot == first.spot]
        best = min(same, key=lambda o: (supply.get(o.zone, 0), o.zone))
        machines = -(-left // slots_on(spec, catalog[best.type]))
        # Large requests, since the cloud allows few; a share each, so that zones take turns.
        return best, max(1, min(most, -(-machines // len(same)))), spec
    return None
