"""The gap: the state service refuses a holder alone, cancellations are confirmed elsewhere, then it is down for all.

Workers go on reporting to a holder that never hears of those cancellations.  All that ends their tasks is that it
stops renewing leases in time: `kelpjunction.renewal` has the inequality.
"""

from dataclasses import dataclass
from datetime import timedelta

import orjson
import pytest
from traces import ready_world

from kelpjunction.clock import seconds
from kelpjunction.lab.world import STORE, NetworkConditions, World
from kelpjunction.renewal import MIN_COMFORTABLE_GRACE, LeaseRenewalPolicy
from kelpjunction.settings import WorkerTimes
from kelpjunction.store.client import StoreClient
from kelpjunction.store.mirror import Mirror
from kelpjunction.transport import Reply

# Of `cancel`, lease and grace leave nothing to spare but what the inequality gives the kill.
SHORT_GRACE_TIMES = WorkerTimes(seconds(2), seconds(15), seconds(30), seconds(5), seconds(30))
KINDS = ({"shape": "batch"}, {"shape": "ensemble", "mark_s": 5.0, "stow_s": 1.0}, {"shape": "service"})


@dataclass
class OutageScenario:
    """When what happens, in seconds from the refusal on."""

    refused_node: str = "leader"  # or a holder that does not lead
    cancelled_at_s: tuple[float, ...] = (0.3, 1.9)  # one job of each shape at each
    outage_at_s: float = 2.0  # begins
    refusal_duration_s: float = 14.0
    extra_grace_s: float = 0.0  # beyond what the inequality allows: to see that the trace would notice
    rounds: int = 1
    new_holder_hears_cancellations: bool = False  # whether who holds the block by then hears of all cancellations


def play_scenario(world: World, gap: OutageScenario) -> tuple[dict[str, float], int]:
    """Play it; returns how long the tasks of each cancelled job outlived its confirmation, and how many there were."""
    holders = [n for n in world.node_names if world.nodes[n].blocks.held_zones()]
    leader = world.leader_name()
    old = leader if gap.refused_node == "leader" else next(n for n in holders if n != leader)
    zone = world.nodes[old].blocks.held_zones()[0]
    other = next(n for n in world.node_names if n != old)
    for node in world.nodes.values():
        renewal = node.leadership.renewal
        node.leadership.renewal = LeaseRenewalPolicy(
            renewal.lease, renewal.cancel_timeout + seconds(gap.extra_grace_s), renewal.block_lease
        )
    lasted: dict[str, float] = {}
    for number in range(gap.rounds):
        refs = {}
        for at, _ in enumerate(gap.cancelled_at_s):
            for kind, fields in enumerate(KINDS):
                refs[at, kind] = f"j-{number}{at}{kind}"
                world.submit(refs[at, kind], 2, run_s=300.0, cpus=0.5, bay=zone, **fields)
        assert world.run(20, lambda refs=refs: all(len(world.running(r)) == 2 for r in refs.values()))
        world.run(3)
        began = world.clock.now
        world.cut_from_store = {old}
        acts = [
            (gap.outage_at_s, "outage"),
            (gap.refusal_duration_s, "served"),
            *((t, n) for n, t in enumerate(gap.cancelled_at_s)),
        ]
        for at, what in [*sorted(acts, key=lambda act: act[0]), (gap.outage_at_s + 61, "over")]:
            world.run((began + seconds(at) - world.clock.now).total_seconds(), lambda: _note(world, lasted))
            if what == "outage":
                world.store.outage(True)
            elif what == "served":
                world.cut_from_store = set()
            elif what == "over":
                world.store.outage(False)
            else:
                for kind in range(len(KINDS)):
                    _cancel(world, refs[what, kind], other)
        world.run(25, lambda: _note(world, lasted))
    return lasted, len(refs)


def _note(world: World, lasted: dict[str, float]) -> bool:
    for ref, told in world.told_cancelled.items():
        if world.running(ref):
            lasted[ref] = (world.clock.now - told).total_seconds()
    return False


def _cancel(world: World, ref: str, node: str) -> None:
    assert world.abort(ref, node=node) == 200


