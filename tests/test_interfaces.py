"""Tests of the settings, the command line, and the messages from users and workers."""

from datetime import timedelta
from pathlib import Path

import gevent
import orjson
import pytest
from click.testing import CliRunner
from gevent.pywsgi import WSGIServer

from kelpjunction.cli.serve import serve
from kelpjunction.http import Handler, SiblingApplication
from kelpjunction.lab.world import World
from kelpjunction.metrics import Metrics
from kelpjunction.settings import SettingsError, load_operator_settings, load_platform_settings
from kelpjunction.transport import HttpTransport
from kelpjunction.wire.users import MalformedMessage, fields_to_keep, parse_job
from kelpjunction.wire.workers import parse_report

EXAMPLE = Path(__file__).with_name("example.toml")
GOOD = {
    "ref": "j-1", "stripe": "s", "crew": "red", "shape": "batch", "urgency": "low", "fronds": 3, "cpus": 2.0,
    "accelerators": 0.0, "ram_gb": 4.0, "bundle": "img", "image_gb": 1.0, "hulls": None, "later_field": 1,
    "together": False, "apart": False, "driftwood": False, "expect_s": 5.0, "mark_s": 0.0, "stow_s": 0.0,
}  # fmt: skip


def test_command_line_checks_settings_and_names_what_is_wrong(tmp_path):
    run = CliRunner().invoke
    assert run(serve, ["--config", str(EXAMPLE), "--check"]).exit_code == 0
    broken = tmp_path / "broken.toml"
    broken.write_text(EXAMPLE.read_text().replace("lease_s = 15.0", 'lease_s = "long"'))
    result = run(serve, ["--config", str(broken), "--check"])
    assert result.exit_code == 2
    assert "lease_s" in result.output
    operators = tmp_path / "operators.json"
    operators.write_text('{"round_s": 0.5, "rounds": 3}')
    result = run(serve, ["--config", str(EXAMPLE), "--operators", str(operators), "--check"])
    assert result.exit_code == 2
    assert "rounds" in result.output


@pytest.mark.parametrize(
    ("good", "bad", "named"),
    [
        ('zone = "a"', 'zone = "nowhere"', "zone must be one of params.zones"),
        ('zone = "b"', 'zone = "nowhere"', "siblings: holdfast-1: zone"),
        ('node = "holdfast-2"', 'node = "holdfast-0"', "'holdfast-0' is defined more than once"),
        ("write_rps = 100.0", "write_rps = 0", "write_rps"),
        ("txn_ops = 12", "txn_ops = 0", "txn_ops"),
        ("report_s = 2.0", "report_s = 0.0", "report_s"),
        ("cancel_s = 40.0", "cancel_s = 15.0", "params.workers: cancel_s must be above lease_s"),
        ("rps = 4.0", "rps = 0.0", "rps"),
        ("cpus_max = 40.0", "cpus_max = 8.0", "red: cpus_max must be at least cpus"),
    ],
)
def test_invalid_setting_is_refused_by_name(tmp_path, good, bad, named):
    text = EXAMPLE.read_text()
    assert text.count(good) == 1
    (tmp_path / "bad.toml").write_text(text.replace(good, bad))
    with pytest.raises(SettingsError, match=named):
        load_platform_settings(tmp_path / "bad.toml")


def test_settings_take_zero_as_no_limit_and_ignore_unknown_fields():
    platform = load_platform_settings(EXAMPLE)
    assert platform.teams["red"].cpus_max == 40.0
    assert platform.teams["red"].gpus_max is None
    assert [s.node for s in platform.siblings] == ["holdfast-1", "holdfast-2"]


def test_operators_defaults_and_range(tmp_path):
    assert load_operator_settings(None).class_weights == {"service": 100, "array": 10, "gang": 1}
    path = tmp_path / "operators.json"
    path.write_text('{"hold_s": -1}')
    with pytest.raises(SettingsError, match="hold_s"):
        load_operator_settings(path)


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"ref": "x"}, "ref"), ({"ref": None}, "ref"), ({"fronds": 0}, "fronds"), ({"fronds": 200_000}, "fronds"),
        ({"cpus": -1}, "cpus"), ({"cpus": "2"}, "cpus"), ({"ram_gb": True}, "ram_gb"), ({"shape": "ring"}, "shape"),
        ({"urgency": "asap"}, "urgency"), ({"hulls": "g8"}, "hulls"), ({"mark_s": -2}, "mark_s"),
    ],
)  # fmt: skip
def test_malformed_submission_is_refused_by_field(change, named):
    with pytest.raises(MalformedMessage, match=named):
        parse_job(GOOD | change)


def test_null_equals_absent_and_unknown_fields_are_dropped():
    """A submission that lacked any other field used to be accepted, and the job ran with defaults made up by us."""
    spec = parse_job(GOOD)
    assert spec == parse_job({k: v for k, v in GOOD.items() if v is not None})
    assert spec == parse_job(GOOD | {"hulls": None, "bay": None, "due_s": None})
    for name in GOOD.keys() - {"hulls", "later_field"}:
        for wrong in (GOOD | {name: None}, {k: v for k, v in GOOD.items() if k != name}):
            with pytest.raises(MalformedMessage, match=name):
                parse_job(wrong)
    assert "later_field" not in fields_to_keep(GOOD)


def test_malformed_report_is_refused():
    with pytest.raises(MalformedMessage, match="watch"):
        parse_report(b'{"holdfast":"n-1","address":"10.0.0.1:1","hull":"g","bay":"a","tally":1}')
    with pytest.raises(MalformedMessage, match="JSON"):
        parse_report(b"\xff")


