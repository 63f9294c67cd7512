"""Nodes isolated from the state service and their siblings, and nodes that restart at once."""

import orjson
import pytest
from traces import ready_world

from kelpjunction.clock import seconds
from kelpjunction.leadership import LEADER_KEY, Role


def isolate(world, *names) -> None:
    world.cut_from_store, world.cut_from_peers = set(names), set(names)


def sessions(world) -> dict[str, int]:
    return {name: worker.session for name, (worker, _) in world.cloud.machines.items()}


@pytest.mark.parametrize("who", ["a holder", "the leader", "two of three", "one while another is rolled"])
def test_blocks_of_isolated_node_move_without_lease_loss(who):
    world = ready_world(machines=9, capacity=9)
    world.submit("j-1", 6, shape="service", urgency="prod")
    world.submit("j-2", 6, run_s=25.0)
    assert world.run(10, lambda: len(world.running()) == 12)
    leader = world.leader_name()
    others = [n for n in world.node_names if n != leader]
    isolated = {"the leader": [leader], "two of three": others}.get(who, others[:1])
    before = sessions(world)
    isolate(world, *isolated)
    if who == "one while another is rolled":
        world.run(3)
        world.kill_node(others[1])
        world.run_after(4.0, lambda: world.start_node(others[1]))
    connected = [n for n in world.node_names if n not in isolated]
    assert world.run(
        12, lambda: {g.holder for n in connected if world.nodes[n] for g in grants_known_to(world, n)} <= set(connected)
    )
    world.run(6)
    assert world.submit("j-3", 3, run_s=5.0, node=connected[0]) == 201
    world.run(20)
    isolate(world)
    world.run(20)
    assert sessions(world) == before, "the lease of a worker ended"
    assert len(world.running("j-1")) == 6
    assert [world.poll("j-2"), world.poll("j-3")] == ["done", "done"]
    assert world.broken == []


def grants_known_to(world, name):
    return world.nodes[name].blocks.grants.values()


def test_isolated_holder_releases_block_workers_after_higher_token_seen():
    """Regression: each worker left the isolated holder only after a command of the new holder to that worker."""
    world = ready_world(machines=9, capacity=9)
    name = next(n for n in world.node_names if n != world.leader_name())
    zone = world.nodes[name].blocks.held_zones()[0]
    isolate(world, name)
    new = {n for n in world.node_names if n != name}
    assert world.run(10, lambda: all(world.nodes[n].blocks.holder(zone) in new for n in new))
    block_workers = [w for w, _ in world.cloud.machines.values() if w.zone == zone]
    assert world.run(4, lambda: all(f"holdfast-{w.node}" in new for w in block_workers)), (
        "workers stayed with the isolated node until its grace period had passed"
    )
    assert world.nodes[name].leadership.can_renew_leases()


def test_isolated_node_is_unhealthy_once_a_worker_proves_it():
    """The load balancer must drop it: it can't ask its siblings, and its users got only 503 while it was isolated."""
    world = ready_world(machines=9, capacity=9)
    name = world.leader_name()
    isolate(world, name)
    world.run(8)
    assert [world.nodes[n].intake.healthy() for n in world.node_names] == [n != name for n in world.node_names]
    isolate(world)
    world.run(3)
    assert world.nodes[name].intake.healthy()
    isolate(world, *world.node_names)
    world.run(8)
    assert all(node.intake.healthy() for node in world.nodes.values()), (
        "an outage for all nodes must leave every node healthy"
    )


def test_isolated_node_answers_503_at_once():
    world = ready_world()
    world.submit("j-1", run_s=60.0)
    name = next(n for n in world.node_names if n != world.leader_name())
    isolate(world, name)
    world.run(5)
    asked_at = world.clock.now
    assert world.submit("j-2", node=name) == 503
    assert world.poll("j-1", node=name) is None
    assert world.clock.now == asked_at


def test_common_outage_ends_no_lease_within_grace_period():
    world = ready_world(machines=9, capacity=9)
    world.submit("j-1", 6, shape="service", urgency="prod")
    assert world.run(10, lambda: len(world.running()) == 6)
    before = sessions(world)
    world.store.outage(True)
    world.cut_from_peers = set(world.node_names)  # no node can tell whether it alone is cut off
    world.run(18)
    world.store.outage(False)
    world.cut_from_peers = set()
    world.run(20)
    assert sessions(world) == before
    assert world.broken == []


