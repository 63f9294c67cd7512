"""A stand-in for the state service, as PROTOCOL describes it, with its limits."""

import asyncio
import bisect
import contextlib
import json
import time
from urllib.parse import parse_qs, urlsplit


def size(value):
    return len(json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode())


class State:
    """Keys, holds and watches.  `down` answers everything with 503."""

    def __init__(self, rps, write_rps, value_kb, txn_ops, record):
        self.rps, self.write_rps, self.value_bytes, self.txn_ops = rps, write_rps, int(value_kb * 1024), txn_ops
        self.record = record
        self.data, self.keys = {}, []  # key -> (value, stamp, hold)
        self.ledger, self.history, self.holds, self.next_hold = 0, [], {}, 1
        self.changed = asyncio.Event()
        self.levels = {"rps": (time.monotonic(), rps), "write_rps": (time.monotonic(), write_rps)}
        self.down = False
        self.malformed = 0

    def _admit(self, **costs):
        now, levels = time.monotonic(), {}
        for name, cost in costs.items():
            at, level = self.levels[name]
            rate = getattr(self, name)
            levels[name] = (now, min(rate, level + rate * (now - at)) - cost)
        if any(level < 0 for _, level in levels.values()):
            return False
        self.levels.update(levels)
        return True

    def _expire(self):
        now = time.monotonic()
        for hold in [h for h, (end, _) in self.holds.items() if now > end]:
            del self.holds[hold]
            self._drop_keys_of(hold)

    def _drop_keys_of(self, hold):
        for key in [k for k, entry in self.data.items() if entry[2] == hold]:
            self.ledger += 1
            self._put(key, None, None)
        self._notify()

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _put(self, key, value, hold):
        if value is None:
            if key not in self.data:
                return
            del self.data[key]
            self.keys.remove(key)
            self.history.append((self.ledger, {"delete": key, "stamp": self.ledger}))
        else:
            if key not in self.data:
                bisect.insort(self.keys, key)
            self.data[key] = (value, self.ledger, hold)
            self.history.append((self.ledger, {"set": key, "data": value, "stamp": self.ledger}))
        del self.history[:-10_000]

    async def sweep(self):
        while True:
            await asyncio.sleep(0.05)
            if not self.down:
                self._expire()

    async def handle(self, method, path, body):
        if self.down:
            return 503, {"error": "trouble"}
        self._expire()
        url = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        then = body.get("then") or []
        if not self._admit(rps=1, write_rps=len(then)):
            return 429, {"error": "too many requests"}
        if url.path == "/commit":
            return self._commit(body.get("guards") or [], then)
        if url.path == "/follow":
            return await self._follow(query)
        if url.path == "/holds":
            hold, self.next_hold = self.next_hold, self.next_hold + 1
            self.holds[hold] = (time.monotonic() + body["ttl_ms"] / 1000, body["ttl_ms"] / 1000)
            return 200, {"mooring": hold}
        if url.path.startswith("/holds/"):
            hold = int(url.path.split("/")[2])
            if hold not in self.holds:
                return 404, {}
            if method == "DELETE":
                del self.holds[hold]
                self._drop_keys_of(hold)
            else:
                self.holds[hold] = (time.monotonic() + self.holds[hold][1], self.holds[hold][1])
            return 200, {"mooring": hold}
        if url.path == "/store":
            return self._page(query)
        key = url.path.removeprefix("/store/")
        if key not in self.data:
            return 404, {"ledger": self.ledger}
        value, stamp, hold = self.data[key]
        return 200, {"key": key, "data": value, "stamp": stamp} | ({"mooring": hold} if hold else {})

    def _page(self, query):
        prefix, since, most = query["prefix"], query.get("since", ""), min(1000, int(query.get("most", 1000)))
        at = bisect.bisect_right(self.keys, since) if since >= prefix else bisect.bisect_left(self.keys, prefix)
        pairs, used = [], 0
        while at < len(self.keys) and self.keys[at].startswith(prefix):
            key = self.keys[at]
            used += size(self.data[key][0]) + len(key) + 60
            if len(pairs) == most or (pairs and used > 500 * 1024):
                return 200, {"pairs": pairs, "has_next": True, "ledger": self.ledger}
            pairs.append({"key": key, "data": self.data[key][0], "stamp": self.data[key][1]})
            at += 1
        return 200, {"pairs": pairs, "has_next": False, "ledger": self.ledger}

    async def _follow(self, query):
        prefix, since = query["prefix"], int(query["since"])
        until = time.monotonic() + min(60.0, int(query.get("hold_ms", 0)) / 1000)
        if self.history and len(self.history) >= 10_000 and since < self.history[0][0]:
            return 410, {"ledger": self.ledger}
        while True:
            at = bisect.bisect_right(self.history, since, key=lambda entry: entry[0])
            news = [c for _, c in self.history[at:] if c.get("set", c.get("delete")).startswith(prefix)]
            left = until - time.monotonic()
            if (news or left <= 0) and not self.down:
                return 200, {"ledger": self.ledger, "news": news}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), min(max(left, 0.05), 1.0))

    def _commit(self, guards, then):
        too_long = [t["set"] for t in then if "set" in t and size(t["data"]) > self.value_bytes]
        if too_long or len(then) > self.txn_ops or len(guards) > 4 * self.txn_ops:
            self.malformed += 1
            if self.malformed <= 3 or self.malformed % 100 == 0:
                lengths = {t["set"]: size(t["data"]) for t in then if t.get("set") in too_long}
                self.record(
                    f"state service: commit {self.malformed} above its limits gets 400: {len(then)} changes, "
                    f"{len(guards)} guards, values above {self.value_bytes} bytes: {lengths}"
                )
            return 400, {"error": "above the limits"}
        failed = [g["key"] for g in guards if (self.data[g["key"]][1] if g["key"] in self.data else 0) != g["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if any(t.get("mooring") is not None and t["mooring"] not in self.holds for t in then):
            return 400, {"error": "no such lease"}
        if then:
            self.ledger += 1
            for t in then:
                if "set" in t:
                    self._put(t["set"], t["data"], t.get("mooring"))
                else:
                    self._put(t["delete"], None, None)
            self._notify()
        return 200, {"ledger": self.ledger}
