"""Messages between controllers and the cloud."""

from urllib.parse import quote

import orjson

from kelpjunction.clock import seconds
from kelpjunction.wire.messages import ListedMachine, MachineType
from kelpjunction.wire.users import MalformedMessage

CATALOG_PATH = "/catalog"
RENTALS_PATH = "/rentals"
RENTAL_RETURNS_PATH = "/rentals/return"
MAX_MACHINES_PER_RENTAL = 50
MAX_MACHINES_PER_RETURN = 100
PAGE_SIZE = 500

_STATES = {"starting": "booting", "running": "running", "failed": "failed"}


def parse_catalog(fields: dict) -> dict[str, MachineType]:
    """Parse the cloud's catalog: machine types by name; raises `MalformedMessage`."""
    try:
        return {
            t["label"]: MachineType(
                name=t["label"],
                cpus=float(t["cpus"]),
                gpus=float(t.get("accelerators") or 0),
                memory=float(t["ram_gb"]),
                cache_gb=float(t.get("local_gb") or 0),
                fetch_gb_per_s=float(t.get("fetch_gb_per_s") or 1),
                price=float(t.get("price") or 0),
                spot_price=float(t.get("market_price") or 0),
                boot=seconds(float(t.get("startup_s") or 0)),
                zones=tuple(t.get("bays") or ()),
            )
            for t in fields["hulls"]
        }
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedMessage(f"catalog: {error!r}") from error


def rent_body(request: str, type_: str, zone: str, spot: bool, count: int) -> bytes:
    """The body of a request to rent `count` machines."""
    return orjson.dumps({"charter": request, "hull": type_, "bay": zone, "driftwood": spot, "number": count})


def parse_rented(fields: dict) -> tuple[str, ...]:
    """Parse the names of the rented machines; raises `MalformedMessage`."""
    names = fields.get("holdfasts")
    if not isinstance(names, list) or not all(isinstance(n, str) for n in names):
        raise MalformedMessage("rental answer without holdfasts")
    return tuple(names)


def return_body(machines: list[str]) -> bytes:
    """The body of a request to return machines."""
    return orjson.dumps({"holdfasts": machines})


def list_path(after: str | None) -> str:
    """The path of one page of the machine list, after the machine `after`."""
    since = f"since={quote(after)}&" if after else ""
    return f"{RENTALS_PATH}?{since}most={PAGE_SIZE}"


def parse_list(fields: dict) -> tuple[tuple[ListedMachine, ...], bool]:
    """Parse one page of the machine list; returns its machines and whether more pages follow."""
    try:
        machines = tuple(
            ListedMachine(
                m["ref"],
                m.get("address") or "",
                m["hull"],
                m["bay"],
                bool(m.get("driftwood")),
                _STATES[m["tide"]],
                seconds(float(m.get("held_s") or 0)),
            )
            for m in fields["holdfasts"]
        )
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedMessage(f"machine list: {error!r}") from error
    return machines, bool(fields.get("has_next"))
