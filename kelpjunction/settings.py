"""Loads and checks the platform's settings file (TOML) and the operators' settings file (JSON with a schema)."""

import math
import tomllib
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

import fastjsonschema
import orjson

from kelpjunction.clock import seconds
from kelpjunction.renewal import LeaseRenewalPolicy

SCHEMA_FILE = Path(__file__).with_name("operators.schema.json")


class SettingsError(Exception):
    """A settings file is missing, malformed or inconsistent; the message names the file and any wrong field."""


@dataclass(frozen=True, slots=True)
class Sibling:
    """Another controller node: its name, zone and internal address."""

    node: str
    zone: str
    address: str


@dataclass(frozen=True, slots=True)
class Team:
    """A team's guarantee and limit; a limit of None means that the team has no limit."""

    name: str
    cpus: float
    gpus: float
    cpus_max: float | None
    gpus_max: float | None

    @property
    def without_guarantee(self) -> bool:
        """Whether the team has no guarantee and so uses only capacity that other teams leave free."""
        return not self.cpus and not self.gpus


@dataclass(frozen=True, slots=True)
class WorkerTimes:
    """The intervals and timeouts of workers."""

    report: timedelta
    lease: timedelta
    gang_wait: timedelta
    gang_peer: timedelta
    cancel: timedelta


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Limits of the state service: requests and writes per second, value size and operations per transaction."""

    rps: float
    write_rps: float
    value_bytes: int
    txn_ops: int


@dataclass(frozen=True, slots=True)
class CloudLimits:
    """The cloud's request limit per second and the lag of its machine list."""

    rps: float
    list_lag: timedelta


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The contents of the platform's settings file, under the names used in this code."""

    node: str
    zone: str
    listen_address: str
    internal_address: str
    siblings: tuple[Sibling, ...]
    cloud_address: str
    store_address: str
    zones: tuple[str, ...]
    teams: dict[str, Team]
    classes_with_objectives: frozenset[str]  # the job classes that the objectives name
    workers: WorkerTimes
    store: StoreLimits
    cloud: CloudLimits
    max_sockets: int = 1000


@dataclass(frozen=True, slots=True)
class LedgerSettings:
    """How the ledger charges usage to teams; the schema holds the defaults."""

    enabled: bool
    half_life: timedelta
    period: timedelta
    form: str
    floor: float
    weights: dict[str, float]
    guest_share: float


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """The operators' settings; the schema holds the defaults."""

    class_weights: dict[str, float]
    urgency_weights: dict[str, float]
    arrival_credit: timedelta
    round_interval: timedelta
    store_lease: timedelta
    block_lease: timedelta
    snapshot_interval: timedelta
    idle_return: timedelta
    spare_share: float
    spare_gpu_machine_ratio: float
    peak_demand_window: timedelta
    ledger: LedgerSettings
    metrics: bool

    @property
    def records_machine_time(self) -> bool:
        """Whether job records include how long their tasks occupied machines."""
        return self.ledger.enabled


_NUMBER = {"type": "number", "minimum": 0, "maximum": 1e12}
_POSITIVE = {"type": "number", "exclusiveMinimum": 0, "maximum": 1e12}
_ONE_OR_MORE = {"type": "number", "minimum": 1, "maximum": 1e12}
_NAME = {"type": "string", "minLength": 1, "maxLength": 100}
_ADDRESS = {"type": "string", "pattern": "^[0-9.]+:[0-9]{1,5}$"}


def _object(required: dict, optional: dict | None = None) -> dict:
    return {"type": "object", "required": list(required), "properties": required | (optional or {})}


_PLATFORM_SCHEMA = _object(
    {
        "node": _NAME,
        "zone": _NAME,
        "listen": _ADDRESS,
        "internal_addr": _ADDRESS,
        "services": _object({"cloud": _ADDRESS, "state": _ADDRESS}),
        "params": _object(
            {
                "zones": {"type": "array", "items": _NAME, "minItems": 1},
                "teams": {
                    "type": "array",
                    "items": _object(
                        {"name": _NAME},
                        {"cpus": _NUMBER, "cpus_max": _NUMBER, "gpus": _NUMBER, "gpus_max": _NUMBER},
                    ),
                },
                "workers": _object(
                    dict.fromkeys(("report_s", "lease_s", "gang_wait_s", "gang_peer_s", "cancel_s"), _POSITIVE)
                ),
                # A start writes one chunk and the end of a job up to three keys, so fewer operations cannot work.
                "state": _object(
                    dict.fromkeys(("rps", "write_rps", "value_kb"), _ONE_OR_MORE)
                    | {"txn_ops": {"type": "number", "minimum": 4, "maximum": 1e6}}
                ),
                "cloud": _object({"rps": _POSITIVE, "list_lag_s": _NUMBER}),
            },
            {
                "objectives": {"type": "array", "items": _object({}, {"class": _NAME})},
                "machine_limits": _object({}, {"max_sockets": {"type": "number", "minimum": 100, "maximum": 1e6}}),
            },
        ),
    },
    {
        "siblings": {
            "type": "array",
            "items": _object({"node": _NAME, "zone": _NAME, "endpoint": _ADDRESS}),
        }
    },
)


