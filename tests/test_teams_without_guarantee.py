"""Guests, whose team is guaranteed nothing: they use what others leave and give it back."""

from traces import ready_world

from kelpjunction.lab.world import GUEST
from kelpjunction.queue import JobDemand, weight_factors
from kelpjunction.settings import Team

TINY = {"crew": "guest", "urgency": "low", "cpus": 0.5, "ram_gb": 0.5}


def test_jobs_without_guarantee_share_one_weight():
    claims = {"guest": [JobDemand(f"j-{n}", 0.5, 0.0) for n in range(50)], "red": [JobDemand("j-a", 2, 0)]}
    waiting = {team: [c.ref for c in theirs] for team, theirs in claims.items()}
    kept = weight_factors(waiting, claims, {"guest": GUEST, "red": Team("red", 16.0, 0.0, None, None)})
    assert kept["j-0"] == 1 / 50
    assert kept["j-a"] == 1.0


def test_array_of_tiny_tasks_does_not_block_larger_tasks():
    """Found on a day: gaps were filled with tasks of a quarter CPU as they opened, and others waited for minutes."""
    world = ready_world(machines=3, capacity=3)
    world.submit("j-1", 4000, run_s=3.0, **TINY)
    world.run(6)
    assert len(world.running("j-1")) > 40, "it has what nobody else wants"
    world.submit("j-2", 3, crew="blue", cpus=8.0, run_s=4.0)
    assert world.run(12, lambda: world.poll("j-2") == "done")
    world.run(8)
    assert len(world.running("j-1")) > 40, "and has it back"
    assert world.broken == []


def test_array_with_objective_preempts_array_without():
    world = ready_world(machines=3, capacity=3, classes_with_objectives=frozenset({"import"}))
    world.submit("j-1", 12, crew="blue", urgency="low", run_s=300.0, mark_s=5.0, stow_s=1.0, driftwood=True)
    assert world.run(10, lambda: len(world.running("j-1")) == 12)
    world.submit("j-2", 4, crew="blue", stripe="import", run_s=4.0)
    assert world.run(8, lambda: len(world.running("j-2")) == 4)
    assert world.run(30, lambda: world.poll("j-2") == "done")
    assert world.run(10, lambda: len(world.running("j-1")) == 12)
    assert world.broken == []


def test_many_tiny_jobs_finish_without_delaying_services():
    world = ready_world(machines=6, capacity=6)
    for n in range(150):
        world.submit(f"j-{n}", run_s=5.0, **TINY)
        if n % 10 == 0:
            world.run(0.3)
    world.submit("j-900", 3, shape="service", urgency="prod")
    assert world.run(2, lambda: len(world.running("j-900")) == 3)
    assert world.run(60, lambda: not any(f"l/job/j-{n}" in world.store.data for n in range(150)))
    assert world.broken == []
