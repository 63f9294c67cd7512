"""Concurrent faults: team limits, cancellations, hung machines and leader changes; each test checks the overlap."""

import pytest
from traces import ready_world, worker_of, zone_of

from kelpjunction.clock import seconds
from kelpjunction.fleet import machine_monitor
from kelpjunction.jobs.job_index import Phase
from kelpjunction.lab.worker import MessageLoss
from kelpjunction.lab.world import STORE, NetworkConditions, World
from kelpjunction.settings import Team

LIMITED_TEAMS = (Team("red", 8.0, 0.0, 12.0, None), Team("blue", 8.0, 0.0, 12.0, None))
GANG_FIELDS = {"shape": "ensemble", "mark_s": 5.0, "stow_s": 1.0}
FIELDS_BY_SHAPE = {"batch": {"shape": "batch"}, "service": {"shape": "service"}, "ensemble": GANG_FIELDS}


def change_leader(world: World, away: float = 8.0) -> str:
    """Kill the leader and wait until another node leads; returns the name of the killed node."""
    old = world.leader_name()
    world.kill_node(old)
    world.run_after(away, lambda: world.runs(old) or world.start_node(old))
    assert world.run(15, lambda: world.leader_name() not in (None, old))
    return old


def disable_machine_returns(world: World, monkeypatch) -> None:
    """Prevent the return of silent machines, so that a task on one ends only with its lease."""
    monkeypatch.setattr(machine_monitor, "RETURN_DELAY_AFTER_LEASE", seconds(3600))
    for node in world.nodes.values():
        node.machine_monitor._looks_partitioned = lambda zone: True


def workers(world: World) -> list:
    return [worker for worker, _ in world.cloud.machines.values()]


def used_cpus(world: World, team: str) -> float:
    owners = (world.job(frond.partition("/")[0]) for frond, _ in world.running())
    return sum(job["cpus"] for job in owners if job["crew"] == team)


# Limits


@pytest.mark.parametrize("how", ["cut", "hang", "deaf", "mute"])
@pytest.mark.parametrize("shape", ["batch", "service", "ensemble"])
def test_cancelled_jobs_on_lost_machines_count_against_limit_until_gone(how, shape):
    """The capacity of a task that may still run is not reused; it is reused once the task is known to have ended."""
    world = ready_world(machines=9, capacity=12, teams=LIMITED_TEAMS)
    fields = FIELDS_BY_SHAPE[shape]
    for team in ("red", "blue"):
        world.submit(f"j-1{team == 'red':d}", 3, run_s=400.0, crew=team, **fields)
    assert world.run(20, lambda: used_cpus(world, "red") == used_cpus(world, "blue") == 6.0)
    for team in ("red", "blue"):
        world.submit(f"j-2{team == 'red':d}", 3, run_s=400.0, crew=team)
        world.submit(f"j-3{team == 'red':d}", 3, run_s=4.0, crew=team)
    assert world.run(20, lambda: used_cpus(world, "red") == used_cpus(world, "blue") == 12.0)
    lost = {worker_of(world, f"j-1{t}/{n}") for t in "01" for n in range(3)}
    for worker in lost:
        if how == "hang":
            worker.hang(25.0)
        elif how == "cut":
            worker.partitioned = True
        else:
            worker.message_loss = MessageLoss(how)
    world.run(0.5)
    assert [world.abort(f"j-1{t}") for t in "01"] == [200, 200]
    world.kill_node(old := world.leader_name())
    assert world.run(15, lambda: world.leader() is not None)
    remaining = {f for f, _ in world.running("j-1")}
    assert remaining or how == "mute", "no cancelled task was running when the new leader began"
    world.start_node(old)
    limit = (world.times.lease + seconds(30)).total_seconds()
    assert world.run(limit, lambda: world.poll("j-30") == world.poll("j-31") == "done"), (
        "the capacity of the cancelled tasks was not released in time"
    )
    assert max(used_cpus(world, "red"), used_cpus(world, "blue")) <= 12.0
    for worker in workers(world):
        worker.partitioned, worker.message_loss = False, None
    world.run(30)
    assert world.running("j-1") == []
    assert world.broken == []


