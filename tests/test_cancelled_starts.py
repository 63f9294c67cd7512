"""Regression: a job was started after its user had been told that it is cancelled.

The order of events:
1. A holder commits the placement of a task.  The commit is applied, and its answer takes half a second.
2. The user, told by another node that the job runs, cancels it there.  The cancellation is applied and confirmed.
3. The answer to the commit arrives, and the holder sends the start.  It does not know of the cancellation yet.
The same happened in the response to a worker's report, for as long as the holder's watch of the state service lagged.

The wrong assumption: that a guard which held when a commit was applied still holds when its answer arrives.
Rule: no task is started after a confirmed cancellation (`lab.rules.cancelled_start_violations`).
"""

import gevent
import pytest
from gevent.server import StreamServer
from traces import ready_world, worker_of

from kelpjunction.clock import seconds
from kelpjunction.lab.rules import cancelled_start_violations
from kelpjunction.lab.world import World
from kelpjunction.start_permission import CONFIRMATION_DELAY, MAX_KNOWLEDGE_AGE, may_confirm, may_start
from kelpjunction.transport import HttpTransport, NoResponse, RequestWithheld
from kelpjunction.workers.answers import build_response

SHAPES = {
    "one task": (1, {}),
    "array": (3, {}),
    "gang": (2, {"shape": "ensemble", "mark_s": 5.0, "stow_s": 1.0}),
    "service": (2, {"shape": "service", "urgency": "prod"}),
}


def holder_name(world: World, zone: str) -> str:
    return next(name for name, node in world.nodes.items() if node is not None and node.blocks.own_grant(zone))


def other_name(world: World, name: str) -> str:
    return next(other for other in world.node_names if other != name)


def cancel_while_answer_is_late(world: World, holder: str, delay_s: float, cancelled_by: str) -> None:
    """Delay the answer to the holder's next commit of a placement, and let the user cancel in the meantime."""
    done = []

    def pause(source: str, path: str) -> float:
        placed = [key for key, entry in world.store.data.items() if key.startswith("l/run/j-1/") and entry[0]["p"]]
        if source != holder or path != "/commit" or not placed or done:
            return 0.0
        done.append(True)
        world.run_after(0.1, lambda: world.abort("j-1", node=cancelled_by))
        return delay_s

    world.pause_before_reply = pause


@pytest.mark.parametrize("delay_s", [0.3, 0.6, 1.2, 2.0, 6.0, 20.0])
@pytest.mark.parametrize("shape", SHAPES)
def test_no_start_after_confirmation_while_commit_answer_is_late(shape, delay_s):
    """Guards against: a start that is sent when the answer to its commit arrives, whatever happened meanwhile."""
    world = ready_world(machines=6, capacity=6)
    holder = holder_name(world, "a")
    cancel_while_answer_is_late(world, holder, delay_s, other_name(world, holder))
    tasks, fields = SHAPES[shape]
    world.submit("j-1", tasks, node=other_name(world, holder), run_s=30.0, bay="a", **fields)
    assert world.run(30, lambda: "j-1" in world.asked_to_cancel)
    world.run(delay_s + 10)
    assert world.abort("j-1") == 200
    world.run(world.times.cancel.total_seconds() + 1)
    assert world.running("j-1") == []
    assert world.broken == []


