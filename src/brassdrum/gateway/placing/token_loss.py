"""Weigh in tokens what a placement takes from those who wait; pure decisions."""

from __future__ import annotations

from brassdrum.gateway.placing.load import EndpointLoad

__all__ = ["blocked_tokens", "delayed_prefill_tokens", "lateness_tokens", "stalled_stream_tokens"]

# An answer after its objective earns about a quarter: the share of its worth that is lost.
_LATE_SHARE = 0.75
# A first event predicted before this share of the objective comes in time, after the other late.
_SURELY_TIMELY = 0.7
_SURELY_LATE = 1.1
# Callers give a stream up when its first event takes four times its objective.
_SURELY_AWAITED = 2.0
_SURELY_ABANDONED = 3.5
# Engines read the newest part first, so a new part delays those that are there by its length; a
# prompt that is delayed by this much is late. Objectives of split prompts are 1.5 to 4 s.
_DELAY_MS = 1000.0
# A stream counts for this many tokens more than it holds: a caller waits for it, however short.
_STREAM_TOKENS = 5_000
# Parts up to this length fit the pauses of long prompts; what a longer one keeps away from its
# engine in a second is about what one engine writes in it: 8 streams of 5,000 tokens in 1.7 s.
_BLOCKING_MS = 700.0
_BLOCKED_TOKENS_PER_SECOND = 25_000


def stalled_stream_tokens(load: EndpointLoad) -> float:
    """Return what the streams at an engine lose by a pass that lasts too long."""
    return _LATE_SHARE * (load.decode_memory + _STREAM_TOKENS * load.streams)


def delayed_prefill_tokens(load: EndpointLoad, part_ms: float) -> float:
    """Return what prompts that an engine reads parts of lose by a newer part of a length."""
    return _LATE_SHARE * load.split_prefill_tokens * min(1.0, part_ms / _DELAY_MS)


def blocked_tokens(part_ms: float, pressure: float) -> float:
    """Return what a long part costs at its engine, which takes nothing else meanwhile.

    ``pressure`` is the share of all engines' places that is taken: what would come instead.
    """
    return max(0.0, part_ms - _BLOCKING_MS) / 1000 * _BLOCKED_TOKENS_PER_SECOND * pressure


def lateness_tokens(tokens: int, share: float) -> float:
    """Return the tokens lost by a first event after a share of the objective.

    Predictions err, so the loss grows gradually.
    """
    late = _ramp(share, _SURELY_TIMELY, _SURELY_LATE)
    abandoned = _ramp(share, _SURELY_AWAITED, _SURELY_ABANDONED)
    return tokens * (_LATE_SHARE * late + (1 - _LATE_SHARE) * abandoned)


def _ramp(value: float, start: float, end: float) -> float:
    return min(1.0, max(0.0, (value - start) / (end - start)))
