"""Mirror: each node's local copy of the live keys, kept up to date by watching the state service.

The copy lags behind the state service.  Before a user gets an answer from it,
`Verifier` asks the state service whether the versions are still current.  A
node's own commits are put in at once; the watch delivers them again later,
which changes nothing.
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
FULL_READ_INTERVAL = timedelta(seconds=60)
LIVE_PREFIX = "l/"


class Mirror:
    """Local copy of all keys below a prefix (by default the live keys), as this process last saw them."""

    def __init__(
        self,
        store: StoreClient,
        clock: Clock,
        transport: Transport,
        prefix: str = LIVE_PREFIX,
        watch_timeout: timedelta = MAX_WATCH_TIMEOUT,
    ) -> None:
        self._prefix = prefix
        self._watch_timeout = watch_timeout  # how long one watch request waits for changes
        self._store = store
        self._clock = clock
        self._transport = transport
        self._entries: dict[str, Change] = {}
        self._deleted: dict[str, int] = {}
        self._listeners: list[tuple[str, Callable[[str, Any, int], None]]] = []
        self.revision: int | None = None
        # Every change applied up to this time of the steady clock is in the mirror; `renewal` relies on it.
        self.known_until: timedelta | None = None
        self._read_at: timedelta | None = None  # start of the last full read
        self.on_foreign_changes: Callable[[int], None] = lambda changes: (
            None
        )  # called with the number of changes that other processes applied
        self.on_advance: Callable[[], None] = lambda: None  # called when `revision` may have risen

    @property
    def loaded(self) -> bool:
        return self.revision is not None

    @property
    def fresh(self) -> bool:
        """Whether the mirror was up to date with the state service less than `STALE_AFTER` ago."""
        return self.known_until is not None and self._clock.steady() - self.known_until < STALE_AFTER

    def listen(self, prefix: str, listener: Callable[[str, Any, int], None]) -> None:
        """Call `listener(key, value, version)` for each change below a prefix."""
        self._listeners.append((prefix, listener))

    def get(self, key: str) -> Change | None:
        return self._entries.get(key)

    def version(self, key: str) -> int:
        """The key's version, to guard a write with; 0 if the mirror has no such key."""
        entry = self._entries.get(key)
        return entry.version if entry else 0

    def entries_below(self, prefix: str) -> list[Change]:
        return [e for k, e in self._entries.items() if k.startswith(prefix)]

    def load(self) -> None:
        """Read all keys below the prefix into the mirror; changes newer than the read stay."""
        requested_at = self._clock.steady()
        entries, revision = self._store.scan(self._prefix)
        present = {e.key for e in entries}
        mismatches = 0  # keys that differ although the watch should have delivered their change
        for key in [k for k in self._entries if k not in present]:
            if self._entries[key].version <= revision:
                mismatches += self._put(key, None, revision)
        for entry in entries:
            mismatches += self._put(*entry) and self.revision is not None and entry.version <= self.revision
        self._read_at = requested_at
        self._advance(revision, requested_at)
        log.info(
            "read all keys below %s: %d keys at revision %d, %d differed from the watched copy",
            self._prefix,
            len(entries),
            revision,
            mismatches,
        )

    def watch_once(self) -> None:
        """Wait for the next changes and put them in; read all keys again every `FULL_READ_INTERVAL`.

        The full read finds changes that the watch missed.  A job whose change
        was missed would be in no node's queue and would never run.
        """
        requested_at = self._clock.steady()
        if self.revision is None or requested_at - self._read_at >= FULL_READ_INTERVAL:
            self.load()
            return
        response = self._store.watch(self._prefix, self.revision, self._watch_timeout, self._transport)
        if response is None:
            self.load()
            return
        changes, revision = response
        foreign_changes = sum(self._put(*change) for change in changes)
        if foreign_changes:
            self.on_foreign_changes(foreign_changes)
        self._advance(revision, requested_at)

    def _advance(self, revision: int, known_until: timedelta) -> None:
        """Note that every change up to this revision and until this time is in; a concurrent request may have more."""
        self.revision = revision if self.revision is None else max(revision, self.revision)
        self.known_until = known_until if self.known_until is None else max(known_until, self.known_until)
        if self._deleted:
            self._deleted = {k: v for k, v in self._deleted.items() if v > self.revision}
        self.on_advance()

    def put(self, key: str, value: Any, version: int) -> bool:
        """Put in one change, of this node's own commit or read alone, unless a newer one is known.

        Returns whether the mirror did not know the change yet.
        """
        if key not in self._entries and self.revision is not None and version <= self.revision:
            return False  # the key has been deleted since: the mirror has all that exists at its revision
        return self._put(key, value, version)

    def _put(self, key: str, value: Any, version: int) -> bool:
        """Put in one change, whatever its source, unless a newer one is known; see `put`."""
        old = self._entries.get(key)
        if version <= (old.version if old else self._deleted.get(key, 0)):
            return False
        if value is None:
            self._deleted[key] = version
            self._entries.pop(key, None)
            if old is None:
                return True
        else:
            # `_deleted` keeps the versions of known deletions, so that an
            # older change of the key that arrives late cannot restore it.
            self._deleted.pop(key, None)
            self._entries[key] = Change(key, value, version)
        for prefix, listener in self._listeners:
            if key.startswith(prefix):
                listener(key, value, version)
        return True

    def refresh(self, key: str) -> None:
        """Read one key from the state service, after its copy proved to be out of date."""
        entry = self._store.get(key)
        old = self._entries.get(key)
        if entry is not None:
            self.put(*entry)
        elif old is not None:
            self.put(key, None, old.version + 1)

    def put_transaction(self, puts: dict[str, Any], deletes, revision: int) -> None:
        """Put in the changes of this node's own transaction, applied at `revision`."""
        for key, value in puts.items():
            self.put(key, value, revision)
        for key in deletes:
            self.put(key, None, revision)


