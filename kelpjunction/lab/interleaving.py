"""Interleaves a node's exchanges with workers with everything else in the simulated site.

In a real process, a request that results from a report is sent after the response to that report, and the
reply reaches a node that has done other things in the meantime.  Here an exchange is a greenlet that begins
after a delay; its request to the worker and the reply are delayed as well.
"""

import random
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from greenlet import getcurrent, greenlet

from kelpjunction.clock import seconds
from kelpjunction.transport import NoResponse, Reply

DELAYS_S = (0.0, 0.0, 0.1, 0.2, 0.5)  # before an exchange begins, for its request and for its reply


class InterleavingEnvironment(Protocol):
    """What exchanges need from the simulated site that they run in."""

    def at(self, moment: timedelta, act: Callable[[], None]) -> None:
        """Call `act` at this time of the simulated clock, but not before the next step."""

    def now(self) -> timedelta: ...

    def process_instance(self, node: str) -> object:
        """An object that identifies the current process of the node with this name."""

    def when_running(self, node: str, act: Callable[[], None]) -> None:
        """Call `act` now or, if the node is paused, when it resumes."""


class InterleavedRequests:
    """Runs exchanges; `seed` determines only their delays."""

    def __init__(self, environment: InterleavingEnvironment, seed: int) -> None:
        self._world = environment
        self._random = random.Random(f"exchanges {seed}")

    def spawn(self, node: str, function: Callable, *args) -> None:
        """Run a node's function, which may send requests, after a delay."""
        exchange = _Exchange(lambda: function(*args))
        exchange.node, exchange.process = node, self._world.process_instance(node)
        self._later(lambda: self._resume(exchange, exchange.switch))

    def carry(self, handle: Callable[[], Reply], timeout: timedelta) -> Reply:
        """Carry out a request: immediately for a node's loops; in an exchange, its greenlet waits for the reply.

        Raises `NoResponse` if the reply takes longer than `timeout`.
        """
        exchange = getcurrent()
        if not isinstance(exchange, _Exchange):
            return handle()
        sent_at = self._world.now()

        def arrive() -> None:
            """Carry out the request at the worker, even if the sender was killed in the meantime."""
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
            raise NoResponse("the reply came after the timeout")
        return reply

    def _later(self, act: Callable[[], None]) -> None:
        self._world.at(self._world.now() + seconds(self._random.choice(DELAYS_S)), act)

    def _resume(self, exchange: "_Exchange", switch: Callable[[], object]) -> None:
        """Resume an exchange unless its process was killed; if its node is paused, resume it later."""
        if self._world.process_instance(exchange.node) is exchange.process:
            exchange.parent = getcurrent()
            self._world.when_running(exchange.node, switch)


class _Exchange(greenlet):
    """One exchange and the process that it belongs to."""

    node: str
    process: object
