"""Transactions that are applied at once but whose responses are lost, while other nodes read their writes."""

import orjson
import pytest
from traces import ready_world

from kelpjunction.clock import seconds
from kelpjunction.jobs.job_index import DISPATCH_PREFIX, END_PREFIX, JOB_PREFIX, RUN_PREFIX, SETTLED_PREFIX
from kelpjunction.lab.world import STORE, World
from kelpjunction.leadership import LEADER_KEY, Role


class LostCommitResponses:
    """Loses the responses to the next transactions of one or any node that write below a prefix; keeps their keys."""

    def __init__(self, world: World, prefix: str, limit: int = 1, node: str | None = None) -> None:
        self.world, self.prefix, self.limit, self.node = world, prefix, limit, node
        self.written: list[str] = []  # keys of applied transactions whose response was lost
        self._keys: list[str] = []
        self.on_lost = lambda source: None  # called with the node whose response is lost
        for each in world.nodes.values():
            self._watch(each)
        world.filter = self._request_fault

    def _watch(self, node) -> None:
        commit = node.store._commit_once

        def record_keys(body, timeout):
            self._keys = [c.get("set") or c["delete"] for c in orjson.loads(body).get("then", ())]
            return commit(body, timeout)

        node.store._commit_once = record_keys

    def _request_fault(self, source: str, target: str, path: str) -> str | None:
        matching = [k for k in self._keys if k.startswith(self.prefix)]
        if target != STORE or path != "/commit" or not matching or self.node not in (None, source):
            return None
        if len(self.written) >= self.limit:
            return None
        self.written += matching
        self.on_lost(source)
        return "answer lost"


@pytest.mark.parametrize("through", ["the same node", "others"])
def test_acceptance_with_lost_response_is_confirmed(through):
    """Regression: the user got 503 after three seconds and submitted again, though the job had been accepted."""
    world = ready_world()
    lost_responses = LostCommitResponses(world, JOB_PREFIX)
    assert world.submit("j-1", run_s=60.0, node="holdfast-0") == 200
    assert lost_responses.written == ["l/job/j-1"]
    for name in world.node_names if through == "others" else ("holdfast-0",):
        assert world.submit("j-1", run_s=60.0, node=name) == 200
    assert set(world.ask_all_nodes("j-1")) == {"pending"}
    assert world.run(10, lambda: world.starts == ["j-1/0"])
    assert world.broken == []


def test_cancellation_with_lost_response_is_confirmed():
    world = ready_world()
    world.submit("j-1", 2, run_s=60.0)
    assert world.run(10, lambda: len(world.running("j-1")) == 2)
    lost_responses = LostCommitResponses(world, JOB_PREFIX)
    assert world.abort("j-1", node="holdfast-0") == 200
    assert lost_responses.written == ["l/job/j-1"]
    assert world.ask_all_nodes("j-1") == ["withdrawn"] * 3
    assert world.run(5, lambda: world.running("j-1") == [])
    assert world.broken == []


def test_delayed_cancellation_is_not_confirmed_early():
    world = ready_world()
    world.submit("j-1", run_s=60.0)
    assert world.run(10, lambda: world.running("j-1") != [])
    world.filter = lambda source, target, path: "held" if path == "/commit" and source == "holdfast-0" else None
    world.late_request_delay_s = (5.0, 5.0)
    assert world.abort("j-1", node="holdfast-0") == 503
    world.filter = lambda *_: None
    assert set(world.ask_all_nodes("j-1")) == {"running"}
    assert world.run(7, lambda: world.poll("j-1") == "withdrawn")
    assert world.ask_all_nodes("j-1") == ["withdrawn"] * 3
    assert world.broken == []


