"""Hold the crashes at which a trait of requests was in flight, and what they weigh."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from brassdrum.outcomes.fingerprint import ALL_CALLERS

__all__ = [
    "FULL_WEIGHT",
    "REQUIRED_CRASHES",
    "REQUIRED_WEIGHT",
    "SOON_SECONDS",
    "SUSPECT_WEIGHT",
    "TRUSTED_SECONDS",
    "Crash",
    "CrashEvidence",
]

# Weight of one crash. It is halved if the endpoint may have crashed before it received the request,
# or if another endpoint crashed at the same time.
FULL_WEIGHT = 2
# Set by the operator's contract; after fewer crashes the request is still dispatched.
REQUIRED_CRASHES = 3
REQUIRED_WEIGHT = REQUIRED_CRASHES * FULL_WEIGHT
# A trait with a recent complete response may be in flight at many crashes only because many
# requests share it, so it takes twice the weight.
_TRUSTED_REQUIRED_WEIGHT = 2 * REQUIRED_WEIGHT
# How long a complete response counts in favour of a trait; equal to the quarantine time.
TRUSTED_SECONDS = 600.0
# From this weight on a request is sent to an idle endpoint if possible, so that a crash affects no
# other stream and clears the traits that were in flight beside it before.
SUSPECT_WEIGHT = 2 * FULL_WEIGHT
# A crash counts as soon after a request was sent if it comes within this time: requests that crash
# endpoints do so at once, while others run for seconds to minutes.
SOON_SECONDS = 0.5
# Requests in flight at an endpoint that crashes, for the chance that a trait is there.
_REQUESTS_AT_CRASH = 6
_LEAST_CHANCE = 0.02
_MOST_CHANCE = 1 - 1e-9


@dataclass(slots=True)
class Crash:
    """Crash with a trait in flight; ``soon``, ``lived`` and ``callers`` as in ``ObservedCrash``."""

    at: float
    soon: bool
    lived: bool
    callers: int = ALL_CALLERS


@dataclass(slots=True)
class CrashEvidence:
    """Crashes at which a trait of requests was in flight, and its last complete response.

    ``share`` is the likely share of the traffic that has the trait, and ``frequent`` says that this
    is much. The rest is set by ``attribute_crashes``: whether the trait is blamed, with which
    others, and since which crash, and the weight of the crashes that no blamed trait explains.
    """

    crash_by_endpoint: dict[int, Crash] = field(default_factory=dict)
    served_at: float = -math.inf
    share: float = 0.0
    frequent: bool = False
    blamed: bool = False
    blamed_with: frozenset[str] = frozenset()
    proven_at: float = math.inf
    unexplained_weight: int = 0
    weight_by_endpoint: dict[int, int] = field(default_factory=dict)

    @property
    def trusted(self) -> bool:
        """Return whether a complete response shortly preceded the first known crash."""
        return self._first_crash_at - self.served_at < TRUSTED_SECONDS

    @property
    def is_shared(self) -> bool:
        """Return whether the trait may be at many crashes only because requests share it."""
        return self.trusted or self.frequent

    @property
    def suspicious(self) -> bool:
        """Return whether requests with the trait should run alone."""
        return self.blamed or self.unexplained_weight >= SUSPECT_WEIGHT

    @property
    def always_soon(self) -> bool:
        """Return whether every crash came soon after the request was sent to the endpoint."""
        return all(crash.soon for crash in self.crash_by_endpoint.values())

    @property
    def required_weight(self) -> int:
        """Return the weight from which on the trait is considered the cause."""
        return _TRUSTED_REQUIRED_WEIGHT if self.is_shared else REQUIRED_WEIGHT

    @property
    def chance(self) -> float:
        """Return the probability of being in flight at a crash without causing it."""
        chance = 1 - (1 - self.share) ** _REQUESTS_AT_CRASH
        return min(_MOST_CHANCE, max(_LEAST_CHANCE, chance))

    def concerns(self, caller: int) -> bool:
        """Return whether the crashes speak against requests of a caller, given as a mask.

        If some caller was at all of them, only that caller's requests are known to cause them.
        """
        at_all = ALL_CALLERS
        for crash in self.crash_by_endpoint.values():
            at_all &= crash.callers
        return at_all == 0 or at_all & caller != 0

    def crashed_at(self, endpoint: int) -> float:
        """Return the time of the crash of an endpoint, in seconds."""
        return self.crash_by_endpoint[endpoint].at

    def weight(self, endpoints: Iterable[int]) -> int:
        """Return the total weight of the crashes of the given endpoints."""
        return sum(self.weight_by_endpoint.get(endpoint, 0) for endpoint in endpoints)

    def remove_crash(self, endpoint: int) -> None:
        """Remove the crash of an endpoint."""
        del self.crash_by_endpoint[endpoint]
        self.weight_by_endpoint.pop(endpoint, None)

    @property
    def _first_crash_at(self) -> float:
        return min((crash.at for crash in self.crash_by_endpoint.values()), default=math.inf)
