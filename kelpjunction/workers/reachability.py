"""Decides what a worker's messages prove and whether requests reach the worker.  Performs no I/O.

A report proves that its worker was alive when it sent the report.  It does not prove that the worker
is alive now, or that requests reach it: reports can arrive late or as copies, and a machine may lose
all inbound traffic while its reports still arrive.  A round trip, which is a response to a request
of ours, proves both.  A report whose number directly follows one that we answered also shows that the
worker is still reachable: a worker that gets no response sends its next report, with the next number,
to another node.

Nothing in a report tells which process of the worker sent it.  A restarted process starts its session,
number and token over, so a late copy from an earlier process may have exactly those that the next report
of the present process will have.  Only a round trip shows what the present process has.
"""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from kelpjunction.clock import seconds

REPORT_RESPONSE_TIMEOUT = seconds(4.5)  # a worker drops a response to its report after 4 s
UNREACHABLE_AFTER = 2  # consecutive requests without a response, and no other proof between them
PROOFS_TO_RECOVER = 2  # from an unreachable worker, at least a report interval apart, to count as reachable

MessageNumber = tuple[int, int]  # session and sequence number; of two messages, the larger is the newer


class Watermark(NamedTuple):
    """The largest message number and token that a worker has shown; neither falls while one process of it runs."""

    number: MessageNumber = (0, 0)
    token: int = 0

    def shows_restart(self, number: MessageNumber, token: int) -> bool:
        """Whether a response to a request sent after this comes from a later process of the worker.

        Each message has a number of its own, so the response of the same process has a larger one.
        """
        return number <= self.number or token < self.token


class Reachability(Enum):
    """UNKNOWN -> REACHABLE <-> UNREACHABLE; `ReachabilityTracker._set_reachability` makes every change."""

    UNKNOWN = "unknown"  # only messages that may be copies have come; no request has reached it yet
    REACHABLE = "reachable"
    UNREACHABLE = "unreachable"  # requests to it get no response, whether or not reports arrive


class Evidence(Enum):
    """What a message proves."""

    STALE = "stale"  # not newer than the newest message known: ignored
    CLAIM = "claim"  # newer, but may be an old copy, even from before the worker's process restarted
    SUCCESSOR = "successor"  # directly follows an answered message, but may be a copy from an earlier process
    PROOF = "proof"  # shows the worker's present state


@dataclass(slots=True)
class ReachabilityTracker:
    """Tracks a worker's message numbers and whether requests reach the worker."""

    report_interval: timedelta  # how often workers report
    reachability: Reachability = Reachability.UNKNOWN
    newest: MessageNumber = (0, 0)
    # Messages received within REPORT_RESPONSE_TIMEOUT, and the last one before: number and time received.
    recent_messages: deque[tuple[MessageNumber, timedelta]] = field(default_factory=deque)
    proved_at: timedelta | None = None  # time of the last proof that it is reachable
    failures: int = 0  # consecutive requests without a response
    proofs: int = 0  # since it became unreachable
    numbering_restarted: bool = False  # copies from before the restart may have larger numbers

    def on_report(self, number: MessageNumber, now: timedelta) -> Evidence:
        """Register a report and return what it proves.

        After the worker's numbering restarted, no report counts, only responses to requests.
        """
        if self.numbering_restarted or number <= self.newest:
            return Evidence.STALE
        # It directly follows a message that we answered, or a response to a request of ours.
        is_successor = self.newest == (number[0], number[1] - 1) and self.reachability is Reachability.REACHABLE
        self._record_message(number, now)
        if not is_successor:
            return Evidence.CLAIM
        self._record_proof(now)
        return Evidence.SUCCESSOR

    def on_response(self, number: MessageNumber, restarted: bool, now: timedelta) -> Evidence:
        """Register a response to a request and return what it proves.

        `restarted` says that it shows a restart of the worker (`Watermark.shows_restart`).
        """
        if not restarted and number <= self.newest:
            # Later messages overtook it, but its arrival still proves that the worker is reachable.
            self._record_proof(now)
            return Evidence.STALE
        self.numbering_restarted = self.numbering_restarted or restarted
        if restarted:
            self.recent_messages.clear()
        self._record_message(number, now)
        self._record_proof(now)
        return Evidence.PROOF

    def on_no_response(self) -> None:
        """Register a request that got no response."""
        self.failures += 1
        self.proofs = 0
        if self.failures >= UNREACHABLE_AFTER:
            self._set_reachability(Reachability.UNREACHABLE)

    def _record_proof(self, now: timedelta) -> None:
        if self.reachability is Reachability.UNREACHABLE:
            if self.proofs and now - self.proved_at < self.report_interval:
                return  # too soon after the first to prove anything more
            self.proofs += 1
        self.proved_at, self.failures = now, 0
        if self.reachability is not Reachability.UNREACHABLE or self.proofs >= PROOFS_TO_RECOVER:
            self._set_reachability(Reachability.REACHABLE)

    def _set_reachability(self, reachability: Reachability) -> None:
        """Change `reachability`; nothing else does."""
        if reachability is not self.reachability:
            self.reachability, self.proofs = reachability, 0

    def needs_probe(self, now: timedelta) -> bool:
        """Whether nothing received at `now` proves that the worker is reachable."""
        return self.proved_at != now

    @property
    def presumed_unreachable(self) -> bool:
        """Whether the worker is unreachable and has not responded since.

        One response ends this, although `reachability` changes only after PROOFS_TO_RECOVER.
        """
        return self.reachability is Reachability.UNREACHABLE and not self.proofs

    def may_wait(self, number: MessageNumber, now: timedelta) -> bool:
        """Whether the sender of this report may still wait for the response, which would then renew its lease.

        It does not if a later message came REPORT_RESPONSE_TIMEOUT ago or earlier: it has given this report up.
        """
        self._drop_old_messages(now)
        oldest, received_at = self.recent_messages[0] if self.recent_messages else (number, now)
        return number >= oldest or now - received_at < REPORT_RESPONSE_TIMEOUT

    def _record_message(self, number: MessageNumber, now: timedelta) -> None:
        self.newest = number
        self.recent_messages.append((number, now))
        self._drop_old_messages(now)

    def _drop_old_messages(self, now: timedelta) -> None:
        """Keep the latest message that is older than REPORT_RESPONSE_TIMEOUT, and all later ones."""
        while len(self.recent_messages) > 1 and now - self.recent_messages[1][1] >= REPORT_RESPONSE_TIMEOUT:
            self.recent_messages.popleft()
