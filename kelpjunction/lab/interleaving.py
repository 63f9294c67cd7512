"""A node's exchanges with workers, interleaved with all else that happens in the simulated world.

In a real process a request that is sent while a report is handled goes out behind the answer to that
report, and what comes back meets a node that has done other things meanwhile.  Here an exchange is a
greenlet: it begins later, its request takes its time to the worker, and the reply its time back.
"""

import random
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from greenlet import getcurrent, greenlet

from kelpjunction.clock import seconds
from kelpjunction.transport import NoResponse, Reply

DELAYS = (0.0, 0.0, 0.1, 0.2, 0.5)  # seconds until an exchange begins, of its request's way, and of its reply's


class InterleavingEnvironment(Protocol):
    """What exchanges ask of the world they run in."""

    def at(self, moment: timedelta, act: Callable[[], None]) -> None:
        """Do this at a moment of the clock, at the world's next step at the earliest."""

    def now(self) -> timedelta: ...

    def process_instance(self, node: str) -> object:
        """What identifies the process that runs under this name."""

    def when_running(self, node: str, act: Callable[[], None]) -> None:
        """Do this now, or once a node that stands still goes on."""


class InterleavedRequests:
    """Runs exchanges; `seed` draws their delays and nothing else."""

    def __init__(self, surroundings: InterleavingEnvironment, seed: int) -> None:
        self._world = surroundings
        self._random = random.Random(f"exchanges {seed}")

    def spawn(self, node: str, function: Callable, *args) -> None:
        """Run a node's function later, which may send requests."""
        exchange = _Exchange(lambda: function(*args))
        exchange.node, exchange.life = node, self._world.process_instance(node)
        self._later(lambda: self._resume(exchange, exchange.switch))

    def carry(self, handle: Callable[[], Reply], timeout: timedelta) -> Reply:
        """A request: at once from a node's loops; in an exchange, its greenlet waits until the reply is there."""
        exchange = getcurrent()
        if not isinstance(exchange, _Exchange):
            return handle()
        sent_at = self._world.now()

        def arrive() -> None:
            """At the worker, also if the sender was killed meanwhile."""
            try:
                reply: Reply | NoResponse = handle()
            except NoResponse as error:
                reply = error
            self._later(lambda: self._resume(exchange, lambda: exchange.switch(reply)))

        self._later(arrive)
        reply = exchange.parent.switch()
        if isinstance(reply, NoResponse):
            raise reply
        if self._world.now() - sent_at > timeout:
            raise NoResponse("the reply came too late")
        return reply

    def _later(self, act: Callable[[], None]) -> None:
        self._world.at(self._world.now() + seconds(self._random.choice(DELAYS)), act)

    def _resume(self, exchange: "_Exchange", switch: Callable[[], object]) -> None:
        """Let an exchange go on, unless its process was killed; one that stands still goes on later."""
        if self._world.process_instance(exchange.node) is exchange.life:
            exchange.parent = getcurrent()
            self._world.when_running(exchange.node, switch)


class _Exchange(greenlet):
    """One exchange, and the process that it belongs to."""

    node: str
    life: object
