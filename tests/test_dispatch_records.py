"""Pages of dispatches and of settled attempts: a task runs once, whatever write lags, is lost or comes late."""

from dataclasses import replace

import pytest
from test_random_fault_schedules import reloaded_job_index
from traces import ready_world

from kelpjunction.changes import ChangeTracker
from kelpjunction.jobs.dispatch import DispatchBatch
from kelpjunction.jobs.job_index import CHUNK_TASKS, DISPATCH_PREFIX, SETTLED_PREFIX, DispatchTarget, JobIndex
from kelpjunction.jobs.records import run_key
from kelpjunction.lab.world import World


def stop_holder_rounds(world: World) -> dict:
    """Stop all holders' rounds, so that no task starts; returns the rounds by node."""
    rounds = {name: node.holder_scheduler.round for name, node in world.nodes.items()}
    for node in world.nodes.values():
        node.holder_scheduler.round = lambda: False
    return rounds


def resume_holder_rounds(world: World, rounds: dict) -> None:
    for name, node in world.nodes.items():
        if node is not None:
            node.holder_scheduler.round = rounds[name]


def test_many_jobs_are_dispatched_in_few_pages():
    world = ready_world(machines=12, capacity=12)
    stop_holder_rounds(world)
    for n in range(20):
        world.submit(f"j-{n}", 2, cpus=0.5, ram_gb=1.0, crew="blue")
    before = world.store.revision
    assert world.run(5, lambda: len(world.leader().job_index.dispatched_jobs) == 20)
    written = [k for r, k, _ in world.store.history if r > before and k.startswith((DISPATCH_PREFIX, "l/run/"))]
    assert len(written) <= 4
    assert all(k.startswith(DISPATCH_PREFIX) for k in written)


def test_dispatch_page_wakes_holder():
    """Found by code review: dispatches came by a key that woke no holder, so that starts waited for another event."""
    world = ready_world()
    other = next(n for n in world.nodes.values() if n is not world.leader())
    for key in (f"{DISPATCH_PREFIX}service/0", f"{SETTLED_PREFIX}a"):
        other.wake.clear()
        other.mirror.put(key, {}, 10**9)
        assert other.wake.is_set()


def test_dispatch_row_is_void_after_chunk_write_and_task_is_redispatched():
    world = ready_world()
    rounds = stop_holder_rounds(world)
    world.submit("j-1", 1, run_s=5.0)
    holder = next(iter(world.nodes.values()))
    assert world.run(5, lambda: holder.job_index.jobs["j-1"].counts.dispatched == 1)
    key = run_key("j-1", 0)
    assert holder.store.commit({key: 0}, {key: {"n": 1, "d": 0, "h": [], "p": []}}).revision
    leader = world.leader()
    leader.watch_store()
    assert leader.job_index.jobs["j-1"].pending_count() == 1
    resume_holder_rounds(world, rounds)
    assert world.run(20, lambda: world.poll("j-1") == "done")
    assert world.starts == ["j-1/0"]


def test_launch_from_void_dispatch_row_fails():
    world = ready_world()
    rounds = stop_holder_rounds(world)
    world.submit("j-1", 1, run_s=5.0)
    assert world.run(5, lambda: all(n.job_index.jobs["j-1"].counts.dispatched for n in world.nodes.values()))
    zone = next(world.leader().job_index.jobs["j-1"].unstarted_dispatches())[1].zone
    holder = next(n for n in world.nodes.values() if n.blocks.own_grant(zone))
    other = next(n for n in world.nodes.values() if n is not holder)
    key = run_key("j-1", 0)
    assert other.store.commit({key: 0}, {key: {"n": 1, "d": 0, "h": [], "p": []}}).revision
    rounds[holder.platform.node]()  # its mirror has not caught up
    assert world.starts == []


def test_new_leader_keeps_earlier_dispatches():
    world = ready_world()
    rounds = stop_holder_rounds(world)
    world.submit("j-1", 4, run_s=5.0)
    assert world.run(5, lambda: all(n.job_index.jobs["j-1"].counts.dispatched == 4 for n in world.nodes.values()))
    zones = {h.zone for _, h in world.leader().job_index.jobs["j-1"].unstarted_dispatches()}
    world.kill_node(world.leader_name())
    assert world.run(10, lambda: world.leader() is not None)
    world.run(2)
    assert {h.zone for _, h in world.leader().job_index.jobs["j-1"].unstarted_dispatches()} == zones
    resume_holder_rounds(world, rounds)
    assert world.run(30, lambda: world.poll("j-1") == "done")
    assert sorted(world.starts) == [f"j-1/{n}" for n in range(4)]


