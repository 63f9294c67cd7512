"""Machines as placement sees them, with what stands on them taken off."""

from collections import Counter
from collections.abc import Container, Iterable

from kelpjunction.fleet.cloud import Fleet
from kelpjunction.fleet.machines import Machine
from kelpjunction.jobs.book import Job, Load, Placement
from kelpjunction.placement import View, allowed, type_fits
from kelpjunction.wire.messages import MachineType, Shape

KEPT_SHARE = 0.9


def cached(images: Iterable[tuple[str, float]], cache_gb: float) -> set[str]:
    """Images a machine should still have: of these, most recently used first, as many as its cache takes."""
    kept: set[str] = set()
    for image, size in images:
        cache_gb -= size
        if cache_gb < 0:
            break
        kept.add(image)
    return kept


def view_of(machine: Machine, type_: MachineType, images: Container[str], load: Load, fleet: Fleet) -> View:
    """One machine with what is free on it now."""
    view = View(
        machine.name,
        type_,
        machine.zone,
        machine.spot,
        type_.cpus - load.cpus,
        type_.gpus - load.gpus,
        type_.memory - load.memory,
        images=images,
        arriving={image for image, n in load.images.items() if n} if load.placements else set(),
        tasks=len(load.placements),
        shunned=machine.suspected,
    )
    if type_.gpus and not fleet.scarce and fleet.plain_types:
        # What accelerator work needs is not known yet: leave it nearly all.
        view.keep(type_.cpus * KEPT_SHARE, type_.gpus, type_.memory * KEPT_SHARE)
    for spec in fleet.scarce:
        if type_fits(spec, type_) and allowed(spec, type_, view.zone, view.spot):
            view.keep_for(spec)
    return view


def able_for(job: Job, views: list[View]) -> list[View]:
    """The machines where no task of the job has failed, or all of them if it failed on each."""
    if not job.failed_on:
        return views
    return [v for v in views if v.name not in job.failed_on] or views


def emptied(view: View, placements: Iterable[Placement]) -> View:
    """The machine as it will be when all but the services on it have ended."""
    empty = View(
        view.name,
        view.type,
        view.zone,
        view.spot,
        view.type.cpus,
        view.type.gpus,
        view.type.memory,
        images=view.images,
        shunned=view.shunned,
        held_for=view.held_for,
    )
    for placement in placements:
        if placement.spec.shape is Shape.SERVICE:
            empty.take(placement.spec)
    return empty


def spread_of(job: Job) -> tuple[Counter, Counter]:
    """How many of the job's tasks each zone and each machine has, handed ones included."""
    zones: Counter = Counter()
    mates: Counter = Counter()
    for placement in job.placements():
        zones[placement.zone] += 1
        mates[placement.machine] += 1
    for _, handed in job.pending():
        zones[handed.zone] += 1
    return zones, mates