@pytest.mark.parametrize("twice", [False, True])
def test_team_limit_holds_while_machines_are_unreachable_at_leader_change(twice):
    """A job is cancelled while its machines are unreachable; the waiting job starts only once they are reachable."""
    world = ready_world(machines=6, capacity=6, teams=LIMITED_TEAMS)
    world.submit("j-1", 6, run_s=400.0)
    world.submit("j-2", 3, run_s=5.0)
    assert world.run(15, lambda: used_cpus(world, "red") == 12.0)
    lost = {worker_of(world, f"j-1/{n}") for n in range(6)}
    world.filter = lambda source, target, path: (
        "lost" if path in ("/status", "/commands") or source in {w.name for w in lost} else None
    )
    change_leader(world)
    assert world.abort("j-1") == 200
    if twice:
        change_leader(world)
    assert len(world.running("j-1")) == 6, "workers can be neither probed nor commanded, so all tasks should still run"
    world.run(4)
    world.filter = lambda *_: None
    assert world.run(40, lambda: world.poll("j-2") == "done")
    assert world.running("j-1") == []
    assert world.broken == []


# Cancellation during a block handover


@pytest.mark.parametrize(
    "moment", ["old holder ends", "grant is not heard of", "new holder lags", "start is under way"]
)
@pytest.mark.parametrize("shape", ["batch", "ensemble"])
def test_jobs_cancelled_during_block_handover_stop_running(moment, shape):
    world = ready_world(machines=9, capacity=9)
    fields = FIELDS_BY_SHAPE[shape]
    for n in range(6):
        world.submit(f"j-{n}", 2, run_s=300.0, cpus=0.5, bay="abc"[n % 3], **fields)
    if moment != "start is under way":
        assert world.run(20, lambda: len(world.running()) == 12)
    leader = world.leader_name()
    old = next(n for n in world.node_names if n != leader)
    zone = world.nodes[old].blocks.held_zones()[0]
    old_token = world.leader().blocks.grants[zone].token
    if moment == "start is under way":
        world.filter = lambda source, target, path: "held" if source == old and path == "/commands" else None
        world.late_request_delay_s = (1.0, 20.0)
        assert world.run(10, lambda: bool(world.late))
    world.cut_from_store = world.cut_from_peers = {old}
    if moment == "old holder ends":
        world.kill_node(old)
    elif moment == "grant is not heard of":
        world.filter = lambda source, target, path: "answer lost" if path == "/commit" and source == leader else None
    elif moment == "new holder lags":
        for name in world.node_names:
            if name not in (old, leader):
                follow = world.nodes[name].mirror.watch_once
                world.nodes[name].mirror.watch_once = lambda: None
                world.run_after(6.0, lambda n=name, f=follow: setattr(world.nodes[n].mirror, "watch_once", f))
    early_statuses = []

    def cancel_around_grant() -> bool:
        current_token = world.store.data[f"l/block/{zone}"][0]["token"]
        if len(early_statuses) < 3 and (current_token > old_token or world.store.data.get(f"l/node/{old}") is None):
            early_statuses.append(world.abort(f"j-{len(early_statuses)}", node=leader))
        return current_token > old_token and len(early_statuses) >= 3

    assert world.run(25, cancel_around_grant)
    world.filter = lambda *_: None
    users = [n for n in world.node_names if n != old]
    assert [world.abort(f"j-{n}", node=users[n % 2]) in (200, 503) for n in range(6)] == [True] * 6
    world.run(2)
    assert world.run(10, lambda: {world.abort(f"j-{n}", node=users[n % 2]) for n in range(6)} == {200})
    world.run(20)
    assert world.running() == [], "neither the new holder nor the lease end stopped the tasks"
    if not world.runs(old):
        world.start_node(old)
    world.cut_from_store = world.cut_from_peers = set()
    world.run(30)
    assert world.running() == []
    assert world.broken == []


# Cancellation on a machine that hangs and resumes


