"""How many machines of each zone are in each state, kept up to date by what changed.

A zone that is lost has all its machines judged twice a second, each by the
states of the others: counted anew each time, that grew with the square of the
zone.
"""

from collections import Counter
from collections.abc import Mapping

from sortedcontainers import SortedList

from kelpjunction.changes import ChangeTracker
from kelpjunction.fleet.machines import Machine, MachineState


class StateIndex:
    """Machines by zone and state, as an inventory has them."""

    def __init__(self, changes: ChangeTracker, machines: Mapping[str, Machine]) -> None:
        self._stale = changes.subscribe()
        self._machines = machines
        self._known: dict[str, tuple[str, MachineState]] = {}
        self._names: dict[tuple[str, MachineState], SortedList] = {}
        self._in_zone: Counter[str] = Counter()
        self._in_state: Counter[MachineState] = Counter()

    def names(self, zone: str, state: MachineState) -> SortedList:
        """The machines of a zone that are in a state, by name; to be read at once."""
        self._follow()
        return self._names.setdefault((zone, state), SortedList())

    def count(self, state: MachineState) -> int:
        """How many machines are in a state, wherever they are."""
        self._follow()
        return self._in_state[state]

    def in_zone(self, zone: str) -> int:
        """How many machines a zone has, in whatever state."""
        self._follow()
        return self._in_zone[zone]

    def _follow(self) -> None:
        for name in self._stale:
            machine = self._machines.get(name)
            now = None if machine is None else (machine.zone, machine.state)
            before = self._known.get(name)
            if now == before:
                continue
            if before is not None:
                self._leave(name, *before)
            if now is not None:
                self._enter(name, *now)
        self._stale.clear()

    def _enter(self, name: str, zone: str, state: MachineState) -> None:
        self._known[name] = (zone, state)
        self._names.setdefault((zone, state), SortedList()).add(name)
        self._in_zone[zone] += 1
        self._in_state[state] += 1

    def _leave(self, name: str, zone: str, state: MachineState) -> None:
        del self._known[name]
        self._names[zone, state].remove(name)
        self._in_zone[zone] -= 1
        self._in_state[state] -= 1
