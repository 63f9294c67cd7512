"""A stand-in for the state service: keys, leases and watches, as PROTOCOL describes them."""

from bisect import bisect_right
from collections.abc import Callable, Mapping
from datetime import timedelta
from itertools import islice
from operator import itemgetter
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson
from sortedcontainers import SortedDict

from kelpjunction.settings import StoreLimits
from kelpjunction.transport import Reply

MAX_CHARACTER = "\U0010ffff"
USUAL_LIMITS = StoreLimits(rps=250.0, write_rps=100.0, value_bytes=8192, txn_ops=12)
MAX_TRANSACTION_BYTES = 64 * 1024  # of a transaction
MAX_GUARDS_PER_CHANGE = 4  # conditions, for each change that a transaction may have
HISTORY_LIMIT_CHANGES = 10_000  # that a watch may lag behind, as PROTOCOL says


class StoreStandIn:
    """The state service: keys, holds, follow."""

    def __init__(self, clock) -> None:
        self.clock = clock
        self.data = {}
        self.revision = 0
        self.history: list[tuple[int, str, object]] = []
        self.leases: dict[int, tuple[timedelta, timedelta]] = {}
        self.next_lease_id = 1
        self.is_down = False
        self.limits: StoreLimits | None = None  # rates to hold the nodes to, if any
        self.reject_all = False  # everything, as if others took the whole rate
        self.rejected_requests = self.applied_changes = 0  # requests answered 429, and changes applied
        self._left: dict[str, tuple[timedelta, float]] = {}
        self.compacted_revision = 0  # changes up to this revision are not told any more
        self.on_set: Callable[[str, Any], None] = lambda key, value: None  # told of each change as it is applied

    @property
    def bounds(self) -> StoreLimits:
        """What one request may hold: the nodes are to keep to it, whether or not rates are held to."""
        return self.limits or USUAL_LIMITS

    @property
    def data(self) -> SortedDict:
        """Each key's value, version and lease, in key order."""
        return self._data

    @data.setter
    def data(self, entries: Mapping[str, tuple[object, int, int | None]]) -> None:
        self._data = SortedDict(entries)

    def handle(self, method: str, path: str, body: dict) -> Reply:
        if self.is_down:
            return Reply(503, {})
        self.expire_leases()
        changes = len(body.get("then", ()))
        if self.reject_all or not self._admits(changes):
            self.rejected_requests += 1
            return Reply(429, {})
        self.applied_changes += changes
        url = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if url.path == "/commit":
            return self._commit(body)
        if url.path == "/follow":
            return self._news(query["prefix"], int(query["since"]))
        if url.path == "/holds":
            hold, self.next_lease_id = self.next_lease_id, self.next_lease_id + 1
            ttl = timedelta(milliseconds=body["ttl_ms"])
            self.leases[hold] = (self.clock.now + ttl, ttl)
            return Reply(200, {"mooring": hold})
        if url.path.startswith("/holds/"):
            hold = int(url.path.split("/")[2])
            if hold not in self.leases:
                return Reply(404, {})
            self.leases[hold] = (self.clock.now + self.leases[hold][1], self.leases[hold][1])
            return Reply(200, {"mooring": hold})
        if url.path == "/store":
            return self._page(query["prefix"], query.get("since", ""), int(query["most"]))
        key = url.path.removeprefix("/store/")
        if key not in self.data:
            return Reply(404, {"ledger": self.revision})
        return Reply(200, {"key": key, "data": self.data[key][0], "stamp": self.data[key][1]})

    def poll_watch(self, path: str) -> Reply:
        """What an open watch would be told now: it stays open in an outage, and opening it alone was a request."""
        query = {k: v[0] for k, v in parse_qs(urlsplit(path).query).items()}
        if self.is_down:
            return Reply(200, {"ledger": int(query["since"]), "news": []})
        return self._news(query["prefix"], int(query["since"]))

    def _news(self, prefix: str, since: int) -> Reply:
        """The changes below a prefix after a revision."""
        if since < self.compacted_revision:
            return Reply(410, {"ledger": self.revision})
        news = [
            {"delete": k, "stamp": r} if v is None else {"set": k, "data": v, "stamp": r}
            for r, k, v in self.history[bisect_right(self.history, since, key=itemgetter(0)) :]
            if k.startswith(prefix)
        ]
        return Reply(200, {"ledger": self.revision, "news": news})

    def _page(self, prefix: str, since: str, most: int) -> Reply:
        """So many keys with the prefix, in key order, behind the key `since`."""
        keys = self.data.irange(max(prefix, since), prefix + MAX_CHARACTER, inclusive=(since < prefix, True))
        page = list(islice(keys, most + 1))
        pairs = [{"key": k, "data": self.data[k][0], "stamp": self.data[k][1]} for k in page[:most]]
        return Reply(200, {"pairs": pairs, "has_next": len(page) > most, "ledger": self.revision})

    def _admits(self, changes: int) -> bool:
        """Whether the rates have room for a request with so many changes: each allows a second's worth at once."""
        if self.limits is None:
            return True
        left = {}
        for name, rate, asked in (("requests", self.limits.rps, 1), ("changes", self.limits.write_rps, changes)):
            at, level = self._left.get(name, (self.clock.now, rate))
            left[name] = min(rate, level + rate * (self.clock.now - at).total_seconds()) - asked
        if any(level < 0 for level in left.values()):
            return False
        self._left = {name: (self.clock.now, level) for name, level in left.items()}
        return True

    def _commit(self, body: dict) -> Reply:
        assert len(body.get("then", ())) <= self.bounds.txn_ops
        assert len(orjson.dumps(body)) <= MAX_TRANSACTION_BYTES
        assert len(body["guards"]) <= MAX_GUARDS_PER_CHANGE * self.bounds.txn_ops
        failed = [g["key"] for g in body["guards"] if self.data.get(g["key"], (0, 0))[1] != g["stamp"]]
        if failed:
            return Reply(409, {"failed": failed, "ledger": self.revision})
        then = body.get("then", ())
        if any("mooring" in t and t["mooring"] not in self.leases for t in then):
            return Reply(400, {"error": "no such lease"})
        if then:
            self.revision += 1
        for change in then:
            if "set" in change:
                assert len(orjson.dumps(change["data"])) <= self.bounds.value_bytes
                self._set(change["set"], change["data"], change.get("mooring"))
            else:
                self._set(change["delete"], None, None)
        return Reply(200, {"ledger": self.revision})

    def _set(self, key: str, value: object, hold: int | None) -> None:
        if value is None:
            if self.data.pop(key, None) is None:
                return
        else:
            self.data[key] = (value, self.revision, hold)
        self.history.append((self.revision, key, value))
        if len(self.history) > 2 * HISTORY_LIMIT_CHANGES:
            self._trim()
        self.on_set(key, value)

    def _trim(self) -> None:
        """Forget all but the latest changes; what was forgotten of is forgotten up to a whole revision."""
        self.compacted_revision = self.history[-HISTORY_LIMIT_CHANGES][0]
        self.history = [
            change for change in self.history[-HISTORY_LIMIT_CHANGES:] if change[0] > self.compacted_revision
        ]

    def expire_leases(self) -> None:
        for hold, (end, _) in list(self.leases.items()):
            if self.clock.now > end:
                del self.leases[hold]
                for key in [k for k, v in self.data.items() if v[2] == hold]:
                    self.revision += 1
                    self._set(key, None, None)

    def compact(self) -> None:
        """As the service does with all but its latest changes."""
        self.compacted_revision, self.history = self.revision, []

    def outage(self, on: bool) -> None:
        if self.is_down and not on:
            self.leases = {h: (self.clock.now + ttl, ttl) for h, (_, ttl) in self.leases.items()}
        self.is_down = on
