"""A TCP proxy that can be cut: it then neither forwards nor closes anything, as a network that drops packets."""

import asyncio


class Proxy:
    """Forwards connections to `target()`, an address; while `cut` is set nothing passes in either direction."""

    def __init__(self, target):
        self.target = target
        self.passing = asyncio.Event()
        self.passing.set()
        self.connections = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._connection, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{self.port}"

    def cut(self, cut=True):
        (self.passing.clear if cut else self.passing.set)()

    def reset(self):
        """Reset all open connections."""
        for writer in list(self.connections):
            writer.transport.abort()

    async def _connection(self, reader, writer):
        self.connections.add(writer)
        other = None
        try:
            await self.passing.wait()
            host, _, port = self.target().rpartition(":")
            other_reader, other = await asyncio.open_connection(host, int(port))
            self.connections.add(other)
            await asyncio.gather(self._pump(reader, other), self._pump(other_reader, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for each in (writer, other):
                if each is not None:
                    self.connections.discard(each)
                    each.close()

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.passing.wait()
                writer.write(data)
                await writer.drain()
        finally:
            await self.passing.wait()
            writer.close()
