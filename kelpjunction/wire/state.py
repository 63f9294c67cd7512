"""Messages between controllers and the state service."""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple
from urllib.parse import quote

import orjson

from kelpjunction.wire.users import MalformedMessage

COMMIT_PATH = "/commit"
STORE_LEASES_PATH = "/holds"
MAX_TXN_BYTES = 60 * 1024
GUARDS_PER_OP = 4


class Change(NamedTuple):
    """The new value of one key; None means that the key was deleted."""

    key: str
    value: Any
    version: int


def key_path(key: str) -> str:
    return f"/store/{key}"


def scan_path(prefix: str, after: str | None, limit: int) -> str:
    since = f"&since={quote(after, safe='')}" if after else ""
    return f"/store?prefix={quote(prefix, safe='')}{since}&most={limit}"


def watch_path(prefix: str, since: int, wait_ms: int) -> str:
    return f"/follow?prefix={quote(prefix, safe='')}&since={since}&hold_ms={wait_ms}"


def lease_body(ttl_ms: int) -> bytes:
    return orjson.dumps({"ttl_ms": ttl_ms})


def lease_path(lease: int, end: str = "") -> str:
    return f"{STORE_LEASES_PATH}/{lease}{end}"


def commit_body(
    guards: Mapping[str, int], puts: Mapping[str, Any], deletes: Iterable[str], leases: Mapping[str, int]
) -> bytes:
    """The body of a transaction; `leases` has the store lease of each key that is attached to one."""
    then: list[dict] = []
    for key, value in puts.items():
        change = {"set": key, "data": value}
        if key in leases:
            change["mooring"] = leases[key]
        then.append(change)
    then.extend({"delete": key} for key in deletes)
    body: dict[str, Any] = {"guards": [{"key": k, "stamp": v} for k, v in guards.items()]}
    if then:
        body["then"] = then
    return orjson.dumps(body)


def parse_revision(fields: dict) -> int:
    revision = fields.get("ledger")
    if not isinstance(revision, int):
        raise MalformedMessage("state service answer without ledger")
    return revision


def parse_lease(fields: dict) -> int:
    lease = fields.get("mooring")
    if not isinstance(lease, int):
        raise MalformedMessage("hold answer without mooring")
    return lease


def parse_conflicting_keys(fields: dict) -> tuple[str, ...]:
    failed = fields.get("failed")
    return tuple(failed) if isinstance(failed, list) else ()


def parse_entry(fields: dict) -> Change:
    try:
        return Change(fields["key"], fields["data"], int(fields["stamp"]))
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedMessage(f"state service entry: {error!r}") from error


def parse_page(fields: dict) -> tuple[list[Change], bool, int]:
    """Parse one page of a listing: its entries, whether more pages follow, and the revision it was read at."""
    pairs = fields.get("pairs")
    if not isinstance(pairs, list):
        raise MalformedMessage("state service listing without pairs")
    return [parse_entry(p) for p in pairs], bool(fields.get("has_next")), parse_revision(fields)


def parse_changes(fields: dict) -> tuple[list[Change], int]:
    """Parse a watch's answer: the changes, and the revision up to which they are complete."""
    try:
        changes = [
            Change(n["set"], n["data"], int(n["stamp"])) if "set" in n else Change(n["delete"], None, int(n["stamp"]))
            for n in fields.get("news") or ()
        ]
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedMessage(f"follow answer: {error!r}") from error
    return changes, parse_revision(fields)
