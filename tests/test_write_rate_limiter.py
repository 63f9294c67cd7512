"""The state service's budget: who writes next, and what holds whatever is refused (docs/budget.md)."""

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
    """A state service of so many changes a second; requests in proportion, as the third place has them."""
    return StoreLimits(max(60.0, changes * 8 / 3), changes, 8192, 12)


# Decisions


def test_the_less_urgent_leave_room_for_the_urgent():
    budget = WriteRateLimiter(30.0, ZERO)
    assert [budget.available_changes(p, ZERO)
        for p in (Purpose.COORDINATION, Purpose.SUBMIT, Purpose.ARRAY, Purpose.BEST_EFFORT)] == [
        30, 28, 22, 12,
    ]  # fmt: skip
    assert budget.try_reserve(Purpose.ARRAY, 22, ZERO)
    assert not budget.try_reserve(Purpose.ARRAY, 1, ZERO)
    assert budget.try_reserve(Purpose.SERVICE, 5, ZERO), "a service finds what the array had to leave"
    assert budget.try_reserve(Purpose.COORDINATION, 4, ZERO), "a hold waits for nothing"
    assert budget.state is LimiterState.THROTTLED


def test_purpose_past_max_delay_is_admitted_first():
    budget, now = WriteRateLimiter(10.0, ZERO), ZERO
    assert budget.try_reserve(Purpose.COORDINATION, 10, now)
    assert not budget.try_reserve(Purpose.RESULT, 8, now)
    took = None
    while took is None and now < seconds(10):
        now += seconds(0.1)
        budget.try_reserve(Purpose.SERVICE, 1, now)
        if budget.try_reserve(Purpose.RESULT, 8, now):
            took = now
    assert took is not None and took <= PURPOSE_POLICIES[Purpose.RESULT].max_delay + seconds(1)


def test_idle_purpose_holds_back_no_capacity():
    budget = WriteRateLimiter(10.0, ZERO)
    assert budget.try_reserve(Purpose.COORDINATION, 10, ZERO)
    assert not budget.try_reserve(Purpose.RESULT, 10, ZERO)
    assert budget.available_changes(Purpose.GANG, seconds(5)) == 8, "its writer found nothing left to write"


def test_changes_of_others_and_refusals_count():
    budget = WriteRateLimiter(30.0, ZERO)
    budget.on_foreign_changes(20, ZERO)
    assert budget.available_changes(Purpose.CANCEL_OR_FENCE, ZERO) == 30, "it goes at once all the same"
    assert budget.available_changes(Purpose.SERVICE, ZERO) == 7
    assert budget.try_reserve(Purpose.SERVICE, 6, ZERO)
    budget.on_refusal(Purpose.SERVICE, 6, ZERO)
    assert budget.available_changes(Purpose.SERVICE, ZERO) == 0, "there was room for fewer than six"
    assert budget.state is LimiterState.REFUSED
    assert budget.refusals[Purpose.SERVICE] == 1 and budget.spent[Purpose.SERVICE] == 0
    assert budget.available_changes(Purpose.SERVICE, seconds(1)) > 20


# Nodes


def test_node_subtracts_foreign_changes_from_capacity():
    world = ready_world()
    node, other = (world.nodes[name] for name in ("holdfast-0", "holdfast-1"))
    left = node.store.available_changes(Purpose.BEST_EFFORT)
    for n in range(10):
        assert other.store.commit({}, {f"l/other/{n}": n}).revision
    node.watch_store()
    assert node.store.available_changes(Purpose.BEST_EFFORT) == left - 10


@pytest.mark.parametrize("changes", [5, 15, 30, 100])
def test_rules_hold_and_work_goes_on_at_any_rate(changes):
    """Scarcity costs speed, never everything: at 30 changes a second nothing was served, and rules were broken."""
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
    assert world.run(20, lambda: all(world.abort(ref) == 200 for ref in services)), "as users repeat it"
    world.run(60)
    assert world.broken == []
    accepted = [ref for ref in refs if world.last_told_state.get(ref)]
    assert len(accepted) >= 12
    assert [ref for ref in accepted if world.poll(ref) not in ("done", "withdrawn")] == []
    assert world.running() == []


