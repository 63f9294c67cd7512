"""The cloud: its catalog, its machine list, renting and returning."""

import logging
import math
from collections import Counter, deque
from collections.abc import Callable, Iterable
from datetime import timedelta

from kelpjunction.clock import ZERO, Clock, seconds
from kelpjunction.fleet.demand import CapacityRequest, Offer, Request, plan_rentals
from kelpjunction.fleet.machines import Inventory, Machine, MachineState
from kelpjunction.fleet.rental_record import CLOUD_KEY, NAME_BYTES
from kelpjunction.jobs.failure_attribution import FailureAttribution
from kelpjunction.jobs.job_index import Job, JobIndex
from kelpjunction.leadership import LEADER_KEY, LeaderTerm
from kelpjunction.placement import PriceLimit, lowest_hourly_price_per_task, tasks_per_machine, type_fits
from kelpjunction.queue import LargeJobs, PreemptionPolicy
from kelpjunction.rate_limiter import Purpose
from kelpjunction.settings import OperatorSettings, PlatformSettings
from kelpjunction.store.client import CommitStatus, StoreClient, StoreReachability, StoreUnavailable
from kelpjunction.store.mirror import Mirror
from kelpjunction.transport import NoResponse, Reply, Transport
from kelpjunction.wire import cloud as wire
from kelpjunction.wire.messages import JobSpec, ListedMachine, MachineType, Shape
from kelpjunction.wire.users import MalformedMessage

log = logging.getLogger("fleet")

CATALOG_KEY = "l/catalog"
CLOUD_TIMEOUT = timedelta(seconds=5)
REFUSED_OFFER_BACKOFF = timedelta(seconds=20)
CATALOG_EVERY = timedelta(seconds=60)
MINIMUM_CHARGE = timedelta(seconds=60)
LOOK_EVERY = timedelta(seconds=1)  # pause between two looks at all machines; what is judged there takes tens of seconds
TOLD_EVERY = timedelta(seconds=1)  # how long what was settled with the cloud may go untold if nobody waits for it
CHEAP_CAPACITY_WAIT_LIMIT = timedelta(minutes=5)  # how long work that no objective names waits for cheap room
LARGE_JOB_CHEAP_CAPACITY_WAIT_LIMIT = timedelta(minutes=2)  # the largest of it, which is to begin within four minutes


class CloudUnavailable(Exception):
    """The cloud did not answer or would not; its outcome is unknown."""


