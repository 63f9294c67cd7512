"""Copies of commands that a worker has carried out and answered, which reach it again later."""

import orjson
import pytest
from traces import ready_world, worker_of

from kelpjunction import blocks
from kelpjunction.clock import ZERO, seconds
from kelpjunction.lab.worker import WorkerStandIn
from kelpjunction.lab.world import World
from kelpjunction.metrics import Metrics
from kelpjunction.node import Node
from kelpjunction.wire.messages import TaskId
from kelpjunction.workers.events import ForgottenAttemptListed, Way
from kelpjunction.workers.fencing import Attempt

TASK = "j-1/0"
EXIT_AFTER_S = 1.9
COPY_DELAYS_S = (0.1, 0.5, 1.0, 2.6, 5.0, 10.0, 20.0, 40.0, 70.0)
SHAPES = {
    "one task": (1, {}),
    "array": (9, {}),
    "replicas": (2, {"shape": "service", "urgency": "prod"}),
    "gang": (3, {"shape": "ensemble", "mark_s": 5.0, "stow_s": 1.0}),
}


def world_with_copies(interleaved: bool = False) -> World:
    """A world in which each request with commands reaches its worker again several times."""
    world = ready_world(machines=9, capacity=9, interleaved=interleaved)
    world.reports_changes = True
    world.duplicate_commands = lambda worker: list(COPY_DELAYS_S)
    return world


def submit(world: World, shape: str, run_s: float = 60.0) -> WorkerStandIn:
    """Submit the job and return the worker of its first task once all tasks run."""
    tasks, fields = SHAPES[shape]
    world.submit("j-1", tasks, run_s=run_s, crew="blue", cpus=1.0, **fields)
    assert world.run(20, lambda: len(world.running("j-1")) == tasks)
    return worker_of(world, TASK)


def fail_attempt(world: World, worker: WorkerStandIn) -> None:
    """Let the running attempt of the task fail, `EXIT_AFTER_S` seconds from now."""
    key = next(key for key, task in worker.tasks.items() if key[0] == TASK and task["tide"] != "exited")
    world.at(world.clock.now + seconds(EXIT_AFTER_S), lambda: worker._exit(TASK, worker.tasks[key], "error"))


def workers(world: World) -> list[WorkerStandIn]:
    return [worker for worker, _ in world.cloud.machines.values()]


def holder_of(world: World, worker: WorkerStandIn) -> Node:
    return next(node for node in world.nodes.values() if node.blocks.own_grant(worker.zone))


def assert_nothing_ran_again(world: World) -> None:
    assert world.repeated_starts == []
    assert world.broken == []


def test_copy_of_answered_start_does_not_run_failed_task_beside_its_next_attempt():
    world = world_with_copies()
    fail_attempt(world, submit(world, "array"))
    world.run(80)
    assert world.starts.count(TASK) >= 2, "the task was not started again"
    assert_nothing_ran_again(world)


@pytest.mark.parametrize("interleaved", [False, True])
@pytest.mark.parametrize("shape", SHAPES)
def test_copies_of_answered_starts_do_not_run_failed_tasks_again(shape, interleaved):
    world = world_with_copies(interleaved)
    worker = submit(world, shape)
    fail_attempt(world, worker)
    world.run(30)
    fail_attempt(world, worker_of(world, TASK))
    world.run(80)
    assert_nothing_ran_again(world)


@pytest.mark.parametrize("interleaved", [False, True])
@pytest.mark.parametrize("shape", SHAPES)
def test_copies_of_answered_starts_do_not_run_cancelled_tasks_again(shape, interleaved):
    world = world_with_copies(interleaved)
    submit(world, shape)
    assert world.abort("j-1") == 200
    assert world.run(5, lambda: world.running("j-1") == [])
    starts = len(world.starts)
    world.run(80)
    assert len(world.starts) == starts
    assert_nothing_ran_again(world)


@pytest.mark.parametrize("shape", ["array", "replicas"])
def test_copies_of_answered_starts_do_not_run_moved_tasks_again(shape):
    world = world_with_copies()
    worker = submit(world, shape)
    registry = holder_of(world, worker).worker_registry
    placement = registry._job_index.placement(TaskId("j-1", 0))
    registry.stop(placement, ZERO, "it moves")
    registry.send([placement])
    assert world.run(20, lambda: world.starts.count(TASK) == 2), "the task was not started again"
    world.run(80)
    assert_nothing_ran_again(world)


@pytest.mark.parametrize("pause", [0.1, 0.9])
def test_copies_of_answered_starts_run_nothing_after_holder_is_back_within_a_second(pause):
    world = world_with_copies()
    worker = submit(world, "array")
    fail_attempt(world, worker)
    world.run(EXIT_AFTER_S + 0.1)
    holder = holder_of(world, worker).platform.node
    world.kill_node(holder)
    world.run(pause)
    world.start_node(holder)
    world.run(80)
    assert_nothing_ran_again(world)


@pytest.mark.parametrize("tokens", [1, 2, 3])
def test_copies_of_answered_starts_run_nothing_when_a_grant_has_few_tokens(tokens, monkeypatch):
    monkeypatch.setattr(blocks, "TOKENS_PER_GRANT", tokens)
    world = world_with_copies()
    fail_attempt(world, submit(world, "array"))
    for attempts in (2, 3, 4):
        assert world.run(30, lambda wanted=attempts: world.starts.count(TASK) == wanted), (
            "the task was not started again"
        )
        fail_attempt(world, worker_of(world, TASK))
    world.run(80)
    assert not any(task["tide"] == "exited" for worker in workers(world) for task in worker.tasks.values())
    assert_nothing_ran_again(world)


