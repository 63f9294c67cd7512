"""No job may wait 90 s while a machine that fits it has room, even if the room is held or reserved for others."""

import pytest
from traces import ready_world, zone_of

from kelpjunction.jobs.job_index import DispatchTarget
from kelpjunction.lab.world import World

GANG = {"shape": "ensemble", "mark_s": 5.0, "stow_s": 1.0, "run_s": 20.0}
GUEST = {"crew": "guest", "urgency": "low", "cpus": 0.5, "ram_gb": 0.5}


def jobs_left_waiting(world: World, length: float) -> dict:
    world.starvation_check.enabled = True
    world.run(length)
    return world.starvation_check.starved_jobs


def test_check_detects_job_left_waiting():
    world = ready_world(machines=3, capacity=3)
    for node in world.nodes.values():
        node.leader_scheduler._dispatch = lambda: False
    world.submit("j-1", run_s=5.0)
    world.submit("j-2", cpus=8.0, shape="ensemble", tasks=4)  # needs four whole machines, but there are three
    assert list(jobs_left_waiting(world, 95)) == ["j-1"]
    world.cloud.add("a", False, world.clock.now)
    world.run(100)
    assert list(world.starvation_check.starved_jobs) == ["j-1", "j-2"]


def test_small_job_runs_beside_unplaceable_gang():
    """The gang needs three machines in one zone, but each zone has one. Other jobs must not wait for it."""
    world = ready_world(machines=3, capacity=3)
    world.submit("j-1", 3, cpus=8.0, crew="blue", together=True, **GANG)
    world.submit("j-2", 8, run_s=5.0, **GUEST)
    assert jobs_left_waiting(world, 150) == {}
    assert world.poll("j-2") == "done"


def test_small_job_runs_beside_array_without_room_in_zone():
    world = ready_world(machines=3, capacity=3)
    world.submit("j-1", 1, cpus=6.0, crew="blue", shape="service", bay="a")
    world.run(3)
    world.submit("j-2", 2, cpus=6.0, crew="blue", bay="a", run_s=300.0)
    world.submit("j-3", 8, run_s=5.0, bay="a", **GUEST)
    assert jobs_left_waiting(world, 250) == {}
    assert len([f for f in world.starts if f.startswith("j-3/")]) == 3, (
        "one task at a time, so that j-2 is not kept from starting"
    )


@pytest.mark.parametrize("team", ["red", "blue", "guest"])
def test_array_runs_beside_gang_blocked_by_services(team):
    world = ready_world(machines=3, capacity=3)
    world.submit("j-1", 3, cpus=1.0, crew="blue", shape="service", urgency="prod")
    assert world.run(10, lambda: len({m for _, m in world.running("j-1")}) >= 2)
    world.submit("j-2", 3, cpus=8.0, crew="blue", **GANG)
    world.submit("j-3", 4, cpus=2.0, crew=team, run_s=5.0)
    assert jobs_left_waiting(world, 200) == {}
    assert world.poll("j-3") == "done"


@pytest.mark.parametrize("gang_wait_s", [2.0, 130.0])
def test_small_jobs_run_beside_gang_waiting_for_long_tasks(gang_wait_s):
    """The gang waits for long tasks to end. Other jobs could not use free capacity on the machines held for it."""
    world = ready_world(machines=3, capacity=3)
    world.submit("j-1", 3, cpus=5.0, crew="blue", run_s=400.0, urgency="low")
    assert world.run(10, lambda: len(world.running("j-1")) == 3)
    world.submit("j-2", 3, cpus=8.0, crew="blue", **GANG)
    world.run(gang_wait_s)
    world.submit("j-3", 4, cpus=1.0, crew="red", run_s=5.0)
    world.submit("j-4", 4, cpus=1.0, crew="guest", run_s=5.0, urgency="low")
    assert jobs_left_waiting(world, 350) == {}


def test_small_jobs_run_while_gang_of_team_waits_for_limit():
    """Capacity under the team's limit is reserved for an escalated gang, and its team's small jobs had to wait."""
    world = ready_world(machines=9, capacity=9)
    world.submit("j-1", 8, cpus=2.0, run_s=500.0)
    world.run(3)
    world.submit("j-2", 16, cpus=2.0, stripe="large", **GANG)
    world.run(125)
    for n in range(3, 6):
        world.submit(f"j-{n}", 2, cpus=2.0, run_s=5.0)
    assert jobs_left_waiting(world, 350) == {}


@pytest.mark.parametrize("shape", ["batch", "service"])
def test_task_starts_elsewhere_in_block_if_target_machine_is_gone(shape):
    """Found in review: the holder kept waiting for the named machine although the block had other room."""
    world = ready_world(machines=6, capacity=6)
    scheduler = world.leader().leader_scheduler
    dispatch_tasks = scheduler._dispatch_tasks

    def dispatch_to_missing_machine(job, views, usage, batch, needs_without_room, retry_limit):
        targets = [(t, DispatchTarget("a", "n-000099")) for t in job.pending_tasks(1)]
        batch.add(job, targets) if targets else dispatch_tasks(
            job, views, usage, batch, needs_without_room, retry_limit
        )
        return 0

    scheduler._dispatch_tasks = dispatch_to_missing_machine
    world.submit("j-1", 1, shape=shape, run_s=5.0)
    assert world.run(5, lambda: world.running("j-1") != [])
    assert zone_of(world, world.running("j-1")[0][1]) == "a"
