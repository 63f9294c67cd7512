"""Machines that die, are cut off or come back from nowhere; dealings with the cloud."""

import orjson
from traces import ready_world, worker_of

from kelpjunction.lab.world import seconds


def test_machine_that_does_not_answer_is_returned_and_its_tasks_run_elsewhere():
    world = ready_world()
    world.submit("j-1", run_s=60.0)
    assert world.run(10, lambda: world.running("j-1") != [])
    worker = worker_of(world, "j-1/0")
    worker.alive = False
    worker.tasks.clear()
    assert world.run(15, lambda: world.running("j-1") != [])
    assert world.broken == []


def test_report_that_a_cut_held_up_does_not_bring_a_returned_machine_back():
    """Found by an incident: a cut zone's late reports made machines of it that were gone look up again."""
    world = ready_world()
    worker = next(iter(world.cloud.machines.values()))[0]
    late = orjson.dumps(worker.report())
    worker.alive = False
    assert world.run(15, lambda: worker.name not in world.cloud.machines)
    world.run(1)
    for node in world.nodes.values():
        assert node.check_in(late)[0] != 200
        assert worker.name not in node.inventory.machines


def test_machines_of_a_cut_zone_are_not_returned_one_after_the_other():
    """Found by an incident: reports stop within some seconds of one another, so the first looked like deaths."""
    world = ready_world(machines=15, capacity=15)
    cut = [w for w, _ in world.cloud.machines.values() if w.zone == "b"]
    for n, worker in enumerate(cut):
        worker.next_report += seconds(0.4 * n)
        worker.partitioned = True
    world.run(20)
    assert len(world.cloud.machines) == 15
    for worker in cut:
        worker.partitioned = False
    world.run(20)
    assert all(m.usable for m in world.leader().inventory.machines.values())


def test_no_rental_requests_during_store_outage():
    """Found in a log: a leader asked twice a second for the same machines all through an outage of the store."""
    world = ready_world(machines=2, capacity=2)
    world.cloud.is_down = True
    world.submit("j-1", 40)
    assert world.run(10, lambda: world.store.data.get("l/cloud", ({},))[0].get("rent"))
    world.store.outage(True)
    world.cloud.is_down = False
    asked = []
    world.filter = lambda source, target, path: asked.append(path) if path == "/rentals" else None
    world.run(10)
    assert asked == []
    world.store.outage(False)
    world.run(30)
    assert asked != []
