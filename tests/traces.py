"""Helpers shared by tests on the simulated world."""

from kelpjunction.lab.world import World


def ready_world(machines: int = 6, **kwargs) -> World:
    """A world that has run for 5 s and has a leader."""
    world = World(machines=machines, **kwargs)
    world.run(5)
    assert world.leader() is not None
    return world


def fault_on_path(path_and_fault: str):
    """A filter that applies one fault to each request to a path, such as "/commit held", and passes all others."""
    path, fault = path_and_fault.split(" ", 1)
    return lambda source, target, requested_path: fault if requested_path == path else None


def worker_of(world: World, task_ref: str):
    """The stand-in of the worker that runs a task."""
    machine = dict(world.running())[task_ref]
    return world.cloud.machines[machine][0]


def zone_of(world: World, machine: str) -> str:
    return world.cloud.machines[machine][0].zone


def dispatch_without_start(world: World, ref: str):
    """Let the leader dispatch a job while no holder runs rounds; returns the holder and its round method."""
    rounds = {name: node.holder_scheduler.round for name, node in world.nodes.items()}
    for node in world.nodes.values():
        node.holder_scheduler.round = lambda: False
    world.submit(ref, run_s=20.0)
    assert world.run(5, lambda: all(list(n.job_index.jobs[ref].unstarted_dispatches()) for n in world.nodes.values()))
    zone = next(world.leader().job_index.jobs[ref].unstarted_dispatches())[1].zone
    holder = next(n for n in world.nodes.values() if n.blocks.own_grant(zone))
    return holder, rounds[holder.platform.node]
