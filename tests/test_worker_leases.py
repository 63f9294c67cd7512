"""When a placement is settled, and when a lease has ended (points 3 and 4 of docs/design.md)."""

import orjson
from traces import fault_on_path, ready_world, worker_of

from kelpjunction.lab.world import seconds

# Settling


def test_session_change_settles_what_stood_there_and_it_runs_again():
    world = ready_world()
    world.submit("j-1", run_s=30.0)
    assert world.run(10, lambda: world.running("j-1") != [])
    worker = worker_of(world, "j-1/0")
    worker.session += 1
    worker.tasks.clear()
    assert world.run(90, lambda: world.poll("j-1") == "done")
    assert world.broken == []


def test_start_that_is_held_back_cannot_revive_a_forgotten_task():
    world = ready_world(machines=1, capacity=1)
    worker = next(iter(world.cloud.machines.values()))[0]
    world.filter = fault_on_path("/commands held")
    world.submit("j-1", run_s=1.0)
    world.run(1)
    assert world.late, "the direct start is still under way"
    world.filter = lambda *_: None
    assert world.run(20, lambda: world.poll("j-1") == "done")
    world.run(40)
    assert not worker.tasks
    assert world.broken == []


def test_forget_waits_while_a_start_may_still_arrive():
    world = ready_world(machines=1, capacity=1)
    for node in world.nodes.values():
        node.blocks.issue_new_tokens = lambda zones: False
    world.late_request_delay_s = (600.0, 600.0)
    world.filter = fault_on_path("/commands held")
    world.submit("j-1", run_s=1.0)
    assert world.run(20, lambda: world.poll("j-1") == "done")
    world.filter = lambda *_: None
    world.run(6)
    assert world.late
    world.deliver_late()
    assert world.starts == ["j-1/0"]


def test_check_in_without_the_task_does_not_settle_it_while_its_start_may_still_arrive():
    world = ready_world(machines=1, capacity=1)
    worker = next(iter(world.cloud.machines.values()))[0]
    holder = next(n for n in world.nodes.values() if n.blocks.own_grant(worker.zone))
    for node in world.nodes.values():
        node.blocks.issue_new_tokens = lambda zones: False
    worker.next_report = world.clock.now + seconds(60)
    world.filter = fault_on_path("/commands held")
    world.submit("j-1", run_s=20.0)
    assert world.run(2, lambda: holder.job_index.jobs["j-1"].placed_count() == 1)
    holder.intake.abort("j-1")
    world.run(0.3)
    report = worker.report()
    assert holder.check_in(orjson.dumps(report))[0] == 200
    world.run(0.3)
    assert holder.job_index.jobs["j-1"].placed_count() == 1, "the start may still arrive under this token"
    del holder.blocks.issue_new_tokens
    world.run(0.3)
    worker.token = holder.blocks.own_token(worker.zone)
    holder.check_in(orjson.dumps(worker.report()))
    assert world.run(1, lambda: "j-1" not in holder.job_index.jobs), "a higher token rules that out"


def test_old_report_does_not_undo_a_newer_one():
    world = ready_world(machines=1, capacity=1)
    worker = next(iter(world.cloud.machines.values()))[0]
    old = orjson.dumps(worker.report())
    world.submit("j-1", run_s=30.0)
    assert world.run(5, lambda: world.running("j-1") != [])
    world.leader().check_in(old)
    placement = next(world.leader().job_index.placements())
    assert placement.is_active and placement.was_reported


# Lease end


def test_silent_worker_after_takeover_keeps_its_tasks_until_its_lease_has_ended():
    world = ready_world(machines=2, capacity=2)
    world.cloud.is_down = True
    world.submit("j-1", run_s=200.0)
    assert world.run(10, lambda: world.running("j-1") != [])
    worker = worker_of(world, "j-1/0")
    worker.partitioned = True
    world.kill_node(world.leader().platform.node)
    assert world.run(10, lambda: world.leader() is not None)
    world.run(60)
    assert world.broken == []
    moved = worker_of(world, "j-1/0")
    assert moved is not worker, "it runs elsewhere once the lease has ended"


def test_tasks_do_not_count_as_lost_when_their_worker_began_a_new_session_after_an_outage():
    """Found by a random schedule: the lease of the session before was taken for the new one's."""
    world = ready_world()
    world.submit("j-1", 2, shape="service", urgency="prod")
    assert world.run(10, lambda: len(world.running("j-1")) == 2)
    world.store.outage(True)
    world.run(60)
    assert world.running("j-1") == [], "the leases ended"
    world.store.outage(False)
    world.run(30)
    assert len(world.running("j-1")) == 2
    assert world.broken == []
