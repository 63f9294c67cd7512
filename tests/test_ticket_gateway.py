"""Ticket gateways in the simulated world.

A ticket is accepted whole or not at all, runs as often as its class allows, and gets one final answer.
"""

import io
import subprocess
import sys
import tomllib
from dataclasses import replace
from datetime import UTC, datetime, timedelta
from pathlib import Path

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpjunction.clock import ZERO
from kelpjunction.intake import UserResponse
from kelpjunction.lab.site import STORE_LIMITS
from kelpjunction.lab.ticket_simulation import (
    BROKEN_IMAGE,
    RERUN_PAUSE,
    TEAMS,
    TicketSimulation,
    TicketWorld,
    ticket,
    ticket_class,
)
from kelpjunction.lab.usage_observer import UsageObserver
from kelpjunction.settings import SettingsError
from kelpjunction.store.access import MAX_SIBLING_SILENCE
from kelpjunction.tickets.classes import RerunPolicy, load_tickets, runs_again
from kelpjunction.tickets.gateway import Application
from kelpjunction.tickets.plan import Plan, Step, SubmissionOptions, build_plan
from kelpjunction.tickets.progress import FinalRecord, FinalState, StepState, TicketProgress
from kelpjunction.tickets.records import HEAD_PREFIX, PART_PREFIX, STAGE_PREFIX, TICKET_PREFIX

NOW = datetime(2026, 3, 1, tzinfo=UTC)


def start_world(**overrides) -> TicketWorld:
    world = TicketWorld(**{"seed": 1, "machines": 9, "capacity": 12, "teams": TEAMS} | overrides)
    world.run(6)
    return world


def submit(world: TicketWorld, fields: dict, gateway: str | None = None) -> tuple[int | None, dict]:
    return world.ask_gateway("submit", orjson.dumps(fields), gateway)


def state(world: TicketWorld, run: str, gateway: str | None = None) -> str | None:
    return world.ask_gateway("show", run, gateway)[1].get("state")


def await_end(world: TicketWorld, run: str, within: float = 90.0) -> dict:
    assert world.run(within, lambda: state(world, run) in ("done", "failed", "cancelled")), state(world, run)
    return world.ask_gateway("show", run)[1]


def records(world: TicketWorld, *prefixes: str) -> list[str]:
    return [key for key in world.store.data if key.startswith(prefixes or ("t/head", "t/l/ticket", "t/end", "t/part"))]


# -- from acceptance to the final answer --------------------------------------------------


@pytest.mark.parametrize("kind", ["single", "chain", "diamond", "wide", "long"])
def test_ticket_is_done_when_all_steps_are_done(kind):
    world = start_world()
    status, answer = submit(world, ticket(kind, "once", 1, tasks=70 if kind == "wide" else 2))
    assert (status, answer["state"]) == (201, "pending")
    final = await_end(world, answer["ticket"])
    assert final["state"] == "done"
    assert set(final["steps"]) == {"done"}
    assert all(state(world, answer["ticket"], name) == "done" for name in world.gateways)
    assert world.broken == []


def test_steps_start_after_those_they_depend_on():
    world = start_world()
    submit(world, ticket("chain", "once", 1))
    assert world.run(30, lambda: [s["state"] for s in steps(world)] == ["done", "sent", "waiting"])
    first, second, third = steps(world)
    assert (first["done"], third.get("job")) == (3, None)
    assert f"l/job/{second['job']}" in world.store.data


def steps(world: TicketWorld) -> list[dict]:
    return world.ask_gateway("show", "chain-1")[1]["steps"]


def test_ticket_survives_the_loss_of_the_driving_gateway():
    world = start_world()
    submit(world, ticket("chain", "once", 1, run=6.0))
    for _ in range(2):
        assert world.run(20, lambda: world.driver_name() is not None)
        world.gateways[world.driver_name()] = None
        world.run(4)
        for name in [n for n, g in world.gateways.items() if g is None]:
            world.start_gateway(name)
    assert await_end(world, "chain-1.1")["state"] == "done"


