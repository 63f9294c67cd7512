"""What a holder sees of its block's machines: up, silent, faulty; and tells the others.

Before a machine is blamed for its silence this node looks at itself: whether
it stood still, whether it hears the state service, whether it reaches any
machine at all, and whether the machine's neighbours answer.
"""

import logging
import random
from collections.abc import Callable
from datetime import timedelta

from kelpjunction.blocks import Blocks, block_key
from kelpjunction.changes import ChangeTracker
from kelpjunction.clock import ZERO, Clock, PauseDetector, seconds
from kelpjunction.fleet.machines import MACHINE_PREFIX, MACHINE_ROW_BYTES, Inventory, Machine, MachineState, Row
from kelpjunction.fleet.states import StateIndex
from kelpjunction.jobs.failure_attribution import FailureAttribution
from kelpjunction.jobs.job_index import JobIndex, Placement
from kelpjunction.rate_limiter import Purpose
from kelpjunction.settings import WorkerTimes
from kelpjunction.store.client import CommitStatus, StoreClient, StoreUnavailable, Transaction
from kelpjunction.store.mirror import Mirror
from kelpjunction.wire.messages import ExitCause, Report
from kelpjunction.workers.reachability import Reachability
from kelpjunction.workers.registry import WorkerRegistry

log = logging.getLogger("fleet")

IMAGES_EVERY = timedelta(seconds=3)
PROBE_SAMPLE_SIZE = 3
MAX_REPORT_INTERVAL_FACTOR = 1.25  # times between two reports that the next one takes at most, as PROTOCOL says
PROBES_TO_RECOVER = 3  # probes in turn that a deaf node must see answered


