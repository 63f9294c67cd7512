"""`/metrics` in Prometheus' text format: a node's counters and current state, read at each request.

Imported only if the operators enable metrics.
"""

from collections.abc import Iterator, Mapping
from enum import Enum
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4, generate_latest

from kelpjunction.rate_limiter import LimiterState

if TYPE_CHECKING:
    from kelpjunction.node import Node


class Metrics:
    """The metrics of a node; all values come from its components and nothing is counted here."""

    content_type = CONTENT_TYPE_PLAIN_0_0_4

    def __init__(self, node: "Node") -> None:
        self._node = node
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def text(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self._registry)

    def describe(self) -> list[Metric]:
        return []  # otherwise registering would call `collect` before the node runs

    def collect(self) -> Iterator[Metric]:
        node = self._node
        yield CounterMetricFamily("kelpjunction_rounds", "Rounds played.", node.rounds)
        yield GaugeMetricFamily(
            "kelpjunction_leads", "1 while this node leads.", node.leadership.leader_term is not None
        )
        yield GaugeMetricFamily("kelpjunction_healthy", "1 while /healthz answers 200.", node.intake.healthy())
        yield GaugeMetricFamily("kelpjunction_jobs", "Jobs that are not over.", len(node.job_index.jobs))
        yield GaugeMetricFamily(
            "kelpjunction_jobs_waiting", "Jobs with tasks to hand over.", len(node.job_index.pending_jobs)
        )
        yield GaugeMetricFamily(
            "kelpjunction_blocks_held", "Blocks that this node holds.", len(node.blocks.held_zones())
        )
        yield GaugeMetricFamily(
            "kelpjunction_workers", "Workers that report to this node.", len(node.worker_registry.workers)
        )
        unreachable = node.worker_registry.unreachable()
        yield GaugeMetricFamily("kelpjunction_workers_deaf", "Of those, not reached from here.", unreachable)
        yield CounterMetricFamily("kelpjunction_store_requests", "Sent to the state service.", node.store.requests)
        yield CounterMetricFamily("kelpjunction_store_refusals", "Of those, answered 429.", node.store.refusals)
        rate_limiter = node.store.rate_limiter
        yield GaugeMetricFamily(
            "kelpjunction_store_short",
            "1 while changes wait or were refused.",
            rate_limiter.state is not LimiterState.UNTHROTTLED,
        )
        for name, text, counts in (
            ("kelpjunction_store_changes", "Changes sent to the state service, by purpose.", rate_limiter.spent),
            ("kelpjunction_store_put_off", "Times that a purpose had to wait for its turn.", rate_limiter.denied),
            ("kelpjunction_store_refused_writes", "Writes answered 429, by purpose.", rate_limiter.refusals),
        ):
            yield _labelled_counter(name, text, "purpose", counts)
        yield CounterMetricFamily(
            "kelpjunction_starts", "Starts sent straight to workers.", node.worker_registry.starts
        )
        yield CounterMetricFamily("kelpjunction_stops", "Stops sent straight to workers.", node.worker_registry.stops)
        decisions = node.worker_registry.decisions
        yield _labelled_counter("kelpjunction_settled", "Placements that ended, by cause.", "cause", decisions.causes)
        yield _labelled_counter("kelpjunction_settled_by", "The same, by what proved it.", "ground", decisions.grounds)
        yield _labelled_counter("kelpjunction_starts_said", "Starts said to workers, by way.", "way", decisions.ways)
        yield _labelled_counter(
            "kelpjunction_reports_refused", "Reports that got no 200, by ground.", "ground", decisions.refusals
        )
        yield CounterMetricFamily("kelpjunction_forgets_said", "Attempts that workers may forget.", decisions.forgets)
        yield CounterMetricFamily(
            "kelpjunction_forgotten_attempts_listed",
            "Attempts that a worker proved to have after it was told to forget them; each is a defect.",
            decisions.forgotten_attempts_listed,
        )
        yield CounterMetricFamily(
            "kelpjunction_start_permit_renewals",
            "Starts that waited for a comparison with the state service.",
            node.start_permits.renewals,
        )
        if node.ledger_writer is not None:
            yield GaugeMetricFamily(
                "kelpjunction_ledger_entry", "The last entry known.", node.ledger_writer.last_entry_number
            )


def _labelled_counter(name: str, text: str, label: str, counts: Mapping[Enum, float]) -> CounterMetricFamily:
    """Build a counter with one labelled value for each enumeration member in `counts`."""
    family = CounterMetricFamily(name, text, labels=[label])
    for member, count in counts.items():
        family.add_metric([member.value], count)
    return family
