"""The settings file of a lab node, as DEPLOY describes it."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from kelpjunction.settings import CloudLimits, StoreLimits, Team, WorkerTimes


def node_number(node: str | None, count: int) -> int | None:
    """The number of a lab node, of `count` nodes, by its name; None for an unknown name."""
    number = (node or "").removeprefix("holdfast-")
    return int(number) if number.isdigit() and int(number) < count else None


@dataclass(frozen=True, slots=True)
class NodePlace:
    """A node's name, zone and addresses."""

    name: str
    zone: str
    listen: str
    internal: str


@dataclass(frozen=True, slots=True)
class LabPlatform:
    """Settings that all nodes of a lab share."""

    zones: tuple[str, ...]
    teams: tuple[Team, ...]
    times: WorkerTimes
    store: StoreLimits
    cloud: CloudLimits
    max_sockets: int = 1000


def node_settings(place: NodePlace, others: Iterable[NodePlace], services: dict[str, str], lab: LabPlatform) -> dict:
    """The contents of one node's settings file; `services` has the addresses of `cloud` and `state`."""
    times = {f"{field}_s": getattr(lab.times, field).total_seconds() for field in lab.times.__slots__}
    return {
        "node": place.name,
        "zone": place.zone,
        "listen": place.listen,
        "internal_addr": place.internal,
        "siblings": [{"node": other.name, "zone": other.zone, "endpoint": other.internal} for other in others],
        "services": services,
        "params": {
            "zones": list(lab.zones),
            "teams": _teams(lab.teams),
            "workers": times,
            "state": {
                "rps": lab.store.rps,
                "write_rps": lab.store.write_rps,
                "value_kb": lab.store.value_bytes / 1024,
                "txn_ops": lab.store.txn_ops,
            },
            "cloud": {"rps": lab.cloud.rps, "list_lag_s": lab.cloud.list_lag.total_seconds()},
            "machine_limits": {"max_sockets": lab.max_sockets},
        },
    }


def _teams(teams: Sequence[Team]) -> list[dict]:
    return [
        {"name": t.name, "cpus": t.cpus, "gpus": t.gpus, "cpus_max": t.cpus_max or 0.0, "gpus_max": t.gpus_max or 0.0}
        for t in teams
    ]
