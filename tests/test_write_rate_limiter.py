"""The limiter of writes to the state service: the order of purposes, and the rules that hold when writes are refused.

See docs/budget.md.
"""

from datetime import timedelta

import pytest
from fault_schedules import FaultSchedule
from traces import ready_world

from kelpjunction.clock import ZERO
from kelpjunction.fleet.rental_record import RentalRecord
from kelpjunction.lab.world import seconds
from kelpjunction.rate_limiter import PURPOSE_POLICIES, LimiterState, Purpose, WriteRateLimiter
from kelpjunction.settings import StoreLimits


def store_limits_for_rate(changes: float) -> StoreLimits:
    """Limits of a state service with this many changes per second and proportional requests, as at the third site."""
    return StoreLimits(max(60.0, changes * 8 / 3), changes, 8192, 12)


# Decisions


def test_less_urgent_purposes_leave_capacity_for_urgent():
    limiter = WriteRateLimiter(30.0, ZERO)
    assert [limiter.available_changes(p, ZERO)
        for p in (Purpose.COORDINATION, Purpose.SUBMIT, Purpose.ARRAY, Purpose.BEST_EFFORT)] == [
        30, 28, 22, 12,
    ]  # fmt: skip
    assert limiter.try_reserve(Purpose.ARRAY, 22, ZERO)
    assert not limiter.try_reserve(Purpose.ARRAY, 1, ZERO)
    assert limiter.try_reserve(Purpose.SERVICE, 5, ZERO), "capacity reserved from arrays is available to a service"
    assert limiter.try_reserve(Purpose.COORDINATION, 4, ZERO), "coordination writes are not delayed"
    assert limiter.state is LimiterState.THROTTLED


def test_purpose_past_max_delay_is_admitted_first():
    limiter, now = WriteRateLimiter(10.0, ZERO), ZERO
    assert limiter.try_reserve(Purpose.COORDINATION, 10, now)
    assert not limiter.try_reserve(Purpose.RESULT, 8, now)
    admitted_at = None
    while admitted_at is None and now < seconds(10):
        now += seconds(0.1)
        limiter.try_reserve(Purpose.SERVICE, 1, now)
        if limiter.try_reserve(Purpose.RESULT, 8, now):
            admitted_at = now
    assert admitted_at is not None and admitted_at <= PURPOSE_POLICIES[Purpose.RESULT].max_delay + seconds(1)


def test_idle_purpose_holds_back_no_capacity():
    limiter = WriteRateLimiter(10.0, ZERO)
    assert limiter.try_reserve(Purpose.COORDINATION, 10, ZERO)
    assert not limiter.try_reserve(Purpose.RESULT, 10, ZERO)
    assert limiter.available_changes(Purpose.GANG, seconds(5)) == 8, (
        "no capacity is held for a purpose that has not asked again"
    )


def test_foreign_changes_and_refusals_reduce_capacity():
    limiter = WriteRateLimiter(30.0, ZERO)
    limiter.on_foreign_changes(20, ZERO)
    assert limiter.available_changes(Purpose.CANCEL_OR_FENCE, ZERO) == 30, "cancellations and fencing are not delayed"
    assert limiter.available_changes(Purpose.SERVICE, ZERO) == 7
    assert limiter.try_reserve(Purpose.SERVICE, 6, ZERO)
    limiter.on_refusal(Purpose.SERVICE, 6, ZERO)
    assert limiter.available_changes(Purpose.SERVICE, ZERO) == 0, "the refused write shows fewer than six were left"
    assert limiter.state is LimiterState.REFUSED
    assert limiter.refusals[Purpose.SERVICE] == 1 and limiter.spent[Purpose.SERVICE] == 0
    assert limiter.available_changes(Purpose.SERVICE, seconds(1)) > 20


# Nodes


def test_node_subtracts_foreign_changes_from_capacity():
    world = ready_world()
    node, other = (world.nodes[name] for name in ("holdfast-0", "holdfast-1"))
    available_before = node.store.available_changes(Purpose.BEST_EFFORT)
    for n in range(10):
        assert other.store.commit({}, {f"l/other/{n}": n}).revision
    node.watch_store()
    assert node.store.available_changes(Purpose.BEST_EFFORT) == available_before - 10


