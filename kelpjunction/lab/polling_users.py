"""Users who keep a connection through the load balancer and poll their jobs, and the rule `forgotten` for them.

A user polls about every 5 s and waits 2 s for each answer.  The connection stays open, whatever the answers are, until
it is reset.
Source: PROTOCOL, "GET /api/jobs/{id}" and "Rules".
"""

from collections.abc import Callable, Iterator
from datetime import timedelta

from kelpjunction.clock import ZERO, seconds
from kelpjunction.lab.balancer import Connection, LoadBalancerStandIn
from kelpjunction.lab.rules import failing_polls_violations

POLL_INTERVAL = seconds(5)
POLL_TIMEOUT = seconds(2)
FINAL_STATES = ("done", "withdrawn")


class PollingUser:
    """One user, one job and one connection."""

    def __init__(self, ref: str, now: timedelta) -> None:
        self.ref = ref
        self.connection: Connection | None = None
        self.next_poll_at = now
        self.failing_since: timedelta | None = None  # start of the first poll since the last answer
        self.forgotten_since: timedelta | None = None  # the same, while most other users get answers
        self.longest_failure = ZERO
        self.answered_at: list[timedelta] = []
        self.is_waiting = False
        self.has_final_answer = False

    def note_answer(self, state: str | None, asked_at: timedelta, now: timedelta) -> None:
        """Record the state that a poll was answered with, or None if it failed."""
        self.is_waiting = False
        if state is not None and now - asked_at <= POLL_TIMEOUT:
            self.answered_at.append(now)
            self.failing_since = None
            self.has_final_answer = state in FINAL_STATES
            return
        if self.failing_since is None:
            self.failing_since = asked_at
        self.longest_failure = max(self.longest_failure, now - self.failing_since)


class PollingUsers:
    """All users behind a load balancer.

    `poll(ref, node)` asks a node for a job's state and returns it, or None without an answer.  `meanwhile(request)`
    runs a request that may wait for its answer.  Violations of the rule are appended to `broken`.
    """

    def __init__(
        self,
        balancer: LoadBalancerStandIn,
        poll: Callable[[str, str], str | None],
        meanwhile: Callable[[Callable[[], None]], None],
        now: Callable[[], timedelta],
        broken: list[str],
    ) -> None:
        self._balancer = balancer
        self._poll = poll
        self._meanwhile = meanwhile
        self._now = now
        self.users: dict[str, PollingUser] = {}  # by job
        self._broken = broken

    def add(self, ref: str, delay: timedelta = ZERO) -> PollingUser:
        """Let a user poll an accepted job, from `delay` on."""
        user = self.users[ref] = PollingUser(ref, self._now() + delay)
        return user

    def step(self) -> None:
        """Send the polls that are due, and check the rule."""
        now = self._now()
        for user in list(self.active_users()):
            if now >= user.next_poll_at and not user.is_waiting:
                user.next_poll_at = now + POLL_INTERVAL
                self._send(user)
        self._check(now)

    def active_users(self) -> Iterator[PollingUser]:
        """The users whose jobs have not ended, as far as they were told."""
        return (user for user in self.users.values() if not user.has_final_answer)

    def _send(self, user: PollingUser) -> None:
        asked_at = self._now()
        if user.connection is None or not self._balancer.is_open(user.connection):
            user.connection = self._balancer.connect(asked_at)
        if user.connection is None:
            user.note_answer(None, asked_at, asked_at)
            return
        node = user.connection.node
        user.is_waiting = True

        def request() -> None:
            try:
                state = self._poll(user.ref, node)
            finally:
                user.is_waiting = False
            user.note_answer(state, asked_at, self._now())

        self._meanwhile(request)

    def _check(self, now: timedelta) -> None:
        """Append users whose polls all fail for too long while most others get answers."""
        users = list(self.active_users())
        failing = [user for user in users if user.failing_since is not None]
        most_are_answered = 2 * len(failing) < len(users)
        for user in users:
            if user.failing_since is None or not most_are_answered:
                user.forgotten_since = None
                continue
            if user.forgotten_since is None:
                user.forgotten_since = now
            if violations := failing_polls_violations(user.ref, now - user.forgotten_since):
                self._broken += violations
                user.forgotten_since = None  # counts anew, so that one lasting failure does not fill the list
