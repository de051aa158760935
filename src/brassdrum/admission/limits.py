"""Enforce one organisation's slice of the contract's limits on one daemon."""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = [
    "NO_SLICE_LIMIT",
    "Allowance",
    "DemandMeter",
    "LocalLimiter",
    "Refusal",
    "TokenBucket",
]

# Names, in a refusal, that no slice of the limits was in force.
NO_SLICE_LIMIT = "slice"

_BURST_SECONDS = 1.0
_DEMAND_HALF_LIFE_SECONDS = 1.0
# Slices follow demand within about a second; the end of a request cannot be predicted.
_CONCURRENCY_RETRY_SECONDS = 1.0
_NO_SLICE_RETRY_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class Allowance:
    """Permitted rates per second and concurrency."""

    requests_per_second: float
    tokens_per_second: float
    concurrency: int

    def scaled(self, fraction: float) -> Allowance:
        """Return a fraction of the allowance, with concurrency rounded down."""
        return Allowance(
            self.requests_per_second * fraction,
            self.tokens_per_second * fraction,
            math.floor(self.concurrency * fraction + 1e-9),
        )


@dataclass(frozen=True, slots=True)
class Refusal:
    """The limit that was exceeded and the delay in seconds before a retry."""

    limit: str
    retry_after: float


class TokenBucket:
    """Token bucket that one withdrawal may overdraw; later ones wait until it has refilled."""

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._level = rate * _BURST_SECONDS
        self._updated_at = now

    def set_rate(self, rate: float, now: float) -> float:
        """Change the rate and return the excess over the new capacity; a deficit remains."""
        self._refill(now)
        self._rate = rate
        excess = max(0.0, self._level - self._capacity())
        self._level -= excess
        return excess

    def empty(self, now: float) -> None:
        """Discard the remaining tokens."""
        self._refill(now)
        self._level = min(self._level, 0.0)

    def wait_seconds(self, now: float, amount: float = 0.0) -> float:
        """Return the seconds until a withdrawal is permitted; 0 if it is now."""
        self._refill(now)
        missing = min(amount, self._capacity()) - self._level
        if missing <= 0 and self._level > 0:
            return 0.0
        if self._rate <= 0:
            return math.inf
        return max(missing, -self._level + 1e-9) / self._rate

    def take(self, amount: float, now: float) -> None:
        """Withdraw an amount; a negative one is a deposit."""
        self._refill(now)
        self._level = min(self._level - amount, self._capacity())

    def _capacity(self) -> float:
        return max(1.0, self._rate * _BURST_SECONDS)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._level = min(self._capacity(), self._level + elapsed * self._rate)


class DemandMeter:
    """Exponentially decaying rates of requested work, refused requests included."""

    def __init__(self, now: float, half_life_seconds: float = _DEMAND_HALF_LIFE_SECONDS) -> None:
        self._half_life_seconds = half_life_seconds
        self._updated_at = now
        self._requests = 0.0
        self._tokens = 0.0

    def add(self, tokens: float, now: float) -> None:
        """Record one request."""
        self._decay(now)
        self._requests += math.log(2) / self._half_life_seconds
        self._tokens += tokens * math.log(2) / self._half_life_seconds

    def rates(self, now: float) -> tuple[float, float]:
        """Return the rates as requests and tokens per second."""
        self._decay(now)
        return self._requests, self._tokens

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self._updated_at) / self._half_life_seconds)
        self._updated_at = now
        self._requests *= factor
        self._tokens *= factor


class LocalLimiter:
    """Limits one organisation's requests on this daemon."""

    def __init__(self, allowance: Allowance, now: float) -> None:
        self._allowance = allowance
        self._requests = TokenBucket(allowance.requests_per_second, now)
        self._tokens = TokenBucket(allowance.tokens_per_second, now)
        self.demand = DemandMeter(now)
        self.in_flight = 0
        self.peak_in_flight = 0
        self.concurrency_refusals = 0

    @property
    def allowance(self) -> Allowance:
        """The slice in force."""
        return self._allowance

    def set_allowance(self, allowance: Allowance, now: float) -> None:
        """Replace the slice in force."""
        if allowance == self._allowance:
            return
        self._allowance = allowance
        self._requests.set_rate(allowance.requests_per_second, now)
        self._tokens.set_rate(allowance.tokens_per_second, now)

    def add_burst(self, requests: float, tokens: float, now: float) -> None:
        """Add unused burst that was transferred with a granted rate."""
        self._requests.take(-requests, now)
        self._tokens.take(-tokens, now)

    def acquire(self, tokens: int, now: float) -> Refusal | None:
        """Admit a request, or return the limit that refuses it."""
        self.demand.add(tokens, now)
        return self.retry_acquire(tokens, now)

    def retry_acquire(self, tokens: int, now: float) -> Refusal | None:
        """Retry a request without counting it as demand again."""
        refusal = self.refusal(now)
        if refusal is not None:
            if refusal.limit == "concurrency":
                self.concurrency_refusals += 1
            return refusal
        self._requests.take(1.0, now)
        self._tokens.take(tokens, now)
        self.in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)
        return None

    def refuse_without_slice(self, tokens: int, now: float) -> Refusal:
        """Count a request that arrives while no slice is in force, and refuse it."""
        self.demand.add(tokens, now)
        self.concurrency_refusals += 1
        return Refusal(NO_SLICE_LIMIT, _NO_SLICE_RETRY_SECONDS)

    def refusal(self, now: float) -> Refusal | None:
        """Return the limit that would refuse a request now, or None."""
        if self.in_flight >= self._allowance.concurrency:
            return Refusal("concurrency", _CONCURRENCY_RETRY_SECONDS)
        wait = self._requests.wait_seconds(now, 1.0)
        if wait > 0:
            return Refusal("requests_per_second", wait)
        wait = self._tokens.wait_seconds(now)
        return Refusal("tokens_per_second", wait) if wait > 0 else None

    def release(self, estimated_tokens: int, actual_tokens: int, now: float) -> None:
        """Release a request's slot and replace its estimated tokens by the actual number."""
        self.in_flight = max(0, self.in_flight - 1)
        self._tokens.take(actual_tokens - estimated_tokens, now)

    def pop_concurrency_demand(self) -> int:
        """Return the peak concurrency demanded since the last call, and reset it.

        Uses the peak, because the number in flight may be low at the moment of a renewal.
        """
        demand = self.peak_in_flight + min(self.concurrency_refusals, self.peak_in_flight + 1)
        self.concurrency_refusals = 0
        self.peak_in_flight = self.in_flight
        return demand