@pytest.mark.parametrize("changes", [5, 15, 30, 100])
def test_rules_hold_and_jobs_finish_at_any_rate(changes):
    """A low rate slows work down but must not stop it. At 30 changes/s, no job was served and rules were broken."""
    world = ready_world(machines=9, capacity=12, store=store_limits_for_rate(changes))
    refs = [f"j-{n:03d}" for n in range(18)]
    shapes = ({"shape": "service", "urgency": "prod", "apart": True}, {"shape": "batch"}, {"shape": "ensemble"})
    for n, ref in enumerate(refs):
        world.submit(ref, 1 + n % 4, cpus=1.0, run_s=5.0, crew="blue", **shapes[n % 3])
        world.run(0.5)
    world.kill_node(world.leader().platform.node)
    machine = next(iter(world.cloud.machines.values()))[0]
    machine.alive = False
    machine.tasks.clear()
    world.run(20)
    for name, node in world.nodes.items():
        if node is None:
            world.start_node(name)
    services = [ref for ref in refs[::3] if world.last_told_state.get(ref)]
    assert world.run(20, lambda: all(world.abort(ref) == 200 for ref in services)), "users retry the cancellation"
    world.run(60)
    assert world.broken == []
    accepted = [ref for ref in refs if world.last_told_state.get(ref)]
    assert len(accepted) >= 12
    assert [ref for ref in accepted if world.poll(ref) not in ("done", "withdrawn")] == []
    assert world.running() == []


def test_refused_changes_cause_no_leader_change():
    """Found at the third site: repeated writes used up the requests that renewals of store leases needed."""
    world = ready_world(machines=9, capacity=12, store=store_limits_for_rate(5))
    leader = world.leader_name()
    for n in range(40):
        world.submit(f"j-{n:03d}", 2, cpus=0.5, run_s=3.0, crew="blue")
    for _ in range(60):
        world.run(1)
        assert world.leader_name() == leader
    assert world.broken == []


def test_cancelled_tasks_are_stopped_while_all_writes_are_refused():
    """Found at the third site: a round waited 40 s for its writes, and cancelled tasks kept running."""
    world = ready_world(machines=6)
    world.submit("j-1", 4, run_s=600.0)
    world.submit("j-2", 4, run_s=2.0)
    assert world.run(10, lambda: len(world.running("j-1")) == 4)
    for node in world.nodes.values():
        node.store.try_commit = lambda txn, node=node: node.store.commit({"never": 1})
        node.holder_scheduler.round = lambda: True  # stands for a round that waits for its writes
    assert world.abort("j-1") == 200
    assert world.run(5, lambda: world.running("j-1") == [])


def test_rules_hold_while_the_service_refuses_everything_for_a_minute():
    world = ready_world(machines=6, store=store_limits_for_rate(30))
    world.submit("j-1", 4, shape="service", urgency="prod", apart=True)
    world.submit("j-2", 6, run_s=20.0)
    assert world.run(10, lambda: len(world.running()) == 10)
    world.abort("j-2")
    world.store.reject_all = True
    world.run(60)
    assert world.running("j-2") == [], "the lease of a cancelled task ends in time although all writes are refused"
    world.store.reject_all = False
    assert world.run(30, lambda: len(world.running("j-1")) == 4)
    world.run(30)
    assert world.poll("j-2") == "withdrawn"
    assert world.broken == []


@pytest.mark.parametrize("seed", [5, 6, 7, 8])
def test_rules_hold_in_random_schedules_on_a_slow_service(seed):
    schedule = FaultSchedule(seed)
    schedule.world.store.limits = store_limits_for_rate(8)
    world = schedule.play(lambda world: None, steps=40)
    assert world.broken == []


# Records


def test_change_of_many_machines_writes_pages_not_one_key_each():
    world = ready_world(machines=48, capacity=48)
    before = world.store.applied_changes
    for worker, _ in world.cloud.machines.values():
        worker.notice_at = world.clock.now + seconds(100)
    world.run(8)
    machines = {name: m for n in world.nodes.values() for name, m in n.inventory.machines.items()}
    assert {m.state.value for m in machines.values()} == {"leaving"}
    assert world.store.applied_changes - before < 24, "one key per machine would be 48 changes"


