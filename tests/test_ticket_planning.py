"""Planning of render-farm job tickets: which jobs and tasks a ticket becomes, and how faults are reported.

A ticket with any fault is refused as a whole, and each fault is reported with its path.
"""

from decimal import Decimal
from itertools import product
from pathlib import Path

import orjson
import pytest
import yaml
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from kelpjunction.cli import main
from kelpjunction.tickets import job_template
from kelpjunction.tickets.plan import (
    MAX_TASKS_PER_STEP,
    Amount,
    Step,
    SubmissionOptions,
    TicketRejected,
    build_plan,
    job_ref,
    ticket_id,
)
from kelpjunction.wire import users

ROOT = Path(__file__).resolve().parent.parent
RUN = {"actions": {"onRun": {"command": "match", "args": ["{{Task.Param.Frame}}"]}}}
OPTIONS = SubmissionOptions("red")


def template(*steps: dict, **fields) -> dict:
    return {"specificationVersion": "jobtemplate-2023-09", "name": "race", "steps": list(steps)} | fields


def step(name: str, **fields) -> dict:
    return {"name": name, "script": {"actions": {"onRun": {"command": "match"}}}} | fields


def read(document: dict, **parameters: str):
    return read_text(orjson.dumps(document), parameters)


def read_text(text: bytes, parameters: dict[str, str]):
    return job_template.resolve(job_template.parse_document(text), parameters)


def faults(document, **parameters: str) -> list[str]:
    """Return the faults for which a ticket is refused, one line each."""
    with pytest.raises(TicketRejected) as refused:
        name, steps = read(document, **parameters) if isinstance(document, dict) else read_text(document, {})
        build_plan("t-1", name, steps, OPTIONS)
    return [str(fault) for fault in refused.value.violations]


# -- plans of valid tickets --------------------------------------------------------------


def test_steps_become_jobs_in_dependency_order():
    asked = {
        "amounts": [
            {"name": "amount.worker.vcpu", "min": 4},
            {"name": "amount.worker.memory", "min": 8192},
            {"name": "amount.worker.gpu", "min": 1},
        ],
        "attributes": [
            {"name": "attr.worker.os.family", "anyOf": ["linux", "windows"]},
            {"name": "attr.zone", "anyOf": ["regina"]},
            {"name": "attr.machine_type", "anyOf": ["big-box", "photo-box"]},
        ],
    }
    document = template(
        step("publish", dependencies=[{"dependsOn": "match"}, {"dependsOn": "fetch"}]),
        step("match", dependencies=[{"dependsOn": "fetch"}], hostRequirements=asked),
        step("fetch"),
    )
    name, steps = read(document)
    plan = build_plan("t-1", name, steps, OPTIONS)
    assert [j.name for j in plan.jobs] == ["fetch", "match", "publish"]
    _, match, publish = plan.jobs
    assert (match.depends_on, publish.depends_on) == ((0,), (0, 1))
    spec = match.spec
    assert (spec.cpus, spec.memory, spec.gpus) == (4.0, 8.0, 1.0)
    assert (spec.zone, spec.types) == ("regina", ("big-box", "photo-box"))
    assert all(users.parse_job(users.fields_from_job(j.spec)) == j.spec for j in plan.jobs), (
        "a job differs after a round trip through its submission fields"
    )


def test_each_chunk_becomes_a_task():
    space = {"name": "F", "type": "CHUNK[INT]", "range": "1-95", "chunks": {
        "defaultTaskCount": 10, "rangeConstraint": "CONTIGUOUS"}}  # fmt: skip
    document = template(step("c", parameterSpace={"taskParameterDefinitions": [space]}), extensions=["TASK_CHUNKING"])
    _, (chunked,) = read(document)
    assert chunked.tasks == 10
    bounds = [tuple(map(int, chunked.parameters(i)["F"].split("-"))) for i in range(10)]
    assert [n for first, last in bounds for n in range(first, last + 1)] == list(range(1, 96))


values = st.lists(st.integers(-50, 50), min_size=1, max_size=6, unique=True)


@given(
    values, st.integers(1, 40), st.lists(st.text("abc", min_size=1, max_size=3), min_size=1, max_size=4, unique=True)
)
def test_tasks_cover_the_parameter_space_exactly_once(numbers, frames, words):
    """The space is the product of a list, a range and an association of two lists; each point is exactly one task."""
    space = {
        "taskParameterDefinitions": [
            {"name": "N", "type": "INT", "range": numbers},
            {"name": "Frame", "type": "INT", "range": f"1-{frames}"},
            {"name": "W", "type": "STRING", "range": words},
            {"name": "I", "type": "INT", "range": list(range(len(words)))},
        ],
        "combination": "N * Frame * (W, I)",
    }
    _, (planned_step,) = read(template(step("s", parameterSpace=space)))
    points = [tuple(planned_step.parameters(i)[n] for n in ("N", "Frame", "W", "I")) for i in range(planned_step.tasks)]
    wanted = {
        (str(n), str(f), w, str(i)) for n, f, (i, w) in product(numbers, range(1, frames + 1), list(enumerate(words)))
    }
    assert len(points) == len(wanted)
    assert set(points) == wanted


def test_ticket_id_depends_on_content_and_job_refs_on_id():
    assert ticket_id({"a": 1, "b": [2]}) == ticket_id({"b": [2], "a": 1}) != ticket_id({"a": 1, "b": [3]})
    refs = {job_ref(ticket, n) for ticket in ("t-1", "t-2") for n in range(100)}
    assert len(refs) == 200
    assert all(users.valid_ref(ref) for ref in refs)


