"""The leader's calls to the cloud: reading the catalog and the machine list, renting and returning machines."""

import logging
import math
from collections import Counter, deque
from collections.abc import Callable, Iterable
from datetime import timedelta

from kelpjunction.clock import ZERO, Clock, seconds
from kelpjunction.fleet.demand import CapacityRequest, Offer, Request, plan_rentals
from kelpjunction.fleet.machines import Inventory, Machine, MachineState
from kelpjunction.fleet.rental_record import CLOUD_KEY, MACHINE_NAME_BYTES
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
CATALOG_REFRESH_INTERVAL = timedelta(seconds=60)
MINIMUM_BILLED_TIME = timedelta(seconds=60)
MACHINE_CHECK_INTERVAL = timedelta(seconds=1)  # between checks of all machines, whose limits are tens of seconds
RECORD_WRITE_INTERVAL = timedelta(seconds=1)  # for settled requests and gone machines that nothing waits for
CHEAP_CAPACITY_WAIT_LIMIT = timedelta(minutes=5)  # for opportunistic array jobs
LARGE_JOB_CHEAP_CAPACITY_WAIT_LIMIT = timedelta(minutes=2)  # large jobs are to start within 4 min


class CloudUnavailable(Exception):
    """A cloud call got no response or an unusable one, so its outcome is unknown."""


