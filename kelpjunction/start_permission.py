"""Decides when a start may be sent and when a cancellation may be confirmed.  Performs no I/O.

Once a user is told that a job is cancelled, no task of it may be started.  The node that sends a start may not
know of the cancellation yet: its answers from the state service may take long.  `known_at` is the latest time at
which the job is known not to have been cancelled: a time on the sender's clock before it sent the request whose
answer showed that.  `applied` is when the cancellation was applied, `learned` is when the node that answers the
user learned of it, `age` is `MAX_KNOWLEDGE_AGE` and `delay` is `CONFIRMATION_DELAY`:

    known_at < applied                  because the sender does not know of the cancellation
    sent < known_at + age               by the check in `may_start`, made when the command is sent
    applied <= learned                  only an answer or a watch tells of a cancellation
    learned + delay <= confirmed        by the check in `may_confirm`

    =>  sent < applied + age < learned + delay <= confirmed

Only durations are compared, each on one node's clock, so the nodes need not agree on the time.  A node may confirm
earlier if every other node has said that it knows of the cancellation, since a node that does sends no start.
Source: PROTOCOL, "POST /api/jobs/{id}/abort", and the operators' addition on starts after a confirmed cancellation.
"""

from datetime import timedelta

from kelpjunction.clock import seconds
from kelpjunction.renewal import CLOCK_DRIFT_FACTOR

# The state service answers within a few hundred ms.  A poll, which may wait for a confirmation, gives up after 2 s.
MAX_KNOWLEDGE_AGE = seconds(1.5)
CONFIRMATION_DELAY = MAX_KNOWLEDGE_AGE * CLOCK_DRIFT_FACTOR


def may_start(known_at: timedelta | None, now: timedelta) -> bool:
    """Whether a start may be sent now; `known_at` is None if the job was never seen in an answer."""
    return known_at is not None and now - known_at < MAX_KNOWLEDGE_AGE


def may_confirm(learned: timedelta, now: timedelta) -> bool:
    """Whether a cancellation learned of at this time may be confirmed now, whatever the other nodes know."""
    return now - learned >= CONFIRMATION_DELAY