def test_paused_gateway_cannot_start_a_step_of_a_cancelled_ticket():
    """The ticket is cancelled through another gateway between the first one's last read and its write.

    The write must fail.
    """
    world = start_world()
    submit(world, ticket("chain", "once", 1))
    assert world.run(10, lambda: world.driver_name() is not None)
    stale = world.gateways[world.driver_name()]
    other = next(n for n in world.gateways if n != stale.settings.name)
    world.paused_until[stale.settings.name] = world.clock.now + timedelta(hours=1)
    assert world.run(30, lambda: not records(world, "l/job/")), "the first step did not end"
    assert world.ask_gateway("cancel", "chain-1", other)[1]["state"] == "cancelled"
    jobs = set(records(world, "l/job/", "e/"))
    stale.follow(stale.jobs)  # reads that the job ended, but not the cancellation
    stale.reconcile()
    assert set(records(world, "l/job/", "e/")) == jobs
    world.paused_until.clear()
    world.run(50)
    assert set(records(world, "l/job/", "e/")) == jobs
    assert all(state(world, "chain-1", name) == "cancelled" for name in world.gateways)


def test_lagging_gateway_reports_no_stale_state():
    world = start_world()
    submit(world, ticket("chain", "once", 1, run=20.0))
    world.run(2)
    world.paused_until["gate-1"] = world.clock.now + timedelta(hours=1)
    assert world.ask_gateway("cancel", "chain-1", "gate-0")[1]["state"] == "cancelled"
    answer = world.gateways["gate-1"].ticket_requests.show("chain-1")
    assert (answer.status, orjson.loads(answer.body)["state"]) == (200, "cancelled")


def test_lagging_gateway_does_not_cancel_an_ended_job():
    """The gateway's copy of the job is older than the job's end.

    If it wrote the job's record again, the job would run a second time.
    """
    world = start_world()
    submit(world, ticket("single", "once", 1))
    world.run(1)
    for name in world.gateways:
        world.paused_until[name] = world.clock.now + timedelta(hours=1)
    assert world.run(30, lambda: not records(world, "l/job/"))
    answer = world.gateways["gate-1"].ticket_requests.cancel("single-1")
    assert (answer.status, orjson.loads(answer.body)["state"]) == (200, "done")
    assert records(world, "l/job/") == []


def test_part_written_after_its_plan_was_swept_leaves_no_record():
    """The write of a plan's part is delayed until the staged plan that it belongs to has been swept."""
    world = start_world(machines=3, gateways=1)
    world.late_request_delay_s = (400.0, 400.0)
    held: list[str] = []

    def fate(source: str, target: str, path: str) -> str | None:
        if source == "gate-0" and path == "/commit" and records(world, STAGE_PREFIX) and not held:
            held.append(path)
            return "held"
        return None

    world.filter = fate
    assert submit(world, ticket("long", "once", 1, tasks=1))[0] == 503
    world.run(450)
    assert held
    assert records(world, "t/") == [key for key in records(world, "t/") if key.startswith("t/l/")]


# -- acceptance is atomic -------------------------------------------------------------------


@pytest.mark.parametrize("fate", ["before", "after"])
def test_crash_at_any_request_of_an_acceptance_leaves_all_or_nothing(fate):
    """The plan exceeds the size limit of a record, so owner, parts and acceptance are separate transactions."""
    fields = ticket("long", "once", 1, tasks=1)
    crash_count = 0
    for at in range(20):
        world = start_world(gateways=1, machines=3)
        left = [at]

        def kill(name: str, path: str, left=left) -> str | None:
            left[0] -= 1
            return fate if left[0] == -1 else None

        world.kill_decision = kill
        status, _ = submit(world, fields)
        world.kill_decision = lambda name, path: None
        if status is not None:
            assert status == 201
            break
        crash_count += 1
        whole = bool(records(world, TICKET_PREFIX))
        assert bool(records(world, HEAD_PREFIX)) is whole
        world.run(10)
        assert submit(world, fields)[0] == (200 if whole else 201)
        assert len(records(world, TICKET_PREFIX, "t/end/")) == 1
        if at == 3 and not whole:
            assert await_end(world, "long-1.1", 200)["state"] == "done"
            world.run(330)
            assert records(world, PART_PREFIX, STAGE_PREFIX) == [], "records of the plan that was not accepted are left"
    assert crash_count >= 6


