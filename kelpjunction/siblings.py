"""What nodes tell each other: the state of their mirrors of the state service.

A node asks its siblings, on their internal addresses; nothing is asked of the state service.  Unknown fields are
ignored and missing ones are tolerated, since nodes of different versions run side by side.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import NamedTuple

from kelpjunction.clock import MILLISECOND, seconds
from kelpjunction.settings import Sibling
from kelpjunction.store.mirror import Mirror
from kelpjunction.transport import NoResponse, Transport

PEER_PATH = "/peer"
REQUEST_TIMEOUT = seconds(1)


class SiblingState(NamedTuple):
    """The state of a sibling's mirror when it answered."""

    fresh: bool
    revision: int | None = None  # that the mirror has reached; None if the sibling's version does not tell
    age: timedelta | None = None  # time since the mirror was known to be current; None as above, or before it is loaded


def encode_state(mirror: Mirror, now: timedelta) -> dict:
    """The answer to a sibling that asks for the state of this node's mirror; `now` is this node's steady time."""
    age = None if mirror.known_until is None else (now - mirror.known_until) // MILLISECOND
    return {"fresh": mirror.fresh, "revision": mirror.revision or 0, "age_ms": age}


def parse_state(fields: dict) -> SiblingState:
    """Parse a sibling's answer."""
    revision, age = fields.get("revision"), fields.get("age_ms")
    return SiblingState(
        fields.get("fresh") is True,
        revision if isinstance(revision, int) else None,
        age * MILLISECOND if isinstance(age, int) else None,
    )


def request_state(transport: Transport, sibling: Sibling) -> SiblingState | None:
    """Ask a sibling for the state of its mirror; None if it gives no answer within `REQUEST_TIMEOUT`."""
    try:
        reply = transport.request(sibling.address, "GET", PEER_PATH, None, REQUEST_TIMEOUT)
    except NoResponse:
        return None
    return parse_state(reply.fields) if reply.status == 200 else None


class SiblingRequests:
    """Asks siblings without waiting for their answers; at most one request to each is in progress.

    `request` asks one sibling, and `spawn` runs it in the background.
    """

    def __init__(
        self,
        siblings: Iterable[Sibling],
        spawn: Callable,
        request: Callable[[Sibling], SiblingState | None],
    ) -> None:
        self.siblings = tuple(siblings)
        self._spawn = spawn
        self._request = request
        self._in_progress: set[str] = set()

    def ask(self, sibling: Sibling, on_answer: Callable[[SiblingState], None]) -> None:
        """Ask a sibling unless a request is in progress; `on_answer` is called if it answers."""
        if sibling.node not in self._in_progress:
            self._in_progress.add(sibling.node)
            self._spawn(self._ask, sibling, on_answer)

    def _ask(self, sibling: Sibling, on_answer: Callable[[SiblingState], None]) -> None:
        try:
            state = self._request(sibling)
        finally:
            self._in_progress.discard(sibling.node)
        if state is not None:
            on_answer(state)
