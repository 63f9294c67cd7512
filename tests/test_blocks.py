"""Tests of block grants, fencing tokens and holders that lost contact (points 5 and 6 of docs/design.md)."""

import orjson
from traces import ready_world, zone_of

# Tokens


def test_new_holder_gets_token_above_all_earlier_ones():
    world = ready_world()
    dead = world.leader().platform.node
    before = {z: (g.holder, g.token) for z, g in world.leader().blocks.grants.items()}
    world.kill_node(dead)
    assert world.run(10, lambda: world.leader() is not None)
    world.run(1)
    after = {z: (g.holder, g.token) for z, g in world.leader().blocks.grants.items()}
    newest = max(token for _, token in before.values())
    for zone, (holder, token) in after.items():
        assert holder != dead
        assert (holder, token) == before[zone] or token > newest


def test_superseded_holder_stops_answering_check_ins():
    world = ready_world()
    worker = next(w for w, _ in world.cloud.machines.values() if w.zone == "b")
    old = next(n for n in world.nodes.values() if n.blocks.own_grant("b"))
    report = orjson.dumps(worker.report())
    world.cut_from_store = {old.platform.node}
    assert world.run(10, lambda: any(n is not old and n.blocks.own_grant("b") for n in world.nodes.values()))
    new = next(n for n in world.nodes.values() if n is not old and n.blocks.own_grant("b"))
    status, answer = old.handle_report(report)
    assert status == 200, "the node can't yet tell an outage of the store from its own disconnection"
    assert orjson.loads(answer)["helm"] < new.blocks.own_token("b")
    world.run(3)
    assert old.handle_report(report)[0] == 503, (
        "a sibling's mirror is ahead, so only this node is cut off from the store"
    )
    world.cut_from_peers = {old.platform.node}
    world.run(20)
    assert not old.leadership.can_renew_leases()
    assert old.handle_report(report)[0] != 200, "the grace period without the store has ended"


# Holders that lost contact


def test_leader_cut_from_the_store_stops_renewing_in_time_for_a_cancellation():
    world = ready_world()
    world.submit("j-1", 3, shape="service", urgency="prod")
    assert world.run(10, lambda: len(world.running("j-1")) == 3)
    old = world.leader()
    world.cut_from_store = {old.platform.node}
    for worker, _ in world.cloud.machines.values():
        # The workers are cut off too: they reach only the old leader.
        worker.node = int(old.platform.node[-1])
    world.filter = lambda source, target, path: "lost" if path in ("/commands", "/status") else None
    world.run(4)
    other = next(n for n in world.nodes if n != old.platform.node)
    assert world.abort("j-1", node=other) == 200
    world.run(60)
    assert world.broken == []
    assert world.running("j-1") == []


def test_services_keep_running_during_store_outage():
    world = ready_world()
    world.submit("j-1", 3, shape="service", urgency="prod")
    assert world.run(10, lambda: len(world.running("j-1")) == 3)
    before = world.running("j-1")
    world.store.outage(True)
    world.run(20)
    world.store.outage(False)
    world.run(20)
    assert world.running("j-1") == before
    assert all(w.session == 1 for w, _ in world.cloud.machines.values())


def test_holder_that_reaches_no_worker_releases_blocks_and_regains_some():
    """Found by an incident: a node cut off from all workers kept its blocks until the workers' leases had ended."""
    world = ready_world(machines=9, capacity=9)
    world.submit("j-1", 6, shape="service", urgency="prod", cpus=1.0)
    assert world.run(10, lambda: len(world.running("j-1")) == 6)
    before = world.running("j-1")
    cut_off = world.leader().platform.node
    machines = {w.address for w, _ in world.cloud.machines.values()}
    world.filter = lambda source, target, path: (
        "lost" if (source == cut_off and target in machines) or target == cut_off else None
    )
    world.run(12)
    assert world.nodes[cut_off].blocks.held_zones() == []
    world.run(30)
    assert world.running("j-1") == before, "no lease ended"
    assert len(world.cloud.machines) == 9, "no machine was returned"
    world.filter = lambda *_: None
    assert world.run(20, lambda: world.nodes[cut_off].blocks.held_zones() != [])
    assert world.broken == []


# Distribution of blocks


def test_blocks_are_spread_over_live_nodes_and_reassigned_on_node_loss():
    world = ready_world()
    world.run(5)
    assert sorted(len(n.blocks.held_zones()) for n in world.nodes.values()) == [1, 1, 1]
    dead = next(n for n, node in world.nodes.items() if node is not world.leader())
    world.kill_node(dead)
    assert world.run(10, lambda: dead not in {g.holder for g in world.leader().blocks.grants.values()})
    world.start_node(dead)
    assert world.run(20, lambda: world.nodes[dead].blocks.held_zones() != [])
    assert world.broken == []


def test_services_restart_in_their_block_without_leader():
    world = ready_world(machines=9, capacity=9)
    world.submit("j-1", 3, shape="service", urgency="prod", apart=True)
    assert world.run(10, lambda: len(world.running("j-1")) == 3)
    leader = world.leader()
    task_ref, machine = next(
        (f, m) for f, m in world.running("j-1") if leader.blocks.own_grant(zone_of(world, m)) is None
    )
    world.kill_node(leader.platform.node)
    for node in world.nodes.values():
        if node is not None:
            node.leadership._run_for_leader = lambda: None
    worker = world.cloud.machines[machine][0]
    worker.session += 1
    worker.tasks.clear()
    assert world.run(10, lambda: task_ref in dict(world.running("j-1")))
    assert world.leader() is None
    assert world.broken == []


def test_own_token_raise_keeps_block_state():
    """A new token often arrives in the mirror before the commit's response.

    If it reset the block's state, the holder would have to probe all of its workers again each time.
    """
    world = ready_world()
    node = world.leader()
    zone = node.blocks.held_zones()[0]
    known, since = dict(node.worker_registry.workers), node.blocks.own_grant(zone).since
    assert known
    world.run(3)
    world.filter = lambda source, target, path: "answer lost" if path == "/commit" else None
    before = node.blocks.own_token(zone)
    assert not node.blocks.issue_new_tokens([zone])
    world.filter = lambda *_: None
    node.watch_store()
    assert node.blocks.own_token(zone) > before
    assert node.blocks.own_grant(zone).since == since
    assert node.worker_registry.workers == known
