"""Hold one organisation's use on one daemon to its slice of the contract's limits."""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["Allowance", "DemandMeter", "LocalLimiter", "Refusal", "TokenBucket"]

_BURST_SECONDS = 1.0
_DEMAND_HALF_LIFE_SECONDS = 1.0
# Nobody knows when a place comes free; slices follow their callers within about a second.
_CONCURRENCY_RETRY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Allowance:
    """Give rates per second and concurrency that may be used."""

    requests_per_second: float
    tokens_per_second: float
    concurrency: int

    def scaled(self, part: float) -> Allowance:
        """Return a part of the allowance; concurrency is rounded down."""
        return Allowance(
            self.requests_per_second * part,
            self.tokens_per_second * part,
            math.floor(self.concurrency * part + 1e-9),
        )


@dataclass(frozen=True, slots=True)
class Refusal:
    """Tell which limit refused and when to come back, in seconds."""

    limit: str
    retry_after: float


class TokenBucket:
    """Fill at a rate; may be overdrawn by one taking, which later takings wait for."""

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._level = rate * _BURST_SECONDS
        self._updated_at = now

    def set_rate(self, rate: float, now: float) -> float:
        """Change the rate and return what no longer fits; what has been overdrawn stays."""
        self._refill(now)
        self._rate = rate
        over = max(0.0, self._level - self._capacity())
        self._level -= over
        return over

    def empty(self, now: float) -> None:
        """Take all that is left."""
        self._refill(now)
        self._level = min(self._level, 0.0)

    def wait_seconds(self, now: float, amount: float = 0.0) -> float:
        """Return the seconds until something may be taken, 0 for now."""
        self._refill(now)
        missing = min(amount, self._capacity()) - self._level
        if missing <= 0 and self._level > 0:
            return 0.0
        if self._rate <= 0:
            return math.inf
        return max(missing, -self._level + 1e-9) / self._rate

    def take(self, amount: float, now: float) -> None:
        """Take an amount; a negative one gives back."""
        self._refill(now)
        self._level = min(self._level - amount, self._capacity())

    def _capacity(self) -> float:
        return max(1.0, self._rate * _BURST_SECONDS)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._level = min(self._capacity(), self._level + elapsed * self._rate)


class DemandMeter:
    """Measure what callers ask for, refused or not, with older demand fading."""

    def __init__(self, now: float, half_life: float = _DEMAND_HALF_LIFE_SECONDS) -> None:
        self._half_life = half_life
        self._updated_at = now
        self._requests = 0.0
        self._tokens = 0.0

    def add(self, tokens: float, now: float) -> None:
        """Count one request."""
        self._decay(now)
        self._requests += math.log(2) / self._half_life
        self._tokens += tokens * math.log(2) / self._half_life

    def rates(self, now: float) -> tuple[float, float]:
        """Return requests and tokens per second."""
        self._decay(now)
        return self._requests, self._tokens

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self._updated_at) / self._half_life)
        self._updated_at = now
        self._requests *= factor
        self._tokens *= factor


class LocalLimiter:
    """Admit or refuse one organisation's requests on this daemon."""

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
        """Return the slice in force."""
        return self._allowance

    def set_allowance(self, allowance: Allowance, now: float) -> None:
        """Change the slice."""
        if allowance == self._allowance:
            return
        self._allowance = allowance
        self._requests.set_rate(allowance.requests_per_second, now)
        self._tokens.set_rate(allowance.tokens_per_second, now)

    def add_burst(self, requests: float, tokens: float, now: float) -> None:
        """Take over the unused burst of a part of the limits that came to this daemon."""
        self._requests.take(-requests, now)
        self._tokens.take(-tokens, now)

    def acquire(self, tokens: int, now: float) -> Refusal | None:
        """Take room for a request, or return why there is none."""
        self.demand.add(tokens, now)
        return self.retry_acquire(tokens, now)

    def retry_acquire(self, tokens: int, now: float) -> Refusal | None:
        """Try once more for a request that is counted as demand already."""
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

    def refusal(self, now: float) -> Refusal | None:
        """Return why there is no room for a request now, or None."""
        if self.in_flight >= self._allowance.concurrency:
            return Refusal("concurrency", _CONCURRENCY_RETRY_SECONDS)
        wait = self._requests.wait_seconds(now, 1.0)
        if wait > 0:
            return Refusal("requests_per_second", wait)
        wait = self._tokens.wait_seconds(now)
        return Refusal("tokens_per_second", wait) if wait > 0 else None

    def release(self, estimated_tokens: int, actual_tokens: int, now: float) -> None:
        """Give the request's place back and correct its tokens by what it really used."""
        self.in_flight = max(0, self.in_flight - 1)
        self._tokens.take(actual_tokens - estimated_tokens, now)

    def pop_concurrency_demand(self) -> int:
        """Return how many requests would have run at once, since last asked, if nothing held them.

        The most that ran counts, not what runs now: a daemon that asked between two requests was
        lent 8 places of 30 where the two others, as busy, got 9 and 11.
        """
        wanted = self.peak_in_flight + min(self.concurrency_refusals, self.peak_in_flight + 1)
        self.concurrency_refusals = 0
        self.peak_in_flight = self.in_flight
        return wanted
