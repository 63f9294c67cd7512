"""The largest jobs must start within four minutes of their submission if the machines have room for them."""

from collections.abc import Callable

import pytest
from traces import ready_world

from kelpjunction.lab.service_levels import LARGEST_JOBS_START_LIMIT

GANG = {"shape": "ensemble", "mark_s": 5.0, "stow_s": 1.0, "run_s": 20.0, "stripe": "gang"}


def run_with_small_jobs(world, length: float, when: dict[float, Callable[[], None]] | None = None, **fields) -> None:
    """Run for `length` seconds and submit a small array every other second, more than the machines can run.

    `when` maps seconds to actions; an action runs after the submission at that time.
    """
    for number in range(int(length / 2)):
        ref = f"j-9{len(world.jobs):04d}"
        world.submit(ref, 4, **({"run_s": 8.0, "cpus": 2.0, "stripe": "small"} | fields))
        if action := (when or {}).get(2 * number):
            action()
        world.run(2)


def late_large_jobs(world) -> list[str]:
    """Return the large jobs that started too late, or that have not started although their time is over."""
    return [
        ref
        for row in world.service_level_tracker.service_levels(world.clock.now)
        for ref in row.late
        if not ref.startswith("j-9")
    ]


@pytest.mark.parametrize("team", ["red", "blue"])
def test_large_gang_starts_in_time_beside_many_small_jobs(team):
    """Small jobs took free CPUs under red's limit of 40 as they appeared, so 32 were never free at once."""
    world = ready_world(machines=9, capacity=9)
    run_with_small_jobs(world, 20, crew=team)
    world.submit("j-1", 8, cpus=4.0, crew=team, **GANG)
    run_with_small_jobs(world, 300, crew=team)
    assert late_large_jobs(world) == []
    assert world.broken == []


def test_large_array_starts_fully_beside_small_arrays():
    """Task time that a job receives lowers its rank, so the array's last tasks waited behind each new small array."""
    world = ready_world(machines=3, capacity=3)
    run_with_small_jobs(world, 20)
    world.submit("j-1", 60, cpus=2.0, crew="blue", run_s=20.0, urgency="low", stripe="large")
    run_with_small_jobs(world, 300)
    assert late_large_jobs(world) == []
    assert world.broken == []


def test_two_large_gangs_do_not_block_each_other():
    world = ready_world(machines=6, capacity=6)
    run_with_small_jobs(world, 10)
    for ref in ("j-1", "j-2"):
        world.submit(ref, 6, cpus=6.0, crew="blue", **GANG)
    run_with_small_jobs(world, 280)
    assert late_large_jobs(world) == []
    assert world.broken == []


@pytest.mark.parametrize("what", ["leader", "zone"])
def test_large_gang_starts_in_time_despite_leader_or_zone_loss(what):
    world = ready_world(machines=9, capacity=12)

    def lose() -> None:
        if what == "zone":
            world.lose("a")
        else:
            name = world.leader_name()
            world.kill_node(name)
            world.run_after(5.0, lambda: world.start_node(name))

    run_with_small_jobs(world, 10, crew="blue")
    world.submit("j-1", 3, cpus=7.0, crew="blue", together=True, **GANG)
    run_with_small_jobs(world, 290, when={4: lose, 66: lose}, crew="blue")
    assert late_large_jobs(world) == []
    assert world.broken == []


def test_large_gang_blocked_by_team_limit_says_why_and_reserves_nothing():
    world = ready_world(machines=9, capacity=9)
    world.submit("j-1", 6, cpus=4.0, shape="service", urgency="prod")
    world.run(5)
    world.submit("j-2", 5, cpus=4.0, **GANG)
    world.run(130)
    world.submit("j-3", 4, cpus=2.0, run_s=5.0, stripe="small")
    assert world.run(15, lambda: world.poll("j-3") == "done")
    job = world.leader().job_index.jobs["j-2"]
    assert job.pending_reason == "its team is at its limit, and its services leave no room for the gang"
    assert LARGEST_JOBS_START_LIMIT.total_seconds() == 240