class Fleet:
    """The leader's machines and its dealings with the cloud."""

    def __init__(
        self,
        platform: PlatformSettings,
        operators: OperatorSettings,
        store: StoreClient,
        mirror: Mirror,
        job_index: JobIndex,
        failure_attribution: FailureAttribution,
        inventory: Inventory,
        transport: Transport,
        clock: Clock,
        sleep: Callable[[timedelta], None],
    ) -> None:
        self._platform = platform
        self._operators = operators
        self._store = store
        self._mirror = mirror
        self._job_index = job_index
        self._failure_attribution = failure_attribution
        self._preemption_policy = PreemptionPolicy(platform.teams, platform.classes_with_objectives)
        self._inventory = inventory
        self._transport = transport
        self._clock = clock
        self._sleep = sleep
        self._spacing = seconds(1.25 / platform.cloud.rps)
        self._called_at = clock.steady() - self._spacing
        self._leader_term: LeaderTerm | None = None
        self._term, self._began = 0, ZERO
        self._requests = 0
        self._refused: dict[Offer, timedelta] = {}
        self._settled: set[str] = set()  # requests that were answered, and not yet crossed out
        self._gone: list[str] = []  # machines confirmed as gone, and not yet told
        self._told_at = ZERO
        # A quarter of the page each for what was asked back and for what is gone.
        self._names = max(1, platform.store.value_bytes // 4 // NAME_BYTES)
        self._catalog_at: timedelta | None = None
        self._listed_at: timedelta | None = None
        self._looked_at: timedelta | None = None
        self.large_jobs = LargeJobs(platform.teams)
        self.capacity_requests: list[CapacityRequest] = []
        self._accelerator_specs_seen: dict[tuple, tuple[JobSpec, timedelta]] = {}
        self._accelerated_jobs_seen: set[str] = set()
        self._accelerator_specs_at = ZERO
        self.recent_accelerator_specs: list[JobSpec] = []  # examples of the work that needs accelerators, of late
        self._wanted: deque[tuple[timedelta, Counter]] = deque()
        self._trouble = False
        self._parsed: tuple[int, dict[str, MachineType]] = (0, {})
        self._cheapest: tuple[dict[str, MachineType], dict[tuple, float]] = ({}, {})

    @property
    def machines(self) -> dict[str, Machine]:
        return self._inventory.machines

    # -- the catalog, on every node -----------------------------------------

    @property
    def catalog(self) -> dict[str, MachineType]:
        """The machine types, as the leader last read them; empty if unknown yet."""
        entry = self._mirror.get(CATALOG_KEY)
        if entry is None:
            return {}
        if self._parsed[0] != entry.version:
            self._parsed = (entry.version, wire.parse_catalog(entry.value))
        return self._parsed[1]

    def price_limit(self, job: Job, spare: bool = False) -> PriceLimit:
        """What may be paid for a job's room.

        Several times the least only if an objective names its class and its
        team is no guest, or if it has waited so long that there may be no
        cheap room at all.
        """
        spec = job.spec
        self.large_jobs.note([spec])
        patience = (
            LARGE_JOB_CHEAP_CAPACITY_WAIT_LIMIT
            if self.large_jobs.is_large(spec) and not self._preemption_policy.without_guarantee(spec)
            else CHEAP_CAPACITY_WAIT_LIMIT
        )
        cheap_only = spare or (
            self._preemption_policy.is_opportunistic(spec) and self._clock.utc() - job.submitted < patience
        )
        key = spec.needs
        catalog = self.catalog
        if self._cheapest[0] is not catalog:
            self._cheapest = (catalog, {})
        known = self._cheapest[1]
        if key not in known:
            known[key] = lowest_hourly_price_per_task(spec, catalog.values())
        return PriceLimit(known[key], cheap_only)

    def capacity_request(self, job: Job, tasks: int) -> CapacityRequest:
        """Room that a job lacks, as it is to be rented.

        An array that may use spot machines gives them time to come back before
        dear ones are rented for it: by when those are up, most of what it
        waits for has come free.
        """
        waited = self._clock.utc() - job.submitted
        boots = [t.boot for t in self.catalog.values() if type_fits(job.spec, t)]
        patient = job.spec.shape is Shape.ARRAY and job.spec.spot and waited < 2 * max(boots, default=ZERO)
        return CapacityRequest(job.spec, tasks, self.price_limit(job), patient)

    # -- a reign ------------------------------------------------------------

    def begin(self, leader_term: LeaderTerm | None) -> None:
        """Start a reign from the records, or end one."""
        self._leader_term = leader_term
        if leader_term is None:
            return
        # Kept past the reign's end: a step may be waiting for an answer then.
        self._term, self._began = leader_term.term, leader_term.started_at
        self._requests = 0
        self._settled, self._gone = set(), []
        self._refused, self._accelerator_specs_seen, self.recent_accelerator_specs = {}, {}, []
        self._accelerated_jobs_seen = set()
        self._listed_at = self._catalog_at = self._looked_at = None
        self._wanted.clear()

    # -- one step -----------------------------------------------------------

    def run_once(self) -> None:
        """Do what is due with the cloud, most urgent first."""
        if self._leader_term is None or not self._mirror.loaded:
            return
        try:
            now = self._clock.steady()
            if self._catalog_at is None or now - self._catalog_at > CATALOG_EVERY:
                self._read_catalog()
            if self._looked_at is None or now - self._looked_at >= LOOK_EVERY:
                self._looked_at = now
                self._drop_unbooted()
                self._note_idle(now)
            self._return_some()
            if self._listed_at is None or now - self._listed_at > self._platform.cloud.list_lag / 2:
                self._read_list()
            if self._store.reachability is StoreReachability.REACHABLE:
                # Without it no intent can be written down or crossed out:
                # the cloud's few calls are left to what can be done.
                self._repeat_requests()
                self._rent_some()
                if self._clock.steady() - self._told_at >= TOLD_EVERY:
                    self._write_rental_record()
            self._note_trouble(False)
        except CloudUnavailable as error:
            self._note_trouble(True, str(error))

    def _note_trouble(self, trouble: bool, reason: str = "its calls are answered again") -> None:
        if trouble is not self._trouble:
            self._trouble = trouble
            log.info("cloud %s: %s", "has trouble" if trouble else "is back", reason)

    def _call(self, method: str, path: str, body: bytes | None = None) -> Reply:
        wait = self._called_at + self._spacing - self._clock.steady()
        if wait > ZERO:
            self._sleep(wait)
        self._called_at = self._clock.steady()
        try:
            reply = self._transport.request(self._platform.cloud_address, method, path, body, CLOUD_TIMEOUT)
        except NoResponse as error:
            raise CloudUnavailable(str(error)) from error
        if reply.status == 503 and reply.fields.get("error") == "no capacity":
            return reply
        if reply.status != 200:
            raise CloudUnavailable(f"{method} {path}: status {reply.status} {reply.fields}")
        return reply

    def _read_catalog(self) -> None:
        reply = self._call("GET", wire.CATALOG_PATH)
        try:
            wire.parse_catalog(reply.fields)
        except MalformedMessage as error:
            raise CloudUnavailable(str(error)) from error
        self._catalog_at = self._clock.steady()
        old = self._mirror.get(CATALOG_KEY)
        if old is None or old.value != reply.fields:
            # Without it no job is taken.
            self._write(CATALOG_KEY, reply.fields, Purpose.SUBMIT)

    def _read_list(self) -> None:
        listed: dict[str, ListedMachine] = {}
        after = None
        while True:
            try:
                page, more = wire.parse_list(self._call("GET", wire.list_path(after)).fields)
            except MalformedMessage as error:
                raise CloudUnavailable(str(error)) from error
            listed |= {m.machine: m for m in page}
            if not more or not page:
                break
            after = page[-1].machine
        now = self._listed_at = self._clock.steady()
        for entry in listed.values():
            if self._inventory.gone(entry.machine):
                continue  # the list lags
            machine = self._inventory.adopt(entry.machine, entry.type, entry.zone, entry.spot, entry.address)
            machine.rented_at = min(machine.rented_at, now - entry.age)
            if entry.state == "failed" and machine.state is not MachineState.RETURNING:
                machine.become(MachineState.RETURNING, now, "it failed")

    def _drop_unbooted(self) -> None:
        """Let go machines that never came up."""
        now = self._clock.steady()
        if now - self._began < seconds(15):
            return
        for machine in self.machines.values():
            if machine.state is MachineState.BOOTING:
                type_ = self.catalog.get(machine.type)
                boot = type_.boot if type_ else seconds(60)
                if now - machine.rented_at > boot * 3 + seconds(20):
                    machine.become(MachineState.RETURNING, now, "it never came up")

    # -- returning ----------------------------------------------------------

    def _return_some(self) -> None:
        untold = set(self._gone)
        names = [m.name for m in self.machines.values() if m.state is MachineState.RETURNING and m.name not in untold]
        known, asked = self.machines, self._inventory.rental_record.pending_returns
        # What an earlier leader asked back and this node never heard of: it must not stay asked for ever.
        names += [n for n in asked if n not in known and n not in untold and not self._inventory.gone(n)]
        names = names[: min(wire.MAX_RETURN, self._names)]
        if not names:
            return
        # Written down first: a return may be carried out late, and the next
        # leader must not count on the machine.
        new = [name for name in names if name not in asked]
        room = self._names - len(asked)
        if room < len(new):
            names = [name for name in names if name in asked or name in new[:room]]
            new = new[: max(0, room)]
        if not names or (new and not self._write_rental_record(back=new)):
            return
        self._call("POST", wire.RETURN_PATH, wire.return_body(names))
        self._gone += names
        if any(name in self._job_index.loads for name in names):
            self._write_rental_record()  # what stood there starts elsewhere as soon as its holder knows

    def _note_idle(self, now: timedelta) -> None:
        """Mark idle machines, and let go those that cost more than they are worth."""
        catalog = self.catalog
        needed = self._gpu_machines_needed(now)
        have = Counter(m.type for m in self._live() if not m.spot)
        spare = self._room() - self._room_wanted()
        over = self._surplus_machines()
        for machine in self.machines.values():
            if machine.name in self._job_index.loads:
                machine.idle_since = None
                continue
            if machine.state is MachineState.FAULTY:
                machine.become(MachineState.RETURNING, now, "faulty and empty")
            if machine.idle_since is None:
                machine.idle_since = now
            type_ = catalog.get(machine.type)
            if machine.state is not MachineState.UP or type_ is None:
                continue
            idle = now - machine.idle_since
            if idle <= self._operators.idle_return or now - machine.rented_at <= MINIMUM_CHARGE:
                continue
            if not self.plain_types and over[machine.spot] < 1:
                continue  # it would be rented again at once
            if type_.gpus and not machine.spot and have[type_.name] <= needed.get(type_.name, 0):
                continue
            if type_.gpus or spare >= type_.cpus:
                machine.become(MachineState.RETURNING, now, f"idle for {idle.total_seconds():.0f} s")
                have[type_.name] -= not machine.spot
                over[machine.spot] -= 1
                spare -= type_.cpus

    def _gpu_machines_needed(self, now: timedelta) -> dict[str, float]:
        """How many accelerator machines of each type to have: those boot too slowly to come and go with each job.

        As many as the unfinished work at its peak of late; all of them while
        this node has not watched for long enough to know.
        """
        wanted: Counter = Counter()
        for job in map(self._job_index.jobs.__getitem__, self._job_index.accelerated):
            for type_ in self.catalog.values():
                if not job.spec.spot and type_fits(job.spec, type_):
                    # Small tasks share a box; what may use spot boxes has those.
                    wanted[type_.name] += (job.spec.tasks - job.done_count()) / tasks_per_machine(job.spec, type_)
        self._wanted.append((now, wanted))
        while now - self._wanted[0][0] > self._operators.peak_demand_window:
            self._wanted.popleft()
        peak: Counter = Counter()
        for _, wanted in self._wanted:
            peak |= wanted
        watched = now - self._began >= self._operators.peak_demand_window
        return {
            n: peak[n] if watched or (not peak[n] and self.recent_accelerator_specs) else math.inf for n in self.catalog
        }

    def _surplus_machines(self) -> Counter:
        """How many boxes there are beyond those wanted, spot ones and others, where all have accelerators.

        Spare room is reckoned in boxes then: a share of the processors of
        boxes whose accelerators are all taken is no room.
        """
        over: Counter = Counter(m.spot for m in self._live())
        share = 1 + self._operators.spare_gpu_machine_ratio
        for job in self._job_index.jobs.values():
            if not job.cancelled and not self._failure_attribution.is_failing_job(job):
                slots = max(
                    (tasks_per_machine(job.spec, t) for t in self.catalog.values() if type_fits(job.spec, t)), default=1
                )
                over[job.spec.spot] -= (job.spec.tasks - job.done_count()) / slots * share
        return over

    def note_accelerator_specs(self) -> None:
        """Remember which work needs accelerators: its machines boot too slowly to come and go."""
        now = self._clock.steady()
        if self._job_index.accelerated == self._accelerated_jobs_seen and now - self._accelerator_specs_at < LOOK_EVERY:
            return
        self._accelerated_jobs_seen, self._accelerator_specs_at = set(self._job_index.accelerated), now
        for spec in (self._job_index.jobs[ref].spec for ref in self._job_index.accelerated):
            self._accelerator_specs_seen[spec.types, spec.zone, spec.cpus, spec.gpus, spec.memory] = (spec, now)
        self._accelerator_specs_seen = {
            need: (spec, at)
            for need, (spec, at) in self._accelerator_specs_seen.items()
            if now - at < self._operators.peak_demand_window
        }
        self.recent_accelerator_specs = [spec for spec, _ in self._accelerator_specs_seen.values()]

    @property
    def plain_types(self) -> bool:
        """Whether there are machines without accelerators at all."""
        return any(t.gpus == 0 for t in self.catalog.values())

    def _live(self) -> list[Machine]:
        return [m for m in self.machines.values() if m.state in (MachineState.BOOTING, MachineState.UP)]

    def _room(self) -> float:
        """CPUs that are there or on their way."""
        catalog = self.catalog
        counts = Counter(m.type for m in self._live())
        return sum(catalog[name].cpus * count for name, count in counts.items() if name in catalog)

    def _room_wanted(self) -> float:
        """CPUs to have: what is in use or waits, and a share to spare."""
        used = sum(
            (job.spec.tasks - job.done_count()) * job.spec.cpus
            for job in self._job_index.jobs.values()
            if not job.cancelled and not self._failure_attribution.is_failing_job(job)
        )
        return used * (1 + self._operators.spare_share)

    # -- renting ------------------------------------------------------------

    def _rent_some(self) -> None:
        now = self._clock.steady()
        self._refused = {o: t for o, t in self._refused.items() if t > now}
        spare = self._spare_capacity_requests()
        if not self.capacity_requests and not spare:
            return
        live = self._live()
        supply = Counter(m.zone for m in live)
        coming = Counter(m.type for m in live if m.state is MachineState.BOOTING)
        refused = set(self._refused)
        requests = plan_rentals(self.capacity_requests, self.catalog, coming, refused, supply, most=wire.MAX_RENT)
        if not requests:
            requests = plan_rentals(spare, self.catalog, {}, refused, supply, most=wire.MAX_RENT)
        # A second's worth of calls: machines to return and the list wait no longer than that.
        most = min(max(1, int(self._platform.cloud.rps)), self._store.limits.txn_ops)
        intents = dict(map(self._intent, requests[:most]))
        if intents and self._write_rental_record(rent=intents):
            self._ask_for(intents)

    def _intent(self, request: Request) -> tuple[str, dict]:
        """The record of a request to be made, under a name that is never used again."""
        offer, count, spec = request
        self._requests += 1
        log.info(
            "asking for %d %s %s in %s: %s (%s, %g CPUs) has no room",
            count,
            "spot" if offer.spot else "ordinary",
            offer.type,
            offer.zone,
            spec.ref,
            spec.klass,
            spec.cpus,
        )
        name = f"r-{self._term}-{self._requests}-{self._platform.node}"
        return name, {"t": offer.type, "z": offer.zone, "s": offer.spot, "n": count}

    def _spare_capacity_requests(self) -> list[CapacityRequest]:
        """Room to keep free, for services first: they can't use spot machines."""
        if not self.plain_types:
            return self._spare_machine_requests()
        missing = self._room_wanted() - self._room()
        if missing <= 0:
            return []
        samples = {
            job.spec.spot: job
            for job in self._job_index.jobs.values()
            if job.spec.shape is not Shape.GANG and not self._failure_attribution.is_failing_job(job)
        }
        return [
            CapacityRequest(job.spec, int(missing / max(job.spec.cpus, 0.01)), self.price_limit(job, spare=True))
            for _, job in sorted(samples.items())
            if missing >= max(job.spec.cpus, 0.01)
        ]

    def _spare_machine_requests(self) -> list[CapacityRequest]:
        """Boxes to keep free where all have accelerators: as many tasks of some job of each kind as they hold."""
        over = self._surplus_machines()
        wants = []
        for spot in (False, True):
            job = next((j for j in self._job_index.jobs.values() if j.spec.spot is spot and not j.cancelled), None)
            if job is not None and (lacking := math.floor(-over[spot])) > 0:
                slots = max(tasks_per_machine(job.spec, t) for t in self.catalog.values() if type_fits(job.spec, t))
                wants.append(
                    CapacityRequest(job.spec, lacking * slots, self.price_limit(job, spare=True), prefer_spot=spot)
                )
        return wants

    def _repeat_requests(self) -> None:
        """Ask again for what was written down and not settled, under the same name."""
        open_ = {
            name: i for name, i in self._inventory.rental_record.pending_rentals.items() if name not in self._settled
        }
        if open_:
            self._ask_for(open_)

    def _ask_for(self, intents: dict[str, dict]) -> None:
        """Ask for what was written down; what was answered is crossed out with the next write."""
        for name, intent in list(intents.items()):
            self._ask_once(name, intent)
            self._settled.add(name)

    def _ask_once(self, name: str, intent: dict) -> None:
        offer = Offer(intent["t"], intent["z"], intent["s"])
        reply = self._call("POST", wire.RENT_PATH, wire.rent_body(name, *offer, intent["n"]))
        now = self._clock.steady()
        if reply.status == 503:
            self._refused[offer] = now + REFUSED_OFFER_BACKOFF
            log.info("no %s %s in %s", "spot" if offer.spot else "ordinary", offer.type, offer.zone)
            return
        try:
            names = wire.parse_rented(reply.fields)
        except MalformedMessage as error:
            raise CloudUnavailable(str(error)) from error
        if len(names) < intent["n"]:
            self._refused[offer] = now + REFUSED_OFFER_BACKOFF
        for machine in names:
            if self._inventory.gone(machine):
                continue  # asked for again by a new leader, and returned since
            self._inventory.adopt(machine, offer.type, offer.zone, offer.spot, "")
        log.info("rented %d %s %s in %s", len(names), "spot" if offer.spot else "ordinary", offer.type, offer.zone)

    # -- records ------------------------------------------------------------

    def _write_rental_record(self, rent: dict[str, dict] | None = None, back: Iterable[str] = ()) -> bool:
        """Write the page of dealings anew, with all that was settled since; whether it was."""
        self._told_at = self._clock.steady()
        settled, gone = set(self._settled), list(self._gone)
        if not (rent or back or settled or gone):
            return True
        dealings = self._inventory.rental_record.updated(rent or {}, settled, list(back), gone, self._names)
        if not self._write(CLOUD_KEY, dealings.record(), Purpose.CANCEL_OR_FENCE if gone else Purpose.CLOUD):
            return False
        self._settled -= settled
        self._gone = [name for name in self._gone if name not in gone]
        return True

    def _write(self, key: str, value: dict, purpose: Purpose) -> bool:
        """Write a record of the leader's, guarded by its reign and by the version it was made from."""
        if self._leader_term is None:
            return False
        guards = {LEADER_KEY: self._leader_term.leader_key_version, key: self._mirror.version(key)}
        outcome = self._store.commit(guards, {key: value}, purpose=purpose)
        if outcome.status is CommitStatus.APPLIED:
            self._mirror.put(key, value, outcome.revision)
            return True
        if outcome.status is CommitStatus.CONFLICT and key in outcome.failed:
            try:
                self._mirror.refresh(key)
            except StoreUnavailable as error:
                log.debug("%s is read later: %s", key, error)
        return False
