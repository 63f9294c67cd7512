"""Balances, the entries that change them, and the chain of entries.  Pure.

Machine time is counted for each resource in thousandths of a unit times
milliseconds (`ResourceTime`); a charge weighs the resources and is one number.
Teams' balances are kept in pages, each of which is closed by itself, so that
an entry and a page fit the state service's values however many teams there
are.
"""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

import orjson

from kelpjunction.clock import MILLISECOND
from kelpjunction.ledger.decay import FIXED_POINT_ONE, decay, factor
from kelpjunction.settings import LedgerSettings, Team

THOUSAND = 1000
UNIT_HOUR = 3_600_000 * THOUSAND  # of one unit of a resource, as `ResourceTime` count it
GENESIS = ""  # what the first entry follows
ROW_BYTES = 160  # at most what a team's row takes in an entry or a page, beside its name
PAGE_SHARE = 0.9  # of a value's limit that rows may take


class LedgerError(Exception):
    """A record or a file is not what the ledger writes; the text names the place."""


class ResourceTime(NamedTuple):
    """Machine time by resource, each in thousandths of its unit times milliseconds."""

    cpus: int = 0
    gpus: int = 0
    memory: int = 0

    def __add__(self, other: "ResourceTime") -> "ResourceTime":
        return ResourceTime(*(a + b for a, b in zip(self, other, strict=True)))

    def __sub__(self, other: "ResourceTime") -> "ResourceTime":
        return ResourceTime(*(a - b for a, b in zip(self, other, strict=True)))


def resource_time(cpus: float, gpus: float, memory: float, ms: int) -> ResourceTime:
    """What tasks of this size held, together, in so many task-milliseconds."""
    return ResourceTime(*(round(each * THOUSAND) * ms for each in (cpus, gpus, memory)))


@dataclass(frozen=True, slots=True)
class Policy:
    """The operators' settings as entries carry them, in whole numbers."""

    half_life: int  # ms
    form: str
    floor: int  # in 2**-32
    weights: tuple[int, int, int]  # of CPU, accelerator and GB of memory, in thousandths
    share_without_guarantee: int  # in thousandths of a weighted CPU

    @classmethod
    def of(cls, settings: LedgerSettings, teams: Mapping[str, Team]) -> "Policy":
        weights = tuple(round(settings.weights[name] * THOUSAND) for name in ("cpu", "accelerator", "memory_gb"))
        guaranteed = [s for t in teams.values() if (s := _guarantee(t, weights)) > 0]
        smallest = min(guaranteed, default=THOUSAND)
        return cls(
            half_life=settings.half_life // MILLISECOND,
            form=settings.form,
            floor=round(settings.floor * FIXED_POINT_ONE),
            weights=weights,
            share_without_guarantee=max(1, round(settings.guest_share * smallest)),
        )

    def share(self, team: Team | None) -> int:
        """What a team's usage is measured against: its guarantee; a guest's, or a removed team's, is set apart."""
        share = 0 if team is None else _guarantee(team, self.weights)
        return share or self.share_without_guarantee

    def charge(self, amounts: ResourceTime) -> int:
        """One number for machine time, in thousandths of a weighted CPU times milliseconds."""
        cpu, gpu, memory = self.weights
        return (cpu * amounts.cpus + gpu * amounts.gpus + memory * amounts.memory) // THOUSAND

    def record(self) -> dict:
        return {
            "half_life": self.half_life, "form": self.form, "floor": self.floor, "weights": list(self.weights),
            "guest_share": self.share_without_guarantee,
        }  # fmt: skip

    @classmethod
    def parse(cls, record: Mapping) -> "Policy":
        return cls(
            record["half_life"], record["form"], record["floor"], tuple(record["weights"]), record["guest_share"]
        )


def _guarantee(team: Team, weights: tuple[int, ...]) -> int:
    return (round(team.cpus * THOUSAND) * weights[0] + round(team.gpus * THOUSAND) * weights[1]) // THOUSAND


class Balance(NamedTuple):
    """A team's account at its page's last closing: what its unfinished jobs had held, its faded usage, its factor."""

    unfinished_time: ResourceTime = ResourceTime()
    decayed_usage: int = 0
    factor: int = FIXED_POINT_ONE


