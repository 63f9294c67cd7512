"""Tests of the recorder of a node's last decisions: kept events, log lines, and dumps after a contradiction."""

import logging
import signal

import orjson
import pytest
from test_stale_sessions import end_lease, worker_with_lost_start
from traces import ready_world, worker_of

from kelpjunction import logs
from kelpjunction.cli.serve import dump_on_signal
from kelpjunction.lab.world import SimClock, seconds
from kelpjunction.metrics import Metrics
from kelpjunction.recorder import MIN_DUMP_INTERVAL, Recorder
from kelpjunction.wire.messages import ExitCause, Report, TaskId, TaskReport, TaskState
from kelpjunction.workers.events import Ground, Impossible, SessionBelieved, SessionChanged, Settled, StartSaid, Way
from kelpjunction.workers.reachability import Evidence

TASK = TaskId("j-1", 0)
CHANGED = SessionChanged("n-1", 1, 2, 7, Evidence.PROOF, 5, 4)


def events_of_kind(node, kind) -> list:
    return [event for _, event in node.recorder.events(lambda event: isinstance(event, kind))]


def test_start_and_settled_events_name_their_evidence():
    world = ready_world()
    world.submit("j-1", run_s=2.0)
    assert world.run(20, lambda: world.poll("j-1") == "done")
    holder = next(n for n in world.nodes.values() if events_of_kind(n, StartSaid))
    (start,), (end,) = events_of_kind(holder, StartSaid), events_of_kind(holder, Settled)
    assert (start.task, start.attempt, start.way, start.session) == (TASK, 1, Way.DIRECT, 1)
    assert start.token == holder.blocks.own_token(holder.inventory.machines[start.machine].zone)
    assert start.version > 0
    assert (end.task, end.attempt, end.machine, end.cause) == (TASK, 1, start.machine, ExitCause.DONE)
    assert end.ground is Ground.REPORTED_EXIT and end.sequence > start.sequence
    metrics_text = Metrics(holder).text().decode()
    assert 'kelpjunction_starts_said_total{way="direct"} 1.0' in metrics_text
    assert 'kelpjunction_settled_by_total{ground="reported_exit"} 1.0' in metrics_text


def test_session_change_is_logged_and_is_the_ground_of_settling(caplog):
    caplog.set_level(logging.INFO)
    world = ready_world()
    worker = worker_with_lost_start(world, "a")
    end_lease(worker)
    holder = next(n for n in world.nodes.values() if n.blocks.own_grant("a"))
    assert world.run(20, lambda: events_of_kind(holder, SessionChanged) != [])
    (changed,) = events_of_kind(holder, SessionChanged)
    assert (changed.machine, changed.before, changed.session, changed.evidence) == (worker.name, 1, 2, Evidence.PROOF)
    assert str(changed) in caplog.messages
    assert Ground.SESSION_ENDED in {event.ground for event in events_of_kind(holder, Settled)}
    assert events_of_kind(holder, SessionBelieved)[0].before == 0


def test_contradiction_is_logged_with_preceding_decisions(caplog):
    """A settled attempt is proved to run. The decisions about it must be in the log at every log level."""
    caplog.set_level(logging.ERROR)
    world = ready_world()
    world.submit("j-1", run_s=60.0)
    assert world.run(10, lambda: world.running("j-1") != [])
    worker = worker_of(world, "j-1/0")
    holder = next(n for n in world.nodes.values() if n.blocks.own_grant(worker.zone))
    placement = holder.job_index.placement(TASK)
    placement.was_reported = True
    holder.worker_registry.settle(placement, ExitCause.MACHINE_LOST, Ground.ABSENT, world.clock.now)
    holder.job_index.settled_placements.clear()
    holder.job_index._remove_placement(placement)
    holder.worker_registry.probe(worker.name, worker.address)
    (finding,) = events_of_kind(holder, Impossible)
    assert (finding.task, finding.machine, finding.finding) == (TASK, worker.name, "it was settled before")
    logged = "\n".join(caplog.messages)
    assert "StartSaid task=j-1/0 attempt=1" in logged
    assert "Settled" in logged and "ground=not_listed" in logged


@pytest.mark.parametrize(("attempt", "found"), [(1, True), (3, False)])
def test_only_earlier_attempt_beside_reported_one_is_contradiction(attempt, found):
    """A node cut off from the state service learns of later attempts from workers first, so they prove no error."""
    world = ready_world()
    world.submit("j-1", run_s=60.0)
    assert world.run(10, lambda: world.running("j-1") != [])
    holder = next(n for n in world.nodes.values() if n.blocks.own_grant(worker_of(world, "j-1/0").zone))
    placement = holder.job_index.placement(TASK)
    placement.attempt, placement.was_reported = 2, True
    task_report = TaskReport(TASK, attempt, TaskState.RUNNING, None, False)
    report = Report("n-9", "10.1.0.9:9000", "box", "a", False, 1, 1, 0, None, (task_report,))
    holder.worker_registry.decisions.check_contradiction(report, task_report)
    assert [f.finding for f in events_of_kind(holder, Impossible)] == ([f"attempt 2 is on {placement.machine}"] * found)


def test_many_contradictions_at_once_cause_one_dump(caplog):
    clock = SimClock()
    recorder = Recorder(clock, capacity=3)
    finding = Impossible(TASK, 1, "n-1", 2, "it was settled before")
    for _ in range(5):
        recorder.contradiction(finding, lambda event: True)
    assert len([m for m in caplog.messages if "decisions follow" in m]) == 1
    assert len(list(recorder.events())) == 3, "the oldest events are dropped"
    clock.now += MIN_DUMP_INTERVAL + seconds(0.1)
    recorder.contradiction(finding, lambda event: True)
    assert len([m for m in caplog.messages if "decisions follow" in m]) == 2


def test_event_is_a_field_of_json_log_line():
    record = logging.LogRecord("recorder", logging.INFO, "", 0, "%s", (CHANGED,), None)
    record.event = CHANGED.as_fields()
    fields = orjson.loads(logs.json_formatter("holdfast-0", lambda: 4).format(record))
    assert fields["event"] == {
        "kind": "SessionChanged", "machine": "n-1", "before": 1, "session": 2, "sequence": 7, "evidence": "proof",
        "token": 5, "uncertain_token": 4,
    }  # fmt: skip
    assert fields["machine"] == "n-1"


def test_recorded_events_are_dumped_on_signal(caplog):
    recorder = Recorder(SimClock())
    recorder.record(CHANGED)
    before = signal.getsignal(signal.SIGUSR1)
    try:
        dump_on_signal(lambda: recorder.dump("asked for by a signal"))
        signal.raise_signal(signal.SIGUSR1)
    finally:
        signal.signal(signal.SIGUSR1, before)
    assert caplog.messages[0] == "asked for by a signal: the last 1 decisions follow"
    assert caplog.messages[1].endswith(str(CHANGED))