class Verifier:
    """Checks whether key versions are still current, many checks in one request to the state service.

    A check is only answered by a request that was sent after the check was
    asked for.  A verified value from the mirror is therefore as current as a
    read of the state service.  `rate` limits the requests per second.
    """

    def __init__(self, store: StoreClient, spawn: Callable, pause: Callable[[timedelta], None], rate: float) -> None:
        self._store = store
        self._spawn = spawn
        self._pause = pause
        self._spacing = timedelta(seconds=1 / rate)
        self._pending: list[tuple[dict[str, int], AsyncResult]] = []
        self._processing = False
        self._max_guards = store.limits.txn_ops * GUARDS_PER_OP

    def versions_current(self, guards: dict[str, int], timeout: timedelta = timedelta(seconds=1.5)) -> bool:
        """Whether each key has the given version.

        Raises `StoreUnavailable` if the state service gives no result within `timeout`.
        """
        answer: AsyncResult = AsyncResult()
        check = (guards, answer)
        self._pending.append(check)
        if not self._processing:
            self._processing = True
            self._spawn(self._process_pending)
        answer.wait(timeout.total_seconds())
        # Drop the check, since its caller no longer waits.  When checks came
        # faster than they could be sent, abandoned ones were answered first
        # and all others too late.
        self._pending = [c for c in self._pending if c is not check]
        result = answer.value
        if result is None:
            raise StoreUnavailable("the state service did not confirm the key versions")
        return result

    def _process_pending(self) -> None:
        try:
            while self._pending:
                self._answer_batch()
                # Checks that arrive during the pause share the next request.
                self._pause(self._spacing)
        finally:
            self._processing = False

    def _answer_batch(self) -> None:
        batch: list[tuple[dict[str, int], AsyncResult]] = []
        guards: dict[str, int] = {}
        deferred: list[tuple[dict[str, int], AsyncResult]] = []
        for check in self._pending:
            versions, _ = check
            clash = any(guards.get(k, v) != v for k, v in versions.items())
            if clash or len(guards) + len(versions) > self._max_guards:
                deferred.append(check)
            else:
                guards |= versions
                batch.append(check)
        self._pending = deferred
        while batch:
            outcome = self._store.commit(guards, timeout=timedelta(seconds=1.5))
            if outcome.status is CommitStatus.CONFLICT and outcome.failed:
                # A conflict confirms none of the other versions: only a request without conflict does.
                failed = set(outcome.failed)
                for versions, answer in batch:
                    if failed & versions.keys():
                        answer.set(False)
                batch = [b for b in batch if not b[1].ready()]
                guards = {k: v for versions, _ in batch for k, v in versions.items()}
                continue
            result = True if outcome.status is CommitStatus.APPLIED else None
            for _, answer in batch:
                answer.set(result)
            return
