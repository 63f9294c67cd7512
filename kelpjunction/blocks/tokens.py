"""The fencing tokens that one grant reserves."""

from typing import NamedTuple


class TokenRange(NamedTuple):
    """The tokens that a grant reserves for its holder, both ends included."""

    first: int
    last: int
