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

__all__ = ["BorrowerDemand", "Grant", "Lender", "MembershipView", "lender_of", "static_slice"]

# Covers growth in demand until the next renewal.
_RATE_HEADROOM_FACTOR = 1.25


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
    """Return the equal share that a daemon may use when it cannot reach the lender."""
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
class Grant:
    """A slice granted to a daemon until it expires, and the unused burst transferred with it."""

    allowance: Allowance
    expires: float
    burst_requests: float = 0.0
    burst_tokens: float = 0.0

    def fallback_allowance(self, static: Allowance) -> Allowance:
        """Return what a daemon may use after the grant has expired without a renewal.

        The minimum of grant and static slice keeps the sum over all daemons within the limits,
        also while only some of them have fallen back.
        """
        return Allowance(
            min(self.allowance.requests_per_second, static.requests_per_second),
            min(self.allowance.tokens_per_second, static.tokens_per_second),
            min(self.allowance.concurrency, static.concurrency),
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
        self._demands_by_daemon: dict[str, tuple[float, BorrowerDemand]] = {}
        self._grants_by_daemon: dict[str, Grant] = {}
        self._in_use_by_daemon: dict[str, int] = {}
        # Usage before this lender started is unknown, so it starts without unused burst.
        self._unallocated_requests = TokenBucket(limits.requests_per_second, started)
        self._unallocated_requests.empty(started)
        self._unallocated_tokens = TokenBucket(limits.tokens_per_second, started)
        self._unallocated_tokens.empty(started)

    def set_limits(self, limits: Allowance) -> None:
        """Set the limits for future grants."""
        self._limits = limits

    def allowances_by_daemon(self, now: float) -> dict[str, Allowance]:
        """Return the unexpired slices by daemon."""
        self._expire(now)
        return {name: grant.allowance for name, grant in self._grants_by_daemon.items()}

    def lend(self, daemon: str, demand: BorrowerDemand, view: MembershipView, now: float) -> Grant:
        """Grant a daemon a slice for one term.

        During its first term a lender grants at most static slices, because grants of the previous
        lender may still be in force. The share of unreachable daemons is reserved: they may be on
        the other side of a network partition, with a lender of their own.
        """
        self._expire(now)
        self._update_unallocated(now)
        self._record_demand(daemon, demand, now)
        slice_ = self._allocate(daemon, view)
        if now - self._started_at < self._term_seconds:
            slice_ = self._first_term_slice(daemon, slice_, view)
        self._grants_by_daemon[daemon] = Grant(slice_, now + self._term_seconds)
        requests, tokens = self._update_unallocated(now)
        grant = Grant(slice_, now + self._term_seconds, requests, tokens)
        self._grants_by_daemon[daemon] = grant
        return grant

    def return_slice(self, daemon: str) -> None:
        """Drop the slice of a daemon that no longer uses it."""
        self._demands_by_daemon.pop(daemon, None)
        self._in_use_by_daemon.pop(daemon, None)
        self._grants_by_daemon.pop(daemon, None)

    def _update_unallocated(self, now: float) -> tuple[float, float]:
        """Refill the unallocated buckets; return the unused burst of newly granted rates.

        The burst moves with the rate, so that a new borrower can use it and all daemons together
        admit at most the limit plus one burst.
        """
        lent = [grant.allowance for grant in self._grants_by_daemon.values()]
        requests = self._limits.requests_per_second - sum(each.requests_per_second for each in lent)
        tokens = self._limits.tokens_per_second - sum(each.tokens_per_second for each in lent)
        return (
            self._unallocated_requests.set_rate(max(0.0, requests), now),
            self._unallocated_tokens.set_rate(max(0.0, tokens), now),
        )

    def _record_demand(self, daemon: str, demand: BorrowerDemand, now: float) -> None:
        held = self._held(daemon, _CONCURRENCY) if daemon in self._grants_by_daemon else None
        self._in_use_by_daemon[daemon] = demand.in_use(held)
        self._demands_by_daemon[daemon] = (now, demand)

    def _first_term_slice(self, daemon: str, ceiling: Allowance, view: MembershipView) -> Allowance:
        """Return a static slice, reduced towards lower demand and to at most ``ceiling``."""
        static = static_slice(self._limits, daemon, view.known)
        _, demand = self._demands_by_daemon[daemon]
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
            name: demand
            for name, (_, demand) in self._demands_by_daemon.items()
            if name not in unreachable
        }
        others = [name for name in self._grants_by_daemon if name != daemon]
        unreachable_others = [name for name in others if name in unreachable]
        live_fraction = view.live_fraction

        def state(kind: _LimitKind) -> LimitState:
            return LimitState(
                limit=kind.granted(self._limits),
                live_fraction=live_fraction,
                demands={name: kind.requested(each) for name, each in live_demands.items()},
                held_by_others=sum(self._held(name, kind) for name in others),
                held_by_unreachable=sum(self._held(name, kind) for name in unreachable_others),
            )

        return Allowance(
            rate_share(daemon, state(_REQUESTS)),
            rate_share(daemon, state(_TOKENS)),
            concurrency_share(daemon, state(_CONCURRENCY)),
        )

    def _held(self, daemon: str, kind: _LimitKind) -> float:
        """Return the amount granted to a daemon, or its slots in use where those exceed it."""
        granted = kind.granted(self._grants_by_daemon[daemon].allowance)
        return max(granted, self._in_use_by_daemon[daemon]) if kind is _CONCURRENCY else granted

    def _expire(self, now: float) -> None:
        for name, (at, _) in list(self._demands_by_daemon.items()):
            if now - at > 2 * self._term_seconds:
                del self._demands_by_daemon[name]
                del self._in_use_by_daemon[name]
        for name, grant in list(self._grants_by_daemon.items()):
            if grant.expires <= now:
                del self._grants_by_daemon[name]
