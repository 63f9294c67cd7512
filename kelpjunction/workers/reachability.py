"""What is known of a worker, with its evidence and its age: one place decides it, pure.

A report proves that its worker lived when it was sent, not that it lives now, nor that anything
reaches it: reports come late, and come again as copies, and a machine may lose all that is sent to
it while its reports arrive.  What proves both is a round trip: an answer to a request of ours.  That
it is reached still is also shown by a report whose number follows on the one we answered: a worker
without an answer goes to another node, so the next number is spent there.
"""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from kelpjunction.clock import seconds

REPORT_RESPONSE_TIMEOUT = seconds(4.5)  # a worker drops what answers a report after 4 s
UNREACHABLE_AFTER = 2  # requests in turn without an answer, and no other proof between them
PROOFS_TO_RECOVER = 2  # that an unreachable worker must give, a report's time apart, before it counts again

MessageNumber = tuple[int, int]  # session and sequence: the larger one is the newer message


class Reachability(Enum):
    """UNKNOWN -> REACHABLE <-> UNREACHABLE; `ReachabilityTracker._set_reachability` makes every change."""

    UNKNOWN = "unknown"  # heard of, by what may be a copy; nothing has reached it from here yet
    REACHABLE = "reachable"
    UNREACHABLE = "unreachable"  # whatever its reports say, nothing sent to it is answered


class Evidence(Enum):
    """What a message is worth."""

    STALE = "stale"  # not newer than what is known: nothing of it counts
    CLAIM = "claim"  # newer, but perhaps a copy from the past, also of the worker's life before its process restarted
    SUCCESSOR = "successor"  # the number behind one that was answered: what it lacks may be there all the same
    PROOF = "proof"  # how things stand now


@dataclass(slots=True)
class ReachabilityTracker:
    """A worker's numbers, and whether it is reached."""

    report_interval: timedelta  # how often workers report
    reachability: Reachability = Reachability.UNKNOWN
    newest: MessageNumber = (0, 0)
    # The messages of the last moments, and one before: by number, when they came.
    recent_messages: deque[tuple[MessageNumber, timedelta]] = field(default_factory=deque)
    proved_at: timedelta | None = None  # the last round trip
    failures: int = 0  # requests in turn without an answer
    proofs: int = 0  # since it was unreachable
    numbering_restarted: bool = False  # its numbers began anew: copies of its life before may be larger

    def on_report(self, number: MessageNumber, now: timedelta) -> Evidence:
        """A report came.

        Of a worker that began anew none counts: what it answers when it is asked does.
        """
        if self.numbering_restarted or number <= self.newest:
            return Evidence.STALE
        # Directly behind a message that we answered, or that answered us.
        follows = self.newest == (number[0], number[1] - 1) and self.reachability is Reachability.REACHABLE
        self._note(number, now)
        if not follows:
            return Evidence.CLAIM
        self._prove(now)
        return Evidence.SUCCESSOR

    def on_response(
        self, number: MessageNumber, newest_when_sent: MessageNumber, now: timedelta
    ) -> tuple[Evidence, bool]:
        """An answer to a request of ours came; `newest_when_sent` is what was the newest when that was sent.

        Returns its worth, and whether the worker began anew: what it says to a
        request is newer than all we knew before, so if its number is not, it counts from the beginning.
        """
        began_anew = number < newest_when_sent
        if not began_anew and number <= self.newest:
            # Others overtook it; that it came proves as much all the same.
            self._prove(now)
            return Evidence.STALE, False
        self.numbering_restarted = self.numbering_restarted or began_anew
        if began_anew:
            self.recent_messages.clear()
        self._note(number, now)
        self._prove(now)
        return Evidence.PROOF, began_anew

    def on_no_response(self) -> None:
        """A request of ours got no answer."""
        self.failures += 1
        self.proofs = 0
        if self.failures >= UNREACHABLE_AFTER:
            self._set_reachability(Reachability.UNREACHABLE)

    def _prove(self, now: timedelta) -> None:
        if self.reachability is Reachability.UNREACHABLE:
            if self.proofs and now - self.proved_at < self.report_interval:
                return  # too soon behind the first to say more than that did
            self.proofs += 1
        self.proved_at, self.failures = now, 0
        if self.reachability is not Reachability.UNREACHABLE or self.proofs >= PROOFS_TO_RECOVER:
            self._set_reachability(Reachability.REACHABLE)

    def _set_reachability(self, reachability: Reachability) -> None:
        """The one place where `reachability` changes."""
        if reachability is not self.reachability:
            self.reachability, self.proofs = reachability, 0

    def needs_probe(self, now: timedelta) -> bool:
        """Whether nothing shows at this moment that it is reached."""
        return self.proved_at != now

    @property
    def presumed_unreachable(self) -> bool:
        """Whether nothing reaches it: who has answered once is not given up again at once."""
        return self.reachability is Reachability.UNREACHABLE and not self.proofs

    def may_wait(self, number: MessageNumber, now: timedelta) -> bool:
        """Whether the sender of this report may still wait for its answer, which would then renew its lease.

        Not if a later message was known before that: it has given this one up.
        """
        self._drop_old(now)
        then, at = self.recent_messages[0] if self.recent_messages else (number, now)
        return number >= then or now - at < REPORT_RESPONSE_TIMEOUT

    def _note(self, number: MessageNumber, now: timedelta) -> None:
        self.newest = number
        self.recent_messages.append((number, now))
        self._drop_old(now)

    def _drop_old(self, now: timedelta) -> None:
        """Keep the latest message that is older than anybody waits, and those behind it."""
        while len(self.recent_messages) > 1 and now - self.recent_messages[1][1] >= REPORT_RESPONSE_TIMEOUT:
            self.recent_messages.popleft()