class MachineMonitor:
    """The machines of the blocks that this node holds."""

    def __init__(
        self,
        times: WorkerTimes,
        store: StoreClient,
        mirror: Mirror,
        blocks: Blocks,
        job_index: JobIndex,
        worker_registry: WorkerRegistry,
        inventory: Inventory,
        clock: Clock,
        failure_attribution: FailureAttribution,
        pause_detector: PauseDetector,
        spawn: Callable,
        random_source: random.Random,
        changes: ChangeTracker,
    ) -> None:
        self._times = times
        self._store = store
        self._mirror = mirror
        self._blocks = blocks
        self._job_index = job_index
        self._worker_registry = worker_registry
        self._inventory = inventory
        self._clock = clock
        self._failure_attribution = failure_attribution
        self._pause_detector = pause_detector
        self._spawn = spawn
        self._random = random_source
        self._states = StateIndex(changes, inventory.machines)
        self._published_at = ZERO
        self._publishing = False
        self._unanswered_probes = 0  # machines that a probe still waits for
        self._reached = False
        self._answers = 0  # probes in turn that were answered
        self.no_machine_reachable = False  # whether this node reaches no machine, though it hears the state service
        self.on_reachability_change: Callable[[], None] = lambda: None
        self.changed = False  # whether a machine's state is to be told at once
        worker_registry.on_seen = self._seen
        worker_registry.on_exit = self._exited
        worker_registry.images_of = self._images_of
        worker_registry.is_gone = inventory.gone
        inventory.on_gone = worker_registry.settle_machine

    def on_block_gained(self, zone: str) -> None:
        """The block became ours: ask its machines at once, its workers may take a while to find us."""
        for machine in [name for name in self._job_index.loads if self._inventory.gone(name)]:
            self._worker_registry.settle_machine(machine)  # returned while nobody held the block
        there = [m for m in self._inventory.machines.values() if m.zone == zone and m.address]
        there = [m for m in there if m.state is not MachineState.RETURNING]
        shown = set(self._random.sample([m.name for m in there], min(PROBE_SAMPLE_SIZE, len(there))))
        for machine in there:
            self._spawn(self._greet, machine, machine.name in shown)

    def _greet(self, machine: Machine, show_token: bool) -> None:
        """Ask a new block's worker how it stands; some are shown our token too.

        Whoever held the block may have lost the state service and the other
        nodes, but not these workers: they go on reporting to it, and it finds
        out from them.
        """
        if self._worker_registry.probe(machine.name, machine.address) is not False and show_token:
            self._worker_registry.show_token(machine.name)

    def mine(self) -> list[Machine]:
        zones = set(self._blocks.held_zones())
        return [m for m in self._inventory.machines.values() if m.zone in zones]

    def _images_of(self, name: str) -> list[str]:
        machine = self._inventory.machines.get(name)
        return list(machine.images) if machine else []

    def _seen(self, report: Report) -> None:
        """A worker that this node reaches reported: its machine is up."""
        machine = self._inventory.adopt(report.machine, report.type, report.zone, report.spot, report.address)
        machine.unanswered_probes = 0
        now = self._clock.steady()
        if report.termination_notice is not None:
            became = machine.become(
                MachineState.LEAVING, now, f"taken back in {report.termination_notice.total_seconds():.0f} s"
            )
        else:
            became = machine.become(MachineState.UP, now, "it reports")
        if became:
            self.changed = True
            self._inventory.on_change()

    def _exited(self, placement: Placement) -> None:
        """A task that ended well clears its machine of what failed there before, until it fails there again."""
        machine = self._inventory.machines.get(placement.machine)
        if machine is None:
            return
        if placement.cause is ExitCause.DONE:
            self._failure_attribution.record_success(machine)
            machine.suspect(False)
        elif placement.cause is ExitCause.ERROR:
            machine.cleared_of.discard(placement.task.ref)

    def _judge(self, now: timedelta) -> None:
        """Shun the machines that some job speaks against; never a quarter of the fleet is faulty at once."""
        for machine in self.mine():
            if machine.state is not MachineState.UP or not (
                machine.suspected or machine.name in self._job_index.failed_on
            ):
                continue
            count, enough = self._failure_attribution.evidence_against(machine)
            machine.suspect(count > 0)
            faulty = sum(m.state is MachineState.FAULTY for m in self._inventory.machines.values())
            if enough and faulty * 4 < len(self._inventory.machines):
                machine.become(MachineState.FAULTY, now, "tasks of jobs that run elsewhere failed on it")

    def run_once(self) -> None:
        """Find machines of our blocks that fell silent, and tell the others how ours are."""
        now = self._clock.steady()
        self._pause_detector.heartbeat()
        if not self._mirror.fresh:
            return  # these machines may be another's by now
        mine = [m for m in self.mine() if m.state not in (MachineState.BOOTING, MachineState.RETURNING)]
        for machine in mine:
            worker = self._worker_registry.workers.get(machine.name)
            proved_at = worker.reachability_tracker.proved_at if worker else None
            deaf = worker is not None and worker.reachability_tracker.reachability is Reachability.UNREACHABLE
            # While this node stood still, nobody could be heard.
            since = max(proved_at or self._blocks.own_grant(machine.zone).since, self._pause_detector.running_since)
            if deaf:
                self._fall_silent(machine, "it does not answer")
            if deaf or now - since > self._times.report * MAX_REPORT_INTERVAL_FACTOR:
                self._spawn(self._visit_silent, machine)
        self._judge(now)
        if self.no_machine_reachable or (mine and all(m.state is MachineState.SILENT for m in mine)):
            self._probe()
        self.publish()

    def _fall_silent(self, machine: Machine, reason: str) -> bool:
        """Call a machine silent; whether it was not so before."""
        if machine.state not in (MachineState.UP, MachineState.LEAVING):
            return False
        return machine.become(MachineState.SILENT, self._clock.steady(), reason)

    def _visit_silent(self, machine: Machine) -> None:
        """Ask a machine whose report is late: one that answers was never silent.

        A report that gets no answer costs its worker 4 s of waiting and 1 s more before it tries the next node, so
        each one that is lost makes the next late, of machines that are well.
        """
        asked_at = self._clock.steady()
        answered = self._worker_registry.probe(machine.name, machine.address)
        if answered is not False or self._blocks.own_grant(machine.zone) is None:
            return
        if self._pause_detector.running_since > asked_at:
            return  # the answer may have come while this node stood still
        if self._fall_silent(machine, "no report, and no answer"):
            return  # only questions to a machine that is silent speak for its return
        machine.unanswered_probes += 1
        if machine.unanswered_probes < 2 or self.no_machine_reachable:
            return
        end = self._worker_registry.lease_end(machine.name, machine.zone)
        over = end is not None and self._clock.steady() > end + seconds(30)
        if over or not self._looks_partitioned(machine.zone):
            machine.become(MachineState.RETURNING, self._clock.steady(), "it does not answer")

    def _probe(self) -> None:
        """Find out whether this node reaches any machine at all, in whatever block."""
        if self._unanswered_probes:
            return
        there = [m for m in self._inventory.machines.values() if m.address and m.state is not MachineState.RETURNING]
        up = [m for m in there if m.state is MachineState.UP] or there
        some = self._random.sample(up, min(PROBE_SAMPLE_SIZE, len(up)))
        self._unanswered_probes, self._reached = len(some), False
        for machine in some:
            self._spawn(self._ask, machine)

    def _ask(self, machine: Machine) -> None:
        reached = self._worker_registry.probe(machine.name, machine.address) is not False
        self._unanswered_probes -= 1
        self._reached = self._reached or reached
        if not self._unanswered_probes:
            self._answers = self._answers + 1 if self._reached else 0
            if not self._answers and not self.no_machine_reachable and self._mirror.fresh:
                self._set_no_machine_reachable(no_machine_reachable=True)
            elif self.no_machine_reachable and self._answers >= PROBES_TO_RECOVER:
                self._set_no_machine_reachable(no_machine_reachable=False)

    def _set_no_machine_reachable(self, no_machine_reachable: bool) -> None:
        """The one place where `no_machine_reachable` changes."""
        self.no_machine_reachable = no_machine_reachable
        log.info(
            "this node reaches %s",
            "no machine: its blocks should be another's" if no_machine_reachable else "machines again",
        )
        self.on_reachability_change()

    def _looks_partitioned(self, zone: str) -> bool:
        """Whether a silent machine's neighbours are silent too, or many are at once.

        That is like a cut, not like machines that died.  Tasks in a cut zone
        go on until their leases end, so the leases are waited for.
        """
        near = self._states.names(zone, MachineState.UP)
        if near:
            names = self._random.sample(near, min(PROBE_SAMPLE_SIZE, len(near)))
            some = [self._inventory.machines[name] for name in names]
            return not any(self._worker_registry.probe(m.name, m.address) for m in some)
        silent, everywhere = len(self._states.names(zone, MachineState.SILENT)), self._states.count(MachineState.SILENT)
        there, machines = self._states.in_zone(zone), len(self._inventory.machines)
        return (silent >= 3 and silent * 2 > there) or (everywhere >= 4 and everywhere * 2 > machines)

    def publish(self) -> None:
        """Write down what changed of our blocks' machines, a page at a time, guarded by the blocks' grants.

        States first: they decide what is placed where.  Images go along with
        them; by themselves they have what the budget leaves over.
        """
        if self._publishing:
            return  # by the other of the two loops that do
        self._publishing = True
        try:
            self._publish()
        except StoreUnavailable as error:
            log.debug("machines are told later: %s", error)
        finally:
            self._publishing = False

    def _publish(self) -> None:
        self.changed = False
        now = self._clock.steady()
        with_images = now - self._published_at >= IMAGES_EVERY
        txns: list[Transaction] = []
        for zone in self._blocks.held_zones():
            txns += self._pages_to_write(zone, with_images)
        txns.sort(key=lambda txn: txn.purpose is Purpose.BEST_EFFORT)
        for txn in txns:
            if not self._store.try_reserve(txn.purpose, txn.ops):
                self.changed = self.changed or txn.purpose is Purpose.MACHINE_STATE
                continue
            if txn.purpose is Purpose.BEST_EFFORT:
                self._published_at = now
            self._write(txn)

    def _pages_to_write(self, zone: str, with_images: bool) -> list[Transaction]:
        """A block's pages that are to be written anew."""
        stored = self._inventory.pages(zone)
        pages: dict[str, dict[str, list]] = {key: {} for key in stored}
        page_of = {name: key for key, rows in stored.items() for name in rows}
        urgent: set[str] = set()
        for machine in self._inventory.machines.values():
            if machine.zone != zone or not machine.address:
                continue
            worker = self._worker_registry.workers.get(machine.name)
            if worker is not None:
                machine.take_images(list(worker.images))
            key = page_of.get(machine.name)
            if key is None and machine.state is MachineState.RETURNING:
                continue
            key = key or self._page_with_room(zone, pages, stored)
            row = pages.setdefault(key, {})[machine.name] = machine.row()
            old = stored.get(key, {}).get(machine.name)
            if old is None or (old.state, old.address) != (row[3], row[0]):
                urgent.add(key)
        txns = []
        for key, rows in pages.items():
            old_rows = stored.get(key, {})
            if key not in urgent and not (with_images and _differ(rows, old_rows)):
                continue
            txn = Transaction(Purpose.MACHINE_STATE if key in urgent else Purpose.BEST_EFFORT)
            txn.guard(key, self._mirror.version(key)).guard(block_key(zone), self._blocks.own_grant(zone).version)
            txns.append(txn.put(key, rows))
        return txns

    def _page_with_room(self, zone: str, pages: dict[str, dict], stored: dict[str, dict]) -> str:
        most = max(1, self._store.limits.value_bytes // MACHINE_ROW_BYTES)
        for key, rows in pages.items():
            if len(rows.keys() | stored.get(key, {}).keys()) < most:
                return key
        return f"{MACHINE_PREFIX}{zone}/{max((int(k.rpartition('/')[2]) for k in pages), default=-1) + 1}"

    def _write(self, txn: Transaction) -> None:
        outcome = self._store.try_commit(txn)
        if outcome.status is CommitStatus.APPLIED:
            self._mirror.put_outcome(txn.puts, (), outcome.revision)
        elif outcome.status is CommitStatus.CONFLICT:
            for key in outcome.failed:
                self._mirror.refresh(key)


def _differ(rows: dict[str, list], stored: dict[str, Row]) -> bool:
    """Whether a page lacks machines, has some that are gone, or images that are not told."""
    return rows.keys() != stored.keys() or any(set(row[4]) != set(stored[name].images) for name, row in rows.items())
