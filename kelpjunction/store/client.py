"""The client of the state service.

A transaction ends in one of four ways and its caller must treat each apart:
applied, in conflict (certainly not applied), refused (certainly not applied),
or unknown: no answer came, and it may have been applied or may yet be.
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

PAGE = 1000
# Between two tries of a write that waits for its turn, or was refused.
MIN_RETRY_BACKOFF, MAX_RETRY_BACKOFF = timedelta(milliseconds=20), timedelta(milliseconds=100)
STATE_LOG_INTERVAL = timedelta(seconds=5)  # how often the log tells at most how the budget stands
REPEATED_FOR = timedelta(seconds=1)
# How often a write is sent again at the most that was refused: each try is a request.
MAX_COMMIT_REQUESTS = 6


class StoreUnavailable(Exception):
    """The state service did not answer or refused; nothing is known from this call."""


class StoreLeaseExpired(Exception):
    """A hold ended before this call."""


class StoreReachability(Enum):
    """Whether the state service answers this node."""

    REACHABLE = "answering"
    UNREACHABLE = "silent"


class CommitStatus(Enum):
    """How a transaction ended, as far as this node knows."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Outcome(NamedTuple):
    """A transaction's ending, its revision if applied, the failed guards if in conflict."""

    status: CommitStatus
    revision: int = 0
    failed: tuple[str, ...] = ()


class Transaction:
    """Guards and changes that are applied together or not at all."""

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
        """Roughly how many bytes this takes on the wire."""
        keys = sum(len(k) + 40 for k in (*self.guards, *self.puts, *self.deletes))
        return keys + sum(len(orjson.dumps(v)) for v in self.puts.values())


