"""Grant daemons short-term slices of an organisation's limits, from one lender per organisation."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import xxhash

from brassdrum.admission.limits import Allowance, TokenBucket
from brassdrum.admission.shares import (
    CONCURRENCY_HEADROOM,
    LimitState,
    concurrency_share,
    first_term_share,
    rate_share,
)

__all__ = [
    "BorrowerDemand",
    "Grant",
    "Lender",
    "MembershipView",
    "RequestOrder",
    "lender_of",
    "static_slice",
]

# Covers growth in demand until the next renewal.
_RATE_HEADROOM_FACTOR = 1.25
# A daemon's demand counts for this many terms after its last request.
_DEMAND_TERMS = 2.0


def _rendezvous_weight(organisation: str, daemon: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{organisation}\0{daemon}".encode())


def lender_of(organisation: str, daemons: Sequence[str]) -> str | None:
    """Select the daemon that lends an organisation's limits, by rendezvous hashing."""
    return max(
        daemons,
        key=lambda daemon: (_rendezvous_weight(organisation, daemon), daemon),
        default=None,
    )


def static_slice(limits: Allowance, daemon: str, daemons: Sequence[str]) -> Allowance:
    """Return a daemon's equal share, for when nobody knows what the others hold."""
    ordered = sorted({*daemons, daemon})
    part = limits.scaled(1.0 / len(ordered))
    spare = limits.concurrency - part.concurrency * len(ordered)
    extra = 1 if ordered.index(daemon) < spare else 0
    return Allowance(part.requests_per_second, part.tokens_per_second, part.concurrency + extra)


@dataclass(frozen=True, slots=True)
class MembershipView:
    """The daemons that are live and all that are known, reachable or not."""

    live: Sequence[str]
    known: Sequence[str]

    @property
    def live_fraction(self) -> float:
        """Fraction of the known daemons that is live, greater than 0."""
        known = {*self.known, *self.live}
        return len(set(self.live)) / len(known) if known else 1.0

    @property
    def unreachable(self) -> set[str]:
        """Known daemons that are not live."""
        return set(self.known) - set(self.live)


@dataclass(frozen=True, slots=True)
class BorrowerDemand:
    """Demand of one daemon's callers, and the number of their requests in flight.

    ``concurrency`` includes refused requests; ``running`` counts requests in flight only.
    """

    requests_per_second: float
    tokens_per_second: float
    concurrency: int
    running: int | None = None

    def in_use(self, held: float | None) -> int:
        """Return an upper bound of the slots in use at a daemon that has held ``held`` slots.

        Without ``running``, this is the demanded concurrency, capped at the slots held.
        """
        if self.running is not None:
            return self.running
        return self.concurrency if held is None else min(self.concurrency, math.floor(held))


@dataclass(frozen=True, slots=True)
class RequestOrder:
    """The place of a request among those of its borrower for one organisation.

    ``number`` grows with each request; 0 for borrowers that send none, whose replies count as
    applied at once. ``applied`` is the number of the request whose reply is in force there.
    """

    number: int = 0
    applied: int = 0


@dataclass(frozen=True, slots=True)
class Grant:
    """A slice granted to a daemon until it expires, and the unused burst transferred with it."""

    allowance: Allowance
    expires: float
    burst_requests: float = 0.0
    burst_tokens: float = 0.0


