"""Say for how long an endpoint may be silent before a request is sent again; a pure decision."""

from __future__ import annotations

from brassdrum.gateway.model import Route, RouteKind

__all__ = ["prefill_explains_stall", "stall_extension", "stall_timeout"]

# A stream is given up at an endpoint when its first event is later than its objective, this
# slack and this many times the prediction; sending it again reads the whole prompt again.
_FIRST_EVENT_FACTOR = 2.0
_FIRST_EVENT_SLACK_SECONDS = 0.7
# Later on it is given up when it pauses this much longer than its route allows: late it is then in
# any case, and callers wait for 2 s at least.
_PAUSE_FACTOR = 1.6
_PAUSE_SLACK_SECONDS = 0.8
# Work of this length explains a silence that is longer than allowed. Prompts are read in passes
# with streams, which takes up to a third longer than reading alone.
_MIN_EXPLAINING_PREFILL_SECONDS = 0.3
_PREFILL_FACTOR = 1.3
# The part of the caller's patience that known work may use up: the rest is for another endpoint.
_CALLER_TIMEOUT_SHARE = 0.8
_MIN_EXTENSION_SECONDS = 0.05


def prefill_explains_stall(prefill_seconds: float) -> bool:
    """Return whether an endpoint with seconds of reading may be silent and sound."""
    return prefill_seconds >= _MIN_EXPLAINING_PREFILL_SECONDS


def stall_extension(elapsed: float, caller_timeout: float, prefill_seconds: float) -> float | None:
    """Return for how many more seconds known work explains an endpoint's silence, or None.

    ``reading`` is what the endpoint has to read, ``silent`` how long it was silent so far, both in
    seconds. Prompts that are sent again are read again: on a busy fleet that makes others silent.
    """
    if not prefill_explains_stall(prefill_seconds):
        return None
    extension = min(
        prefill_seconds * _PREFILL_FACTOR, caller_timeout * _CALLER_TIMEOUT_SHARE - elapsed
    )
    return extension if extension > _MIN_EXTENSION_SECONDS else None


def stall_timeout(route: Route, predicted_ms: float | None) -> float:
    """Return seconds; ``predicted_ms`` is the time to the first event, None once that came."""
    if route.kind is RouteKind.IDEMPOTENT:
        return route.objective
    if predicted_ms is None:
        return route.longest_pause * _PAUSE_FACTOR + _PAUSE_SLACK_SECONDS
    return route.objective + _FIRST_EVENT_SLACK_SECONDS + _FIRST_EVENT_FACTOR * predicted_ms / 1000