@pytest.mark.parametrize("hang", [3.0, 10.0, 14.5, 20.0, 60.0])
@pytest.mark.parametrize("what", ["nothing else", "the leader changes", "an outage", "the holder is cut off"])
def test_cancelled_task_on_hung_machine_ends_in_time(hang, what, monkeypatch):
    """A worker that resumes within its lease receives the pending stop; after its lease, it has no tasks left."""
    world = ready_world(machines=6, capacity=6)
    disable_machine_returns(world, monkeypatch)
    world.submit("j-1", 3, run_s=300.0)
    assert world.run(10, lambda: len(world.running("j-1")) == 3)
    hung_workers = {worker_of(world, f"j-1/{n}") for n in range(3)}
    for worker in hung_workers:
        worker.hang(hang)
    world.run(0.3)
    assert world.abort("j-1") == 200
    confirmed_at = world.clock.now
    if what == "the leader changes":
        world.kill_node(world.leader_name())
    elif what == "an outage":
        world.store.outage(True)
    elif what == "the holder is cut off":
        world.cut_from_store = {world.leader_name()}
    assert len(world.running("j-1")) == 3, "hung machines received nothing, so all tasks should still be there"
    gone = world.run(world.times.cancel.total_seconds() - 1, lambda: world.running("j-1") == [])
    assert gone, (
        f"still running {(world.clock.now - confirmed_at).total_seconds():.0f} s after the cancellation was confirmed"
    )
    world.store.outage(False)
    world.cut_from_store = set()
    world.run(70)
    assert world.running("j-1") == [] and all(w.hang_period is None for w in hung_workers)
    assert world.broken == []


def test_task_of_hung_machine_restarts_only_after_lease_end(monkeypatch):
    world = ready_world(machines=6, capacity=6)
    disable_machine_returns(world, monkeypatch)
    world.submit("j-1", run_s=30.0)
    assert world.run(10, lambda: world.running("j-1") != [])
    worker = worker_of(world, "j-1/0")
    renewed_at = worker.lease_renewed_at
    worker.hang(40.0)
    assert world.run(40, lambda: len(world.starts) == 2)
    assert world.clock.now - renewed_at > world.times.lease, "the hung worker could still have resumed within its lease"
    assert world.run(80, lambda: world.poll("j-1") == "done")
    assert world.broken == []


# Cancellation during a save


@pytest.mark.parametrize("shape", ["batch", "ensemble"])
@pytest.mark.parametrize("moment", ["while it saves", "with its machine out of reach"])
def test_cancellation_cuts_a_running_save_short(shape, moment):
    """Found by code review: the save time sent with the first stop, here longer than cancel_s, was never shortened."""
    world = ready_world(machines=3, capacity=3)
    world.submit("j-1", 2, shape=shape, run_s=300.0, mark_s=5.0, stow_s=90.0, cpus=1.0)
    assert world.run(20, lambda: len(world.running("j-1")) == 2)
    world.run(4)
    for node in world.nodes.values():
        for placement in node.job_index.jobs["j-1"].placements():
            if node.blocks.own_grant(placement.zone):
                node.worker_registry.stop(placement, placement.spec.save, "a trace")
                node.worker_registry.send([placement])
    world.run(3)
    tasks = [t for w in workers(world) for t in w.tasks.values()]
    assert [t["tide"] for t in tasks] == ["flushing"] * 2
    if moment == "with its machine out of reach":
        for worker in workers(world):
            worker.message_loss = MessageLoss.OUTBOUND_LOST
        world.filter = lambda source, target, path: "lost" if path == "/commands" else None
    assert world.abort("j-1") == 200
    assert world.run(world.times.cancel.total_seconds() - 1, lambda: world.running("j-1") == [])
    world.run(20)
    assert world.broken == []


# New machines


