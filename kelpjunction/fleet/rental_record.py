"""The record of the leader's rentals and returns: one key, which only leaders write.

It holds the rental requests that are not known to be settled, the machines
whose return was requested, and the machines whose return was confirmed.  Each
write is guarded by `l/lead` and by the record's own version, so that a write of
unknown outcome can't undo a later one.  A settled request is removed by the
next write.  A new leader that still finds it repeats it under the same name and
gets the same response.  Names under `gone` are kept while there is room for
them.  A node that missed one finds the machine silent, and the machine is
returned again, which the cloud accepts as already done.
"""

from collections.abc import Collection, Mapping
from typing import NamedTuple

CLOUD_KEY = "l/cloud"
MACHINE_NAME_BYTES = 24  # allowance for one machine name


class RentalRecord(NamedTuple):
    """The leaders' pending rental requests and returns, and the machines that are gone."""

    pending_rentals: dict[str, dict] = {}  # request name -> type, zone, whether spot, how many  # noqa: RUF012
    pending_returns: tuple[str, ...] = ()  # machines whose return was requested, and may have happened
    gone: tuple[str, ...] = ()  # machines that the cloud confirmed as gone, latest last

    @classmethod
    def of(cls, value: dict | None) -> "RentalRecord":
        return cls() if value is None else cls(value["rent"], tuple(value["back"]), tuple(value["gone"]))

    def record(self) -> dict:
        return {"rent": self.pending_rentals, "back": list(self.pending_returns), "gone": list(self.gone)}

    def updated(
        self,
        new_rentals: Mapping[str, dict],
        settled: Collection[str],
        new_returns: Collection[str],
        gone: Collection[str],
        max_gone: int,
    ) -> "RentalRecord":
        """Return the record with new requests (`new_rentals`) and returns (`new_returns`) and without settled requests.

        `max_gone` limits the number of names under `gone`; the latest are kept.
        """
        kept = {name: intent for name, intent in self.pending_rentals.items() if name not in settled}
        all_gone = tuple(dict.fromkeys((*self.gone, *gone)))[-max_gone:]
        returns = tuple(n for n in dict.fromkeys((*self.pending_returns, *new_returns)) if n not in set(gone))
        return RentalRecord(kept | dict(new_rentals), returns, all_gone)
