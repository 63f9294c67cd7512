"""What many traces begin with."""

from kelpjunction.lab.world import World


def ready_world(machines: int = 6, **kwargs) -> World:
    """A world whose nodes have settled in."""
    world = World(machines=machines, **kwargs)
    world.run(5)
    assert world.leader() is not None
    return world


def fault_on_path(path_and_fault: str):
    """A filter that gives each request to a path one fate, and lets the rest through."""
    path, fate = path_and_fault.split(" ", 1)
    return lambda source, target, at: fate if at == path else None


def worker_of(world: World, task_ref: str):
    """The worker that runs a task."""
    machine = dict(world.running())[task_ref]
    return world.cloud.machines[machine][0]


def zone_of(world: World, machine: str) -> str:
    return world.cloud.machines[machine][0].zone


def dispatch_without_start(world: World, ref: str):
    """Let the leader hand a job over while no holder starts anything; returns the holder and its rounds."""
    rounds = {name: node.holder_scheduler.round for name, node in world.nodes.items()}
    for node in world.nodes.values():
        node.holder_scheduler.round = lambda: False
    world.submit(ref, run_s=20.0)
    assert world.run(5, lambda: all(list(n.job_index.jobs[ref].unstarted_dispatches()) for n in world.nodes.values()))
    zone = next(world.leader().job_index.jobs[ref].unstarted_dispatches())[1].zone
    holder = next(n for n in world.nodes.values() if n.blocks.own_grant(zone))
    return holder, rounds[holder.platform.node]