def test_infeasible_submission_gets_422_and_any_gets_503_while_node_starts():
    world = World()
    early = world.nodes["holdfast-1"].intake.submit(orjson.dumps(GOOD))
    assert (early.status, early.retry_after is not None) == (503, True)
    world.run(5)
    submit = world.nodes["holdfast-1"].intake.submit
    assert submit(orjson.dumps(GOOD | {"crew": "nobody"})).status == 422
    assert submit(orjson.dumps(GOOD | {"cpus": 9.0})).status == 422
    assert submit(orjson.dumps(GOOD | {"shape": "service", "fronds": 21})).status == 422
    assert submit(orjson.dumps(GOOD | {"fronds": 21})).status == 201
    assert world.nodes["holdfast-2"].intake.status("j-77").status == 404


def test_number_of_sockets_to_workers_is_bounded():
    """Found by an incident: one node served all machines, and all of its 500 sockets were in use."""

    def answer(environ, start_response):
        start_response("200 OK", [("Content-Length", "2")])
        return [b"{}"]

    servers = [WSGIServer(("127.0.0.1", 0), answer, log=None) for _ in range(6)]
    for server in servers:
        server.start()
    transport = HttpTransport(2, max_requests=3)
    addresses = [f"127.0.0.1:{server.server_port}" for server in servers]
    jobs = [gevent.spawn(transport.request, a, "GET", "/status", None, timedelta(seconds=5)) for a in addresses]
    gevent.joinall(jobs)
    assert [job.value.status for job in jobs] == [200] * 6, "the requests share three sockets"
    assert len(transport._clients) == 3
    assert transport.request(addresses[0], "GET", "/status", None, timedelta(seconds=5)).status == 200
    for server in servers:
        server.stop()


class RecordingServer:
    """A WSGI server that records its requests, with a client that uses a raw connection."""

    def __init__(self) -> None:
        self.requests: list[dict] = []
        self.server = WSGIServer(("127.0.0.1", 0), self, log=None, error_log=None, handler_class=Handler)
        self.server.start()

    def __call__(self, environ, start_response):
        self.requests.append(environ | {"body": environ["wsgi.input"].read()})
        start_response("200 OK", [("Content-Length", "2")])
        return [b"{}"]

    def exchange(self, *requests: str) -> list[bytes]:
        """Send the requests on one connection; return what a single `recv` yields for each of them."""
        answers = []
        with gevent.socket.create_connection(("127.0.0.1", self.server.server_port)) as sock:
            for request in requests:
                sock.sendall(request.encode("latin-1"))
                answers.append(sock.recv(65536))
        return answers

    def __enter__(self):
        return self

    def __exit__(self, *_) -> None:
        self.server.stop()


def test_keep_alive_responses_leave_in_one_piece():
    """Headers and body used to be two packets and two calls, and the e-mail header parser took most of an exchange."""
    post = "POST /checkin HTTP/1.1\r\nhost: a\r\nCONTENT-LENGTH: 4\r\nX-Two: 1\r\nx-two: 2\r\n\r\nbody"
    chunked = "POST /api/jobs HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
    with RecordingServer() as echo:
        answers = echo.exchange(post, chunked, "GET /api/jobs/j-1?x=1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
    assert all(a.startswith(b"HTTP/1.1 200 OK\r\n") and a.endswith(b"\r\n\r\n{}") for a in answers)
    first, second, third = echo.requests
    assert (first["body"], first["HTTP_X_TWO"], first["CONTENT_LENGTH"]) == (b"body", "1,2", "4")
    assert (second["body"], third["PATH_INFO"], third["QUERY_STRING"]) == (b"abc", "/api/jobs/j-1", "x=1")


@pytest.mark.parametrize(
    "headers",
    [
        "Content-Length: 4\r\nContent-Length: 5\r\n",
        "Content-Length: -4\r\n",
        "Content-Length: four\r\n",
        "Content-Length : 4\r\n",
        "X-Folded: a\r\n b: c\r\n",
        "no colon\r\n",
        "X-Long: " + "a" * 20_000 + "\r\n",
    ],
)
def test_ambiguous_http_headers_are_refused(headers):
    with RecordingServer() as echo:
        (answer,) = echo.exchange(f"POST /checkin HTTP/1.1\r\nHost: a\r\n{headers}\r\nbody")
    assert answer.startswith(b"HTTP/1.1 400")
    assert echo.requests == []


def test_metrics_are_served_on_internal_address_if_enabled():
    world = World()
    world.run(6)
    world.submit("j-1", 3)
    world.run(6)
    node = world.leader()

    def get_metrics(application) -> tuple[str, bytes]:
        statuses = []
        body = application({"PATH_INFO": "/metrics"}, lambda status, headers: statuses.append(status))
        return statuses[0], b"".join(body)

    assert get_metrics(SiblingApplication(node.mirror_state))[0].startswith("404")
    status, text = get_metrics(SiblingApplication(node.mirror_state, Metrics(node)))
    figures = dict(line.split(" ") for line in text.decode().splitlines() if not line.startswith("#"))
    assert status.startswith("200")
    assert float(figures["kelpjunction_leads"]) == 1
    assert float(figures["kelpjunction_rounds_total"]) == node.rounds > 50
    assert float(figures["kelpjunction_healthy"]) == 1
    assert float(figures["kelpjunction_blocks_held"]) == len(node.blocks.held_zones()) > 0
    assert float(figures["kelpjunction_store_requests_total"]) == node.store.requests > 100
    assert sum(n.worker_registry.starts for n in world.nodes.values()) == 3
