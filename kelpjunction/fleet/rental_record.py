"""The leader's page of its dealings with the cloud: one record, which only leaders write.

It holds the requests for machines that are not known to be settled, the
machines whose return was asked for, and those whose return was confirmed.
Each write is guarded by `l/lead` and by the page's own version, so that a
write of unknown outcome can't undo a later one.  What was settled is crossed
out with the next write: a new leader that finds it asks again, under the same
name, and gets the same answer.  Names under `gone` are kept for as long as the
page has room; who has not heard of one finds its machine silent and has it
returned once more, which the cloud takes as done.
"""

from collections.abc import Collection, Mapping
from typing import NamedTuple

CLOUD_KEY = "l/cloud"
NAME_BYTES = 24  # what is allowed for a machine's name


class RentalRecord(NamedTuple):
    """What a leader has asked of the cloud."""

    pending_rentals: dict[str, dict] = {}  # request name -> type, zone, whether spot, how many  # noqa: RUF012
    pending_returns: tuple[str, ...] = ()  # machines whose return was asked for, perhaps carried out
    gone: tuple[str, ...] = ()  # machines that the cloud confirmed as gone, the latest last

    @classmethod
    def of(cls, value: dict | None) -> "RentalRecord":
        return cls() if value is None else cls(value["rent"], tuple(value["back"]), tuple(value["gone"]))

    def record(self) -> dict:
        return {"rent": self.pending_rentals, "back": list(self.pending_returns), "gone": list(self.gone)}

    def updated(
        self,
        rent: Mapping[str, dict],
        settled: Collection[str],
        back: Collection[str],
        gone: Collection[str],
        room: int,
    ) -> "RentalRecord":
        """With new requests and returns; without what was settled; `room` bounds the names under `gone`."""
        kept = {name: intent for name, intent in self.pending_rentals.items() if name not in settled}
        returned = tuple(dict.fromkeys((*self.gone, *gone)))[-room:]
        asked = tuple(n for n in dict.fromkeys((*self.pending_returns, *back)) if n not in set(gone))
        return RentalRecord(kept | dict(rent), asked, returned)
