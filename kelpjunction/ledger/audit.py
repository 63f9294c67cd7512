"""Audits a ledger: the hash chain of the entries, and every balance and factor that results from them."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from kelpjunction.ledger.accounts import Balance, BalancePage, Policy, apply_charge, entry_hash, team_rows
from kelpjunction.ledger.reader import LedgerContents, LedgerSnapshot


class AuditFault(NamedTuple):
    """The first entry that fails the audit, and the reason."""

    number: int
    reason: str

    def __str__(self) -> str:
        return f"entry {self.number}: {self.reason}"


class ReplayResult(NamedTuple):
    """The result of a replay: the state after the last valid entry, the number of factors compared, and any fault."""

    base: LedgerSnapshot
    factors: int
    fault: AuditFault | None


def check_chain(base: LedgerSnapshot, entries: Iterable[Mapping]) -> AuditFault | None:
    """Check that entry numbers are consecutive and that each entry has its own correct hash and the previous hash.

    Returns the first fault, or None.
    """
    number, previous = base.number, base.hash
    for entry in entries:
        if entry["n"] == number:
            return AuditFault(number, "occurs twice")
        if entry["n"] != number + 1:
            return AuditFault(number + 1, f"is missing: entry {entry['n']} comes next")
        number += 1
        if entry["prev"] != previous:
            return AuditFault(number, "does not follow the entry before it")
        if entry_hash(entry) != entry["hash"]:
            return AuditFault(number, "was changed: its hash does not match its content")
        previous = entry["hash"]
    return None


def replay(base: LedgerSnapshot, entries: Iterable[Mapping]) -> ReplayResult:
    """Recompute every balance and factor, and compare them bit for bit; stops at the first fault."""
    policy, pages = base.policy, dict(base.pages)
    last, factors = (base.number, base.hash), 0
    for entry in entries:
        fault = None
        if entry["kind"] == "settings":
            policy = Policy.parse(entry["policy"])
        elif policy is None:
            fault = "closes a page before the first settings entry"
        else:
            pages[entry["page"]], compared, fault = _replay_closing(pages.get(entry["page"]), entry, policy)
            factors += compared
        if fault is not None:
            return ReplayResult(LedgerSnapshot(*last, policy, pages), factors, AuditFault(entry["n"], fault))
        last = entry["n"], entry["hash"]
    return ReplayResult(LedgerSnapshot(*last, policy, pages), factors, None)


def _replay_closing(page: BalancePage | None, entry: Mapping, policy: Policy) -> tuple[BalancePage, int, str | None]:
    page = page or BalancePage(entry["since"], 0, {})
    if page.closed_at_ms != entry["since"]:
        return page, 0, f"begins at {entry['since']}, but its page was last closed at {page.closed_at_ms}"
    if entry["t"] <= page.closed_at_ms:
        return page, 0, "ends before it begins"
    rows = team_rows(entry)
    balances = dict(page.balances)
    for name, row in rows.items():
        before = balances.get(name, Balance())
        recomputed = apply_charge(
            before.decayed_usage, entry["t"] - page.closed_at_ms, row.resource_time, row.share, policy
        )
        if recomputed != row:
            recorded, expected = (row.decayed_usage, row.factor), (recomputed.decayed_usage, recomputed.factor)
            return page, 0, f"team {name}: usage and factor are {recorded}, but should be {expected}"
        balances[name] = Balance(before.unfinished_time + row.resource_time, row.decayed_usage, row.factor)
    for name, before in page.balances.items():
        if before.decayed_usage and name not in rows:
            return page, 0, f"team {name} has usage but no row in the entry"
    return BalancePage(entry["t"], entry["r"], balances), len(rows), None


def audit(contents: LedgerContents) -> ReplayResult:
    """Check the chain and replay the entries; for a ledger from the state service, also check its head and pages."""
    chain_fault = check_chain(contents.base, contents.entries)
    valid_entries = (
        contents.entries if chain_fault is None else [e for e in contents.entries if e["n"] < chain_fault.number]
    )
    result = replay(contents.base, valid_entries)
    fault = result.fault or chain_fault
    if fault is None and contents.head is not None:
        if (contents.head["n"], contents.head["hash"]) != (result.base.number, result.base.hash):
            fault = AuditFault(
                contents.head["n"], f"the head refers to it, but the last valid entry is {result.base.number}"
            )
        elif contents.pages is not None:
            fault = _compare_pages(contents.pages, result.base)
    return result._replace(fault=fault)


def _compare_pages(pages: Mapping[int, BalancePage], base: LedgerSnapshot) -> AuditFault | None:
    for number, page in pages.items():
        recomputed = base.pages.get(number)
        for name, balance in page.balances.items():
            found = recomputed.balances.get(name, Balance()) if recomputed else Balance()
            if (balance.decayed_usage, balance.factor) != (found.decayed_usage, found.factor):
                return AuditFault(
                    base.number, f"team {name}: the stored balance differs from the one that results from the entries"
                )
    return None
