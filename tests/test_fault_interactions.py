"""Where two troubles meet: docs/meetings.md has a section for each."""

from dataclasses import replace

import gevent
import orjson
import pytest
from gevent.event import Event
from traces import ready_world, worker_of

from kelpjunction.jobs.job_index import RUN_PREFIX, Phase, Placement
from kelpjunction.lab.worker import MessageLoss
from kelpjunction.lab.world import STORE, World, seconds
from kelpjunction.transport import NoResponse, Reply
from kelpjunction.wire.messages import TaskId, Verb


class HeldCommands:
    """Direct commands of one node that are under way until they are let go; they arrive all the same, then."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name, self.go, self.under_way = world, name, Event(), []
        self.roster = world.nodes[name].worker_registry
        self._request = self.roster._transport.request
        self.roster._transport = self
        self.roster._spawn = lambda function, *args: gevent.spawn(function, *args)

    def request(self, address, method, path, body, timeout) -> Reply:
        if path != "/commands" or self.go.is_set():
            return self._request(address, method, path, body, timeout)
        self.under_way.append((address, orjson.loads(body)))
        self.go.wait()
        raise NoResponse("no answer in time")

    def run(self, duration: float) -> None:
        """Let time pass, with the requests that wait beside it."""
        for _ in range(round(duration * 10)):
            self.world.run(0.1)
            gevent.sleep(0)

    def arrive(self) -> None:
        """What was held up arrives at last, and its sender has given it up."""
        for address, body in self.under_way:
            self.world.cloud.workers_by_address[address].handle("POST", "/commands", body)
        self.go.set()
        gevent.sleep(0)


@pytest.mark.parametrize("ends", ["done", "refused"])
def test_start_that_is_held_up_until_after_its_attempt_was_forgotten(ends):
    """The worker was told to start by the answer to a report, and the task ended, before the start sent to it came."""
    world = ready_world()
    held = [HeldCommands(world, name) for name in world.node_names]
    world.submit("j-1", run_s=0.1)
    run = held[0].run
    while not any(h.under_way for h in held):
        run(0.1)
    holder = next(h for h in held if h.under_way)
    if ends == "refused":
        address, body = holder.under_way[0]
        order = body["orders"][0]
        world.cloud.workers_by_address[address].tasks[order["frond"], order["launch"]] = {
            "tide": "exited",
            "cause": "full",
        }
    run(8)
    before = world.starts.count("j-1/0")
    holder.arrive()
    assert world.starts.count("j-1/0") == before, "the attempt had been forgotten, so it was started once more"
    run(20)
    assert world.poll("j-1") == "done"
    assert world.broken == []


def _start_in_flight(world: World) -> tuple[HeldCommands, Placement]:
    """A start that its holder has sent and that has not come, of a task that no report has listed."""
    held = [HeldCommands(world, name) for name in world.node_names]
    world.submit("j-1", run_s=20.0)
    while not any(h.under_way for h in held):
        held[0].run(0.1)
    holder = next(h for h in held if h.under_way)
    return holder, world.nodes[holder.name].job_index.placement(TaskId("j-1", 0))


def test_unlisted_task_is_not_settled_while_start_in_flight():
    """It was stopped meanwhile; were it settled, it would be placed anew, and the start would come after all."""
    world = ready_world()
    holder, placement = _start_in_flight(world)
    holder.roster.stop(placement, seconds(0), "a service needs its room")
    worker = holder.roster.workers[placement.machine]
    assert holder.roster.probe(worker.machine, worker.address)
    assert placement.phase is Phase.STOPPING, "the worker does not have it, and may have it yet"
    holder.arrive()
    holder.run(60)
    assert world.poll("j-1") == "done"
    assert world.broken == []


def test_queued_start_becomes_stop_if_stopped_meanwhile():
    world = ready_world()
    holder, placement = _start_in_flight(world)
    turns, sent = [], []
    holder.roster._spawn = lambda *turn: turns.append(turn)
    holder.roster._post = lambda worker, token, session, commands: sent.append((session, commands)) or True
    placement.phase = Phase.PLACED
    holder.roster.send([placement])
    holder.roster.stop(placement, seconds(0), "cancelled")
    turns[0][0](*turns[0][1:])
    assert [c.verb for _, commands in sent for c in commands] == [Verb.STOP]


def test_command_is_for_one_session():
    """One that names the wrong session is not executed; one that named the right one would start what is over."""
    world = ready_world()
    holder, placement = _start_in_flight(world)
    later = replace(placement, task=TaskId("j-1", 1), session=placement.session + 1)
    sent = []
    holder.roster._post = lambda worker, token, session, commands: sent.append((session, len(commands))) or True
    holder.roster.send([placement, later])
    gevent.sleep(0)
    assert sent == [(placement.session, 1), (later.session, 1)]


def test_unanswered_command_count_survives_block_regain():
    """The count of what is under way began anew with the block, and what ended later made it less than nothing."""
    world = ready_world()
    name = world.leader_name()
    held = HeldCommands(world, name)
    world.submit("j-1", 6, run_s=30.0)
    while not held.under_way:
        held.run(0.1)
    node = world.nodes[name]
    for zone in node.blocks.held_zones():
        node.holder_scheduler.on_block_gained(zone)
    held.run(3)
    held.go.set()
    gevent.sleep(0)
    assert node.worker_registry.workers
    assert all(w.unanswered_commands == +w.unanswered_commands for w in node.worker_registry.workers.values())
    held.run(60)
    assert world.poll("j-1") == "done"
    assert world.broken == []


def test_member_key_written_late_does_not_undo_the_newer_one():
    """A node's first word on itself is held up; it comes after the next one, with a hold that ends soon."""
    world = ready_world()
    name = next(n for n in world.node_names if n != world.leader_name())
    key = f"l/node/{name}"
    _, version, hold = world.store.data[key]
    node = world.nodes[name]
    bodies = []

    def keep(source, target, path):
        return "lost" if source == name and path == "/commit" else None

    request = node.store._transport.request

    def watch(address, method, path, body, timeout):
        if address == STORE and path == "/commit" and key.encode() in body:
            bodies.append(orjson.loads(body))
        return request(address, method, path, body, timeout)

    node.store._transport.request = watch
    node.leadership.no_machine_reachable = lambda: True
    world.filter = keep
    world.run(1)
    assert bodies, "it was sent, and nothing came back"
    world.filter = lambda *_: None
    node.leadership.no_machine_reachable = lambda: False
    late = bodies[0]
    assert late["guards"] == [{"key": key, "stamp": version}]
    node.leadership.no_machine_reachable = lambda: True
    world.run(1)
    node.leadership.no_machine_reachable = lambda: False
    world.run(1)
    now = world.store.data[key]
    assert world.store.handle("POST", "/commit", late).status == 409
    assert world.store.data[key] == now
    assert now[2] == hold


