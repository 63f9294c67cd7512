"""A stand-in for the users' load balancer, which works on connections.

For every new connection it selects a healthy node, preferring nodes with fewer open connections.  It probes every
node's `/healthz` and resets the connections of a node that has been unhealthy for a while.
Source: PROTOCOL, "Users -> controller nodes".
"""

import random
from collections import deque
from collections.abc import Iterable
from datetime import timedelta
from enum import Enum
from typing import Protocol

from kelpjunction.clock import ZERO, seconds

PROBE_INTERVAL = seconds(1)
PROBE_WINDOW = 6  # probes of which `FAILURES_IN_WINDOW` failures mark a node unhealthy
FAILURES_IN_WINDOW = 3
CONSECUTIVE_PROBES = 2  # failures that mark a node unhealthy, or successes that mark it healthy again
MIN_REMOVAL = seconds(3)
MAX_REMOVAL = seconds(60)
REMOVAL_MEMORY = seconds(120)  # a further removal within this time doubles the pause
RESET_AFTER = seconds(5)  # unhealthy for this long: its connections are reset
RAMP_UP = seconds(10)  # until a node that became healthy gets its full share of new connections
MAX_CONNECTION_ATTEMPTS = 3
FAILED_CONNECTIONS_TO_SKIP = 3
SKIP_DURATION = seconds(3)


class Backends(Protocol):
    """The nodes behind the load balancer."""

    def probe(self, node: str) -> bool:
        """Whether the node answers `GET /healthz` with 200 within the timeout of a probe."""
        ...

    def accepts_connections(self, node: str) -> bool: ...

    def process_instance(self, node: str) -> object:
        """An object that identifies the current process of the node; connections end with it."""
        ...


class BackendState(Enum):
    """How the load balancer sees a node; only `_Backend.become` changes it."""

    NEW = "new"  # was never healthy
    HEALTHY = "healthy"
    REMOVED = "removed"


class Connection:
    """A user's connection to a node, open until it is reset."""

    def __init__(self, node: str, process: object) -> None:
        self.node = node
        self.process = process
        self.is_reset = False


class _Backend:
    """One node as the load balancer sees it."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.state = BackendState.NEW
        self.since = ZERO  # when it entered the state
        self.probes: deque[bool] = deque(maxlen=PROBE_WINDOW)
        self.removal = ZERO  # how long it stays removed at least
        self.removed_at: timedelta | None = None
        self.removals = 0
        self.connections: list[Connection] = []
        self.failed_connections = 0
        self.skipped_until = ZERO

    def become(self, state: BackendState, now: timedelta) -> None:
        self.state, self.since = state, now
        self.probes.clear()
        if state is BackendState.REMOVED:
            repeated = self.removed_at is not None and now - self.removed_at < REMOVAL_MEMORY
            self.removal = min(2 * self.removal, MAX_REMOVAL) if repeated else MIN_REMOVAL
            self.removed_at = now
            self.removals += 1

    def note_probe(self, succeeded: bool, now: timedelta) -> None:
        self.probes.append(succeeded)
        last = list(self.probes)[-CONSECUTIVE_PROBES:]
        if self.state is BackendState.NEW:
            if succeeded:
                self.become(BackendState.HEALTHY, now)
        elif self.state is BackendState.HEALTHY:
            if last == [False] * CONSECUTIVE_PROBES or self.probes.count(False) >= FAILURES_IN_WINDOW:
                self.become(BackendState.REMOVED, now)
        elif last == [True] * CONSECUTIVE_PROBES and now - self.since >= self.removal:
            self.become(BackendState.HEALTHY, now)

    def note_connection(self, succeeded: bool, now: timedelta) -> None:
        self.failed_connections = 0 if succeeded else self.failed_connections + 1
        if self.failed_connections >= FAILED_CONNECTIONS_TO_SKIP:
            self.failed_connections, self.skipped_until = 0, now + SKIP_DURATION

    def share(self, now: timedelta) -> float:
        """The share of new connections that it gets, of those that a node which is healthy for long gets."""
        return min(1.0, (now - self.since) / RAMP_UP) if self.removed_at is not None else 1.0


class LoadBalancerStandIn:
    """Selects nodes for connections; `seed` decides only which nodes get connections while their share rises."""

    def __init__(self, nodes: Backends, names: Iterable[str], seed: int) -> None:
        self._nodes = nodes
        self._backends = {name: _Backend(name) for name in names}
        self._random = random.Random(f"load balancer {seed}")
        self._next_probe_at = ZERO

    def step(self, now: timedelta) -> None:
        """Probe all nodes if that is due, and reset the connections of nodes that are unhealthy for long."""
        if now < self._next_probe_at:
            return
        self._next_probe_at = now + PROBE_INTERVAL
        for backend in self._backends.values():
            backend.note_probe(self._nodes.probe(backend.name), now)
            if backend.state is BackendState.REMOVED and now - backend.since >= RESET_AFTER:
                for connection in backend.connections:
                    connection.is_reset = True
            backend.connections = [c for c in backend.connections if self.is_open(c)]

    def is_open(self, connection: Connection) -> bool:
        """Whether a connection still leads to the process that it was opened to."""
        return not connection.is_reset and self._nodes.process_instance(connection.node) is connection.process

    def connect(self, now: timedelta) -> Connection | None:
        """Open a connection to a healthy node; None if none accepts it."""
        tried: set[str] = set()
        for _ in range(MAX_CONNECTION_ATTEMPTS):
            backend = self._select(now, tried)
            if backend is None:
                return None
            tried.add(backend.name)
            accepted = self._nodes.accepts_connections(backend.name)
            backend.note_connection(accepted, now)
            if accepted:
                connection = Connection(backend.name, self._nodes.process_instance(backend.name))
                backend.connections.append(connection)
                return connection
        return None

    def _select(self, now: timedelta, tried: set[str]) -> _Backend | None:
        healthy = [
            backend
            for backend in self._backends.values()
            if backend.state is BackendState.HEALTHY and backend.name not in tried and now >= backend.skipped_until
        ]
        candidates = [backend for backend in healthy if self._random.random() < backend.share(now)] or healthy
        return min(candidates, key=lambda backend: len(backend.connections), default=None)

    def is_healthy(self, node: str) -> bool:
        """Whether the load balancer counts the node as healthy."""
        return self._backends[node].state is BackendState.HEALTHY

    def removals(self, node: str) -> int:
        """How often the node has been marked unhealthy."""
        return self._backends[node].removals