class _Borrower:
    """What a lender knows of one daemon.

    A reply may be late or lost, so the daemon may use any grant that it has not superseded: it
    counts as holding the largest of them until it says which reply is in force.
    """

    def __init__(self) -> None:
        self._grants_by_number: dict[int, Grant] = {}
        self._newest_number = 0
        self._first_expiry = math.inf
        self._demanded_at = -math.inf
        self.demand = BorrowerDemand(0.0, 0.0, 0)
        # The most that the daemon may use: of its grants, and of slots what runs there.
        self.held = Allowance(0.0, 0.0, 0)
        self._in_use = 0

    def is_stale(self, order: RequestOrder) -> bool:
        """Return whether a newer request of this daemon has overtaken this one."""
        return 0 < order.number <= self._newest_number

    def record(self, order: RequestOrder, demand: BorrowerDemand, now: float) -> None:
        """Record a request, and drop the grants that can no longer come into force."""
        held = self.held.concurrency if self._grants_by_number else None
        self._in_use = demand.in_use(held)
        self.demand = demand
        self._demanded_at = now
        self._newest_number = order.number
        for number in [each for each in self._grants_by_number if each < order.applied]:
            del self._grants_by_number[number]
        self._update_held()

    def add_grant(self, order: RequestOrder, grant: Grant) -> None:
        """Add the grant that answers a request."""
        self._grants_by_number[order.number] = grant
        self._update_held()

    def newest_grant(self) -> Grant | None:
        """Return the grant of the newest request that has one."""
        if not self._grants_by_number:
            return None
        return self._grants_by_number[max(self._grants_by_number)]

    def expire(self, now: float, demand_seconds: float) -> bool:
        """Drop what has expired; return whether nothing is left."""
        if now >= self._first_expiry:
            for number, grant in list(self._grants_by_number.items()):
                if grant.expires <= now:
                    del self._grants_by_number[number]
            self._update_held()
        return not self._grants_by_number and now - self._demanded_at > demand_seconds

    def _update_held(self) -> None:
        grants = self._grants_by_number.values()
        allowances = [grant.allowance for grant in grants]
        self._first_expiry = min((grant.expires for grant in grants), default=math.inf)
        self.held = Allowance(
            max((each.requests_per_second for each in allowances), default=0.0),
            max((each.tokens_per_second for each in allowances), default=0.0),
            max(self._in_use, max((each.concurrency for each in allowances), default=0)),
        )


@dataclass(frozen=True, slots=True)
class _LimitKind:
    """Accessors for one limit in allowances and demands."""

    granted: Callable[[Allowance], float]
    requested: Callable[[BorrowerDemand], float]


_REQUESTS = _LimitKind(
    lambda allowance: allowance.requests_per_second,
    lambda demand: demand.requests_per_second * _RATE_HEADROOM_FACTOR,
)
_TOKENS = _LimitKind(
    lambda allowance: allowance.tokens_per_second,
    lambda demand: demand.tokens_per_second * _RATE_HEADROOM_FACTOR,
)
_CONCURRENCY = _LimitKind(
    lambda allowance: allowance.concurrency,
    lambda demand: demand.concurrency + CONCURRENCY_HEADROOM,
)


