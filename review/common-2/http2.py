"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of this review.  Standard library only."""

import asyncio
import json

REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone"}


class Closed(Exception):
    """The connection ended before a complete message came."""


async def read_message(reader):
    """Read one request or response; returns the words of its first line, its headers and its body."""
    first = await reader.readline()
    if not first:
        raise Closed
    headers = {}
    while (line := await reader.readline()) not in (b"\r\n", b"\n"):
        if not line:
            raise Closed
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length") or 0)
    body = await reader.readexactly(length) if length else b""
    return first.decode("latin-1").split(None, 2), headers, body


async def serve(handle, host="127.0.0.1", port=0):
    """Serve `await handle(method, path, fields) -> (status, fields)`; returns the server and its port.

    `handle` may raise `Closed`: the connection is then closed without an answer.
    """

    async def connection(reader, writer):
        try:
            while True:
                (method, path, *_), headers, body = await read_message(reader)
                try:
                    fields = json.loads(body) if body else {}
                    status, answer = await handle(method, path, fields)
                except (ValueError, KeyError, TypeError) as error:
                    status, answer = 400, {"error": repr(error)}
                content = json.dumps(answer, separators=(",", ":")).encode()
                head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(content)}\r\n\r\n".encode() + content)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (Closed, ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, host, port, limit=1 << 22)
    return server, server.sockets[0].getsockname()[1]


class Client:
    """One keep-alive connection to `host:port`, with at most one request in flight."""

    def __init__(self, address):
        self.address = address
        self._streams = None

    async def request(self, method, path, fields=None, timeout=5.0):
        """Send a request; returns status, fields and headers, or None if no response came in time."""
        try:
            return await asyncio.wait_for(self._request(method, path, fields), timeout)
        except (TimeoutError, OSError, Closed, ValueError, asyncio.IncompleteReadError):
            self.close()
            return None

    async def _request(self, method, path, fields):
        if self._streams is None:
            host, _, port = self.address.rpartition(":")
            self._streams = await asyncio.open_connection(host, int(port), limit=1 << 22)
        reader, writer = self._streams
        body = b"" if fields is None else json.dumps(fields, separators=(",", ":")).encode()
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.address}\r\nContent-Type: application/json\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()
        (_, status, *_), headers, content = await read_message(reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(status), json.loads(content) if content else {}, headers

    def close(self):
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
