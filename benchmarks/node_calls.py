"""Cost of a node's calls as the fleet grows: `python benchmarks/node_calls.py [--against REVISION]`.

Runs one simulated world for each size and times a node's calls, without HTTP,
in microseconds of processor time.  With `--against`, the sources of an earlier
revision are timed the same way, each size after the same size of the current
sources, and the last columns are the earlier time and the ratio of the current
time to it.
"""

import subprocess
import sys
import tempfile
import time
from datetime import timedelta
from pathlib import Path

import click
import orjson
from earlier_names import add_current_names

ROOT = Path(__file__).resolve().parent.parent
SIZES = (120, 240, 700, 2000)


def microseconds_per_call(call, times: int) -> float:
    """Mean processor time of `times` calls, in microseconds."""
    began = time.process_time()
    for _ in range(times):
        call()
    return (time.process_time() - began) / times * 1e6


def filled_world(machines: int):
    """Build a world with a service for every third machine and arrays on the remaining capacity."""
    from kelpjunction.lab.world import Team, World

    teams = (Team("red", 0.0, 0.0, None, None), Team("blue", 0.0, 0.0, None, None))
    world = World(machines=machines, capacity=machines, teams=teams)
    world.run(4)
    for n in range(machines // 3):
        world.submit(f"j-1{n:05d}", 3, shape="service", urgency="prod", apart=True, run_s=1e6)
    for n in range(machines * 3 // 20):
        world.submit(f"j-2{n:05d}", 20, run_s=1e6)
    world.run(10)
    return world


def call_costs(world) -> dict[str, float]:
    """Time the calls of one node in a busy world, in microseconds."""
    leader = world.leader()
    leader.leader_scheduler._dispatch_interval = timedelta()  # every round looks for free capacity
    holder = next(n for n in world.nodes.values() if n is not leader and n.blocks.held_zones())
    worker = next(w for w, _ in world.cloud.machines.values() if w.zone in holder.blocks.held_zones() and w.tasks)
    report = worker.report()

    def check_in() -> None:
        report["tally"] += 1
        assert holder.handle_report(orjson.dumps(report))[0] == 200

    key = next(entry.key for entry in holder.mirror.entries_below("l/run/"))
    ref = key.split("/")[2]
    record = holder.mirror.get(key).value
    versions = iter(range(10**9, 10**9 + 1000))
    return {
        "check-in": microseconds_per_call(check_in, 200),
        "poll": microseconds_per_call(lambda: holder.intake.status(ref), 200),
        "followed change": microseconds_per_call(lambda: holder.mirror.put(key, record, next(versions)), 200),
        "holder's idle round": microseconds_per_call(holder.holder_scheduler.round, 50),
        "leader's idle round": microseconds_per_call(leader.leader_scheduler.round, 50),
        "waiting round": _waiting_round_cost(world, leader),
    }


def _waiting_round_cost(world, leader) -> float:
    """Time a leader's round with twenty arrays that fit nowhere, after a change of one machine's tasks."""
    for n in range(20):
        world.submit(f"j-3{n:05d}", 20, node=leader.platform.node, run_s=1e6, cpus=8.0, ram_gb=30.0)
    for _ in range(3):
        leader.watch_store()
        leader.leader_scheduler.round()
    key = next(e.key for e in leader.mirror.entries_below("l/run/") if len(e.value["p"]) > 1)
    record = leader.mirror.get(key).value
    versions = iter(range(2 * 10**9, 2 * 10**9 + 1000))

    def changed_round() -> None:
        leader.mirror.put(key, record | {"p": record["p"][1:]}, next(versions))
        leader.mirror.put(key, record, next(versions))
        leader.leader_scheduler.round()

    return microseconds_per_call(changed_round, 20)


def measure_revision(root: Path, size: int) -> dict[str, float]:
    """Measure the sources under `root` in a separate process."""
    command = [sys.executable, __file__, "--only", str(size), "--root", str(root)]
    return orjson.loads(subprocess.run(command, check=True, capture_output=True, cwd=root).stdout)


@click.command()
@click.option("--against", help="An earlier revision to time beside today's sources.")
@click.option("--only", type=int, help="Time one size and print JSON.")
@click.option("--root", type=click.Path(path_type=Path), default=ROOT, help="Whose sources `--only` times.")
def main(against: str | None, only: int | None, root: Path) -> None:
    """Time a node's calls at several sizes of fleet."""
    if only is not None:
        # Both revisions run on the current simulation.
        sys.path[:0] = [str(root)]
        import kelpjunction

        kelpjunction.__path__.append(str(ROOT / "kelpjunction"))
        add_current_names()
        sys.stdout.buffer.write(orjson.dumps(call_costs(filled_world(only))))
        return
    with tempfile.TemporaryDirectory() as folder:
        old = Path(folder) / "old"
        if against:
            old.mkdir()
            archive = subprocess.run(["git", "archive", against], cwd=ROOT, check=True, capture_output=True).stdout
            subprocess.run(["tar", "-x", "-C", str(old)], input=archive, check=True)
        for size in SIZES:
            now = measure_revision(ROOT, size)
            before = measure_revision(old, size) if against else {}
            click.echo(f"{size} machines")
            for name, value in now.items():
                beside = f"   {before[name]:9.0f} before   {value / before[name]:5.2f}" if before else ""
                click.echo(f"  {name:22} {value:9.0f}{beside}")


if __name__ == "__main__":
    main()
