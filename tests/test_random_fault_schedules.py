"""Random schedules of faults: whatever fails, no rule is broken and everything ends."""

from collections import Counter

import pytest
from fault_schedules import FaultSchedule
from traces import ready_world, worker_of

from kelpjunction.changes import ChangeTracker
from kelpjunction.fleet.machines import MachineState
from kelpjunction.jobs.job_index import JobIndex
from kelpjunction.lab.world import World, seconds
from kelpjunction.placement import place


def job_index_state(book: JobIndex) -> dict:
    """What the book keeps up to date change by change."""
    counts = {ref: tuple(job.counts) for ref, job in book.jobs.items()}
    loads = {n: (round(x.cpus, 6), round(x.memory, 6), +x.images, set(x.placements)) for n, x in book.loads.items()}
    sets = [book.pending_jobs, book.dispatched_jobs, book.cancelled, book.finished_jobs]
    return {"counts": counts, "loads": loads, "sets": sets, "held": dict(book.task_counts)}


def recomputed_state(book: JobIndex) -> dict:
    """The same from the chunks alone: state that is kept must equal its sum."""
    counts, loads, sets = {}, {}, [set(), set(), set(), set()]
    for ref, job in book.jobs.items():
        done = sum(job.chunk_size(n) if n in job.folded_chunks else c.done.bit_count() for n, c in job.chunks.items())
        done += sum(job.chunk_size(n) for n in job.folded_chunks if n not in job.chunks)
        placed = list(job.placements())
        pending = sum(1 for c in job.chunks.values() for _ in c.unstarted_dispatches())
        counts[ref] = (done, len(placed), pending)
        waits = not job.cancelled and done + len(placed) + pending < job.spec.tasks
        for each, belongs in zip(
            sets, (waits, pending and not job.cancelled, job.cancelled, job.is_finished()), strict=True
        ):
            each.update([ref] if belongs else [])
        for p in placed:
            cpus, memory, images, tasks = loads.get(p.machine, (0.0, 0.0, Counter(), set()))
            images[p.spec.image] += 1
            loads[p.machine] = (cpus + p.spec.cpus, memory + p.spec.memory, images, tasks | {p.task})
    rounded = {n: (round(c, 6), round(m, 6), i, t) for n, (c, m, i, t) in loads.items()}
    held = Counter()
    for ref, (_, placed, pending) in counts.items():
        spec = book.jobs[ref].spec
        held[spec.team, spec.cpus, spec.gpus] += placed + pending
    return {"counts": counts, "loads": rounded, "sets": sets, "held": dict(+held)}


def cached_and_rebuilt_views(slice_, node) -> tuple[dict, dict]:
    """The views that rounds keep, and the same made afresh."""
    made = [view for name in node.inventory.machines if (view := slice_._view(name)) is not None]
    both = []
    for views in (slice_._view_cache.fresh(), made):
        both.append({v.name: [getattr(v, f) for f in v.__slots__ if f != "on_write"] for v in views})
    return both[0], both[1]


def reloaded_job_index(world: World) -> JobIndex:
    """A book as a node that starts now would read it: in the order of the keys."""
    book = JobIndex(ChangeTracker())
    for key in sorted(k for k in world.store.data if k.startswith("l/")):
        value, version, _ = world.store.data[key]
        book.changed(key, value, version)
    return book


def check_states(node) -> None:
    """The watch knows how many machines of each zone are in each state."""
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
    """The leader has reserved room for all that is handed over and not started, once each, unless there is none."""
    leading = node.leader_scheduler
    views = leading._views()
    stuck = {ref for ref in node.job_index.gangs & node.job_index.dispatched_jobs if leading._stuck(ref)}
    pending = {
        task: (node.job_index.jobs[ref], handed.zone)
        for ref in node.job_index.dispatched_jobs - stuck
        for task, handed in node.job_index.jobs[ref].unstarted_dispatches()
    }
    reserved = leading._reservations.machines()
    assert reserved.keys() <= pending.keys(), "room is reserved for what is not under way any more"
    assert all(views.get(machine).zone == pending[task][1] for task, machine in reserved.items())
    for task in pending.keys() - reserved.keys():
        job, zone = pending[task]
        budget = leading._fleet.price_limit(job)
        assert place(job.spec, 1, views.within([zone]), Counter(), Counter(), budget) == [], "there is room for it"


def check_indexes(world: World) -> None:
    for node in world.nodes.values():
        if node is not None:
            if node.mirror.revision == world.store.revision:
                assert job_index_state(node.job_index) == job_index_state(reloaded_job_index(world)), (
                    "who follows knows what who reads all does"
                )
            assert job_index_state(node.job_index) == recomputed_state(node.job_index)
            for kept, made in (
                cached_and_rebuilt_views(node.holder_scheduler, node),
                cached_and_rebuilt_views(node.leader_scheduler, node),
            ):
                assert kept == made, "a machine changed and its view did not"
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
    assert open_arrays == [], "everything accepted ends once the faults are over"
    assert world.starvation_check.starved_jobs == {}, "nothing waits where there is room for it"
    assert world.service_level_tracker.unanswered_jobs == {}


def test_the_checker_notices_a_broken_rule():
    """The random schedules mean something only if a service that breaks a rule is caught."""
    world = ready_world()
    world.submit("j-1", run_s=60.0)
    assert world.run(10, lambda: world.running("j-1") != [])
    other = next(w for w, _ in world.cloud.machines.values() if w is not worker_of(world, "j-1/0"))
    other.execute([{"verb": "run", "frond": "j-1/0", "launch": 9}])
    assert [b.split(":")[0] for b in world.broken] == ["ran_twice"]
    assert seconds(1) < world.times.cancel