def test_swept_plan_of_paused_gateway_is_staged_again():
    """The gateway pauses between staging and acceptance, and the staged parts are swept in that time.

    The acceptance must fail, and the plan is staged again.
    """
    world = start_world(machines=3)
    fields = ticket("long", "once", 1, tasks=1)
    paused = "gate-0"

    def wait(name: str, path: str) -> None:
        staged = [world.store.data[key][0]["parts"] for key in records(world, STAGE_PREFIX)]
        if name == paused and path == "/commit" and staged == [len(records(world, PART_PREFIX))] and not waited:
            waited.append(path)
            world.paused_until[paused] = world.clock.now + timedelta(minutes=20)
            world.run(600, lambda: not records(world, PART_PREFIX))
            del world.paused_until[paused]

    waited: list[str] = []
    world.kill_decision = wait
    status, _ = submit(world, fields, paused)
    assert (status, waited) == (201, ["/commit"])
    token = world.store.data["t/l/ticket/long-1.1"][0]["plan"][0]
    assert all(token in key for key in records(world, PART_PREFIX, STAGE_PREFIX))
    assert await_end(world, "long-1.1")["state"] == "done"


@pytest.mark.parametrize(
    ("change", "status", "said"),
    [
        ({"team": "nobody"}, 422, "unknown team nobody"),
        ({"cpus": 900.0}, 422, "a task fits no allowed machine type"),
        ({"class": "nope"}, 422, "the known classes are once"),
        ({"template": "steps: ["}, 400, "neither JSON nor YAML"),
        ({"id": "a/b"}, 400, "id"),
        ({"parameters": {"F": 1}}, 400, "parameters"),
        ({"template": {"specificationVersion": "jobtemplate-2023-09", "name": "x", "steps": []}}, 400, "steps"),
    ],
)
def test_refusal_names_the_fault_and_leaves_no_record(change, status, said):
    world = start_world(machines=3)
    got, answer = submit(world, ticket("chain", "once", 1) | change)
    assert got == status, answer
    assert said in orjson.dumps(answer).decode()
    assert records(world) == []


def test_step_with_too_large_job_record_is_refused():
    world = start_world(machines=3)
    fields = ticket("single", "once", 1)
    types = ["box", *(f"m{n:060d}" for n in range(49))]
    attribute = {"name": "attr.machine_type", "anyOf": types}
    fields["template"]["steps"][0]["hostRequirements"] = {"attributes": [attribute]}
    fields["image"] = "x" * 100
    world.gateways["gate-0"].store.limits = replace(STORE_LIMITS, value_bytes=3000)
    status, answer = submit(world, fields, "gate-0")
    assert (status, answer["faults"][0]["rule"]) == (422, "a step's job takes at most 3000 bytes")
    assert records(world) == []


def test_node_imports_no_ticket_module():
    """A node has as little as 146 MB of memory."""
    code = "import kelpjunction.daemon, sys; sys.exit(any('tickets' in m or 'openjd' in m for m in sys.modules))"
    assert subprocess.run([sys.executable, "-c", code]).returncode == 0


def test_several_faults_are_reported_in_one_answer():
    world = start_world(machines=3)
    status, answer = submit(world, ticket("chain", "once", 1) | {"cpus": 900.0})
    assert (status, [f["path"] for f in answer["faults"]]) == (422, ["steps.a", "steps.b", "steps.c"])


# -- reruns by class ---------------------------------------------------------------------------


