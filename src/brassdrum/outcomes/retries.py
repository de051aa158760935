"""Decide whether a failed request may be tried again, and when."""

from __future__ import annotations

import random
from dataclasses import dataclass

from brassdrum.errors import BrassdrumError, EndpointUnreachableError, Ran

__all__ = ["RetryBudget", "RetryDecision", "RetryPolicy"]

_BASE_DELAY_SECONDS = 0.02
_MAX_DELAY_SECONDS = 2.0
_MAX_ATTEMPTS = 4
_INITIAL_RETRIES = 10.0


class RetryBudget:
    """Keep retries below a share of the requests, so that failures cause no storm."""

    def __init__(self, share: float) -> None:
        self._share = share
        self._available = _INITIAL_RETRIES

    def record_request(self) -> None:
        """Earn a part of a retry by a first attempt."""
        self._available = min(self._available + self._share, _INITIAL_RETRIES * 10)

    def spend(self) -> bool:
        """Take one retry, or return False when none is left."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Tell whether to try again, after how many seconds, or why not."""

    retry: bool
    delay_seconds: float = 0.0
    reason: str = ""


class RetryPolicy:
    """Allow repeats only where nothing ran or repeating does no harm."""

    def __init__(self, budget: RetryBudget, rng: random.Random) -> None:
        self._budget = budget
        self._random = rng

    def decide(
        self,
        error: BrassdrumError,
        *,
        attempt: int,
        repeatable: bool,
        response_started: bool,
        time_left: float,
    ) -> RetryDecision:
        """Return what to do after the given attempt, counted from 1, failed."""
        if response_started:
            return RetryDecision(False, reason="part of the answer was sent")
        if error.ran is not Ran.NO and not repeatable:
            return RetryDecision(False, reason="it may have run and may not be repeated")
        if attempt >= _MAX_ATTEMPTS:
            return RetryDecision(False, reason="attempts used up")
        longest = min(_MAX_DELAY_SECONDS, _BASE_DELAY_SECONDS * 2**attempt)
        pause = self._random.uniform(0.0, longest)
        if pause >= time_left:
            return RetryDecision(False, reason="no time left")
        # A refused connection burdens no endpoint; only the attempts of the request bound it. Paid
        # from the budget, one dead engine of three used up 8 of 13 retries in a second.
        if not isinstance(error, EndpointUnreachableError) and not self._budget.spend():
            return RetryDecision(False, reason="retry budget used up")
        return RetryDecision(True, pause)