def test_unknown_dispatch_write_is_fenced_before_redispatch():
    world = ready_world()
    leader = world.leader()
    rounds = stop_holder_rounds(world)
    world.submit("j-1", 2, shape="service", urgency="prod", apart=True)
    leader.watch_store()
    world.filter = lambda source, target, path: "held" if path == "/commit" and source == leader.platform.node else None
    assert leader.round() is not None and world.late
    world.filter = lambda *_: None
    page = next(iter(k for k in leader.record_writer._unknown_outcome_keys if k.startswith(DISPATCH_PREFIX)))
    assert leader.record_writer.resolve_unknown_outcomes()
    version = world.store.data[page][1]
    world.deliver_late()
    assert world.store.data[page][1] == version, "the late write was applied after its page had been fenced"
    resume_holder_rounds(world, rounds)
    assert world.run(10, lambda: len(world.running("j-1")) == 2)
    assert world.broken == []


def test_stale_dispatch_row_does_not_restart_folded_chunk():
    world = ready_world(machines=9, capacity=9)
    world.submit("j-1", 3 * CHUNK_TASKS, run_s=3.0, cpus=1.0, ram_gb=0.5, crew="blue")
    job_index = world.leader().job_index
    assert world.run(60, lambda: "j-1" not in job_index.jobs or bool(job_index.jobs["j-1"].folded_chunks))
    assert "j-1" in job_index.jobs, "the job ended before one of its chunks was folded"
    job = job_index.jobs["j-1"]
    number = min(job.folded_chunks)
    job_index.changed(f"{DISPATCH_PREFIX}array/99", {"j-1": {str(number): [0, {"a": [0, 1]}, []]}}, 10**9)
    assert list(job.unstarted_dispatches()) == [] or all(
        t.index // CHUNK_TASKS != number for t, _ in job.unstarted_dispatches()
    )
    loaded = reloaded_job_index(world)
    assert all(t.index // CHUNK_TASKS != number for t, _ in loaded.jobs["j-1"].unstarted_dispatches())


def test_folding_a_chunk_removes_its_dispatches():
    """A node that loads all keys reads the pages first and the sums last."""
    job_index = JobIndex(ChangeTracker())
    fields = {"ref": "j-1", "stripe": "c", "crew": "red", "shape": "batch", "urgency": "low", "fronds": 2 * CHUNK_TASKS}
    spec = fields | {"cpus": 1.0, "ram_gb": 1.0, "bundle": "i", "image_gb": 1.0, "expect_s": 1.0}
    job_index.changed(f"{DISPATCH_PREFIX}array/0", {"j-1": {"0": [0, {"a": [0, 1]}, []]}}, 5)
    job_index.changed("l/job/j-1", {"spec": spec, "at": 0.0}, 4)
    assert job_index.jobs["j-1"].counts.dispatched == 2
    job_index.changed("l/sum/j-1", {"full": [[0, 0]]}, 9)
    assert list(job_index.jobs["j-1"].unstarted_dispatches()) == []
    assert job_index.jobs["j-1"].counts == (CHUNK_TASKS, 0, 0)


def test_launch_fails_if_chunk_was_folded_after_dispatch():
    """The chunk has no record before its first launch and after folding: only the sum key tells the two apart."""
    world = ready_world(machines=9, capacity=9)
    rounds = stop_holder_rounds(world)
    world.submit("j-1", 2 * CHUNK_TASKS, run_s=3.0, cpus=0.5, ram_gb=0.5, crew="blue")
    assert world.run(5, lambda: all(n.job_index.jobs["j-1"].counts.dispatched for n in world.nodes.values()))
    zone = next(world.leader().job_index.jobs["j-1"].unstarted_dispatches())[1].zone
    holder = next(n for n in world.nodes.values() if n.blocks.own_grant(zone))
    # Written as by another node: the mirror of the holder has not caught up.
    assert holder.store.commit({}, {"l/sum/j-1": {"full": [[0, 0]]}}).revision
    rounds[holder.platform.node]()
    assert world.starts == []


def test_settled_rows_leave_page_after_chunk_write():
    world = ready_world(machines=6)
    world.submit("j-1", 6, run_s=2.0, crew="blue")
    world.submit("j-2", 12, run_s=1.0, crew="blue")
    assert world.run(60, lambda: world.poll("j-1") == world.poll("j-2") == "done")
    job_index = world.leader().job_index
    assert [job_index.settled_rows(zone) for zone in world.zones] == [{}, {}, {}]
    world.submit("j-3", 2, run_s=60.0, crew="blue")
    assert world.run(10, lambda: len(world.running("j-3")) == 2)
    key = run_key("j-3", 0)
    _, attempt, machine, _, zone = world.store.data[key][0]["p"][0]
    job_index.changed(SETTLED_PREFIX + zone, {"j-3": {"0": [[0, attempt, 1]]}}, 10**9)
    assert machine and job_index.settled_rows(zone) == {("j-3", 0): {(0, attempt, True)}}, (
        "the row must stay while the record lists the placement"
    )
    assert job_index.jobs["j-3"].done_count() == 1


def test_settled_page_results_survive_holder_loss():
    world = ready_world(machines=6)
    world.submit("j-1", 9, run_s=2.0, crew="blue")
    world.submit("j-2", 1, run_s=100.0, crew="blue")
    assert world.run(10, lambda: len(world.running("j-1")) == 9)
    first = world.leader().job_index.jobs["j-1"]
    finished_methods = [n.holder_scheduler._finished for n in world.nodes.values()]
    for node in world.nodes.values():
        node.holder_scheduler._finished = lambda job, records: False
        node.leader_scheduler.round = lambda: False  # no leader ends the job
    assert world.run(10, lambda: first.done_count() == 9)
    assert any(k.startswith(SETTLED_PREFIX) and v[0] for k, v in world.store.data.items())
    assert world.store.data[run_key("j-1", 0)][0]["d"] == 0, "the results were written to the chunk's record"
    assert reloaded_job_index(world).jobs["j-1"].done_count() == 9
    for node, finished in zip(world.nodes.values(), finished_methods, strict=True):
        node.holder_scheduler._finished = finished
        del node.leader_scheduler.round
    world.kill_node(world.leader_name())
    assert world.run(20, lambda: world.poll("j-1") == "done")
    starts = [task for task in world.starts if task.startswith("j-1/")]
    assert sorted(starts) == [f"j-1/{n}" for n in range(9)]
    assert world.broken == []


def test_page_over_size_limit_is_folded_into_chunks():
    world = ready_world(machines=12, capacity=12)
    node = world.leader()
    for n in world.nodes.values():
        n.store.limits = replace(n.store.limits, value_bytes=700)
    for k in range(12):
        world.submit(f"j-{k}", 6, run_s=1.0 + k % 3, cpus=0.5, ram_gb=0.5, crew="blue")
    assert world.run(60, lambda: all(world.poll(f"j-{k}") == "done" for k in range(12)))
    assert world.broken == []
    assert node.record_writer.value_bytes == 700


@pytest.mark.parametrize("with_machine", [False, True])
def test_dispatch_pages_split_and_keep_valid_rows(with_machine):
    job_index = JobIndex(ChangeTracker())
    fields = {"crew": "red", "shape": "batch", "fronds": 64, "cpus": 1.0, "ram_gb": 1.0, "bundle": "i", "image_gb": 1.0}
    spec = {"stripe": "c", "urgency": "low", "expect_s": 1.0} | fields
    for n in range(6):
        job_index.changed(f"l/job/j-{n}", {"spec": spec | {"ref": f"j-{n}"}, "at": 0.0}, 10 + n)
    target = DispatchTarget("a", "n-1", 1) if with_machine else DispatchTarget("a")
    pages: dict[str, dict] = {}
    for n in range(6):
        dispatches = DispatchBatch()
        job = job_index.jobs[f"j-{n}"]
        dispatches.add(job, [(t, target) for t in job.pending_tasks(40)])
        for _, key, page in dispatches.pages(job_index, 1000):
            pages[key] = page
            job_index.changed(key, page, 100 + n)
    assert len(pages) > 1
    assert all(job_index.jobs[f"j-{n}"].counts.dispatched == 40 for n in range(6))
    reloaded = JobIndex(ChangeTracker())
    for key in sorted(pages):
        reloaded.changed(key, pages[key], 200)
    for n in range(6):
        reloaded.changed(f"l/job/j-{n}", {"spec": spec | {"ref": f"j-{n}"}, "at": 0.0}, 10 + n)
    assert all(
        list(reloaded.jobs[r].unstarted_dispatches()) == list(job_index.jobs[r].unstarted_dispatches())
        for r in job_index.jobs
    )
