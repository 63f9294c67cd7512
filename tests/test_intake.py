"""Tests of job acceptance, status responses and node health (points 1, 7 and 8 of docs/design.md)."""

import orjson
from traces import fault_on_path, ready_world

# Accept


def test_submission_with_unknown_outcome_gets_503_and_retry_finds_the_job():
    world = ready_world()
    world.filter = fault_on_path("/commit answer lost")
    assert world.submit("j-1") == 503
    world.filter = lambda *_: None
    assert world.submit("j-1") == 200
    assert world.run(30, lambda: world.poll("j-1") == "done")
    assert world.broken == []


def test_delayed_submission_creates_only_one_job():
    world = ready_world()
    world.filter = fault_on_path("/commit held")
    assert world.submit("j-1", node="holdfast-1") == 503
    world.filter = lambda *_: None
    assert world.submit("j-1", node="holdfast-2") == 201
    world.run(60)
    assert world.poll("j-1") == "done"
    assert world.broken == []


def test_repeated_submission_of_known_job_is_never_refused():
    world = ready_world()
    world.submit("j-1", shape="service", urgency="prod")
    node = world.nodes["holdfast-2"]
    world.run(2)
    assert node.intake.submit(orjson.dumps({"ref": "j-1", "crew": 7})).status == 200
    assert node.intake.submit(orjson.dumps({"ref": "j-2", "crew": 7})).status == 400


# Status


def test_status_is_never_older_than_response_of_another_node():
    world = ready_world()
    world.submit("j-1", node="holdfast-0")
    for name in world.nodes:
        assert world.poll("j-1", node=name) == "pending", "no node may answer 404"
    assert world.run(30, lambda: world.poll("j-1", node="holdfast-1") == "done")
    world.nodes["holdfast-2"].mirror.watch_once = lambda: None
    assert world.poll("j-1", node="holdfast-2") == "done"
    assert world.broken == []


def test_status_in_an_outage_is_503_unless_it_is_final():
    world = ready_world()
    world.submit("j-1")
    world.submit("j-2", run_s=500.0)
    assert world.run(30, lambda: world.poll("j-1", node="holdfast-0") == "done")
    world.store.outage(True)
    intake = world.nodes["holdfast-0"].intake
    assert intake.status("j-1").status == 200
    response = intake.status("j-2")
    assert response.status == 503
    assert response.retry_after is not None


def test_status_of_job_that_ends_during_version_comparison():
    """Found by an incident: the job's record was gone when the response was built."""
    world = ready_world()
    world.submit("j-1", run_s=3.0)
    node = world.nodes["holdfast-1"]
    assert world.run(10, lambda: world.poll("j-1", node="holdfast-1") == "running")
    versions_current = node.verifier.versions_current

    def end_meanwhile(guards):
        node.verifier.versions_current = versions_current
        current = versions_current(guards)
        world.run(20, lambda: "j-1" not in node.job_index.jobs)
        return current

    node.verifier.versions_current = end_meanwhile
    assert world.poll("j-1", node="holdfast-1") == "done"


# Health


def test_node_is_unhealthy_if_only_it_lost_the_store_but_not_in_outage():
    world = ready_world()
    world.cut_from_store = {"holdfast-0"}
    world.run(6)
    assert not world.nodes["holdfast-0"].intake.healthy()
    world.cut_from_store = set()
    world.run(2)
    assert world.nodes["holdfast-0"].intake.healthy()
    world.store.outage(True)
    world.run(10)
    assert all(node.intake.healthy() for node in world.nodes.values())
