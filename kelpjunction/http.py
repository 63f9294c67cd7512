"""The two HTTP servers of a node: one for users and workers, one for sibling nodes and metrics."""

import logging
import math
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

import orjson
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from kelpjunction.intake import Intake, UserResponse
from kelpjunction.siblings import PEER_PATH
from kelpjunction.wire import users, workers
from kelpjunction.wire.users import MalformedMessage

if TYPE_CHECKING:
    from kelpjunction.metrics import Metrics

log = logging.getLogger("http")

_STATUS_LINES = {
    200: "200 OK",
    201: "201 Created",
    400: "400 Bad Request",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    421: "421 Misdirected Request",
    422: "422 Unprocessable Entity",
    500: "500 Internal Server Error",
    503: "503 Service Unavailable",
}
METRICS_PATH = "/metrics"


def respond(start_response: Callable, answer: UserResponse) -> Iterable[bytes]:
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(answer.body)))]
    if answer.retry_after is not None:
        headers.append(("Retry-After", str(math.ceil(answer.retry_after.total_seconds()))))
    if answer.status == 400:
        # The body may not have been read to its end. The bytes that follow cannot be trusted as a request.
        headers.append(("Connection", "close"))
    start_response(_STATUS_LINES[answer.status], headers)
    return [answer.body]


def read_body(environ: dict) -> bytes:
    """Read a request's body; an oversized one raises `MalformedMessage` without being read completely."""
    try:
        length = int(environ.get("CONTENT_LENGTH") or 0)
    except ValueError as error:
        raise MalformedMessage("bad Content-Length") from error
    if length < 0 or length > users.MAX_BODY_BYTES:
        raise MalformedMessage(f"body exceeds {users.MAX_BODY_BYTES} bytes")
    chunked = "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "").lower()
    body = environ["wsgi.input"].read(users.MAX_BODY_BYTES + 1 if chunked else length)
    if len(body) > users.MAX_BODY_BYTES:
        raise MalformedMessage(f"body exceeds {users.MAX_BODY_BYTES} bytes")
    return body


class Headers(dict):
    """A request's headers by lower-case name, with the interface that `WSGIHandler` expects.

    The standard library parses headers as an e-mail message. That parser takes
    most of the time of an exchange of a few hundred bytes. It also accepts
    continuation lines, names with spaces and conflicting Content-Length
    headers, all of which are rejected here.
    """

    MAX_BYTES = 16_384
    status = ""

    @classmethod
    def read(cls, stream, *_) -> "Headers":
        """Read headers up to the empty line; `status` is empty or describes what is wrong with them."""
        headers = cls()
        remaining = cls.MAX_BYTES
        while line := stream.readline(remaining):
            remaining -= len(line)
            if line in (b"\r\n", b"\n"):
                return headers
            name, colon, value = line.decode("latin-1").partition(":")
            name, value = name.lower(), value.strip()
            if not colon or not name or name.split() != [name] or name[0].isspace():
                headers.status = "malformed header"
            elif name not in headers:
                headers[name] = value
            elif name == "content-length" and headers[name] != value:
                headers.status = "conflicting Content-Length headers"
            elif name != "content-length":
                headers[name] += f",{value}"
        headers.status = "headers end without an empty line" if remaining > 0 else "headers too long"
        return headers

    def get(self, name: str, default=None):
        return super().get(name.lower(), default)

    getheader = get

    @property
    def typeheader(self) -> str | None:
        return self.get("content-type")


class Handler(WSGIHandler):
    """One connection, with the work of `WSGIHandler` for each request reduced to what this service needs.

    Access log lines are not formatted, because there is no access log. `Headers`
    reads the headers. A response is sent in one piece, because each send costs
    a system call and a packet.
    """

    def MessageClass(self, *args) -> Headers:
        return Headers.read(*args)

    def _headers(self) -> Iterable[tuple[str, str]]:
        for name, value in self.headers.items():
            if name not in ("content-type", "content-length") and "_" not in name:
                yield f"HTTP_{name.upper().replace('-', '_')}", value

    def _write_with_headers(self, data: bytes) -> None:
        self.headers_sent = True
        self.finalize_headers()
        lines = [b"HTTP/1.1 " + self.status, *(b"%s: %s" % pair for pair in self.response_headers)]
        self._sendall(b"\r\n".join((*lines, b"", data)))

    def log_request(self) -> None:
        pass


def create_server(address: str, application: Callable, pool: Pool) -> WSGIServer:
    """Create a server for `address` without starting it; `pool` limits its connections."""
    host, _, port = address.rpartition(":")
    return WSGIServer(
        (host, int(port)),
        application,
        spawn=pool,
        log=None,
        handler_class=Handler,
        error_log=log,
        backlog=256,
    )


class Application:
    """The WSGI application for users, workers and the load balancer."""

    def __init__(self, intake: Intake, handle_report: Callable[[bytes], tuple[int, bytes]]) -> None:
        self._intake = intake
        self._handle_report = handle_report

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        try:
            answer = self._route(environ["REQUEST_METHOD"], environ["PATH_INFO"], environ)
        except MalformedMessage as error:
            answer = UserResponse(400, users.error_answer(str(error)))
        except Exception:
            log.exception("%s %s failed", environ["REQUEST_METHOD"], environ["PATH_INFO"])
            answer = UserResponse(500, users.error_answer("internal error"))
        return respond(start_response, answer)

    def _route(self, method: str, path: str, environ: dict) -> UserResponse:
        if path == workers.CHECK_IN_PATH:
            return UserResponse(*self._handle_report(read_body(environ))) if method == "POST" else method_not_allowed()
        if path == users.HEALTH_PATH:
            healthy = self._intake.healthy()
            return UserResponse(200 if healthy else 503, b"{}")
        if path == users.JOBS_PATH:
            return self._intake.submit(read_body(environ)) if method == "POST" else method_not_allowed()
        if path.startswith(users.JOBS_PATH + "/"):
            ref = path.removeprefix(users.JOBS_PATH + "/")
            if ref.endswith(users.ABORT_SUFFIX):
                if method != "POST":
                    return method_not_allowed()
                read_body(environ)
                return self._intake.abort(ref.removesuffix(users.ABORT_SUFFIX))
            return self._intake.status(ref) if method == "GET" else method_not_allowed()
        return UserResponse(404, users.error_answer("no such path"))


def method_not_allowed() -> UserResponse:
    return UserResponse(405, users.error_answer("method not allowed"))


class SiblingApplication:
    """The WSGI application for siblings: the state of this node's mirror, and its metrics if they are enabled."""

    def __init__(self, mirror_state: Callable[[], dict], metrics: "Metrics | None" = None) -> None:
        self._mirror_state = mirror_state
        self._metrics = metrics

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        if environ["PATH_INFO"] == METRICS_PATH and self._metrics is not None:
            text = self._metrics.text()
            start_response(
                _STATUS_LINES[200], [("Content-Type", self._metrics.content_type), ("Content-Length", str(len(text)))]
            )
            return [text]
        if environ["PATH_INFO"] != PEER_PATH:
            return respond(start_response, UserResponse(404, b"{}"))
        return respond(start_response, UserResponse(200, orjson.dumps(self._mirror_state())))
