"""Retry policy and retry budget for failed requests."""

from __future__ import annotations

import random
from dataclasses import dataclass

from brassdrum.errors import BrassdrumError, EndpointUnreachableError, Ran

__all__ = ["RetryBudget", "RetryDecision", "RetryPolicy"]

_BASE_DELAY_SECONDS = 0.02
_MAX_DELAY_SECONDS = 2.0
_MAX_ATTEMPTS = 4
# Refused connections of one request; each is to another endpoint while there are any.
_MAX_UNREACHED = 8
_INITIAL_RETRIES = 10.0


class RetryBudget:
    """Limit retries to a share of the requests, to avoid retry storms."""

    def __init__(self, share: float) -> None:
        self._share = share
        self._available = _INITIAL_RETRIES

    def record_request(self) -> None:
        """Add to the budget for a first attempt."""
        self._available = min(self._available + self._share, _INITIAL_RETRIES * 10)

    def spend(self) -> bool:
        """Take one retry from the budget; return False if it is exhausted."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Whether to retry, after which delay, or the reason why not."""

    retry: bool
    delay_seconds: float = 0.0
    reason: str = ""


class RetryPolicy:
    """Allow retries only if the request did not run or is safe to repeat."""

    def __init__(self, budget: RetryBudget, rng: random.Random) -> None:
        self._budget = budget
        self._random = rng

    def decide(
        self,
        error: BrassdrumError,
        *,
        attempt: int,
        unreached: int = 0,
        repeatable: bool,
        response_started: bool,
        time_left: float,
    ) -> RetryDecision:
        """Return the decision after a failed attempt.

        ``attempt`` counts those that reached an endpoint, ``unreached`` the others.
        """
        if response_started:
            return RetryDecision(False, reason="part of the response was sent")
        if error.ran is not Ran.NO and not repeatable:
            return RetryDecision(False, reason="it may have run and is not repeatable")
        if attempt >= _MAX_ATTEMPTS or unreached >= _MAX_UNREACHED:
            return RetryDecision(False, reason="maximum number of attempts reached")
        max_delay = min(_MAX_DELAY_SECONDS, _BASE_DELAY_SECONDS * 2**attempt)
        delay = self._random.uniform(0.0, max_delay)
        if delay >= time_left:
            return RetryDecision(False, reason="deadline too close")
        # A refused connection puts no load on an endpoint, so only its own limit applies;
        # otherwise a single unreachable endpoint would exhaust the budget.
        if not isinstance(error, EndpointUnreachableError) and not self._budget.spend():
            return RetryDecision(False, reason="retry budget exhausted")
        return RetryDecision(True, delay)
