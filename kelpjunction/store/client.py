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

from kelpjunction.clock import ZERO, Clock, seconds
from kelpjunction.settings import StoreLimits
from kelpjunction.transport import NoAnswer, Reply, Transport
from kelpjunction.wire import state as wire
from kelpjunction.wire.state import GUARDS_PER_OP, MAX_TXN_BYTES
from kelpjunction.wire.users import Malformed

log = logging.getLogger("store")

PAGE = 1000
# Pauses after refusals.  The service's rate comes back a change at a time and
# all nodes want it: a few close tries find room more often than a late one.
REFUSED_PAUSES = tuple(timedelta(milliseconds=ms) for ms in (40, 60, 90, 130, 180))


class StoreDown(Exception):
    """The state service did not answer or refused; nothing is known from this call."""


class HoldLost(Exception):
    """A hold ended before this call."""


class Service(Enum):
    """Whether the state service answers this node."""

    ANSWERING = "answering"
    SILENT = "silent"


class Ending(Enum):
    """How a transaction ended, as far as this node knows."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Outcome(NamedTuple):
    """A transaction's ending, its revision if applied, the failed guards if in conflict."""

    ending: Ending
    revision: int = 0
    failed: tuple[str, ...] = ()


class Transaction:
    """Guards and changes that are applied together or not at all."""

    __slots__ = ("deletes", "guards", "holds", "puts")

    def __init__(self) -> None:
        self.guards: dict[str, int] = {}
        self.puts: dict[str, Any] = {}
        self.deletes: set[str] = set()
        self.holds: dict[str, int] = {}

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


def merged(txns: Iterable[Transaction], limits: StoreLimits) -> list[Transaction]:
    """These in as few transactions as the limits allow, in their order; none is split."""
    found: list[Transaction] = []
    size = 0
    for txn in txns:
        more = txn.size()
        last = found[-1] if found else None
        fits = (
            last is not None
            and last.ops + txn.ops <= limits.txn_ops
            and len(last.guards.keys() | txn.guards.keys()) <= limits.txn_ops * GUARDS_PER_OP
            and size + more <= MAX_TXN_BYTES
            and not (last.puts.keys() | last.deletes) & (txn.puts.keys() | txn.deletes)
        )
        if fits:
            last.guards |= txn.guards
            last.puts |= txn.puts
            last.deletes |= txn.deletes
            size += more
        else:
            found.append(txn)
            size = more
    return found


class Haste(Enum):
    """How long a write may be kept waiting for its turn."""

    NOW = "now"  # a user waits, or a lease: it counts against the rate and waits for nothing
    TURN = "turn"


class Pacer:
    """Counts what this node writes, so that it stays below its share of a rate.

    The share is what the others leave: it shrinks when the service refuses
    and grows again, as long as nothing is refused, up to `most`.
    """

    LEAST = 0.2  # of `most`
    GROWTH = timedelta(seconds=10)  # from the least to the most

    def __init__(self, clock: Clock, most: float) -> None:
        self._clock = clock
        self._most = most
        self.rate = most
        self._spent = 0.0
        self._at = clock.steady()

    def _pass_time(self) -> None:
        now = self._clock.steady()
        passed = now - self._at
        self._spent = max(0.0, self._spent - passed.total_seconds() * self.rate)
        self.rate = min(self._most, self.rate + self._most * (passed / self.GROWTH))
        self._at = now

    def delay(self, cost: float, haste: Haste = Haste.TURN) -> timedelta:
        """How long to wait before asking for `cost` more; counts it as asked for."""
        self._pass_time()
        # Half a second's worth may go at once; the service allows one second's.
        over = self._spent + cost - self.rate / 2
        self._spent += cost
        return seconds(over / self.rate) if over > 0 and haste is not Haste.NOW else ZERO

    def spare(self) -> float:
        """How much could be asked for without making anything else wait."""
        self._pass_time()
        return max(0.0, self.rate / 4 - self._spent)

    def refused(self) -> None:
        """The service had no room: all nodes together ask for too much."""
        self._pass_time()
        self.rate = max(self._most * self.LEAST, self.rate * 0.9)


