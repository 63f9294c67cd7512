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
from kelpjunction.budget import Purpose
from kelpjunction.changes import Changes
from kelpjunction.clock import ZERO, Clock, Presence, seconds
from kelpjunction.fleet.machines import MACHINE_PREFIX, ROW_BYTES, Inventory, Machine, MachineState, Row
from kelpjunction.fleet.states import StateIndex
from kelpjunction.jobs.blame import Blame
from kelpjunction.jobs.book import Book, Placement
from kelpjunction.settings import WorkerTimes
from kelpjunction.store.client import Ending, StoreClient, StoreDown, Transaction
from kelpjunction.store.mirror import Mirror
from kelpjunction.wire.messages import Cause, Report
from kelpjunction.workers.contact import Reachability
from kelpjunction.workers.roster import Roster

log = logging.getLogger("fleet")

IMAGES_EVERY = timedelta(seconds=3)
PROBED = 3
LATEST_REPORT = 1.25  # times between two reports that the next one takes at most, as PROTOCOL says
HEARS_AGAIN_AFTER = 3  # probes in turn that a deaf node must see answered


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
        blame: Blame,
        presence: Presence,
        spawn: Callable,
        random_source: random.Random,
        changes: Changes,
    ) -> None:
        self._times = times
        self._store = store
        self._mirror = mirror
        self._blocks = blocks
        self._book = book
        self._roster = roster
        self._inventory = inventory
        self._clock = clock
        self._blame = blame
        self._presence = presence
        self._spawn = spawn
        self._random = random_source
        self._states = StateIndex(changes, inventory.machines)
        self._published_at = ZERO
        self._publishing = False
        self._asking = 0  # machines that a probe still waits for
        self._reached = False
        self._answers = 0  # probes in turn that were answered
        self.deaf = False  # whether this node reaches no machine, though it hears the state service
        self.on_deaf: Callable[[], None] = lambda: None
        self.changed = False  # whether a machine's state is to be told at once
        roster.on_seen = self._seen
        roster.on_exit = self._exited
        roster.images_of = self._images_of
        roster.is_gone = inventory.gone
        inventory.on_gone = roster.settle_machine

    def gain(self, zone: str) -> None:
        """The block became ours: ask its machines at once, its workers may take a while to find us."""
        for machine in [name for name in self._book.loads if self._inventory.gone(name)]:
            self._roster.settle_machine(machine)  # returned while nobody held the block
        there = [m for m in self._inventory.machines.values() if m.zone == zone and m.address]
        there = [m for m in there if m.state is not MachineState.RETURNING]
        shown = set(self._random.sample([m.name for m in there], min(PROBED, len(there))))
        for machine in there:
            self._spawn(self._greet, machine, machine.name in shown)

    def _greet(self, machine: Machine, show_token: bool) -> None:
        """Ask a new block's worker how it stands; some are shown our token too.

        Whoever held the block may have lost the state service and the other
        nodes, but not these workers: they go on reporting to it, and it finds
        out from them.
        """
        if self._roster.visit(machine.name, machine.address) is not False and show_token:
            self._roster.show_token(machine.name)

    def mine(self) -> list[Machine]:
        zones = set(self._blocks.my_zones())
        return [m for m in self._inventory.machines.values() if m.zone in zones]

    def _images_of(self, name: str) -> list[str]:
        machine = self._inventory.machines.get(name)
        return list(machine.images) if machine else []

    def _seen(self, report: Report) -> None:
        """A worker that this node reaches reported: its machine is up."""
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
        """A task that ended well clears its machine of what failed there before, until it fails there again."""
        machine = self._inventory.machines.get(placement.machine)
        if machine is None:
            return
        if placement.cause is Cause.DONE:
            self._blame.clear(machine)
            machine.suspect(False)
        elif placement.cause is Cause.ERROR:
            machine.cleared_of.discard(placement.task.ref)

    def _judge(self, now: timedelta) -> None:
        """Shun the machines that some job speaks against; never a quarter of the fleet is faulty at once."""
        for machine in self.mine():
            if machine.state is not MachineState.UP or not (machine.suspected or machine.name in self._book.failed_on):
                continue
            count, enough = self._blame.against(machine)
            machine.suspect(count > 0)
            faulty = sum(m.state is MachineState.FAULTY for m in self._inventory.machines.values())
            if enough and faulty * 4 < len(self._inventory.machines):
                machine.become(MachineState.FAULTY, now, "tasks of jobs that run elsewhere failed on it")

    def step(self) -> None:
        """Find machines of our blocks that fell silent, and tell the others how ours are."""
        now = self._clock.steady()
        self._presence.beat()
        if not self._mirror.fresh:
            return  # these machines may be another's by now
        mine = [m for m in self.mine() if m.state not in (MachineState.BOOTING, MachineState.RETURNING)]
        for machine in mine:
            worker = self._roster.workers.get(machine.name)
            proved_at = worker.contact.proved_at if worker else None
            deaf = worker is not None and worker.contact.reachability is Reachability.UNREACHABLE
            # While this node stood still, nobody could be heard.
            since = max(proved_at or self._blocks.mine(machine.zone).since, self._presence.since)
            if deaf:
                self._fall_silent(machine, "it does not answer")
            if deaf or now - since > self._times.report * LATEST_REPORT:
                self._spawn(self._visit_silent, machine)
        self._judge(now)
        if self.deaf or (mine and all(m.state is MachineState.SILENT for m in mine)):
            self._probe()
        self.publish()

    def _fall_silent(self, machine: Machine, why: str) -> bool:
        """Call a machine silent; whether it was not so before."""
        if machine.state not in (MachineState.UP, MachineState.LEAVING):
            return False
        return machine.become(MachineState.SILENT, self._clock.steady(), why)

    def _visit_silent(self, machine: Machine) -> None:
        """Ask a machine whose report is late: one that answers was never silent.

        A report that gets no answer costs its worker 4 s of waiting and 1 s more before it tries the next node, so
        each one that is lost makes the next late, of machines that are well.
        """
        asked_at = self._clock.steady()
        answered = self._roster.visit(machine.name, machine.address)
        if answered is not False or self._blocks.mine(machine.zone) is None:
            return
        if self._presence.since > asked_at:
            return  # the answer may have come while this node stood still
        if self._fall_silent(machine, "no report, and no answer"):
            return  # only questions to a machine that is silent speak for its return
        machine.silent_visits += 1
        if machine.silent_visits < 2 or self.deaf:
            return
        end = self._roster.lease_end(machine.name, machine.zone)
        over = end is not None and self._clock.steady() > end + seconds(30)
        if over or not self._looks_cut(machine.zone):
            machine.become(MachineState.RETURNING, self._clock.steady(), "it does not answer")

    def _probe(self) -> None:
        """Find out whether this node reaches any machine at all, in whatever block."""
        if self._asking:
            return
        there = [m for m in self._inventory.machines.values() if m.address and m.state is not MachineState.RETURNING]
        up = [m for m in there if m.state is MachineState.UP] or there
        some = self._random.sample(up, min(PROBED, len(up)))
        self._asking, self._reached = len(some), False
        for machine in some:
            self._spawn(self._ask, machine)

    def _ask(self, machine: Machine) -> None:
        reached = self._roster.visit(machine.name, machine.address) is not False
        self._asking -= 1
        self._reached = self._reached or reached
        if not self._asking:
            self._answers = self._answers + 1 if self._reached else 0
            if not self._answers and not self.deaf and self._mirror.fresh:
                self._hear(deaf=True)
            elif self.deaf and self._answers >= HEARS_AGAIN_AFTER:
                self._hear(deaf=False)

    def _hear(self, deaf: bool) -> None:
        """The one place where `deaf` changes."""
        self.deaf = deaf
        log.info("this node reaches %s", "no machine: its blocks should be another's" if deaf else "machines again")
        self.on_deaf()

    def _looks_cut(self, zone: str) -> bool:
        """Whether a silent machine's neighbours are silent too, or many are at once.

        That is like a cut, not like machines that died.  Tasks in a cut zone
        go on until their leases end, so the leases are waited for.
        """
        near = self._states.names(zone, MachineState.UP)
        if near:
            names = self._random.sample(near, min(PROBED, len(near)))
            some = [self._inventory.machines[name] for name in names]
            return not any(self._roster.visit(m.name, m.address) for m in some)
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
        except StoreDown as error:
            log.debug("machines are told later: %s", error)
        finally:
            self._publishing = False

    def _publish(self) -> None:
        self.changed = False
        now = self._clock.steady()
        with_images = now - self._published_at >= IMAGES_EVERY
        txns: list[Transaction] = []
        for zone in self._blocks.my_zones():
            txns += self._pages_to_write(zone, with_images)
        txns.sort(key=lambda txn: txn.purpose is Purpose.SPARE)
        for txn in txns:
            if not self._store.may(txn.purpose, txn.ops):
                self.changed = self.changed or txn.purpose is Purpose.FACT
                continue
            if txn.purpose is Purpose.SPARE:
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
            worker = self._roster.workers.get(machine.name)
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
            txn = Transaction(Purpose.FACT if key in urgent else Purpose.SPARE)
            txn.guard(key, self._mirror.version(key)).guard(block_key(zone), self._blocks.mine(zone).version)
            txns.append(txn.put(key, rows))
        return txns

    def _page_with_room(self, zone: str, pages: dict[str, dict], stored: dict[str, dict]) -> str:
        most = max(1, self._store.limits.value_bytes // ROW_BYTES)
        for key, rows in pages.items():
            if len(rows.keys() | stored.get(key, {}).keys()) < most:
                return key
        return f"{MACHINE_PREFIX}{zone}/{max((int(k.rpartition('/')[2]) for k in pages), default=-1) + 1}"

    def _write(self, txn: Transaction) -> None:
        outcome = self._store.apply(txn)
        if outcome.ending is Ending.APPLIED:
            self._mirror.put_outcome(txn.puts, (), outcome.revision)
        elif outcome.ending is Ending.CONFLICT:
            for key in outcome.failed:
                self._mirror.refresh(key)


def _differ(rows: dict[str, list], stored: dict[str, Row]) -> bool:
    """Whether a page lacks machines, has some that are gone, or images that are not told."""
    return rows.keys() != stored.keys() or any(set(row[4]) != set(stored[name].images) for name, row in rows.items())
