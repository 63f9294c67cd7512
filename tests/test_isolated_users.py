"""Users of isolated nodes get answers elsewhere, and in an outage for all nodes no node leaves the load balancer."""

import pytest
from traces import ready_world

from kelpjunction.lab.polling_users import POLL_INTERVAL, PollingUser
from kelpjunction.lab.rules import MAX_FAILING_TIME
from kelpjunction.lab.worker import MessageLoss
from kelpjunction.lab.world import World
from kelpjunction.store.access import MAX_SIBLING_SILENCE, StoreAccess, StoreAccessMonitor

ISOLATION_S = 150.0  # longer than polls may fail
USERS = 10


def world_with_users(node_count: int = 5) -> World:
    """A world whose users poll one service each, spread over all nodes."""
    world = ready_world(machines=9, capacity=12, node_count=node_count)
    for number in range(USERS):
        ref = f"j-{number:04d}"
        assert world.submit(ref, shape="service", urgency="prod", cpus=1.0) == 201
        world.polling_users.add(ref, POLL_INTERVAL * (number / USERS))
    world.run(10)
    assert {user.connection.node for user in users_of(world)} == set(world.node_names)
    return world


def users_of(world: World) -> list[PollingUser]:
    return list(world.polling_users.users.values())


def longest_failure(world: World):
    return max(user.longest_failure for user in users_of(world))


def holders(world: World) -> set[str]:
    return {grant.holder for grant in world.leader().blocks.grants.values()}


def holder_of_one_block(world: World) -> str:
    """A holder that does not lead."""
    return min(holders(world) - {world.leader_name()})


def without_block(world: World) -> list[str]:
    return [name for name in world.node_names if name not in holders(world) and name != world.leader_name()]


def workers_of(world: World, name: str):
    zones = world.nodes[name].blocks.held_zones()
    return [worker for worker, _ in world.cloud.machines.values() if worker.zone in zones]


def silence_machines(world: World, name: str) -> None:
    """The reports of the machines of a node's blocks reach nobody."""
    for worker in workers_of(world, name):
        worker.message_loss = MessageLoss.OUTBOUND_LOST


def isolate_one_without_block(world: World) -> None:
    world.isolate_together(without_block(world)[0])


def isolate_two_together(world: World) -> None:
    world.isolate_together(*without_block(world)[:2])


def isolate_holder_together_with_another(world: World) -> None:
    world.isolate_together(without_block(world)[0], holder_of_one_block(world))


def isolate_leader(world: World) -> None:
    world.isolate_together(world.leader_name())


def isolate_holder_without_machines(world: World) -> None:
    name = holder_of_one_block(world)
    for worker in workers_of(world, name):
        worker.die()
    world.isolate_together(name)


def isolate_holder_with_silent_machines(world: World) -> None:
    name = holder_of_one_block(world)
    silence_machines(world, name)
    world.isolate_together(name)


def isolate_during_outage(world: World) -> None:
    world.store.outage(True)
    world.run(20)
    isolate_one_without_block(world)
    world.run(5)
    world.store.outage(False)


def isolate_while_others_restart(world: World) -> None:
    isolated, *_ = without_block(world)
    for name in [n for n in world.node_names if n != isolated][:2]:
        world.kill_node(name)
        world.run_after(8.0, lambda name=name: world.start_node(name))
    world.isolate_together(isolated)


ISOLATIONS = [
    isolate_one_without_block,
    isolate_two_together,
    isolate_holder_together_with_another,
    isolate_leader,
    isolate_holder_without_machines,
    isolate_holder_with_silent_machines,
    isolate_during_outage,
    isolate_while_others_restart,
]


@pytest.mark.parametrize("isolate", ISOLATIONS)
def test_users_of_isolated_node_are_answered_elsewhere(isolate):
    """Regression: without proof from a worker an isolated node stayed healthy, and its users got 503 for good."""
    world = world_with_users()
    isolate(world)
    isolated = world.cut_from_store
    world.run(ISOLATION_S)
    assert world.broken == []
    assert longest_failure(world) < MAX_FAILING_TIME
    assert all(world.balancer.removals(name) == 1 for name in isolated)
    assert {user.connection.node for user in users_of(world)}.isdisjoint(isolated)
    world.isolate_together()
    world.run(10)
    assert all(world.balancer.is_healthy(name) for name in world.node_names)


def test_two_of_three_nodes_isolated_together():
    """Most users are connected to them, so no rule is broken, but the third node can serve all users."""
    world = world_with_users(node_count=3)
    isolated = [name for name in world.node_names if name != world.leader_name()]
    for name in isolated:
        silence_machines(world, name)
    world.isolate_together(*isolated)
    world.run(ISOLATION_S)
    assert longest_failure(world) < MAX_FAILING_TIME
    assert [world.balancer.removals(name) for name in isolated] == [1, 1]