def pack_next_transaction(
    txns: list[Transaction], limits: StoreLimits, most: int
) -> tuple[Transaction, list[Transaction]]:
    """The first of these with as many of those behind it as go into one transaction; and the rest.

    `most` bounds its changes, `limits` all else; none is split, and only what has the same purpose goes together.
    """
    first, taken = txns[0], 1
    most = min(most, limits.txn_ops)
    size = first.size()
    for txn in txns[1:]:
        size += txn.size()
        fits = (
            first.purpose is txn.purpose
            and first.ops + txn.ops <= most
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
    """These in as few transactions as the limits allow, in their order."""
    found: list[Transaction] = []
    rest = list(txns)
    while rest:
        txn, rest = pack_next_transaction(rest, limits, limits.txn_ops)
        found.append(txn)
    return found


class StoreClient:
    """One node's dealings with the state service."""

    def __init__(
        self, transport: Transport, address: str, limits: StoreLimits, clock: Clock, sleep, share: float
    ) -> None:
        self._transport = transport
        self._address = address
        self._clock = clock
        self._sleep = sleep
        self.rate_limiter = WriteRateLimiter(limits.write_rps * share, clock.steady())
        self.limits = limits
        self._logged_state, self._state_logged_at = LimiterState.UNTHROTTLED, clock.steady()
        self.reachability = StoreReachability.REACHABLE
        self.last_response_at = clock.steady()
        self.requests = 0  # sent since this process began
        self.refusals = 0  # of those, answered 429

    # -- reading ------------------------------------------------------------

    def get(self, key: str, timeout: timedelta = timedelta(seconds=1.5)) -> wire.Change | None:
        """A key's value and version, or None if it does not exist."""
        reply = self._ask("GET", wire.key_path(key), None, timeout)
        if reply.status == 404:
            return None
        return self._parse(reply, wire.parse_entry)

    def scan(self, prefix: str) -> tuple[list[wire.Change], int]:
        """All keys below a prefix, and a revision that none of them is older than.

        The pages are read one after the other, so the first page's revision is
        the one to follow from: later changes arrive once more, harmlessly.
        """
        entries: list[wire.Change] = []
        after, revision = None, None
        while True:
            reply = self._ask("GET", wire.scan_path(prefix, after, PAGE), None, timedelta(seconds=5))
            page, more, read_at = self._parse(reply, wire.parse_page)
            revision = read_at if revision is None else revision
            entries.extend(page)
            if not more or not page:
                return entries, revision
            after = page[-1].key

    def watch(
        self, prefix: str, since: int, wait: timedelta, transport: Transport
    ) -> tuple[list[wire.Change], int] | None:
        """Changes after `since`; None if that is too long ago to tell.

        Takes a transport of its own: a watch holds its connection.
        """
        path = wire.follow_path(prefix, since, round(wait.total_seconds() * 1000))
        self.requests += 1
        try:
            reply = transport.request(self._address, "GET", path, None, wait + timedelta(seconds=3))
        except NoResponse as error:
            raise StoreUnavailable(str(error)) from error
        if reply.status == 410:
            return None
        return self._parse(self._checked(reply), wire.parse_news)

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
        """Apply a transaction, or only compare if there is nothing to change.

        Waits for its turn, though no longer than its purpose's patience: then
        it is sent all the same, since only the service knows what it has room
        for.  What was refused is sent again for a second at the most.
        """
        deletes = tuple(deletes)
        body = wire.commit_body(guards, puts or {}, deletes, leases or {})
        ops = len(puts or {}) + len(deletes)
        left, tries = PURPOSE_POLICIES[purpose].max_delay, 0
        while tries < MAX_COMMIT_REQUESTS and (left > ZERO or not tries):
            if not ops or self.try_reserve(purpose, ops) or left <= ZERO:
                if not tries:
                    left = REPEATED_FOR
                outcome = self._commit_once(body, timeout)
                if outcome is not None:
                    return outcome
                # Too many requests: it was certainly not applied.
                tries += 1
                if ops:
                    self.rate_limiter.on_refusal(purpose, ops, self._clock.steady())
            delay = self.rate_limiter.delay(purpose, ops, self._clock.steady()) if ops else MAX_RETRY_BACKOFF
            pause = min(max(delay, MIN_RETRY_BACKOFF * (tries + 1)), MAX_RETRY_BACKOFF)
            left -= pause
            self._sleep(pause)
        return Outcome(CommitStatus.REFUSED)

    def try_reserve(self, purpose: Purpose, ops: int) -> bool:
        """Whether so many changes may be sent now; if so they count as sent."""
        now = self._clock.steady()
        may = self.rate_limiter.try_reserve(purpose, ops, now)
        if self.rate_limiter.state is not self._logged_state and now - self._state_logged_at >= STATE_LOG_INTERVAL:
            self._logged_state, self._state_logged_at = self.rate_limiter.state, now
            waits = ", ".join(p.value for p in self.rate_limiter.waiting(now)) or "nothing"
            log.info("changes to the state service are %s; what waits: %s", self._logged_state.value, waits)
        return may

    def available_changes(self, purpose: Purpose) -> int:
        """How many changes may be sent now, at most."""
        return self.rate_limiter.available_changes(purpose, self._clock.steady())

    def try_commit(self, txn: Transaction, timeout: timedelta = timedelta(seconds=2)) -> Outcome:
        """Send a transaction of a round once, for which `try_reserve` has made room: a round waits for nothing."""
        outcome = self._commit_once(wire.commit_body(txn.guards, txn.puts, txn.deletes, txn.leases), timeout)
        if outcome is None:
            self.rate_limiter.on_refusal(txn.purpose, txn.ops, self._clock.steady())
            return Outcome(CommitStatus.REFUSED)
        return outcome

    def _commit_once(self, body: bytes, timeout: timedelta) -> Outcome | None:
        """Send a transaction; None if the service had no room for the request."""
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
                log.error("transaction refused: %s", reply.fields)
            return Outcome(CommitStatus.REFUSED)
        return Outcome(CommitStatus.UNKNOWN)

    # -- holds --------------------------------------------------------------

    def grant_lease(self, length: timedelta) -> int:
        """Take a hold that ends by itself unless it is extended."""
        body = wire.lease_body(round(length.total_seconds() * 1000))
        return self._parse(self._ask("POST", wire.STORE_LEASES_PATH, body, timedelta(seconds=2)), wire.parse_lease)

    def extend_lease(self, lease: int, timeout: timedelta) -> None:
        """Extend a hold; raises `StoreLeaseExpired` if it has ended."""
        reply = self._ask("POST", wire.lease_path(lease, "/extend"), b"{}", timeout)
        if reply.status == 404:
            raise StoreLeaseExpired
        self._parse(reply, lambda fields: fields)

    # -- what is known of the service ---------------------------------------

    def _ask(self, method: str, path: str, body: bytes | None, timeout: timedelta) -> Reply:
        self.requests += 1
        try:
            reply = self._transport.request(self._address, method, path, body, timeout)
        except NoResponse as error:
            self._update_reachability(False, str(error))
            raise StoreUnavailable(str(error)) from error
        return self._checked(reply)

    def _checked(self, reply: Reply) -> Reply:
        if reply.status in (429, 503) or reply.status >= 500:
            self.refusals += reply.status == 429
            self._update_reachability(reply.status == 429, f"status {reply.status}")
            raise StoreUnavailable(f"status {reply.status}")
        self._update_reachability(True)
        return reply

    def _parse(self, reply: Reply, parser):
        if reply.status != 200:
            raise StoreUnavailable(f"odd status {reply.status}: {reply.fields}")
        try:
            return parser(reply.fields)
        except MalformedMessage as error:
            log.error("odd answer from the state service: %s", error)
            raise StoreUnavailable(str(error)) from error

    def _update_reachability(self, answered: bool, why: str = "") -> None:
        """The one place where the service's state changes."""
        if answered:
            self.last_response_at = self._clock.steady()
        state = StoreReachability.REACHABLE if answered else StoreReachability.UNREACHABLE
        if state is not self.reachability:
            self.reachability = state
            log.info("state service is %s %s", state.value, why)
