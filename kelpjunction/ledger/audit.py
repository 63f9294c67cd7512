"""Checking a ledger: each entry must follow from the one before, and every balance and factor from the entries."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from kelpjunction.ledger.accounts import Balance, BalancePage, Policy, apply_charge, digest, rows_of
from kelpjunction.ledger.reader import LedgerContents, LedgerSnapshot


class Fault(NamedTuple):
    """The first entry that does not follow, and why."""

    number: int
    why: str

    def __str__(self) -> str:
        return f"entry {self.number}: {self.why}"


class Replayed(NamedTuple):
    """What replaying came to: the state after the last good entry, how many factors were compared, a fault if any."""

    base: LedgerSnapshot
    factors: int
    fault: Fault | None


def check_chain(base: LedgerSnapshot, entries: Iterable[Mapping]) -> Fault | None:
    """Whether numbers are without gap or repeat and each entry holds its own hash and that of the one before."""
    number, previous = base.number, base.hash
    for entry in entries:
        if entry["n"] == number:
            return Fault(number, "stands twice")
        if entry["n"] != number + 1:
            return Fault(number + 1, f"is missing: entry {entry['n']} comes next")
        number += 1
        if entry["prev"] != previous:
            return Fault(number, "does not follow the entry before it")
        if digest(entry) != entry["hash"]:
            return Fault(number, "was changed: its hash does not fit")
        previous = entry["hash"]
    return None


def replay(base: LedgerSnapshot, entries: Iterable[Mapping]) -> Replayed:
    """Compute every balance and every factor anew and compare them bit for bit."""
    policy, pages = base.policy, dict(base.pages)
    last, factors = (base.number, base.hash), 0
    for entry in entries:
        fault = None
        if entry["kind"] == "settings":
            policy = Policy.parse(entry["policy"])
        elif policy is None:
            fault = "closes a page before any settings are known"
        else:
            pages[entry["page"]], compared, fault = _replay_closing(pages.get(entry["page"]), entry, policy)
            factors += compared
        if fault is not None:
            return Replayed(LedgerSnapshot(*last, policy, pages), factors, Fault(entry["n"], fault))
        last = entry["n"], entry["hash"]
    return Replayed(LedgerSnapshot(*last, policy, pages), factors, None)


def _replay_closing(page: BalancePage | None, entry: Mapping, policy: Policy) -> tuple[BalancePage, int, str | None]:
    page = page or BalancePage(entry["since"], 0, {})
    if page.closed_at_ms != entry["since"]:
        return page, 0, f"begins at {entry['since']}, and its page was closed at {page.closed_at_ms}"
    if entry["t"] <= page.closed_at_ms:
        return page, 0, "ends before it begins"
    rows = rows_of(entry)
    balances = dict(page.balances)
    for name, row in rows.items():
        before = balances.get(name, Balance())
        again = apply_charge(before.decayed_usage, entry["t"] - page.closed_at_ms, row.resource_time, row.share, policy)
        if again != row:
            said, found = (row.decayed_usage, row.factor), (again.decayed_usage, again.factor)
            return page, 0, f"team {name}: usage and factor are {said}, and should be {found}"
        balances[name] = Balance(before.unfinished_time + row.resource_time, row.decayed_usage, row.factor)
    for name, before in page.balances.items():
        if before.decayed_usage and name not in rows:
            return page, 0, f"team {name} has usage and is left out"
    return BalancePage(entry["t"], entry["r"], balances), len(rows), None


def audit(books: LedgerContents) -> Replayed:
    """The chain, the replay, and, where it was read from the service, its end and the pages in force."""
    broken = check_chain(books.base, books.entries)
    good = books.entries if broken is None else [e for e in books.entries if e["n"] < broken.number]
    done = replay(books.base, good)
    fault = done.fault or broken
    if fault is None and books.head is not None:
        if (books.head["n"], books.head["hash"]) != (done.base.number, done.base.hash):
            fault = Fault(books.head["n"], f"the head names it, and the last entry is {done.base.number}")
        elif books.pages is not None:
            fault = _compare_pages(books.pages, done.base)
    return done._replace(fault=fault)


def _compare_pages(pages: Mapping[int, BalancePage], base: LedgerSnapshot) -> Fault | None:
    for number, page in pages.items():
        again = base.pages.get(number)
        for name, balance in page.balances.items():
            found = again.balances.get(name, Balance()) if again else Balance()
            if (balance.decayed_usage, balance.factor) != (found.decayed_usage, found.factor):
                return Fault(base.number, f"team {name}: the balance in force is not what the entries lead to")
    return None