@pytest.mark.parametrize("writes", ["in time", "late", "unheard"])
def test_new_machines_are_used_despite_slow_writes_and_leader_loss(writes):
    world = ready_world(machines=1, capacity=8)
    world.cloud.boot = seconds(1.5)
    rented: list[float] = []
    handle = world.cloud.handle

    def kill_leader_after_rental(method, path, body):
        reply = handle(method, path, body)
        if path == "/rentals" and reply.status == 200 and not rented:
            rented.append(world.clock.now.total_seconds())
            leader = world.leader_name()
            if writes != "in time":
                fate = "held" if writes == "late" else "answer lost"
                world.filter = lambda source, target, path: fate if path == "/commit" and source == leader else None
            world.run_after(2.5, lambda: (world.kill_node(leader), setattr(world, "filter", lambda *_: None)))
            world.run_after(4.0, lambda: world.runs(leader) or world.start_node(leader))
        return reply

    world.cloud.handle = kill_leader_after_rental
    world.submit("j-1", 24, crew="blue", run_s=6.0)
    assert world.run(60, lambda: world.poll("j-1") == "done")
    assert rented, "no machine was rented, so the leader was not killed"
    assert sorted(set(world.starts)) == sorted(f"j-1/{n}" for n in range(24))
    known = {n for node in world.nodes.values() for n in node.inventory.machines}
    assert set(world.cloud.machines) <= known, "a rented machine is unknown to all nodes"
    assert world.broken == []


# Old reports replayed to all nodes at a leader change


@pytest.mark.parametrize("restarted_nodes", ["none", "one", "all"])
@pytest.mark.parametrize("age", ["before its tasks", "while they ran", "of an earlier session"])
def test_replayed_reports_at_leader_change_break_no_rule(age, restarted_nodes):
    world = ready_world(machines=6, capacity=6)
    if age == "before its tasks":
        world.reports_for_next_leader = []
        world.run(3)
    world.submit("j-1", 6, shape="service", cpus=1.0)
    world.submit("j-2", 6, run_s=25.0, cpus=1.0)
    if age != "before its tasks":
        assert world.run(10, lambda: len(world.running()) == 12)
        world.reports_for_next_leader = []
        world.run(3)
        assert any(r["fronds"] for r in world.reports_for_next_leader)
    old_reports = world.reports_for_next_leader
    assert old_reports
    world.reports_for_next_leader = None
    if age == "of an earlier session":
        for worker in workers(world)[::2]:
            worker.session += 1
            worker.tasks.clear()
            worker.lease_renewed_at = world.clock.now
    assert world.run(20, lambda: len(world.running("j-1")) == 6)
    world.run(2)
    world.reports_for_next_leader = old_reports
    for name in world.node_names:
        if restarted_nodes == "all" or (restarted_nodes == "one" and name != world.leader_name()):
            world.kill_node(name)
            world.start_node(name)
            if restarted_nodes == "one":
                break
    if restarted_nodes != "all":
        world.kill_node(world.leader_name())
    assert world.run(
        20, lambda: world.reports_for_next_leader == [] or world.reports_for_next_leader is not old_reports
    ), "the old reports were not replayed"
    world.reports_for_next_leader = None
    for name in world.node_names:
        if not world.runs(name):
            world.start_node(name)
    assert world.run(80, lambda: world.poll("j-2") == "done")
    assert len(world.running("j-1")) == 6
    assert world.broken == []


# Repeated leader changes


@pytest.mark.parametrize("outage", [False, True])
def test_leaders_change_ten_times_in_two_minutes(outage):
    world = ready_world(machines=9, capacity=9)
    world.submit("j-1", 6, shape="service", cpus=0.5)
    world.submit("j-2", 9, run_s=60.0, cpus=0.5)
    world.submit("j-3", 3, run_s=40.0, cpus=0.5, **GANG_FIELDS)
    assert world.run(15, lambda: len(world.running()) == 18)
    terms = set()
    for number in range(10):
        if outage and number == 4:
            world.store.outage(True)
            world.run_after(10.0, lambda: world.store.outage(False))
        if name := world.leader_name():
            terms.add(world.nodes[name].leadership.leader_term.term)
            world.kill_node(name)
            world.run(1)
            world.start_node(name)
        world.submit(f"j-4{number}", run_s=3.0, cpus=0.5)
        if number % 3 == 2:
            world.abort(f"j-4{number}")
        world.run(11)
    assert len(terms) >= 9
    small_jobs = [f"j-4{n}" for n in range(10) if f"j-4{n}" in world.last_told_state]
    assert world.run(60, lambda: all(world.poll(r) in ("done", "withdrawn") for r in ("j-2", "j-3", *small_jobs)))
    assert len(world.running("j-1")) == 6
    assert world.broken == []