class StoreClient:
    """One node's dealings with the state service."""

    def __init__(
        self, transport: Transport, address: str, limits: StoreLimits, clock: Clock, sleep, share: float
    ) -> None:
        self._transport = transport
        self._address = address
        self._clock = clock
        self._sleep = sleep
        self._writes = Pacer(clock, limits.write_rps * share)
        self.limits = limits
        self.service = Service.ANSWERING
        self.heard_at = clock.steady()
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

    def follow(
        self, prefix: str, since: int, wait: timedelta, transport: Transport
    ) -> tuple[list[wire.Change], int] | None:
        """Changes after `since`; None if that is too long ago to tell.

        Takes a transport of its own: a watch holds its connection.
        """
        path = wire.follow_path(prefix, since, round(wait.total_seconds() * 1000))
        self.requests += 1
        try:
            reply = transport.request(self._address, "GET", path, None, wait + timedelta(seconds=3))
        except NoAnswer as error:
            raise StoreDown(str(error)) from error
        if reply.status == 410:
            return None
        return self._parse(self._checked(reply), wire.parse_news)

    # -- writing ------------------------------------------------------------

    def commit(
        self,
        guards: Mapping[str, int],
        puts: Mapping[str, Any] | None = None,
        deletes: Iterable[str] = (),
        holds: Mapping[str, int] | None = None,
        timeout: timedelta = timedelta(seconds=2),
        haste: Haste = Haste.NOW,
    ) -> Outcome:
        """Apply a transaction, or only compare if there is nothing to change."""
        deletes = tuple(deletes)
        body = wire.commit_body(guards, puts or {}, deletes, holds or {})
        ops = len(puts or {}) + len(deletes)
        if ops and (delay := self._writes.delay(ops, haste)):
            self._sleep(delay)
        for pause in (*REFUSED_PAUSES, None):
            outcome = self._commit_once(body, timeout)
            if outcome is not None:
                return outcome
            # Too many requests: it was certainly not applied.
            self._writes.refused()
            if pause is not None:
                self._sleep(pause)
        return Outcome(Ending.REFUSED)

    def _commit_once(self, body: bytes, timeout: timedelta) -> Outcome | None:
        """Send a transaction; None if the service had no room for the request."""
        self.requests += 1
        try:
            reply = self._transport.request(self._address, "POST", wire.COMMIT_PATH, body, timeout)
        except NoAnswer as error:
            self._note(False, str(error))
            return Outcome(Ending.UNKNOWN)
        if reply.status == 200:
            self._note(True)
            try:
                return Outcome(Ending.APPLIED, revision=wire.parse_revision(reply.fields))
            except Malformed:
                return Outcome(Ending.UNKNOWN)
        if reply.status == 409:
            self._note(True)
            return Outcome(Ending.CONFLICT, failed=wire.parse_failed(reply.fields))
        if reply.status == 429:
            self.refusals += 1
            self._note(True)
            return None
        if reply.status in (400, 503):
            self._note(reply.status != 503, "503")
            if reply.status == 400:
                log.error("transaction refused: %s", reply.fields)
            return Outcome(Ending.REFUSED)
        return Outcome(Ending.UNKNOWN)

    def apply(self, txn: Transaction) -> Outcome:
        """Apply a transaction of a round, in its turn."""
        return self.commit(txn.guards, txn.puts, txn.deletes, txn.holds, haste=Haste.TURN)

    def spare_writes(self) -> int:
        """How many keys could be written now without making anything else wait."""
        return int(self._writes.spare())

    # -- holds --------------------------------------------------------------

    def take_hold(self, length: timedelta) -> int:
        """Take a hold that ends by itself unless it is extended."""
        body = wire.hold_body(round(length.total_seconds() * 1000))
        return self._parse(self._ask("POST", wire.HOLDS_PATH, body, timedelta(seconds=2)), wire.parse_hold)

    def extend_hold(self, hold: int, timeout: timedelta) -> None:
        """Extend a hold; raises `HoldLost` if it has ended."""
        reply = self._ask("POST", wire.hold_path(hold, "/extend"), b"{}", timeout)
        if reply.status == 404:
            raise HoldLost
        self._parse(reply, lambda fields: fields)

    # -- what is known of the service ---------------------------------------

    def _ask(self, method: str, path: str, body: bytes | None, timeout: timedelta) -> Reply:
        self.requests += 1
        try:
            reply = self._transport.request(self._address, method, path, body, timeout)
        except NoAnswer as error:
            self._note(False, str(error))
            raise StoreDown(str(error)) from error
        return self._checked(reply)

    def _checked(self, reply: Reply) -> Reply:
        if reply.status in (429, 503) or reply.status >= 500:
            self.refusals += reply.status == 429
            self._note(reply.status == 429, f"status {reply.status}")
            raise StoreDown(f"status {reply.status}")
        self._note(True)
        return reply

    def _parse(self, reply: Reply, parser):
        if reply.status != 200:
            raise StoreDown(f"odd status {reply.status}: {reply.fields}")
        try:
            return parser(reply.fields)
        except Malformed as error:
            log.error("odd answer from the state service: %s", error)
            raise StoreDown(str(error)) from error

    def _note(self, answered: bool, why: str = "") -> None:
        """The one place where the service's state changes."""
        if answered:
            self.heard_at = self._clock.steady()
        state = Service.ANSWERING if answered else Service.SILENT
        if state is not self.service:
            self.service = state
            log.info("state service is %s %s", state.value, why)
