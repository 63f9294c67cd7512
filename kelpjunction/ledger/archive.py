"""The ledger as a Parquet file: one row for each team of each entry, with everything that an audit needs."""

import os
from collections.abc import Iterable, Mapping
from pathlib import Path

import orjson
import pyarrow as pa
import pyarrow.parquet as pq

from kelpjunction.ledger.accounts import LedgerError
from kelpjunction.ledger.reader import LedgerContents, LedgerSnapshot

FORMAT = "kelpjunction ledger 1"
_ENTRY_COLUMNS = [
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
_ROW_COLUMNS = [
    ("cpus", pa.int64()),
    ("gpus", pa.int64()),
    ("memory", pa.int64()),
    ("share", pa.int64()),
    ("faded", pa.uint64()),
    ("factor", pa.int64()),
]
SCHEMA = pa.schema([*_ENTRY_COLUMNS, ("team", pa.string()), *_ROW_COLUMNS])


def write(path: Path, base: LedgerSnapshot, entries: Iterable[Mapping]) -> None:
    """Write the file atomically: to a temporary file in the same directory first, which is then renamed."""
    columns: dict[str, list] = {name: [] for name in SCHEMA.names}
    for entry in entries:
        common = {name: entry.get(name) for name, _ in _ENTRY_COLUMNS}
        common["policy"] = orjson.dumps(entry["policy"]).decode() if "policy" in entry else None
        # An entry without teams, such as a settings entry, still gets one row.
        for team, row in entry.get("teams", {}).items() or [(None, [None] * len(_ROW_COLUMNS))]:
            values = common | {"team": team} | dict(zip((name for name, _ in _ROW_COLUMNS), row, strict=True))
            for name, column in columns.items():
                column.append(values[name])
    metadata = {"format": FORMAT, "base": orjson.dumps(base.record()).decode()}
    table = pa.table(columns, schema=SCHEMA.with_metadata(metadata))
    temporary = path.with_name(f"{path.name}.part")
    with temporary.open("wb") as file:
        pq.write_table(table, file, compression="zstd")
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)


def read(path: Path) -> LedgerContents:
    """Read a file that `write` wrote; raises `LedgerError` that says what is wrong with the file."""
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
            entries[-1]["teams"][row["team"]] = [row[name] for name, _ in _ROW_COLUMNS]
    try:
        base = LedgerSnapshot.parse(orjson.loads(metadata["base"]))
    except (KeyError, TypeError, ValueError) as error:
        raise LedgerError(f"{path}: metadata field base: {error}") from error
    return LedgerContents(base, entries)
