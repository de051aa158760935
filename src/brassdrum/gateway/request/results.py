"""Record how requests ended, in the log and in the metrics."""

from __future__ import annotations

import logging

from brassdrum.gateway.measures import GatewayMetrics
from brassdrum.gateway.request.exchange_context import TrackedExchange
from brassdrum.gateway.request.outcome import Outcome
from brassdrum.telemetry import log_events

__all__ = ["record_result"]


def record_result(
    logger: logging.Logger,
    metrics: GatewayMetrics,
    exchange: TrackedExchange,
    outcome: Outcome,
    status: int,
    detail: str,
    version: int,
) -> None:
    """Log the result of a request, and update the metrics.

    ``version`` is that of the configuration in force at the end of the request.
    """
    report = exchange.latency_report()
    metrics.record_result(exchange, outcome, report)
    values = {
        "request": exchange.request.id,
        "route": exchange.route.name,
        "status": status,
        "ms": report.total_ms,
        "first_ms": report.first_event_ms,
        "prompt": exchange.request.prompt_tokens,
        "sends": exchange.send_count,
        "version": version,
        "sender": exchange.sender,
    }
    delivered = {
        "pause_ms": report.longest_pause_ms,
        "framing": exchange.answer_framing,
        "partial": exchange.partial_event_bytes,
    }
    story = exchange.story.decisions
    if outcome is not Outcome.SERVED:
        log_events.FAILED.write(
            logger,
            content=exchange.traits.content,
            outcome=outcome.name.lower(),
            detail=detail,
            gave_up=exchange.gave_up,
            story=story,
            **values,
        )
    elif report.late:
        log_events.LATE.write(logger, story=story, **values, **delivered)
    else:
        log_events.SERVED.write(logger, **values, **delivered)
