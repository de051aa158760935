"""Estimate, in tokens, the value lost by stalling other streams or answering late."""

from __future__ import annotations

from brassdrum.gateway.placing.load import EndpointLoad

__all__ = ["blocked_tokens", "delayed_prefill_tokens", "lateness_tokens", "stalled_stream_tokens"]

# The share of an answer's value that is lost once its objective is missed: a late one earns about a
# quarter.
_LATE_LOSS_SHARE = 0.75
# Predicted time to the first event, as a share of the objective, at which the risk of lateness
# starts and at which lateness is certain.
_LATENESS_START = 0.7
_LATENESS_CERTAIN = 1.1
# The same bounds for abandonment: callers leave after four times the objective.
_ABANDONMENT_START = 2.0
_ABANDONMENT_CERTAIN = 3.5
# Engines prefill the newest part first, so a new part delays earlier ones by its duration; a prompt
# delayed by this much counts as late. Objectives of split prompts are 1.5 to 4 s.
_PREFILL_DELAY_LIMIT_MS = 1000.0
# Added to the tokens of each stream, so that short streams still carry weight.
_TOKENS_PER_STREAM = 5_000
# Parts up to this duration fit the pauses that long prompts allow; a longer one keeps its engine
# from other work, which is charged at about the engine's decode throughput: 8 streams of 5,000
# tokens in 1.7 s.
_BLOCKING_START_MS = 700.0
_BLOCKED_TOKENS_PER_SECOND = 25_000


def stalled_stream_tokens(load: EndpointLoad) -> float:
    """Return the loss of the streams at an engine if a pass exceeds their allowed pause."""
    return _LATE_LOSS_SHARE * (load.decode_memory + _TOKENS_PER_STREAM * load.streams)


def delayed_prefill_tokens(load: EndpointLoad, part_ms: float) -> float:
    """Return the loss of split prompts queued at an engine if a newer part runs first."""
    return (
        _LATE_LOSS_SHARE * load.split_prefill_tokens * min(1.0, part_ms / _PREFILL_DELAY_LIMIT_MS)
    )


def blocked_tokens(part_ms: float, utilization: float) -> float:
    """Return the loss caused by a long part, which keeps its engine from other requests.

    ``utilization`` is the share of the fleet in use, a measure of the demand that is displaced.
    """
    return max(0.0, part_ms - _BLOCKING_START_MS) / 1000 * _BLOCKED_TOKENS_PER_SECOND * utilization


def lateness_tokens(tokens: int, share: float) -> float:
    """Return the loss by a first event predicted after a share of the objective.

    The loss rises linearly between the bounds because predictions are inexact.
    """
    late_risk = _ramp(share, _LATENESS_START, _LATENESS_CERTAIN)
    abandonment_risk = _ramp(share, _ABANDONMENT_START, _ABANDONMENT_CERTAIN)
    return tokens * (_LATE_LOSS_SHARE * late_risk + (1 - _LATE_LOSS_SHARE) * abandonment_risk)


def _ramp(value: float, start: float, end: float) -> float:
    return min(1.0, max(0.0, (value - start) / (end - start)))
