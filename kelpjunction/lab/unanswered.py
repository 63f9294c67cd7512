"""Transactions of a node that get no answer and are carried out while the node's next process starts.

Source: PROTOCOL, "Limits and errors": a request without a response may still be carried out later, and
`shared/protocol-added.md`: processes may be back within a fraction of a second.
"""

from enum import Enum

from kelpjunction.blocks import BLOCK_PREFIX
from kelpjunction.jobs.job_index import DISPATCH_PREFIX
from kelpjunction.lab.store import StoreStandIn
from kelpjunction.leadership import LEADER_KEY, MEMBER_PREFIX
from kelpjunction.transport import NoResponse
from kelpjunction.wire.state import COMMIT_PATH, STORE_LEASES_PATH


class Moment(Enum):
    """A request of the next process; the transactions of the process that ended are carried out just before it."""

    FIRST_READ = "first read"
    STORE_LEASE = "store lease"
    MEMBER_KEY = "member key"
    TAKEOVER = "takeover"
    GRANT = "grant"
    DISPATCH = "dispatch"


_MOMENT_BY_PREFIX = {
    MEMBER_PREFIX: Moment.MEMBER_KEY,
    LEADER_KEY: Moment.TAKEOVER,
    BLOCK_PREFIX: Moment.GRANT,
    DISPATCH_PREFIX: Moment.DISPATCH,
}


def moment_of(path: str, body: dict) -> Moment | None:
    """The moment that a request to the state service marks, if any."""
    if path.startswith("/store?"):
        return Moment.FIRST_READ
    if path == STORE_LEASES_PATH:
        return Moment.STORE_LEASE
    written = [change["set"] for change in body.get("then", ()) if "set" in change]
    return next((m for prefix, m in _MOMENT_BY_PREFIX.items() if any(k.startswith(prefix) for k in written)), None)


class UnansweredTransactions:
    """Keeps transactions of nodes without an answer, and carries them out before a request of the next process."""

    def __init__(self, store: StoreStandIn) -> None:
        self._store = store
        self._without_answers: set[str] = set()  # nodes whose transactions are kept
        self._kept: dict[str, list[dict]] = {}  # by node: the bodies, in the order in which they were sent
        self._due: dict[str, tuple[Moment, bool]] = {}  # by node: when they are carried out, and whether in reverse
        self.applied = 0  # how many of them changed something

    def keep(self, node: str) -> None:
        """From now on a node's transactions get no answer and are kept."""
        self._without_answers.add(node)

    def kept(self, node: str) -> int:
        """How many of a node's transactions are kept now."""
        return len(self._kept.get(node, ()))

    def carry_out_before(self, node: str, moment: Moment, reverse: bool = False) -> None:
        """Answer a node again, whose process has ended, and carry out what was kept before this request of the next."""
        self._without_answers.discard(node)
        self._due[node] = (moment, reverse)

    def on_request(self, node: str, path: str, body: dict) -> None:
        """Handle a request that reaches the state service; raises `NoResponse` if it is kept."""
        if node in self._without_answers and path == COMMIT_PATH and body.get("then"):
            self._kept.setdefault(node, []).append(body)
            raise NoResponse("the transaction is carried out later")
        moment, reverse = self._due.get(node, (None, False))
        if moment is not None and moment_of(path, body) is moment:
            del self._due[node]
            self._carry_out(self._kept.pop(node, []), reverse)

    def _carry_out(self, bodies: list[dict], reverse: bool) -> None:
        for body in reversed(bodies) if reverse else bodies:
            self.applied += self._store.handle("POST", COMMIT_PATH, body).status == 200
