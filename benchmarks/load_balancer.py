"""How long users behind a load balancer get no answers: nodes are isolated, or the state service fails for all.

    python benchmarks/load_balancer.py                       # in the simulated world
    python benchmarks/load_balancer.py --live --port 23000   # outages for all, with real processes on loopback

Simulated, with five nodes and 20 users: for each isolation of 150 s, the longest time that a user's polls failed; for
each outage, of 70 s unless its name says another, the time from its end to each user's first answer, and how often the
load balancer removed a node that ran all the time.  Live, with three nodes: the same for outages of several durations,
while the nodes do nothing else.  A user polls every 5 s.
"""

import statistics
from collections.abc import Callable
from typing import NamedTuple

import click
import gevent

from kelpjunction.lab.balancer import LoadBalancerStandIn
from kelpjunction.lab.live import LiveSite
from kelpjunction.lab.polling_users import POLL_INTERVAL, PollingUsers
from kelpjunction.lab.worker import MessageLoss
from kelpjunction.lab.world import World
from kelpjunction.transport import NoResponse

USERS = 20
NODES = 5
ISOLATION_S, OUTAGE_S = 150.0, 70.0
DOWN_BEFORE_S = 20.0
RECOVERY_S = 90.0
LIVE_OUTAGES_S = (3.0, 5.0, 7.0, 10.0, 15.0, 20.0)
LIVE_RECOVERY_S = 20.0
STEP_S = 0.1


def add_users(site: World | LiveSite, users: PollingUsers) -> None:
    """Submit one service for each user, and let the users poll at different times."""
    for number in range(USERS):
        ref = f"j-{number:04d}"
        status = site.submit(ref, shape="service", urgency="prod", cpus=1.0)
        assert status == 201, f"{ref} was not accepted: {status}"
        users.add(ref, POLL_INTERVAL * (number / USERS))


def first_answers_s(users: PollingUsers, ended_at) -> list[float]:
    """Seconds from the end of an outage to each user's first answer."""
    return [
        min(((at - ended_at).total_seconds() for at in user.answered_at if at > ended_at), default=float("inf"))
        for user in users.users.values()
    ]


def summary(times: list[float]) -> str:
    return f"median {statistics.median(times):.1f} s, longest {max(times):.1f} s"


# -- simulated --------------------------------------------------------------------------------


def new_world(nodes: int) -> World:
    world = World(machines=9, capacity=15, node_count=nodes)
    world.run(5)
    add_users(world, world.polling_users)
    world.run(20)
    return world


def holders(world: World) -> list[str]:
    return sorted({grant.holder for grant in world.leader().blocks.grants.values()})


def isolate_spare(world: World) -> None:
    world.isolate_together(next(name for name in world.node_names if name not in holders(world)))


def isolate_holder(world: World) -> None:
    world.isolate_together(next(name for name in holders(world) if name != world.leader_name()))


def isolate_holder_with_silent_machines(world: World) -> None:
    isolate_holder(world)
    zones = world.nodes[next(iter(world.cut_from_store))].blocks.held_zones()
    for worker, _ in world.cloud.machines.values():
        if worker.zone in zones:
            worker.message_loss = MessageLoss.OUTBOUND_LOST


def isolate_leader(world: World) -> None:
    world.isolate_together(world.leader_name())


def isolate_two_with_silent_machines(world: World) -> None:
    for worker, _ in world.cloud.machines.values():
        worker.message_loss = MessageLoss.OUTBOUND_LOST
    world.isolate_together(*[name for name in world.node_names if name != world.leader_name()][:2])


def isolate_in_outage(world: World) -> None:
    world.store.outage(True)
    world.run(20)
    world.isolate_together(world.node_names[-1])
    world.run(5)
    world.store.outage(False)


ISOLATIONS: dict[str, tuple[int, Callable[[World], None]]] = {
    "one of five, without a block": (5, isolate_spare),
    "one of five, a holder": (5, isolate_holder),
    "one of five, a holder whose machines are silent": (5, isolate_holder_with_silent_machines),
    "one of five, the leader": (5, isolate_leader),
    "two of five together, all machines silent": (5, isolate_two_with_silent_machines),
    "two of three together, all machines silent": (3, isolate_two_with_silent_machines),
    "one of five, from within an outage on": (5, isolate_in_outage),
}


def leave_alone(world: World) -> list[str]:
    return list(world.node_names)


def restart_all_but_one(world: World) -> list[str]:
    for name in world.node_names[1:]:
        world.kill_node(name)
        world.run_after(15.0, lambda name=name: world.start_node(name))
    return list(world.node_names[:1])