def test_holder_with_grant_of_a_version_without_ranges_takes_its_own_before_a_worker_forgets():
    world = world_with_copies()
    records = {key: world.store.data[key][0] for key in world.store.data if key.startswith("l/block/")}
    puts = {key: {name: grant[name] for name in grant if name != "last_token"} for key, grant in records.items()}
    assert world.leader().store.commit({}, puts).revision
    world.run(1)
    worker = submit(world, "array")
    assert holder_of(world, worker).blocks.own_grant(worker.zone).last_token == worker.token
    fail_attempt(world, worker)
    world.run(80)
    grant = holder_of(world, worker).blocks.own_grant(worker.zone)
    assert grant.token > max(record["last_token"] for record in records.values())
    assert grant.last_token > grant.token
    assert_nothing_ran_again(world)


def sent_starts(world: World) -> list[tuple[WorkerStandIn, dict]]:
    """Collects, from now on, each request with commands that a worker carries out."""
    sent = []

    def keep(worker: WorkerStandIn, body: dict, sent_at) -> None:
        sent.append((worker, body))

    world._duplicate_commands = keep
    return sent


def forgotten_start(world: World) -> tuple[WorkerStandIn, dict]:
    """Let a task fail and its worker forget it; returns the worker and the request that started the task."""
    sent = sent_starts(world)
    worker = submit(world, "array")
    fail_attempt(world, worker)
    assert world.run(20, lambda: any(key[0] == TASK for key in worker.forgotten_attempts))
    return worker, next(body for to, body in sent if to is worker and body["orders"][0]["verb"] == "run")


def test_attempt_with_an_unanswered_command_is_not_forgotten():
    world = ready_world(machines=1, capacity=1)
    (worker,) = workers(world)
    node = holder_of(world, worker)
    worker.tasks["j-9/0", 1] = {"tide": "exited", "cause": "error"}
    unanswered = node.worker_registry.workers[worker.name].unanswered_commands
    unanswered[Attempt(TaskId("j-9", 0), 1)] = 1
    assert b"forget" not in node.handle_report(orjson.dumps(worker.report()))[1]
    unanswered.clear()
    assert b"forget" in node.handle_report(orjson.dumps(worker.report()))[1]


def test_forgotten_attempt_that_runs_again_is_reported_with_its_tokens():
    world = ready_world(machines=9, capacity=9)
    worker, start = forgotten_start(world)
    node = holder_of(world, worker)
    world.run(3)
    worker.handle("POST", "/commands", start | {"helm": worker.token})
    assert world.run(10, lambda: node.worker_registry.decisions.forgotten_attempts_listed == 1)
    (found,) = [event for _, event in node.recorder.events(lambda event: isinstance(event, ForgottenAttemptListed))]
    assert (found.task, found.attempt, found.machine) == (TaskId("j-1", 0), 1, worker.name)
    assert found.start_token == start["helm"] < found.forget_token <= found.token
    assert found.start_way is Way.DIRECT
    text = Metrics(node).text().decode()
    assert "kelpjunction_forgotten_attempts_listed_total 1.0" in text
    assert "kelpjunction_forgets_said_total 0.0" not in text


def test_restarted_worker_refuses_copy_of_forgotten_start_once_its_holder_reached_it():
    world = ready_world(machines=9, capacity=9)
    worker, start = forgotten_start(world)
    worker.restart()
    assert world.run(10, lambda: worker.token > start["helm"])
    assert worker.handle("POST", "/commands", start).status == 409
    world.run(20)
    assert_nothing_ran_again(world)


def test_copy_of_start_does_not_run_settled_attempt_whose_worker_restarted_before_it_forgot():
    world = ready_world(machines=9, capacity=9)
    sent = sent_starts(world)
    worker = submit(world, "one task")
    ((_, start),) = sent
    fail_attempt(world, worker)
    assert world.run(20, lambda: world.starts.count(TASK) == 2), "the task was not started again"
    assert not worker.forgotten_attempts
    worker.restart()
    world.run(8)
    assert worker.handle("POST", "/commands", start).status == 409
    world.run(20)
    assert_nothing_ran_again(world)


def test_restarted_worker_that_no_controller_reached_has_no_fence_against_a_copy():
    """PROTOCOL, "Delayed messages": token and session decide; a new process has seen no token, and is in session 1."""
    world = ready_world(machines=9, capacity=9)
    worker, start = forgotten_start(world)
    worker.restart()
    assert worker.token < start["helm"] and worker.session == start["watch"]
    assert worker.handle("POST", "/commands", start).status == 200


def test_restarted_worker_is_shown_the_higher_token_once_however_many_tasks_it_lost():
    world = ready_world(machines=1, capacity=1, interleaved=True)
    (worker,) = workers(world)
    world.submit("j-1", 6, run_s=60.0, cpus=1.0)
    assert world.run(20, lambda: len(world.running("j-1")) == 6)
    world.run(10)
    shown = []
    handle = worker.handle

    def record(method: str, path: str, body: dict, sent_at=None):
        shown.extend([body["helm"]] if path == "/commands" and not body["orders"] else [])
        return handle(method, path, body, sent_at)

    worker.handle = record
    worker.restart()
    world.run(20)
    assert len(shown) == len(set(shown)) > 0
    assert_nothing_ran_again(world)


def test_worker_restarted_within_a_second_starts_only_what_is_placed_on_it():
    world = ready_world(machines=9, capacity=9)
    sent = sent_starts(world)
    worker = submit(world, "array")
    start = next(body for to, body in sent if to is worker)
    world.run(5)
    worker.restart()
    world.run(0.2)
    worker.handle("POST", "/commands", start)
    world.run(80)
    assert_nothing_ran_again(world)
