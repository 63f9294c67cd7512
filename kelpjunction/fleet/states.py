"""An index of machines by zone and state, updated only for machines that changed.

When a zone is lost, each of its machines is checked twice a second against the
states of the others.  Counting them again for each check took time that grew
with the square of the zone's size.
"""

from collections import Counter
from collections.abc import Mapping

from sortedcontainers import SortedList

from kelpjunction.changes import ChangeTracker
from kelpjunction.fleet.machines import Machine, MachineState


class StateIndex:
    """Indexes the machines of an inventory by zone and state."""

    def __init__(self, changes: ChangeTracker, machines: Mapping[str, Machine]) -> None:
        self._changed_machines = changes.subscribe()
        self._machines = machines
        self._indexed: dict[str, tuple[str, MachineState]] = {}
        self._names_by_zone_and_state: dict[tuple[str, MachineState], SortedList] = {}
        self._zone_counts: Counter[str] = Counter()
        self._state_counts: Counter[MachineState] = Counter()

    def names(self, zone: str, state: MachineState) -> SortedList:
        """Sorted names of a zone's machines in a state.  The list is live: read it before the index changes."""
        self._apply_changes()
        return self._names_by_zone_and_state.setdefault((zone, state), SortedList())

    def count(self, state: MachineState) -> int:
        """Number of machines in a state, in all zones."""
        self._apply_changes()
        return self._state_counts[state]

    def in_zone(self, zone: str) -> int:
        """Number of machines in a zone, in any state."""
        self._apply_changes()
        return self._zone_counts[zone]

    def _apply_changes(self) -> None:
        for name in self._changed_machines:
            machine = self._machines.get(name)
            now = None if machine is None else (machine.zone, machine.state)
            before = self._indexed.get(name)
            if now == before:
                continue
            if before is not None:
                self._remove(name, *before)
            if now is not None:
                self._add(name, *now)
        self._changed_machines.clear()

    def _add(self, name: str, zone: str, state: MachineState) -> None:
        self._indexed[name] = (zone, state)
        self._names_by_zone_and_state.setdefault((zone, state), SortedList()).add(name)
        self._zone_counts[zone] += 1
        self._state_counts[state] += 1

    def _remove(self, name: str, zone: str, state: MachineState) -> None:
        del self._indexed[name]
        self._names_by_zone_and_state[zone, state].remove(name)
        self._zone_counts[zone] -= 1
        self._state_counts[state] -= 1
