"""Cost of placement as the fleet grows: `python benchmarks/placement.py [--against REVISION]`.

Times placement on fleets of one machine type that run tasks of several sizes,
and a leader's rounds in the simulated world, in milliseconds of processor
time.  With `--against`, an earlier revision is timed the same way.  The last
line is the cost of a job of nine tasks on the largest fleet divided by its cost
on the smallest.
"""

import random
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterator
from datetime import timedelta
from pathlib import Path

import click
import orjson
from earlier_names import add_current_names

ROOT = Path(__file__).resolve().parent.parent
SIZES = (500, 1000, 2125, 8500)
ROUND_SIZES = (500, 1000, 2125)
JOBS_OF_NINE = ("service of nine", "array of nine")
REPEATS = 100
TASK_SIZES = ((1.0, 2.0), (1.0, 4.0), (2.0, 4.0), (2.0, 8.0), (4.0, 8.0))  # CPUs, GB


def milliseconds_per_call(call: Callable[[], object], repeats: int) -> float:
    """Mean processor time of `repeats` calls; `call` must undo its own effect.

    One call before them is not timed, because it files all machines in the index.
    """
    call()
    began = time.process_time()
    for _ in range(repeats):
        call()
    return (time.process_time() - began) / repeats * 1e3


def spec(shape: str, tasks: int, cpus: float = 1.0, memory: float = 2.0, **fields):
    """Return a job's specification."""
    from kelpjunction.wire.users import parse_job

    return parse_job(
        {
            "ref": "j-1", "stripe": "s", "crew": "red", "shape": shape, "urgency": "standard", "fronds": tasks,
            "cpus": cpus, "accelerators": 0.0, "ram_gb": memory, "bundle": "img-1", "image_gb": 1.0,
            "together": False, "apart": False, "driftwood": False, "expect_s": 10.0, "mark_s": 0.0, "stow_s": 0.0,
        }
        | fields
    )  # fmt: skip


def fleet(machines: int):
    """Views of a fleet in three zones; nine of ten run tasks of several sizes and have little free capacity."""
    from kelpjunction.placement import MachineView
    from kelpjunction.wire.messages import MachineType

    random_source = random.Random(machines)
    type_ = MachineType("box", 16, 0, 64, 40, 1.0, 1.0, 0.4, timedelta(seconds=30), ("a", "b", "c"))
    views = []
    for number in range(machines):
        view = MachineView(f"n-{number:06}", type_, "abc"[number % 3], False, 16.0, 0.0, 64.0)
        view.images = {f"img-{random_source.randrange(20)}" for _ in range(4)}
        if number % 10:
            while view.cpus > random_source.choice((0, 1, 2, 3)):
                cpus, memory = random_source.choice(TASK_SIZES)
                if view.cpus < cpus or view.memory < memory:
                    break
                view.cpus, view.memory, view.tasks = view.cpus - cpus, view.memory - memory, view.tasks + 1
        views.append(view)
    return views


def selection_and_undo(views: list):
    """Return the candidate machines for a job, and the function that marks a machine as changed after an undo."""
    try:
        from kelpjunction.placement import FreeCapacityIndex
    except ImportError:
        return views, lambda view: None
    room = FreeCapacityIndex(views)
    for view in views:
        view.on_write = room.mark_dirty
    return room.select_all(), room.mark_dirty


def placement_costs(views: list) -> dict[str, float]:
    """Time the placement and release of one job, in milliseconds by kind of job."""
    from kelpjunction.placement import place, place_gang

    choose_from, mark = selection_and_undo(views)

    def undo(job, chosen: list) -> None:
        for view in chosen:
            view.release(job)
            view.fetching_images.clear()
            mark(view.name)

    def timed_placement(job) -> Callable[[], None]:
        return lambda: undo(job, place(job, job.tasks, choose_from, Counter(), Counter()))

    gang = spec("ensemble", 512)
    return {
        "service of nine": milliseconds_per_call(timed_placement(spec("service", 9)), REPEATS),
        "array of nine": milliseconds_per_call(timed_placement(spec("batch", 9)), REPEATS),
        "gang of 512": milliseconds_per_call(lambda: undo(gang, place_gang(gang, choose_from) or []), 3),
    }