def test_runs_again_by_class():
    def end(final: FinalState, ago: timedelta) -> FinalRecord:
        return FinalRecord(final, NOW - ago, NOW - ago + timedelta(days=1), (), None)

    done, failed = end(FinalState.DONE, RERUN_PAUSE / 2), end(FinalState.FAILED, RERUN_PAUSE / 2)
    paused, forgotten = end(FinalState.DONE, RERUN_PAUSE), end(FinalState.DONE, timedelta(days=1))
    table = {
        RerunPolicy.ONCE: [(1, None, False), (1, done, False), (1, failed, False), (1, forgotten, True)],
        RerunPolicy.AFTER_FAILURE: [(1, None, False), (1, done, False), (1, failed, True), (2, failed, False)],
        RerunPolicy.AFTER_PAUSE: [(1, None, False), (1, failed, False), (1, done, False), (9, paused, True)],
        RerunPolicy.ALWAYS: [(1, None, True), (7, done, True)],
    }
    for runs, cases in table.items():
        klass = ticket_class("c", runs)
        for run, last, again in cases:
            assert runs_again(klass, run, last, NOW) is again, (runs, run, last)


def test_the_same_ticket_through_two_gateways_runs_once():
    """Without an id from the client, the id is derived from the content, independent of the order of its keys."""
    world = start_world()
    fields = {k: v for k, v in ticket("chain", "once", 1).items() if k != "id"}
    first = submit(world, fields, "gate-0")
    again = submit(world, dict(reversed(fields.items())), "gate-1")
    assert (first[0], again[0]) == (201, 200)
    assert first[1]["ticket"] == again[1]["ticket"]
    assert len(records(world, TICKET_PREFIX)) == 1


def test_same_ticket_accepted_by_two_gateways_at_once_runs_once():
    """The second gateway accepts the ticket between the first one's read of the head and its acceptance."""
    world = start_world()
    fields = ticket("chain", "once", 1)
    other: list[tuple[int | None, dict]] = []

    def submit_to_other(name: str, path: str) -> None:
        if name == "gate-0" and path == "/commit" and not other:
            other.append((None, {}))
            other[0] = submit(world, fields, "gate-1")

    world.kill_decision = submit_to_other
    status, answer = submit(world, fields, "gate-0")
    assert (status, other[0][0], answer["ticket"]) == (200, 201, other[0][1]["ticket"])
    assert len(records(world, TICKET_PREFIX, "l/job/")) == 2, "expected one run and the job of its first step"


def test_a_known_ticket_keeps_its_class():
    """Otherwise a client could run a ticket of class `once` again by naming another class."""
    world = start_world()
    fields = ticket("single", "once", 1)
    submit(world, fields)
    for klass in ("always", "nope"):
        assert submit(world, fields | {"class": klass})[0] == 200


def test_reused_id_with_other_content_is_reported():
    world = start_world()
    fields = ticket("single", "once", 1)
    submit(world, fields)
    assert "same_content" not in submit(world, fields)[1]
    assert submit(world, fields | {"template": ticket("chain", "once", 1)["template"]})[1]["same_content"] is False


def test_failed_ticket_runs_again_as_its_class_allows_and_each_run_keeps_its_answer():
    world = start_world()
    fields = ticket("failing", "after-failure", 1)
    assert submit(world, fields)[0] == 201
    first = await_end(world, "failing-1.1")
    assert first["state"] == "failed"
    assert first["failure"]["step"] == "a"
    assert first["failure"]["unfinished"] == 3
    assert submit(world, fields)[1] == {"ticket": "failing-1.2", "state": "pending"}
    await_end(world, "failing-1.2")
    assert submit(world, fields)[1]["ticket"] == "failing-1.2"
    assert world.ask_gateway("show", "failing-1.1")[1] == first


def test_ticket_records_are_removed_after_remember_window():
    short = ticket_class("once", RerunPolicy.ONCE, remember=timedelta(seconds=60))
    world = start_world(classes={"once": short}, machines=3)
    fields = ticket("single", "once", 1)
    submit(world, fields)
    await_end(world, "single-1.1")
    assert submit(world, fields)[0] == 200
    for name in world.gateways:  # the records survive the restart of every gateway
        world.gateways[name] = None
        world.start_gateway(name)
    world.run(5)
    assert submit(world, fields)[0] == 200
    assert submit(world, ticket("chain", "once", 1))[0] == 201
    idle = next(name for name in world.gateways if name != world.driver_name())
    assert world.ask_gateway("cancel", "chain-1", idle)[0] == 200  # it ends through a gateway that does not drive it
    world.run(90)
    assert records(world) == []
    assert state(world, "single-1") is None
    assert submit(world, fields)[0] == 201


