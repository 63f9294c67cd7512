"""Decides which start commands can still take effect at a worker, and the token that excludes them.  Performs no I/O.

A worker executes a command whose session matches and whose token is not below the highest that the worker has seen.
An answer does not spend a command: a copy of it may arrive once more, also after the worker was told to forget the
attempt, which would then start again.  So a start counts as possible until its worker has seen a token above the one
that it was sent under.

A grant reserves a range of tokens for its holder.  The holder sends each worker a token of its own from that range,
which rises when the worker must refuse earlier starts; other workers do not notice.  Within a session, a response to a
report is never executed late, so starts in responses need no fence.
Source: PROTOCOL, "Tokens", "Delayed messages", and "Workers -> controller nodes" on repeated commands.
"""

from collections.abc import Iterable
from typing import NamedTuple

from kelpjunction.blocks.tokens import TokenRange
from kelpjunction.wire.messages import TaskId


class Attempt(NamedTuple):
    """One numbered start of a task."""

    task: TaskId
    number: int


class StartFence:
    """The token for one worker, and the tokens under which starts were sent directly to it.

    `unknown_upto` is the highest token under which starts that this holder does not know may have been sent.
    """

    def __init__(self, unknown_upto: int) -> None:
        self._unknown_upto = unknown_upto
        self._token = 0
        self._start_tokens: dict[Attempt, int] = {}

    def token(self, granted: TokenRange, shown: int) -> int:
        """The token for the next message to the worker; `shown` is the highest that it has shown."""
        shown_of_grant = shown if shown <= granted.last else 0
        self._token = max(self._token, granted.first, shown_of_grant)
        return self._token

    def start_sent(self, attempt: Attempt, token: int) -> None:
        """Note that a start is sent directly, so that it or a copy of it may arrive at any later time."""
        self._token = max(self._token, token)
        self._start_tokens[attempt] = max(token, self._start_tokens.get(attempt, 0))

    def may_start(self, attempt: Attempt, seen: int) -> bool:
        """Whether a worker that has seen the token `seen` would still execute a start that was sent for the attempt."""
        return seen <= self._last_start_token(attempt)

    def exclude(self, attempts: Iterable[Attempt], granted: TokenRange) -> bool:
        """Raise the worker's token above those of the starts sent for these attempts.

        Returns False, without any change, if the grant has no such token left.
        """
        return self._raise_above(max(map(self._last_start_token, attempts), default=0), granted)

    def token_proved(self, token: int) -> None:
        """Forget the starts under tokens below this one, which the worker has shown in a response."""
        if any(sent < token for sent in self._start_tokens.values()):
            self._start_tokens = {attempt: sent for attempt, sent in self._start_tokens.items() if sent >= token}

    def process_restarted(self, granted: TokenRange) -> bool:
        """Count every start sent until now as possible again, since the new process has seen no token, and exclude it.

        Returns False, without excluding them, if the grant has no higher token left.
        """
        self._unknown_upto = self.highest_start_token
        self._start_tokens.clear()
        return self._raise_above(self._unknown_upto, granted)

    def _raise_above(self, token: int, granted: TokenRange) -> bool:
        if token >= granted.last:
            return False
        self._token = max(self._token, token + 1)
        return True

    @property
    def highest_start_token(self) -> int:
        """The highest token under which any start may still take effect."""
        return max(self._unknown_upto, self._token)

    def _last_start_token(self, attempt: Attempt) -> int:
        return max(self._unknown_upto, self._start_tokens.get(attempt, 0))