class Fleet:
    """Rents and returns machines on the leader, and serves the catalog and price limits on every node."""

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
        self._call_interval = seconds(1.25 / platform.cloud.rps)
        self._last_call_at = clock.steady() - self._call_interval
        self._leader_term: LeaderTerm | None = None
        self._term, self._term_started_at = 0, ZERO
        self._request_count = 0
        self._refused_until: dict[Offer, timedelta] = {}
        self._settled_requests: set[str] = set()  # answered requests that the rental record still lists
        self._unrecorded_gone: list[str] = []  # machines confirmed as gone, not yet in the rental record
        self._record_written_at = ZERO
        # Names of pending returns and of gone machines may each fill a quarter of the record.
        self._max_names = max(1, platform.store.value_bytes // 4 // MACHINE_NAME_BYTES)
        self._catalog_read_at: timedelta | None = None
        self._machines_listed_at: timedelta | None = None
        self._machines_checked_at: timedelta | None = None
        self.large_jobs = LargeJobs(platform.teams)
        self.capacity_requests: list[CapacityRequest] = []
        self._accelerator_specs_seen: dict[tuple, tuple[JobSpec, timedelta]] = {}
        self._accelerated_jobs_seen: set[str] = set()
        self._accelerator_specs_noted_at = ZERO
        self.recent_accelerator_specs: list[JobSpec] = []  # one recent spec per distinct need
        self._accelerator_demand_history: deque[tuple[timedelta, Counter]] = deque()
        self._cloud_unavailable = False
        self._parsed_catalog: tuple[int, dict[str, MachineType]] = (0, {})
        self._lowest_prices: tuple[dict[str, MachineType], dict[tuple, float]] = ({}, {})

    @property
    def machines(self) -> dict[str, Machine]:
        return self._inventory.machines

    # -- the catalog, on every node -----------------------------------------

    @property
    def catalog(self) -> dict[str, MachineType]:
        """The machine types by name, as the leader last read them; empty until the first read."""
        entry = self._mirror.get(CATALOG_KEY)
        if entry is None:
            return {}
        if self._parsed_catalog[0] != entry.version:
            self._parsed_catalog = (entry.version, wire.parse_catalog(entry.value))
        return self._parsed_catalog[1]

    def price_limit(self, job: Job, spare: bool = False) -> PriceLimit:
        """Return what may be paid for a job's capacity.

        An opportunistic job (an array whose class has no objective or whose
        team has no guarantee) may use expensive capacity only once it has
        waited for the limit: there may be no cheap capacity at all then.  With
        `spare`, capacity that is only kept free must be cheap.
        """
        spec = job.spec
        self.large_jobs.record([spec])
        wait_limit = (
            LARGE_JOB_CHEAP_CAPACITY_WAIT_LIMIT
            if self.large_jobs.is_large(spec) and not self._preemption_policy.without_guarantee(spec)
            else CHEAP_CAPACITY_WAIT_LIMIT
        )
        cheap_only = spare or (
            self._preemption_policy.is_opportunistic(spec) and self._clock.utc() - job.submitted < wait_limit
        )
        key = spec.needs
        catalog = self.catalog
        if self._lowest_prices[0] is not catalog:
            self._lowest_prices = (catalog, {})
        known = self._lowest_prices[1]
        if key not in known:
            known[key] = lowest_hourly_price_per_task(spec, catalog.values())
        return PriceLimit(known[key], cheap_only)

    def capacity_request(self, job: Job, tasks: int) -> CapacityRequest:
        """Return the request to rent capacity for `tasks` tasks of a job that lack it.

        An array that may use spot machines first waits twice the longest boot
        time for them to be offered again, before expensive ones are rented.
        By the time expensive machines have booted, most of the capacity that
        it waits for has become free.
        """
        waited = self._clock.utc() - job.submitted
        boots = [t.boot for t in self.catalog.values() if type_fits(job.spec, t)]
        patient = job.spec.shape is Shape.ARRAY and job.spec.spot and waited < 2 * max(boots, default=ZERO)
        return CapacityRequest(job.spec, tasks, self.price_limit(job), patient)

    # -- leader term --------------------------------------------------------

    def set_leader_term(self, leader_term: LeaderTerm | None) -> None:
        """Start a leader term with fresh state, or end the term (None)."""
        self._leader_term = leader_term
        if leader_term is None:
            return
        # Kept after the term ends: a round may still be waiting for a response then.
        self._term, self._term_started_at = leader_term.term, leader_term.started_at
        self._request_count = 0
        self._settled_requests, self._unrecorded_gone = set(), []
        self._refused_until, self._accelerator_specs_seen, self.recent_accelerator_specs = {}, {}, []
        self._accelerated_jobs_seen = set()
        self._machines_listed_at = self._catalog_read_at = self._machines_checked_at = None
        self._accelerator_demand_history.clear()

    # -- one round ----------------------------------------------------------

    def run_once(self) -> None:
        """Make the cloud calls that are due, most urgent first."""
        if self._leader_term is None or not self._mirror.loaded:
            return
        try:
            now = self._clock.steady()
            if self._catalog_read_at is None or now - self._catalog_read_at > CATALOG_REFRESH_INTERVAL:
                self._read_catalog()
            if self._machines_checked_at is None or now - self._machines_checked_at >= MACHINE_CHECK_INTERVAL:
                self._machines_checked_at = now
                self._return_unbooted_machines()
                self._return_idle_machines(now)
            self._return_machines()
            if self._machines_listed_at is None or now - self._machines_listed_at > self._platform.cloud.list_lag / 2:
                self._read_list()
            if self._store.reachability is StoreReachability.REACHABLE:
                # Without the state service no request can be recorded or
                # removed, so the few cloud calls go to reading and returning.
                self._retry_pending_rentals()
                self._rent_machines()
                if self._clock.steady() - self._record_written_at >= RECORD_WRITE_INTERVAL:
                    self._write_rental_record()
            self._note_cloud_status(False)
        except CloudUnavailable as error:
            self._note_cloud_status(True, str(error))

    def _note_cloud_status(self, unavailable: bool, reason: str = "its calls succeed again") -> None:
        if unavailable is not self._cloud_unavailable:
            self._cloud_unavailable = unavailable
            log.info("cloud %s: %s", "is unavailable" if unavailable else "is available again", reason)

    def _call(self, method: str, path: str, body: bytes | None = None) -> Reply:
        wait = self._last_call_at + self._call_interval - self._clock.steady()
        if wait > ZERO:
            self._sleep(wait)
        self._last_call_at = self._clock.steady()
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
        self._catalog_read_at = self._clock.steady()
        old = self._mirror.get(CATALOG_KEY)
        if old is None or old.value != reply.fields:
            # Jobs are refused until the catalog is stored, so the write has a submission's urgency.
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
        now = self._machines_listed_at = self._clock.steady()
        for entry in listed.values():
            if self._inventory.is_gone(entry.machine):
                continue  # the cloud's list lags behind its returns
            machine = self._inventory.get_or_add(entry.machine, entry.type, entry.zone, entry.spot, entry.address)
            machine.rented_at = min(machine.rented_at, now - entry.age)
            if entry.state == "failed" and machine.state is not MachineState.RETURNING:
                machine.transition_to(MachineState.RETURNING, now, "the cloud lists it as failed")

    def _return_unbooted_machines(self) -> None:
        """Mark machines for return that did not boot in time."""
        now = self._clock.steady()
        if now - self._term_started_at < seconds(15):
            return
        for machine in self.machines.values():
            if machine.state is MachineState.BOOTING:
                type_ = self.catalog.get(machine.type)
                boot = type_.boot if type_ else seconds(60)
                if now - machine.rented_at > boot * 3 + seconds(20):
                    machine.transition_to(MachineState.RETURNING, now, "it did not boot in time")

    # -- returning ----------------------------------------------------------

    def _return_machines(self) -> None:
        unrecorded = set(self._unrecorded_gone)
        names = [
            m.name for m in self.machines.values() if m.state is MachineState.RETURNING and m.name not in unrecorded
        ]
        known, pending = self.machines, self._inventory.rental_record.pending_returns
        # Returns recorded by an earlier leader, of machines unknown to this node, must be completed too.
        # Otherwise they would stay pending.
        names += [n for n in pending if n not in known and n not in unrecorded and not self._inventory.is_gone(n)]
        names = names[: min(wire.MAX_MACHINES_PER_RETURN, self._max_names)]
        if not names:
            return
        # Recorded first: the cloud may carry out a return late, and the next
        # leader must not count on the machine.
        new_returns = [name for name in names if name not in pending]
        free_slots = self._max_names - len(pending)
        if free_slots < len(new_returns):
            names = [name for name in names if name in pending or name in new_returns[:free_slots]]
            new_returns = new_returns[: max(0, free_slots)]
        if not names or (new_returns and not self._write_rental_record(new_returns=new_returns)):
            return
        self._call("POST", wire.RENTAL_RETURNS_PATH, wire.return_body(names))
        self._unrecorded_gone += names
        if any(name in self._job_index.loads for name in names):
            self._write_rental_record()  # once the holder knows, its tasks can start elsewhere

    def _return_idle_machines(self, now: timedelta) -> None:
        """Track how long machines are idle; mark surplus idle machines and empty faulty ones for return."""
        catalog = self.catalog
        needed = self._gpu_machines_needed(now)
        on_demand_counts = Counter(m.type for m in self.live_machines() if not m.spot)
        spare_cpus = self._cpu_supply() - self._cpu_target()
        surplus = self._surplus_machines()
        for machine in self.machines.values():
            if machine.name in self._job_index.loads:
                machine.idle_since = None
                continue
            if machine.state is MachineState.FAULTY:
                machine.transition_to(MachineState.RETURNING, now, "faulty and empty")
            if machine.idle_since is None:
                machine.idle_since = now
            type_ = catalog.get(machine.type)
            if machine.state is not MachineState.UP or type_ is None:
                continue
            idle = now - machine.idle_since
            if idle <= self._operators.idle_return or now - machine.rented_at <= MINIMUM_BILLED_TIME:
                continue
            if not self.has_types_without_accelerators and surplus[machine.spot] < 1:
                continue  # it would be rented again immediately
            if type_.gpus and not machine.spot and on_demand_counts[type_.name] <= needed.get(type_.name, 0):
                continue
            if type_.gpus or spare_cpus >= type_.cpus:
                machine.transition_to(MachineState.RETURNING, now, f"idle for {idle.total_seconds():.0f} s")
                on_demand_counts[type_.name] -= not machine.spot
                surplus[machine.spot] -= 1
                spare_cpus -= type_.cpus

    def _gpu_machines_needed(self, now: timedelta) -> dict[str, float]:
        """Return how many on-demand accelerator machines of each type to keep.

        They boot too slowly to be rented and returned with each job.  The
        number covers the peak of the unfinished work within the peak demand
        window.  All are kept (infinity) until the term has lasted that long,
        except types without demand once accelerator work has been seen.
        """
        wanted: Counter = Counter()
        for job in map(self._job_index.jobs.__getitem__, self._job_index.accelerator_jobs):
            for type_ in self.catalog.values():
                if not job.spec.spot and type_fits(job.spec, type_):
                    # Small tasks share a machine.  Jobs that may use spot machines are left to those.
                    wanted[type_.name] += (job.spec.tasks - job.done_count()) / tasks_per_machine(job.spec, type_)
        self._accelerator_demand_history.append((now, wanted))
        while now - self._accelerator_demand_history[0][0] > self._operators.peak_demand_window:
            self._accelerator_demand_history.popleft()
        peak: Counter = Counter()
        for _, wanted in self._accelerator_demand_history:
            peak |= wanted
        watched = now - self._term_started_at >= self._operators.peak_demand_window
        return {
            n: peak[n] if watched or (not peak[n] and self.recent_accelerator_specs) else math.inf for n in self.catalog
        }

    def _surplus_machines(self) -> Counter:
        """Count surplus machines, by whether they are spot, for a catalog where all types have accelerators.

        Spare capacity is counted in whole machines then: free CPUs are of no
        use on a machine whose accelerators are all taken.
        """
        surplus: Counter = Counter(m.spot for m in self.live_machines())
        spare_factor = 1 + self._operators.spare_gpu_machine_ratio
        for job in self._job_index.jobs.values():
            if not job.cancelled and not self._failure_attribution.is_failing_job(job):
                slots = max(
                    (tasks_per_machine(job.spec, t) for t in self.catalog.values() if type_fits(job.spec, t)), default=1
                )
                surplus[job.spec.spot] -= (job.spec.tasks - job.done_count()) / slots * spare_factor
        return surplus

    def note_accelerator_specs(self) -> None:
        """Remember the specs of recent jobs that need accelerators: their machines boot too slowly to rent per job."""
        now = self._clock.steady()
        if (
            self._job_index.accelerator_jobs == self._accelerated_jobs_seen
            and now - self._accelerator_specs_noted_at < MACHINE_CHECK_INTERVAL
        ):
            return
        self._accelerated_jobs_seen, self._accelerator_specs_noted_at = set(self._job_index.accelerator_jobs), now
        for spec in (self._job_index.jobs[ref].spec for ref in self._job_index.accelerator_jobs):
            self._accelerator_specs_seen[spec.types, spec.zone, spec.cpus, spec.gpus, spec.memory] = (spec, now)
        self._accelerator_specs_seen = {
            need: (spec, at)
            for need, (spec, at) in self._accelerator_specs_seen.items()
            if now - at < self._operators.peak_demand_window
        }
        self.recent_accelerator_specs = [spec for spec, _ in self._accelerator_specs_seen.values()]

    @property
    def has_types_without_accelerators(self) -> bool:
        """Whether the catalog has machine types without accelerators."""
        return any(t.gpus == 0 for t in self.catalog.values())

    def live_machines(self) -> list[Machine]:
        """The machines that are up or booting."""
        return [m for m in self.machines.values() if m.state in (MachineState.BOOTING, MachineState.UP)]

    def _cpu_supply(self) -> float:
        """CPUs of machines that are up or booting."""
        catalog = self.catalog
        counts = Counter(m.type for m in self.live_machines())
        return sum(catalog[name].cpus * count for name, count in counts.items() if name in catalog)

    def _cpu_target(self) -> float:
        """CPUs to have: those of all unfinished tasks, plus the spare share."""
        unfinished = sum(
            (job.spec.tasks - job.done_count()) * job.spec.cpus
            for job in self._job_index.jobs.values()
            if not job.cancelled and not self._failure_attribution.is_failing_job(job)
        )
        return unfinished * (1 + self._operators.spare_share)

    # -- renting ------------------------------------------------------------

    def _rent_machines(self) -> None:
        now = self._clock.steady()
        self._refused_until = {o: t for o, t in self._refused_until.items() if t > now}
        spare = self._spare_capacity_requests()
        if not self.capacity_requests and not spare:
            return
        live = self.live_machines()
        machines_by_zone = Counter(m.zone for m in live)
        booting = Counter(m.type for m in live if m.state is MachineState.BOOTING)
        refused = set(self._refused_until)
        requests = plan_rentals(
            self.capacity_requests,
            self.catalog,
            booting,
            refused,
            machines_by_zone,
            max_per_request=wire.MAX_MACHINES_PER_RENTAL,
        )
        if not requests:
            requests = plan_rentals(
                spare, self.catalog, {}, refused, machines_by_zone, max_per_request=wire.MAX_MACHINES_PER_RENTAL
            )
        # At most one second's worth of calls, so that returns and the machine list wait no longer than that.
        max_requests = min(max(1, int(self._platform.cloud.rps)), self._store.limits.txn_ops)
        intents = dict(map(self._new_intent, requests[:max_requests]))
        if intents and self._write_rental_record(new_rentals=intents):
            self._request_rentals(intents)

    def _new_intent(self, request: Request) -> tuple[str, dict]:
        """Return a unique name for a rental request, and the request as it is recorded."""
        offer, count, spec = request
        self._request_count += 1
        log.info(
            "asking for %d %s machines of type %s in zone %s: job %s (class %s, %g CPUs per task) lacks capacity",
            count,
            "spot" if offer.spot else "ordinary",
            offer.type,
            offer.zone,
            spec.ref,
            spec.klass,
            spec.cpus,
        )
        name = f"r-{self._term}-{self._request_count}-{self._platform.node}"
        return name, {"t": offer.type, "z": offer.zone, "s": offer.spot, "n": count}

    def _spare_capacity_requests(self) -> list[CapacityRequest]:
        """Return requests for capacity to keep free, first for jobs that can't use spot machines, such as services."""
        if not self.has_types_without_accelerators:
            return self._spare_machine_requests()
        missing = self._cpu_target() - self._cpu_supply()
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
        """Return requests for spare machines where all types have accelerators.

        Each request names one job as a sample, spot or not, and as many of its
        tasks as the missing machines hold.
        """
        surplus = self._surplus_machines()
        requests = []
        for spot in (False, True):
            job = next((j for j in self._job_index.jobs.values() if j.spec.spot is spot and not j.cancelled), None)
            if job is not None and (missing := math.floor(-surplus[spot])) > 0:
                slots = max(tasks_per_machine(job.spec, t) for t in self.catalog.values() if type_fits(job.spec, t))
                requests.append(
                    CapacityRequest(job.spec, missing * slots, self.price_limit(job, spare=True), prefer_spot=spot)
                )
        return requests

    def _retry_pending_rentals(self) -> None:
        """Repeat recorded requests that are not settled, under the same names."""
        unsettled = {
            name: i
            for name, i in self._inventory.rental_record.pending_rentals.items()
            if name not in self._settled_requests
        }
        if unsettled:
            self._request_rentals(unsettled)

    def _request_rentals(self, intents: dict[str, dict]) -> None:
        """Send recorded requests to the cloud; the next write of the rental record removes those that were answered."""
        for name, intent in list(intents.items()):
            self._request_rental(name, intent)
            self._settled_requests.add(name)

    def _request_rental(self, name: str, intent: dict) -> None:
        offer = Offer(intent["t"], intent["z"], intent["s"])
        reply = self._call("POST", wire.RENTALS_PATH, wire.rent_body(name, *offer, intent["n"]))
        now = self._clock.steady()
        if reply.status == 503:
            self._refused_until[offer] = now + REFUSED_OFFER_BACKOFF
            log.info(
                "cloud has no capacity: %s machines of type %s in zone %s",
                "spot" if offer.spot else "ordinary",
                offer.type,
                offer.zone,
            )
            return
        try:
            names = wire.parse_rented(reply.fields)
        except MalformedMessage as error:
            raise CloudUnavailable(str(error)) from error
        if len(names) < intent["n"]:
            self._refused_until[offer] = now + REFUSED_OFFER_BACKOFF
        for machine in names:
            if self._inventory.is_gone(machine):
                continue  # a new leader repeated the request, and the machine has been returned since
            self._inventory.get_or_add(machine, offer.type, offer.zone, offer.spot, "")
        log.info(
            "rented %d %s machines of type %s in zone %s",
            len(names),
            "spot" if offer.spot else "ordinary",
            offer.type,
            offer.zone,
        )

    # -- records ------------------------------------------------------------

    def _write_rental_record(self, new_rentals: dict[str, dict] | None = None, new_returns: Iterable[str] = ()) -> bool:
        """Write the rental record with all that changed since the last write; return whether it succeeded."""
        self._record_written_at = self._clock.steady()
        settled, gone = set(self._settled_requests), list(self._unrecorded_gone)
        if not (new_rentals or new_returns or settled or gone):
            return True
        rental_record = self._inventory.rental_record.updated(
            new_rentals or {}, settled, list(new_returns), gone, self._max_names
        )
        if not self._write(CLOUD_KEY, rental_record.record(), Purpose.CANCEL_OR_FENCE if gone else Purpose.CLOUD):
            return False
        self._settled_requests -= settled
        self._unrecorded_gone = [name for name in self._unrecorded_gone if name not in gone]
        return True

    def _write(self, key: str, value: dict, purpose: Purpose) -> bool:
        """Write one of the leader's records, guarded by its term and the version it replaces; return success."""
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
                log.debug("key %s could not be read again after a conflict, retrying later: %s", key, error)
        return False
