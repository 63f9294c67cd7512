"""The command line, the log and the lab's scenarios, on the simulated clock."""

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


def test_the_demo_ends_well_on_the_simulated_clock():
    result = invoke("lab", "run", str(ROOT / "examples" / "demo.toml"), "--simulated", "--json")
    assert result.exit_code == 0, result.output
    summary = orjson.loads(result.stdout)
    assert {ref: entry["state"] for ref, entry in summary["jobs"].items()} == {
        "j-100": "done", "j-200": "done", "j-300": "withdrawn",
    }  # fmt: skip
    assert summary["problems"] == []


def test_a_scenario_tells_what_did_not_end(tmp_path):
    """A check that can't fail would be none: a job larger than the fleet is named, exit code 1."""
    file = tmp_path / "large.toml"
    file.write_text('until_s = 20\nmachines = 3\n[[job]]\nref = "j-1"\nteam = "blue"\ntasks = 500\nseconds = 60\n')
    result = invoke("lab", "run", str(file), "--simulated")
    assert result.exit_code == 1
    assert "PROBLEM: j-1: running" in result.stdout


def test_a_broken_rule_fails_the_scenario():
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
        # A fault on what does not exist was passed over, and the run said that all had ended well.
        (
            'until_s = 9\njob = []\n[[fault]]\nat_s = 1\ndo = "kill"\ntarget = "zzz"',
            "fault[0].target: unknown node 'zzz'",
        ),
        ('until_s = 9\njob = []\n[[fault]]\nat_s = 1\ndo = "lose"\ntarget = "z"', "fault[0].target: unknown zone 'z'"),
        ('until_s = 9\njob = []\n[[fault]]\nat_s = 1\ndo = "outage"\ntarget = "a"', "fault[0].target: unknown target"),
    ],
)
def test_a_wrong_scenario_is_refused_by_the_name_of_its_field(tmp_path, text, named):
    file = tmp_path / "wrong.toml"
    file.write_text(text)
    result = invoke("lab", "run", str(file), "--simulated")
    assert result.exit_code == 2
    assert named in result.stderr


JOB = {"at_s": 6, "ref": "j-1", "team": "red", "shape": "array", "tasks": 9, "cpus": 2, "memory": 4, "seconds": 15}


def player_with_faults(*faults: tuple, **kwargs) -> Player:
    """A player of one job and these faults: (at_s, do, target, seconds)."""
    listed = [dict(zip(("at_s", "do", "target", "seconds"), fault, strict=True)) for fault in faults]
    return Player(World(machines=6, **kwargs), {"until_s": 120, "job": [JOB], "fault": listed})


@pytest.mark.parametrize(
    ("do", "target"),
    [("freeze", "holdfast-1"), ("freeze", "leader"), ("freeze", "all"), ("outage", ""), ("lose", "a"),
     ("kill", "holdfast-0"), ("kill", "leader"), ("kill", "all"), ("kill-leader", "")],
)  # fmt: skip
def test_each_fault_of_a_scenario_is_survived(do, target):
    """With all nodes killed, users meet refused connections until one is back; `leader` names whoever leads."""
    player = player_with_faults((12, do, target, 6))
    assert player.play(), player.problems()
    ended = player.summary()["jobs"]["j-1"]["took_s"]
    assert ended > 15


def test_with_no_node_left_users_are_refused_and_told_so():
    player = player_with_faults((2, "kill", "all", 0))
    assert not player.play()
    assert player.problems() == ["j-1: not accepted"]


def test_a_fault_that_cannot_be_now_is_told():
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
    """Six seeds gave six equal runs: a seed that moves nothing proves nothing."""
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
    """A transport that keeps a script of answers, and what was asked."""

    def __init__(self, *answers) -> None:
        self.answers, self.asked = list(answers), []

    def request(self, address, method, path, body, timeout):
        self.asked.append(address)
        answer = self.answers.pop(0) if self.answers else NoResponse("refused")
        if isinstance(answer, Exception):
            raise answer
        return answer


def test_the_next_node_is_asked_until_an_answer_counts():
    caller = RetryingClient("a:1,b:1", 60, pause=lambda s: None)
    caller._transport = ScriptedTransport(
        NoResponse("no"), Reply(503, {}), Reply(429, {}), Reply(404, {"error": "no such job"})
    )
    assert caller.ask("GET", "/api/jobs/j-1").status == 404
    assert caller._transport.asked == ["a:1", "b:1", "a:1", "b:1"]


def test_exit_code_3_says_what_to_do_when_nothing_listens(capsys):
    caller = RetryingClient("a:1", 0, pause=lambda s: None)
    caller._transport = ScriptedTransport()
    with pytest.raises(SystemExit) as ended:
        caller.ask("GET", "/api/jobs/j-1")
    assert ended.value.code == 3
    assert "kelpjunction lab up" in capsys.readouterr().err


def test_a_json_line_names_node_term_job_and_machine():
    record = logging.LogRecord("jobs", logging.INFO, "", 0, "stopping %s on %s", ("j-12/3", "n-000007"), None)
    fields = orjson.loads(logs.json_formatter("holdfast-0", lambda: 4).format(record))
    about = {name: fields[name] for name in ("node", "term", "job", "machine", "level", "slice")}
    assert about == {
        "node": "holdfast-0", "term": 4, "job": "j-12", "machine": "n-000007", "level": "INFO", "slice": "jobs",
    }  # fmt: skip
    with pytest.raises(ValueError, match="LOG_FORMAT must be one of line, json"):
        logs.set_up("info", "xml", "holdfast-0", lambda: None)


def test_settings_are_checked_by_the_command():
    assert invoke("check", "--config", str(ROOT / "tests" / "example.toml")).exit_code == 0
    assert invoke("check", "--config", "nowhere.toml").exit_code == 2
