"""Timeouts after which a stalled endpoint's request is sent to another one."""

from __future__ import annotations

from brassdrum.gateway.model import Route, RouteKind

__all__ = ["prefill_explains_stall", "stall_extension", "stall_timeout"]

# Tolerance beyond the objective for the first event; a resend repeats the whole prefill.
_FIRST_EVENT_FACTOR = 2.0
_FIRST_EVENT_SLACK_SECONDS = 0.7
# A pause within this tolerance already makes the response late, but callers wait longer than that.
_PAUSE_FACTOR = 1.6
_PAUSE_SLACK_SECONDS = 0.8
# Queued prefill of at least this length explains a stall.
_MIN_EXPLAINING_PREFILL_SECONDS = 0.3
_PREFILL_FACTOR = 1.3  # batching with decoding slows prefill by up to a third
# Share of the caller's timeout that an extension may use; the rest is left for a resend.
_CALLER_TIMEOUT_SHARE = 0.8
_MIN_EXTENSION_SECONDS = 0.05


def prefill_explains_stall(prefill_seconds: float) -> bool:
    """Return whether queued prefill explains why a healthy endpoint sends no events."""
    return prefill_seconds >= _MIN_EXPLAINING_PREFILL_SECONDS


def stall_extension(elapsed: float, caller_timeout: float, prefill_seconds: float) -> float | None:
    """Return the seconds by which queued prefill extends a stall timeout, or None.

    ``elapsed`` is the time waited so far, in seconds. Resends repeat the prefill, which
    would cause further stalls on a busy fleet.
    """
    if not prefill_explains_stall(prefill_seconds):
        return None
    extension = min(
        prefill_seconds * _PREFILL_FACTOR, caller_timeout * _CALLER_TIMEOUT_SHARE - elapsed
    )
    return extension if extension > _MIN_EXTENSION_SECONDS else None


def stall_timeout(route: Route, predicted_ms: float | None) -> float:
    """Return the stall timeout in seconds.

    ``predicted_ms`` is the predicted time to the first event, None once that has arrived.
    """
    if route.kind is RouteKind.IDEMPOTENT:
        return route.objective
    if predicted_ms is None:
        return route.pause_objective * _PAUSE_FACTOR + _PAUSE_SLACK_SECONDS
    return route.objective + _FIRST_EVENT_SLACK_SECONDS + _FIRST_EVENT_FACTOR * predicted_ms / 1000
