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

LAST_CHARACTER = "\U0010ffff"
USUAL_LIMITS = StoreLimits(rps=250.0, write_rps=100.0, value_bytes=8192, txn_ops=12)
MAX_TRANSACTION_BYTES = 64 * 1024
MAX_GUARDS_PER_CHANGE = 4  # conditions of a transaction, for each change that it may have
HISTORY_LIMIT_CHANGES = 10_000  # by which a watch may lag, from PROTOCOL


class StoreStandIn:
    """The state service: keys, leases and watches."""

    def __init__(self, clock) -> None:
        self.clock = clock
        self.data = {}
        self.revision = 0
        self.history: list[tuple[int, str, object]] = []
        self.leases: dict[int, tuple[timedelta, timedelta]] = {}
        self.next_lease_id = 1
        self.is_down = False
        self.limits: StoreLimits | None = None  # rates to enforce; None for no limit
        self.reject_all = False  # reject every request, as if other clients used up the rate
        self.rejected_requests = self.applied_changes = 0  # `rejected_requests` were answered with 429
        self._rate_levels: dict[str, tuple[timedelta, float]] = {}
        self.compacted_revision = 0  # watches cannot start before this revision
        self.on_set: Callable[[str, Any], None] = lambda key, value: None  # called for each change as it is applied

    @property
    def bounds(self) -> StoreLimits:
        """The size limits of a request, which apply whether or not rates are enforced."""
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
        if self.reject_all or not self._is_within_rates(changes):
            self.rejected_requests += 1
            return Reply(429, {})
        self.applied_changes += changes
        url = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if url.path == "/commit":
            return self._commit(body)
        if url.path == "/follow":
            return self._changes_since(query["prefix"], int(query["since"]))
        if url.path == "/holds":
            lease_id, self.next_lease_id = self.next_lease_id, self.next_lease_id + 1
            ttl = timedelta(milliseconds=body["ttl_ms"])
            self.leases[lease_id] = (self.clock.now + ttl, ttl)
            return Reply(200, {"mooring": lease_id})
        if url.path.startswith("/holds/"):
            lease_id = int(url.path.split("/")[2])
            if lease_id not in self.leases:
                return Reply(404, {})
            self.leases[lease_id] = (self.clock.now + self.leases[lease_id][1], self.leases[lease_id][1])
            return Reply(200, {"mooring": lease_id})
        if url.path == "/store":
            return self._page(query["prefix"], query.get("since", ""), int(query["most"]))
        key = url.path.removeprefix("/store/")
        if key not in self.data:
            return Reply(404, {"ledger": self.revision})
        return Reply(200, {"key": key, "data": self.data[key][0], "stamp": self.data[key][1]})

    def poll_watch(self, path: str) -> Reply:
        """The reply to an open watch now.

        A watch stays open in an outage.  Only opening it counts as a request.
        """
        query = {k: v[0] for k, v in parse_qs(urlsplit(path).query).items()}
        if self.is_down:
            return Reply(200, {"ledger": int(query["since"]), "news": []})
        return self._changes_since(query["prefix"], int(query["since"]))

    def _changes_since(self, prefix: str, since: int) -> Reply:
        """The changes of keys with a prefix after a revision; 410 if they were compacted."""
        if since < self.compacted_revision:
            return Reply(410, {"ledger": self.revision})
        changes_found = [
            {"delete": k, "stamp": r} if v is None else {"set": k, "data": v, "stamp": r}
            for r, k, v in self.history[bisect_right(self.history, since, key=itemgetter(0)) :]
            if k.startswith(prefix)
        ]
        return Reply(200, {"ledger": self.revision, "news": changes_found})

    def _page(self, prefix: str, since: str, most: int) -> Reply:
        """Up to `most` keys with the prefix, in key order, after the key `since`."""
        keys = self.data.irange(max(prefix, since), prefix + LAST_CHARACTER, inclusive=(since < prefix, True))
        page = list(islice(keys, most + 1))
        pairs = [{"key": k, "data": self.data[k][0], "stamp": self.data[k][1]} for k in page[:most]]
        return Reply(200, {"pairs": pairs, "has_next": len(page) > most, "ledger": self.revision})

    def _is_within_rates(self, changes: int) -> bool:
        """Whether the rates allow a request with this many changes; each rate allows a burst of one second's worth."""
        if self.limits is None:
            return True
        levels = {}
        for name, rate, cost in (("requests", self.limits.rps, 1), ("changes", self.limits.write_rps, changes)):
            updated_at, level = self._rate_levels.get(name, (self.clock.now, rate))
            levels[name] = min(rate, level + rate * (self.clock.now - updated_at).total_seconds()) - cost
        if any(level < 0 for level in levels.values()):
            return False
        self._rate_levels = {name: (self.clock.now, level) for name, level in levels.items()}
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

    def _set(self, key: str, value: object, lease_id: int | None) -> None:
        if value is None:
            if self.data.pop(key, None) is None:
                return
        else:
            self.data[key] = (value, self.revision, lease_id)
        self.history.append((self.revision, key, value))
        if len(self.history) > 2 * HISTORY_LIMIT_CHANGES:
            self._trim_history()
        self.on_set(key, value)

    def _trim_history(self) -> None:
        """Drop all but the latest changes.  If part of a revision is dropped, the whole revision is."""
        self.compacted_revision = self.history[-HISTORY_LIMIT_CHANGES][0]
        self.history = [
            change for change in self.history[-HISTORY_LIMIT_CHANGES:] if change[0] > self.compacted_revision
        ]

    def expire_leases(self) -> None:
        for lease_id, (end, _) in list(self.leases.items()):
            if self.clock.now > end:
                del self.leases[lease_id]
                for key in [k for k, v in self.data.items() if v[2] == lease_id]:
                    self.revision += 1
                    self._set(key, None, None)

    def compact(self) -> None:
        """Drop the whole history, as the service does with all but its latest changes."""
        self.compacted_revision, self.history = self.revision, []

    def outage(self, on: bool) -> None:
        if self.is_down and not on:
            self.leases = {h: (self.clock.now + ttl, ttl) for h, (_, ttl) in self.leases.items()}
        self.is_down = on
