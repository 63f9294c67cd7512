"""Gives the classes of an earlier revision, which a benchmark is compared with, the names that they have today."""

from importlib import import_module
from pathlib import Path

# By module as it was: the class then and now, and its attributes now and then.
CLASSES = {
    "kelpjunction.placement": {
        "View": ("MachineView", {"release": "give_back", "on_write": "scratched", "fetching_images": "arriving"}),
        "FreeRoom": ("FreeCapacityIndex", {"select_all": "everything", "mark_dirty": "mark"}),
    },
    "kelpjunction.jobs.book": {"Book": ("JobIndex", {"dispatched_jobs": "handed", "pending_jobs": "waiting"})},
    "kelpjunction.jobs.leading": {"Leading": ("LeaderScheduler", {"_dispatch_interval": "_every"})},
    "kelpjunction.leadership": {"Leadership": ("Leadership", {"run_once": "step"})},
    "kelpjunction.blocks": {"Blocks": ("Blocks", {"held_zones": "my_zones"})},
    "kelpjunction.daemon": {
        "Node": (
            "Node",
            {
                "watch_store": "follow",
                "job_index": "book",
                "leader_scheduler": "leading",
                "holder_scheduler": "holding",
            },
        )
    },
}


def _alias(before: str) -> property:
    return property(lambda self: getattr(self, before), lambda self, value: setattr(self, before, value))


def name_as_today() -> None:
    """Add today's names where the sources that are imported have the earlier ones; nothing to do in today's."""
    for module_name, classes in CLASSES.items():
        try:
            module = import_module(module_name)
        except ModuleNotFoundError:
            continue  # the module is today's, or older than this list
        for before, (today, attributes) in classes.items():
            earlier = getattr(module, before, None)
            if earlier is None:
                continue  # no such class yet, or no more
            setattr(module, today, earlier)
            source = import_module(earlier.__module__)
            for name, old in attributes.items():
                # What objects alone have is not seen on the class; its module tells how it is spelled.
                if not hasattr(earlier, name) and _spelled(source.__file__, old, name):
                    setattr(earlier, name, _alias(old))


def _spelled(file: str, old: str, new: str) -> bool:
    """Whether a module's text has the old name and not the new."""
    words = set("".join(c if c.isalnum() or c == "_" else " " for c in Path(file).read_text(encoding="utf-8")).split())
    return old in words and new not in words