class Lender:
    """Allocates one organisation's limits; the granted slices never exceed them in total."""

    def __init__(self, limits: Allowance, term_seconds: float, started: float) -> None:
        self._limits = limits
        self._term_seconds = term_seconds
        self._started_at = started
        self._borrowers_by_name: dict[str, _Borrower] = {}
        # Usage before this lender started is unknown, so it starts without unused burst.
        self._unallocated_requests = TokenBucket(limits.requests_per_second, started)
        self._unallocated_requests.empty(started)
        self._unallocated_tokens = TokenBucket(limits.tokens_per_second, started)
        self._unallocated_tokens.empty(started)

    def set_limits(self, limits: Allowance) -> None:
        """Set the limits for future grants."""
        self._limits = limits

    def allowances_by_daemon(self, now: float) -> dict[str, Allowance]:
        """Return the newest unexpired slices by daemon."""
        self._expire(now)
        allowances = {}
        for name, borrower in self._borrowers_by_name.items():
            grant = borrower.newest_grant()
            if grant is not None:
                allowances[name] = grant.allowance
        return allowances

    def lend(
        self,
        daemon: str,
        demand: BorrowerDemand,
        view: MembershipView,
        now: float,
        order: RequestOrder | None = None,
    ) -> Grant:
        """Grant a daemon a slice for one term.

        During its first term a lender grants at most static slices, because grants of the previous
        lender may still be in force. The share of unreachable daemons is reserved: they may be on
        the other side of a network partition, with a lender of their own. A request that was
        overtaken by a newer one gets the slice that the newer one got, for the rest of its term.
        """
        order = order or RequestOrder()
        self._expire(now)
        self._update_unallocated(now)
        borrower = self._borrowers_by_name.setdefault(daemon, _Borrower())
        newest = borrower.newest_grant()
        if borrower.is_stale(order) and newest is not None:
            return Grant(newest.allowance, newest.expires)
        borrower.record(order, demand, now)
        slice_ = self._allocate(daemon, view)
        if now - self._started_at < self._term_seconds:
            slice_ = self._first_term_slice(borrower, daemon, slice_, view)
        expires = now + self._term_seconds
        borrower.add_grant(order, Grant(slice_, expires))
        requests, tokens = self._update_unallocated(now)
        return Grant(slice_, expires, requests, tokens)

    def return_slice(self, daemon: str) -> None:
        """Drop the slice of a daemon that no longer uses it."""
        self._borrowers_by_name.pop(daemon, None)

    def _update_unallocated(self, now: float) -> tuple[float, float]:
        """Refill the unallocated buckets; return the unused burst of newly granted rates.

        The burst moves with the rate, so that a new borrower can use it and all daemons together
        admit at most the limit plus one burst.
        """
        held = [borrower.held for borrower in self._borrowers_by_name.values()]
        requests = sum(each.requests_per_second for each in held)
        tokens = sum(each.tokens_per_second for each in held)
        unallocated_requests = max(0.0, self._limits.requests_per_second - requests)
        unallocated_tokens = max(0.0, self._limits.tokens_per_second - tokens)
        return (
            self._unallocated_requests.set_rate(unallocated_requests, now),
            self._unallocated_tokens.set_rate(unallocated_tokens, now),
        )

    def _first_term_slice(
        self, borrower: _Borrower, daemon: str, ceiling: Allowance, view: MembershipView
    ) -> Allowance:
        """Return a static slice, reduced towards lower demand and to at most ``ceiling``."""
        static = static_slice(self._limits, daemon, view.known)
        demand = borrower.demand
        requests = first_term_share(static.requests_per_second, _REQUESTS.requested(demand))
        tokens = first_term_share(static.tokens_per_second, _TOKENS.requested(demand))
        slots = first_term_share(static.concurrency, demand.concurrency)
        return Allowance(
            min(requests, ceiling.requests_per_second),
            min(tokens, ceiling.tokens_per_second),
            min(math.ceil(slots), ceiling.concurrency),
        )

    def _allocate(self, daemon: str, view: MembershipView) -> Allowance:
        unreachable = view.unreachable - {daemon}
        live_demands = {
            name: borrower.demand
            for name, borrower in self._borrowers_by_name.items()
            if name not in unreachable
        }
        held_by_others = [
            borrower.held for name, borrower in self._borrowers_by_name.items() if name != daemon
        ]
        held_by_unreachable = [
            borrower.held
            for name, borrower in self._borrowers_by_name.items()
            if name in unreachable
        ]
        live_fraction = view.live_fraction

        def state(kind: _LimitKind) -> LimitState:
            return LimitState(
                limit=kind.granted(self._limits),
                live_fraction=live_fraction,
                demands={name: kind.requested(each) for name, each in live_demands.items()},
                held_by_others=sum(map(kind.granted, held_by_others)),
                held_by_unreachable=sum(map(kind.granted, held_by_unreachable)),
            )

        return Allowance(
            rate_share(daemon, state(_REQUESTS)),
            rate_share(daemon, state(_TOKENS)),
            concurrency_share(daemon, state(_CONCURRENCY)),
        )

    def _expire(self, now: float) -> None:
        for name, borrower in list(self._borrowers_by_name.items()):
            if borrower.expire(now, _DEMAND_TERMS * self._term_seconds):
                del self._borrowers_by_name[name]
