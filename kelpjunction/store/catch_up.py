"""When a node may act on a right that it has gained: once its mirror has caught up with that right.

A right is gained by a transaction: a leader's term, a grant of a block, the lead of the ticket gateways.  A node may
know of its right before its mirror has all that was applied before: its own commit is put in at once, a key is read
again after a conflict, and the pages of a full read are of different revisions.  Until that transaction was applied,
everything that the previous owner sent could still be applied, also what an earlier process of this node sent and got
no answer to.  Afterwards the previous owner's guards fail.  So a decision under the right knows all that the previous
owner did if, and only if, the mirror has reached the revision at which the right was gained.

    right               revision                     what waits for it
    leader's term       of the takeover              rounds of the leader: grants of blocks, ends of jobs, deletion of
                                                     orphan chunks, deficits, dispatches; calls of the cloud; closings
                                                     of the ledger
    grant of a block    of the grant since which     results, starts and returned dispatches of that block, preemption
                        its holder has held the      for them; in responses to reports: starts, and commands for tasks
                        block without interruption   that the records don't have (stop, `forget`)
    gateways' lead      of the takeover              changes of ticket runs, sweeps

Nothing else waits: cancellations and other required stops, renewals of leases, probes, new tokens of a holder, the
node's own membership.

The wait ends with the next answer to a watch, which the gaining transaction itself causes, so it costs no request.  An
open watch may stay silent while other requests are answered.  Then all keys are read again after half the duration
of a store lease, earlier than another node could replace a leader that had failed.  A leader that has not caught up
after two such durations, which leave time for that read, gives its term up: another node may be able to lead.
Source: PROTOCOL, "Delayed messages" and "Limits and errors".
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from gevent.event import Event

from kelpjunction.clock import Clock
from kelpjunction.store.client import StoreUnavailable
from kelpjunction.store.mirror import Mirror

log = logging.getLogger("store")


@dataclass(frozen=True, slots=True)
class _Wait:
    """What is called once the mirror has reached a revision, and since when it waits."""

    revision: int
    since: timedelta
    act: Callable[[], None]


class CatchUp:
    """Tells whether a node's mirror has caught up with the rights that the node has gained.

    `store_lease` is the duration of the node's store lease, from which the bounds of the wait are derived; `spawn`
    runs a function without waiting for it.
    """

    def __init__(self, mirror: Mirror, clock: Clock, store_lease: timedelta, spawn: Callable) -> None:
        self._mirror = mirror
        self._clock = clock
        self._spawn = spawn
        self._waits: list[_Wait] = []
        self._read_interval = store_lease / 2
        self._read_at: timedelta | None = None  # start of the last read of all keys for a wait
        self._reading = False
        self.give_up_after = 2 * store_lease
        self.watch_wanted = Event()  # set when a wait begins, so that the next watch is opened without a pause
        mirror.on_advance = self._mirror_advanced

    def reached(self, revision: int) -> bool:
        """Whether every change up to this revision of the state service is in the mirror."""
        return self._mirror.revision is not None and self._mirror.revision >= revision

    def when_reached(self, revision: int, act: Callable[[], None]) -> None:
        """Call `act` once the mirror has reached a revision: at once, or as soon as it does."""
        if self.reached(revision):
            act()
            return
        self._waits.append(_Wait(revision, self._clock.steady(), act))
        self.watch_wanted.set()

    def _mirror_advanced(self) -> None:
        reached = [wait for wait in self._waits if self.reached(wait.revision)]
        self._waits = [wait for wait in self._waits if not self.reached(wait.revision)]
        if not self._waits:
            self.watch_wanted.clear()
        for wait in reached:
            wait.act()

    def read_if_overdue(self) -> None:
        """Read all keys again if a right has waited for too long; to be called several times in a store lease."""
        now = self._clock.steady()
        since = min((wait.since for wait in self._waits), default=now)
        if self._read_at is not None:
            since = max(since, self._read_at)
        if not self._reading and now - since > self._read_interval:
            self._reading, self._read_at = True, now
            self._spawn(self._read)

    def _read(self) -> None:
        log.info("the watch has not reached the revision of a gained right; all keys are read again")
        try:
            self._mirror.load()
        except StoreUnavailable as error:
            log.debug("all keys could not be read again: %s", error)
        finally:
            self._reading = False
