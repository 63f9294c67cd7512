"""Reachability of machines: a round trip proves it; late reports and reports alone do not."""

import orjson
import pytest
from traces import ready_world, worker_of

from kelpjunction.clock import seconds
from kelpjunction.fleet.machines import MachineState
from kelpjunction.jobs.job_index import Phase
from kelpjunction.lab.worker import MessageLoss
from kelpjunction.wire.messages import TaskId
from kelpjunction.workers.fencing import StartFence
from kelpjunction.workers.reachability import Evidence, Reachability, ReachabilityTracker, Watermark


def holder_of(world, worker):
    return next(n for n in world.nodes.values() if n is not None and n.blocks.own_grant(worker.zone))


def workers(world):
    return [worker for worker, _ in world.cloud.machines.values()]


def report_copy(worker) -> bytes:
    """Return the report that the worker would send now, to be delivered later as a copy."""
    return orjson.dumps(worker.report())


# Machines that receive no messages


@pytest.mark.parametrize("one_way", MessageLoss)
def test_unreachable_machine_gets_no_work_and_its_tasks_move(one_way):
    world = ready_world(machines=6, capacity=6)
    world.submit("j-1", 3, shape="service", urgency="prod")
    assert world.run(10, lambda: len(world.running("j-1")) == 3)
    lost = worker_of(world, "j-1/0")
    lost.message_loss = one_way
    world.run(8)
    assert world.submit("j-2", 12, run_s=5.0) == 201
    world.run(40)
    assert world.broken == []
    assert lost.name not in world.cloud.machines or not [t for t, m in world.running() if m == lost.name]
    assert len(world.running("j-1")) == 3, "the lost replica did not start elsewhere"
    assert world.poll("j-2") == "done"


@pytest.mark.parametrize("what", ["a zone", "all but one", "the only one"])
def test_jobs_finish_after_many_machines_are_unreachable(what):
    """Each 200 might renew a lease, so unreachable workers get none; their tasks are settled when their leases end."""
    world = ready_world(machines=1 if what == "the only one" else 9, capacity=12)
    world.submit("j-1", 2, run_s=60.0)
    world.submit("j-2", 2, shape="ensemble", mark_s=5.0, stow_s=1.0, run_s=60.0)
    world.run(4)
    affected = [w for w in workers(world) if what != "a zone" or w.zone == "a"]
    for worker in affected[: -1 if what == "all but one" else None]:
        worker.message_loss = MessageLoss.INBOUND_LOST
    world.run(90)
    for worker in workers(world):
        worker.message_loss = None
    assert world.run(150, lambda: world.poll("j-1") == world.poll("j-2") == "done")
    assert world.broken == []


def test_machine_is_usable_again_only_after_round_trips():
    world = ready_world(machines=3, capacity=3)
    worker = next(w for w in workers(world) if w.zone == "a")
    holder = holder_of(world, worker)
    holder.machine_monitor._looks_partitioned = lambda zone: True  # prevents the return of the machine
    worker.message_loss = MessageLoss.INBOUND_LOST
    assert world.run(20, lambda: not holder.inventory.machines[worker.name].usable)
    world.run(10)
    tracker = holder.worker_registry.workers[worker.name].reachability_tracker
    assert tracker.reachability is Reachability.UNREACHABLE
    worker.message_loss = None
    assert world.run(20, lambda: tracker.proofs == 1)
    assert not holder.inventory.machines[worker.name].usable, "one round trip must not be enough"
    assert world.run(10, lambda: holder.inventory.machines[worker.name].usable)


# Late copies of reports


def test_late_report_copy_settles_nothing_after_node_restart():
    """Found by random schedules: a copy from before the worker's restart had a higher number and lacked the task."""
    world = ready_world(machines=3, capacity=3)
    worker = workers(world)[0]
    worker.sequence += 100
    copy = report_copy(worker)
    worker.restart()
    world.run(10)
    world.submit("j-1", run_s=60.0, bay=worker.zone)
    assert world.run(10, lambda: world.running("j-1") != [])
    name = holder_of(world, worker).platform.node
    world.kill_node(name)
    world.start_node(name)
    assert world.run(10, lambda: any(n.blocks.own_grant(worker.zone) for n in world.nodes.values()))
    for _ in range(3):
        holder_of(world, worker).handle_report(copy)
        world.run(2)
    known = holder_of(world, worker).worker_registry.workers[worker.name]
    next_report = orjson.loads(copy) | {"tally": known.reachability_tracker.newest[1] + 1}
    # A copy that looks like the next report in sequence.
    holder_of(world, worker).handle_report(orjson.dumps(next_report))
    world.run(2)
    assert world.running("j-1") == [("j-1/0", worker.name)]
    assert world.broken == []


