"""Estimate how much of the traffic has each trait of requests."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Sequence

__all__ = ["TraitFrequency"]

# The share is taken over this many responses, as far as they are not older.
_MAX_RESPONSES = 256
_MAX_AGE_SECONDS = 60.0
# With fewer responses no trait counts as frequent, nor as rarer than in one of these.
_MIN_RESPONSES = 16
# A trait of this share is at most crashes of a busy fleet by chance: with six requests in flight at
# an endpoint, at one in nine.
_FREQUENT_SHARE = 0.02


class TraitFrequency:
    """Count the traits of the last complete responses of a daemon."""

    def __init__(self) -> None:
        self._responses: deque[tuple[float, Sequence[str]]] = deque()
        self._count_by_trait: Counter[str] = Counter()

    def count(self, traits: Sequence[str], now: float) -> None:
        """Count a complete response."""
        self._responses.append((now, traits))
        self._count_by_trait.update(traits)
        if len(self._responses) > _MAX_RESPONSES:
            self._drop_first()

    def is_frequent(self, trait: str, now: float) -> bool:
        """Return whether much of the traffic has the trait."""
        total = self._total(now)
        return total >= _MIN_RESPONSES and self._count_by_trait[trait] >= _FREQUENT_SHARE * total

    def share(self, trait: str, now: float) -> float:
        """Return the share of the responses that have the trait, as if one more had it if none had.

        A trait without responses may be rare, or the daemon has not seen many yet.
        """
        total = max(_MIN_RESPONSES, self._total(now))
        return max(1, self._count_by_trait[trait]) / (total + 1)

    def _total(self, now: float) -> int:
        while self._responses and self._responses[0][0] < now - _MAX_AGE_SECONDS:
            self._drop_first()
        return len(self._responses)

    def _drop_first(self) -> None:
        _, traits = self._responses.popleft()
        self._count_by_trait.subtract(traits)
        for trait in traits:
            if self._count_by_trait[trait] <= 0:
                del self._count_by_trait[trait]
