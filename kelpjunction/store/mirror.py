"""Each node's copy of the live keys, kept by following the state service.

The copy lags, so nothing is told to a user from it without asking the state
service whether it still holds (`Verifier`).  A node's own commits are put in
at once; the news of them arrives later and changes nothing.
"""

import logging
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from gevent.event import AsyncResult

from kelpjunction.clock import Clock
from kelpjunction.renewal import MAX_WATCH_TIMEOUT
from kelpjunction.store.client import CommitStatus, StoreClient, StoreUnavailable
from kelpjunction.transport import Transport
from kelpjunction.wire.state import GUARDS_PER_OP, Change

log = logging.getLogger("store")

STALE_AFTER = timedelta(seconds=4)
REREAD_EVERY = timedelta(seconds=60)
LIVE_PREFIX = "l/"


class Mirror:
    """All keys below a prefix as this process last saw them: the live keys, unless another is given."""

    def __init__(
        self,
        store: StoreClient,
        clock: Clock,
        transport: Transport,
        prefix: str = LIVE_PREFIX,
        watch: timedelta = MAX_WATCH_TIMEOUT,
    ) -> None:
        self._prefix = prefix
        self._watch = watch  # how long to wait for news
        self._store = store
        self._clock = clock
        self._transport = transport
        self._entries: dict[str, Change] = {}
        self._deleted: dict[str, int] = {}
        self._listeners: list[tuple[str, Callable[[str, Any, int], None]]] = []
        self.revision: int | None = None
        # A moment up to which every change is known here: `renewal` rests on it.
        self.known_until: timedelta | None = None
        self._read_at: timedelta | None = None  # when everything was read last
        self.on_foreign_changes: Callable[[int], None] = lambda changes: (
            None
        )  # told how many changes others had applied

    @property
    def loaded(self) -> bool:
        return self.revision is not None

    @property
    def fresh(self) -> bool:
        """Whether this node has heard the state service's news lately."""
        return self.known_until is not None and self._clock.steady() - self.known_until < STALE_AFTER

    def listen(self, prefix: str, listener: Callable[[str, Any, int], None]) -> None:
        """Call `listener(key, value, version)` for each change below a prefix."""
        self._listeners.append((prefix, listener))

    def get(self, key: str) -> Change | None:
        return self._entries.get(key)

    def version(self, key: str) -> int:
        """The version to guard with; 0 if the key does not exist as far as we know."""
        entry = self._entries.get(key)
        return entry.version if entry else 0

    def below(self, prefix: str) -> list[Change]:
        return [e for k, e in self._entries.items() if k.startswith(prefix)]

    def load(self) -> None:
        """Read everything anew."""
        asked_at = self._clock.steady()
        entries, revision = self._store.scan(self._prefix)
        present = {e.key for e in entries}
        unlike = 0  # what was not known as it is, though its news should have come
        for key in [k for k in self._entries if k not in present]:
            if self._entries[key].version <= revision:
                unlike += self.put(key, None, revision)
        for entry in entries:
            unlike += self.put(*entry) and self.revision is not None and entry.version <= self.revision
        self.revision, self.known_until, self._read_at = revision, asked_at, asked_at
        self._deleted = {k: v for k, v in self._deleted.items() if v > revision}
        log.info(
            "keys below %s read: %d at revision %d, %d not as followed", self._prefix, len(entries), revision, unlike
        )

    def watch_once(self) -> None:
        """Wait for the next changes and put them in; now and then compare with all that is kept.

        A job that no news told of would be known to no queue, and never run.
        """
        asked_at = self._clock.steady()
        if self.revision is None or asked_at - self._read_at >= REREAD_EVERY:
            self.load()
            return
        got = self._store.watch(self._prefix, self.revision, self._watch, self._transport)
        if got is None:
            self.load()
            return
        news, revision = got
        others = sum(self.put(*change) for change in news)
        if others:
            self.on_foreign_changes(others)
        self.revision = max(revision, self.revision)
        self.known_until = asked_at
        if self._deleted:
            self._deleted = {k: v for k, v in self._deleted.items() if v > self.revision}

    def put(self, key: str, value: Any, version: int) -> bool:
        """Put in one change, own or followed, unless a newer one is known; whether it is news."""
        old = self._entries.get(key)
        if version <= (old.version if old else self._deleted.get(key, 0)):
            return False
        if value is None:
            self._deleted[key] = version
            self._entries.pop(key, None)
            if old is None:
                return True
        else:
            # A deletion that is known must not be undone by older news of
            # the key: that is what `_deleted` remembers.
            self._deleted.pop(key, None)
            self._entries[key] = Change(key, value, version)
        for prefix, listener in self._listeners:
            if key.startswith(prefix):
                listener(key, value, version)
        return True

    def refresh(self, key: str) -> None:
        """The copy of this key lags behind the store: read it alone."""
        entry = self._store.get(key)
        old = self._entries.get(key)
        if entry is not None:
            self.put(*entry)
        elif old is not None:
            self.put(key, None, old.version + 1)

    def put_outcome(self, puts: dict[str, Any], deletes, revision: int) -> None:
        """Put in a transaction of our own that was applied."""
        for key, value in puts.items():
            self.put(key, value, revision)
        for key in deletes:
            self.put(key, None, revision)


