"""Blocks of machines: who holds which, and under which token.

A block is the machines of one zone.  Owns the grants in `l/block/<zone>` and
the rising token counter in `l/token`.  Every grant takes a new, higher token,
also when it only renews what a holder has: a worker compares nothing else, so
a command sent under an earlier grant can't be executed once the worker has
seen the new one.

For now the leader grants every block to itself.
"""

import logging
from dataclasses import dataclass

from kelpjunction.leadership import LEAD_KEY, Reign
from kelpjunction.store.client import Ending, Outcome, StoreClient
from kelpjunction.store.mirror import Mirror

log = logging.getLogger("blocks")

TOKEN_KEY = "l/token"
BLOCK_PREFIX = "l/block/"


def block_key(zone: str) -> str:
    return BLOCK_PREFIX + zone


@dataclass(slots=True)
class Grant:
    """A block's holder, the term it was granted in and the token workers obey."""

    zone: str
    holder: str
    term: int
    token: int
    version: int


class Blocks:
    """The grants of the current term, as the leader made them."""

    def __init__(self, node: str, store: StoreClient, mirror: Mirror) -> None:
        self._node = node
        self._store = store
        self._mirror = mirror
        self.grants: dict[str, Grant] = {}

    def clear(self) -> None:
        self.grants = {}

    def token(self, zone: str) -> int | None:
        grant = self.grants.get(zone)
        return grant.token if grant else None

    def grant(self, reign: Reign, zones: list[str]) -> bool:
        """Grant each of these blocks under a new token; False if that did not happen."""
        most = max(1, self._store.limits.txn_ops - 1)
        return all(self._grant_some(reign, zones[i : i + most]) for i in range(0, len(zones), most))

    def _grant_some(self, reign: Reign, zones: list[str]) -> bool:
        counter = self._mirror.get(TOKEN_KEY)
        token = counter.value if counter else 0
        guards = {LEAD_KEY: reign.lead_version, TOKEN_KEY: counter.version if counter else 0}
        puts: dict = {}
        for zone in zones:
            token += 1
            puts[block_key(zone)] = {"holder": self._node, "term": reign.term, "token": token}
        puts[TOKEN_KEY] = token
        outcome: Outcome = self._store.commit(guards, puts)
        if outcome.ending is not Ending.APPLIED:
            log.info("blocks %s not granted: %s", ",".join(zones), outcome.ending.value)
            return False
        self._mirror.put_outcome(puts, (), outcome.revision)
        for zone in zones:
            value = puts[block_key(zone)]
            self.grants[zone] = Grant(zone, self._node, reign.term, value["token"], outcome.revision)
            log.info("block %s granted to %s under token %d", zone, self._node, value["token"])
        return True
