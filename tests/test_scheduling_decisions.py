"""Tests of pure functions: job order, team limits, placement, preemption and rental planning."""

from collections import Counter
from dataclasses import replace
from datetime import UTC, datetime, timedelta

from kelpjunction.clock import ZERO
from kelpjunction.fleet.demand import CapacityRequest, Offer, plan_rentals
from kelpjunction.placement import MachineView, PreemptionCache, PriceLimit, Victim, place, place_gang, plan_preemptions
from kelpjunction.queue import (
    JobDemand,
    LargeJobs,
    PendingJob,
    PreemptionPolicy,
    Usage,
    exceeds_limit,
    in_order,
    weight_factors,
)
from kelpjunction.settings import Team
from kelpjunction.wire.messages import MachineType
from kelpjunction.wire.users import parse_job

NOW = datetime(2026, 1, 1, 12, tzinfo=UTC)
SMALL = MachineType("small", 8, 0, 32, 40, 1.0, 1.0, 0.4, timedelta(seconds=30), ("a", "b"))
GPU = MachineType("gpu", 48, 4, 384, 100, 0.5, 12.0, 5.0, timedelta(seconds=30), ("a", "b"))


def job(ref="j-1", **fields):
    base = {
        "ref": ref, "stripe": "s", "crew": "red", "shape": "batch", "urgency": "standard", "fronds": 4,
        "cpus": 2.0, "accelerators": 0.0, "ram_gb": 4.0, "bundle": "img", "image_gb": 2.0,
        "together": False, "apart": False, "driftwood": False, "expect_s": 0.0, "mark_s": 0.0, "stow_s": 0.0,
    }  # fmt: skip
    return parse_job(base | fields)


def view(name, type_=SMALL, zone="a", spot=False, **fields):
    return MachineView(name, type_, zone, spot, type_.cpus, type_.gpus, type_.memory, **fields)


def test_order_is_by_weighted_deficit_and_arrival_credit_puts_new_service_before_old_array():
    jobs = [
        PendingJob("j-array", 10, NOW - timedelta(seconds=60), ZERO),
        PendingJob("j-service", 100, NOW, ZERO),
        PendingJob("j-served", 10, NOW - timedelta(seconds=90), timedelta(seconds=500)),
    ]
    assert in_order(jobs, NOW, timedelta(seconds=30)) == ["j-service", "j-array", "j-served"]


def test_many_services_of_one_team_do_not_starve_a_gang():
    teams = {"red": Team("red", 4, 0, None, None), "blue": Team("blue", 4, 0, None, None)}
    submitted = {f"j-{i}": NOW - timedelta(seconds=60 - i) for i in range(60)}
    demands = {"red": [JobDemand(ref, 2.0, 0.0) for ref in submitted], "blue": [JobDemand("j-gang", 4.0, 0.0)]}
    factors = weight_factors({"red": list(submitted), "blue": ["j-gang"]}, demands, teams)
    assert factors["j-gang"] == factors["j-0"] == factors["j-1"] == 1.0, (
        "a job within its team's guarantee keeps its full weight"
    )
    services = [PendingJob(ref, 100 * factors[ref], at, ZERO) for ref, at in submitted.items()]
    order = in_order(
        [*services, PendingJob("j-gang", factors["j-gang"], NOW - timedelta(seconds=60), ZERO)],
        NOW,
        timedelta(seconds=30),
    )
    assert order[:2] == ["j-0", "j-1"]
    assert order.index("j-gang") < order.index("j-59"), "the services submitted last are ordered after the gang"
    unscaled = [PendingJob(ref, 100, at, ZERO) for ref, at in submitted.items()]
    order_unscaled = in_order(
        [*unscaled, PendingJob("j-gang", 1, NOW - timedelta(seconds=60), ZERO)], NOW, timedelta(seconds=30)
    )
    assert order_unscaled[-1] == "j-gang", "without weight factors the gang is last"


