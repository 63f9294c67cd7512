"""What an event costs in messages and in views made, so that it is noticed if it grows again.

A day of 707 machines once took all its processor time for views that no round
had written to and no machine's change had made stale.
"""

from collections import Counter

import pytest
from traces import ready_world, worker_of

from kelpjunction.clock import seconds


def count_messages_and_views(machines: int) -> tuple[Counter, Counter]:
    """Commands that nodes send, transactions applied and views made, from a job's submission until it is done."""
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
            list(slice_._view_cache.fresh())  # the first look makes all of them
            slice_._view_cache._make_view = counting(type(slice_).__name__, slice_._view)
    world.filter = count
    before = world.store.revision
    world.submit("j-1", tasks=1, run_s=5.0)
    world.run(12)
    assert world.poll("j-1") == "done"
    messages["transactions"] = world.store.revision - before
    return messages, views


@pytest.mark.parametrize("machines", [6, 48])
def test_a_job_of_one_task_costs_the_same_on_any_fleet(machines):
    messages, views = count_messages_and_views(machines)
    assert messages["/commands"] == 1, "its start is sent once, directly"
    # Submission, hand-over, launch, end, and the machine's image; two snapshots of deficits may fall in.
    assert messages["transactions"] <= 7
    # Each time the leader or a holder looks: what it wrote to itself, and the one machine that changed.
    assert views["LeaderScheduler"] <= 6
    assert views["HolderScheduler"] <= 6


def test_a_round_without_a_change_makes_no_view():
    world = ready_world(machines=12)
    world.submit("j-1", tasks=4, run_s=600.0)
    world.run(15)
    leader = world.leader()
    list(leader.leader_scheduler._view_cache.fresh())
    made = []
    leader.leader_scheduler._view_cache._make_view = lambda name: (
        made.append(name) or leader.leader_scheduler._view(name)
    )
    list(leader.leader_scheduler._view_cache.fresh())
    assert made == []
    machine = leader.inventory.machines[worker_of(world, "j-1/0").name]
    machine.suspect(True)
    machine.become(machine.state, world.clock.now + seconds(1))
    assert [v.suspected for v in leader.leader_scheduler._view_cache.fresh() if v.name == machine.name] == [True]
    assert made == [machine.name], "only the machine that changed"