def test_late_report_copy_does_not_revive_returned_machine():
    world = ready_world(machines=4, capacity=4)
    worker = workers(world)[0]
    copy = report_copy(worker)
    world.cloud.handle("POST", "/rentals/return", {"holdfasts": [worker.name]})
    for name in list(world.nodes):  # restarted nodes have no state of the machine
        world.kill_node(name)
        world.start_node(name)
    world.store.data = {k: v for k, v in world.store.data.items() if not k.startswith("l/machine/")}
    assert world.run(20, lambda: any(n.blocks.own_grant(worker.zone) for n in world.nodes.values()))
    holder = holder_of(world, worker)
    for _ in range(5):
        holder.handle_report(copy)
        world.run(1)
        machine = holder.inventory.machines.get(worker.name)
        assert machine is None or not machine.usable
    assert worker.name not in {v.name for v in holder.holder_scheduler._views()}


def test_late_report_copy_renews_no_lease_and_proves_nothing():
    world = ready_world(machines=3, capacity=3)
    worker = workers(world)[0]
    copy = report_copy(worker)
    world.run(6)
    holder = holder_of(world, worker)
    known = holder.worker_registry.workers[worker.name]
    worker.partitioned = True
    world.run(3)
    lease_renewed_at, proved_at = known.lease_renewed_at, known.reachability_tracker.proved_at
    assert holder.handle_report(copy)[0] == 503
    assert (known.lease_renewed_at, known.reachability_tracker.proved_at) == (lease_renewed_at, proved_at)


# Workers that restart at once


@pytest.mark.parametrize("restart_holder", [False, True])
def test_restarted_worker_is_told_from_copy_by_probe(restart_holder):
    world = ready_world(machines=3, capacity=3)
    world.submit("j-1", 2, run_s=30.0)
    assert world.run(10, lambda: len(world.running("j-1")) == 2)
    worker = worker_of(world, "j-1/0")
    worker.session = 5  # as after several ends of its lease
    world.run(10)
    worker.restart()
    if restart_holder:
        name = holder_of(world, worker).platform.node
        world.kill_node(name)
        world.start_node(name)
    assert world.run(120, lambda: world.poll("j-1") == "done")
    assert world.broken == []
    assert worker.name in world.cloud.machines, "the machine of the restarted worker was returned"


# The reachability tracker


def respond(tracker, number, newest_when_sent, now):
    """Register a response; returns what it proves, and whether it shows a restart of the worker."""
    restarted = Watermark(newest_when_sent).shows_restart(number, token=0)
    return tracker.on_response(number, restarted, now), restarted


def test_reachability_tracker_trusts_round_trips():
    tracker = ReachabilityTracker(seconds(2))
    assert tracker.on_report((1, 1), seconds(0)) is Evidence.CLAIM, "the first report may be a copy"
    assert respond(tracker, (1, 2), (1, 1), seconds(0)) == (Evidence.PROOF, False)
    assert tracker.on_report((1, 3), seconds(2)) is Evidence.SUCCESSOR, (
        "its sequence number follows the one of our response"
    )
    assert not tracker.needs_probe(seconds(2)), "the worker stayed with this node, so it received our response"
    assert tracker.on_report((1, 5), seconds(8)) is Evidence.CLAIM
    assert tracker.needs_probe(seconds(8)), "the gap in the numbers shows that it reported elsewhere"
    assert tracker.on_report((1, 4), seconds(9)) is Evidence.STALE
    assert respond(tracker, (1, 4), (1, 5), seconds(9)) == (Evidence.PROOF, True), (
        "the probe response shows a restarted count"
    )
    assert tracker.on_report((1, 6), seconds(9)) is Evidence.STALE, (
        "copies from before the restart may have higher numbers"
    )


