"""The ledger as a Parquet file: one row for each team of each entry, and all that an audit needs."""

import os
from collections.abc import Iterable, Mapping
from pathlib import Path

import orjson
import pyarrow as pa
import pyarrow.parquet as pq

from kelpjunction.ledger.accounts import LedgerError
from kelpjunction.ledger.reader import LedgerContents, LedgerSnapshot

FORMAT = "kelpjunction ledger 1"
_ENTRY = [
    ("n", pa.int64()),
    ("prev", pa.string()),
    ("hash", pa.string()),
    ("kind", pa.string()),
    ("t", pa.int64()),
    ("by", pa.string()),
    ("page", pa.int32()),
    ("since", pa.int64()),
    ("r", pa.int64()),
    ("policy", pa.string()),
]
_ROW = [
    ("cpus", pa.int64()),
    ("gpus", pa.int64()),
    ("memory", pa.int64()),
    ("share", pa.int64()),
    ("faded", pa.uint64()),
    ("factor", pa.int64()),
]
SCHEMA = pa.schema([*_ENTRY, ("team", pa.string()), *_ROW])


def write(path: Path, base: LedgerSnapshot, entries: Iterable[Mapping]) -> None:
    """Write a file that is whole or not there: beside its place first, then moved."""
    columns: dict[str, list] = {name: [] for name in SCHEMA.names}
    for entry in entries:
        plain = {name: entry.get(name) for name, _ in _ENTRY}
        plain["policy"] = orjson.dumps(entry["policy"]).decode() if "policy" in entry else None
        # An entry without teams, such as one of settings, still has its row.
        for team, row in entry.get("teams", {}).items() or [(None, [None] * len(_ROW))]:
            values = plain | {"team": team} | dict(zip((name for name, _ in _ROW), row, strict=True))
            for name, column in columns.items():
                column.append(values[name])
    metadata = {"format": FORMAT, "base": orjson.dumps(base.record()).decode()}
    table = pa.table(columns, schema=SCHEMA.with_metadata(metadata))
    beside = path.with_name(f"{path.name}.part")
    with beside.open("wb") as file:
        pq.write_table(table, file, compression="zstd")
        file.flush()
        os.fsync(file.fileno())
    beside.replace(path)


def read(path: Path) -> LedgerContents:
    """Read such a file; raises `LedgerError` naming what is wrong with it."""
    try:
        table = pq.read_table(path)
    except (OSError, pa.ArrowException) as error:
        raise LedgerError(f"{path}: {error}") from error
    metadata = {k.decode(): v for k, v in (table.schema.metadata or {}).items()}
    if metadata.get("format", b"").decode() != FORMAT:
        raise LedgerError(f"{path}: not an exported ledger (metadata field format)")
    for name in SCHEMA.names:
        if name not in table.schema.names:
            raise LedgerError(f"{path}: column {name} is missing")
    entries: list[dict] = []
    for row in table.to_pylist():
        if not entries or entries[-1]["n"] != row["n"] or entries[-1]["hash"] != row["hash"]:
            fields = ("n", "prev", "kind", "t", "by", "hash")
            entry = {name: row[name] for name in fields}
            if row["kind"] == "settings":
                entry["policy"] = orjson.loads(row["policy"])
            else:
                entry |= {name: row[name] for name in ("page", "since", "r")} | {"teams": {}}
            entries.append(entry)
        if row["team"] is not None:
            entries[-1]["teams"][row["team"]] = [row[name] for name, _ in _ROW]
    try:
        base = LedgerSnapshot.parse(orjson.loads(metadata["base"]))
    except (KeyError, TypeError, ValueError) as error:
        raise LedgerError(f"{path}: metadata field base: {error}") from error
    return LedgerContents(base, entries)
