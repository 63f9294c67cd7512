"""Load on the state service per unit of work: `python benchmarks/store_changes.py [--against REVISION]`.

Runs a minute of services, arrays and gangs in the simulated world at a tenth, one
and ten times a fleet, with work in proportion to it and a state service that
refuses no request.  Prints the changes, requests and bytes for each started
task and each rented machine, by kind of record.  With `--against`, an earlier
revision runs the same work, and the last columns are its counts and the ratio
of the current counts to them.
"""

import subprocess
import sys
import tempfile
from collections import Counter
from pathlib import Path

import click
import orjson

ROOT = Path(__file__).resolve().parent.parent
SIZES = (24, 240, 960)
SECONDS = 60


def count_changes(machines: int) -> dict[str, float]:
    """Run one world of this size and return its counts."""
    from kelpjunction.lab.world import Team, World

    teams = (Team("red", 0.0, 0.0, None, None), Team("blue", 0.0, 0.0, None, None))
    world = World(machines=machines * 2 // 3, capacity=machines, teams=teams)
    counts: Counter = Counter()
    handle = world.store.handle

    def counted_handle(method: str, path: str, body: dict):
        reply = handle(method, path, body)
        counts["requests"] += 1
        counts["bytes"] += len(orjson.dumps(body)) if body else 0
        if path == "/commit" and reply.status == 200:
            for change in body.get("then", ()):
                key = change.get("set") or change["delete"]
                counts["changes " + "/".join(key.split("/")[: 2 if key.startswith("l/") else 1])] += 1
                counts["changes"] += 1
        return reply

    rented: set[str] = set()
    handle_cloud = world.cloud.handle

    def recorded_handle(method: str, path: str, body: dict):
        reply = handle_cloud(method, path, body)
        if path == "/rentals" and method == "POST" and reply.status == 200:
            rented.update(reply.fields["holdfasts"])
        return reply

    world.store.handle, world.cloud.handle = counted_handle, recorded_handle
    world.run(5)
    number = 0
    every = max(1, 240 // machines)
    for second in range(SECONDS):
        for _ in range(max(1, machines // 240) if second % every == 0 else 0):
            number += 1
            kinds = ({"shape": "service", "urgency": "prod", "apart": True}, {}, {}, {"shape": "ensemble"})
            tasks, run = ((3, 1e6), (20, 8.0), (20, 12.0), (4, 15.0))[number % 4]
            world.submit(f"j-{number:06d}", tasks, cpus=1.0, ram_gb=1.0, run_s=run, **kinds[number % 4])
        world.run(1)
    world.run(30)
    starts = len(world.starts)
    found = {f"{name} a start": count / starts for name, count in sorted(counts.items())}
    found["changes for machines, a machine rented"] = (
        counts["changes l/machine"] + counts["changes l/cloud"] + counts["changes l/rent"]
    ) / max(1, len(rented))
    return found | {"starts": starts, "machines rented": len(rented)}


def measure() -> dict[str, dict[str, float]]:
    return {str(machines): count_changes(machines) for machines in SIZES}


@click.command()
@click.option("--against", metavar="REVISION", help="An earlier revision to compare with.")
@click.option("--json", "as_json", is_flag=True, help="Print the figures as JSON, for the comparison.")
def main(against: str | None, as_json: bool) -> None:
    """Count changes, requests and bytes for each started task at three sizes."""
    today = measure()
    if as_json:
        sys.stdout.write(orjson.dumps(today).decode())
        return
    before: dict[str, dict[str, float]] = {}
    if against:
        with tempfile.TemporaryDirectory() as folder:
            archive = subprocess.run(
                ["git", "archive", against, "kelpjunction"], cwd=ROOT, check=True, capture_output=True
            )
            subprocess.run(["tar", "-x", "-C", folder], input=archive.stdout, check=True)
            command = [sys.executable, __file__, "--json"]
            done = subprocess.run(command, env={"PYTHONPATH": folder}, check=True, capture_output=True)
            before = orjson.loads(done.stdout)
    for machines, figures in today.items():
        click.echo(f"\n{machines} machines")
        for name, value in figures.items():
            then = before.get(machines, {}).get(name)
            share = f"{then:12.3f} {value / then:8.2f}" if then else ""
            click.echo(f"  {name:32} {value:12.3f} {share}")


if __name__ == "__main__":
    main()
