"""Tracks the names of changed objects, separately for each component that subscribes.

The cost of a round that examines everything grows with the size of the fleet.
A round that examines only the names in its set costs as much as has changed
since the last round.
"""


class ChangeTracker:
    """Adds each changed name to the set of every subscriber."""

    def __init__(self) -> None:
        self._subscribers: list[set[str]] = []

    def subscribe(self) -> set[str]:
        """Return a new set that receives every changed name; the subscriber removes the names that it has handled."""
        names: set[str] = set()
        self._subscribers.append(names)
        return names

    def mark_changed(self, name: str) -> None:
        for names in self._subscribers:
            names.add(name)