def test_chunk_of_a_job_that_is_not_known_yet_is_not_swept():
    """A leader deletes what ended jobs left behind; a job whose news have not come in has not ended."""
    world = ready_world()
    world.submit("j-1", run_s=60.0)
    assert world.run(10, lambda: world.running("j-1") != [])
    leader = world.leader()
    del leader.job_index.jobs["j-1"]
    leader.record_writer.orphan_chunks_possible = True
    leader.leader_scheduler._delete_orphan_chunks()
    assert f"{RUN_PREFIX}j-1/0" in world.store.data


def test_lone_leader_and_the_new_one_answer_the_same_users():
    """Jobs are finished, cancelled and submitted through the new leader; whoever is asked tells nothing older."""
    world = ready_world(machines=9, capacity=9)
    old = world.leader_name()
    other = next(n for n in world.node_names if n != old)
    world.submit("j-1", 3, run_s=8.0)
    world.submit("j-2", 3, run_s=300.0)
    world.submit("j-3", 3, run_s=300.0)
    assert world.run(10, lambda: len(world.running()) == 9)
    world.cut_from_store = world.cut_from_peers = {old}
    asked = 0

    def ask_both() -> bool:
        nonlocal asked
        for ref in ("j-1", "j-2", "j-3", "j-4"):
            for node in (old, other):
                asked += world.poll(ref, node=node) is not None
        return False

    assert world.abort("j-2", node=other) == 200
    world.run(5, ask_both)
    assert world.submit("j-4", 3, run_s=3.0, node=other) == 201
    world.run(10, ask_both)
    assert world.abort("j-3", node=other) == 200
    world.run(20, ask_both)
    assert any(world.nodes[n].leadership.leader_term for n in world.node_names if n != old)
    world.cut_from_store = world.cut_from_peers = set()
    world.run(30, ask_both)
    assert [world.last_told_state[f"j-{n}"] for n in (1, 2, 3, 4)] == ["done", "withdrawn", "withdrawn", "done"]
    assert asked > 100
    assert world.broken == []