def test_team_limit_counts_usage_and_none_means_unlimited():
    teams = {"red": Team("red", 4, 0, 10, None), "blue": Team("blue", 4, 0, None, None)}
    usage = Usage(teams)
    usage.add("red", 2.0, 0.0, 4)
    assert usage.startable_tasks("red", 2.0, 0.0, 99) == 1
    assert usage.startable_tasks("blue", 2.0, 0.0, 99) == 99
    assert usage.startable_tasks("nobody", 2.0, 0.0, 99) == 0
    assert exceeds_limit(teams["red"], 2.0, 0.0, 6)
    assert not exceeds_limit(teams["red"], 2.0, 0.0, 5)


def test_spread_service_puts_at_most_half_in_a_zone():
    views = [view("n-1"), view("n-2"), view("n-3", zone="b")]
    chosen = place(job(shape="service", apart=True, fronds=5), 5, views, Counter(), Counter())
    assert Counter(v.zone for v in chosen) == {"a": 3, "b": 2}


def test_array_prefers_the_machine_that_has_the_image():
    chosen = place(job(), 1, [view("n-1"), view("n-2", images={"img"})], Counter(), Counter())
    assert chosen[0].name == "n-2"


def test_cpu_work_leaves_capacity_reserved_for_gpu_work():
    box = view("n-1", GPU)
    box.reserve_for_job(job(cpus=43.0, accelerators=4.0, ram_gb=310.0))
    assert len(place(job(fronds=9), 9, [box], Counter(), Counter())) == 2


def test_gang_uses_one_zone_and_few_machines_or_nothing():
    views = [view("n-1"), view("n-2"), view("n-3", zone="b"), view("n-4", zone="b"), view("n-5", zone="b")]
    views[0].allocate(job(), 2)
    chosen = place_gang(job(shape="ensemble", fronds=8, together=True), views)
    assert {v.zone for v in chosen} == {"b"}
    assert len({v.name for v in chosen}) == 2
    assert place_gang(job(shape="ensemble", fronds=99, together=True), views) is None


def test_preemption_chooses_victims_with_least_loss():
    full = [view("n-1"), view("n-2")]
    for v in full:
        v.allocate(job(), 4)
    victims = {
        "n-1": [Victim("long", job(), timedelta(seconds=50))],
        "n-2": [Victim("short", job(), timedelta(seconds=5))],
    }
    service = job(shape="service", urgency="prod")
    chosen_view, chosen = plan_preemptions(
        service, 1, full, PreemptionCache(victims, PreemptionPolicy({}, frozenset())), Counter()
    )[0]
    assert chosen_view.name == "n-2"
    assert [v.placement for v in chosen] == ["short"]


def test_plan_rentals_takes_cheapest_across_zones_and_counts_pending():
    catalog = {"small": SMALL, "gpu": GPU}
    want = [CapacityRequest(job(driftwood=True), 12)]
    requests = plan_rentals(want, catalog, {}, set(), {"a": 2, "b": 1}, max_per_request=50)
    assert [(r.offer, r.count) for r in requests] == [(Offer("small", "b", True), 2), (Offer("small", "a", True), 1)]
    assert plan_rentals(want, catalog, {"small": 3}, set(), {}, max_per_request=50) == []


def test_plan_rentals_packs_small_jobs_onto_shared_machines():
    """Counted on one day of the fleet: about 200 rental requests, mostly for one machine, as each job made its own."""
    catalog = {"small": SMALL, "gpu": GPU}
    wants = [CapacityRequest(job(f"j-{n}"), 1) for n in range(12)]
    requests = plan_rentals(wants, catalog, {"small": 1}, set(), {}, max_per_request=50)
    assert sum(r.count for r in requests) == 2, "each machine runs four tasks, and one machine is already rented"


def test_plan_rentals_alternates_types_and_keeps_one_zone_gang_together():
    """Counted on one day of the fleet: 25 gangs waited 40 s until all small machines had been requested."""
    catalog = {"small": SMALL, "gpu": GPU}
    taken = {Offer("small", "a", True)}
    gang = job("j-2", shape="ensemble", fronds=2, cpus=30.0, accelerators=4.0, ram_gb=8.0, together=True)
    wants = [
        CapacityRequest(job("j-1", driftwood=True), 4),
        CapacityRequest(job("j-3", bay="a"), 4),
        CapacityRequest(gang, 2),
    ]
    requests = plan_rentals(wants, catalog, {}, taken, {}, max_per_request=50)
    assert [(r.offer.type, r.count) for r in requests] == [("small", 1), ("gpu", 2), ("small", 1)]


