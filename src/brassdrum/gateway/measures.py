"""Counters, histograms and gauges of one gateway daemon, by OpenTelemetry."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import prometheus_client
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource

from brassdrum.gateway.following.follower import Follower
from brassdrum.gateway.following.knowledge import Knowledge
from brassdrum.gateway.guards.crash_guard import CrashGuard
from brassdrum.gateway.model import ControlStore
from brassdrum.gateway.net.upstream import EndpointPool
from brassdrum.gateway.peering.peers import Peers
from brassdrum.gateway.request.exchange import Exchange
from brassdrum.gateway.request.outcome import LatencyReport, Outcome

__all__ = ["GatewayMetrics", "MetricsSources"]

# Bounds of the bands of prompt length, in tokens, as the glossary names them.
_SHORT_TOKENS = 10_000
_LONG_TOKENS = 100_000
# The first event's time over its prediction: a model that is right fills the two around 1.
_RATIOS = (0.25, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10)
_SECONDS = (0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 4, 6, 10)


@dataclass(frozen=True, slots=True)
class MetricsSources:
    """Hold what gauges look at when the page is asked for."""

    knowledge: Knowledge
    follower: Follower
    peers: Peers
    pool: EndpointPool
    store: ControlStore
    guard: CrashGuard


class GatewayMetrics:
    """Count what happens to requests and show what the daemon believes."""

    def __init__(self, daemon: str) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        buckets = ExplicitBucketHistogramAggregation(_SECONDS)
        ratios = ExplicitBucketHistogramAggregation(_RATIOS)
        self._provider = MeterProvider(
            metric_readers=[reader],
            views=[
                View(instrument_name="brassdrum_gateway_*_time", aggregation=buckets),
                View(instrument_name="brassdrum_gateway_*_ratio", aggregation=ratios),
            ],
            resource=Resource({"service.name": "brassdrum", "service.instance.id": daemon}),
        )
        meter = self._provider.get_meter("brassdrum.gateway")
        self._meter = meter
        self._requests = meter.create_counter(
            "brassdrum_gateway_requests", description="Requests by band, outcome and timeliness."
        )
        self._refusals = meter.create_counter(
            "brassdrum_gateway_refusals", description="Requests refused at the border, by status."
        )
        self._endpoint_ends = meter.create_counter(
            "brassdrum_gateway_endpoint_ends", description="Endpoints seen to end under requests."
        )
        self._sends = meter.create_counter(
            "brassdrum_gateway_sends", description="Attempts at endpoints, by band."
        )
        self._first = meter.create_histogram(
            "brassdrum_gateway_first_event_time", unit="s", description="Time to first event."
        )
        self._pause = meter.create_histogram(
            "brassdrum_gateway_longest_pause_time", unit="s", description="Longest pause."
        )
        self._prediction = meter.create_histogram(
            "brassdrum_gateway_prediction_ratio",
            description="Time from send to first event over what was predicted.",
        )
        self._whole = meter.create_histogram(
            "brassdrum_gateway_answer_time", unit="s", description="Time to the whole answer."
        )

    def ended(self, exchange: Exchange, outcome: Outcome, report: LatencyReport) -> None:
        """Count a request that got its final answer."""
        band = {"band": _band(exchange.request.prompt_tokens)}
        named = {**band, "outcome": outcome.name.lower(), "late": str(report.late).lower()}
        self._requests.add(1, named)
        self._sends.add(exchange.send_count, band)
        self._whole.record(report.total_ms / 1000, band)
        if report.first_event_ms is not None:
            self._first.record(report.first_event_ms / 1000, band)
            self._pause.record(report.longest_pause_ms / 1000, band)
        if report.prediction_ratio is not None:
            self._prediction.record(report.prediction_ratio, band)

    def refused(self, status: int) -> None:
        """Count a request that no endpoint was chosen for."""
        self._refusals.add(1, {"status": str(status)})

    def endpoint_ended(self) -> None:
        """Count an endpoint whose process ended under requests of this daemon."""
        self._endpoint_ends.add(1)

    def watch(self, sources: MetricsSources) -> None:
        """Show what the daemon believes, looked up when the page is asked for."""
        knowledge, follower = sources.knowledge, sources.follower
        self._gauge("version", "Version in force.", lambda: knowledge.version)
        self._gauge("known_age", "Seconds since the store was read.", lambda: follower.age() or 0)
        self._gauge("endpoints", "Endpoints known.", lambda: len(knowledge.endpoints_by_id))
        self._gauge("peers", "Live daemons, this one too.", lambda: sources.peers.live)
        self._gauge("peer_bytes", "Bytes of datagrams sent.", lambda: sources.peers.sent_bytes)
        self._gauge("quarantined", "Contents refused.", lambda: sources.guard.quarantined)
        self._gauge("store_calls", "Calls to the store.", lambda: sources.store.calls)
        self._gauge(
            "connections_opened", "Connections opened.", lambda: sources.pool.connections_opened
        )

    def count_dropped_lines(self, dropped: Mapping[str, int]) -> None:
        """Show how many log lines were left out."""
        self._gauge("log_lines_left_out", "Log lines left out.", lambda: sum(dropped.values()))

    def page(self) -> bytes:
        """Return the page that collectors read."""
        return prometheus_client.generate_latest(self._registry)

    def _gauge(self, name: str, description: str, value) -> None:
        def observe(_options: CallbackOptions) -> Iterable[Observation]:
            return [Observation(value())]

        self._meter.create_observable_gauge(
            f"brassdrum_gateway_{name}", callbacks=[observe], description=description
        )


def _band(tokens: int) -> str:
    if tokens == 0:
        return "call"
    if tokens < _SHORT_TOKENS:
        return "short"
    return "medium" if tokens < _LONG_TOKENS else "long"