@pytest.mark.parametrize("how", ["cut", "deaf", "unanswered"])
def test_leader_ends_while_machines_with_long_tasks_are_not_reached(how):
    """Nothing starts twice, no limit is overshot, and no task stays in doubt for longer than leases force."""
    world = ready_world(machines=9, capacity=12)
    world.submit("j-1", 18, run_s=70.0)  # all that its team may have at once, and more
    world.submit("j-2", 2, shape="ensemble", run_s=60.0, mark_s=5.0, stow_s=1.0, crew="blue")
    assert world.run(10, lambda: len(world.running()) == 20)
    lost = sorted({worker_of(world, f).name for f, _ in world.running()})[:3]
    for name in lost:
        worker = world.cloud.machines[name][0]
        if how == "cut":
            worker.partitioned = True
        else:
            worker.message_loss = MessageLoss(how)
    world.kill_node(world.leader_name())
    limit = world.times.lease + seconds(30)  # a grace, the notice that nobody leads, and the rounds
    assert world.run(limit.total_seconds(), lambda: world.leader() is not None and not _doubted(world, lost))
    for worker, _ in world.cloud.machines.values():
        worker.partitioned, worker.message_loss = False, None
    for name in world.node_names:
        if not world.runs(name):
            world.start_node(name)
    assert world.run(200, lambda: [world.poll(r) for r in ("j-1", "j-2")] == ["done", "done"])
    assert world.broken == []


@pytest.mark.parametrize("shape", ["batch", "ensemble"])
@pytest.mark.parametrize("leaders", [1, 2])
def test_small_jobs_end_far_apart_across_changes_of_leader(shape, leaders):
    """Two or three tasks, of which one ends under the first leader and the others under later ones."""
    world = ready_world(machines=9, capacity=9)
    refs = [f"j-{n}" for n in range(6)]
    for number, ref in enumerate(refs):
        fields = {"shape": shape, "mark_s": 5.0, "stow_s": 1.0} if shape == "ensemble" else {}
        world.submit(ref, 2 + number % 2, run_s=90.0, cpus=0.5, **fields)
    assert world.run(10, lambda: len(world.running()) == 15)
    for ref in refs:
        _end(world, f"{ref}/0")
    for number in range(leaders):
        world.run(0.3)
        leader = world.leader_name()
        world.kill_node(leader)
        world.run(0.5 if number else 4)
        for ref in refs:
            _end(world, f"{ref}/{number + 1}")
        assert {world.poll(ref) for ref in refs} <= {"running", "pending", "done", None}
        world.start_node(leader)
        assert world.run(10, lambda: world.leader() is not None)
    for ref in refs:
        _end(world, f"{ref}/2")
    assert world.run(150, lambda: all(world.poll(ref) == "done" for ref in refs))
    assert world.broken == []


def _doubted(world: World, machines: list[str]) -> list:
    return [p for p in world.leader().job_index.placements() if p.machine in machines]


def _end(world: World, frond: str) -> None:
    """Let a task complete now, if it runs; of a gang, all of them."""
    for worker, _ in world.cloud.machines.values():
        for (name, _), task in worker.tasks.items():
            together = task["job"]["shape"] == "ensemble" and name.split("/")[0] == frond.split("/")[0]
            if (name == frond or together) and task["tide"] == "running":
                task["ends"] = world.clock.now


@pytest.mark.parametrize("how", ["all keys are read", "one key is read alone"])
def test_regained_block_resets_lease_times_though_loss_was_unseen(how):
    """It came back before the news did, so nothing of the time between came in: leases that others renewed meanwhile
    were reckoned to have ended long ago, and all that ran there was started once more."""
    world = ready_world(machines=9, capacity=9)
    world.submit("j-1", 9, shape="service", cpus=0.5)
    assert world.run(10, lambda: len(world.running("j-1")) == 9)
    name = next(n for n in world.node_names if n != world.leader_name())
    node = world.nodes[name]
    (zone,) = node.blocks.held_zones()
    before = node.blocks.own_grant(zone)
    world.cut_from_store = {name}
    world.run(35)
    assert world.leader().blocks.holder(zone) != name
    # Its hold is renewed and the block granted to it again before it has followed.
    world.filter = lambda source, target, path: "lost" if source == name and path.startswith("/follow") else None
    node.mirror._read_at = world.clock.now
    world.cut_from_store = set()
    assert world.run(10, lambda: world.leader().blocks.holder(zone) == name)
    if how == "all keys are read":
        node.mirror.load()
    else:
        node.mirror.refresh(f"l/block/{zone}")
    now = node.blocks.own_grant(zone)
    assert now.token > before.token
    assert now.since == world.clock.now
    world.filter = lambda *_: None
    node.watch_store()
    world.clock.now += seconds(0.6)  # a round comes before any worker was heard again
    node.holder_scheduler.round()
    assert node.job_index.settled == {}
    world.run(30)
    assert len(world.starts) == 9, "nothing was lost"
    assert world.broken == []