# Controllers or a zone unavailable for longer than a lease


def test_jobs_recover_after_all_nodes_are_down_for_longer_than_a_lease():
    world = ready_world(machines=9, capacity=9)
    world.submit("j-1", 6, shape="service", cpus=0.5)
    world.submit("j-2", 6, run_s=30.0, cpus=0.5)
    world.submit("j-3", 4, run_s=300.0, cpus=0.5)
    assert world.run(15, lambda: len(world.running()) == 16)
    assert world.abort("j-3") == 200
    for name in world.node_names:
        world.kill_node(name)
    world.run(world.times.lease.total_seconds() + 3)
    assert world.running() == [], "a task outlived its lease"
    for name in world.node_names:
        world.start_node(name)
    assert world.run(20, lambda: len(world.running("j-1")) == 6)
    assert world.run(60, lambda: world.poll("j-2") == "done")
    assert world.running("j-3") == [] and world.poll("j-3") == "withdrawn"
    assert world.broken == []


@pytest.mark.parametrize("length", [12.0, 25.0, 60.0])
def test_partitioned_zone_recovers_and_breaks_no_rule(length):
    """The isolated holder renews leases for as long as the rule on cancellations allows it; then the leases end."""
    world = ready_world(machines=9, capacity=12)
    world.submit("j-1", 6, shape="service", cpus=1.0, apart=True)
    world.submit("j-2", 6, run_s=20.0, cpus=1.0)
    world.submit("j-3", 3, run_s=300.0, cpus=1.0)
    assert world.run(15, lambda: len(world.running()) == 15)
    name = next(n for n in world.node_names if n != world.leader_name())
    zone = world.nodes[name].platform.zone
    isolated_workers = {w.name for w in workers(world) if w.zone == zone}
    out = [n for n in world.node_names if n != name]
    world.cut_from_store = world.cut_from_peers = {name}
    addresses = {w.address for w in workers(world) if w.zone == zone}

    def cut_zone_off(source, target, path):
        there, here = source in isolated_workers or source == name, target in addresses or target == name
        return "lost" if there is not here and (path in ("/checkin", "/commands", "/status")) else None

    world.filter = cut_zone_off
    world.run(1)
    assert world.abort("j-3", node=out[0]) == 200
    world.run(length)
    world.filter = lambda *_: None
    world.cut_from_store = world.cut_from_peers = set()
    assert world.run(90, lambda: world.poll("j-2", node=out[0]) == "done")
    assert world.run(40, lambda: len(world.running("j-1")) == 6 and not world.running("j-3"))
    assert world.broken == []


@pytest.mark.parametrize("shape", ["batch", "ensemble", "service"])
def test_zone_bound_jobs_restart_only_in_their_zone(shape):
    """Replacement machines are rented in the same zone, and no task of the job starts in another zone."""
    world = ready_world(machines=6, capacity=9)
    fields = FIELDS_BY_SHAPE[shape]
    world.submit("j-1", 4, run_s=20.0, bay="b", crew="blue", **fields)
    world.submit("j-2", 4, run_s=20.0, together=True, crew="blue", **fields)
    assert world.run(20, lambda: len(world.running()) == 8)
    lost = {worker_of(world, f) for f, _ in world.running("j-1")}
    assert {w.zone for w in lost} == {"b"}
    for worker in lost:
        worker.alive = False
        worker.tasks.clear()
    assert world.run(90, lambda: len(world.running("j-1")) == 4 or world.poll("j-1") == "done")
    assert {zone_of(world, m) for _, m in world.running("j-1")} <= {"b"}
    if shape != "service":
        assert world.run(90, lambda: world.poll("j-1") == world.poll("j-2") == "done")
    assert world.broken == []


