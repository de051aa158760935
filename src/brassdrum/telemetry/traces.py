"""Record a span for each hop of a request and pass the trace on by W3C ``traceparent``."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from contextlib import contextmanager

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, SpanProcessor
from opentelemetry.sdk.trace.sampling import ALWAYS_OFF, ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from brassdrum.settings import TelemetrySettings

__all__ = ["RequestTrace", "Tracing"]

_PROPAGATOR = TraceContextTextMapPropagator()


class RequestTrace:
    """Hold the root span of one request and open a child for each hop."""

    def __init__(self, tracer: trace.Tracer, span: trace.Span) -> None:
        self._tracer = tracer
        self._span = span
        self._context = trace.set_span_in_context(span)

    @property
    def trace_id(self) -> str:
        """Return the trace id as 32 hexadecimal digits."""
        return f"{self._span.get_span_context().trace_id:032x}"

    def traceparent(self) -> str | None:
        """Return the header that passes the trace on."""
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(carrier, self._context)
        return carrier.get("traceparent")

    @contextmanager
    def hop(self, name: str, **attributes: str | int | float) -> Iterator[trace.Span]:
        """Record a hop as a child span; a trace that nobody exports costs nothing."""
        if not self._span.is_recording():
            yield self._span
            return
        with self._tracer.start_as_current_span(
            name, context=self._context, attributes=attributes
        ) as span:
            yield span

    def event(self, name: str, **attributes: str | int | float) -> None:
        """Record a moment on the root span."""
        self._span.add_event(name, attributes)

    def set(self, name: str, value: str | int | float) -> None:
        """Set an attribute of the root span."""
        self._span.set_attribute(name, value)

    def end(self) -> None:
        """End the root span."""
        self._span.end()


class Tracing:
    """Make spans and export them by OTLP when an endpoint is set."""

    def __init__(
        self, settings: TelemetrySettings, daemon: str, processor: SpanProcessor | None = None
    ) -> None:
        exported = settings.otlp_endpoint is not None or processor is not None
        sampler = TraceIdRatioBased(settings.sample_ratio) if exported else ALWAYS_OFF
        resource = Resource.create({"service.name": "brassdrum", "service.instance.id": daemon})
        self._provider = TracerProvider(
            sampler=ParentBased(sampler) if exported else sampler, resource=resource
        )
        if settings.otlp_endpoint is not None:
            # Imported here: 3.5 MB that a daemon without an exporter does not need.
            from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter

            exporter = OTLPSpanExporter(endpoint=settings.otlp_endpoint)
            self._provider.add_span_processor(BatchSpanProcessor(exporter))
        if processor is not None:
            self._provider.add_span_processor(processor)
        self._tracer = self._provider.get_tracer("brassdrum")

    def request(self, name: str, headers: Mapping[str, str]) -> RequestTrace:
        """Begin the root span of a request, under the caller's trace when it sent one."""
        context = _PROPAGATOR.extract(headers)
        return RequestTrace(self._tracer, self._tracer.start_span(name, context=context))

    def close(self) -> None:
        """Export what is left."""
        self._provider.shutdown()
