"""What a node's work costs as the fleet grows: `python tests/costs.py`.

Runs one world for each size on the stand-ins and times the calls of a node,
without HTTP.  Figures for docs/measurements.md; no test depends on them.
"""

import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

import orjson  # noqa: E402
from standins import Team, World  # noqa: E402

TEAMS = (Team("red", 0.0, 0.0, None, None), Team("blue", 0.0, 0.0, None, None))


def timed(call, times: int) -> float:
    """Microseconds that one of `times` calls takes."""
    began = time.process_time()
    for _ in range(times):
        call()
    return (time.process_time() - began) / times * 1e6


def filled(machines: int) -> World:
    """A world with a service on each third machine and arrays on the rest of the room."""
    world = World(machines=machines, capacity=machines, teams=TEAMS)
    world.run(4)
    for n in range(machines // 3):
        world.submit(f"j-1{n:05d}", 3, shape="service", urgency="prod", apart=True, run_s=1e6)
    for n in range(machines // 10):
        world.submit(f"j-2{n:05d}", 20, run_s=1e6)
    world.run(6)
    return world


def costs(machines: int) -> dict[str, float]:
    world = filled(machines)
    leader = world.leader()
    holder = next(n for n in world.nodes.values() if n is not leader and n.blocks.my_zones())
    worker = next(w for w, _ in world.cloud.machines.values() if w.zone in holder.blocks.my_zones() and w.tasks)
    report = worker.report()

    def check_in() -> None:
        report["tally"] += 1
        assert holder.check_in(orjson.dumps(report))[0] == 200

    key = "l/run/j-100000/0"
    record = holder.mirror.get(key).value
    versions = iter(range(10**9, 10**9 + 1000))
    refs = iter(range(10_000))
    return {
        "machines": machines,
        "jobs": len(leader.book.jobs),
        "tasks placed": sum(j.placed_count() for j in leader.book.jobs.values()),
        "check-in": timed(check_in, 200),
        "poll": timed(lambda: holder.intake.status("j-100000"), 200),
        "followed change of a chunk": timed(lambda: holder.mirror.put(key, record, next(versions)), 200),
        "holder's idle round": timed(holder.holding.round, 50),
        "leader's idle round": timed(leader.leading.round, 50),
        "leader's round with jobs that wait": _with_waiting(world, leader),
        "submission": timed(lambda: world.submit(f"j-9{next(refs):05d}", 1, node=holder.platform.node), 50),
    }


def _with_waiting(world: World, leader) -> float:
    """A round with twenty arrays that find no room anywhere."""
    for n in range(20):
        world.submit(f"j-3{n:05d}", 20, node=leader.platform.node, run_s=1e6, cpus=8.0, ram_gb=30.0)
    for _ in range(3):
        leader.follow()
        leader.leading.round()
    return timed(leader.leading.round, 20)


if __name__ == "__main__":
    for size in (30, 120, 240):
        print(", ".join(f"{name} {value:.0f}" for name, value in costs(size).items()))
