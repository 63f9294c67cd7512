"""HTTP from this process to others: one JSON request, one JSON reply."""

from collections import Counter, OrderedDict
from datetime import timedelta
from typing import NamedTuple, Protocol

import gevent
import orjson
from gevent.lock import BoundedSemaphore
from geventhttpclient.client import HTTPClient
from geventhttpclient.response import HTTPParseError


class NoResponse(Exception):
    """No reply came; the request may have been carried out, now or later."""


class Reply(NamedTuple):
    """A status and the JSON object in the body, empty where there was none."""

    status: int
    fields: dict


class Transport(Protocol):
    """How slices reach other processes; tests pass a simulated one."""

    def request(self, address: str, method: str, path: str, body: bytes | None, timeout: timedelta) -> Reply: ...


class HttpTransport:
    """Keep-alive connections by way of geventhttpclient, a few per address.

    With `most`, at most so many requests are under way at once and about so
    many addresses keep a connection: a node that serves every machine has as
    many sockets taken by those that report to it.
    """

    def __init__(self, connections: int = 4, most: int | None = None) -> None:
        self._connections = connections
        self._most = most
        self._places = None if most is None else BoundedSemaphore(most)
        self._clients: OrderedDict[str, HTTPClient] = OrderedDict()  # least recently used first
        self._busy: Counter[str] = Counter()

    def request(self, address: str, method: str, path: str, body: bytes | None, timeout: timedelta) -> Reply:
        if self._places is not None and not self._places.acquire(timeout=timeout.total_seconds()):
            raise NoResponse(f"{method} {address}{path}: too many requests under way")
        self._busy[address] += 1
        try:
            return self._request(address, method, path, body, timeout)
        finally:
            self._busy[address] -= 1
            if self._places is not None:
                self._places.release()
                self._let_go()

    def _request(self, address: str, method: str, path: str, body: bytes | None, timeout: timedelta) -> Reply:
        client = self._clients.get(address) or self._connect(address)
        self._clients.move_to_end(address)
        try:
            with gevent.Timeout(timeout.total_seconds()):
                headers = {"Content-Type": "application/json"} if body else {}
                response = client.request(method, path, body=body or b"", headers=headers)
                content = bytes(response.read())
                return Reply(response.status_code, _object(content))
        except (gevent.Timeout, OSError, HTTPParseError, ValueError) as error:
            # A request that was cut short may leave its slot in the pool
            # taken: the next one starts with a fresh pool.
            if self._clients.get(address) is client:
                del self._clients[address]
            raise NoResponse(f"{method} {address}{path}: {error!r}") from error

    def _let_go(self) -> None:
        """Close the connections that were idle for longest, while there are too many."""
        self._busy = +self._busy
        for address in list(self._clients)[: max(0, len(self._clients) - self._most)]:
            if not self._busy[address]:
                self._clients.pop(address).close()

    def _connect(self, address: str) -> HTTPClient:
        host, _, port = address.rpartition(":")
        client = self._clients[address] = HTTPClient(
            host,
            int(port),
            concurrency=self._connections,
            connection_timeout=3,
            network_timeout=30,
        )
        return client


def _object(content: bytes) -> dict:
    try:
        fields = orjson.loads(content) if content else {}
    except orjson.JSONDecodeError:
        return {}
    return fields if isinstance(fields, dict) else {}