@pytest.mark.parametrize(
    "gap",
    [
        OutageScenario(),
        OutageScenario(refused_node="a holder"),
        OutageScenario(cancelled_at_s=(0.0, 0.1)),
        OutageScenario(
            cancelled_at_s=(-0.1, 1.9)
        ),  # just before the refusal, and at the last instant before the outage
        OutageScenario(
            cancelled_at_s=(0.5, 4.5), outage_at_s=5.0, new_holder_hears_cancellations=True
        ),  # others lead by then, and hold the block
        OutageScenario(cancelled_at_s=(0.5, 1.5), outage_at_s=1.6, refusal_duration_s=80.0),
        OutageScenario(rounds=2),
    ],
    ids=lambda gap: f"{gap.refused_node}-{gap.cancelled_at_s}-{gap.outage_at_s}-{gap.refusal_duration_s}-{gap.rounds}",
)
def test_cancelled_tasks_end_in_time_when_store_refuses_holder_then_all(gap):
    world = ready_world(machines=9, capacity=9, times=SHORT_GRACE_TIMES)
    lasted, jobs = play_scenario(world, gap)
    assert world.broken == []
    assert jobs == 6
    if gap.new_holder_hears_cancellations:
        assert max(lasted.values(), default=0) < 5, "the new holder has told the workers"
    else:
        assert max(lasted.values()) > 20, "the holder did not hear: leases ended them"


@pytest.mark.parametrize("pace", [0.9995, 1.0005])
def test_gap_with_workers_whose_clocks_drift(pace):
    world = ready_world(machines=9, capacity=9, times=SHORT_GRACE_TIMES)
    for worker, _ in world.cloud.machines.values():
        worker.clock_rate = pace
    play_scenario(world, OutageScenario())
    assert world.broken == []


def test_gap_with_reports_and_answers_on_their_way_for_seconds():
    """A 200 that was checked long before it arrives renews no more than its report's sending does."""
    world = ready_world(machines=9, capacity=9, times=SHORT_GRACE_TIMES)
    world.network_conditions = NetworkConditions(delay_range_s=(0.1, 3.8), loss_rate=0.0)
    play_scenario(world, OutageScenario())
    assert world.broken == []


def test_the_trace_notices_a_node_that_renews_for_too_long():
    world = ready_world(machines=9, capacity=9, times=SHORT_GRACE_TIMES)
    play_scenario(world, OutageScenario(cancelled_at_s=(-0.1, 0.1), extra_grace_s=4.0))
    assert {b.split(":")[0] for b in world.broken} == {"ran_cancelled"}


@pytest.mark.parametrize("path", ["/commands", "/commit"])
def test_gap_while_a_start_is_under_way(path):
    """The holder was about to start, or to write down, what is cancelled through another node meanwhile."""
    world = ready_world(machines=9, capacity=9, times=SHORT_GRACE_TIMES)
    holder = world.leader_name()
    other = next(n for n in world.node_names if n != holder)
    struck = []

    def strike(source, target, at):
        if source == holder and at == path and not struck:
            struck.append(at)
            world.cut_from_store = {holder}
            world.run(0.5)
            _cancel(world, "j-1", other)
            world.run_after(1.5, lambda: world.store.outage(True))
            world.run_after(62.0, lambda: world.store.outage(False))
            return 3.0
        return 0.0

    world.run(1)
    world.pause_before_request = strike
    world.submit("j-1", 12, run_s=300.0, cpus=0.5, node=other)
    world.run(90)
    assert struck == [path]
    assert world.running("j-1") == []
    assert world.broken == []


@pytest.mark.parametrize("what", ["restart", "lease ends"])
def test_gap_while_a_workers_session_changes(what):
    world = ready_world(machines=9, capacity=9, times=SHORT_GRACE_TIMES)
    old = world.leader_name()
    other = next(n for n in world.node_names if n != old)
    world.submit("j-1", 9, shape="service", cpus=0.5)
    assert world.run(10, lambda: len(world.running("j-1")) == 9)
    workers = [w for w, _ in world.cloud.machines.values()]
    for worker in workers[::2]:
        worker.restart() if what == "restart" else setattr(worker, "partitioned", True)
    world.cut_from_store = {old}
    world.run(0.5)
    _cancel(world, "j-1", other)
    world.run(1)
    world.store.outage(True)
    world.run(17)  # where a lease ends that is not renewed
    for worker in workers:
        worker.partitioned = False
    world.run(45)
    assert world.broken == []
    world.store.outage(False)
    world.cut_from_store = set()
    world.run(30)
    assert world.running("j-1") == []
    assert world.broken == []


# The inequality, from both sides


