"""Balances, the entries that change them, and the chain of entries.  This module does no I/O.

Machine time is counted for each resource in thousandths of a unit times
milliseconds (`ResourceTime`).  A charge is one number: the weighted sum of the
resources.  Teams' balances are kept in pages, and each page is closed
separately.  This way an entry and a page fit into a value of the state service
for any number of teams.
"""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

import orjson

from kelpjunction.clock import MILLISECOND
from kelpjunction.ledger.decay import FIXED_POINT_ONE, decay, factor
from kelpjunction.settings import LedgerSettings, Team

THOUSANDTHS_PER_UNIT = 1000  # amounts are stored in thousandths of a unit
UNIT_HOUR = 3_600_000 * THOUSANDTHS_PER_UNIT  # one unit of a resource for an hour, as `ResourceTime` counts it
GENESIS = ""  # the `prev` hash of the first entry
MAX_ROW_BYTES = 160  # of one team's row in an entry or a page, without the team's name
MAX_ROWS_FRACTION = 0.9  # of the size limit of a value


class LedgerError(Exception):
    """A ledger operation failed, or a file is not a valid ledger; the text says why."""


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
    """The machine time of tasks of this size that ran for `ms` task-milliseconds in all; `memory` is in GB."""
    return ResourceTime(*(round(each * THOUSANDTHS_PER_UNIT) * ms for each in (cpus, gpus, memory)))


@dataclass(frozen=True, slots=True)
class Policy:
    """The operators' ledger settings as stored in entries, in whole numbers."""

    half_life: int  # ms
    form: str
    floor: int  # in 2**-32
    weights: tuple[int, int, int]  # of CPU, accelerator and GB of memory, in thousandths
    share_without_guarantee: int  # in thousandths of a weighted CPU

    @classmethod
    def from_settings(cls, settings: LedgerSettings, teams: Mapping[str, Team]) -> "Policy":
        weights = tuple(
            round(settings.weights[name] * THOUSANDTHS_PER_UNIT) for name in ("cpu", "accelerator", "memory_gb")
        )
        guaranteed = [s for t in teams.values() if (s := _guarantee(t, weights)) > 0]
        smallest = min(guaranteed, default=THOUSANDTHS_PER_UNIT)
        return cls(
            half_life=settings.half_life // MILLISECOND,
            form=settings.form,
            floor=round(settings.floor * FIXED_POINT_ONE),
            weights=weights,
            share_without_guarantee=max(1, round(settings.guest_share * smallest)),
        )

    def share(self, team: Team | None) -> int:
        """The share that a team's usage is compared with, in thousandths of a weighted CPU.

        It is the team's guarantee.  A team without one, or one that was removed
        from the settings (None), gets `share_without_guarantee`.
        """
        share = 0 if team is None else _guarantee(team, self.weights)
        return share or self.share_without_guarantee

    def charge(self, amounts: ResourceTime) -> int:
        """The weighted sum of machine time, in thousandths of a weighted CPU times milliseconds."""
        cpu, gpu, memory = self.weights
        return (cpu * amounts.cpus + gpu * amounts.gpus + memory * amounts.memory) // THOUSANDTHS_PER_UNIT

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
    return (
        round(team.cpus * THOUSANDTHS_PER_UNIT) * weights[0] + round(team.gpus * THOUSANDTHS_PER_UNIT) * weights[1]
    ) // THOUSANDTHS_PER_UNIT


class Balance(NamedTuple):
    """A team's balance at its page's last closing: machine time of its unfinished jobs, decayed usage and factor."""

    unfinished_time: ResourceTime = ResourceTime()
    decayed_usage: int = 0
    factor: int = FIXED_POINT_ONE


@dataclass(frozen=True, slots=True)
class BalancePage:
    """The balances of some teams as of one closing.

    Jobs that ended up to `revision` of the state service are charged.
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
        """Whether another team's row fits into the page and into the entries that close it."""
        return sum(len(n.encode()) + MAX_ROW_BYTES for n in (*self.balances, name)) <= value_bytes * MAX_ROWS_FRACTION


