"""A node that stood still goes on with what it believed: nothing it does breaks a rule, and it blames nobody."""

import pytest
from traces import dispatch_without_start, ready_world


def test_holder_that_stood_still_blames_no_machine_and_is_fenced():
    """Its own absence looks as if all its workers had fallen silent."""
    world = ready_world()
    world.submit("j-1", 6, shape="service", urgency="prod", cpus=1.0)
    assert world.run(10, lambda: len(world.running("j-1")) == 6)
    before = world.running("j-1")
    for name in list(world.nodes):
        world.freeze(name, 12)
        world.run(8)
    assert world.running("j-1") == before
    assert len(world.cloud.machines) == 6, "no machine was returned"
    assert sorted(len(n.blocks.held_zones()) for n in world.nodes.values()) == [1, 1, 1]
    assert world.broken == []


def test_holder_that_stood_still_in_an_outage_takes_no_machine_for_silent_on_its_return():
    """Its hold outlives the outage, so its blocks are still its own; but it heard nobody for as long."""
    world = ready_world()
    holder = world.leader()
    world.store.outage(True)
    world.filter = lambda source, target, path: "lost" if path in ("/checkin", "/status") else None  # nothing came in
    world.freeze(holder.platform.node, 10)
    world.store.outage(False)
    holder.watch_store()
    holder.machine_monitor.run_once()
    assert holder.machine_monitor.mine()
    assert all(m.usable for m in holder.machine_monitor.mine())


@pytest.mark.parametrize("path", ["/commands", "/commit"])
def test_launch_by_a_holder_that_stood_still_between_deciding_and_sending(path):
    """The start was committed, or about to be, when the holder stood still; others took its block meanwhile."""
    world = ready_world()
    holder, launch = dispatch_without_start(world, "j-1")
    name = holder.platform.node
    asleep = []

    def pause(source, target, at):
        if source != name or at != path or asleep:
            return 0.0
        asleep.append(at)
        for node in world.nodes.values():
            del node.holder_scheduler.round  # holders start things again
        return 30.0

    world.pause_before_request = pause
    launch()
    assert asleep == [path]
    world.run(40)
    assert world.poll("j-1") == "done"
    assert world.broken == []


def test_abort_while_the_holder_stands_still_before_its_start_leaves():
    world = ready_world()
    holder, launch = dispatch_without_start(world, "j-1")
    other = next(n for n in world.nodes.values() if n is not holder)
    world.pause_before_request = lambda source, target, path: 20.0 if path == "/commands" and not world.frozen else 0.0
    told = []
    freeze = world.freeze

    def freeze_and_abort(name, duration):
        told.append(world.abort("j-1", node=other.platform.node))
        freeze(name, duration)

    world.freeze = freeze_and_abort
    launch()
    world.pause_before_request = lambda *_: 0.0
    assert told == [200]
    world.run(60)
    assert world.running("j-1") == []
    assert world.broken == []
