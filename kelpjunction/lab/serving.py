"""Serves stand-ins over HTTP: any `handle(method, path, body) -> Reply`, and the state service with its watches."""

import time
from collections.abc import Callable
from datetime import timedelta

import gevent
import orjson
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from kelpjunction.lab.store import StoreStandIn
from kelpjunction.lab.worker import WorkerStandIn
from kelpjunction.transport import Reply

HOST = "127.0.0.1"
REPORT_RESPONSE_TIMEOUT = timedelta(seconds=4)  # also for requests to a worker
REASONS = {200: "200 OK", 400: "400 Bad Request", 404: "404 Not Found", 409: "409 Conflict"}

Handle = Callable[[str, str, dict], Reply]


class Refused(Exception):
    """A fault, setting or port was refused; the text says why."""


def application(handle: Handle) -> Callable:
    """A WSGI application that replies in JSON, and with 400 to requests that `handle` cannot interpret."""

    def answer(environ, start_response):
        body = environ["wsgi.input"].read()
        query = environ.get("QUERY_STRING")
        path = environ["PATH_INFO"] + (f"?{query}" if query else "")
        try:
            reply = handle(environ["REQUEST_METHOD"], path, orjson.loads(body) if body else {})
        except (Refused, KeyError, ValueError, TypeError) as error:
            reply = Reply(400, {"error": str(error)})
        content = orjson.dumps(reply.fields)
        status = REASONS.get(reply.status, f"{reply.status} Refused")
        start_response(status, [("Content-Type", "application/json"), ("Content-Length", str(len(content)))])
        return [content]

    return answer


def serve(handle: Handle, port: int = 0, host: str = HOST, server_class: type[WSGIServer] = WSGIServer) -> WSGIServer:
    """Start a server, by default on loopback; port 0 takes any free port.  Raises `Refused` if the port is taken."""
    try:
        # Without SERVER_NAME the library looks up the host name, which is slow for thousands of machines.
        server = server_class((host, port), application(handle), log=None, environ={"SERVER_NAME": host})
        server.start()
    except OSError as error:
        raise Refused(
            f"port {port} is already in use, possibly by another lab; choose another port with --port"
        ) from error
    return server


def machine_handle(worker: WorkerStandIn, wait: Callable[[float], None] = gevent.sleep) -> Handle:
    """A handler for requests to a machine, which does not reply in time while the machine is down or cut off.

    Such a request waits for the timeout. It is then carried out, late, if the
    machine is reachable again; a machine that is gone never carries it out.
    """

    def handle(method: str, path: str, body: dict) -> Reply:
        if not worker.up or worker.partitioned:
            wait(REPORT_RESPONSE_TIMEOUT.total_seconds())
            if not worker.up or worker.partitioned:
                return Reply(503, {})
        return worker.handle(method, path, body)

    return handle


class ServedStore:
    """The state service over HTTP: a watch waits for changes, as PROTOCOL describes."""

    def __init__(self, store: StoreStandIn) -> None:
        self.store = store
        self._changed = Event()

    def handle(self, method: str, path: str, body: dict) -> Reply:
        """Reply to one request; to a watch, when there are changes or its time is over."""
        reply = self.store.handle(method, path, body)
        if not path.startswith("/follow"):
            if method != "GET":
                self.notify_watches()
            return reply
        wait = int(path.rpartition("hold_ms=")[2].partition("&")[0] or 0) / 1000
        until = time.monotonic() + wait
        while reply.status == 200 and not reply.fields["news"] and time.monotonic() < until:
            self._changed.wait(max(0.0, until - time.monotonic()))
            reply = self.store.poll_watch(path)
        return reply

    def notify_watches(self) -> None:
        """Make every waiting watch check for changes."""
        self._changed.set()
        self._changed.clear()