@pytest.mark.parametrize("answered_by", ["cancellation", "status", "repeated submission"])
def test_each_answer_that_tells_of_a_cancellation_waits(answered_by):
    """Guards against: another node, asked in another way, tells of the cancellation too early."""
    world = ready_world(machines=6, capacity=6)
    holder = holder_name(world, "a")
    cancel_while_answer_is_late(world, holder, 1.0, other_name(world, holder))
    third = next(name for name in world.node_names if name not in (holder, other_name(world, holder)))
    world.submit("j-1", 1, node=third, run_s=30.0, bay="a")
    job, told = world.jobs["j-1"], []

    def ask() -> None:
        if answered_by == "status":
            state = world.poll("j-1", node=third)
        elif answered_by == "cancellation":
            state = "withdrawn" if world.abort("j-1", node=third) == 200 else None
        else:
            world.submit("j-1", 1, node=third, **{k: v for k, v in job.items() if k not in ("ref", "fronds")})
            state = world.last_told_state["j-1"]
        if state == "withdrawn" and not told:
            told.append(world.clock.now)
            world.told_cancelled["j-1"] = min(world.clock.now, world.told_cancelled.get("j-1", world.clock.now))

    world.run(12, lambda: "j-1" in world.asked_to_cancel and not told and ask())
    assert told, "no answer told of the cancellation"
    assert world.broken == []


@pytest.mark.parametrize("stale_for_s", [0.0, 1.0, 4.0, 9.0])
def test_response_to_report_starts_nothing_cancelled(stale_for_s):
    """Guards against: a start in the response to a report, from a holder whose watch of the state service lags."""
    world = ready_world(machines=6, capacity=6)
    holder = holder_name(world, "a")
    world.filter = lambda source, target, path: "lost" if path == "/commands" else None
    world.submit("j-1", 1, run_s=30.0, bay="a")
    assert world.run(5, lambda: world.leader().job_index.jobs["j-1"].placed_count() == 1)
    lagging_until = world.clock.now + seconds(stale_for_s)

    def lag(source: str, target: str, path: str) -> str | None:
        if source == holder and path.startswith("/follow") and world.clock.now < lagging_until:
            return "lost"
        return "lost" if path == "/commands" else None

    world.filter = lag
    assert world.abort("j-1", node=other_name(world, holder)) == 200
    world.run(stale_for_s + 12)
    assert world.broken == []
    assert world.running("j-1") == []


@pytest.mark.parametrize(
    "trouble", ["none", "one answered late", "one node down", "one node paused", "one of production"]
)
def test_confirmation_time(trouble):
    """The price of the rule: a confirmation takes a moment, and at most CONFIRMATION_DELAY more than its commit."""
    world = ready_world(machines=6, capacity=6)
    holder = holder_name(world, "a")
    world.submit("j-1", 1, run_s=60.0, bay="a")
    assert world.run(10, lambda: world.running("j-1") != [])
    if trouble == "one answered late":
        world.pause_before_reply = lambda source, path: 0.4 if source == holder else 0.0
    elif trouble == "one node down":
        world.kill_node(holder)
    elif trouble == "one node paused":
        world.suspend_node(holder, 30.0)
    elif trouble == "one of production":  # an earlier version, which does not tell the revision of its mirror
        peer = world.peer
        world.peer = lambda source, address: peer(source, address)._replace(fields={"fresh": True})
    asked_at = world.clock.now
    assert world.abort("j-1", node=other_name(world, holder)) == 200
    limit = seconds(0.5) if trouble == "none" else CONFIRMATION_DELAY + seconds(0.2)
    assert world.clock.now - asked_at <= limit
    world.run(20)
    assert world.broken == []


def test_ended_job_is_answered_at_once():
    world = ready_world(machines=6, capacity=6)
    world.submit("j-1", 1, run_s=60.0)
    assert world.run(10, lambda: world.running("j-1") != [])
    assert world.abort("j-1") == 200
    assert world.run(10, lambda: "l/job/j-1" not in world.store.data)
    for name in world.node_names:
        world.kill_node(name)
        world.start_node(name)
    world.run(5)
    asked_at = world.clock.now
    assert world.ask_all_nodes("j-1") == ["withdrawn"] * 3
    assert world.clock.now == asked_at


