"""Monitors the machines of the blocks that this node holds, and publishes their states.

Before a silent machine is returned, this node rules out other causes: whether
it was paused itself, whether its mirror of the state service is fresh, whether
it reaches any machine at all, and whether the machine's neighbours respond.
"""

import logging
import random
from collections.abc import Callable
from datetime import timedelta

from kelpjunction.blocks import Blocks, block_key
from kelpjunction.changes import ChangeTracker
from kelpjunction.clock import ZERO, Clock, PauseDetector
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

IMAGES_PUBLISH_INTERVAL = timedelta(seconds=3)
PROBE_SAMPLE_SIZE = 3
MAX_REPORT_INTERVAL_FACTOR = 1.25  # PROTOCOL's limit for the time to the next report
FAULTY_RETRY_INTERVAL = timedelta(seconds=60)  # below the 90 s for which no job may wait beside room
RETURN_DELAY_AFTER_LEASE = timedelta(seconds=30)  # for a silent machine in a zone that looks partitioned
PROBES_TO_RECOVER = 3  # consecutive successful checks before a node that reached no machine recovers


class MachineMonitor:
    """Tracks and publishes the machines of the blocks that this node holds."""

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
        self._outstanding_probes = 0  # of the current reachability check
        self._any_reached = False
        self._consecutive_successes = 0  # reachability checks in which a machine responded
        self.no_machine_reachable = False  # set while this node reaches the state service but no machine
        self.on_reachability_change: Callable[[], None] = lambda: None
        self.publish_due = False  # whether a machine's state should be published immediately
        worker_registry.on_report = self._on_report
        worker_registry.on_settled = self._on_exit
        worker_registry.images_of = self._images_of
        worker_registry.is_gone = inventory.is_gone
        inventory.on_gone = worker_registry.settle_machine

    def on_block_gained(self, zone: str) -> None:
        """Probe the machines of a block that this node now holds: their workers may take a while to find it."""
        to_probe = [m for m in self._inventory.machines.values() if m.zone == zone and m.address]
        to_probe = [m for m in to_probe if m.state is not MachineState.RETURNING]
        token_shown_to = set(self._random.sample([m.name for m in to_probe], min(PROBE_SAMPLE_SIZE, len(to_probe))))
        for machine in to_probe:
            self._spawn(self._probe_gained_machine, machine, machine.name in token_shown_to)

    def settle_returned_machines(self) -> None:
        """Settle the placements on machines that were returned while their block had no holder."""
        for machine in [name for name in self._job_index.loads if self._inventory.is_gone(name)]:
            self._worker_registry.settle_machine(machine)

    def _probe_gained_machine(self, machine: Machine, show_token: bool) -> None:
        """Probe a machine of a block that this node now holds, and show some of the workers our token.

        The previous holder may have lost the state service and the other nodes
        but still receive these workers' reports.  It learns of the higher token
        from them.
        """
        if self._worker_registry.probe(machine.name, machine.address) is not False and show_token:
            self._worker_registry.show_token(machine.name)

    def machines_of_held_blocks(self) -> list[Machine]:
        zones = set(self._blocks.held_zones())
        return [m for m in self._inventory.machines.values() if m.zone in zones]

    def _images_of(self, name: str) -> list[str]:
        machine = self._inventory.machines.get(name)
        return list(machine.images) if machine else []

    def _on_report(self, report: Report) -> None:
        """Mark a machine up, or leaving, after a report of its worker, which this node reaches."""
        machine = self._inventory.get_or_add(report.machine, report.type, report.zone, report.spot, report.address)
        machine.unanswered_probes = 0
        now = self._clock.steady()
        if report.termination_notice is not None:
            state_changed = machine.transition_to(
                MachineState.LEAVING,
                now,
                f"the cloud terminates it in {report.termination_notice.total_seconds():.0f} s",
            )
        else:
            state_changed = machine.transition_to(MachineState.UP, now, "it reports")
        if state_changed:
            self.publish_due = True
            self._inventory.on_change()

    def _on_exit(self, placement: Placement) -> None:
        """Update the failure evidence after an exit.

        A success clears the machine of the jobs that failed there before.  A
        job counts against it again once it fails there again.
        """
        machine = self._inventory.machines.get(placement.machine)
        if machine is None:
            return
        if placement.cause is ExitCause.DONE:
            self._failure_attribution.record_success(machine)
            machine.suspect(False)
        elif placement.cause is ExitCause.ERROR:
            machine.cleared_of.discard(placement.task.ref)

    def _retry_faulty_machine(self, machine: Machine, now: timedelta) -> None:
        """Use a faulty machine again after a time, if it can't be returned because tasks run on it.

        It may be sound by then, and the only one that can run a job.
        """
        if now - machine.since >= FAULTY_RETRY_INTERVAL and self._job_index.load(machine.name).placements:
            machine.end_fault(self._job_index.failed_on.get(machine.name, set()), now)

    def _update_faulty_machines(self, now: timedelta) -> None:
        """Suspect machines with failure evidence; mark them faulty while less than a quarter of the fleet is."""
        for machine in self.machines_of_held_blocks():
            if machine.state is MachineState.FAULTY:
                self._retry_faulty_machine(machine, now)
            if machine.state is not MachineState.UP or not (
                machine.suspected or machine.name in self._job_index.failed_on
            ):
                continue
            count, enough = self._failure_attribution.evidence_against(machine)
            machine.suspect(count > 0)
            faulty = sum(m.state is MachineState.FAULTY for m in self._inventory.machines.values())
            if enough and faulty * 4 < len(self._inventory.machines):
                machine.transition_to(
                    MachineState.FAULTY, now, "failures of several jobs, or of one that succeeds elsewhere, point to it"
                )

    def run_once(self) -> None:
        """Find silent and faulty machines in the held blocks, and publish the states of all their machines."""
        now = self._clock.steady()
        self._pause_detector.heartbeat()
        if not self._mirror.fresh:
            return  # another node may hold these blocks by now
        monitored = [
            m for m in self.machines_of_held_blocks() if m.state not in (MachineState.BOOTING, MachineState.RETURNING)
        ]
        for machine in monitored:
            worker = self._worker_registry.workers.get(machine.name)
            last_proved_at = worker.reachability_tracker.proved_at if worker else None
            unreachable = worker is not None and worker.reachability_tracker.reachability is Reachability.UNREACHABLE
            # No report could be received while this node was paused.
            silent_since = max(
                last_proved_at or self._blocks.own_grant(machine.zone).since, self._pause_detector.running_since
            )
            if unreachable:
                self._mark_silent(machine, "its worker is unreachable")
            if unreachable or now - silent_since > self._times.report * MAX_REPORT_INTERVAL_FACTOR:
                self._spawn(self._probe_late_machine, machine)
        self._update_faulty_machines(now)
        if self.no_machine_reachable or (monitored and all(m.state is MachineState.SILENT for m in monitored)):
            self._start_reachability_check()
        self.publish()

    def _mark_silent(self, machine: Machine, reason: str) -> bool:
        """Mark a machine silent if it is up or leaving, and return whether it was."""
        if machine.state not in (MachineState.UP, MachineState.LEAVING):
            return False
        return machine.transition_to(MachineState.SILENT, self._clock.steady(), reason)

    def _probe_late_machine(self, machine: Machine) -> None:
        """Probe a machine whose report is late; if it responds, it is not silent.

        A report that gets no response costs its worker 4 s of waiting and 1 s more before it tries the next node.
        So each lost report delays the next one, even of a healthy machine.
        """
        probed_at = self._clock.steady()
        answered = self._worker_registry.probe(machine.name, machine.address)
        if answered is not False or self._blocks.own_grant(machine.zone) is None:
            return
        if self._pause_detector.running_since > probed_at:
            return  # the response may have arrived while this node was paused
        if self._mark_silent(machine, "no report, and no response to a probe"):
            return  # only probes of a machine that is already silent count towards its return
        machine.unanswered_probes += 1
        if machine.unanswered_probes < 2 or self.no_machine_reachable:
            return
        lease_end = self._worker_registry.lease_end(machine.name, machine.zone)
        lease_is_over = lease_end is not None and self._clock.steady() > lease_end + RETURN_DELAY_AFTER_LEASE
        if lease_is_over or not self._looks_partitioned(machine.zone):
            machine.transition_to(MachineState.RETURNING, self._clock.steady(), "it does not respond to probes")

    def _start_reachability_check(self) -> None:
        """Probe a sample of machines of all blocks, to check whether this node reaches any."""
        if self._outstanding_probes:
            return
        candidates = [
            m for m in self._inventory.machines.values() if m.address and m.state is not MachineState.RETURNING
        ]
        up = [m for m in candidates if m.state is MachineState.UP] or candidates
        sample = self._random.sample(up, min(PROBE_SAMPLE_SIZE, len(up)))
        self._outstanding_probes, self._any_reached = len(sample), False
        for machine in sample:
            self._spawn(self._run_reachability_probe, machine)

    def _run_reachability_probe(self, machine: Machine) -> None:
        reached = self._worker_registry.probe(machine.name, machine.address) is not False
        self._outstanding_probes -= 1
        self._any_reached = self._any_reached or reached
        if not self._outstanding_probes:
            self._consecutive_successes = self._consecutive_successes + 1 if self._any_reached else 0
            if not self._consecutive_successes and not self.no_machine_reachable and self._mirror.fresh:
                self._set_no_machine_reachable(no_machine_reachable=True)
            elif self.no_machine_reachable and self._consecutive_successes >= PROBES_TO_RECOVER:
                self._set_no_machine_reachable(no_machine_reachable=False)

    def _set_no_machine_reachable(self, no_machine_reachable: bool) -> None:
        """Set and log `no_machine_reachable`, and notify the listener; every change goes through here."""
        self.no_machine_reachable = no_machine_reachable
        log.info(
            "this node reaches %s",
            "no machine: its blocks should move to another node" if no_machine_reachable else "machines again",
        )
        self.on_reachability_change()

    def _looks_partitioned(self, zone: str) -> bool:
        """Whether a machine's silence looks like a network partition rather than a failed machine.

        It does if sampled neighbours do not respond, or if none is up and many
        machines are silent at once.  Tasks in a partitioned zone run until
        their leases end, so the machine is not returned before that.
        """
        up_in_zone = self._states.names(zone, MachineState.UP)
        if up_in_zone:
            names = self._random.sample(up_in_zone, min(PROBE_SAMPLE_SIZE, len(up_in_zone)))
            sample = [self._inventory.machines[name] for name in names]
            return not any(self._worker_registry.probe(m.name, m.address) for m in sample)
        silent, silent_in_all = (
            len(self._states.names(zone, MachineState.SILENT)),
            self._states.count(MachineState.SILENT),
        )
        in_zone, machines = self._states.in_zone(zone), len(self._inventory.machines)
        return (silent >= 3 and silent * 2 > in_zone) or (silent_in_all >= 4 and silent_in_all * 2 > machines)

    def publish(self) -> None:
        """Write the changed pages of the held blocks' machines, each guarded by its block's grant.

        Pages with changed states go first, because placement depends on them;
        they include the images.  Pages where only images changed are written
        if the rate limiter has capacity left over.
        """
        if self._publishing:
            return  # two loops call this, and the other one is publishing
        self._publishing = True
        try:
            self._publish()
        except StoreUnavailable as error:
            log.debug("machine pages are written later: %s", error)
        finally:
            self._publishing = False

    def _publish(self) -> None:
        self.publish_due = False
        now = self._clock.steady()
        with_images = now - self._published_at >= IMAGES_PUBLISH_INTERVAL
        txns: list[Transaction] = []
        for zone in self._blocks.held_zones():
            txns += self._pages_to_write(zone, with_images)
        txns.sort(key=lambda txn: txn.purpose is Purpose.BEST_EFFORT)
        for txn in txns:
            if not self._store.try_reserve(txn.purpose, txn.ops):
                self.publish_due = self.publish_due or txn.purpose is Purpose.MACHINE_STATE
                continue
            if txn.purpose is Purpose.BEST_EFFORT:
                self._published_at = now
            self._write(txn)

    def _pages_to_write(self, zone: str, with_images: bool) -> list[Transaction]:
        """Return transactions that write a block's changed pages; image changes alone count only `with_images`."""
        stored = self._inventory.pages(zone)
        pages: dict[str, dict[str, list]] = {key: {} for key in stored}
        page_of = {name: key for key, rows in stored.items() for name in rows}
        urgent: set[str] = set()
        for machine in self._inventory.machines.values():
            if machine.zone != zone or not machine.address:
                continue
            worker = self._worker_registry.workers.get(machine.name)
            if worker is not None:
                machine.update_images(list(worker.images))
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
            if key not in urgent and not (with_images and _page_differs(rows, old_rows)):
                continue
            txn = Transaction(Purpose.MACHINE_STATE if key in urgent else Purpose.BEST_EFFORT)
            txn.guard(key, self._mirror.version(key)).guard(block_key(zone), self._blocks.own_grant(zone).version)
            txns.append(txn.put(key, rows))
        return txns

    def _page_with_room(self, zone: str, pages: dict[str, dict], stored: dict[str, dict]) -> str:
        max_rows = max(1, self._store.limits.value_bytes // MACHINE_ROW_BYTES)
        for key, rows in pages.items():
            if len(rows.keys() | stored.get(key, {}).keys()) < max_rows:
                return key
        return f"{MACHINE_PREFIX}{zone}/{max((int(k.rpartition('/')[2]) for k in pages), default=-1) + 1}"

    def _write(self, txn: Transaction) -> None:
        outcome = self._store.try_commit(txn)
        if outcome.status is CommitStatus.APPLIED:
            self._mirror.put_transaction(txn.puts, (), outcome.revision)
        elif outcome.status is CommitStatus.CONFLICT:
            for key in outcome.failed:
                self._mirror.refresh(key)


def _page_differs(rows: dict[str, list], stored: dict[str, Row]) -> bool:
    """Whether a stored page lacks machines, has some that are gone, or has outdated images."""
    return rows.keys() != stored.keys() or any(set(row[4]) != set(stored[name].images) for name, row in rows.items())
