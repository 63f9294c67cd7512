"""Bounds the messages and the rebuilt views that an event costs.

A day with 707 machines once spent all its processor time on rebuilding views
that no round had written to and no change of a machine had made stale.
"""

from collections import Counter

import pytest
from traces import ready_world, worker_of

from kelpjunction.clock import seconds


def count_messages_and_views(machines: int) -> tuple[Counter, Counter]:
    """Count messages by path, applied transactions and views built, from a job's submission until it is done."""
    world = ready_world(machines=machines, capacity=machines)
    world.run(20)
    messages: Counter = Counter()
    views: Counter = Counter()

    def count(source: str, target: str, path: str) -> None:
        messages[path] += 1

    def counting(name: str, make):
        def made(machine: str):
            views[name] += 1
            return make(machine)

        return made

    for node in world.nodes.values():
        for slice_ in (node.holder_scheduler, node.leader_scheduler):
            list(slice_._view_cache.refreshed_views())  # the first look makes all of them
            slice_._view_cache._make_view = counting(type(slice_).__name__, slice_._view)
    world.filter = count
    before = world.store.revision
    world.submit("j-1", tasks=1, run_s=5.0)
    world.run(12)
    assert world.poll("j-1") == "done"
    messages["transactions"] = world.store.revision - before
    return messages, views


@pytest.mark.parametrize("machines", [6, 48])
def test_cost_of_one_task_job_does_not_depend_on_fleet_size(machines):
    messages, views = count_messages_and_views(machines)
    assert messages["/commands"] == 1, "the start command is sent once, directly"
    # Submission, dispatch, start, end and the machine's image, plus up to two snapshots of deficits.
    assert messages["transactions"] <= 7
    # Each round of the leader or a holder rebuilds only the views that it wrote to and that of the changed machine.
    assert views["LeaderScheduler"] <= 6
    assert views["HolderScheduler"] <= 6


def test_unchanged_round_rebuilds_no_view():
    world = ready_world(machines=12)
    world.submit("j-1", tasks=4, run_s=600.0)
    world.run(15)
    leader = world.leader()
    list(leader.leader_scheduler._view_cache.refreshed_views())
    made = []
    leader.leader_scheduler._view_cache._make_view = lambda name: (
        made.append(name) or leader.leader_scheduler._view(name)
    )
    list(leader.leader_scheduler._view_cache.refreshed_views())
    assert made == []
    machine = leader.inventory.machines[worker_of(world, "j-1/0").name]
    machine.suspect(True)
    machine.transition_to(machine.state, world.clock.now + seconds(1))
    assert [v.suspected for v in leader.leader_scheduler._view_cache.refreshed_views() if v.name == machine.name] == [
        True
    ]
    assert made == [machine.name], "only the view of the changed machine is rebuilt"
