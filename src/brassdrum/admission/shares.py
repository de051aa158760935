"""Share one limit between the daemons that request parts of it; pure functions."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = [
    "CONCURRENCY_HEADROOM",
    "LimitState",
    "first_term_share",
    "concurrency_share",
    "reserved_slots",
    "rate_share",
    "water_fill",
]

# Reserved for daemons that join between renewals.
_NEWCOMER_RESERVE_FRACTION = 0.03
# Surplus granted evenly for demand that arises before the next renewal. Granting it by demand would
# leave a new daemon almost nothing: 2 of 1,000 slots with 400 free. The rest stays with the lender
# for new daemons; a daemon asks the lender before it refuses a request.
_SURPLUS_SHARED_FRACTION = 0.25
# A daemon may get this fraction of the free amount even out of the reserve; the remainder stays
# available for the next new daemon.
_MAX_FRACTION_OF_FREE = 0.5
# Requested beyond current demand, so that the next request finds a free slot.
CONCURRENCY_HEADROOM = 1.0
_EPSILON = 1e-9


@dataclass(frozen=True, slots=True)
class LimitState:
    """A lender's state of one limit when a daemon requests a share.

    ``live_fraction`` is the fraction of the known daemons that is live, greater than 0 and at most
    1. ``demands`` holds the demands of live daemons by name. ``held_by_others`` is the amount that
    all daemons but the requesting one may still use; ``held_by_unreachable`` is the part of it at
    unreachable daemons.
    """

    limit: float
    live_fraction: float
    demands: Mapping[str, float]
    held_by_others: float
    held_by_unreachable: float

    @property
    def free(self) -> float:
        """Amount that can be granted without exceeding the limit.

        The share of unreachable daemons is reserved, because they may have a lender of their own.
        Grants that they hold from this lender are part of that reserve and not counted twice.
        """
        reserved_for_unreachable = max(
            self.limit * (1.0 - self.live_fraction), self.held_by_unreachable
        )
        held_by_live = self.held_by_others - self.held_by_unreachable
        return max(0.0, self.limit - reserved_for_unreachable - held_by_live)


def water_fill(limit: float, demands: Mapping[str, float]) -> dict[str, float]:
    """Share a limit by max-min fairness: meet small demands and split the rest equally.

    Part of any surplus is added in equal shares; the rest remains unallocated.
    """
    shares: dict[str, float] = {}
    remaining = limit
    ordered = sorted(demands.items(), key=lambda item: (item[1], item[0]))
    for position, (name, demand) in enumerate(ordered):
        share = min(demand, remaining / (len(ordered) - position))
        shares[name] = share
        remaining -= share
    if demands:
        surplus_share = remaining * _SURPLUS_SHARED_FRACTION / len(demands)
        shares = {name: share + surplus_share for name, share in shares.items()}
    return shares


def rate_share(daemon: str, state: LimitState) -> float:
    """Return a daemon's share of a rate limit."""
    live_limit = state.limit * state.live_fraction
    reserved = live_limit * _NEWCOMER_RESERVE_FRACTION
    fair_share = water_fill(live_limit - reserved, state.demands)[daemon]
    return min(fair_share, max(state.free - reserved, state.free * _MAX_FRACTION_OF_FREE))


def concurrency_share(daemon: str, state: LimitState) -> int:
    """Return a daemon's share of a concurrency limit.

    With demand, a daemon gets at least one slot while any is free.
    """
    live_limit = math.floor(state.limit * state.live_fraction + _EPSILON)
    reserved = reserved_slots(live_limit)
    fair_share = math.ceil(water_fill(live_limit - reserved, state.demands)[daemon] - _EPSILON)
    free = math.floor(state.free + _EPSILON)
    ceiling = max(free - reserved, math.ceil(free * _MAX_FRACTION_OF_FREE))
    # Fair shares below one slot would round to 0 and leave the limit unused.
    return min(max(fair_share, _min_slots(state.demands[daemon])), ceiling)


def reserved_slots(limit: int) -> int:
    """Return the slots reserved for new daemons: at least one if the limit is 2 or more."""
    if limit < 2:
        return 0
    return max(1, math.floor(limit * _NEWCOMER_RESERVE_FRACTION))


def first_term_share(static: float, demand: float) -> float:
    """Return a daemon's share during a lender's first term.

    Half of the static share that a daemon does not request stays unallocated: static shares for
    all would use up the limit and leave nothing for a daemon that joins within a term.
    """
    return static if demand >= static else (static + demand) / 2.0


def _min_slots(demand: float) -> int:
    return 1 if demand > CONCURRENCY_HEADROOM else 0