class TeamRow(NamedTuple):
    """A team's row in an entry: machine time since the last closing, its share, and decayed usage and factor now."""

    resource_time: ResourceTime
    share: int
    decayed_usage: int
    factor: int


def close_page(page: BalancePage, at: int, revision: int,
          now: Mapping[str, tuple[ResourceTime, ResourceTime]], policy: Policy,
          teams: Mapping[str, Team]) -> tuple[BalancePage, dict[str, TeamRow]]:  # fmt: skip
    """Close a page at `at` (ms since the epoch) and return the new page and its rows.

    There is a row for each team that used machine time or had usage.  `now`
    has two totals for each team: the whole machine time of its jobs that ended
    since the last closing, and that of its unfinished jobs until `at`.
    """
    balances: dict[str, Balance] = {}
    rows: dict[str, TeamRow] = {}
    for name in dict.fromkeys((*page.balances, *now)):
        before = page.balances.get(name, Balance())
        ended, unfinished = now.get(name, (ResourceTime(), ResourceTime()))
        amounts = ended + unfinished - before.unfinished_time
        share = policy.share(teams.get(name))
        row = apply_charge(before.decayed_usage, at - page.closed_at_ms, amounts, share, policy)
        balances[name] = Balance(unfinished, row.decayed_usage, row.factor)
        if any(amounts) or row.decayed_usage or before.decayed_usage:
            rows[name] = row
    return BalancePage(at, revision, balances), rows


def apply_charge(usage: int, elapsed_ms: int, amounts: ResourceTime, share: int, policy: Policy) -> TeamRow:
    """A team's row after a period: its usage decayed over `elapsed_ms`, plus the charge of the period.

    A correction can make the charge negative.  Usage is never negative.
    """
    usage = max(0, decay(usage, elapsed_ms, policy.half_life) + policy.charge(amounts))
    return TeamRow(amounts, share, usage, factor(policy.form, usage, share, policy.half_life, policy.floor))


# -- entries and their chain --------------------------------------------------------


def entry_hash(entry: Mapping) -> str:
    """The hash of an entry: BLAKE2b of the canonical JSON of all its fields except `hash`."""
    unhashed = {name: value for name, value in entry.items() if name != "hash"}
    return hashlib.blake2b(orjson.dumps(unhashed, option=orjson.OPT_SORT_KEYS), digest_size=20).hexdigest()


def _with_hash(entry: dict) -> dict:
    return entry | {"hash": entry_hash(entry)}


def settings_entry(number: int, previous: str, at: int, policy: Policy, by: str) -> dict:
    """An entry that puts another policy into force."""
    return _with_hash({"n": number, "prev": previous, "kind": "settings", "t": at, "by": by, "policy": policy.record()})


def closing_entry(number: int, previous: str, page_number: int, since: int,
                  page: BalancePage, rows: Mapping[str, TeamRow],
                  by: str) -> dict:  # fmt: skip
    """An entry for a closed page: its period of time and its teams' rows."""
    teams = {name: [*r.resource_time, r.share, r.decayed_usage, r.factor] for name, r in rows.items()}
    return _with_hash({
        "n": number, "prev": previous, "kind": "closing", "t": page.closed_at_ms, "by": by, "page": page_number,
        "since": since, "r": page.revision, "teams": teams,
    })  # fmt: skip


def team_rows(entry: Mapping) -> dict[str, TeamRow]:
    """The teams' rows of a closing entry, by team."""
    return {name: TeamRow(ResourceTime(*row[:3]), *row[3:]) for name, row in entry["teams"].items()}


def total_by_team(entries: Iterable[Mapping]) -> dict[str, ResourceTime]:
    """The machine time that these entries charge, by team."""
    sums: dict[str, ResourceTime] = {}
    for entry in entries:
        for name, row in team_rows(entry).items() if entry["kind"] == "closing" else ():
            sums[name] = sums.get(name, ResourceTime()) + row.resource_time
    return sums
