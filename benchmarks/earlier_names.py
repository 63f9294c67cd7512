"""Gives the classes of an earlier revision their current names, so that a benchmark can time that revision."""

from importlib import import_module
from pathlib import Path

# By old module name: old class name -> (current class name, {current attribute: old attribute}).
CLASSES = {
    "kelpjunction.placement": {
        "View": ("MachineView", {"release": "give_back", "on_write": "scratched", "fetching_images": "arriving"}),
        "FreeRoom": ("FreeCapacityIndex", {"select_all": "everything", "mark_dirty": "mark"}),
    },
    "kelpjunction.jobs.book": {"Book": ("JobIndex", {"dispatched_jobs": "handed", "pending_jobs": "waiting"})},
    "kelpjunction.jobs.leading": {"Leading": ("LeaderScheduler", {"_dispatch_interval": "_every"})},
    "kelpjunction.leadership": {"Leadership": ("Leadership", {"run_once": "step"})},
    "kelpjunction.blocks": {"Blocks": ("Blocks", {"held_zones": "my_zones"})},
    "kelpjunction.store.mirror": {"Mirror": ("Mirror", {"entries_below": "below"})},
    "kelpjunction.daemon": {
        "Node": (
            "Node",
            {
                "watch_store": "follow",
                "handle_report": "check_in",
                "job_index": "book",
                "leader_scheduler": "leading",
                "holder_scheduler": "holding",
            },
        )
    },
}


def _alias(before: str) -> property:
    return property(lambda self: getattr(self, before), lambda self, value: setattr(self, before, value))


def add_current_names() -> None:
    """Add the current names to imported sources of an earlier revision; current sources are left as they are."""
    for module_name, classes in CLASSES.items():
        try:
            module = import_module(module_name)
        except ModuleNotFoundError:
            continue  # the sources are current, or older than this list
        for before, (today, attributes) in classes.items():
            earlier = getattr(module, before, None)
            if earlier is None:
                continue  # this revision does not have the class yet, or no longer has it
            setattr(module, today, earlier)
            source = import_module(earlier.__module__)
            for name, old in attributes.items():
                # The class does not show attributes that only instances have, so the module's text is searched.
                if not hasattr(earlier, name) and _uses_old_name(source.__file__, old, name):
                    setattr(earlier, name, _alias(old))


def _uses_old_name(file: str, old: str, new: str) -> bool:
    """Whether a module's source contains the old name and not the new one."""
    words = set("".join(c if c.isalnum() or c == "_" else " " for c in Path(file).read_text(encoding="utf-8")).split())
    return old in words and new not in words
