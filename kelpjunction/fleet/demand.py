"""How many machines of which kind are wanted, and which are not.  Pure."""

from collections.abc import Iterable
from typing import NamedTuple

from kelpjunction.placement import type_fits
from kelpjunction.wire.messages import JobSpec, MachineType


class Offer(NamedTuple):
    """Something that can be rented."""

    type: str
    zone: str
    spot: bool


class Want(NamedTuple):
    """Tasks of one job that found no room."""

    spec: JobSpec
    tasks: int


def price_per_slot(spec: JobSpec, type_: MachineType, spot: bool) -> float:
    """What an hour of room for one task costs on a machine of this type."""
    return (type_.spot_price if spot else type_.price) / slots_on(spec, type_)


def offers(spec: JobSpec, catalog: dict[str, MachineType]) -> list[Offer]:
    """What could be rented for this job, the cheapest room first."""
    found: list[tuple[float, Offer]] = []
    for type_ in catalog.values():
        if not type_fits(spec, type_):
            continue
        for zone in type_.zones:
            if spec.zone in (None, zone):
                kinds = (False, True) if spec.spot else (False,)
                found.extend((price_per_slot(spec, type_, k), Offer(type_.name, zone, k)) for k in kinds)
    return [offer for _, offer in sorted(found)]


def slots_on(spec: JobSpec, type_: MachineType) -> int:
    """How many tasks of this job an empty machine of the type holds."""
    slots = 1_000_000
    for whole, each in ((type_.cpus, spec.cpus), (type_.gpus, spec.gpus), (type_.memory, spec.memory)):
        if each > 0:
            slots = min(slots, int(whole / each + 1e-6))
    return max(1, slots)


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
        left = want.tasks
        choices = offers(want.spec, catalog)
        for name in {o.type for o in choices}:
            slots = slots_on(want.spec, catalog[name])
            used = min(coming.get(name, 0), -(-left // slots))
            if used:
                coming[name] -= used
                left -= used * slots
            if left <= 0:
                break
        if left <= 0:
            continue
        open_ = [o for o in choices if o not in refused]
        if not open_:
            continue
        first = open_[0]
        same = [o for o in open_ if o.type == first.type and o.spot == first.spot]
        best = min(same, key=lambda o: (supply.get(o.zone, 0), o.zone))
        slots = slots_on(want.spec, catalog[best.type])
        return best, max(1, min(most, -(-left // slots))), want.spec
    return None
