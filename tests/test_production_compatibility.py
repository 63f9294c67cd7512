"""The version in production, from this repository's history and in a process of its own, reads what this one writes.

Both serve side by side while a change lands, so each must take the other's records for what they mean.
"""

import io
import json
import os
import subprocess
import sys
import tarfile
import tomllib
from pathlib import Path

import pytest
from traces import ready_world

from kelpjunction.jobs.job_index import DISPATCH_PREFIX, ChunkDispatch, DispatchTarget

ROOT = Path(__file__).resolve().parent.parent
# What the scripts below name, as production spells it.
IN_PRODUCTION = {
    "jobs.job_index": "jobs.book",
    "JobIndex": "Book",
    "unstarted_dispatches": "pending",
    "leader_scheduler._dispatch": "leading._hand_over",
    "ChangeTracker": "Changes",
    "ready_world": "served",
}
READ = """
import json, sys
from kelpjunction.changes import ChangeTracker
from kelpjunction.jobs.job_index import JobIndex
def plain(pending):
    # Without the name of its class, which differs by version; with the names of its fields.
    task, where = pending
    return [repr(task), repr(where._asdict())]
book = JobIndex(ChangeTracker())
data = json.load(sys.stdin)
for key in sorted(data):
    book.changed(key, *data[key])
print(json.dumps({r: [list(j.counts), j.cancelled, repr(j.spec), sorted(plain(p) for p in j.unstarted_dispatches())]
                  for r, j in book.jobs.items()}))
"""
START = """
import json, sys
sys.path.insert(0, "tests")
from traces import ready_world
world = ready_world(machines=6, capacity=6)
for node in world.nodes.values():
    node.leader_scheduler._dispatch = lambda: False
fields, page = json.load(sys.stdin)
world.submit("j-1", fields.pop("fronds"), **fields)
world.run(1)
assert world.leader().store.commit({}, page).revision
world.run(5)
print(json.dumps([world.starts, [m for _, m in world.running()], world.broken]))
"""
PLAY = """
import json, sys
sys.path.insert(0, "tests")
from traces import ready_world
world = ready_world(machines=6, capacity=6)
gang = {"shape": "ensemble", "mark_s": 5.0, "stow_s": 1.0}
world.submit("j-1", 200, cpus=0.5, ram_gb=0.5, run_s=4.0, crew="blue")
world.submit("j-2", 4, shape="service", apart=True, cpus=1.0, urgency="prod")
world.submit("j-3", 3, run_s=60.0, cpus=1.0, crew="blue", **gang)
world.submit("j-4", 9, run_s=60.0, cpus=8.0, crew="blue", bay="b", driftwood=True)
world.submit("j-5", 3, run_s=60.0, cpus=0.5)
world.submit("j-6", 1, cpus=0.5, wrong=True)
world.run(json.load(sys.stdin))
world.filter = lambda source, target, path: "lost" if path == "/commands" else None
world.abort("j-5")
print(json.dumps({k: v[:2] for k, v in world.store.data.items() if k.startswith("l/")}))
"""
# At this time after its submission, j-1 of PLAY has dispatched tasks that have not started, in both versions.
# At 1, 6 and 11 s no job has any, so the comparison would not detect that they are read differently.
UNSTARTED_DISPATCHES_AT_S = 0.2


@pytest.fixture(scope="module")
def production(tmp_path_factory) -> Path:
    """A checkout of the commit that `deploy/service.toml` names; fails plainly where the history lacks it."""
    commit = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["production"]
    found = subprocess.run(["git", "-C", str(ROOT), "archive", commit, "kelpjunction", "tests"], capture_output=True)
    assert found.returncode == 0, f"production {commit} is not in this clone's history: {found.stderr.decode()}"
    folder = tmp_path_factory.mktemp("production")
    with tarfile.open(fileobj=io.BytesIO(found.stdout)) as archive:
        archive.extractall(folder, filter="data")
    return folder


def run_in_version(version: Path, script: str, given) -> object:
    """What a script prints in the version of this checkout, given this on its standard input."""
    if version != ROOT:
        for ours, theirs in IN_PRODUCTION.items():
            script = script.replace(ours, theirs)
    done = subprocess.run(
        [sys.executable, "-c", script],
        input=json.dumps(given),
        capture_output=True,
        text=True,
        cwd=version,
        env=os.environ | {"PYTHONPATH": str(version)},
    )
    assert done.returncode == 0, done.stderr
    return json.loads(done.stdout)


def read_in_this_version(data: dict) -> dict:
    """What this version makes of records."""
    return run_in_version(ROOT, READ, data)


def test_the_checkout_is_the_version_in_production_and_not_this_one(production):
    where = run_in_version(production, "import json, kelpjunction; print(json.dumps(kelpjunction.__file__))", None)
    assert Path(where).is_relative_to(production)


@pytest.mark.parametrize("after", [UNSTARTED_DISPATCHES_AT_S, 1.0, 6.0, 11.0])
@pytest.mark.parametrize("writer", ["this version", "production"])
def test_records_mean_the_same_to_both(production, writer, after):
    data = run_in_version(ROOT if writer == "this version" else production, PLAY, after)
    ours = read_in_this_version(data)
    assert len(ours) > 3 and any(counts[1] for counts, *_ in ours.values()) and ours["j-5"][1]
    if after == UNSTARTED_DISPATCHES_AT_S:
        assert any(unstarted for *_, unstarted in ours.values()), "no job has a dispatched task that has not started"
    assert run_in_version(production, READ, data) == ours


def test_a_job_that_production_took_without_fields_that_are_asked_for_now_goes_on(production):
    world = ready_world()
    spec = {"ref": "j-1", "stripe": "c", "crew": "red", "shape": "batch", "urgency": "low", "fronds": 2, "cpus": 1.0}
    record = {"spec": spec | {"ram_gb": 1.0, "bundle": "i", "image_gb": 1.0}, "at": world.clock.utc().timestamp()}
    assert (
        run_in_version(production, READ, {"l/job/j-1": [record, 5]})["j-1"][2]
        == read_in_this_version({"l/job/j-1": [record, 5]})["j-1"][2]
    )
    assert world.leader().store.commit({"l/job/j-1": 0, "e/j-1": 0}, {"l/job/j-1": record}).revision
    assert world.run(30, lambda: "e/j-1" in world.store.data)
    world.jobs["j-1"] = record["spec"]
    assert world.poll("j-1") == "done"
    assert world.broken == []


@pytest.mark.parametrize("shape", ["batch", "service", "ensemble"])
def test_a_task_with_a_named_machine_starts_in_production_too(production, shape):
    """This version names machines for single tasks beside reserved room; production did so for gangs alone."""
    attempt = 1 if shape == "ensemble" else None
    fields = {"fronds": 1, "shape": shape, "run_s": 60.0}
    fields |= {"mark_s": 5.0, "stow_s": 1.0} if shape == "ensemble" else {}
    row = ChunkDispatch(0, {0: DispatchTarget("a", "n-000001", attempt)}).row()
    page = {f"{DISPATCH_PREFIX}{'gang' if shape == 'ensemble' else 'array'}/0": {"j-1": {"0": row}}}
    starts, machines, broken = run_in_version(production, START, [fields, page])
    assert (starts, len(machines), broken) == (["j-1/0"], 1, [])