def test_overload_over_slow_links_finishes_all_jobs():
    world = ready_world(
        machines=3, capacity=3, network_conditions=NetworkConditions(delay_range_s=(0.3, 2.5), loss_rate=0.02)
    )
    for n in range(24):
        urgent = n % 4 == 0
        fields = GANG_FIELDS if n % 3 == 1 else {}
        world.submit(f"j-{n:02d}", 4, crew="blue", urgency="high" if urgent else "low", run_s=4.0, cpus=2.0, **fields)
        world.run(1)
    waiting = [r for r in world.last_told_state if not world.running(r) and world.poll(r) == "pending"]
    assert len(waiting) > 6, "the jobs did not exceed the capacity"
    world.starvation_check.enabled = True
    assert world.run(300, lambda: all(world.poll(r) == "done" for r in world.last_told_state))
    assert world.starvation_check.starved_jobs == {}
    assert world.broken == []


@pytest.mark.parametrize("slow", [False, True])
@pytest.mark.parametrize("first", [2.0, 12.0])
def test_users_get_no_stale_state_when_store_refuses_leader_then_all(first, slow):
    world = ready_world(machines=9, capacity=9)
    requests = []

    def delay_commit(source, target, path):
        """Delay every seventh transaction for as long as some callers wait at most."""
        requests.append(path)
        return 1.4 if slow and target == STORE and path == "/commit" and len(requests) % 7 == 0 else 0.0

    world.pause_before_request = delay_commit
    for n in range(8):
        world.submit(f"j-{n}", 2, run_s=200.0, cpus=0.5)
    assert world.run(15, lambda: len(world.running()) == 16)
    leader = world.leader_name()
    world.cut_from_store = {leader}
    world.run(first / 2)
    statuses = [world.abort(f"j-{n}", node=world.node_names[n % 3]) for n in range(4)]
    assert 200 in statuses and 503 in statuses, "the refused node must not confirm a cancellation, and the others must"
    world.run(first / 2)
    world.store.outage(True)
    reported_states = []
    end = world.clock.now + world.times.cancel + seconds(5)
    while world.clock.now < end:
        world.run(1)
        for n in range(8):
            reported_states += (
                world.ask_all_nodes(f"j-{n}") if world.clock.now.seconds % 5 == 0 else [world.poll(f"j-{n}")]
            )
            if n > 5:
                assert world.abort(f"j-{n}") == 503
    assert {*reported_states} <= {None, "withdrawn"}, "a node answered with a state that may be stale"
    world.store.outage(False)
    world.cut_from_store = set()
    assert world.run(40, lambda: {world.poll(f"j-{n}") for n in (4, 5)} == {"running"})
    for ref, state in world.last_told_state.items():
        assert world.running(ref) == [] or state != "withdrawn"
    assert world.broken == []


def test_workers_that_cannot_send_still_execute_stops():
    """Mute machines: commands reach their workers, but the workers' reports and responses are lost."""
    world = ready_world(machines=6, capacity=6)
    world.submit("j-1", 4, run_s=300.0)
    world.submit("j-2", 3, shape="service", cpus=1.0)
    assert world.run(10, lambda: len(world.running()) == 7)
    mute_workers = [worker_of(world, "j-1/0"), worker_of(world, "j-2/0")]
    for worker in mute_workers:
        worker.message_loss = MessageLoss.OUTBOUND_LOST
    world.run(0.3)
    assert world.abort("j-1") == 200
    confirmed_at = world.clock.now
    assert world.run(5, lambda: not any(f.startswith("j-1") for f, _ in world.running()))
    assert world.clock.now - confirmed_at < seconds(5), "the commands did not reach the workers at once"
    stopping = [p for n in world.nodes.values() for p in n.job_index.placements() if p.phase is Phase.STOPPING]
    assert stopping, "no node should know yet that the tasks were stopped"
    assert world.run(60, lambda: len(world.running("j-2")) == 3 and "l/job/j-1" not in world.store.data)
    for worker in mute_workers:
        worker.message_loss = None
    world.run(30)
    assert world.broken == []