def test_expensive_machines_are_not_rented_without_objective():
    catalog = {"small": SMALL, "gpu": GPU}
    taken = {Offer("small", z, s) for z in ("a", "b") for s in (False, True)}
    assert (
        plan_rentals(
            [CapacityRequest(job(fronds=99), 99, PriceLimit(0.1, True))], catalog, {}, taken, {}, max_per_request=50
        )
        == []
    )
    requests = plan_rentals(
        [CapacityRequest(job(fronds=99), 99, PriceLimit(0.1, False))], catalog, {}, taken, {}, max_per_request=50
    )
    assert {r.offer.type for r in requests} == {"gpu"}
    assert sum(r.count for r in requests) == 5


def test_arrays_use_expensive_machines_last_or_never():
    views = [view("n-1", GPU), view("n-2")]
    chosen = place(job(fronds=9), 9, views, Counter(), Counter(), PriceLimit(0.1, False))
    assert [v.name for v in chosen] == ["n-2"] * 4 + ["n-1"] * 5
    views = [view("n-1", GPU), view("n-2")]
    chosen = place(job(fronds=9), 9, views, Counter(), Counter(), PriceLimit(0.1, True))
    assert [v.name for v in chosen] == ["n-2"] * 4


def test_patient_array_waits_for_spot_before_on_demand():
    catalog = {"small": replace(SMALL, price=3.0, spot_price=1.0)}
    gone = {Offer("small", zone, True) for zone in SMALL.zones}
    want = CapacityRequest(job(driftwood=True), 12)
    assert {r.offer.spot for r in plan_rentals([want], catalog, {}, gone, {}, max_per_request=50)} == {False}
    assert plan_rentals([want._replace(prefer_spot=True)], catalog, {}, gone, {}, max_per_request=50) == []
    catalog = {"small": replace(SMALL, price=2.5, spot_price=1.0)}
    assert plan_rentals([want._replace(prefer_spot=True)], catalog, {}, gone, {}, max_per_request=50) != [], (
        "waiting for spot machines would save little"
    )


def test_replicas_pack_gpu_machines_and_spread_over_cpu_machines():
    views = [view("n-1", GPU), view("n-2", GPU), view("n-3"), view("n-4")]
    views[1].allocate(job(accelerators=1.0, cpus=1.0, bundle="other"))
    service = job(shape="service", urgency="prod", accelerators=1.0, cpus=1.0)
    assert [v.name for v in place(service, 1, views, Counter(), Counter())] == ["n-2"]
    views[2].allocate(job(cpus=1.0, bundle="other"))
    plain = job(shape="service", urgency="prod", cpus=1.0)
    assert [v.name for v in place(plain, 1, views[2:], Counter(), Counter())] == ["n-4"]


def test_escalated_jobs_order_after_services_oldest_first():
    def at(s):
        return NOW - timedelta(seconds=s)

    jobs = [
        PendingJob("j-service", 100, at(1), ZERO, is_service=True),
        PendingJob("j-array", 10, at(40), ZERO),
        PendingJob("j-giant", 10, at(90), timedelta(hours=2), escalated=True),
        PendingJob("j-gang", 1, at(200), ZERO, escalated=True),
        PendingJob("j-old-service", 0.1, at(9), ZERO, is_service=True),
    ]
    assert in_order(jobs, NOW, timedelta(seconds=30)) == ["j-service", "j-gang", "j-giant", "j-array", "j-old-service"]


def test_job_is_escalated_while_large_and_not_fully_started():
    large_jobs = LargeJobs({"red": Team("red", 4, 0, 100, None), "guest": Team("guest", 0, 0, None, None)})
    large, small = job(fronds=90), job("j-2", fronds=30)
    large_jobs.record([large, small])
    late, soon = timedelta(seconds=121), timedelta(seconds=119)
    assert large_jobs.is_escalated(large, 10, late)
    assert not large_jobs.is_escalated(large, 10, soon)
    assert not large_jobs.is_escalated(small, 10, late)
    assert not large_jobs.is_escalated(large, 50, late), "50 tasks use 100 CPUs, its team's limit"
    assert not large_jobs.is_escalated(replace(large, team="guest"), 0, late)
