"""HTTP client for requests to other processes: one JSON request, one JSON reply."""

from collections import Counter, OrderedDict
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple, Protocol

import gevent
import orjson
from gevent.local import local
from gevent.lock import BoundedSemaphore
from geventhttpclient.client import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPParseError

CONNECTION_TIMEOUT_S = 3.0
NETWORK_TIMEOUT_S = 30.0


class NoResponse(Exception):
    """No reply was received; the request may have been carried out or may be carried out later."""


class RequestWithheld(Exception):
    """The request was not sent, because the caller's condition no longer held when a connection was ready."""


class Reply(NamedTuple):
    """The HTTP status and the JSON object in the body, which is empty if the body held none."""

    status: int
    fields: dict


class Transport(Protocol):
    """Sends requests to other processes; tests pass a simulated transport."""

    def request(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        timeout: timedelta,
        may_send: Callable[[], bool] | None = None,
    ) -> Reply:
        """Send a request and return the reply.

        `may_send` is called once a connection is ready, right before the request is written to it.
        Raises `NoResponse` if no reply comes within `timeout`, and `RequestWithheld` if `may_send` returned false.
        """
        ...


class _ConditionalPool(ConnectionPool):
    """Connections of a client; a connection is only handed out for a request that may still be sent."""

    condition = local()  # for each greenlet, `may_send` of its present request

    def get_socket(self) -> gevent.socket.socket:
        sock = super().get_socket()
        may_send = getattr(self.condition, "may_send", None)
        if may_send is not None and not may_send():
            self.return_socket(sock)
            raise RequestWithheld
        return sock


class HttpTransport:
    """Keep-alive connections through geventhttpclient, a few for each address.

    `connections` limits the connections to one address. `max_requests` limits
    the concurrent requests, and approximately the number of addresses that keep
    a connection open. The limit matters for a node that serves every machine:
    the workers' reports take as many of its sockets again.
    """

    def __init__(self, connections: int = 4, max_requests: int | None = None) -> None:
        self._connections = connections
        self._max_requests = max_requests
        self._request_slots = None if max_requests is None else BoundedSemaphore(max_requests)
        self._clients: OrderedDict[str, HTTPClient] = OrderedDict()  # least recently used first
        self._active_requests: Counter[str] = Counter()

    def request(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        timeout: timedelta,
        may_send: Callable[[], bool] | None = None,
    ) -> Reply:
        if self._request_slots is not None and not self._request_slots.acquire(timeout=timeout.total_seconds()):
            raise NoResponse(f"{method} {address}{path}: no request slot became free within the timeout")
        self._active_requests[address] += 1
        try:
            _ConditionalPool.condition.may_send = may_send
            return self._request(address, method, path, body, timeout)
        finally:
            _ConditionalPool.condition.may_send = None
            self._active_requests[address] -= 1
            if self._request_slots is not None:
                self._request_slots.release()
                self._close_idle_clients()

    def _request(self, address: str, method: str, path: str, body: bytes | None, timeout: timedelta) -> Reply:
        client = self._clients.get(address) or self._connect(address)
        self._clients.move_to_end(address)
        try:
            with gevent.Timeout(timeout.total_seconds()):
                headers = {"Content-Type": "application/json"} if body else {}
                response = client.request(method, path, body=body or b"", headers=headers)
                content = bytes(response.read())
                return Reply(response.status_code, _parse_object(content))
        except (gevent.Timeout, OSError, HTTPParseError, ValueError) as error:
            # An aborted request may leave its slot in the client's pool occupied,
            # so the next request uses a new client with a new pool.
            if self._clients.get(address) is client:
                del self._clients[address]
            raise NoResponse(f"{method} {address}{path}: {error!r}") from error

    def _close_idle_clients(self) -> None:
        """Close the least recently used idle connections while there are too many."""
        self._active_requests = +self._active_requests
        for address in list(self._clients)[: max(0, len(self._clients) - self._max_requests)]:
            if not self._active_requests[address]:
                self._clients.pop(address).close()

    def _connect(self, address: str) -> HTTPClient:
        host, _, port = address.rpartition(":")
        client = self._clients[address] = HTTPClient(
            host,
            int(port),
            concurrency=self._connections,
            connection_timeout=CONNECTION_TIMEOUT_S,
            network_timeout=NETWORK_TIMEOUT_S,
        )
        # The client has no parameter for its pool.
        client._connection_pool = _ConditionalPool(
            host,
            int(port),
            host,
            int(port),
            size=self._connections,
            connection_timeout=CONNECTION_TIMEOUT_S,
            network_timeout=NETWORK_TIMEOUT_S,
        )
        return client


def _parse_object(content: bytes) -> dict:
    try:
        fields = orjson.loads(content) if content else {}
    except orjson.JSONDecodeError:
        return {}
    return fields if isinstance(fields, dict) else {}