class Verifier:
    """Asks whether versions still hold, many questions in one request.

    A question is only answered by a request that was sent after it was asked:
    that makes an answer from the mirror as good as a read of the store.
    """

    def __init__(self, store: StoreClient, spawn: Callable, pause: Callable[[timedelta], None], rate: float) -> None:
        self._store = store
        self._spawn = spawn
        self._pause = pause
        self._spacing = timedelta(seconds=1 / rate)
        self._asked: list[tuple[dict[str, int], AsyncResult]] = []
        self._busy = False
        self._most = store.limits.txn_ops * GUARDS_PER_OP

    def versions_current(self, guards: dict[str, int], timeout: timedelta = timedelta(seconds=1.5)) -> bool:
        """Whether each key has the given version; raises `StoreUnavailable` if that can't be told."""
        answer: AsyncResult = AsyncResult()
        asked = (guards, answer)
        self._asked.append(asked)
        if not self._busy:
            self._busy = True
            self._spawn(self._process_pending)
        answer.wait(timeout.total_seconds())
        # Nobody waits for it any more.  Where more was asked than could be
        # compared, these were answered first, and all others too late.
        self._asked = [a for a in self._asked if a is not asked]
        result = answer.value
        if result is None:
            raise StoreUnavailable("versions could not be compared")
        return result

    def _process_pending(self) -> None:
        try:
            while self._asked:
                self._answer_some()
                # What is asked meanwhile shares the next request.
                self._pause(self._spacing)
        finally:
            self._busy = False

    def _answer_some(self) -> None:
        batch: list[tuple[dict[str, int], AsyncResult]] = []
        guards: dict[str, int] = {}
        later: list[tuple[dict[str, int], AsyncResult]] = []
        for asked in self._asked:
            versions, _ = asked
            clash = any(guards.get(k, v) != v for k, v in versions.items())
            if clash or len(guards) + len(versions) > self._most:
                later.append(asked)
            else:
                guards |= versions
                batch.append(asked)
        self._asked = later
        while batch:
            outcome = self._store.commit(guards, timeout=timedelta(seconds=1.5))
            if outcome.status is CommitStatus.CONFLICT and outcome.failed:
                # Only a request that compared equal vouches for the others.
                failed = set(outcome.failed)
                for versions, answer in batch:
                    if failed & versions.keys():
                        answer.set(False)
                batch = [b for b in batch if not b[1].ready()]
                guards = {k: v for versions, _ in batch for k, v in versions.items()}
                continue
            verdict = True if outcome.status is CommitStatus.APPLIED else None
            for _, answer in batch:
                answer.set(verdict)
            return
