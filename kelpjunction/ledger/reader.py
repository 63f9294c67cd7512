"""Reading the ledger from the state service, and replacing old entries by the balances they led to."""

from collections.abc import Mapping
from typing import NamedTuple

from kelpjunction.ledger.accounts import GENESIS, BalancePage, LedgerError, Policy
from kelpjunction.ledger.writer import BASE_KEY, ENTRY_PREFIX, HEAD_KEY, PAGE_PREFIX, entry_key
from kelpjunction.rate_limiter import Purpose
from kelpjunction.store.client import CommitStatus, StoreClient

BASE_PAGE_PREFIX = "u/base/"


class LedgerSnapshot(NamedTuple):
    """Where a run of entries begins: the entry before it, the policy in force, and the pages as that left them."""

    number: int = 0
    hash: str = GENESIS
    policy: Policy | None = None
    pages: Mapping[int, BalancePage] = {}

    def record(self) -> dict:
        return self.pointer() | {"pages": {str(number): page.record() for number, page in self.pages.items()}}

    def pointer(self) -> dict:
        """All of it but the pages, which are stored apart since a value has limits."""
        return {"n": self.number, "hash": self.hash, "policy": self.policy.record() if self.policy else None}

    @classmethod
    def parse(cls, record: Mapping) -> "LedgerSnapshot":
        pages = {int(number): BalancePage.parse(page) for number, page in record["pages"].items()}
        policy = Policy.parse(record["policy"]) if record["policy"] else None
        return cls(record["n"], record["hash"], policy, pages)


class LedgerContents(NamedTuple):
    """A ledger as it was read: entries that follow `base`, and, from the state service, the end of the chain."""

    base: LedgerSnapshot
    entries: list[dict]
    head: dict | None = None
    pages: Mapping[int, BalancePage] | None = None


def read(store: StoreClient) -> LedgerContents:
    """The whole ledger; raises `StoreUnavailable`, and `LedgerError` where there is none.

    The leader goes on closing meanwhile, so the head is read first and later
    entries are left out; pages are told only if no closing came between.
    """
    head = store.get(HEAD_KEY)
    if head is None:
        raise LedgerError("there is no ledger: no node keeps one (operators' setting ledger.enabled)")
    pages = {int(e.key.removeprefix(PAGE_PREFIX)): BalancePage.parse(e.value) for e in store.scan(PAGE_PREFIX)[0]}
    base = _read_base(store)
    scanned, _ = store.scan(ENTRY_PREFIX)
    entries = [e.value for e in scanned if base.number < e.value["n"] <= head.value["n"]]
    now = store.get(HEAD_KEY)
    unmoved = now is not None and now.version == head.version
    return LedgerContents(base, entries, head.value, pages if unmoved else None)


def _read_base(store: StoreClient) -> LedgerSnapshot:
    pointer = store.get(BASE_KEY)
    if pointer is None:
        return LedgerSnapshot()
    prefix = _base_prefix(pointer.value["n"])
    pages = {e.key.removeprefix(prefix): e.value for e in store.scan(prefix)[0]}
    return LedgerSnapshot.parse(pointer.value | {"pages": pages})


def _base_prefix(number: int) -> str:
    return f"{BASE_PAGE_PREFIX}{number:012d}/"


def compact(store: StoreClient, base: LedgerSnapshot) -> int:
    """Replace the entries up to `base` by it; returns how many were deleted.

    The pointer is what counts: before it is moved nothing was deleted, after
    it the entries up to it are not read any more, so that a crash leaves at
    most records that the next roll-up deletes.
    """
    pointer = store.get(BASE_KEY)
    if pointer is not None and pointer.value["n"] >= base.number:
        raise LedgerError(f"entries up to {pointer.value['n']} were archived before")
    prefix = _base_prefix(base.number)
    for number, page in base.pages.items():
        _put(store, {}, {f"{prefix}{number:04d}": page.record()})
    _put(store, {BASE_KEY: pointer.version if pointer else 0}, {BASE_KEY: base.pointer()})
    stale = [e.key for e in store.scan(ENTRY_PREFIX)[0] if e.key <= entry_key(base.number)]
    left = [e.key for e in store.scan(BASE_PAGE_PREFIX)[0] if not e.key.startswith(prefix)]
    keys, most = stale + left, store.limits.txn_ops
    for first in range(0, len(keys), most):
        _put(store, {}, {}, keys[first : first + most])
    return len(stale)


def _put(store: StoreClient, guards: dict, puts: dict, deletes: list[str] = ()) -> None:
    outcome = store.commit(guards, puts, deletes, purpose=Purpose.BEST_EFFORT)
    if outcome.status is not CommitStatus.APPLIED:
        raise LedgerError(f"the state service did not take it ({outcome.status.value}); run the command again")
