"""Unit tests of the conclusions from siblings' answers and silence."""

from datetime import timedelta

import pytest

from kelpjunction.clock import ZERO, seconds
from kelpjunction.lab.world import SimClock
from kelpjunction.recorder import Recorder
from kelpjunction.settings import Sibling
from kelpjunction.siblings import SiblingRequests, SiblingState, encode_state, parse_state
from kelpjunction.store.access import (
    CHECK_INTERVAL,
    MAX_ABSENT_SIBLING_SILENCE,
    MAX_SIBLING_SILENCE,
    StoreAccess,
    StoreAccessMonitor,
    is_ahead,
)
from kelpjunction.store.mirror import STALE_AFTER

SIBLINGS = (Sibling("holdfast-1", "b", "10.0.0.1:8081"), Sibling("holdfast-2", "c", "10.0.0.2:8081"))
STALE = SiblingState(fresh=False, revision=1, age=seconds(5))


class FakeMirror:
    """A mirror that was known to be current until a given time."""

    def __init__(self, clock: SimClock) -> None:
        self._clock = clock
        self.known_until: timedelta | None = clock.steady()
        self.revision: int | None = 1

    @property
    def loaded(self) -> bool:
        return self.revision is not None

    @property
    def fresh(self) -> bool:
        return self.known_until is not None and self._clock.steady() - self.known_until < STALE_AFTER


