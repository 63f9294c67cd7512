"""Who holds a block, under which token, and what a holder out of touch does (points 5 and 6 of docs/design.md)."""

import orjson
from traces import ready_world, zone_of

# Tokens


def test_every_grant_takes_a_higher_token_and_a_lower_one_is_refused():
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
    status, answer = old.check_in(report)
    assert status == 200, "it can't tell an outage from its own cut yet"
    assert orjson.loads(answer)["helm"] < new.blocks.own_token("b")
    old.intake.sibling_has_fresh_mirror = True
    world.run(3)
    assert old.check_in(report)[0] == 503, "a sibling has news of the store: this node is alone"
    old.intake.sibling_has_fresh_mirror = False
    world.run(20)
    assert old.check_in(report)[0] != 200, "its grace without the store is over"


# A holder that lost touch


def test_leader_cut_from_the_store_stops_renewing_in_time_for_a_cancellation():
    world = ready_world()
    world.submit("j-1", 3, shape="service", urgency="prod")
    assert world.run(10, lambda: len(world.running("j-1")) == 3)
    old = world.leader()
    world.cut_from_store = {old.platform.node}
    for worker, _ in world.cloud.machines.values():
        # The zone is cut off too: its workers only ever reach the old leader.
        worker.node = int(old.platform.node[-1])
    world.filter = lambda source, target, path: "lost" if path in ("/commands", "/status") else None
    world.run(4)
    other = next(n for n in world.nodes if n != old.platform.node)
    assert world.abort("j-1", node=other) == 200
    world.run(60)
    assert world.broken == []
    assert world.running("j-1") == []


def test_services_live_through_an_outage_of_the_store():
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


def test_holder_that_reaches_no_worker_gives_its_blocks_up_and_gets_them_back():
    """Found by an incident: a controller cut from the workers kept its blocks until their leases had ended."""
    world = ready_world(machines=9, capacity=9)
    world.submit("j-1", 6, shape="service", urgency="prod", cpus=1.0)
    assert world.run(10, lambda: len(world.running("j-1")) == 6)
    before = world.running("j-1")
    deaf = world.leader().platform.node
    machines = {w.address for w, _ in world.cloud.machines.values()}
    world.filter = lambda source, target, path: (
        "lost" if (source == deaf and target in machines) or target == deaf else None
    )
    world.run(12)
    assert world.nodes[deaf].blocks.held_zones() == []
    world.run(30)
    assert world.running("j-1") == before, "no lease ended"
    assert len(world.cloud.machines) == 9, "and no machine was blamed"
    world.filter = lambda *_: None
    assert world.run(20, lambda: world.nodes[deaf].blocks.held_zones() != [])
    assert world.broken == []


# Sharing out


def test_blocks_are_spread_over_the_live_nodes_and_follow_their_deaths():
    world = ready_world()
    world.run(5)
    assert sorted(len(n.blocks.held_zones()) for n in world.nodes.values()) == [1, 1, 1]
    dead = next(n for n, node in world.nodes.items() if node is not world.leader())
    world.kill_node(dead)
    assert world.run(10, lambda: dead not in {g.holder for g in world.leader().blocks.grants.values()})
    world.start_node(dead)
    assert world.run(20, lambda: world.nodes[dead].blocks.held_zones() != [])
    assert world.broken == []


def test_services_restart_in_their_block_while_nobody_leads():
    world = ready_world(machines=9, capacity=9)
    world.submit("j-1", 3, shape="service", urgency="prod", apart=True)
    assert world.run(10, lambda: len(world.running("j-1")) == 3)
    leader = world.leader()
    frond, machine = next((f, m) for f, m in world.running("j-1") if leader.blocks.own_grant(zone_of(world, m)) is None)
    world.kill_node(leader.platform.node)
    for node in world.nodes.values():
        if node is not None:
            node.leadership._run_for_leader = lambda: None
    worker = world.cloud.machines[machine][0]
    worker.session += 1
    worker.tasks.clear()
    assert world.run(10, lambda: frond in dict(world.running("j-1")))
    assert world.leader() is None
    assert world.broken == []


def test_own_token_raise_keeps_block_state():
    """News often overtake the answer; all that is known of the workers would be asked for again each time."""
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