def load_platform_settings(path: str | Path) -> PlatformSettings:
    """Read and check the platform's settings file, ignoring unknown fields; raises `SettingsError`."""
    try:
        raw = tomllib.loads(Path(path).read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    try:
        fastjsonschema.compile(_PLATFORM_SCHEMA)(raw)
    except fastjsonschema.JsonSchemaValueException as error:
        raise SettingsError(f"{path}: {error.message.removeprefix('data.')}") from error
    params = raw["params"]
    _check_consistency(path, raw)
    workers, store, cloud = params["workers"], params["state"], params["cloud"]
    return PlatformSettings(
        node=raw["node"],
        zone=raw["zone"],
        listen_address=raw["listen"],
        internal_address=raw["internal_addr"],
        siblings=tuple(Sibling(s["node"], s["zone"], s["endpoint"]) for s in raw.get("siblings", ())),
        cloud_address=raw["services"]["cloud"],
        store_address=raw["services"]["state"],
        zones=tuple(params["zones"]),
        teams={t["name"]: _team(t) for t in params["teams"]},
        classes_with_objectives=frozenset(o["class"] for o in params.get("objectives", ()) if "class" in o),
        workers=WorkerTimes(
            report=seconds(workers["report_s"]),
            lease=seconds(workers["lease_s"]),
            gang_wait=seconds(workers["gang_wait_s"]),
            gang_peer=seconds(workers["gang_peer_s"]),
            cancel=seconds(workers["cancel_s"]),
        ),
        store=StoreLimits(store["rps"], store["write_rps"], int(store["value_kb"] * 1024), int(store["txn_ops"])),
        cloud=CloudLimits(cloud["rps"], seconds(cloud["list_lag_s"])),
        max_sockets=int(params.get("machine_limits", {}).get("max_sockets", 1000)),
    )


def _check_consistency(path: str | Path, raw: dict) -> None:
    """Check what the schema cannot: worker times, unknown zones, duplicate names and limits below guarantees."""
    params = raw["params"]
    siblings = raw.get("siblings", ())
    lease, cancel = (seconds(params["workers"][name]) for name in ("lease_s", "cancel_s"))
    try:
        LeaseRenewalPolicy(lease, cancel, block_lease=lease)
    except ValueError as error:
        raise SettingsError(f"{path}: params.workers: {error}") from error
    for name, zone in [("zone", raw["zone"]), *((f"siblings: {s['node']}: zone", s["zone"]) for s in siblings)]:
        if zone not in params["zones"]:
            raise SettingsError(f"{path}: {name} must be one of params.zones, not {zone!r}")
    nodes = [raw["node"], *(s["node"] for s in siblings)]
    teams = [t["name"] for t in params["teams"]]
    for field, names in (("node", nodes), ("params.teams name", teams)):
        for name in {n for n in names if names.count(n) > 1}:
            raise SettingsError(f"{path}: {field} {name!r} is defined more than once")
    for team in params["teams"]:
        for amount in ("cpus", "gpus"):
            limit = team.get(f"{amount}_max") or math.inf
            if team.get(amount, 0.0) > limit:
                raise SettingsError(f"{path}: params.teams: {team['name']}: {amount}_max must be at least {amount}")


def _team(raw: dict) -> Team:
    return Team(
        name=raw["name"],
        cpus=raw.get("cpus", 0.0),
        gpus=raw.get("gpus", 0.0),
        cpus_max=raw.get("cpus_max") or None,
        gpus_max=raw.get("gpus_max") or None,
    )


def load_operator_settings(path: str | Path | None) -> OperatorSettings:
    """Read and check the operators' settings file; raises `SettingsError`. Without a file, the defaults apply."""
    try:
        raw = {} if path is None else orjson.loads(Path(path).read_bytes())
    except (OSError, orjson.JSONDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    try:
        raw = fastjsonschema.compile(orjson.loads(SCHEMA_FILE.read_bytes()))(raw)
    except fastjsonschema.JsonSchemaValueException as error:
        raise SettingsError(f"{path}: {error.message.removeprefix('data.')}") from error
    return OperatorSettings(
        class_weights=raw["class_weights"],
        urgency_weights=raw["urgency_weights"],
        arrival_credit=seconds(raw["arrival_credit_s"]),
        round_interval=seconds(raw["round_s"]),
        store_lease=seconds(raw["hold_s"]),
        block_lease=seconds(raw["block_lease_s"]),
        snapshot_interval=seconds(raw["snapshot_s"]),
        idle_return=seconds(raw["idle_return_s"]),
        spare_share=raw["spare_share"],
        spare_gpu_machine_ratio=raw["spare_box_share"],
        peak_demand_window=seconds(raw["gang_memory_s"]),
        ledger=_ledger(raw["ledger"]),
        metrics=raw["metrics"],
    )


def _ledger(raw: dict) -> LedgerSettings:
    return LedgerSettings(
        enabled=raw["enabled"],
        half_life=seconds(raw["half_life_s"]),
        period=seconds(raw["period_s"]),
        form=raw["form"],
        floor=raw["floor"],
        weights=raw["weights"],
        guest_share=raw["guest_share"],
    )
