"""Client of the state service.

A transaction ends in one of four ways, and the caller must handle each of them:
applied, conflict (certainly not applied), refused (certainly not applied), or
unknown (no response came, and the transaction may have been applied or may
still be applied later).
"""

import logging
from collections.abc import Iterable, Mapping
from datetime import timedelta
from enum import Enum
from typing import Any, NamedTuple

import orjson

from kelpjunction.clock import ZERO, Clock
from kelpjunction.rate_limiter import PURPOSE_POLICIES, LimiterState, Purpose, WriteRateLimiter
from kelpjunction.settings import StoreLimits
from kelpjunction.transport import NoResponse, Reply, Transport
from kelpjunction.wire import state as wire
from kelpjunction.wire.state import GUARDS_PER_OP, MAX_TXN_BYTES
from kelpjunction.wire.users import MalformedMessage

log = logging.getLogger("store")

SCAN_PAGE_KEYS = 1000
# Pause before a write that was throttled or refused is tried again.
MIN_RETRY_BACKOFF, MAX_RETRY_BACKOFF = timedelta(milliseconds=20), timedelta(milliseconds=100)
STATE_LOG_INTERVAL = timedelta(seconds=5)  # shortest interval between log lines about the rate limiter's state
MAX_RETRY_DURATION = timedelta(seconds=1)  # how long a refused write is retried
# Bounds the attempts to send one write, since each of them costs the state service a request.
MAX_COMMIT_REQUESTS = 6


class StoreUnavailable(Exception):
    """The state service did not respond or refused the request, so the call has no result."""


class StoreLeaseExpired(Exception):
    """The store lease had expired before this call."""


class StoreReachability(Enum):
    """Whether the state service responds to this node."""

    REACHABLE = "answering"
    UNREACHABLE = "silent"


