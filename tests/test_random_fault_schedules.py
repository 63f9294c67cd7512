"""Random schedules of faults: no rule is broken, and all accepted work ends."""

from collections import Counter

import pytest
from fault_schedules import FaultSchedule
from traces import ready_world, worker_of

from kelpjunction.changes import ChangeTracker
from kelpjunction.fleet.machines import MachineState
from kelpjunction.jobs.job_index import JobIndex
from kelpjunction.lab.world import World, seconds
from kelpjunction.placement import place


def job_index_state(job_index: JobIndex) -> dict:
    """The state that the job index updates incrementally with each change."""
    counts = {ref: tuple(job.counts) for ref, job in job_index.jobs.items()}
    loads = {
        n: (round(x.cpus, 6), round(x.memory, 6), +x.images, set(x.placements)) for n, x in job_index.loads.items()
    }
    sets = [job_index.pending_jobs, job_index.dispatched_jobs, job_index.cancelled_jobs, job_index.finished_jobs]
    return {"counts": counts, "loads": loads, "sets": sets, "held": dict(job_index.task_counts)}


def recomputed_state(job_index: JobIndex) -> dict:
    """The same state computed from the chunks alone; the incremental state must equal it."""
    counts, loads, sets = {}, {}, [set(), set(), set(), set()]
    for ref, job in job_index.jobs.items():
        done = sum(job.chunk_size(n) if n in job.folded_chunks else c.done.bit_count() for n, c in job.chunks.items())
        done += sum(job.chunk_size(n) for n in job.folded_chunks if n not in job.chunks)
        placed = list(job.placements())
        pending = sum(1 for c in job.chunks.values() for _ in c.unstarted_dispatches())
        counts[ref] = (done, len(placed), pending)
        waits = not job.cancelled and done + len(placed) + pending < job.spec.tasks
        for index_set, is_member in zip(
            sets, (waits, pending and not job.cancelled, job.cancelled, job.is_finished()), strict=True
        ):
            index_set.update([ref] if is_member else [])
        for p in placed:
            cpus, memory, images, tasks = loads.get(p.machine, (0.0, 0.0, Counter(), set()))
            images[p.spec.image] += 1
            loads[p.machine] = (cpus + p.spec.cpus, memory + p.spec.memory, images, tasks | {p.task})
    rounded = {n: (round(c, 6), round(m, 6), i, t) for n, (c, m, i, t) in loads.items()}
    held = Counter()
    for ref, (_, placed, pending) in counts.items():
        spec = job_index.jobs[ref].spec
        held[spec.team, spec.cpus, spec.gpus] += placed + pending
    return {"counts": counts, "loads": rounded, "sets": sets, "held": dict(+held)}


def cached_and_rebuilt_views(scheduler, node) -> tuple[dict, dict]:
    """The machine views that rounds cache, and the same views rebuilt."""
    rebuilt = [view for name in node.inventory.machines if (view := scheduler._view(name)) is not None]
    states_by_name = []
    for views in (scheduler._view_cache.refreshed_views(), rebuilt):
        states_by_name.append({v.name: [getattr(v, f) for f in v.__slots__ if f != "on_write"] for v in views})
    return states_by_name[0], states_by_name[1]


def reloaded_job_index(world: World) -> JobIndex:
    """A job index as a node that starts now would load it: in the order of the keys."""
    job_index = JobIndex(ChangeTracker())
    for key in sorted(k for k in world.store.data if k.startswith("l/")):
        value, version, _ = world.store.data[key]
        job_index.changed(key, value, version)
    return job_index


def check_states(node) -> None:
    """The machine monitor counts and lists the machines of each zone in each state."""
    machines, states = node.inventory.machines, node.machine_monitor._states
    for zone in ("a", "b", "c"):
        assert states.in_zone(zone) == sum(m.zone == zone for m in machines.values())
        for state in MachineState:
            assert list(states.names(zone, state)) == sorted(
                m.name for m in machines.values() if m.zone == zone and m.state is state
            )
    for state in MachineState:
        assert states.count(state) == sum(m.state is state for m in machines.values())


def check_reservations(node) -> None:
    """The leader has reserved capacity once for each task that is dispatched and not started, if there is capacity."""
    leader_scheduler = node.leader_scheduler
    views = leader_scheduler._views()
    stuck = {
        ref for ref in node.job_index.gang_jobs & node.job_index.dispatched_jobs if leader_scheduler._is_stuck_gang(ref)
    }
    pending = {
        task: (node.job_index.jobs[ref], target.zone)
        for ref in node.job_index.dispatched_jobs - stuck
        for task, target in node.job_index.jobs[ref].unstarted_dispatches()
    }
    reserved = leader_scheduler._reservations.machines()
    assert reserved.keys() <= pending.keys(), "capacity is reserved for a task that is not dispatched any more"
    assert all(views.get(machine).zone == pending[task][1] for task, machine in reserved.items())
    for task in pending.keys() - reserved.keys():
        job, zone = pending[task]
        price_limit = leader_scheduler._fleet.price_limit(job)
        assert place(job.spec, 1, views.within([zone]), Counter(), Counter(), price_limit) == [], (
            "there is capacity for a task without a reservation"
        )


def check_indexes(world: World) -> None:
    for node in world.nodes.values():
        if node is not None:
            if node.mirror.revision == world.store.revision:
                assert job_index_state(node.job_index) == job_index_state(reloaded_job_index(world)), (
                    "the index of a watching node differs from a reloaded one"
                )
            assert job_index_state(node.job_index) == recomputed_state(node.job_index)
            for cached, rebuilt in (
                cached_and_rebuilt_views(node.holder_scheduler, node),
                cached_and_rebuilt_views(node.leader_scheduler, node),
            ):
                assert cached == rebuilt, "a machine changed, but its cached view did not"
            check_states(node)
            if node.leadership.leader_term is not None:
                check_reservations(node)


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_under_a_random_schedule_of_faults(seed):
    world = FaultSchedule(seed).play(check_indexes)
    assert world.broken == []
    open_arrays = [
        r for r, t in world.last_told_state.items() if t == "accepted" and world.jobs[r]["shape"] != "service"
    ]
    assert open_arrays == [], "an accepted job did not end after the faults"
    assert world.starvation_check.starved_jobs == {}, "a job waits although there is capacity for it"
    assert world.service_level_tracker.unanswered_jobs == {}


def test_checker_detects_broken_rule():
    """The random schedules mean something only if a service that breaks a rule is caught."""
    world = ready_world()
    world.submit("j-1", run_s=60.0)
    assert world.run(10, lambda: world.running("j-1") != [])
    other = next(w for w, _ in world.cloud.machines.values() if w is not worker_of(world, "j-1/0"))
    other.execute([{"verb": "run", "frond": "j-1/0", "launch": 9}])
    assert [b.split(":")[0] for b in world.broken] == ["ran_twice"]
    assert seconds(1) < world.times.cancel
