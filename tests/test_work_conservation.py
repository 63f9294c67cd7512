"""Nothing waits for 90 s beside a machine that fits it and has room, whatever is held or kept there for others."""

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


def test_the_check_notices_a_job_that_is_left_waiting():
    world = ready_world(machines=3, capacity=3)
    for node in world.nodes.values():
        node.leader_scheduler._dispatch = lambda: False
    world.submit("j-1", run_s=5.0)
    world.submit("j-2", cpus=8.0, shape="ensemble", tasks=4)  # four whole machines of three: no room
    assert list(jobs_left_waiting(world, 95)) == ["j-1"]
    world.cloud.add("a", False, world.clock.now)
    world.run(100)
    assert list(world.starvation_check.starved_jobs) == ["j-1", "j-2"]


def test_a_guest_beside_a_gang_that_can_not_come_together():
    """Each zone has one machine, and the gang needs three in one: nobody else's room hangs on that."""
    world = ready_world(machines=3, capacity=3)
    world.submit("j-1", 3, cpus=8.0, crew="blue", together=True, **GANG)
    world.submit("j-2", 8, run_s=5.0, **GUEST)
    assert jobs_left_waiting(world, 150) == {}
    assert world.poll("j-2") == "done"


def test_a_guest_beside_an_array_that_finds_no_room_in_its_zone():
    world = ready_world(machines=3, capacity=3)
    world.submit("j-1", 1, cpus=6.0, crew="blue", shape="service", bay="a")
    world.run(3)
    world.submit("j-2", 2, cpus=6.0, crew="blue", bay="a", run_s=300.0)
    world.submit("j-3", 8, run_s=5.0, bay="a", **GUEST)
    assert jobs_left_waiting(world, 250) == {}
    assert len([f for f in world.starts if f.startswith("j-3/")]) == 3, "a task each time, so that j-2 is not kept off"


@pytest.mark.parametrize("team", ["red", "blue", "guest"])
def test_an_array_beside_a_gang_that_services_leave_no_room_for(team):
    world = ready_world(machines=3, capacity=3)
    world.submit("j-1", 3, cpus=1.0, crew="blue", shape="service", urgency="prod")
    assert world.run(10, lambda: len({m for _, m in world.running("j-1")}) >= 2)
    world.submit("j-2", 3, cpus=8.0, crew="blue", **GANG)
    world.submit("j-3", 4, cpus=2.0, crew=team, run_s=5.0)
    assert jobs_left_waiting(world, 200) == {}
    assert world.poll("j-3") == "done"


@pytest.mark.parametrize("pressed", [2.0, 130.0])
def test_small_jobs_beside_a_gang_that_collects_its_room_for_minutes(pressed):
    """It waits for long tasks to end; what is free meanwhile on the machines picked for it stood still for others."""
    world = ready_world(machines=3, capacity=3)
    world.submit("j-1", 3, cpus=5.0, crew="blue", run_s=400.0, urgency="low")
    assert world.run(10, lambda: len(world.running("j-1")) == 3)
    world.submit("j-2", 3, cpus=8.0, crew="blue", **GANG)
    world.run(pressed)
    world.submit("j-3", 4, cpus=1.0, crew="red", run_s=5.0)
    world.submit("j-4", 4, cpus=1.0, crew="guest", run_s=5.0, urgency="low")
    assert jobs_left_waiting(world, 350) == {}


def test_small_jobs_of_a_team_whose_large_gang_waits_for_its_limit():
    """Room under the limit is kept for a gang that presses; its team's small jobs stood beside it."""
    world = ready_world(machines=9, capacity=9)
    world.submit("j-1", 8, cpus=2.0, run_s=500.0)
    world.run(3)
    world.submit("j-2", 16, cpus=2.0, stripe="large", **GANG)
    world.run(125)
    for n in range(3, 6):
        world.submit(f"j-{n}", 2, cpus=2.0, run_s=5.0)
    assert jobs_left_waiting(world, 350) == {}


@pytest.mark.parametrize("shape", ["batch", "service"])
def test_a_task_whose_named_machine_is_gone_starts_elsewhere_in_its_block(shape):
    """Found on rereading: its holder waited for the machine that was named, as there was room for it anyhow."""
    world = ready_world(machines=6, capacity=6)
    leading = world.leader().leader_scheduler
    hand = leading._dispatch_tasks

    def by_name(job, views, usage, hands, full, tries):
        named = [(t, DispatchTarget("a", "n-000099")) for t in job.pending_tasks(1)]
        hands.add(job, named) if named else hand(job, views, usage, hands, full, tries)
        return 0

    leading._dispatch_tasks = by_name
    world.submit("j-1", 1, shape=shape, run_s=5.0)
    assert world.run(5, lambda: world.running("j-1") != [])
    assert zone_of(world, world.running("j-1")[0][1]) == "a"