@pytest.mark.parametrize(("lease", "cancel"), [(15, 40), (29, 49), (10, 35), (29, 31), (29, 29.5), (16, 41)])
def test_grace_period_uses_cancel_limit_fully(lease, cancel):
    renewal = LeaseRenewalPolicy(seconds(lease), seconds(cancel), block_lease=seconds(1000))
    known_to, step = seconds(500), timedelta(milliseconds=1)
    last = known_to + renewal.grace_period - step
    assert renewal.may_renew(known_to, last)
    assert not renewal.may_renew(known_to, known_to + renewal.grace_period)
    assert not renewal.may_renew(None, known_to)
    # On clocks that are late by 0.05 %, the last report's lease; and nothing is given away but the kill's time.
    gone = (last + renewal.lease - known_to) * 1.0005
    assert gone < renewal.cancel_timeout
    assert renewal.cancel_timeout - gone < seconds(1.6)


def test_short_grace_shortens_watch_and_no_grace_is_refused():
    ample = LeaseRenewalPolicy(seconds(15), seconds(40), seconds(20))
    little = LeaseRenewalPolicy(seconds(29), seconds(30), seconds(20))
    assert (ample.grace_period_short, little.grace_period_short) == (False, True)
    assert ample.grace_period == seconds(20)
    assert little.watch_timeout * 2 < little.grace_period < MIN_COMFORTABLE_GRACE
    with pytest.raises(ValueError, match="cancel_s must be above lease_s"):
        LeaseRenewalPolicy(seconds(29), seconds(29.02), seconds(20))


def test_site_with_short_grace_ends_cancelled_tasks_in_time():
    tight = WorkerTimes(seconds(2), seconds(15), seconds(30), seconds(5), seconds(16.5))
    world = ready_world(machines=9, capacity=9, times=tight)
    world.submit("j-1", 6, shape="service", cpus=0.5)
    world.submit("j-2", 6, run_s=300.0, cpus=0.5)
    assert world.run(10, lambda: len(world.running()) == 12)
    old = world.leader_name()
    world.cut_from_store = {old}
    assert world.abort("j-2", node=next(n for n in world.node_names if n != old)) == 200
    world.run(1)
    world.store.outage(True)
    world.run(20)
    assert world.broken == []
    world.store.outage(False)
    world.cut_from_store = set()
    assert world.run(40, lambda: len(world.running("j-1")) == 6)
    assert world.broken == []


# What counts as a moment up to which all is known


class SlowStore:
    """A state service each of whose answers takes a second to come; `applied` is what it has at a request's arrival."""

    def __init__(self, world: World) -> None:
        self.world, self.asked = world, []

    def request(self, address, method, path, body, timeout):
        self.asked.append((path.split("?")[0], self.world.clock.now))
        reply = self.world.store.handle(method, path, orjson.loads(body) if body else {})
        self.world.clock.now += seconds(1)
        return reply


def test_mirror_freshness_is_request_time():
    world = World()
    late = SlowStore(world)
    store = StoreClient(late, STORE, world.platform("holdfast-0").store, world.clock, lambda _: None, share=1.0)
    mirror = Mirror(store, world.clock, late)
    began = world.clock.now
    mirror.watch_once()
    assert mirror.known_until == began, "a read of all keys, in however many pages: when its first one was asked for"
    opened = world.clock.now
    mirror.watch_once()
    assert mirror.known_until == opened, "a watch: when it was opened, not when its answer came"
    world.clock.now += seconds(1)
    mirror.put_outcome({"l/job/j-1": {}}, (), 10**6)
    mirror.refresh("l/job/j-2")
    store.commit({"l/job/j-2": 0})
    assert mirror.known_until == opened, "own writes, a single key and a comparison say nothing of other keys"


def test_watch_freshness_is_its_opening_time():
    world = World()
    mirror = Mirror(
        StoreClient(None, STORE, world.platform("holdfast-0").store, world.clock, lambda _: None, share=1.0),
        world.clock,
        waits := SlowStore(world),
    )
    mirror.revision, mirror.known_until, mirror._read_at = 0, world.clock.now, world.clock.now
    opened = world.clock.now

    def held(address, method, path, body, timeout):
        world.clock.now += seconds(14)
        return Reply(200, {"ledger": 0, "news": []})

    waits.request = held
    mirror.watch_once()
    assert mirror.known_until == opened
