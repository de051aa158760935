"""OpenTelemetry instruments of a gateway daemon.

Imported when the metrics are set up, after the start: the libraries cost 0.1 s of processor time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

import prometheus_client
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource

__all__ = ["MetricsRegistry"]

_PREFIX = "brassdrum_gateway_"
# Actual over predicted time to the first event; accurate predictions are close to 1.
_RATIO_BUCKETS = (0.25, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10)
_SECONDS_BUCKETS = (0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 4, 6, 10)
_DESCRIPTION_BY_COUNTER = {
    "requests": "Requests by band, outcome and timeliness.",
    "refusals": "Requests refused at the border, by status.",
    "taken_over": "Requests that another daemon handed over.",
    "unread_connections": "Connections of callers closed before their request was read.",
    "cut_connections": "Connections closed under a request that no endpoint had, by stage.",
    "endpoint_ends": "Endpoints seen to end under requests.",
    "sends": "Attempts at endpoints, by band.",
    "given_up_attempts": "Attempts ended because their endpoint was silent, by outcome.",
}
_UNIT_AND_DESCRIPTION_BY_HISTOGRAM = {
    "first_event_time": ("s", "Time to first event."),
    "longest_pause_time": ("s", "Longest pause."),
    "prediction_ratio": ("", "Time from send to first event over what was predicted."),
    "answer_time": ("s", "Time to the whole answer."),
}


class MetricsRegistry:
    """Instruments by name, and the page that shows them."""

    def __init__(self, daemon: str) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        buckets = ExplicitBucketHistogramAggregation(_SECONDS_BUCKETS)
        ratios = ExplicitBucketHistogramAggregation(_RATIO_BUCKETS)
        self._provider = MeterProvider(
            metric_readers=[reader],
            views=[
                View(instrument_name=f"{_PREFIX}*_time", aggregation=buckets),
                View(instrument_name=f"{_PREFIX}*_ratio", aggregation=ratios),
            ],
            resource=Resource({"service.name": "brassdrum", "service.instance.id": daemon}),
        )
        self._meter = self._provider.get_meter("brassdrum.gateway")
        self._record_by_instrument: dict[str, Callable] = {}
        for name, text in _DESCRIPTION_BY_COUNTER.items():
            counter = self._meter.create_counter(_PREFIX + name, description=text)
            self._record_by_instrument[name] = counter.add
        for name, (unit, text) in _UNIT_AND_DESCRIPTION_BY_HISTOGRAM.items():
            histogram = self._meter.create_histogram(_PREFIX + name, unit=unit, description=text)
            self._record_by_instrument[name] = histogram.record

    def record(self, instrument: str, value: float, attributes: Mapping[str, str]) -> None:
        """Add to a counter, or record a value in a histogram."""
        self._record_by_instrument[instrument](value, attributes)

    def add_gauge(
        self, name: str, description: str, value: Callable[[], float | Mapping[str, int]]
    ) -> None:
        """Add a gauge whose value, or values by organisation, are read at each scrape."""

        def observe(_options: CallbackOptions) -> Iterable[Observation]:
            read = value()
            if not isinstance(read, Mapping):
                return [Observation(read)]
            return [Observation(each, {"organisation": name}) for name, each in read.items()]

        self._meter.create_observable_gauge(
            _PREFIX + name, callbacks=[observe], description=description
        )

    def page(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)
