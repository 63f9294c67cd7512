"""When a placement is settled, and when a lease has ended (points 3 and 4 of docs/design.md)."""

import orjson
from traces import fault_on_path, ready_world, worker_of

from kelpjunction import blocks
from kelpjunction.lab.world import seconds

# Settling


def test_session_change_settles_placements_and_restarts_tasks():
    world = ready_world()
    world.submit("j-1", run_s=30.0)
    assert world.run(10, lambda: world.running("j-1") != [])
    worker = worker_of(world, "j-1/0")
    worker.session += 1
    worker.tasks.clear()
    assert world.run(90, lambda: world.poll("j-1") == "done")
    assert world.broken == []


def test_delayed_start_does_not_restart_forgotten_task():
    world = ready_world(machines=1, capacity=1)
    worker = next(iter(world.cloud.machines.values()))[0]
    world.filter = fault_on_path("/commands held")
    world.submit("j-1", run_s=1.0)
    world.run(1)
    assert world.late, "no start command is in flight"
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


def test_report_without_task_does_not_settle_it_while_start_may_arrive(monkeypatch):
    monkeypatch.setattr(blocks, "TOKENS_PER_GRANT", 1)  # only a new grant excludes the start
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
    assert holder.handle_report(orjson.dumps(report))[0] == 200
    world.run(0.3)
    assert holder.job_index.jobs["j-1"].placed_count() == 1, (
        "the placement was settled although the start may still arrive under this token"
    )
    del holder.blocks.issue_new_tokens
    world.run(0.3)
    worker.token = holder.blocks.own_token(worker.zone)
    holder.handle_report(orjson.dumps(worker.report()))
    assert world.run(1, lambda: "j-1" not in holder.job_index.jobs), (
        "a higher token rules out the start, so the placement must be settled"
    )


def test_old_report_does_not_undo_a_newer_one():
    world = ready_world(machines=1, capacity=1)
    worker = next(iter(world.cloud.machines.values()))[0]
    old_report = orjson.dumps(worker.report())
    world.submit("j-1", run_s=30.0)
    assert world.run(5, lambda: world.running("j-1") != [])
    world.leader().handle_report(old_report)
    placement = next(world.leader().job_index.placements())
    assert placement.is_active and placement.was_reported


# Lease end


def test_tasks_of_silent_worker_move_after_takeover_only_at_lease_end():
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
    new_worker = worker_of(world, "j-1/0")
    assert new_worker is not worker, "the task did not move after the end of the lease"


def test_tasks_are_not_lost_when_worker_starts_new_session_after_outage():
    """Found by a random schedule: the lease of the earlier session was taken for that of the new one."""
    world = ready_world()
    world.submit("j-1", 2, shape="service", urgency="prod")
    assert world.run(10, lambda: len(world.running("j-1")) == 2)
    world.store.outage(True)
    world.run(60)
    assert world.running("j-1") == [], "the leases did not end in the outage"
    world.store.outage(False)
    world.run(30)
    assert len(world.running("j-1")) == 2
    assert world.broken == []