class MonitoredNode:
    """A monitor with two siblings whose answers the test sets; None is silence."""

    def __init__(self) -> None:
        self.clock = SimClock()
        self.mirror = FakeMirror(self.clock)
        self.answers: dict[str, SiblingState | None] = dict.fromkeys(s.node for s in SIBLINGS)
        self.asked = 0
        requests = SiblingRequests(SIBLINGS, lambda function, *args: function(*args), self._answer)
        self.members = set(self.answers)
        self.higher_token_seen = False
        self.monitor = StoreAccessMonitor(
            self.mirror,
            requests,
            self.clock,
            Recorder(self.clock),
            is_member=lambda name: name in self.members,
            higher_token_seen=lambda: self.higher_token_seen,
        )

    def _answer(self, sibling: Sibling) -> SiblingState | None:
        self.asked += 1
        return self.answers[sibling.node]

    def run(self, duration: timedelta) -> None:
        for _ in range(duration // CHECK_INTERVAL):
            self.clock.now += CHECK_INTERVAL
            self.monitor.check()


@pytest.fixture
def node() -> MonitoredNode:
    return MonitoredNode()


def test_fresh_node_asks_nobody(node):
    for _ in range(10):
        node.mirror.known_until = node.clock.now
        node.run(CHECK_INTERVAL)
    assert node.asked == 0
    assert node.monitor.access is StoreAccess.CURRENT


def test_silent_siblings_mean_isolation_after_a_while(node):
    node.run(STALE_AFTER + MAX_SIBLING_SILENCE)
    assert node.monitor.access is StoreAccess.SHARED_OUTAGE
    assert node.monitor.should_serve
    node.run(2 * CHECK_INTERVAL)
    assert node.monitor.access is StoreAccess.ISOLATED
    assert not node.monitor.should_serve
    assert not node.monitor.proved_behind


def test_one_silent_sibling_suffices(node):
    node.answers["holdfast-1"] = STALE
    node.run(STALE_AFTER + MAX_SIBLING_SILENCE + 2 * CHECK_INTERVAL)
    assert node.monitor.access is StoreAccess.ISOLATED


def test_silence_of_absent_sibling_counts_only_after_longer(node):
    node.members = {"holdfast-1"}
    node.answers["holdfast-1"] = STALE
    node.run(STALE_AFTER + MAX_ABSENT_SIBLING_SILENCE)
    assert node.monitor.access is StoreAccess.SHARED_OUTAGE
    node.run(2 * CHECK_INTERVAL)
    assert node.monitor.access is StoreAccess.ISOLATED


def test_each_answer_ends_a_siblings_silence(node):
    node.answers["holdfast-1"] = STALE
    for _ in range(5):
        node.answers["holdfast-2"] = None
        node.run(MAX_SIBLING_SILENCE - CHECK_INTERVAL)
        node.answers["holdfast-2"] = STALE
        node.run(CHECK_INTERVAL)
    assert node.monitor.access is StoreAccess.SHARED_OUTAGE


def test_pause_of_this_process_is_not_the_siblings_silence(node):
    node.run(STALE_AFTER + CHECK_INTERVAL)
    node.clock.now += 2 * MAX_SIBLING_SILENCE
    node.run(5 * CHECK_INTERVAL)
    assert node.monitor.access is StoreAccess.SHARED_OUTAGE


def test_isolation_ends_with_a_fresh_mirror_only(node):
    node.run(STALE_AFTER + MAX_SIBLING_SILENCE + 2 * CHECK_INTERVAL)
    node.answers = dict.fromkeys(node.answers, STALE)
    node.run(seconds(60))
    assert not node.monitor.should_serve
    node.mirror.known_until = node.clock.now
    assert node.monitor.should_serve
    node.run(CHECK_INTERVAL)
    assert node.monitor.access is StoreAccess.CURRENT


def test_silence_is_counted_anew_in_each_period_without_updates(node):
    node.run(STALE_AFTER + MAX_SIBLING_SILENCE - CHECK_INTERVAL)
    node.mirror.known_until = node.clock.now
    node.run(STALE_AFTER + MAX_SIBLING_SILENCE - CHECK_INTERVAL)
    assert node.monitor.access is StoreAccess.SHARED_OUTAGE


def test_sibling_that_is_ahead_proves_that_only_this_node_is_cut_off(node):
    node.answers = dict.fromkeys(node.answers, SiblingState(fresh=True, revision=2, age=seconds(0.5)))
    node.run(STALE_AFTER + CHECK_INTERVAL)
    assert node.monitor.proved_behind
    node.answers = dict.fromkeys(node.answers)
    node.run(seconds(10))
    assert node.monitor.proved_behind, "the proof stays true when the siblings are cut off as well"


def test_higher_token_proves_that_only_this_node_is_cut_off(node):
    node.higher_token_seen = True
    node.run(STALE_AFTER)
    assert node.monitor.proved_behind


def test_sibling_whose_watch_ended_later_proves_nothing(node):
    """A watch waits for up to two seconds, so in an outage for all nodes the mirrors go stale that far apart.

    A node that took a mirror that is still fresh for proof would leave the load balancer for the whole outage.
    """
    outage_age = seconds(0)
    for _ in range(8):
        node.run(CHECK_INTERVAL)
        outage_age += CHECK_INTERVAL
        age = outage_age - seconds(2.5)  # known to be current until 2.5 s after this node's mirror
        fresh = age < STALE_AFTER
        node.answers = dict.fromkeys(node.answers, SiblingState(fresh, 1, max(ZERO, age)))
        assert node.monitor.should_serve


def test_sibling_of_unknown_age_counts_as_old_as_a_fresh_mirror_can_be():
    fresh, known_until = SiblingState(fresh=True), seconds(100)
    assert not is_ahead(fresh, known_until + 2 * STALE_AFTER, known_until)
    assert is_ahead(fresh, known_until + 2 * STALE_AFTER + seconds(0.1), known_until)
    assert not is_ahead(SiblingState(fresh=False, age=ZERO), seconds(200), known_until)


def test_state_of_a_mirror_on_the_wire():
    clock = SimClock()
    mirror = FakeMirror(clock)
    clock.now += seconds(1.2345)
    fields = encode_state(mirror, clock.now)
    assert fields == {"fresh": True, "revision": 1, "age_ms": 1234}
    assert parse_state(fields) == SiblingState(True, 1, seconds(1.234))
    mirror.known_until = mirror.revision = None
    assert encode_state(mirror, clock.now) == {"fresh": False, "revision": 0, "age_ms": None}


@pytest.mark.parametrize("fields", [{}, {"fresh": "yes"}, {"fresh": 1, "revision": "1", "age_ms": "0"}])
def test_answers_of_other_versions_are_tolerated(fields):
    assert parse_state(fields) == SiblingState(False)
