"""The stand-in for the users' load balancer follows PROTOCOL, and the rule `forgotten` for users behind it."""

import pytest

from kelpjunction.clock import seconds
from kelpjunction.lab.balancer import PROBE_INTERVAL, LoadBalancerStandIn
from kelpjunction.lab.polling_users import POLL_INTERVAL, PollingUsers
from kelpjunction.lab.rules import MAX_FAILING_TIME


class FakeNodes:
    """Nodes whose health, and whether they accept connections, the test sets."""

    def __init__(self, *names: str) -> None:
        self.healthy = dict.fromkeys(names, True)
        self.accepting = dict.fromkeys(names, True)
        self.processes = {name: object() for name in names}
        self.attempts: list[str] = []

    def probe(self, node: str) -> bool:
        return self.healthy[node]

    def accepts_connections(self, node: str) -> bool:
        self.attempts.append(node)
        return self.accepting[node]

    def process_instance(self, node: str) -> object:
        return self.processes[node]


class Probed:
    """A load balancer that is stepped once per probe."""

    def __init__(self, *names: str) -> None:
        self.nodes = FakeNodes(*names)
        self.balancer = LoadBalancerStandIn(self.nodes, names, seed=1)
        self.now = seconds(100)

    def probe(self, times: int = 1) -> None:
        for _ in range(times):
            self.now += PROBE_INTERVAL
            self.balancer.step(self.now)

    def probes_until(self, healthy: bool, node: str = "a") -> int:
        """The number of probes until the node is healthy, or is not."""
        for number in range(1, 200):
            self.probe()
            if self.balancer.is_healthy(node) is healthy:
                return number
        raise AssertionError("the node's state did not change")


def test_new_node_needs_one_success():
    probed = Probed("a")
    assert probed.probes_until(healthy=True) == 1


def test_two_consecutive_failures_or_three_of_six_remove_a_node():
    probed = Probed("a")
    probed.probe(6)
    probed.nodes.healthy["a"] = False
    assert probed.probes_until(healthy=False) == 2
    probed = Probed("a")
    probed.probe(6)
    for succeeded in (False, True, False, True):
        probed.nodes.healthy["a"] = succeeded
        probed.probe()
    assert probed.balancer.is_healthy("a")
    probed.nodes.healthy["a"] = False
    assert probed.probes_until(healthy=False) == 1


def test_each_removal_within_two_minutes_doubles_the_pause():
    probed = Probed("a")
    probed.probe()
    pauses = []
    for _ in range(6):
        probed.nodes.healthy["a"] = False
        probed.probes_until(healthy=False)
        probed.nodes.healthy["a"] = True
        pauses.append(probed.probes_until(healthy=True))
    assert pauses == [3, 6, 12, 24, 48, 60]
    probed.probe(130)
    probed.nodes.healthy["a"] = False
    probed.probes_until(healthy=False)
    probed.nodes.healthy["a"] = True
    assert probed.probes_until(healthy=True) == 3
    assert probed.balancer.removals("a") == 7


def test_connections_are_reset_after_five_unhealthy_seconds():
    probed = Probed("a")
    probed.probe()
    connection = probed.balancer.connect(probed.now)
    probed.nodes.healthy["a"] = False
    probed.probes_until(healthy=False)
    probed.probe(4)
    assert probed.balancer.is_open(connection)
    probed.probe(1)
    assert not probed.balancer.is_open(connection)


def test_connection_ends_with_its_process():
    probed = Probed("a")
    probed.probe()
    connection = probed.balancer.connect(probed.now)
    probed.nodes.processes["a"] = object()
    assert not probed.balancer.is_open(connection)


def test_nodes_with_fewer_connections_are_preferred_and_unhealthy_ones_are_left_out():
    probed = Probed("a", "b", "c")
    probed.probe()
    assert sorted(probed.balancer.connect(probed.now).node for _ in range(6)) == ["a", "a", "b", "b", "c", "c"]
    probed.nodes.healthy["a"] = False
    probed.probes_until(healthy=False)
    assert {probed.balancer.connect(probed.now).node for _ in range(6)} == {"b", "c"}


def test_share_of_a_node_that_became_healthy_again_rises_over_ten_seconds():
    probed = Probed("a", "b")
    probed.probe()
    for _ in range(20):
        probed.balancer.connect(probed.now)
    probed.nodes.healthy["a"] = False
    probed.probes_until(healthy=False)
    probed.probe(6)  # its connections are reset, so it has fewest
    probed.nodes.healthy["a"] = True
    probed.probes_until(healthy=True)
    assert {probed.balancer.connect(probed.now).node for _ in range(5)} == {"b"}
    probed.probe(10)
    assert {probed.balancer.connect(probed.now).node for _ in range(5)} == {"a"}


def test_node_that_refuses_three_connections_is_skipped_for_a_while():
    probed = Probed("a", "b")
    probed.probe()
    probed.nodes.accepting["a"] = False
    assert [probed.balancer.connect(probed.now).node for _ in range(4)] == ["b"] * 4
    assert probed.nodes.attempts.count("a") == 3
    probed.probe(3)
    probed.balancer.connect(probed.now)
    assert probed.nodes.attempts.count("a") == 4


class PolledSite:
    """Users behind a load balancer with two nodes; the test sets which nodes answer."""

    def __init__(self, users: int) -> None:
        self.now = seconds(100)
        self.nodes = FakeNodes("a", "b")
        self.balancer = LoadBalancerStandIn(self.nodes, ("a", "b"), seed=1)
        self.answering = {"a", "b"}
        self.broken: list[str] = []
        self.users = PollingUsers(
            self.balancer,
            lambda ref, node: "running" if node in self.answering else None,
            lambda request: request(),
            lambda: self.now,
            self.broken,
        )
        self.run(1)
        for number in range(users):
            self.users.add(f"j-{number}")
        self.run(POLL_INTERVAL.total_seconds())

    def run(self, duration_s: float) -> None:
        for _ in range(int(duration_s)):
            self.now += seconds(1)
            self.balancer.step(self.now)
            self.users.step()


def test_user_whose_polls_all_fail_is_forgotten():
    site = PolledSite(users=3)
    failing_node = site.users.users["j-1"].connection.node
    site.answering.discard(failing_node)
    site.run(MAX_FAILING_TIME.total_seconds() + POLL_INTERVAL.total_seconds() + 1)
    assert site.broken == ["forgotten: every poll for j-1 failed for 90 s"]


@pytest.mark.parametrize("answering", [set(), {"a"}])
def test_failures_of_most_users_break_no_rule(answering):
    site = PolledSite(users=2)
    site.answering = answering
    site.run(200)
    assert site.broken == []
    assert max(user.longest_failure for user in site.users.users.values()) > MAX_FAILING_TIME


def test_user_stops_polling_after_a_final_answer():
    site = PolledSite(users=1)
    site.users._poll = lambda ref, node: "done"
    site.run(POLL_INTERVAL.total_seconds())
    answers = len(site.users.users["j-0"].answered_at)
    site.run(60)
    assert len(site.users.users["j-0"].answered_at) == answers