# -- failure and cancellation ------------------------------------------------------------------


def ticket_progress(*states: StepState) -> TicketProgress:
    return TicketProgress("c", "red", NOW, states, "", "")


def diamond() -> Plan:
    links = {"a": (), "b": ("a",), "c": ("a",), "d": ("b", "c")}
    return build_plan(
        "t-1", "n", [Step(name, 1, depends_on=after) for name, after in links.items()], SubmissionOptions("red")
    )


def test_failed_step_cancels_its_dependents_and_the_class_decides_on_the_rest():
    w, s, d, f, c = StepState
    made, now = diamond(), ticket_progress(d, s, s, w)
    after = now.with_step_states({1: f}).with_blocked_steps_cancelled(made)
    assert after.states == (d, f, s, c)
    assert now.with_step_states({1: f}).with_submission_stopped().states == (d, f, s, c)
    assert ticket_progress(w, w, w, w).ready_steps(made) == [0]
    assert ticket_progress(d, d, s, w).ready_steps(made) == []
    with pytest.raises(ValueError, match="can't go from DONE"):
        now.with_step_states({0: s})


@given(st.lists(st.tuples(st.integers(0, 3), st.sampled_from(StepState)), max_size=12), st.integers(0, 12))
def test_ticket_progress_ends_once_and_its_record_is_complete(changes, stop_at):
    now = ticket_progress(*[StepState.WAITING] * 4)
    for number, (place, to) in enumerate(changes):
        if number == stop_at and now.final_state is None:
            now = now.with_submission_stopped(cancelled=True)
        was = now.final_state
        try:
            now = now.with_step_states({place: to})
        except ValueError:
            continue
        assert was is None, "a step changed its state after all steps had ended"
        assert TicketProgress.parse(orjson.loads(orjson.dumps(now.record()))) == now
    assert now.final_state is not FinalState.DONE or now.states == (StepState.DONE,) * 4


@pytest.mark.parametrize("after", [0.0, 4.0, 8.0])
def test_cancelled_ticket_ends_at_once_with_all_its_jobs(after):
    world = start_world()
    submit(world, ticket("long", "once", 1, run=30.0, tasks=1))
    submit(world, ticket("chain", "once", 1, run=4.0))
    world.run(after)
    for run in ("long-1", "chain-1"):
        status, answer = world.ask_gateway("cancel", run)
        assert (status, answer["state"]) == (200, "cancelled")
        assert world.ask_gateway("cancel", run)[1] == answer
    assert all(v[0].get("cancelled") for k, v in world.store.data.items() if k.startswith("l/job/"))
    assert world.run(world.times.cancel.total_seconds(), lambda: not world.running())
    assert [state(world, run) for run in ("long-1", "chain-1")] == ["cancelled", "cancelled"]


def test_done_ticket_cannot_be_cancelled():
    world = start_world()
    submit(world, ticket("single", "once", 1))
    done = await_end(world, "single-1")
    assert world.ask_gateway("cancel", "single-1") == (200, done)


def test_job_cancelled_by_another_client_fails_its_ticket():
    world = start_world()
    submit(world, ticket("chain", "once", 1, run=20.0))
    job = world.ask_gateway("show", "chain-1")[1]["steps"][0]["job"]
    assert world.abort(job) == 200
    failure = await_end(world, "chain-1")["failure"]
    assert (failure["step"], "cancelled by somebody else" in failure["why"]) == ("a", True)


