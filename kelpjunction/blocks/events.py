"""Recorder events for changes of the block grants that a node holds."""

import logging
from dataclasses import dataclass
from enum import Enum
from typing import ClassVar

from kelpjunction.recorder import Event


class GrantChange(Enum):
    """A kind of change of a grant that this node holds or held."""

    GAINED = "gained"
    USABLE = "usable"  # the mirror has caught up with the gained grant
    RAISED = "raised"  # its holder took a new token itself
    OVERTAKEN = "overtaken"  # a worker has seen a higher token: another node holds the block, not yet in the mirror
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class GrantChanged(Event):
    """A grant of this node changed.

    `version` is the version of the grant's key, `revision` the state service's
    revision up to which this node has read.  The grant's tokens are `token` to
    `last_token`.
    """

    level: ClassVar[int] = logging.INFO
    change: GrantChange
    zone: str
    holder: str
    incarnation: str
    term: int
    token: int
    version: int
    revision: int
    last_token: int