def test_late_commit_answer_delays_a_start_but_does_not_lose_it():
    """A start that came too late for its permit follows one comparison with the state service."""
    world = ready_world(machines=6, capacity=6)
    holder = holder_name(world, "a")
    paused = []

    def pause(source: str, path: str) -> float:
        placed = [key for key, entry in world.store.data.items() if key.startswith("l/run/j-1/") and entry[0]["p"]]
        if source == holder and path == "/commit" and placed and not paused:
            paused.append(world.clock.now)
            return MAX_KNOWLEDGE_AGE.total_seconds() + 0.5
        return 0.0

    world.pause_before_reply = pause
    world.submit("j-1", 1, node=other_name(world, holder), run_s=5.0, bay="a")
    assert world.run(20, lambda: world.poll("j-1", node=other_name(world, holder)) == "done")
    assert paused and world.broken == []
    permits = world.nodes[holder].start_permits
    assert permits.renewals <= 2


def test_ordinary_starts_need_no_comparison():
    """No request to the state service for each task: the commit that places a task permits its start."""
    world = ready_world(machines=6, capacity=6)
    for number in range(12):
        world.submit(f"j-{number}", 4, run_s=2.0, cpus=1.0, crew="blue")
    assert world.run(60, lambda: all(world.poll(f"j-{number}") == "done" for number in range(12)))
    assert sum(node.start_permits.renewals for node in world.nodes.values()) == 0


def test_start_permission_bounds():
    assert not may_start(None, seconds(5))
    assert may_start(seconds(5), seconds(5) + MAX_KNOWLEDGE_AGE - seconds(0.01))
    assert not may_start(seconds(5), seconds(5) + MAX_KNOWLEDGE_AGE)
    assert not may_confirm(seconds(5), seconds(5) + MAX_KNOWLEDGE_AGE)
    assert may_confirm(seconds(5), seconds(5) + CONFIRMATION_DELAY)


def test_checker_tells_a_start_in_flight_from_one_sent_later():
    assert cancelled_start_violations("j-1/0", None, seconds(1)) == []
    assert cancelled_start_violations("j-1/0", seconds(2), seconds(2)) == []
    assert cancelled_start_violations("j-1/0", seconds(2), None) == []
    assert len(cancelled_start_violations("j-1/0", seconds(2), seconds(2.1))) == 1


def test_withheld_start_is_not_in_the_response():
    world = ready_world(machines=6, capacity=6)
    world.submit("j-1", 1, run_s=60.0)
    assert world.run(10, lambda: world.running("j-1") != [])
    worker = worker_of(world, "j-1/0")
    node = world.nodes[holder_name(world, worker.zone)]
    placements = dict(node.job_index.placements_on(worker.name))
    placement = next(iter(placements.values()))
    placement.was_reported = False
    response = build_response(1, [], placements, lambda attempt: True, may_start=lambda p: False)
    assert (response.commands, response.starts, response.withheld) == ([], [], [placement])


def test_transport_asks_for_permission_once_the_connection_is_ready():
    """Guards against: a start that waits for a connection is sent although the permission ended meanwhile."""
    received = []

    def serve(connection, address) -> None:
        while content := connection.recv(4096):
            received.append(content)
            gevent.sleep(0.2)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    try:
        transport = HttpTransport(1, max_requests=1)
        address = f"127.0.0.1:{server.server_port}"
        permitted = [True]
        first = gevent.spawn(transport.request, address, "POST", "/commands", b"{}", seconds(2), lambda: permitted[0])
        second = gevent.spawn(transport.request, address, "POST", "/commands", b"{}", seconds(2), lambda: permitted[0])
        gevent.sleep(0.1)
        permitted[0] = False
        assert first.get().status == 200
        with pytest.raises(RequestWithheld):
            second.get()
        assert len(received) == 1
        assert transport.request(address, "GET", "/status", None, seconds(2)).status == 200
        assert len(received) == 2, "the connection was not given back"
    finally:
        server.stop()


def test_transport_tells_no_response_from_withheld():
    with pytest.raises(NoResponse):
        HttpTransport().request("127.0.0.1:1", "GET", "/status", None, seconds(1), lambda: True)