def test_class_decides_whether_independent_steps_are_stopped_or_finish():
    """One of two independent steps fails while the other runs."""
    for klass, others in (("once", {"failed": 1, "cancelled": 1}), ("finish", {"failed": 1, "done": 1})):
        world = start_world()
        fields = ticket("diamond", klass, 1, run=40.0)
        template = fields["template"]
        template["steps"] = [step | {"dependencies": []} for step in template["steps"][:2]]
        for step in template["steps"]:
            del step["dependencies"]
        submit(world, fields)
        first = world.ask_gateway("show", "diamond-1")[1]["steps"][0]["job"]
        world.jobs[first] = world.job(first) | {"bundle": BROKEN_IMAGE}
        assert await_end(world, "diamond-1", 150)["steps"] == others


def test_store_outage_gives_503_for_all_requests():
    world = start_world(machines=3)
    submit(world, ticket("chain", "once", 1))
    world.fault("outage")
    assert [submit(world, ticket("chain", "once", n))[0] for n in (1, 2)] == [503, 503]
    assert [world.ask_gateway(what, "chain-1")[0] for what in ("show", "cancel")] == [503, 503]


def test_gateway_stays_healthy_in_an_outage_for_all():
    """Regression: each gateway left its load balancer in every outage of more than 4 s."""
    world = start_world(machines=3)
    world.store.outage(True)
    world.run(MAX_SIBLING_SILENCE.total_seconds() + 10)
    assert all(gateway.healthy for gateway in world.gateways.values())


@pytest.mark.parametrize("hears_nodes, within_s", [(True, 10.0), (False, MAX_SIBLING_SILENCE.total_seconds() + 10)])
def test_isolated_gateway_is_unhealthy_until_it_reaches_the_state_service(hears_nodes, within_s):
    world = start_world(machines=3)
    world.cut_from_store = {"gate-0"}
    world.cut_from_peers = set() if hears_nodes else {"gate-0"}
    assert world.run(within_s, lambda: not world.gateways["gate-0"].healthy)
    assert world.gateways["gate-1"].healthy
    world.isolate_together()
    assert world.run(5, lambda: world.gateways["gate-0"].healthy)


# -- usage accounting ---------------------------------------------------------------------------


def test_ticket_is_charged_like_equal_native_job():
    held = []
    for native in (False, True):
        world = start_world(gateways=1)
        account = UsageObserver(world.store, world.clock)
        fields = ticket("wide", "once", 1, run=7.0, tasks=70)
        if native:
            what = {"crew": "farm", "stripe": "once", "cpus": 1.0, "ram_gb": 1.0, "bundle": "img", "expect_s": 7.0}
            assert world.submit("j-1", 70, image_gb=1.0, **what) == 201
        else:
            assert submit(world, fields)[0] == 201
        assert world.run(200, lambda world=world: not records(world, "l/job/"))
        held.append(account.by_team())
    assert held[0] == held[1] != {}


@pytest.mark.parametrize("seed", [1, 2])
def test_tickets_and_native_jobs_together_through_kills_and_outages(seed):
    """A shorter run of `benchmarks/tickets.py mixed`, which submits a thousand tickets."""
    verdict = TicketSimulation(seed, tickets=40, length=120.0).play()
    assert verdict.problems == []
    assert verdict.ledger == verdict.observed_usage
    assert verdict.faults >= 5
    assert set(verdict.ends) == {"done", "failed", "cancelled"}


# -- HTTP interface --------------------------------------------------------------------------------


def ask(world: TicketWorld, method: str, path: str, body: bytes = b"", length: int | None = None) -> UserResponse:
    """Send a request through the WSGI application, as the HTTP server does."""
    responses = []
    environ = {
        "REQUEST_METHOD": method, "PATH_INFO": path, "wsgi.input": io.BytesIO(body),
        "CONTENT_LENGTH": str(len(body) if length is None else length),
    }  # fmt: skip
    gateway = next(g for g in world.gateways.values() if g is not None)
    content = b"".join(Application(gateway)(environ, lambda status, headers: responses.append((status, dict(headers)))))
    (status, headers) = responses[0]
    return UserResponse(int(status[:3]), content, headers.get("Retry-After"))


SHARED_WORLDS: list[TicketWorld] = []


