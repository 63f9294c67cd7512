"""What users are told: accepting, answering, health (points 1, 7 and 8 of docs/design.md)."""

import orjson
from traces import fault_on_path, ready_world

# Accept


def test_accept_of_unknown_outcome_is_refused_at_once_and_found_by_the_retry():
    world = ready_world()
    world.filter = fault_on_path("/commit answer lost")
    assert world.submit("j-1") == 503
    world.filter = lambda *_: None
    assert world.submit("j-1") == 200
    assert world.run(30, lambda: world.poll("j-1") == "done")
    assert world.broken == []


def test_accept_that_is_applied_late_makes_one_job():
    world = ready_world()
    world.filter = fault_on_path("/commit held")
    assert world.submit("j-1", node="holdfast-1") == 503
    world.filter = lambda *_: None
    assert world.submit("j-1", node="holdfast-2") == 201
    world.run(60)
    assert world.poll("j-1") == "done"
    assert world.broken == []


def test_repeat_of_a_known_job_is_never_refused():
    world = ready_world()
    world.submit("j-1", shape="service", urgency="prod")
    node = world.nodes["holdfast-2"]
    world.run(2)
    assert node.intake.submit(orjson.dumps({"ref": "j-1", "crew": 7})).status == 200
    assert node.intake.submit(orjson.dumps({"ref": "j-2", "crew": 7})).status == 400


# Done


def test_status_is_never_older_than_what_another_node_told():
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
    answer = intake.status("j-2")
    assert answer.status == 503
    assert answer.retry_after is not None


def test_status_of_a_job_that_ends_while_its_version_is_compared():
    """Found by an incident: the record was gone when the answer was put together."""
    world = ready_world()
    world.submit("j-1", run_s=3.0)
    node = world.nodes["holdfast-1"]
    assert world.run(10, lambda: world.poll("j-1", node="holdfast-1") == "running")
    compare = node.verifier.versions_current

    def end_meanwhile(guards):
        node.verifier.versions_current = compare
        equal = compare(guards)
        world.run(20, lambda: "j-1" not in node.job_index.jobs)
        return equal

    node.verifier.versions_current = end_meanwhile
    assert world.poll("j-1", node="holdfast-1") == "done"


# Health


def test_node_that_alone_lost_the_store_is_unhealthy_and_an_outage_leaves_all_healthy():
    world = ready_world()
    intake = world.nodes["holdfast-0"].intake
    world.cut_from_store = {"holdfast-0"}
    world.run(6)
    intake.sibling_has_fresh_mirror = True
    assert not intake.healthy()
    intake.sibling_has_fresh_mirror = False
    assert intake.healthy()
