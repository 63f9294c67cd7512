"""`/metrics` in Prometheus' text format: what a node has done and how it stands, read when asked.

Imported only by nodes whose operators turn it on.
"""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4, generate_latest

from kelpjunction.budget import Plenty

if TYPE_CHECKING:
    from kelpjunction.daemon import Node


class Metrics:
    """A node's figures; nothing is counted here that the slices do not count themselves."""

    content_type = CONTENT_TYPE_PLAIN_0_0_4

    def __init__(self, node: "Node") -> None:
        self._node = node
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def text(self) -> bytes:
        """All of them as Prometheus reads them."""
        return generate_latest(self._registry)

    def describe(self) -> list[Metric]:
        return []  # so that nothing is read before the node runs

    def collect(self) -> Iterator[Metric]:
        node = self._node
        yield CounterMetricFamily("kelpjunction_rounds", "Rounds played.", node.rounds)
        yield GaugeMetricFamily("kelpjunction_leads", "1 while this node leads.", node.leadership.reign is not None)
        yield GaugeMetricFamily("kelpjunction_jobs", "Jobs that are not over.", len(node.book.jobs))
        yield GaugeMetricFamily("kelpjunction_jobs_waiting", "Jobs with tasks to hand over.", len(node.book.waiting))
        yield GaugeMetricFamily("kelpjunction_blocks_held", "Blocks that this node holds.", len(node.blocks.my_zones()))
        yield GaugeMetricFamily("kelpjunction_workers", "Workers that report to this node.", len(node.roster.workers))
        unreachable = node.roster.unreachable()
        yield GaugeMetricFamily("kelpjunction_workers_deaf", "Of those, not reached from here.", unreachable)
        yield CounterMetricFamily("kelpjunction_store_requests", "Sent to the state service.", node.store.requests)
        yield CounterMetricFamily("kelpjunction_store_refusals", "Of those, answered 429.", node.store.refusals)
        budget = node.store.budget
        yield GaugeMetricFamily(
            "kelpjunction_store_short", "1 while changes wait or were refused.", budget.plenty is not Plenty.AMPLE
        )
        for name, text, counts in (
            ("kelpjunction_store_changes", "Changes sent to the state service, by purpose.", budget.spent),
            ("kelpjunction_store_put_off", "Times that a purpose had to wait for its turn.", budget.denied),
            ("kelpjunction_store_refused_writes", "Writes answered 429, by purpose.", budget.refusals),
        ):
            family = CounterMetricFamily(name, text, labels=["purpose"])
            for purpose, count in counts.items():
                family.add_metric([purpose.value], count)
            yield family
        yield CounterMetricFamily("kelpjunction_starts", "Starts sent straight to workers.", node.roster.starts)
        yield CounterMetricFamily("kelpjunction_stops", "Stops sent straight to workers.", node.roster.stops)
        settled = CounterMetricFamily("kelpjunction_settled", "Placements that ended, by cause.", labels=["cause"])
        for cause, count in node.roster.settled.items():
            settled.add_metric([cause.value], count)
        yield settled
        if node.keeper is not None:
            yield GaugeMetricFamily("kelpjunction_ledger_entry", "The last entry known.", node.keeper.entry)
