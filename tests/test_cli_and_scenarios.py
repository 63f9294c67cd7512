"""Tests of the command line, the log and the lab's scenarios, on the simulated clock."""

import logging
from pathlib import Path

import orjson
import pytest
from click.testing import CliRunner

from kelpjunction import logs
from kelpjunction.cli import main
from kelpjunction.cli.jobs import RetryingClient
from kelpjunction.lab.scenario import Player, load
from kelpjunction.lab.site import Refused
from kelpjunction.lab.ticket_simulation import TicketWorld
from kelpjunction.lab.world import NetworkConditions, World
from kelpjunction.transport import NoResponse, Reply

ROOT = Path(__file__).resolve().parent.parent
AT_1 = "until_s = 9\njob = []\n[[fault]]\nat_s = 1\n"


def invoke(*args: str):
    return CliRunner().invoke(main, args)


def test_demo_succeeds_on_simulated_clock():
    result = invoke("lab", "run", str(ROOT / "examples" / "demo.toml"), "--simulated", "--json")
    assert result.exit_code == 0, result.output
    summary = orjson.loads(result.stdout)
    assert {ref: entry["state"] for ref, entry in summary["jobs"].items()} == {
        "j-100": "done", "j-200": "done", "j-300": "withdrawn",
    }  # fmt: skip
    assert summary["problems"] == []


def test_scenario_names_unfinished_job(tmp_path):
    """The scenario check must be able to fail: a job larger than the fleet is named, with exit code 1."""
    file = tmp_path / "large.toml"
    file.write_text('until_s = 20\nmachines = 3\n[[job]]\nref = "j-1"\nteam = "blue"\ntasks = 500\nseconds = 60\n')
    result = invoke("lab", "run", str(file), "--simulated")
    assert result.exit_code == 1
    assert "PROBLEM: j-1: running" in result.stdout


def test_broken_rule_fails_scenario():
    site = TicketWorld(machines=3)
    player = Player(site, load(ROOT / "examples" / "demo.toml"))
    site.broken.append("ran_twice: j-100/0")
    assert player.play() is False
    assert player.problems() == ["ran_twice: j-100/0"]


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("until_s = 0\njob = []", "until_s must be bigger than 0"),
        ('until_s = 9\n[[job]]\nref = "1"\nteam = "red"', "job[0].ref must match"),
        ('until_s = 9\njob = []\n[[fault]]\nat_s = 1\ndo = "explode"', "fault[0].do must be one of"),
        ("until_s = ", "Invalid value"),
        # A fault on an unknown target used to be skipped, and the run reported success.
        (
            'until_s = 9\njob = []\n[[fault]]\nat_s = 1\ndo = "kill"\ntarget = "zzz"',
            "fault[0].target: unknown node 'zzz'",
        ),
        ('until_s = 9\njob = []\n[[fault]]\nat_s = 1\ndo = "lose"\ntarget = "z"', "fault[0].target: unknown zone 'z'"),
        ('until_s = 9\njob = []\n[[fault]]\nat_s = 1\ndo = "outage"\ntarget = "a"', "fault[0].target: unknown target"),
    ],
)
def test_invalid_scenario_is_refused_by_field_name(tmp_path, text, named):
    file = tmp_path / "wrong.toml"
    file.write_text(text)
    result = invoke("lab", "run", str(file), "--simulated")
    assert result.exit_code == 2
    assert named in result.stderr


JOB = {"at_s": 6, "ref": "j-1", "team": "red", "shape": "array", "tasks": 9, "cpus": 2, "memory": 4, "seconds": 15}


def player_with_faults(*faults: tuple, **kwargs) -> Player:
    """A scenario player with one job and these faults, each as (at_s, do, target, seconds)."""
    listed = [dict(zip(("at_s", "do", "target", "seconds"), fault, strict=True)) for fault in faults]
    return Player(World(machines=6, **kwargs), {"until_s": 120, "job": [JOB], "fault": listed})