# -- refused tickets -----------------------------------------------------------------------


def test_every_fault_has_its_path_and_rule():
    asked = {
        "amounts": [{"name": "amount.worker.vcpu", "min": 2, "max": 8}, {"name": "amount.licence", "min": 1}],
        "attributes": [
            {"name": "attr.worker.os.family", "anyOf": ["windows"]},
            {"name": "attr.zone", "anyOf": ["a", "b"]},
            {"name": "attr.colour", "anyOf": ["red"]},
        ],
    }
    space = {"taskParameterDefinitions": [{"name": "F", "type": "INT", "range": "1-1000000000"}]}
    found = faults(template(step("a"), step("b", hostRequirements=asked, parameterSpace=space)))
    assert [fault.split(":")[0] for fault in found] == [
        "steps[1].hostRequirements.amounts[0].max",
        "steps[1].hostRequirements.amounts[1].name",
        "steps[1].hostRequirements.attributes[0]",
        "steps[1].hostRequirements.attributes[1]",
        "steps[1].hostRequirements.attributes[2].name",
        "steps[1].parameterSpace",
    ]
    assert found[-1].endswith(f"a step has 1 to {MAX_TASKS_PER_STEP} tasks (it is 1000000000)")


@pytest.mark.parametrize(
    ("document", "said"),
    [
        (template(), "steps: List should have at least 1 item"),
        (template(step("a", dependencies=[{"dependsOn": "b"}])), "Unknown step 'b'"),
        (template(step("a"), name=5), "name: String required"),
        (template(step("a"), extra=1), "extra"),
        (template(step("a"), specificationVersion="jobtemplate-1999"), "jobtemplate-1999"),
        (template(*(step(a, dependencies=[{"dependsOn": b}]) for a, b in ("ab", "ba"))), "a cycle"),
        (b"[]", "a ticket is an object"),
        (b"a: [", "neither JSON nor YAML"),
        (b"\xff\xfe\x00", "neither JSON nor YAML"),
        (b"[" * 5000, "nested at most 32 deep"),
        (b"a: &x [1]\nb: *x\n", "YAML aliases are not supported"),
        (b"x" * 70_000, "at most 65536 bytes"),
    ],
)
def test_malformed_ticket_is_refused_with_a_reason(document, said):
    assert any(said in fault for fault in faults(document)), faults(document)


def test_parameters_are_checked_against_their_definitions():
    document = template(
        step("a"),
        parameterDefinitions=[{"name": "Frames", "type": "INT", "maxValue": 10}, {"name": "Race", "type": "STRING"}],
    )
    assert "Race" in faults(document, Frames="3")[0]
    assert "Nope" in faults(document, Frames="3", Race="x", Nope="1")[0]
    assert any("Frames" in fault for fault in faults(document, Frames="11", Race="x"))
    assert read(document, Frames="3", Race="x")[0] == "race"


@given(st.data())
def test_mutated_ticket_is_refused_or_fully_planned(data):
    """A ticket with values removed or replaced is refused with reasons, or its plan has a job for every step."""
    space = {"taskParameterDefinitions": [{"name": "F", "type": "INT", "range": "1-9"}]}
    document = template(step("a"), step("b", dependencies=[{"dependsOn": "a"}], parameterSpace=space))
    for _ in range(data.draw(st.integers(1, 3))):
        at, keys = document, []
        while isinstance(at, dict | list) and at:
            key = data.draw(st.sampled_from(sorted(at) if isinstance(at, dict) else range(len(at))))
            keys.append((at, key))
            if data.draw(st.booleans()):
                break
            at = at[key]
        container, key = keys[-1]
        if data.draw(st.booleans()):
            del container[key]
        else:
            container[key] = data.draw(
                st.one_of(st.none(), st.integers(-5, 10**12), st.text(max_size=5), st.just([{}]))
            )
    try:
        name, steps = read_text(yaml.safe_dump(document).encode(), {})
        plan = build_plan("t-1", name, steps, OPTIONS)
    except TicketRejected as refused:
        assert refused.violations
        assert all(fault.rule for fault in refused.violations)
    else:
        assert len(plan.jobs) == len(document["steps"]) >= 1


def test_step_without_amounts_uses_the_submission_options():
    plan = build_plan("t-1", "n", [Step("a", 1, amounts=(Amount("amount.worker.vcpu", Decimal(0), None),))], OPTIONS)
    assert (plan.jobs[0].spec.cpus, plan.jobs[0].spec.memory) == (1.0, 1.0)


def test_check_command_prints_jobs_or_every_fault(tmp_path):
    run = CliRunner().invoke
    example = str(ROOT / "examples" / "match.yaml")
    result = run(main, ["ticket", "check", example, "-p", "Race=regina-10k", "--json"])
    assert result.exit_code == 0, result.output
    jobs = orjson.loads(result.stdout)["jobs"]
    assert [(j["step"], j["job"]["fronds"]) for j in jobs] == [("fetch", 1), ("match", 24), ("publish", 1)]
    assert run(main, ["ticket", "check", example]).exit_code == 1
    wrong = tmp_path / "wrong.yaml"
    wrong.write_text("steps: []")
    result = run(main, ["ticket", "check", str(wrong)])
    assert result.exit_code == 1
    assert result.stderr.count("wrong.yaml: ") >= 1
