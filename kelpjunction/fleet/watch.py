"""What a holder sees of its block's machines: up, silent, faulty; and tells the others."""

import logging
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from kelpjunction.blocks import Blocks, block_key
from kelpjunction.clock import ZERO, Clock, seconds
from kelpjunction.fleet.machines import MACHINE_PREFIX, Inventory, Machine, MachineState
from kelpjunction.jobs.book import Book, Placement
from kelpjunction.settings import WorkerTimes
from kelpjunction.store.client import Ending, StoreClient
from kelpjunction.store.mirror import Mirror
from kelpjunction.wire.messages import Cause, Report
from kelpjunction.workers.roster import Roster

log = logging.getLogger("fleet")

IMAGES_EVERY = timedelta(seconds=2)


class Watch:
    """The machines of the blocks that this node holds."""

    def __init__(
        self,
        times: WorkerTimes,
        store: StoreClient,
        mirror: Mirror,
        blocks: Blocks,
        book: Book,
        roster: Roster,
        inventory: Inventory,
        clock: Clock,
        spawn: Callable,
    ) -> None:
        self._times = times
        self._store = store
        self._mirror = mirror
        self._blocks = blocks
        self._book = book
        self._roster = roster
        self._inventory = inventory
        self._clock = clock
        self._spawn = spawn
        self._published_at = ZERO
        self.changed = False  # whether a machine's state is to be told at once
        roster.on_seen = self._seen
        roster.on_exit = self._exited
        roster.images_of = self._images_of
        inventory.on_gone = roster.settle_machine

    def gain(self, zone: str) -> None:
        """The block became ours: ask its machines at once, its workers may take a while to find us."""
        for machine in self._inventory.machines.values():
            if machine.zone == zone and machine.address and machine.state is not MachineState.RETURNING:
                self._spawn(self._roster.visit, machine.address)

    def mine(self) -> list[Machine]:
        return [m for m in self._inventory.machines.values() if self._blocks.mine(m.zone) is not None]

    def _images_of(self, name: str) -> list[str]:
        machine = self._inventory.machines.get(name)
        return list(machine.images) if machine else []

    def _seen(self, report: Report) -> None:
        """A worker reported: its machine is up."""
        machine = self._inventory.adopt(report.machine, report.type, report.zone, report.spot, report.address)
        machine.silent_visits = 0
        now = self._clock.steady()
        if report.notice is not None:
            became = machine.become(MachineState.LEAVING, now, f"taken back in {report.notice.total_seconds():.0f} s")
        else:
            became = machine.become(MachineState.UP, now, "it reports")
        if became:
            self.changed = True
            self._inventory.on_change()

    def _exited(self, placement: Placement) -> None:
        """Weigh who is to blame for a failed task: its machine or its job."""
        machine = self._inventory.machines.get(placement.machine)
        if machine is None:
            return
        if placement.cause is Cause.DONE or placement.cause is Cause.STOPPED:
            machine.failed_jobs.clear()
            return
        if placement.cause is not Cause.ERROR:
            return
        job = self._book.jobs.get(placement.task.ref)
        if job is None:
            return
        now = self._clock.steady()
        job.errors[machine.name] = job.errors.get(machine.name, 0) + 1
        if len(job.errors) >= 3 and not job.done_count():
            # It fails wherever it is put: the job is wrong, not the machines.
            wait = min(60.0, 2.0 ** min(6, sum(job.errors.values()) - 2))
            job.not_before = now + seconds(wait)
            log.info(
                "job %s failed on %d machines and never ended well: next try in %.0f s",
                job.spec.ref,
                len(job.errors),
                wait,
            )
            return
        machine.failed_jobs.add(placement.task.ref)
        if len(machine.failed_jobs) >= 2 or job.done_count():
            faulty = sum(m.state is MachineState.FAULTY for m in self._inventory.machines.values())
            if faulty * 4 < len(self._inventory.machines):
                machine.become(MachineState.FAULTY, now, "failed tasks that run elsewhere")

    def step(self) -> None:
        """Find machines of our blocks that fell silent, and tell the others how ours are."""
        now = self._clock.steady()
        limit = self._times.report * 1.25 + seconds(1)
        for machine in self.mine():
            worker = self._roster.workers.get(machine.name)
            heard_at = worker.heard_at if worker else self._blocks.mine(machine.zone).since
            if now - heard_at <= limit or machine.state in (MachineState.BOOTING, MachineState.RETURNING):
                continue
            if machine.state in (MachineState.UP, MachineState.LEAVING):
                machine.become(MachineState.SILENT, now, "no report")
            self._spawn(self._visit_silent, machine)
        self.publish()

    def _visit_silent(self, machine: Machine) -> None:
        if self._roster.visit(machine.address) or self._blocks.mine(machine.zone) is None:
            return
        machine.silent_visits += 1
        now = self._clock.steady()
        cut = self._looks_cut(machine.zone)
        end = self._roster.lease_end(machine.name, machine.zone)
        over = end is not None and now > end + seconds(30)
        if machine.silent_visits >= 2 and (not cut or over):
            machine.become(MachineState.RETURNING, now, "it does not answer")

    def _looks_cut(self, zone: str) -> bool:
        """Whether many are silent at once: like a cut, not like machines that died; their leases are waited for."""
        machines = self._inventory.machines.values()
        there = sum(m.zone == zone for m in machines)
        silent = Counter(m.zone for m in machines if m.state is MachineState.SILENT)
        everywhere = silent.total()
        return (silent[zone] >= 3 and silent[zone] * 2 > there) or (everywhere >= 4 and everywhere * 2 > len(machines))

    def publish(self) -> None:
        """Write down machines whose state or images changed, guarded by their blocks' grants.

        States first: they decide what is placed where.  Images only help to
        choose, and have what the state service's rate leaves over.
        """
        self.changed = False
        now = self._clock.steady()
        states: list[Machine] = []
        images: list[Machine] = []
        for machine in self.mine():
            worker = self._roster.workers.get(machine.name)
            if worker is not None:
                machine.images = list(worker.images)
            if not machine.address:
                continue
            stored = self._inventory.stored(machine.name)
            if stored is None or machine.state.value != stored["st"] or machine.address != stored["a"]:
                states.append(machine)
            elif now - self._published_at >= IMAGES_EVERY and set(machine.images) != set(stored["im"]):
                images.append(machine)
        most = self._store.limits.txn_ops
        if states:
            self._write(states[:most])
            self.changed = len(states) > most
        elif images:
            self._published_at = now
            # Those not told for longest first.
            images.sort(key=lambda m: self._mirror.version(MACHINE_PREFIX + m.name))
            self._write(images[: min(most, self._store.spare_writes())])

    def _write(self, machines: list[Machine]) -> None:
        if not machines:
            return
        puts, guards = {}, {}
        for machine in machines:
            key = MACHINE_PREFIX + machine.name
            puts[key], guards[key] = machine.record(), self._mirror.version(key)
            guards[block_key(machine.zone)] = self._blocks.mine(machine.zone).version
        outcome = self._store.commit(guards, puts)
        if outcome.ending is Ending.APPLIED:
            self._mirror.put_outcome(puts, (), outcome.revision)
