"""Regression: a late copy of a report ended a running attempt, and its task ran on two machines at once.

The order of events:
1. An attempt exits, and the machine's report of that reaches a controller that does not hold the block.
2. The worker's process restarts: session, number and token start over, and nothing is on the machine.
3. A new holder knows the placement from the records and starts the same attempt there again, as it must.
4. The present process has reached the number before that of the old report.  A copy of the old report arrives, with the
   very session, number and token that the next report of the present process will have, and lists the exit.
5. The holder took the copy for the next report, settled the attempt and launched the task on another machine.

The wrong assumption: that a message with the next session, number and token is from the process that sent the last one.
Only a response to a request is.
"""

import orjson
import pytest
from traces import ready_world, worker_of

from kelpjunction.clock import seconds
from kelpjunction.jobs.job_index import Phase
from kelpjunction.lab.world import World
from kelpjunction.wire.messages import TaskId
from kelpjunction.workers.reachability import Evidence, ReachabilityTracker, Watermark

TASK = "j-1/0"
SHAPES = {
    "one task": (1, {}),
    "array on one machine": (3, {"cpus": 1.0}),
    "replica": (1, {"shape": "service", "urgency": "prod"}),
    "gang": (1, {"shape": "ensemble", "mark_s": 5.0, "stow_s": 1.0}),
}


def holder_of(world: World, worker):
    return next(n for n in world.nodes.values() if n is not None and n.blocks.own_grant(worker.zone))


def copy_from_before_restart(world: World, cause: str, controllers: tuple[str, ...]) -> tuple:
    """Let an attempt exit unseen, restart its worker and these controllers, and let the attempt be started again.

    Returns the worker and a copy of the report of its earlier process that lists the exit.
    """
    worker = worker_of(world, TASK)
    for name in controllers:
        world.kill_node(name)
    key = next(key for key in worker.tasks if key[0] == TASK)
    worker._exit(TASK, worker.tasks[key], cause)
    copy = worker.report()
    worker.restart()
    for name in controllers:
        world.start_node(name)
    assert world.run(20, lambda: (TASK, worker.name) in world.running()), "the attempt was not started again"
    world.run(1)
    return worker, copy


def deliver_as_next_report(world: World, worker, copy: dict) -> None:
    """Deliver the copy to every node at the moment at which it has the number of the next report, and its token."""
    known = holder_of(world, worker).worker_registry.workers[worker.name]
    session, number = known.reachability_tracker.newest
    fields = copy | {"watch": session, "tally": number + 1, "helm": worker.token}
    for node in world.nodes.values():
        node.handle_report(orjson.dumps(fields))


@pytest.mark.parametrize("interleaved", [False, True])
@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.parametrize("cause", ["error", "stopped", "mates_gone"])
def test_copy_of_exit_from_earlier_process_settles_nothing(cause, shape, interleaved):
    """Guards against: a task on two machines after a copy that equals the next report in all but its content."""
    world = ready_world(machines=9, capacity=9, interleaved=interleaved)
    tasks, fields = SHAPES[shape]
    world.submit("j-1", tasks, run_s=40.0, bay="a", **fields)
    assert world.run(20, lambda: len(world.running("j-1")) == tasks)
    holder = holder_of(world, worker_of(world, TASK)).platform.node
    worker, copy = copy_from_before_restart(world, cause, (holder,))
    deliver_as_next_report(world, worker, copy)
    world.run(10)
    assert (TASK, worker.name) in world.running()
    assert world.broken == []
    if fields.get("shape") != "service":
        assert world.run(90, lambda: world.poll("j-1") == "done")
    assert world.broken == []


def test_copies_at_each_report_after_all_controllers_restarted():
    """Guards against: the same, when a copy comes just before each report of the present process."""
    world = ready_world(machines=6, capacity=6)
    world.submit("j-1", run_s=30.0, bay="a")
    assert world.run(20, lambda: world.running("j-1") != [])
    worker, copy = copy_from_before_restart(world, "error", world.node_names)
    for _ in range(8):
        deliver_as_next_report(world, worker, copy)
        world.run(2)
        assert world.running("j-1") == [(TASK, worker.name)]
    assert world.run(60, lambda: world.poll("j-1") == "done")
    assert world.broken == []


def test_result_in_copy_from_earlier_process_is_kept():
    """A result is kept, so a copy that lists it is right, whichever process sent it."""
    world = ready_world(machines=6, capacity=6)
    world.submit("j-1", run_s=30.0, bay="a")
    assert world.run(20, lambda: world.running("j-1") != [])
    worker, copy = copy_from_before_restart(world, "done", world.node_names)
    deliver_as_next_report(world, worker, copy)
    assert world.run(5, lambda: world.poll("j-1") == "done")
    assert world.broken == []


def test_exit_is_settled_within_a_report_interval_by_a_probe():
    """The probe must not delay what waits for the exit of a present attempt."""
    world = ready_world(machines=6, capacity=6)
    world.submit("j-1", run_s=60.0, bay="a")
    assert world.run(20, lambda: world.running("j-1") != [])
    worker = worker_of(world, TASK)
    worker._exit(TASK, worker.tasks[TASK, 1], "error")
    reported_at = worker.next_report
    holder = holder_of(world, worker)
    assert world.run(5, lambda: (p := holder.job_index.placement(TaskId("j-1", 0))) is None or p.attempt > 1), (
        "the exit was not settled"
    )
    assert world.clock.now <= reported_at + seconds(0.3)


def test_token_seen_by_earlier_process_excludes_no_command():
    """Guards against: a start that is in flight to a restarted worker was ruled out by a token that it has not seen.

    The attempt was then settled, and the task would have run twice as soon as that start arrived.
    """
    world = ready_world(machines=1, capacity=1)
    worker = next(iter(world.cloud.machines.values()))[0]
    holder = holder_of(world, worker)
    world.submit("j-1", run_s=100.0)
    assert world.run(20, lambda: world.running("j-1") != [])
    world.run(5)
    known = holder.worker_registry.workers[worker.name]
    placement = holder.job_index.placement(TaskId("j-1", 0))
    token = holder.blocks.own_token(worker.zone)
    assert known.token == token
    # The worker is not shown the higher token until the test does it.
    show_token, holder.worker_registry.show_token = holder.worker_registry.show_token, lambda machine: None
    number = known.reachability_tracker.newest[1]
    worker.step = lambda: None  # from here on, the worker sends no reports
    worker.restart()
    worker.sequence = number + 5
    holder.worker_registry.probe(worker.name, worker.address)
    assert placement.phase is not Phase.SETTLED, "the present process has not seen the token that excludes the start"
    show_token(worker.name)
    assert worker.token > token
    assert placement.phase is Phase.SETTLED


@pytest.mark.parametrize(
    ("number", "token", "restarted"),
    [
        ((1, 8), 5, False),
        ((1, 8), 6, False),
        ((2, 1), 5, False),
        ((1, 7), 5, True),
        ((1, 6), 5, True),
        ((1, 8), 4, True),
    ],
)
def test_response_of_later_process_by_number_or_token(number, token, restarted):
    assert Watermark((1, 7), 5).shows_restart(number, token) is restarted


def test_no_report_counts_after_a_restart_was_seen():
    tracker = ReachabilityTracker(seconds(2))
    tracker.on_response((1, 7), False, seconds(0))
    assert tracker.on_response((1, 9), True, seconds(1)) is Evidence.PROOF
    assert tracker.on_report((1, 10), seconds(2)) is Evidence.STALE