def test_reachability_tracker_has_hysteresis():
    tracker = ReachabilityTracker(seconds(2))
    respond(tracker, (1, 1), (0, 0), seconds(0))
    tracker.on_no_response()
    assert tracker.reachability is Reachability.REACHABLE
    tracker.on_no_response()
    assert tracker.reachability is Reachability.UNREACHABLE and tracker.presumed_unreachable
    respond(tracker, (1, 2), (1, 1), seconds(5))
    respond(tracker, (1, 3), (1, 2), seconds(6))
    assert tracker.reachability is Reachability.UNREACHABLE and not tracker.presumed_unreachable
    respond(tracker, (1, 4), (1, 3), seconds(7))
    assert tracker.reachability is Reachability.REACHABLE


def test_one_way_loss_is_logged_as_unreachable(caplog):
    caplog.set_level("INFO")
    world = ready_world(machines=6, capacity=6)
    worker = workers(world)[0]
    worker.message_loss = MessageLoss.INBOUND_LOST
    holder = holder_of(world, worker)
    assert world.run(20, lambda: holder.inventory.machines[worker.name].state is MachineState.RETURNING)
    assert holder.worker_registry.unreachable() == 1
    assert f"worker {worker.name} is unreachable: requests to it get no response" in caplog.messages


# Each test covers a check whose removal no other test detected


def unreachable_machine_with_task(world):
    """Make the machine of a running task unreachable and prevent its return.

    Returns the stand-in of its worker, its holder, and the holder's entry for the worker.
    """
    world.submit("j-1", run_s=100.0)
    assert world.run(10, lambda: world.running("j-1") != [])
    worker = worker_of(world, "j-1/0")
    holder = holder_of(world, worker)
    holder.machine_monitor._looks_partitioned = lambda zone: True
    worker.message_loss = MessageLoss.INBOUND_LOST
    known = holder.worker_registry.workers[worker.name]
    assert world.run(20, lambda: known.reachability_tracker.presumed_unreachable)
    return worker, holder, known


def test_unreachable_machine_gets_no_200_and_its_lease_ends():
    world = ready_world(machines=3, capacity=3)
    worker, holder, known = unreachable_machine_with_task(world)
    worker.step = lambda: None  # from here on, only this test sends its reports
    renewed_at = known.lease_renewed_at
    lease_ended_by = renewed_at + world.times.lease * 1.001 + seconds(1)
    while world.clock.now < lease_ended_by - seconds(1):
        world.run(0.9)
        assert holder.handle_report(report_copy(worker))[0] == 503
        assert holder.job_index.jobs["j-1"].placed_count() == 1, (
            "the task was settled before the lease had certainly ended"
        )
    assert known.lease_renewed_at == renewed_at
    assert world.run(
        3, lambda: world.clock.now > lease_ended_by and holder.job_index.placement(TaskId("j-1", 0)) is None
    )


def test_late_copy_gets_no_200_while_worker_reports():
    world = ready_world(machines=3, capacity=3)
    worker = workers(world)[0]
    world.run(4)
    copy = report_copy(worker)
    holder = holder_of(world, worker)
    newest = holder.worker_registry.workers[worker.name].reachability_tracker.newest
    assert world.run(5, lambda: holder.worker_registry.workers[worker.name].reachability_tracker.newest > newest)
    assert holder.handle_report(copy)[0] == 200, "the worker may still wait for this response"
    world.run(5)
    assert holder.handle_report(copy)[0] == 503


def test_higher_session_is_probed_before_believed():
    world = ready_world(machines=3, capacity=3)
    worker = workers(world)[0]
    holder = holder_of(world, worker)
    worker.session = 7
    copy = report_copy(worker)
    worker.session = 1
    probed = []
    holder.worker_registry.probe = lambda machine, address: probed.append(address)
    worker.sequence += 1
    holder.handle_report(copy)
    assert holder.worker_registry.workers[worker.name].session == 1, (
        "the holder believed a session that never existed, and a start would name it"
    )
    assert probed == [worker.address]


def test_task_of_session_unknown_to_new_holder_is_settled():
    world = ready_world(machines=3, capacity=3)
    worker = workers(world)[0]
    worker.session = 5
    world.run(4)
    world.submit("j-1", run_s=60.0, bay=worker.zone)
    assert world.run(10, lambda: world.running("j-1") != [])
    for name in world.node_names:
        world.kill_node(name)
    worker.restart()
    for name in world.node_names:
        world.start_node(name)
    assert world.run(20, lambda: world.running("j-1") != []), "the new holder did not probe the worker about the task"
    assert world.broken == []