@pytest.mark.parametrize(
    ("do", "target"),
    [("freeze", "holdfast-1"), ("freeze", "leader"), ("freeze", "all"), ("outage", ""), ("lose", "a"),
     ("kill", "holdfast-0"), ("kill", "leader"), ("kill", "all"), ("kill-leader", "")],
)  # fmt: skip
def test_job_finishes_despite_each_fault(do, target):
    """While all nodes are killed, connections are refused until one is back. `leader` is the node that leads then."""
    player = player_with_faults((12, do, target, 6))
    assert player.play(), player.problems()
    took_s = player.summary()["jobs"]["j-1"]["took_s"]
    assert took_s > 15


def test_job_is_not_accepted_without_running_nodes():
    player = player_with_faults((2, "kill", "all", 0))
    assert not player.play()
    assert player.problems() == ["j-1: not accepted"]


def test_inapplicable_fault_is_reported():
    player = player_with_faults(
        (12, "kill", "holdfast-0", 0), (14, "kill", "holdfast-0", 0), (16, "start", "holdfast-1", 0)
    )
    assert not player.play()
    assert player.problems() == [
        "fault at 14 s, kill holdfast-0: holdfast-0 does not run",
        "fault at 16 s, start holdfast-1: holdfast-1 runs already",
    ]
    with pytest.raises(Refused, match="nobody leads now"):
        World().fault("freeze", "leader", 1)


def test_run_differs_by_seed_and_repeats_for_same_seed():
    """Six seeds once gave six equal runs. A seed without effect makes runs with other seeds meaningless."""
    summaries = []
    for seed in (1, 2, 3, 1):
        player = player_with_faults(
            (12, "kill", "leader", 6), seed=seed, network_conditions=NetworkConditions(loss_rate=0.01)
        )
        assert player.play(), player.problems()
        summaries.append(player.summary())
    assert summaries[0] == summaries[3]
    assert len({orjson.dumps(summary) for summary in summaries}) == 3


class ScriptedTransport:
    """A transport that gives scripted responses and records the addresses that were asked."""

    def __init__(self, *responses) -> None:
        self.responses, self.addresses = list(responses), []

    def request(self, address, method, path, body, timeout):
        self.addresses.append(address)
        response = self.responses.pop(0) if self.responses else NoResponse("refused")
        if isinstance(response, Exception):
            raise response
        return response


def test_client_tries_next_node_until_response_is_final():
    client = RetryingClient("a:1,b:1", 60, sleep=lambda s: None)
    client._transport = ScriptedTransport(
        NoResponse("no"), Reply(503, {}), Reply(429, {}), Reply(404, {"error": "no such job"})
    )
    assert client.ask("GET", "/api/jobs/j-1").status == 404
    assert client._transport.addresses == ["a:1", "b:1", "a:1", "b:1"]


def test_exit_code_3_suggests_command_when_nothing_listens(capsys):
    client = RetryingClient("a:1", 0, sleep=lambda s: None)
    client._transport = ScriptedTransport()
    with pytest.raises(SystemExit) as ended:
        client.ask("GET", "/api/jobs/j-1")
    assert ended.value.code == 3
    assert "kelpjunction lab up" in capsys.readouterr().err


def test_json_line_contains_node_term_job_and_machine():
    record = logging.LogRecord("jobs", logging.INFO, "", 0, "stopping %s on %s", ("j-12/3", "n-000007"), None)
    fields = orjson.loads(logs.json_formatter("holdfast-0", lambda: 4).format(record))
    selected = {name: fields[name] for name in ("node", "term", "job", "machine", "level", "slice")}
    assert selected == {
        "node": "holdfast-0", "term": 4, "job": "j-12", "machine": "n-000007", "level": "INFO", "slice": "jobs",
    }  # fmt: skip
    with pytest.raises(ValueError, match="LOG_FORMAT must be one of line, json"):
        logs.configure_logging("info", "xml", "holdfast-0", lambda: None)


def test_check_command_validates_settings():
    assert invoke("check", "--config", str(ROOT / "tests" / "example.toml")).exit_code == 0
    assert invoke("check", "--config", "nowhere.toml").exit_code == 2
