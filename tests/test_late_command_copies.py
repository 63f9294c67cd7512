"""Copies of commands that a worker has carried out and answered, which reach it again later."""

from traces import ready_world, worker_of

from kelpjunction.lab.world import World, seconds

TASK = "j-1/0"
EXIT_AFTER_S = 1.9
COPY_DELAYS_S = (2.6, 5.0, 10.0, 20.0)


def fail_first_attempt(world: World) -> None:
    """Let the first attempt of the task fail on its machine, `EXIT_AFTER_S` seconds after its start."""
    assert world.run(20, lambda: TASK in dict(world.running()))
    worker = worker_of(world, TASK)
    key = next(key for key in worker.tasks if key[0] == TASK)
    world.at(world.clock.now + seconds(EXIT_AFTER_S), lambda: worker._exit(TASK, worker.tasks[key], "error"))


def test_copy_of_answered_start_does_not_run_failed_task_beside_its_next_attempt():
    world = ready_world(machines=9, capacity=9)
    world.reports_changes = True
    world.duplicate_commands = lambda worker: list(COPY_DELAYS_S)
    world.submit("j-1", 9, run_s=60.0, crew="blue")
    fail_first_attempt(world)
    world.run(40)
    assert world.starts.count(TASK) >= 2, "the task was not started again"
    assert world.repeated_starts == []
    assert world.broken == []