@dataclass(frozen=True, slots=True)
class BalancePage:
    """The balances of some teams as of one closing.

    `revision` is the state service's up to which ended jobs are charged.
    """

    closed_at_ms: int  # ms since the epoch
    revision: int
    balances: Mapping[str, Balance]

    def record(self) -> dict:
        rows = {name: [*b.unfinished_time, b.decayed_usage, b.factor] for name, b in self.balances.items()}
        return {"t": self.closed_at_ms, "r": self.revision, "teams": rows}

    @classmethod
    def parse(cls, record: Mapping) -> "BalancePage":
        rows = {name: Balance(ResourceTime(*row[:3]), *row[3:]) for name, row in record["teams"].items()}
        return cls(record["t"], record["r"], rows)

    def has_room_for(self, name: str, value_bytes: int) -> bool:
        """Whether another team's row fits the page, and the entries that close it."""
        return sum(len(n.encode()) + ROW_BYTES for n in (*self.balances, name)) <= value_bytes * PAGE_SHARE


class TeamRow(NamedTuple):
    """What an entry says of a team: machine time since the one before, its share, faded usage and factor after it."""

    resource_time: ResourceTime
    share: int
    decayed_usage: int
    factor: int


def close(page: BalancePage, at: int, revision: int,
          now: Mapping[str, tuple[ResourceTime, ResourceTime]], policy: Policy,
          teams: Mapping[str, Team]) -> tuple[BalancePage, dict[str, TeamRow]]:  # fmt: skip
    """Close a page's stretch: the new page, and a row for each team that held something or has usage left.

    `now` has, for each team, what its jobs that ended since the last closing
    held in all, and what its unfinished ones have held until `at`.
    """
    balances: dict[str, Balance] = {}
    rows: dict[str, TeamRow] = {}
    for name in dict.fromkeys((*page.balances, *now)):
        before = page.balances.get(name, Balance())
        ended, open_ = now.get(name, (ResourceTime(), ResourceTime()))
        amounts = ended + open_ - before.unfinished_time
        share = policy.share(teams.get(name))
        row = apply_charge(before.decayed_usage, at - page.closed_at_ms, amounts, share, policy)
        balances[name] = Balance(open_, row.decayed_usage, row.factor)
        if any(amounts) or row.decayed_usage or before.decayed_usage:
            rows[name] = row
    return BalancePage(at, revision, balances), rows


def apply_charge(faded: int, passed: int, amounts: ResourceTime, share: int, policy: Policy) -> TeamRow:
    """A team's row after a stretch: its usage faded over `passed` ms, and the stretch's charge on top of it.

    A correction may be negative; usage never is.
    """
    faded = max(0, decay(faded, passed, policy.half_life) + policy.charge(amounts))
    return TeamRow(amounts, share, faded, factor(policy.form, faded, share, policy.half_life, policy.floor))


# -- entries and their chain --------------------------------------------------------


def digest(entry: Mapping) -> str:
    """The hash of an entry, over all of it but the hash: BLAKE2b of its canonical JSON."""
    plain = {name: value for name, value in entry.items() if name != "hash"}
    return hashlib.blake2b(orjson.dumps(plain, option=orjson.OPT_SORT_KEYS), digest_size=20).hexdigest()


def _sealed(entry: dict) -> dict:
    return entry | {"hash": digest(entry)}


def settings_entry(number: int, previous: str, at: int, policy: Policy, by: str) -> dict:
    """From here on another policy is in force."""
    return _sealed({"n": number, "prev": previous, "kind": "settings", "t": at, "by": by, "policy": policy.record()})


def closing_entry(number: int, previous: str, page_number: int, since: int,
                  page: BalancePage, rows: Mapping[str, TeamRow],
                  by: str) -> dict:  # fmt: skip
    """A page was closed: its stretch of time, and its teams' rows."""
    teams = {name: [*r.resource_time, r.share, r.decayed_usage, r.factor] for name, r in rows.items()}
    return _sealed({
        "n": number, "prev": previous, "kind": "closing", "t": page.closed_at_ms, "by": by, "page": page_number,
        "since": since, "r": page.revision, "teams": teams,
    })  # fmt: skip


def rows_of(entry: Mapping) -> dict[str, TeamRow]:
    """The teams' rows of a closing."""
    return {name: TeamRow(ResourceTime(*row[:3]), *row[3:]) for name, row in entry["teams"].items()}


def total(entries: Iterable[Mapping]) -> dict[str, ResourceTime]:
    """All machine time that these entries charge, by team."""
    sums: dict[str, ResourceTime] = {}
    for entry in entries:
        for name, row in rows_of(entry).items() if entry["kind"] == "closing" else ():
            sums[name] = sums.get(name, ResourceTime()) + row.resource_time
    return sums
