"""Names of things that changed, kept apart for each slice that follows them.

A round that looks at everything costs what the fleet holds; one that looks at
the names in its set costs what happened since the last.
"""


class ChangeTracker:
    """Tells each follower which names have changed since it last emptied its set."""

    def __init__(self) -> None:
        self._followers: list[set[str]] = []

    def subscribe(self) -> set[str]:
        """A set that every changed name is put into; its owner takes names out."""
        names: set[str] = set()
        self._followers.append(names)
        return names

    def mark_changed(self, name: str) -> None:
        for names in self._followers:
            names.add(name)
