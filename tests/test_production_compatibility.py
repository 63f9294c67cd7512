"""Tests that this version and the version in production read each other's records alike.

Both versions run side by side during a rollout. The production version is taken
from this repository's history and runs in a process of its own.
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
# Names used by the scripts below, and how the production version spells them.
PRODUCTION_NAMES = {
    "jobs.job_index": "jobs.book",
    "JobIndex": "Book",
    "unstarted_dispatches": "pending",
    "leader_scheduler._dispatch": "leading._hand_over",
    "ChangeTracker": "Changes",
    "ready_world": "served",
}
READ_SCRIPT = """
import json, sys
from kelpjunction.changes import ChangeTracker
from kelpjunction.jobs.job_index import JobIndex
def plain(pending):
    # Leaves out the class name, which differs between the versions, and keeps the field names.
    task, where = pending
    return [repr(task), repr(where._asdict())]
job_index = JobIndex(ChangeTracker())
data = json.load(sys.stdin)
for key in sorted(data):
    job_index.changed(key, *data[key])
print(json.dumps({r: [list(j.counts), j.cancelled, repr(j.spec), sorted(plain(p) for p in j.unstarted_dispatches())]
                  for r, j in job_index.jobs.items()}))
"""
START_SCRIPT = """
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
PLAY_SCRIPT = """
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
GRANT_SCRIPT = """
import json, sys
sys.path.insert(0, "tests")
from traces import ready_world
world = ready_world(machines=6, capacity=6)
assert world.leader().store.commit({}, json.load(sys.stdin)).revision
world.submit("j-1", 6, run_s=2.0)
world.run(40)
grants = {key: value[0] for key, value in world.store.data.items() if key.startswith(("l/block/", "l/token"))}
print(json.dumps([grants, world.poll("j-1"), world.broken]))
"""
# At this time after its submission, j-1 of PLAY_SCRIPT has dispatched tasks that have not started, in both versions.
# At 1, 6 and 11 s no job has any, so the comparison would not detect that they are read differently.
UNSTARTED_DISPATCHES_AT_S = 0.2


@pytest.fixture(scope="module")
def production(tmp_path_factory) -> Path:
    """A checkout of the commit that `deploy/service.toml` names. Fails with a message if the history lacks it."""
    commit = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["production"]
    git_archive = subprocess.run(
        ["git", "-C", str(ROOT), "archive", commit, "kelpjunction", "tests"], capture_output=True
    )
    assert git_archive.returncode == 0, (
        f"production {commit} is not in this clone's history: {git_archive.stderr.decode()}"
    )
    directory = tmp_path_factory.mktemp("production")
    with tarfile.open(fileobj=io.BytesIO(git_archive.stdout)) as archive:
        archive.extractall(directory, filter="data")
    return directory


def run_in_version(version: Path, script: str, stdin_data) -> object:
    """Run a script with the code of a checkout and return the JSON that it prints; `stdin_data` is its input."""
    if version != ROOT:
        for ours, theirs in PRODUCTION_NAMES.items():
            script = script.replace(ours, theirs)
    done = subprocess.run(
        [sys.executable, "-c", script],
        input=json.dumps(stdin_data),
        capture_output=True,
        text=True,
        cwd=version,
        env=os.environ | {"PYTHONPATH": str(version)},
    )
    assert done.returncode == 0, done.stderr
    return json.loads(done.stdout)


def read_in_this_version(data: dict) -> dict:
    """Return the jobs that this version reads from records."""
    return run_in_version(ROOT, READ_SCRIPT, data)


def test_checkout_runs_the_production_code(production):
    module_path = run_in_version(
        production, "import json, kelpjunction; print(json.dumps(kelpjunction.__file__))", None
    )
    assert Path(module_path).is_relative_to(production)


@pytest.mark.parametrize("after", [UNSTARTED_DISPATCHES_AT_S, 1.0, 6.0, 11.0])
@pytest.mark.parametrize("writer", ["this version", "production"])
def test_records_are_read_alike_by_both_versions(production, writer, after):
    data = run_in_version(ROOT if writer == "this version" else production, PLAY_SCRIPT, after)
    ours = read_in_this_version(data)
    assert len(ours) > 3 and any(counts[1] for counts, *_ in ours.values()) and ours["j-5"][1]
    if after == UNSTARTED_DISPATCHES_AT_S:
        assert any(unstarted for *_, unstarted in ours.values()), "no job has a dispatched task that has not started"
    assert run_in_version(production, READ_SCRIPT, data) == ours


def test_job_accepted_by_production_without_fields_required_now_still_runs(production):
    world = ready_world()
    spec = {"ref": "j-1", "stripe": "c", "crew": "red", "shape": "batch", "urgency": "low", "fronds": 2, "cpus": 1.0}
    record = {"spec": spec | {"ram_gb": 1.0, "bundle": "i", "image_gb": 1.0}, "at": world.clock.utc().timestamp()}
    assert (
        run_in_version(production, READ_SCRIPT, {"l/job/j-1": [record, 5]})["j-1"][2]
        == read_in_this_version({"l/job/j-1": [record, 5]})["j-1"][2]
    )
    assert world.leader().store.commit({"l/job/j-1": 0, "e/j-1": 0}, {"l/job/j-1": record}).revision
    assert world.run(30, lambda: "e/j-1" in world.store.data)
    world.jobs["j-1"] = record["spec"]
    assert world.poll("j-1") == "done"
    assert world.broken == []


@pytest.mark.parametrize("shape", ["batch", "service", "ensemble"])
def test_dispatch_with_target_machine_starts_in_production(production, shape):
    """This version also dispatches single tasks to a named machine next to reserved capacity, production only gangs."""
    attempt = 1 if shape == "ensemble" else None
    fields = {"fronds": 1, "shape": shape, "run_s": 60.0}
    fields |= {"mark_s": 5.0, "stow_s": 1.0} if shape == "ensemble" else {}
    row = ChunkDispatch(0, {0: DispatchTarget("a", "n-000001", attempt)}).row()
    page = {f"{DISPATCH_PREFIX}{'gang' if shape == 'ensemble' else 'array'}/0": {"j-1": {"0": row}}}
    starts, machines, broken = run_in_version(production, START_SCRIPT, [fields, page])
    assert (starts, len(machines), broken) == (["j-1/0"], 1, [])


def test_production_grants_tokens_above_a_reserved_range(production):
    reserved = {"holder": "holdfast-9", "incarnation": "ended", "term": 1, "token": 1001, "last_token": 2000}
    grants, state, broken = run_in_version(production, GRANT_SCRIPT, {"l/token": 2000, "l/block/a": reserved})
    assert grants["l/block/a"]["token"] > 2000
    assert grants["l/token"] == max(grant["token"] for key, grant in grants.items() if key != "l/token")
    assert (state, broken) == ("done", [])