def cut_all_links_for_seconds(world: World) -> list[str]:
    world.cut_from_peers = set(world.node_names)
    world.run_after(25.0, world.isolate_together)
    return list(world.node_names)


def end_one(world: World) -> list[str]:
    world.kill_node(world.node_names[0])
    return list(world.node_names[1:])


def end_one_before(world: World) -> None:
    world.kill_node(world.node_names[0])
    world.run(DOWN_BEFORE_S)


def all_but_first(world: World) -> list[str]:
    return list(world.node_names[1:])


class Outage(NamedTuple):
    """An outage for all nodes; `trouble` begins with it and returns the nodes that run all the time."""

    trouble: Callable[[World], list[str]]
    duration_s: float = OUTAGE_S
    before: Callable[[World], None] = lambda world: None


OUTAGES: dict[str, Outage] = {
    "nothing else": Outage(leave_alone),
    "all but one node restart, 15 s down": Outage(restart_all_but_one),
    "no node reaches another for 25 s": Outage(cut_all_links_for_seconds),
    "one node is down from 20 s before it, 50 s": Outage(all_but_first, 50.0, end_one_before),
    "one node is down from 20 s before it": Outage(all_but_first, before=end_one_before),
    "one node is down from its beginning": Outage(end_one),
}


def measure_isolations() -> None:
    for name, (nodes, isolate) in ISOLATIONS.items():
        world = new_world(nodes)
        isolate(world)
        world.run(ISOLATION_S)
        failures = [user.longest_failure.total_seconds() for user in world.polling_users.users.values()]
        broken = len(world.broken)
        click.echo(
            f"isolated: {name}: longest time without an answer {max(failures):.1f} s, rule broken {broken} times"
        )


def measure_outages() -> None:
    for name, outage in OUTAGES.items():
        world = new_world(NODES)
        outage.before(world)
        world.store.outage(True)
        running = outage.trouble(world)
        world.run(outage.duration_s)
        ended_at = world.clock.now
        world.store.outage(False)
        world.run(RECOVERY_S)
        removals = sum(world.balancer.removals(node) for node in running)
        times = first_answers_s(world.polling_users, ended_at)
        click.echo(f"outage: {name}: first answers after its end {summary(times)}; {removals} removals")


# -- live ---------------------------------------------------------------------------------------


class LiveBackends:
    """The node processes of a lab, behind the load balancer."""

    def __init__(self, site: LiveSite) -> None:
        self._site = site

    def probe(self, node: str) -> bool:
        try:
            return self._site.ask("GET", "/healthz", b"", node)[0] == 200
        except NoResponse:
            return False

    def accepts_connections(self, node: str) -> bool:
        return self._site.runs(node)

    def process_instance(self, node: str) -> object:
        return self._site.processes[node]


def measure_live_outages(port: int) -> None:
    site = LiveSite(nodes=3, zones=3, machines=6, speed=1.0, port=port)
    try:
        site.run(60, lambda: site.leader_name() is not None)
        site.run(5)
        balancer = LoadBalancerStandIn(LiveBackends(site), site.node_names, seed=1)
        users = PollingUsers(
            balancer, site.poll, lambda request: gevent.spawn(request), lambda: site.clock.now, site.broken
        )
        gevent.spawn(keep_stepping, site, balancer, users)
        site.run(3)
        add_users(site, users)
        site.run(30)
        for duration in LIVE_OUTAGES_S:
            measure_live_outage(site, balancer, users, duration)
    finally:
        site.close()


def keep_stepping(site: LiveSite, balancer: LoadBalancerStandIn, users: PollingUsers) -> None:
    while True:
        balancer.step(site.clock.now)
        users.step()
        gevent.sleep(STEP_S)


def measure_live_outage(site: LiveSite, balancer: LoadBalancerStandIn, users: PollingUsers, duration: float) -> None:
    before = sum(balancer.removals(node) for node in site.node_names)
    site.store.outage(True)
    site.run(duration)
    ended_at = site.clock.now
    site.store.outage(False)
    site.run(LIVE_RECOVERY_S)
    removals = sum(balancer.removals(node) for node in site.node_names) - before
    times = first_answers_s(users, ended_at)
    click.echo(f"live outage of {duration:.0f} s: first answers after its end {summary(times)}; {removals} removals")


@click.command()
@click.option("--live", is_flag=True, help="real processes on loopback")
@click.option("--port", default=23_000, help="first port of the lab")
def main(live: bool, port: int) -> None:
    """Measure how long users behind a load balancer get no answers."""
    if live:
        measure_live_outages(port)
    else:
        measure_isolations()
        measure_outages()


if __name__ == "__main__":
    main()