# Nodes that restart within a second


@pytest.mark.parametrize("after", [0.0, 0.3, 0.9])
def test_restarted_leader_leads_before_old_store_lease_expires(after):
    world = ready_world()
    name = world.leader_name()
    for other in world.node_names:
        if other != name:
            world.kill_node(other)
    world.run(4)
    world.kill_node(name)
    world.run(after)
    world.start_node(name)
    started_at = world.clock.now
    assert world.run(1.5, lambda: world.leader_name() == name), (
        "the new process waited for the store lease of the old one"
    )
    assert world.clock.now - started_at < seconds(1.5)
    world.submit("j-1", run_s=3.0)
    assert world.run(20, lambda: world.poll("j-1") == "done")
    assert world.broken == []


def test_late_commit_of_previous_process_changes_nothing():
    world = ready_world()
    name = world.leader_name()
    world.late_request_delay_s = (3.0, 3.0)
    world.filter = lambda source, target, path: "held" if source == name and path == "/commit" else None
    world.submit("j-1", run_s=5.0, node=next(n for n in world.node_names if n != name))
    world.run(0.6)
    assert world.late, "no commit of the old process is in flight"
    world.kill_node(name)
    world.filter = lambda *_: None
    world.start_node(name)
    world.run(10)
    assert world.run(30, lambda: world.poll("j-1") == "done")
    assert world.broken == []


def test_crash_looping_node_does_not_delay_others():
    world = ready_world(machines=9, capacity=9)
    name = next(n for n in world.node_names if n != world.leader_name())
    longest_wait = seconds(0)
    for number in range(33):  # for 20 s
        world.kill_node(name)
        world.run(0.3)
        world.start_node(name)
        world.run(0.3)
        if number % 8 == 4:
            ref, asked_at = f"j-{number}", world.clock.now
            world.submit(ref, 3, run_s=60.0, cpus=1.0, node=world.leader_name())
            assert world.run(10, lambda ref=ref: len(world.running(ref)) == 3)
            longest_wait = max(longest_wait, world.clock.now - asked_at)
    assert longest_wait <= seconds(1), (
        "the block went to the crash-looping node, and starts waited for its store leases to expire"
    )
    assert world.broken == []


# Each test covers a check whose removal no other test detected


def test_higher_token_in_one_report_refuses_whole_block():
    world = ready_world(machines=9, capacity=9)
    node = world.leader()
    zone = node.blocks.held_zones()[0]
    newer_worker, older_worker = [w for w, _ in world.cloud.machines.values() if w.zone == zone][:2]
    newer_worker.token = node.blocks.own_grant(zone).last_token + 1
    assert node.handle_report(orjson.dumps(newer_worker.report()))[0] == 503
    assert node.handle_report(orjson.dumps(older_worker.report()))[0] == 503
    node.blocks.issue_new_tokens([zone])
    node.blocks.issue_new_tokens([zone])
    assert node.handle_report(orjson.dumps(older_worker.report()))[0] == 200, (
        "the node holds the block under a higher token itself"
    )


def test_campaign_fails_if_leader_key_changed():
    world = ready_world()
    name = world.leader_name()
    node = world.nodes[name]
    leader_entry = node.mirror.get(LEADER_KEY)
    other = {"node": "holdfast-9", "term": leader_entry.value["term"] + 1}
    world.store.handle("POST", "/commit", {"guards": [], "then": [{"set": LEADER_KEY, "data": other}]})
    node.leadership._set_role(Role.FOLLOWER, "as one that forgot")
    node.leadership.run_once()
    assert world.store.data[LEADER_KEY][0] == other


def test_crash_looping_node_gets_blocks_only_after_steady_uptime():
    world = ready_world(machines=9, capacity=9)
    name = next(n for n in world.node_names if n != world.leader_name())
    for _ in range(4):
        world.kill_node(name)
        world.run(0.5)
        world.start_node(name)
        world.run(1)
    world.run(1)
    assert name not in {g.holder for g in world.leader().blocks.grants.values()}
    assert world.run(30, lambda: name in {g.holder for g in world.leader().blocks.grants.values()})