def test_no_leader_is_lost_for_refusals_of_changes():
    """Found at the third place: writes that were sent again and again took the requests that holds needed."""
    world = ready_world(machines=9, capacity=12, store=store_limits_for_rate(5))
    leader = world.leader_name()
    for n in range(40):
        world.submit(f"j-{n:03d}", 2, cpus=0.5, run_s=3.0, crew="blue")
    for _ in range(60):
        world.run(1)
        assert world.leader_name() == leader
    assert world.broken == []


def test_cancelled_tasks_are_stopped_though_every_write_of_a_round_is_refused():
    """Found at the third place: a round stood for 40 s behind its writes, and cancelled tasks ran on."""
    world = ready_world(machines=6)
    world.submit("j-1", 4, run_s=600.0)
    world.submit("j-2", 4, run_s=2.0)
    assert world.run(10, lambda: len(world.running("j-1")) == 4)
    for node in world.nodes.values():
        node.store.try_commit = lambda txn, node=node: node.store.commit({"never": 1})
        node.holder_scheduler.round = lambda: True  # it waits for its writes
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
    assert world.running("j-2") == [], "whatever is refused, a cancelled task's lease ends in time"
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


def test_a_change_of_many_machines_costs_a_page_and_not_a_key_each():
    world = ready_world(machines=48, capacity=48)
    before = world.store.applied_changes
    for worker, _ in world.cloud.machines.values():
        worker.notice_at = world.clock.now + seconds(100)
    world.run(8)
    machines = {name: m for n in world.nodes.values() for name, m in n.inventory.machines.items()}
    assert {m.state.value for m in machines.values()} == {"leaving"}
    assert world.store.applied_changes - before < 24, "a key each would be 48"


def test_a_page_that_lags_does_not_bring_a_returned_machine_back():
    world = ready_world()
    holder = world.leader()
    zone = holder.blocks.held_zones()[0]
    key, rows = next(iter(holder.inventory.pages(zone).items()))
    page, name = world.store.data[key][0], next(iter(rows))
    holder.inventory._forget(name, world.clock.now)
    holder.inventory._page_changed(key, page | {name: [*page[name][:3], "silent", []]}, 10**9)
    assert name not in holder.inventory.machines


def test_records_of_machines_as_earlier_versions_wrote_them_do_no_harm():
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
    asked = dict(world.leader().inventory.rental_record.pending_rentals)
    names = []
    handle = world.cloud.handle

    def noting(method, path, body):
        names.append(body.get("charter"))
        return handle(method, path, body)

    world.cloud.handle = noting
    world.cloud.is_down = False
    world.kill_node(world.leader_name())
    assert world.run(10, lambda: world.leader() is not None)
    world.run(10)
    assert set(asked) <= set(names)
    assert len(world.cloud.machines) <= 6
    assert world.broken == []


def test_rental_record_drops_settled_and_bounds_gone():
    page = RentalRecord({"r-1": {"n": 1}}, ("m-1", "m-2"), ("m-0",))
    page = page.updated({"r-2": {"n": 2}}, {"r-1"}, ["m-3"], ["m-1"], room=2)
    assert page == RentalRecord({"r-2": {"n": 2}}, ("m-2", "m-3"), ("m-0", "m-1"))
    assert page.updated({}, (), (), ["m-2", "m-3"], room=2).gone == ("m-2", "m-3")
    assert RentalRecord.of(page.record()) == page


def test_a_machine_that_an_earlier_leader_asked_back_is_returned_though_nobody_knows_it():
    world = ready_world()
    leader = world.leader()
    assert leader.fleet._write_rental_record(back=["n-000999"])
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
    assert not fleet._write_rental_record(rent={"r-0": {"t": "plain", "z": "a", "s": False, "n": 1}})
    world.filter = lambda *_: None
    assert fleet._write_rental_record(rent={"r-9": {"t": "plain", "z": "a", "s": False, "n": 1}})
    world.deliver_late()
    assert set(world.store.data["l/cloud"][0]["rent"]) == {"r-9"}


def test_every_purpose_has_max_delay():
    assert set(PURPOSE_POLICIES) == set(Purpose)
    assert all(
        ZERO <= t.max_delay <= timedelta(seconds=20) and 0 <= t.reserved_fraction < 1 for t in PURPOSE_POLICIES.values()
    )
