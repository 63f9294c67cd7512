"""Reads the ledger from the state service, and replaces old entries with the balances that result from them."""

from collections.abc import Mapping
from typing import NamedTuple

from kelpjunction.ledger.accounts import GENESIS, BalancePage, LedgerError, Policy
from kelpjunction.ledger.writer import BASE_KEY, ENTRY_PREFIX, HEAD_KEY, PAGE_PREFIX, entry_key
from kelpjunction.rate_limiter import Purpose
from kelpjunction.store.client import CommitStatus, StoreClient

BASE_PAGE_PREFIX = "u/base/"


class LedgerSnapshot(NamedTuple):
    """The state that a range of entries starts from: the entry before it, and the policy and pages after that entry."""

    number: int = 0
    hash: str = GENESIS
    policy: Policy | None = None
    pages: Mapping[int, BalancePage] = {}

    def record(self) -> dict:
        return self.pointer() | {"pages": {str(number): page.record() for number, page in self.pages.items()}}

    def pointer(self) -> dict:
        """The record without the pages; those have their own keys, because the size of a value is limited."""
        return {"n": self.number, "hash": self.hash, "policy": self.policy.record() if self.policy else None}

    @classmethod
    def parse(cls, record: Mapping) -> "LedgerSnapshot":
        pages = {int(number): BalancePage.parse(page) for number, page in record["pages"].items()}
        policy = Policy.parse(record["policy"]) if record["policy"] else None
        return cls(record["n"], record["hash"], policy, pages)


class LedgerContents(NamedTuple):
    """A ledger as read: the entries after `base`.

    `head` and `pages` are set only if it was read from the state service.
    """

    base: LedgerSnapshot
    entries: list[dict]
    head: dict | None = None
    pages: Mapping[int, BalancePage] | None = None


def read(store: StoreClient) -> LedgerContents:
    """Read the whole ledger; raises `StoreUnavailable`, and `LedgerError` if there is no ledger.

    The leader may write entries meanwhile.  The head is therefore read first,
    and later entries are left out.  The pages are returned only if the head
    has not changed during the read.
    """
    head = store.get(HEAD_KEY)
    if head is None:
        raise LedgerError("there is no ledger: it is not enabled on any node (operators' setting ledger.enabled)")
    pages = {int(e.key.removeprefix(PAGE_PREFIX)): BalancePage.parse(e.value) for e in store.scan(PAGE_PREFIX)[0]}
    base = _read_base(store)
    scanned, _ = store.scan(ENTRY_PREFIX)
    entries = [e.value for e in scanned if base.number < e.value["n"] <= head.value["n"]]
    now = store.get(HEAD_KEY)
    unchanged = now is not None and now.version == head.version
    return LedgerContents(base, entries, head.value, pages if unchanged else None)


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
    """Replace the entries up to `base` with `base`; returns how many entries were deleted.

    The write of the pointer (`BASE_KEY`) takes effect for readers.  Nothing is
    deleted before it, and entries up to it are not read after it.  A crash
    therefore leaves at most unused records, which the next call deletes.
    Raises `LedgerError` and `StoreUnavailable`.
    """
    pointer = store.get(BASE_KEY)
    if pointer is not None and pointer.value["n"] >= base.number:
        raise LedgerError(f"entries up to {pointer.value['n']} were archived before")
    prefix = _base_prefix(base.number)
    for number, page in base.pages.items():
        _put(store, {}, {f"{prefix}{number:04d}": page.record()})
    _put(store, {BASE_KEY: pointer.version if pointer else 0}, {BASE_KEY: base.pointer()})
    stale = [e.key for e in store.scan(ENTRY_PREFIX)[0] if e.key <= entry_key(base.number)]
    unused = [e.key for e in store.scan(BASE_PAGE_PREFIX)[0] if not e.key.startswith(prefix)]
    keys, max_keys = stale + unused, store.limits.txn_ops
    for first in range(0, len(keys), max_keys):
        _put(store, {}, {}, keys[first : first + max_keys])
    return len(stale)


def _put(store: StoreClient, guards: dict, puts: dict, deletes: list[str] = ()) -> None:
    outcome = store.commit(guards, puts, deletes, purpose=Purpose.BEST_EFFORT)
    if outcome.status is not CommitStatus.APPLIED:
        raise LedgerError(f"the state service did not apply the write ({outcome.status.value}); run the command again")
