"""A stand-in for the cloud: machine types, a few zones, and a machine list that shows new machines 5 s late."""

from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from kelpjunction.clock import seconds
from kelpjunction.lab.worker import WorkerStandIn
from kelpjunction.transport import Reply

if TYPE_CHECKING:
    from kelpjunction.lab.site import Site

MACHINE_CPUS, MACHINE_MEMORY_GB = 8.0, 64.0
DEFAULT_TYPE = "box"
BOOT_SPREAD = (0.6, 1.5)  # factors of a machine's nominal boot time, from PROTOCOL


class MachineSize(NamedTuple):
    """What a machine of a type has, and its price an hour."""

    cpus: float
    memory_gb: float
    price: float = 1.0


class CloudStandIn:
    """The cloud: one machine type unless others are added, and a machine list that shows new machines 5 s late."""

    def __init__(self, world: "Site", capacity: int) -> None:
        self.world, self.capacity = world, capacity
        self.machines: dict[str, tuple[WorkerStandIn, timedelta]] = {}
        self.workers_by_address: dict[str, WorkerStandIn] = {}  # including workers of machines that are gone
        self.rentals_by_request: dict[str, list[str]] = {}
        self.number = 0
        self.is_down = False
        self.boot = seconds(20)
        self.cpus, self.memory_gb = MACHINE_CPUS, MACHINE_MEMORY_GB
        self.other_types: dict[str, MachineSize] = {}  # by name: the types besides DEFAULT_TYPE
        self.capacity_by_type: dict[str, int] = {}  # how many machines the cloud has of a type; otherwise any number
        self.zones_without_capacity: set[str] = set()  # zones in which every rental request is refused

    def size_of(self, machine_type: str) -> MachineSize:
        """What a machine of this type has."""
        return self.other_types.get(machine_type) or MachineSize(self.cpus, self.memory_gb)

    def add(self, zone: str, spot: bool, ready: timedelta, machine_type: str = DEFAULT_TYPE) -> WorkerStandIn:
        self.number += 1
        name = f"n-{self.number:06d}"
        worker = self.world.make_worker(name, zone, spot)
        worker.machine_type = machine_type
        worker.address = self.world.address_of(worker, self.number)
        worker.next_report = worker.lease_renewed_at = worker.booted_at = ready
        self.machines[name] = (worker, self.world.clock.now)
        self.workers_by_address[worker.address] = worker
        return worker

    def _boot_time(self) -> timedelta:
        return self.boot / self.world.speed * self.world.vary(BOOT_SPREAD)

    def _free_capacity(self, machine_type: str) -> int:
        """How many more machines of this type can be rented."""
        rented = sum(worker.machine_type == machine_type for worker, _ in self.machines.values())
        free_of_type = self.capacity_by_type.get(machine_type, self.capacity) - rented
        return min(free_of_type, self.capacity - len(self.machines))

    def _catalog_entry(self, machine_type: str) -> dict:
        size = self.size_of(machine_type)
        return {
            "label": machine_type, "cpus": size.cpus, "accelerators": 0, "ram_gb": size.memory_gb, "local_gb": 50,
            "fetch_gb_per_s": 1.0, "price": size.price, "market_price": 0.4 * size.price, "startup_s": 20,
            "bays": list(self.world.zones),
        }  # fmt: skip

    def handle(self, method: str, path: str, body: dict) -> Reply:
        if self.is_down:
            return Reply(503, {"error": "trouble"})
        now = self.world.clock.now
        if path == "/catalog":
            return Reply(200, {"hulls": [self._catalog_entry(name) for name in (DEFAULT_TYPE, *self.other_types)]})
        if path == "/rentals/return":
            for name in body["holdfasts"]:
                worker, _ = self.machines.pop(name, (None, None))
                if worker is not None:
                    worker.die()
            return Reply(200, {})
        if path == "/rentals":
            if body["charter"] not in self.rentals_by_request:
                count = min(body["number"], self._free_capacity(body["hull"]))
                if count <= 0 or body["bay"] in self.zones_without_capacity:
                    return Reply(503, {"error": "no capacity"})
                added = [
                    self.add(body["bay"], body["driftwood"], now + self._boot_time(), body["hull"])
                    for _ in range(count)
                ]
                self.rentals_by_request[body["charter"]] = [w.name for w in added]
            return Reply(200, {"holdfasts": self.rentals_by_request[body["charter"]]})
        listed = [
            {
                "ref": n, "address": w.address, "hull": w.machine_type, "bay": w.zone, "driftwood": w.spot,
                "tide": "running" if w.next_report <= now else "starting", "held_s": (now - since).total_seconds(),
            }
            for n, (w, since) in self.machines.items()
            if now - since > seconds(5)
        ]  # fmt: skip
        return Reply(200, {"holdfasts": listed, "has_next": False})