class CommitStatus(Enum):
    """How a transaction ended, as far as this node knows."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Outcome(NamedTuple):
    """How a transaction ended: its revision if it was applied, the keys of the failed guards if in conflict."""

    status: CommitStatus
    revision: int = 0
    failed: tuple[str, ...] = ()


class Transaction:
    """Changes that are applied together, and only if every guarded key has the given version."""

    __slots__ = ("deletes", "guards", "leases", "purpose", "puts")

    def __init__(self, purpose: Purpose = Purpose.RESULT) -> None:
        self.purpose = purpose
        self.guards: dict[str, int] = {}
        self.puts: dict[str, Any] = {}
        self.deletes: set[str] = set()
        self.leases: dict[str, int] = {}

    def guard(self, key: str, version: int) -> "Transaction":
        self.guards[key] = version
        return self

    def put(self, key: str, value: Any) -> "Transaction":
        self.puts[key] = value
        return self

    def delete(self, key: str) -> "Transaction":
        self.deletes.add(key)
        return self

    @property
    def ops(self) -> int:
        return len(self.puts) + len(self.deletes)

    def size(self) -> int:
        """Estimated size of the request, in bytes."""
        keys = sum(len(k) + 40 for k in (*self.guards, *self.puts, *self.deletes))
        return keys + sum(len(orjson.dumps(v)) for v in self.puts.values())


def pack_next_transaction(
    txns: list[Transaction], limits: StoreLimits, max_ops: int
) -> tuple[Transaction, list[Transaction]]:
    """Merge the first transaction with as many of the following ones as fit; return it and the rest.

    `max_ops` bounds the number of changes, `limits` everything else.  No transaction
    is split, and only transactions of the same purpose are merged.
    """
    first, taken = txns[0], 1
    max_ops = min(max_ops, limits.txn_ops)
    size = first.size()
    for txn in txns[1:]:
        size += txn.size()
        fits = (
            first.purpose is txn.purpose
            and first.ops + txn.ops <= max_ops
            and len(first.guards.keys() | txn.guards.keys()) <= limits.txn_ops * GUARDS_PER_OP
            and size <= MAX_TXN_BYTES
            and not (first.puts.keys() | first.deletes) & (txn.puts.keys() | txn.deletes)
        )
        if not fits:
            break
        first.guards |= txn.guards
        first.puts |= txn.puts
        first.deletes |= txn.deletes
        taken += 1
    return first, txns[taken:]


def pack_transactions(txns: Iterable[Transaction], limits: StoreLimits) -> list[Transaction]:
    """Merge neighbouring transactions as far as the limits allow, in their order."""
    packed: list[Transaction] = []
    rest = list(txns)
    while rest:
        txn, rest = pack_next_transaction(rest, limits, limits.txn_ops)
        packed.append(txn)
    return packed


class StoreClient:
    """One node's connection to the state service: reads, rate-limited transactions and store leases.

    `write_share` is the fraction of the write rate in `limits` that this process may use.
    """

    def __init__(
        self, transport: Transport, address: str, limits: StoreLimits, clock: Clock, sleep, write_share: float
    ) -> None:
        self._transport = transport
        self._address = address
        self._clock = clock
        self._sleep = sleep
        self.rate_limiter = WriteRateLimiter(limits.write_rps * write_share, clock.steady())
        self.limits = limits
        self._logged_state, self._state_logged_at = LimiterState.UNTHROTTLED, clock.steady()
        self.reachability = StoreReachability.REACHABLE
        self.last_response_at = clock.steady()
        self.requests = 0  # sent since the process started
        self.refusals = 0  # requests answered with status 429

    # -- reading ------------------------------------------------------------

    def get(self, key: str, timeout: timedelta = timedelta(seconds=1.5)) -> wire.Change | None:
        """A key's value and version, or None if it does not exist."""
        reply = self._request("GET", wire.key_path(key), None, timeout)
        if reply.status == 404:
            return None
        return self._parse(reply, wire.parse_entry)

    def scan(self, prefix: str) -> tuple[list[wire.Change], int]:
        """Read all keys below a prefix, page by page; return them and the revision to watch from.

        The revision is that of the first page, and no page is older.  Changes
        applied while the later pages are read are delivered once more by the
        watch, which is harmless.
        """
        entries: list[wire.Change] = []
        after, revision = None, None
        while True:
            reply = self._request("GET", wire.scan_path(prefix, after, SCAN_PAGE_KEYS), None, timedelta(seconds=5))
            page, more, read_at = self._parse(reply, wire.parse_page)
            revision = read_at if revision is None else revision
            entries.extend(page)
            if not more or not page:
                return entries, revision
            after = page[-1].key

    def watch(
        self, prefix: str, since: int, wait: timedelta, transport: Transport
    ) -> tuple[list[wire.Change], int] | None:
        """Wait for changes after the revision `since`; None if the state service no longer has them.

        The caller passes a separate transport, because a watch occupies its
        connection while it waits.
        """
        path = wire.watch_path(prefix, since, round(wait.total_seconds() * 1000))
        self.requests += 1
        try:
            reply = transport.request(self._address, "GET", path, None, wait + timedelta(seconds=3))
        except NoResponse as error:
            raise StoreUnavailable(str(error)) from error
        if reply.status == 410:
            return None
        return self._parse(self._check_status(reply), wire.parse_changes)

    # -- writing ------------------------------------------------------------

    def commit(
        self,
        guards: Mapping[str, int],
        puts: Mapping[str, Any] | None = None,
        deletes: Iterable[str] = (),
        leases: Mapping[str, int] | None = None,
        timeout: timedelta = timedelta(seconds=2),
        purpose: Purpose = Purpose.CANCEL_OR_FENCE,
    ) -> Outcome:
        """Apply a transaction; without changes, only compare the guards.

        Waits for the rate limiter, but no longer than the maximum delay of its
        purpose.  After that it is sent anyway, since only the state service
        knows how much it can take.  A refused transaction is retried for at
        most `MAX_RETRY_DURATION`.
        """
        deletes = tuple(deletes)
        body = wire.commit_body(guards, puts or {}, deletes, leases or {})
        ops = len(puts or {}) + len(deletes)
        time_left, refused = PURPOSE_POLICIES[purpose].max_delay, 0
        while refused < MAX_COMMIT_REQUESTS and (time_left > ZERO or not refused):
            if not ops or self.try_reserve(purpose, ops) or time_left <= ZERO:
                if not refused:
                    time_left = MAX_RETRY_DURATION
                outcome = self._commit_once(body, timeout)
                if outcome is not None:
                    return outcome
                # Status 429 (too many requests): the transaction was certainly not applied.
                refused += 1
                if ops:
                    self.rate_limiter.on_refusal(purpose, ops, self._clock.steady())
            delay = self.rate_limiter.delay(purpose, ops, self._clock.steady()) if ops else MAX_RETRY_BACKOFF
            pause = min(max(delay, MIN_RETRY_BACKOFF * (refused + 1)), MAX_RETRY_BACKOFF)
            time_left -= pause
            self._sleep(pause)
        return Outcome(CommitStatus.REFUSED)

    def try_reserve(self, purpose: Purpose, ops: int) -> bool:
        """Whether `ops` changes may be sent now; if so, they are counted as sent."""
        now = self._clock.steady()
        reserved = self.rate_limiter.try_reserve(purpose, ops, now)
        if self.rate_limiter.state is not self._logged_state and now - self._state_logged_at >= STATE_LOG_INTERVAL:
            self._logged_state, self._state_logged_at = self.rate_limiter.state, now
            waiting = ", ".join(p.value for p in self.rate_limiter.waiting(now)) or "nothing"
            log.info("write rate limiter state is %s; purposes waiting: %s", self._logged_state.value, waiting)
        return reserved

    def available_changes(self, purpose: Purpose) -> int:
        """The most changes of this purpose that may be sent now."""
        return self.rate_limiter.available_changes(purpose, self._clock.steady())

    def try_commit(self, txn: Transaction, timeout: timedelta = timedelta(seconds=2)) -> Outcome:
        """Send a round's transaction once, after `try_reserve` admitted it; no retry, since a round must not wait."""
        outcome = self._commit_once(wire.commit_body(txn.guards, txn.puts, txn.deletes, txn.leases), timeout)
        if outcome is None:
            self.rate_limiter.on_refusal(txn.purpose, txn.ops, self._clock.steady())
            return Outcome(CommitStatus.REFUSED)
        return outcome

    def _commit_once(self, body: bytes, timeout: timedelta) -> Outcome | None:
        """Send a transaction once; None if the state service refused it with status 429."""
        self.requests += 1
        try:
            reply = self._transport.request(self._address, "POST", wire.COMMIT_PATH, body, timeout)
        except NoResponse as error:
            self._update_reachability(False, str(error))
            return Outcome(CommitStatus.UNKNOWN)
        if reply.status == 200:
            self._update_reachability(True)
            try:
                return Outcome(CommitStatus.APPLIED, revision=wire.parse_revision(reply.fields))
            except MalformedMessage:
                return Outcome(CommitStatus.UNKNOWN)
        if reply.status == 409:
            self._update_reachability(True)
            return Outcome(CommitStatus.CONFLICT, failed=wire.parse_conflicting_keys(reply.fields))
        if reply.status == 429:
            self.refusals += 1
            self._update_reachability(True)
            return None
        if reply.status in (400, 503):
            self._update_reachability(reply.status != 503, "503")
            if reply.status == 400:
                log.error("state service rejected a transaction as invalid (status 400): %s", reply.fields)
            return Outcome(CommitStatus.REFUSED)
        return Outcome(CommitStatus.UNKNOWN)

    # -- store leases -------------------------------------------------------

    def grant_lease(self, duration: timedelta) -> int:
        """Take a store lease that expires after `duration` unless it is extended; return its id."""
        body = wire.lease_body(round(duration.total_seconds() * 1000))
        return self._parse(self._request("POST", wire.STORE_LEASES_PATH, body, timedelta(seconds=2)), wire.parse_lease)

    def extend_lease(self, lease: int, timeout: timedelta) -> None:
        """Extend a store lease; raises `StoreLeaseExpired` if it has expired."""
        reply = self._request("POST", wire.lease_path(lease, "/extend"), b"{}", timeout)
        if reply.status == 404:
            raise StoreLeaseExpired
        self._parse(reply, lambda fields: fields)

    # -- requests and reachability ------------------------------------------

    def _request(self, method: str, path: str, body: bytes | None, timeout: timedelta) -> Reply:
        self.requests += 1
        try:
            reply = self._transport.request(self._address, method, path, body, timeout)
        except NoResponse as error:
            self._update_reachability(False, str(error))
            raise StoreUnavailable(str(error)) from error
        return self._check_status(reply)

    def _check_status(self, reply: Reply) -> Reply:
        if reply.status in (429, 503) or reply.status >= 500:
            self.refusals += reply.status == 429
            self._update_reachability(reply.status == 429, f"status {reply.status}")
            raise StoreUnavailable(f"status {reply.status}")
        self._update_reachability(True)
        return reply

    def _parse(self, reply: Reply, parser):
        if reply.status != 200:
            raise StoreUnavailable(f"unexpected status {reply.status}: {reply.fields}")
        try:
            return parser(reply.fields)
        except MalformedMessage as error:
            log.error("malformed response from the state service: %s", error)
            raise StoreUnavailable(str(error)) from error

    def _update_reachability(self, responded: bool, reason: str = "") -> None:
        """Set `reachability` and log when it changes; nothing else sets it."""
        if responded:
            self.last_response_at = self._clock.steady()
        state = StoreReachability.REACHABLE if responded else StoreReachability.UNREACHABLE
        if state is not self.reachability:
            self.reachability = state
            log.info("state service is %s %s", state.value, reason)