def test_machine_with_reports_but_no_responses_becomes_silent():
    world = ready_world(machines=3, capacity=3)
    worker = workers(world)[0]
    holder = holder_of(world, worker)
    holder.machine_monitor._looks_partitioned = lambda zone: True
    worker.message_loss = MessageLoss.INBOUND_LOST
    known = holder.worker_registry.workers[worker.name]
    limit = world.times.report * 1.25 + seconds(1)
    worker.step = lambda: None
    proved_at = known.reachability_tracker.proved_at
    while world.clock.now <= proved_at + limit + seconds(1):
        worker.sequence += 2  # as if it had reported to another node in between
        holder.handle_report(report_copy(worker))
        world.run(0.5)
    assert holder.inventory.machines[worker.name].state is MachineState.SILENT
    holder.inventory.machines[worker.name].state = MachineState.UP  # as if this node did not know that it is silent
    holder.worker_registry._changes.mark_changed(worker.name)
    assert worker.name not in {v.name for v in holder.holder_scheduler._view_cache.refreshed_views()}


def test_late_report_with_probe_response_is_not_silent(caplog):
    """Nine tenths of a log were machines that became silent for some milliseconds, until their probe response came."""
    world = ready_world(machines=3, capacity=3)
    worker = workers(world)[0]
    machine = holder_of(world, worker).inventory.machines[worker.name]
    caplog.set_level("INFO")
    machine_entries = [entry for key, entry in world.store.data.items() if key.startswith("l/machine/")]
    worker.next_report = world.clock.now + seconds(60)
    assert not world.run(20, lambda: machine.state is not MachineState.UP)
    assert not any("silent" in line for line in caplog.messages)
    assert [entry for key, entry in world.store.data.items() if key.startswith("l/machine/")] == machine_entries
    worker.partitioned = True
    assert world.run(5, lambda: machine.state is MachineState.SILENT)
    assert f"machine {worker.name} (box, a): up -> silent, no report, and no response to a probe" in caplog.messages


def test_probe_in_progress_counts_as_no_response():
    """A neighbour's probe response shows whether a zone is partitioned; a probe in progress must not count as one."""
    world = ready_world(machines=3, capacity=3)
    worker = workers(world)[0]
    holder = holder_of(world, worker)
    request, results = holder.worker_registry._request, []

    def probe_meanwhile(machine, *args):
        results.append(holder.worker_registry.probe(machine, worker.address))
        results.append(holder.machine_monitor._looks_partitioned(worker.zone))
        return request(machine, *args)

    holder.worker_registry._request = probe_meanwhile
    assert holder.worker_registry.probe(worker.name, worker.address) is True
    assert results == [None, True]


def test_probe_settles_nothing_while_report_response_may_start_task():
    """Seen in a bench run: a probe response overtook a report's response; the task was settled, and then it started."""
    world = ready_world(machines=1, capacity=1)
    worker = workers(world)[0]
    holder = holder_of(world, worker)
    worker.step = lambda: None
    world.filter = lambda source, target, path: "lost" if path == "/commands" else None
    world.submit("j-1", run_s=60.0)
    assert world.run(3, lambda: holder.job_index.jobs["j-1"].placed_count() == 1)
    for node in world.nodes.values():
        node.watch_store()
    worker.token = holder.blocks.own_token(worker.zone)
    status, answer = holder.handle_report(report_copy(worker))
    assert status == 200 and b"run" in answer, "the report's response does not start the task"
    placement = next(holder.job_index.placements())
    holder.worker_registry.stop(placement, seconds(0), "a trace")
    holder.worker_registry.workers[worker.name].fence = StartFence(0)  # the direct start cannot arrive any more
    holder.worker_registry.probe(worker.name, worker.address)
    assert holder.job_index.jobs["j-1"].placed_count() == 1 and placement.phase is not Phase.SETTLED
    world.clock.now += seconds(5)
    holder.worker_registry.probe(worker.name, worker.address)
    assert placement.phase is Phase.SETTLED, "the worker has stopped waiting for that response"