def test_stale_page_does_not_restore_returned_machine():
    world = ready_world()
    holder = world.leader()
    zone = holder.blocks.held_zones()[0]
    key, rows = next(iter(holder.inventory.pages(zone).items()))
    page, name = world.store.data[key][0], next(iter(rows))
    holder.inventory._forget(name, world.clock.now)
    holder.inventory._page_changed(key, page | {name: [*page[name][:3], "silent", []]}, 10**9)
    assert name not in holder.inventory.machines


def test_machine_records_of_earlier_versions_are_ignored():
    world = ready_world()
    old = {"a": "10.1.0.9:9000", "t": "plain", "z": "a", "s": False, "st": "up", "im": []}
    assert world.leader().store.commit({}, {"l/machine/n-000009": old}).revision
    world.run(2)
    assert all("n-000009" not in node.inventory.machines for node in world.nodes.values())
    world.kill_node("holdfast-1")
    world.start_node("holdfast-1")
    assert world.run(10, lambda: world.nodes["holdfast-1"].mirror.loaded)


def test_new_leader_repeats_pending_rentals_without_renting_twice():
    world = ready_world(machines=2, capacity=6)
    world.cloud.is_down = True
    world.submit("j-1", 30, crew="blue", run_s=60.0)
    assert world.run(10, lambda: bool(world.leader().inventory.rental_record.pending_rentals))
    pending = dict(world.leader().inventory.rental_record.pending_rentals)
    rental_names = []
    handle = world.cloud.handle

    def recording_handle(method, path, body):
        rental_names.append(body.get("charter"))
        return handle(method, path, body)

    world.cloud.handle = recording_handle
    world.cloud.is_down = False
    world.kill_node(world.leader_name())
    assert world.run(10, lambda: world.leader() is not None)
    world.run(10)
    assert set(pending) <= set(rental_names)
    assert len(world.cloud.machines) <= 6
    assert world.broken == []


def test_rental_record_drops_settled_and_bounds_gone():
    page = RentalRecord({"r-1": {"n": 1}}, ("m-1", "m-2"), ("m-0",))
    page = page.updated({"r-2": {"n": 2}}, {"r-1"}, ["m-3"], ["m-1"], max_gone=2)
    assert page == RentalRecord({"r-2": {"n": 2}}, ("m-2", "m-3"), ("m-0", "m-1"))
    assert page.updated({}, (), (), ["m-2", "m-3"], max_gone=2).gone == ("m-2", "m-3")
    assert RentalRecord.of(page.record()) == page


def test_pending_return_of_unknown_machine_is_completed():
    world = ready_world()
    leader = world.leader()
    assert leader.fleet._write_rental_record(new_returns=["n-000999"])
    assert world.run(10, lambda: leader.inventory.rental_record.gone == ("n-000999",))
    assert leader.inventory.rental_record.pending_returns == ()


def test_deferred_sweep_of_orphan_chunks_is_done_later():
    world = ready_world(machines=0, capacity=0)
    leader = world.leader()
    assert leader.store.commit({}, {"l/run/j-9/0": {"n": 1, "d": 0, "h": [], "p": []}}).revision
    leader.watch_store()
    leader.record_writer.orphan_chunks_possible = True
    leader.store.try_reserve = lambda purpose, ops: False
    leader.leader_scheduler._delete_orphan_chunks()
    assert leader.record_writer.orphan_chunks_possible and "l/run/j-9/0" in world.store.data
    del leader.store.try_reserve
    assert world.run(5, lambda: "l/run/j-9/0" not in world.store.data)


def test_delayed_rental_record_write_does_not_undo_newer():
    world = ready_world()
    fleet = world.leader().fleet
    world.filter = lambda source, target, path: "held" if path == "/commit" else None
    assert not fleet._write_rental_record(new_rentals={"r-0": {"t": "plain", "z": "a", "s": False, "n": 1}})
    world.filter = lambda *_: None
    assert fleet._write_rental_record(new_rentals={"r-9": {"t": "plain", "z": "a", "s": False, "n": 1}})
    world.deliver_late()
    assert set(world.store.data["l/cloud"][0]["rent"]) == {"r-9"}


def test_every_purpose_has_max_delay():
    assert set(PURPOSE_POLICIES) == set(Purpose)
    assert all(
        ZERO <= t.max_delay <= timedelta(seconds=20) and 0 <= t.reserved_fraction < 1 for t in PURPOSE_POLICIES.values()
    )
