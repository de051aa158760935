"""Share one limit between the daemons that ask for parts of it; pure, all amounts are arguments."""

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

# Part of a limit that daemons which are known do not get, so that one that comes new finds some.
_NEWCOMER_RESERVE_FRACTION = 0.03
# Of what nobody asks for this part is lent too, evenly, for callers that come before the next
# renewal; the rest waits at the lender, which a daemon asks before it refuses. Lent by need, half
# of it, a newcomer got 2 of 1000 places beside three daemons that ran 200 each, 400 free.
_SURPLUS_SHARED_FRACTION = 0.25
# A daemon may take this part of what is free even if less than the newcomers' part is left: the
# next one then finds some too, where all of it would leave nothing for up to a term.
_MAX_FRACTION_OF_FREE = 0.5
# What a daemon asks for beyond the places that its callers want: room for the next one.
CONCURRENCY_HEADROOM = 1.0
_EPSILON = 1e-9


@dataclass(frozen=True, slots=True)
class LimitState:
    """Hold what a lender knows of one limit when a daemon asks for its part.

    ``asked`` is what daemons that are heard ask for, by name. ``held_by_others`` is what all but
    the asking daemon may still use, ``held_unheard`` the part of it at daemons that are not heard.
    ``heard`` is the part of the known daemons that is heard, above 0 and at most 1.
    """

    limit: float
    live_fraction: float
    demands: Mapping[str, float]
    held_by_others: float
    held_by_unreachable: float

    @property
    def free(self) -> float:
        """Return what may be lent without exceeding the limit, whatever the others still use.

        Daemons that are not heard may have a lender of their own, so their part is kept back. What
        they hold of this lender is in that part: counted besides, it cut the survivor of three
        daemons that were killed at once to nothing for a term.
        """
        kept_for_unheard = max(self.limit * (1.0 - self.live_fraction), self.held_by_unreachable)
        held_by_heard = self.held_by_others - self.held_by_unreachable
        return max(0.0, self.limit - kept_for_unheard - held_by_heard)


def water_fill(limit: float, demands: Mapping[str, float]) -> dict[str, float]:
    """Share a limit: small demands are met, larger ones get equal parts of what is left.

    A part of what nobody asks for is shared evenly; the rest waits for who comes.
    """
    shares: dict[str, float] = {}
    left = limit
    ordered = sorted(demands.items(), key=lambda item: (item[1], item[0]))
    for position, (name, demand) in enumerate(ordered):
        share = min(demand, left / (len(ordered) - position))
        shares[name] = share
        left -= share
    if demands:
        more = left * _SURPLUS_SHARED_FRACTION / len(demands)
        shares = {name: share + more for name, share in shares.items()}
    return shares


def rate_share(daemon: str, state: LimitState) -> float:
    """Return a daemon's part of a rate."""
    heard_limit = state.limit * state.live_fraction
    kept_back = heard_limit * _NEWCOMER_RESERVE_FRACTION
    fair = water_fill(heard_limit - kept_back, state.demands)[daemon]
    return min(fair, max(state.free - kept_back, state.free * _MAX_FRACTION_OF_FREE))


def concurrency_share(daemon: str, state: LimitState) -> int:
    """Return a daemon's part of a number of places; one that asks gets one while any is free."""
    heard_limit = math.floor(state.limit * state.live_fraction + _EPSILON)
    kept_back = reserved_slots(heard_limit)
    fair = math.floor(water_fill(heard_limit - kept_back, state.demands)[daemon] + _EPSILON)
    free = math.floor(state.free + _EPSILON)
    most = max(free - kept_back, math.ceil(free * _MAX_FRACTION_OF_FREE))
    # Parts below one place would leave all places unused: the first that asks get one each.
    return min(max(fair, _min_slots(state.demands[daemon])), most)


def reserved_slots(limit: int) -> int:
    """Return how many places wait for newcomers; at least one of two and more."""
    if limit < 2:
        return 0
    return max(1, math.floor(limit * _NEWCOMER_RESERVE_FRACTION))


def first_term_share(static: float, asked: float) -> float:
    """Return a daemon's part in a lender's first term: static, or less if it asks for less.

    Half of what it does not ask for waits: static parts of all would take up the whole limit, and
    a daemon that came within a term after them got nothing.
    """
    return static if asked >= static else (static + asked) / 2.0


def _min_slots(asked: float) -> int:
    return 1 if asked > CONCURRENCY_HEADROOM else 0
