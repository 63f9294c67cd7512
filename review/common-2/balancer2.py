"""A stand-in for the users' load balancer, as PROTOCOL describes it."""

import asyncio
import time
from collections import deque

from http2 import Client


class _Backend:
    def __init__(self, node):
        self.node = node
        self.healthy, self.was_healthy = False, False
        self.results = deque(maxlen=6)
        self.unhealthy_since = None
        self.pause, self.removed_at = 3.0, None
        self.connections = set()
        self.failed_connections, self.skipped_until = 0, 0.0


class Balancer:
    """Works on connections: picks a healthy node for each, and probes `/healthz` of each node once a second."""

    def __init__(self, site):
        self.site = site
        self.backends = [_Backend(node) for node in site.nodes]

    async def start(self):
        self.server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.probes = [asyncio.ensure_future(self._probe(b)) for b in self.backends]

    async def _probe(self, b):
        client = Client(b.node.listen)
        while True:
            at = time.monotonic()
            reply = await client.request("GET", "/healthz", timeout=1.0)
            self._note(b, reply is not None and reply[0] == 200)
            await asyncio.sleep(max(0.0, at + 1.0 - time.monotonic()))

    def _note(self, b, good):
        now = time.monotonic()
        b.results.append(good)
        last = list(b.results)
        if b.healthy and (last[-2:] == [False, False] or last.count(False) >= 3):
            b.healthy, b.unhealthy_since = False, now
            b.pause = min(60.0, 2 * b.pause) if b.removed_at and now - b.removed_at < 120 else 3.0
            b.removed_at = now
            self.site.note(f"load balancer: {b.node.name} is unhealthy")
        elif not b.healthy and (
            (good and not b.was_healthy)
            or (last[-2:] == [True, True] and b.unhealthy_since is not None and now - b.unhealthy_since >= b.pause)
        ):
            b.healthy, b.was_healthy, b.unhealthy_since = True, True, None
            b.results.clear()
            self.site.note(f"load balancer: {b.node.name} is healthy")
        if not b.healthy and b.unhealthy_since is not None and now - b.unhealthy_since >= 5.0 and b.connections:
            self.site.note(f"load balancer: {len(b.connections)} connections of {b.node.name} are reset")
            for writer in list(b.connections):
                writer.transport.abort()

    def node_of(self, client):
        """The node that a client's open connection goes to, or None."""
        if client._streams is None:
            return None
        port = client._streams[1].get_extra_info("sockname")[1]
        return self.by_port.get(port)

    by_port = {}  # noqa: RUF012

    async def _connection(self, reader, writer):
        port = writer.get_extra_info("peername")[1]
        tried = set()
        for _ in range(3):
            now = time.monotonic()
            able = [b for b in self.backends if b.healthy and b not in tried and b.skipped_until <= now]
            if not able:
                break
            b = min(able, key=lambda b: len(b.connections))
            tried.add(b)
            host, _, node_port = b.node.listen.rpartition(":")
            try:
                other_reader, other = await asyncio.wait_for(asyncio.open_connection(host, int(node_port)), 0.5)
            except (TimeoutError, OSError):
                b.failed_connections += 1
                if b.failed_connections >= 3:
                    b.failed_connections, b.skipped_until = 0, now + 3.0
                continue
            b.failed_connections = 0
            b.connections.add(writer)
            self.by_port[port] = b.node
            try:
                await asyncio.gather(self._pump(reader, other), self._pump(other_reader, writer))
            except OSError:
                pass
            finally:
                b.connections.discard(writer)
                self.by_port.pop(port, None)
                other.close()
            break
        writer.close()

    @staticmethod
    async def _pump(reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        finally:
            writer.close()