@pytest.mark.parametrize(
    ("prefix", "shape"),
    [(p, s) for p in (DISPATCH_PREFIX, RUN_PREFIX, END_PREFIX) for s in ("batch", "service", "ensemble")]
    + [(SETTLED_PREFIX, "batch")],  # only the results of arrays go into pages
)
@pytest.mark.parametrize("after", ["nothing", "the leader ends", "the writer ends"])
def test_round_with_lost_commit_responses_decides_nothing_twice(prefix, shape, after):
    """Dispatch, launch, results and end: other nodes act on them at once, and the writer decides nothing twice."""
    world = ready_world()
    lost_responses = LostCommitResponses(world, prefix, limit=2)
    fields = {"mark_s": 5.0, "stow_s": 1.0} if shape == "ensemble" else {}
    world.submit("j-1", 3, shape=shape, run_s=4.0, **fields)
    if shape == "service":
        assert world.run(20, lambda: len(world.running("j-1")) == 3)
        world.abort("j-1")
    if prefix == SETTLED_PREFIX:
        # Tasks end one after the other: results that do not end their job go into a page.
        assert world.run(10, lambda: len(world.running("j-1")) == 3)
        for worker, _ in world.cloud.machines.values():
            for (frond, _), task in worker.tasks.items():
                task["ends"] += seconds(4.0 * int(frond[-1]))
    killed = None
    assert world.run(30, lambda: bool(lost_responses.written)), "no response was lost"
    if after == "the leader ends":
        world.kill_node(killed := world.leader_name())
    elif after == "the writer ends":
        nodes_with_unknown_outcomes = [n for n, node in world.nodes.items() if node.record_writer._unknown_outcome_keys]
        world.kill_node(killed := next(iter(nodes_with_unknown_outcomes), world.leader_name()))
    world.run(4)
    if killed:
        world.start_node(killed)
    final = "withdrawn" if shape == "service" else "done"
    assert world.run(60, lambda: world.poll("j-1") == final)
    assert sorted(set(world.starts)) == [f"j-1/{n}" for n in range(3)]
    assert world.run(40, lambda: not [k for k in world.store.data if "/j-1" in k and k.startswith("l/run/")])
    assert world.broken == []


@pytest.mark.parametrize("prefix", ["l/block/", "l/token", "l/node/", LEADER_KEY, "l/term"])
def test_leadership_and_grant_writes_with_lost_responses_take_effect(prefix):
    world = ready_world(machines=9, capacity=9)
    world.submit("j-1", 6, shape="service", cpus=0.5)
    assert world.run(10, lambda: len(world.running("j-1")) == 6)
    lost_responses = LostCommitResponses(world, prefix, limit=3)
    world.kill_node(old := world.leader_name())
    assert world.run(12, lambda: world.leader() is not None)
    world.start_node(old)  # writes its member key; the other nodes keep theirs
    lost_responses._watch(world.nodes[old])
    assert world.run(30, lambda: bool(lost_responses.written) and len(held_zones(world)) == 3)
    world.run(10)
    assert len(world.running("j-1")) == 6
    assert world.submit("j-2", 3, run_s=2.0, cpus=0.5) in (200, 201)
    assert world.run(20, lambda: world.poll("j-2") == "done")
    assert world.broken == []


def held_zones(world: World) -> set[str]:
    return {zone for node in world.nodes.values() if node for zone in node.blocks.held_zones()}


def test_store_lease_with_lost_response_expires():
    world = ready_world()
    name = next(n for n in world.node_names if n != world.leader_name())
    world.kill_node(name)
    lost = []

    def lose(source, target, path):
        if source == name and path == "/holds" and len(lost) < 3:
            lost.append(path)
            return "answer lost"
        return None

    world.filter = lose
    world.start_node(name)
    assert world.run(20, lambda: world.nodes[name].leadership.role is Role.FOLLOWER)
    assert len(lost) == 3
    world.run(15)
    assert len(world.store.leases) == 3, "store leases whose responses were lost did not expire"
    assert world.broken == []


def test_fencing_an_applied_launch_changes_nothing():
    """The launch was applied, and its task and job ended, before the writer checked the unknown outcome."""
    world = ready_world(machines=3, capacity=3)
    lost_responses = LostCommitResponses(world, RUN_PREFIX)
    writers = []

    def cut_off_writer(source: str) -> None:
        writers.append(source)
        world.cut_from_store = {source}  # another node is granted its block and runs the task to its end

    lost_responses.on_lost = cut_off_writer
    world.submit("j-1", run_s=3.0)
    assert world.run(10, lambda: bool(writers))
    connected = [n for n in world.node_names if n != writers[0]]
    assert world.run(60, lambda: world.poll("j-1", node=connected[0]) == "done")
    assert world.nodes[writers[0]].record_writer._unknown_outcome_keys, (
        "the writer has already resolved the unknown outcome"
    )
    world.cut_from_store = set()
    assert world.run(20, lambda: not world.nodes[writers[0]].record_writer._unknown_outcome_keys)
    world.run(10)
    assert world.starts == ["j-1/0"]
    assert not [k for k in world.store.data if k.startswith("l/") and "j-1" in k]
    assert world.broken == []


def test_machines_are_rented_once_when_record_response_is_lost():
    world = ready_world(machines=1, capacity=6)
    world.cloud.boot = world.times.report  # up within two seconds
    lost_responses = LostCommitResponses(world, "l/cloud", limit=2)
    world.submit("j-1", 20, crew="blue", run_s=5.0)
    assert world.run(40, lambda: world.poll("j-1") == "done")
    assert lost_responses.written
    assert len(world.cloud.rentals_by_request) <= 6 and len(world.cloud.machines) <= 6
    assert world.broken == []