def shared_world() -> TicketWorld:
    if not SHARED_WORLDS:
        SHARED_WORLDS.append(start_world(machines=3, gateways=1))
    return SHARED_WORLDS[0]


json = st.recursive(
    st.none() | st.booleans() | st.integers(-(10**20), 10**20) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner, max_size=4),
    max_leaves=12,
)


@settings(max_examples=80)
@given(st.data())
def test_arbitrary_body_is_refused_with_a_reason_and_leaves_no_record(data):
    """Random bytes, random JSON, and a valid submission with one field replaced."""
    fields = ticket("chain", "once", 1)
    name = data.draw(st.sampled_from(sorted(fields)))
    value = data.draw(json)
    body = data.draw(
        st.sampled_from([data.draw(st.binary(max_size=60)), encode_json(value), encode_json(fields | {name: value})])
    )
    world = shared_world()
    before = records(world)
    answer = ask(world, "POST", "/api/tickets", body)
    if answer.status == 201:
        run = orjson.loads(answer.body)["ticket"]
        assert ask(world, "POST", f"/api/tickets/{run}/cancel").status == 200
        return
    assert answer.status in (200, 400, 422)
    assert answer.status == 200 or orjson.loads(answer.body)["error"]
    assert records(world) == before


def encode_json(value) -> bytes:
    try:
        return orjson.dumps(value)
    except TypeError:  # an integer beyond 64 bits
        return str(value).encode()


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("GET", "/api/tickets", b"", 405),
        ("GET", "/api/tickets/t-1", b"", 404),
        ("GET", "/api/tickets/../x", b"", 404),
        ("GET", "/api/tickets/a.0", b"", 404),
        ("POST", "/api/tickets/t-1/cancel", b"{}", 404),
        ("PUT", "/api/tickets/t-1/cancel", b"", 405),
        ("POST", "/api/tickets", b"x" * 70_000, 400),
        ("POST", "/api/tickets", b"[" * 2_000, 400),
        ("GET", "/healthz", b"", 200),
        ("GET", "/", b"", 404),
    ],
)
def test_http_status_by_method_and_path(method, path, body, status):
    assert ask(shared_world(), method, path, body).status == status


@pytest.mark.parametrize("values", ["1-1000000000", "1-100000,100001-200000"])
def test_expansions_to_millions_are_refused_before_they_are_expanded(values):
    fields = ticket("single", "once", 9)
    define = {"name": "F", "type": "INT", "range": values}
    space = {"taskParameterDefinitions": [define, define | {"name": "G"}], "combination": "F * G"}
    fields["template"]["steps"][0]["parameterSpace"] = space
    answer = ask(shared_world(), "POST", "/api/tickets", orjson.dumps(fields))
    assert answer.status == 400
    assert "a step has 1 to 100000 tasks" in orjson.loads(answer.body)["error"]


def test_wrong_settings_are_named(tmp_path):
    file = tmp_path / "tickets.json"
    file.write_text('{"name": "g", "listen": "127.0.0.1:1", "classes": {"c": {"runs": "sometimes"}}}')
    with pytest.raises(SettingsError, match=r"classes\.c\.runs"):
        load_tickets(file)
    file.write_text('{"name": "g", "listen": "127.0.0.1:1", "classes": {"c": {"runs": "once"}}}')
    klass = load_tickets(file).ticket_class("c")
    assert (klass.rerun_policy, klass.retention, klass.min_rerun_interval > ZERO) == (
        RerunPolicy.ONCE,
        timedelta(days=31),
        True,
    )
    assert load_tickets(file).ticket_class("gone").rerun_policy is RerunPolicy.ONCE


def test_settings_under_deploy_are_valid_and_named_in_its_start_command():
    deploy = Path(__file__).resolve().parent.parent / "deploy"
    assert {klass.rerun_policy for klass in load_tickets(deploy / "tickets.json").classes.values()} == set(RerunPolicy)
    assert "--settings deploy/tickets.json --config" in tomllib.loads((deploy / "gateway.toml").read_text())["run"]
