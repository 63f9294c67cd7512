"""HTTP from this process to others: one JSON request, one JSON reply."""

from datetime import timedelta
from typing import NamedTuple, Protocol

import gevent
import orjson
from geventhttpclient.client import HTTPClient
from geventhttpclient.response import HTTPParseError


class NoAnswer(Exception):
    """No reply came; the request may have been carried out, now or later."""


class Reply(NamedTuple):
    """A status and the JSON object in the body, empty where there was none."""

    status: int
    fields: dict


class Transport(Protocol):
    """How slices reach other processes; tests pass a simulated one."""

    def request(self, address: str, method: str, path: str, body: bytes | None, timeout: timedelta) -> Reply: ...


class HttpTransport:
    """Keep-alive connections by way of geventhttpclient, a few per address."""

    def __init__(self, connections: int = 4) -> None:
        self._connections = connections
        self._clients: dict[str, HTTPClient] = {}

    def request(self, address: str, method: str, path: str, body: bytes | None, timeout: timedelta) -> Reply:
        client = self._clients.get(address) or self._connect(address)
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
            raise NoAnswer(f"{method} {address}{path}: {error!r}") from error

    def close(self, address: str) -> None:
        """Drop the connections to a peer that is gone for good."""
        client = self._clients.pop(address, None)
        if client is not None:
            client.close()

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
