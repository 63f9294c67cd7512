"""What a holder sees of its block's machines: up, silent, faulty; and tells the others.

Before a machine is blamed for its silence this node looks at itself: whether
it stood still, whether it hears the state service, whether it reaches any
machine at all, and whether the machine's neighbours answer.
"""

import logging
import random
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from kelpjunction.blocks import Blocks, block_key
from kelpjunction.clock import ZERO, Clock, Presence, seconds
from kelpjunction.fleet.machines import MACHINE_PREFIX, Inventory, Machine, MachineState
from kelpjunction.jobs.blame import Blame
from kelpjunction.jobs.book import Book, Placement
from kelpjunction.settings import WorkerTimes
from kelpjunction.store.client import Ending, StoreClient
from kelpjunction.store.mirror import Mirror
from kelpjunction.wire.messages import Cause, Report
from kelpjunction.workers.roster import Roster

log = logging.getLogger("fleet")

IMAGES_EVERY = timedelta(seconds=2)
PROBED = 3
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
        self._published_at = ZERO
        self._asking = 0  # machines that a probe still waits for
        self._reached = False
        self._answers = 0  # probes in turn that were answered
        self.deaf = False  # whether this node reaches no machine, though it hears the state service
        self.on_deaf: Callable[[], None] = lambda: None
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
        zones = set(self._blocks.my_zones())
        return [m for m in self._inventory.machines.values() if m.zone in zones]

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
        limit = self._times.report * 1.25 + seconds(1)
        mine = [m for m in self.mine() if m.state not in (MachineState.BOOTING, MachineState.RETURNING)]
        for machine in mine:
            worker = self._roster.workers.get(machine.name)
            heard_at = worker.heard_at if worker else self._blocks.mine(machine.zone).since
            # While this node stood still, nobody could be heard.
            if now - max(heard_at, self._presence.since) <= limit:
                continue
            if machine.state in (MachineState.UP, MachineState.LEAVING):
                machine.become(MachineState.SILENT, now, "no report")
            self._spawn(self._visit_silent, machine)
        self._judge(now)
        if self.deaf or (mine and all(m.state is MachineState.SILENT for m in mine)):
            self._probe()
        self.publish()

    def _visit_silent(self, machine: Machine) -> None:
        asked_at = self._clock.steady()
        if self._roster.visit(machine.address) or self._blocks.mine(machine.zone) is None:
            return
        if self._presence.since > asked_at:
            return  # the answer may have come while this node stood still
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
        reached = self._roster.visit(machine.address)
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
        near = [m for m in self.mine() if m.zone == zone and m.state is MachineState.UP]
        if near:
            some = self._random.sample(near, min(PROBED, len(near)))
            return not any(self._roster.visit(m.address) for m in some)
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
                machine.take_images(list(worker.images))
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