def test_isolation_of_the_only_running_node():
    """Siblings that were no members when the isolation began may start and serve, so their silence counts too."""
    world = world_with_users(node_count=3)
    isolated, *others = world.node_names
    for name in others:
        world.kill_node(name)
    world.run(15)
    assert set(world.nodes[isolated].leadership.members) == {isolated}
    silence_machines(world, isolated)
    world.isolate_together(isolated)
    world.run(5)
    for name in others:
        world.start_node(name)
    world.run(ISOLATION_S)
    assert longest_failure(world) < MAX_FAILING_TIME
    assert world.balancer.removals(isolated) == 1


def test_isolation_goes_unnoticed_without_the_health_check(monkeypatch):
    """The tests above mean something only if the rule catches a node that keeps its users."""
    monkeypatch.setattr(StoreAccessMonitor, "should_serve", True)
    world = world_with_users()
    isolate_one_without_block(world)
    world.run(ISOLATION_S)
    assert [broken.split(":")[0] for broken in world.broken] == ["forgotten", "forgotten"]


def nothing_else(world: World) -> set[str]:
    return set(world.node_names)


def all_but_one_restart(world: World) -> set[str]:
    kept, *others = world.node_names
    for name in others:
        world.kill_node(name)
        world.run_after(15.0, lambda name=name: world.start_node(name))
    return {kept}


def siblings_restart_in_turn(world: World) -> set[str]:
    kept, *others = world.node_names
    for number, name in enumerate(others):
        world.run_after(1.0 + 12 * number, lambda name=name: world.kill_node(name))
        world.run_after(11.0 + 12 * number, lambda name=name: world.start_node(name))
    return {kept}


def one_is_cut_from_siblings(world: World) -> set[str]:
    world.cut_from_peers = {world.node_names[0]}
    world.run_after(25.0, world.isolate_together)
    return set(world.node_names)


def all_are_cut_from_each_other(world: World) -> set[str]:
    world.cut_from_peers = set(world.node_names)
    world.run_after(25.0, world.isolate_together)
    return set(world.node_names)


def one_is_paused(world: World) -> set[str]:
    world.suspend_node(world.node_names[0], 25.0)
    return set(world.node_names[1:])


@pytest.mark.parametrize(
    "trouble",
    [
        nothing_else,
        all_but_one_restart,
        siblings_restart_in_turn,
        one_is_cut_from_siblings,
        all_are_cut_from_each_other,
        one_is_paused,
    ],
)
def test_no_node_leaves_the_load_balancer_in_an_outage_for_all(trouble):
    world = world_with_users()
    world.store.outage(True)
    unharmed = trouble(world)
    world.run(70)
    assert [name for name in unharmed if world.balancer.removals(name)] == []
    ended_at = world.clock.now
    world.store.outage(False)
    world.run(20)
    assert [name for name in unharmed if world.balancer.removals(name)] == []
    assert world.broken == []
    on_unharmed = [user for user in users_of(world) if user.connection.node in unharmed]
    assert on_unharmed != []
    for user in on_unharmed:
        first_answer = next(at for at in user.answered_at if at > ended_at)
        assert first_answer - ended_at <= 2 * POLL_INTERVAL


@pytest.mark.parametrize("node_count", [3, 5])
def test_no_node_leaves_in_an_outage_while_a_sibling_is_down_from_before_it(node_count):
    """Regression: the silence of a sibling that was down made every other node leave, without use to anybody."""
    world = world_with_users(node_count)
    down, *unharmed = world.node_names
    world.kill_node(down)
    world.run(20)
    world.store.outage(True)
    world.run(60)
    world.store.outage(False)
    world.run(10)
    assert [name for name in unharmed if world.balancer.removals(name)] == []


def test_node_leaves_once_while_a_sibling_comes_and_goes():
    """Each removal from the load balancer doubles its pause."""
    world = world_with_users(node_count=3)
    kept, _, sibling = world.node_names
    world.store.outage(True)
    for _ in range(3):
        world.kill_node(sibling)
        world.run(MAX_SIBLING_SILENCE.total_seconds() + 10)
        world.start_node(sibling)
        world.run(5)
    assert world.balancer.removals(kept) == 1
    world.store.outage(False)
    world.run(5)
    assert world.balancer.is_healthy(kept)


def test_node_without_siblings_stays_in_an_outage():
    world = ready_world(node_count=1)
    world.store.outage(True)
    world.run(60)
    node = world.nodes["holdfast-0"]
    assert node.store_access.access is StoreAccess.SHARED_OUTAGE
    assert node.intake.healthy()


def test_workers_of_presumed_isolated_node_are_refused_only_by_its_lease_renewal():
    """A presumption must not end a lease early: only proof sends workers away before the grace period has passed."""
    world = ready_world()
    name = world.leader_name()
    world.store.outage(True)
    world.cut_from_peers = set(world.node_names)
    world.run(15)
    worker = next(iter(workers_of(world, name)))
    assert world.nodes[name].leadership.can_renew_leases()
    assert worker.session == 1 and worker.node == int(name[-1])
    world.run(MAX_SIBLING_SILENCE.total_seconds() + 5)
    assert world.nodes[name].store_access.access is StoreAccess.ISOLATED
    assert not world.nodes[name].store_access.proved_behind
    world.store.outage(False)
    world.run(5)
    assert world.nodes[name].store_access.access is StoreAccess.CURRENT
    assert world.broken == []
