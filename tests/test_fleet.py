"""Tests of machines that fail, are cut off or reappear, and of rental requests to the cloud."""

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


def test_delayed_report_does_not_restore_returned_machine():
    """Found by an incident: delayed reports from a partitioned zone made returned machines appear up again."""
    world = ready_world()
    worker = next(iter(world.cloud.machines.values()))[0]
    delayed_report = orjson.dumps(worker.report())
    worker.alive = False
    assert world.run(15, lambda: worker.name not in world.cloud.machines)
    world.run(1)
    for node in world.nodes.values():
        assert node.handle_report(delayed_report)[0] != 200
        assert worker.name not in node.inventory.machines


def test_machines_of_partitioned_zone_are_not_returned():
    """Found by an incident: the machines' reports stopped within some seconds, and the first machines looked dead."""
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
    """Found in a log: during a store outage a leader requested the same machines twice a second."""
    world = ready_world(machines=2, capacity=2)
    world.cloud.is_down = True
    world.submit("j-1", 40)
    assert world.run(10, lambda: world.store.data.get("l/cloud", ({},))[0].get("rent"))
    world.store.outage(True)
    world.cloud.is_down = False
    rental_paths = []
    world.filter = lambda source, target, path: rental_paths.append(path) if path == "/rentals" else None
    world.run(10)
    assert rental_paths == []
    world.store.outage(False)
    world.run(30)
    assert rental_paths != []
