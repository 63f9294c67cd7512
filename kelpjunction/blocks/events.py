"""What happens to the blocks that a node holds, as the recorder keeps it."""

import logging
from dataclasses import dataclass
from enum import Enum
from typing import ClassVar

from kelpjunction.recorder import Event


class GrantChange(Enum):
    """What became of a grant that this node has or had."""

    GAINED = "gained"
    RAISED = "raised"  # by its own holder, to a new token
    OVERTAKEN = "overtaken"  # a worker has seen a higher token: another holds the block, though no news of it came
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class GrantChanged(Event):
    """A grant of this node's changed; `version` is the grant's, `revision` what this node has read up to."""

    level: ClassVar[int] = logging.INFO
    change: GrantChange
    zone: str
    holder: str
    incarnation: str
    term: int
    token: int
    version: int
    revision: int