def rounds(machines: int) -> dict[str, float]:
    """Time a leader's rounds: with 100 services that arrive at once, and with 100 dispatched jobs and a change."""
    from kelpjunction.lab.world import Team, World

    teams = (Team("red", 0.0, 0.0, None, None), Team("blue", 2.0, 0.0, 2.0, None))
    world = World(machines=machines, capacity=machines, teams=teams)
    world.run(4)
    leader = world.leader()
    leader.leader_scheduler._dispatch_interval = timedelta()  # every round looks for free capacity
    world.submit("j-300000", node=leader.platform.node, shape="service", urgency="prod", run_s=1e6)
    world.run(2)  # this builds the machine views
    for number in range(100):
        world.submit(f"j-1{number:05}", 3, node=leader.platform.node, shape="service", urgency="prod", run_s=1e6)
    leader.watch_store()
    began = time.process_time()
    leader.leader_scheduler.round()
    burst = (time.process_time() - began) * 1e3
    for _ in range(10):  # the rate limiter's budget refills meanwhile; dispatched jobs are not started
        world.clock.now += timedelta(seconds=0.5)
        leader.leadership.run_once()
        leader.watch_store()
        leader.leader_scheduler.round()
    assert len(leader.job_index.dispatched_jobs) >= 100, (
        f"{len(leader.job_index.dispatched_jobs)} services are dispatched"
    )
    key = next(key for key in world.store.data if key.startswith("l/machine/"))
    record, versions = leader.mirror.get(key).value, iter(range(10**9, 10**9 + 100))
    # Its team's limit keeps one more job pending, so that every round looks for free capacity.
    world.submit("j-200000", node=leader.platform.node, crew="blue", run_s=1e6)
    world.submit("j-200001", node=leader.platform.node, crew="blue", run_s=1e6)
    for _ in range(3):
        world.clock.now += timedelta(seconds=0.5)
        leader.leadership.run_once()
        leader.watch_store()
        leader.leader_scheduler.round()
    assert leader.job_index.pending_jobs, "no job is pending"

    def changed_round() -> None:
        leader.mirror.put(key, record, next(versions))
        leader.leader_scheduler.round()

    changed_round()
    return {"round, 100 new services": burst, "round, 100 handed jobs": milliseconds_per_call(changed_round, 10)}


def figures() -> Iterator[tuple[int, dict[str, float]]]:
    add_current_names()
    for size in SIZES:
        yield size, placement_costs(fleet(size)) | (rounds(size) if size in ROUND_SIZES else {})


def measure_earlier_revision(revision: str) -> dict[str, dict[str, float]]:
    """Measure an earlier revision's sources, on that revision's own simulation."""
    with tempfile.TemporaryDirectory() as folder:
        archive = subprocess.run(
            ["git", "archive", revision, "kelpjunction"], cwd=ROOT, check=True, capture_output=True
        )
        subprocess.run(["tar", "-x", "-C", folder], input=archive.stdout, check=True)
        command = [sys.executable, __file__, "--json"]
        done = subprocess.run(command, env={"PYTHONPATH": folder}, check=True, capture_output=True)
        return orjson.loads(done.stdout)


@click.command()
@click.option("--against", metavar="REVISION", help="An earlier revision to compare with.")
@click.option("--json", "as_json", is_flag=True, help="Print the figures as JSON, for the comparison.")
def main(against: str | None, as_json: bool) -> None:
    """Time placement and a leader's rounds at several sizes of fleet."""
    today = dict(figures())
    if as_json:
        sys.stdout.write(orjson.dumps({str(size): costs for size, costs in today.items()}).decode())
        return
    before = measure_earlier_revision(against) if against else {}
    for size, costs in today.items():
        click.echo(f"{size} machines, ms")
        for name, value in costs.items():
            then = before.get(str(size), {}).get(name)
            beside = "" if then is None else f"   {then:9.2f} before   {value / then:6.3f}"
            click.echo(f"  {name:26} {value:9.3f}{beside}")
    nine = [sum(today[size][name] for name in JOBS_OF_NINE) for size in (SIZES[-1], SIZES[0])]
    click.echo(f"{SIZES[-1]}/{SIZES[0]}: {nine[0] / nine[1]:.2f}")


if __name__ == "__main__":
    main()
