"""Say for how long an endpoint may be silent before a request is sent again; a pure decision."""

from __future__ import annotations

from brassdrum.gateway.model import Route, RouteKind

__all__ = ["allowed_silence", "explained_silence", "work_explains"]

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
_EXPLAINED_SECONDS = 0.3
_READING_FACTOR = 1.3
# The part of the caller's patience that known work may use up: the rest is for another endpoint.
_PATIENCE_SHARE = 0.8
_LEAST_MORE_SECONDS = 0.05


def work_explains(reading: float) -> bool:
    """Return whether an endpoint with seconds of reading may be silent and sound."""
    return reading >= _EXPLAINED_SECONDS


def explained_silence(silent: float, patience: float, reading: float) -> float | None:
    """Return for how many more seconds known work explains an endpoint's silence, or None.

    ``reading`` is what the endpoint has to read, ``silent`` how long it was silent so far, both in
    seconds. Prompts that are sent again are read again: on a busy fleet that makes others silent.
    """
    if not work_explains(reading):
        return None
    more = min(reading * _READING_FACTOR, patience * _PATIENCE_SHARE - silent)
    return more if more > _LEAST_MORE_SECONDS else None


def allowed_silence(route: Route, predicted_ms: float | None) -> float:
    """Return seconds; ``predicted_ms`` is the time to the first event, None once that came."""
    if route.kind is RouteKind.IDEMPOTENT:
        return route.objective
    if predicted_ms is None:
        return route.longest_pause * _PAUSE_FACTOR + _PAUSE_SLACK_SECONDS
    return route.objective + _FIRST_EVENT_SLACK_SECONDS + _FIRST_EVENT_FACTOR * predicted_ms / 1000
