"""Tests that the checks of whole runs detect unanswered polls and unmet service levels."""

from traces import ready_world

from kelpjunction.clock import seconds
from kelpjunction.wire.users import JOBS_PATH


def test_check_detects_job_with_unanswered_polls():
    world = ready_world()
    world.submit("j-1", run_s=200.0)
    world.submit("j-2", run_s=200.0)
    for node in world.nodes.values():
        status = node.intake.status
        node.intake.status = lambda ref, status=status: status("nonsense") if ref == "j-1" else status(ref)
    world.service_level_tracker.on_faults_ended(world.clock.now)
    for _ in range(17):
        world.run(5)
        for ref in ("j-1", "j-2"):
            world.service_level_tracker.asked(
                ref, world.ask("GET", f"{JOBS_PATH}/{ref}", b"", None)[0] == 200, world.clock.now
            )
    assert list(world.service_level_tracker.unanswered_jobs) == ["j-1"]


def test_check_detects_unmet_levels_of_classes_teams_and_largest_jobs():
    world = ready_world(machines=2, capacity=2)
    world.submit("j-1", run_s=5.0, stripe="small", crew="blue")
    world.submit("j-2", run_s=5.0, stripe="large", crew="red")
    world.submit("j-3", 8, cpus=4.0, shape="ensemble", stripe="large", crew="red", mark_s=5.0, stow_s=1.0)
    world.run(30)
    rows = {row.name: row for row in world.service_level_tracker.service_levels(world.clock.now)}
    assert rows["small"].is_met and rows["team blue"].is_met and rows["large"].is_met, "half of the jobs is enough"
    assert rows["largest of large"].begun == 0 and not rows["largest of large"].is_met
    later = {row.name: row for row in world.service_level_tracker.service_levels(world.clock.now + seconds(240))}
    assert later["largest of large"].late == ("j-3",)
