"""Count and measure by OpenTelemetry, shown on a Prometheus page."""

from __future__ import annotations

import prometheus_client
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource

__all__ = ["Metrics"]


class Metrics:
    """Hold a daemon's instruments."""

    def __init__(self, daemon: str) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        # One registry a daemon: two daemons of one process must not share a page.
        reader = PrometheusMetricReader(registry=self._registry)
        self._provider = MeterProvider(
            metric_readers=[reader],
            resource=Resource.create({"service.name": "brassdrum", "service.instance.id": daemon}),
        )
        meter = self._provider.get_meter("brassdrum")
        self.requests = meter.create_counter(
            "brassdrum_requests", description="Requests by organisation, target and result."
        )
        self.first_token = meter.create_histogram(
            "brassdrum_first_token_seconds",
            unit="s",
            description="Time to first token by length band.",
        )
        self.queue_wait = meter.create_histogram(
            "brassdrum_queue_seconds", unit="s", description="Time in the queue by length band."
        )
        self.tokens = meter.create_counter(
            "brassdrum_tokens", description="Tokens by organisation and kind."
        )
        self.retries = meter.create_counter(
            "brassdrum_retries", description="Attempts after the first, by reason."
        )
        self.dropped_events = meter.create_counter(
            "brassdrum_dropped_events", description="Engine events never shown, by verdict."
        )
        self.observer_failures = meter.create_counter(
            "brassdrum_observer_failures", description="Failures of metrics, traces and logs."
        )

    def page(self) -> bytes:
        """Return the Prometheus page."""
        return prometheus_client.generate_latest(self._registry)

    def close(self) -> None:
        """Stop collecting."""
        self._provider.shutdown()
